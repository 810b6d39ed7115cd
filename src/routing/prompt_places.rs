//! Where this instance last had the parts of prompts read, so that their memory is fetched and not read again.
//!
//! Answers the load of many prompts that begin alike: each of them is at home at another server, and each server reads the
//! common beginning again, though fetching it from one that keeps it costs a seventh of that (by the users' prices) and
//! a millisecond. A part may have been dropped since; then it is read, as it would have been.

use crate::{
    names::Tag,
    zone::{recency::Recency, rendezvous::ChatKey},
};

/// Parts remembered: beginnings are tens to hundreds at the users' sites, and a session is seen by one instance in
/// hundred again within its memory's life. Some 200 KB.
const PARTS_MAX: usize = 8192;

/// Places of prompts' parts.
#[derive(Debug)]
pub struct PromptPlaces(Recency);

impl Default for PromptPlaces {
    fn default() -> PromptPlaces {
        PromptPlaces(Recency::new(PARTS_MAX))
    }
}

impl PromptPlaces {
    /// Notes that a server has read the parts.
    pub fn note(&mut self, parts: &[u64], server: Tag) {
        for &part in parts {
            self.0.put(ChatKey(part), server);
        }
    }

    /// Returns the server that last read a part.
    pub fn of(&self, part: u64) -> Option<Tag> {
        self.0.get(ChatKey(part))
    }
}
