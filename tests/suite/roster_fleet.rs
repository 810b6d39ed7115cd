//! How old the list of backend servers becomes at the instances of a large fleet, on a made-up clock: the one that
//! the others turn to is cut off, is killed, or stands still, and others join.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use cartvane::{
    gateway::cluster_state::ClusterState,
    routing::{
        BackendServer, Candidates, FallbackReader, InstanceInfo, RosterRole, RosterStep,
        RosterWatch, ServerListUpdate, StoreEra, fallback_reader,
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::routing::server;

/// The operator's bound on a large fleet.
const BOUND: Duration = Duration::from_secs(4);

/// Part of the bound that the list may be old at an instance that reaches the store and others: the rest is for a
/// slow read and for requests on their way.
const AGE_MAX: f64 = 0.65;

const ZONES: usize = 6;

/// Instances with more of a processor than the others.
const STRONG: usize = 18;

/// Pause between two exchanges of an instance at this size.
const PERIOD: Duration = Duration::from_millis(740);

/// What an exchange with an instance takes that is cut off: one on the kept connection, one on a new one.
const UNANSWERED: Duration = Duration::from_millis(600);

/// What a read of the store takes, and one that is not answered.
const READ: Duration = Duration::from_millis(30);
const UNREAD: Duration = Duration::from_millis(900);

/// How long an instance that others turn to goes on to read for them.
const READS_FOR_OTHERS: Duration = Duration::from_millis(3000);

/// When ages are judged from: all know each other and somebody reads.
const WARM_UP: Duration = Duration::from_secs(5);

const LENGTH: Duration = Duration::from_secs(30);

/// Instances that nobody reaches for a while, and that reach nothing; or that only the store turns away.
#[derive(Debug, Clone)]
struct Cut {
    store_only: bool,
    from: Duration,
    until: Duration,
    who: Who,
}

#[derive(Debug, Clone)]
enum Who {
    Zone(usize),
    /// The first ones in the order in which all turn to them.
    First(usize),
    Every(usize),
}

#[derive(Debug, Clone)]
struct Case {
    instances: usize,
    cuts: Vec<Cut>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Exchange(usize),
    Roster(usize),
    /// Others have begun to turn to an instance, which looks at once.
    Woken(usize),
    Look,
}

struct Instance {
    candidates: Candidates,
    watch: RosterWatch,
    as_of: Option<Instant>,
    /// When another one last turned to it.
    heard: Option<Instant>,
    fallback_reader: FallbackReader,
    /// Reads of the store that were tried.
    tried: u32,
}

struct Fleet {
    case: Case,
    start: Instant,
    infos: Vec<InstanceInfo>,
    /// Instances in the order in which all turn to them.
    order: Vec<usize>,
    all: Vec<Instance>,
    queue: BinaryHeap<Reverse<(Instant, Next)>>,
    seed: u64,
}

fn info(number: usize) -> InstanceInfo {
    InstanceInfo {
        node: format!("edge-{number}").parse().expect("a name"),
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        zone: format!("z{}", number % ZONES).parse().expect("a zone"),
        cores: if number < STRONG { 0.5 } else { 0.12 },
    }
}

impl Fleet {
    fn new(case: &Case) -> Fleet {
        let start = Instant::now();
        let infos: Vec<InstanceInfo> = (0..case.instances).map(info).collect();
        let candidates = |own: &InstanceInfo| {
            let mut candidates = Candidates::new(own.clone());
            candidates.set(infos.iter().cloned());
            candidates
        };
        let ranked = candidates(&infos[0]);
        let number = |i: &InstanceInfo| infos.iter().position(|other| other.node == i.node);
        let order = ranked.all().iter().filter_map(number).collect();
        let instance = |own: &InstanceInfo| Instance {
            candidates: candidates(own),
            watch: RosterWatch::new(BOUND),
            as_of: None,
            heard: None,
            fallback_reader: FallbackReader::default(),
            tried: 0,
        };
        let all = infos.iter().map(instance).collect();
        let mut fleet = Fleet {
            case: case.clone(),
            start,
            order,
            all,
            queue: BinaryHeap::new(),
            seed: 7,
            infos: infos.clone(),
        };
        for number in 0..case.instances {
            let spread = PERIOD.mul_f64(number as f64 / case.instances as f64);
            fleet.queue.push(Reverse((start + spread, Next::Exchange(number))));
            fleet.queue.push(Reverse((start, Next::Roster(number))));
        }
        fleet.queue.push(Reverse((start + WARM_UP, Next::Look)));
        fleet
    }

    fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn is_cut(&self, number: usize, now: Instant) -> bool {
        self.is_hit(number, now, |cut| !cut.store_only)
    }

    fn is_hit(&self, number: usize, now: Instant, counts: fn(&Cut) -> bool) -> bool {
        let at = now - self.start;
        self.case.cuts.iter().filter(|cut| counts(cut)).any(|cut| {
            let hit = match cut.who {
                Who::Zone(zone) => number % ZONES == zone,
                Who::First(count) => self.order[..count.min(self.order.len())].contains(&number),
                Who::Every(step) => number.is_multiple_of(step),
            };
            hit && cut.from <= at && at < cut.until
        })
    }

    /// Returns whether an instance has reached the store and others for as long as the operator asks.
    fn is_in_touch(&self, number: usize, now: Instant) -> bool {
        let before = |back: u64| now - Duration::from_millis(back * 100);
        (0..=50).all(|back| !self.is_hit(number, before(back), |_| true))
    }

    fn tell(&mut self, from: usize, to: usize) {
        let told = self.all[from].as_of;
        let as_of = &mut self.all[to].as_of;
        *as_of = (*as_of).max(told);
    }

    /// Exchanges as the instances do: with the first that answers, two at the most.
    fn exchange(&mut self, number: usize, mut now: Instant) -> Instant {
        for _ in 0..2 {
            let first = self.all[number].candidates.aggregator(now).cloned();
            let Some(first) = first else { break };
            let other = self.infos.iter().position(|i| i.node == first.node).expect("known");
            if !self.is_cut(number, now) && !self.is_cut(other, now) {
                if self.all[other].heard.is_none_or(|at| now - at >= READS_FOR_OTHERS) {
                    self.queue.push(Reverse((now, Next::Woken(other))));
                }
                self.all[other].heard = Some(now);
                self.all[number].candidates.note_responsive(&first.node);
                self.tell(other, number);
                break;
            }
            now += UNANSWERED;
            self.all[number].candidates.note_unresponsive(now, &first.node);
        }
        now + PERIOD.mul_f64(0.9 + 0.2 * self.draw())
    }

    fn roster(&mut self, number: usize, now: Instant) -> Instant {
        let cut = self.is_cut(number, now);
        let turned_away = self.is_hit(number, now, |_| true);
        let instance = &mut self.all[number];
        let heard = instance.heard.is_some_and(|at| now - at < READS_FOR_OTHERS);
        let role = RosterRole {
            reader: heard || instance.candidates.aggregator(now).is_none(),
            position: instance.candidates.position(),
        };
        match instance.watch.next(now, &role, instance.as_of) {
            RosterStep::Wait(time) => now + time,
            RosterStep::Read if turned_away => {
                instance.tried += 1;
                let after = now + if cut { UNREAD } else { READ };
                instance.watch.store_failed(after);
                after
            }
            RosterStep::Read => {
                instance.tried += 1;
                instance.as_of = Some(now);
                instance.watch.store_read(now);
                now + READ
            }
            RosterStep::AskPeers if heard => {
                for _ in 0..fallback_reader::ATTEMPTS_MAX {
                    let instance = &self.all[number];
                    let fallback_reader = instance.fallback_reader.pick(now, &instance.candidates);
                    let node = fallback_reader.map(|fallback_reader| fallback_reader.node);
                    let other = self.infos.iter().position(|i| Some(&i.node) == node.as_ref());
                    let other = other.expect("others answer");
                    if !cut && !self.is_hit(other, now, |_| true) {
                        self.all[other].as_of = Some(now);
                        self.all[other].tried += 1;
                        self.tell(other, number);
                        break;
                    }
                    self.all[number].fallback_reader.failed();
                }
                self.all[number].watch.peers_asked(now);
                now + READ
            }
            RosterStep::AskPeers => {
                for _ in 0..2 {
                    let other = (self.draw() * self.case.instances as f64) as usize;
                    if !cut && !self.is_cut(other, now) {
                        self.tell(other, number);
                    }
                }
                self.all[number].watch.peers_asked(now);
                now + READ
            }
        }
    }

    /// Plays a case; returns the greatest age of the list at an instance in touch, in parts of the bound, and how
    /// often the store was read in a second.
    fn play(case: &Case) -> (f64, f64) {
        let mut fleet = Fleet::new(case);
        let mut oldest = 0.0_f64;
        while let Some(Reverse((now, next))) = fleet.queue.pop() {
            if now > fleet.start + LENGTH {
                break;
            }
            match next {
                Next::Exchange(number) => {
                    let again = fleet.exchange(number, now);
                    fleet.queue.push(Reverse((again, Next::Exchange(number))));
                }
                Next::Roster(number) => {
                    let again = fleet.roster(number, now);
                    fleet.queue.push(Reverse((again, Next::Roster(number))));
                }
                Next::Woken(number) => {
                    fleet.roster(number, now);
                }
                Next::Look => {
                    for (number, instance) in fleet.all.iter().enumerate() {
                        if fleet.is_in_touch(number, now) {
                            let age = instance.as_of.map_or(LENGTH, |as_of| now - as_of);
                            oldest = oldest.max(age.as_secs_f64() / BOUND.as_secs_f64());
                        }
                    }
                    let again = now + Duration::from_millis(100);
                    fleet.queue.push(Reverse((again, Next::Look)));
                }
            }
        }
        let tried: u32 = fleet.all.iter().map(|instance| instance.tried).sum();
        (oldest, f64::from(tried) / LENGTH.as_secs_f64())
    }
}

fn cut(from: u64, until: u64, who: Who) -> Cut {
    let (from, until) = (Duration::from_millis(from), Duration::from_millis(until));
    Cut { store_only: false, from, until, who }
}

#[test]
fn the_list_stays_young_where_those_that_read_it_are_cut_off() {
    let cases = [
        vec![cut(9_300, 17_300, Who::First(3))],
        vec![cut(8_000, 16_000, Who::Zone(2)), cut(14_000, 20_000, Who::Zone(4))],
        vec![cut(9_000, 10_500, Who::First(1)), cut(12_000, 13_500, Who::First(2))],
        vec![cut(7_700, 15_700, Who::Every(5)), cut(16_000, 16_600, Who::First(1))],
        vec![cut(10_000, 24_000, Who::First(18))],
    ];
    for cuts in cases {
        let case = Case { instances: 295, cuts };
        let (oldest, _) = Fleet::play(&case);
        assert!(oldest <= AGE_MAX, "{oldest:.3} of the bound in {:?}", case.cuts);
    }
}

// The one that all turned to was turned away by the store for eight seconds, with a third of the fleet, and went on
// to answer. All the others found the list old at the same moments and read for themselves, 341 of them at second 20
// and 340 at second 22, and those turned away tried again twice a second: 6,641 calls in a day of which 2,000 are
// its starts.
#[test]
fn one_that_is_turned_away_by_the_store_has_another_read_for_all() {
    let turned_away = |who| Cut { store_only: true, ..cut(8_000, 16_000, who) };
    for cuts in [
        vec![turned_away(Who::First(1))],
        vec![turned_away(Who::Every(3)), turned_away(Who::First(4))],
    ] {
        let case = Case { instances: 295, cuts };
        let (oldest, reads) = Fleet::play(&case);
        assert!(oldest <= AGE_MAX, "{oldest:.3} of the bound in {:?}", case.cuts);
        let start = 295.0 / LENGTH.as_secs_f64();
        assert!(reads - start <= 8.0, "{reads:.1} reads a second in {:?}", case.cuts);
    }
}

#[test]
fn the_list_stays_young_whoever_is_cut_off() {
    let who = prop_oneof![
        (0..ZONES).prop_map(Who::Zone),
        (1..25usize).prop_map(Who::First),
        (2..20usize).prop_map(Who::Every),
    ];
    let cuts = (5_000..20_000u64, 200..9_000u64, who)
        .prop_map(|(from, time, who)| cut(from, from + time, who));
    let cases = (prop::sample::select(vec![8usize, 62, 99]), prop::collection::vec(cuts, 0..4));
    let config = Config {
        cases: 25,
        rng_seed: RngSeed::Fixed(30),
        failure_persistence: None,
        ..Config::default()
    };
    let young = TestRunner::new(config).run(&cases, |(instances, cuts)| {
        let (oldest, _) = Fleet::play(&Case { instances, cuts });
        prop_assert!(oldest <= AGE_MAX, "{oldest:.3} of the bound");
        Ok(())
    });
    young.expect("the list stays young");
}

#[test]
fn in_calm_a_few_read_the_store_for_all() {
    let (oldest, reads) = Fleet::play(&Case { instances: 295, cuts: Vec::new() });
    assert!(oldest <= AGE_MAX, "{oldest:.3} of the bound");
    // 295 at the start, and one instance all the time.
    let start = 295.0 / LENGTH.as_secs_f64();
    assert!(reads - start <= 2.0, "{reads:.1} reads a second");
}

// While the instance that reads for all took a new list, those that asked it at that moment were told the list from
// before the read with the age from after it. They took it for current, kept the next news of the same read out as
// no newer, and read nothing themselves: of 13 instances whose logs were kept, six heard that a server was leaving
// 2.6 to 3.1 s after it had said so and seven 4.2 to 6.0 s after, one or two reads later than the others.
#[test]
fn a_list_is_told_with_its_own_age() {
    const READS: u16 = 1500;
    let start = Instant::now();
    let as_of = |read: u16| start + Duration::from_millis(u64::from(read));
    let cluster_state = ClusterState::new(BOUND);
    // The port of the first server says which read the list is of.
    let list = |read: u16| -> Vec<BackendServer> {
        let others = (0..150).map(|number| server(&format!("s{number}"), 1));
        [server("marker", read)].into_iter().chain(others).collect()
    };
    let marked = |news: ServerListUpdate| match news {
        ServerListUpdate::Whole(list) => list
            .unpack()
            .expect("a list")
            .iter()
            .find(|s| s.id.server.as_str() == "marker")
            .cloned(),
        _ => None,
    };
    cluster_state.apply_server_list(start, as_of(1), StoreEra(0), list(1));
    let end = as_of(READS);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for read in 2..=READS {
                cluster_state.apply_server_list(end, as_of(read), StoreEra(0), list(read));
            }
        });
        for _ in 0..3 {
            scope.spawn(|| {
                loop {
                    let list = cluster_state.server_list_reply(end, None);
                    let told = marked(list.update).expect("a whole list").address.port();
                    let age = list.age.expect("a list has an age");
                    assert_eq!(end - age, as_of(told), "the age is of another list");
                    if told == READS {
                        return;
                    }
                }
            });
        }
    });
}
