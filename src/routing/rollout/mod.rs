//! Roll-outs: on an operator's order, the requests of a service move to backend servers of another version of its
//! software, which run beside the old ones until one of the two versions stops.
//!
//! A new version may be worse than the one before at once, some seconds later, only under load, or only on one route.
//! Its servers get few requests until enough responses prove the version.
//!
//! `order` is the operator's order. Each instance records the responses of both versions (`evidence`) and reports them
//! to the aggregator, which is also the roll-out controller: it evaluates the version (`evaluation`) and advances the
//! roll-out from stage to stage (`stage_policy`, `stage_times`), under a lease in the store (`record`). Its decisions are propagated
//! to all instances (`state`), and `version_split` determines which servers a request may be sent to.

mod evaluation;
mod evidence;
mod order;
mod record;
mod stage_policy;
mod stage_times;
mod state;
mod version_split;

pub use evaluation::{FailureDomains, VersionEvaluation};
pub use evidence::{ResponseCounts, ResponseObservation, RolloutEvidence, RolloutReport, TimeBin};
pub use order::RolloutOrder;
pub use record::{ROLLOUT_LEASE, RolloutRecord};
pub use stage_policy::{ExposureLimit, RolloutProgress, StagePolicy};
pub use stage_times::StageTimes;
pub use state::{RolloutState, RolloutStates, RolloutUpdate, Stage};
pub use version_split::VersionSplit;
