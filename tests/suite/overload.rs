//! Admission beyond capacity, on a made-up clock: the share that is admitted, when refused callers come
//! back, and what several instances do together with counts of the last exchange.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use cartvane::{
    names::ServiceName,
    routing::{
        AdmissionControl, Aggregate, BackendServer, FleetPosition, PickError, PickRequest, Picker,
        ResponseTimes, admission::FleetTotal,
    },
};
use fastrand::Rng;

use crate::routing::server;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const TARGET: Duration = Duration::from_millis(300);

/// Returns what an instance has learnt of a service whose requests take a second.
fn learnt(now: Instant) -> AdmissionControl {
    let mut overload = AdmissionControl::default();
    for priority in 0..3 {
        overload.note_request(now, priority, TARGET);
    }
    let times = ResponseTimes { head: MS * 100, body: MS * 900 };
    (0..20).for_each(|_| overload.note_response(times, false));
    overload
}

#[test]
fn the_admitted_share_falls_as_places_fill_and_the_urgent_keep_more() {
    let now = Instant::now();
    let mut overload = learnt(now);
    let share =
        |overload: &AdmissionControl, rank, own| overload.admitted_share(now, rank, own, 400.0, 4);
    assert_eq!(share(&overload, 2, 1000.0), 1.0, "before any exchange nothing is known");
    overload.set_fleet_total(FleetTotal { all: 200.0, own: 50.0, at: now });
    assert_eq!(share(&overload, 2, 1000.0), 1.0, "half of the places were free");
    overload.set_fleet_total(FleetTotal { all: 400.0, own: 100.0, at: now });
    assert_eq!(share(&overload, 2, 80.0), 1.0);
    let shares: Vec<f64> = (80..=110).map(|own| share(&overload, 1, f64::from(own))).collect();
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    assert_eq!(share(&overload, 0, 110.0), 0.0);
    let ranks: Vec<f64> = (0..3).map(|rank| share(&overload, rank, 95.0)).collect();
    assert!(ranks[0] > ranks[1] && ranks[1] > ranks[2], "{ranks:?}");
    // An instance that had more than its part gives up in proportion.
    overload.set_fleet_total(FleetTotal { all: 800.0, own: 100.0, at: now });
    assert_eq!(share(&overload, 0, 60.0), 0.0);
    assert_eq!(share(&overload, 0, 40.0), 1.0);
}

#[test]
fn counts_older_than_a_request_takes_refuse_nothing() {
    let now = Instant::now();
    let mut overload = learnt(now);
    overload.set_fleet_total(FleetTotal { all: 400.0, own: 100.0, at: now });
    assert_eq!(overload.admitted_share(now + MS * 900, 0, 200.0, 400.0, 4), 0.0);
    assert_eq!(overload.admitted_share(now + MS * 1100, 0, 200.0, 400.0, 4), 1.0);
}

#[test]
fn the_wait_for_a_place_is_learnt_from_answers() {
    let now = Instant::now();
    assert_eq!(AdmissionControl::default().wait(100.0, 10), Duration::ZERO, "nothing is known yet");
    let mut overload = learnt(now);
    assert_eq!(overload.wait(5.0, 10), MS * 500);
    // Time that was spent waiting is none that a request holds a place for.
    let waited = ResponseTimes { head: MS * 700, body: MS * 900 };
    (0..100).for_each(|_| overload.note_response(waited, true));
    assert_eq!(overload.slot_time(), Some(SECOND));
}

#[test]
fn refused_callers_come_back_in_time_where_they_have_a_chance_and_not_together() {
    let now = Instant::now();
    let mut overload = learnt(now);
    let most = SECOND * 3;
    let soon: Vec<Duration> =
        [0.7, 0.8, 0.9].map(|draw| overload.note_refusal(now, 0.7, draw, TARGET, most)).into();
    assert!(soon.iter().all(|&after| after >= MS * 40 && after <= MS * 150), "{soon:?}");
    assert!(soon.is_sorted_by(|a, b| a < b), "{soon:?}");
    assert_eq!(overload.note_refusal(now, 0.7, 0.9, TARGET, MS * 20), MS * 20);
    // With hardly a chance they come back later, and the later the longer it has lasted.
    let mut last = Duration::ZERO;
    for tenths in 0..30 {
        last = overload.note_refusal(now + MS * 100 * tenths, 0.1, 0.5, TARGET, most);
    }
    assert!(last > SECOND * 2, "{last:?}");
    let calm = now + SECOND * 10;
    assert!(overload.note_refusal(calm, 0.1, 0.5, TARGET, most) < SECOND, "a new period");
}

