//! What turns one version of the intent into a later one, and how that travels between instances.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{CallerLimits, Intent, Route, ServiceSpec, Team, route::RouteKey};
use crate::{
    configs::fleet::chunks::{decode, encode},
    names::ServiceName,
    utils::deflate,
};

/// Why a change cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum IntentChangeError {
    /// It does not decompress.
    #[error("the change cannot be unpacked: {0}; the intent is read from the store")]
    Packing(#[from] std::io::Error),
    /// It is from an instance whose messages differ.
    #[error("the change is not understood: {0}; the intent is read from the store")]
    Encoding(#[from] rmp_serde::decode::Error),
    /// It is of another version than the one in force.
    #[error(
        "the change is of version {from}, and {version} is in force; a whole intent is asked for"
    )]
    Base {
        /// Version that it changes.
        from: u64,
        /// Version in force.
        version: u64,
    },
}

/// What turns one version of the intent into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IntentChange {
    /// Version that is changed; 0 for a change that says everything.
    pub from: u64,
    /// Version that it becomes.
    pub to: u64,
    /// Routes that are new or changed.
    put: Vec<Route>,
    /// Routes that are gone.
    removed: Vec<RouteKey>,
    /// All services: they are few.
    services: IndexMap<ServiceName, ServiceSpec>,
    /// Limits on what callers send.
    limits: CallerLimits,
    /// Keys that are new or whose team has changed.
    keys_put: Vec<(String, Team)>,
    /// Keys that are gone.
    keys_removed: Vec<String>,
    /// Whether callers of routes that are not public need a key.
    needs_key: bool,
}

/// A change as it travels, encoded and compressed once and passed on as it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChange {
    /// Version that is changed; 0 for a change that says everything.
    pub from: u64,
    /// Version that it becomes.
    pub to: u64,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl IntentChange {
    /// Returns what turns `old` into `new`.
    pub fn between(old: &Intent, new: &Intent) -> IntentChange {
        let put = new.routes.iter().filter(|route| old.routes.get(&route.key()) != Some(route));
        let gone = |key: &RouteKey| new.routes.get(key).is_none();
        let removed = old.routes.iter().map(|route| route.key()).filter(gone);
        let (before, after) = (&old.teams, &new.teams);
        let keys_put = after.keys().filter(|(key, team)| before.holder(key) != Some(team));
        let keys_removed = before.keys().filter(|(key, _)| after.holder(key).is_none());
        IntentChange {
            from: old.version,
            to: new.version,
            put: put.map(|route| Route::clone(route)).collect(),
            removed: removed.collect(),
            services: new.services.clone(),
            limits: new.limits.clone(),
            keys_put: keys_put.map(|(key, team)| (key.clone(), team.clone())).collect(),
            keys_removed: keys_removed.map(|(key, _)| key.clone()).collect(),
            needs_key: after.needs_key(),
        }
    }

    /// Returns the change that says everything of `intent`.
    pub fn whole(intent: &Intent) -> IntentChange {
        IntentChange::between(&Intent::empty(), intent)
    }

    /// Returns what `old` becomes.
    ///
    /// # Errors
    ///
    /// The change is of another version than `old`.
    pub fn apply(self, old: &Intent) -> Result<Intent, IntentChangeError> {
        let empty = Intent::empty();
        let base = if self.from == 0 { &empty } else { old };
        if base.version != self.from {
            return Err(IntentChangeError::Base { from: self.from, version: old.version });
        }
        Ok(Intent {
            version: self.to,
            routes: base.routes.with_changes(self.put, &self.removed),
            services: self.services,
            limits: self.limits,
            teams: base.teams.with_changes(self.keys_put, &self.keys_removed, self.needs_key),
        })
    }
}

impl PackedChange {
    /// Packs a change.
    pub fn pack(change: &IntentChange) -> PackedChange {
        let bytes = deflate::pack(&encode(change));
        PackedChange { from: change.from, to: change.to, bytes }
    }

    /// Unpacks the change.
    ///
    /// # Errors
    ///
    /// The bytes are no change, or one of another version of the program.
    pub fn unpack(&self) -> Result<IntentChange, IntentChangeError> {
        Ok(decode(&deflate::unpack(&self.bytes)?)?)
    }

    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes, which no packed change has.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
