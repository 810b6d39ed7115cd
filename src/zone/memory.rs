//! What a home remembers of chats, and what of it its replica has not been told.

use std::collections::VecDeque;

use crate::{
    names::Tag,
    zone::{recency::Recency, rendezvous::ChatKey},
};

/// Most places of chats kept to be told to the replica.
const UNTOLD_MAX: usize = 20_000;

/// Where chats were last, and the news for the replica.
#[derive(Debug)]
pub struct ChatMemory {
    recency: Recency,
    untold: VecDeque<(ChatKey, Tag)>,
}

impl ChatMemory {
    /// Returns a memory of at most `most` chats.
    pub fn new(most: usize) -> ChatMemory {
        ChatMemory { recency: Recency::new(most), untold: VecDeque::new() }
    }

    /// Returns the engine that `chat` was last on.
    pub fn get(&self, chat: ChatKey) -> Option<Tag> {
        self.recency.get(chat)
    }

    /// Returns the number of entries held.
    pub fn len(&self) -> usize {
        self.recency.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.recency.is_empty()
    }

    /// Returns every chat remembered, those not seen for long first.
    pub fn all(&self) -> Vec<(ChatKey, Tag)> {
        self.recency.all()
    }

    /// Remembers that `chat` went to `engine`.
    pub fn put(&mut self, chat: ChatKey, engine: Tag) {
        if self.recency.put(chat, engine) {
            self.untold.push_back((chat, engine));
            if self.untold.len() > UNTOLD_MAX {
                self.untold.pop_front();
            }
        }
    }

    /// Takes over what another instance remembers; with `keeps_own`, what is known here stays.
    pub fn learn(&mut self, chats: Vec<(ChatKey, Tag)>, keeps_own: bool) {
        for (chat, engine) in chats {
            if !keeps_own || self.recency.get(chat).is_none() {
                self.recency.put(chat, engine);
            }
        }
    }

    /// Returns up to `most` places of chats that the replica has not been told.
    pub fn take_untold(&mut self, most: usize) -> Vec<(ChatKey, Tag)> {
        let count = self.untold.len().min(most);
        self.untold.drain(..count).collect()
    }

    /// Counts everything remembered as untold, since the replica is another now.
    pub fn tell_all(&mut self) {
        let mut all = self.recency.all();
        let most_recent = all.split_off(all.len().saturating_sub(UNTOLD_MAX));
        self.untold = most_recent.into();
    }
}
