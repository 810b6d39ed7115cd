//! A simulated service of a fleet that shares its capacity among teams: instances that exchange counts and demand,
//! servers with a queue each, and callers that retry.

use std::time::{Duration, Instant};

use cartvane::{
    names::{ServiceName, Tag},
    routing::{
        AdmissionTerms, Aggregate, BackendServer, FleetDemand, Incarnation, PickError, PickRequest,
        Picker, ResponseTimes, ServiceLimits, ServiceLoad, admission::team_retry_delay,
    },
};
use fastrand::Rng;

use crate::simulation::{self, ServerQueues, Timeline, pause, report_counts};

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Time from the start to the surge: the rates and response times are known by then.
const WARM_UP: Duration = Duration::from_secs(4);

/// Duration of a surge.
const SURGE: Duration = Duration::from_secs(10);

/// Requests in the queue of a server from which it rejects others.
const QUEUE_MAX: usize = 24;

/// Fraction of the requests that may be sent again after a rejection by a server.
const RETRY_BUDGET: f64 = 0.2;

/// Number of servers that are tried for an attempt.
const TRIED_MAX: usize = 4;

/// Delay of a retry after a rejection by servers.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two attempts of a caller that ignores `Retry-After`.
const STORM_PAUSE: Duration = Duration::from_millis(10);

/// Time for which the aggregator caches its sums.
const SUMS_MAX_AGE: Duration = Duration::from_millis(50);

/// Size of a fleet and its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    servers: u16,
    slots: u32,
    /// Mean time that a request takes at a server, which is the time to the head of its response as well.
    request_time: Duration,
    target: Duration,
    deadline: Duration,
    exchange_period: Duration,
}

impl Size {
    /// Returns the requests per second that the servers can run.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.slots) * f64::from(self.servers) / self.request_time.as_secs_f64()
    }
}

pub(crate) const fn size(
    instances: usize,
    servers: u16,
    slots: u32,
    request_ms: u64,
    period_ms: u64,
) -> Size {
    Size {
        instances,
        servers,
        slots,
        request_time: Duration::from_millis(request_ms),
        target: Duration::from_millis(5 * request_ms),
        deadline: Duration::from_millis(25 * request_ms),
        exchange_period: Duration::from_millis(period_ms),
    }
}

/// What happens in a simulation beside the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The aggregator is lost in the middle of the surge, and the next one starts without reports.
    AggregatorLost,
    /// The first instance is frozen for 4 s in the surge.
    Frozen,
    /// The first instance does not reach the aggregator from the middle of the surge on.
    Partitioned,
    /// The surge comes with the start of all instances.
    StartOfAll,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    attempts: u32,
    in_time: u32,
}

/// Load of one team.
#[derive(Debug, Clone)]
pub(crate) struct Team {
    pub(crate) tag: Tag,
    /// Usual requests per second.
    rate: f64,
    /// Factor on its rate during the surge.
    pub(crate) surge: f64,
    /// Whether its callers retry at once and often.
    pub(crate) is_storm: bool,
    /// Attempts by the second in which they arrived.
    seconds: Vec<Tally>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    team: usize,
    key: u64,
    deadline: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    attempt: Attempt,
    sent_at: Instant,
    instance: usize,
    waited: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Retry(Attempt),
    Exchange(usize),
    End { server: usize, sent: Sent },
}

pub(crate) struct Simulation {
    pub(crate) size: Size,
    pub(crate) fault: Fault,
    start: Instant,
    now: Instant,
    surge: (Instant, Instant),
    events: Timeline<Event>,
    rng: Rng,
    service: ServiceName,
    servers: Vec<BackendServer>,
    pickers: Vec<Picker>,
    queues: ServerQueues<Sent>,
    aggregate: Aggregate,
    demand: FleetDemand,
    sums: Option<(Instant, Vec<ServiceLoad>, Option<Vec<ServiceLimits>>)>,
    pub(crate) teams: Vec<Team>,
    retries: u32,
    requests: u32,
    pub(crate) rejected_by_servers: u32,
    pub(crate) rejected_by_share: u32,
    pub(crate) rejected_by_load: u32,
}

/// Returns `count` teams with sizes in proportion to `1 / rank^exponent`, which together use `load` of the capacity.
pub(crate) fn teams(size: &Size, count: usize, exponent: f64, load: f64) -> Vec<Team> {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-exponent);
    let sum: f64 = (0..count).map(weight).sum();
    let team = |rank: usize| Team {
        tag: Tag::of(&format!("team-{rank}")),
        rate: load * size.capacity() * weight(rank) / sum,
        surge: 1.0,
        is_storm: false,
        seconds: vec![Tally::default(); 32],
    };
    (0..count).map(team).collect()
}

