//! Servers that fall over when they have to reject too many requests.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::gateway::GatewayHandle;
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{call, intent, spawn},
};

/// Slots of a server, and how long a request occupies one.
const SLOTS: u32 = 6;
const RUN_TIME: Duration = Duration::from_millis(60);

/// Rejections in a second beyond which a server falls over.
const REJECTIONS: u32 = 6;

const SERVERS: usize = 4;
const INSTANCES: usize = 6;

/// Callers that each send one request after the other: three times as many as there are slots.
const CALLERS: usize = 72;

/// Guards against a fleet that sends brittle servers more than they have room for: each rejected request is retried at
/// another server, until all have fallen over.
#[test]
fn brittle_servers_do_not_fall_over_when_more_requests_come_than_they_serve() {
    let store = StoreStandIn::spawn().expect("a store");
    let servers: Vec<Listed> =
        (0..SERVERS).map(|i| Listed::spawn(&format!("s{i}")).expect("a server")).collect();
    for server in &servers {
        let mut entry = server.entry("app", "ready");
        entry["slots"] = SLOTS.into();
        store.put("servers", &server.id, &entry);
        server.limit_slots(SLOTS, RUN_TIME);
        server.make_brittle(REJECTIONS);
    }
    store.put("op", "config", &intent(5));
    let mut instances: Vec<GatewayHandle> = Vec::new();
    for i in 0..INSTANCES {
        let seeds = instances.first().map(GatewayHandle::peers).into_iter().collect();
        instances.push(spawn(&format!("i{i}"), store.address(), seeds));
    }
    eventually("all know each other", || {
        let knows = |i: &GatewayHandle| i.gateway().peers.instances() == INSTANCES;
        instances.iter().all(|i| i.gateway().is_ready() && knows(i))
    });
    // All instances learn that the servers are brittle.
    for n in 0..10 * INSTANCES {
        call("/idem/", &format!("calm-{n}")).send(instances[n % INSTANCES].callers());
        thread::sleep(Duration::from_millis(5));
    }
    let before: u32 = servers.iter().map(Listed::falls).sum();
    let end = Instant::now() + Duration::from_secs(4);
    let served: usize = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                let to = instances[n % INSTANCES].callers();
                scope.spawn(move || {
                    let mut served = 0;
                    for sent in 0.. {
                        if Instant::now() >= end {
                            break;
                        }
                        let answer = call("/idem/", &format!("surge-{n}-{sent}")).send(to);
                        served += usize::from(answer.status == 200);
                        thread::sleep(Duration::from_millis(50));
                    }
                    served
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller")).sum()
    });
    let rejected: usize = servers.iter().map(Listed::rejected).sum();
    let falls = servers.iter().map(Listed::falls).sum::<u32>() - before;
    // The operators' bound: two, and a tenth of the servers.
    assert!(falls <= 2, "{falls} falls, {rejected} rejected, {served} served");
    // What is refused to spare the servers is no more than an overloaded service may refuse.
    let most = 4.0 * SERVERS as f64 * f64::from(SLOTS) / RUN_TIME.as_secs_f64();
    assert!(served as f64 > 0.4 * most, "{served} served of at most {most}, {rejected} rejected");
}
