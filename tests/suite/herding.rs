//! Several instances that know each other's counts only as of the last exchange, on a made-up clock: no
//! backend server gets much more than its bound, however many requests share one prompt.

use std::{
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use cartvane::routing::{
    Aggregate, BackendServer, FleetPosition, Incarnation, PickRequest, Picker,
};

/// The operator's bound, and the requests beyond it that do not count.
const BOUND: (f64, f64) = (2.0, 3.0);

/// Share of arrivals that may be beyond the bound.
const BEYOND_MAX: f64 = 0.03;

/// Time after which arrivals are judged: a few exchanges.
const WARM_UP: Duration = Duration::from_secs(3);

/// Length of a case.
const LENGTH: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    servers: usize,
    /// Callers that send one request after the other.
    callers: usize,
    /// Share of the callers whose requests have the same prompt; `None`: requests have no prompts.
    hot: Option<f64>,
    /// Time of one request at a server.
    takes: Duration,
    /// Pause between two exchanges.
    period: Duration,
    /// Servers in a zone that operators have emptied.
    emptied: usize,
}

/// What happens next: when, and which caller's request ends or which instance exchanges.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Call(usize),
    Exchange(usize),
}

struct Testbed {
    case: Case,
    servers: Vec<BackendServer>,
    pickers: Vec<Picker>,
    aggregate: Aggregate,
    /// Requests in flight, by server.
    loads: Vec<u32>,
    /// Server at which each caller has a request.
    at: Vec<Option<usize>>,
    arrivals: u32,
    beyond: u32,
    /// Stands for the ids of requests, which are all different.
    spread: u64,
}

fn server(number: usize, zone: &str) -> BackendServer {
    BackendServer {
        id: format!("s{number}").parse().expect("an id"),
        service: "llm".parse().expect("a name"),
        address: ([10, 0, 0, 1], number as u16 + 1).into(),
        zone: zone.parse().expect("a zone"),
        leaving: false,
        slots: None,
        version: None,
        cold_for: Duration::ZERO,
    }
}

impl Testbed {
    fn new(case: Case) -> Testbed {
        let zone = |number| if number < case.emptied { "emptied" } else { "z" };
        let servers: Vec<BackendServer> = (0..case.servers).map(|n| server(n, zone(n))).collect();
        let list: Vec<_> = servers.iter().cloned().map(std::sync::Arc::new).collect();
        let picker = |number| {
            let mut picker = Picker::new("z".parse().expect("a zone"), BOUND.0);
            picker.set_servers(Instant::now(), list.iter());
            picker.set_evacuated(["emptied".parse().expect("a zone")].into());
            picker.set_position(FleetPosition { number, instances: case.instances });
            picker
        };
        Testbed {
            pickers: (0..case.instances).map(picker).collect(),
            aggregate: Aggregate::default(),
            loads: vec![0; case.servers],
            at: vec![None; case.callers],
            arrivals: 0,
            beyond: 0,
            spread: 0,
            servers,
            case,
        }
    }

    /// Ends a caller's request and sends its next one.
    fn call(&mut self, now: Instant, caller: usize, judged: bool) {
        let instance = caller % self.case.instances;
        self.spread = self.spread.wrapping_mul(6364136223846793005).wrapping_add(1);
        let id = |at: usize| -> Incarnation { self.servers[at].id.clone() };
        if let Some(at) = self.at[caller].take() {
            self.loads[at] -= 1;
            self.pickers[instance].finish_request(&id(at));
        }
        let affinity = self.case.hot.map(|hot| {
            let same = (caller as f64) < hot * self.case.callers as f64;
            if same { 7 } else { 1000 + caller as u64 }
        });
        let service = "llm".parse().expect("a name");
        let wanted = PickRequest {
            service: &service,
            affinity,
            spread: self.spread,
            tried: &[],
            admission: None,
            ..PickRequest::new(&service)
        };
        let picked = self.pickers[instance].pick(now, &wanted).expect("a server");
        let at = self.servers.iter().position(|s| s.id == picked.server.id).expect("listed");
        self.pickers[instance].start_request(now, &id(at));
        self.loads[at] += 1;
        self.at[caller] = Some(at);
        if judged {
            let mean = f64::from(self.loads.iter().sum::<u32>()) / self.loads.len() as f64;
            self.arrivals += 1;
            self.beyond += u32::from(f64::from(self.loads[at]) > BOUND.0 * mean + BOUND.1);
        }
    }

