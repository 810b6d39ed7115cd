//! Streams of a service whose servers have several software versions: each goes on only at the version that began it, in
//! one response and over the attempts of its caller.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, thread, time::Duration};

use cartvane::gateway::{GatewayHandle, settings::GatewaySettings};
use fastrand::Rng;
use serde_json::{Value, json};
use standins::{
    caller::Answer,
    fault::{Fault, Faults},
    held_stream::HeldStream,
    listed::{EVENTS, Listed},
    store::StoreStandIn,
};

use crate::{
    support::{cases, eventually, seed},
    testbed::{KEY, call, intent, route, settings, spawn_with},
};

/// Attempts of a caller at one stream.
const ATTEMPTS: usize = 4;

/// Pause of a caller before it resumes its stream.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// Several instances, and servers of several versions that share their faults.
pub(crate) struct Versions {
    pub(crate) store: StoreStandIn,
    servers: Vec<Listed>,
    pub(crate) faults: Arc<Faults>,
    pub(crate) instances: Vec<GatewayHandle>,
}

/// What a caller holds of a stream after all of its attempts, and what became of these.
#[derive(Debug, Default)]
struct Held {
    stream: HeldStream,
    /// Attempts to resume the stream, and those that brought an event or the end.
    resumptions: usize,
    went_on: usize,
    /// Status and body of each attempt without a stream.
    refusals: Vec<(u16, String)>,
}

/// Returns an intent with one resumable streaming route; a server may break off many of its streams in a row.
pub(crate) fn streaming_intent() -> Value {
    let mut intent = intent(5);
    let mut stream = route("stream-resumable", "streaming", "app");
    stream["stream_resume"] = true.into();
    stream["max_attempts"] = 2.into();
    intent["routes"] = json!([stream]);
    intent["tenants"] = json!([
        {"name": "crew", "api_keys": [KEY], "priority": 3},
        {"name": "port", "api_keys": [OTHER_KEY], "priority": 3}
    ]);
    intent
}

/// Sends one attempt at a stream to the instance with this address. `resumption` has the id of the first attempt and the
/// number of the last event.
pub(crate) fn attempt(to: SocketAddr, id: &str, resumption: Option<(&str, usize)>) -> Answer {
    let mut call = call("/stream-resumable/?marked=1", id).with("connection", "close");
    if let Some((first, last_event)) = resumption {
        call = call.with("resumes", first).with("last-event-id", last_event);
    }
    call.send(to)
}

impl Versions {
    /// Starts servers with these versions and as many instances.
    pub(crate) fn start(versions: &[&str], instances: usize) -> Versions {
        let store = StoreStandIn::spawn().expect("a store");
        store.put("op", "config", &streaming_intent());
        let faults = Arc::default();
        let mut fleet = Versions { store, servers: Vec::new(), faults, instances: Vec::new() };
        versions.iter().for_each(|version| fleet.add_server(version));
        (0..versions.len()).for_each(|server| fleet.list(server));
        (0..instances).for_each(|number| fleet.start_instance(&format!("i{number}")));
        fleet.wait_for_peers();
        fleet
    }

    /// Writes the entry of a server, with many slots.
    pub(crate) fn list(&self, server: usize) {
        self.list_in(server, "app");
    }

    /// Writes the entry of a server of a service.
    pub(crate) fn list_in(&self, server: usize, service: &str) {
        let mut entry = self.servers[server].entry(service, "ready");
        entry["slots"] = 500.into();
        self.store.put("servers", &self.servers[server].id, &entry);
    }

    /// Starts one more server, which is not listed yet.
    pub(crate) fn add_server(&mut self, version: &str) {
        let name = format!("s{}", self.servers.len());
        let server = Listed::spawn_sharing(&name, Arc::clone(&self.faults)).expect("a server");
        server.set_version(version);
        self.servers.push(server);
    }

    /// Removes the entry of a server.
    pub(crate) fn unlist(&self, server: usize) {
        self.store.remove("servers", &self.servers[server].id);
    }

    /// Starts one more instance with all others.
    fn start_instance(&mut self, name: &str) {
        self.spawn_instance(name, true);
    }

    /// Starts one more instance while others run.
    fn restart_instance(&mut self, name: &str) {
        self.spawn_instance(name, false);
    }

