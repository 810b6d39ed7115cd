//! Callers that resume their streams at other instances, and check that all events come from one software version.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use fastrand::Rng;
use standins::{caller::Call, held_stream::HeldStream, stream_format::StreamFormat};

use crate::{
    callers::RESPONSE_TIMEOUT,
    checks::Checks,
    fleet::{Fleet, KEY},
};

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
        receive(&format!("u{number}-{stream}"), &mut rng, fleet, checks);
    }
}

/// Receives a stream in as many attempts as it takes, each at a random instance.
fn receive(name: &str, rng: &mut Rng, fleet: &Fleet, checks: &Checks) {
    let (_, query) = StreamFormat::drawn(name);
    let mut held = HeldStream::default();
    let mut first: Option<String> = None;
    for attempt in 0..ATTEMPTS {
        let id = format!("{name}-{attempt}");
        let target = format!("/stream-resumable/{name}{query}&marked=1");
        let mut call = Call { timeout: RESPONSE_TIMEOUT, ..Call::post(&target, KEY, "") }
            .with("x-request-id", &id)
            .with("x-deadline-ms", 4000)
            .with("connection", "close");
        if let Some(first) = &first {
            call = call.with("resumes", first).with("last-event-id", held.events.len());
        }
        let address = fleet.addresses[rng.usize(..fleet.addresses.len())];
        let answer = call.send(address);
        held.add(&answer);
        checks.count_request(answer.status == 200 && answer.whole);
        if answer.status == 503 {
            checks.note_once(&id, answer.status);
        }
        if held.is_whole {
            break;
        }
        if first.is_none() && !held.events.is_empty() {
            first = Some(id);
        }
        thread::sleep(Duration::from_millis(rng.u64(..PAUSE_MAX_MS)));
    }
    if let Some(fault) = held.fault() {
        checks.report_violation(
            "a stream is one of one version",
            name,
            format!("{fault}: {held:?}"),
        );
    }
}