    fn exchange(&mut self, now: Instant, instance: usize) {
        let own = self.pickers[instance].own_counts();
        let node = format!("n{instance}").parse().expect("a name");
        self.aggregate.record_counts(now, node, own.clone());
        let loads = self.aggregate.summary(now, self.servers.iter());
        self.pickers[instance].set_fleet_loads(now, &loads, &own);
    }
}

/// Plays a case and returns the share of arrivals beyond the bound.
fn play(case: Case) -> f64 {
    let mut testbed = Testbed::new(case);
    let start = Instant::now();
    let mut queue = BinaryHeap::new();
    let mut rng = fastrand::Rng::with_seed(11);
    let push = |queue: &mut BinaryHeap<_>, at: Duration, next| {
        queue.push(std::cmp::Reverse((at, next)));
    };
    for caller in 0..case.callers {
        push(&mut queue, case.takes.mul_f64(rng.f64()), Next::Call(caller));
    }
    for instance in 0..case.instances {
        push(&mut queue, case.period.mul_f64(rng.f64()), Next::Exchange(instance));
    }
    while let Some(std::cmp::Reverse((at, next))) = queue.pop() {
        if at >= LENGTH {
            break;
        }
        match next {
            Next::Call(caller) => {
                testbed.call(start + at, caller, at >= WARM_UP);
                let takes = case.takes.mul_f64(0.8 + 0.4 * rng.f64());
                push(&mut queue, at + takes, Next::Call(caller));
            }
            Next::Exchange(instance) => {
                testbed.exchange(start + at, instance);
                let period = case.period.mul_f64(0.9 + 0.2 * rng.f64());
                push(&mut queue, at + period, Next::Exchange(instance));
            }
        }
    }
    f64::from(testbed.beyond) / f64::from(testbed.arrivals)
}

#[test]
fn one_prompt_from_everywhere_stays_within_the_bound() {
    let ms = Duration::from_millis;
    let case = |instances, servers, callers, hot, takes, period| Case {
        instances,
        servers,
        callers,
        hot: Some(hot),
        takes: ms(takes),
        period: ms(period),
        emptied: 0,
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
    hold(cases);
}

#[test]
fn requests_without_prompts_spread_evenly() {
    let ms = Duration::from_millis;
    let case = |instances, servers, callers, takes, period| Case {
        instances,
        servers,
        callers,
        hot: None,
        takes: ms(takes),
        period: ms(period),
        emptied: 0,
    };
    hold([
        case(4, 5, 40, 40, 250),
        case(8, 4, 24, 60, 250),
        case(62, 7, 40, 60, 250),
        case(80, 4, 24, 15, 250),
        case(302, 30, 200, 60, 900),
    ]);
}

/// Returns a case of 65 instances and 112 servers, some of them in emptied zones.
fn emptied(emptied: usize, callers: usize, hot: f64, takes: u64) -> Case {
    Case {
        instances: 65,
        servers: 112,
        callers,
        hot: Some(hot),
        takes: Duration::from_millis(takes),
        period: Duration::from_millis(250),
        emptied,
    }
}

#[test]
fn where_a_zone_is_emptied_the_servers_that_are_left_stay_within_the_bound() {
    hold([
        emptied(28, 350, 0.02, 450),
        emptied(56, 350, 0.02, 450),
        emptied(56, 350, 0.02, 150),
        emptied(56, 350, 0.2, 450),
    ]);
}

// With two of four zones emptied, 147 of 3,604 requests in five calm seconds reached servers beyond twice the mean of all:
// each server that is left has twice the mean on average, and prompts spill only a little below the bound, by counts that
// are a quarter of a second old. Here 0.085 and 0.051 of the arrivals are beyond it.
#[test]
fn where_half_of_the_servers_are_emptied_the_others_stay_within_the_bound() {
    hold([emptied(56, 500, 0.02, 450), emptied(56, 350, 0.1, 450)]);
}

// As above, with more and with shorter requests: 0.057 and 0.039 of the arrivals are beyond the bound.
#[test]
fn where_half_of_the_servers_are_emptied_under_more_or_shorter_requests() {
    hold([emptied(56, 700, 0.02, 450), emptied(56, 350, 0.1, 150)]);
}

/// Plays cases and checks that hardly any arrival is beyond the bound.
fn hold(cases: impl IntoIterator<Item = Case>) {
    let shares: Vec<(f64, Case)> = cases.into_iter().map(|case| (play(case), case)).collect();
    let failed: Vec<_> = shares.iter().filter(|(share, _)| *share > BEYOND_MAX).collect();
    assert!(failed.is_empty(), "share of arrivals beyond the bound: {failed:#?}");
}
