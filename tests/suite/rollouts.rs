//! Roll-outs: on an operator's order, a service's requests move to backend servers of another version.

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
    routing::{
        ExposureLimit, OperatorOrders, OrderChange, OrdersSnapshot, RolloutOrder, StoreEra,
        StoreVersion,
    },
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
    testbed::{call, intent, settings, spawn, spawn_with},
};

/// Time limit that operators set for a roll-out.
const TIME_LIMIT: Duration = Duration::from_secs(12);

/// Limit on the requests of a bad version, for the test of a good one: with it a trial has half of the requests if there
/// are few. A version needs 40 responses within the time limit. With the usual limit these take more than 500 requests,
/// and a busy machine has served fewer.
const GOOD_EXPOSURE_LIMIT: ExposureLimit = ExposureLimit { share: 0.1, slack: 500.0 };

/// Time after which no instance sends requests to a version that was rolled back, even if the update is lost: the share
/// of a trial expires by then.
const SHARE_EXPIRED: Duration = Duration::from_millis(3000);

/// Part of all requests, and number of requests beyond it, that a bad version may get: half of what operators allow.
const EXPOSURE_SHARE_MAX: f64 = 0.05;
const EXPOSURE_SLACK_MAX: f64 = 25.0;

/// Time after which no instance sends requests to a version in trial whose record nobody can renew: the lease, the time
/// to live of a share, and the duration of a request.
const LEASE_EXPIRED: Duration = Duration::from_millis(3000 + 2500 + 500);

/// Number of callers that send one request after the other, and the pause of each between two requests.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(15);

/// A store, servers of two versions of one service, and instances.
struct Versions {
    store: StoreStandIn,
    old: Vec<Listed>,
    new: Vec<Listed>,
    instances: Vec<GatewayHandle>,
}

/// Callers that send requests until they are stopped.
struct Load {
    is_stopped: Arc<AtomicBool>,
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
    start_with(instances, None)
}

/// Starts instances with this limit on the requests of a bad version, or the usual one.
fn start_with(instances: usize, limit: Option<ExposureLimit>) -> Versions {
    let store = StoreStandIn::spawn().expect("a store");
    let old = servers(&store, "v1");
    store.put("op", "config", &intent(5));
    let mut running: Vec<GatewayHandle> = Vec::new();
    for number in 0..instances {
        let seeds = running.first().map(GatewayHandle::peers).into_iter().collect();
        let mut cfg = settings(&format!("n{number}"), store.address(), seeds);
        cfg.bounds.rollouts = limit.unwrap_or(cfg.bounds.rollouts);
        running.push(spawn_with(cfg));
    }
    eventually("all instances are ready and know each other", || {
        let mut all = running.iter().map(GatewayHandle::gateway);
        all.all(|gateway| gateway.is_ready() && gateway.instances() == instances)
    });
    Versions { store, old, new: Vec::new(), instances: running }
}

impl Versions {
    /// Orders a roll-out to v2, whose servers are listed right after.
    fn order(&mut self, fault: Option<Fault>) -> Instant {
        let order = json!({"service": "app", "to": "v2", "duration_s": TIME_LIMIT.as_secs_f64()});
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
        self.load_at(0)
    }

    /// Starts callers that send requests to all instances except the first ones.
    fn load_at(&self, first: usize) -> Load {
        let instances = &self.instances[first..];
        let is_stopped = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicU32::new(0));
        let callers = (0..CALLERS).map(|caller| {
            let to = instances[caller % instances.len()].callers();
            let (is_stopped, count) = (Arc::clone(&is_stopped), Arc::clone(&count));
            thread::spawn(move || send_until_stopped(to, &is_stopped, &count))
        });
        Load { callers: callers.collect(), is_stopped }
    }
}

fn send_until_stopped(to: SocketAddr, is_stopped: &AtomicBool, count: &AtomicU32) -> Vec<u16> {
    let mut statuses = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let path = ["/once/", "/stream/"][number as usize % 2];
        statuses.push(call(path, &format!("r{number}")).send(to).status);
        thread::sleep(PAUSE);
    }
    statuses
}

impl Load {
    /// Stops the callers, and returns the statuses that they received.
    fn stop(self) -> Vec<u16> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    }
}

