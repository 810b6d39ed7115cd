//! Admission control beyond capacity, on a simulated clock: the admitted share, the retry delay of rejected callers,
//! and the combined behaviour of several instances that know each other's counts as of the last exchange.

use std::time::{Duration, Instant};

use cartvane::{
    names::{ServiceName, Tag},
    routing::{
        AdmissionControl, AdmissionTerms, Aggregate, BackendServer, PickError, PickRequest, Picker,
        ResponseTimes, ServiceLoad, admission::FleetTotal,
    },
    units::SlotCount,
};
use fastrand::Rng;

use crate::{
    routing::{picker, server},
    simulation::{self, ServerQueues, Timeline, pause, report_counts},
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const TARGET: Duration = Duration::from_millis(300);

/// Returns the admission control of a service whose requests take a second.
fn with_responses(now: Instant) -> AdmissionControl {
    let mut admission = AdmissionControl::default();
    for priority in 0..3 {
        admission.note_request(now, priority);
    }
    let times = ResponseTimes { head: MS * 100, body: MS * 900 };
    (0..20).for_each(|_| admission.note_response(times, false));
    admission
}

// Guards against a share that rises with the load or rejects while slots are free, and against priorities without
// effect.
#[test]
fn the_admitted_share_falls_as_slots_fill_up_and_is_larger_for_urgent_priorities() {
    let now = Instant::now();
    let mut admission = with_responses(now);
    let share = |admission: &AdmissionControl, priority, own| {
        admission.admitted_share(now, priority, own, 400.0, 4)
    };
    assert_eq!(share(&admission, 2, 1000.0), 1.0, "no counts before the first exchange");
    admission.set_fleet_total(FleetTotal { all: 200.0, own: 50.0, at: now });
    assert_eq!(share(&admission, 2, 1000.0), 1.0, "half of the slots were free");
    admission.set_fleet_total(FleetTotal { all: 400.0, own: 100.0, at: now });
    assert_eq!(share(&admission, 2, 80.0), 1.0);
    let shares: Vec<f64> = (80..=110).map(|own| share(&admission, 1, f64::from(own))).collect();
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    assert_eq!(share(&admission, 0, 110.0), 0.0);
    let by_priority: Vec<f64> = (0..3).map(|priority| share(&admission, priority, 95.0)).collect();
    assert!(by_priority[0] > by_priority[1] && by_priority[1] > by_priority[2], "{by_priority:?}");
    // An instance reduces its requests in proportion to the excess of all.
    admission.set_fleet_total(FleetTotal { all: 800.0, own: 100.0, at: now });
    assert_eq!(share(&admission, 0, 60.0), 0.0);
    assert_eq!(share(&admission, 0, 40.0), 1.0);
}

// Guards against rejections by counts whose requests have ended.
#[test]
fn counts_older_than_the_duration_of_a_request_reject_nothing() {
    let now = Instant::now();
    let mut admission = with_responses(now);
    admission.set_fleet_total(FleetTotal { all: 400.0, own: 100.0, at: now });
    assert_eq!(admission.admitted_share(now + MS * 900, 0, 200.0, 400.0, 4), 0.0);
    assert_eq!(admission.admitted_share(now + MS * 1100, 0, 200.0, 400.0, 4), 1.0);
}

// Guards against waits that are counted as slot time, so that estimates grow with the queue.
#[test]
fn the_wait_for_a_slot_is_estimated_from_responses() {
    let now = Instant::now();
    assert_eq!(AdmissionControl::default().wait(100.0, 10), Duration::ZERO, "no responses yet");
    let mut admission = with_responses(now);
    assert_eq!(admission.wait(5.0, 10), MS * 500);
    // Time spent waiting does not count as time for which a request occupies a slot.
    let waited = ResponseTimes { head: MS * 700, body: MS * 900 };
    (0..100).for_each(|_| admission.note_response(waited, true));
    assert_eq!(admission.slot_time(), Some(SECOND));
}

// Guards against callers that return together, too late to be in time, or soon while few are admitted.
#[test]
fn rejected_callers_retry_in_time_if_they_are_likely_admitted_and_not_together() {
    let now = Instant::now();
    let mut admission = with_responses(now);
    let max_delay = SECOND * 3;
    let soon: Vec<Duration> = [0.7, 0.8, 0.9]
        .map(|draw| admission.note_refusal(now, 0.7, draw, TARGET, max_delay))
        .into();
    assert!(soon.iter().all(|&delay| delay >= MS * 40 && delay <= MS * 150), "{soon:?}");
    assert!(soon.is_sorted_by(|a, b| a < b), "{soon:?}");
    assert_eq!(admission.note_refusal(now, 0.7, 0.9, TARGET, MS * 20), MS * 20);
    // If few are admitted, the delay is longer, and grows with the duration of the overload.
    let mut delay = Duration::ZERO;
    for tenths in 0..30 {
        delay = admission.note_refusal(now + MS * 100 * tenths, 0.1, 0.5, TARGET, max_delay);
    }
    assert!(delay > SECOND * 2, "{delay:?}");
    let later = now + SECOND * 10;
    assert!(
        admission.note_refusal(later, 0.1, 0.5, TARGET, max_delay) < SECOND,
        "a new period of overload"
    );
}

/// An event in a simulated fleet.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Exchange(usize),
    RequestEnd { server: usize, instance: usize },
}

