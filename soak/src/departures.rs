//! Backend servers that leave: none of the instances sends them requests once the drain time has passed.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    checks::Checks,
    fleet::{DRAIN_TIME, Fleet},
    processes::freeze,
    run::{TOLERANCE, is_undisturbed},
};

/// How long a server that leaves is watched for requests, once it must not receive any.
pub(crate) const DRAINING_WATCH_TIME: Duration = Duration::from_millis(700);

/// The same for one that leaves while instances are stopped: these report to each other again within some seconds.
const UNNOTICED_WATCH_TIME: Duration = Duration::from_secs(3);

/// Replaces a server by a new one with another id.
pub(crate) fn replace_server(fleet: &Fleet, checks: &Checks, endpoint: usize) {
    if let Err(error) = fleet.replace_server(endpoint) {
        checks.report_violation("the soak itself works", "replace", error.to_string());
    }
}

/// Removes the entry of a server while instances are stopped for `time`, and checks that the others send it nothing.
pub(crate) fn leave_unnoticed(
    fleet: &Fleet,
    checks: &Checks,
    endpoint: usize,
    stopped: Vec<usize>,
    time: Duration,
) {
    thread::scope(|scope| {
        scope.spawn(|| freeze(fleet, &stopped, time));
        let leave = || fleet.remove_entry(endpoint);
        check_departure(fleet, checks, endpoint, UNNOTICED_WATCH_TIME, leave);
    });
}

/// Has a server leave by a change of its entry, and checks that no request arrives there once the drain time has passed.
pub(crate) fn check_departure(
    fleet: &Fleet,
    checks: &Checks,
    endpoint: usize,
    watch_time: Duration,
    leave: impl FnOnce(),
) {
    let since = Instant::now();
    let (leaving, _) = fleet.arrivals(endpoint);
    leave();
    thread::sleep(DRAIN_TIME + TOLERANCE);
    let (id, before) = fleet.arrivals(endpoint);
    thread::sleep(watch_time);
    let (still, after) = fleet.arrivals(endpoint);
    // Another event may have put a new server in its place.
    if id == leaving && still == leaving {
        // A request id contains the number of the instance that the caller sent it to.
        for request in &after[before.len()..] {
            let number = request.rsplit_once("-i").and_then(|(_, number)| number.parse().ok());
            if number.is_some_and(|number| is_undisturbed(fleet, number, since)) {
                checks.report_violation(
                    "a server that leaves receives no new requests",
                    request,
                    format!("at {id}"),
                );
            }
        }
    }
    replace_server(fleet, checks, endpoint);
}
