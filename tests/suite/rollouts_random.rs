//! Roll-outs of drawn versions in drawn fleets, on a made-up clock: how much a bad version gets, how soon it gets nothing,
//! and that no good one is rolled back.
//!
//! Instances answer requests and report at their own moments; one collects the reports, judges and decides, and its word
//! reaches an instance with that one's next report, as the exchange does. The collector may be lost, frozen or late.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    names::{NodeName, ServiceName, SoftwareVersion, Tag},
    routing::{
        ExposureLimit, FailureDomains, ResponseObservation, RolloutEvidence, RolloutOrder,
        RolloutProgress, RolloutState, RolloutStates, RolloutUpdate, RunId, Stage, StagePolicy,
        VersionEvaluation,
    },
};
use fastrand::Rng;
use indexmap::IndexMap;

/// What operators allow: a part of all requests, and some beyond.
const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit { share: 0.1, slack: 50.0 };

/// Time after its 50th bad answer in which a bad version may get requests: half of what operators allow.
const ROLLED_BACK_IN: Duration = Duration::from_millis(2500);

/// Bad answers from which that time counts.
const BAD_MIN: usize = 50;

const TIME_LIMIT: Duration = Duration::from_secs(12);

/// Time that trouble of the whole fleet lasts.
const SUDDEN_LASTS: Duration = Duration::from_millis(2500);
const TICK: Duration = Duration::from_millis(50);
const ROUTES: usize = 5;
const ZONES: usize = 3;
const SERVERS: usize = 12;

/// Time within which an instance that has lost the collector turns to the next one.
const FAILOVER: Duration = Duration::from_millis(600);

/// How a version is worse than the one before.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Badness {
    /// It fails with this share of its answers, from this moment on.
    Fails(f64, Duration),
    /// It is so many times slower in this share of its answers, from this moment on.
    Slow(f64, f64, Duration),
    /// It fails on one route only.
    OneRoute(f64),
    /// It is as good.
    None,
}

/// What happens to a good version or to the fleet, which says nothing against the version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// One of the new servers fails all.
    BadServer,
    /// One of the new servers is several times slower.
    SlowServer,
    /// The new servers of a zone answer nothing but late.
    ZoneAway,
    /// The old version fails as often.
    AllFail,
    /// Answers of both versions take several times as long for some seconds from this moment on, as in a burst of requests.
    AllSlow(Duration),
    /// Answers of both versions fail for some seconds from this moment on.
    AllFailSuddenly(Duration),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Collector {
    Stays,
    /// It is gone at this moment; the next one knows nothing but what instances tell.
    Lost(Duration),
    /// It stands still from this moment on for so long, and wakes.
    Frozen(Duration, Duration),
}

#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    /// Requests a second of the whole fleet.
    rate: f64,
    badness: Badness,
    trouble: Trouble,
    collector: Collector,
}

/// What came of a case.
#[derive(Debug, Default)]
struct Came {
    stage: Option<Stage>,
    sent: usize,
    exposed: usize,
    /// Requests that reached a bad version later than it may.
    late: usize,
}

struct Instance {
    node: NodeName,
    states: RolloutStates,
    evidence: RolloutEvidence,
    reports_at: Instant,
}

/// What collects reports, judges and decides.
struct Decider {
    judge: VersionEvaluation,
    states: RolloutStates,
    term: u64,
    stage: Stage,
    stage_since: Instant,
}

struct Fleet {
    case: Case,
    rng: Rng,
    began: Instant,
    service: ServiceName,
    to: SoftwareVersion,
    order: RolloutOrder,
    instances: Vec<Instance>,
    decider: Decider,
    /// One that stands still, and until when.
    frozen: Option<(Decider, Instant)>,
    /// Stage that the store has.
    recorded: Stage,
    /// Until when nobody collects.
    gap_until: Instant,
    bad_answers: Vec<Instant>,
    came: Came,
}

impl Decider {
    fn new(
        now: Instant,
        orders: &IndexMap<ServiceName, RolloutOrder>,
        term: u64,
        stage: Stage,
    ) -> Decider {
        let to = orders.values().next().expect("an order").to.clone();
        let mut states = RolloutStates::default();
        states.set_orders(orders);
        let mut judge = VersionEvaluation::new(to);
        let server = |number: usize| (Tag(number as u32), Tag((number % ZONES) as u32));
        judge.set_domains(FailureDomains::new((0..SERVERS).map(server)));
        Decider { judge, states, term, stage, stage_since: now }
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
        let decider = Decider::new(began, &orders, 1, Stage::Trial);
        let (frozen, recorded, gap_until) = (None, Stage::Trial, began);
        let (bad_answers, came) = (Vec::new(), Came::default());
        Fleet {
            case,
            rng,
            began,
            service,
            to,
            order,
            instances,
            decider,
            frozen,
            recorded,
            gap_until,
            bad_answers,
            came,
        }
    }

