//! Requests that end servers, and harmless ones beside them, on days drawn on a made-up clock: fleets of 8 to 302
//! instances, of whose servers half are killed at a time, or one after the other, or by a request.

use std::time::{Duration, Instant};

use cartvane::{
    gateway::crash_suspects::CrashSuspects,
    names::ServiceName,
    routing::{Incarnation, RequestDigest, RequestFingerprint, RunId, Suspect},
};

const STEP: Duration = Duration::from_millis(10);

/// Steps from its first event on after which a server that ends has run a request without ending of it.
const RUN_ON: usize = 50;

/// Servers that one attempt of a caller is sent to at most.
const SERVERS_TRIED: u32 = 2;

/// Second from which requests come that end servers.
const DEADLY_FROM: f64 = 4.0;

/// The harmless request that many send.
const HOT: u64 = 999;

/// A drawn day.
struct Day {
    instances: usize,
    servers: usize,
    seconds: usize,
    /// Harmless requests a second.
    rate: f64,
    /// Share of them that are one and the same request.
    hot: f64,
    /// Seconds and share of the servers that are killed then.
    kills: Vec<(f64, f64)>,
    /// How often a second each of some requests comes that end servers.
    deadly: Vec<f64>,
    /// Whether the instance that collects reports is lost as the third server ends.
    collector_lost: bool,
    seed: u64,
}

/// What came of a day.
#[derive(Debug, Default)]
struct Played {
    harmless: usize,
    /// Of them, held back: the one that many send, and others.
    hot_held: usize,
    others_held: usize,
    ended: usize,
    /// For each request that ends servers, the times at which it reached one, from its third end on.
    reached: Vec<Vec<f64>>,
    /// When each of them had ended its third server.
    third: Vec<Option<f64>>,
}

struct Flight {
    request: u64,
    deadly: Option<usize>,
    instance: usize,
    server: usize,
    /// Steps at which it has its first event and its end; a server that it ends, ends then.
    first: usize,
    end: usize,
    tried: u32,
    again: bool,
}

struct Server {
    id: Incarnation,
    back: usize,
}

struct Play<'d> {
    day: &'d Day,
    start: Instant,
    state: u64,
    nodes: Vec<CrashSuspects>,
    servers: Vec<Server>,
    flights: Vec<Flight>,
    service: ServiceName,
    started: usize,
    collector: usize,
    /// Step from which exchanges are made again after the collector was lost.
    silent_until: usize,
    played: Played,
}

fn digest_of(request: u64) -> (RequestFingerprint, RequestDigest) {
    (RequestFingerprint(request as u32), RequestDigest(request))
}

