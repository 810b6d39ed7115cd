//! Backend servers that announce in their responses that they leave or back off, and the check that instances comply.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use standins::{fault::Fault, listed::SentNotice, server::Received};

use crate::{checks::Checks, departures::replace_server, fleet::Fleet, run::TOLERANCE};

/// Time after a notice in which requests that were already in transit may still arrive.
const IN_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// Time for which a server that announced that it leaves is checked for new requests.
const WATCH_TIME: Duration = Duration::from_millis(2500);

/// Has a server announce in its responses that it leaves while its entry still says `ready`, then replaces it.
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

/// Has a server reject requests for `time`, each response asking for no requests during `backoff`.
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

/// Checks the requests that arrived at a server since `since` against the notices that it sent since then.
fn check(fleet: &Fleet, checks: &Checks, endpoint: usize, server: usize, since: Instant) {
    if lock(&fleet.endpoints[endpoint]).disturbed_at + TOLERANCE > since {
        // Responses with notices may have been lost on the disturbed link.
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
            checks.report_violation(
                "no request is sent against a server's notice",
                request,
                observed,
            );
            return;
        }
    }
}

/// Returns whether an instance was disturbed after, or shortly before, `since`.
fn is_disturbed(fleet: &Fleet, number: usize, since: Instant) -> bool {
    let Ok(instance) = fleet.instances[number].try_lock() else { return true };
    instance.disturbed_at + TOLERANCE > since
}

/// Returns whether the instance that received the notice sent this request while the notice applied.
fn is_unwanted(notice: &SentNotice, arrival: &Received) -> bool {
    let request = arrival.head.header("x-request-id").unwrap_or_default();
    if instance(request) != instance(&notice.request) {
        return false;
    }
    let from = notice.at + IN_TRANSIT_TIME;
    let is_before_end = |backoff| arrival.at < notice.at + backoff;
    arrival.at > from && notice.backoff.is_none_or(is_before_end)
}

/// Returns the number of the instance that a caller sent a request to; it is part of the request id.
fn instance(request: &str) -> Option<usize> {
    request.rsplit_once("-i")?.1.parse().ok()
}
