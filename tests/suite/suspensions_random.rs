//! Drawn fleets on a simulated clock: instances are suspended or rejected by the store, the store is down, servers are
//! removed for good, and entries of live servers expire in outages. Two promises are checked at once: a server that is
//! gone is not used, and a live server is not dropped.

use std::{
    env,
    time::{Duration, Instant},
};

use cartvane::{
    gateway::cluster_state::ClusterState,
    routing::{BackendServer, ServerListUpdate, StoreEra},
};
use fastrand::Rng;

use crate::routing::server;

/// Cases of a run in CI; further ones are drawn with `CARTVANE_SEED` and `CARTVANE_CASES`.
const CASES: u64 = 60;

const TICK: Duration = Duration::from_millis(50);

const DURATION: Duration = Duration::from_secs(60);

/// Time in which all is calm, at the beginning and at the end of a case.
const CALM: Duration = Duration::from_secs(5);

/// The operator's bound on a leaving server.
const BOUND: Duration = Duration::from_secs(2);

/// Period between two reads of the instance that reads for others, and the age at which the others read themselves.
const READ_PERIOD: Duration = Duration::from_millis(400);
const READ_AGE: Duration = Duration::from_millis(1100);

const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);

/// Time until a question to an instance that does not reply fails.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Rounds of questions without any reply after which an instance decides by itself.
const ROUNDS_MAX: usize = 5;

/// Outage from which entries expire: three heartbeats of 1.2 s.
const EXPIRY: Duration = Duration::from_millis(3600);

/// Time after an outage within which expired entries of live servers are back.
const BACK_WITHIN: Duration = Duration::from_secs(2);

/// Time after an outage in which servers that are gone may be kept: until the first list, for 2.5 s from then, and until
/// the next list.
const KEPT_WITHIN: Duration = Duration::from_millis(800 + 2500 + 1100 + 300);

/// Time after a suspension, or after the store rejected an instance, in which it may still use servers that are gone.
const AWAKE_WITHIN: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Span {
    from: Duration,
    until: Duration,
}

impl Span {
    fn draw(rng: &mut Rng, lengths_ms: std::ops::Range<u64>) -> Span {
        let last = (DURATION - CALM * 3).as_millis() as u64;
        let from = CALM + Duration::from_millis(rng.u64(0..last - CALM.as_millis() as u64));
        Span {
            from,
            until: (from + Duration::from_millis(rng.u64(lengths_ms))).min(DURATION - CALM),
        }
    }

    fn contains(&self, at: Duration) -> bool {
        self.from <= at && at < self.until
    }

    fn ended_within(&self, at: Duration, time: Duration) -> bool {
        self.until <= at && at < self.until + time
    }
}

/// What happens to the entry of a server.
#[derive(Debug, Clone)]
struct Entry {
    /// When it is removed for good.
    removed_at: Option<Duration>,
    /// When it is missing although the server is alive.
    expired: Vec<Span>,
}

#[derive(Debug)]
struct Case {
    instances: usize,
    outages: Vec<Span>,
    suspended: Vec<Vec<Span>>,
    rejected: Vec<Vec<Span>>,
    entries: Vec<Entry>,
}

impl Case {
    fn draw(rng: &mut Rng) -> Case {
        let instances = rng.usize(2..10);
        let outages: Vec<Span> =
            (0..rng.usize(0..3)).map(|_| Span::draw(rng, 500..12_000)).collect();
        // One instance is never suspended, whichever.
        let awake = rng.usize(0..instances);
        let spans = |rng: &mut Rng, is_hit: bool| -> Vec<Span> {
            let count = if is_hit { rng.usize(0..4) } else { 0 };
            (0..count).map(|_| Span::draw(rng, 500..40_000)).collect()
        };
        let suspended = (0..instances).map(|i| spans(rng, i != awake)).collect();
        let rejected = (0..instances)
            .map(|i| {
                let is_hit = i != awake && rng.bool();
                spans(rng, is_hit)
            })
            .collect();
        let expirable: Vec<Span> =
            outages.iter().copied().filter(|o| o.until - o.from >= EXPIRY).collect();
        let entries = (0..12).map(|_| Entry::draw(rng, &expirable)).collect();
        Case { instances, outages, suspended, rejected, entries }
    }

    fn is_down(&self, at: Duration) -> bool {
        self.outages.iter().any(|outage| outage.contains(at))
    }

