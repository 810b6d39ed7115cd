//! Streams that are resumed at an instance which is out of step: it has stood still, or was cut off from the store and the
//! other instances, while servers of a second software version were listed and streams began there.

use std::{
    fmt,
    net::{SocketAddr, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::json;
use standins::{fault::Fault, held_stream::HeldStream, store::StoreMode};

use crate::{
    moved_streams::{OTHER_SERVICE, split_intent},
    process::{Process, boot, file},
    stream_versions::{Versions, attempt, refusal_of},
    support::eventually,
};

const INSTANCES: usize = 4;

/// The versions of the servers: those of the second are listed while an instance is out of step.
const FIRST: &str = "v1";
const SECOND: &str = "v2";

/// The servers of the second version.
const SECOND_SERVERS: [&str; 2] = ["s2", "s3"];

/// Streams at least that are resumed in one case.
const STREAMS: usize = 24;

/// Time in which callers have sent their requests to an instance that stands still.
const SENDING_TIME: Duration = Duration::from_millis(50);

/// Callers that begin streams at the same time.
const CALLERS: usize = 8;

/// Events that a server sends before it breaks off a stream.
const BREAK_AFTER: usize = 2;

/// Datagrams that fill the receive buffer of a process that stands still, so that further ones are lost.
const FILLING_DATAGRAMS: usize = 4000;

/// Instances as processes, the first of which reads the store for the others, and servers of one version.
struct Fleet {
    versions: Versions,
    processes: Vec<Process>,
    /// Loopback address of each instance.
    hosts: Vec<[u8; 4]>,
}

/// A stream that began and broke off.
struct Begun {
    id: String,
    held: HeldStream,
}

/// What became of the attempts to resume streams.
#[derive(Default)]
struct Resumed {
    went_on: usize,
    refused: usize,
    /// Streams of which the caller holds events of two versions.
    joined: usize,
}

impl fmt::Display for Resumed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resumed { went_on, refused, joined } = self;
        write!(f, "{went_on} went on, {refused} refused, {joined} joined")
    }
}

impl Fleet {
    /// Starts a fleet; `number` sets its addresses apart from those of other fleets of this crate.
    fn start(number: u8) -> Fleet {
        let versions = Versions::start(&[FIRST, FIRST], 0);
        let third = (std::process::id() % 250) as u8;
        let hosts: Vec<[u8; 4]> =
            (0..INSTANCES).map(|n| [127, 130 + number, third, n as u8 + 1]).collect();
        let processes = (0..INSTANCES).map(|n| start_process(&versions, &hosts, n)).collect();
        let fleet = Fleet { versions, processes, hosts };
        fleet.processes.iter().for_each(|process| drop(process.wait_for("intent_in_force")));
        // An instance that has written its row has asked the first one before, which knows it since then.
        eventually("all instances have written their rows", || {
            fleet.versions.store.keys("cartvane-instances").len() == INSTANCES
        });
        thread::sleep(Duration::from_secs(1));
        fleet
    }

    fn signal(&self, instances: &[usize], signal: Signal) {
        instances.iter().for_each(|&instance| self.processes[instance].signal(signal));
    }

    /// Has datagrams be lost that are sent to instances which stand still.
    fn lose_datagrams(&self, instances: &[usize]) {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        for &instance in instances {
            let to = SocketAddr::from((self.hosts[instance], CONTROL_PORT));
            for _ in 0..FILLING_DATAGRAMS {
                socket.send_to(b"-", to).expect("sent");
            }
        }
    }

    /// Lists servers of the second version.
    fn list_second_version(&mut self) {
        SECOND_SERVERS.iter().for_each(|_| self.versions.add_server(SECOND));
        (2..2 + SECOND_SERVERS.len()).for_each(|server| self.versions.list(server));
    }

    /// Leads the streams to servers of the second version, which are those of another service.
    fn move_route(&mut self) {
        for server in 2..2 + SECOND_SERVERS.len() {
            self.versions.add_server(SECOND);
            self.versions.list_in(server, OTHER_SERVICE);
        }
        self.versions.store.put("op", "config", &split_intent(6, &[(OTHER_SERVICE, 1)]));
    }

