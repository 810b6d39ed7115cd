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
    waiting: HashMap<Tag, VecDeque<ChatKey>>,
}

impl ContextMoveQueue {
    /// Returns whether an engine's chats are in line already.
    pub fn knows(&self, engine: Tag) -> bool {
        self.waiting.contains_key(&engine)
    }

    /// Puts the chats of a leaving engine in line.
    pub fn begin(&mut self, engine: Tag, chats: impl Iterator<Item = ChatKey>) {
        self.waiting.insert(engine, chats.collect());
    }

    /// Forgets the engines that `leaves` does not name any more.
    pub fn retain(&mut self, leaves: impl Fn(Tag) -> bool) {
        self.waiting.retain(|engine, _| leaves(*engine));
    }

    /// Gives up an engine that does not hand over; its chats' contexts are read again.
    pub fn give_up(&mut self, engine: Tag) {
        if let Some(chats) = self.waiting.get_mut(&engine) {
            chats.clear();
        }
    }

    /// Returns up to `most` moves to be made now; `targets` are the engines that may take over,
    /// with their weights, and `still_there` says whether a chat is still on the engine.
    pub fn next(
        &mut self,
        most: usize,
        targets: &[(Tag, f64)],
        still_there: impl Fn(ChatKey, Tag) -> bool,
    ) -> Vec<ContextMove> {
        let mut moves = Vec::new();
        for (&from, chats) in &mut self.waiting {
            while moves.len() < most
                && let Some(chat) = chats.pop_front()
            {
                let first = ranked(chat.0, targets.iter().copied()).first().copied();
                if let Some(at) = first.filter(|_| still_there(chat, from)) {
                    moves.push(ContextMove { chat, from, to: targets[at].0 });
                }
            }
        }
        moves
    }
}
