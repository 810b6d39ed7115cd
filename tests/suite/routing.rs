//! Routing decisions: server list, route table, retry budget, event streams, health and load, on a simulated clock.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use cartvane::routing::{
    ActiveIntent, BackendServer, EventSplitter, Health, HomeRegions, Incarnation, Intent,
    ListHistory, Load, LoadReport, Picker, RetryBudget, Roster, Route, RouteKind, RouteTable,
    ServerListUpdate, ServiceShare, Teams, budget::BudgetTerms,
};
use indexmap::IndexMap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a backend server with this id and port.
pub(crate) fn server(id: &str, port: u16) -> BackendServer {
    BackendServer {
        id: id.parse().expect("a valid id"),
        service: "llm".parse().expect("a valid name"),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "north".parse().expect("a valid zone"),
        leaving: false,
        slots: None,
        version: None,
        cold_for: Duration::ZERO,
    }
}

/// Sets the list of servers of a picker.
pub(crate) fn set_servers(picker: &mut Picker, now: Instant, servers: &[BackendServer]) {
    let list: Vec<Arc<BackendServer>> = servers.iter().cloned().map(Arc::new).collect();
    picker.set_servers(now, list.iter());
}

/// Returns a picker of an instance in the servers' zone, with a load bound of twice the mean.
pub(crate) fn picker(servers: &[BackendServer]) -> Picker {
    let mut picker = Picker::new("north".parse().expect("a valid zone"), 2.0);
    set_servers(&mut picker, Instant::now(), servers);
    picker
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster.servers().map(|s| s.id.server.as_str()).collect()
}

#[test]
fn a_missing_entry_is_removed_at_once() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_list(now, now, [server("a", 1), server("b", 2)]);
    let change = roster.apply_list(now + SECOND, now + SECOND, [server("a", 1)]);
    assert_eq!(ids(&roster), ["a"]);
    assert_eq!(change.removed, ["b".parse::<Incarnation>().expect("a valid id")]);
}

// An instance whose calls the store rejected kept missing entries for 2.5 s afterwards, as after an outage of the
// store, although other instances had kept its list fresh and the servers had in fact been removed.
#[test]
fn an_entry_missing_after_others_kept_the_list_fresh_is_removed_at_once() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_list(now, now, [server("a", 1), server("b", 2)]);
    for passed in [2, 4, 6] {
        let at = now + SECOND * passed;
        roster.apply_list(at, at - SECOND, [server("a", 1), server("b", 2)]);
    }
    let at = now + SECOND * 7;
    roster.apply_list(at, at, [server("a", 1)]);
    assert_eq!(ids(&roster), ["a"]);
}

#[test]
fn entries_that_expired_in_an_outage_are_kept_for_a_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_list(now, now, [server("a", 1), server("b", 2), server("c", 3)]);
    let back = now + SECOND * 6;
    roster.apply_list(back, back, [server("a", 1)]);
    assert_eq!(ids(&roster), ["a", "b", "c"]);
    let later = back + SECOND;
    roster.apply_list(later, later, [server("a", 1), server("b", 2)]);
    assert_eq!(ids(&roster), ["a", "b", "c"]);
    let last = back + SECOND * 3;
    roster.apply_list(last, last, [server("a", 1), server("b", 2)]);
    assert_eq!(ids(&roster), ["a", "b"]);
}

#[test]
fn a_missing_entry_whose_address_was_reused_is_removed_even_after_an_outage() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_list(now, now, [server("a", 1), server("b", 2)]);
    let back = now + SECOND * 6;
    roster.apply_list(back, back, [server("a", 1), server("new", 2)]);
    assert_eq!(ids(&roster), ["a", "new"]);
}

#[test]
fn an_older_list_changes_nothing() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_list(now, now, [server("a", 1)]);
    let change = roster.apply_list(now + SECOND, now - SECOND, [server("b", 2)]);
    assert_eq!(ids(&roster), ["a"]);
    assert!(change.added.is_empty());
}