    /// Begins streams through some instances, which break off; returns `count` that began at the second version.
    fn begin_at_second_version(&self, through: &[usize], count: usize) -> Vec<Begun> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut begun = Vec::new();
        self.versions.faults.set_standing(Some(Fault::BreakInside(BREAK_AFTER, 3)));
        for round in 0.. {
            assert!(Instant::now() < until, "{} streams began at the second version", begun.len());
            let streams = in_parallel((0..CALLERS).collect(), |caller| {
                let id = format!("b{round}-{caller}");
                let mut held = HeldStream::default();
                let instance = through[caller % through.len()];
                held.add(&attempt(self.callers(instance), &id, None));
                Begun { id, held }
            });
            begun.extend(streams.into_iter().filter(|begun| begun.held.versions.contains(SECOND)));
            if begun.len() >= count {
                break;
            }
        }
        self.versions.faults.set_standing(None);
        assert!(begun.iter().all(|begun| !begun.held.is_whole), "all broke off");
        begun
    }

    fn callers(&self, instance: usize) -> SocketAddr {
        SocketAddr::from((self.hosts[instance], CALLERS_PORT))
    }

    /// Resumes streams at some instances. A stream that is refused has not run and may be retried.
    fn resume(&self, at: &[usize], begun: Vec<Begun>) -> Resumed {
        let numbered = begun.into_iter().enumerate().collect();
        let streams = in_parallel(numbered, |(number, Begun { id: first, mut held })| {
            let id = format!("{first}-resumed");
            let resumption = Some((first.as_str(), held.events.len()));
            let answer = attempt(self.callers(at[number % at.len()]), &id, resumption);
            if answer.status != 200 {
                let refusal = refusal_of(&self.versions, &answer, &id);
                assert_eq!(refusal, (503, true, 0), "{id}: {}", answer.text());
            }
            let went_on = held.add(&answer);
            (id, held, went_on)
        });
        let mut resumed = Resumed::default();
        for (id, held, went_on) in streams {
            match held.fault() {
                None if went_on => resumed.went_on += 1,
                None => resumed.refused += 1,
                Some(_) if held.versions.len() > 1 => resumed.joined += 1,
                Some(fault) => panic!("{id}: {fault}"),
            }
        }
        resumed
    }
}

/// Ports of all instances, which have addresses of their own.
const CALLERS_PORT: u16 = 7000;
const CONTROL_PORT: u16 = 7002;

fn start_process(versions: &Versions, hosts: &[[u8; 4]], number: usize) -> Process {
    let address = |port| SocketAddr::from((hosts[number], port)).to_string();
    let mut settings = boot(versions.store.address());
    settings["node_name"] = format!("i{number}").into();
    settings["bootstrap"] = true.into();
    settings["listen"] = json!({
        "frontend": address(CALLERS_PORT), "readiness": address(7001),
        "control": address(CONTROL_PORT)
    });
    settings["seeds"] = json!([SocketAddr::from((hosts[0], CONTROL_PORT)).to_string()]);
    // The strongest instance is the first by rank.
    settings["limits"]["cores"] = (1.0 - 0.1 * number as f64).into();
    let path = file(&format!("out-of-step-{}-{number}", hosts[0][1]), &settings.to_string());
    let process = Process::start(&path);
    process.wait_for("started");
    std::fs::remove_file(path).expect("the file is removed");
    process
}

