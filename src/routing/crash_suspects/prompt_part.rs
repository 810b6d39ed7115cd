//! Id of a part of a prompt that several requests share.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Id of a part of a prompt. Equal texts have equal ids, whichever request they are in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPartId(pub u64);

/// Error for a text that is not the id of a part.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not the id of a prompt part: expected up to 16 hexadecimal digits")]
pub struct PromptPartError(String);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = PromptPartError;

    fn from_str(text: &str) -> Result<PromptPartId, PromptPartError> {
        let value = u64::from_str_radix(text, 16).ok();
        value.map(PromptPartId).ok_or_else(|| PromptPartError(text.to_owned()))
    }
}