    fn is_listed(&self, number: usize, at: Duration) -> bool {
        let entry = &self.entries[number];
        !entry.is_gone(at) && !entry.expired.iter().any(|span| span.contains(at))
    }

    fn list(&self, at: Duration) -> Vec<BackendServer> {
        let listed = (0..self.entries.len()).filter(|&number| self.is_listed(number, at));
        listed.map(|number| server(&format!("s{number}"), number as u16 + 1)).collect()
    }

    /// Returns whether an instance must not use a server that is gone.
    fn must_know(&self, instance: usize, at: Duration) -> bool {
        let hit = |spans: &[Span], after: Duration| {
            spans.iter().any(|span| span.contains(at) || span.ended_within(at, after))
        };
        !hit(&self.suspended[instance], AWAKE_WITHIN)
            && !hit(&self.rejected[instance], AWAKE_WITHIN)
            && !hit(&self.outages, KEPT_WITHIN)
    }
}

impl Entry {
    fn draw(rng: &mut Rng, expirable: &[Span]) -> Entry {
        let calm = (CALM.as_millis() as u64)..((DURATION - CALM * 2).as_millis() as u64);
        let removed_at = rng.bool().then(|| Duration::from_millis(rng.u64(calm)));
        let mut expired = Vec::new();
        for outage in expirable {
            if rng.bool() {
                continue;
            }
            let back = BACK_WITHIN.mul_f64(rng.f64());
            expired.push(Span { from: outage.from + EXPIRY, until: outage.until + back });
        }
        Entry { removed_at, expired }
    }

    fn is_gone(&self, at: Duration) -> bool {
        self.removed_at.is_some_and(|removed| removed <= at)
    }
}

struct Instance {
    state: ClusterState,
    exchange_at: Duration,
    read_at: Duration,
    /// When the next question to others is decided, and how many rounds have been made.
    decide_at: Option<Duration>,
    rounds: usize,
}

struct Fleet {
    case: Case,
    start: Instant,
    all: Vec<Instance>,
    rng: Rng,
}

impl Fleet {
    fn new(case: Case, mut rng: Rng) -> Fleet {
        let all = (0..case.instances)
            .map(|_| Instance {
                state: ClusterState::new(BOUND),
                exchange_at: EXCHANGE_PERIOD.mul_f64(rng.f64()),
                read_at: Duration::ZERO,
                decide_at: None,
                rounds: 0,
            })
            .collect();
        Fleet { case, start: Instant::now(), all, rng }
    }

    fn is_awake(&self, instance: usize, at: Duration) -> bool {
        !self.case.suspended[instance].iter().any(|span| span.contains(at))
    }

    fn read_store(&self, instance: usize, at: Duration) -> bool {
        let now = self.start + at;
        let state = &self.all[instance].state;
        let rejected = self.case.rejected[instance].iter().any(|span| span.contains(at));
        if rejected || self.case.is_down(at) {
            state.with_roster_mut(|roster| roster.note_failed_read(now, now));
            return false;
        }
        state.apply_server_list(now, now, StoreEra::default(), self.case.list(at));
        true
    }

    /// Sends the list of one instance to another, as the exchange does.
    fn send_list(&self, from: usize, to: usize, at: Duration) {
        let now = self.start + at;
        let to = &self.all[to].state;
        let version = to.list_version();
        let reply = self.all[from].state.server_list_reply(now, version);
        let Some(as_of) = reply.age.and_then(|age| now.checked_sub(age)) else { return };
        let is_same = matches!(reply.update, ServerListUpdate::Same);
        if is_same && to.confirm_list(now, version, as_of, reply.era) {
            return;
        }
        if let Some(list) = to.apply_list_update(version, reply.update) {
            to.apply_server_list(now, as_of, reply.era, list);
        }
    }

    /// Asks all other instances for what they have received; returns whether one of them did not reply.
    fn ask(&self, instance: usize, at: Duration) -> bool {
        let now = self.start + at;
        let mut is_one_silent = false;
        for other in (0..self.case.instances).filter(|&other| other != instance) {
            if !self.is_awake(other, at) {
                is_one_silent = true;
                continue;
            }
            let witness = self.all[other].state.with_servers(|roster| roster.witness());
            if let Some(witness) = witness {
                let state = &self.all[instance].state;
                state.with_roster_mut(|roster| roster.note_witness(now, &witness));
            }
        }
        is_one_silent
    }

