//! Moves the contexts of leaving engines to those that will take their chats.

use std::collections::{HashMap, VecDeque};

use crate::{
    names::Tag,
    zone::rendezvous::{ChatKey, ranked},
};

/// One chat's context to be moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContextMove {
    /// The chat.
    pub chat: ChatKey,
    /// The engine that leaves.
    pub from: Tag,
    /// The engine that takes over: the first of the others in the chat's rank.
    pub to: Tag,
}

/// Chats of leaving engines whose contexts are still to be moved.
#[derive(Debug, Default)]
pub struct ContextMoveQueue {
    pending: HashMap<Tag, VecDeque<ChatKey>>,
}

impl ContextMoveQueue {
    /// Returns whether an engine's chats are in line already.
    pub fn contains(&self, engine: Tag) -> bool {
        self.pending.contains_key(&engine)
    }

    /// Puts the chats of a leaving engine in line.
    pub fn start(&mut self, engine: Tag, chats: impl Iterator<Item = ChatKey>) {
        self.pending.insert(engine, chats.collect());
    }

    /// Forgets the engines that `leaves` does not name any more.
    pub fn retain(&mut self, leaves: impl Fn(Tag) -> bool) {
        self.pending.retain(|engine, _| leaves(*engine));
    }

    /// Gives up an engine that does not hand over; its chats' contexts are read again.
    pub fn cancel(&mut self, engine: Tag) {
        if let Some(chats) = self.pending.get_mut(&engine) {
            chats.clear();
        }
    }

    /// Returns up to `max` moves to be made now; `targets` are the engines that may take over,
    /// with their weights, and `is_current` says whether a chat is still on the engine.
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
