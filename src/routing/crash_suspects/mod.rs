//! Attribution of backend server crashes to what causes them, as decisions without I/O.
//!
//! A crash interrupts every request that the server runs, so a single crash identifies none of them. Each instance
//! records which of its requests were in flight at servers that crashed (`server_crashes`). The aggregator finds the
//! request that was in flight at three of them (`attribution`), or the part of prompts that different requests at them
//! had in common (`part_attribution`), and all instances hold it (`verdicts`). A successful response clears a request
//! (`recent_successes`), and the parts of its prompt (`answered_parts`). Without this, one request that its caller sent
//! repeatedly caused 57 crashes among the 18 servers in use within a minute, and each crash interrupted up to 41 other
//! requests.

pub mod answered_parts;
pub mod attribution;
pub mod digest;
pub mod fingerprint;
pub mod part_attribution;
pub mod part_finding;
mod part_record;
pub mod prompt_part;
pub mod recent_successes;
pub mod server_crashes;
pub mod suspect_kind;
pub mod table;
pub mod verdicts;

pub use answered_parts::{AnsweredPart, AnsweredParts, AnsweredReport, ServiceResponses};
pub use attribution::{CrashAttribution, Finding};
pub use digest::SuspectDigest;
pub use fingerprint::RequestFingerprint;
pub use part_attribution::PartAttribution;
pub use part_finding::{PartFinding, PartJudgements};
pub use prompt_part::PromptPartId;
pub use recent_successes::RecentSuccesses;
pub use server_crashes::{CrashReport, ServerCrashes, Suspect};
pub use suspect_kind::SuspectKind;
pub use table::{HeldRow, HeldTablePlan, HeldTableSync};
pub use verdicts::{Judgement, VerdictUpdate, Verdicts};
