//! Roll-outs of random versions in random fleets, on a mock clock: how many requests a bad version gets, how soon it
//! gets none, and that no good version is rolled back.
//!
//! Instances serve requests and report at different times. The controller collects the reports, evaluates the version
//! and decides; an instance receives the decision with the reply to its next report. The controller may be lost or
//! frozen.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    names::{NodeName, ServiceName, SoftwareVersion, Tag},
    routing::{
        ExposureLimit, FailureDomains, ResponseCounts, ResponseObservation, RolloutEvidence,
        RolloutOrder, RolloutProgress, RolloutReport, RolloutState, RolloutStates, RolloutUpdate,
        RunId, Stage, StagePolicy, StageTimes, TimeBin, VersionEvaluation,
    },
};
use fastrand::Rng;
use indexmap::IndexMap;

use crate::support;

/// Limit on the requests of a bad version: a part of all requests, and some beyond.
const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit { share: 0.1, slack: 50.0 };

/// Time after its 50th bad response in which a bad version may still get requests: half of what operators allow.
const ROLLED_BACK_IN: Duration = Duration::from_millis(2500);

/// Number of bad responses after which that time starts.
const BAD_RESPONSES_MIN: usize = 50;

const TIME_LIMIT: Duration = Duration::from_secs(12);

/// Duration of a disturbance of the whole fleet.
const DISTURBANCE_DURATION: Duration = Duration::from_millis(2500);
const TICK: Duration = Duration::from_millis(50);
const ROUTES: usize = 5;
const ZONES: usize = 3;
const SERVERS: usize = 12;

/// Time within which instances report to the next controller after they have lost one.
const FAILOVER: Duration = Duration::from_millis(600);

/// How a version is worse than the one before.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Regression {
    /// This share of its responses fails, from this time on.
    Fails(f64, Duration),
    /// This share of its responses is slower by this factor, from this time on: share, factor, start.
    Slow(f64, f64, Duration),
    /// This share of its responses fails, on one route only.
    OneRoute(f64),
    /// It is as good as the one before.
    None,
}

/// A fault of servers or of the fleet that is no evidence against the version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// One of the new servers fails all requests.
    BadServer,
    /// One of the new servers is several times slower.
    SlowServer,
    /// The new servers of a zone respond only after a second.
    ZoneSlow,
    /// Responses of both versions fail equally often.
    AllFail,
    /// Responses of both versions take several times as long for some seconds from this time on, as in a burst of
    /// requests.
    AllSlow(Duration),
    /// Responses of both versions fail for some seconds from this time on.
    AllFailBriefly(Duration),
}

/// A fault of the controller.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ControllerFault {
    None,
    /// It is lost at this time. The next one has no state but what instances report.
    Lost(Duration),
    /// It is frozen from this time on for this duration, and resumes.
    Frozen(Duration, Duration),
}

#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    /// Requests per second of the whole fleet.
    rate: f64,
    regression: Regression,
    disturbance: Disturbance,
    controller_fault: ControllerFault,
}

/// Outcome of a case.
#[derive(Debug, Default)]
struct Outcome {
    stage: Option<Stage>,
    /// Requests sent within the time limit.
    sent: usize,
    /// Those of them that went to the new version.
    exposed: usize,
    /// Requests that reached a bad version after it should have been rolled back.
    late: usize,
}

struct Instance {
    node: NodeName,
    states: RolloutStates,
    evidence: RolloutEvidence,
    reports_at: Instant,
}

/// The controller: collects reports, evaluates the version and decides.
struct Controller {
    evaluation: VersionEvaluation,
    states: RolloutStates,
    term: u64,
    times: StageTimes,
}

struct Fleet {
    case: Case,
    rng: Rng,
    began: Instant,
    service: ServiceName,
    to: SoftwareVersion,
    order: RolloutOrder,
    instances: Vec<Instance>,
    controller: Controller,
    /// A former controller that is frozen, and until when.
    frozen: Option<(Controller, Instant)>,
    /// Stage in the store.
    stored: Stage,
    /// Until when there is no controller.
    outage_until: Instant,
    bad_responses: Vec<Instant>,
    outcome: Outcome,
}

