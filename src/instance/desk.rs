//! The entry's side of permits: asks in batches, holds permits, gives them back.
//!
//! Asks for one home that arrive while an exchange with it is under way travel together in the
//! next one; releases ride along. The thread that finds a home's link free leads the exchange for
//! all that wait, so an idle link costs no hand-over between threads.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    clock::Clock,
    contract::permit::{Ask, Held, PermitId, Release, ReleaseKind, Reply},
    link::wire::{
        AskReply, AskRequest, AskWire, Hello, LateReply, ReleaseWire, ReplyWire, ShardBatch,
        millis, short,
    },
    names::Tag,
    utils::sync::lock,
    zone::{rendezvous::ChatKey, shard::ShardId},
};

/// Longest wait of a release for an ask to ride on.
const RELEASE_WAIT: Duration = Duration::from_millis(100);

/// Silence towards a home that holds permits of this entry, after which it is told they stand.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Pause of a waiting thread before it looks again whether it should go on waiting.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Tells a home not to compare counts, since late grants may be on their way.
const COUNT_UNSURE: u32 = u32::MAX;

type Exchange = dyn Fn(Tag, &AskRequest) -> Result<AskReply, HomeLost> + Send + Sync;

/// A home was not reached or did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeLost;

/// How a home is reached: in this process or by an exchange.
pub struct DeskLinks {
    /// Exchanges a message with a home; `Err` when it was not reached or did not answer.
    pub exchange: Box<Exchange>,
    /// Starts waiting for late replies of a home, until `Desk::waits_for` it no longer.
    pub start_waiting: Box<dyn Fn(Tag) + Send + Sync>,
    /// Returns the greeting of the moment.
    pub hello: Box<dyn Fn() -> Hello + Send + Sync>,
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
pub enum AskEnd {
    /// The home answered otherwise.
    Reply(Reply),
    /// The home was not reached.
    HomeLost,
    /// The time ran out.
    Deadline,
    /// The caller went away.
    CallerGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Waiting,
    Lead,
    Answered(Reply),
    HomeLost,
    GivenUp,
}

/// Where one asking thread waits.
#[derive(Debug)]
struct Slot {
    state: Mutex<SlotState>,
    changed: Condvar,
}

impl Slot {
    fn set(&self, state: SlotState) {
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
    until: Instant,
}

/// What is to be told to one home.
#[derive(Debug, Default)]
struct Link {
    busy: bool,
    asks: Vec<(ShardId, AskWire, Arc<Slot>)>,
    releases: Vec<(ShardId, ReleaseWire)>,
    oldest_release: Option<Instant>,
    announce: HashSet<ShardId>,
    queued: HashMap<u32, (ShardId, AskWire, Arc<Slot>)>,
    waiting: bool,
    last_exchange: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    counter: u32,
    held: HashMap<u32, HeldPermit>,
    links: HashMap<Tag, Link>,
}

/// An entry's permits and the asks for more.
pub struct Desk {
    clock: Clock,
    incarnation: u32,
    own: Tag,
    state: Mutex<State>,
    links: DeskLinks,
}

impl Desk {
    /// Returns the desk of an entry that holds nothing.
    pub fn new(own: Tag, incarnation: u32, clock: Clock, links: DeskLinks) -> Desk {
        Desk { clock, incarnation, own, state: Mutex::default(), links }
    }

    /// Returns the identity of a new ask.
    pub fn next_id(&self) -> PermitId {
        let mut state = lock(&self.state);
        state.counter = state.counter.wrapping_add(1);
        PermitId {
            entry: self.own,
            number: u64::from(self.incarnation) << 32 | u64::from(state.counter),
        }
    }