fn route(host: &str, prefix: &str) -> Route {
    let share = ServiceShare { service: "llm".parse().expect("a valid name"), weight: 1.0 };
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: SECOND,
        target_latency: SECOND,
        gap_target: None,
        priority: 0,
        shares: vec![share],
        max_attempts: 2,
        public: false,
        affinity: false,
        homes: HomeRegions::Anywhere,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = ["/", "/a/", "/a/b/"].map(|prefix| route("x.example", prefix));
    let table = RouteTable::new(routes.into_iter().chain([route("y.example", "/only/")]));
    let cases = [
        ("x.example", "/a/b/c", Some("/a/b/")),
        ("x.example", "/a/b", Some("/a/")),
        ("x.example", "/a/b/?q=/a/b/c/", Some("/a/b/")),
        ("X.Example:8080", "/a/", Some("/a/")),
        ("x.example", "/z?x=/a/", Some("/")),
        ("y.example", "/other", None),
        ("z.example", "/a/", None),
    ];
    for (host, target, expected) in cases {
        let found = table.find(host, target).map(|route| route.prefix.as_str());
        assert_eq!(found, expected, "{host}{target}");
    }
}

#[test]
fn a_route_splits_requests_by_weight() {
    let mut split = route("x", "/");
    split.shares = [("old", 90.0), ("none", 0.0), ("new", 10.0)]
        .map(|(name, weight)| ServiceShare { service: name.parse().expect("a valid name"), weight })
        .to_vec();
    let mut counts: IndexMap<String, usize> = IndexMap::new();
    for i in 0..10_000_u64 {
        let hash = i * (u64::MAX / 10_000);
        let service = split.service_for(hash).expect("a service");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    assert_eq!(counts.get("none"), None);
    assert!((990..=1010).contains(&counts["new"]), "{counts:?}");
    split.shares.iter_mut().for_each(|share| share.weight = 0.0);
    assert_eq!(split.service_for(7), None);
}

fn intent(version: u64, idle: Duration) -> Intent {
    let limits = cartvane::routing::CallerLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_time: SECOND,
        idle_time: idle,
    };
    let (routes, services) = (RouteTable::default(), IndexMap::new());
    Intent { version, routes, services, limits, teams: Teams::new(None) }
}

#[test]
fn an_older_intent_is_not_applied() {
    let mut active = ActiveIntent::default();
    assert!(active.offer(intent(7, SECOND)));
    assert!(!active.offer(intent(3, SECOND)));
    assert!(!active.offer(intent(7, SECOND)));
    assert!(active.offer(intent(12, SECOND)));
    assert_eq!(active.version(), 12);
}

#[test]
fn a_shorter_idle_time_does_not_disconnect_callers_that_know_the_previous_one() {
    let mut active = ActiveIntent::default();
    active.offer(intent(1, SECOND * 15));
    active.offer(intent(2, SECOND * 5));
    assert_eq!(active.idle_time(), SECOND * 15);
}

const TERMS: BudgetTerms = BudgetTerms { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

// Whatever the requests, all instances together stay within the fleet's budget in every window.
#[test]
fn instances_together_stay_within_the_fleets_retry_budget() {
    let config = Config { cases: 64, rng_seed: RngSeed::Fixed(7), ..Config::default() };
    let strategy = proptest::collection::vec((0..8_usize, 0..400_u64, any::<bool>()), 1..600);
    TestRunner::new(config)
        .run(&strategy, |events| {
            let start = Instant::now();
            let mut now = start;
            let mut budgets: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::new(None)).collect();
            let (mut requests, mut retries) = (Vec::new(), Vec::new());
            for (instance, gap, wants_retry) in events {
                now += Duration::from_millis(gap);
                budgets[instance].record_request(now, &TERMS);
                requests.push(now);
                if wants_retry && budgets[instance].take(now, &TERMS, 8, 0.0) {
                    retries.push(now);
                }
                let within = |times: &[Instant]| {
                    times.iter().filter(|&&at| now - at <= TERMS.window).count() as f64
                };
                let bound = TERMS.ratio * within(&requests) + TERMS.slack;
                prop_assert!(within(&retries) <= bound);
            }
            Ok(())
        })
        .expect("the budget is kept");
}

#[test]
fn retries_of_slow_requests_leave_budget_for_failures() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(None);
    (0..100).for_each(|_| budget.record_request(now, &TERMS));
    let spent = |budget: &mut RetryBudget, reserve| {
        (0..1000).filter(|_| budget.take(now, &TERMS, 8, reserve)).count()
    };
    let slow = spent(&mut budget, 0.5);
    let failures = spent(&mut budget, 0.0);
    assert!(slow > 0 && failures > 0, "{slow} {failures}");
    assert!(budget.take(now + TERMS.window * 2, &TERMS, 8, 0.0), "old retries expire");
}

