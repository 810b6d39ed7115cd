//! The home of one shard: grants permits and enforces the load bound.
//!
//! A state machine without I/O: `handle(now, event)` returns the actions to carry out. The home knows every request in
//! flight on its engines, so no engine is granted more than `ceil(bound x mean)` requests. The mean is taken over the
//! service and counts the arriving request (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam,
//! 2018).

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    contract::{
        permit::{
            AnnouncedPermit, PermitId, PermitRequest, RefuseReason, Release, ReleaseKind, Reply,
            TeamPolicy,
        },
        team_limits::TeamLimits,
    },
    names::Tag,
    zone::{
        chat_locations::ChatLocations,
        context_moves::{ContextMove, ContextMoveQueue},
        engine::{EngineSpec, EngineState},
        load_view::LoadView,
        permit_table::{Permit, PermitTable},
        rendezvous::{ChatKey, score},
        waiting::{AffinityWaiter, WaitQueues, WaitingRequest},
    },
};

pub use crate::zone::{
    home_event::{Action, Event, HomeSettings, ShardLoad},
    permit_table::{DISCONNECTED_ENTRY_TIMEOUT, ENTRY_TIMEOUT},
};

/// Time for which a new home also counts the loads that engines report, until entries have announced their permits.
pub const WARM_UP: Duration = Duration::from_millis(1500);

/// Age at which another shard's load no longer counts.
const OTHER_SHARD_AGE_MAX: Duration = Duration::from_secs(5);

/// Time from the deadline of a request until its permit expires.
const PERMIT_MARGIN: Duration = Duration::from_secs(2);

/// Retry-After of refusals for which there is no better estimate, and the least of those with one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The home of one shard.
#[derive(Debug)]
pub struct Home {
    settings: HomeSettings,
    engines: IndexMap<Tag, EngineState>,
    permits: PermitTable,
    waiting: WaitQueues,
    chats: ChatLocations,
    move_queue: ContextMoveQueue,
    teams: TeamLimits,
    other_shards: HashMap<Tag, (ShardLoad, Instant)>,
    warm_up_until: Option<Instant>,
    is_home: bool,
}

