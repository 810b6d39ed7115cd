//! Requests that crash servers, and harmless ones beside them, in random scenarios on a mock clock: fleets of 8 to 302
//! instances whose servers are killed half at a time, one after the other, or by a request.

use std::time::{Duration, Instant};

use cartvane::{
    gateway::crash_suspects::CrashSuspects,
    names::ServiceName,
    routing::{Incarnation, RequestFingerprint, RunId, Suspect, SuspectDigest},
};

const STEP: Duration = Duration::from_millis(10);

/// Steps after its first event from which a request counts as long-running.
const LONG_RUNNING: usize = 50;

/// Maximum number of servers to which one attempt of a caller is sent.
const SERVERS_PER_ATTEMPT: u32 = 2;

/// Second from which crashing requests arrive.
const CRASHING_FROM: f64 = 4.0;

/// The harmless request that many callers send.
const HOT: u64 = 999;

/// A random scenario.
struct Scenario {
    instances: usize,
    servers: usize,
    seconds: usize,
    /// Harmless requests per second.
    rate: f64,
    /// Share of them that are the same request.
    hot: f64,
    /// Times in seconds, and the share of the servers that is killed at each.
    kills: Vec<(f64, f64)>,
    /// Rate per second of each crashing request.
    crashing: Vec<f64>,
    /// Whether the aggregator is lost at the third crash of a request.
    aggregator_lost: bool,
    seed: u64,
}

/// Outcome of a scenario.
#[derive(Debug, Default)]
struct Outcome {
    harmless: usize,
    /// Held ones among them: copies of the one that many callers send, and others.
    hot_held: usize,
    others_held: usize,
    crashed: usize,
    /// For each crashing request, the times at which it reached a server after its third crash.
    reached: Vec<Vec<f64>>,
    /// When each of them had crashed its third server.
    third: Vec<Option<f64>>,
}

struct InFlight {
    request: u64,
    /// Number of the crashing request, if it is one.
    crashing: Option<usize>,
    instance: usize,
    server: usize,
    /// Steps at which it has its first event and its end. A crashing request crashes its server at its end.
    first: usize,
    end: usize,
    /// Servers tried in this attempt of the caller.
    tried: u32,
    /// Whether the caller has retried.
    is_retry: bool,
}

struct Server {
    id: Incarnation,
    /// Step from which it runs.
    up_from: usize,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    start: Instant,
    /// State of the random generator.
    state: u64,
    nodes: Vec<CrashSuspects>,
    servers: Vec<Server>,
    in_flight: Vec<InFlight>,
    service: ServiceName,
    /// Servers started so far.
    started: usize,
    aggregator: usize,
    /// Step from which exchanges succeed again after the aggregator was lost.
    unresponsive_until: usize,
    outcome: Outcome,
}

fn digest_of(request: u64) -> (RequestFingerprint, SuspectDigest) {
    (RequestFingerprint(request as u32), SuspectDigest(request))
}

