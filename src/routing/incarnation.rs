//! One run of a backend server, from its start to its end.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::names::{IdError, ServerId, Tag};

/// When a backend server started, in Unix milliseconds of its own clock. It only distinguishes one start from another,
/// since that clock may differ from this instance's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// One run of a backend server. Nothing known about one incarnation applies to the next one with the same id, which
/// has none of the requests in flight and none of the cached prompts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the server.
    pub server: ServerId,
    /// When it started, if its entry says so.
    pub started_at: Option<StartTime>,
}

impl Incarnation {
    /// Returns the tag of the server in rendezvous hashing. A restart does not change it: the same prompts are routed
    /// to the server again, and those of other servers do not move.
    pub fn stable_tag(&self) -> Tag {
        Tag::of(self.server.as_str())
    }

    /// Returns the tag of the incarnation in messages between instances.
    pub fn tag(&self) -> Tag {
        match self.started_at {
            None => self.stable_tag(),
            Some(_) => Tag::of(&self.to_string()),
        }
    }

    /// Returns whether `other` is a later incarnation of the same server by the clock of the server's machine. That clock
    /// may be set back between two starts, so this decides only where the order of the store's rows says nothing.
    pub fn is_before(&self, other: &Incarnation) -> bool {
        self.server == other.server
            && self.started_at.is_some()
            && self.started_at < other.started_at
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            None => self.server.fmt(f),
            Some(StartTime(at)) => write!(f, "{}@{at}", self.server),
        }
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    /// Parses an id, or an id followed by `@` and the start time.
    fn from_str(text: &str) -> Result<Incarnation, IdError> {
        let started_at = |at: &str| at.parse().ok().map(StartTime);
        let parts = text.rsplit_once('@').and_then(|(id, at)| Some((id, started_at(at)?)));
        let (id, started_at) =
            parts.map_or((text, None), |(id, started_at)| (id, Some(started_at)));
        Ok(Incarnation { server: id.parse()?, started_at })
    }
}
