//! Summary of the log lines of any number of instances: requests by route and result and by team, failed attempts, and
//! changes of state over time.

pub mod chart;
pub mod durations;
pub mod line;
pub mod request_trace;
pub mod summary;
pub mod teams;

pub use line::LogLine;
pub use request_trace::RequestTrace;
pub use summary::Summary;