impl Play<'_> {
    fn draw(&mut self) -> f64 {
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

    /// Sends a request to the first server of its rank that runs; all requests have one of four ranks.
    fn send(&mut self, step: usize, mut flight: Flight) {
        let node = &self.nodes[flight.instance];
        let (fingerprint, digest) = digest_of(flight.request);
        if node.held_by(self.now(step), || fingerprint, || digest).is_some() {
            let is_hot = flight.request == HOT;
            self.played.hot_held += usize::from(is_hot);
            self.played.others_held += usize::from(flight.deadly.is_none() && !is_hot);
            return;
        }
        let count = self.servers.len();
        let rank = (flight.request % 4) as usize * count / 4;
        let up = (0..count).map(|i| (rank + i) % count).find(|&s| self.servers[s].back <= step);
        let Some(server) = up else { return };
        flight.server = server;
        let (first, rest) = (self.draw(), self.draw());
        flight.first = step + 5 + (first * 40.0) as usize;
        flight.end = flight.first + (rest * 200.0) as usize;
        if let Some(number) = flight.deadly {
            flight.end = step + 5 + (first * 10.0) as usize;
            flight.first = usize::MAX;
            if self.played.third[number].is_some() {
                let second = step as f64 * STEP.as_secs_f64();
                self.played.reached[number].push(second);
            }
        }
        self.flights.push(flight);
    }

    fn arrive(&mut self, step: usize, request: u64, deadly: Option<usize>) {
        self.played.harmless += usize::from(deadly.is_none());
        let instance = (self.draw() * self.nodes.len() as f64) as usize;
        let flight = Flight {
            request,
            deadly,
            instance,
            server: 0,
            first: 0,
            end: 0,
            tried: 1,
            again: false,
        };
        self.send(step, flight);
    }

    fn end_server(&mut self, step: usize, server: usize) {
        if self.servers[server].back > step {
            return;
        }
        self.played.ended += 1;
        let id = self.servers[server].id.clone();
        let new = self.incarnation();
        self.servers[server] = Server { id: new, back: step + 200 };
        let (here, others): (Vec<Flight>, Vec<Flight>) =
            std::mem::take(&mut self.flights).into_iter().partition(|f| f.server == server);
        self.flights = others;
        for flight in here {
            let (fingerprint, digest) = digest_of(flight.request);
            let suspect = Suspect {
                fingerprint,
                digest,
                long_running: flight.first.saturating_add(RUN_ON) <= step,
            };
            let now = self.now(step);
            self.nodes[flight.instance].note_crash(now, &id, &self.service, suspect);
            self.try_again(step, flight);
        }
    }

    fn try_again(&mut self, step: usize, flight: Flight) {
        let node = &self.nodes[flight.instance];
        let (fingerprint, digest) = digest_of(flight.request);
        if flight.tried < SERVERS_TRIED && !node.forbids_retry_by(|| fingerprint, || digest) {
            return self.send(step, Flight { tried: flight.tried + 1, ..flight });
        }
        if !flight.again {
            let instance = (self.draw() * self.nodes.len() as f64) as usize;
            self.send(step, Flight { instance, tried: 1, again: true, ..flight });
        }
    }

    fn exchange(&mut self, step: usize, node: usize) {
        if step < self.silent_until {
            return;
        }
        let now = self.now(step);
        let report = self.nodes[node].report(now);
        let collector = &self.nodes[self.collector];
        collector.apply_report(now, &report);
        let (lasting, watched) = (collector.report(now).verdicts, collector.watched(now));
        self.nodes[node].apply_verdicts(now, &lasting, "peer");
        self.nodes[node].mark_reported(RunId(self.collector as u64), &report);
        self.nodes[node].watch(now, &watched);
        if self.nodes[self.collector].is_alert(now) {
            self.nodes[node].alert(now);
        }
    }

    fn step(&mut self, step: usize, period: usize) {
        let second = STEP.as_secs_f64() * step as f64;
        let harmless = (self.day.rate * (second + STEP.as_secs_f64())) as usize;
        while self.played.harmless < harmless {
            let unique = 1000 + self.played.harmless as u64;
            let is_hot = self.draw() < self.day.hot;
            self.arrive(step, if is_hot { HOT } else { unique }, None);
        }
        for (number, rate) in self.day.deadly.clone().into_iter().enumerate() {
            if second >= DEADLY_FROM && self.draw() < rate * STEP.as_secs_f64() {
                self.arrive(step, number as u64, Some(number));
            }
        }
        for (at, share) in self.day.kills.clone() {
            if (at / STEP.as_secs_f64()) as usize == step {
                let killed = (share * self.servers.len() as f64) as usize;
                (0..killed).for_each(|_| {
                    let server = (self.draw() * self.servers.len() as f64) as usize;
                    self.end_server(step, server);
                });
            }
        }
        self.finish(step);
        let nodes = (0..self.nodes.len()).filter(|node| (node + step).is_multiple_of(period));
        nodes.collect::<Vec<usize>>().into_iter().for_each(|node| self.exchange(step, node));
    }

    /// The instance that collects is killed with all that it knows; the others turn to the next one after two exchanges
    /// of 0.3 s each that nobody answered.
    fn lose_collector(&mut self, step: usize) {
        if self.day.collector_lost && self.collector == 0 {
            self.nodes[0] = CrashSuspects::default();
            self.collector = 1;
            self.silent_until = step + 60;
        }
    }

    fn finish(&mut self, step: usize) {
        let (done, others): (Vec<Flight>, Vec<Flight>) =
            std::mem::take(&mut self.flights).into_iter().partition(|f| f.end <= step);
        self.flights = others;
        let now = self.now(step);
        for flight in done {
            let Some(number) = flight.deadly else {
                let (fingerprint, digest) = digest_of(flight.request);
                self.nodes[flight.instance].note_success_by(now, fingerprint, || digest);
                continue;
            };
            let server = flight.server;
            self.flights.push(Flight { end: usize::MAX, ..flight });
            self.end_server(step, server);
            let ended = self.played.reached[number].len();
            if self.played.third[number].is_none() {
                self.played.reached[number].push(0.0);
                if ended + 1 == 3 {
                    self.played.third[number] = Some(STEP.as_secs_f64() * step as f64);
                    self.played.reached[number].clear();
                    self.lose_collector(step);
                }
            }
        }
    }
}

