//! Which values are in use, or were until recently: streams that began under them may still be resumed.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::StreamRetention;

/// When a value was in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sighting {
    Listed,
    /// No longer in use since then.
    Until(Instant),
}

impl Sighting {
    fn is_in_sight(self, now: Instant, retention: Duration) -> bool {
        match self {
            Sighting::Listed => true,
            Sighting::Until(at) => now.saturating_duration_since(at) < retention,
        }
    }
}

/// The values of all keys.
#[derive(Debug)]
pub struct Sightings<K, V> {
    entries: IndexMap<K, IndexMap<V, Sighting>>,
    /// Keys with several values, so that a check of all keys is cheap.
    several: IndexSet<K>,
    retention: StreamRetention,
}

impl<K, V> Default for Sightings<K, V> {
    fn default() -> Sightings<K, V> {
        Sightings {
            entries: IndexMap::new(),
            several: IndexSet::new(),
            retention: StreamRetention::default(),
        }
    }
}

impl<K: Clone + Eq + Hash, V: Clone + Eq + Hash> Sightings<K, V> {
    /// Sets how long values are kept.
    pub fn set_retention(&mut self, retention: StreamRetention) {
        self.retention = retention;
    }

    /// Notes all values that are in use.
    pub fn note_listed(&mut self, now: Instant, listed: impl IntoIterator<Item = (K, V)>) {
        for sighting in self.entries.values_mut().flat_map(IndexMap::values_mut) {
            if *sighting == Sighting::Listed {
                *sighting = Sighting::Until(now);
            }
        }
        for (key, value) in listed {
            self.entries.entry(key).or_default().insert(value, Sighting::Listed);
        }
        self.update(now);
    }

    /// Adds values that may have been in use.
    pub fn note_earlier(&mut self, now: Instant, values: impl IntoIterator<Item = (K, V)>) {
        // An older sighting that is out of sight would otherwise stand in for the new one, and be dropped with it.
        self.update(now);
        for (key, value) in values {
            self.entries.entry(key).or_default().entry(value).or_insert(Sighting::Until(now));
        }
        self.update(now);
    }

    /// Adds a value that is in use elsewhere, and may not be here yet.
    pub fn note_elsewhere(&mut self, now: Instant, (key, value): (K, V)) {
        let sighting = self.entries.entry(key).or_default().entry(value);
        let sighting = sighting.or_insert(Sighting::Until(now));
        if *sighting != Sighting::Listed {
            *sighting = Sighting::Until(now);
        }
        self.update(now);
    }

    /// Returns whether a value has not been in use for as long as its streams may be resumed. It may have been while this
    /// instance did not follow what is in use, as it has without a gap only since `followed_since`.
    pub fn has_left(&self, now: Instant, followed_since: Instant, (key, value): &(K, V)) -> bool {
        let sighting = self.entries.get(key).and_then(|values| values.get(value));
        let retention = self.retention.registered(now);
        matches!(
            sighting,
            Some(Sighting::Until(at))
                if now.saturating_duration_since(followed_since.max(*at)) >= retention
        )
    }

    /// Returns all values with their keys.
    pub fn all(&self) -> impl Iterator<Item = (K, V)> {
        self.entries
            .iter()
            .flat_map(|(key, values)| values.keys().map(|value| (key.clone(), value.clone())))
    }

    /// Returns the values of a key.
    pub fn of<'s>(&'s self, key: &K) -> impl Iterator<Item = &'s V> + use<'s, K, V> {
        self.entries.get(key).into_iter().flat_map(IndexMap::keys)
    }

    /// Returns the values that are in use now.
    pub fn listed(&self) -> impl Iterator<Item = (K, V)> {
        self.entries.iter().flat_map(|(key, values)| {
            let listed = values.iter().filter(|(_, sighting)| **sighting == Sighting::Listed);
            listed.map(|(value, _)| (key.clone(), value.clone()))
        })
    }

    /// Returns whether several values of a key are or were in use.
    pub fn has_several(&self, now: Instant, key: &K) -> bool {
        self.several.contains(key)
            && self.entries.get(key).is_some_and(|values| {
                let retention = self.retention.in_sight(now);
                let in_sight = values.values().filter(|seen| seen.is_in_sight(now, retention));
                in_sight.count() > 1
            })
    }

    /// Returns the keys of which several values are or were in use.
    pub fn with_several(&self, now: Instant) -> impl Iterator<Item = &K> {
        self.several.iter().filter(move |key| self.has_several(now, key))
    }

    /// Drops what is out of sight.
    fn update(&mut self, now: Instant) {
        let retention = self.retention.in_sight(now);
        for values in self.entries.values_mut() {
            values.retain(|_, sighting| sighting.is_in_sight(now, retention));
        }
        self.entries.retain(|_, values| !values.is_empty());
        let several = self.entries.iter().filter(|(_, values)| values.len() > 1);
        self.several = several.map(|(key, _)| key.clone()).collect();
    }
}