    fn check_gap(&mut self, instance: usize, at: Duration) {
        let now = self.start + at;
        let is_undecided =
            |fleet: &Fleet| fleet.all[instance].state.with_servers(|roster| roster.is_undecided());
        if !is_undecided(self) {
            (self.all[instance].decide_at, self.all[instance].rounds) = (None, 0);
            return;
        }
        if let Some(decide_at) = self.all[instance].decide_at
            && at < decide_at
        {
            return;
        }
        if self.all[instance].decide_at.is_some() {
            self.all[instance].rounds += 1;
            let asked =
                if self.all[instance].rounds >= ROUNDS_MAX { 0 } else { self.case.instances - 1 };
            self.all[instance].state.with_roster_mut(|roster| roster.decide_missing(now, asked));
            self.all[instance].decide_at = None;
            return;
        }
        let wait = if self.ask(instance, at) { ASK_TIMEOUT } else { Duration::ZERO };
        self.all[instance].decide_at = Some(at + wait);
    }

    fn step(&mut self, instance: usize, at: Duration) {
        let now = self.start + at;
        let aggregator = (0..self.case.instances).find(|&other| self.is_awake(other, at));
        let is_aggregator = aggregator == Some(instance);
        let age = self.all[instance].state.servers_age(now);
        let is_old = age.is_none_or(|age| age >= READ_AGE);
        if at >= self.all[instance].read_at && (is_aggregator || is_old) {
            let delay = if self.read_store(instance, at) { READ_PERIOD } else { READ_PERIOD * 2 };
            self.all[instance].read_at = at + delay;
        }
        if at >= self.all[instance].exchange_at {
            if let Some(aggregator) = aggregator.filter(|_| !is_aggregator) {
                self.send_list(aggregator, instance, at);
            } else {
                // An aggregator that the store rejects has another instance read.
                let other = self.rng.usize(0..self.case.instances);
                if other != instance && self.is_awake(other, at) && is_old {
                    self.read_store(other, at);
                    self.send_list(other, instance, at);
                }
            }
            self.all[instance].exchange_at =
                at + EXCHANGE_PERIOD.mul_f64(0.9 + 0.2 * self.rng.f64());
        }
        self.check_gap(instance, at);
    }

    fn uses(&self, instance: usize, server: usize) -> bool {
        let name = format!("s{server}");
        self.all[instance]
            .state
            .with_servers(|roster| roster.servers().any(|listed| listed.id.server.as_str() == name))
    }

    /// Returns what an instance breaks, if anything.
    fn broken(&self, instance: usize, at: Duration) -> Option<String> {
        for (number, entry) in self.case.entries.iter().enumerate() {
            let is_used = self.uses(instance, number);
            let is_late = entry.removed_at.is_some_and(|removed| at > removed + BOUND);
            if is_used && is_late && self.case.must_know(instance, at) {
                return Some(format!(
                    "at {at:?} instance {instance} uses s{number}, which is gone"
                ));
            }
            if !is_used && !entry.is_gone(at) {
                return Some(format!("at {at:?} instance {instance} has dropped s{number}, alive"));
            }
        }
        None
    }

    /// Plays the case; returns the first broken promise.
    fn play(mut self) -> Option<String> {
        let mut at = Duration::ZERO;
        while at < DURATION {
            for instance in 0..self.case.instances {
                if self.is_awake(instance, at) {
                    self.step(instance, at);
                }
            }
            if at >= CALM {
                let awake = (0..self.case.instances).filter(|&i| self.is_awake(i, at));
                let broken = awake.filter_map(|instance| self.broken(instance, at)).next();
                if let Some(broken) = broken {
                    return Some(format!("{broken}; {:?}", self.case));
                }
            }
            at += TICK;
        }
        None
    }
}

fn number_of(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

#[test]
fn gone_servers_are_not_used_and_live_ones_not_dropped_whichever_instances_are_suspended() {
    let seed = number_of("CARTVANE_SEED").unwrap_or(67);
    let cases = number_of("CARTVANE_CASES").unwrap_or(CASES);
    let mut failures = Vec::new();
    for number in 0..cases {
        let mut rng = Rng::with_seed(seed.wrapping_mul(1_000_003).wrapping_add(number));
        let case = Case::draw(&mut rng);
        if let Some(broken) = Fleet::new(case, rng).play() {
            failures.push(format!("case {number}: {broken}"));
        }
    }
    let (count, all) = (failures.len(), failures.join("\n"));
    assert!(failures.is_empty(), "{count} of {cases} cases, seed {seed}:\n{all}");
}
