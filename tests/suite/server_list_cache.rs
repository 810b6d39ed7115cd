//! The cached list of servers: the newest row of a key decides, however the store's changes are split into replies.

use std::time::{Duration, Instant};

use cartvane::{
    adapter::store::{StoreRow, StoreRows},
    gateway::{
        cluster_state::ClusterState,
        server_list_cache::{PAGE_ROWS, ServerListCache},
    },
    routing::{StoreEra, StoreVersion},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use serde_json::{Value, json};

use crate::{support::eventually, testbed};

/// What a row of a feed says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Write {
    Ready,
    Draining,
    Removed,
    Invalid,
}

fn entry(key: usize, state: &str) -> Value {
    json!({
        "service": "app", "address": format!("10.1.{}.{}:80", key >> 8, key & 255), "zone": "north",
        "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "seq": 1
    })
}

fn row(key: usize, version: u64, write: Write) -> StoreRow {
    let value = match write {
        Write::Ready => entry(key, "ready").to_string(),
        Write::Draining => entry(key, "draining").to_string(),
        Write::Removed => String::new(),
        Write::Invalid => "{".to_owned(),
    };
    let removed = write == Write::Removed;
    StoreRow { key: format!("s{key}"), value: value.into_bytes(), version, removed }
}

/// Returns a reply with these rows, that the store sends at `version`.
fn reply(version: u64, rows: &[StoreRow]) -> StoreRows {
    let version = StoreVersion { era: StoreEra::default(), counter: version };
    StoreRows { rows: rows.to_vec(), version, now_ms: 0 }
}

fn cache() -> ServerListCache {
    ServerListCache::new(Instant::now(), StoreVersion::default())
}

/// Returns the list as text, without regard to its order.
fn listed(cache: &ServerListCache) -> Vec<String> {
    let servers = cache.servers().into_iter().map(|server| format!("{server:?}"));
    let skipped = cache.skipped().map(|skipped| format!("{skipped:?}"));
    let mut all: Vec<String> = servers.chain(skipped).collect();
    all.sort_unstable();
    all
}

// Guards against a removed server that stays listed: its last heartbeat and its removal came in one reply.
#[test]
fn the_last_row_of_a_key_in_a_reply_decides() {
    use Write::{Draining, Invalid, Ready, Removed};
    for (writes, servers, leaving, skipped) in [
        (vec![Ready, Removed], 0, 0, 0),
        (vec![Ready, Removed, Ready], 1, 0, 0),
        (vec![Removed, Draining], 1, 1, 0),
        (vec![Ready, Draining, Ready, Removed], 0, 0, 0),
        (vec![Ready, Invalid], 0, 0, 1),
        (vec![Invalid, Ready], 1, 0, 0),
        (vec![Ready, Invalid, Removed], 0, 0, 0),
    ] {
        let mut cache = cache();
        cache.apply_rows(reply(1, &[row(1, 1, Ready)]));
        let rows: Vec<StoreRow> =
            (2..).zip(&writes).map(|(version, write)| row(1, version, *write)).collect();
        cache.apply_rows(reply(9, &rows));
        let list = cache.servers();
        let counts = (list.len(), list.iter().filter(|s| s.leaving).count());
        assert_eq!((counts, cache.skipped().count()), ((servers, leaving), skipped), "{writes:?}");
    }
}

// Guards against an older row that overrules a newer one: pages of a whole list are of different moments.
#[test]
fn a_repeated_row_overrules_no_newer_one() {
    let mut cache = cache();
    cache.apply_rows(reply(5, &[row(1, 5, Write::Draining), row(2, 6, Write::Ready)]));
    cache.apply_rows(reply(7, &[row(1, 3, Write::Ready), row(2, 7, Write::Removed)]));
    cache.apply_rows(reply(8, &[row(2, 6, Write::Ready)]));
    let list = cache.servers();
    assert_eq!(list.len(), 1);
    assert!(list[0].leaving);
}

