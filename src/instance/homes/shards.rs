//! The shards whose home this instance is: a thin shell around [`Home`].

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    clock::Clock,
    contract::permit::{AnnouncedPermit, PermitId, Reply},
    instance::knowledge::snapshot::Snapshot,
    link::wire::{
        Announcement, Hello, NumberedReply, ReplyWire, ShardBatch, ShardChatLocations, wire_number,
    },
    names::Tag,
    utils::sync::lock,
    zone::{
        context_moves::ContextMove,
        home::{Action, Event, Home, HomeSettings, ShardLoad},
        rendezvous::ChatKey,
        shard::{Shard, ShardId},
    },
};

/// Time for which a shard that has moved to another home and holds nothing is kept.
const LINGER: Duration = Duration::from_secs(60);

struct Slot {
    home: Mutex<Home>,
    last_used: Mutex<Instant>,
    /// Who is told where chats go.
    replica: Mutex<Option<Tag>>,
}

/// What a home tells in answer to a batch.
#[derive(Debug, Default)]
pub struct BatchAnswer {
    /// Replies to the asks, and to earlier ones of the same entry.
    pub replies: Vec<NumberedReply>,
    /// Whether the entry is to announce all it holds.
    pub request_announcement: bool,
}

type Deliver = dyn Fn(PermitId, Reply) + Send + Sync;

/// A shard as operators see it.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// Whether this instance is the shard's home; else it holds a replica of its memory, or
    /// grants while routers disagree.
    pub is_home: bool,
    /// Most permits of one engine now.
    pub bound: u32,
    /// Requests waiting.
    pub queued: usize,
    /// Chats remembered.
    pub remembered: usize,
    /// Engines: tag, permits, reported load, whether it may get work.
    pub engines: Vec<EngineStatus>,
}

/// An engine as operators see it.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Tag of its id.
    pub tag: Tag,
    /// Permits in force.
    pub permits: u32,
    /// Load it last reported.
    pub reported: Option<u32>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is suspected of being down.
    pub suspect: bool,
}

/// The homes of this instance.
pub struct HomeShards {
    clock: Clock,
    remembered: usize,
    slots: Mutex<HashMap<ShardId, Arc<Slot>>>,
    deliver: Box<Deliver>,
}

impl HomeShards {
    /// Returns an instance's homes; `deliver` takes replies to asks made earlier.
    pub fn new(
        clock: Clock,
        remembered: usize,
        deliver: impl Fn(PermitId, Reply) + Send + Sync + 'static,
    ) -> HomeShards {
        HomeShards { clock, remembered, slots: Mutex::default(), deliver: Box::new(deliver) }
    }

    /// Takes in an entry's batch for one shard; `None` when the file in force has no such shard.
    pub fn batch(
        &self,
        hello: &Hello,
        batch: ShardBatch,
        snapshot: &Snapshot,
    ) -> Option<BatchAnswer> {
        let slot = self.slot(batch.shard, snapshot)?;
        let now = self.clock.now();
        *lock(&slot.last_used) = now;
        let mut actions = Vec::new();
        {
            let mut home = lock(&slot.home);
            for release in batch.releases {
                actions.extend(
                    home.handle(now, Event::Release(hello.from, release.into_release(hello))),
                );
            }
            if let Some(Announcement { held, pending }) = batch.announce {
                let full = |number: u32| hello.permit(number).number;
                let held = held
                    .into_iter()
                    .map(|h| AnnouncedPermit { number: full(wire_number(h.number)), ..h })
                    .collect();
                let pending = pending.into_iter().map(full).collect();
                actions.extend(home.handle(now, Event::Announce(hello.from, held, pending)));
            }
            if let Some(held) = batch.held {
                actions.extend(home.handle(now, Event::HeldCount(hello.from, held as usize)));
            }
            for ask in batch.requests {
                let terms = snapshot.team_terms(ask.team);
                actions
                    .extend(home.handle(now, Event::PermitRequest(ask.into_request(hello), terms)));
            }
        }
        Some(self.carry_out(actions, Some(hello.from)))
    }

