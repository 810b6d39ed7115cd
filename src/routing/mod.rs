//! Decisions of the way of a request on a platform that lists backend servers: which route, which
//! backend server, whether to try again. No I/O; the time is passed in.

pub mod aggregate;
pub mod blame;
pub mod budget;
pub mod candidates;
pub mod cold;
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
pub mod load;
pub mod notice;
pub mod operator_orders;
pub mod overload;
pub mod pick;
pub mod picker;
pub mod rollout;
pub mod roster;
pub mod roster_watch;
pub mod route;
pub mod server_list;
pub mod startup;
pub mod store_share;
pub mod store_version;
pub mod team;
pub mod unlisted;

pub use aggregate::{Aggregate, InFlightCount, ServiceLoad};
pub use blame::{
    Answered, Collector, Finding, HeldRow, Judgement, RequestDigest, RequestLook, ServerEnds,
    Suspect, TablePlan, TableWatch, ToldEnd, ToldVerdict, Verdicts,
};
pub use budget::RetryBudget;
pub use candidates::{Candidates, InstanceInfo};
pub use cold::{ColdGranters, ColdGrants, ColdTerms};
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
pub use load::{FleetPosition, Load, LoadReport};
pub use notice::Notice;
pub use operator_orders::{OperatorOrders, OrderChange, OrdersSnapshot};
pub use overload::{AnswerTimes, Overload};
pub use pick::{Crowded, Picked, Unpicked, Wanted};
pub use picker::Picker;
pub use rollout::{
    AnswerSeen, Course, FailureDomains, Judge, LEASE, Lane, RolloutEvidence, RolloutOrder,
    RolloutRecord, RolloutReport, RolloutState, RolloutStates, RolloutTerms, Stage, Tally,
    ToldRollout,
};
pub use roster::{BackendServer, Roster};
pub use roster_watch::{RosterRole, RosterStep, RosterWatch};
pub use route::{Route, RouteKey, RouteKind, RouteTable, ServiceShare};
pub use server_list::{ListHistory, ListVersion, PackedList, ServerListError, ServerListUpdate};
pub use startup::StartupWait;
pub use store_share::{CallKind, StoreRates, StoreShare};
pub use store_version::{StoreEra, StoreVersion};
pub use team::{Team, Teams};
pub use unlisted::UnlistedNotices;