impl Simulation<'_> {
    fn random(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }

    fn now(&self, step: usize) -> Instant {
        self.start + STEP * step as u32
    }

    fn incarnation(&mut self) -> Incarnation {
        self.started += 1;
        format!("s{}", self.started).parse().expect("an id")
    }

    /// Sends a request to the first running server of its ranking. All requests have one of four rankings.
    fn send(&mut self, step: usize, mut flight: InFlight) {
        let node = &self.nodes[flight.instance];
        let (fingerprint, digest) = digest_of(flight.request);
        if node.held_by(self.now(step), || fingerprint, || digest).is_some() {
            let is_hot = flight.request == HOT;
            self.outcome.hot_held += usize::from(is_hot);
            self.outcome.others_held += usize::from(flight.crashing.is_none() && !is_hot);
            return;
        }
        let count = self.servers.len();
        let rank = (flight.request % 4) as usize * count / 4;
        let up = (0..count).map(|i| (rank + i) % count).find(|&s| self.servers[s].up_from <= step);
        let Some(server) = up else { return };
        flight.server = server;
        let (first, rest) = (self.random(), self.random());
        flight.first = step + 5 + (first * 40.0) as usize;
        flight.end = flight.first + (rest * 200.0) as usize;
        if let Some(number) = flight.crashing {
            flight.end = step + 5 + (first * 10.0) as usize;
            flight.first = usize::MAX;
            if self.outcome.third[number].is_some() {
                let second = step as f64 * STEP.as_secs_f64();
                self.outcome.reached[number].push(second);
            }
        }
        self.in_flight.push(flight);
    }

    fn arrive(&mut self, step: usize, request: u64, crashing: Option<usize>) {
        self.outcome.harmless += usize::from(crashing.is_none());
        let instance = (self.random() * self.nodes.len() as f64) as usize;
        let flight = InFlight {
            request,
            crashing,
            instance,
            server: 0,
            first: 0,
            end: 0,
            tried: 1,
            is_retry: false,
        };
        self.send(step, flight);
    }

    fn crash_server(&mut self, step: usize, server: usize) {
        if self.servers[server].up_from > step {
            return;
        }
        self.outcome.crashed += 1;
        let id = self.servers[server].id.clone();
        let new = self.incarnation();
        self.servers[server] = Server { id: new, up_from: step + 200 };
        let (here, others): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|f| f.server == server);
        self.in_flight = others;
        for flight in here {
            let (fingerprint, digest) = digest_of(flight.request);
            let suspect = Suspect {
                fingerprint,
                digest,
                long_running: flight.first.saturating_add(LONG_RUNNING) <= step,
                parts: Vec::new(),
                is_cleared: false,
            };
            let now = self.now(step);
            self.nodes[flight.instance].note_crash(now, &id, &self.service, suspect);
            self.retry(step, flight);
        }
    }

    fn retry(&mut self, step: usize, flight: InFlight) {
        let node = &self.nodes[flight.instance];
        let (fingerprint, digest) = digest_of(flight.request);
        if flight.tried < SERVERS_PER_ATTEMPT && !node.forbids_retry_by(|| fingerprint, || digest) {
            return self.send(step, InFlight { tried: flight.tried + 1, ..flight });
        }
        if !flight.is_retry {
            let instance = (self.random() * self.nodes.len() as f64) as usize;
            self.send(step, InFlight { instance, tried: 1, is_retry: true, ..flight });
        }
    }

    fn exchange(&mut self, step: usize, node: usize) {
        if step < self.unresponsive_until {
            return;
        }
        let now = self.now(step);
        let report = self.nodes[node].report(now);
        let aggregator = &self.nodes[self.aggregator];
        aggregator.apply_report(now, &report);
        let (verdicts, watched) = (aggregator.report(now).verdicts, aggregator.watched(now));
        self.nodes[node].apply_verdicts(now, &verdicts, "peer");
        self.nodes[node].mark_reported(RunId(self.aggregator as u64), &report);
        self.nodes[node].watch(now, &watched);
        if self.nodes[self.aggregator].is_alert(now) {
            self.nodes[node].alert(now);
        }
    }

    fn step(&mut self, step: usize, period: usize) {
        let second = STEP.as_secs_f64() * step as f64;
        let harmless = (self.scenario.rate * (second + STEP.as_secs_f64())) as usize;
        while self.outcome.harmless < harmless {
            let unique = 1000 + self.outcome.harmless as u64;
            let is_hot = self.random() < self.scenario.hot;
            self.arrive(step, if is_hot { HOT } else { unique }, None);
        }
        for (number, rate) in self.scenario.crashing.clone().into_iter().enumerate() {
            if second >= CRASHING_FROM && self.random() < rate * STEP.as_secs_f64() {
                self.arrive(step, number as u64, Some(number));
            }
        }
        for (at, share) in self.scenario.kills.clone() {
            if (at / STEP.as_secs_f64()) as usize == step {
                let killed = (share * self.servers.len() as f64) as usize;
                (0..killed).for_each(|_| {
                    let server = (self.random() * self.servers.len() as f64) as usize;
                    self.crash_server(step, server);
                });
            }
        }
        self.finish(step);
        let nodes = (0..self.nodes.len()).filter(|node| (node + step).is_multiple_of(period));
        nodes.collect::<Vec<usize>>().into_iter().for_each(|node| self.exchange(step, node));
    }

    /// Kills the aggregator with all its state. The others report to the next one after two exchanges of 0.3 s each
    /// without a reply.
    fn lose_aggregator(&mut self, step: usize) {
        if self.scenario.aggregator_lost && self.aggregator == 0 {
            self.nodes[0] = CrashSuspects::default();
            self.aggregator = 1;
            self.unresponsive_until = step + 60;
        }
    }

    fn finish(&mut self, step: usize) {
        let (done, others): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|f| f.end <= step);
        self.in_flight = others;
        let now = self.now(step);
        for flight in done {
            let Some(number) = flight.crashing else {
                let (fingerprint, digest) = digest_of(flight.request);
                self.nodes[flight.instance].note_success_by(now, fingerprint, || digest);
                continue;
            };
            let server = flight.server;
            self.in_flight.push(InFlight { end: usize::MAX, ..flight });
            self.crash_server(step, server);
            let crashed = self.outcome.reached[number].len();
            if self.outcome.third[number].is_none() {
                self.outcome.reached[number].push(0.0);
                if crashed + 1 == 3 {
                    self.outcome.third[number] = Some(STEP.as_secs_f64() * step as f64);
                    self.outcome.reached[number].clear();
                    self.lose_aggregator(step);
                }
            }
        }
    }
}

