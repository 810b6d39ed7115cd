//! Injectable time: every component that needs the time receives a [`Clock`], so that tests can control it.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// A source of monotonic and wall-clock time.
///
/// Decisions use the monotonic time only; the wall clock is for audit rows and logs.
#[derive(Clone)]
pub struct Clock {
    now: Arc<dyn Fn() -> Instant + Send + Sync>,
    wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
    /// Returns the clock of the machine, which includes the time for which the machine was suspended.
    pub fn system() -> Clock {
        Clock::from_boot_time(boot_time, SystemTime::now)
    }

    /// Returns a clock that follows the time since the machine's start.
    ///
    /// [`Instant::now`] does not advance while the machine is suspended: after a suspension of four seconds, an
    /// instance would take its state and its leases to be four seconds younger than they are.
    pub fn from_boot_time(
        since_boot: impl Fn() -> Duration + Send + Sync + 'static,
        wall: impl Fn() -> SystemTime + Send + Sync + 'static,
    ) -> Clock {
        let (start, boot_offset) = (Instant::now(), since_boot());
        Clock::new(move || start + since_boot().saturating_sub(boot_offset), wall)
    }

    /// Returns a clock that calls these closures.
    pub fn new(
        now: impl Fn() -> Instant + Send + Sync + 'static,
        wall: impl Fn() -> SystemTime + Send + Sync + 'static,
    ) -> Clock {
        Clock { now: Arc::new(now), wall: Arc::new(wall) }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        (self.now)()
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> SystemTime {
        (self.wall)()
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub fn wall_millis(&self) -> u64 {
        let since = self.wall().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).expect("the time since the machine's start is not negative")
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Clock")
    }
}
