//! The choice of a server for a request that goes on with a stream: only servers of the version that began it, under all
//! other rules.

use std::time::{Duration, Instant};

use cartvane::{
    adapter::{servers::decode_all, store::StoreRow},
    names::SoftwareVersion,
    routing::{
        BackendServer, Incarnation, PickError, PickRequest, Picker, VersionRule, VersionSplit,
    },
};
use serde_json::json;

use crate::routing::{picker, server};

fn version(name: &str) -> Option<SoftwareVersion> {
    Some(name.parse().expect("a version"))
}

/// Returns servers with these versions.
fn servers(versions: &[&str]) -> Vec<BackendServer> {
    let server = |(i, name): (usize, &&str)| {
        let number = u16::try_from(i).expect("a port");
        BackendServer { version: version(name), ..server(&format!("s{i}"), number) }
    };
    versions.iter().enumerate().map(server).collect()
}

/// Returns the servers that requests under `rule` go to, and the error once there is none.
fn picked(picker: &Picker, rule: &VersionRule) -> (Vec<String>, PickError) {
    let service = "llm".parse().expect("a name");
    let mut tried: Vec<Incarnation> = Vec::new();
    loop {
        let request = PickRequest {
            version: rule,
            tried: &tried,
            affinity: Some(7),
            ..PickRequest::new(&service)
        };
        match picker.pick(Instant::now(), &request) {
            Ok(picked) => tried.push(picked.server.id.clone()),
            Err(error) => {
                let mut ids: Vec<String> = tried.iter().map(Incarnation::to_string).collect();
                ids.sort();
                return (ids, error);
            }
        }
    }
}

fn only(name: &str) -> VersionRule {
    VersionRule::Only(version(name))
}

fn split(to: Option<&str>, servers: usize, barred: &[&str]) -> VersionSplit {
    VersionSplit {
        service: "llm".parse().expect("a name"),
        to: to.and_then(version),
        share: 0.0,
        until: None,
        servers,
        barred: barred.iter().filter_map(|name| version(name)).collect(),
    }
}

/// Guards against a stream that goes on at another version since its own is busier or down.
#[test]
fn a_stream_goes_on_only_at_servers_of_its_version() {
    let all = servers(&["v1", "v2", "v1", "v2", "v3"]);
    let mut picker = picker(&all);
    for _ in 0..50 {
        picker.start_request(Instant::now(), &all[0].id);
        picker.start_request(Instant::now(), &all[2].id);
    }
    assert_eq!(picked(&picker, &only("v1")).0, ["s0", "s2"]);
    picker.note_unreachable(Instant::now(), &all[0].id);
    picker.note_unreachable(Instant::now(), &all[2].id);
    assert_eq!(picked(&picker, &only("v1")).0, ["s0", "s2"], "paused ones are tried again");
    assert_eq!(picked(&picker, &only("v9")), (vec![], PickError::NoServer));
    assert_eq!(picked(&picker, &VersionRule::Any).0.len(), 5);
}

/// Guards against a stream of servers that state no version, which goes on at one that has joined and states one.
#[test]
fn a_stream_without_a_version_goes_on_only_at_servers_without_one() {
    let without = |server: BackendServer| BackendServer { version: None, ..server };
    let mut all: Vec<BackendServer> = servers(&["v1", "v1"]).into_iter().map(without).collect();
    let rule = picker(&all).rule_of_stream(&all[0]);
    all.push(BackendServer { version: version("v2"), ..server("s2", 2) });
    assert_eq!(picked(&picker(&all), &rule).0, ["s0", "s1"]);
}

/// Guards against a stream whose version opens doors that are closed to other requests.
#[test]
fn servers_that_get_no_new_requests_get_no_streams_of_their_version() {
    let mut all = servers(&["v1", "v1", "v1", "v2"]);
    all[0].leaving = true;
    let mut picker = picker(&all);
    picker.note_backoff(Instant::now(), &all[1].id, Duration::from_secs(5));
    assert_eq!(picked(&picker, &only("v1")).0, ["s2"]);
    picker.note_backoff(Instant::now(), &all[2].id, Duration::from_secs(9));
    let (none, error) = picked(&picker, &only("v1"));
    assert!(none.is_empty() && matches!(error, PickError::Backoff { .. }), "{none:?} {error:?}");
    let _ = picker.set_evacuated(["north".parse().expect("a zone")].into_iter().collect());
    assert_eq!(picked(&picker, &VersionRule::Any), (vec![], PickError::NoServer));
}

/// Guards against streams that go on at a version that was rolled back, or that leave a version on trial.
#[test]
fn a_roll_out_bars_its_versions_for_streams_too() {
    let mut picker = picker(&servers(&["v1", "v2", "v2", "v2", "v1"]));
    picker.set_version_splits(vec![split(Some("v2"), 1, &[])]);
    let (on_trial, _) = picked(&picker, &only("v2"));
    assert_eq!(on_trial.len(), 3, "{on_trial:?}");
    assert_eq!(picked(&picker, &only("v1")).0, ["s0", "s4"]);
    picker.set_version_splits(vec![split(None, 0, &["v2"])]);
    assert_eq!(picked(&picker, &only("v2")), (vec![], PickError::NoServer));
}

/// Guards against versions that are taken for the same since neither is understood.
#[test]
fn versions_that_are_no_names_are_told_apart() {
    let entry = |number: u64, version: &str| {
        let value = json!({
            "service": "llm", "address": format!("10.0.0.1:{}", 1 + number), "zone": "north",
            "version": version, "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": 1
        });
        StoreRow {
            key: format!("s{number}"),
            value: value.to_string().into(),
            version: number,
            removed: false,
        }
    };
    let (long, longer) = ("x".repeat(300), "x".repeat(301));
    let rows = [entry(0, &long), entry(1, &longer), entry(2, &long), entry(3, ""), entry(4, "")];
    let all = decode_all(&rows).servers;
    assert_eq!(all.len(), rows.len());
    let picker = picker(&all);
    let rule = |server: usize| picker.rule_of_stream(&all[server]);
    assert_eq!(picked(&picker, &rule(0)).0, ["s0", "s2"]);
    assert_eq!(picked(&picker, &rule(1)).0, ["s1"]);
    assert!(picked(&picker, &rule(3)).0.is_empty(), "no version is not the same as no version");
}

/// Guards against streams that cannot be resumed at servers that state no versions at all.
#[test]
fn a_service_without_versions_needs_none() {
    let all = vec![server("s0", 0), server("s1", 1)];
    let picker = picker(&all);
    assert_eq!(picked(&picker, &picker.rule_of_stream(&all[0])).0, ["s0", "s1"]);
}
