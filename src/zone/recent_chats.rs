//! Where chats were last, in bounded memory.

use std::collections::HashMap;

use super::rendezvous::ChatKey;
use crate::names::Tag;

/// Remembers the engine of the most recently seen chats.
///
/// Two generations of half the size: a chat seen again moves to the young one, and when that is
/// full the old one is dropped. The chats kept are at least the most recent half.
#[derive(Debug)]
pub struct RecentChats {
    half: usize,
    young: HashMap<ChatKey, Tag>,
    old: HashMap<ChatKey, Tag>,
}

impl RecentChats {
    /// Returns a memory of at most `most` chats.
    pub fn new(most: usize) -> RecentChats {
        RecentChats { half: (most / 2).max(1), young: HashMap::new(), old: HashMap::new() }
    }

    /// Returns the engine that `chat` was last on.
    pub fn get(&self, chat: ChatKey) -> Option<Tag> {
        self.young.get(&chat).or_else(|| self.old.get(&chat)).copied()
    }

    /// Remembers that `chat` went to `engine`; returns whether that is news.
    pub fn put(&mut self, chat: ChatKey, engine: Tag) -> bool {
        let news = self.get(chat) != Some(engine);
        self.young.insert(chat, engine);
        if self.young.len() >= self.half {
            self.old = std::mem::take(&mut self.young);
        }
        news
    }

    /// Returns every chat remembered, those not seen for long first.
    pub fn all(&self) -> Vec<(ChatKey, Tag)> {
        let old = self.old.iter().filter(|(chat, _)| !self.young.contains_key(*chat));
        old.chain(&self.young).map(|(chat, engine)| (*chat, *engine)).collect()
    }

    /// Forgets `chat`.
    pub fn remove(&mut self, chat: ChatKey) {
        self.young.remove(&chat);
        self.old.remove(&chat);
    }

    /// Returns the number of entries held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
