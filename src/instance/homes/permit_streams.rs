//! Registry of this instance's open permit streams, to homes and from entries.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use crate::{
    contract::permit::{PermitId, Reply},
    link::{
        peer::StreamSender,
        wire::{Hello, HomeMessage, NumberedReply, ReplyWire, wire_number},
    },
    names::Tag,
    utils::sync::lock,
};

/// This instance's end of a stream, and the last `Hello` that it sent on it.
pub(super) struct StreamEnd {
    /// Sends messages to the other instance.
    pub(super) sender: StreamSender,
    last_hello: Mutex<Option<Hello>>,
}

impl StreamEnd {
    /// Returns an end on which no `Hello` has been sent.
    pub(super) fn new(sender: StreamSender) -> StreamEnd {
        StreamEnd { sender, last_hello: Mutex::new(None) }
    }

    /// Returns `hello` if it differs from the last one sent, and records it as sent.
    pub(super) fn hello_if_changed(&self, hello: Hello) -> Option<Hello> {
        let mut last_hello = lock(&self.last_hello);
        (last_hello.replace(hello) != Some(hello)).then_some(hello)
    }
}

/// The stream to one home; `None` while no stream is open.
pub(super) type StreamSlot = Arc<Mutex<Option<Arc<StreamEnd>>>>;

/// The permit streams of one instance.
#[derive(Default)]
pub struct PermitStreams {
    homes: Mutex<HashMap<Tag, StreamSlot>>,
    entries: Mutex<HashMap<Tag, Arc<StreamEnd>>>,
}

impl PermitStreams {
    /// Returns the slot of the stream to `home`.
    pub(super) fn slot(&self, home: Tag) -> StreamSlot {
        Arc::clone(lock(&self.homes).entry(home).or_default())
    }

    /// Closes the stream to a home.
    pub fn close(&self, home: Tag) {
        let slot = lock(&self.homes).get(&home).cloned();
        if let Some(end) = slot.and_then(|slot| lock(&slot).take()) {
            end.sender.shutdown();
        }
    }

    /// Registers the stream of an entry.
    pub(super) fn add_entry(&self, entry: Tag, end: &Arc<StreamEnd>) {
        lock(&self.entries).insert(entry, Arc::clone(end));
    }

    /// Removes `end` if it is the newest stream of its entry; returns whether it was.
    pub(super) fn remove_entry(&self, entry: Tag, end: &Arc<StreamEnd>) -> bool {
        let mut entries = lock(&self.entries);
        let newest = entries.get(&entry).is_some_and(|registered| Arc::ptr_eq(registered, end));
        newest && entries.remove(&entry).is_some()
    }

    /// Sends a reply that was not ready with its batch to the entry that requested the permit, with `hello` if
    /// it has changed.
    pub fn send_reply(&self, hello: Hello, id: PermitId, reply: Reply) {
        let end = lock(&self.entries).get(&id.entry).cloned();
        // An entry whose stream has closed repeats its request with the same number.
        let Some(end) = end else { return };
        let reply = NumberedReply { number: wire_number(id.number), reply: ReplyWire::new(reply) };
        let hello = end.hello_if_changed(hello);
        end.sender.send(&HomeMessage {
            hello,
            replies: vec![reply],
            request_announcement: Vec::new(),
        });
    }
}
