//! Changes from one version of the intent to a later one, and their encoding between instances.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{CallerLimits, Intent, Route, ServiceSpec, Team, route::RouteKey};
use crate::{
    configs::fleet::chunks::{decode, encode},
    names::ServiceName,
    utils::deflate,
};

/// Why a change cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum IntentChangeError {
    /// It cannot be decompressed.
    #[error("cannot decompress the intent change: {0}; reading the intent from the store")]
    Packing(#[from] std::io::Error),
    /// It comes from an instance of a build with another encoding.
    #[error("cannot decode the intent change: {0}; reading the intent from the store")]
    Encoding(#[from] rmp_serde::decode::Error),
    /// It is based on another version than the active one.
    #[error(
        "the change is based on version {from}, but {version} is active; requesting the whole intent"
    )]
    Base {
        /// Version on which it is based.
        from: u64,
        /// Active version.
        version: u64,
    },
}

/// The difference between one version of the intent and a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IntentChange {
    /// Version on which it is based; 0 for a change that contains the whole intent.
    pub from: u64,
    /// Resulting version.
    pub to: u64,
    /// Routes that are new or changed.
    put: Vec<Route>,
    /// Routes that are removed.
    removed: Vec<RouteKey>,
    /// All services, changed or not, since there are only a few.
    services: IndexMap<ServiceName, ServiceSpec>,
    /// Limits on what callers send.
    limits: CallerLimits,
    /// Keys that are new or whose team has changed.
    keys_put: Vec<(String, Team)>,
    /// Keys that are removed.
    keys_removed: Vec<String>,
    /// Whether callers of routes that are not public need a key.
    needs_key: bool,
}

/// A change as it is sent, encoded and compressed once and relayed unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChange {
    /// Version on which it is based; 0 for a change that contains the whole intent.
    pub from: u64,
    /// Resulting version.
    pub to: u64,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl IntentChange {
    /// Returns the change from `old` to `new`.
    pub fn between(old: &Intent, new: &Intent) -> IntentChange {
        let put = new.routes.iter().filter(|route| old.routes.get(&route.key()) != Some(route));
        let is_removed = |key: &RouteKey| new.routes.get(key).is_none();
        let removed = old.routes.iter().map(|route| route.key()).filter(is_removed);
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

    /// Returns the change that contains the whole of `intent`.
    pub fn whole(intent: &Intent) -> IntentChange {
        IntentChange::between(&Intent::empty(), intent)
    }

    /// Returns the intent that results from applying the change to `old`.
    ///
    /// # Errors
    ///
    /// The change is based on another version than that of `old`.
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
    /// Encodes and compresses a change.
    pub fn pack(change: &IntentChange) -> PackedChange {
        let bytes = deflate::compress(&encode(change));
        PackedChange { from: change.from, to: change.to, bytes }
    }

    /// Decompresses and decodes the change.
    ///
    /// # Errors
    ///
    /// The bytes are no change, or one of a build with another encoding.
    pub fn unpack(&self) -> Result<IntentChange, IntentChangeError> {
        Ok(decode(&deflate::decompress(&self.bytes)?)?)
    }

    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes, which is never the case for a packed change.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
