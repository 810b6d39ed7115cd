//! A simulated service behind a slot broker: clumped arrivals of uneven teams, instances that need up to 3 ms for a
//! round trip to the broker, servers with a queue each, and callers that retry.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    ops::Range,
    time::{Duration, Instant},
};

use cartvane::{
    names::{Tag, ZoneName},
    routing::{BrokerAction, LeaseId, ServerSlots, SlotBroker, SlotRequest},
};
use fastrand::Rng;

pub(crate) const MS: Duration = Duration::from_millis(1);
pub(crate) const SECOND: Duration = Duration::from_secs(1);
pub(crate) const SLOTS: u32 = 6;
pub(crate) const TEAMS: usize = 24;
/// Requests that a server may be leased beyond its slots.
const ALLOWANCE: u32 = 1;
/// Longest one-way latency between an instance and the broker.
const ONE_WAY_MAX: Duration = Duration::from_micros(1500);
/// Share of the requests that take `LONG` times the mean.
const LONG_SHARE: f64 = 0.1;
const LONG: f64 = 2.5;

/// A service and the usual load of its callers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Service {
    pub(crate) servers: u32,
    pub(crate) mean: Duration,
    pub(crate) target: Duration,
    pub(crate) deadline: Duration,
    /// Requests per second of all teams.
    pub(crate) rate: f64,
}

pub(crate) const SMALL: Service = Service {
    servers: 3,
    mean: MS.saturating_mul(30),
    target: MS.saturating_mul(150),
    deadline: SECOND,
    rate: 124.0,
};
pub(crate) const MEDIUM: Service = Service {
    servers: 4,
    mean: MS.saturating_mul(60),
    target: MS.saturating_mul(300),
    deadline: MS.saturating_mul(1500),
    rate: 197.0,
};

impl Service {
    /// Requests per second that `servers` servers can run.
    pub(crate) fn capacity(&self, servers: u32) -> f64 {
        f64::from(servers * SLOTS) / self.mean.as_secs_f64()
    }
}

/// A caller's first request and its retries.
#[derive(Debug, Clone, Copy)]
struct Caller {
    team: usize,
    priority: u8,
    digest: u64,
    first_at: Duration,
    /// Number of times that it retries without regard to `Retry-After`.
    immediate_retries: u32,
    /// Whether it returns at its promised time.
    is_return: bool,
}

#[derive(Debug)]
struct Attempt {
    caller: Caller,
    at: Duration,
    granted: bool,
    done_at: Option<Duration>,
    final_actions: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Clump { team: usize },
    Attempt(usize),
    Request(usize),
    Start { attempt: usize, server: usize },
    End { attempt: usize, server: usize },
    Release(usize),
    SetServers(u32),
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
    leased: u32,
}

/// The service, its callers and its broker.
pub(crate) struct Simulation {
    pub(crate) service: Service,
    /// Requests of the largest clump; their number is uniform from 1 on.
    pub(crate) clump_max: u32,
    now: Duration,
    epoch: Instant,
    rng: Rng,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    sequence: usize,
    broker: SlotBroker,
    servers: Vec<Server>,
    listed: u32,
    attempts: Vec<Attempt>,
    lease_servers: Vec<Option<usize>>,
    /// Team whose callers retry at once, and how often.
    immediate_retries: Option<(usize, u32)>,
    /// Period for which slots in use are summed up.
    pub(crate) measured: Range<Duration>,
    /// Period of the attempts whose priorities are compared.
    pub(crate) compared: Range<Duration>,
    busy: Duration,
    slot_seconds: Duration,
}

