//! Instances that have stopped.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cartvane::routing::Aggregate;

use crate::{support::eventually, testbed::start};

// Guards against threads of an instance that go on after its handle was dropped: they sent reports to ports that other
// instances had by then, and a fleet of two counted three.
#[test]
fn an_instance_whose_handle_is_dropped_sends_nothing_more() {
    let testbed = start(1);
    let gateway = Arc::clone(testbed.instance.gateway());
    drop(testbed.instance);
    eventually("no thread of the instance is left", || Arc::strong_count(&gateway) == 1);
}

/// Reports of the instances at `nodes`, several a second, for `time`; returns the time after them.
fn report(aggregate: &mut Aggregate, nodes: &[&str], mut now: Instant, time: Duration) -> Instant {
    let until = now + time;
    while now < until {
        now += Duration::from_millis(250);
        for node in nodes {
            aggregate.record_counts(now, node.parse().expect("a name"), Vec::new());
        }
    }
    now
}

/// Guards against an instance that takes others for stopped since it was suspended itself.
#[test]
fn an_instance_has_stopped_if_it_is_silent_for_a_minute_while_others_report() {
    const MINUTE: Duration = Duration::from_secs(61);
    let (first, other) = ("first".parse().expect("a name"), "other".parse().expect("a name"));
    let mut aggregate = Aggregate::default();
    let now = report(&mut aggregate, &["first", "other"], Instant::now(), MINUTE);
    assert!(!aggregate.has_stopped(now, &other) && aggregate.is_running(now, &other));
    let resumed = now + MINUTE;
    assert!(!aggregate.has_stopped(resumed, &other), "the aggregator itself was suspended");
    let now = report(&mut aggregate, &["first"], resumed, Duration::from_secs(50));
    assert!(!aggregate.has_stopped(now, &other), "50 s of reports after the suspension");
    assert!(!aggregate.is_running(now, &first), "it cannot tell yet");
    let now = report(&mut aggregate, &["first"], now, Duration::from_secs(15));
    assert!(aggregate.has_stopped(now, &other), "65 s of reports without one of it");
    assert!(!aggregate.has_stopped(now, &first) && aggregate.is_running(now, &first));
}
