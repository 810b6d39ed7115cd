//! The permits that a home has granted, and the entries that hold them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{contract::permit::PermitId, names::Tag};

/// Time without contact after which an entry counts as lost and its permits expire.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(4);

/// The same time if the entry's stream has ended. It is not zero because engines may still run the entry's requests.
pub const DISCONNECTED_ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// A permit that has been granted and not released.
#[derive(Debug, Clone)]
pub struct Permit {
    /// Engine that it names.
    pub engine: Tag,
    /// Team that it was granted to.
    pub team: Tag,
    /// When it was granted.
    pub granted: Instant,
    /// When it expires if it is not released.
    pub expires: Instant,
}

#[derive(Debug)]
struct Entry {
    last_contact: Instant,
    held: usize,
}

/// Permits by identity, and the entries that hold them.
#[derive(Debug, Default)]
pub struct PermitTable {
    permits: IndexMap<PermitId, Permit>,
    entries: IndexMap<Tag, Entry>,
}

impl PermitTable {
    /// Notes contact with an entry.
    pub fn note_contact(&mut self, now: Instant, entry: Tag) {
        self.entries.entry(entry).or_insert(Entry { last_contact: now, held: 0 }).last_contact =
            now;
    }

    /// Notes that an entry's stream has ended. An entry that is live opens its stream again and so makes contact before
    /// its permits expire.
    pub fn note_disconnect(&mut self, now: Instant, entry: Tag) {
        if let Some(entry) = self.entries.get_mut(&entry) {
            let earlier = now.checked_sub(ENTRY_TIMEOUT - DISCONNECTED_ENTRY_TIMEOUT);
            entry.last_contact =
                earlier.map_or(entry.last_contact, |earlier| earlier.min(entry.last_contact));
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

    /// Returns whether there are no permits.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Returns the number of permits that an entry holds.
    pub fn held_by(&self, entry: Tag) -> usize {
        self.entries.get(&entry).map_or(0, |entry| entry.held)
    }

    /// Returns the ids of the permits that an entry holds.
    pub fn of_entry(&self, entry: Tag) -> impl Iterator<Item = PermitId> {
        self.permits.keys().filter(move |id| id.entry == entry).copied()
    }

    /// Returns the number of permits for an engine.
    pub fn on_engine(&self, engine: Tag) -> u32 {
        self.permits.values().filter(|permit| permit.engine == engine).count() as u32
    }

    /// Adds a permit; there has been contact with its entry.
    pub fn insert(&mut self, id: PermitId, permit: Permit) {
        // An entry whose request waited may have been dropped meanwhile.
        let entry = Entry { last_contact: permit.granted, held: 0 };
        let entry = self.entries.entry(id.entry).or_insert(entry);
        if self.permits.insert(id, permit).is_none() {
            entry.held += 1;
        }
    }

    /// Removes a permit.
    pub fn remove(&mut self, id: PermitId) -> Option<Permit> {
        let permit = self.permits.swap_remove(&id)?;
        if let Some(entry) = self.entries.get_mut(&id.entry) {
            entry.held -= 1;
        }
        Some(permit)
    }

    /// Returns the permits that have expired or whose entry is unresponsive.
    pub fn expired(&self, now: Instant) -> Vec<PermitId> {
        let unresponsive =
            |id: &PermitId| self.entries.get(&id.entry).is_none_or(|e| is_unresponsive(e, now));
        let expired =
            self.permits.iter().filter(|(id, permit)| permit.expires <= now || unresponsive(id));
        expired.map(|(id, _)| *id).collect()
    }

    /// Removes entries that are unresponsive and hold no permits.
    pub fn prune_entries(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.held > 0 || !is_unresponsive(entry, now));
    }
}

fn is_unresponsive(entry: &Entry, now: Instant) -> bool {
    now.saturating_duration_since(entry.last_contact) >= ENTRY_TIMEOUT
}
