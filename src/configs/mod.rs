//! The settings of an instance and the operators' file, which configures the whole fleet.

pub mod fleet;
pub mod reader;
pub mod settings;
