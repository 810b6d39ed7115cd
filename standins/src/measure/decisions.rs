//! The cost of one decision at a home, and the memory of what it remembers.

use std::time::{Duration, Instant};

use cartvane::{
    contract::permit::{PermitId, PermitRequest, Release, ReleaseKind, TeamPolicy},
    names::Tag,
    zone::{
        engine::EngineSpec,
        home::{Event, Home, HomeSettings, WARM_UP},
        rendezvous::ChatKey,
    },
};
use fastrand::Rng;

use super::{Figure, figure, resident_mib};
use crate::load::measure::percentile;

/// Decisions timed at each size.
const DECISIONS: u64 = 60_000;

/// A home under load, driven on a made-up clock.
pub struct HomeBench {
    home: Home,
    now: Instant,
    rng: Rng,
    number: u64,
    held: Vec<u64>,
    chats: u64,
    in_flight: usize,
    teams: u32,
    entries: u32,
}

impl HomeBench {
    /// Returns a home of `engines`, asked by `entries` routers for `teams`, that remembers `chats`.
    pub fn new(engines: u32, chats: u64, teams: u32, entries: u32) -> HomeBench {
        let specs = (1..=engines)
            .map(|n| EngineSpec { tag: Tag(n), weight: 1.0, capacity: 16, leaving: false })
            .collect();
        let terms = HomeSettings {
            load_bound: 1.25,
            queue_max: 1000,
            chats_max: 4 * chats as usize,
            affinity_wait: Duration::from_millis(700),
        };
        let start = Instant::now();
        let home = Home::new(terms, specs, start);
        let mut bench = HomeBench {
            home,
            now: start + WARM_UP,
            rng: Rng::with_seed(1),
            number: 0,
            held: Vec::new(),
            chats,
            in_flight: 4 * engines as usize,
            teams,
            entries,
        };
        for chat in 0..chats {
            bench.ask(chat);
            bench.release_one();
        }
        while bench.held.len() < bench.in_flight {
            bench.step();
        }
        bench
    }

    fn entry_of(&self, number: u64) -> Tag {
        Tag(1_000_000 + (number % u64::from(self.entries)) as u32)
    }

    fn ask(&mut self, chat: u64) {
        self.number += 1;
        let number = self.number;
        let ask = PermitRequest {
            id: PermitId { entry: self.entry_of(number), number },
            chat: ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            team: Tag((number % u64::from(self.teams)) as u32),
            time_left: Duration::from_secs(30),
            hint: None,
            avoid: Vec::new(),
            may_spill: false,
        };
        self.home.handle(self.now, Event::PermitRequest(ask, TeamPolicy::default()));
        self.held.push(number);
    }

    fn release_one(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.held.len());
        let number = self.held.swap_remove(at);
        let release = Release { number, kind: ReleaseKind::Done, load: Some(4) };
        let event = Event::Release(self.entry_of(number), release);
        self.home.handle(self.now, event);
    }

    /// Asks for one permit, and gives one back when there are enough; returns the ask's time.
    pub fn step(&mut self) -> Duration {
        self.now += Duration::from_micros(500);
        if self.held.len() >= self.in_flight {
            self.release_one();
        }
        let chat = self.rng.u64(..self.chats);
        let began = Instant::now();
        self.ask(chat);
        began.elapsed()
    }
}

/// Returns median and 99th percentile of a decision in microseconds.
pub fn decision_micros(engines: u32, chats: u64, teams: u32, entries: u32) -> (f64, f64) {
    let mut bench = HomeBench::new(engines, chats, teams, entries);
    let mut times: Vec<f64> = (0..DECISIONS).map(|_| bench.step().as_secs_f64() * 1e6).collect();
    (percentile(&mut times, 0.5), percentile(&mut times, 0.99))
}

/// Measures everything of this module.
pub fn measure() -> Vec<Figure> {
    let (p50, p99) = decision_micros(32, 30_000, 10, 8);
    let before = resident_mib(std::process::id());
    let mut memory = cartvane::zone::chat_locations::ChatLocations::new(4_000_000);
    for chat in 0..1_000_000_u64 {
        memory.put(ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15)), Tag(chat as u32 % 32));
        memory.take_unreplicated(1);
    }
    let grown = (resident_mib(std::process::id()) - before) * 1024.0 * 1024.0;
    vec![
        figure("permit decided, 32 engines, 30,000 chats, p50", p50, "us"),
        figure("permit decided, 32 engines, 30,000 chats, p99", p99, "us"),
        figure("memory of a remembered chat, at a million", grown / memory.len() as f64, "B"),
    ]
}