    /// Lets time pass for every home, and forgets those that have moved and hold nothing.
    ///
    /// `is_home` says whether this instance is the home of a shard by its own view.
    pub fn tick(&self, snapshot: &Snapshot, is_home: impl Fn(&Shard) -> bool) {
        let now = self.clock.now();
        for (id, slot) in self.all_slots() {
            let shard = snapshot.shard(id);
            let ours = shard.is_some_and(&is_home);
            let mut actions = Vec::new();
            let idle = {
                let mut home = lock(&slot.home);
                actions.extend(home.handle(now, Event::Role(ours)));
                actions.extend(home.handle(now, Event::Tick));
                home.permits() == 0 && home.queued() == 0
            };
            self.carry_out(actions, None);
            let unused = now.duration_since(*lock(&slot.last_used)) > LINGER;
            if idle && unused && !ours {
                lock(&self.slots).remove(&id);
            }
        }
    }

    /// Takes on the shards whose home this instance is by its own view.
    pub fn take_on(&self, snapshot: &Snapshot, is_home: impl Fn(&Shard) -> bool) {
        let shards = snapshot.services().flat_map(|view| &view.shards);
        for shard in shards.filter(|shard| is_home(shard)) {
            self.slot(shard.id, snapshot);
        }
    }

    /// Takes over the engines and terms of a new revision.
    pub fn install(&self, snapshot: &Snapshot) {
        let now = self.clock.now();
        for (id, slot) in self.all_slots() {
            let Some(shard) = snapshot.shard(id) else {
                lock(&self.slots).remove(&id);
                continue;
            };
            let Some(terms) = self.terms(id, snapshot) else { continue };
            let mut home = lock(&slot.home);
            let mut actions = home.handle(now, Event::Settings(terms));
            actions.extend(home.handle(now, Event::Engines(shard.engines.clone())));
            drop(home);
            self.carry_out(actions, None);
        }
    }

    /// Gives every home an event made for its shard.
    pub fn each(&self, event: impl Fn(ShardId) -> Vec<Event>) {
        for (id, _) in self.all_slots() {
            self.tell(id, event(id));
        }
    }

    /// Returns the engines that are due for a probe.
    pub fn probes_due(&self) -> Vec<(ShardId, Tag)> {
        let now = self.clock.now();
        let due = |(id, slot): (ShardId, Arc<Slot>)| {
            lock(&slot.home)
                .probes_due(now)
                .into_iter()
                .map(move |engine| (id, engine))
                .collect::<Vec<_>>()
        };
        self.all_slots().into_iter().flat_map(due).collect()
    }

    /// Returns the contexts to be moved now, at most `most` for each shard.
    pub fn context_moves(&self, most: usize) -> Vec<(ShardId, Vec<ContextMove>)> {
        let now = self.clock.now();
        let moves =
            |(id, slot): (ShardId, Arc<Slot>)| (id, lock(&slot.home).context_moves(now, most));
        self.all_slots().into_iter().map(moves).filter(|(_, moves)| !moves.is_empty()).collect()
    }

    /// Gives events to the home of one shard, if it is held here.
    pub fn tell(&self, shard: ShardId, events: Vec<Event>) {
        let Some(slot) = lock(&self.slots).get(&shard).cloned() else { return };
        let now = self.clock.now();
        let mut actions = Vec::new();
        {
            let mut home = lock(&slot.home);
            events.into_iter().for_each(|event| actions.extend(home.handle(now, event)));
        }
        self.carry_out(actions, None);
    }

    /// Returns what replicas are to be told now, at most `most` places for each shard.
    ///
    /// `replica_of` names who holds the replica of a shard's memory, or the shard's home once
    /// this instance no longer is it.
    pub fn untold(
        &self,
        snapshot: &Snapshot,
        most: usize,
        replica_of: impl Fn(&Shard) -> Option<Tag>,
    ) -> Vec<(Tag, ShardChatLocations)> {
        let mut told = Vec::new();
        for (id, slot) in self.all_slots() {
            let Some(to) = snapshot.shard(id).and_then(&replica_of) else { continue };
            let mut home = lock(&slot.home);
            if lock(&slot.replica).replace(to) != Some(to) {
                home.chat_locations_mut().mark_all_unreplicated();
            }
            let locations = home.chat_locations_mut().take_unreplicated(most);
            if !locations.is_empty() {
                told.push((to, ShardChatLocations { shard: id, locations }));
            }
        }
        told
    }

