//! What happens in a run, drawn from its seed.

use std::time::Duration;

use fastrand::Rng;
use standins::store::StoreMode;

use crate::proxy::LinkMode;

/// Shortest pause between two faults.
const PAUSE_MIN_MS: u64 = 100;

/// Longest pauses of a run, of which one is drawn: in most runs faults overlap, in some the fleet
/// comes to rest in between.
const PAUSE_MAX_MS: [u64; 3] = [500, 900, 4000];

/// Length of a fault that ends.
const FAULT_MS: std::ops::Range<u64> = 200..3500;

/// Routes of one step of growth.
const GROWTH_ROUTES: usize = 700;

/// Tells what is drawn for growth from what else a seed draws.
const GROWTH_SEED_MASK: u64 = 0x6772_6f77;

/// Tells what is drawn for returns of the store from what else a seed draws.
const RESTORE_SEED_MASK: u64 = 0x7265_7475;

/// Tells what is drawn for servers' notices from what else a seed draws.
const NOTICE_SEED_MASK: u64 = 0x6e6f_7469;

/// Tells what is drawn for roll-outs from what else a seed draws.
const ROLLOUT_SEED_MASK: u64 = 0x726f_6c6c;

/// For how long a server turns requests away, and for how long it wants none.
const REJECTING_MS: std::ops::Range<u64> = 300..2500;
const BACKOFF_MS: std::ops::Range<u64> = 800..3000;

/// Age of the copy that the store comes back from.
const COPY_AGE_MS: std::ops::Range<u64> = 300..3000;

/// Longest fault that ends; a process may stand still for as long.
pub(crate) const FAULT_TIME_MAX: Duration = Duration::from_millis(FAULT_MS.end);

/// Something that happens to the fleet from outside.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Event {
    /// An instance is told to end, and starts again once it has.
    Terminate(usize),
    /// An instance is killed and starts again after a while.
    Kill(usize, Duration),
    /// An instance stands still for a while.
    Freeze(usize, Duration),
    /// An instance is told to read its settings again.
    Reload(usize),
    /// Every instance is killed and starts again.
    KillAll,
    /// The store behaves otherwise for a while.
    Store(StoreMode, Duration),
    /// An instance's link to the store does.
    StoreLink(usize, LinkMode, Duration),
    /// The store forgets its history.
    ExpireHistory,
    /// A backend server's link behaves otherwise for a while.
    ServerLink(usize, LinkMode, Duration),
    /// A backend server leaves, and another takes its address.
    Replace(usize),
    /// A backend server is gone at once, and another takes its address.
    Crash(usize),
    /// The next requests at a backend server go wrong.
    ServerFaults(usize),
    /// The operator's intent changes, this many times in a row.
    ChangeIntent(u32),
    /// The operator's intent changes and grows by this many routes.
    GrowIntent(usize),
    /// The store comes back from a copy of this age; all write again what was lost.
    RestoreStore(Duration),
    /// A backend server says in its answers that it leaves, and its entry does not say so.
    AnnounceLeaving(usize),
    /// A backend server turns requests away for the first time and wants none for the second.
    AnnounceBackoff(usize, Duration, Duration),
    /// Operators order a version that fails.
    RollOut,
}

/// How large a run's intent becomes, and how fast the store sends it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Growth {
    /// Changes that make it larger, with their times.
    pub(crate) events: Vec<(Duration, Event)>,
    /// Bytes a second on each connection to the store; 0: as fast as it goes.
    pub(crate) store_bytes_per_s: usize,
}

/// Draws the events of a run, with their times.
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

/// Draws how the intent of a run grows: in one of two, by up to three steps. With the slowest link the largest
/// intent, 2,100 routes of 0.3 KB, takes 1 s: more than a call to the store may be silent.
///
/// Drawn apart, so that the other events of a seed stay what they were before there was growth.
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

/// Draws when the store of a run comes back from a copy: in one run of two, once or twice.
///
/// Drawn apart, as growth is.
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

/// Draws when operators of a run order a bad version: in one run of two, once.
///
/// Drawn apart, as growth is.
pub(crate) fn random_rollout(seed: u64, length: Duration) -> Option<(Duration, Event)> {
    let mut rng = Rng::with_seed(seed ^ ROLLOUT_SEED_MASK);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    rng.bool().then(|| (Duration::from_millis(rng.u64(..length_ms)), Event::RollOut))
}

/// Draws when servers of a run say something of themselves in their answers: up to three times.
///
/// Drawn apart, as growth is.
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
