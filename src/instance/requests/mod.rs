//! The way of a request: read and admitted (`entry`, `request`), claimed by its key (`claims`), given a
//! place at an engine (`engine_slot`, `permit_client`), sent and answered (`forward`, `replay`).

pub mod caller_watch;
pub mod claims;
pub mod engine_report;
pub mod engine_slot;
pub mod engine_streams;
pub mod entry;
pub mod forward;
pub mod permit_client;
pub mod placement_hint;
pub mod replay;
pub mod request;
pub mod response_parts;
