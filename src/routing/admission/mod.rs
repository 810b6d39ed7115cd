//! Admission: which requests of a service are sent on, which wait, and which are rejected with a time to retry.
//!
//! `control` admits a share of the requests beyond capacity, from this instance's counts and those of the last
//! exchange. `max_min` divides capacity among teams. `slot_broker` hands out the slots of a service that has fewer slots
//! than the fleet has instances; its parts are the servers with their leases (`slot_table`), the queue by team
//! (`slot_queue`), the demand of the teams (`slot_demand`), the retry times promised to callers (`slot_promises`) and an
//! estimate of the time for which leases are held (`slot_time`).

mod control;
mod max_min;
mod slot_broker;
mod slot_demand;
mod slot_promises;
mod slot_queue;
mod slot_request;
mod slot_table;
mod slot_time;

pub use control::{AdmissionControl, FleetTotal, ResponseTimes};
pub use max_min::fair_level;
pub use slot_broker::SlotBroker;
pub use slot_request::{BrokerAction, LeaseId, ServerSlots, SlotRequest};