impl Simulation {
    pub(crate) fn new(size: Size, teams: Vec<Team>, fault: Fault, seed: u64) -> Simulation {
        let servers = simulation::servers(size.servers, size.slots);
        let start = Instant::now();
        let onset = if fault == Fault::StartOfAll { start } else { start + WARM_UP };
        let mut simulation = Simulation {
            size,
            fault,
            start,
            now: start,
            surge: (onset, onset + SURGE),
            events: Timeline::new(),
            rng: Rng::with_seed(seed),
            service: "llm".parse().expect("a valid name"),
            pickers: simulation::pickers(size.instances, &servers),
            queues: ServerQueues::new(servers.len(), size.slots),
            servers,
            aggregate: Aggregate::default(),
            demand: FleetDemand::default(),
            sums: None,
            teams,
            retries: 0,
            requests: 0,
            rejected_by_servers: 0,
            rejected_by_share: 0,
            rejected_by_load: 0,
        };
        for i in 0..size.instances {
            let at = start + size.exchange_period.mul_f64(simulation.rng.f64());
            simulation.events.push(at, Event::Exchange(i));
        }
        for team in 0..simulation.teams.len() {
            simulation.events.push(start, Event::Arrival(team));
        }
        simulation
    }

    /// Time of a fault: the middle of the surge.
    fn fault_at(&self) -> Instant {
        self.surge.0 + SURGE / 2
    }