fn simulate(scenario: &Scenario) -> Outcome {
    let requests = scenario.crashing.len();
    let mut simulation = Simulation {
        scenario,
        start: Instant::now(),
        state: scenario.seed,
        nodes: (0..scenario.instances).map(|_| CrashSuspects::default()).collect(),
        servers: Vec::new(),
        in_flight: Vec::new(),
        service: "app".parse().expect("a name"),
        started: 0,
        aggregator: 0,
        unresponsive_until: 0,
        outcome: Outcome {
            reached: vec![Vec::new(); requests],
            third: vec![None; requests],
            ..Outcome::default()
        },
    };
    for _ in 0..scenario.servers {
        let id = simulation.incarnation();
        simulation.servers.push(Server { id, up_from: 0 });
    }
    // Exchanges of an instance: each 0.25 s up to a hundred instances, 0.75 s for 302.
    let period = if scenario.instances > 100 { 75 } else { 25 };
    (0..scenario.seconds * 100).for_each(|step| simulation.step(step, period));
    simulation.outcome
}

fn scenario(instances: usize, servers: usize, seed: u64) -> Scenario {
    Scenario {
        instances,
        servers,
        seconds: 30,
        rate: 150.0,
        hot: 0.0,
        kills: Vec::new(),
        crashing: Vec::new(),
        aggregator_lost: false,
        seed,
    }
}

/// Simulates scenarios and returns how many harmless requests there were, and how many of them were held.
fn harmless(scenarios: impl Iterator<Item = Scenario>) -> (usize, usize) {
    let outcomes = scenarios.map(|scenario| simulate(&scenario));
    outcomes.fold((0, 0), |(all, held), outcome| {
        (all + outcome.harmless, held + outcome.hot_held + outcome.others_held)
    })
}

// Half of the servers are killed at once, six times in intervals of a second or more, or one after the other, while one
// in a hundred or a third of all requests are the same. A crash interrupts all that a server runs, and a request that
// many callers send at once is in flight at every crash.
#[test]
fn harmless_requests_are_not_held_when_servers_are_killed() {
    let half = |seed: u64| Scenario {
        kills: (0..6).map(|n| (5.0 + n as f64 * (1.0 + seed as f64 / 8.0), 0.7)).collect(),
        hot: [0.0, 0.01, 0.28][seed as usize % 3],
        ..scenario(8, 18, seed)
    };
    let one_by_one = |seed: u64| Scenario {
        kills: (0..60).map(|n| (5.0 + n as f64 * 0.3, 1.0 / 18.0)).collect(),
        hot: [0.0, 0.01, 0.28][seed as usize % 3],
        ..scenario(8, 18, seed)
    };
    let (all, held) = harmless((0..12).map(half).chain((0..12).map(one_by_one)));
    assert!(all >= 100_000, "{all}");
    assert_eq!(held, 0, "of {all} harmless requests");
}

// The aggregator is killed at the third crash, with all crash reports that it has received.
#[test]
fn a_request_is_held_in_time_although_the_aggregator_is_lost() {
    for (instances, window) in [(8, 3.0), (99, 3.0), (302, 5.0)] {
        for seed in 0..4 {
            let random = Scenario {
                crashing: vec![2.5],
                aggregator_lost: true,
                seconds: 15,
                ..scenario(instances, 22, seed)
            };
            let outcome = simulate(&random);
            let third = outcome.third[0].expect("a third crash");
            let last = outcome.reached[0].last().copied().unwrap_or(third);
            assert!(last <= third + window, "{instances} instances, seed {seed}: {third} {last}");
        }
    }
}

// Up to three requests that crash servers, each sent 2.5 times a second, beside others that have the same ranking and
// follow them from server to server. All of them are held within the time that propagation takes. Of 36,000 harmless
// requests, those that are sent once are not held; the one that many callers send may be held for the two exchanges in
// which instances learn of its successful response.
#[test]
fn a_request_that_crashes_servers_is_held_and_others_are_not() {
    let (mut all, mut hot, mut others) = (0, 0, 0);
    for (instances, window, seeds) in [(8, 3.0, 8), (99, 3.0, 4), (302, 5.0, 4)] {
        for seed in 0..seeds {
            let crashing = vec![2.5; 1 + seed as usize % 3];
            let random =
                Scenario { crashing, hot: 0.05, seconds: 15, ..scenario(instances, 22, seed) };
            let outcome = simulate(&random);
            all += outcome.harmless;
            hot += outcome.hot_held;
            others += outcome.others_held;
            for (third, reached) in outcome.third.iter().zip(&outcome.reached) {
                // Held before its third crash, by crashes that other requests caused.
                let Some(third) = third else { continue };
                let late: Vec<f64> =
                    reached.iter().copied().filter(|at| *at > third + window).collect();
                assert!(late.is_empty(), "{instances} instances, seed {seed}: {late:?}");
            }
        }
    }
    assert_eq!(others, 0, "of {all} harmless requests");
    assert!(hot * 5_000 <= all, "{hot} of {all} harmless requests");
}