// Guards against orders that are not read: the new servers then get their part of the requests at once, whether the
// version is good or bad, and no status is ever written.
#[test]
fn a_good_version_takes_over_in_time_and_no_request_is_lost() {
    let mut versions = start_with(3, Some(GOOD_EXPOSURE_LIMIT));
    let load = versions.load();
    let ordered = versions.order(None);
    eventually("the roll-out runs", || versions.state() == "running");
    eventually("the roll-out is complete", || versions.state() != "running");
    assert_eq!(
        versions.state(),
        "succeeded",
        "{}",
        log_lines::matching(&["rollout", "version_is_bad", "version_not_taken"])
    );
    assert!(ordered.elapsed() < TIME_LIMIT);
    // As on the platform, the old servers stop without an announcement.
    versions.old.iter().for_each(|server| versions.store.remove("servers", &server.id));
    assert!(
        versions.old.iter().all(|server| server.in_flight() == 0),
        "no request is in flight at the old servers"
    );
    let before = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    let after = versions.arrivals();
    assert_eq!(after.0, before.0, "servers that have stopped get no requests");
    assert!(after.1 > before.1);
    let statuses = load.stop();
    let others: Vec<u16> = statuses.into_iter().filter(|&status| status != 200).collect();
    let causes = || log_lines::matching(&["event=attempt_failed", "status=5", "status=4"]);
    assert!(others.is_empty(), "{others:?}{}", causes());
}

/// Rolls out a version with a fault, and checks that few requests reach it and none after it is rolled back.
fn check_rolled_back(fault: Fault) {
    let mut versions = start(3);
    let load = versions.load();
    let ordered = versions.order(Some(fault));
    eventually("the version is rolled back", || versions.state() == "rolled_back");
    assert!(ordered.elapsed() < TIME_LIMIT);
    thread::sleep(SHARE_EXPIRED);
    let reached = versions.arrivals();
    thread::sleep(TIME_LIMIT.saturating_sub(ordered.elapsed()));
    let (old, new) = versions.arrivals();
    assert_eq!(new, reached.1, "a version that was rolled back gets no requests");
    let allowed = EXPOSURE_SHARE_MAX * (old + new) as f64 + EXPOSURE_SLACK_MAX;
    assert!(new as f64 <= allowed, "{new} of {} requests", old + new);
    assert!(new > 0, "a version without requests cannot be evaluated");
    load.stop();
}

#[test]
fn a_version_that_fails_is_rolled_back_before_it_gets_many_requests() {
    check_rolled_back(Fault::ServerError);
}

#[test]
fn a_version_that_is_many_times_slower_is_rolled_back() {
    check_rolled_back(Fault::Late(Duration::from_millis(250)));
}

// Guards against a status that stays "running" after a version was found bad while the store was away: the version gets
// no more requests, but the write of the verdict fails, and the controller must not stop before it has succeeded.
#[test]
fn a_version_that_turns_bad_while_the_store_is_away_gets_no_requests_and_its_status_is_written() {
    let mut versions = start(3);
    let load = versions.load();
    versions.order(None);
    eventually("the new version gets requests", || versions.arrivals().1 > 0);
    versions.store.set_mode(StoreMode::Reset);
    versions.new.iter().for_each(|server| server.faults.set_standing(Some(Fault::ServerError)));
    thread::sleep(LEASE_EXPIRED);
    let (_, reached) = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    let (old, new) = versions.arrivals();
    assert_eq!(new, reached, "no requests, by the verdict or since the lease has expired");
    assert!(new as f64 <= EXPOSURE_SHARE_MAX * (old + new) as f64 + EXPOSURE_SLACK_MAX, "{new}");
    versions.store.set_mode(StoreMode::Up);
    eventually("the verdict is written", || versions.state() == "rolled_back");
    load.stop();
}

#[test]
fn a_roll_out_continues_when_its_controller_leaves() {
    let mut versions = start(3);
    versions.instances.sort_by_key(|instance| instance.gateway().peers.position().number);
    let load = versions.load_at(1);
    versions.order(Some(Fault::ServerError));
    eventually("the new version gets requests", || versions.arrivals().1 > 0);
    // The first instance in rank is the aggregator and controller.
    let first = versions.instances.remove(0);
    let draining = thread::spawn(move || first.drain());
    eventually("the version is rolled back", || versions.state() == "rolled_back");
    thread::sleep(SHARE_EXPIRED);
    let (_, reached) = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(versions.arrivals().1, reached, "a version that was rolled back gets no requests");
    load.stop();
    assert!(
        draining.join().expect("a drain"),
        "no request was in flight at the instance that left"
    );
}

