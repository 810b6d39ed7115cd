//! The entry's client of the homes: requests, holds and releases permits.
//!
//! Each home gets one stream of messages. Messages to a home are assembled and sent in the same order, so that counts
//! and announcements are correct when they arrive.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use crate::{
    clock::Clock,
    contract::permit::{AnnouncedPermit, PermitId, PermitRequest, Release, ReleaseKind, Reply},
    link::wire::{
        Announcement, HomeMessage, NumberedReply, PermitRequestWire, ReleaseWire, ReplyWire,
        ShardBatch, millis, wire_number,
    },
    names::Tag,
    utils::sync::lock,
    zone::{rendezvous::ChatKey, shard::ShardId},
};

/// Time without a message to a home, after which it is sent the count of the permits that it granted to this entry.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which a waiting thread checks whether to keep waiting.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Sends messages to homes.
pub struct HomeTransport {
    /// Sends batches to a home; returns false if it is unreachable.
    pub send: Box<dyn Fn(Tag, Vec<ShardBatch>) -> bool + Send + Sync>,
    /// Closes the stream to a home that does not reply.
    pub disconnect: Box<dyn Fn(Tag) + Send + Sync>,
}

/// A granted permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Its number.
    pub number: u64,
    /// Engine that it is for.
    pub engine: Tag,
}

/// Why a request for a permit failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// The home did not grant the request.
    Reply(Reply),
    /// The home was unreachable or did not reply.
    HomeLost,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    CallerGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// No reply has arrived yet.
    Sent,
    /// The home has queued the request.
    Queued,
    /// The home has granted or rejected the request, or spills it to another shard.
    Decided(Reply),
    /// The home became unreachable.
    HomeLost,
}

/// State of one request, on which the requesting thread waits.
#[derive(Debug)]
struct ReplySlot {
    state: Mutex<RequestState>,
    changed: Condvar,
}

impl ReplySlot {
    fn set(&self, state: RequestState) {
        *lock(&self.state) = state;
        self.changed.notify_all();
    }
}

#[derive(Debug, Clone)]
struct HeldPermit {
    shard: ShardId,
    home: Tag,
    engine: Tag,
    chat: ChatKey,
    team: Tag,
    expires_at: Instant,
}

/// A request that its home has not decided.
#[derive(Debug)]
struct PendingRequest {
    shard: ShardId,
    request: PermitRequestWire,
    slot: Arc<ReplySlot>,
}

/// State of the messages to one home.
#[derive(Debug, Default)]
struct HomeLink {
    /// Held while a message is assembled and sent.
    send_lock: Arc<Mutex<()>>,
    pending: IndexMap<u32, PendingRequest>,
    /// Shards whose permits are announced with the next message.
    announce: IndexSet<ShardId>,
    last_sent: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    counter: u32,
    held: IndexMap<u32, HeldPermit>,
    links: IndexMap<Tag, HomeLink>,
}

/// The permits of an entry, and its requests for more.
pub struct PermitClient {
    clock: Clock,
    incarnation: u32,
    own: Tag,
    reply_timeout: Duration,
    state: Mutex<State>,
    transport: HomeTransport,
}

impl PermitClient {
    /// Returns the client of an entry that holds no permits.
    ///
    /// A home that sends no first reply within `reply_timeout` counts as lost.
    pub fn new(
        own: Tag,
        incarnation: u32,
        reply_timeout: Duration,
        clock: Clock,
        transport: HomeTransport,
    ) -> PermitClient {
        PermitClient { clock, incarnation, own, reply_timeout, state: Mutex::default(), transport }
    }

    /// Returns the id of a new request.
    pub fn next_permit_id(&self) -> PermitId {
        let mut state = lock(&self.state);
        state.counter = state.counter.wrapping_add(1);
        PermitId {
            entry: self.own,
            number: u64::from(self.incarnation) << 32 | u64::from(state.counter),
        }
    }

