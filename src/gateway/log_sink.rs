//! Structured log lines on standard output, bounded, and never waited for.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log::{Level, LevelFilter};

use crate::{
    clock::Clock, contract::token_bucket::TokenBucket, logging, units::Rate, utils::sync::lock,
};

/// Lines that wait to be written; more are dropped and counted.
const QUEUE: usize = 2000;

/// Lines of routine a second; more are left out and counted, warnings and errors are not.
const ROUTINE_RATE: Rate = Rate(300.0);

/// Pause between two writes, so that many lines share one.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for the last lines at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(250);

/// Pause between two looks whether the last lines are written.
const FLUSH_LOOK: Duration = Duration::from_millis(10);

/// Lines that wait to be written.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// Lines left out that no metric has counted yet.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns the lines left out since the last call.
pub fn take_dropped() -> u64 {
    LEFT_OUT.swap(0, Ordering::Relaxed)
}

/// Waits until all lines are written, for a quarter of a second at most.
pub fn flush() {
    for _ in 0..FLUSH_TIME.as_millis() / FLUSH_LOOK.as_millis() {
        if WAITING.load(Ordering::SeqCst) == 0 {
            return;
        }
        thread::sleep(FLUSH_LOOK);
    }
}

/// Starts logging for the process.
///
/// # Errors
///
/// Logging has been started before, or the writer's thread cannot be started.
pub fn start(instance: &str, level: LevelFilter, clock: &Clock) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&rx, &counted))?;
    let routine = Mutex::new(TokenBucket::new(ROUTINE_RATE, clock.now()));
    let (instance, clock) = (instance.to_owned(), clock.clone());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cartvane", level)
        .chain(fern::Output::call(move |record| {
            let is_routine = record.level() > Level::Warn;
            if is_routine && lock(&routine).take(clock.now()).is_err() {
                dropped.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let at = humantime::format_rfc3339_millis(clock.wall()).to_string();
            let line =
                logging::event_line(&at, &instance, record.level(), &record.args().to_string());
            offer(&tx, line, &dropped);
        }))
        .apply()?;
    Ok(())
}

fn offer(tx: &SyncSender<String>, line: String, dropped: &AtomicU64) {
    WAITING.fetch_add(1, Ordering::SeqCst);
    if tx.try_send(line).is_err() {
        WAITING.fetch_sub(1, Ordering::SeqCst);
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_all(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        thread::sleep(WRITE_PAUSE);
        let mut text = first;
        text.push('\n');
        let mut lines = 1;
        for line in rx.try_iter() {
            lines += 1;
            text.push_str(&line);
            text.push('\n');
        }
        let left_out = dropped.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            LEFT_OUT.fetch_add(left_out, Ordering::Relaxed);
            text.push_str(&format!("{{\"event\":\"lines_left_out\",\"count\":{left_out}}}\n"));
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            // Nobody reads the output; requests go on without it.
            dropped.fetch_add(left_out, Ordering::Relaxed);
        }
        WAITING.fetch_sub(lines, Ordering::SeqCst);
    }
}
