//! What the log lines of any number of instances say together: requests by route and result, attempts that
//! failed, and what changed in belief, on one time line.

pub mod chart;
pub mod durations;
pub mod line;
pub mod request_trace;
pub mod summary;

pub use line::LogLine;
pub use request_trace::RequestTrace;
pub use summary::Summary;
