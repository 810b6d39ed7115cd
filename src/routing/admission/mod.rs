//! Admission: which requests of a service are sent on, which wait, and which are rejected with a time to retry.
//!
//! `control` admits a share of the requests beyond capacity, from this instance's counts and those of the last
//! exchange. `max_min` divides capacity among teams. `slot_broker` hands out the slots of a service that has fewer slots
//! than the fleet has instances.
//!
//! Beyond capacity, teams share a service's capacity: `team_usage` measures their demand at each instance,
//! `fleet_demand` derives limits from all of it, and `team_limits` applies these.

mod control;
mod decayed_rate;
mod demand_sums;
mod fleet_demand;
mod max_min;
mod rejected_requests;
mod service_shares;
mod slot_broker;
mod slot_request;
mod slot_time;
mod smoothed_rate;
mod team_limits;
mod team_messages;
mod team_usage;

pub use control::{AdmissionControl, FleetTotal, ResponseTimes};
pub use fleet_demand::FleetDemand;
pub use max_min::fair_level;
pub use service_shares::ServiceSlots;
pub use slot_broker::SlotBroker;
pub use slot_request::{BrokerAction, LeaseId, ServerSlots, SlotRequest};
pub use team_limits::{
    TEAM_LIMITS_MAX_AGE, TeamLimitChange, TeamLimits, TeamVerdict, team_retry_delay,
};
pub use team_messages::{CentiRate, PerMille, ServiceDemand, ServiceLimits, TeamRate};
pub use team_usage::TeamUsage;
