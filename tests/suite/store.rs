//! Each call of the platform's store, met by each fault: what the client makes of it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cartvane::{
    adapter::store::{Change, Condition, Put, Store, StoreError},
    clock::Clock,
    metrics::Metrics,
    routing::{CallKind, StoreRates, StoreShare, StoreVersion},
    units::Rate,
};
use serde_json::json;
use standins::store::{StoreMode, StoreStandIn};

const TABLE: &str = "things";

/// What a call came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Came {
    Done,
    Unavailable,
    ReplyLost,
    Conflict,
    HistoryExpired,
    NotUnderstood,
}

fn came<T>(result: Result<T, StoreError>) -> Came {
    match result {
        Ok(_) => Came::Done,
        Err(StoreError::Unavailable(_)) => Came::Unavailable,
        Err(StoreError::ReplyLost(_)) => Came::ReplyLost,
        Err(StoreError::Conflict) => Came::Conflict,
        Err(StoreError::HistoryExpired) => Came::HistoryExpired,
        Err(StoreError::InvalidReply(_)) => Came::NotUnderstood,
    }
}

fn client(address: SocketAddr) -> Store {
    Store::new(address, Clock::system(), Metrics::new().expect("metrics"), |_| {})
}

fn put(key: &str) -> [Change<'_>; 1] {
    [Change::Put { key, value: b"value" }]
}

#[test]
fn every_fault_of_the_store_is_told_apart_for_every_call() {
    // (mode, reading rows, waiting for changes, changing, whether the change is made)
    let table = [
        (StoreMode::Up, Came::Done, Came::Done, Came::Done, true),
        (StoreMode::Busy, Came::Unavailable, Came::Unavailable, Came::Unavailable, false),
        (StoreMode::TooMany, Came::Unavailable, Came::Unavailable, Came::Unavailable, false),
        (StoreMode::Reset, Came::ReplyLost, Came::ReplyLost, Came::ReplyLost, false),
        (StoreMode::Silent, Came::ReplyLost, Came::ReplyLost, Came::ReplyLost, false),
        (StoreMode::LosesReplies, Came::ReplyLost, Came::ReplyLost, Came::ReplyLost, true),
        (StoreMode::Garbage, Came::NotUnderstood, Came::NotUnderstood, Came::NotUnderstood, false),
        (StoreMode::Slow(50), Came::Done, Came::Done, Came::Done, true),
    ];
    for (mode, rows, changes, change, made) in table {
        let standin = StoreStandIn::spawn().expect("a store");
        standin.put(TABLE, "a", &json!(1));
        let store = client(standin.address());
        standin.set_mode(mode);
        assert_eq!(came(store.rows(TABLE)), rows, "rows, {mode:?}");
        let waited = store.changes(TABLE, StoreVersion::default(), Duration::from_millis(20));
        assert_eq!(came(waited), changes, "changes, {mode:?}");
        assert_eq!(came(store.change(TABLE, &put("b"))), change, "change, {mode:?}");
        assert_eq!(standin.keys(TABLE).contains(&"b".to_owned()), made, "made, {mode:?}");
    }
}

#[test]
fn a_store_that_is_not_reached_has_done_nothing() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = nobody.local_addr().expect("an address");
    drop(nobody);
    let store = client(address);
    assert_eq!(came(store.rows(TABLE)), Came::Unavailable);
    assert_eq!(
        came(store.changes(TABLE, StoreVersion::default(), Duration::ZERO)),
        Came::Unavailable
    );
    assert_eq!(came(store.change(TABLE, &put("a"))), Came::Unavailable);
}

