//! The home of one shard: grants permits and holds the load bound.
//!
//! Pure decisions: `handle(now, event)` returns the actions for the shell to carry out. The home
//! knows every request in flight on its engines, so no engine is granted more than
//! `ceil(bound x mean)` requests, the mean taken over the service and counting the arriving one
//! (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018).

use std::{
    collections::HashMap,
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
        waiting::{Patient, Waiting, WaitingLine},
    },
};

pub use crate::zone::{
    home_event::{Action, Event, HomeSettings, ShardLoad},
    permit_table::{DISCONNECTED_ENTRY_TIMEOUT, ENTRY_TIMEOUT},
};

/// Time in which a new home also counts what engines report, until entries have announced theirs.
pub const WARM_UP: Duration = Duration::from_millis(1500);

/// Age at which another home's load no longer counts.
const ELSEWHERE_AGE_MAX: Duration = Duration::from_secs(5);

/// Time added to a permit's life over the request's own deadline.
const PERMIT_MARGIN: Duration = Duration::from_secs(2);

/// Retry-After told with refusals that have no better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The home of one shard.
#[derive(Debug)]
pub struct Home {
    terms: HomeSettings,
    engines: IndexMap<Tag, EngineState>,
    permits: PermitTable,
    waiting: WaitingLine,
    chats: ChatLocations,
    move_queue: ContextMoveQueue,
    teams: TeamLimits,
    elsewhere: HashMap<Tag, (ShardLoad, Instant)>,
    guarded_until: Option<Instant>,
    is_home: bool,
}

