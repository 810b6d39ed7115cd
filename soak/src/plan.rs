//! Random events of a run, all of which follow from its seed.

use std::time::Duration;

use fastrand::Rng;
use standins::{proxy::LinkMode, store::StoreMode};

use crate::{
    odd_rows::{self, OddRow},
    version_event::VersionEvent,
};

/// Shortest pause between two events, in milliseconds.
const PAUSE_MIN_MS: u64 = 100;

/// Choices for a run's longest pause between two events, in milliseconds. Faults overlap with the shorter ones; with
/// the longest the fleet can recover in between.
const PAUSE_MAX_MS: [u64; 3] = [500, 900, 4000];

/// Duration of a temporary fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..3500;

/// Routes that one step of growth adds to the intent.
const GROWTH_ROUTES: usize = 700;

/// Mixed into a run's seed for the growth of the intent, so that it does not change the other events.
const GROWTH_SEED_MASK: u64 = 0x6772_6f77;

/// Mixed into a run's seed for restores of the store.
const RESTORE_SEED_MASK: u64 = 0x7265_7475;

/// Mixed into a run's seed for notices of servers.
const NOTICE_SEED_MASK: u64 = 0x6e6f_7469;

/// Mixed into a run's seed for roll-outs.
const ROLLOUT_SEED_MASK: u64 = 0x726f_6c6c;

/// Mixed into a run's seed for the surge of a team.
const SURGE_SEED_MASK: u64 = 0x7375_7267;

/// Mixed into a run's seed for the versions of servers.
const VERSION_SEED_MASK: u64 = 0x7665_7273;

/// Mixed into a run's seed for streams that are broken off.
const BROKEN_STREAM_SEED_MASK: u64 = 0x6272_6f6b;

/// Mixed into a run's seed for servers that leave while instances are stopped.
const DEPARTURE_SEED_MASK: u64 = 0x6465_7061;

/// Mixed into a run's seed for odd rows; with this one the short runs of CI have the row with the most slots.
const ODD_ROW_SEED_MASK: u64 = 0x6f64_6490;

/// Time for which odd rows stay, in milliseconds.
const ODD_ROW_MS: std::ops::Range<u64> = 1000..4000;

/// Most odd rows that are written at a time.
const ODD_ROWS_MAX: usize = 4;

/// Time for which instances are stopped while a server leaves, in milliseconds: their lists are old enough for an outage
/// of the store.
const STOPPED_MS: std::ops::Range<u64> = 2700..3500;

/// Longest such time.
pub(crate) const STOPPED_TIME_MAX: Duration = Duration::from_millis(STOPPED_MS.end);

/// Streams that are broken off at one server, one after another.
const BROKEN_STREAMS: std::ops::Range<usize> = 1..8;

/// Duration of a surge, in milliseconds.
const SURGE_MS: std::ops::Range<u64> = 2000..4000;

/// Time for which a server rejects requests, in milliseconds.
const REJECTING_MS: std::ops::Range<u64> = 300..2500;

/// Backoff that a server asks for in each rejection, in milliseconds.
const BACKOFF_MS: std::ops::Range<u64> = 800..3000;

/// Age of the copy that the store is restored from, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 300..3000;

/// Longest temporary fault; a process may be frozen for as long.
pub(crate) const FAULT_TIME_MAX: Duration = Duration::from_millis(FAULT_MS.end);

