//! The entry's side of permits: asks homes, holds permits, gives them back.
//!
//! Each home is told by one stream of messages; what is told to one home is put together and
//! handed over in one order, so that counts and announcements are true when they arrive.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    clock::Clock,
    contract::permit::{AnnouncedPermit, PermitId, PermitRequest, Release, ReleaseKind, Reply},
    link::wire::{
        Announcement, AskWire, HomeMessage, NumberedReply, ReleaseWire, ReplyWire, ShardBatch,
        millis, short,
    },
    names::Tag,
    utils::sync::lock,
    zone::{rendezvous::ChatKey, shard::ShardId},
};

/// Silence towards a home that holds permits of this entry, after which it is told their number.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Pause of a waiting thread before it looks again whether it should go on waiting.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// How homes are reached.
pub struct HomeTransport {
    /// Hands batches to a home; false when it is not reached.
    pub send: Box<dyn Fn(Tag, Vec<ShardBatch>) -> bool + Send + Sync>,
    /// Cuts the stream to a home that does not answer.
    pub disconnect: Box<dyn Fn(Tag) + Send + Sync>,
}

/// A permit in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Its number.
    pub number: u64,
    /// The engine it is for.
    pub engine: Tag,
}

/// How an ask ended without a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// The home answered otherwise.
    Reply(Reply),
    /// The home was not reached or did not answer.
    HomeLost,
    /// The time ran out.
    Deadline,
    /// The caller went away.
    CallerGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The home has not answered yet.
    Sent,
    /// The home has put the ask in its queue.
    Queued,
    /// The home has decided.
    Decided(Reply),
    /// The home was lost.
    HomeLost,
}

/// Where one asking thread waits.
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

/// An ask that its home has not decided.
#[derive(Debug)]
struct PendingRequest {
    shard: ShardId,
    request: AskWire,
    slot: Arc<ReplySlot>,
}

/// What is known of one home.
#[derive(Debug, Default)]
struct HomeLink {
    send_lock: Arc<Mutex<()>>,
    pending: HashMap<u32, PendingRequest>,
    announce: HashSet<ShardId>,
    last_sent: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    counter: u32,
    held: HashMap<u32, HeldPermit>,
    links: HashMap<Tag, HomeLink>,
}

/// An entry's permits and the asks for more.
pub struct PermitClient {
    clock: Clock,
    incarnation: u32,
    own: Tag,
    reply_timeout: Duration,
    state: Mutex<State>,
    transport: HomeTransport,
}

impl PermitClient {
    /// Returns the desk of an entry that holds nothing.
    ///
    /// A home that gives no first reply within `reply_timeout` counts as lost.
    pub fn new(
        own: Tag,
        incarnation: u32,
        reply_timeout: Duration,
        clock: Clock,
        transport: HomeTransport,
    ) -> PermitClient {
        PermitClient { clock, incarnation, own, reply_timeout, state: Mutex::default(), transport }
    }

    /// Returns the identity of a new ask.
    pub fn next_permit_id(&self) -> PermitId {
        let mut state = lock(&self.state);
        state.counter = state.counter.wrapping_add(1);
        PermitId {
            entry: self.own,
            number: u64::from(self.incarnation) << 32 | u64::from(state.counter),
        }
    }

