//! What a home remembers of chats, and what of it its replica has not been told.

use std::collections::VecDeque;

use crate::{
    names::Tag,
    zone::{recent_chats::RecentChats, rendezvous::ChatKey},
};

/// Most places of chats kept to be told to the replica.
const UNREPLICATED_MAX: usize = 20_000;

/// Where chats were last, and the news for the replica.
#[derive(Debug)]
pub struct ChatLocations {
    recent_chats: RecentChats,
    unreplicated: VecDeque<(ChatKey, Tag)>,
}

impl ChatLocations {
    /// Returns a memory of at most `most` chats.
    pub fn new(most: usize) -> ChatLocations {
        ChatLocations { recent_chats: RecentChats::new(most), unreplicated: VecDeque::new() }
    }

    /// Returns the engine that `chat` was last on.
    pub fn get(&self, chat: ChatKey) -> Option<Tag> {
        self.recent_chats.get(chat)
    }

    /// Returns the number of entries held.
    pub fn len(&self) -> usize {
        self.recent_chats.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.recent_chats.is_empty()
    }

    /// Returns every chat remembered, those not seen for long first.
    pub fn all(&self) -> Vec<(ChatKey, Tag)> {
        self.recent_chats.all()
    }

    /// Remembers that `chat` went to `engine`.
    pub fn put(&mut self, chat: ChatKey, engine: Tag) {
        if self.recent_chats.put(chat, engine) {
            self.unreplicated.push_back((chat, engine));
            if self.unreplicated.len() > UNREPLICATED_MAX {
                self.unreplicated.pop_front();
            }
        }
    }

    /// Takes over what another instance remembers; with `keeps_own`, what is known here stays.
    pub fn learn(&mut self, chats: Vec<(ChatKey, Tag)>, keeps_own: bool) {
        for (chat, engine) in chats {
            if !keeps_own || self.recent_chats.get(chat).is_none() {
                self.recent_chats.put(chat, engine);
            }
        }
    }

    /// Returns up to `most` places of chats that the replica has not been told.
    pub fn take_unreplicated(&mut self, most: usize) -> Vec<(ChatKey, Tag)> {
        let count = self.unreplicated.len().min(most);
        self.unreplicated.drain(..count).collect()
    }

    /// Counts everything remembered as untold, since the replica is another now.
    pub fn mark_all_unreplicated(&mut self) {
        let mut all = self.recent_chats.all();
        let most_recent = all.split_off(all.len().saturating_sub(UNREPLICATED_MAX));
        self.unreplicated = most_recent.into();
    }
}
