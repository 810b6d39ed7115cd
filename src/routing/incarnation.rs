//! One start of a backend server.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::names::{IdError, ServerId, Tag};

/// When a backend server started, in Unix milliseconds of its own clock. It only tells one start from another:
/// the clock may be ahead of this instance's or behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// A backend server from one start to its end. What is known of one incarnation says nothing of the next, which
/// may have the same id: it has none of the requests, and keeps none of the prompts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the server.
    pub server: ServerId,
    /// When it started, if it says so.
    #[serde(rename = "born")]
    pub started_at: Option<StartTime>,
}

impl Incarnation {
    /// Returns the tag that stands for the server in rendezvous hashing. A server that starts again has its former
    /// place: its prompts come back to it, and those of the others stay where they are.
    pub fn stable_tag(&self) -> Tag {
        Tag::of(self.server.as_str())
    }

    /// Returns the tag that stands for the incarnation in messages between instances.
    pub fn tag(&self) -> Tag {
        match self.started_at {
            None => self.stable_tag(),
            Some(_) => Tag::of(&self.to_string()),
        }
    }

    /// Returns whether `other` is of the same server and certainly started later.
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

    /// Understands an id, or an id with `@` and the time of its start behind it.
    fn from_str(text: &str) -> Result<Incarnation, IdError> {
        let started_at = |at: &str| at.parse().ok().map(StartTime);
        let parts = text.rsplit_once('@').and_then(|(id, at)| Some((id, started_at(at)?)));
        let (id, started_at) =
            parts.map_or((text, None), |(id, started_at)| (id, Some(started_at)));
        Ok(Incarnation { server: id.parse()?, started_at })
    }
}
