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
        Announcement, HomeMessage, NumberedReply, PermitRequestWire, ReleaseWire, ReplyWire,
        ShardBatch, millis, wire_number,
    },
    names::Tag,
    utils::sync::lock,
    zone::{rendezvous::ChatKey, shard::ShardId},
};

/// Silence towards a home that holds permits of this entry, after which it is told their number.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Pause of a waiting thread before it looks again whether it should go on waiting.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// How homes are reached.
pub struct DeskLinks {
    /// Hands batches to a home; false when it is not reached.
    pub send: Box<dyn Fn(Tag, Vec<ShardBatch>) -> bool + Send + Sync>,
    /// Cuts the stream to a home that does not answer.
    pub cut: Box<dyn Fn(Tag) + Send + Sync>,
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
    /// The home was not reached or did not answer.
    HomeLost,
    /// The time ran out.
    Deadline,
    /// The caller went away.
    CallerGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    /// The home has not answered yet.
    Asked,
    /// The home has put the ask in its queue.
    Queued,
    /// The home has decided.
    Answered(Reply),
    /// The home was lost.
    HomeLost,
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

/// An ask that its home has not decided.
#[derive(Debug)]
struct PendingAsk {
    shard: ShardId,
    ask: PermitRequestWire,
    slot: Arc<Slot>,
}

/// What is known of one home.
#[derive(Debug, Default)]
struct Link {
    order: Arc<Mutex<()>>,
    pending: HashMap<u32, PendingAsk>,
    announce: HashSet<ShardId>,
    last_sent: Option<Instant>,
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
    reply_time: Duration,
    state: Mutex<State>,
    links: DeskLinks,
}

impl Desk {
    /// Returns the desk of an entry that holds nothing.
    ///
    /// A home that gives no first reply within `reply_time` counts as lost.
    pub fn new(
        own: Tag,
        incarnation: u32,
        reply_time: Duration,
        clock: Clock,
        links: DeskLinks,
    ) -> Desk {
        Desk { clock, incarnation, own, reply_time, state: Mutex::default(), links }
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
        ask: &PermitRequest,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<Permit, AskEnd> {
        let began = self.clock.now();
        let slot = Arc::new(Slot { state: Mutex::new(SlotState::Asked), changed: Condvar::new() });
        let number = wire_number(ask.id.number);
        let wire = PermitRequestWire::new(ask);
        let sent = self.tell(home, |_, link| {
            let pending = PendingAsk { shard, ask: wire.clone(), slot: Arc::clone(&slot) };
            link.pending.insert(number, pending);
            vec![ShardBatch { requests: vec![wire], ..ShardBatch::new(shard) }]
        });
        if !sent {
            self.home_lost(home);
        }
        let end = loop {
            let state = *lock(&slot.state);
            match state {
                SlotState::Answered(Reply::Granted(engine)) => {
                    return Ok(Permit { number: ask.id.number, engine });
                }
                SlotState::Answered(reply) => return Err(AskEnd::Reply(reply)),
                SlotState::HomeLost => return Err(AskEnd::HomeLost),
                SlotState::Asked | SlotState::Queued => {}
            }
            let reply_until = if state == SlotState::Asked {
                began + self.reply_time
            } else {
                began + ask.time_left
            };
            if let Some(end) =
                self.wait_a_little(&slot, state, reply_until.min(began + ask.time_left), go_on)
            {
                break end;
            }
        };
        self.give_up(home, shard, number);
        let unanswered = *lock(&slot.state) == SlotState::Asked;
        if end == AskEnd::Deadline && unanswered && self.clock.now() < began + ask.time_left {
            // No first reply in time: the home is frozen or cut off.
            (self.links.cut)(home);
            self.home_lost(home);
            return Err(AskEnd::HomeLost);
        }
        Err(end)
    }

    fn wait_a_little(
        &self,
        slot: &Slot,
        seen: SlotState,
        until: Instant,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Option<AskEnd> {
        let state = lock(&slot.state);
        if *state != seen {
            return None;
        }
        let time_left = until.saturating_duration_since(self.clock.now());
        if time_left.is_zero() {
            return Some(AskEnd::Deadline);
        }
        // Woken or not, the state is looked at again by the caller.
        drop(slot.changed.wait_timeout(state, time_left.min(LOOK_PERIOD)));
        (!go_on()).then_some(AskEnd::CallerGone)
    }

    /// Withdraws an ask: what the home granted or queued for it is given back.
    fn give_up(&self, home: Tag, shard: ShardId, number: u32) {
        let release = Release { number: u64::from(number), kind: ReleaseKind::Unused, load: None };
        self.tell(home, |held, link| {
            link.pending.remove(&number);
            held.remove(&number);
            vec![ShardBatch {
                releases: vec![ReleaseWire::new(&release)],
                ..ShardBatch::new(shard)
            }]
        });
    }

    /// Gives a permit back.
    pub fn release(&self, permit: Permit, kind: ReleaseKind, load: Option<u32>) {
        let number = wire_number(permit.number);
        let Some((home, shard)) = lock(&self.state).held.get(&number).map(|h| (h.home, h.shard))
        else {
            return;
        };
        let release = Release { number: permit.number, kind, load };
        // A home that is not reached learns by the count, or drops what it hears no more of.
        self.tell(home, |held, _| {
            held.remove(&number);
            vec![ShardBatch {
                releases: vec![ReleaseWire::new(&release)],
                ..ShardBatch::new(shard)
            }]
        });
    }

    /// Puts batches together and hands them over, one message to a home at a time.
    fn tell(
        &self,
        home: Tag,
        make: impl FnOnce(&mut HashMap<u32, HeldPermit>, &mut Link) -> Vec<ShardBatch>,
    ) -> bool {
        let order = Arc::clone(&lock(&self.state).links.entry(home).or_default().order);
        let _in_order = lock(&order);
        let batches = {
            let mut state = lock(&self.state);
            let State { held, links, .. } = &mut *state;
            let link = links.entry(home).or_default();
            link.last_sent = Some(self.clock.now());
            make(held, link)
        };
        batches.is_empty() || (self.links.send)(home, batches)
    }

    /// Takes in a home's message.
    pub fn take(&self, home: Tag, message: HomeMessage) {
        let mut state = lock(&self.state);
        let State { held, links, .. } = &mut *state;
        let link = links.entry(home).or_default();
        link.announce.extend(message.request_announcement);
        for NumberedReply { number, reply } in message.replies {
            // Whoever has given up has its release on the way already.
            let Some(pending) = link.pending.get(&number) else { continue };
            let reply = reply.reply();
            if reply == Reply::Queued {
                pending.slot.set(SlotState::Queued);
                continue;
            }
            if let Some(PendingAsk { shard, ask, slot }) = link.pending.remove(&number) {
                if let Reply::Granted(engine) = reply {
                    let until = self.clock.now() + Duration::from_millis(u64::from(ask.left_ms));
                    held.insert(
                        number,
                        HeldPermit { shard, home, engine, chat: ask.chat, team: ask.team, until },
                    );
                }
                slot.set(SlotState::Answered(reply));
            }
        }
    }

    /// Takes in a late reply of this instance's own home.
    pub fn take_own(&self, id: PermitId, reply: Reply) {
        let reply = NumberedReply { number: wire_number(id.number), reply: ReplyWire::new(reply) };
        self.take(self.own, HomeMessage { replies: vec![reply], ..HomeMessage::default() });
    }

    /// Notes that `home` is lost: what waits there is asked again elsewhere.
    pub fn home_lost(&self, home: Tag) {
        let mut state = lock(&self.state);
        let link = state.links.entry(home).or_default();
        for (_, pending) in link.pending.drain() {
            pending.slot.set(SlotState::HomeLost);
        }
    }

    /// Tells homes what they want announced, and that permits still stand; called every few tens
    /// of milliseconds.
    ///
    /// `home_of` returns the home of a shard by the view of the moment; permits whose shard has
    /// moved are announced to the new home.
    pub fn flush(&self, home_of: impl Fn(ShardId) -> Option<Tag>) {
        let now = self.clock.now();
        let shards: HashSet<ShardId> = lock(&self.state).held.values().map(|h| h.shard).collect();
        let moved: HashMap<ShardId, Tag> =
            shards.into_iter().filter_map(|id| Some((id, home_of(id)?))).collect();
        let mut due = Vec::new();
        {
            let mut state = lock(&self.state);
            let State { held, links, .. } = &mut *state;
            for permit in held.values_mut() {
                let Some(&home) = moved.get(&permit.shard) else { continue };
                if home != permit.home {
                    permit.home = home;
                    links.entry(home).or_default().announce.insert(permit.shard);
                }
            }
            let holding: HashSet<Tag> = held.values().map(|h| h.home).collect();
            for (home, link) in links.iter() {
                let silent = link.last_sent.is_none_or(|at| now.duration_since(at) >= KEEPALIVE);
                if !link.announce.is_empty() || (silent && holding.contains(home)) {
                    due.push(*home);
                }
            }
        }
        for home in due {
            self.tell(home, |held, link| standing(home, held, link, now));
        }
    }

    /// Returns the number of permits held.
    pub fn held(&self) -> usize {
        lock(&self.state).held.len()
    }
}

/// Returns what stands at a home: announcements where they are wanted, else counts.
fn standing(
    home: Tag,
    held: &HashMap<u32, HeldPermit>,
    link: &mut Link,
    now: Instant,
) -> Vec<ShardBatch> {
    let announce = std::mem::take(&mut link.announce);
    let own = held.values().filter(|h| h.home == home).map(|h| h.shard);
    let shards: HashSet<ShardId> = own.chain(announce.iter().copied()).collect();
    let batch = |shard: ShardId| {
        let here = || held.iter().filter(move |(_, h)| h.home == home && h.shard == shard);
        let pending: Vec<u32> = link
            .pending
            .iter()
            .filter(|(_, p)| p.shard == shard)
            .map(|(number, _)| *number)
            .collect();
        let sure = pending.is_empty();
        let announcement = announce.contains(&shard).then(|| Announcement {
            held: here().map(|(number, h)| held_of(*number, h, now)).collect(),
            pending,
        });
        ShardBatch {
            announce: announcement,
            held: sure.then(|| here().count() as u32),
            ..ShardBatch::new(shard)
        }
    };
    shards.into_iter().map(batch).collect()
}

fn held_of(number: u32, permit: &HeldPermit, now: Instant) -> AnnouncedPermit {
    AnnouncedPermit {
        number: u64::from(number),
        engine: permit.engine,
        chat: permit.chat,
        team: permit.team,
        left_ms: millis(permit.until.saturating_duration_since(now)),
    }
}