impl Home {
    /// Returns a home that has just taken over its shard.
    pub fn new(settings: HomeSettings, engines: Vec<EngineSpec>, now: Instant) -> Home {
        Home {
            settings,
            engines: engines.into_iter().map(|spec| (spec.tag, EngineState::new(spec))).collect(),
            permits: PermitTable::default(),
            waiting: WaitQueues::default(),
            chats: ChatLocations::new(settings.chats_max),
            move_queue: ContextMoveQueue::default(),
            teams: TeamLimits::default(),
            other_shards: HashMap::new(),
            warm_up_until: Some(now + WARM_UP),
            is_home: true,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::PermitRequest(request, policy) => {
                self.handle_request(now, request, policy, &mut actions)
            }
            Event::Release(entry, release) => self.release(now, entry, release, &mut actions),
            Event::EntryDisconnected(entry) => self.permits.note_disconnect(now, entry),
            Event::HeldCount(entry, held) => self.check_held_count(now, entry, held, &mut actions),
            Event::Announce(entry, held, pending) => {
                self.announce(now, entry, held, &pending, &mut actions)
            }
            Event::Engines(specs) => self.set_engines(now, specs, &mut actions),
            Event::Settings(settings) => self.settings = settings,
            Event::Probed(engine, load) => self.with_engine(engine, |e| e.note_probe(now, load)),
            Event::ProbeFailed(engine) => self.with_engine(engine, |e| e.note_failure(now)),
            Event::ListedLeaving(engine, leaving) => {
                self.with_engine(engine, |e| e.listed_leaving = leaving)
            }
            Event::AnnouncedLeaving(engine, leaving) => {
                self.with_engine(engine, |e| e.announced_leaving = leaving)
            }
            Event::OtherShardLoad(shard, load) => {
                self.other_shards.insert(shard, (load, now));
            }
            Event::ContextsMoved(moves) => self.apply_context_moves(moves),
            Event::ContextsNotMoved(engine) => self.move_queue.cancel(engine),
            Event::ReplicatedChats(chats) => self.chats.merge(chats, self.is_home),
            Event::Role(is_home) => self.set_role(now, is_home),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the load of this shard, for other homes of the service.
    pub fn shard_load(&self, now: Instant) -> ShardLoad {
        let view = self.view(now);
        let usable = self.engines.values().filter(|e| view.is_usable(e));
        usable.fold(ShardLoad::default(), |sum, e| {
            sum.saturating_add(ShardLoad { load: e.permits, engines: 1 })
        })
    }

    /// Returns the highest load that an engine may have once one more request has arrived.
    pub fn bound(&self, now: Instant) -> u32 {
        self.view(now).bound
    }

    fn view(&self, now: Instant) -> LoadView {
        let fresh = self
            .other_shards
            .values()
            .filter(|(_, at)| now.duration_since(*at) < OTHER_SHARD_AGE_MAX);
        let other_shards =
            fresh.fold(ShardLoad::default(), |sum, (load, _)| sum.saturating_add(*load));
        LoadView::new(
            now,
            &self.engines,
            self.counts_reported(now),
            other_shards,
            self.settings.load_bound,
        )
    }

    /// Returns the engines with their loads.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Returns whether this instance is the shard's home by its own view.
    pub fn is_home(&self) -> bool {
        self.is_home
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of permits granted and not released.
    pub fn permits(&self) -> usize {
        self.permits.len()
    }

    /// Returns the number of chats whose locations are stored.
    pub fn chat_count(&self) -> usize {
        self.chats.len()
    }

    /// Returns the engine that `chat` was last on, and the engine that it would be sent to now.
    pub fn explain(&self, now: Instant, chat: ChatKey) -> (Option<Tag>, Option<Tag>) {
        (self.chats.get(chat), self.choose(now, chat, None, &[]))
    }

    fn counts_reported(&self, now: Instant) -> bool {
        !self.is_home || self.warm_up_until.is_some_and(|until| now < until)
    }

    fn handle_request(
        &mut self,
        now: Instant,
        request: PermitRequest,
        policy: TeamPolicy,
        actions: &mut Vec<Action>,
    ) {
        self.permits.note_contact(now, request.id.entry);
        if let Some(permit) = self.permits.get(&request.id) {
            // The reply to an earlier copy of this request was lost.
            actions.push(Action::Reply(request.id, Reply::Granted(permit.engine)));
            return;
        }
        if let Err((reason, wait)) = self.teams.admit(now, request.team, &policy) {
            actions.push(Action::Reply(request.id, refused(reason, wait)));
            return;
        }
        if let Some(engine) = self.engine_to_wait_for(now, &request, &policy) {
            actions.push(Action::Reply(request.id, Reply::Queued));
            let (until, give_up_at) = (
                now + request.time_left,
                now + self.settings.affinity_wait.min(request.time_left / 4),
            );
            let waiting = WaitingRequest { request, policy, until };
            self.waiting.add_affinity_waiter(AffinityWaiter { waiting, engine, give_up_at });
            return;
        }
        let is_first = policy.reserved || self.waiting.queue().is_empty();
        let engine = if is_first {
            self.choose(now, request.chat, request.hint, &request.avoid)
        } else {
            None
        };
        if let Some(engine) = engine {
            self.grant(now, &request, engine, actions);
        } else if request.may_spill {
            actions.push(Action::Reply(request.id, Reply::Spill));
        } else {
            self.enqueue(now, request, policy, false, actions);
        }
    }

    /// Returns the engine that has the chat's context if it is full now and a slot on it is expected to become free
    /// within the service's affinity wait.
    fn engine_to_wait_for(
        &self,
        now: Instant,
        request: &PermitRequest,
        policy: &TeamPolicy,
    ) -> Option<Tag> {
        if self.settings.affinity_wait.is_zero()
            || policy.reserved
            || !self.waiting.queue().is_empty()
        {
            return None;
        }
        let preferred = [self.chats.get(request.chat), request.hint].into_iter().flatten();
        let engine = preferred.filter_map(|tag| self.engines.get(&tag)).next()?;
        let (tag, view) = (engine.spec.tag, self.view(now));
        if !view.is_usable(engine) || request.avoid.contains(&tag) || view.accepts(engine) {
            return None;
        }
        let ahead = self.waiting.affinity_waiters_for(tag);
        let wait = self.waiting.expected_wait(ahead + 1, view.load(engine));
        (wait < self.settings.affinity_wait.as_secs_f64()).then_some(tag)
    }

    /// Grants affinity waiters whose engine has headroom again. Those that have waited too long get another engine or
    /// are queued.
    fn serve_affinity_waiters(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut at = 0;
        while let Some(AffinityWaiter { engine, give_up_at, .. }) = self.waiting.affinity_waiter(at)
        {
            let state = self.engines.get(engine);
            let view = self.view(now);
            let may_wait = state.is_some_and(|state| view.is_usable(state)) && now < *give_up_at;
            let granted = state.filter(|state| view.accepts(state)).map(|state| state.spec.tag);
            if granted.is_none() && may_wait {
                at += 1;
                continue;
            }
            let WaitingRequest { request, policy, until } = self.waiting.take_affinity_waiter(at);
            let request =
                PermitRequest { time_left: until.saturating_duration_since(now), ..request };
            let other_engine = || self.choose(now, request.chat, request.hint, &request.avoid);
            match granted.or_else(other_engine) {
                Some(engine) => self.grant(now, &request, engine, actions),
                None => self.enqueue(now, request, policy, true, actions),
            }
        }
    }

    /// Chooses an engine: the one that has the chat's context if it is under the bound, else the first under the bound
    /// in the chat's rendezvous order. A new chat is sent to the least loaded engine.
    fn choose(&self, now: Instant, chat: ChatKey, hint: Option<Tag>, avoid: &[Tag]) -> Option<Tag> {
        let view = self.view(now);
        let accepts =
            |engine: &&EngineState| view.accepts(engine) && !avoid.contains(&engine.spec.tag);
        let preferred = [self.chats.get(chat), hint];
        let mut preferred_engines =
            preferred.iter().flatten().filter_map(|tag| self.engines.get(tag));
        if let Some(engine) = preferred_engines.find(accepts) {
            return Some(engine.spec.tag);
        }
        let free = self.engines.values().filter(accepts);
        let ranked = |engine: &EngineState| score(chat.0, engine.spec.tag, engine.spec.weight);
        if preferred.iter().any(Option::is_some) {
            return free.max_by(|a, b| ranked(a).total_cmp(&ranked(b))).map(|e| e.spec.tag);
        }
        // A new chat has no context on any engine, so it is sent to the least loaded one.
        let order = |a: &&EngineState, b: &&EngineState| {
            view.fill_level(a)
                .total_cmp(&view.fill_level(b))
                .then_with(|| ranked(b).total_cmp(&ranked(a)))
        };
        free.min_by(order).map(|e| e.spec.tag)
    }

    fn grant(
        &mut self,
        now: Instant,
        request: &PermitRequest,
        engine: Tag,
        actions: &mut Vec<Action>,
    ) {
        let expires = now + request.time_left + PERMIT_MARGIN;
        let permit = Permit { engine, team: request.team, granted: now, expires };
        self.add_permit(request.id, permit);
        self.chats.put(request.chat, engine);
        actions.push(Action::Reply(request.id, Reply::Granted(engine)));
    }

    /// Returns the locations of chats.
    pub fn chat_locations_mut(&mut self) -> &mut ChatLocations {
        &mut self.chats
    }

    fn add_permit(&mut self, id: PermitId, permit: Permit) {
        if let Some(engine) = self.engines.get_mut(&permit.engine) {
            engine.permits += 1;
        }
        self.teams.start_request(permit.team);
        self.permits.insert(id, permit);
    }

    fn remove_permit(&mut self, id: PermitId) -> Option<Permit> {
        let permit = self.permits.remove(id)?;
        if let Some(engine) = self.engines.get_mut(&permit.engine) {
            engine.permits = engine.permits.saturating_sub(1);
        }
        self.teams.finish_request(permit.team);
        Some(permit)
    }

    /// Queues a request or refuses it; `is_notified` says that its entry has already received [`Reply::Queued`].
    fn enqueue(
        &mut self,
        now: Instant,
        request: PermitRequest,
        policy: TeamPolicy,
        is_notified: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.engines.values().all(|e| e.is_leaving() || request.avoid.contains(&e.spec.tag)) {
            actions.push(Action::Reply(request.id, refused(RefuseReason::NoEngine, RETRY_AFTER)));
            return;
        }
        let ahead = self.waiting.queue().ahead_of(request.team, policy.weight, policy.reserved);
        let wait = self.expected_wait(ahead + 1);
        if !policy.reserved && self.waiting.queue().len() >= self.settings.queue_max {
            actions.push(Action::Reply(
                request.id,
                refused(RefuseReason::QueueFull, wait.max(RETRY_AFTER)),
            ));
            return;
        }
        if wait >= request.time_left {
            actions.push(Action::Reply(
                request.id,
                refused(RefuseReason::Deadline, wait.max(RETRY_AFTER)),
            ));
            return;
        }
        if !is_notified {
            actions.push(Action::Reply(request.id, Reply::Queued));
        }
        let until = now + request.time_left;
        self.waiting.push(WaitingRequest { request, policy, until });
    }

    /// Returns the expected wait of the request at `position` in the queue, from the mean holding time of permits.
    fn expected_wait(&self, position: usize) -> Duration {
        let slots: u32 =
            self.engines.values().filter(|e| !e.is_leaving()).map(|e| e.spec.capacity).sum();
        Duration::from_secs_f64(self.waiting.expected_wait(position, slots))
    }

    fn release(&mut self, now: Instant, entry: Tag, release: Release, actions: &mut Vec<Action>) {
        self.permits.note_contact(now, entry);
        let id = PermitId { entry, number: release.number };
        match self.remove_permit(id) {
            Some(permit) => self.note_release(now, &permit, &release),
            None => self.waiting.remove(id),
        }
        self.serve_queue(now, actions);
    }

    fn note_release(&mut self, now: Instant, permit: &Permit, release: &Release) {
        if let Some(engine) = self.engines.get_mut(&permit.engine) {
            if let Some(load) = release.load {
                engine.note_load(now, load);
            }
            match release.kind {
                ReleaseKind::Done => engine.note_success(),
                ReleaseKind::Leaving => engine.announced_leaving = true,
                ReleaseKind::Failed | ReleaseKind::Refused => engine.note_failure(now),
                ReleaseKind::Unused => {}
            }
        }
        if release.kind == ReleaseKind::Done {
            self.waiting.note_holding_time(now.duration_since(permit.granted));
        }
    }

    /// Grants waiting requests while engines have headroom.
    fn serve_queue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.serve_affinity_waiters(now, actions);
        while let Some(waiting) = self.waiting.pop() {
            let WaitingRequest { request, until, .. } = &waiting;
            if *until <= now {
                actions
                    .push(Action::Reply(request.id, refused(RefuseReason::Deadline, RETRY_AFTER)));
                continue;
            }
            let Some(engine) = self.choose(now, request.chat, request.hint, &request.avoid) else {
                self.waiting.push_front(waiting);
                return;
            };
            let request = PermitRequest { time_left: until.duration_since(now), ..request.clone() };
            self.grant(now, &request, engine, actions);
        }
    }

    fn check_held_count(
        &mut self,
        now: Instant,
        entry: Tag,
        held: usize,
        actions: &mut Vec<Action>,
    ) {
        self.permits.note_contact(now, entry);
        if self.permits.held_by(entry) != held {
            actions.push(Action::RequestAnnouncement(entry));
        }
    }

    fn announce(
        &mut self,
        now: Instant,
        entry: Tag,
        held: Vec<AnnouncedPermit>,
        pending: &[u64],
        actions: &mut Vec<Action>,
    ) {
        self.permits.note_contact(now, entry);
        let named: HashSet<u64> =
            pending.iter().copied().chain(held.iter().map(|h| h.number)).collect();
        let released: Vec<PermitId> =
            self.permits.of_entry(entry).filter(|id| !named.contains(&id.number)).collect();
        for id in released {
            self.remove_permit(id);
        }
        for AnnouncedPermit { number, engine, chat, team, left_ms } in held {
            let id = PermitId { entry, number };
            if self.permits.get(&id).is_some() {
                continue;
            }
            let expires = now + Duration::from_millis(u64::from(left_ms)) + PERMIT_MARGIN;
            self.add_permit(id, Permit { engine, team, granted: now, expires });
            self.chats.put(chat, engine);
        }
        self.serve_queue(now, actions);
    }

    fn set_engines(&mut self, now: Instant, specs: Vec<EngineSpec>, actions: &mut Vec<Action>) {
        let mut old = std::mem::take(&mut self.engines);
        for spec in specs {
            let mut engine = old.swap_remove(&spec.tag).unwrap_or_else(|| EngineState::new(spec));
            engine.spec = spec;
            engine.permits = self.permits.on_engine(spec.tag);
            self.engines.insert(spec.tag, engine);
        }
        self.serve_queue(now, actions);
    }

    fn with_engine(&mut self, engine: Tag, f: impl FnOnce(&mut EngineState)) {
        self.engines.get_mut(&engine).map(f);
    }

    /// Returns the engines for which a probe is due, if this is the shard's home.
    pub fn probes_due(&mut self, now: Instant) -> Vec<Tag> {
        if !self.is_home {
            return Vec::new();
        }
        self.engines.values_mut().filter_map(|e| e.probe_due(now).then_some(e.spec.tag)).collect()
    }

    fn apply_context_moves(&mut self, moves: Vec<(ChatKey, Tag, Tag)>) {
        for (chat, from, to) in moves {
            if self.chats.get(chat) == Some(from) {
                self.chats.put(chat, to);
            }
        }
    }

    /// Returns up to `max` contexts of leaving engines to move now, if this is the shard's home.
    pub fn context_moves(&mut self, now: Instant, max: usize) -> Vec<ContextMove> {
        if !self.is_home {
            return Vec::new();
        }
        let leaving: Vec<Tag> =
            self.engines.values().filter(|e| e.is_leaving()).map(|e| e.spec.tag).collect();
        self.move_queue.retain(|engine| leaving.contains(&engine));
        for engine in leaving {
            if !self.move_queue.contains(engine) {
                let all = self.chats.all();
                let own = all.into_iter().rev().filter(|(_, on)| *on == engine);
                self.move_queue.start(engine, own.map(|(chat, _)| chat));
            }
        }
        let view = self.view(now);
        let usable = self.engines.values().filter(|e| view.is_usable(e));
        let targets: Vec<(Tag, f64)> = usable.map(|e| (e.spec.tag, e.spec.weight)).collect();
        let chats = &self.chats;
        self.move_queue.next_moves(max, &targets, |chat, engine| chats.get(chat) == Some(engine))
    }

    fn set_role(&mut self, now: Instant, is_home: bool) {
        if is_home && !self.is_home {
            self.warm_up_until = Some(now + WARM_UP);
        }
        self.is_home = is_home;
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for id in self.permits.expired(now) {
            self.remove_permit(id);
        }
        self.permits.prune_entries(now);
        self.teams.prune_rates(now);
        let expired = self.waiting.take_expired(now);
        let refusal = |w: &WaitingRequest| {
            Action::Reply(w.request.id, refused(RefuseReason::Deadline, RETRY_AFTER))
        };
        actions.extend(expired.iter().map(refusal));
        self.serve_queue(now, actions);
    }
}

fn refused(reason: RefuseReason, retry_after: Duration) -> Reply {
    let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    Reply::Refused { reason, retry_after_ms }
}
