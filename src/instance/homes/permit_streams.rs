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
pub(super) struct StreamEnd {
    /// Sends to the other end.
    pub(super) sender: StreamSender,
    last_hello: Mutex<Option<Hello>>,
}

impl StreamEnd {
    /// Returns an end whose other end has been told nothing.
    pub(super) fn new(sender: StreamSender) -> StreamEnd {
        StreamEnd { sender, last_hello: Mutex::new(None) }
    }

    /// Returns the greeting if the other end has not been told it yet.
    pub(super) fn hello_if_changed(&self, hello: Hello) -> Option<Hello> {
        let mut last_hello = lock(&self.last_hello);
        (last_hello.replace(hello) != Some(hello)).then_some(hello)
    }
}

/// The stream to one home; empty while there is none.
pub(super) type StreamSlot = Arc<Mutex<Option<Arc<StreamEnd>>>>;

/// The streams of one instance.
#[derive(Default)]
pub struct PermitStreams {
    homes: Mutex<HashMap<Tag, StreamSlot>>,
    entries: Mutex<HashMap<Tag, Arc<StreamEnd>>>,
}

impl PermitStreams {
    /// Returns the place of the stream to `home`.
    pub(super) fn slot(&self, home: Tag) -> StreamSlot {
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
    pub(super) fn add_entry(&self, entry: Tag, end: &Arc<StreamEnd>) {
        lock(&self.entries).insert(entry, Arc::clone(end));
    }

    /// Forgets the stream of an entry; returns whether it was the entry's newest.
    pub(super) fn remove_entry(&self, entry: Tag, end: &Arc<StreamEnd>) -> bool {
        let mut entries = lock(&self.entries);
        let newest = entries.get(&entry).is_some_and(|registered| Arc::ptr_eq(registered, end));
        newest && entries.remove(&entry).is_some()
    }

    /// Sends a home's late reply to the entry that asked, and `hello` where it is news.
    pub fn reply(&self, hello: Hello, id: PermitId, reply: Reply) {
        let end = lock(&self.entries).get(&id.entry).cloned();
        // An entry whose stream has ended asks again, with the same number.
        let Some(end) = end else { return };
        let reply = NumberedReply { number: short(id.number), reply: ReplyWire::of(reply) };
        let hello = end.hello_if_changed(hello);
        end.sender.send(&HomeMessage {
            hello,
            replies: vec![reply],
            want_announcement: Vec::new(),
        });
    }
}
