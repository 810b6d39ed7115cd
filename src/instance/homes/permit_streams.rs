//! The ends of the streams between entries and homes that one instance has open.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use crate::{
    contract::permit::{PermitId, Reply},
    link::{
        peer::StreamSender,
        wire::{Hello, HomeMessage, NumberedReply, ReplyWire, short},
    },
    names::Tag,
    utils::sync::lock,
};

/// One end of a stream, and what its other end was told of this instance.
pub(super) struct End {
    /// Sends to the other end.
    pub(super) sender: StreamSender,
    told: Mutex<Option<Hello>>,
}

impl End {
    /// Returns an end whose other end has been told nothing.
    pub(super) fn new(sender: StreamSender) -> End {
        End { sender, told: Mutex::new(None) }
    }

    /// Returns the greeting if the other end has not been told it yet.
    pub(super) fn news(&self, hello: Hello) -> Option<Hello> {
        let mut told = lock(&self.told);
        (told.replace(hello) != Some(hello)).then_some(hello)
    }
}

/// The stream to one home; empty while there is none.
pub(super) type Slot = Arc<Mutex<Option<Arc<End>>>>;

/// The streams of one instance.
#[derive(Default)]
pub struct PermitStreams {
    homes: Mutex<HashMap<Tag, Slot>>,
    entries: Mutex<HashMap<Tag, Arc<End>>>,
}

impl PermitStreams {
    /// Returns the place of the stream to `home`.
    pub(super) fn slot(&self, home: Tag) -> Slot {
        Arc::clone(lock(&self.homes).entry(home).or_default())
    }

    /// Cuts the stream to a home.
    pub fn cut(&self, home: Tag) {
        let slot = lock(&self.homes).get(&home).cloned();
        if let Some(end) = slot.and_then(|slot| lock(&slot).take()) {
            end.sender.cut();
        }
    }

    /// Notes the stream of an entry.
    pub(super) fn add_entry(&self, entry: Tag, end: &Arc<End>) {
        lock(&self.entries).insert(entry, Arc::clone(end));
    }

    /// Forgets the stream of an entry; returns whether it was the entry's newest.
    pub(super) fn remove_entry(&self, entry: Tag, end: &Arc<End>) -> bool {
        let mut entries = lock(&self.entries);
        let newest = entries.get(&entry).is_some_and(|known| Arc::ptr_eq(known, end));
        newest && entries.remove(&entry).is_some()
    }

    /// Sends a home's late reply to the entry that asked, and `hello` where it is news.
    pub fn reply(&self, hello: Hello, id: PermitId, reply: Reply) {
        let end = lock(&self.entries).get(&id.entry).cloned();
        // An entry whose stream has ended asks again, with the same number.
        let Some(end) = end else { return };
        let reply = NumberedReply { number: short(id.number), reply: ReplyWire::of(reply) };
        let hello = end.news(hello);
        end.sender.send(&HomeMessage {
            hello,
            replies: vec![reply],
            want_announcement: Vec::new(),
        });
    }
}
