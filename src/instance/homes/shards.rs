//! The homes that this instance holds: a thin layer of locks and routing of events around [`Home`].

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    clock::Clock,
    contract::permit::{AnnouncedPermit, PermitId, Reply},
    instance::cluster_state::snapshot::Snapshot,
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

/// Time for which a home is kept after its shard has moved to another instance, if it has no permits and no
/// waiting requests.
const IDLE_HOME_RETENTION: Duration = Duration::from_secs(60);

struct HomeSlot {
    home: Mutex<Home>,
    last_used: Mutex<Instant>,
    /// Instance that chat locations are replicated to.
    replica: Mutex<Option<Tag>>,
}

/// Reply of a home to a batch.
#[derive(Debug, Default)]
pub struct BatchReply {
    /// Replies to the permit requests of the batch, and to earlier ones of the same entry.
    pub replies: Vec<NumberedReply>,
    /// Whether the entry is to announce all permits that it holds.
    pub request_announcement: bool,
}

type Deliver = dyn Fn(PermitId, Reply) + Send + Sync;

/// A shard as shown to operators.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// Whether this instance is the shard's home. If not, it holds a replica of the chat locations, or grants
    /// permits while instances disagree on the home.
    pub is_home: bool,
    /// Current load bound: most permits of one engine.
    pub bound: u32,
    /// Requests waiting for a permit.
    pub queued: usize,
    /// Chats whose location is known.
    pub remembered: usize,
    /// Engines of the shard.
    pub engines: Vec<EngineStatus>,
}

/// An engine as shown to operators.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Tag of the engine's id.
    pub tag: Tag,
    /// Permits granted and not released.
    pub permits: u32,
    /// Load that the engine last reported.
    pub reported: Option<u32>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether the engine is suspected of being down.
    pub suspect: bool,
}

/// The homes that one instance holds.
pub struct HomeShards {
    clock: Clock,
    chats_max: usize,
    slots: Mutex<IndexMap<ShardId, Arc<HomeSlot>>>,
    deliver: Box<Deliver>,
}

impl HomeShards {
    /// Returns an empty set of homes.
    ///
    /// `chats_max` bounds the chat locations of each home; `deliver` receives the replies that are not part of the
    /// reply to a batch.
    pub fn new(
        clock: Clock,
        chats_max: usize,
        deliver: impl Fn(PermitId, Reply) + Send + Sync + 'static,
    ) -> HomeShards {
        HomeShards { clock, chats_max, slots: Mutex::default(), deliver: Box::new(deliver) }
    }

