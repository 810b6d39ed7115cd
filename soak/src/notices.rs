//! Backend servers that say something of themselves in their answers, and the promise that it is heeded.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use standins::{fault::Fault, listed::SentNotice, server::Received};

use crate::{
    checks::Checks,
    fleet::Fleet,
    run::{TOLERANCE, replace_server},
};

/// Time after an answer within which requests may still arrive that were on their way.
const IN_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// How long it is watched that nothing more arrives at a server that leaves.
const WATCH_TIME: Duration = Duration::from_millis(2500);

/// A server says in its answers that it leaves, while its entry says that it is ready; then another takes its place.
pub(crate) fn announce_leaving(fleet: &Fleet, checks: &Checks, endpoint: usize) {
    let since = Instant::now();
    let server = lock(&fleet.endpoints[endpoint]).server;
    lock(&fleet.servers)[server].leaves();
    thread::sleep(WATCH_TIME + TOLERANCE);
    check(fleet, checks, endpoint, server, since);
    if lock(&fleet.endpoints[endpoint]).server == server {
        replace_server(fleet, checks, endpoint);
    }
}

/// A server turns requests away for a while, each time with the time for which it wants none.
pub(crate) fn announce_backoff(
    fleet: &Fleet,
    checks: &Checks,
    endpoint: usize,
    time: Duration,
    backoff: Duration,
) {
    let since = Instant::now();
    let server = lock(&fleet.endpoints[endpoint]).server;
    let set = |fault| lock(&fleet.servers)[server].faults.set_standing(fault);
    set(Some(Fault::RefuseFor(backoff)));
    thread::sleep(time);
    set(None);
    thread::sleep(backoff + IN_TRANSIT_TIME);
    check(fleet, checks, endpoint, server, since);
}

/// Checks what has arrived at a server since `since` against what it has said since then.
fn check(fleet: &Fleet, checks: &Checks, endpoint: usize, server: usize, since: Instant) {
    if lock(&fleet.endpoints[endpoint]).disturbed_at + TOLERANCE > since {
        // Its answers may have been lost.
        return;
    }
    let (id, notices, arrivals) = {
        let servers = lock(&fleet.servers);
        (servers[server].id.clone(), servers[server].notices(), servers[server].arrivals())
    };
    for notice in notices.iter().filter(|notice| notice.at >= since) {
        let Some(number) = instance(&notice.request) else { continue };
        if is_disturbed(fleet, number, notice.at) {
            continue;
        }
        if let Some(unwanted) = arrivals.iter().find(|arrival| is_unwanted(notice, arrival)) {
            let late = unwanted.at.saturating_duration_since(notice.at).as_millis();
            let observed = format!("at {id}, {late} ms after {notice:?}");
            let request = unwanted.head.header("x-request-id").unwrap_or_default();
            checks.report_violation("what a server says in an answer is heeded", request, observed);
            return;
        }
    }
}

/// Returns whether something was done to an instance since a moment.
fn is_disturbed(fleet: &Fleet, number: usize, since: Instant) -> bool {
    let Ok(instance) = fleet.instances[number].try_lock() else { return true };
    instance.disturbed_at + TOLERANCE > since
}

/// Returns whether a request came from the same instance at a time when the server wanted none.
fn is_unwanted(notice: &SentNotice, arrival: &Received) -> bool {
    let request = arrival.head.header("x-request-id").unwrap_or_default();
    if instance(request) != instance(&notice.request) {
        return false;
    }
    let from = notice.at + IN_TRANSIT_TIME;
    let is_before_end = |backoff| arrival.at < notice.at + backoff;
    arrival.at > from && notice.backoff.is_none_or(is_before_end)
}

/// Returns the number of the instance that a caller sent a request to, which is in its id.
fn instance(request: &str) -> Option<usize> {
    request.rsplit_once("-i")?.1.parse().ok()
}