    /// Requests a permit from `home` and waits for the decision.
    ///
    /// `keep_waiting` is called every 100 ms while waiting.
    ///
    /// # Errors
    ///
    /// See [`PermitError`]; a permit that the home granted in the meantime is released.
    pub fn request(
        &self,
        home: Tag,
        shard: ShardId,
        request: &PermitRequest,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<Permit, PermitError> {
        let sent_at = self.clock.now();
        let slot =
            Arc::new(ReplySlot { state: Mutex::new(RequestState::Sent), changed: Condvar::new() });
        let number = wire_number(request.id.number);
        let wire = PermitRequestWire::new(request);
        let sent = self.send_batches(home, |_, link| {
            let pending = PendingRequest { shard, request: wire.clone(), slot: Arc::clone(&slot) };
            link.pending.insert(number, pending);
            vec![ShardBatch { requests: vec![wire], ..ShardBatch::new(shard) }]
        });
        if !sent {
            self.note_home_lost(home);
        }
        let end = loop {
            let state = *lock(&slot.state);
            match state {
                RequestState::Decided(Reply::Granted(engine)) => {
                    return Ok(Permit { number: request.id.number, engine });
                }
                RequestState::Decided(reply) => return Err(PermitError::Reply(reply)),
                RequestState::HomeLost => return Err(PermitError::HomeLost),
                RequestState::Sent | RequestState::Queued => {}
            }
            let deadline = if state == RequestState::Sent {
                sent_at + self.reply_timeout
            } else {
                sent_at + request.time_left
            };
            if let Some(end) = self.wait_for_change(
                &slot,
                state,
                deadline.min(sent_at + request.time_left),
                keep_waiting,
            ) {
                break end;
            }
        };
        self.withdraw(home, shard, number);
        let unanswered = *lock(&slot.state) == RequestState::Sent;
        if end == PermitError::Deadline
            && unanswered
            && self.clock.now() < sent_at + request.time_left
        {
            // No first reply in time: the home is suspended or disconnected.
            (self.transport.disconnect)(home);
            self.note_home_lost(home);
            return Err(PermitError::HomeLost);
        }
        Err(end)
    }

    fn wait_for_change(
        &self,
        slot: &ReplySlot,
        last_state: RequestState,
        deadline: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Option<PermitError> {
        let state = lock(&slot.state);
        if *state != last_state {
            return None;
        }
        let time_left = deadline.saturating_duration_since(self.clock.now());
        if time_left.is_zero() {
            return Some(PermitError::Deadline);
        }
        // The caller checks the state again, whether this thread was notified or the wait timed out.
        drop(slot.changed.wait_timeout(state, time_left.min(POLL_PERIOD)));
        (!keep_waiting()).then_some(PermitError::CallerGone)
    }

    /// Withdraws a request: the home releases the permit or queue entry that it has for it.
    fn withdraw(&self, home: Tag, shard: ShardId, number: u32) {
        let release = Release { number: u64::from(number), kind: ReleaseKind::Unused, load: None };
        self.send_batches(home, |held, link| {
            link.pending.swap_remove(&number);
            held.swap_remove(&number);
            vec![ShardBatch {
                releases: vec![ReleaseWire::new(&release)],
                ..ShardBatch::new(shard)
            }]
        });
    }

    /// Releases a permit.
    pub fn release(&self, permit: Permit, kind: ReleaseKind, load: Option<u32>) {
        let number = wire_number(permit.number);
        let Some((home, shard)) = lock(&self.state).held.get(&number).map(|h| (h.home, h.shard))
        else {
            return;
        };
        let release = Release { number: permit.number, kind, load };
        // An unreachable home learns of the release from a later count, or drops the permits of an unresponsive entry.
        self.send_batches(home, |held, _| {
            held.swap_remove(&number);
            vec![ShardBatch {
                releases: vec![ReleaseWire::new(&release)],
                ..ShardBatch::new(shard)
            }]
        });
    }

    /// Assembles batches and sends them, one message to a home at a time.
    fn send_batches(
        &self,
        home: Tag,
        make: impl FnOnce(&mut IndexMap<u32, HeldPermit>, &mut HomeLink) -> Vec<ShardBatch>,
    ) -> bool {
        let send_lock = Arc::clone(&lock(&self.state).links.entry(home).or_default().send_lock);
        let _send_guard = lock(&send_lock);
        let batches = {
            let mut state = lock(&self.state);
            let State { held, links, .. } = &mut *state;
            let link = links.entry(home).or_default();
            link.last_sent = Some(self.clock.now());
            make(held, link)
        };
        batches.is_empty() || (self.transport.send)(home, batches)
    }

    /// Handles a message of a home.
    pub fn handle_message(&self, home: Tag, message: HomeMessage) {
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        link.announce.extend(message.request_announcement);
        for NumberedReply { number, reply } in message.replies {
            // A withdrawn request has sent its release already.
            let Some(pending) = link.pending.get(&number) else { continue };
            let reply = reply.reply();
            if reply == Reply::Queued {
                pending.slot.set(RequestState::Queued);
                continue;
            }
            if let Some(PendingRequest { shard, request, slot }) = link.pending.swap_remove(&number)
            {
                if let Reply::Granted(engine) = reply {
                    let expires_at =
                        self.clock.now() + Duration::from_millis(u64::from(request.left_ms));
                    held.insert(
                        number,
                        HeldPermit {
                            shard,
                            home,
                            engine,
                            chat: request.chat,
                            team: request.team,
                            expires_at,
                        },
                    );
                }
                slot.set(RequestState::Decided(reply));
            }
        }
    }

    /// Handles a late reply of a home on this instance.
    pub fn handle_own_reply(&self, id: PermitId, reply: Reply) {
        let reply = NumberedReply { number: wire_number(id.number), reply: ReplyWire::new(reply) };
        self.handle_message(
            self.own,
            HomeMessage { replies: vec![reply], ..HomeMessage::default() },
        );
    }

    /// Notes that `home` is lost: its pending requests fail and can be sent to another home.
    pub fn note_home_lost(&self, home: Tag) {
        let mut state = lock(&self.state);
        let link = state.links.entry(home).or_default();
        for (_, pending) in link.pending.drain(..) {
            pending.slot.set(RequestState::HomeLost);
        }
    }

    /// Sends the announcements that homes requested, and counts of the permits held as keep-alive; called every few
    /// tens of milliseconds.
    ///
    /// `home_of` returns the current home of a shard; permits of a shard that has moved are announced to its new home.
    pub fn send_due(&self, home_of: impl Fn(ShardId) -> Option<Tag>) {
        let now = self.clock.now();
        let shards: IndexSet<ShardId> = lock(&self.state).held.values().map(|h| h.shard).collect();
        let homes: IndexMap<ShardId, Tag> =
            shards.into_iter().filter_map(|id| Some((id, home_of(id)?))).collect();
        let mut due_homes = Vec::new();
        {
            let mut state = lock(&self.state);
            let State { held, links, .. } = &mut *state;
            for permit in held.values_mut() {
                let Some(&home) = homes.get(&permit.shard) else { continue };
                if home != permit.home {
                    permit.home = home;
                    links.entry(home).or_default().announce.insert(permit.shard);
                }
            }
            let holding: IndexSet<Tag> = held.values().map(|h| h.home).collect();
            for (home, link) in links.iter() {
                let keepalive_due =
                    link.last_sent.is_none_or(|at| now.duration_since(at) >= KEEPALIVE_PERIOD);
                if !link.announce.is_empty() || (keepalive_due && holding.contains(home)) {
                    due_homes.push(*home);
                }
            }
        }
        for home in due_homes {
            self.send_batches(home, |held, link| status_batches(home, held, link, now));
        }
    }

    /// Returns the number of permits held.
    pub fn held(&self) -> usize {
        lock(&self.state).held.len()
    }
}

/// Returns the permits held at a home, by shard: announcements where they are due, else counts.
fn status_batches(
    home: Tag,
    held: &IndexMap<u32, HeldPermit>,
    link: &mut HomeLink,
    now: Instant,
) -> Vec<ShardBatch> {
    let announce = std::mem::take(&mut link.announce);
    let held_shards = held.values().filter(|h| h.home == home).map(|h| h.shard);
    let shards: IndexSet<ShardId> = held_shards.chain(announce.iter().copied()).collect();
    let batch = |shard: ShardId| {
        let held_here = || held.iter().filter(move |(_, h)| h.home == home && h.shard == shard);
        let pending: Vec<u32> = link
            .pending
            .iter()
            .filter(|(_, p)| p.shard == shard)
            .map(|(number, _)| *number)
            .collect();
        // A pending request may have been granted already; the count is sent only when none is pending.
        let is_exact = pending.is_empty();
        let announcement = announce.contains(&shard).then(|| Announcement {
            held: held_here().map(|(number, h)| announced_permit(*number, h, now)).collect(),
            pending,
        });
        ShardBatch {
            announce: announcement,
            held: is_exact.then(|| held_here().count() as u32),
            ..ShardBatch::new(shard)
        }
    };
    shards.into_iter().map(batch).collect()
}

fn announced_permit(number: u32, permit: &HeldPermit, now: Instant) -> AnnouncedPermit {
    AnnouncedPermit {
        number: u64::from(number),
        engine: permit.engine,
        chat: permit.chat,
        team: permit.team,
        left_ms: millis(permit.expires_at.saturating_duration_since(now)),
    }
}