    pub(crate) fn spawn_instance(&mut self, name: &str, first_start: bool) {
        let seeds = self.instances.iter().map(GatewayHandle::peers).take(1).collect();
        let settings = settings(name, self.store.address(), seeds);
        let instance = spawn_with(GatewaySettings { first_start, ..settings });
        eventually("the instance is ready", || instance.gateway().is_ready());
        self.instances.push(instance);
    }

    fn wait_for_peers(&self) {
        let count = self.instances.len();
        eventually("all instances know each other", || {
            self.instances.iter().all(|instance| instance.gateway().peers.instances() == count)
        });
    }

    /// Breaks off part of the runs at drawn events.
    fn break_runs(&self, rng: &mut Rng, runs: usize, share: f64) {
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
        resumption: Option<(&str, usize)>,
    ) -> Answer {
        attempt(self.instances[instance].callers(), id, resumption)
    }

    /// Sends one attempt to go on after the third event of a stream whose first attempt is not named.
    pub(crate) fn attempt_unnamed(&self, instance: usize, id: &str) -> Answer {
        let call = call("/stream-resumable/?marked=1", id).with("connection", "close");
        call.with("last-event-id", 3).send(self.instances[instance].callers())
    }

    /// Receives a stream, which is resumed at another instance each time that it breaks off.
    fn receive(&self, name: &str, rng: &mut Rng) -> Held {
        let mut held = Held::default();
        let mut first: Option<String> = None;
        let mut instance = rng.usize(..self.instances.len());
        for number in 0..ATTEMPTS {
            let id = format!("{name}-{number}");
            let resumption = first.as_deref().map(|first| (first, held.stream.events.len()));
            let answer = self.attempt(instance, &id, resumption);
            held.add(&answer, resumption.is_some());
            if held.stream.is_whole {
                break;
            }
            if first.is_none() && !held.stream.events.is_empty() {
                first = Some(id);
            }
            let others = (0..self.instances.len()).filter(|other| *other != instance);
            instance = rng.choice(others.collect::<Vec<_>>()).unwrap_or(instance);
            thread::sleep(RESUME_PAUSE);
        }
        held
    }

