//! What the parts of the system owe each other, as decision machines without I/O.

pub mod claim;
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
