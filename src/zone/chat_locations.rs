//! Where the chats of a shard were last, and which of these locations the replica has not received.

use std::collections::VecDeque;

use crate::{
    names::Tag,
    zone::{recent_chats::RecentChats, rendezvous::ChatKey},
};

/// Most locations kept to be sent to the replica.
const UNREPLICATED_MAX: usize = 20_000;

/// The engine that each recent chat was last on, and the locations to send to the replica.
#[derive(Debug)]
pub struct ChatLocations {
    recent_chats: RecentChats,
    unreplicated: VecDeque<(ChatKey, Tag)>,
}

impl ChatLocations {
    /// Returns an empty map of at most `max` chats.
    pub fn new(max: usize) -> ChatLocations {
        ChatLocations { recent_chats: RecentChats::new(max), unreplicated: VecDeque::new() }
    }

    /// Returns the engine that `chat` was last on.
    pub fn get(&self, chat: ChatKey) -> Option<Tag> {
        self.recent_chats.get(chat)
    }

    /// Returns the number of entries stored; a chat in both generations counts twice.
    pub fn len(&self) -> usize {
        self.recent_chats.len()
    }

    /// Returns whether no chat is stored.
    pub fn is_empty(&self) -> bool {
        self.recent_chats.is_empty()
    }

    /// Returns all chats with their engines, least recent generation first.
    pub fn all(&self) -> Vec<(ChatKey, Tag)> {
        self.recent_chats.all()
    }

    /// Notes that `chat` was sent to `engine`.
    pub fn put(&mut self, chat: ChatKey, engine: Tag) {
        if self.recent_chats.put(chat, engine) {
            self.unreplicated.push_back((chat, engine));
            if self.unreplicated.len() > UNREPLICATED_MAX {
                self.unreplicated.pop_front();
            }
        }
    }

    /// Merges the locations that another instance sent; with `keep_own`, a location known here wins.
    pub fn merge(&mut self, chats: Vec<(ChatKey, Tag)>, keep_own: bool) {
        for (chat, engine) in chats {
            if !keep_own || self.recent_chats.get(chat).is_none() {
                self.recent_chats.put(chat, engine);
            }
        }
    }

    /// Takes up to `max` locations that the replica has not received.
    pub fn take_unreplicated(&mut self, max: usize) -> Vec<(ChatKey, Tag)> {
        let count = self.unreplicated.len().min(max);
        self.unreplicated.drain(..count).collect()
    }

    /// Marks all locations as not replicated, because another instance is the replica now.
    pub fn mark_all_unreplicated(&mut self) {
        let mut all = self.recent_chats.all();
        let most_recent = all.split_off(all.len().saturating_sub(UNREPLICATED_MAX));
        self.unreplicated = most_recent.into();
    }
}