#[test]
fn any_split_into_replies_gives_the_same_list() {
    let write = prop_oneof![
        4 => Just(Write::Ready),
        2 => Just(Write::Removed),
        1 => Just(Write::Draining),
        1 => Just(Write::Invalid),
    ];
    let change = (0..6_usize, write, any::<bool>(), any::<bool>());
    let config = Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(crate::support::seed(76)),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&prop::collection::vec(change, 1..60), |changes| {
        let mut one_by_one = cache();
        let mut split = cache();
        let mut rows = Vec::new();
        for (version, (key, write, ends, repeats)) in (1..).zip(changes) {
            let row = row(key, version, write);
            one_by_one.apply_rows(reply(version, std::slice::from_ref(&row)));
            rows.push(row);
            if ends {
                split.apply_rows(reply(version, &rows));
                prop_assert_eq!(listed(&split), listed(&one_by_one));
                // A retried call brings the rows of the last reply again.
                if !repeats {
                    rows.clear();
                }
            }
        }
        split.apply_rows(reply(100, &rows));
        prop_assert_eq!(listed(&split), listed(&one_by_one));
        Ok(())
    });
    result.expect("the split into replies does not matter");
}

// Guards against an older list that counts as confirmed: another instance's list was applied just after the own one.
#[test]
fn a_read_confirms_only_the_list_that_it_brought() {
    let state = ClusterState::new(Duration::from_secs(1));
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let list = |keys: &[usize]| {
        let mut cache = cache();
        let rows: Vec<StoreRow> = keys.iter().map(|key| row(*key, 1, Write::Ready)).collect();
        cache.apply_rows(reply(1, &rows));
        cache.servers()
    };
    let own = state.apply_server_list(at(10), at(0), StoreEra(0), list(&[1, 2]));
    state.apply_server_list(at(11), at(5), StoreEra(0), list(&[1]));
    assert!(own.version.is_some());
    assert!(!state.confirm_list(at(1000), own.version, at(1000), StoreEra(0)));
    let late = state.apply_server_list(at(12), at(4), StoreEra(0), list(&[1, 2]));
    assert_eq!(late.version, None, "a newer list is known");
}

// Guards against requests to a server that is gone, at an instance whose store lists more servers than one reply holds.
#[test]
fn a_server_that_is_removed_after_its_heartbeat_is_gone_with_the_next_read() {
    let fleet = testbed::start(1);
    let numbers = 1..=PAGE_ROWS + 20;
    for number in numbers.clone() {
        fleet.store.put("servers", &format!("s{number}"), &entry(number, "ready"));
    }
    let gateway = fleet.instance.gateway();
    let listed = || gateway.cluster_state.with_servers(|roster| roster.servers().count());
    eventually("all servers are listed", || listed() == PAGE_ROWS + 21);
    let whole_list = fleet.store.row_bytes("servers");
    for number in numbers.clone().take(5) {
        fleet.store.put("servers", &format!("s{number}"), &entry(number, "ready"));
        fleet.store.remove("servers", &format!("s{number}"));
    }
    eventually("the removed servers are gone", || listed() == PAGE_ROWS + 16);
    let read = fleet.store.row_bytes("servers") - whole_list;
    assert!(
        read < PAGE_ROWS * 100,
        "{read} bytes: the changes suffice, the whole list was not read"
    );
}

// Guards against a few long foreign rows that are read with the whole list each time, so that the list is followed late.
#[test]
fn a_list_of_few_rows_and_many_bytes_is_read_by_its_changes() {
    let now = Instant::now();
    for (bytes, reads_changes) in [(100, false), (100_000, false), (200_000, true)] {
        let mut cache = ServerListCache::new(now, StoreVersion::default());
        let long = StoreRow { value: vec![b'x'; bytes], ..row(1, 2, Write::Invalid) };
        cache.apply_rows(reply(2, &[row(0, 1, Write::Ready), long]));
        assert_eq!(cache.can_read_changes(now), reads_changes, "{bytes}");
    }
}
