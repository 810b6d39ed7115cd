//! A backend server that starts again under the id that it had: what was known of it belongs to the incarnation
//! before.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use standins::{fault::Fault, listed::Listed};

use crate::{
    support::eventually,
    world::{World, call, start},
};

/// The entry of an incarnation that started at `born`, in Unix milliseconds.
fn entry(server: &Listed, state: &str, born: u64) -> Value {
    let mut entry = server.entry("app", state);
    entry["born"] = born.into();
    entry
}

fn put(world: &World, server: &Listed, state: &str, born: u64) {
    world.store.put("servers", &server.id, &entry(server, state, born));
}

fn own_in_flight(world: &World) -> u32 {
    let picker = world.instance.gateway().picker.lock().expect("the picker");
    picker.own_counts().iter().map(|(_, count)| count).sum()
}

fn asks_until_served(world: &World, what: &str) {
    eventually(what, || {
        world.send(&call("/idem/", &format!("{what}-{}", fastrand::u64(..)))).status == 200
    });
}

// A server said that it was leaving, ended, and started again under its id. It was passed over for as long as it
// ran: the change from leaving to ready was seen as no change at all, so the picker never learnt of it.
#[test]
fn a_server_that_left_is_used_again_after_its_next_start() {
    let world = start(1);
    let server = &world.servers[0];
    put(&world, server, "ready", 1000);
    asks_until_served(&world, "first");
    put(&world, server, "draining", 1000);
    eventually("nothing is sent to it", || world.send(&call("/idem/", "leaving")).status == 503);
    put(&world, server, "ready", 2000);
    asks_until_served(&world, "again");
}

// Entries come from many writers: a field may be missing or of another type, a state may be one that is not known.
// An unknown state counted as ready, and a server whose state could not be told got requests.
#[test]
fn an_entry_that_is_not_understood_names_no_server_to_use() {
    let world = start(2);
    let (good, spoiled) = (&world.servers[0], &world.servers[1]);
    let whole = spoiled.entry("app", "ready");
    let with = |name: &str, value: Value| {
        let mut entry = whole.clone();
        entry[name] = value;
        entry
    };
    let without = |name: &str| {
        let mut entry = whole.clone();
        entry.as_object_mut().expect("an object").remove(name);
        entry
    };
    let odd = [
        with("state", json!("resting")),
        with("state", json!(1)),
        without("state"),
        with("slots", json!("8")),
        with("slots", json!(0)),
        without("slots"),
        with("zone", json!(null)),
        with("seq", json!("7")),
        with("born", json!(1.5)),
        with("born", json!("1000")),
        with("address", json!("127.0.0.1:0")),
        with("address", json!("0.0.0.0:80")),
        with("version", json!(3)),
    ];
    for (number, entry) in odd.into_iter().enumerate() {
        world.store.put("servers", &spoiled.id, &whole);
        eventually("both are used", || servers_in_use(&world) == 2);
        world.store.put("servers", &spoiled.id, &entry);
        eventually(&format!("entry {number} names no server: {entry}"), || {
            servers_in_use(&world) == 1
        });
        let before = spoiled.arrivals().len();
        (0..4).for_each(|i| {
            let id = format!("{number}-{i}");
            assert_eq!(world.send(&call("/idem/", &id)).status, 200);
        });
        assert_eq!(spoiled.arrivals().len(), before);
        assert!(good.total_runs() > 0);
    }
}

fn servers_in_use(world: &World) -> usize {
    world.instance.gateway().knowledge.with_servers(|roster| roster.servers().count())
}

// A request under way at a server whose entry is overwritten ends in peace.
#[test]
fn an_overwritten_entry_cuts_no_request() {
    let world = start(1);
    let server = &world.servers[0];
    world.fault(Fault::Late(Duration::from_millis(900)));
    let callers: SocketAddr = world.instance.callers();
    let under_way = std::thread::spawn(move || call("/once/", "slow").send(callers));
    eventually("it is under way", || own_in_flight(&world) == 1);
    world.store.put_raw("servers", &server.id, b"\xff{".to_vec());
    eventually("the server is not used", || servers_in_use(&world) == 0);
    assert_eq!(under_way.join().expect("an answer").status, 200);
}