/// An event that is applied to the fleet from outside.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Event {
    /// An instance receives SIGTERM and is started again once it has exited.
    Terminate(usize),
    /// An instance is killed and started again after this time.
    Kill(usize, Duration),
    /// An instance is stopped with SIGSTOP for this time.
    Freeze(usize, Duration),
    /// An instance receives SIGHUP and reloads its settings.
    Reload(usize),
    /// Every instance is killed and started again.
    KillAll,
    /// The store is in another mode for this time.
    Store(StoreMode, Duration),
    /// An instance's link to the store is in another mode for this time.
    StoreLink(usize, LinkMode, Duration),
    /// The store's history of changes expires.
    ExpireHistory,
    /// A backend server's link is in another mode for this time.
    ServerLink(usize, LinkMode, Duration),
    /// A backend server drains, and another one is started at its address.
    Replace(usize),
    /// A backend server is replaced without notice by another one at its address.
    Crash(usize),
    /// The next requests at a backend server fail.
    ServerFaults(usize),
    /// The next streams of a backend server, this many, are closed in order inside an event.
    BreakStreams(usize, usize),
    /// The operator's intent changes, this many times in a row.
    ChangeIntent(u32),
    /// The operator's intent changes and grows by this many routes.
    GrowIntent(usize),
    /// The store is restored from a copy of this age; operators and servers write again what was lost.
    RestoreStore(Duration),
    /// A backend server announces in its responses that it leaves, while its entry does not say so.
    AnnounceLeaving(usize),
    /// A backend server rejects requests for the first time, and asks in each response for a backoff of the second.
    AnnounceBackoff(usize, Duration, Duration),
    /// The entry of a backend server is removed without notice, while these instances are stopped with SIGSTOP for this
    /// time.
    LeaveUnnoticed(usize, Vec<usize>, Duration),
    /// Operators order the roll-out of a version that fails every request.
    RollOut,
    /// A team sends many times its usual load to the small service for this time.
    Surge(Duration),
    /// Servers of a second version of the service with this number are listed.
    Versions(usize, VersionEvent),
    /// Another writer puts odd rows among those of servers, and removes them after this time. The number is that of the
    /// service whose server is added meanwhile.
    OddRows(usize, Vec<OddRow>, Duration),
}

/// Growth of a run's intent, and the rate at which the store sends it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Growth {
    /// Events that add routes, with their times.
    pub(crate) events: Vec<(Duration, Event)>,
    /// Bytes per second on each connection to the store; 0 for no limit.
    pub(crate) store_bytes_per_s: usize,
}

/// Returns the events of a run, with their times.
pub(crate) fn random_events(
    rng: &mut Rng,
    length: Duration,
    instances: usize,
    servers: usize,
) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    let pause_max = PAUSE_MAX_MS[rng.usize(..PAUSE_MAX_MS.len())];
    loop {
        at += Duration::from_millis(rng.u64(PAUSE_MIN_MS..pause_max));
        if at >= length {
            return events;
        }
        events.push((at, random_event(rng, instances, servers)));
    }
}

/// Returns how the intent of a run grows: in one of two runs, by up to three steps. On the slowest link the largest
/// intent, 2,100 routes of 0.3 KB, takes 1 s, which is longer than the time for which a call to the store may stall.
///
/// Uses a generator of its own, so that the other events of a seed do not depend on it.
pub(crate) fn random_growth(seed: u64, length: Duration) -> Growth {
    let mut rng = Rng::with_seed(seed ^ GROWTH_SEED_MASK);
    let steps = if rng.bool() { rng.u32(1..=3) } else { 0 };
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut at: Vec<u64> = (0..steps).map(|_| rng.u64(..length_ms)).collect();
    at.sort_unstable();
    let grow = |at| (Duration::from_millis(at), Event::GrowIntent(GROWTH_ROUTES));
    let store_bytes_per_s = [0, 2_000_000, 800_000][rng.usize(..3)];
    Growth { events: at.into_iter().map(grow).collect(), store_bytes_per_s }
}

/// Returns when the store is restored from a copy: in one run of two, once or twice.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_restores(seed: u64, length: Duration) -> Vec<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ RESTORE_SEED_MASK);
    let times = if rng.bool() { rng.u32(1..=2) } else { 0 };
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut random_restore = || {
        let at = Duration::from_millis(rng.u64(..length_ms));
        (at, Event::RestoreStore(Duration::from_millis(rng.u64(COPY_AGE_MS))))
    };
    (0..times).map(|_| random_restore()).collect()
}

/// Returns when operators order a failing version: in one run of two, once.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_rollout(seed: u64, length: Duration) -> Option<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ ROLLOUT_SEED_MASK);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    rng.bool().then(|| (Duration::from_millis(rng.u64(..length_ms)), Event::RollOut))
}

/// Returns the surge of a run.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_surge(seed: u64, length: Duration) -> (Duration, Event) {
    let mut rng = Rng::with_seed(seed ^ SURGE_SEED_MASK);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let time = Duration::from_millis(rng.u64(SURGE_MS));
    (Duration::from_millis(rng.u64(..length_ms)), Event::Surge(time))
}

/// Returns when another writer puts odd rows among those of servers: twice in each run, some kinds of rows at a time.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_odd_rows(seed: u64, length: Duration) -> Vec<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ ODD_ROW_SEED_MASK);
    let mut random_rows = |number| {
        let at = length.mul_f64(rng.f64());
        let mut rows = OddRow::all(&mut rng);
        rows.truncate(rng.usize(1..=ODD_ROWS_MAX));
        let time = Duration::from_millis(rng.u64(ODD_ROW_MS));
        (at, Event::OddRows(number, rows, time))
    };
    (0..odd_rows::CALM_EVENT).map(&mut random_rows).collect()
}