    /// Receives streams from several callers at once.
    fn receive_all(&self, count: usize, base: u64) -> Vec<Held> {
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
    fn add(&mut self, answer: &Answer, is_resumption: bool) {
        let went_on = self.stream.add(answer);
        self.resumptions += usize::from(is_resumption);
        self.went_on += usize::from(is_resumption && went_on);
        if answer.status != 200 {
            self.refusals.push((answer.status, answer.text()));
        }
    }
}

/// Checks that no stream holds events of two versions, or an event twice or none.
fn assert_versions_kept(streams: &[Held]) {
    let mixed_in_one = streams.iter().filter(|held| held.stream.is_mixed_in_one).count();
    let mixed = streams.iter().filter(|held| held.stream.versions.len() > 1).count();
    assert_eq!(
        (mixed_in_one, mixed),
        (0, 0),
        "in one response, over attempts, of {}",
        streams.len()
    );
    for held in streams {
        assert_eq!(held.stream.fault(), None, "{held:?}");
    }
}

/// Returns the share of the attempts to resume a stream that went on.
fn share_that_went_on(streams: &[Held]) -> f64 {
    let resumptions: usize = streams.iter().map(|held| held.resumptions).sum();
    let went_on: usize = streams.iter().map(|held| held.went_on).sum();
    went_on as f64 / resumptions.max(1) as f64
}

/// Guards against a response that an instance goes on with at a server of another version.
#[test]
fn no_response_holds_events_of_two_versions() {
    let fleet = Versions::start(&["v1", "v1.2", "v1", "v1.2"], 2);
    fleet.break_runs(&mut Rng::with_seed(seed(60)), 500, 0.45);
    let streams = fleet.receive_all(100, 60_000);
    assert_eq!(streams.iter().filter(|held| held.stream.is_mixed_in_one).count(), 0);
    let resumed =
        streams.iter().filter(|held| held.stream.is_whole && held.resumptions == 0).count();
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
    assert!(share >= 0.9, "{share:.2} of the attempts to resume a stream went on");
}

/// Guards against a stream that goes on at another version since no other server of its own is left.
#[test]
fn a_stream_whose_version_has_no_other_server_ends_visibly() {
    let fleet = Versions::start(&["v1", "v1.2", "v1.2", "v1.2"], 3);
    fleet.break_runs(&mut Rng::with_seed(seed(62)), 2000, 0.6);
    let streams = fleet.receive_all(72, 62_000);
    assert_versions_kept(&streams);
}

/// A second team, which may not resume the streams of the first.
const OTHER_KEY: &str = "key-of-port";

/// Returns what an instance says of one attempt: the status, whether it may be retried, and whether it ran.
pub(crate) fn refusal_of(fleet: &Versions, answer: &Answer, id: &str) -> (u16, bool, u32) {
    let runs = fleet.servers.iter().map(|server| server.runs(id)).sum();
    (answer.status, !answer.header("retry-after").is_empty(), runs)
}

/// Begins a stream at an instance, which breaks off after three events and is not resumed; returns its version.
pub(crate) fn begin(fleet: &Versions, instance: usize, id: &str) -> String {
    // Two runs are allowed for one attempt, and both break off.
    fleet.faults.push([Fault::BreakInside(3, 3), Fault::BreakInside(0, 3)]);
    let answer = fleet.attempt(instance, id, None);
    fleet.faults.clear();
    let mut held = HeldStream::default();
    held.add(&answer);
    assert_eq!((held.events.len(), held.is_whole), (3, false), "{held:?}");
    held.versions.pop_first().expect("a version")
}

/// Resumes a stream after its third event; returns the versions that its caller holds then.
pub(crate) fn resume(
    fleet: &Versions,
    instance: usize,
    id: &str,
    first: &str,
) -> Result<Vec<String>, Box<Answer>> {
    let answer = fleet.attempt(instance, id, Some((first, 3)));
    let mut held = HeldStream::default();
    held.add(&answer);
    if held.is_whole { Ok(held.versions.into_iter().collect()) } else { Err(Box::new(answer)) }
}

/// Guards against knowledge that is lost with the instance that began a stream, or not there at one that has just
/// started.
#[test]
fn a_stream_is_resumed_at_a_new_instance_after_the_first_one_was_killed() {
    let mut fleet = Versions::start(&["v1", "v2", "v1", "v2", "v3", "v3"], 5);
    let begun: Vec<String> = (0..12).map(|n| begin(&fleet, n % 2, &format!("b{n}"))).collect();
    assert!(begun.iter().collect::<BTreeSet<_>>().len() > 1, "{begun:?}");
    fleet.instances.drain(..2);
    fleet.restart_instance("i9");
    let newest = fleet.instances.len() - 1;
    eventually("the new instance knows the others", || {
        fleet.instances[newest].gateway().peers.instances() >= 4
    });
    let mut went_on = 0;
    for (n, version) in begun.iter().enumerate() {
        let (id, first) = (format!("t{n}"), format!("b{n}"));
        match resume(&fleet, newest, &id, &first) {
            Ok(versions) => {
                assert_eq!(versions, [version.as_str()], "{first}");
                went_on += 1;
            }
            Err(answer) => assert_eq!(refusal_of(&fleet, &answer, &id), (503, true, 0), "{first}"),
        }
    }
    assert!(went_on >= 11, "{went_on} of 12 went on");
}

/// Guards against a caller that joins a stream of which nobody knows the version: by an id that is made up, of another
/// team or missing.
#[test]
fn a_stream_of_unknown_version_is_refused_as_not_run() {
    let fleet = Versions::start(&["v1", "v2", "v1", "v2"], 3);
    let version = begin(&fleet, 0, "b");
    let stream = |id: &str| call("/stream-resumable/?marked=1", id).with("connection", "close");
    let mut other_team = stream("t1").with("resumes", "b").with("last-event-id", 3);
    other_team.headers[0].1 = format!("Bearer {OTHER_KEY}");
    let calls = [
        ("t1", other_team),
        ("t2", stream("t2").with("resumes", "made-up").with("last-event-id", 3)),
        ("t3", stream("t3").with("last-event-id", 3)),
        ("t4", stream("t4").with("resumes", "made-up")),
    ];
    for (id, call) in calls {
        let began = std::time::Instant::now();
        let answer = call.send(fleet.instances[1].callers());
        assert_eq!(refusal_of(&fleet, &answer, id), (503, true, 0), "{id}: {}", answer.text());
        assert!(began.elapsed() < Duration::from_millis(500), "{id}: refused at once");
    }
    // Without an event of its own, a stream that is named begins anew, at the version of the one that it names.
    let anew = stream("t5").with("resumes", "b").send(fleet.instances[2].callers());
    assert!(anew.text().contains(&version) && anew.whole, "{}", anew.text());
    assert_eq!(resume(&fleet, 2, "t6", "b").expect("it goes on"), [version]);
}

/// Guards against messages, records and waits on days with one version, and against a second one that appears while a
/// stream runs.
#[test]
fn nothing_is_recorded_while_there_is_one_version() {
    let mut fleet = Versions::start(&["v1", "v1", "v1"], 3);
    let records = |fleet: &Versions| -> usize {
        fleet.instances.iter().map(|i| i.gateway().stream_versions.records()).sum()
    };
    fleet.break_runs(&mut Rng::with_seed(seed(63)), 200, 0.3);
    let calm = fleet.receive_all(30, 63_000);
    fleet.faults.clear();
    assert_eq!(records(&fleet), 0);
    assert!(calm.iter().all(|held| held.refusals.is_empty()), "{calm:?}");
    fleet.add_server("v2");
    fleet.add_server("v2");
    // A stream that began before pauses while the other version appears, goes on, and breaks off.
    fleet.faults.push([Fault::PauseAfter(2, Duration::from_millis(1500))]);
    thread::scope(|scope| {
        let running = scope.spawn(|| fleet.attempt(0, "b", None));
        thread::sleep(Duration::from_millis(100));
        fleet.list(3);
        fleet.list(4);
        eventually("all instances see both versions", || {
            fleet.instances.iter().all(|i| i.gateway().stream_versions.may_record())
        });
        assert!(running.join().expect("a caller").whole);
    });
    for instance in 1..3 {
        let id = format!("t{instance}");
        assert_eq!(resume(&fleet, instance, &id, "b").expect("it goes on"), ["v1"]);
    }
    fleet.unlist(0);
    fleet.unlist(1);
    fleet.unlist(2);
    eventually("the version has left", || {
        fleet
            .instances
            .iter()
            .all(|i| i.gateway().cluster_state.with_servers(|r| r.servers().count()) == 2)
    });
    let answer = resume(&fleet, 1, "t9", "b").expect_err("its version has left");
    assert_eq!(refusal_of(&fleet, &answer, "t9"), (503, true, 0), "{}", answer.text());
}

/// Guards against versions that are joined, and against too many refusals, under random versions, breaks and instances
/// that stop and start.
#[test]
fn streams_keep_their_version_whichever_instances_stop() {
    for case in 0..cases(6) {
        let base = 64_000 + case * 100;
        let mut rng = Rng::with_seed(seed(base));
        let names = ["v1", "v2", "v3"];
        let versions: Vec<&str> =
            (0..rng.usize(4..9)).map(|n| names[if n < 2 { 0 } else { rng.usize(..3) }]).collect();
        let mut fleet = Versions::start(&versions, rng.usize(3..6));
        let share = 0.2 + 0.5 * rng.f64();
        let mut streams = Vec::new();
        for round in 0..3 {
            fleet.break_runs(&mut rng, 1000, share);
            streams.extend(fleet.receive_all(40, base * 10 + round));
            fleet.faults.clear();
            let stopped = rng.usize(..fleet.instances.len());
            drop(fleet.instances.remove(stopped));
            if rng.bool() {
                fleet.restart_instance(&format!("n{round}"));
            }
        }
        assert_versions_kept(&streams);
        let refused = streams.iter().flat_map(|held| &held.refusals);
        let unknown = refused.filter(|(_, text)| text.contains("not known")).count();
        let resumptions: usize = streams.iter().map(|held| held.resumptions).sum();
        assert!(
            unknown * 10 <= resumptions + 10,
            "case {case}: {unknown} of {resumptions} not known"
        );
    }
}