    /// Takes over where chats of a shard were last.
    pub fn remember(&self, memory: ShardChatLocations, snapshot: &Snapshot) {
        let Some(slot) = self.slot(memory.shard, snapshot) else { return };
        let now = self.clock.now();
        *lock(&slot.last_used) = now;
        lock(&slot.home).handle(now, Event::ReplicatedChats(memory.locations));
    }

    fn all_slots(&self) -> Vec<(ShardId, Arc<Slot>)> {
        lock(&self.slots).iter().map(|(id, slot)| (*id, Arc::clone(slot))).collect()
    }

    /// Returns the loads of the shards held here.
    pub fn loads(&self) -> Vec<(ShardId, ShardLoad)> {
        let now = self.clock.now();
        self.map_homes(|id, home| (id, home.shard_load(now)))
    }

    /// Returns the shards held here as operators see them.
    pub fn status(&self) -> Vec<ShardStatus> {
        let now = self.clock.now();
        self.map_homes(|shard, home| ShardStatus {
            shard,
            is_home: home.is_home(),
            bound: home.bound(now),
            queued: home.queued(),
            remembered: home.chat_count(),
            engines: home
                .engines()
                .map(|e| EngineStatus {
                    tag: e.spec.tag,
                    permits: e.permits,
                    reported: e.reported_load(),
                    leaving: e.is_leaving(),
                    suspect: e.is_suspect(now),
                })
                .collect(),
        })
    }

    /// Returns where `chat` was last and where it would go now, if its shard is held here.
    pub fn explain(&self, shard: ShardId, chat: ChatKey) -> Option<(Option<Tag>, Option<Tag>)> {
        let slot = lock(&self.slots).get(&shard).cloned()?;
        let home = lock(&slot.home);
        Some(home.explain(self.clock.now(), chat))
    }

    fn map_homes<T>(&self, f: impl Fn(ShardId, &Home) -> T) -> Vec<T> {
        let slots = lock(&self.slots);
        let mut all: Vec<_> = slots.iter().collect();
        all.sort_by_key(|(id, _)| **id);
        all.into_iter().map(|(id, slot)| f(*id, &lock(&slot.home))).collect()
    }

    fn slot(&self, id: ShardId, snapshot: &Snapshot) -> Option<Arc<Slot>> {
        if let Some(slot) = lock(&self.slots).get(&id) {
            return Some(Arc::clone(slot));
        }
        let shard = snapshot.shard(id)?;
        let terms = self.terms(id, snapshot)?;
        let now = self.clock.now();
        let home = Mutex::new(Home::new(terms, shard.engines.clone(), now));
        let slot = Arc::new(Slot { home, last_used: Mutex::new(now), replica: Mutex::new(None) });
        let mut slots = lock(&self.slots);
        Some(Arc::clone(slots.entry(id).or_insert(slot)))
    }

    fn terms(&self, id: ShardId, snapshot: &Snapshot) -> Option<HomeSettings> {
        let service = &snapshot.service_by_tag(id.service)?.service;
        Some(HomeSettings {
            load_bound: service.load_bound,
            queue_max: service.queue as usize,
            chats_max: self.remembered,
            affinity_wait: service.affinity_wait.0,
        })
    }

    /// Sorts actions into the answer to the entry at hand and late replies to others.
    fn carry_out(&self, actions: Vec<Action>, at_hand: Option<Tag>) -> BatchAnswer {
        let mut answer = BatchAnswer::default();
        for action in actions {
            match action {
                Action::RequestAnnouncement(_) => answer.request_announcement = true,
                Action::Reply(id, reply) if Some(id.entry) == at_hand => {
                    let reply = ReplyWire::new(reply);
                    answer.replies.push(NumberedReply { number: wire_number(id.number), reply });
                }
                Action::Reply(id, reply) => (self.deliver)(id, reply),
            }
        }
        answer
    }
}
