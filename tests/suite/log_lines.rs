//! Keeps what instances of this process log, so that a test that fails can say what led to it.

use std::{
    collections::VecDeque,
    sync::{Mutex, Once, PoisonError},
    time::{Duration, Instant},
};

/// Lines kept: those of the last seconds of all tests that run at once.
const KEPT_MAX: usize = 50_000;

struct Kept {
    began: Instant,
    lines: VecDeque<(Duration, String)>,
}

static KEPT: Mutex<Option<Kept>> = Mutex::new(None);
static STARTED: Once = Once::new();

/// Starts to keep lines; more calls change nothing.
pub(crate) fn start() {
    STARTED.call_once(|| {
        let began = Instant::now();
        *KEPT.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Kept { began, lines: VecDeque::new() });
        let keep = fern::Output::call(|record| {
            // Formatted before the lock is taken, for which the instances of all tests wait.
            let line = record.args().to_string();
            let mut kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(kept) = kept.as_mut() else { return };
            if kept.lines.len() >= KEPT_MAX {
                kept.lines.pop_front();
            }
            kept.lines.push_back((kept.began.elapsed(), line));
        });
        let started = fern::Dispatch::new().level(log::LevelFilter::Info).chain(keep).apply();
        started.expect("no other logger in this process");
    });
}

/// Returns the lines with one of these words, of all tests that ran meanwhile, with the milliseconds since the first start.
pub(crate) fn matching(words: &[&str]) -> String {
    let lines: Vec<(Duration, String)> = {
        let kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
        kept.iter().flat_map(|kept| kept.lines.iter().cloned()).collect()
    };
    let wanted = lines.iter().filter(|(_, line)| words.iter().any(|word| line.contains(word)));
    wanted.map(|(at, line)| format!("\n{} {line}", at.as_millis())).collect()
}
