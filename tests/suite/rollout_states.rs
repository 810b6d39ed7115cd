//! How long the state of a roll-out is valid at the instances that pass it on to each other.

use std::time::{Duration, Instant};

use cartvane::{
    names::ServiceName,
    routing::{RolloutOrder, RolloutState, RolloutStates, RolloutUpdate, Stage},
};

/// How long the share of a trial is valid.
const SHARE_TTL: Duration = Duration::from_millis(2500);

/// Time between the exchanges of an instance.
const PERIOD: Duration = Duration::from_millis(250);

/// Time that a message takes from the sender to the receiver, which may be short of processor time.
const TRANSIT: Duration = Duration::from_millis(300);

fn service() -> ServiceName {
    "app".parse().expect("a name")
}

/// Returns the states of an instance that knows the order to roll out v2.
fn ordered() -> RolloutStates {
    let mut states = RolloutStates::default();
    let to = "v2".parse().expect("a version");
    let order = RolloutOrder { to, time_limit: Duration::from_secs(12) };
    states.set_orders(&[(service(), order)].into());
    states
}

fn trial() -> RolloutState {
    RolloutState {
        service: service(),
        to: "v2".parse().expect("a version"),
        stage: Stage::Trial,
        term: 1,
        step: 0,
        share: 0.1,
        servers: 6,
        barred: Vec::new(),
        is_written: true,
    }
}

fn share(states: &RolloutStates, now: Instant) -> f64 {
    states.version_splits().pop().expect("a split").share(now)
}

/// Makes an exchange that begins at `sent_at`; returns when it ends.
fn exchange(sent_at: Instant, from: &mut RolloutStates, with: &mut RolloutStates) -> Instant {
    let received_at = sent_at + TRANSIT;
    for update in from.updates(sent_at) {
        with.merge_reported(received_at, &update);
    }
    for update in with.updates(received_at) {
        from.merge(sent_at, &update);
    }
    received_at + TRANSIT
}

// Guards against a version in trial that gets requests for long after its controller has lost the store. Two instances
// that sent the state to each other counted its age from the receipt, so it aged by a third of the time: requests reached
// a bad version 7 s after the last decision, instead of 2.5 s.
#[test]
fn the_share_of_a_trial_expires_although_instances_pass_it_on_slowly() {
    let (mut controller, mut other) = (ordered(), ordered());
    let decided_at = Instant::now();
    controller.merge(decided_at, &RolloutUpdate { state: trial(), age_ms: 0 });
    let mut now = decided_at;
    while now < decided_at + SHARE_TTL {
        now = exchange(now, &mut other, &mut controller) + PERIOD;
    }
    assert_eq!(share(&controller, now), 0.0);
    assert_eq!(share(&other, now), 0.0);
}

// Guards against a share that is never valid at an instance that is told of it.
#[test]
fn the_share_of_a_trial_is_valid_at_an_instance_that_asks() {
    let (mut controller, mut other) = (ordered(), ordered());
    let decided_at = Instant::now();
    controller.merge(decided_at, &RolloutUpdate { state: trial(), age_ms: 0 });
    let now = exchange(decided_at, &mut other, &mut controller);
    assert_eq!(share(&other, now), 0.1);
}

// Guards against an instance that resumes from a suspension and takes a report that has waited meanwhile for a recent
// one.
#[test]
fn a_report_does_not_make_the_share_of_a_trial_valid() {
    let mut states = ordered();
    let now = Instant::now();
    states.merge_reported(now, &RolloutUpdate { state: trial(), age_ms: 0 });
    assert_eq!(share(&states, now), 0.0);
    assert!(states.state(&service(), &trial().to).is_some(), "its stage and term are known");
}
