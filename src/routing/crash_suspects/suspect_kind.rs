//! What kind of thing a suspect is.

use serde::{Deserialize, Serialize};

/// What may crash the servers that run it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum SuspectKind {
    /// One request, which its caller retries.
    #[default]
    #[serde(rename = "r")]
    Request,
    /// A part of prompts, whatever else the requests have that contain it.
    #[serde(rename = "p")]
    Part,
}
