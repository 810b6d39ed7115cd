//! Requests to cold servers on drawn days and a made-up clock: instances ask for permits, die, start again, stand still,
//! are cut off, and disagree on who grants.

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

/// What operators allow a cold server to get in any one second: so many times its rate, and so many requests beside.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Part of its rate that a cold server should get where there is demand and all is well.
const USED: f64 = 0.7;

const STEP: Duration = Duration::from_millis(5);
const DAY: Duration = Duration::from_secs(6);

/// Longest time from a permit to the request's arrival, in milliseconds.
const UNDER_WAY_MS: u64 = 80;

struct Instance {
    candidates: Candidates,
    granters: ColdGranters,
    grants: ColdGrants,
    /// Until when it is dead, stands still or is cut off.
    away_until: Option<Instant>,
    /// When it knows the others after a start.
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
        node: format!("edge-{number}").parse().expect("a name"),
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        zone: "z".parse().expect("a zone"),
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
            away_until: None,
            joins_at: None,
        }
    }

    fn is_away(&self, number: usize) -> bool {
        self.all[number].away_until.is_some_and(|until| self.now < until)
    }

    /// Takes instances away: a part of the fleet, for a while. Some lose all they knew, and know the others late.
    fn disturb(&mut self) {
        let share = [0.05, 0.5][self.rng.usize(0..2)];
        let killed = self.rng.bool();
        let until = self.now + Duration::from_millis(self.rng.u64(300..3000));
        let joins_at = until + Duration::from_millis(1500);
        for number in 0..self.all.len() {
            if self.rng.f64() >= share {
                continue;
            }
            if killed {
                self.all[number] = Fleet::instance(&self.infos[number], &self.infos);
                self.all[number].joins_at = Some(joins_at);
            }
            self.all[number].away_until = Some(until);
        }
    }

    /// A request of an instance whose rank begins with a cold server.
    fn request(&mut self, number: usize, server: usize) {
        let joins_at = self.all[number].joins_at;
        if self.is_away(number) || joins_at.is_some_and(|at| self.now < at) {
            return;
        }
        let tag = Tag::of(&format!("server-{server}"));
        let instance = &self.all[number];
        let granter = instance.granters.granter_of(self.now, tag, &instance.candidates).cloned();
        let Some(granter) = granter else { return };
        let other = self.infos.iter().position(|i| i.node == granter.node).expect("known");
        if self.is_away(other) {
            let now = self.now;
            self.all[number].granters.note_unresponsive(now, &granter.node);
            return;
        }
        let rate = Rate(self.rates[server]);
        if self.all[other].grants.grant(self.now, tag, rate) {
            let later = Duration::from_millis(self.rng.u64(0..UNDER_WAY_MS));
            self.arrivals[server].push(self.now + later);
        }
    }

    /// Plays a day on which each server would get so many requests a second.
    fn play(&mut self, wanted: f64, disturbances: usize) {
        let start = self.now;
        let mut moments: Vec<Instant> =
            (0..disturbances).map(|_| start + DAY.mul_f64(self.rng.f64())).collect();
        moments.sort();
        while self.now < start + DAY {
            while moments.first().is_some_and(|at| *at <= self.now) {
                moments.remove(0);
                self.disturb();
            }
            for server in 0..self.rates.len() {
                let chance = wanted * STEP.as_secs_f64();
                let (whole, part) = (chance as usize, chance.fract());
                for _ in 0..whole + usize::from(self.rng.f64() < part) {
                    let number = self.rng.usize(0..self.all.len());
                    self.request(number, server);
                }
            }
            self.now += STEP;
        }
        self.arrivals.iter_mut().for_each(|arrivals| arrivals.sort());
    }

    /// Most arrivals of any second, as a part of what is allowed, over all servers.
    fn worst(&self) -> f64 {
        let worst = |(arrivals, rate): (&Vec<Instant>, &f64)| {
            let second = |first: usize| {
                arrivals[first..]
                    .partition_point(|at| *at <= arrivals[first] + Duration::from_secs(1))
            };
            let most = (0..arrivals.len()).map(second).max().unwrap_or(0);
            most as f64 / (rate * OVERAGE + SLACK)
        };
        self.arrivals.iter().zip(&self.rates).map(worst).fold(0.0, f64::max)
    }
}

// 65 instances that each went by their own rank gave a cold server 25 to 27 requests in a second, where 24.5 are
// allowed; a hot prompt alone brings 36 a second.
#[test]
fn no_cold_server_gets_more_than_it_bears_whoever_dies_stands_still_or_starts() {
    let sizes = [8, 65, 302];
    for seed in 0..1000 {
        let mut rng = Rng::with_seed(seed);
        let mut fleet = Fleet::new(seed, sizes[rng.usize(0..3)], 3);
        fleet.play([10.0, 60.0, 400.0][rng.usize(0..3)], rng.usize(0..6));
        assert!(fleet.worst() <= 1.0, "seed {seed}: {:.2} of what is allowed", fleet.worst());
    }
}

#[test]
fn cold_servers_are_not_idle_where_there_is_demand() {
    for (seed, instances) in (0..60).zip([8, 65, 302].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, instances, 3);
        fleet.play(60.0, 0);
        for (arrivals, rate) in fleet.arrivals.iter().zip(&fleet.rates) {
            let got = arrivals.len() as f64 / DAY.as_secs_f64();
            assert!(got >= USED * rate, "seed {seed}, {instances}: {got:.1} of {rate:.1} a second");
        }
    }
}

#[test]
fn instances_agree_on_who_grants_and_all_of_them_grant_some() {
    let fleet = Fleet::new(1, 65, 1);
    let mut granted: HashMap<String, usize> = HashMap::new();
    for server in 0..1000 {
        let tag = Tag::of(&format!("server-{server}"));
        let of = |i: &Instance| {
            i.granters.granter_of(fleet.now, tag, &i.candidates).expect("one").node.to_string()
        };
        let first = of(&fleet.all[0]);
        assert!(fleet.all.iter().all(|instance| of(instance) == first));
        *granted.entry(first).or_default() += 1;
    }
    assert!(granted.len() > 60, "{} of 65", granted.len());
    assert!(granted.values().all(|&servers| servers < 50), "{granted:?}");
}