/// What happens next in a simulated fleet, in order of time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrival,
    Exchange(usize),
    End { server: usize, instance: usize },
}

/// Instances that admit and pick, and servers that run so many requests at once and let others wait.
struct Fleet {
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, Next)>>,
    rng: Rng,
    service: ServiceName,
    servers: Vec<BackendServer>,
    pickers: Vec<Picker>,
    aggregate: Aggregate,
    running: Vec<u32>,
    waiting: Vec<VecDeque<(Instant, usize)>>,
    /// Waits for a place of those that were admitted.
    waits: Vec<Duration>,
    refused: [u32; 3],
    asked: [u32; 3],
}

const SLOTS: u32 = 16;
const TAKES: Duration = Duration::from_millis(800);
const PERIOD: Duration = Duration::from_millis(250);

impl Fleet {
    fn new(instances: usize, servers: u16) -> Fleet {
        let slots = |s: BackendServer| BackendServer { slots: Some(SLOTS), ..s };
        let servers: Vec<BackendServer> =
            (0..servers).map(|i| slots(server(&format!("s{i}"), i))).collect();
        let list: Vec<_> = servers.iter().cloned().map(Arc::new).collect();
        let picker = |number| {
            let mut picker = Picker::new("north".parse().expect("a zone"), 2.0);
            picker.set_servers(Instant::now(), list.iter());
            picker.set_position(FleetPosition { number, instances });
            picker
        };
        let now = Instant::now();
        let mut fleet = Fleet {
            now,
            events: BinaryHeap::new(),
            rng: Rng::with_seed(7),
            service: "llm".parse().expect("a name"),
            running: vec![0; servers.len()],
            waiting: vec![VecDeque::new(); servers.len()],
            servers,
            pickers: (0..instances).map(picker).collect(),
            aggregate: Aggregate::default(),
            waits: Vec::new(),
            refused: [0; 3],
            asked: [0; 3],
        };
        for i in 0..instances {
            let at = now + PERIOD * i as u32 / instances as u32;
            fleet.events.push(Reverse((at, Next::Exchange(i))));
        }
        fleet.events.push(Reverse((now, Next::Arrival)));
        fleet
    }

    /// Plays `time` with `load` times as many requests as the servers can run.
    fn play(&mut self, time: Duration, load: f64) {
        (self.refused, self.asked) = ([0; 3], [0; 3]);
        self.waits.clear();
        let capacity = f64::from(SLOTS) * self.servers.len() as f64 / TAKES.as_secs_f64();
        let until = self.now + time;
        while let Some(Reverse((at, next))) = self.events.pop() {
            if at > until {
                self.events.push(Reverse((at, next)));
                break;
            }
            self.now = at;
            match next {
                Next::Arrival => {
                    let pause = -self.rng.f64().max(1e-9).ln() / (load * capacity);
                    let then = at + Duration::from_secs_f64(pause);
                    self.events.push(Reverse((then, Next::Arrival)));
                    self.arrive();
                }
                Next::Exchange(instance) => {
                    self.exchange(instance);
                    self.events.push(Reverse((at + PERIOD, Next::Exchange(instance))));
                }
                Next::End { server, instance } => self.finish_request(server, instance),
            }
        }
        self.now = until;
    }

