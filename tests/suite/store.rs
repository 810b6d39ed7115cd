//! The client of the platform's store: its result for each call under each fault of the store, paging, transactions,
//! and rate limits.

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

/// Result of a call, without details.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Unavailable,
    ReplyLost,
    Conflict,
    HistoryExpired,
    InvalidReply,
}

fn outcome<T>(result: Result<T, StoreError>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(StoreError::Unavailable(_)) => Outcome::Unavailable,
        Err(StoreError::ReplyLost(_)) => Outcome::ReplyLost,
        Err(StoreError::Conflict) => Outcome::Conflict,
        Err(StoreError::HistoryExpired) => Outcome::HistoryExpired,
        Err(StoreError::InvalidReply(_)) => Outcome::InvalidReply,
    }
}

fn client(address: SocketAddr) -> Store {
    Store::new(address, Clock::system(), Metrics::new().expect("metrics"), |_| {})
}

fn put(key: &str) -> [Change<'_>; 1] {
    [Change::Put { key, value: b"value" }]
}

#[test]
fn each_fault_of_the_store_gives_its_error_for_each_call() {
    // (mode, outcome of `rows`, of `changes` and of `change`, whether the change takes effect)
    let table = [
        (StoreMode::Up, Outcome::Done, Outcome::Done, Outcome::Done, true),
        (StoreMode::Busy, Outcome::Unavailable, Outcome::Unavailable, Outcome::Unavailable, false),
        (
            StoreMode::TooMany,
            Outcome::Unavailable,
            Outcome::Unavailable,
            Outcome::Unavailable,
            false,
        ),
        (StoreMode::Reset, Outcome::ReplyLost, Outcome::ReplyLost, Outcome::ReplyLost, false),
        (StoreMode::Silent, Outcome::ReplyLost, Outcome::ReplyLost, Outcome::ReplyLost, false),
        (StoreMode::LosesReplies, Outcome::ReplyLost, Outcome::ReplyLost, Outcome::ReplyLost, true),
        (
            StoreMode::Garbage,
            Outcome::InvalidReply,
            Outcome::InvalidReply,
            Outcome::InvalidReply,
            false,
        ),
        (StoreMode::Slow(50), Outcome::Done, Outcome::Done, Outcome::Done, true),
    ];
    for (mode, rows, changes, change, takes_effect) in table {
        let standin = StoreStandIn::spawn().expect("a store");
        standin.put(TABLE, "a", &json!(1));
        let store = client(standin.address());
        standin.set_mode(mode);
        assert_eq!(outcome(store.rows(TABLE)), rows, "rows, {mode:?}");
        let waited = store.changes(TABLE, StoreVersion::default(), Duration::from_millis(20));
        assert_eq!(outcome(waited), changes, "changes, {mode:?}");
        assert_eq!(outcome(store.change(TABLE, &put("b"))), change, "change, {mode:?}");
        assert_eq!(
            standin.keys(TABLE).contains(&"b".to_owned()),
            takes_effect,
            "takes effect, {mode:?}"
        );
    }
}

#[test]
fn a_store_that_refuses_connections_is_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let store = client(address);
    assert_eq!(outcome(store.rows(TABLE)), Outcome::Unavailable);
    assert_eq!(
        outcome(store.changes(TABLE, StoreVersion::default(), Duration::ZERO)),
        Outcome::Unavailable
    );
    assert_eq!(outcome(store.change(TABLE, &put("a"))), Outcome::Unavailable);
}

#[test]
fn rows_are_read_in_pages_and_changes_after_their_version() {
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
        assert_eq!(read, all, "pages of {page} rows");
    }
    let version = store.rows(TABLE).expect("rows").version;
    standin.put(TABLE, "new", &json!(2));
    standin.remove(TABLE, "z");
    let changes = store.changes(TABLE, version, Duration::from_secs(1)).expect("changes");
    let changed: Vec<_> = changes.rows.iter().map(|row| (row.key.as_str(), row.removed)).collect();
    assert_eq!(changed, [("new", false), ("z", true)]);
    standin.forget_history();
    assert_eq!(outcome(store.changes(TABLE, version, Duration::ZERO)), Outcome::HistoryExpired);
}

#[test]
fn a_change_is_atomic_and_every_call_is_throttled() {
    let standin = StoreStandIn::spawn().expect("a store");
    let calls: Arc<Mutex<Vec<CallKind>>> = Arc::default();
    let recorded = Arc::clone(&calls);
    let throttle = move |kind| recorded.lock().expect("the calls").push(kind);
    let metrics = Metrics::new().expect("metrics");
    let store = Store::new(standin.address(), Clock::system(), metrics, throttle);
    standin.put(TABLE, "old", &json!(1));
    let both = [Change::Put { key: "new", value: b"" }, Change::Remove { key: "old" }];
    store.change(TABLE, &both).expect("a version");
    assert_eq!(standin.keys(TABLE), ["new"]);
    standin.put(TABLE, "more", &json!(1));
    standin.set_page(1);
    store.rows(TABLE).expect("rows");
    let calls = calls.lock().expect("the calls").clone();
    assert_eq!(calls, [CallKind::Write, CallKind::Read, CallKind::Read], "one read per page");
}

#[test]
fn all_instances_together_stay_within_the_stores_rates() {
    let rates = StoreRates { reads: Rate(2000.0), writes: Rate(400.0) };
    let start = Instant::now();
    for instances in [1, 8, 80, 360] {
        let mut share = StoreShare::new(rates, start);
        share.set_instances(instances);
        let admitted = |kind: CallKind, share: &mut StoreShare| {
            let times = (0..10_000).map(|ms| start + Duration::from_millis(ms));
            times.filter(|&now| share.take(now, kind).is_ok()).count()
        };
        let reads = admitted(CallKind::Read, &mut share);
        let writes = admitted(CallKind::Write, &mut share);
        assert!(reads >= 40 && writes >= 40, "{instances} instances: each can read what it needs");
        // The bucket is full at the start and is refilled for ten seconds.
        assert!(reads * instances <= 11 * 2000, "{instances} instances: {reads} reads each");
        assert!(
            instances > 80 || writes * instances <= 11 * 400,
            "{instances} instances: {writes} writes each"
        );
    }
}

#[test]
fn a_conditional_write_does_not_overwrite_a_changed_row() {
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
    let first = write(0, "1").expect("the row does not exist yet").counter;
    assert_eq!(outcome(write(0, "2")), Outcome::Conflict);
    assert_eq!(store.value("others", "b"), Some(json!(1)), "all or nothing");
    assert_eq!(outcome(write(first, "3")), Outcome::Done);
    assert_eq!(outcome(write(first, "4")), Outcome::Conflict);
    assert_eq!(store.value("others", "b"), Some(json!(3)));
}
