//! Processing of a request: reading and admission (`entry`, `request`), the claim of its idempotency key (`claims`),
//! a slot at an engine (`engine_slot`, `permit_client`), the attempts and the response (`forward`, `replay`).

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
