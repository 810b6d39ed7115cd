//! Permit streams between entries and homes: sending and reading at the entry, serving at the home.

use std::{
    sync::{Arc, Weak},
    thread,
};

use super::permit_streams::{StreamEnd, StreamSlot};
use crate::{
    instance::shared::Shared,
    link::{
        peer::{StreamReceiver, StreamSender},
        traffic::Purpose,
        wire::{EntryMessage, Hello, HomeMessage, NumberedReply, ShardBatch},
    },
    names::Tag,
    utils::{supervisor, sync::lock},
    zone::home::Event,
};

/// Stack of the thread that reads a home's messages; its deepest call decodes one message.
const READER_STACK_BYTES: usize = 256 << 10;

/// Sends an entry's batches to a home, on a new stream if none is open.
///
/// Returns false if the home cannot be reached.
pub fn send(shared: &Arc<Shared>, home: Tag, batches: Vec<ShardBatch>) -> bool {
    let Some(end) = open_stream(shared, home) else { return false };
    let message = EntryMessage { hello: end.hello_if_changed(shared.hello()), batches };
    end.sender.send(&message)
}

/// Returns the stream to a home, and opens it if needed; `None` if the home cannot be reached.
fn open_stream(shared: &Arc<Shared>, home: Tag) -> Option<Arc<StreamEnd>> {
    let slot = shared.permit_streams.slot(home);
    let mut opened = lock(&slot);
    if let Some(end) = &*opened {
        return Some(Arc::clone(end));
    }
    let address = lock(&shared.membership).peer(home).map(|p| p.address)?;
    let (sender, receiver) = match shared.peers.open_stream(Purpose::Permits, address) {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!("cannot open the permit stream to a home: {error}");
            return None;
        }
    };
    let end = Arc::new(StreamEnd::new(sender));
    let (weak, reader_slot, reader_end) =
        (Arc::downgrade(shared), Arc::clone(&slot), Arc::clone(&end));
    let spawned = thread::Builder::new()
        .name("home-stream".to_owned())
        .stack_size(READER_STACK_BYTES)
        .spawn(move || read_replies(&weak, home, receiver, &reader_slot, &reader_end));
    if let Err(error) = spawned {
        log::warn!("cannot start the reader thread of the permit stream to a home: {error}");
        return None;
    }
    *opened = Some(Arc::clone(&end));
    Some(end)
}

/// Serves an entry's stream until it closes.
pub fn serve(shared: &Arc<Shared>, sender: StreamSender, mut receiver: StreamReceiver) {
    let end = Arc::new(StreamEnd::new(sender));
    let mut entry: Option<Hello> = None;
    // After a panic the stream is closed, as after its end: its entry opens another one.
    supervisor::catch("entry-stream", || {
        while let Some(message) = receiver.next::<EntryMessage>(&mut || !shared.drain.is_stopped())
        {
            if let Some(hello) = message.hello {
                shared.note_hello(&hello);
                shared.permit_streams.add_entry(hello.from, &end);
                entry = Some(hello);
            }
            // The first message of a stream must name its sender.
            let Some(hello) = entry else { break };
            let mut reply = handle_batches(shared, &hello, message.batches);
            reply.hello = end.hello_if_changed(shared.hello());
            let has_content = reply.hello.is_some()
                || !reply.replies.is_empty()
                || !reply.request_announcement.is_empty();
            if has_content && !end.sender.send(&reply) {
                break;
            }
        }
    });
    end.sender.shutdown();
    let Some(hello) = entry else { return };
    if shared.permit_streams.remove_entry(hello.from, &end) {
        shared.homes.notify_all(|_| vec![Event::EntryDisconnected(hello.from)]);
    }
}

/// Handles an entry's batches and returns the replies that are ready.
pub fn handle_batches(shared: &Shared, hello: &Hello, batches: Vec<ShardBatch>) -> HomeMessage {
    let mut message = HomeMessage::default();
    let snapshot = shared.snapshot.load_full();
    for batch in batches {
        let shard = batch.shard;
        let numbers: Vec<u32> = batch.requests.iter().map(|request| request.number).collect();
        match snapshot.as_ref().and_then(|s| shared.homes.handle_batch(hello, batch, s)) {
            Some(reply) => {
                message.replies.extend(reply.replies);
                if reply.request_announcement {
                    message.request_announcement.push(shard);
                }
            }
            // The sender has a newer revision, which this instance is still fetching.
            None => message.replies.extend(numbers.into_iter().map(NumberedReply::no_engine)),
        }
    }
    message
}

/// Reads a home's messages until the stream closes, then tries once to reopen it.
fn read_replies(
    shared: &Weak<Shared>,
    home: Tag,
    mut receiver: StreamReceiver,
    slot: &StreamSlot,
    end: &Arc<StreamEnd>,
) {
    let mut alive = || shared.upgrade().is_some_and(|shared| !shared.drain.is_stopped());
    // After a panic the stream is closed, as after its end: nobody would read its replies.
    supervisor::catch("home-stream", || {
        while let Some(message) = receiver.next::<HomeMessage>(&mut alive) {
            let Some(shared) = shared.upgrade() else { return };
            if let Some(hello) = &message.hello {
                shared.note_hello(hello);
            }
            shared.permit_client.handle_message(home, message);
        }
    });
    end.sender.shutdown();
    {
        let mut opened = lock(slot);
        if opened.as_ref().is_some_and(|registered| Arc::ptr_eq(registered, end)) {
            *opened = None;
        }
    }
    if let Some(shared) = shared.upgrade().filter(|shared| !shared.drain.is_stopped()) {
        shared.permit_client.note_home_lost(home);
        // If the home's process has ended, the connection is refused at once, and its permits move without waiting
        // for the next permit request to fail.
        if open_stream(&shared, home).is_none() {
            lock(&shared.membership).note_failure(shared.clock.now(), home);
        }
    }
}