/// Handles all items at the same time.
fn in_parallel<T: Send, R: Send>(items: Vec<T>, handle: impl Fn(T) -> R + Sync) -> Vec<R> {
    let handle = &handle;
    thread::scope(|scope| {
        let threads: Vec<_> =
            items.into_iter().map(|item| scope.spawn(move || handle(item))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a thread")).collect()
    })
}

/// Checks the results of several cases.
fn assert_none_joined(results: &[(String, Resumed)]) {
    let texts: Vec<String> =
        results.iter().map(|(case, resumed)| format!("{case}: {resumed}")).collect();
    assert!(results.iter().all(|(_, resumed)| resumed.joined == 0), "{}", texts.join("\n"));
}

/// Guards against an instance that takes the versions on its list of some seconds ago for all there are: cut off since
/// then, it goes on at the first version with streams that began at the second.
#[test]
fn an_instance_that_is_cut_off_joins_no_versions() {
    let modes = [StoreMode::Busy, StoreMode::Silent].into_iter().enumerate().collect();
    let results = in_parallel(modes, |(number, mode)| {
        let mut fleet = Fleet::start(number as u8);
        let (others, cut_off) = ([0, 1, 2], [3]);
        fleet.signal(&cut_off, Signal::STOP);
        let began = Instant::now();
        fleet.lose_datagrams(&cut_off);
        fleet.list_second_version();
        let begun = fleet.begin_at_second_version(&others, STREAMS);
        // As it runs again, neither the store nor another instance responds to it.
        fleet.signal(&others, Signal::STOP);
        fleet.versions.store.set_mode(mode);
        fleet.signal(&cut_off, Signal::CONT);
        let case = format!("store {mode:?}, {:?} after the cut", began.elapsed());
        (case, fleet.resume(&cut_off, begun))
    });
    assert_none_joined(&results);
}

/// Guards against an instance out of step that asks another one, whose list is as old, and that vouches for the one
/// version on it.
#[test]
fn instances_that_are_cut_off_together_do_not_vouch_for_each_other() {
    let mut fleet = Fleet::start(2);
    let (others, cut_off) = ([0, 1], [2, 3]);
    fleet.signal(&cut_off, Signal::STOP);
    fleet.lose_datagrams(&cut_off);
    // After that time an instance does not rely on its own list.
    thread::sleep(Duration::from_millis(3500));
    fleet.list_second_version();
    let begun = fleet.begin_at_second_version(&others, STREAMS);
    fleet.signal(&others, Signal::STOP);
    fleet.versions.store.set_mode(StoreMode::Busy);
    fleet.signal(&cut_off, Signal::CONT);
    assert_none_joined(&[("two cut off".to_owned(), fleet.resume(&cut_off, begun))]);
}

/// Guards against an instance that resumes streams in its first moments after it stood still, before it has read the
/// list again.
#[test]
fn a_process_that_stood_still_during_a_release_joins_no_versions() {
    let pauses = [700, 1500, 2600].map(Duration::from_millis);
    let cases = pauses.into_iter().enumerate().collect();
    let results = in_parallel(cases, |(number, pause)| {
        let mut fleet = Fleet::start(3 + number as u8);
        let stopped = [number];
        let others: Vec<usize> = (0..INSTANCES).filter(|other| *other != number).collect();
        fleet.signal(&stopped, Signal::STOP);
        let began = Instant::now();
        fleet.list_second_version();
        let begun = fleet.begin_at_second_version(&others, STREAMS);
        thread::sleep(pause.saturating_sub(began.elapsed()));
        // Its callers have sent their requests as it wakes.
        let resumed = thread::scope(|scope| {
            let resuming = scope.spawn(|| fleet.resume(&stopped, begun));
            thread::sleep(SENDING_TIME);
            fleet.signal(&stopped, Signal::CONT);
            resuming.join().expect("the callers")
        });
        (format!("i{number} stood still for {pause:?}"), resumed)
    });
    assert_none_joined(&results);
}

/// Guards against an instance that goes on at the former service with streams of a route that was moved while it stood
/// still.
#[test]
fn a_process_that_stood_still_while_a_route_was_moved_joins_no_services() {
    let mut fleet = Fleet::start(7);
    let (others, stopped) = ([0, 1, 2], [3]);
    fleet.signal(&stopped, Signal::STOP);
    fleet.move_route();
    let begun = fleet.begin_at_second_version(&others, STREAMS);
    let resumed = thread::scope(|scope| {
        let resuming = scope.spawn(|| fleet.resume(&stopped, begun));
        thread::sleep(SENDING_TIME);
        fleet.signal(&stopped, Signal::CONT);
        resuming.join().expect("the callers")
    });
    assert_none_joined(&[("moved".to_owned(), resumed)]);
}

/// Guards against an instance that takes the one registered version for the only one, while the store takes no writes and
/// others use a second version that could not be registered.
#[test]
fn a_process_that_stood_still_joins_no_version_that_could_not_be_registered() {
    let mut fleet = Fleet::start(8);
    let (others, stopped) = ([0, 1, 2], [3]);
    fleet.signal(&stopped, Signal::STOP);
    fleet.versions.store.refuse_writes();
    fleet.list_second_version();
    let begun = fleet.begin_at_second_version(&others, STREAMS);
    let resumed = thread::scope(|scope| {
        let resuming = scope.spawn(|| fleet.resume(&stopped, begun));
        thread::sleep(SENDING_TIME);
        fleet.signal(&stopped, Signal::CONT);
        resuming.join().expect("the callers")
    });
    assert_none_joined(&[("unregistered".to_owned(), resumed)]);
}

/// Guards against an instance that refuses to resume streams although it has the new list again.
#[test]
fn an_instance_that_is_in_step_again_resumes_streams_at_their_version() {
    let mut fleet = Fleet::start(6);
    let (others, stopped) = ([0, 1, 2], [3]);
    fleet.signal(&stopped, Signal::STOP);
    fleet.list_second_version();
    let begun = fleet.begin_at_second_version(&others, 2 * STREAMS);
    let count = begun.len();
    fleet.signal(&stopped, Signal::CONT);
    eventually("the instance has the new list", || {
        let added = fleet.processes[3].events("server_added");
        SECOND_SERVERS.iter().all(|server| added.iter().any(|line| line["server"] == **server))
    });
    let resumed = fleet.resume(&stopped, begun);
    let text = resumed.to_string();
    assert!(resumed.went_on * 10 >= count * 9, "{text}");
    assert_none_joined(&[("in step".to_owned(), resumed)]);
}