    fn run(mut self) -> Came {
        let mut now = self.began;
        let end = self.began + TIME_LIMIT + Duration::from_secs(3);
        while now < end {
            now += TICK;
            self.trouble_collector(now);
            for _ in 0..self.arrivals() {
                self.request(now);
            }
            if now >= self.gap_until {
                self.decide(now);
                self.exchange(now);
            }
        }
        self.came.stage = Some(self.recorded);
        self.came
    }

    fn arrivals(&mut self) -> usize {
        let expected = self.case.rate * TICK.as_secs_f64();
        expected as usize + usize::from(self.rng.f64() < expected.fract())
    }

    fn trouble_collector(&mut self, now: Instant) {
        let elapsed = now - self.began;
        let (at, sleeps) = match self.case.collector {
            Collector::Stays => return,
            Collector::Lost(at) => (at, None),
            Collector::Frozen(at, time) => (at, Some(time)),
        };
        if self.decider.term == 1 && elapsed >= at {
            let orders = [(self.service.clone(), self.order.clone())].into();
            let next = Decider::new(now + FAILOVER, &orders, 2, self.recorded);
            let former = std::mem::replace(&mut self.decider, next);
            self.frozen = sleeps.map(|time| (former, now + time));
            // The record in the store is held for a while by the one that is lost.
            self.gap_until = now + FAILOVER;
        }
        if let Some((former, until)) = &mut self.frozen
            && now >= *until
        {
            // It wakes and says what it believed, to some that ask it first.
            let told = former.states.updates(now);
            for instance in self.instances.iter_mut().step_by(3) {
                for told in &told {
                    instance.states.take(now, told);
                }
            }
            self.frozen = None;
        }
    }

    fn request(&mut self, now: Instant) {
        let number = self.rng.usize(..self.instances.len());
        let route = self.rng.usize(..ROUTES);
        let instance = &mut self.instances[number];
        let split = instance.states.version_splits().pop().expect("a lane");
        let share = if split.bars(Some(&self.to)) { 0.0 } else { split.share(now) };
        let is_new = self.rng.f64() < share;
        let server = self.rng.usize(..SERVERS.min(split.servers.max(1)));
        let seen =
            answer(&mut self.rng, &self.case, now - self.began, is_new.then_some(server), route);
        let version: SoftwareVersion =
            if is_new { self.to.clone() } else { "v1".parse().expect("a version") };
        instance.evidence.note_sent(Some(&version));
        instance.evidence.note_response(
            Tag(1 + route as u32),
            Tag(server as u32),
            Some(&version),
            seen.0,
        );
        if now - self.began <= TIME_LIMIT {
            self.came.sent += 1;
        }
        if !is_new {
            return;
        }
        if now - self.began <= TIME_LIMIT {
            self.came.exposed += 1;
        }
        if self.case.badness != Badness::None {
            let due = self.bad_answers.get(BAD_MIN - 1).map(|at| *at + ROLLED_BACK_IN);
            self.came.late += usize::from(due.is_some_and(|due| now > due));
        }
        if seen.1 {
            self.bad_answers.push(now);
        }
    }

    /// Does what the one that all turn to does: where it judges a version bad it says so at once.
    fn decide(&mut self, now: Instant) {
        let decider = &mut self.decider;
        let exchange = period(self.instances.len());
        let course = StagePolicy { order: &self.order, exposure_limit: EXPOSURE_LIMIT, exchange };
        let (sent, sent_new) = decider.judge.sent();
        let progress = RolloutProgress {
            elapsed: now - self.began,
            in_stage: now.saturating_duration_since(decider.stage_since),
            sent,
            sent_new,
            answered_new: decider.judge.answered_new(),
            under_way_old: decider.judge.under_way_old(now),
            regression_score: decider.judge.regression_score(),
            total_regression_score: decider.judge.total_regression_score(),
            is_bad: decider.judge.is_bad(),
            servers_new: SERVERS,
            servers_old: SERVERS,
        };
        let known = decider.states.of(&self.service, &self.to).map(|state| state.stage);
        let next = match known.filter(|stage| stage.is_final()) {
            Some(stage) => stage,
            None => course.stage(decider.stage, &progress),
        };
        if next != decider.stage {
            (decider.stage, decider.stage_since) = (next, now);
        }
        self.recorded = self.recorded.max(next);
        let share = course.share(next, &progress);
        let state = RolloutState {
            service: self.service.clone(),
            to: self.to.clone(),
            stage: next,
            term: decider.term,
            step: u32::try_from((now - self.began).as_millis()).expect("a short day"),
            share,
            servers: course.servers(share, &progress),
            barred: Vec::new(),
            is_written: false,
        };
        decider.states.take(now, &RolloutUpdate { state, age_ms: 0 });
    }

