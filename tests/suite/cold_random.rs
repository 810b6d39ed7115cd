//! Permits for requests to cold servers, in random scenarios on a simulated clock: instances request permits, crash,
//! restart, are suspended or cut off, and disagree on the granter.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use cartvane::{
    names::Tag,
    routing::{Candidates, ColdGranters, ColdGrants, InstanceInfo},
    units::Rate,
};
use fastrand::Rng;

/// Operators allow a cold server to get `RATE_FACTOR` times its rate plus `SLACK` requests in any second.
const RATE_FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Share of its rate that a cold server must get where there is demand and no instance fails.
const USED_SHARE: f64 = 0.7;

const STEP: Duration = Duration::from_millis(5);
const DURATION: Duration = Duration::from_secs(6);

/// Longest time from a permit to the arrival of the request, in milliseconds.
const ARRIVAL_DELAY_MS: u64 = 80;

struct Instance {
    candidates: Candidates,
    granters: ColdGranters,
    grants: ColdGrants,
    /// Until when the instance is down, suspended or cut off.
    down_until: Option<Instant>,
    /// When the instance knows the others after a restart.
    joins_at: Option<Instant>,
}

struct Fleet {
    now: Instant,
    infos: Vec<InstanceInfo>,
    all: Vec<Instance>,
    rng: Rng,
    rates: Vec<f64>,
    arrivals: Vec<Vec<Instant>>,
}

fn info(number: usize) -> InstanceInfo {
    InstanceInfo {
        node: format!("edge-{number}").parse().expect("a valid name"),
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        zone: "z".parse().expect("a valid zone"),
        cores: 0.12,
    }
}

impl Fleet {
    fn new(seed: u64, instances: usize, servers: usize) -> Fleet {
        let mut rng = Rng::with_seed(seed);
        let infos: Vec<InstanceInfo> = (0..instances).map(info).collect();
        let rates: Vec<f64> = (0..servers).map(|_| 1.0 + 29.0 * rng.f64()).collect();
        let all = infos.iter().map(|own| Fleet::instance(own, &infos)).collect();
        let arrivals = vec![Vec::new(); servers];
        Fleet { now: Instant::now(), infos, all, rng, rates, arrivals }
    }

    fn instance(own: &InstanceInfo, infos: &[InstanceInfo]) -> Instance {
        let mut candidates = Candidates::new(own.clone());
        candidates.set(infos.iter().cloned());
        Instance {
            candidates,
            granters: ColdGranters::default(),
            grants: ColdGrants::default(),
            down_until: None,
            joins_at: None,
        }
    }

    fn is_down(&self, number: usize) -> bool {
        self.all[number].down_until.is_some_and(|until| self.now < until)
    }

    /// Takes a random part of the instances down for a while. If they crash, they lose their state and learn of the
    /// others late after the restart.
    fn take_instances_down(&mut self) {
        let share = [0.05, 0.5][self.rng.usize(0..2)];
        let crash = self.rng.bool();
        let until = self.now + Duration::from_millis(self.rng.u64(300..3000));
        let joins_at = until + Duration::from_millis(1500);
        for number in 0..self.all.len() {
            if self.rng.f64() >= share {
                continue;
            }
            if crash {
                self.all[number] = Fleet::instance(&self.infos[number], &self.infos);
                self.all[number].joins_at = Some(joins_at);
            }
            self.all[number].down_until = Some(until);
        }
    }

    /// Sends a request of an instance whose first choice is a cold server.
    fn request(&mut self, number: usize, server: usize) {
        let joins_at = self.all[number].joins_at;
        if self.is_down(number) || joins_at.is_some_and(|at| self.now < at) {
            return;
        }
        let tag = Tag::of(&format!("server-{server}"));
        let instance = &self.all[number];
        let granter = instance.granters.granter_of(self.now, tag, &instance.candidates).cloned();
        let Some(granter) = granter else { return };
        let granter_number = self
            .infos
            .iter()
            .position(|i| i.node == granter.node)
            .expect("the granter is an instance");
        if self.is_down(granter_number) {
            let now = self.now;
            self.all[number].granters.note_unresponsive(now, &granter.node);
            return;
        }
        let rate = Rate(self.rates[server]);
        if self.all[granter_number].grants.grant(self.now, tag, rate) {
            let delay = Duration::from_millis(self.rng.u64(0..ARRIVAL_DELAY_MS));
            self.arrivals[server].push(self.now + delay);
        }
    }

