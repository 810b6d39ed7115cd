//! The operators' interface of an instance: HTTP handlers (`api`), the status of the fleet (`status`), and the
//! placement of a chat (`explain`).

pub mod api;
pub mod explain;
pub mod status;
