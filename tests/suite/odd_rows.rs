//! Odd figures and rows that another writer has put among those of the platform: they are bounded or skipped, and what
//! else is listed stays in use.

use std::time::Instant;

use cartvane::{
    adapter::{responses, servers, store::StoreRow},
    routing::{Load, LoadReport},
};
use serde_json::{Value, json};
use standins::listed::Listed;

use crate::{
    notices::head,
    support::eventually,
    testbed::{self, Testbed, call},
};

fn entry() -> Value {
    json!({
        "service": "app", "address": "10.0.0.1:80", "zone": "north", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1
    })
}

fn row(value: &Value) -> StoreRow {
    let value = value.to_string().into_bytes();
    StoreRow { key: "a".to_owned(), value, version: 1, removed: false }
}

/// Lists a further server, waits until the instance has it, and sends it away again.
fn assert_list_is_followed(bed: &Testbed, id: &str) {
    let further = Listed::spawn(id).expect("a server");
    let is_listed = || {
        let state = &bed.instance.gateway().cluster_state;
        state.with_servers(|roster| roster.servers().any(|s| s.id.server.as_str() == id))
    };
    bed.store.put("servers", id, &further.entry("app", "ready"));
    eventually("a further server is used", is_listed);
    bed.store.remove("servers", id);
    eventually("the further server is used no more", || !is_listed());
}

// Guards against an entry whose number of slots ends the thread that reads the list, by an overflow in their sum.
#[test]
fn a_server_with_absurdly_many_slots_neither_stops_the_list_nor_takes_the_shares_of_others() {
    let bed = testbed::start(2);
    let mut odd = bed.servers[0].entry("app", "ready");
    odd["slots"] = u32::MAX.into();
    bed.store.put("servers", "odd", &odd);
    assert_list_is_followed(&bed, "further");
    bed.store.remove("servers", "odd");
    assert_list_is_followed(&bed, "last");
    let response = bed.send(&call("/idem/", "r1"));
    assert_eq!(response.status, 200);
}

// Guards against a server that claims so many slots that the load of the others counts as none.
#[test]
fn the_slots_that_an_entry_states_have_a_maximum() {
    for (slots, is_used) in
        [(0_u64, false), (1, true), (64, true), (4096, true), (4097, false), (4_294_967_295, false)]
    {
        let mut value = entry();
        value["slots"] = slots.into();
        let decoded = servers::decode(&row(&value));
        assert_eq!(decoded.is_ok(), is_used, "{slots}: {decoded:?}");
        let reason = decoded.err().map(|skipped| skipped.reason).unwrap_or_default();
        assert!(is_used || reason.contains("slots"), "{reason}");
    }
}

// Guards against a response whose figures overflow in a sum, at which each pick of a server of its service panicked.
#[test]
fn a_load_that_no_server_can_have_is_not_believed() {
    let reported =
        |text: &'static str| responses::decode(&head(200, &[("x-server-load", text)])).load;
    let believed = LoadReport { running: 3, waiting: 4096, slots: 8 };
    assert_eq!(reported("3, 4096, 8, 17.5"), Some(believed));
    for text in ["4294967295,4294967295,8", "0,4097,8", "0,0,4097", "1e3,0,8", "-1,0,8"] {
        assert_eq!(reported(text), None, "{text}");
    }
    let mut load = Load::default();
    let now = Instant::now();
    load.report(now, LoadReport { running: u32::MAX, waiting: u32::MAX, ..believed });
    assert!(load.estimate(now, 0.0) > 8e9);
    assert!(load.last_reported().is_some_and(|load| load > 8e9));
}
