//! The permits in force at a home, and the entries that hold them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{contract::permit::PermitId, names::Tag};

/// Silence after which an entry counts as lost and its permits end.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(4);

/// The same once the entry's stream has ended; engines may still work on what it sent for a while.
pub const DISCONNECTED_ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// A permit in force.
#[derive(Debug, Clone)]
pub struct Permit {
    /// Engine it is for.
    pub engine: Tag,
    /// Team it is for.
    pub team: Tag,
    /// When it was granted.
    pub granted: Instant,
    /// When it ends if it is not given back.
    pub expires: Instant,
}

#[derive(Debug)]
struct Entry {
    heard: Instant,
    held: usize,
}

/// Permits by identity, and their entries.
#[derive(Debug, Default)]
pub struct PermitTable {
    permits: HashMap<PermitId, Permit>,
    entries: HashMap<Tag, Entry>,
}

impl PermitTable {
    /// Notes a sign of life of an entry.
    pub fn heard(&mut self, now: Instant, entry: Tag) {
        self.entries.entry(entry).or_insert(Entry { heard: now, held: 0 }).heard = now;
    }

    /// Notes that an entry's stream has ended. An entry that is alive opens its stream anew and is
    /// heard again before its permits end.
    pub fn note_disconnect(&mut self, now: Instant, entry: Tag) {
        if let Some(entry) = self.entries.get_mut(&entry) {
            let earlier = now.checked_sub(ENTRY_TIMEOUT - DISCONNECTED_ENTRY_TIMEOUT);
            entry.heard = earlier.map_or(entry.heard, |earlier| earlier.min(entry.heard));
        }
    }

    /// Returns a permit.
    pub fn get(&self, id: &PermitId) -> Option<&Permit> {
        self.permits.get(id)
    }

    /// Returns the number of permits.
    pub fn len(&self) -> usize {
        self.permits.len()
    }

    /// Returns whether there is no permit.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Returns the number of permits that an entry holds.
    pub fn held_by(&self, entry: Tag) -> usize {
        self.entries.get(&entry).map_or(0, |entry| entry.held)
    }

    /// Returns the permits that an entry holds.
    pub fn of_entry(&self, entry: Tag) -> impl Iterator<Item = PermitId> {
        self.permits.keys().filter(move |id| id.entry == entry).copied()
    }

    /// Returns the number of permits for an engine.
    pub fn on_engine(&self, engine: Tag) -> u32 {
        self.permits.values().filter(|permit| permit.engine == engine).count() as u32
    }

    /// Adds a permit of an entry that has been heard.
    pub fn insert(&mut self, id: PermitId, permit: Permit) {
        if self.permits.insert(id, permit).is_none()
            && let Some(entry) = self.entries.get_mut(&id.entry)
        {
            entry.held += 1;
        }
    }

    /// Takes a permit away.
    pub fn remove(&mut self, id: PermitId) -> Option<Permit> {
        let permit = self.permits.remove(&id)?;
        if let Some(entry) = self.entries.get_mut(&id.entry) {
            entry.held -= 1;
        }
        Some(permit)
    }

    /// Returns the permits that have expired or whose entry is silent.
    pub fn ended(&self, now: Instant) -> Vec<PermitId> {
        let silent = |id: &PermitId| self.entries.get(&id.entry).is_none_or(|e| is_silent(e, now));
        let ended = self.permits.iter().filter(|(id, permit)| permit.expires <= now || silent(id));
        ended.map(|(id, _)| *id).collect()
    }

    /// Forgets entries that are silent; their permits have been taken away.
    pub fn forget_silent(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.held > 0 || !is_silent(entry, now));
    }
}

fn is_silent(entry: &Entry, now: Instant) -> bool {
    now.saturating_duration_since(entry.heard) >= ENTRY_TIMEOUT
}
