//! Callers that resume their streams after all instances were killed beside servers of two software versions, or at an
//! instance that was absent when the second version was listed.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use fastrand::Rng;
use standins::{fault::Fault, listed::EVENTS};

use crate::{
    checks::Checks,
    fleet::Fleet,
    processes,
    stream_caller::StreamCaller,
    two_versions::{self, FIRST, SECOND, TwoVersions},
    version_event::Departure,
};

/// Streams that callers begin in one event: also when half of the servers leave, enough of them count.
const STREAMS: usize = 48;

/// Time from a change of the list until all instances in touch use it.
const LISTED_TIME: Duration = Duration::from_millis(700);

/// Time from the begin of the streams until all instances are killed.
const STREAMING_TIME: Duration = Duration::from_millis(400);

/// Pause of a stream inside which its instance is killed.
const STREAM_PAUSE: Duration = Duration::from_millis(1500);

/// Longest pause from the start of the instances until a stream is resumed, in milliseconds.
const RESUME_PAUSE_MAX_MS: u64 = 2000;

/// Time for which a caller attempts to resume its stream.
const RESUME_TIME: Duration = Duration::from_secs(3);

/// Pause between two attempts, in milliseconds.
const ATTEMPT_PAUSE_MS: std::ops::Range<u64> = 50..150;

/// Time in which callers resume their streams at an instance that was absent, half of it before its return.
const RETURN_TIME: Duration = Duration::from_millis(200);

/// Streams that a caller begins, one after another, until one of the second version has broken off.
const STREAMS_PER_CALLER: usize = 3;

/// Attempts after the one at the instance that was absent.
const FURTHER_ATTEMPTS: usize = 2;

/// Longest wait for a response: longer than an instance is stopped.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3500);

/// Number of resumed streams below which the share that goes on is not checked, as users state it.
const RESUMED_MIN: usize = 12;

/// Share of streams that must go on, as a multiple of the share of new streams that begin, as users state it.
const GO_ON_SHARE_MIN: f64 = 0.5;

/// The callers of one event.
#[derive(Clone, Copy)]
pub(crate) struct Resumptions<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) checks: &'a Checks,
    /// Number of the service.
    pub(crate) number: usize,
}