/// Instances that admit requests and pick servers, and servers with `SLOTS` slots and a queue each.
struct Fleet {
    now: Instant,
    events: Timeline<Event>,
    rng: Rng,
    service: ServiceName,
    servers: Vec<BackendServer>,
    pickers: Vec<Picker>,
    aggregate: Aggregate,
    /// Requests at the servers: when they were sent, and by which instance.
    queues: ServerQueues<(Instant, usize)>,
    /// Times that admitted requests waited for a slot.
    waits: Vec<Duration>,
    /// Rejected requests, by priority.
    rejected: [u32; 3],
    /// All requests, by priority.
    requests: [u32; 3],
}

const SLOTS: u32 = 16;
/// Mean duration of a request at a server.
const REQUEST_TIME: Duration = Duration::from_millis(800);
/// Interval between two exchanges of an instance.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

impl Fleet {
    fn new(instances: usize, servers: u16, seed: u64) -> Fleet {
        let servers = simulation::servers(servers, SLOTS);
        let now = Instant::now();
        let mut fleet = Fleet {
            now,
            events: Timeline::new(),
            rng: Rng::with_seed(seed),
            service: "llm".parse().expect("a valid name"),
            queues: ServerQueues::new(servers.len(), SLOTS),
            pickers: simulation::pickers(instances, &servers),
            servers,
            aggregate: Aggregate::default(),
            waits: Vec::new(),
            rejected: [0; 3],
            requests: [0; 3],
        };
        for i in 0..instances {
            let at = now + EXCHANGE_INTERVAL * i as u32 / instances as u32;
            fleet.events.push(at, Event::Exchange(i));
        }
        fleet.events.push(now, Event::Arrival);
        fleet
    }

    /// Simulates `time` with `load` times as many requests as the servers can run.
    fn simulate(&mut self, time: Duration, load: f64) {
        (self.rejected, self.requests) = ([0; 3], [0; 3]);
        self.waits.clear();
        let capacity = f64::from(SLOTS) * self.servers.len() as f64 / REQUEST_TIME.as_secs_f64();
        let until = self.now + time;
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            match event {
                Event::Arrival => {
                    let pause = pause(&mut self.rng, load * capacity);
                    self.events.push(at + Duration::from_secs_f64(pause), Event::Arrival);
                    self.arrive();
                }
                Event::Exchange(instance) => {
                    self.exchange(instance);
                    self.events.push(at + EXCHANGE_INTERVAL, Event::Exchange(instance));
                }
                Event::RequestEnd { server, instance } => self.finish_request(server, instance),
            }
        }
        self.now = until;
    }

    fn arrive(&mut self) {
        let (now, priority) = (self.now, self.rng.usize(0..3));
        let instance = self.rng.usize(0..self.pickers.len());
        let picker = &mut self.pickers[instance];
        picker.note_request(now, &self.service, priority as u8);
        let request = PickRequest {
            service: &self.service,
            affinity: Some(self.rng.u64(0..60)),
            spread: self.rng.u64(..),
            target: TARGET,
            admission: Some(AdmissionTerms { priority: priority as u8, team: Tag(0) }),
            ..PickRequest::new(&self.service)
        };
        self.requests[priority] += 1;
        match picker.pick(now, &request) {
            Ok(picked) => {
                let at = self.servers.iter().position(|s| s.id == picked.server.id);
                let at = at.expect("listed");
                picker.start_request(now, &picked.server.id);
                self.queues.add(at, (now, instance));
                self.run_next(at);
            }
            Err(PickError::Overload { .. }) => self.rejected[priority] += 1,
            Err(error) => panic!("servers are available and no team is limited: {error:?}"),
        }
    }

    fn run_next(&mut self, server: usize) {
        let Some((since, instance)) = self.queues.start_next(server) else { return };
        self.waits.push(self.now.saturating_duration_since(since));
        let request_time = REQUEST_TIME.mul_f64(0.5 + self.rng.f64());
        self.events.push(self.now + request_time, Event::RequestEnd { server, instance });
    }

    fn finish_request(&mut self, server: usize, instance: usize) {
        self.queues.finish(server);
        let picker = &mut self.pickers[instance];
        picker.finish_request(&self.servers[server].id);
        let times = ResponseTimes { head: REQUEST_TIME / 10, body: REQUEST_TIME * 9 / 10 };
        picker.admission(&self.service).note_response(times, false);
        self.run_next(server);
    }

    fn exchange(&mut self, instance: usize) {
        let picker = &self.pickers[instance];
        let own = report_counts(self.now, &mut self.aggregate, instance, picker);
        let loads = self.aggregate.summary(self.now, self.servers.iter());
        self.pickers[instance].set_fleet_loads(self.now, &loads, &own);
    }

    /// Returns a quantile of the waits for a slot.
    fn wait_quantile(&mut self, quantile: f64) -> Duration {
        self.waits.sort_unstable();
        self.waits[((self.waits.len() - 1) as f64 * quantile) as usize]
    }
}