    /// Asks `home` for a permit and waits for its answer.
    ///
    /// `keep_waiting` is asked every 100 ms of waiting.
    ///
    /// # Errors
    ///
    /// See [`PermitError`]; whatever the home granted meanwhile is given back.
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
        let number = short(request.id.number);
        let wire = AskWire::of(request);
        let sent = self.send_batches(home, |_, link| {
            let pending = PendingRequest { shard, request: wire.clone(), slot: Arc::clone(&slot) };
            link.pending.insert(number, pending);
            vec![ShardBatch { asks: vec![wire], ..ShardBatch::new(shard) }]
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
            // No first reply in time: the home is frozen or cut off.
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
        // Woken or not, the state is looked at again by the caller.
        drop(slot.changed.wait_timeout(state, time_left.min(POLL_PERIOD)));
        (!keep_waiting()).then_some(PermitError::CallerGone)
    }

    /// Withdraws an ask: what the home granted or queued for it is given back.
    fn withdraw(&self, home: Tag, shard: ShardId, number: u32) {
        let release = Release { number: u64::from(number), kind: ReleaseKind::Unused, load: None };
        self.send_batches(home, |held, link| {
            link.pending.remove(&number);
            held.remove(&number);
            vec![ShardBatch { releases: vec![ReleaseWire::of(&release)], ..ShardBatch::new(shard) }]
        });
    }

    /// Gives a permit back.
    pub fn release(&self, permit: Permit, kind: ReleaseKind, load: Option<u32>) {
        let number = short(permit.number);
        let Some((home, shard)) = lock(&self.state).held.get(&number).map(|h| (h.home, h.shard))
        else {
            return;
        };
        let release = Release { number: permit.number, kind, load };
        // A home that is not reached learns by the count, or drops what it hears no more of.
        self.send_batches(home, |held, _| {
            held.remove(&number);
            vec![ShardBatch { releases: vec![ReleaseWire::of(&release)], ..ShardBatch::new(shard) }]
        });
    }

    /// Puts batches together and hands them over, one message to a home at a time.
    fn send_batches(
        &self,
        home: Tag,
        make: impl FnOnce(&mut HashMap<u32, HeldPermit>, &mut HomeLink) -> Vec<ShardBatch>,
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

    /// Takes in a home's message.
    pub fn handle_message(&self, home: Tag, message: HomeMessage) {
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        link.announce.extend(message.want_announcement);
        for NumberedReply { number, reply } in message.replies {
            // Whoever has given up has its release on the way already.
            let Some(pending) = link.pending.get(&number) else { continue };
            let reply = reply.reply();
            if reply == Reply::Queued {
                pending.slot.set(RequestState::Queued);
                continue;
            }
            if let Some(PendingRequest { shard, request, slot }) = link.pending.remove(&number) {
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

    /// Takes in a late reply of this instance's own home.
    pub fn handle_own_reply(&self, id: PermitId, reply: Reply) {
        let reply = NumberedReply { number: short(id.number), reply: ReplyWire::of(reply) };
        self.handle_message(
            self.own,
            HomeMessage { replies: vec![reply], ..HomeMessage::default() },
        );
    }

    /// Notes that `home` is lost: what waits there is asked again elsewhere.
    pub fn note_home_lost(&self, home: Tag) {
        let mut state = lock(&self.state);
        let link = state.links.entry(home).or_default();
        for (_, pending) in link.pending.drain() {
            pending.slot.set(RequestState::HomeLost);
        }
    }

    /// Tells homes what they want announced, and that permits still stand; called every few tens
    /// of milliseconds.
    ///
    /// `home_of` returns the home of a shard by the view of the moment; permits whose shard has
    /// moved are announced to the new home.
    pub fn send_due(&self, home_of: impl Fn(ShardId) -> Option<Tag>) {
        let now = self.clock.now();
        let shards: HashSet<ShardId> = lock(&self.state).held.values().map(|h| h.shard).collect();
        let homes: HashMap<ShardId, Tag> =
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
            let holding: HashSet<Tag> = held.values().map(|h| h.home).collect();
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

/// Returns what stands at a home: announcements where they are wanted, else counts.
fn status_batches(
    home: Tag,
    held: &HashMap<u32, HeldPermit>,
    link: &mut HomeLink,
    now: Instant,
) -> Vec<ShardBatch> {
    let announce = std::mem::take(&mut link.announce);
    let held_shards = held.values().filter(|h| h.home == home).map(|h| h.shard);
    let shards: HashSet<ShardId> = held_shards.chain(announce.iter().copied()).collect();
    let batch = |shard: ShardId| {
        let held_here = || held.iter().filter(move |(_, h)| h.home == home && h.shard == shard);
        let pending: Vec<u32> = link
            .pending
            .iter()
            .filter(|(_, p)| p.shard == shard)
            .map(|(number, _)| *number)
            .collect();
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