#[test]
fn events_are_returned_complete() {
    let mut splitter = EventSplitter::after(Some("4".to_owned()));
    assert_eq!(splitter.push(b"id: 5\nda"), b"");
    assert_eq!(splitter.last_id(), Some("4"));
    assert_eq!(
        splitter.push(b"ta: x\n\nid: 6\ndata: y\n\nid: 7"),
        b"id: 5\ndata: x\n\nid: 6\ndata: y\n\n"
    );
    assert_eq!(splitter.last_id(), Some("6"));
    splitter.discard_partial();
    assert_eq!(splitter.push(b"id: 7\n\n"), b"id: 7\n\n");
    assert_eq!(splitter.buffered(), 0);
}

// However the bytes are split, every event is returned complete, once and in order.
#[test]
fn events_stay_complete_for_any_split_of_the_bytes() {
    let stream: Vec<u8> = (1..40)
        .flat_map(|i| format!("id: {i}\ndata: {}\n\n", "z".repeat(i)).into_bytes())
        .collect();
    let config = Config { cases: 64, rng_seed: RngSeed::Fixed(11), ..Config::default() };
    TestRunner::new(config)
        .run(&proptest::collection::vec(1..30_usize, 400), |cuts| {
            let mut splitter = EventSplitter::default();
            let (mut out, mut at) = (Vec::new(), 0);
            for cut in cuts {
                let end = (at + cut).min(stream.len());
                let events = splitter.push(&stream[at..end]);
                prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
                out.extend(events);
                at = end;
            }
            out.extend(splitter.push(&stream[at..]));
            prop_assert_eq!(&out, &stream);
            prop_assert_eq!(splitter.last_id(), Some("39"));
            Ok(())
        })
        .expect("events are complete");
}

#[test]
fn pauses_of_an_unreachable_server_grow() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut pauses = Vec::new();
    for _ in 0..6 {
        health.note_unreachable(now);
        let from = now;
        while health.is_paused(now) {
            now += Duration::from_millis(10);
        }
        pauses.push(now - from);
    }
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]), "{pauses:?}");
    assert_eq!(pauses[0], Duration::from_millis(500));
    assert_eq!(pauses[5], Duration::from_secs(4));
    health.note_success(now);
    health.note_unreachable(now);
    assert!(!health.is_paused(now + Duration::from_millis(500)), "a success resets the pause");
}

#[test]
fn a_report_loses_weight_with_age_and_own_requests_count_at_once() {
    let now = Instant::now();
    let mut load = Load::default();
    load.start_request();
    load.report(now, LoadReport { running: 20, waiting: 0, slots: 64 });
    let fresh = load.estimate(now, 5.0);
    assert!((fresh - 20.0).abs() < 0.01, "{fresh}");
    load.start_request();
    assert!((load.estimate(now, 5.0) - 21.0).abs() < 0.01);
    let old = load.estimate(now + SECOND * 20, 5.0);
    assert!((old - 5.0).abs() < 0.1, "{old}");
    load.finish_request();
    load.finish_request();
    load.finish_request();
    assert_eq!(load.own(), 0);
}

// Whatever changes between two lists, applying the update to the old list gives the new one.
#[test]
fn an_update_of_a_list_turns_the_old_one_into_the_new_one() {
    let config = Config { cases: 128, rng_seed: RngSeed::Fixed(3), ..Config::default() };
    let entry = (0..30_u16, any::<bool>());
    let list = proptest::collection::vec(entry, 0..25);
    let make = |entries: Vec<(u16, bool)>| {
        let servers: IndexMap<u16, BackendServer> = entries
            .into_iter()
            .map(|(i, leaving)| (i, BackendServer { leaving, ..server(&format!("s{i}"), i) }))
            .collect();
        servers.into_values().collect::<Vec<_>>()
    };
    TestRunner::new(config)
        .run(&(list.clone(), list), |(old, new)| {
            let (old, new) = (make(old), make(new));
            let mut history = ListHistory::default();
            history.push(old.clone());
            let version = history.newest().map(|(version, _)| *version);
            history.push(new.clone());
            let sorted = |mut list: Vec<BackendServer>| {
                list.sort_by(|a, b| a.id.cmp(&b.id));
                list
            };
            let update = history.since(version);
            prop_assert_eq!(
                sorted(update.apply(&old).expect("the update applies")),
                sorted(new.clone())
            );
            let whole = history.since(None);
            prop_assert!(matches!(&whole, ServerListUpdate::Whole(_)));
            prop_assert_eq!(sorted(whole.apply(&[]).expect("the list applies")), sorted(new));
            Ok(())
        })
        .expect("updates give the new list");
}
