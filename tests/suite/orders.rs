//! Orders to engines: staged, under a lease, safe against paused holders.

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

fn engines(seen: &[Observation]) -> Vec<(Tag, Observation)> {
    seen.iter().enumerate().map(|(at, seen)| (Tag(at as u32), *seen)).collect()
}

#[test]
fn a_rollout_keeps_enough_serving_and_loads_few_at_once() {
    let terms = RolloutLimits { loads_at_once: 2, min_serving: 0.5 };
    let table: [(&[Observation], usize); 8] = [
        // Two at once: one loads something else already and is ordered anew, and one more follows.
        (&[DUE, DUE, DUE, Observation::Responded { up_to_date: false, ready: false }], 2),
        (&[DUE; 8], 2),
        (&[DUE, DUE, DUE, LOADING], 1),
        (&[DUE, DUE, LOADING, LOADING], 0),
        (&[DUE, DUE, Observation::Unreachable, Observation::Unreachable], 0),
        (&[READY, READY, READY, DUE], 1),
        (&[READY; 4], 0),
        (&[DUE], 1),
    ];
    for (seen, count) in table {
        let due = Rollout::default().next_engines(Instant::now(), &engines(seen), terms);
        assert_eq!(due.len(), count, "{seen:?}");
    }
}

#[test]
fn an_order_that_failed_is_given_again_later_and_later() {
    let terms = RolloutLimits { loads_at_once: 1, min_serving: 0.0 };
    let mut rollout = Rollout::default();
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..3 {
        rollout.note_failure(now, Tag(0));
        let began = now;
        while rollout.next_engines(now, &engines(&[DUE]), terms).is_empty() {
            assert_eq!(rollout.progress(), Progress { failed: 1, ..Progress::default() });
            now += Duration::from_millis(500);
        }
        pauses.push(now - began);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
    rollout.next_engines(now, &engines(&[READY]), terms);
    rollout.note_failure(now, Tag(0));
    assert!(
        !rollout.next_engines(now + pauses[0], &engines(&[DUE]), terms).is_empty(),
        "success forgets failures"
    );
}

fn ordered_fleet(checks_fencing: bool) -> Fleet {
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
fn a_new_version_reaches_every_engine_while_enough_serve() {
    let mut fleet = ordered_fleet(true);
    eventually("the first version is everywhere", || versions(&fleet) == ["1"; 4]);
    fleet.spec.fleet_lines = model("2");
    fleet.apply().expect("applied");
    let most = std::cell::Cell::new(0);
    eventually("the second version is everywhere", || {
        let chat = chat("during the rollout", 2);
        let answer = send(&fleet, 1, &chat_call(&chat));
        assert!(answer.whole, "{}", answer.text());
        most.set(most.get().max(loading(&fleet)));
        versions(&fleet) == ["2"; 4]
    });
    assert_eq!(most.get(), 1, "one at once");
    let rows: Vec<serde_json::Value> =
        serde_json::from_str(&fleet.get_text(0, "/v1/audit?entity=engine-02").expect("the trail"))
            .expect("rows");
    let orders = rows.iter().filter(|row| {
        row["action"] == "order"
            && row["detail"].as_str().is_some_and(|d| d.contains("writer@2: taken"))
    });
    assert_eq!(orders.count(), 1, "{rows:?}");
}

/// Freezes whoever holds the lease, applies a new version, and lets the frozen one go on.
fn paused_holder(checks_fencing: bool) {
    let mut fleet = ordered_fleet(checks_fencing);
    eventually("the first version is everywhere", || versions(&fleet) == ["1"; 4]);
    let status = fleet.status(0).expect("status");
    let holder = status
        .instances
        .iter()
        .find(|i| i.shards.iter().any(|s| s.orders.is_some_and(|o| o.fencing.is_some())));
    let holder = holder.expect("somebody holds the lease").id.to_string();
    let frozen = fleet.routers.iter().position(|r| r.id == holder).expect("a router");
    fleet.routers[frozen].signal(Signal::STOP);
    fleet.spec.fleet_lines = model("2");
    let file = fleet.file();
    let _: serde_json::Value = fleet.post(1 - frozen, "/v1/apply", &file).expect("applied");
    // Another holds the lease once the row has stood still for its life.
    let until = Instant::now() + Duration::from_secs(40);
    while versions(&fleet) != ["2"; 4] {
        assert!(Instant::now() < until, "the new holder has not ordered: {:?}", versions(&fleet));
        std::thread::sleep(Duration::from_millis(50));
    }
    let fencing = fleet.engines[0].order().0.fencing;
    assert!(fencing >= 2, "a new holder has a greater number: {fencing}");
    fleet.routers[frozen].signal(Signal::CONT);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(versions(&fleet), ["2"; 4], "the paused holder changes nothing");
}

#[test]
fn a_paused_holder_changes_nothing_at_engines_that_check_numbers() {
    paused_holder(true);
}

#[test]
fn a_paused_holder_changes_nothing_at_engines_that_ignore_numbers() {
    paused_holder(false);
}
