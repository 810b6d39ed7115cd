//! Weighted rendezvous hashing (highest random weight).

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::Tag;

/// Identity of a chat within the fleet: a hash of its service, team and caller-given id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Returns the key of the chat identified by `parts`.
    pub fn of(parts: &[&str]) -> ChatKey {
        let key = parts
            .iter()
            .fold(0, |seed, part| xxh3_64_with_seed(part.as_bytes(), seed ^ part.len() as u64));
        ChatKey(key)
    }
}

impl std::fmt::Display for ChatKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the score of `node` for `key`; the node with the highest score ranks first.
///
/// A node of weight 2 ranks first for twice as many keys as a node of weight 1. A change of one node's weight moves
/// only keys to or from that node.
pub fn score(key: u64, node: Tag, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(&node.0.to_le_bytes(), key);
    // The upper 53 bits of the hash give a float in (0, 1).
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns a number in [0, 1) for `node` and `key`, independent of the score.
pub fn draw(key: u64, node: Tag) -> f64 {
    let hash = xxh3_64_with_seed(&node.0.to_le_bytes(), !key);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the indices of `nodes` in rendezvous order for `key`, highest score first.
pub fn ranked(key: u64, nodes: impl Iterator<Item = (Tag, f64)>) -> Vec<usize> {
    let mut scored: Vec<(f64, usize)> =
        nodes.enumerate().map(|(i, (node, weight))| (score(key, node, weight), i)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, i)| i).collect()
}
