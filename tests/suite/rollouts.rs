//! Roll-outs: operators have a service's requests moved to backend servers of another version.

use std::{
    net::SocketAddr,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cartvane::{
    gateway::GatewayHandle,
    names::ServiceName,
    routing::{OperatorOrders, OrderChange, OrdersSnapshot, RolloutOrder, StoreEra, StoreVersion},
};
use serde_json::{Value, json};
use standins::{
    fault::Fault,
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, spawn},
};

/// Time that operators give a roll-out.
const TIME_LIMIT: Duration = Duration::from_secs(12);

/// Time that operators give a good version, and callers that ask meanwhile: a version needs forty answers, of a twenty-fifth of the
/// requests on a machine on which a request takes a tenth of a second.
const GOOD_TIME_LIMIT: Duration = Duration::from_secs(18);
const GOOD_CALLERS: usize = 24;

/// Time in which all instances stop by themselves, if word of the verdict is lost: for so long a share that was told holds.
const STOPS: Duration = Duration::from_millis(3000);

/// Parts of all requests, and requests beyond that, which a bad version may get: half of what operators allow.
const EXPOSURE_MAX: (f64, f64) = (0.05, 25.0);

/// Time after which no instance sends requests to a version in trial whose record nobody can renew: the lease, the time for which
/// a share that was told holds, and a request's own.
const UNHELD: Duration = Duration::from_millis(3000 + 2500 + 500);

/// Callers that ask one request after the other, and the pause of each between two.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(15);

/// A store, servers of two versions of one service, and instances.
struct Versions {
    store: StoreStandIn,
    old: Vec<Listed>,
    new: Vec<Listed>,
    instances: Vec<GatewayHandle>,
}

/// Callers that go on until they are stopped.
struct Load {
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<u16>>>,
}

fn entry(server: &Listed, version: &str) -> Value {
    let mut entry = server.entry("app", "ready");
    entry["version"] = version.into();
    entry
}

fn servers(store: &StoreStandIn, version: &str) -> Vec<Listed> {
    let server = |i| Listed::spawn(&format!("{version}-{i}")).expect("a server");
    let servers: Vec<Listed> = (0..3).map(server).collect();
    servers.iter().for_each(|server| store.put("servers", &server.id, &entry(server, version)));
    servers
}

fn start(instances: usize) -> Versions {
    let store = StoreStandIn::spawn().expect("a store");
    let old = servers(&store, "v1");
    store.put("op", "config", &intent(5));
    let mut running: Vec<GatewayHandle> = Vec::new();
    for number in 0..instances {
        let seeds = running.first().map(GatewayHandle::peers).into_iter().collect();
        running.push(spawn(&format!("n{number}"), store.address(), seeds));
    }
    eventually("all are ready and know of all", || {
        let mut all = running.iter().map(GatewayHandle::gateway);
        all.all(|gateway| gateway.is_ready() && gateway.instances() == instances)
    });
    Versions { store, old, new: Vec::new(), instances: running }
}

impl Versions {
    /// Orders a roll-out to v2, whose servers are listed right after.
    fn order(&mut self, fault: Option<Fault>) -> Instant {
        self.order_for(TIME_LIMIT, fault)
    }

    fn order_for(&mut self, time_limit: Duration, fault: Option<Fault>) -> Instant {
        let order = json!({"service": "app", "to": "v2", "duration_s": time_limit.as_secs_f64()});
        self.store.put("op", "rollout/app", &order);
        self.new = servers(&self.store, "v2");
        self.new.iter().for_each(|server| server.faults.set_standing(fault));
        Instant::now()
    }

    fn state(&self) -> String {
        let status = self.store.value("status", "rollout/app").unwrap_or_default();
        assert!(status.is_null() || status["to"] == "v2", "{status}");
        status["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns how many requests reached servers of the old and of the new version.
    fn arrivals(&self) -> (usize, usize) {
        let count = |servers: &[Listed]| servers.iter().map(|s| s.arrivals().len()).sum();
        (count(&self.old), count(&self.new))
    }

    fn load(&self) -> Load {
        self.load_at(0, CALLERS)
    }

    /// Has so many callers ask all instances but the first ones.
    fn load_at(&self, first: usize, callers: usize) -> Load {
        let instances = &self.instances[first..];
        let is_over = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicU32::new(0));
        let callers = (0..callers).map(|caller| {
            let to = instances[caller % instances.len()].callers();
            let (is_over, count) = (Arc::clone(&is_over), Arc::clone(&count));
            thread::spawn(move || ask_until(to, &is_over, &count))
        });
        Load { callers: callers.collect(), is_over }
    }
}

fn ask_until(to: SocketAddr, is_over: &AtomicBool, count: &AtomicU32) -> Vec<u16> {
    let mut statuses = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let path = ["/once/", "/stream/"][number as usize % 2];
        statuses.push(call(path, &format!("r{number}")).send(to).status);
        thread::sleep(PAUSE);
    }
    statuses
}

