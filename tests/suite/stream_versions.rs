//! Streams of a service whose servers have several software versions: each goes on only at the version that began it, in
//! one response and over the attempts of its caller.

use std::{collections::BTreeSet, sync::Arc, thread, time::Duration};

use cartvane::gateway::GatewayHandle;
use fastrand::Rng;
use serde_json::{Value, json};
use standins::{
    caller::Answer,
    fault::{Fault, Faults},
    listed::{EVENTS, Listed},
    store::StoreStandIn,
};

use crate::{
    support::{eventually, seed},
    testbed::{call, intent, route, spawn},
};

/// Attempts of a caller at one stream.
const ATTEMPTS: usize = 4;

/// Pause of a caller before it takes its stream up.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(20);

/// Several instances, and servers of several versions that share their faults.
pub(crate) struct Versions {
    pub(crate) store: StoreStandIn,
    pub(crate) servers: Vec<Listed>,
    pub(crate) faults: Arc<Faults>,
    pub(crate) instances: Vec<GatewayHandle>,
}

/// What a caller holds of a stream after all of its attempts.
#[derive(Debug, Default)]
pub(crate) struct Held {
    /// Numbers of the events, in the order in which they came.
    pub(crate) events: Vec<usize>,
    /// Versions that made them.
    pub(crate) versions: BTreeSet<String>,
    /// Whether one response held events of several versions.
    pub(crate) is_mixed_in_one: bool,
    /// Attempts that took the stream up, and those that brought an event or the end.
    pub(crate) taken_up: usize,
    pub(crate) went_on: usize,
    /// Whether the stream came to its end.
    pub(crate) is_whole: bool,
    /// Status and body of each attempt without a stream.
    pub(crate) refusals: Vec<(u16, String)>,
}

/// Returns an intent with one resumable streaming route; a server may break off many of its streams in a row.
fn streaming_intent() -> Value {
    let mut intent = intent(5);
    let mut stream = route("stream-resumable", "streaming", "app");
    stream["stream_resume"] = true.into();
    stream["max_attempts"] = 2.into();
    intent["routes"] = json!([stream]);
    intent
}

impl Versions {
    /// Starts servers with these versions and as many instances.
    pub(crate) fn start(versions: &[&str], instances: usize) -> Versions {
        let faults: Arc<Faults> = Arc::default();
        let server = |(i, version): (usize, &&str)| {
            let server = Listed::spawn_sharing(&format!("s{i}"), Arc::clone(&faults));
            let server = server.expect("a server");
            server.set_version(version);
            server
        };
        let servers: Vec<Listed> = versions.iter().enumerate().map(server).collect();
        let store = StoreStandIn::spawn().expect("a store");
        store.put("op", "config", &streaming_intent());
        let mut fleet = Versions { store, servers, faults, instances: Vec::new() };
        (0..versions.len()).for_each(|server| fleet.list(server));
        (0..instances).for_each(|number| fleet.start_instance(&format!("i{number}")));
        fleet.wait_for_peers();
        fleet
    }

    /// Writes the entry of a server, with many slots.
    pub(crate) fn list(&self, server: usize) {
        let mut entry = self.servers[server].entry("app", "ready");
        entry["slots"] = 500.into();
        self.store.put("servers", &self.servers[server].id, &entry);
    }

    /// Starts one more instance.
    pub(crate) fn start_instance(&mut self, name: &str) {
        let seeds = self.instances.iter().map(GatewayHandle::peers).take(1).collect();
        let instance = spawn(name, self.store.address(), seeds);
        eventually("the instance is ready", || instance.gateway().is_ready());
        self.instances.push(instance);
    }

    pub(crate) fn wait_for_peers(&self) {
        let count = self.instances.len();
        eventually("all instances know each other", || {
            self.instances.iter().all(|instance| instance.gateway().peers.instances() == count)
        });
    }

    /// Breaks off part of the runs at drawn events.
    pub(crate) fn break_runs(&self, rng: &mut Rng, runs: usize, share: f64) {
        let fault = |_| match rng.f64() < share {
            true => Fault::BreakInside(rng.usize(1..EVENTS), 3),
            false => Fault::None,
        };
        let drawn: Vec<Fault> = (0..runs).map(fault).collect();
        self.faults.push(drawn);
    }

    /// Sends one attempt at a stream to an instance.
    pub(crate) fn attempt(
        &self,
        instance: usize,
        id: &str,
        take_up: Option<(&str, usize)>,
    ) -> Answer {
        let mut call = call("/stream-resumable/?marked=1", id).with("connection", "close");
        if let Some((first, last_event)) = take_up {
            call = call.with("resumes", first).with("last-event-id", last_event);
        }
        call.send(self.instances[instance].callers())
    }

