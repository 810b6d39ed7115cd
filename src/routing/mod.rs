//! Routing decisions on a platform that lists backend servers: the route and the backend server of a request, and
//! whether the request is retried. The module does no I/O; the current time is passed in.

pub mod admission;
pub mod aggregate;
pub mod brittleness;
pub mod budget;
pub mod buffer_budget;
pub mod candidates;
pub mod checkpoint_requests;
pub mod cold;
pub mod crash_suspects;
pub mod events;
pub mod fallback_reader;
pub mod fanout;
pub mod fleet_budget;
pub mod health;
pub mod home_regions;
pub mod incarnation;
pub mod instance_list;
pub mod intent;
pub mod intent_change;
pub mod intent_history;
pub mod intent_watch;
pub mod list_reads;
pub mod load;
pub mod notice;
pub mod operator_orders;
pub mod pick;
pub mod picker;
pub mod placement_weight;
pub mod prompt_demand;
pub mod reachability;
pub mod reader_takeover;
pub mod registry;
pub mod registry_era;
pub mod registry_maintenance;
pub mod rollout;
pub mod roster;
pub mod roster_watch;
pub mod route;
pub mod route_shares;
pub mod sent_records;
pub mod server_contacts;
pub mod server_list;
pub mod sightings;
pub mod startup;
pub mod store_share;
pub mod store_version;
pub mod stream_checkpoints;
pub mod stream_origins;
pub mod stream_retention;
pub mod team;
pub mod tunnel_peers;
pub mod unlisted;
pub mod unlisted_loads;
pub mod unrecorded_streams;
pub mod version_registry;
pub mod version_rule;
pub mod version_sightings;

pub use admission::{
    AdmissionControl, BrokerAction, BrokerChoice, BrokerSilence, FleetDemand, LeaseId, LeaseTimes,
    RESPONSE_TIMEOUT, ResponseTimes, ServerSlots, ServiceDemand, ServiceLimits, ServiceSlots,
    SlotBroker, SlotRequest, SmallServices, TeamLimitChange, max_retry_delay,
};
pub use aggregate::{Aggregate, InFlightCount, ServiceLoad};
pub use brittleness::{Brittleness, RejectionLimit};
pub use budget::RetryBudget;
pub use buffer_budget::{BufferBudget, BufferClaim, BufferDenial, BufferKind};
pub use candidates::{Candidates, InstanceInfo};
pub use checkpoint_requests::{
    CHECKPOINT_WRITERS, CheckpointRequests, CheckpointWriters, EVENT_HOLD_MAX, SELF_WRITING_MAX,
};
pub use cold::{ColdGranters, ColdGrants, ColdTerms};
pub use crash_suspects::{
    AnsweredPart, AnsweredParts, AnsweredReport, CrashAttribution, CrashReport, Finding, HeldRow,
    HeldTablePlan, HeldTableSync, Judgement, PartAttribution, PartFinding, PartJudgements,
    PromptPartId, RecentSuccesses, RequestFingerprint, ServerCrashes, ServiceResponses, Suspect,
    SuspectDigest, SuspectKind, VerdictUpdate, Verdicts,
};
pub use events::EventSplitter;
pub use fallback_reader::FallbackReader;
pub use fleet_budget::{BudgetSum, FleetBudget, FleetSpentReport, RetrySpending, RunId};
pub use health::Health;
pub use home_regions::HomeRegions;
pub use incarnation::{Incarnation, StartTime};
pub use instance_list::{InstanceChange, InstanceHistory, InstanceListUpdate};
pub use intent::{ActiveIntent, CallerLimits, Intent, ServiceSpec};
pub use intent_change::{IntentChange, IntentChangeError, PackedChange};
pub use intent_history::IntentHistory;
pub use intent_watch::{Confirmation, IntentWatch, WatchRole, WatchStep};
pub use list_reads::{DecidedGap, GapCause, ListReads, ReadSpan};
pub use load::{FleetPosition, Load, LoadReport};
pub use notice::Notice;
pub use operator_orders::{OperatorOrders, OrderChange, OrdersSnapshot};
pub use pick::{AdmissionTerms, Crowded, PickError, PickRequest, Picked};
pub use picker::{Picker, ProbeTarget, ReachCounts};
pub use placement_weight::PlacementWeight;
pub use prompt_demand::{PromptCount, PromptDemand, PromptTag};
pub use reachability::Reachability;
pub use reader_takeover::{CallFailure, ReaderTakeover};
pub use registry_era::RegistryEra;
pub use registry_maintenance::{Comparison, RegistryMaintenance, UsedOrigins};
pub use rollout::{
    ExposureLimit, FailureDomains, ROLLOUT_LEASE, ResponseCounts, ResponseObservation,
    RolloutEvidence, RolloutOrder, RolloutProgress, RolloutRecord, RolloutReport, RolloutState,
    RolloutStates, RolloutUpdate, Stage, StagePolicy, StageTimes, TimeBin, VersionEvaluation,
    VersionSplit,
};
pub use roster::{BackendServer, Roster, StoreWitness};
pub use roster_watch::{RosterRole, RosterStep, RosterWatch};
pub use route::{Route, RouteKey, RouteKind, RouteTable, ServiceShare};
pub use route_shares::{ListedShares, RouteRegistry, RouteShares, RouteTag, SharesTag};
pub use sent_records::{RecordSend, SentRecords};
pub use server_contacts::ServerContacts;
pub use server_list::{ListHistory, ListVersion, PackedList, ServerListError, ServerListUpdate};
pub use startup::StartupWait;
pub use store_share::{CallKind, StoreRates, StoreShare};
pub use store_version::{StoreEra, StoreVersion};
pub use stream_checkpoints::{
    CheckpointNeed, CheckpointRow, CheckpointStep, ExpiredRow, InvalidRow, StoreClock,
    StreamCheckpoints,
};
pub use stream_origins::{HOLDERS, StreamKey, StreamOrigin, StreamOrigins, StreamRecord};
pub use stream_retention::StreamRetention;
pub use team::{Team, Teams};
pub use tunnel_peers::{TunnelPeers, TunnelReply};
pub use unlisted::UnlistedNotices;
pub use unlisted_loads::UnlistedLoads;
pub use unrecorded_streams::{StreamScope, UnrecordedStreams};
pub use version_registry::{ListedVersions, RegisteredVersions, VersionRegistry};
pub use version_rule::VersionRule;
pub use version_sightings::{SightedVersion, VersionSightings};
