//! Which request ends the backend servers that run it, as decisions without I/O.
//!
//! All that a server runs ends with it, so one end says little. Each instance notes what it had at servers that ended
//! (`server_crashes`), the one that collects the instances' reports finds the request that was at three of them
//! (`attribution`), and all hold it back (`verdicts`). An answer clears a request (`recent_successes`). The failure prevented:
//! one request that was sent again and again ended 57 of 18 servers in use within a minute, and with each of them up
//! to 41 other requests.

pub mod attribution;
pub mod digest;
pub mod fingerprint;
pub mod recent_successes;
pub mod server_crashes;
pub mod table;
pub mod verdicts;

pub use attribution::{CrashAttribution, Finding};
pub use digest::RequestDigest;
pub use fingerprint::RequestFingerprint;
pub use recent_successes::RecentSuccesses;
pub use server_crashes::{CrashReport, ServerCrashes, Suspect};
pub use table::{HeldRow, HeldTablePlan, HeldTableSync};
pub use verdicts::{Judgement, VerdictUpdate, Verdicts};
