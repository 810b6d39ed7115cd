//! Routing decisions on a platform that lists backend servers: the route and the backend server of a request, and
//! whether the request is retried. The module does no I/O; the current time is passed in.

pub mod admission;
pub mod aggregate;
pub mod blame;
pub mod budget;
pub mod candidates;
pub mod cold;
pub mod events;
pub mod fleet_budget;
pub mod health;
pub mod helper;
pub mod home_regions;
pub mod incarnation;
pub mod instance_list;
pub mod intent;
pub mod intent_change;
pub mod intent_history;
pub mod intent_watch;
pub mod load;
pub mod notice;
pub mod operator_orders;
pub mod pick;
pub mod picker;
pub mod rollout;
pub mod roster;
pub mod roster_watch;
pub mod route;
pub mod server_list;
pub mod spread;
pub mod start;
pub mod store_share;
pub mod store_version;
pub mod team;
pub mod unlisted;

pub use admission::{AdmissionControl, ResponseTimes};
pub use aggregate::{Aggregate, Count, ServiceLoad};
pub use blame::{
    Answered, Collector, Finding, HeldRow, Judgement, RequestDigest, RequestLook, ServerEnds,
    Suspect, TablePlan, TableWatch, ToldEnd, ToldVerdict, Verdicts,
};
pub use budget::RetryBudget;
pub use candidates::{Candidates, InstanceInfo};
pub use cold::{ColdGranters, ColdGrants, ColdTerms};
pub use events::EventSplitter;
pub use fleet_budget::{BudgetSum, FleetBudget, RunId, Spending, ToldSpent};
pub use health::Health;
pub use helper::Helper;
pub use home_regions::HomeRegions;
pub use incarnation::{Born, Incarnation};
pub use instance_list::{InstanceChange, InstanceHistory, InstanceNews};
pub use intent::{CallerLimits, Intent, IntentInForce, ServiceSpec};
pub use intent_change::{ChangeFault, IntentChange, PackedChange};
pub use intent_history::IntentHistory;
pub use intent_watch::{Confirmed, IntentWatch, WatchRole, WatchStep};
pub use load::{FleetPosition, Load, LoadReport};
pub use notice::Notice;
pub use operator_orders::{OperatorOrders, OrderChange, ToldOrders};
pub use pick::{Crowded, PickError, PickRequest, Picked};
pub use picker::Picker;
pub use rollout::{
    AnswerSeen, Course, FailureDomains, Judge, LEASE, Lane, RolloutEvidence, RolloutOrder,
    RolloutRecord, RolloutReport, RolloutState, RolloutStates, RolloutTerms, Stage, Tally,
    ToldRollout,
};
pub use roster::{BackendServer, Roster};
pub use roster_watch::{RosterRole, RosterStep, RosterWatch};
pub use route::{Route, RouteKey, RouteKind, RouteTable, ServiceShare};
pub use server_list::{ListFault, ListHistory, ListNews, ListVersion, PackedList};
pub use start::StartWatch;
pub use store_share::{CallKind, StoreRates, StoreShare};
pub use store_version::{StoreEra, StoreVersion};
pub use team::{Team, Teams};
pub use unlisted::UnlistedNotices;
