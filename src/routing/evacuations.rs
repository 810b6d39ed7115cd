//! Availability zones that operators empty, for maintenance or before they lose them: nothing new is sent to their
//! backend servers until they are taken back.
//!
//! The zones are read with the intent and handed from instance to instance like it, so that they cost no call of their
//! own; the version of the store at which they were read says which of two tellings is the newer one.

use std::time::Instant;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::{StoreVersion, store_version::SETTLING};
use crate::names::ZoneName;

/// The zones that were to be empty at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEvacuations {
    /// Version of the store at which they were read.
    pub as_of: StoreVersion,
    /// The zones.
    pub zones: IndexSet<ZoneName>,
}

/// That operators want a zone emptied, or take it back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is to be empty.
    pub is_wanted: bool,
}

/// What an instance knows of zones to be empty.
#[derive(Debug, Default)]
pub struct Evacuations {
    newest: ToldEvacuations,
    /// Zones of the store's era before, which operators may not have had time to write again.
    former: IndexSet<ZoneName>,
    former_until: Option<Instant>,
}

impl Evacuations {
    /// Takes what was read or told; returns whether it is newer than what is known.
    pub fn take(&mut self, now: Instant, told: ToldEvacuations) -> bool {
        if told.as_of <= self.newest.as_of {
            return false;
        }
        let knows_any = self.newest.as_of != StoreVersion::default();
        if knows_any && told.as_of.era > self.newest.as_of.era {
            self.former = self.in_force(now);
            self.former_until = Some(now + SETTLING);
        }
        self.newest = told;
        true
    }

    /// Takes the changes up to the version `as_of`; returns whether that is newer than what is known.
    pub fn follow(
        &mut self,
        now: Instant,
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        let mut zones = self.newest.zones.clone();
        for change in changes {
            if change.is_wanted {
                zones.insert(change.zone);
            } else {
                zones.swap_remove(&change.zone);
            }
        }
        self.take(now, ToldEvacuations { as_of, zones })
    }

    /// Returns the zones that get nothing new.
    pub fn in_force(&self, now: Instant) -> IndexSet<ZoneName> {
        let mut zones = self.newest.zones.clone();
        if self.former_until.is_some_and(|until| now < until) {
            zones.extend(self.former.iter().cloned());
        }
        zones.sort_unstable();
        zones
    }

    /// Returns what other instances are told.
    pub fn newest(&self) -> &ToldEvacuations {
        &self.newest
    }
}