    /// Simulates the warm-up and the surge.
    pub(crate) fn run(mut self) -> Simulation {
        let until = self.surge.1;
        let mut is_lost = false;
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            if self.fault == Fault::AggregatorLost && !is_lost && at >= self.fault_at() {
                is_lost = true;
                (self.aggregate, self.demand) = Default::default();
                self.sums = None;
            }
            match event {
                Event::Arrival(team) => self.arrive(team),
                Event::Retry(attempt) => self.attempt(attempt),
                Event::Exchange(instance) => self.exchange(instance),
                Event::End { server, sent } => self.finish(server, sent),
            }
        }
        self
    }

    fn is_frozen(&self, instance: usize) -> bool {
        let until = self.fault_at() + SECOND * 4;
        instance == 0 && self.fault == Fault::Frozen && (self.fault_at()..until).contains(&self.now)
    }

    fn arrive(&mut self, team: usize) {
        let in_surge = (self.surge.0..self.surge.1).contains(&self.now);
        let factor = if in_surge { self.teams[team].surge } else { 1.0 };
        let pause = pause(&mut self.rng, self.teams[team].rate * factor);
        // A team's rate changes with the surge, also within a long pause.
        let next = self.now + Duration::from_secs_f64(pause);
        let crosses = !in_surge && self.now < self.surge.0 && next > self.surge.0;
        if crosses && self.teams[team].surge != 1.0 {
            self.events.push(self.surge.0, Event::Arrival(team));
        } else {
            self.events.push(next, Event::Arrival(team));
        }
        let deadline = self.now + self.size.deadline;
        let key = self.rng.u64(..);
        self.attempt(Attempt { team, key, deadline });
    }

    fn attempt(&mut self, attempt: Attempt) {
        let instance = loop {
            let instance = self.rng.usize(0..self.size.instances);
            if !self.is_frozen(instance) {
                break instance;
            }
        };
        let now = self.now;
        let tag = self.teams[attempt.team].tag;
        self.tally(attempt.team, now).attempts += 1;
        self.requests += 1;
        let service = self.service.clone();
        let picker = &mut self.pickers[instance];
        picker.note_request(now, &service, 1);
        picker.team_usage().note_request(now, &service, tag, || attempt.key);
        self.send(attempt, instance);
    }

    /// Sends an attempt to one server after the other until one takes it, or until its caller has to retry.
    fn send(&mut self, attempt: Attempt, instance: usize) {
        let (now, service) = (self.now, self.service.clone());
        let mut tried: Vec<Incarnation> = Vec::new();
        let spread = self.rng.u64(..);
        loop {
            let team = self.teams[attempt.team].tag;
            let request = PickRequest {
                spread,
                tried: &tried,
                target: self.size.target,
                admission: Some(AdmissionTerms { priority: 1, team }),
                ..PickRequest::new(&service)
            };
            let picker = &mut self.pickers[instance];
            let max_delay = attempt.deadline.saturating_duration_since(now) / 3;
            let picked = match picker.pick(now, &request) {
                Ok(picked) => picked,
                Err(e) => {
                    let draw = request.draw();
                    let delay = self.rejection_delay(attempt, instance, &e, draw, max_delay);
                    return self.retry(attempt, delay);
                }
            };
            let at = self.servers.iter().position(|s| s.id == picked.server.id);
            let at = at.expect("listed");
            if self.queues.queued(at) < QUEUE_MAX {
                picker.start_request(now, &picked.server.id);
                let waited = !picked.wait.is_zero();
                self.queues.add(at, Sent { attempt, sent_at: now, instance, waited });
                return self.start_next(at);
            }
            self.rejected_by_servers += 1;
            picker.note_failure(now, &picked.server.id);
            tried.push(picked.server.id.clone());
            let budget = RETRY_BUDGET * f64::from(self.requests);
            if tried.len() == TRIED_MAX || f64::from(self.retries) >= budget {
                return self.retry(attempt, max_delay.min(RETRY_DELAY));
            }
            self.retries += 1;
        }
    }

    /// Records why an instance rejects an attempt, and returns the delay of its retry.
    fn rejection_delay(
        &mut self,
        attempt: Attempt,
        instance: usize,
        error: &PickError,
        draw: f64,
        max_delay: Duration,
    ) -> Duration {
        let (now, target) = (self.now, self.size.target);
        let picker = &mut self.pickers[instance];
        match *error {
            PickError::TeamShare { share } => {
                self.rejected_by_share += 1;
                picker.team_usage().note_rejection(now, &self.service, attempt.key);
                team_retry_delay(share, draw, max_delay)
            }
            PickError::Overload { admitted, .. } => {
                self.rejected_by_load += 1;
                picker.team_usage().note_rejection(now, &self.service, attempt.key);
                let admission = picker.admission(&self.service);
                admission.note_refusal(now, admitted, draw, target, max_delay)
            }
            _ => max_delay.min(RETRY_DELAY),
        }
    }

    fn retry(&mut self, attempt: Attempt, delay: Duration) {
        let is_storm = self.teams[attempt.team].is_storm;
        let at = self.now + if is_storm { STORM_PAUSE } else { delay };
        // A caller without the time for a response gives up.
        if at + self.size.request_time < attempt.deadline {
            self.events.push(at, Event::Retry(attempt));
        }
    }

    fn start_next(&mut self, server: usize) {
        let Some(sent) = self.queues.start_next(server) else { return };
        let time = self.size.request_time.mul_f64(0.5 + self.rng.f64());
        self.events.push(self.now + time, Event::End { server, sent });
    }

    fn finish(&mut self, server: usize, sent: Sent) {
        self.queues.finish(server);
        let took = self.now.saturating_duration_since(sent.sent_at);
        if took <= self.size.target {
            self.tally(sent.attempt.team, sent.sent_at).in_time += 1;
        }
        let picker = &mut self.pickers[sent.instance];
        picker.finish_request(&self.servers[server].id);
        picker.note_success(self.now, &self.servers[server].id);
        let times = ResponseTimes { head: took, body: Duration::ZERO };
        picker.admission(&self.service).note_response(times, sent.waited);
        self.start_next(server);
    }

    fn tally(&mut self, team: usize, at: Instant) -> &mut Tally {
        let second = at.saturating_duration_since(self.start).as_secs() as usize;
        &mut self.teams[team].seconds[second]
    }

    fn exchange(&mut self, instance: usize) {
        let (now, period) = (self.now, self.size.exchange_period);
        let next = now + period.mul_f64(0.9 + 0.2 * self.rng.f64());
        self.events.push(next, Event::Exchange(instance));
        let is_partitioned =
            instance == 0 && self.fault == Fault::Partitioned && now >= self.fault_at();
        if self.is_frozen(instance) || is_partitioned {
            return;
        }
        let draw = self.rng.f64();
        let picker = &mut self.pickers[instance];
        let own = report_counts(now, &mut self.aggregate, instance, picker);
        let node = format!("n{instance}").parse().expect("a valid name");
        self.demand.record_report(now, node, picker.team_demands(now, draw));
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SUMS_MAX_AGE;
        if self.sums.as_ref().is_none_or(|(at, ..)| !is_recent(*at)) {
            let loads = self.aggregate.summary(now, self.servers.iter());
            let instances = self.size.instances;
            let picker = &self.pickers[instance];
            let slots = |service: &_| picker.slot_usage(now, service, &loads);
            let limits = self.demand.limits(now, instances, period, slots);
            self.sums = Some((now, loads, limits));
        }
        let Some((_, loads, limits)) = &self.sums else { return };
        let picker = &mut self.pickers[instance];
        picker.set_fleet_loads(now, loads, &own);
        picker.set_team_limits(now, now, limits.as_deref());
    }

    /// Returns the results of the teams that match, from `from` after the onset until a second before the end, so that
    /// all responses are counted.
    pub(crate) fn result(&self, from: Duration, matches: impl Fn(&Team) -> bool) -> Shares {
        let onset = self.surge.0.saturating_duration_since(self.start);
        let seconds = (onset + from).as_secs() as usize..(onset + SURGE).as_secs() as usize - 1;
        let sum = |team: &Team| {
            let mut sum = Tally::default();
            for tally in &team.seconds[seconds.clone()] {
                sum.attempts += tally.attempts;
                sum.in_time += tally.in_time;
            }
            sum
        };
        let tallies: Vec<Tally> = self.teams.iter().filter(|t| matches(t)).map(sum).collect();
        let share = |t: &Tally| f64::from(t.in_time) / f64::from(t.attempts.max(1));
        let attempts = tallies.iter().map(|t| t.attempts).sum();
        let in_time = tallies.iter().map(|t| t.in_time).sum();
        let counted = tallies.iter().filter(|t| t.attempts >= 20);
        Shares {
            all: share(&Tally { attempts, in_time }),
            lowest: counted.map(share).fold(1.0, f64::min),
            rate: f64::from(in_time) / seconds.len() as f64,
        }
    }
}

/// Results of several teams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shares {
    /// Share of all attempts that were in time.
    pub(crate) all: f64,
    /// The lowest share of a team with 20 attempts or more.
    pub(crate) lowest: f64,
    /// Requests per second that were in time.
    pub(crate) rate: f64,
}
