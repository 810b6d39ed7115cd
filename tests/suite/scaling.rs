//! What does not grow with the fleet. For each way in which one instance handles all servers or all instances, its
//! work or the bytes that it sends are counted at one size and at four times that size.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use cartvane::{
    adapter::{
        settings::decode as decode_settings,
        store::{StoreRow, StoreRows},
    },
    configs::fleet::chunks::encode,
    gateway::{cluster_state::ClusterState, server_list_cache::ServerListCache},
    names::Tag,
    routing::{
        BackendServer, CallKind, Candidates, Incarnation, InstanceInfo, InstanceListUpdate,
        PickRequest, Picker, Roster, StoreEra, StoreRates, StoreShare, StoreVersion,
        roster::RosterChange,
    },
    units::{Rate, SlotCount},
    utils::cached::Cached,
};
use standins::store::{StoreMode, StoreStandIn};

use crate::{
    routing::{picker, server, set_servers},
    support::eventually,
    testbed::{intent, spawn},
};

const SMALL: usize = 1_000;
const LARGE: usize = 4 * SMALL;

/// Rows in one reply of the store.
const PAGE: usize = 500;

fn servers(count: usize) -> Vec<BackendServer> {
    let zone = |number: usize| ["north", "south", "east"][number % 3].parse().expect("a zone");
    let server = |number: usize| BackendServer {
        zone: zone(number),
        slots: Some(SlotCount::nearest(16)),
        ..server(&format!("s{number}"), 1 + number as u16)
    };
    (0..count).map(server).collect()
}

fn pick(picker: &Picker, affinity: Option<u64>, spread: u64) -> cartvane::routing::Picked {
    let service = "llm".parse().expect("a name");
    let request = PickRequest { affinity, spread, ..PickRequest::new(&service) };
    picker.pick(Instant::now(), &request).expect("a server")
}

// Guards against a pick that scans and ranks every server of the service: 5.9 ms with 10,000 servers and 0.02 ms with
// 100, on a whole processor, while most instances have an eighth of one.
#[test]
fn a_pick_considers_no_more_servers_of_a_service_four_times_as_large() {
    let most = |count: usize| {
        let picker = picker(&servers(count));
        let considered = (0..500_u64).flat_map(|key| {
            [pick(&picker, Some(key), key), pick(&picker, None, key)].map(|p| p.considered)
        });
        considered.max().expect("some choices")
    };
    let (small, large) = (most(SMALL), most(LARGE));
    assert!(large <= small + small / 10, "{small} of {SMALL}, {large} of {LARGE}");
    assert!(large <= 64);
}

#[test]
fn prompts_are_spread_evenly_over_a_large_service_and_keep_their_servers() {
    let all = servers(SMALL);
    let before = picker(&all);
    let mut prompts_at: HashMap<Incarnation, u32> = HashMap::new();
    let (prompts, mut moved) = (40 * SMALL as u64, 0);
    // One server in fifty is removed.
    let remaining: Vec<BackendServer> =
        all.iter().enumerate().filter(|(i, _)| i % 50 != 7).map(|(_, s)| s.clone()).collect();
    let after = picker(&remaining);
    let is_listed = |id: &Incarnation| remaining.iter().any(|server| server.id == *id);
    for key in 0..prompts {
        let first = pick(&before, Some(key), key).server.id.clone();
        if key % 40 == 0 && pick(&after, Some(key), key).server.id != first {
            moved += u32::from(is_listed(&first));
        }
        *prompts_at.entry(first).or_default() += 1;
    }
    let most = prompts_at.values().max().copied().unwrap_or_default();
    assert!(f64::from(most) < 2.0 * 40.0, "{most} prompts at one server, the mean is 40");
    assert!(
        prompts_at.len() > SMALL * 95 / 100,
        "{} of {SMALL} servers are used",
        prompts_at.len()
    );
    assert_eq!(moved, 0, "prompts whose server is still listed keep it");
}

