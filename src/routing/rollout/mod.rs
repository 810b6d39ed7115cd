//! Roll-outs: operators have the requests of a service moved to backend servers of another version of its software, which
//! run beside the old ones until one of the two has to go.
//!
//! Answers the load of a version that is worse than the one before: at once, some seconds later, only under load, or only
//! on one route. Its servers get few requests until enough answers speak for them.
//!
//! `order` is what operators want. Each instance notes how both versions answer (`evidence`) and tells the one that
//! collects reports, which judges (`evaluation`) and takes the roll-out through its stages (`stage_policy`), under a lease in the
//! store (`record`). What it has decided travels to all instances (`state`), and `version_split` says which servers a request may
//! go to.

mod evaluation;
mod evidence;
mod order;
mod record;
mod stage_policy;
mod state;
mod version_split;

pub use evaluation::{FailureDomains, VersionEvaluation};
pub use evidence::{ResponseCounts, ResponseObservation, RolloutEvidence, RolloutReport, TimeBin};
pub use order::RolloutOrder;
pub use record::{ROLLOUT_LEASE, RolloutRecord};
pub use stage_policy::{ExposureLimit, RolloutProgress, StagePolicy};
pub use state::{RolloutState, RolloutStates, RolloutUpdate, Stage};
pub use version_split::VersionSplit;
