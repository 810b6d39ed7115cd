//! What a model engine's stand-in says: chat-completions bodies and answers made from the prompt.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Tokens of an answer when the request states none.
const TOKENS_DEFAULT: u32 = 16;

/// A message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A chat-completions request, as far as the stand-in reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Messages.
    pub messages: Vec<Message>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// Use of tokens, as in the last event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Of these, found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

impl ChatRequest {
    /// Returns the number of tokens to generate.
    pub fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(TOKENS_DEFAULT)
    }

    /// Returns the seed of the answer: a hash of all messages.
    pub fn seed(&self) -> u64 {
        let text: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        xxh3_64(text.join("\u{1f}").as_bytes())
    }

    /// Returns the answer's text.
    pub fn expected_answer(&self) -> String {
        (0..self.tokens()).map(|n| token(self.seed(), n)).collect()
    }
}

/// Returns token number `n` of the answer with `seed`, with the space that ends it.
pub fn token(seed: u64, n: u32) -> String {
    format!("{:04x}.{n} ", (seed >> (n % 4 * 16)) as u16)
}

/// Returns the event with one token.
pub fn token_event(text: &str) -> String {
    let data = serde_json::json!({ "choices": [{ "index": 0, "delta": { "content": text } }] });
    format!("data: {data}\n\n")
}

/// Returns the events that end a stream.
pub fn last_events(usage: &Usage) -> String {
    let data = serde_json::json!({ "choices": [], "usage": usage });
    format!("data: {data}\n\ndata: [DONE]\n\n")
}

/// What a caller makes of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamText {
    /// The text.
    pub text: String,
    /// Use of tokens, if the stream came that far.
    pub usage: Option<Usage>,
    /// Whether the end marker came.
    pub done: bool,
    /// Whether an error event came.
    pub error: bool,
}

/// Reads the events of a stream.
pub fn read_events(body: &str) -> StreamText {
    #[derive(Deserialize)]
    struct Delta {
        content: Option<String>,
    }
    #[derive(Deserialize)]
    struct Choice {
        delta: Delta,
    }
    #[derive(Deserialize)]
    struct Event {
        choices: Vec<Choice>,
        usage: Option<Usage>,
    }
    let mut out = StreamText::default();
    for line in body.lines() {
        out.error |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            out.done = true;
        } else if let Ok(event) = serde_json::from_str::<Event>(data) {
            out.text.extend(event.choices.into_iter().filter_map(|c| c.delta.content));
            out.usage = event.usage.or(out.usage);
        }
    }
    out
}
