//! A store that is restored from a copy some seconds old: its version counter goes back, and versions are assigned
//! twice.

use std::{thread, time::Duration};

use cartvane::gateway::GatewayHandle;
use serde_json::json;
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{call, intent, route, spawn, start},
};

/// Time in which an instance polls the store several times.
const SEVERAL_POLLS: Duration = Duration::from_millis(1500);

fn with_route(version: u64, name: &str) -> serde_json::Value {
    let mut intent = intent(version);
    intent["routes"].as_array_mut().expect("routes").push(route(name, "idempotent", "app"));
    intent
}

// Guards against an instance that keeps the largest version it has received over the restore. Each poll was answered
// with 410 and led to a read of the whole configuration, until the store's counter had passed that version. Changes
// written in between were never noticed.
#[test]
fn a_change_written_after_the_restore_becomes_active_without_repeated_full_reads() {
    let testbed = start(1);
    let copy = testbed.store.copy();
    for number in 0..200 {
        testbed.store.put("noise", &format!("k{number}"), &json!(1));
    }
    testbed.store.put("op", "config", &with_route(8, "lost"));
    eventually("the change is active", || testbed.send(&call("/lost/", "a")).status == 200);
    testbed.store.come_back(copy);
    thread::sleep(SEVERAL_POLLS);
    let gateway = testbed.instance.gateway();
    assert_eq!(gateway.cluster_state.version(), 8, "the active intent does not go back");
    assert!(gateway.is_ready());
    let before = testbed.store.row_bytes("op");
    thread::sleep(SEVERAL_POLLS);
    let read = testbed.store.row_bytes("op") - before;
    assert!(
        read < intent(5).to_string().len(),
        "{read} bytes: the whole intent is read repeatedly"
    );
    testbed.store.put("op", "config", &with_route(8, "lost"));
    testbed.store.put("op", "config", &with_route(11, "late"));
    eventually("the next change is active", || testbed.send(&call("/late/", "b")).status == 200);
}

// After the restore, as many versions are assigned as were lost: no poll is answered with 410, and changes written
// meanwhile have versions that were received before.
#[test]
fn versions_that_are_assigned_twice_hide_no_change() {
    let testbed = start(1);
    let copy = testbed.store.copy();
    (0..5).for_each(|i| testbed.store.put("noise", &format!("k{i}"), &json!(1)));
    thread::sleep(SEVERAL_POLLS);
    testbed.store.come_back(copy);
    testbed.store.put("op", "config", &with_route(9, "again"));
    (0..9).for_each(|i| testbed.store.put("noise", &format!("k{i}"), &json!(2)));
    eventually("the change is active", || testbed.send(&call("/again/", "a")).status == 200);
}

#[test]
fn leaving_and_removed_servers_stay_unused_though_the_copy_lists_them() {
    let testbed = start(4);
    let [leaving, removed, unlisted, _] = &testbed.servers[..] else { panic!("four servers") };
    testbed.store.remove("servers", &unlisted.id);
    thread::sleep(SEVERAL_POLLS);
    let copy = testbed.store.copy();
    testbed.store.put("servers", &leaving.id, &leaving.entry("app", "draining"));
    testbed.store.remove("servers", &removed.id);
    // This server starts within the lost seconds: the copy does not list it.
    testbed.store.put("servers", &unlisted.id, &unlisted.entry("app", "ready"));
    thread::sleep(SEVERAL_POLLS);
    testbed.store.come_back(copy);
    let before = [leaving, removed, unlisted].map(|server| server.arrivals().len());
    for round in 0..10 {
        thread::sleep(SEVERAL_POLLS / 10);
        for number in 0..8 {
            let id = format!("a{round}-{number}");
            assert_eq!(testbed.send(&call("/once/", &id)).status, 200);
        }
    }
    let after = [leaving, removed, unlisted].map(|server| server.arrivals().len());
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1]),
        "leaving and removed servers receive no requests"
    );
    assert!(after[2] > before[2], "a server that started in the lost seconds is still used");
    // After some time the instance accepts the restored list: it has the removed server, and lacks the unlisted one.
    eventually("the store's list applies", || {
        let listed = testbed.instance.gateway().cluster_state.with_servers(|roster| {
            roster.servers().map(|server| server.id.server.to_string()).collect::<Vec<_>>()
        });
        listed.contains(&removed.id) && !listed.contains(&unlisted.id)
    });
}

#[test]
fn an_evacuation_stays_active_until_operators_have_had_time_to_order_it_again() {
    let store = StoreStandIn::spawn().expect("a store");
    let servers = ["north", "south"].map(|zone| Listed::spawn(zone).expect("a server"));
    for server in &servers {
        let mut entry = server.entry("app", "ready");
        entry["zone"] = server.id.as_str().into();
        store.put("servers", &server.id, &entry);
    }
    store.put("op", "config", &intent(5));
    let instance = spawn("one", store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    let copy = store.copy();
    store.put("op", "evacuate/north", &json!({}));
    thread::sleep(SEVERAL_POLLS);
    store.come_back(copy);
    thread::sleep(SEVERAL_POLLS);
    let before = servers[0].arrivals().len();
    for number in 0..20 {
        assert_eq!(call("/once/", &format!("r{number}")).send(instance.callers()).status, 200);
    }
    assert_eq!(servers[0].arrivals().len(), before);
    eventually("the evacuation ends, since it was not ordered again", || {
        call("/once/", "again").send(instance.callers());
        servers[0].arrivals().len() > before
    });
}

#[test]
fn instances_write_their_rows_again_after_a_restore() {
    let testbed = start(1);
    let copy = StoreStandIn::spawn().expect("a store").copy();
    let second = spawn("two", testbed.store.address(), vec![testbed.instance.peers()]);
    let both: [&GatewayHandle; 2] = [&testbed.instance, &second];
    eventually("both instances know each other", || {
        both.iter().all(|i| i.gateway().instances() == 2)
    });
    testbed.store.come_back(copy);
    eventually("both rows are written", || testbed.store.keys("cartvane-instances").len() == 2);
}