#[test]
fn a_fleet_that_restarts_continues_from_the_store() {
    let mut versions = start(2);
    let load = versions.load();
    versions.order(Some(Fault::ServerError));
    eventually("the version is rolled back", || versions.state() == "rolled_back");
    load.stop();
    versions.instances.clear();
    let instance = spawn("again", versions.store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    let (_, before) = versions.arrivals();
    for number in 0..50 {
        let response = call("/once/", &format!("again{number}")).send(instance.callers());
        assert_eq!(response.status, 200);
    }
    assert_eq!(versions.arrivals().1, before, "the verdict outlives the instances that made it");
    assert_eq!(versions.state(), "rolled_back");
}

#[test]
fn an_order_that_cannot_be_parsed_is_skipped() {
    let mut versions = start(1);
    let load = versions.load();
    versions.store.put_raw("op", "rollout/app", b"{\"service\": 3".to_vec());
    versions.store.put("op", "rollout/", &json!({"service": "", "to": "v2", "duration_s": 3}));
    versions.new = servers(&versions.store, "v2");
    eventually("the servers are used like any others", || versions.arrivals().1 > 0);
    assert_eq!(versions.state(), "");
    assert!(load.stop().iter().all(|&status| status == 200));
}

// Guards against withdrawing a roll-out when its order is overwritten by something that cannot be parsed. Instances
// that follow changes skip it, but an instance that starts reads the whole table, finds no order, and propagates that.
#[test]
fn an_order_stays_active_when_it_is_overwritten_by_something_that_cannot_be_parsed() {
    let (now, service) = (Instant::now(), ServiceName::from_str("app").expect("a name"));
    let as_of = |counter| StoreVersion { era: StoreEra(1), counter };
    let order = RolloutOrder { to: "v2".parse().expect("a version"), time_limit: TIME_LIMIT };
    let ordered = OrderChange::Rollout { service: service.clone(), order: Some(order.clone()) };
    let mut known = OperatorOrders::default();
    assert!(known.take(now, OrdersSnapshot::from_changes(as_of(4), [ordered])));
    let mut starting = OperatorOrders::default();
    let unparsed = OrderChange::Unparsed(service.clone());
    assert!(starting.take(now, OrdersSnapshot::from_changes(as_of(5), [unparsed])));
    assert!(known.take(now, starting.newest().clone()));
    assert_eq!(known.active(now).rollouts.get(&service), Some(&order), "the order stays active");
    assert!(starting.take(now, known.newest().clone()), "the starting instance adopts the order");
    assert_eq!(starting.active(now).rollouts.get(&service), Some(&order));
    let withdrawn = OrderChange::Rollout { service: service.clone(), order: None };
    assert!(known.apply_changes(now, as_of(6), [withdrawn]));
    assert!(known.active(now).rollouts.is_empty(), "an order that is removed is withdrawn");
}

/// Waits until servers of v2 get requests, and checks that they get none from a second after `change` on.
fn check_no_requests_after(change: impl FnOnce(&Versions)) {
    let mut versions = start(2);
    let load = versions.load();
    versions.order(None);
    eventually("the new version gets requests", || versions.arrivals().1 > 0);
    change(&versions);
    thread::sleep(Duration::from_secs(1));
    let (old, new) = versions.arrivals();
    thread::sleep(Duration::from_secs(1));
    let after = versions.arrivals();
    assert_eq!(after.1, new, "a version that was never proven gets no requests");
    assert!(after.0 > old);
    assert!(load.stop().iter().all(|&status| status == 200));
}

#[test]
fn a_version_whose_order_is_replaced_gets_no_more_requests() {
    check_no_requests_after(|versions| {
        let order = json!({"service": "app", "to": "v3", "duration_s": TIME_LIMIT.as_secs_f64()});
        versions.store.put("op", "rollout/app", &order);
    });
}

#[test]
fn a_version_whose_order_is_withdrawn_gets_no_more_requests() {
    check_no_requests_after(|versions| versions.store.remove("op", "rollout/app"));
}