impl<'a> Resumptions<'a> {
    /// Kills all instances while servers of two versions are listed, starts them again after `down`, and checks how many
    /// of the streams that broke off go on.
    pub(crate) fn after_kill(self, rng: &mut Rng, departure: Departure, down: Duration) {
        let (fleet, since) = (self.fleet, Instant::now());
        // An instance may send a stream to another server after a fault.
        let faults = std::iter::repeat_with(|| match rng.bool() {
            true => random_break(rng),
            false => Fault::PauseAfter(rng.usize(1..EVENTS), STREAM_PAUSE),
        });
        let faults: Vec<Fault> = faults.take(3 * STREAMS).collect();
        self.versions().faults.push(faults);
        self.versions().list(fleet, SECOND);
        thread::sleep(LISTED_TIME);
        let mut callers: Vec<StreamCaller<'a>> = thread::scope(|scope| {
            let begin = |stream| {
                let (mut caller, instance) = (self.caller(stream, ""), self.random_instance(rng));
                scope.spawn(move || {
                    caller.attempt(instance);
                    caller
                })
            };
            let begun: Vec<_> = (0..STREAMS).map(begin).collect();
            thread::sleep(STREAMING_TIME);
            if departure == Departure::Before {
                self.versions().unlist(fleet, FIRST);
                thread::sleep(LISTED_TIME);
            }
            processes::kill_all(fleet, self.checks);
            begun.into_iter().map(|caller| caller.join().expect("a caller returns")).collect()
        });
        self.versions().faults.clear();
        if departure == Departure::Meanwhile {
            self.versions().unlist(fleet, FIRST);
        }
        thread::sleep(down);
        processes::restart_all(fleet, self.checks);
        callers.retain(StreamCaller::is_broken_off);
        let results: Vec<_> = thread::scope(|scope| {
            let resume = |(stream, caller)| {
                let rng = rng.fork();
                scope.spawn(move || self.resume(stream, caller, rng))
            };
            let resumed: Vec<_> = callers.into_iter().enumerate().map(resume).collect();
            resumed.into_iter().map(|result| result.join().expect("a caller returns")).collect()
        });
        // A store that was restored or lost its history cannot tell instances what happened before they started.
        if *lock(&fleet.store_disturbed_at) < since {
            self.check_share(departure, &results);
        }
    }

    /// Lists the second version while `absence` keeps an instance from it for `time`, and has callers whose streams broke
    /// off resume them at this instance as it returns.
    pub(crate) fn after_absence(
        self,
        rng: &mut Rng,
        instance: usize,
        time: Duration,
        absence: impl FnOnce() + Send,
    ) {
        let returns_at = Instant::now() + time;
        thread::scope(|scope| {
            scope.spawn(absence);
            thread::sleep(time.mul_f64(rng.f64() / 4.0));
            self.versions().faults.set_standing(Some(random_break(rng)));
            self.versions().list(self.fleet, SECOND);
            for stream in 0..STREAMS {
                let rng = rng.fork();
                scope.spawn(move || self.resume_at(instance, returns_at, stream, rng));
            }
        });
        self.versions().faults.clear();
    }

    /// Begins streams at the other instances, and resumes the last one at `instance` as it returns.
    fn resume_at(self, instance: usize, returns_at: Instant, stream: usize, mut rng: Rng) {
        let instances = self.fleet.addresses.len();
        let resumed_from = returns_at - RETURN_TIME / 2;
        let mut caller = self.caller(stream, "");
        for number in 0..STREAMS_PER_CALLER {
            caller.check();
            caller = self.caller(stream, &format!("-{number}"));
            let left = resumed_from.saturating_duration_since(Instant::now());
            thread::sleep(left.mul_f64(rng.f64()));
            caller.attempt((instance + rng.usize(1..instances.max(2))) % instances);
            if caller.is_broken_off() && caller.held.versions.contains(SECOND) {
                break;
            }
        }
        let resumed_at = resumed_from + RETURN_TIME.mul_f64(rng.f64());
        thread::sleep(resumed_at.saturating_duration_since(Instant::now()));
        let mut next = instance;
        for _ in 0..=FURTHER_ATTEMPTS {
            if caller.is_broken_off() {
                caller.attempt(next);
                next = self.random_instance(&mut rng);
                thread::sleep(Duration::from_millis(rng.u64(ATTEMPT_PAUSE_MS)));
            }
        }
        caller.check();
    }

    /// Attempts to resume a stream, and to begin a new one at the same instances, until both have succeeded once.
    fn resume(self, stream: usize, mut caller: StreamCaller<'_>, mut rng: Rng) -> Resumed {
        let version = caller.held.versions.first().cloned().unwrap_or_default();
        let mut resumed = Resumed { version, went_on: false, new_began: false };
        thread::sleep(Duration::from_millis(rng.u64(..RESUME_PAUSE_MAX_MS)));
        let until = Instant::now() + RESUME_TIME;
        for attempt in 0.. {
            let instance = self.random_instance(&mut rng);
            resumed.went_on = resumed.went_on || caller.attempt(instance).1;
            let mut new = self.caller(stream, &format!("-new{attempt}"));
            resumed.new_began = resumed.new_began || new.attempt(instance).1;
            if (resumed.went_on && resumed.new_began) || Instant::now() >= until {
                break;
            }
            thread::sleep(Duration::from_millis(rng.u64(ATTEMPT_PAUSE_MS)));
        }
        caller.check();
        resumed
    }

    /// Checks how many of the streams whose version has its servers go on.
    fn check_share(self, departure: Departure, results: &[Resumed]) {
        let has_servers = |r: &&Resumed| departure == Departure::Never || r.version == SECOND;
        let resumed: Vec<&Resumed> = results.iter().filter(has_servers).collect();
        let went_on = resumed.iter().filter(|r| r.went_on).count();
        let began = resumed.iter().filter(|r| r.new_began).count();
        if resumed.len() >= RESUMED_MIN && (went_on as f64) < GO_ON_SHARE_MIN * began as f64 {
            let all = resumed.len();
            let observed = format!("{went_on} of {all} go on, {began} of {all} new ones begin");
            self.checks.report_violation(
                "streams resumed after a kill of all instances go on",
                &format!("{}, {departure:?}", two_versions::service(self.number)),
                observed,
            );
        }
    }

    fn versions(self) -> &'a TwoVersions {
        &self.fleet.versions[self.number]
    }

    fn caller(self, stream: usize, suffix: &str) -> StreamCaller<'a> {
        let route = two_versions::service(self.number);
        let name = format!("{route}-{stream}{suffix}");
        StreamCaller::new(self.fleet, self.checks, &route, name, RESPONSE_TIMEOUT)
    }

    fn random_instance(self, rng: &mut Rng) -> usize {
        rng.usize(..self.fleet.addresses.len())
    }
}

/// What became of a stream that a caller resumed, and of a new one.
struct Resumed {
    /// Version that began the stream.
    version: String,
    went_on: bool,
    new_began: bool,
}

fn random_break(rng: &mut Rng) -> Fault {
    // The shortest event has more bytes.
    Fault::BreakInside(rng.usize(1..EVENTS), 3)
}
