//! A fleet whose servers crash when they begin to answer a request with a certain part in its prompt, beside sound
//! requests that share their caller and their other parts.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    gateway::{GatewayHandle, settings::GatewaySettings},
    utils::sync::lock,
};
use standins::{
    caller::{Answer, Call},
    listed::Listed,
    server::Received,
    store::StoreStandIn,
};

use crate::{
    log_lines,
    support::eventually,
    testbed::{KEY, intent, route, settings},
};

/// Pause between the crash of a server and the start of the one that replaces it.
const REPLACED_AFTER: Duration = Duration::from_secs(1);

/// Callers that send sound requests.
const SOUND_CALLERS: usize = 10;

/// Requests per second of each of them.
const SOUND_RATE: f64 = 5.0;

/// Where the crashing part is in its prompts.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Place {
    First,
    Middle,
    LastButOne,
}

/// What is sent to a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) place: Place,
    /// Number of parts that crash servers.
    pub(crate) parts: usize,
    /// Requests with each of them per second.
    pub(crate) rate: f64,
    /// How often its caller sends each.
    pub(crate) copies: usize,
    pub(crate) target: &'static str,
    pub(crate) duration: Duration,
    /// How long the address of a crashed server goes on to take connections.
    pub(crate) listens_on: Duration,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            place: Place::Middle,
            parts: 1,
            rate: 4.0,
            copies: 1,
            target: "/prompt/",
            duration: Duration::from_secs(11),
            listens_on: Duration::ZERO,
        }
    }
}

/// A response to a sound request.
struct SoundResponse {
    sent: Instant,
    served: bool,
}

/// Instances on one store, and servers that crash at parts of prompts and are replaced.
pub(crate) struct PartFleet {
    pub(crate) store: StoreStandIn,
    pub(crate) instances: Vec<GatewayHandle>,
    servers: Mutex<Vec<Server>>,
    sound: Mutex<Vec<SoundResponse>>,
    sent: AtomicUsize,
    scenario: Scenario,
}

struct Server {
    listed: Listed,
    /// When it was seen to have crashed.
    crashed: Option<Instant>,
    is_replaced: bool,
}

/// Returns the id of a crashing part.
pub(crate) fn crashing_part(number: usize) -> String {
    format!("dead{number}")
}

impl PartFleet {
    pub(crate) fn start(instances: usize, servers: usize, scenario: Scenario) -> PartFleet {
        log_lines::start();
        let store = StoreStandIn::spawn().expect("a store");
        store.put("op", "config", &sticky_intent());
        let mut fleet = PartFleet {
            store,
            instances: Vec::new(),
            servers: Mutex::default(),
            sound: Mutex::default(),
            sent: AtomicUsize::new(0),
            scenario,
        };
        (0..servers).for_each(|_| fleet.start_server());
        fleet.start_instances(instances, true);
        fleet
    }

    /// Starts instances in the place of those that run.
    pub(crate) fn start_instances(&mut self, count: usize, first_start: bool) {
        let names = ["one", "two", "three", "four"];
        let start = |name: &&str| {
            let settings = settings(name, self.store.address(), Vec::new());
            let settings = GatewaySettings { first_start, ..settings };
            GatewayHandle::spawn(settings, &Clock::system()).expect("an instance")
        };
        self.instances = names[..count].iter().map(start).collect();
        eventually("the instances know each other", || {
            let knows = |i: &GatewayHandle| {
                i.gateway().peers.instances() == count && i.gateway().is_ready()
            };
            self.instances.iter().all(knows)
        });
    }

    fn start_server(&self) {
        let mut servers = lock(&self.servers);
        let listed = Listed::spawn(&format!("s{}", servers.len())).expect("a server");
        listed.listens_on_for(self.scenario.listens_on);
        let after_events = usize::from(self.scenario.target.contains("stream"));
        (0..self.scenario.parts)
            .for_each(|number| listed.ends_at_part(&crashing_part(number), after_events));
        self.store.put("servers", &listed.id, &listed.entry("app", "ready"));
        servers.push(Server { listed, crashed: None, is_replaced: false });
    }

    /// Sends the requests of the scenario, and replaces the servers that crash meanwhile.
    pub(crate) fn play(&self) {
        let done = AtomicBool::new(false);
        thread::scope(|scope| {
            for caller in 0..SOUND_CALLERS {
                let done = &done;
                scope.spawn(move || self.send_sound(caller, done));
            }
            for number in 0..self.scenario.parts {
                let done = &done;
                scope.spawn(move || self.send_crashing(number, done));
            }
            let until = Instant::now() + self.scenario.duration;
            while Instant::now() < until {
                self.replace_crashed();
                thread::sleep(Duration::from_millis(10));
            }
            done.store(true, Ordering::SeqCst);
        });
    }

    fn replace_crashed(&self) {
        let now = Instant::now();
        let mut due = 0;
        for server in lock(&self.servers).iter_mut().filter(|server| !server.is_replaced) {
            if server.listed.has_ended() {
                let crashed = *server.crashed.get_or_insert(now);
                if now >= crashed + REPLACED_AFTER {
                    self.store.remove("servers", &server.listed.id);
                    server.is_replaced = true;
                    due += 1;
                }
            }
        }
        (0..due).for_each(|_| self.start_server());
    }

