//! The engines of recent chats, in bounded memory.

use indexmap::IndexMap;

use super::rendezvous::ChatKey;
use crate::names::Tag;

/// Stores the engines of the most recent chats.
///
/// There are two generations of half the size each: a chat that returns is written to the young one, and when that is
/// full it replaces the old one. At least the most recent half of the chats is kept.
#[derive(Debug)]
pub struct RecentChats {
    generation_max: usize,
    young: IndexMap<ChatKey, Tag>,
    old: IndexMap<ChatKey, Tag>,
}

impl RecentChats {
    /// Returns an empty map of at most `max` chats.
    pub fn new(max: usize) -> RecentChats {
        RecentChats {
            generation_max: (max / 2).max(1),
            young: IndexMap::new(),
            old: IndexMap::new(),
        }
    }

    /// Returns the engine that `chat` was last on.
    pub fn get(&self, chat: ChatKey) -> Option<Tag> {
        self.young.get(&chat).or_else(|| self.old.get(&chat)).copied()
    }

    /// Notes that `chat` was sent to `engine`; returns whether that is another engine than before.
    pub fn put(&mut self, chat: ChatKey, engine: Tag) -> bool {
        let changed = self.get(chat) != Some(engine);
        self.young.insert(chat, engine);
        if self.young.len() >= self.generation_max {
            self.old = std::mem::take(&mut self.young);
        }
        changed
    }

    /// Returns all chats with their engines, the old generation first.
    pub fn all(&self) -> Vec<(ChatKey, Tag)> {
        let old = self.old.iter().filter(|(chat, _)| !self.young.contains_key(*chat));
        old.chain(&self.young).map(|(chat, engine)| (*chat, *engine)).collect()
    }

    /// Removes `chat`.
    pub fn remove(&mut self, chat: ChatKey) {
        self.young.swap_remove(&chat);
        self.old.swap_remove(&chat);
    }

    /// Returns the number of entries stored; a chat in both generations counts twice.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no chat is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