    /// Receives a stream, which is taken up at another instance each time that it breaks off.
    pub(crate) fn receive(&self, name: &str, rng: &mut Rng) -> Held {
        let mut held = Held::default();
        let mut first: Option<String> = None;
        let mut instance = rng.usize(..self.instances.len());
        for number in 0..ATTEMPTS {
            let id = format!("{name}-{number}");
            let take_up = first.as_deref().map(|first| (first, held.events.len()));
            let answer = self.attempt(instance, &id, take_up);
            held.add(&answer, take_up.is_some());
            if held.is_whole {
                break;
            }
            if first.is_none() && !held.events.is_empty() {
                first = Some(id);
            }
            let others = (0..self.instances.len()).filter(|other| *other != instance);
            instance = rng.choice(others.collect::<Vec<_>>()).unwrap_or(instance);
            thread::sleep(TAKE_UP_PAUSE);
        }
        held
    }

    /// Receives streams from several callers at once.
    pub(crate) fn receive_all(&self, count: usize, base: u64) -> Vec<Held> {
        const CALLERS: usize = 8;
        thread::scope(|scope| {
            let caller = |caller: usize| {
                let mut rng = Rng::with_seed(seed(base + caller as u64));
                let names = (caller..count).step_by(CALLERS);
                names.map(|n| self.receive(&format!("r{base}-{n}"), &mut rng)).collect::<Vec<_>>()
            };
            let threads: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || caller(n))).collect();
            threads.into_iter().flat_map(|thread| thread.join().expect("a caller")).collect()
        })
    }
}

impl Held {
    /// Adds the events of one attempt.
    fn add(&mut self, answer: &Answer, is_take_up: bool) {
        self.taken_up += usize::from(is_take_up);
        if answer.status != 200 {
            self.refusals.push((answer.status, answer.text()));
            return;
        }
        let text = answer.text();
        let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let mut versions = BTreeSet::new();
        for event in complete.split("\n\n").filter(|event| !event.is_empty()) {
            let (id, data) = event.split_once('\n').expect("two lines");
            self.events.push(id.trim_start_matches("id: ").parse().expect("a number"));
            versions.insert(data.trim_start_matches("data: ").to_owned());
        }
        self.is_mixed_in_one |= versions.len() > 1;
        self.went_on += usize::from(is_take_up && (answer.whole || !versions.is_empty()));
        self.versions.extend(versions);
        self.is_whole = answer.whole;
    }
}

/// Checks that no stream holds events of two versions, or an event twice or none.
pub(crate) fn assert_versions_kept(streams: &[Held]) {
    let mixed_in_one = streams.iter().filter(|held| held.is_mixed_in_one).count();
    let mixed = streams.iter().filter(|held| held.versions.len() > 1).count();
    assert_eq!(
        (mixed_in_one, mixed),
        (0, 0),
        "in one response, over attempts, of {}",
        streams.len()
    );
    for held in streams {
        let expected: Vec<usize> = (1..=held.events.len()).collect();
        assert_eq!(held.events, expected, "{held:?}");
        assert!(!held.is_whole || held.events.len() == EVENTS, "{held:?}");
    }
}

/// Returns the share of the attempts to take up a stream that went on.
pub(crate) fn share_that_went_on(streams: &[Held]) -> f64 {
    let taken_up: usize = streams.iter().map(|held| held.taken_up).sum();
    let went_on: usize = streams.iter().map(|held| held.went_on).sum();
    went_on as f64 / taken_up.max(1) as f64
}

/// Guards against a response that an instance goes on with at a server of another version.
#[test]
fn no_response_holds_events_of_two_versions() {
    let fleet = Versions::start(&["v1", "v1.2", "v1", "v1.2"], 2);
    fleet.break_runs(&mut Rng::with_seed(seed(60)), 500, 0.45);
    let streams = fleet.receive_all(100, 60_000);
    assert_eq!(streams.iter().filter(|held| held.is_mixed_in_one).count(), 0);
    let resumed = streams.iter().filter(|held| held.is_whole && held.taken_up == 0).count();
    assert!(resumed > 60, "{resumed} of 100 came whole in one response");
}

/// Guards against streams with events of two versions, and against instances that refuse to take streams up.
#[test]
fn a_stream_goes_on_at_the_version_that_began_it() {
    let fleet = Versions::start(&["v1", "v1.2", "v1", "v1.2", "v1", "v1.2", "v1", "v1.2"], 4);
    fleet.break_runs(&mut Rng::with_seed(seed(61)), 2000, 0.45);
    let streams = fleet.receive_all(240, 61_000);
    assert_versions_kept(&streams);
    let share = share_that_went_on(&streams);
    assert!(share >= 0.9, "{share:.2} of the streams that were taken up went on");
}

/// Guards against a stream that goes on at another version since no other server of its own is left.
#[test]
fn a_stream_whose_version_has_no_other_server_ends_visibly() {
    let fleet = Versions::start(&["v1", "v1.2", "v1.2", "v1.2"], 3);
    fleet.break_runs(&mut Rng::with_seed(seed(62)), 2000, 0.6);
    let streams = fleet.receive_all(72, 62_000);
    assert_versions_kept(&streams);
}
