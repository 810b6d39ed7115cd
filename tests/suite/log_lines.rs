//! Keeps what instances of this process log, so that a test that fails can say what led to it.

use std::{
    collections::VecDeque,
    sync::{Mutex, Once, PoisonError},
    time::Instant,
};

/// Lines kept: those of the last seconds of all tests that run at once.
const KEPT_MAX: usize = 50_000;

struct Kept {
    began: Instant,
    lines: VecDeque<String>,
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
            let mut kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(kept) = kept.as_mut() else { return };
            if kept.lines.len() >= KEPT_MAX {
                kept.lines.pop_front();
            }
            let at = kept.began.elapsed().as_millis();
            kept.lines.push_back(format!("{at} {}", record.args()));
        });
        let started = fern::Dispatch::new().level(log::LevelFilter::Info).chain(keep).apply();
        started.expect("no other logger in this process");
    });
}

/// Returns the lines with one of these words, of all tests that ran meanwhile, with the milliseconds since the first start.
pub(crate) fn with(words: &[&str]) -> String {
    let kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
    let lines = kept.iter().flat_map(|kept| &kept.lines);
    let wanted = lines.filter(|line| words.iter().any(|word| line.contains(word)));
    wanted.map(|line| format!("\n{line}")).collect()
}