#[test]
fn a_request_finds_the_only_usable_server_of_a_large_service() {
    let mut all = servers(SMALL);
    all.iter_mut().for_each(|server| server.leaving = server.id.server.as_str() != "s7");
    let picker = picker(&all);
    for key in 0..50 {
        for affinity in [Some(key), None] {
            assert_eq!(pick(&picker, affinity, key).server.id.server.as_str(), "s7");
        }
    }
}

#[test]
fn requests_spread_evenly_over_a_large_service_and_stay_in_their_zone() {
    let all = servers(SMALL);
    let mut picker = picker(&all);
    let now = Instant::now();
    let mut near = 0;
    // Fewer requests than servers in the own zone.
    let requests = SMALL as u64 / 4;
    for spread in 0..requests {
        let picked = pick(&picker, None, spread);
        near += u64::from(picked.server.zone.as_str() == "north");
        picker.start_request(now, &picked.server.id);
    }
    let most = picker.in_flight().map(|(_, count)| count).max().unwrap_or_default();
    assert!(most <= 2, "{most} at one server");
    assert!(near > requests * 4 / 5, "{near} of {requests} in the own zone");
}

// Guards against work on an unchanged list: the whole list was copied, hashed and compared with each exchange
// although nothing had changed, and with 9,999 servers the median instance of 986 was busy with little else.
#[test]
fn an_unchanged_list_is_confirmed_without_a_scan_of_its_servers() {
    for count in [SMALL, LARGE] {
        let cluster_state = ClusterState::new(Duration::from_secs(1));
        let now = Instant::now();
        let era = StoreEra::default();
        let first = cluster_state.apply_server_list(now, now, era, servers(count));
        assert_eq!(first.change.added.len(), count);
        let version = cluster_state.list_version();
        let later = now + Duration::from_millis(900);
        assert!(cluster_state.confirm_list(later, version, later, era), "{count} servers");
        assert_eq!(cluster_state.servers_age(later), Some(Duration::ZERO));
        let reply = cluster_state.server_list_reply(later, version);
        assert!(encode(&reply.update).len() < 16, "{count} servers");
    }
}

#[test]
fn a_list_is_not_confirmed_if_the_roster_differs_from_it() {
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let era = StoreEra::default();
    let mut roster = Roster::default();
    assert!(!roster.confirm(now, now, StoreEra(1)), "the era of a restored store");
    roster.apply_list(now, now, servers(3));
    assert!(roster.confirm(at(100), at(100), era));
    let removed = servers(1).remove(0).id;
    roster.remove(&removed);
    assert!(!roster.confirm(at(200), at(200), era), "a listed server is removed");
    assert_eq!(roster.apply_list(at(200), at(200), servers(3)).added, [removed]);
    assert!(roster.confirm(at(300), at(300), era));
    roster.mark_overwritten("s1");
    assert!(!roster.confirm(at(400), at(400), era), "a server is marked as leaving");
    roster.apply_list(at(400), at(400), servers(3));
    // An older confirmation changes nothing.
    assert!(roster.confirm(at(500), at(350), era));
    assert_eq!(roster.as_of(), Some(at(400)));
    // After an outage, servers missing from the first lists are kept.
    assert!(roster.confirm(at(9000), at(9000), era));
    let kept = vec![servers(3).remove(2).id];
    let change = roster.apply_list(at(9100), at(9100), servers(2));
    assert_eq!(change, RosterChange { kept, ..RosterChange::default() });
}

// Guards against an aggregator that sums up the counts of all instances for each instance that reports, which makes
// its work grow with the square of their number.
#[test]
fn sums_are_computed_once_for_all_requests_within_an_interval() {
    let sums = Cached::new(Duration::from_millis(50));
    let now = Instant::now();
    let mut computed = 0;
    for request in 0..LARGE as u64 {
        let at = now + Duration::from_micros(request);
        sums.get(at, || computed += 1);
    }
    assert_eq!(computed, 1);
    sums.get(now + Duration::from_millis(50), || computed += 1);
    assert_eq!(computed, 2);
}

