//! Concurrent requests with the same prompt, and the check that the load of each backend server stays within its bound.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use standins::caller::Call;

use crate::{
    checks::Checks,
    fleet::{Fleet, KEY},
};

/// Callers for each instance: together they send several times as many requests as one server may run.
const CALLERS: usize = 10;

/// Time before the first sample, in which the instances exchange their request counts a few times.
const WARM_UP_TIME: Duration = Duration::from_millis(1200);

/// Time over which loads are sampled.
const SAMPLING_TIME: Duration = Duration::from_millis(1500);

/// Pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Load bound of a server as a multiple of the mean load, as in the settings.
const BOUND_FACTOR: f64 = 2.0;

/// Requests that a server may have beyond [`BOUND_FACTOR`] times the mean.
const BOUND_SLACK: f64 = 3.0;

/// Share of samples in which a server may be over its bound, because of requests in transit.
const OVER_BOUND_SHARE_MAX: f64 = 0.1;

/// Sends requests with one prompt to all instances and checks that no server exceeds its load bound.
pub(crate) fn check(fleet: &Arc<Fleet>, checks: &Checks) {
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..fleet.instances.len() * CALLERS)
        .map(|number| {
            let (fleet, stop) = (Arc::clone(fleet), Arc::clone(&stop));
            thread::spawn(move || call_until(&stop, &fleet, number))
        })
        .collect();
    thread::sleep(WARM_UP_TIME);
    let samples = sample_loads(fleet);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        if caller.join().is_err() {
            checks.report_violation("the soak itself works", "load", "a caller panicked");
        }
    }
    let over_bound = samples.iter().filter(|loads| is_over_bound(loads, &samples)).count();
    if over_bound as f64 > OVER_BOUND_SHARE_MAX * samples.len() as f64 {
        let most = samples.iter().max_by_key(|loads| loads.iter().max());
        let observed =
            format!("{over_bound} of {} samples over the bound; worst: {most:?}", samples.len());
        checks.report_violation(
            "the load of a server stays within its bound",
            "one prompt",
            observed,
        );
    }
}

fn call_until(stop: &AtomicBool, fleet: &Fleet, number: usize) {
    let address = lock(&fleet.instances[number % fleet.instances.len()]).frontend;
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        sent += 1;
        // Responses are checked in callers.rs; only the load matters here.
        let _ = Call { timeout: Duration::from_secs(4), ..Call::post("/stream/load", KEY, "load") }
            .with("x-request-id", format!("load-{number}-{sent}"))
            .with("x-prefix-hash", format!("ab12:900,{number:x}:50"))
            .send(address);
    }
}

/// Returns the loads of all current servers, one list for each sample.
fn sample_loads(fleet: &Fleet) -> Vec<Vec<u32>> {
    let deadline = Instant::now() + SAMPLING_TIME;
    let mut samples = Vec::new();
    while Instant::now() < deadline {
        samples.push(fleet.loads());
        thread::sleep(SAMPLE_INTERVAL);
    }
    samples
}

/// Returns whether a server is over its bound. Servers without a request in any sample do not count for the mean.
fn is_over_bound(loads: &[u32], samples: &[Vec<u32>]) -> bool {
    let used = (0..loads.len()).filter(|&at| samples.iter().any(|loads| loads[at] > 0)).count();
    let mean = f64::from(loads.iter().sum::<u32>()) / used.max(1) as f64;
    loads.iter().any(|&load| f64::from(load) > BOUND_FACTOR * mean + BOUND_SLACK)
}
