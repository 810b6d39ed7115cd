//! Thundering herds, on a simulated clock: several instances know each other's counts only as of the last exchange, and
//! still no backend server gets much more than its bound, however many requests share one prompt.

use std::{
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use cartvane::routing::{
    Aggregate, BackendServer, FleetPosition, Incarnation, PickRequest, Picker, PromptTag,
};

use crate::simulated_fleet::report;

/// The operator's bound on the load of a server, as a multiple of the mean.
const LOAD_BOUND: f64 = 2.0;

/// Requests over the bound that are tolerated.
const BOUND_SLACK: f64 = 3.0;

/// Share of arrivals that may exceed the bound.
const OVER_BOUND_MAX: f64 = 0.03;

/// Time from which arrivals are counted: a few exchanges after the start.
const WARM_UP: Duration = Duration::from_secs(3);

/// Simulated duration of a case.
const DURATION: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    servers: usize,
    /// Callers, each of which sends one request after the other.
    callers: usize,
    /// Share of the callers whose requests have the same prompt; `None` if requests have no prompts.
    same_prompt: Option<f64>,
    /// Duration of a request at a server.
    request_time: Duration,
    /// Interval between two exchanges of an instance.
    exchange_interval: Duration,
    /// Number of servers in an evacuated zone.
    evacuated: usize,
}

/// An event of the simulation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of this caller ends and its next one is sent.
    NextRequest(usize),
    /// This instance exchanges counts with the aggregator.
    Exchange(usize),
}

struct Simulation {
    case: Case,
    servers: Vec<BackendServer>,
    pickers: Vec<Picker>,
    aggregate: Aggregate,
    /// Requests in flight, by server.
    loads: Vec<u32>,
    /// Server that runs each caller's request.
    running_at: Vec<Option<usize>>,
    arrivals: u32,
    over_bound: u32,
    /// Spread hash of the last request; different for each request.
    spread: u64,
}

fn server(number: usize, zone: &str) -> BackendServer {
    BackendServer {
        id: format!("s{number}").parse().expect("a valid id"),
        service: "llm".parse().expect("a valid name"),
        address: ([10, 0, 0, 1], number as u16 + 1).into(),
        zone: zone.parse().expect("a valid zone"),
        leaving: false,
        slots: None,
        version: None,
        cold_for: Duration::ZERO,
    }
}

impl Simulation {
    fn new(case: Case) -> Simulation {
        let zone = |number| if number < case.evacuated { "evacuated" } else { "z" };
        let servers: Vec<BackendServer> = (0..case.servers).map(|n| server(n, zone(n))).collect();
        let list: Vec<_> = servers.iter().cloned().map(std::sync::Arc::new).collect();
        let picker = |number| {
            let mut picker = Picker::new("z".parse().expect("a valid zone"), LOAD_BOUND);
            picker.set_servers(Instant::now(), list.iter());
            picker.set_evacuated(["evacuated".parse().expect("a valid zone")].into());
            picker.set_position(FleetPosition { number, instances: case.instances });
            picker
        };
        Simulation {
            pickers: (0..case.instances).map(picker).collect(),
            aggregate: Aggregate::default(),
            loads: vec![0; case.servers],
            running_at: vec![None; case.callers],
            arrivals: 0,
            over_bound: 0,
            spread: 0,
            servers,
            case,
        }
    }

    /// Returns the prompt of a caller's requests.
    fn prompt(&self, caller: usize) -> Option<u64> {
        let has_same = |share| (caller as f64) < share * self.case.callers as f64;
        self.case.same_prompt.map(|share| if has_same(share) { 7 } else { 1000 + caller as u64 })
    }

    /// Ends a caller's request and sends its next one, which is counted if `counted` is set.
    fn next_request(&mut self, now: Instant, caller: usize, counted: bool) {
        let instance = caller % self.case.instances;
        self.spread = self.spread.wrapping_mul(6364136223846793005).wrapping_add(1);
        let id = |at: usize| -> Incarnation { self.servers[at].id.clone() };
        if let Some(at) = self.running_at[caller].take() {
            self.loads[at] -= 1;
            self.pickers[instance].finish_request(&id(at));
            if let Some(key) = self.prompt(caller) {
                self.pickers[instance].prompts().finish_request(PromptTag::of(key));
            }
        }
        let affinity = self.prompt(caller);
        let service = "llm".parse().expect("a valid name");
        let request = PickRequest {
            service: &service,
            affinity,
            spread: self.spread,
            tried: &[],
            admission: None,
            ..PickRequest::new(&service)
        };
        let picked = self.pickers[instance].pick(now, &request).expect("a server is picked");
        let at = self.servers.iter().position(|s| s.id == picked.server.id).expect("listed");
        self.pickers[instance].start_request(now, &id(at));
        if let Some(key) = affinity {
            self.pickers[instance].prompts().start_request(PromptTag::of(key));
        }
        self.loads[at] += 1;
        self.running_at[caller] = Some(at);
        if counted {
            let mean = f64::from(self.loads.iter().sum::<u32>()) / self.loads.len() as f64;
            self.arrivals += 1;
            self.over_bound +=
                u32::from(f64::from(self.loads[at]) > LOAD_BOUND * mean + BOUND_SLACK);
        }
    }

    fn exchange(&mut self, now: Instant, instance: usize) {
        let own = report(now, &mut self.aggregate, instance, &mut self.pickers[instance]);
        let popular = self.aggregate.popular_prompts(now);
        self.pickers[instance].prompts().set_fleet_counts(now, &popular);
        let loads = self.aggregate.summary(now, self.servers.iter());
        self.pickers[instance].set_fleet_loads(now, &loads, &own);
    }
}

