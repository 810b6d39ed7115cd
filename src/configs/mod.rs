//! Settings of one instance and the operators' file of the fleet.

pub mod fleet;
pub mod reader;
pub mod settings;
