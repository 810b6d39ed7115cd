//! Streams between entries and homes: the entry's end and the home's end.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, Weak},
    thread,
};

use crate::{
    contract::permit::{PermitId, Reply},
    instance::shared::Shared,
    link::traffic::Purpose,
    link::{
        peer::{StreamReceiver, StreamSender},
        wire::{EntryMessage, Hello, HomeMessage, NumberedReply, ReplyWire, ShardBatch, short},
    },
    names::Tag,
    utils::sync::lock,
    zone::home::Event,
};

/// One end of a stream, and what its other end was told of this instance.
struct End {
    sender: StreamSender,
    told: Mutex<Option<Hello>>,
}

impl End {
    fn new(sender: StreamSender) -> End {
        End { sender, told: Mutex::new(None) }
    }

    /// Returns the greeting if the other end has not been told it yet.
    fn news(&self, hello: Hello) -> Option<Hello> {
        let mut told = lock(&self.told);
        (told.replace(hello) != Some(hello)).then_some(hello)
    }
}

type Slot = Arc<Mutex<Option<Arc<End>>>>;

/// The streams of one instance.
#[derive(Default)]
pub struct HomeLinks {
    homes: Mutex<HashMap<Tag, Slot>>,
    entries: Mutex<HashMap<Tag, Arc<End>>>,
}

impl HomeLinks {
    /// Hands an entry's batches to a home, opening the stream when there is none.
    ///
    /// Returns false when the home is not reached.
    pub fn send(&self, shared: &Arc<Shared>, home: Tag, batches: Vec<ShardBatch>) -> bool {
        let Some(end) = self.end_at(shared, home) else { return false };
        let message = EntryMessage { hello: end.news(shared.hello()), batches };
        end.sender.send(&message)
    }

    /// Cuts the stream to a home.
    pub fn cut(&self, home: Tag) {
        let slot = lock(&self.homes).get(&home).cloned();
        if let Some(end) = slot.and_then(|slot| lock(&slot).take()) {
            end.sender.cut();
        }
    }

    fn end_at(&self, shared: &Arc<Shared>, home: Tag) -> Option<Arc<End>> {
        let slot = Arc::clone(lock(&self.homes).entry(home).or_default());
        let mut open = lock(&slot);
        if let Some(end) = &*open {
            return Some(Arc::clone(end));
        }
        let address = lock(&shared.membership).peer(home).map(|p| p.address)?;
        let (sender, receiver) = match shared.peers.open_stream(Purpose::Permits, address) {
            Ok(stream) => stream,
            Err(fault) => {
                log::debug!("stream to a home: {fault}");
                return None;
            }
        };
        let end = Arc::new(End::new(sender));
        let (weak, slot_of, read_end) =
            (Arc::downgrade(shared), Arc::clone(&slot), Arc::clone(&end));
        let spawned = thread::Builder::new()
            .name("home-stream".to_owned())
            .stack_size(256 << 10)
            .spawn(move || read_home(&weak, home, receiver, &slot_of, &read_end));
        spawned.ok()?;
        *open = Some(Arc::clone(&end));
        Some(end)
    }

    /// Sends a home's late reply to the entry that asked.
    pub fn reply(&self, shared: &Shared, id: PermitId, reply: Reply) {
        let end = lock(&self.entries).get(&id.entry).cloned();
        // An entry whose stream has ended asks again, with the same number.
        if let Some(end) = end {
            let reply = NumberedReply { number: short(id.number), reply: ReplyWire::of(reply) };
            let hello = end.news(shared.hello());
            end.sender.send(&HomeMessage {
                hello,
                replies: vec![reply],
                want_announcement: Vec::new(),
            });
        }
    }

    /// Serves an entry's stream until it ends.
    pub fn serve(&self, shared: &Arc<Shared>, sender: StreamSender, mut receiver: StreamReceiver) {
        let end = Arc::new(End::new(sender));
        let mut entry: Option<Hello> = None;
        while let Some(message) = receiver.next::<EntryMessage>(&mut || !shared.drain.is_stopped())
        {
            if let Some(hello) = message.hello {
                shared.greeted(&hello);
                lock(&self.entries).insert(hello.from, Arc::clone(&end));
                entry = Some(hello);
            }
            // The first message of a stream says who sends it.
            let Some(hello) = entry else { break };
            let mut answer = take_batches(shared, &hello, message.batches);
            answer.hello = end.news(shared.hello());
            let says = answer.hello.is_some()
                || !answer.replies.is_empty()
                || !answer.want_announcement.is_empty();
            if says && !end.sender.send(&answer) {
                break;
            }
        }
        end.sender.cut();
        let Some(hello) = entry else { return };
        let was_last = {
            let mut entries = lock(&self.entries);
            let own = entries.get(&hello.from).is_some_and(|known| Arc::ptr_eq(known, &end));
            own && entries.remove(&hello.from).is_some()
        };
        if was_last {
            shared.homes.each(|_| vec![Event::EntryCut(hello.from)]);
        }
    }
}

/// Takes in an entry's batches for the shards held here.
pub fn take_batches(shared: &Shared, hello: &Hello, batches: Vec<ShardBatch>) -> HomeMessage {
    let mut message = HomeMessage::default();
    let snapshot = shared.snapshot.load_full();
    for batch in batches {
        let shard = batch.shard;
        let numbers: Vec<u32> = batch.asks.iter().map(|ask| ask.number).collect();
        match snapshot.as_ref().and_then(|s| shared.homes.batch(hello, batch, s)) {
            Some(answer) => {
                message.replies.extend(answer.replies);
                if answer.want_announcement {
                    message.want_announcement.push(shard);
                }
            }
            // The sender's file is newer and is being fetched.
            None => message.replies.extend(numbers.into_iter().map(NumberedReply::no_engine)),
        }
    }
    message
}

/// Reads a home's messages until the stream ends.
fn read_home(
    shared: &Weak<Shared>,
    home: Tag,
    mut receiver: StreamReceiver,
    slot: &Slot,
    end: &Arc<End>,
) {
    let mut alive = || shared.upgrade().is_some_and(|shared| !shared.drain.is_stopped());
    while let Some(message) = receiver.next::<HomeMessage>(&mut alive) {
        let Some(shared) = shared.upgrade() else { return };
        if let Some(hello) = &message.hello {
            shared.greeted(hello);
        }
        shared.desk.take(home, message);
    }
    end.sender.cut();
    {
        let mut open = lock(slot);
        if open.as_ref().is_some_and(|known| Arc::ptr_eq(known, end)) {
            *open = None;
        }
    }
    if let Some(shared) = shared.upgrade().filter(|shared| !shared.drain.is_stopped()) {
        shared.desk.home_lost(home);
        // A home whose process has ended refuses at once; permits then move without waiting for
        // the next ask to find out.
        if shared.home_links.end_at(&shared, home).is_none() {
            lock(&shared.membership).failed(shared.clock.now(), home);
        }
    }
}
