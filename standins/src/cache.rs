//! A prefix cache in limited memory: prompt segments by the hash of all text up to their end.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One message of a prompt, as the cache sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Segment {
    /// Hash of everything up to the segment's end.
    pub hash: u64,
    /// Tokens of the segment alone.
    pub tokens: u32,
}

/// Returns the segments of a prompt; a token is a word.
pub fn segments<'t>(messages: impl Iterator<Item = &'t str>) -> Vec<Segment> {
    let mut hash = 0;
    messages
        .map(|text| {
            hash = xxh3_64_with_seed(text.as_bytes(), hash);
            Segment { hash, tokens: text.split_whitespace().count() as u32 }
        })
        .collect()
}

/// The cache. Segments used longest ago go first.
#[derive(Debug)]
pub struct PrefixCache {
    most: u64,
    held: u64,
    segments: IndexMap<u64, u32>,
}

impl PrefixCache {
    /// Returns a cache of at most `most` tokens.
    pub fn new(most: u64) -> PrefixCache {
        PrefixCache { most, held: 0, segments: IndexMap::new() }
    }

    /// Returns how many leading tokens of a prompt are cached.
    pub fn cached(&self, prompt: &[Segment]) -> u32 {
        prompt.iter().take_while(|s| self.segments.contains_key(&s.hash)).map(|s| s.tokens).sum()
    }

    /// Keeps a prompt's segments as the most recently used.
    pub fn keep(&mut self, prompt: &[Segment]) {
        for segment in prompt {
            if let Some(tokens) = self.segments.shift_remove(&segment.hash) {
                self.held -= u64::from(tokens);
            }
            self.held += u64::from(segment.tokens);
            self.segments.insert(segment.hash, segment.tokens);
        }
        let mut drop = 0;
        let mut held = self.held;
        for tokens in self.segments.values() {
            if held <= self.most {
                break;
            }
            held -= u64::from(*tokens);
            drop += 1;
        }
        // Removing many from the front at once keeps this linear.
        self.segments.drain(..drop);
        self.held = held;
    }

    /// Returns the tokens held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the most recently used segments, at most `most` tokens of them, oldest first.
    pub fn export(&self, most: u64) -> Vec<Segment> {
        let mut taken = 0;
        let mut out: Vec<Segment> = self
            .segments
            .iter()
            .rev()
            .take_while(|(_, tokens)| {
                taken += u64::from(**tokens);
                taken <= most
            })
            .map(|(hash, tokens)| Segment { hash: *hash, tokens: *tokens })
            .collect();
        out.reverse();
        out
    }
}
