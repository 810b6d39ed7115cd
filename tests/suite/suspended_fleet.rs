//! Fleets of instances some of which are suspended while backend servers are removed from the list, or while the store
//! is unreachable.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cartvane::gateway::{Gateway, GatewayHandle};
use standins::{
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    log_lines,
    support::eventually,
    suspended::AdvancingClock,
    testbed::{call, intent, settings},
};

/// Time after the store's acknowledgement from which a removed server must receive nothing: the bound of these
/// instances, and half as much again for requests on their way.
const REMOVED_AFTER: Duration = Duration::from_millis(600);

const INSTANCES: usize = 4;

/// How long a suspension lasts: a list that is that old would be of an outage of the store.
const SUSPENSION: Duration = Duration::from_secs(4);

/// Log lines on changes of the list, for messages.
const LIST_EVENTS: [&str; 4] = ["list_gap", "server_added", "server_gone", "server_kept"];

struct Member {
    instance: GatewayHandle,
    clock: AdvancingClock,
}

impl Member {
    fn gateway(&self) -> &Gateway {
        self.instance.gateway()
    }

    fn lists(&self, server: &Listed) -> bool {
        self.gateway().cluster_state.with_servers(|roster| {
            roster.servers().any(|listed| listed.id.server.as_str() == server.id)
        })
    }
}

/// Instances with the same store and servers, each with its own clock.
struct Fleet {
    store: StoreStandIn,
    servers: Vec<Listed>,
    members: Vec<Member>,
}

impl Fleet {
    fn start(servers: usize) -> Fleet {
        log_lines::start();
        let servers: Vec<Listed> =
            (0..servers).map(|i| Listed::spawn(&format!("s{i}")).expect("a server")).collect();
        let store = StoreStandIn::spawn().expect("a store");
        for server in &servers {
            store.put("servers", &server.id, &server.entry("app", "ready"));
        }
        store.put("op", "config", &intent(5));
        let mut members: Vec<Member> = Vec::new();
        for i in 0..INSTANCES {
            let seeds: Vec<SocketAddr> =
                members.first().map(|first| first.instance.peers()).into_iter().collect();
            let clock = AdvancingClock::new();
            let settings = settings(&format!("i{i}"), store.address(), seeds);
            let instance = GatewayHandle::spawn(settings, &clock.clock).expect("an instance");
            members.push(Member { instance, clock });
        }
        eventually("all are ready and know each other", || {
            members.iter().all(|member| {
                member.gateway().is_ready() && member.gateway().peers.instances() == INSTANCES
            })
        });
        Fleet { store, servers, members }
    }

    /// Returns the instance of the highest rank, which reads the store for the others.
    fn aggregator(&self) -> usize {
        let is_first = |member: &Member| member.gateway().peers.position().number == 0;
        self.members.iter().position(is_first).expect("an instance of the highest rank")
    }

    fn suspend(&self, members: impl IntoIterator<Item = usize>) {
        members.into_iter().for_each(|member| self.members[member].clock.advance(SUSPENSION));
    }

    fn remove(&self, server: usize) {
        self.store.remove("servers", &self.servers[server].id);
    }

    /// Sends requests to all instances in turn, for `time`.
    fn send_for(&self, name: &str, time: Duration) {
        let until = Instant::now() + time;
        let mut sent = 0;
        while Instant::now() < until {
            let member = &self.members[sent % INSTANCES];
            call("/idem/x", &format!("{name}-{sent}")).send(member.instance.callers());
            sent += 1;
        }
    }

    /// Asserts that a server that has just been removed receives nothing later than [`REMOVED_AFTER`].
    fn assert_receives_nothing(&self, server: usize, what: &str) {
        self.send_for(&format!("{what}-on-their-way"), REMOVED_AFTER);
        let before = self.servers[server].arrivals().len();
        self.send_for(&format!("{what}-late"), Duration::from_secs(4));
        let late = self.servers[server].arrivals().len() - before;
        assert_eq!(late, 0, "{what}: late requests{}", log_lines::matching(&LIST_EVENTS));
    }
}

/// Guards against an instance that takes its own suspension for an outage of the store, and hands servers that are gone
/// on to others.
#[test]
fn a_removed_server_is_not_restored_by_an_instance_that_was_suspended() {
    let fleet = Fleet::start(6);
    let aggregator = fleet.aggregator();
    let other = (aggregator + 1) % INSTANCES;
    let cases: [(&str, Vec<usize>); 3] = [
        ("the aggregator is suspended", vec![aggregator]),
        ("another instance is suspended", vec![other]),
        ("both are suspended", vec![aggregator, other]),
    ];
    for (server, (what, suspended)) in cases.into_iter().enumerate() {
        fleet.remove(server);
        fleet.suspend(suspended);
        fleet.assert_receives_nothing(server, what);
    }
}

/// Guards against live servers that are dropped since their entries expired in an outage of the store, also at
/// instances that were suspended in it.
#[test]
fn entries_that_expired_in_an_outage_are_kept_although_an_instance_was_suspended() {
    let fleet = Fleet::start(4);
    let aggregator = fleet.aggregator();
    for (what, suspended) in [
        ("none is suspended", Vec::new()),
        ("the aggregator is suspended", vec![aggregator]),
        ("all but the aggregator are", (0..INSTANCES).filter(|i| *i != aggregator).collect()),
    ] {
        fleet.store.set_mode(StoreMode::Reset);
        thread::sleep(Duration::from_millis(3200));
        fleet.suspend(suspended);
        let expired = &fleet.servers[..2];
        expired.iter().for_each(|server| fleet.store.remove("servers", &server.id));
        fleet.store.set_mode(StoreMode::Up);
        let until = Instant::now() + Duration::from_millis(1500);
        while Instant::now() < until {
            for member in &fleet.members {
                let kept = expired.iter().all(|server| member.lists(server));
                let lines = || log_lines::matching(&LIST_EVENTS);
                assert!(kept, "{what}: {} drops one{}", member.gateway().settings.node, lines());
            }
            thread::sleep(Duration::from_millis(10));
        }
        for server in expired {
            fleet.store.put("servers", &server.id, &server.entry("app", "ready"));
        }
        let is_read = |member: &Member| {
            member.gateway().cluster_state.with_servers(|roster| roster.kept().count() == 0)
        };
        eventually("the entries are read again", || fleet.members.iter().all(is_read));
    }
}

/// Guards against an instance that takes its own suspension for the silence of all others, and removes their rows from
/// the table by which instances discover each other.
#[test]
fn rows_of_running_instances_are_not_removed_by_one_that_was_suspended() {
    let fleet = Fleet::start(2);
    let rows = || fleet.store.keys("cartvane-instances");
    eventually("all instances have written their rows", || rows().len() == INSTANCES);
    // Longer than any row may be stale; then suspensions one after the other, of which one ends as the table is read.
    let clock = &fleet.members[fleet.aggregator()].clock;
    clock.advance(Duration::from_secs(70));
    let until = Instant::now() + Duration::from_secs(11);
    while Instant::now() < until {
        clock.advance(SUSPENSION);
        thread::sleep(Duration::from_millis(100));
        assert_eq!(rows().len(), INSTANCES, "rows that are left: {:?}", rows());
    }
}