// Guards against an aggregator that reads the whole list each second: with 9,999 servers that took 20 replies one
// after the other, at a 986th of the store's rate limit. Its list was so old that all other instances read it
// themselves, 104,200 calls and 9.9 GB in 43 s, and leaving servers were detected after more than 5 s.
#[test]
fn reading_a_change_takes_as_many_bytes_in_a_list_four_times_as_long() {
    let bytes = |count: usize| {
        let store = StoreStandIn::spawn().expect("a store");
        store.set_page(PAGE);
        let entry = |number: usize, state: &str| {
            serde_json::json!({
                "service": "app", "address": format!("10.1.{}.{}:80", number >> 8, number & 255),
                "zone": "north", "version": "v1", "slots": 8, "state": state,
                "cold_remaining_ms": 0, "seq": 1
            })
        };
        for number in 0..count {
            store.put("servers", &format!("s{number}"), &entry(number, "ready"));
        }
        store.put("op", "config", &intent(5));
        let instance = spawn("one", store.address(), Vec::new());
        let count_of = |wanted: &dyn Fn(&BackendServer) -> bool| {
            instance
                .gateway()
                .cluster_state
                .with_servers(|roster| roster.servers().filter(|server| wanted(server)).count())
        };
        eventually("the list is read", || count_of(&|_| true) == count);
        let before = store.row_bytes("servers");
        store.put("servers", "s1", &entry(1, "draining"));
        store.remove("servers", "s2");
        eventually("its changes are read", || {
            count_of(&|server| server.leaving) == 1 && count_of(&|_| true) == count - 1
        });
        let bytes = store.row_bytes("servers") - before;
        // The instance runs as long as the tests do and would go on to poll all these servers.
        store.set_mode(StoreMode::Busy);
        bytes
    };
    let (small, large) = (bytes(SMALL), bytes(LARGE));
    assert!(small < 4_000 && large < 4_000, "{small} bytes, {large} in a list four times as long");
}

// Guards against an aggregator that applies the whole list of 9,999 servers each second when only the heartbeats of
// 2,000 had changed: the list was copied, compared and hashed again on a fraction of a processor.
#[test]
fn a_list_with_only_new_heartbeats_is_not_applied() {
    let row = |number: usize, beat: u64, state: &str| {
        let entry = serde_json::json!({
            "service": "app", "address": format!("10.1.{}.{}:80", number >> 8, number & 255),
            "zone": "north", "version": "v1", "slots": 8, "state": state,
            "cold_remaining_ms": 0, "seq": 1, "beat": beat
        });
        StoreRow {
            key: format!("s{number}"),
            value: entry.to_string().into_bytes(),
            version: beat,
            removed: false,
        }
    };
    for count in [SMALL, LARGE] {
        let version = |counter| StoreVersion { era: StoreEra::default(), counter };
        let rows = |beat| StoreRows {
            version: version(beat),
            now_ms: 0,
            rows: (0..count).map(|number| row(number, beat, "ready")).collect(),
        };
        let cluster_state = ClusterState::new(Duration::from_secs(1));
        let now = Instant::now();
        let mut list = ServerListCache::new(now, version(1));
        list.apply_rows(rows(1));
        assert_eq!(list.unchanged_version(), None, "all servers are new");
        cluster_state.apply_server_list(now, now, StoreEra::default(), list.servers());
        list.mark_applied(cluster_state.list_version());
        list.apply_rows(rows(2));
        assert_eq!(
            list.unchanged_version(),
            cluster_state.list_version(),
            "{count} heartbeats change nothing"
        );
        list.apply_rows(StoreRows {
            version: version(3),
            now_ms: 0,
            rows: vec![row(7, 3, "draining")],
        });
        assert_eq!(list.unchanged_version(), None, "a leaving server is a change");
        list.apply_rows(rows(4));
        assert_eq!(list.unchanged_version(), None, "the change is not applied yet");
    }
}

#[test]
fn the_rate_limit_of_a_reader_does_not_shrink_with_the_fleet() {
    let duration = |instances: usize| {
        let mut now = Instant::now();
        let rates = StoreRates { reads: Rate(16_000.0), writes: Rate(3_200.0) };
        let mut share = StoreShare::new(rates, now);
        share.set_instances(instances);
        share.set_reads_for_others(true);
        let started_at = now;
        for _ in 0..2_000 {
            while let Err(wait) = share.take(now, CallKind::Read) {
                now += wait.max(Duration::from_micros(1));
            }
        }
        now - started_at
    };
    let (small, large) = (duration(SMALL), duration(LARGE));
    assert!(large <= small.mul_f64(1.05), "{small:?}, {large:?} with four times the instances");
    assert!(large < Duration::from_secs(4));
}