fn play(day: &Day) -> Played {
    let deadly = day.deadly.len();
    let mut play = Play {
        day,
        start: Instant::now(),
        state: day.seed,
        nodes: (0..day.instances).map(|_| CrashSuspects::default()).collect(),
        servers: Vec::new(),
        flights: Vec::new(),
        service: "app".parse().expect("a name"),
        started: 0,
        collector: 0,
        silent_until: 0,
        played: Played {
            reached: vec![Vec::new(); deadly],
            third: vec![None; deadly],
            ..Played::default()
        },
    };
    for _ in 0..day.servers {
        let id = play.incarnation();
        play.servers.push(Server { id, back: 0 });
    }
    // Exchanges of an instance: each 0.25 s up to a hundred instances, 0.75 s for 302.
    let period = if day.instances > 100 { 75 } else { 25 };
    (0..day.seconds * 100).for_each(|step| play.step(step, period));
    play.played
}

fn day(instances: usize, servers: usize, seed: u64) -> Day {
    Day {
        instances,
        servers,
        seconds: 30,
        rate: 150.0,
        hot: 0.0,
        kills: Vec::new(),
        deadly: Vec::new(),
        collector_lost: false,
        seed,
    }
}

/// Plays days and returns how many harmless requests there were, and how many of them were held back.
fn harmless(days: impl Iterator<Item = Day>) -> (usize, usize) {
    let played = days.map(|day| play(&day));
    played.fold((0, 0), |(all, held), day| {
        (all + day.harmless, held + day.hot_held + day.others_held)
    })
}

// Half the servers killed at a time, up to six times a second apart, and one in a hundred or a third of all requests
// the same: all that a server runs ends with it, and a request that many send at once ends at each of them.
#[test]
fn harmless_requests_are_not_held_back_where_servers_are_killed() {
    let half = |seed: u64| Day {
        kills: (0..6).map(|n| (5.0 + n as f64 * (1.0 + seed as f64 / 8.0), 0.7)).collect(),
        hot: [0.0, 0.01, 0.28][seed as usize % 3],
        ..day(8, 18, seed)
    };
    let one_by_one = |seed: u64| Day {
        kills: (0..60).map(|n| (5.0 + n as f64 * 0.3, 1.0 / 18.0)).collect(),
        hot: [0.0, 0.01, 0.28][seed as usize % 3],
        ..day(8, 18, seed)
    };
    let (all, held) = harmless((0..12).map(half).chain((0..12).map(one_by_one)));
    assert!(all >= 100_000, "{all}");
    assert_eq!(held, 0, "of {all} harmless requests");
}

// The instance that collects reports is killed as the third server ends, with all that it was told of ends.
#[test]
fn a_request_is_held_back_in_time_though_the_collector_is_lost() {
    for (instances, window) in [(8, 3.0), (99, 3.0), (302, 5.0)] {
        for seed in 0..4 {
            let drawn = Day {
                deadly: vec![2.5],
                collector_lost: true,
                seconds: 15,
                ..day(instances, 22, seed)
            };
            let played = play(&drawn);
            let third = played.third[0].expect("a third end");
            let last = played.reached[0].last().copied().unwrap_or(third);
            assert!(last <= third + window, "{instances} instances, seed {seed}: {third} {last}");
        }
    }
}

// Up to three requests that end servers, each sent 2.5 times a second, beside others that have the same rank and follow
// them from server to server. All are held back within the time in which all instances can know. Of 36,000 harmless
// requests those that come once are not held back; the one that many send may be for the two exchanges in which
// instances learn that it was answered.
#[test]
fn a_request_that_ends_servers_is_held_back_and_others_are_not() {
    let (mut all, mut hot, mut others) = (0, 0, 0);
    for (instances, window, seeds) in [(8, 3.0, 8), (99, 3.0, 4), (302, 5.0, 4)] {
        for seed in 0..seeds {
            let deadly = vec![2.5; 1 + seed as usize % 3];
            let drawn = Day { deadly, hot: 0.05, seconds: 15, ..day(instances, 22, seed) };
            let played = play(&drawn);
            all += played.harmless;
            hot += played.hot_held;
            others += played.others_held;
            for (third, reached) in played.third.iter().zip(&played.reached) {
                // Held back before its third end, with what others ended.
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
