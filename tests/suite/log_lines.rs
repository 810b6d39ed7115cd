//! A buffer of the log lines of all instances in this process, so that a failing test can print those that led to it.

use std::{
    collections::VecDeque,
    sync::{Mutex, Once, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Number of lines in the buffer: those of the last seconds of all tests that run concurrently.
const BUFFER_LINES_MAX: usize = 50_000;

struct Buffer {
    began: Instant,
    lines: VecDeque<(Duration, String)>,
}

static BUFFER: Mutex<Option<Buffer>> = Mutex::new(None);
static STARTED: Once = Once::new();

/// Words of a line at which the thread that logs it stalls, as one that gets no processor time, and for how long.
static STALL: Mutex<Option<(String, Duration)>> = Mutex::new(None);

/// Installs the logger that fills the buffer; further calls do nothing.
pub(crate) fn start() {
    STARTED.call_once(|| {
        let began = Instant::now();
        *BUFFER.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Buffer { began, lines: VecDeque::new() });
        let output = fern::Output::call(|record| {
            // Formatted before the lock is taken, since the instances of all tests wait for it.
            let line = record.args().to_string();
            stall(&line);
            let mut buffer = BUFFER.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(buffer) = buffer.as_mut() else { return };
            if buffer.lines.len() >= BUFFER_LINES_MAX {
                buffer.lines.pop_front();
            }
            buffer.lines.push_back((buffer.began.elapsed(), line));
        });
        let started = fern::Dispatch::new().level(log::LevelFilter::Info).chain(output).apply();
        started.expect("no other logger in this process");
    });
}

/// Has a thread stall for `time` when it logs a line that contains `words`.
pub(crate) fn stall_at(words: &str, time: Duration) {
    *STALL.lock().unwrap_or_else(PoisonError::into_inner) = Some((words.to_owned(), time));
}

fn stall(line: &str) {
    let stall = STALL.lock().unwrap_or_else(PoisonError::into_inner).clone();
    if let Some((words, time)) = stall
        && line.contains(&words)
    {
        thread::sleep(time);
    }
}

/// Returns the lines of all concurrent tests that contain one of `words`, with the milliseconds since the logger was
/// installed.
pub(crate) fn matching(words: &[&str]) -> String {
    let lines: Vec<(Duration, String)> = {
        let buffer = BUFFER.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.iter().flat_map(|buffer| buffer.lines.iter().cloned()).collect()
    };
    let matching = lines.iter().filter(|(_, line)| words.iter().any(|word| line.contains(word)));
    matching.map(|(at, line)| format!("\n{} {line}", at.as_millis())).collect()
}