// Guards against idle slots, long queues and equal treatment of priorities beyond capacity.
#[test]
fn beyond_capacity_slots_stay_taken_waits_stay_short_and_urgent_requests_are_preferred() {
    for (instances, servers, loads) in
        [(1, 6, [1.3, 5.0]), (7, 18, [1.3, 5.0]), (40, 60, [1.3, 2.0])]
    {
        for load in loads {
            let case = format!("{instances} instances, {servers} servers, load {load}");
            let mut fleet = Fleet::new(instances, servers, 7);
            fleet.simulate(SECOND * 4, 0.5);
            fleet.simulate(SECOND * 2, load);
            let mut taken = Vec::new();
            for _ in 0..20 {
                fleet.simulate(SECOND / 5, load);
                taken.push(fleet.queues.taken_share());
            }
            let least = taken.iter().copied().fold(1.0, f64::min);
            assert!(least > 0.75, "{case}: {taken:?}");
            fleet.simulate(SECOND * 2, load);
            assert!(
                fleet.wait_quantile(0.5) < TARGET / 3,
                "{case}: {:?}",
                fleet.wait_quantile(0.5)
            );
            assert!(fleet.wait_quantile(0.9) < TARGET, "{case}: {:?}", fleet.wait_quantile(0.9));
            let served: Vec<f64> = (0..3)
                .map(|priority| {
                    1.0 - f64::from(fleet.rejected[priority]) / f64::from(fleet.requests[priority])
                })
                .collect();
            assert!(served[0] > served[2], "{case}: {served:?}");
        }
    }
}

// Guards against rejections while slots are free, below capacity and after an overload has ended.
#[test]
fn nothing_is_rejected_below_capacity_or_from_a_second_after_an_overload() {
    // With seed 4707, an instance without an allotment left picked a server with a queue and rejected the request for
    // its wait, although a third of the slots was free.
    let sizes = [(1, 6), (7, 18), (40, 60)];
    for (seed, (instances, servers)) in
        [7, 4707].into_iter().flat_map(|s| sizes.map(|size| (s, size)))
    {
        let mut fleet = Fleet::new(instances, servers, seed);
        fleet.simulate(SECOND * 5, 0.65);
        assert_eq!(fleet.rejected, [0; 3], "{instances} instances, seed {seed}");
        fleet.simulate(SECOND * 5, 3.0);
        assert!(fleet.rejected.iter().sum::<u32>() > 0);
        fleet.simulate(SECOND, 0.5);
        fleet.simulate(SECOND * 3, 0.5);
        let case = format!("{instances} instances, seed {seed}, after the overload");
        assert_eq!(fleet.rejected, [0; 3], "{case}");
    }
}

// Guards against waits by the shortest target of a service: requests with a target of 400 ms kept those with 1,500 ms
// from waiting longer than 240 ms.
#[test]
fn each_kind_of_request_waits_by_its_own_target() {
    let now = Instant::now();
    let with_slots = |id, port, slots| BackendServer {
        slots: Some(SlotCount::nearest(slots)),
        ..server(id, port)
    };
    let servers = [with_slots("a", 1, 10), with_slots("b", 2, 40)];
    let mut picker = picker(&servers);
    let service: ServiceName = "llm".parse().expect("a valid name");
    let times = ResponseTimes { head: MS * 100, body: MS * 900 };
    (0..20).for_each(|_| picker.admission(&service).note_response(times, false));
    (0..3).for_each(|priority| picker.note_request(now, &service, priority));
    (0..15).for_each(|_| picker.start_request(now, &servers[0].id));
    let counts = vec![(servers[0].tag(), 15)];
    let (mean, counts, is_complete) = (7.5, counts, true);
    let load = ServiceLoad { service: service.clone(), mean, counts: counts.clone(), is_complete };
    picker.set_fleet_loads(now, &[load], &counts);
    let tried = [servers[1].id.clone()];
    let pick = |target| {
        let admission = Some(AdmissionTerms { priority: 1, team: Tag(0) });
        let request =
            PickRequest { target, tried: &tried, admission, ..PickRequest::new(&service) };
        picker.pick(now, &request).map(|picked| picked.wait)
    };
    let wait = MS * 500;
    assert_eq!(pick(MS * 400), Err(PickError::Overload { admitted: 1.0, wait }));
    assert_eq!(pick(MS * 1500), Ok(wait));
}
