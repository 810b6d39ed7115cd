//! Orders to engines: rolled out in stages, under a lease, and safe against a lease holder that was paused.

use std::time::{Duration, Instant};

use cartvane::{
    contract::orders::{Observation, Progress, Rollout, RolloutLimits},
    names::Tag,
};
use rustix::process::Signal;
use standins::{engine::EngineConfig, fleet::Fleet};

use crate::support::{chat, chat_call, eventually, fleet, send, small};

const READY: Observation = Observation::Responded { up_to_date: true, ready: true };
const LOADING: Observation = Observation::Responded { up_to_date: true, ready: false };
const DUE: Observation = Observation::Responded { up_to_date: false, ready: true };

fn engines(observations: &[Observation]) -> Vec<(Tag, Observation)> {
    observations
        .iter()
        .enumerate()
        .map(|(at, observation)| (Tag(at as u32), *observation))
        .collect()
}

#[test]
fn a_rollout_keeps_enough_engines_serving_and_limits_loads() {
    let limits = RolloutLimits { loads_at_once: 2, min_serving: 0.5 };
    let table: [(&[Observation], usize); 8] = [
        // Two load at once: the one that is loading another state gets the new order, and one more is ordered.
        (&[DUE, DUE, DUE, Observation::Responded { up_to_date: false, ready: false }], 2),
        (&[DUE; 8], 2),
        (&[DUE, DUE, DUE, LOADING], 1),
        (&[DUE, DUE, LOADING, LOADING], 0),
        (&[DUE, DUE, Observation::Unreachable, Observation::Unreachable], 0),
        (&[READY, READY, READY, DUE], 1),
        (&[READY; 4], 0),
        (&[DUE], 1),
    ];
    for (observations, count) in table {
        let due = Rollout::default().next_engines(Instant::now(), &engines(observations), limits);
        assert_eq!(due.len(), count, "{observations:?}");
    }
}

#[test]
fn a_failed_order_is_retried_with_backoff() {
    let limits = RolloutLimits { loads_at_once: 1, min_serving: 0.0 };
    let mut rollout = Rollout::default();
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..3 {
        rollout.note_failure(now, Tag(0));
        let failed_at = now;
        while rollout.next_engines(now, &engines(&[DUE]), limits).is_empty() {
            assert_eq!(rollout.progress(), Progress { failed: 1, ..Progress::default() });
            now += Duration::from_millis(500);
        }
        pauses.push(now - failed_at);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
    rollout.next_engines(now, &engines(&[READY]), limits);
    rollout.note_failure(now, Tag(0));
    assert!(
        !rollout.next_engines(now + pauses[0], &engines(&[DUE]), limits).is_empty(),
        "a success resets the pause"
    );
}

fn fleet_with_orders(checks_fencing: bool) -> Fleet {
    let mut spec = small();
    spec.engines = 4;
    spec.engine =
        EngineConfig { checks_fencing, load_time: Duration::from_millis(300), ..spec.engine };
    spec.model_lines = "models = [\"writer\"]\nloads_at_once = 1\nmin_serving = 0.5".to_owned();
    spec.fleet_lines = model("1");
    fleet(spec)
}

fn model(version: &str) -> String {
    format!("[[model]]\nid = \"writer\"\nversion = \"{version}\"\nadapters = [\"wash\"]\n")
}

fn versions(fleet: &Fleet) -> Vec<String> {
    let version = |order: cartvane::contract::orders::EngineOrder| {
        order.state.models.first().map_or_else(String::new, |m| m.version.clone())
    };
    fleet.engines.values().map(|e| version(e.order().0)).collect()
}

fn loading(fleet: &Fleet) -> usize {
    fleet.engines.values().filter(|e| e.is_loading()).count()
}

#[test]
fn a_new_version_reaches_every_engine_while_enough_engines_serve() {
    let mut fleet = fleet_with_orders(true);
    eventually("the first version is everywhere", || versions(&fleet) == ["1"; 4]);
    fleet.spec.fleet_lines = model("2");
    fleet.apply().expect("applied");
    let max_loading = std::cell::Cell::new(0);
    eventually("the second version is everywhere", || {
        let chat = chat("during the rollout", 2);
        let response = send(&fleet, 1, &chat_call(&chat));
        assert!(response.whole, "{}", response.text());
        max_loading.set(max_loading.get().max(loading(&fleet)));
        versions(&fleet) == ["2"; 4]
    });
    assert_eq!(max_loading.get(), 1, "one engine loads at a time");
    let rows: Vec<serde_json::Value> = serde_json::from_str(
        &fleet.get_text(0, "/v1/audit?entity=engine-02").expect("the audit trail"),
    )
    .expect("rows");
    let orders = rows.iter().filter(|row| {
        row["action"] == "order"
            && row["detail"].as_str().is_some_and(|d| d.contains("writer@2: taken"))
    });
    assert_eq!(orders.count(), 1, "{rows:?}");
}

/// Suspends the holder of the lease, applies a new version, and resumes the holder after another instance has taken
/// the lease over and rolled the version out.
fn check_paused_lease_holder(checks_fencing: bool) {
    let mut fleet = fleet_with_orders(checks_fencing);
    eventually("the first version is everywhere", || versions(&fleet) == ["1"; 4]);
    let status = fleet.status(0).expect("status");
    let holder = status
        .instances
        .iter()
        .find(|i| i.shards.iter().any(|s| s.orders.is_some_and(|o| o.fencing.is_some())));
    let holder = holder.expect("an instance holds the lease").id.to_string();
    let suspended = fleet.routers.iter().position(|r| r.id == holder).expect("a router");
    fleet.routers[suspended].signal(Signal::STOP);
    fleet.spec.fleet_lines = model("2");
    let file = fleet.file();
    let _: serde_json::Value = fleet.post(1 - suspended, "/v1/apply", &file).expect("applied");
    // Another instance takes the lease over once the row has been unchanged for the lease's TTL.
    let until = Instant::now() + Duration::from_secs(40);
    while versions(&fleet) != ["2"; 4] {
        assert!(
            Instant::now() < until,
            "the new holder has not rolled the version out: {:?}",
            versions(&fleet)
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    let fencing = fleet.engines[0].order().0.fencing;
    assert!(fencing >= 2, "a new holder has a higher fencing number, not {fencing}");
    fleet.routers[suspended].signal(Signal::CONT);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(versions(&fleet), ["2"; 4], "the resumed holder changes nothing");
}

#[test]
fn a_paused_lease_holder_changes_nothing_at_engines_that_check_fencing() {
    check_paused_lease_holder(true);
}

#[test]
fn a_paused_lease_holder_changes_nothing_at_engines_that_ignore_fencing() {
    check_paused_lease_holder(false);
}
