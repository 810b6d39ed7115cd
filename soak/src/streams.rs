//! Callers that resume their streams at other instances, and check that all events come from one software version.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use fastrand::Rng;

use crate::{callers::RESPONSE_TIMEOUT, checks::Checks, fleet::Fleet, stream_caller::StreamCaller};

/// Route of the streams.
const ROUTE: &str = "stream-resumable";

/// Attempts at one stream.
const ATTEMPTS: usize = 4;

/// Longest pause before a stream is resumed, in milliseconds.
const PAUSE_MAX_MS: u64 = 60;

/// Receives streams one after another until `stop`.
pub(crate) fn call_until(
    stop: &AtomicBool,
    number: usize,
    seed: u64,
    fleet: &Fleet,
    checks: &Checks,
) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(1000) + 500 + number as u64);
    let mut stream = 0;
    while !stop.load(Ordering::SeqCst) {
        stream += 1;
        receive(format!("u{number}-{stream}"), &mut rng, fleet, checks);
    }
}

/// Receives a stream in as many attempts as it takes, each at a random instance.
fn receive(name: String, rng: &mut Rng, fleet: &Fleet, checks: &Checks) {
    let mut caller = StreamCaller::new(fleet, checks, ROUTE, name, RESPONSE_TIMEOUT);
    for _ in 0..ATTEMPTS {
        let (answer, _) = caller.attempt(rng.usize(..fleet.addresses.len()));
        checks.count_request(answer.status == 200 && answer.whole);
        if caller.held.is_whole {
            break;
        }
        thread::sleep(Duration::from_millis(rng.u64(..PAUSE_MAX_MS)));
    }
    caller.check();
}