    /// Handles an entry's batch for one shard; `None` if the active revision has no such shard.
    pub fn handle_batch(
        &self,
        hello: &Hello,
        batch: ShardBatch,
        snapshot: &Snapshot,
    ) -> Option<BatchReply> {
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
                let full_number = |number: u32| hello.permit(number).number;
                let held = held
                    .into_iter()
                    .map(|h| AnnouncedPermit { number: full_number(wire_number(h.number)), ..h })
                    .collect();
                let pending = pending.into_iter().map(full_number).collect();
                actions.extend(home.handle(now, Event::Announce(hello.from, held, pending)));
            }
            if let Some(held) = batch.held {
                actions.extend(home.handle(now, Event::HeldCount(hello.from, held as usize)));
            }
            for request in batch.requests {
                let policy = snapshot.team_policy(request.team);
                actions.extend(
                    home.handle(now, Event::PermitRequest(request.into_request(hello), policy)),
                );
            }
        }
        Some(self.dispatch(actions, Some(hello.from)))
    }

    /// Runs the periodic work of every home, and removes homes that have moved and are idle.
    ///
    /// `is_home` tells whether this instance is the home of a shard by its own view.
    pub fn tick(&self, snapshot: &Snapshot, is_home: impl Fn(&Shard) -> bool) {
        let now = self.clock.now();
        for (id, slot) in self.all_slots() {
            let shard = snapshot.shard(id);
            let is_own = shard.is_some_and(&is_home);
            let mut actions = Vec::new();
            let idle = {
                let mut home = lock(&slot.home);
                actions.extend(home.handle(now, Event::Role(is_own)));
                actions.extend(home.handle(now, Event::Tick));
                home.permits() == 0 && home.queued() == 0
            };
            self.dispatch(actions, None);
            let unused = now.duration_since(*lock(&slot.last_used)) > IDLE_HOME_RETENTION;
            if idle && unused && !is_own {
                lock(&self.slots).swap_remove(&id);
            }
        }
    }

    /// Creates the homes of the shards whose home this instance is by its own view.
    pub fn create_homes(&self, snapshot: &Snapshot, is_home: impl Fn(&Shard) -> bool) {
        let shards = snapshot.services().flat_map(|view| &view.shards);
        for shard in shards.filter(|shard| is_home(shard)) {
            self.slot(shard.id, snapshot);
        }
    }

    /// Applies the engines and settings of a new revision, and removes the homes of shards that it lacks.
    pub fn apply_revision(&self, snapshot: &Snapshot) {
        let now = self.clock.now();
        for (id, slot) in self.all_slots() {
            let Some(shard) = snapshot.shard(id) else {
                lock(&self.slots).swap_remove(&id);
                continue;
            };
            let Some(settings) = self.settings(id, snapshot) else { continue };
            let mut home = lock(&slot.home);
            let mut actions = home.handle(now, Event::Settings(settings));
            actions.extend(home.handle(now, Event::Engines(shard.engines.clone())));
            drop(home);
            self.dispatch(actions, None);
        }
    }

    /// Passes to every home the events made for its shard.
    pub fn notify_all(&self, event: impl Fn(ShardId) -> Vec<Event>) {
        for (id, _) in self.all_slots() {
            self.notify(id, event(id));
        }
    }

    /// Returns the engines that are due for a probe.
    pub fn probes_due(&self) -> Vec<(ShardId, Tag)> {
        let now = self.clock.now();
        let due = |(id, slot): (ShardId, Arc<HomeSlot>)| {
            lock(&slot.home)
                .probes_due(now)
                .into_iter()
                .map(move |engine| (id, engine))
                .collect::<Vec<_>>()
        };
        self.all_slots().into_iter().flat_map(due).collect()
    }

    /// Returns the contexts to move now, at most `count_max` for each shard.
    pub fn context_moves(&self, count_max: usize) -> Vec<(ShardId, Vec<ContextMove>)> {
        let now = self.clock.now();
        let moves = |(id, slot): (ShardId, Arc<HomeSlot>)| {
            (id, lock(&slot.home).context_moves(now, count_max))
        };
        self.all_slots().into_iter().map(moves).filter(|(_, moves)| !moves.is_empty()).collect()
    }

    /// Passes events to the home of a shard, if this instance holds it.
    pub fn notify(&self, shard: ShardId, events: Vec<Event>) {
        let Some(slot) = lock(&self.slots).get(&shard).cloned() else { return };
        let now = self.clock.now();
        let mut actions = Vec::new();
        {
            let mut home = lock(&slot.home);
            events.into_iter().for_each(|event| actions.extend(home.handle(now, event)));
        }
        self.dispatch(actions, None);
    }

    /// Takes the chat locations to replicate now, at most `count_max` for each shard.
    ///
    /// `replica_of` names the instance that holds the replica of a shard, or the shard's home once it is another
    /// instance. All locations are replicated anew when that instance has changed.
    pub fn take_unreplicated(
        &self,
        snapshot: &Snapshot,
        count_max: usize,
        replica_of: impl Fn(&Shard) -> Option<Tag>,
    ) -> Vec<(Tag, ShardChatLocations)> {
        let mut changed = Vec::new();
        for (id, slot) in self.all_slots() {
            let Some(to) = snapshot.shard(id).and_then(&replica_of) else { continue };
            let mut home = lock(&slot.home);
            if lock(&slot.replica).replace(to) != Some(to) {
                home.chat_locations_mut().mark_all_unreplicated();
            }
            let locations = home.chat_locations_mut().take_unreplicated(count_max);
            if !locations.is_empty() {
                changed.push((to, ShardChatLocations { shard: id, locations }));
            }
        }
        changed
    }

    /// Applies chat locations received from another instance.
    pub fn apply_replicated(&self, chat_locations: ShardChatLocations, snapshot: &Snapshot) {
        let Some(slot) = self.slot(chat_locations.shard, snapshot) else { return };
        let now = self.clock.now();
        *lock(&slot.last_used) = now;
        lock(&slot.home).handle(now, Event::ReplicatedChats(chat_locations.locations));
    }

    fn all_slots(&self) -> Vec<(ShardId, Arc<HomeSlot>)> {
        lock(&self.slots).iter().map(|(id, slot)| (*id, Arc::clone(slot))).collect()
    }

    /// Returns the loads of the shards held here.
    pub fn loads(&self) -> Vec<(ShardId, ShardLoad)> {
        let now = self.clock.now();
        self.map_homes(|id, home| (id, home.shard_load(now)))
    }

    /// Returns the status of the homes held here.
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

    /// Returns the engine that `chat` was last on and the one it would go to now, if this instance holds its shard.
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

    fn slot(&self, id: ShardId, snapshot: &Snapshot) -> Option<Arc<HomeSlot>> {
        if let Some(slot) = lock(&self.slots).get(&id) {
            return Some(Arc::clone(slot));
        }
        let shard = snapshot.shard(id)?;
        let settings = self.settings(id, snapshot)?;
        let now = self.clock.now();
        let home = Mutex::new(Home::new(settings, shard.engines.clone(), now));
        let slot =
            Arc::new(HomeSlot { home, last_used: Mutex::new(now), replica: Mutex::new(None) });
        let mut slots = lock(&self.slots);
        Some(Arc::clone(slots.entry(id).or_insert(slot)))
    }

    fn settings(&self, id: ShardId, snapshot: &Snapshot) -> Option<HomeSettings> {
        let service = &snapshot.service_by_tag(id.service)?.service;
        Some(HomeSettings {
            load_bound: service.load_bound,
            queue_max: service.queue as usize,
            chats_max: self.chats_max,
            affinity_wait: service.affinity_wait.0,
        })
    }

    /// Collects the actions for `current_entry` in the reply to its batch, and delivers the replies to other
    /// entries.
    fn dispatch(&self, actions: Vec<Action>, current_entry: Option<Tag>) -> BatchReply {
        let mut batch_reply = BatchReply::default();
        for action in actions {
            match action {
                Action::RequestAnnouncement(_) => batch_reply.request_announcement = true,
                Action::Reply(id, reply) if Some(id.entry) == current_entry => {
                    let reply = ReplyWire::new(reply);
                    batch_reply
                        .replies
                        .push(NumberedReply { number: wire_number(id.number), reply });
                }
                Action::Reply(id, reply) => (self.deliver)(id, reply),
            }
        }
        batch_reply
    }
}
