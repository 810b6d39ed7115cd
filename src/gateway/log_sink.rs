//! Structured log lines on standard output. Their number is bounded, and no thread waits for them to be written.

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
    clock::Clock,
    contract::token_bucket::TokenBucket,
    logging,
    units::Rate,
    utils::{supervisor, sync::lock},
};

/// Maximum number of queued lines; further ones are dropped and counted.
const QUEUE_LINES_MAX: usize = 2000;

/// Maximum number of lines per second below the level of warnings; further ones are dropped and counted. Warnings and
/// errors are not limited.
const INFO_LINE_RATE: Rate = Rate(300.0);

/// Time between two writes, so that one write has many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of a write in bytes, unless a single line is longer: a pipe takes it whole (POSIX, `PIPE_BUF`), while
/// collectors of output may cut longer writes.
const WRITE_BYTES_MAX: usize = 4096;

/// Maximum wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of checks whether the last lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Queued lines that are not written yet.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);

/// Dropped lines that the metric has not counted yet.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the last call.
pub fn take_dropped() -> u64 {
    DROPPED_LINES.swap(0, Ordering::Relaxed)
}

/// Waits until all lines are written, up to a quarter of a second.
pub fn flush() {
    for _ in 0..FLUSH_TIMEOUT.as_millis() / FLUSH_POLL_INTERVAL.as_millis() {
        if QUEUED_LINES.load(Ordering::SeqCst) == 0 {
            return;
        }
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Starts logging for the process.
///
/// # Errors
///
/// A logger is already installed, or the writer's thread cannot be started.
pub fn start(instance: &str, level: LevelFilter, clock: &Clock) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(QUEUE_LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    supervisor::spawn("log", clock, || true, move || write_all(&rx, &counted))?;
    let info_bucket = Mutex::new(TokenBucket::new(INFO_LINE_RATE, clock.now()));
    let (instance, clock) = (instance.to_owned(), clock.clone());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cartvane", level)
        .chain(fern::Output::call(move |record| {
            let is_info = record.level() > Level::Warn;
            if is_info && lock(&info_bucket).take(clock.now()).is_err() {
                dropped.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let at = humantime::format_rfc3339_millis(clock.wall()).to_string();
            let line =
                logging::event_line(&at, &instance, record.level(), &record.args().to_string());
            enqueue(&tx, line, &dropped);
        }))
        .apply()?;
    Ok(())
}

fn enqueue(tx: &SyncSender<String>, line: String, dropped: &AtomicU64) {
    QUEUED_LINES.fetch_add(1, Ordering::SeqCst);
    if tx.try_send(line).is_err() {
        QUEUED_LINES.fetch_sub(1, Ordering::SeqCst);
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_all(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        thread::sleep(WRITE_INTERVAL);
        let mut lines = vec![first];
        lines.extend(rx.try_iter());
        let count = lines.len() as u64;
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            DROPPED_LINES.fetch_add(dropped_lines, Ordering::Relaxed);
            lines.push(format!("{{\"event\":\"lines_left_out\",\"count\":{dropped_lines}}}"));
        }
        if write_lines(&mut out, &lines).is_err() {
            // Nothing reads standard output. Requests are served without a log.
            dropped.fetch_add(dropped_lines, Ordering::Relaxed);
        }
        QUEUED_LINES.fetch_sub(count, Ordering::SeqCst);
    }
}

/// Writes whole lines, at most 4,096 bytes at a time unless a single one is longer.
///
/// # Errors
///
/// The output cannot be written.
pub fn write_lines(out: &mut impl Write, lines: &[String]) -> std::io::Result<()> {
    let mut text = String::new();
    for line in lines {
        if !text.is_empty() && text.len() + line.len() >= WRITE_BYTES_MAX {
            out.write_all(text.as_bytes())?;
            out.flush()?;
            text.clear();
        }
        text.push_str(line);
        text.push('\n');
    }
    out.write_all(text.as_bytes())?;
    out.flush()
}