impl Home {
    /// Returns a home that has just taken over its shard.
    pub fn new(terms: HomeSettings, engines: Vec<EngineSpec>, now: Instant) -> Home {
        Home {
            terms,
            engines: engines.into_iter().map(|spec| (spec.tag, EngineState::new(spec))).collect(),
            permits: PermitTable::default(),
            waiting: WaitingLine::default(),
            chats: ChatLocations::new(terms.chats_max),
            move_queue: ContextMoveQueue::default(),
            teams: TeamLimits::default(),
            elsewhere: HashMap::new(),
            guarded_until: Some(now + WARM_UP),
            is_home: true,
        }
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::PermitRequest(ask, terms) => self.ask(now, ask, terms, &mut actions),
            Event::Release(entry, release) => self.release(now, entry, release, &mut actions),
            Event::EntryDisconnected(entry) => self.permits.note_disconnect(now, entry),
            Event::HeldCount(entry, held) => self.count(now, entry, held, &mut actions),
            Event::Announce(entry, held, pending) => {
                self.announce(now, entry, held, &pending, &mut actions)
            }
            Event::Engines(specs) => self.set_engines(now, specs, &mut actions),
            Event::Settings(terms) => self.terms = terms,
            Event::Probed(engine, load) => self.with_engine(engine, |e| e.probed(now, load)),
            Event::ProbeFailed(engine) => self.with_engine(engine, |e| e.failed(now)),
            Event::ListedLeaving(engine, leaving) => {
                self.with_engine(engine, |e| e.listed_leaving = leaving)
            }
            Event::AnnouncedLeaving(engine, leaving) => {
                self.with_engine(engine, |e| e.announced_leaving = leaving)
            }
            Event::OtherShardLoad(home, load) => {
                self.elsewhere.insert(home, (load, now));
            }
            Event::ContextsMoved(moves) => self.contexts_moved(moves),
            Event::ContextsNotMoved(engine) => self.move_queue.give_up(engine),
            Event::ReplicatedChats(chats) => self.chats.learn(chats, self.is_home),
            Event::Role(is_home) => self.set_role(now, is_home),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the load of this shard, as other homes of the service need it.
    pub fn shard_load(&self, now: Instant) -> ShardLoad {
        let view = self.view(now);
        let usable = self.engines.values().filter(|e| view.is_usable(e));
        usable.fold(ShardLoad::default(), |sum, e| ShardLoad {
            load: sum.load + e.permits,
            engines: sum.engines + 1,
        })
    }

    /// Returns the greatest load that an engine may have once one more request has arrived.
    pub fn bound(&self, now: Instant) -> u32 {
        self.view(now).bound
    }

    fn view(&self, now: Instant) -> LoadView {
        let fresh =
            self.elsewhere.values().filter(|(_, at)| now.duration_since(*at) < ELSEWHERE_AGE_MAX);
        let elsewhere = fresh.fold(ShardLoad::default(), |sum, (load, _)| ShardLoad {
            load: sum.load + load.load,
            engines: sum.engines + load.engines,
        });
        LoadView::new(now, &self.engines, self.is_guarded(now), elsewhere, self.terms.load_bound)
    }

    /// Returns the engines and their loads.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Returns whether this instance is the shard's home by its own view.
    pub fn is_home(&self) -> bool {
        self.is_home
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of permits in force.
    pub fn permits(&self) -> usize {
        self.permits.len()
    }

    /// Returns the number of chats remembered.
    pub fn chat_count(&self) -> usize {
        self.chats.len()
    }

    /// Returns the engine that `chat` was last on, and the engine it would go to now.
    pub fn explain(&self, now: Instant, chat: ChatKey) -> (Option<Tag>, Option<Tag>) {
        (self.chats.get(chat), self.choose(now, chat, None, &[]))
    }

    fn is_guarded(&self, now: Instant) -> bool {
        !self.is_home || self.guarded_until.is_some_and(|until| now < until)
    }

    fn ask(
        &mut self,
        now: Instant,
        ask: PermitRequest,
        terms: TeamPolicy,
        actions: &mut Vec<Action>,
    ) {
        self.permits.heard(now, ask.id.entry);
        if let Some(permit) = self.permits.get(&ask.id) {
            // The answer to the same ask was lost on its way.
            actions.push(Action::Reply(ask.id, Reply::Granted(permit.engine)));
            return;
        }
        if let Err((reason, wait)) = self.teams.admit(now, ask.team, &terms) {
            actions.push(Action::Reply(ask.id, refused(reason, wait)));
            return;
        }
        if let Some(engine) = self.worth_waiting_for(now, &ask, &terms) {
            actions.push(Action::Reply(ask.id, Reply::Queued));
            let (until, leaves) =
                (now + ask.time_left, now + self.terms.affinity_wait.min(ask.time_left / 4));
            let waiting = Waiting { ask, terms, until };
            self.waiting.push_patient(Patient { waiting, engine, leaves });
            return;
        }
        let first_in_line = terms.reserved || self.waiting.queue().is_empty();
        let engine =
            if first_in_line { self.choose(now, ask.chat, ask.hint, &ask.avoid) } else { None };
        if let Some(engine) = engine {
            self.grant(now, &ask, engine, actions);
        } else if ask.may_spill {
            actions.push(Action::Reply(ask.id, Reply::Spill));
        } else {
            self.enqueue(now, ask, terms, false, actions);
        }
    }

    /// Returns the engine with the chat's context when it is full just now and a place on it is
    /// likely within the service's patience.
    fn worth_waiting_for(
        &self,
        now: Instant,
        ask: &PermitRequest,
        terms: &TeamPolicy,
    ) -> Option<Tag> {
        if self.terms.affinity_wait.is_zero() || terms.reserved || !self.waiting.queue().is_empty()
        {
            return None;
        }
        let known = [self.chats.get(ask.chat), ask.hint].into_iter().flatten();
        let engine = known.filter_map(|tag| self.engines.get(&tag)).next()?;
        let (tag, view) = (engine.spec.tag, self.view(now));
        if !view.is_usable(engine) || ask.avoid.contains(&tag) || view.takes(engine) {
            return None;
        }
        let ahead = self.waiting.patients_of(tag);
        let wait = self.waiting.expected_wait(ahead + 1, view.load(engine));
        (wait < self.terms.affinity_wait.as_secs_f64()).then_some(tag)
    }

    /// Grants to patients whose engine has room; those whose patience is over go elsewhere.
    fn serve_patients(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut at = 0;
        while let Some(Patient { engine, leaves, .. }) = self.waiting.patient(at) {
            let slot = self.engines.get(engine);
            let view = self.view(now);
            let stays = slot.is_some_and(|slot| view.is_usable(slot)) && now < *leaves;
            let granted = slot.filter(|slot| view.takes(slot)).map(|slot| slot.spec.tag);
            if granted.is_none() && stays {
                at += 1;
                continue;
            }
            let Waiting { ask, terms, until } = self.waiting.take_patient(at);
            let ask = PermitRequest { time_left: until.saturating_duration_since(now), ..ask };
            let elsewhere = || self.choose(now, ask.chat, ask.hint, &ask.avoid);
            match granted.or_else(elsewhere) {
                Some(engine) => self.grant(now, &ask, engine, actions),
                None => self.enqueue(now, ask, terms, true, actions),
            }
        }
    }

    /// Chooses an engine: the one that holds the chat's context if it is under the bound, else
    /// the first under the bound in the chat's own rank; a new chat fills the least loaded.
    fn choose(&self, now: Instant, chat: ChatKey, hint: Option<Tag>, avoid: &[Tag]) -> Option<Tag> {
        let view = self.view(now);
        let takes = |engine: &&EngineState| view.takes(engine) && !avoid.contains(&engine.spec.tag);
        let known = [self.chats.get(chat), hint];
        let mut known_engines = known.iter().flatten().filter_map(|tag| self.engines.get(tag));
        if let Some(engine) = known_engines.find(takes) {
            return Some(engine.spec.tag);
        }
        let free = self.engines.values().filter(takes);
        let ranked = |engine: &EngineState| score(chat.0, engine.spec.tag, engine.spec.weight);
        if known.iter().any(Option::is_some) {
            return free.max_by(|a, b| ranked(a).total_cmp(&ranked(b))).map(|e| e.spec.tag);
        }
        // A new chat has no context to go to: it fills up the least loaded engine.
        let order = |a: &&EngineState, b: &&EngineState| {
            view.filled(a).total_cmp(&view.filled(b)).then_with(|| ranked(b).total_cmp(&ranked(a)))
        };
        free.min_by(order).map(|e| e.spec.tag)
    }

    fn grant(&mut self, now: Instant, ask: &PermitRequest, engine: Tag, actions: &mut Vec<Action>) {
        let expires = now + ask.time_left + PERMIT_MARGIN;
        let permit = Permit { engine, team: ask.team, granted: now, expires };
        self.add_permit(ask.id, permit);
        self.chats.put(ask.chat, engine);
        actions.push(Action::Reply(ask.id, Reply::Granted(engine)));
    }

    /// Returns what is remembered of chats.
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

    /// Puts an ask in line; `told` says that its entry knows already that it waits.
    fn enqueue(
        &mut self,
        now: Instant,
        ask: PermitRequest,
        terms: TeamPolicy,
        told: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.engines.values().all(|e| e.is_leaving() || ask.avoid.contains(&e.spec.tag)) {
            actions.push(Action::Reply(ask.id, refused(RefuseReason::NoEngine, RETRY_AFTER)));
            return;
        }
        let ahead = self.waiting.queue().ahead_of(ask.team, terms.weight, terms.reserved);
        let wait = self.expected_wait(ahead + 1);
        if !terms.reserved && self.waiting.queue().len() >= self.terms.queue_max {
            actions.push(Action::Reply(
                ask.id,
                refused(RefuseReason::QueueFull, wait.max(RETRY_AFTER)),
            ));
            return;
        }
        if wait >= ask.time_left {
            actions.push(Action::Reply(
                ask.id,
                refused(RefuseReason::Deadline, wait.max(RETRY_AFTER)),
            ));
            return;
        }
        if !told {
            actions.push(Action::Reply(ask.id, Reply::Queued));
        }
        let until = now + ask.time_left;
        self.waiting.push(Waiting { ask, terms, until });
    }

    /// Returns how long the request at `place` in line is expected to wait, from the mean time
    /// that permits are held.
    fn expected_wait(&self, place: usize) -> Duration {
        let slots: u32 =
            self.engines.values().filter(|e| !e.is_leaving()).map(|e| e.spec.capacity).sum();
        Duration::from_secs_f64(self.waiting.expected_wait(place, slots))
    }

    fn release(&mut self, now: Instant, entry: Tag, release: Release, actions: &mut Vec<Action>) {
        self.permits.heard(now, entry);
        let id = PermitId { entry, number: release.number };
        match self.remove_permit(id) {
            Some(permit) => self.note_end(now, &permit, &release),
            None => self.waiting.remove(id),
        }
        self.serve_queue(now, actions);
    }

    fn note_end(&mut self, now: Instant, permit: &Permit, release: &Release) {
        if let Some(engine) = self.engines.get_mut(&permit.engine) {
            if let Some(load) = release.load {
                engine.report(now, load);
            }
            match release.kind {
                ReleaseKind::Done => engine.succeeded(),
                ReleaseKind::Leaving => engine.announced_leaving = true,
                ReleaseKind::Failed | ReleaseKind::Refused => engine.failed(now),
                ReleaseKind::Unused => {}
            }
        }
        if release.kind == ReleaseKind::Done {
            self.waiting.note_hold(now.duration_since(permit.granted));
        }
    }

    /// Grants to waiting requests while engines have room.
    fn serve_queue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.serve_patients(now, actions);
        while let Some(waiting) = self.waiting.pop() {
            let Waiting { ask, until, .. } = &waiting;
            if *until <= now {
                actions.push(Action::Reply(ask.id, refused(RefuseReason::Deadline, RETRY_AFTER)));
                continue;
            }
            let Some(engine) = self.choose(now, ask.chat, ask.hint, &ask.avoid) else {
                self.waiting.push_front(waiting);
                return;
            };
            let ask = PermitRequest { time_left: until.duration_since(now), ..ask.clone() };
            self.grant(now, &ask, engine, actions);
        }
    }

    fn count(&mut self, now: Instant, entry: Tag, held: usize, actions: &mut Vec<Action>) {
        self.permits.heard(now, entry);
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
        self.permits.heard(now, entry);
        let named = |id: &PermitId| {
            pending.contains(&id.number) || held.iter().any(|h| h.number == id.number)
        };
        let gone: Vec<PermitId> = self.permits.of_entry(entry).filter(|id| !named(id)).collect();
        for id in gone {
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
            let mut slot = old.swap_remove(&spec.tag).unwrap_or_else(|| EngineState::new(spec));
            slot.spec = spec;
            slot.permits = self.permits.on_engine(spec.tag);
            self.engines.insert(spec.tag, slot);
        }
        self.serve_queue(now, actions);
    }

    fn with_engine(&mut self, engine: Tag, f: impl FnOnce(&mut EngineState)) {
        self.engines.get_mut(&engine).map(f);
    }

    /// Returns the engines that are due for a probe, if this is the shard's home.
    pub fn probes_due(&mut self, now: Instant) -> Vec<Tag> {
        if !self.is_home {
            return Vec::new();
        }
        self.engines.values_mut().filter_map(|e| e.probe_due(now).then_some(e.spec.tag)).collect()
    }

    fn contexts_moved(&mut self, moves: Vec<(ChatKey, Tag, Tag)>) {
        for (chat, from, to) in moves {
            if self.chats.get(chat) == Some(from) {
                self.chats.put(chat, to);
            }
        }
    }

    /// Returns up to `most` contexts of leaving engines to be moved now, if this is the home.
    pub fn context_moves(&mut self, now: Instant, most: usize) -> Vec<ContextMove> {
        if !self.is_home {
            return Vec::new();
        }
        let leaving: Vec<Tag> =
            self.engines.values().filter(|e| e.is_leaving()).map(|e| e.spec.tag).collect();
        self.move_queue.retain(|engine| leaving.contains(&engine));
        for engine in leaving {
            if !self.move_queue.knows(engine) {
                let all = self.chats.all();
                let own = all.into_iter().rev().filter(|(_, on)| *on == engine);
                self.move_queue.begin(engine, own.map(|(chat, _)| chat));
            }
        }
        let view = self.view(now);
        let usable = self.engines.values().filter(|e| view.is_usable(e));
        let targets: Vec<(Tag, f64)> = usable.map(|e| (e.spec.tag, e.spec.weight)).collect();
        let chats = &self.chats;
        self.move_queue.next(most, &targets, |chat, engine| chats.get(chat) == Some(engine))
    }

    fn set_role(&mut self, now: Instant, is_home: bool) {
        if is_home && !self.is_home {
            self.guarded_until = Some(now + WARM_UP);
        }
        self.is_home = is_home;
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for id in self.permits.ended(now) {
            self.remove_permit(id);
        }
        self.permits.forget_silent(now);
        self.teams.tick(now);
        let late = self.waiting.take_late(now);
        let refusal =
            |w: &Waiting| Action::Reply(w.ask.id, refused(RefuseReason::Deadline, RETRY_AFTER));
        actions.extend(late.iter().map(refusal));
        self.serve_queue(now, actions);
    }
}

fn refused(reason: RefuseReason, retry_after: Duration) -> Reply {
    let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    Reply::Refused { reason, retry_after_ms }
}
