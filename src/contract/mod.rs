//! State machines, without I/O, of what instances, backend servers and the table agree on: claims, permits, leases,
//! event streams, membership, orders to engines, retries and limits.

pub mod claim;
pub mod event_scanner;
pub mod fair_queue;
pub mod lease;
pub mod membership;
pub mod orders;
pub mod outcome;
pub mod permit;
pub mod retry;
pub mod revision;
pub mod team_limits;
pub mod token_bucket;
