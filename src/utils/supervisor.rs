//! Threads that go on after a panic: it is logged as one line, counted, and the thread's work is started again.
//!
//! An instance whose thread has ended looks healthy and is not: without the thread that reads the list of servers, for
//! example, it sends requests to servers that have left long ago.

use std::{
    any::Any,
    cell::RefCell,
    collections::BTreeMap,
    io,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    sync::{
        Mutex, Once,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::sync::lock;
use crate::clock::Clock;

/// Time after the first panic before the work is started again: what caused it may be over, such as a reply cut short.
const RESTART_DELAY_FIRST: Duration = Duration::from_millis(100);

/// Longest such time. It bounds the load and the log lines of work that always panics, and how late the work goes on
/// after its cause has ended.
const RESTART_DELAY_MAX: Duration = Duration::from_secs(2);

/// Time without a panic after which earlier ones count no more.
const STABLE_TIME: Duration = Duration::from_secs(5);

/// Number of panics in succession from which work counts as failing: a single one costs a tenth of a second.
const FAILING_FROM: u32 = 3;

/// Largest number of characters of a panic's text in a log line.
const REASON_CHARS_MAX: usize = 300;

static HOOK: Once = Once::new();

/// Whether panics of all threads are logged, also of those that this module does not run.
static LOGS_ALL: AtomicBool = AtomicBool::new(false);

/// Panics of this process, by the name of the work.
static PANICS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

thread_local! {
    /// Panics that are caught on this thread.
    static CATCHING: RefCell<Catching> = const { RefCell::new(Catching { depth: 0, last: None }) };
}

#[derive(Debug)]
struct Catching {
    /// Number of calls of [`catch`] on the stack.
    depth: u32,
    /// Text and place of the last panic.
    last: Option<String>,
}

/// The panics of one thread's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Restarts {
    in_succession: u32,
    last: Option<Instant>,
}

impl Restarts {
    /// Notes a panic; returns the time after which the work is started again.
    pub fn note_panic(&mut self, now: Instant) -> Duration {
        let is_first = self.last.is_none_or(|last| is_stable(now, last));
        self.in_succession = if is_first { 1 } else { self.in_succession.saturating_add(1) };
        self.last = Some(now);
        let doublings = (self.in_succession - 1).min(16);
        (RESTART_DELAY_FIRST * (1 << doublings)).min(RESTART_DELAY_MAX)
    }

    /// Returns whether the work keeps ending.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.in_succession >= FAILING_FROM && self.last.is_some_and(|last| !is_stable(now, last))
    }
}

fn is_stable(now: Instant, last: Instant) -> bool {
    now.saturating_duration_since(last) > STABLE_TIME
}

/// The threads of an instance without which it must not get new callers.
#[derive(Debug, Default)]
pub struct RequiredThreads {
    restarts: Mutex<BTreeMap<&'static str, Restarts>>,
}

impl RequiredThreads {
    /// As [`keep_running`], for work whose panics [`RequiredThreads::failing`] takes into account.
    pub fn keep_running(
        &self,
        name: &'static str,
        clock: &Clock,
        is_needed: impl Fn() -> bool,
        work: impl FnMut(),
    ) {
        let note = |now| lock(&self.restarts).entry(name).or_default().note_panic(now);
        restart_after_panics(name, clock, note, is_needed, work);
    }

    /// Returns the name of a thread that keeps ending.
    pub fn failing(&self, now: Instant) -> Option<&'static str> {
        let restarts = lock(&self.restarts);
        restarts.iter().find(|(_, restarts)| restarts.is_failing(now)).map(|(name, _)| *name)
    }
}

/// Runs `work` until it returns. After each panic it is run again with a growing delay, while `is_needed` holds.
pub fn keep_running(name: &str, clock: &Clock, is_needed: impl Fn() -> bool, work: impl FnMut()) {
    let mut restarts = Restarts::default();
    restart_after_panics(name, clock, |now| restarts.note_panic(now), is_needed, work);
}

/// Starts a thread that runs `work` as [`keep_running`] does.
///
/// # Errors
///
/// The thread cannot be started.
pub fn spawn(
    name: &'static str,
    clock: &Clock,
    is_needed: impl Fn() -> bool + Send + 'static,
    work: impl FnMut() + Send + 'static,
) -> io::Result<()> {
    let clock = clock.clone();
    let run = move || keep_running(name, &clock, is_needed, work);
    thread::Builder::new().name(name.to_owned()).spawn(run).map(drop)
}

fn restart_after_panics(
    name: &str,
    clock: &Clock,
    mut note_panic: impl FnMut(Instant) -> Duration,
    is_needed: impl Fn() -> bool,
    mut work: impl FnMut(),
) {
    while catch(name, &mut work).is_none() {
        // The clock may be what panics.
        let delay = catch(name, || note_panic(clock.now())).unwrap_or(RESTART_DELAY_MAX);
        thread::sleep(delay);
        if !is_needed() {
            return;
        }
    }
}

/// Runs `work` once; after a panic, logs and counts it, and returns `None`.
///
/// What `work` shares with others must be consistent after each of its statements, as [`lock`] requires.
pub fn catch<T>(name: &str, work: impl FnOnce() -> T) -> Option<T> {
    install_hook();
    CATCHING.with_borrow_mut(|catching| catching.depth += 1);
    let result = panic::catch_unwind(AssertUnwindSafe(work));
    let last = CATCHING.with_borrow_mut(|catching| {
        catching.depth -= 1;
        catching.last.take()
    });
    result.map_err(|payload| note(name, &last.unwrap_or_else(|| text_of(&*payload)))).ok()
}

/// Has the panics of all threads of this process logged, and not written to standard error.
pub fn log_all_panics() {
    install_hook();
    LOGS_ALL.store(true, Ordering::Relaxed);
}

/// Returns the number of panics since the start of the process, by the name of the work.
pub fn panics() -> Vec<(String, u64)> {
    lock(&PANICS).iter().map(|(name, count)| (name.clone(), *count)).collect()
}

fn note(name: &str, panic: &str) {
    *lock(&PANICS).entry(name.to_owned()).or_default() += 1;
    log::error!("event=thread_panicked name={name} {panic}");
}

fn install_hook() {
    HOOK.call_once(|| {
        let previous = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            let is_caught = CATCHING.try_with(|catching| {
                // Logged once the locks that the thread holds are free, among which may be those of the log.
                let mut catching = catching.borrow_mut();
                catching.last = (catching.depth > 0).then(|| describe(info));
                catching.depth > 0
            });
            match is_caught {
                Ok(true) => {}
                _ if LOGS_ALL.load(Ordering::Relaxed) => {
                    note(thread::current().name().unwrap_or("unnamed"), &describe(info));
                }
                _ => previous(info),
            }
        }));
    });
}

/// Returns the words of the log line with a panic's text and place.
fn describe(info: &PanicHookInfo<'_>) -> String {
    let at = info.location().map(|at| format!(" at={}:{}", at.file(), at.line()));
    format!("{}{}", text_of(info.payload()), at.unwrap_or_default())
}

fn text_of(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let text: String = text.unwrap_or("no text").chars().take(REASON_CHARS_MAX).collect();
    format!("reason={text:?}")
}
