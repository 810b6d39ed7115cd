//! When an instance polls the store for the intent in place of those of higher rank, on a simulated clock.

use std::time::{Duration, Instant};

use cartvane::routing::{CallFailure, InstanceInfo, ReaderTakeover};

use crate::testbed::port;

/// A quarter of it, two seconds, is the longest silence.
const BOUND: Duration = Duration::from_secs(8);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn instance(node: &str, number: u16) -> InstanceInfo {
    let (node, zone) = (node.parse().expect("a name"), "north".parse().expect("a zone"));
    InstanceInfo { node, zone, address: port(number), cores: 1.0 }
}

// Guards against further copies of a large intent on a busy machine: an instance whose exchanges with the aggregator
// took longer than 0.3 s polled the store at once, and each such instance read the changed intent.
#[test]
fn a_slow_instance_keeps_its_role_and_one_that_stays_silent_loses_it() {
    let now = Instant::now();
    let higher = [instance("a", 1)];
    let mut takeover = ReaderTakeover::new(BOUND);
    assert!(!takeover.is_due(now, &higher), "an instance that was not called yet");
    for millis in [0, 1300, 1900] {
        takeover.note_failure(now + ms(millis), &higher[0].node, CallFailure::Silent);
        assert!(!takeover.is_due(now + ms(millis), &higher));
    }
    let mut answering = ReaderTakeover::new(BOUND);
    answering.note_failure(now, &higher[0].node, CallFailure::Silent);
    answering.note_reply(&higher[0].node);
    answering.note_failure(now + ms(1900), &higher[0].node, CallFailure::Silent);
    assert!(!answering.is_due(now + ms(2000), &higher), "it replied in the meantime");
    assert!(takeover.is_due(now + ms(2000), &higher), "silent since the first failure");
    takeover.note_reply(&higher[0].node);
    assert!(!takeover.is_due(now + ms(2000), &higher), "it replies again");
}

// Guards against a wait for an instance that has stopped.
#[test]
fn an_instance_that_refuses_connections_is_replaced_at_once() {
    let now = Instant::now();
    let higher = [instance("a", 1), instance("b", 2)];
    let mut takeover = ReaderTakeover::new(BOUND);
    takeover.note_failure(now, &higher[0].node, CallFailure::Failed);
    assert!(!takeover.is_due(now, &higher), "the second in rank polls");
    takeover.note_failure(now, &higher[1].node, CallFailure::Failed);
    assert!(takeover.is_due(now, &higher));
    assert!(takeover.is_due(now, &[]), "the first in rank polls in any case");
    assert!(!takeover.is_due(now, &higher), "instances that left the list are forgotten");
}

// Guards against probes of several instances, and of instances that have stopped.
#[test]
fn only_the_instance_that_would_poll_probes_those_that_may_be_slow() {
    let now = Instant::now();
    let higher = [instance("a", 1), instance("b", 2)];
    let mut takeover = ReaderTakeover::new(BOUND);
    takeover.note_failure(now, &higher[0].node, CallFailure::Silent);
    assert_eq!(takeover.probe(&higher), None, "the second in rank replies or was not called");
    takeover.note_failure(now, &higher[1].node, CallFailure::Failed);
    assert_eq!(takeover.probe(&higher), Some(&higher[0]));
    takeover.note_failure(now, &higher[0].node, CallFailure::Failed);
    assert_eq!(takeover.probe(&higher), None, "an instance that has stopped");
}