    /// Simulates a demand of `demand` requests per second for each server, with `failures` failures of instances.
    fn simulate(&mut self, demand: f64, failures: usize) {
        let start = self.now;
        let mut failure_times: Vec<Instant> =
            (0..failures).map(|_| start + DURATION.mul_f64(self.rng.f64())).collect();
        failure_times.sort();
        while self.now < start + DURATION {
            while failure_times.first().is_some_and(|at| *at <= self.now) {
                failure_times.remove(0);
                self.take_instances_down();
            }
            for server in 0..self.rates.len() {
                let expected = demand * STEP.as_secs_f64();
                let (whole, part) = (expected as usize, expected.fract());
                for _ in 0..whole + usize::from(self.rng.f64() < part) {
                    let number = self.rng.usize(0..self.all.len());
                    self.request(number, server);
                }
            }
            self.now += STEP;
        }
        self.arrivals.iter_mut().for_each(|arrivals| arrivals.sort());
    }

    /// Returns the highest number of arrivals in a second, relative to the allowed number, over all servers.
    fn worst_share(&self) -> f64 {
        let worst = |(arrivals, rate): (&Vec<Instant>, &f64)| {
            let second = |first: usize| {
                arrivals[first..]
                    .partition_point(|at| *at <= arrivals[first] + Duration::from_secs(1))
            };
            let most = (0..arrivals.len()).map(second).max().unwrap_or(0);
            most as f64 / (rate * RATE_FACTOR + SLACK)
        };
        self.arrivals.iter().zip(&self.rates).map(worst).fold(0.0, f64::max)
    }
}

// When 65 instances decided independently by the rendezvous order, a cold server got 25 to 27 requests in a second,
// where 24.5 are allowed; a single popular prompt brings 36 per second.
#[test]
fn no_cold_server_is_overloaded_whichever_instances_crash_restart_or_are_suspended() {
    let sizes = [8, 65, 302];
    for seed in 0..1000 {
        let mut rng = Rng::with_seed(seed);
        let mut fleet = Fleet::new(seed, sizes[rng.usize(0..3)], 3);
        fleet.simulate([10.0, 60.0, 400.0][rng.usize(0..3)], rng.usize(0..6));
        assert!(
            fleet.worst_share() <= 1.0,
            "seed {seed}: {:.2} of the allowed requests",
            fleet.worst_share()
        );
    }
}

#[test]
fn cold_servers_are_used_if_there_is_demand() {
    for (seed, instances) in (0..60).zip([8, 65, 302].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, instances, 3);
        fleet.simulate(60.0, 0);
        for (arrivals, rate) in fleet.arrivals.iter().zip(&fleet.rates) {
            let got = arrivals.len() as f64 / DURATION.as_secs_f64();
            assert!(
                got >= USED_SHARE * rate,
                "seed {seed}, {instances} instances: {got:.1} of {rate:.1} per second"
            );
        }
    }
}

#[test]
fn instances_agree_on_the_granter_and_all_of_them_grant_for_some_servers() {
    let fleet = Fleet::new(1, 65, 1);
    let mut granted: HashMap<String, usize> = HashMap::new();
    for server in 0..1000 {
        let tag = Tag::of(&format!("server-{server}"));
        let of = |i: &Instance| {
            i.granters
                .granter_of(fleet.now, tag, &i.candidates)
                .expect("a granter")
                .node
                .to_string()
        };
        let first = of(&fleet.all[0]);
        assert!(fleet.all.iter().all(|instance| of(instance) == first));
        *granted.entry(first).or_default() += 1;
    }
    assert!(granted.len() > 60, "{} of 65 instances grant", granted.len());
    assert!(granted.values().all(|&servers| servers < 50), "{granted:?}");
}