fn instance(number: usize) -> InstanceInfo {
    InstanceInfo {
        node: format!("edge-{number}").parse().expect("a name"),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8229).into(),
        zone: "north".parse().expect("a zone"),
        cores: [1.0, 0.12][usize::from(!number.is_multiple_of(16))],
    }
}

fn fleet(count: usize) -> Candidates {
    let mut candidates = Candidates::new(instance(0));
    candidates.set((0..count).map(instance));
    candidates
}

// Guards against a start or stop of one instance that sends the list of all instances to each of them: 986 x 986 rows.
#[test]
fn a_start_is_sent_in_as_many_bytes_in_a_fleet_four_times_as_large() {
    let bytes = |count: usize| {
        let (mut sender, mut receiver) = (fleet(count), fleet(count));
        assert_eq!(sender.version(), receiver.version());
        sender.add(instance(count));
        let update = sender.update_since(receiver.version());
        let bytes = encode(&update).len();
        assert!(receiver.apply_update(update));
        assert_eq!((receiver.version(), receiver.all()), (sender.version(), sender.all()));
        bytes
    };
    let (small, large) = (bytes(250), bytes(1_000));
    assert!(large <= small + 8, "{small} bytes, {large} with four times the instances");
    assert!(large < 100);
}

#[test]
fn lists_of_instances_agree_after_any_changes() {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut sender, mut receiver) = (fleet(40), fleet(40));
    for _ in 0..200 {
        for _ in 0..rng.usize(1..6) {
            match rng.usize(..3) {
                0 => sender.add(instance(rng.usize(1..80))),
                1 => {
                    let number = rng.usize(1..80);
                    let moved = ([10, 1, 0, number as u8], 8229).into();
                    sender.add(InstanceInfo { address: moved, ..instance(number) });
                }
                _ => {
                    let mut stay = sender.all().to_vec();
                    stay.swap_remove(rng.usize(..stay.len()));
                    sender.set(stay);
                }
            }
        }
        if rng.bool() {
            receiver.apply_update(sender.update_since(receiver.version()));
            assert_eq!((receiver.version(), receiver.all()), (sender.version(), sender.all()));
        }
    }
    let unknown = sender.update_since(1);
    assert!(matches!(unknown, InstanceListUpdate::Whole(all) if all.len() == sender.all().len()));
}

// Guards against a fixed limit of 800 connections from other instances. Of 986 instances some were refused, took the
// aggregator for unresponsive and reported to its successor, so that each of the two collected a part of the counts.
#[test]
fn the_limit_of_peer_connections_follows_the_limit_of_descriptors() {
    let peers = |descriptors: usize| {
        let settings = serde_json::json!({
            "node_name": "edge-1", "zone": "north", "limits": {"max_fds": descriptors},
            "listen": {
                "frontend": "10.0.0.1:1", "readiness": "10.0.0.1:2", "control": "10.0.0.1:3"
            },
            "bounds": {
                "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 56
            },
            "platform": {"address": "10.0.0.9:1"}
        });
        let decoded = decode_settings(settings.to_string().as_bytes(), "boot.json");
        decoded.expect("settings").peer_connections
    };
    let (weak, strong) = (peers(4_100), peers(16_384));
    assert!(weak >= 1_000 && strong >= 4 * 1_000, "{weak}, {strong}");
}

#[test]
fn tags_of_a_large_service_rarely_collide() {
    let mut picker = picker(&servers(SMALL));
    set_servers(&mut picker, Instant::now(), &servers(LARGE));
    let tags: std::collections::HashSet<Tag> = servers(LARGE).iter().map(|s| s.tag()).collect();
    assert!(tags.len() >= LARGE - 4, "{} of {LARGE}", tags.len());
    assert!(Arc::strong_count(&pick(&picker, None, 1).server) > 1);
}
