//! A lease on a row of the table, with a fencing number that increases with each holder.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{names::InstanceId, units::counter};

/// Time for which the row must stay unchanged before another instance takes the lease over.
pub const LEASE_TTL: Duration = Duration::from_secs(15);

/// Time before the lease expires, by the holder's own clock, from which the holder gives no more orders.
pub const LEASE_MARGIN: Duration = Duration::from_secs(5);

/// Prefix of the keys of the rows whose leases permit orders to engines, one for each shard.
pub const ORDERS_PREFIX: &str = "lease/orders/";

/// The row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Id of the holder.
    pub holder: InstanceId,
    /// Start time of the holder's process.
    pub incarnation: u64,
    /// Fencing number; increases with each holder.
    #[serde(deserialize_with = "counter::deserialize")]
    pub fencing: u64,
    /// Number of renewals by this holder.
    #[serde(deserialize_with = "counter::deserialize")]
    pub renewal: u64,
}

/// What an instance does next to acquire or renew the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this row if the stored one still has the version given or, with `None`, if there is still no row.
    Write(LeaseRow, Option<u64>),
    /// Another instance holds the lease; read the row again later.
    Wait,
}

/// One instance's view of the lease.
///
/// The lease has expired when its row has stayed unchanged for [`LEASE_TTL`] on this instance's own monotonic clock.
/// Wall clocks of different instances are never compared.
#[derive(Debug)]
pub struct Lease {
    own: InstanceId,
    incarnation: u64,
    last_read: Option<(LeaseRow, Instant)>,
    held: Option<(u64, Instant)>,
}

impl Lease {
    /// Returns the view of an instance that does not hold the lease.
    pub fn new(own: InstanceId, incarnation: u64) -> Lease {
        Lease { own, incarnation, last_read: None, held: None }
    }

    /// Decides the next step from the row that was read; `read_at` is when the read began.
    pub fn step(&mut self, read_at: Instant, row: Option<(LeaseRow, u64)>) -> LeaseStep {
        let Some((row, version)) = row else {
            return LeaseStep::Write(self.row(1, 1), None);
        };
        if self.is_own(&row) {
            return LeaseStep::Write(self.row(row.fencing, row.renewal + 1), Some(version));
        }
        self.held = None;
        let unchanged_for = match &self.last_read {
            Some((last_read, since)) if *last_read == row => read_at.duration_since(*since),
            _ => {
                self.last_read = Some((row, read_at));
                return LeaseStep::Wait;
            }
        };
        if unchanged_for < LEASE_TTL {
            return LeaseStep::Wait;
        }
        LeaseStep::Write(self.row(row.fencing + 1, 1), Some(version))
    }

    /// Notes that the write that began at `write_began` took effect.
    pub fn note_written(&mut self, write_began: Instant, row: &LeaseRow) {
        self.held = Some((row.fencing, write_began));
    }

    /// Notes that the write did not take effect, or that its reply was lost.
    pub fn note_not_written(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number if orders may be given at `now`.
    pub fn fencing(&self, now: Instant) -> Option<u64> {
        let (fencing, write_began) = self.held?;
        (now.saturating_duration_since(write_began) < LEASE_TTL - LEASE_MARGIN).then_some(fencing)
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.own && row.incarnation == self.incarnation
    }

    fn row(&self, fencing: u64, renewal: u64) -> LeaseRow {
        LeaseRow { holder: self.own.clone(), incarnation: self.incarnation, fencing, renewal }
    }
}
