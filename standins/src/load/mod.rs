//! The load driver: seeded returning chats against a fleet of real routers, with scenarios of
//! churn and what they cost. It drives processes; it simulates none.

pub mod driver;
pub mod measure;
pub mod report;
pub mod scenario;
pub mod workload;