    fn send_sound(&self, caller: usize, done: &AtomicBool) {
        let mut number = caller;
        while !done.load(Ordering::SeqCst) {
            number += 7;
            let (branch, leaf) = (number % 6, number % 5);
            let sent = Instant::now();
            let answer = self.send(&format!("a0:90,b{branch}:80,c{branch}{leaf}:70"));
            let served = answer.status == 200 && answer.whole;
            lock(&self.sound).push(SoundResponse { sent, served });
            pause(sent, SOUND_RATE);
        }
    }

    fn send_crashing(&self, part: usize, done: &AtomicBool) {
        let mut number = part;
        while !done.load(Ordering::SeqCst) {
            number += 1;
            let sent = Instant::now();
            let prompt = self.crashing_prompt(part, number);
            let body = format!("own {part} {number}");
            (0..self.scenario.copies).for_each(|_| {
                self.send_with_body(&prompt, &body);
            });
            pause(sent, self.scenario.rate);
        }
    }

    /// Returns the shared parts of a prompt with a crashing part; the others are those of sound requests.
    pub(crate) fn crashing_prompt(&self, part: usize, number: usize) -> String {
        let part = crashing_part(part);
        let (branch, leaf) = (number % 6, number % 5);
        match self.scenario.place {
            Place::First => format!("{part}:90,b{branch}:80,c{branch}{leaf}:70"),
            Place::Middle => format!("a0:90,{part}:80,c{branch}{leaf}:70"),
            Place::LastButOne => format!("a0:90,b{branch}:80,{part}:70"),
        }
    }

    /// Sends a request with these shared parts and one of its own to a random instance.
    pub(crate) fn send(&self, shared: &str) -> Answer {
        let body = format!("own {}", self.sent.load(Ordering::SeqCst));
        self.send_with_body(shared, &body)
    }

    fn send_with_body(&self, shared: &str, body: &str) -> Answer {
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        let call = Call::post(self.scenario.target, KEY, body)
            .with("x-request-id", format!("r{number}"))
            .with("x-deadline-ms", 2000)
            .with("x-prefix-hash", format!("{shared},f{number:x}:20"));
        call.send(self.instances[fastrand::usize(..self.instances.len())].callers())
    }

    /// Returns the number of servers that have crashed.
    pub(crate) fn crashes(&self) -> usize {
        lock(&self.servers).iter().filter(|server| server.listed.has_ended()).count()
    }

    /// Returns when the fifth server crashed of the requests with a part.
    fn fifth_crash(&self, part: usize) -> Option<Instant> {
        let mut last: Vec<Instant> = lock(&self.servers)
            .iter()
            .filter(|server| server.listed.has_ended())
            .filter_map(|server| arrivals_with(&server.listed, part).into_iter().max())
            .collect();
        last.sort();
        last.get(4).copied()
    }

    /// Returns how many requests with a part reached servers later than `window` after its fifth crash.
    pub(crate) fn late_arrivals(&self, part: usize, window: Duration) -> usize {
        let Some(fifth) = self.fifth_crash(part) else { return 0 };
        let servers = lock(&self.servers);
        let arrivals = servers.iter().flat_map(|server| arrivals_with(&server.listed, part));
        arrivals.filter(|at| *at > fifth + window).count()
    }

    /// Returns the share of the sound requests that were served at the first attempt, of those sent later than `window`
    /// after the fifth crash of the last part.
    pub(crate) fn sound_share(&self, window: Duration) -> f64 {
        let fifth = (0..self.scenario.parts).filter_map(|part| self.fifth_crash(part)).max();
        let sound = lock(&self.sound);
        let after = |response: &&SoundResponse| fifth.is_none_or(|at| response.sent > at + window);
        let considered: Vec<&SoundResponse> = sound.iter().filter(after).collect();
        assert!(considered.len() >= 20, "{} sound requests", considered.len());
        let served = considered.iter().filter(|response| response.served).count();
        served as f64 / considered.len() as f64
    }
}

fn sticky_intent() -> serde_json::Value {
    let mut sticky = intent(5);
    let routes = sticky["routes"].as_array_mut().expect("routes");
    for (name, kind) in [("prompt", "idempotent"), ("stream-prompt", "streaming")] {
        let mut route = route(name, kind, "app");
        route["sticky_sessions"] = true.into();
        route["stream_resume"] = (kind == "streaming").into();
        routes.push(route);
    }
    sticky
}

fn arrivals_with(server: &Listed, part: usize) -> Vec<Instant> {
    let part = crashing_part(part);
    let has_part = |received: &Received| {
        let prompt = received.head.header("x-prefix-hash").unwrap_or_default();
        prompt.split(',').any(|entry| entry.split(':').next() == Some(&part))
    };
    server.arrivals().iter().filter(|received| has_part(received)).map(|r| r.at).collect()
}

fn pause(since: Instant, rate: f64) {
    let until = since + Duration::from_secs_f64(1.0 / rate);
    thread::sleep(until.saturating_duration_since(Instant::now()));
}
