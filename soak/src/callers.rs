//! Callers that send requests one after another on persistent connections and check each response.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use cartvane::{clock::Clock, link::http1::Conn, utils::sync::lock};
use fastrand::Rng;
use standins::{
    caller::{Answer, Call},
    listed::{events, expected},
    stream_format::StreamFormat,
};

use crate::{
    checks::Checks,
    fleet::{Fleet, KEY},
    small_service::{TEAMS, TeamCaller},
    streams,
};

/// Longest wait for a response: longer than the routes' timeout plus the time for which an instance is frozen.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of callers that resume streams that break off.
const STREAM_CALLERS: usize = 4;

/// Longest pause between two requests of one caller.
const PAUSE_MAX_MS: u64 = 30;

/// Threads of the running callers.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers, those that resume streams, and one for each team of the small service, whose random choices follow from `seed`.
    pub(crate) fn spawn(
        count: usize,
        seed: u64,
        fleet: &Arc<Fleet>,
        checks: &Arc<Checks>,
    ) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let (fleet, checks, stop) = (Arc::clone(fleet), Arc::clone(checks), Arc::clone(&stop));
            let rng = Rng::with_seed(seed.wrapping_mul(1000) + number as u64);
            thread::spawn(move || call_until(&stop, number, rng, &fleet, &checks))
        };
        let start_team = |team: usize| {
            let caller = TeamCaller::new(team, format!("t{team}"), seed, fleet, checks);
            let stop = Arc::clone(&stop);
            thread::spawn(move || caller.call_until(&stop))
        };
        let start_stream = |number: usize| {
            let (fleet, checks, stop) = (Arc::clone(fleet), Arc::clone(checks), Arc::clone(&stop));
            thread::spawn(move || streams::call_until(&stop, number, seed, &fleet, &checks))
        };
        let threads = (0..count).map(start).chain((0..TEAMS).map(start_team));
        let threads = threads.chain((0..STREAM_CALLERS).map(start_stream)).collect();
        Callers { stop, threads }
    }

    /// Stops the callers after the responses to their current requests.
    pub(crate) fn finish(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            if thread.join().is_err() {
                eprintln!("soak: a caller panicked");
            }
        }
    }
}

fn call_until(stop: &AtomicBool, number: usize, mut rng: Rng, fleet: &Fleet, checks: &Checks) {
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        let instance = rng.usize(..fleet.instances.len());
        let address = lock(&fleet.instances[instance]).frontend;
        let conn = Conn::connect(address, Duration::from_secs(1), &Clock::system());
        let Ok(mut conn) = conn else {
            thread::sleep(Duration::from_millis(rng.u64(..PAUSE_MAX_MS)));
            continue;
        };
        // A connection is reused until it closes, whatever happens to the instance.
        for _ in 0..rng.u32(1..20) {
            sent += 1;
            let id = format!("c{number}-{sent}-i{instance}");
            if stop.load(Ordering::SeqCst) || !send_request(&mut conn, &id, &mut rng, checks) {
                break;
            }
            thread::sleep(Duration::from_millis(rng.u64(..PAUSE_MAX_MS)));
        }
    }
}

/// Sends one request and checks its response; returns whether the connection can be reused.
fn send_request(conn: &mut Conn, id: &str, rng: &mut Rng, checks: &Checks) -> bool {
    let kinds = ["idem", "once", "stream", "stream-resumable"];
    let kind = kinds[rng.usize(..kinds.len())];
    let is_stream = kind.starts_with("stream");
    let (format, query) = StreamFormat::drawn(id);
    let query = if is_stream { query.as_str() } else { "" };
    let target = format!("/{kind}/{id}{query}");
    let body = "b".repeat(rng.usize(..3000));
    let call = Call { timeout: RESPONSE_TIMEOUT, ..Call::post(&target, KEY, body.clone()) }
        .with("x-request-id", id)
        .with("x-deadline-ms", 4000);
    let answer = call.send_on(conn);
    let whole =
        if is_stream { format.event(&events(1)) } else { expected(&target, body.as_bytes()) };
    check(id, &whole, &answer, checks);
    checks.count_request(answer.status == 200 && answer.whole);
    if matches!(kind, "once" | "stream") {
        checks.note_once(id, answer.status);
    }
    answer.whole && answer.header("connection") != "close"
}

fn check(id: &str, whole: &str, answer: &Answer, checks: &Checks) {
    if answer.status != 200 {
        if matches!(answer.status, 400 | 401 | 404 | 413 | 431) {
            let observed = format!("status {}", answer.status);
            checks.report_violation(
                "a valid request is not rejected as a caller's error",
                id,
                observed,
            );
        }
        return;
    }
    if answer.header("x-request-id") != id || answer.header("x-response-seal").is_empty() {
        let observed = format!("id {:?}", answer.header("x-request-id"));
        checks.report_violation("a response belongs to its request and has a seal", id, observed);
    }
    let text = answer.text();
    if answer.whole && text != whole {
        checks.report_violation(
            "a complete response has the expected body",
            id,
            format!("{text:?}"),
        );
    }
    if !answer.whole && !whole.starts_with(&text) {
        checks.report_violation(
            "an incomplete response is a prefix of the expected body",
            id,
            format!("{text:?}"),
        );
    }
}
