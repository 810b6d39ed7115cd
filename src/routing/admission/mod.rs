//! Admission: which requests of a service are sent on, which wait, and which are rejected with a time to retry.
//!
//! `control` admits a share of the requests beyond capacity, from this instance's counts and those of the last
//! exchange.
//!
//! Beyond capacity, teams share a service's capacity equally (`max_min`): `team_usage` measures their demand at each
//! instance, `fleet_demand` derives limits from all of it, and `team_limits` applies these.
//!
//! `slot_broker` leases the slots of a service that has fewer slots than the fleet has instances; its parts are the
//! servers with their leases (`slot_table`), the queue by team (`slot_queue`), the demand of the teams (`slot_demand`),
//! the retry times promised to callers (`slot_promises`) and the mean time for which leases are held (`moving_mean`).
//! `small_services` decides which services those are, and `broker_choice` which instance is the broker.
//! `broker_silence` and `lease_times` decide at an instance when it gives up a broker or a lease.

mod broker_choice;
mod broker_silence;
mod control;
mod decayed_rate;
mod demand_sums;
mod fleet_demand;
mod lease_times;
mod max_min;
mod moving_mean;
mod rejected_requests;
mod retry_delay;
mod saturated_time;
mod service_shares;
mod service_time;
mod slot_broker;
mod slot_demand;
mod slot_promises;
mod slot_queue;
mod slot_request;
mod slot_table;
mod small_services;
mod smoothed_rate;
mod team_limits;
mod team_messages;
mod team_usage;

pub use broker_choice::BrokerChoice;
pub use broker_silence::{BrokerSilence, RESPONSE_TIMEOUT};
pub use control::{AdmissionControl, FleetTotal, ResponseTimes};
pub use fleet_demand::FleetDemand;
pub use lease_times::LeaseTimes;
pub use max_min::fair_level;
pub use retry_delay::max_retry_delay;
pub use service_shares::SlotUsage;
pub use slot_broker::SlotBroker;
pub use slot_request::{BrokerAction, LeaseId, ServerSlots, SlotRequest};
pub use small_services::{ServiceSlots, SmallServices};
pub use team_limits::{
    TEAM_LIMITS_MAX_AGE, TeamLimitChange, TeamLimits, TeamVerdict, team_retry_delay,
};
pub use team_messages::{CentiRate, PerMille, ServiceDemand, ServiceLimits, TeamRate};
pub use team_usage::TeamUsage;
