//! Requests that an instance takes while it is stopped as planned.

use std::time::{Duration, Instant};

use cartvane::gateway::drain::Drain;
use standins::fault::Fault;

use crate::testbed::{call, start};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time from the signal to the kill.
const GRACE: Duration = ms(2000);

// Guards against requests that are taken late, passed on, and cut without an answer when the process ends.
#[test]
fn a_request_that_lasts_longer_than_the_grace_is_answered_before_the_process_ends() {
    let testbed = start(1);
    let gateway = testbed.instance.gateway();
    let started = Instant::now();
    gateway.drain.start(gateway.clock.now(), GRACE);
    testbed.fault(Fault::Late(ms(2600)));
    let answer = testbed.send(&call("/once/", "late"));
    assert_eq!(answer.status, 504, "it may have run");
    assert!(started.elapsed() < GRACE - ms(700), "{:?}", started.elapsed());
    assert_eq!(testbed.runs("late"), 1);
}

#[test]
fn late_in_the_grace_only_requests_that_end_in_time_are_taken() {
    let drain = Drain::open().expect("a pipe");
    let now = Instant::now();
    assert!(drain.has_time_for(now, ms(60_000)), "the instance is not stopped");
    drain.start(now, ms(8000));
    // Callers cannot use another instance yet.
    assert!(drain.has_time_for(now + ms(2000), ms(60_000)));
    assert!(drain.has_time_for(now + ms(3000), ms(3000)));
    assert!(!drain.has_time_for(now + ms(3000), ms(8000)));
    assert!(!drain.has_time_for(now + ms(7200), ms(200)));
}
