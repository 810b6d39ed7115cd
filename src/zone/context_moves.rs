//! Moves the contexts of leaving engines to the engines that will serve their chats.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    names::Tag,
    zone::rendezvous::{ChatKey, ranked},
};

/// A chat's context to move from one engine to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContextMove {
    /// The chat.
    pub chat: ChatKey,
    /// The engine that is leaving.
    pub from: Tag,
    /// The engine to move it to: the first usable one in the chat's rendezvous order.
    pub to: Tag,
}

/// Queues, by leaving engine, of the chats whose contexts are still to be moved.
#[derive(Debug, Default)]
pub struct ContextMoveQueue {
    pending: IndexMap<Tag, VecDeque<ChatKey>>,
}

impl ContextMoveQueue {
    /// Returns whether the moves of an engine's chats have been started.
    pub fn contains(&self, engine: Tag) -> bool {
        self.pending.contains_key(&engine)
    }

    /// Starts to move the contexts of a leaving engine's chats.
    pub fn start(&mut self, engine: Tag, chats: impl Iterator<Item = ChatKey>) {
        self.pending.insert(engine, chats.collect());
    }

    /// Removes the engines for which `is_leaving` is false.
    pub fn retain(&mut self, is_leaving: impl Fn(Tag) -> bool) {
        self.pending.retain(|engine, _| is_leaving(*engine));
    }

    /// Cancels the moves from an engine whose contexts could not be moved; other engines compute them again.
    pub fn cancel(&mut self, engine: Tag) {
        if let Some(chats) = self.pending.get_mut(&engine) {
            chats.clear();
        }
    }

    /// Returns up to `max` moves to make now. `targets` are the engines that may receive contexts, with their weights;
    /// `is_current` says whether a chat is still on the engine.
    pub fn next_moves(
        &mut self,
        max: usize,
        targets: &[(Tag, f64)],
        is_current: impl Fn(ChatKey, Tag) -> bool,
    ) -> Vec<ContextMove> {
        let mut moves = Vec::new();
        for (&from, chats) in &mut self.pending {
            while moves.len() < max
                && let Some(chat) = chats.pop_front()
            {
                let first = ranked(chat.0, targets.iter().copied()).first().copied();
                if let Some(at) = first.filter(|_| is_current(chat, from)) {
                    moves.push(ContextMove { chat, from, to: targets[at].0 });
                }
            }
        }
        moves
    }
}