impl Controller {
    fn new(
        now: Instant,
        orders: &IndexMap<ServiceName, RolloutOrder>,
        term: u64,
        (stage, share): (Stage, f64),
    ) -> Controller {
        let to = orders.values().next().expect("an order").to.clone();
        let mut states = RolloutStates::default();
        states.set_orders(orders);
        let mut evaluation = VersionEvaluation::new(to);
        let server = |number: usize| (Tag(number as u32), Tag((number % ZONES) as u32));
        evaluation.set_domains(FailureDomains::new((0..SERVERS).map(server)));
        Controller { evaluation, states, term, times: StageTimes::new(now, stage, share) }
    }
}

fn period(instances: usize) -> Duration {
    Duration::from_micros(2500 * instances as u64)
        .clamp(Duration::from_millis(250), Duration::from_millis(900))
}

impl Fleet {
    fn new(seed: u64, case: Case) -> Fleet {
        let began = Instant::now();
        let mut rng = Rng::with_seed(seed);
        let service: ServiceName = "llm".parse().expect("a name");
        let to: SoftwareVersion = "v2".parse().expect("a version");
        let order = RolloutOrder { to: to.clone(), time_limit: TIME_LIMIT };
        let orders: IndexMap<ServiceName, RolloutOrder> = [(service.clone(), order.clone())].into();
        let instances = (0..case.instances).map(|number| {
            let mut states = RolloutStates::default();
            states.set_orders(&orders);
            Instance {
                node: format!("n{number}").parse().expect("a name"),
                states,
                evidence: RolloutEvidence::new(to.clone()),
                reports_at: began + period(case.instances).mul_f64(rng.f64()),
            }
        });
        let instances = instances.collect();
        let controller = Controller::new(began, &orders, 1, (Stage::Trial, 0.0));
        let (frozen, stored, outage_until) = (None, Stage::Trial, began);
        let (bad_responses, outcome) = (Vec::new(), Outcome::default());
        Fleet {
            case,
            rng,
            began,
            service,
            to,
            order,
            instances,
            controller,
            frozen,
            stored,
            outage_until,
            bad_responses,
            outcome,
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = self.began;
        let end = self.began + TIME_LIMIT + Duration::from_secs(3);
        while now < end {
            now += TICK;
            self.disturb_controller(now);
            for _ in 0..self.arrivals() {
                self.request(now);
            }
            if now >= self.outage_until {
                self.decide(now);
                self.exchange(now);
            }
        }
        self.outcome.stage = Some(self.stored);
        self.outcome
    }

    fn arrivals(&mut self) -> usize {
        let expected = self.case.rate * TICK.as_secs_f64();
        expected as usize + usize::from(self.rng.f64() < expected.fract())
    }

    fn disturb_controller(&mut self, now: Instant) {
        let elapsed = now - self.began;
        let (at, frozen_for) = match self.case.controller_fault {
            ControllerFault::None => return,
            ControllerFault::Lost(at) => (at, None),
            ControllerFault::Frozen(at, time) => (at, Some(time)),
        };
        if self.controller.term == 1 && elapsed >= at {
            let orders = [(self.service.clone(), self.order.clone())].into();
            // The next controller is an instance, which knows the share that it was told last.
            let known = self.instances[0].states.state(&self.service, &self.to);
            let share = known.map_or(0.0, |state| state.share);
            let next = Controller::new(now + FAILOVER, &orders, 2, (self.stored, share));
            let former = std::mem::replace(&mut self.controller, next);
            self.frozen = frozen_for.map(|time| (former, now + time));
            // The lost controller holds the record in the store for a while.
            self.outage_until = now + FAILOVER;
        }
        if let Some((former, until)) = &mut self.frozen
            && now >= *until
        {
            // It resumes and sends its outdated state to the instances that report to it first.
            let updates = former.states.updates(now);
            for instance in self.instances.iter_mut().step_by(3) {
                for update in &updates {
                    instance.states.merge(now, update);
                }
            }
            self.frozen = None;
        }
    }

    fn request(&mut self, now: Instant) {
        let number = self.rng.usize(..self.instances.len());
        let route = self.rng.usize(..ROUTES);
        let instance = &mut self.instances[number];
        let split = instance.states.version_splits().pop().expect("a split");
        let share = if split.bars(Some(&self.to)) { 0.0 } else { split.share(now) };
        let is_new = self.rng.f64() < share;
        let server = self.rng.usize(..SERVERS.min(split.servers.max(1)));
        let (observation, is_bad) = random_response(
            &mut self.rng,
            &self.case,
            now - self.began,
            is_new.then_some(server),
            route,
        );
        let version: SoftwareVersion =
            if is_new { self.to.clone() } else { "v1".parse().expect("a version") };
        instance.evidence.note_sent(Some(&version));
        instance.evidence.note_response(
            Tag(1 + route as u32),
            Tag(server as u32),
            Some(&version),
            observation,
        );
        if now - self.began <= TIME_LIMIT {
            self.outcome.sent += 1;
        }
        if !is_new {
            return;
        }
        if now - self.began <= TIME_LIMIT {
            self.outcome.exposed += 1;
        }
        if self.case.regression != Regression::None {
            let due = self.bad_responses.get(BAD_RESPONSES_MIN - 1).map(|at| *at + ROLLED_BACK_IN);
            self.outcome.late += usize::from(due.is_some_and(|due| now > due));
        }
        if is_bad {
            self.bad_responses.push(now);
        }
    }

    /// Does what the controller does in every step: evaluates, decides, and publishes its state.
    fn decide(&mut self, now: Instant) {
        let controller = &mut self.controller;
        let exchange = period(self.instances.len());
        let policy = StagePolicy { order: &self.order, exposure_limit: EXPOSURE_LIMIT, exchange };
        let (sent, sent_new) = controller.evaluation.sent();
        let progress = RolloutProgress {
            elapsed: now - self.began,
            stage: controller.times.stage(),
            in_stage: controller.times.in_stage(now),
            at_full_share: controller.times.at_full_share(now),
            sent,
            sent_new,
            responses_new: controller.evaluation.responses_new(),
            evaluated_new: controller.evaluation.evaluated_new(),
            is_disturbed: controller.evaluation.is_disturbed(now),
            in_flight_old: controller.evaluation.in_flight_old(now),
            regression_score: controller.evaluation.regression_score(),
            total_regression_score: controller.evaluation.total_regression_score(),
            log_odds: controller.evaluation.log_odds(),
            is_bad: controller.evaluation.is_bad(),
            servers_new: SERVERS,
            servers_old: SERVERS,
        };
        let known = controller.states.state(&self.service, &self.to).map(|state| state.stage);
        let next = match known.filter(|stage| stage.is_final()) {
            Some(stage) => stage,
            None => policy.stage(&progress),
        };
        self.stored = self.stored.max(next);
        let share = policy.share(next, &progress);
        controller.times.note(now, next, share);
        let state = RolloutState {
            service: self.service.clone(),
            to: self.to.clone(),
            stage: next,
            term: controller.term,
            step: u32::try_from((now - self.began).as_millis()).expect("a short time"),
            share,
            servers: policy.servers(share, &progress),
            barred: Vec::new(),
            is_written: false,
        };
        controller.states.merge(now, &RolloutUpdate { state, age_ms: 0 });
    }

    fn exchange(&mut self, now: Instant) {
        let period = period(self.instances.len());
        for instance in self.instances.iter_mut().filter(|instance| instance.reports_at <= now) {
            instance.reports_at = now + period.mul_f64(0.9 + 0.2 * self.rng.f64());
            let report = instance.evidence.report(&self.service, 0);
            for update in instance.states.updates(now) {
                self.controller.states.merge(now, &update);
            }
            self.controller.evaluation.add_report(now, &instance.node, RunId(1), report);
            for update in self.controller.states.updates(now) {
                instance.states.merge(now, &update);
            }
        }
    }
}

/// Returns a random response, and whether it is bad because of the version.
fn random_response(
    rng: &mut Rng,
    case: &Case,
    elapsed: Duration,
    new: Option<usize>,
    route: usize,
) -> (ResponseObservation, bool) {
    // Routes differ in response time and in how often they fail, whatever the version.
    let usual = Duration::from_millis(20 + 15 * route as u64);
    let fails = if route == 0 { 0.14 } else { 0.004 };
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    let mut took = usual.mul_f64((0.5 * normal).exp());
    if rng.f64() < 0.01 {
        took *= 5;
    }
    let mut failed = rng.f64() < fails;
    let mut is_bad = false;
    if let Some(server) = new {
        is_bad = match case.regression {
            Regression::Fails(share, from) => elapsed >= from && rng.f64() < share,
            Regression::OneRoute(share) => route == 2 && rng.f64() < share,
            Regression::Slow(share, times, from) => {
                let slow = elapsed >= from && rng.f64() < share;
                took = if slow { took.mul_f64(times) } else { took };
                slow
            }
            Regression::None => false,
        };
        failed |= is_bad && !matches!(case.regression, Regression::Slow(..));
        match case.disturbance {
            Disturbance::BadServer => failed |= server == 1,
            Disturbance::SlowServer if server == 1 => took *= 6,
            Disturbance::ZoneSlow if server % ZONES == 1 => took = Duration::from_secs(1),
            _ => {}
        }
    }
    let is_now = |from: Duration| (from..from + DISTURBANCE_DURATION).contains(&elapsed);
    match case.disturbance {
        Disturbance::AllFail => failed |= rng.f64() < 0.3,
        Disturbance::AllSlow(from) if is_now(from) => took *= 6,
        Disturbance::AllFailBriefly(from) if is_now(from) => failed |= rng.f64() < 0.6,
        _ => {}
    }
    (if failed { ResponseObservation::Failed } else { ResponseObservation::Took(took) }, is_bad)
}

/// Number of threads that simulate cases: few, as tests that run at the same time check time limits.
const THREADS: usize = 2;

/// Plays cases on several threads, and returns the outcome of each.
fn simulate(cases: Vec<(u64, Case)>) -> Vec<(u64, Case, Outcome)> {
    let parts = cases.chunks(cases.len().div_ceil(THREADS)).map(<[(u64, Case)]>::to_vec);
    let threads = parts.map(|part| {
        thread::spawn(move || {
            let run = |(seed, case): (u64, Case)| (seed, case, Fleet::new(seed, case).run());
            part.into_iter().map(run).collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn is_rolled_back((.., outcome): &&(u64, Case, Outcome)) -> bool {
    outcome.stage != Some(Stage::Succeeded)
}

/// Returns the limit on the requests of a bad version, by this test: half of what operators allow.
fn allowed(outcome: &Outcome) -> f64 {
    (EXPOSURE_LIMIT.share * outcome.sent as f64 + EXPOSURE_LIMIT.slack) / 2.0
}

/// Returns whether a bad version got too many requests, got some too late, or was not rolled back.
fn is_accepted((.., outcome): &&(u64, Case, Outcome)) -> bool {
    outcome.exposed as f64 >= allowed(outcome)
        || outcome.late > 0
        || outcome.stage != Some(Stage::RolledBack)
}

/// Returns a case of a good version.
fn good_version(number: u64, seed: u64) -> Case {
    let disturbances = [
        Disturbance::None,
        Disturbance::BadServer,
        Disturbance::SlowServer,
        Disturbance::ZoneSlow,
        Disturbance::AllFail,
    ];
    let mut rng = Rng::with_seed(seed);
    Case {
        instances: [8, 62][number as usize % 2],
        rate: 150.0 + 100.0 * rng.f64(),
        regression: Regression::None,
        disturbance: disturbances[number as usize % disturbances.len()],
        controller_fault: controller_fault(&mut rng, number, 11_000, 9_000),
    }
}

/// Returns a case of a bad version.
fn bad_version(number: u64, instances: usize, seed: u64) -> Case {
    let regression = [
        Regression::Fails(1.0, Duration::ZERO),
        Regression::Fails(0.3, Duration::ZERO),
        Regression::Slow(1.0, 5.0, Duration::ZERO),
        Regression::Slow(0.5, 6.0, Duration::ZERO),
        Regression::OneRoute(0.8),
        Regression::Fails(0.5, Duration::from_secs(3)),
        Regression::Slow(0.8, 6.0, Duration::from_secs(4)),
    ];
    let mut rng = Rng::with_seed(seed);
    Case {
        instances,
        rate: 200.0 + 300.0 * rng.f64(),
        regression: regression[number as usize % regression.len()],
        disturbance: Disturbance::None,
        controller_fault: controller_fault(&mut rng, number, 6_000, 6_000),
    }
}

/// Returns no fault, or one that begins before `lost` or `frozen` milliseconds.
fn controller_fault(rng: &mut Rng, number: u64, lost: u64, frozen: u64) -> ControllerFault {
    match number % 3 {
        0 => ControllerFault::None,
        1 => ControllerFault::Lost(millis(rng.u64(500..lost))),
        _ => {
            let from = millis(rng.u64(500..frozen));
            ControllerFault::Frozen(from, millis(rng.u64(1_000..5_000)))
        }
    }
}

#[test]
fn no_good_version_is_rolled_back_in_a_thousand_random_cases() {
    let cases = (0..support::cases(1000)).map(|number| {
        (support::seed(number), good_version(number, support::seed(number ^ 0xc0ffee)))
    });
    let outcomes = simulate(cases.collect());
    let rolled_back: Vec<_> = outcomes.iter().filter(is_rolled_back).collect();
    assert!(rolled_back.is_empty(), "{} of {}: {rolled_back:?}", rolled_back.len(), outcomes.len());
}

// Guards against rolling back a good version when responses of both versions are slow or fail for 2.5 s. If the old
// version's baseline covers all responses since the order, its earlier successes outweigh its failures in the burst,
// and the burst counts against the new version alone: 25 of these 200 cases were rolled back.
#[test]
fn no_good_version_is_rolled_back_during_a_brief_disturbance_of_the_whole_fleet() {
    let cases = (0..support::cases(200)).map(|number| {
        let mut rng = Rng::with_seed(support::seed(number ^ 0xb0057));
        let from = millis(rng.u64(1_000..5_000));
        let disturbance =
            [Disturbance::AllSlow(from), Disturbance::AllFailBriefly(from)][number as usize % 2];
        let case = Case {
            instances: [8, 62][number as usize / 2 % 2],
            rate: 150.0 + 300.0 * rng.f64(),
            regression: Regression::None,
            disturbance,
            controller_fault: ControllerFault::None,
        };
        (support::seed(number), case)
    });
    let outcomes = simulate(cases.collect());
    let rolled_back: Vec<_> = outcomes.iter().filter(is_rolled_back).collect();
    assert!(rolled_back.is_empty(), "{} of {}: {rolled_back:?}", rolled_back.len(), outcomes.len());
}

// A service with few requests has fewer responses of the new version at the latest decision than the usual rule needs,
// and 198 of these 200 good versions were rolled back for that alone. If so few requests remain that a bad version
// could not get half of the exposure limit, a few responses suffice. The aim is that none is rolled back; chance leaves
// some, and between 60 and 500 requests in all a version cannot be proven within that half.
#[test]
fn most_good_versions_of_a_service_with_few_requests_take_over() {
    let cases = (0..support::cases(200)).map(|number| {
        let mut rng = Rng::with_seed(support::seed(number ^ 0xfe3));
        let case = Case {
            instances: [3, 8][number as usize % 2],
            rate: 2.0 + 3.5 * rng.f64(),
            regression: Regression::None,
            disturbance: Disturbance::None,
            controller_fault: ControllerFault::None,
        };
        (support::seed(number), case)
    });
    let outcomes = simulate(cases.collect());
    let rolled_back = outcomes.iter().filter(is_rolled_back).count();
    assert!(5 * rolled_back < outcomes.len(), "{rolled_back} of {}", outcomes.len());
}

#[test]
fn a_bad_version_of_a_service_with_few_requests_gets_under_half_of_what_operators_allow() {
    let cases = (0..support::cases(200)).map(|number| {
        let mut rng = Rng::with_seed(support::seed(number ^ 0xbadfe3));
        let regression = [
            Regression::Fails(1.0, Duration::ZERO),
            Regression::Fails(0.3, Duration::ZERO),
            Regression::Slow(1.0, 5.0, Duration::ZERO),
            Regression::OneRoute(0.8),
            Regression::Fails(0.5, Duration::from_secs(3)),
        ];
        let case = Case {
            instances: [3, 8][number as usize % 2],
            rate: 2.0 + 38.0 * rng.f64(),
            regression: regression[number as usize % regression.len()],
            disturbance: Disturbance::None,
            controller_fault: ControllerFault::None,
        };
        (support::seed(number), case)
    });
    let outcomes = simulate(cases.collect());
    let over: Vec<_> = outcomes.iter().filter(|(.., o)| o.exposed as f64 >= allowed(o)).collect();
    assert!(over.is_empty(), "{} of {}: {over:?}", over.len(), outcomes.len());
}

#[test]
fn a_bad_version_gets_under_half_of_what_operators_allow_and_nothing_soon_after() {
    let mut cases = Vec::new();
    for (fleet, instances) in [8, 62, 302, 986].into_iter().enumerate() {
        for number in 0..support::cases(42) {
            let case = bad_version(number, instances, support::seed(number ^ 0xbad));
            cases.push((support::seed(number + 1000 * fleet as u64), case));
        }
    }
    let outcomes = simulate(cases);
    let accepted: Vec<_> = outcomes.iter().filter(is_accepted).collect();
    assert!(accepted.is_empty(), "{} of {}: {accepted:?}", accepted.len(), outcomes.len());
}

// Guards against versions that were rolled back for failures outside of the faulty server, too few to tell: the trial
// ended although there was time for more responses.
#[test]
fn good_versions_in_doubt_at_the_latest_decision_take_over() {
    let seeds = [(381, 0x51c0ffee), (397, 0x61c0ffee), (976, 0x71c0ffee), (7, 0x81c0ffee)];
    let cases = seeds.map(|(number, salt)| (number, good_version(number, number ^ salt)));
    let outcomes = simulate(cases.to_vec());
    let rolled_back: Vec<_> = outcomes.iter().filter(is_rolled_back).collect();
    assert!(rolled_back.is_empty(), "{} of {}: {rolled_back:?}", rolled_back.len(), outcomes.len());
}

// Guards against a controller that has just taken over and decides before it has evaluated the reported responses: a
// version that fails four in five requests of a route had the score of one without failures, and took over.
#[test]
fn a_bad_version_does_not_take_over_when_its_controller_is_lost_before_the_decision() {
    let outcomes = simulate(vec![(4, bad_version(4, 8, 4 ^ 0x81bad))]);
    let accepted: Vec<_> = outcomes.iter().filter(is_accepted).collect();
    assert!(accepted.is_empty(), "{accepted:?}");
}

// Guards against a bad version that takes over at the time from which a roll-out is late: an
// instance of a large fleet reports every 0.9 s, and no response of the version under its whole load has been evaluated.
#[test]
fn a_bad_version_does_not_take_over_late_in_a_large_fleet() {
    // Cases 431 and 351 of the random ones with `CARTVANE_SEED` 12 and 13.
    let cases = [(431, 0x6a99_b4b1_f77d_d0fc), (351, 0x08d1_2e6b_76c8_4d11)].map(
        |(number, combined): (u64, u64)| {
            let case = bad_version(number, 986, number ^ 0xbad ^ combined);
            ((number + 3000) ^ combined, case)
        },
    );
    let outcomes = simulate(cases.to_vec());
    let accepted: Vec<_> = outcomes.iter().filter(is_accepted).collect();
    assert!(accepted.is_empty(), "{} of {}: {accepted:?}", accepted.len(), outcomes.len());
}

// Fails (KNOWN-RED.txt). Guards against bad versions that are rolled back only after more than half of what operators
// allow.
#[test]
fn a_bad_version_gets_under_half_of_what_operators_allow_in_cases_of_further_seeds() {
    // The random cases with `CARTVANE_SEED` 90417 and 31337 and `CARTVANE_CASES` 30 that failed: the fleet, its instances,
    // the number, and the combined seed.
    let cases = [
        (1, 62, 781, 0xc777_1507_125a_b505),
        (0, 8, 214, 0x54c3_53be_b4ae_e69d),
        (1, 62, 680, 0x54c3_53be_b4ae_e69d),
        (3, 986, 900, 0x54c3_53be_b4ae_e69d),
        (3, 986, 1145, 0x54c3_53be_b4ae_e69d),
    ];
    let cases = cases.map(|(fleet, instances, number, combined): (u64, usize, u64, u64)| {
        let case = bad_version(number, instances, number ^ 0xbad ^ combined);
        ((number + 1000 * fleet) ^ combined, case)
    });
    let outcomes = simulate(cases.to_vec());
    let accepted: Vec<_> = outcomes.iter().filter(is_accepted).collect();
    assert!(accepted.is_empty(), "{} of {}: {accepted:?}", accepted.len(), outcomes.len());
}

fn policy(order: &RolloutOrder) -> StagePolicy<'_> {
    StagePolicy { order, exposure_limit: EXPOSURE_LIMIT, exchange: period(8) }
}

// Guards against a step in which all requests go to the new version: the time in the trial counted as time in the first
// step of moving.
#[test]
fn the_first_share_while_moving_is_that_of_the_first_step() {
    let order = RolloutOrder { to: "v2".parse().expect("a version"), time_limit: TIME_LIMIT };
    let progress = RolloutProgress {
        elapsed: TIME_LIMIT / 2,
        in_stage: TIME_LIMIT / 2,
        ..RolloutProgress::default()
    };
    let share = policy(&order).share(Stage::Moving, &progress);
    assert!(share < 0.5, "{share}");
}

// Guards against a version that takes over while it is in doubt, which cannot be undone.
#[test]
fn a_version_in_doubt_gets_few_requests_and_does_not_take_over() {
    let order = RolloutOrder { to: "v2".parse().expect("a version"), time_limit: TIME_LIMIT };
    let moved = RolloutProgress {
        elapsed: TIME_LIMIT.mul_f64(0.8),
        stage: Stage::Moving,
        in_stage: Duration::from_secs(3),
        at_full_share: Some(Duration::from_secs(2)),
        evaluated_new: 300,
        log_odds: -20.0,
        servers_new: SERVERS,
        servers_old: SERVERS,
        ..RolloutProgress::default()
    };
    assert_eq!(policy(&order).stage(&moved), Stage::Succeeded);
    let scored = RolloutProgress { regression_score: 9.0, total_regression_score: 12.0, ..moved };
    for doubtful in [scored, RolloutProgress { log_odds: 5.0, ..moved }] {
        assert_eq!(policy(&order).stage(&doubtful), Stage::Moving);
        assert!(policy(&order).share(Stage::Moving, &doubtful) < 0.5);
        let late = RolloutProgress { elapsed: TIME_LIMIT, ..doubtful };
        assert_eq!(policy(&order).stage(&late), Stage::RolledBack);
    }
}

/// Returns the scores of a version from one report of each of three instances.
fn scores(routes: impl Iterator<Item = u32> + Clone, began: Instant) -> [f64; 3] {
    let to: SoftwareVersion = "v2".parse().expect("a version");
    let mut controller = VersionEvaluation::new(to.clone());
    let server = |number: u32| (Tag(number), Tag(number));
    controller.set_domains(FailureDomains::new((0..3).map(server)));
    for number in 0..3_u32 {
        let counts = |route: u32| {
            let failed = (TimeBin::FAILED, 2 + (route * 7 + number) % 9);
            let new = vec![failed, (TimeBin::UNTIMED, 5 + (route * 5 + number) % 11)];
            let old = vec![(TimeBin::FAILED, 3), (TimeBin::UNTIMED, 60 + route)];
            let counts = |server, bins| ResponseCounts { route: Tag(route), server, bins };
            [counts(None, old), counts(Some(Tag(number)), new)]
        };
        let report = RolloutReport {
            service: "llm".parse().expect("a name"),
            to: to.clone(),
            sent: 1000,
            sent_new: 100,
            in_flight_old: 0,
            responses: routes.clone().flat_map(counts).collect(),
        };
        let node = format!("n{number}").parse().expect("a name");
        let at = began + Duration::from_millis(u64::from(number) * 500);
        controller.add_report(at, &node, RunId(1), report);
    }
    [controller.regression_score(), controller.total_regression_score(), controller.log_odds()]
}

// Guards against verdicts that depend on the order in which routes are evaluated. That was the order of a `HashMap`, and
// the same reports led to "succeeded" in 243 of 6,000 runs and to "rolled back" in the others.
#[test]
fn the_scores_do_not_depend_on_the_order_of_routes() {
    let began = Instant::now();
    let expected = scores(0..12, began);
    assert!(expected[0] > 0.0, "{expected:?}");
    for shift in 0..12 {
        let routes = (0..12).map(|route| (route + shift) % 12);
        assert_eq!(scores(routes.clone(), began), expected, "{shift}");
        assert_eq!(scores(routes.rev(), began), expected, "{shift} reversed");
    }
}
