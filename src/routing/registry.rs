//! What may have decided where streams began that callers still resume, as the store records it.
//!
//! A value is registered before it is used, and stays registered for a while after it was last in use. A registry that is
//! read after a caller has resumed its stream therefore has the value under which the stream began, whatever the instance
//! that reads it knows.

use std::{hash::Hash, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// A registered value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Registered<V> {
    value: V,
    /// Since when it is not in use, in milliseconds on the store's clock; `None` while it is.
    unlisted_since_ms: Option<u64>,
}

/// The registered values of all keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash, V: Deserialize<'de>"))]
pub struct Registry<K: Eq + Hash, V> {
    entries: IndexMap<K, Vec<Registered<V>>>,
}

impl<K: Eq + Hash, V> Default for Registry<K, V> {
    fn default() -> Registry<K, V> {
        Registry { entries: IndexMap::new() }
    }
}

impl<V> Registered<V> {
    /// Returns whether it has not been in use for `retention` at `now_ms` on the store's clock.
    fn has_expired(&self, now_ms: u64, retention: Duration) -> bool {
        let retention_ms = duration_ms(retention);
        self.unlisted_since_ms.is_some_and(|since| now_ms.saturating_sub(since) >= retention_ms)
    }
}

impl<K: Clone + Eq + Hash, V: Clone + Eq + Hash> Registry<K, V> {
    /// Returns the registered values of a key.
    pub fn of(&self, key: &K) -> impl ExactSizeIterator<Item = &V> {
        let values = self.entries.get(key).map(Vec::as_slice).unwrap_or_default();
        values.iter().map(|known| &known.value)
    }

    /// Returns all registered values with their keys.
    pub fn all(&self) -> impl Iterator<Item = (K, V)> {
        self.entries
            .iter()
            .flat_map(|(key, values)| values.iter().map(|known| (key.clone(), known.value.clone())))
    }

    /// Returns whether a value is registered that is not in use.
    pub fn has_unlisted(&self) -> bool {
        self.entries.values().flatten().any(|known| known.unlisted_since_ms.is_some())
    }

    /// Returns whether a value is registered that has not been in use for `retention` at `now_ms` on the store's clock.
    pub fn has_expired(&self, now_ms: u64, retention: Duration) -> bool {
        self.entries.values().flatten().any(|known| known.has_expired(now_ms, retention))
    }

    /// Returns the registry with `listed` registered as in use; `None` if they are already.
    pub fn with_listed(&self, listed: &IndexSet<(K, V)>) -> Option<Registry<K, V>> {
        let mut registry = self.clone();
        listed.iter().for_each(|listed| registry.set_listed(listed));
        (registry != *self).then_some(registry)
    }

    /// Returns the registry as it has to be at `now_ms` on the store's clock if exactly `listed` are in use; `None` if it
    /// is so already. Other values are dropped after `retention`, of those only the ones for which `has_left` holds:
    /// the mark in the registry may be of an earlier absence.
    pub fn maintained(
        &self,
        now_ms: u64,
        listed: &IndexSet<(K, V)>,
        retention: Duration,
        has_left: impl Fn(&(K, V)) -> bool,
    ) -> Option<Registry<K, V>> {
        let mut registry = self.clone();
        for (key, values) in &mut registry.entries {
            let with_key = |known: &Registered<V>| (key.clone(), known.value.clone());
            for known in values.iter_mut() {
                let is_listed = listed.contains(&with_key(known));
                known.unlisted_since_ms = match known.unlisted_since_ms {
                    _ if is_listed => None,
                    // A mark of a later time would never expire.
                    Some(since) if since <= now_ms => Some(since),
                    _ => Some(now_ms),
                };
            }
            values.retain(|known| {
                !(known.has_expired(now_ms, retention) && has_left(&with_key(known)))
            });
        }
        registry.entries.retain(|_, values| !values.is_empty());
        listed.iter().for_each(|listed| registry.set_listed(listed));
        (registry != *self).then_some(registry)
    }

    fn set_listed(&mut self, (key, value): &(K, V)) {
        let values = self.entries.entry(key.clone()).or_default();
        match values.iter_mut().find(|known| known.value == *value) {
            Some(known) => known.unlisted_since_ms = None,
            None => values.push(Registered { value: value.clone(), unlisted_since_ms: None }),
        }
    }
}

pub(super) fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