    fn exchange(&mut self, now: Instant) {
        let period = period(self.instances.len());
        for instance in self.instances.iter_mut().filter(|instance| instance.reports_at <= now) {
            instance.reports_at = now + period.mul_f64(0.9 + 0.2 * self.rng.f64());
            let report = instance.evidence.report(&self.service, 0);
            for told in instance.states.updates(now) {
                self.decider.states.take(now, &told);
            }
            self.decider.judge.take(now, &instance.node, RunId(1), report);
            for told in self.decider.states.updates(now) {
                instance.states.take(now, &told);
            }
        }
    }
}

/// Draws an answer, and whether it is a bad version's bad one.
fn answer(
    rng: &mut Rng,
    case: &Case,
    elapsed: Duration,
    new: Option<usize>,
    route: usize,
) -> (ResponseObservation, bool) {
    // Routes differ in time and in how often they fail whatever the version.
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
        is_bad = match case.badness {
            Badness::Fails(share, from) => elapsed >= from && rng.f64() < share,
            Badness::OneRoute(share) => route == 2 && rng.f64() < share,
            Badness::Slow(share, times, from) => {
                let slow = elapsed >= from && rng.f64() < share;
                took = if slow { took.mul_f64(times) } else { took };
                slow
            }
            Badness::None => false,
        };
        failed |= is_bad && !matches!(case.badness, Badness::Slow(..));
        match case.trouble {
            Trouble::BadServer => failed |= server == 1,
            Trouble::SlowServer if server == 1 => took *= 6,
            Trouble::ZoneAway if server % ZONES == 1 => took = Duration::from_secs(1),
            _ => {}
        }
    }
    let is_now = |from: Duration| (from..from + SUDDEN_LASTS).contains(&elapsed);
    match case.trouble {
        Trouble::AllFail => failed |= rng.f64() < 0.3,
        Trouble::AllSlow(from) if is_now(from) => took *= 6,
        Trouble::AllFailSuddenly(from) if is_now(from) => failed |= rng.f64() < 0.6,
        _ => {}
    }
    (if failed { ResponseObservation::Failed } else { ResponseObservation::Took(took) }, is_bad)
}

/// Threads that play cases: few, as other tests of the suite run beside them and have promises in time to check.
const THREADS: usize = 2;

