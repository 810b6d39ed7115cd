//! The shards whose home this instance is: permits for the entries (`shards`, `permit_streams`, `streams`), the
//! mapping of shards to home instances (`table`), and the calls of a home to its engines (`engines`, `probes`,
//! `contexts`, `orders`, `order_state`).

pub mod contexts;
pub mod engines;
pub mod order_state;
pub mod orders;
pub mod permit_streams;
pub mod probes;
pub mod shards;
pub mod streams;
pub mod table;
