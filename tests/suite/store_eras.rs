//! A store that comes back from a copy some seconds old: its versions go back and are given out again.

use std::{thread, time::Duration};

use cartvane::gateway::GatewayHandle;
use serde_json::json;
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{call, intent, route, spawn, start},
};

/// Time in which an instance looks at the store several times.
const SOME_LOOKS: Duration = Duration::from_millis(1500);

fn with_route(version: u64, name: &str) -> serde_json::Value {
    let mut intent = intent(version);
    intent["routes"].as_array_mut().expect("routes").push(route(name, "idempotent", "app"));
    intent
}

// The largest version of the store was kept over its return: each look was answered with 410 and led to a read of the
// whole configuration, until the store's counter had passed what it had been; rows written in between were never seen.
#[test]
fn a_change_written_after_the_return_is_in_force_soon_and_few_reads_are_whole() {
    let testbed = start(1);
    let copy = testbed.store.copy();
    for number in 0..200 {
        testbed.store.put("noise", &format!("k{number}"), &json!(1));
    }
    testbed.store.put("op", "config", &with_route(8, "lost"));
    eventually("the change is in force", || testbed.send(&call("/lost/", "a")).status == 200);
    testbed.store.come_back(copy);
    thread::sleep(SOME_LOOKS);
    let gateway = testbed.instance.gateway();
    assert_eq!(gateway.cluster_state.version(), 8, "what is in force does not go back");
    assert!(gateway.is_ready());
    let before = testbed.store.row_bytes("op");
    thread::sleep(SOME_LOOKS);
    let read = testbed.store.row_bytes("op") - before;
    assert!(read < intent(5).to_string().len(), "{read} bytes: it is read whole again and again");
    testbed.store.put("op", "config", &with_route(8, "lost"));
    testbed.store.put("op", "config", &with_route(11, "late"));
    eventually("the next change is in force", || testbed.send(&call("/late/", "b")).status == 200);
}

// As many versions are given out after the return as were lost: no look is ever answered with 410, and what was written
// in the meantime has versions that were seen before.
#[test]
fn versions_that_are_given_out_again_hide_no_change() {
    let testbed = start(1);
    let copy = testbed.store.copy();
    (0..5).for_each(|i| testbed.store.put("noise", &format!("k{i}"), &json!(1)));
    thread::sleep(SOME_LOOKS);
    testbed.store.come_back(copy);
    testbed.store.put("op", "config", &with_route(9, "again"));
    (0..9).for_each(|i| testbed.store.put("noise", &format!("k{i}"), &json!(2)));
    eventually("it is in force", || testbed.send(&call("/again/", "a")).status == 200);
}

#[test]
fn a_server_that_leaves_or_is_gone_stays_so_though_the_copy_lists_it() {
    let testbed = start(4);
    let [leaving, gone, lost, _] = &testbed.servers[..] else { panic!("four servers") };
    testbed.store.remove("servers", &lost.id);
    thread::sleep(SOME_LOOKS);
    let copy = testbed.store.copy();
    testbed.store.put("servers", &leaving.id, &leaving.entry("app", "draining"));
    testbed.store.remove("servers", &gone.id);
    // One that starts within the lost seconds: the copy does not know of it.
    testbed.store.put("servers", &lost.id, &lost.entry("app", "ready"));
    thread::sleep(SOME_LOOKS);
    testbed.store.come_back(copy);
    let before = [leaving, gone, lost].map(|server| server.arrivals().len());
    for round in 0..10 {
        thread::sleep(SOME_LOOKS / 10);
        for number in 0..8 {
            let id = format!("a{round}-{number}");
            assert_eq!(testbed.send(&call("/once/", &id)).status, 200);
        }
    }
    let after = [leaving, gone, lost].map(|server| server.arrivals().len());
    assert_eq!((after[0], after[1]), (before[0], before[1]), "what leaves gets nothing more");
    assert!(after[2] > before[2], "what started in the lost seconds is used on");
    // None of this for ever: what all write again, and what nobody does, is believed in the end.
    eventually("what the store says holds", || {
        let listed = testbed.instance.gateway().cluster_state.with_servers(|roster| {
            roster.servers().map(|server| server.id.server.to_string()).collect::<Vec<_>>()
        });
        listed.contains(&gone.id) && !listed.contains(&lost.id)
    });
}

#[test]
fn a_zone_that_was_being_emptied_stays_so_until_operators_have_had_time_to_write_it_again() {
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
    thread::sleep(SOME_LOOKS);
    store.come_back(copy);
    thread::sleep(SOME_LOOKS);
    let before = servers[0].arrivals().len();
    for number in 0..20 {
        assert_eq!(call("/once/", &format!("r{number}")).send(instance.callers()).status, 200);
    }
    assert_eq!(servers[0].arrivals().len(), before);
    eventually("it is believed in the end that nobody wants it emptied", || {
        call("/once/", "again").send(instance.callers());
        servers[0].arrivals().len() > before
    });
}

#[test]
fn instances_write_their_own_rows_again() {
    let testbed = start(1);
    let copy = StoreStandIn::spawn().expect("a store").copy();
    let second = spawn("two", testbed.store.address(), vec![testbed.instance.peers()]);
    let both: [&GatewayHandle; 2] = [&testbed.instance, &second];
    eventually("both know of both", || both.iter().all(|i| i.gateway().instances() == 2));
    testbed.store.come_back(copy);
    eventually("both rows are there", || testbed.store.keys("cartvane-instances").len() == 2);
}