/// Plays cases on several threads, and returns what came of each.
fn play(cases: Vec<(u64, Case)>) -> Vec<(u64, Case, Came)> {
    let parts = cases.chunks(cases.len().div_ceil(THREADS)).map(<[(u64, Case)]>::to_vec);
    let played = parts.map(|part| {
        thread::spawn(move || {
            let run = |(seed, case): (u64, Case)| (seed, case, Fleet::new(seed, case).run());
            part.into_iter().map(run).collect::<Vec<_>>()
        })
    });
    let threads: Vec<_> = played.collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[test]
fn no_good_version_is_rolled_back_in_a_thousand_drawn_cases() {
    let troubles = [
        Trouble::None,
        Trouble::BadServer,
        Trouble::SlowServer,
        Trouble::ZoneAway,
        Trouble::AllFail,
    ];
    let cases = (0..1000_u64).map(|seed| {
        let mut rng = Rng::with_seed(seed ^ 0xc0ffee);
        let case = Case {
            instances: [8, 62][seed as usize % 2],
            rate: 150.0 + 100.0 * rng.f64(),
            badness: Badness::None,
            trouble: troubles[seed as usize % troubles.len()],
            collector: match seed % 3 {
                0 => Collector::Stays,
                1 => Collector::Lost(millis(rng.u64(500..11_000))),
                _ => Collector::Frozen(millis(rng.u64(500..9_000)), millis(rng.u64(1_000..5_000))),
            },
        };
        (seed, case)
    });
    let played = play(cases.collect());
    let lost: Vec<_> =
        played.iter().filter(|(.., came)| came.stage != Some(Stage::Succeeded)).collect();
    assert!(lost.is_empty(), "{} of 1,000: {:?}", lost.len(), lost.first());
}

// A good version was rolled back once in a run of the suite, of which no log was kept; drawn bursts, late or failing answers of
// both versions for 2.5 s, rolled back 25 of these 200. How the old version answers was summed up since the order, so that its
// good answers of all the seconds before outweighed its late ones, and the burst spoke against the new one alone.
#[test]
fn no_good_version_is_rolled_back_where_the_whole_fleet_is_in_trouble_for_a_while() {
    let cases = (0..200_u64).map(|seed| {
        let mut rng = Rng::with_seed(seed ^ 0xb0057);
        let from = millis(rng.u64(1_000..5_000));
        let trouble = [Trouble::AllSlow(from), Trouble::AllFailSuddenly(from)][seed as usize % 2];
        let case = Case {
            instances: [8, 62][seed as usize / 2 % 2],
            rate: 150.0 + 300.0 * rng.f64(),
            badness: Badness::None,
            trouble,
            collector: Collector::Stays,
        };
        (seed, case)
    });
    let played = play(cases.collect());
    let lost: Vec<_> =
        played.iter().filter(|(.., came)| came.stage != Some(Stage::Succeeded)).collect();
    assert!(lost.is_empty(), "{} of 200: {:?}", lost.len(), lost.first());
}

// Of a service with few requests fifteen answers of the new version were not known by the time at which it is decided one way
// or the other, and a good version was rolled back for that alone: 198 of these 200. Where so few requests are left that a bad
// version could not get half of what operators allow, a few answers are enough. None is the aim; chance leaves some, and between
// 60 and 500 requests in all a version cannot be proven within that half.
#[test]
fn most_good_versions_of_a_service_with_few_requests_take_over() {
    let cases = (0..200_u64).map(|seed| {
        let mut rng = Rng::with_seed(seed ^ 0xfe3);
        let case = Case {
            instances: [3, 8][seed as usize % 2],
            rate: 2.0 + 3.5 * rng.f64(),
            badness: Badness::None,
            trouble: Trouble::None,
            collector: Collector::Stays,
        };
        (seed, case)
    });
    let played = play(cases.collect());
    let lost = played.iter().filter(|(.., came)| came.stage != Some(Stage::Succeeded)).count();
    assert!(lost < 40, "{lost} of 200");
}

#[test]
fn a_bad_version_of_a_service_with_few_requests_gets_under_half_of_what_operators_allow() {
    let cases = (0..200_u64).map(|seed| {
        let mut rng = Rng::with_seed(seed ^ 0xbadfe3);
        let badness = [
            Badness::Fails(1.0, Duration::ZERO),
            Badness::Fails(0.3, Duration::ZERO),
            Badness::Slow(1.0, 5.0, Duration::ZERO),
            Badness::OneRoute(0.8),
            Badness::Fails(0.5, Duration::from_secs(3)),
        ];
        let case = Case {
            instances: [3, 8][seed as usize % 2],
            rate: 2.0 + 38.0 * rng.f64(),
            badness: badness[seed as usize % badness.len()],
            trouble: Trouble::None,
            collector: Collector::Stays,
        };
        (seed, case)
    });
    let over = |came: &Came| {
        came.exposed as f64
            >= (EXPOSURE_LIMIT.share * came.sent as f64 + EXPOSURE_LIMIT.slack) / 2.0
    };
    let played = play(cases.collect());
    let over: Vec<_> = played.iter().filter(|(.., came)| over(came)).collect();
    assert!(over.is_empty(), "{} of 200: {over:?}", over.len());
}

#[test]
fn a_bad_version_gets_under_half_of_what_operators_allow_and_nothing_soon_after() {
    let badness = [
        Badness::Fails(1.0, Duration::ZERO),
        Badness::Fails(0.3, Duration::ZERO),
        Badness::Slow(1.0, 5.0, Duration::ZERO),
        Badness::Slow(0.5, 6.0, Duration::ZERO),
        Badness::OneRoute(0.8),
        Badness::Fails(0.5, Duration::from_secs(3)),
        Badness::Slow(0.8, 6.0, Duration::from_secs(4)),
    ];
    let mut cases = Vec::new();
    for (number, instances) in [8, 62, 302, 986].into_iter().enumerate() {
        for seed in 0..42_u64 {
            let mut rng = Rng::with_seed(seed ^ 0xbad);
            let case = Case {
                instances,
                rate: 200.0 + 300.0 * rng.f64(),
                badness: badness[seed as usize % badness.len()],
                trouble: Trouble::None,
                collector: match seed % 3 {
                    0 => Collector::Stays,
                    1 => Collector::Lost(millis(rng.u64(500..6_000))),
                    _ => Collector::Frozen(
                        millis(rng.u64(500..6_000)),
                        millis(rng.u64(1_000..5_000)),
                    ),
                },
            };
            cases.push((seed + 1000 * number as u64, case));
        }
    }
    for (seed, case, came) in play(cases) {
        let allowed = (EXPOSURE_LIMIT.share * came.sent as f64 + EXPOSURE_LIMIT.slack) / 2.0;
        assert!((came.exposed as f64) < allowed, "{seed} {case:?} {came:?} allowed {allowed}");
        assert_eq!(came.late, 0, "{seed} {case:?} {came:?}");
        assert_eq!(came.stage, Some(Stage::RolledBack), "{seed} {case:?} {came:?}");
    }
}
