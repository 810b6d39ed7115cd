//! The operators' side of an instance: their HTTP interface (`api`), what they see of the fleet
//! (`status`), and where a chat would go (`explain`).

pub mod api;
pub mod explain;
pub mod status;