#[test]
fn rows_are_read_page_by_page_and_changes_follow_on() {
    let standin = StoreStandIn::spawn().expect("a store");
    let keys = ["a", "a b", "a%b", "a/b", "\u{e9}t\u{e9}", "z"];
    keys.iter().for_each(|key| standin.put(TABLE, key, &json!(key)));
    standin.put("others", "x", &json!(1));
    let store = client(standin.address());
    for page in [0, 1, 2, 5, 6] {
        standin.set_page(page);
        let read = store.rows(TABLE).expect("rows");
        let mut read: Vec<&str> = read.rows.iter().map(|row| row.key.as_str()).collect();
        read.sort_unstable();
        let mut all = keys.to_vec();
        all.sort_unstable();
        assert_eq!(read, all, "pages of {page}");
    }
    let version = store.rows(TABLE).expect("rows").version;
    standin.put(TABLE, "new", &json!(2));
    standin.remove(TABLE, "z");
    let changes = store.changes(TABLE, version, Duration::from_secs(1)).expect("changes");
    let seen: Vec<_> = changes.rows.iter().map(|row| (row.key.as_str(), row.removed)).collect();
    assert_eq!(seen, [("new", false), ("z", true)]);
    standin.forget_history();
    assert_eq!(came(store.changes(TABLE, version, Duration::ZERO)), Came::HistoryExpired);
}

#[test]
fn a_change_is_made_as_a_whole_and_every_call_waits_for_its_turn() {
    let standin = StoreStandIn::spawn().expect("a store");
    let asked: Arc<Mutex<Vec<CallKind>>> = Arc::default();
    let noted = Arc::clone(&asked);
    let pace = move |kind| noted.lock().expect("the calls").push(kind);
    let metrics = Metrics::new().expect("metrics");
    let store = Store::new(standin.address(), Clock::system(), metrics, pace);
    standin.put(TABLE, "old", &json!(1));
    let both = [Change::Put { key: "new", value: b"" }, Change::Remove { key: "old" }];
    store.change(TABLE, &both).expect("made");
    assert_eq!(standin.keys(TABLE), ["new"]);
    standin.put(TABLE, "more", &json!(1));
    standin.set_page(1);
    store.rows(TABLE).expect("rows");
    let asked = asked.lock().expect("the calls").clone();
    assert_eq!(asked, [CallKind::Write, CallKind::Read, CallKind::Read], "one for each page");
}

#[test]
fn all_instances_together_stay_within_the_stores_rates() {
    let rates = StoreRates { reads: Rate(2000.0), writes: Rate(400.0) };
    let start = Instant::now();
    for instances in [1, 8, 80, 360] {
        let mut share = StoreShare::new(rates, start);
        share.set_instances(instances);
        let taken = |kind: CallKind, share: &mut StoreShare| {
            let times = (0..10_000).map(|ms| start + Duration::from_millis(ms));
            times.filter(|&now| share.take(now, kind).is_ok()).count()
        };
        let reads = taken(CallKind::Read, &mut share);
        let writes = taken(CallKind::Write, &mut share);
        assert!(reads >= 40 && writes >= 40, "{instances}: each can read its knowledge");
        // A full bucket at the start, then ten seconds.
        assert!(reads * instances <= 11 * 2000, "{instances}: {reads} reads");
        assert!(instances > 80 || writes * instances <= 11 * 400, "{instances}: {writes} writes");
    }
}

#[test]
fn a_row_that_has_changed_meanwhile_is_not_overwritten() {
    let store = StoreStandIn::spawn().expect("a store");
    let client = client(store.address());
    let write = |version, value: &str| {
        let condition = Condition { table: TABLE, key: "a", version };
        let puts = [
            Put { table: TABLE, key: "a", value: value.as_bytes() },
            Put { table: "others", key: "b", value: value.as_bytes() },
        ];
        client.put_if(&condition, &puts)
    };
    let first = write(0, "1").expect("there is no row yet").counter;
    assert_eq!(came(write(0, "2")), Came::Conflict);
    assert_eq!(store.value("others", "b"), Some(json!(1)), "all or nothing");
    assert_eq!(came(write(first, "3")), Came::Done);
    assert_eq!(came(write(first, "4")), Came::Conflict);
    assert_eq!(store.value("others", "b"), Some(json!(3)));
}