/// Returns the number that `CARTVANE_SEED` gives to vary seeds by in manual runs.
pub(crate) fn extra_seed() -> u64 {
    std::env::var("CARTVANE_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Team `index`'s part of all requests; the largest team has 0.45 of them, the smallest 0.004.
pub(crate) fn team_share(index: usize) -> f64 {
    let size = |index: usize| (index as f64 + 1.0).powf(-1.5);
    size(index) / (0..TEAMS).map(size).sum::<f64>()
}

fn tag(server: usize) -> Tag {
    Tag(server as u32)
}

fn zone(number: usize) -> ZoneName {
    ["north", "south"][number % 2].parse().expect("a name")
}

impl Simulation {
    pub(crate) fn new(service: Service, seed: u64) -> Simulation {
        let mut sim = Simulation {
            service,
            clump_max: 6,
            now: Duration::ZERO,
            epoch: Instant::now(),
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            broker: SlotBroker::default(),
            servers: (0..service.servers).map(|_| Server::default()).collect(),
            listed: 0,
            attempts: Vec::new(),
            lease_servers: Vec::new(),
            immediate_retries: None,
            measured: Duration::ZERO..Duration::MAX,
            compared: Duration::ZERO..Duration::MAX,
            busy: Duration::ZERO,
            slot_seconds: Duration::ZERO,
        };
        sim.list_servers(Duration::ZERO, service.servers);
        sim
    }

    /// Lists the first `count` servers from `at` on.
    pub(crate) fn list_servers(&mut self, at: Duration, count: u32) {
        self.push(at, Event::SetServers(count));
    }

    /// Adds a team whose callers retry `times` times at once.
    pub(crate) fn set_immediate_retries(&mut self, team: usize, times: u32) {
        self.immediate_retries = Some((team, times));
    }

    /// Adds requests in clumps; `factor` times its usual load for each team.
    pub(crate) fn add_load(&mut self, period: Range<Duration>, factor: impl Fn(usize) -> f64) {
        let mean_clump = f64::from(1 + self.clump_max) / 2.0;
        for team in 0..TEAMS {
            let clumps = self.service.rate * team_share(team) * factor(team) / mean_clump;
            let mut at = period.start;
            loop {
                at += Duration::from_secs_f64(-self.rng.f64().max(1e-9).ln() / clumps.max(1e-6));
                if at >= period.end {
                    break;
                }
                self.push(at, Event::Clump { team });
            }
        }
    }

    /// Adds `count` callers of all teams at one moment.
    pub(crate) fn add_crowd(&mut self, at: Duration, count: usize) {
        for _ in 0..count {
            let mut draw = self.rng.f64();
            let is_at = |team: &usize| {
                draw -= team_share(*team);
                draw < 0.0
            };
            let team = (0..TEAMS).find(is_at).unwrap_or(0);
            self.add_caller(at, team);
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn one_way(&mut self) -> Duration {
        ONE_WAY_MAX.mul_f64(self.rng.f64())
    }

    /// Runs until all requests have ended.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            while let Some(due) = self.broker.next_tick().filter(|due| *due <= self.epoch + at) {
                self.advance(due - self.epoch);
                let actions = self.broker.tick(due);
                self.apply(actions);
                assert!(self.broker.next_tick() > Some(due) || self.broker.next_tick().is_none());
            }
            self.advance(at);
            self.handle(event);
        }
        assert_eq!(self.broker.waiting(), 0, "requests were left in the queue");
        for attempt in &self.attempts {
            assert_eq!(attempt.final_actions, 1, "{attempt:?}");
        }
    }

    fn advance(&mut self, to: Duration) {
        let from = self.now.max(self.measured.start);
        let time = to.min(self.measured.end).saturating_sub(from);
        let running = self.servers[..self.listed as usize].iter().map(|s| s.running).sum::<u32>();
        self.busy += time * running;
        self.slot_seconds += time * self.listed * SLOTS;
        self.now = to;
    }

    fn handle(&mut self, event: Event) {
        let now = self.epoch + self.now;
        match event {
            Event::Clump { team } => {
                for _ in 0..self.rng.u32(1..=self.clump_max) {
                    let at = self.now + (MS * 2).mul_f64(self.rng.f64());
                    self.add_caller(at, team);
                }
            }
            Event::Attempt(attempt) => {
                let delay = self.one_way();
                self.push(self.now + delay, Event::Request(attempt));
            }
            Event::Request(attempt) => {
                let request = self.slot_request(attempt);
                let actions = self.broker.request(now, request);
                self.apply(actions);
            }
            Event::Start { attempt, server } => {
                self.servers[server].queue.push_back(attempt);
                self.run_next(server);
            }
            Event::End { attempt, server } => {
                self.servers[server].running -= 1;
                self.run_next(server);
                self.attempts[attempt].done_at = Some(self.now);
                let delay = self.one_way();
                self.push(self.now + delay, Event::Release(attempt));
            }
            Event::Release(attempt) => {
                if let Some(server) = self.lease_servers[attempt].take() {
                    self.servers[server].leased -= 1;
                }
                let actions = self.broker.release(now, LeaseId(attempt as u64));
                self.apply(actions);
            }
            Event::SetServers(count) => {
                self.listed = count;
                let slots = |i| ServerSlots { server: tag(i), slots: SLOTS, zone: zone(i) };
                let servers = (0..count as usize).map(slots).collect();
                let actions = self.broker.set_servers(now, servers);
                self.apply(actions);
            }
        }
    }

    fn add_caller(&mut self, at: Duration, team: usize) {
        let (priority, digest) = (self.rng.u8(0..3), self.rng.u64(..));
        let immediate_retries = self.immediate_retries.filter(|r| r.0 == team).map_or(0, |r| r.1);
        let caller =
            Caller { team, priority, digest, first_at: at, immediate_retries, is_return: false };
        self.add_attempt(at, caller);
    }

    fn add_attempt(&mut self, at: Duration, caller: Caller) {
        self.push(at, Event::Attempt(self.attempts.len()));
        self.attempts.push(Attempt { caller, at, granted: false, done_at: None, final_actions: 0 });
        self.lease_servers.push(None);
    }

    fn slot_request(&self, attempt: usize) -> SlotRequest {
        let Attempt { caller, at, .. } = &self.attempts[attempt];
        let deadline = caller.first_at + self.service.deadline;
        SlotRequest {
            id: LeaseId(attempt as u64),
            team: Some(Tag(caller.team as u32)),
            priority: caller.priority,
            digest: caller.digest,
            wait_max: self.service.target - self.service.mean - (self.now - *at),
            time_left: deadline.saturating_sub(self.now),
            excluded: Vec::new(),
            zone: zone(attempt),
        }
    }

    fn run_next(&mut self, server: usize) {
        if self.servers[server].running == SLOTS {
            return;
        }
        let Some(attempt) = self.servers[server].queue.pop_front() else { return };
        self.servers[server].running += 1;
        let short = (1.0 - LONG_SHARE * LONG) / (1.0 - LONG_SHARE);
        let is_long = self.rng.f64() < LONG_SHARE;
        let factor = if is_long { LONG } else { short * (0.8 + 0.4 * self.rng.f64()) };
        self.push(self.now + self.service.mean.mul_f64(factor), Event::End { attempt, server });
    }

    fn apply(&mut self, actions: Vec<BrokerAction>) {
        for action in actions {
            let delay = self.one_way();
            match action {
                BrokerAction::Grant { id, server } => {
                    let (attempt, server) = (id.0 as usize, server.0 as usize);
                    self.attempts[attempt].granted = true;
                    self.attempts[attempt].final_actions += 1;
                    self.lease_servers[attempt] = Some(server);
                    self.servers[server].leased += 1;
                    assert!(server < self.listed as usize, "a server that is gone was leased");
                    assert!(
                        self.servers[server].leased <= SLOTS + ALLOWANCE,
                        "leases beyond the allowance"
                    );
                    self.push(self.now + delay, Event::Start { attempt, server });
                }
                BrokerAction::Queue { .. } => {}
                BrokerAction::Reject { id, retry_after } => {
                    self.attempts[id.0 as usize].final_actions += 1;
                    self.retry(self.attempts[id.0 as usize].caller, delay, retry_after);
                }
            }
        }
    }

    /// Lets a rejected caller retry.
    fn retry(&mut self, caller: Caller, delay: Duration, retry_after: Duration) {
        let now = self.now + delay;
        let left = (caller.first_at + self.service.deadline).saturating_sub(now);
        if caller.immediate_retries > 0 && left > self.service.target {
            let caller = Caller { immediate_retries: caller.immediate_retries - 1, ..caller };
            self.add_attempt(now + MS * 2, caller);
        } else if !caller.is_return && retry_after <= left / 3 {
            let at = now + retry_after + MS.mul_f64(self.rng.f64());
            self.add_attempt(at, Caller { is_return: true, ..caller });
        }
    }

    /// Returns the figures of the attempts that began in `period`.
    pub(crate) fn figures(&self, period: Range<Duration>) -> Figures {
        let mut figures = Figures::default();
        for attempt in self.attempts.iter().filter(|a| period.contains(&a.at)) {
            let in_time = attempt.done_at.is_some_and(|at| at - attempt.at <= self.service.target);
            let tally =
                Tally { attempts: 1, granted: attempt.granted.into(), in_time: in_time.into() };
            let Caller { team, priority, is_return, first_at, .. } = attempt.caller;
            figures.callers += u32::from(first_at == attempt.at);
            figures.by_priority[team][priority as usize].add(tally);
            if is_return {
                figures.returned.add(tally);
            }
        }
        figures
    }

    /// Returns the share of the slots that ran a request in the measured period.
    pub(crate) fn busy_share(&self) -> f64 {
        self.busy.div_duration_f64(self.slot_seconds)
    }
}

/// Numbers of attempts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) attempts: u32,
    pub(crate) granted: u32,
    pub(crate) in_time: u32,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.attempts += other.attempts;
        self.granted += other.granted;
        self.in_time += other.in_time;
    }

    pub(crate) fn sum(tallies: impl IntoIterator<Item = Tally>) -> Tally {
        tallies.into_iter().fold(Tally::default(), |mut sum, tally| {
            sum.add(tally);
            sum
        })
    }

    pub(crate) fn rejected(&self) -> u32 {
        self.attempts - self.granted
    }

    pub(crate) fn granted_share(&self) -> f64 {
        f64::from(self.granted) / f64::from(self.attempts.max(1))
    }

    pub(crate) fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.attempts.max(1))
    }
}

/// Attempts of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    /// By team and priority.
    pub(crate) by_priority: [[Tally; 3]; TEAMS],
    /// Callers that made their first attempt.
    pub(crate) callers: u32,
    /// Attempts of callers that return at their promised time.
    pub(crate) returned: Tally,
}

impl Figures {
    pub(crate) fn add(&mut self, other: &Figures) {
        self.callers += other.callers;
        self.returned.add(other.returned);
        let tallies = self.by_priority.iter_mut().flatten();
        tallies.zip(other.by_priority.iter().flatten()).for_each(|(sum, tally)| sum.add(*tally));
    }

    pub(crate) fn team(&self, team: usize) -> Tally {
        Tally::sum(self.by_priority[team])
    }

    /// Returns the sums of all teams by priority.
    pub(crate) fn priorities(&self) -> [Tally; 3] {
        [0, 1, 2].map(|priority| Tally::sum(self.by_priority.map(|team| team[priority])))
    }

    pub(crate) fn teams(&self, teams: Range<usize>) -> Tally {
        Tally::sum(teams.map(|team| self.team(team)))
    }
}
