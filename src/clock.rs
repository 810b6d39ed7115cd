//! Time as an interface: everything that needs the time is handed a [`Clock`].

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of monotonic and wall-clock time.
///
/// Decisions use the monotonic time only; the wall clock is for audit rows and logs.
#[derive(Clone)]
pub struct Clock {
    now: Arc<dyn Fn() -> Instant + Send + Sync>,
    wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
    /// Returns the clock of the machine.
    pub fn system() -> Clock {
        Clock::new(Instant::now, SystemTime::now)
    }

    /// Returns a clock made of two closures.
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

    /// Returns the wall-clock time in milliseconds since 1970.
    pub fn wall_millis(&self) -> u64 {
        let since = self.wall().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Clock")
    }
}