/// Returns the events at services with two versions.
pub(crate) fn random_versions(
    seed: u64,
    length: Duration,
    instances: usize,
) -> impl Iterator<Item = (Duration, Event)> {
    let events = VersionEvent::random(seed, length, instances).into_iter().enumerate();
    events.map(|(number, (at, event))| (at, Event::Versions(number, event)))
}

/// Returns the software version of a server: in two runs of three one of two, in the others always the same.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_version(seed: u64, server: &str) -> &'static str {
    let hash = server.bytes().fold(seed, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    let is_second = Rng::with_seed(hash ^ VERSION_SEED_MASK).bool();
    if !seed.is_multiple_of(3) && is_second { "v1.2" } else { "v1" }
}

/// Returns when servers break off streams: six times in each run.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_broken_streams(
    seed: u64,
    length: Duration,
    servers: usize,
) -> Vec<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ BROKEN_STREAM_SEED_MASK);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut random_break = || {
        let at = Duration::from_millis(rng.u64(..length_ms));
        (at, Event::BreakStreams(rng.usize(..servers), rng.usize(BROKEN_STREAMS)))
    };
    (0..6).map(|_| random_break()).collect()
}

/// Returns when servers leave while instances are stopped: twice in each run.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_departures(
    seed: u64,
    length: Duration,
    instances: usize,
    servers: usize,
) -> Vec<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ DEPARTURE_SEED_MASK);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut random_departure = || {
        let at = Duration::from_millis(rng.u64(..length_ms));
        let count = rng.usize(1..=(instances / 2).max(1));
        let stopped = rng.choose_multiple(0..instances, count);
        let time = Duration::from_millis(rng.u64(STOPPED_MS));
        (at, Event::LeaveUnnoticed(rng.usize(..servers), stopped, time))
    };
    (0..2).map(|_| random_departure()).collect()
}

/// Returns the three notices that servers of a run send in their responses.
///
/// Uses a generator of its own, as [`random_growth`] does.
pub(crate) fn random_notices(
    seed: u64,
    length: Duration,
    servers: usize,
) -> Vec<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ NOTICE_SEED_MASK);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut random_notice = || {
        let at = Duration::from_millis(rng.u64(..length_ms));
        let endpoint = rng.usize(..servers);
        let rejecting = Duration::from_millis(rng.u64(REJECTING_MS));
        let backoff = Duration::from_millis(rng.u64(BACKOFF_MS));
        let event = match rng.u32(..3) {
            0 => Event::AnnounceLeaving(endpoint),
            _ => Event::AnnounceBackoff(endpoint, rejecting, backoff),
        };
        (at, event)
    };
    (0..3).map(|_| random_notice()).collect()
}

fn random_event(rng: &mut Rng, instances: usize, servers: usize) -> Event {
    let instance = rng.usize(..instances);
    let server = rng.usize(..servers);
    let time = Duration::from_millis(rng.u64(FAULT_MS));
    match rng.u32(..23) {
        0..=2 => Event::Terminate(instance),
        3 | 4 => Event::Kill(instance, time.min(Duration::from_millis(1500))),
        5 | 6 => Event::Freeze(instance, time),
        7 => Event::Reload(instance),
        8 => Event::KillAll,
        9 | 10 => Event::Store(random_store_mode(rng), time),
        11 | 12 => Event::StoreLink(instance, random_link_mode(rng), time),
        13 => Event::ExpireHistory,
        14 | 15 => Event::ServerLink(server, random_link_mode(rng), time),
        16 => Event::Replace(server),
        17 => Event::Crash(server),
        18 | 19 => Event::ServerFaults(server),
        _ => Event::ChangeIntent(rng.u32(1..4)),
    }
}

fn random_store_mode(rng: &mut Rng) -> StoreMode {
    let modes = StoreMode::failing(150);
    modes[rng.usize(..modes.len())]
}

fn random_link_mode(rng: &mut Rng) -> LinkMode {
    match rng.u32(..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.u64(5..80))),
        1 => LinkMode::OneWay,
        2 => LinkMode::Blocked,
        _ => LinkMode::Reset,
    }
}