    /// Asks `home` for a permit and waits for its answer.
    ///
    /// `go_on` is asked every 100 ms of waiting.
    ///
    /// # Errors
    ///
    /// See [`AskEnd`]; whatever the home granted meanwhile is given back.
    pub fn ask(
        &self,
        home: Tag,
        shard: ShardId,
        ask: &Ask,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<Permit, AskEnd> {
        let until = self.clock.now() + ask.left;
        let slot =
            Arc::new(Slot { state: Mutex::new(SlotState::Waiting), changed: Condvar::new() });
        let leads = {
            let mut state = lock(&self.state);
            let link = state.links.entry(home).or_default();
            link.asks.push((shard, AskWire::of(ask), Arc::clone(&slot)));
            !std::mem::replace(&mut link.busy, true)
        };
        if leads {
            self.lead(home);
        }
        let number = short(ask.id.number);
        loop {
            let seen = *lock(&slot.state);
            match seen {
                SlotState::Answered(Reply::Granted(engine)) => {
                    return Ok(Permit { number: ask.id.number, engine });
                }
                SlotState::Answered(reply) => return Err(AskEnd::Reply(reply)),
                SlotState::HomeLost | SlotState::GivenUp => return Err(AskEnd::HomeLost),
                SlotState::Lead => {
                    *lock(&slot.state) = SlotState::Waiting;
                    self.lead(home);
                }
                SlotState::Waiting => {
                    if let Some(end) = self.wait_a_little(&slot, until, go_on) {
                        self.give_up(home, shard, number, &slot);
                        return Err(end);
                    }
                }
            }
        }
    }

    fn wait_a_little(
        &self,
        slot: &Slot,
        until: Instant,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Option<AskEnd> {
        let state = lock(&slot.state);
        if *state != SlotState::Waiting {
            return None;
        }
        let left = until.saturating_duration_since(self.clock.now());
        if left.is_zero() {
            return Some(AskEnd::Deadline);
        }
        // Woken or not, the state is looked at again by the caller.
        drop(slot.changed.wait_timeout(state, left.min(LOOK_PERIOD)));
        (!go_on()).then_some(AskEnd::CallerGone)
    }

    /// Withdraws an ask: what the home granted or queued for it is given back.
    fn give_up(&self, home: Tag, shard: ShardId, number: u32, slot: &Slot) {
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        let led = std::mem::replace(&mut *lock(&slot.state), SlotState::GivenUp) == SlotState::Lead;
        held.remove(&number);
        link.queued.remove(&number);
        link.asks.retain(|(_, ask, _)| ask.number != number);
        let release = Release { number: u64::from(number), kind: ReleaseKind::Unused, load: None };
        push_release(link, self.clock.now(), shard, &release);
        if led {
            pass_lead(link);
        }
    }

    /// Gives a permit back; it travels with the next ask or after [`RELEASE_WAIT`].
    pub fn release(&self, permit: Permit, kind: ReleaseKind, load: Option<u32>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let Some(held) = state.held.remove(&short(permit.number)) else { return };
        let link = state.links.entry(held.home).or_default();
        push_release(link, now, held.shard, &Release { number: permit.number, kind, load });
    }

    /// Exchanges with `home` once; the caller has marked the link busy.
    fn lead(&self, home: Tag) {
        let (request, sent) = self.collect(home);
        let answer = (self.links.exchange)(home, &request);
        self.distribute(home, &request, sent, answer);
    }

    fn collect(&self, home: Tag) -> (AskRequest, Vec<Vec<Arc<Slot>>>) {
        let now = self.clock.now();
        let hello = (self.links.hello)();
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        link.last_exchange = Some(now);
        link.oldest_release = None;
        let asks = std::mem::take(&mut link.asks);
        let releases = std::mem::take(&mut link.releases);
        let announce = std::mem::take(&mut link.announce);
        let mut shards: Vec<ShardId> = asks.iter().map(|(shard, ..)| *shard).collect();
        shards.extend(releases.iter().map(|(shard, _)| *shard));
        shards.extend(&announce);
        shards.extend(held.values().filter(|h| h.home == home).map(|h| h.shard));
        shards.sort_unstable();
        shards.dedup();
        let mut sent = Vec::new();
        let mut batches = Vec::new();
        for shard in shards {
            let own = || held.iter().filter(|(_, h)| h.home == home && h.shard == shard);
            let unsure = link.queued.values().any(|(queued, ..)| *queued == shard);
            let (wires, slots): (Vec<AskWire>, Vec<Arc<Slot>>) = asks
                .iter()
                .filter(|(at, ..)| *at == shard)
                .map(|(_, wire, slot)| (wire.clone(), Arc::clone(slot)))
                .unzip();
            let announcement = || own().map(|(number, h)| held_of(*number, h, now)).collect();
            batches.push(ShardBatch {
                shard,
                releases: releases.iter().filter(|(at, _)| *at == shard).map(|(_, r)| *r).collect(),
                announce: (announce.contains(&shard) && !unsure).then(announcement),
                held: if unsure { COUNT_UNSURE } else { own().count() as u32 },
                asks: wires,
            });
            sent.push(slots);
        }
        (AskRequest { hello, batches }, sent)
    }

    fn distribute(
        &self,
        home: Tag,
        request: &AskRequest,
        sent: Vec<Vec<Arc<Slot>>>,
        answer: Result<AskReply, HomeLost>,
    ) {
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        let waited = link.waiting;
        match answer {
            Err(HomeLost) => sent.iter().flatten().for_each(|slot| slot.set(SlotState::HomeLost)),
            Ok(answer) => {
                for (at, (batch, slots)) in request.batches.iter().zip(&sent).enumerate() {
                    if answer.want_announcement.contains(&(at as u16)) {
                        link.announce.insert(batch.shard);
                    }
                    let replies = answer.replies.get(at).map_or(&[][..], Vec::as_slice);
                    for ((ask, slot), reply) in batch.asks.iter().zip(slots).zip(replies) {
                        self.take_reply(held, link, home, batch.shard, ask, slot, reply.reply());
                    }
                }
            }
        }
        let starts_waiting = link.waiting && !waited;
        pass_lead(link);
        drop(state);
        if starts_waiting {
            (self.links.start_waiting)(home);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of the locked state and one ask's reply"
    )]
    fn take_reply(
        &self,
        held: &mut HashMap<u32, HeldPermit>,
        link: &mut Link,
        home: Tag,
        shard: ShardId,
        ask: &AskWire,
        slot: &Arc<Slot>,
        reply: Reply,
    ) {
        if *lock(&slot.state) == SlotState::GivenUp {
            // Its release is already in line behind this exchange.
            return;
        }
        match reply {
            Reply::Queued => {
                link.queued.insert(ask.number, (shard, ask.clone(), Arc::clone(slot)));
                link.waiting = true;
                return;
            }
            Reply::Granted(engine) => {
                let until = self.clock.now() + Duration::from_millis(u64::from(ask.left_ms));
                let permit =
                    HeldPermit { shard, home, engine, chat: ask.chat, team: ask.team, until };
                held.insert(ask.number, permit);
            }
            Reply::Spill | Reply::Refused { .. } => {}
        }
        slot.set(SlotState::Answered(reply));
    }

    /// Returns whether asks wait at `home`; when none do, the waiting is over.
    pub fn waits_for(&self, home: Tag) -> bool {
        let mut state = lock(&self.state);
        let link = state.links.entry(home).or_default();
        link.waiting = !link.queued.is_empty();
        link.waiting
    }

    /// Takes in a home's late replies.
    pub fn late(&self, home: Tag, replies: Vec<LateReply>) {
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        for LateReply { number, reply } in replies {
            // Whoever has given up has its release in line already.
            if let Some((shard, ask, slot)) = link.queued.remove(&number) {
                self.take_reply(held, link, home, shard, &ask, &slot, reply.reply());
            }
        }
    }

    /// Takes in a late reply of this instance's own home.
    pub fn late_own(&self, id: PermitId, reply: Reply) {
        self.late(
            self.own,
            vec![LateReply { number: short(id.number), reply: ReplyWire::of(reply) }],
        );
    }

    /// Notes that `home` is lost: what waits there is asked again elsewhere.
    pub fn home_lost(&self, home: Tag) {
        let mut state = lock(&self.state);
        let link = state.links.entry(home).or_default();
        for (_, (_, _, slot)) in link.queued.drain() {
            slot.set(SlotState::HomeLost);
        }
    }

    /// Sends what has waited long enough; called every few tens of milliseconds.
    ///
    /// `home_of` returns the home of a shard by the view of the moment; permits whose shard has
    /// moved are announced to the new home.
    pub fn flush(&self, home_of: impl Fn(ShardId) -> Option<Tag>) {
        let now = self.clock.now();
        let mut due = Vec::new();
        {
            let mut state = lock(&self.state);
            let State { held, links, .. } = &mut *state;
            for permit in held.values_mut() {
                let Some(home) = home_of(permit.shard) else { continue };
                if home != permit.home {
                    permit.home = home;
                    links.entry(home).or_default().announce.insert(permit.shard);
                }
            }
            let homes: HashSet<Tag> = held.values().map(|h| h.home).collect();
            for (home, link) in links.iter_mut() {
                let ripe =
                    link.oldest_release.is_some_and(|at| now.duration_since(at) >= RELEASE_WAIT);
                let silent =
                    link.last_exchange.is_none_or(|at| now.duration_since(at) >= KEEPALIVE);
                let keepalive = silent && homes.contains(home);
                if (ripe || keepalive || !link.announce.is_empty()) && !link.busy {
                    link.busy = true;
                    due.push(*home);
                }
            }
        }
        for home in due {
            self.lead(home);
        }
    }

    /// Sends every release now; for the end of a drain.
    pub fn flush_all(&self) {
        let homes: Vec<Tag> = {
            let mut state = lock(&self.state);
            let links = state.links.iter_mut();
            let due = links.filter(|(_, link)| !link.releases.is_empty() && !link.busy);
            due.map(|(home, link)| {
                link.busy = true;
                *home
            })
            .collect()
        };
        homes.into_iter().for_each(|home| self.lead(home));
    }

    /// Returns the number of permits held.
    pub fn held(&self) -> usize {
        lock(&self.state).held.len()
    }
}

/// Hands the link to the first that waits; without one the link is free.
fn pass_lead(link: &mut Link) {
    match link.asks.first() {
        Some((_, _, slot)) => slot.set(SlotState::Lead),
        None => link.busy = false,
    }
}

fn push_release(link: &mut Link, now: Instant, shard: ShardId, release: &Release) {
    link.oldest_release.get_or_insert(now);
    link.releases.push((shard, ReleaseWire::of(release)));
}

fn held_of(number: u32, permit: &HeldPermit, now: Instant) -> Held {
    Held {
        number: u64::from(number),
        engine: permit.engine,
        chat: permit.chat,
        team: permit.team,
        left_ms: millis(permit.until.saturating_duration_since(now)),
    }
}