impl Load {
    /// Stops the callers, and returns the statuses that they got.
    fn stop(self) -> Vec<u16> {
        self.is_over.store(true, Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    }
}

// Operators ordered a version of a service and nothing read the order: its servers got their part of the requests at
// once, whether they answered well or not, and no status was ever written, neither for a good version nor a bad one.
#[test]
fn a_good_version_takes_over_in_time_and_no_request_is_lost() {
    let mut versions = start(3);
    let load = versions.load_at(0, GOOD_CALLERS);
    let ordered = versions.order_for(GOOD_TIME_LIMIT, None);
    eventually("it runs", || versions.state() == "running");
    eventually("it has come to its end", || versions.state() != "running");
    assert_eq!(
        versions.state(),
        "succeeded",
        "{}",
        log_lines::matching(&["rollout", "version_is_bad", "version_not_taken"])
    );
    assert!(ordered.elapsed() < GOOD_TIME_LIMIT);
    // As the platform does: the old servers stop without a word.
    versions.old.iter().for_each(|server| versions.store.remove("servers", &server.id));
    assert!(
        versions.old.iter().all(|server| server.in_flight() == 0),
        "nothing is under way there"
    );
    let before = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    let after = versions.arrivals();
    assert_eq!(after.0, before.0, "nothing goes to those that have stopped");
    assert!(after.1 > before.1);
    let statuses = load.stop();
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}

/// Has a version with a fault rolled out, and checks that few requests reach it and none after the verdict.
fn is_rolled_back(fault: Fault) {
    let mut versions = start(3);
    let load = versions.load();
    let ordered = versions.order(Some(fault));
    eventually("it is rolled back", || versions.state() == "rolled_back");
    assert!(ordered.elapsed() < TIME_LIMIT);
    thread::sleep(STOPS);
    let reached = versions.arrivals();
    thread::sleep(TIME_LIMIT.saturating_sub(ordered.elapsed()));
    let (old, new) = versions.arrivals();
    assert_eq!(new, reached.1, "nothing goes there once it is rolled back");
    let allowed = EXPOSURE_MAX.0 * (old + new) as f64 + EXPOSURE_MAX.1;
    assert!(new as f64 <= allowed, "{new} of {} requests", old + new);
    assert!(new > 0, "a version that gets nothing is not judged");
    load.stop();
}

#[test]
fn a_version_that_fails_is_rolled_back_before_many_requests_have_met_it() {
    is_rolled_back(Fault::ServerError);
}

#[test]
fn a_version_that_is_many_times_slower_is_rolled_back() {
    is_rolled_back(Fault::Late(Duration::from_millis(250)));
}

// Operators read "running" for ever of a version that was found bad while the store was away: it got nothing any more, but the
// write of the verdict had failed, and the thread that takes roll-outs further ended as nothing was open.
#[test]
fn a_version_that_turns_bad_while_the_store_is_away_gets_nothing_and_operators_learn_of_it() {
    let mut versions = start(3);
    let load = versions.load();
    versions.order(None);
    eventually("the new version is met", || versions.arrivals().1 > 0);
    versions.store.set_mode(StoreMode::Reset);
    versions.new.iter().for_each(|server| server.faults.set_standing(Some(Fault::ServerError)));
    thread::sleep(UNHELD);
    let (_, reached) = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    let (old, new) = versions.arrivals();
    assert_eq!(new, reached, "nothing goes there, by the verdict or as nobody holds the roll-out");
    assert!(new as f64 <= EXPOSURE_MAX.0 * (old + new) as f64 + EXPOSURE_MAX.1, "{new}");
    versions.store.set_mode(StoreMode::Up);
    eventually("it is written", || versions.state() == "rolled_back");
    load.stop();
}

#[test]
fn a_roll_out_goes_on_where_the_instance_that_takes_it_further_leaves() {
    let mut versions = start(3);
    versions.instances.sort_by_key(|instance| instance.gateway().peers.position().number);
    let load = versions.load_at(1, CALLERS);
    versions.order(Some(Fault::ServerError));
    eventually("the new version is met", || versions.arrivals().1 > 0);
    // The first in rank is the one that all turn to.
    let first = versions.instances.remove(0);
    let leaves = thread::spawn(move || first.drain());
    eventually("it is rolled back", || versions.state() == "rolled_back");
    thread::sleep(STOPS);
    let (_, reached) = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(versions.arrivals().1, reached, "nothing goes there once it is rolled back");
    load.stop();
    assert!(leaves.join().expect("an end"), "nothing was under way at the one that left");
}

#[test]
fn a_fleet_that_starts_again_goes_on_where_the_store_says() {
    let mut versions = start(2);
    let load = versions.load();
    versions.order(Some(Fault::ServerError));
    eventually("it is rolled back", || versions.state() == "rolled_back");
    load.stop();
    versions.instances.clear();
    let instance = spawn("again", versions.store.address(), Vec::new());
    eventually("it is ready", || instance.gateway().is_ready());
    let (_, before) = versions.arrivals();
    for number in 0..50 {
        let answer = call("/once/", &format!("again{number}")).send(instance.callers());
        assert_eq!(answer.status, 200);
    }
    assert_eq!(versions.arrivals().1, before, "the verdict outlives those that gave it");
    assert_eq!(versions.state(), "rolled_back");
}

#[test]
fn an_order_that_is_not_understood_is_passed_over() {
    let mut versions = start(1);
    let load = versions.load();
    versions.store.put_raw("op", "rollout/app", b"{\"service\": 3".to_vec());
    versions.store.put("op", "rollout/", &json!({"service": "", "to": "v2", "duration_s": 3}));
    versions.new = servers(&versions.store, "v2");
    eventually("the servers are used like any others", || versions.arrivals().1 > 0);
    assert_eq!(versions.state(), "");
    assert!(load.stop().iter().all(|&status| status == 200));
}

// An order was overwritten by something that was not understood. Who followed the changes passed it over; an instance that
// started read the table whole, found no order there, and told the others of it: the roll-out was withdrawn.
#[test]
fn an_order_goes_on_where_something_is_written_over_it_that_is_not_understood() {
    let (now, service) = (Instant::now(), ServiceName::from_str("app").expect("a name"));
    let as_of = |counter| StoreVersion { era: StoreEra(1), counter };
    let order = RolloutOrder { to: "v2".parse().expect("a version"), time_limit: TIME_LIMIT };
    let ordered = OrderChange::Rollout { service: service.clone(), order: Some(order.clone()) };
    let mut known = OperatorOrders::default();
    assert!(known.take(now, OrdersSnapshot::from_changes(as_of(4), [ordered])));
    let mut starts = OperatorOrders::default();
    let unparsed = OrderChange::Unparsed(service.clone());
    assert!(starts.take(now, OrdersSnapshot::from_changes(as_of(5), [unparsed])));
    assert!(known.take(now, starts.newest().clone()));
    assert_eq!(known.active(now).rollouts.get(&service), Some(&order), "it goes on");
    assert!(starts.take(now, known.newest().clone()), "the one that starts learns of it");
    assert_eq!(starts.active(now).rollouts.get(&service), Some(&order));
    let withdrawn = OrderChange::Rollout { service: service.clone(), order: None };
    assert!(known.apply_changes(now, as_of(6), [withdrawn]));
    assert!(known.active(now).rollouts.is_empty(), "what is removed is withdrawn");
}

/// Waits until servers of v2 have been met, and checks that they are not met any more a second after `change`.
fn gets_nothing_after(change: impl FnOnce(&Versions)) {
    let mut versions = start(2);
    let load = versions.load();
    versions.order(None);
    eventually("the new version is met", || versions.arrivals().1 > 0);
    change(&versions);
    thread::sleep(Duration::from_secs(1));
    let (old, new) = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    let after = versions.arrivals();
    assert_eq!(after.1, new, "a version that was never proven gets nothing");
    assert!(after.0 > old);
    assert!(load.stop().iter().all(|&status| status == 200));
}

#[test]
fn a_version_that_another_order_replaces_gets_nothing_more() {
    gets_nothing_after(|versions| {
        let order = json!({"service": "app", "to": "v3", "duration_s": TIME_LIMIT.as_secs_f64()});
        versions.store.put("op", "rollout/app", &order);
    });
}

#[test]
fn a_version_whose_order_is_withdrawn_gets_nothing_more() {
    gets_nothing_after(|versions| versions.store.remove("op", "rollout/app"));
}