/// Simulates a case and returns the share of arrivals that exceed the bound.
fn simulate(case: Case) -> f64 {
    let mut simulation = Simulation::new(case);
    let start = Instant::now();
    let mut queue = BinaryHeap::new();
    let mut rng = fastrand::Rng::with_seed(11);
    let push = |queue: &mut BinaryHeap<_>, at: Duration, event| {
        queue.push(std::cmp::Reverse((at, event)));
    };
    for caller in 0..case.callers {
        push(&mut queue, case.request_time.mul_f64(rng.f64()), Event::NextRequest(caller));
    }
    for instance in 0..case.instances {
        push(&mut queue, case.exchange_interval.mul_f64(rng.f64()), Event::Exchange(instance));
    }
    while let Some(std::cmp::Reverse((at, event))) = queue.pop() {
        if at >= DURATION {
            break;
        }
        match event {
            Event::NextRequest(caller) => {
                simulation.next_request(start + at, caller, at >= WARM_UP);
                let request_time = case.request_time.mul_f64(0.8 + 0.4 * rng.f64());
                push(&mut queue, at + request_time, Event::NextRequest(caller));
            }
            Event::Exchange(instance) => {
                simulation.exchange(start + at, instance);
                let interval = case.exchange_interval.mul_f64(0.9 + 0.2 * rng.f64());
                push(&mut queue, at + interval, Event::Exchange(instance));
            }
        }
    }
    f64::from(simulation.over_bound) / f64::from(simulation.arrivals)
}

#[test]
fn requests_with_one_prompt_at_all_instances_stay_within_the_bound() {
    let ms = Duration::from_millis;
    let case = |instances, servers, callers, same_prompt, request_ms, exchange_ms| Case {
        instances,
        servers,
        callers,
        same_prompt: Some(same_prompt),
        request_time: ms(request_ms),
        exchange_interval: ms(exchange_ms),
        evacuated: 0,
    };
    let cases = [
        case(4, 5, 40, 1.0, 40, 250),
        case(8, 18, 120, 0.4, 60, 250),
        case(8, 18, 120, 0.4, 1000, 250),
        case(8, 4, 60, 1.0, 100, 250),
        case(62, 90, 500, 0.3, 60, 250),
        case(62, 90, 500, 0.3, 700, 250),
        case(62, 90, 500, 0.1, 300, 900),
        case(1, 5, 40, 1.0, 40, 250),
    ];
    assert_within_bound(cases);
}

#[test]
fn requests_without_prompts_are_spread_evenly() {
    let ms = Duration::from_millis;
    let case = |instances, servers, callers, request_ms, exchange_ms| Case {
        instances,
        servers,
        callers,
        same_prompt: None,
        request_time: ms(request_ms),
        exchange_interval: ms(exchange_ms),
        evacuated: 0,
    };
    assert_within_bound([
        case(4, 5, 40, 40, 250),
        case(8, 4, 24, 60, 250),
        case(62, 7, 40, 60, 250),
        case(80, 4, 24, 15, 250),
        case(302, 30, 200, 60, 900),
    ]);
}

/// Returns a case of 65 instances and 112 servers, `evacuated` of them in an evacuated zone.
fn with_evacuated(evacuated: usize, callers: usize, same_prompt: f64, request_ms: u64) -> Case {
    Case {
        instances: 65,
        servers: 112,
        callers,
        same_prompt: Some(same_prompt),
        request_time: Duration::from_millis(request_ms),
        exchange_interval: Duration::from_millis(250),
        evacuated,
    }
}

#[test]
fn the_remaining_servers_stay_within_the_bound_while_a_zone_is_evacuated() {
    assert_within_bound([
        with_evacuated(28, 350, 0.02, 450),
        with_evacuated(56, 350, 0.02, 450),
        with_evacuated(56, 350, 0.02, 150),
        with_evacuated(56, 350, 0.2, 450),
    ]);
}

// With two of four zones evacuated, 147 of 3,604 requests in five seconds without faults reached servers with over
// twice the mean load of all: the remaining servers have twice the mean on average, and prompts spill only slightly
// below the bound, by counts that are 250 ms old. Before the fix, shares of 0.085 and 0.051 of the arrivals in these
// cases exceeded the bound.
#[test]
fn the_remaining_half_stays_within_the_bound_while_half_of_the_servers_are_evacuated() {
    assert_within_bound([with_evacuated(56, 500, 0.02, 450), with_evacuated(56, 350, 0.1, 450)]);
}

// As above, with more and with shorter requests: shares of 0.057 and 0.039 of the arrivals exceeded the bound before
// the fix.
#[test]
fn the_remaining_half_stays_within_the_bound_under_more_or_shorter_requests() {
    assert_within_bound([with_evacuated(56, 700, 0.02, 450), with_evacuated(56, 350, 0.1, 150)]);
}

/// Simulates cases and asserts that hardly any arrival exceeds the bound.
fn assert_within_bound(cases: impl IntoIterator<Item = Case>) {
    let shares: Vec<(f64, Case)> = cases.into_iter().map(|case| (simulate(case), case)).collect();
    let failed: Vec<_> = shares.iter().filter(|(share, _)| *share > OVER_BOUND_MAX).collect();
    assert!(failed.is_empty(), "share of arrivals over the bound: {failed:#?}");
}