    fn arrive(&mut self) {
        let (now, rank) = (self.now, self.rng.usize(0..3));
        let instance = self.rng.usize(0..self.pickers.len());
        let picker = &mut self.pickers[instance];
        picker.note_request(now, &self.service, rank as u8, TARGET);
        let wanted = PickRequest {
            service: &self.service,
            affinity: Some(self.rng.u64(0..60)),
            spread: self.rng.u64(..),
            tried: &[],
            admission: Some(rank as u8),
            ..PickRequest::new(&self.service)
        };
        self.asked[rank] += 1;
        match picker.pick(now, &wanted) {
            Ok(picked) => {
                let at = self.servers.iter().position(|s| s.id == picked.server.id);
                let at = at.expect("listed");
                picker.start_request(now, &picked.server.id);
                self.waiting[at].push_back((now, instance));
                self.run_next(at);
            }
            Err(PickError::Overload { .. }) => self.refused[rank] += 1,
            Err(PickError::NoServer | PickError::Backoff { .. }) => panic!("there are servers"),
        }
    }

    fn run_next(&mut self, server: usize) {
        if self.running[server] == SLOTS {
            return;
        }
        let Some((since, instance)) = self.waiting[server].pop_front() else { return };
        self.running[server] += 1;
        self.waits.push(self.now.saturating_duration_since(since));
        let takes = TAKES.mul_f64(0.5 + self.rng.f64());
        self.events.push(Reverse((self.now + takes, Next::End { server, instance })));
    }

    fn finish_request(&mut self, server: usize, instance: usize) {
        self.running[server] -= 1;
        let picker = &mut self.pickers[instance];
        picker.finish_request(&self.servers[server].id);
        let times = ResponseTimes { head: TAKES / 10, body: TAKES * 9 / 10 };
        picker.admission(&self.service).note_response(times, false);
        self.run_next(server);
    }

    fn exchange(&mut self, instance: usize) {
        let own = self.pickers[instance].own_counts();
        let node = format!("n{instance}").parse().expect("a name");
        self.aggregate.take(self.now, node, own.clone());
        let loads = self.aggregate.summary(self.now, self.servers.iter());
        self.pickers[instance].set_fleet_loads(self.now, &loads, &own);
    }

    fn places_taken(&self) -> f64 {
        let running = self.running.iter().sum::<u32>();
        f64::from(running) / (f64::from(SLOTS) * self.servers.len() as f64)
    }

    fn wait_of(&mut self, share: f64) -> Duration {
        self.waits.sort_unstable();
        self.waits[((self.waits.len() - 1) as f64 * share) as usize]
    }
}

#[test]
fn beyond_capacity_places_stay_taken_waits_short_and_the_urgent_are_served_more() {
    for (instances, servers, loads) in
        [(1, 6, [1.3, 5.0]), (7, 18, [1.3, 5.0]), (40, 60, [1.3, 2.0])]
    {
        for load in loads {
            let case = format!("{instances} instances, {servers} servers, load {load}");
            let mut fleet = Fleet::new(instances, servers);
            fleet.play(SECOND * 4, 0.5);
            fleet.play(SECOND * 2, load);
            let mut taken = Vec::new();
            for _ in 0..20 {
                fleet.play(SECOND / 5, load);
                taken.push(fleet.places_taken());
            }
            let least = taken.iter().copied().fold(1.0, f64::min);
            assert!(least > 0.75, "{case}: {taken:?}");
            fleet.play(SECOND * 2, load);
            assert!(fleet.wait_of(0.5) < TARGET / 3, "{case}: {:?}", fleet.wait_of(0.5));
            assert!(fleet.wait_of(0.9) < TARGET, "{case}: {:?}", fleet.wait_of(0.9));
            let served: Vec<f64> = (0..3)
                .map(|rank| 1.0 - f64::from(fleet.refused[rank]) / f64::from(fleet.asked[rank]))
                .collect();
            assert!(served[0] > served[2], "{case}: {served:?}");
        }
    }
}

#[test]
fn below_capacity_nothing_is_refused_and_within_a_second_after_an_overload_nothing_either() {
    for (instances, servers) in [(1, 6), (7, 18), (40, 60)] {
        let mut fleet = Fleet::new(instances, servers);
        fleet.play(SECOND * 5, 0.65);
        assert_eq!(fleet.refused, [0; 3], "{instances} instances");
        fleet.play(SECOND * 5, 3.0);
        assert!(fleet.refused.iter().sum::<u32>() > 0);
        fleet.play(SECOND, 0.5);
        fleet.play(SECOND * 3, 0.5);
        assert_eq!(fleet.refused, [0; 3], "{instances} instances, after");
    }
}
