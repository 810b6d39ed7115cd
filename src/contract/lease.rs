//! A lease on a row of the table, with a fencing number that grows with each holder.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::names::InstanceId;

/// Life of a lease.
pub const LEASE_TTL: Duration = Duration::from_secs(15);

/// Time before the end of the lease, by the holder's own clock, from which it orders nothing.
pub const LEASE_MARGIN: Duration = Duration::from_secs(5);

/// Prefix of the keys of the rows of the leases to order engines, one for each shard.
pub const ORDERS_PREFIX: &str = "lease/orders/";

/// The lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder.
    pub holder: InstanceId,
    /// Start of the holder's process.
    pub incarnation: u64,
    /// Fencing number.
    pub fencing: u64,
    /// Counts renewals.
    pub renewal: u64,
}

/// What a try for the lease is to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this row over the version given; `None`: the row must be absent.
    Write(LeaseRow, Option<u64>),
    /// Another holds it; look again later.
    Wait,
}

/// One instance's view of the lease. Expiry is judged by how long the row stood still on this
/// instance's own monotonic clock, never by comparing wall clocks.
#[derive(Debug)]
pub struct Lease {
    own: InstanceId,
    incarnation: u64,
    seen: Option<(LeaseRow, Instant)>,
    held: Option<(u64, Instant)>,
}

impl Lease {
    /// Returns the view of an instance that holds nothing.
    pub fn new(own: InstanceId, incarnation: u64) -> Lease {
        Lease { own, incarnation, seen: None, held: None }
    }

    /// Decides the next step from the row as just read; `asked` is when the read was begun.
    pub fn step(&mut self, asked: Instant, row: Option<(LeaseRow, u64)>) -> LeaseStep {
        let Some((row, version)) = row else {
            return LeaseStep::Write(self.row(1, 1), None);
        };
        if self.is_own(&row) {
            return LeaseStep::Write(self.row(row.fencing, row.renewal + 1), Some(version));
        }
        self.held = None;
        let stood_still = match &self.seen {
            Some((seen, since)) if *seen == row => asked.duration_since(*since),
            _ => {
                self.seen = Some((row, asked));
                return LeaseStep::Wait;
            }
        };
        if stood_still < LEASE_TTL {
            return LeaseStep::Wait;
        }
        LeaseStep::Write(self.row(row.fencing + 1, 1), Some(version))
    }

    /// Notes that the write begun at `began` took effect.
    pub fn note_written(&mut self, began: Instant, row: &LeaseRow) {
        self.held = Some((row.fencing, began));
    }

    /// Notes that the write did not take effect, or that its reply was lost.
    pub fn note_not_written(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number while orders may be given at `now`.
    pub fn fencing(&self, now: Instant) -> Option<u64> {
        let (fencing, began) = self.held?;
        (now.saturating_duration_since(began) < LEASE_TTL - LEASE_MARGIN).then_some(fencing)
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.own && row.incarnation == self.incarnation
    }

    fn row(&self, fencing: u64, renewal: u64) -> LeaseRow {
        LeaseRow { holder: self.own.clone(), incarnation: self.incarnation, fencing, renewal }
    }
}
