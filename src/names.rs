//! Newtypes for the names of instances, zones, teams, services, backend servers and models.
//!
//! An id is a short text that is validated when it is parsed and is cheap to clone. Its 32-bit [`Tag`] represents it in
//! messages between instances. A label is a name that a platform gives; only its length is limited.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of an id, in bytes.
pub const ID_MAX: usize = 64;

/// Why a text is no valid id or label.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an id is empty; give it 1 to {ID_MAX} characters")]
    Empty,
    /// The text is longer than [`ID_MAX`], or than [`LABEL_MAX`] if it is a label.
    #[error("an id has {0} characters; shorten it to {ID_MAX}")]
    TooLong(usize),
    /// The text has a character outside the allowed set.
    #[error("an id holds {0:?}; use a-z, 0-9, '-', '_' and '.' only")]
    InvalidCharacter(char),
}

/// A 32-bit hash of an id, used in messages between instances in place of the id.
///
/// A configuration file in which two ids of one kind have the same tag is rejected, so a tag identifies the id within
/// one revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tag(pub u32);

impl Tag {
    /// Returns the tag of `text`.
    pub fn of(text: &str) -> Tag {
        Tag(xxh3_64(text.as_bytes()) as u32)
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > ID_MAX {
        return Err(IdError::TooLong(text.len()));
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(IdError::InvalidCharacter(c)),
        None => Ok(()),
    }
}

/// Defines a newtype of a text that `$check` accepts.
macro_rules! text_newtype {
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                $check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

/// Defines an id: a short text of a restricted character set, with a tag.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        text_newtype!($(#[$doc])* $name, check_id);

        impl $name {
            /// Returns the tag that represents the id in messages.
            pub fn tag(&self) -> Tag {
                Tag::of(&self.0)
            }
        }
    };
}

/// Defines a label: any text of bounded length, as a platform gives it.
macro_rules! label {
    ($(#[$doc:meta])* $name:ident) => {
        text_newtype!($(#[$doc])* $name, check_label);
    };
}

fn check_label(text: &str) -> Result<(), IdError> {
    match text.len() {
        0 => Err(IdError::Empty),
        1..=LABEL_MAX => Ok(()),
        len => Err(IdError::TooLong(len)),
    }
}

id!(
    /// A router instance, as its settings name it.
    InstanceId
);
id!(
    /// An availability zone.
    ZoneId
);
id!(
    /// A region: a group of availability zones.
    RegionId
);
id!(
    /// A team: the callers that share one weight and one set of limits.
    TeamId
);
id!(
    /// A service: a group of backend servers that handle the same requests.
    ServiceId
);
id!(
    /// A backend server: a model engine, or a server of a plain service.
    BackendId
);
id!(
    /// A model that engines load.
    ModelId
);

/// Maximum length of a label, in bytes: the length to which the platform's store limits its keys.
pub const LABEL_MAX: usize = 200;

label!(
    /// A service, as a platform names it.
    ServiceName
);
label!(
    /// A backend server, as a platform names it; the id may stay the same over a restart.
    ServerId
);
label!(
    /// A team, as a platform names it.
    TeamName
);
label!(
    /// An availability zone, as a platform names it.
    ZoneName
);
label!(
    /// A region, as a platform names it: a group of availability zones.
    RegionName
);
label!(
    /// A version of the software of backend servers, as they name it.
    SoftwareVersion
);
label!(
    /// A router instance, as a platform names it.
    NodeName
);
