//! The list of backend servers, as the platform publishes it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{DecidedGap, Incarnation, ListReads, ReadSpan, StoreEra, store_version::SETTLING_TIME};
use crate::{
    names::{ServerId, ServiceName, SoftwareVersion, Tag, ZoneName},
    units::{SlotCount, bounded_time},
};

/// Longest time for which an entry makes its server cold. Anybody may write an entry, with any number in it.
const COLD_TIME_MAX: Duration = Duration::from_secs(24 * 3600);

/// Age up to which a list shows what was in use before a restore of the store: instances use a list for that long.
const FOLLOWED_AGE_MAX: Duration = Duration::from_secs(10);

/// How long a removed server is remembered: the store may be restored from a copy some seconds old that still lists
/// it.
const REMOVED_TTL: Duration = Duration::from_secs(30);

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The server, and which of its runs.
    pub id: Incarnation,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Number of requests that it runs at once, if its entry states it.
    pub slots: Option<SlotCount>,
    /// Version of its software, if its entry states it.
    pub version: Option<SoftwareVersion>,
    /// How long it was still going to be cold when its entry was first read.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub cold_for: Duration,
}

impl BackendServer {
    /// Returns whether `other` has the same fields except `cold_for`.
    fn differs_by_cold_only(&self, other: &BackendServer) -> bool {
        let BackendServer { id, service, address, zone, leaving, slots, version, cold_for: _ } =
            self;
        let same_place = *address == other.address && *zone == other.zone;
        let same_work = *service == other.service && *slots == other.slots;
        let same_work = same_work && *version == other.version;
        *id == other.id && same_place && same_work && *leaving == other.leaving
    }

    /// Returns its software version, for logs.
    pub fn version_text(&self) -> &str {
        self.version.as_ref().map_or("none", SoftwareVersion::as_str)
    }

    /// Returns the tag of the incarnation in messages between instances.
    pub fn tag(&self) -> Tag {
        self.id.tag()
    }

    /// Returns the tag of the server in rendezvous hashing, which a restart does not change.
    pub fn stable_tag(&self) -> Tag {
        self.id.stable_tag()
    }
}

/// The current list, and when it was last known to be current.
#[derive(Debug, Default)]
pub struct Roster {
    servers: IndexMap<Incarnation, Arc<BackendServer>>,
    /// When lists were current in the store.
    reads: ListReads,
    /// Era of the store from which the list comes.
    era: StoreEra,
    /// When the current era was first seen, unless it is the first one known.
    restored_at: Option<Instant>,
    /// When an era was first seen of which this instance did not see the beginning.
    missed_restore_at: Option<Instant>,
    /// Removed servers, and when their removal was noticed.
    removed: IndexMap<Incarnation, Instant>,
    /// When servers stop being cold.
    cold: IndexMap<Incarnation, Instant>,
    /// Whether servers were removed, or marked as leaving, against what the list contains.
    differs: bool,
    /// Servers that are in use although the list is missing them.
    kept: IndexSet<Incarnation>,
}

/// What an instance knows of the store from the lists that it has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWitness {
    /// When it has received lists.
    pub span: ReadSpan,
    /// Era of the last one.
    pub era: StoreEra,
    /// When it first saw that era, unless it is the first one that it knows.
    pub restored_at: Option<Instant>,
}

/// What a new list changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    /// New servers.
    pub added: Vec<Incarnation>,
    /// Servers that started to leave.
    pub leaving: Vec<Incarnation>,
    /// Servers whose entry changed otherwise: another address, or no longer leaving.
    pub changed: Vec<Incarnation>,
    /// Servers that are no longer listed.
    pub removed: Vec<Incarnation>,
    /// Servers with a new time until which they are cold.
    pub cold: Vec<Incarnation>,
    /// Servers that are no longer listed, and are kept for a while.
    pub kept: Vec<Incarnation>,
    /// A gap between lists whose cause has become known.
    pub gap: Option<DecidedGap>,
}

impl Roster {
    /// Notes that the next list is of `era`; returns whether it can be used, which a list of an earlier era cannot.
    ///
    /// After a restore of the store, a server known as leaving or removed stays so, and a server that the list is
    /// missing stays in use, until all writers have had time to write again what was lost.
    pub fn note_era(&mut self, now: Instant, era: StoreEra) -> bool {
        if era > self.era {
            if self.as_of().is_some() {
                self.restored_at = Some(now);
            }
            if !self.is_followed(now) {
                self.missed_restore_at = Some(now);
            }
        }
        self.era = self.era.max(era);
        era == self.era
    }

    /// Returns whether writers may not have had time yet to write again what a restore of the store lost.
    fn is_unsettled(&self, now: Instant) -> bool {
        self.restored_at.is_some_and(|at| now < at + SETTLING_TIME)
    }

    /// Returns whether the list is recent, so that it has the versions that were in use until now.
    pub fn is_followed(&self, now: Instant) -> bool {
        self.as_of().is_some_and(|at| now.saturating_duration_since(at) <= FOLLOWED_AGE_MAX)
    }

    /// Returns since when this instance has itself received lists without a gap.
    pub fn followed_since(&self) -> Option<Instant> {
        self.reads.followed_since()
    }

    /// Returns when this instance last learned of a restore of the store without a recent list from before.
    pub fn missed_restore_at(&self) -> Option<Instant> {
        self.missed_restore_at
    }

    /// Returns the era of the current list.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Applies a whole list that was current at `as_of`; a list older than the current one is ignored.
    pub fn apply_list(
        &mut self,
        now: Instant,
        as_of: Instant,
        list: impl IntoIterator<Item = BackendServer>,
    ) -> RosterChange {
        if !self.reads.note_list(as_of) {
            return RosterChange::default();
        }
        self.differs = false;
        let unsettled = self.is_unsettled(now);
        let keeps_missing = unsettled || self.reads.may_be_missing(as_of);
        self.removed.retain(|_, at| now.saturating_duration_since(*at) < REMOVED_TTL);
        let mut change = RosterChange::default();
        let kept_before = std::mem::take(&mut self.kept);
        let mut servers: IndexMap<Incarnation, Arc<BackendServer>> = IndexMap::new();
        let by_server: HashMap<&ServerId, &Arc<BackendServer>> =
            self.servers.values().map(|known| (&known.id.server, known)).collect();
        for server in list {
            let current = by_server.get(&server.id.server).copied();
            let known = self.servers.get(&server.id);
            if known.is_none() && self.was_removed_after(&server.id, as_of) {
                self.differs = true;
                servers.extend(current.map(|current| (current.id.clone(), Arc::clone(current))));
                continue;
            }
            let was_removed = self.removed.contains_key(&server.id);
            let later = current.filter(|known| server.id.is_before(&known.id));
            if let Some(later) = later.filter(|_| was_removed || unsettled) {
                // A late write of a run that another one has replaced, or an entry that a restore has brought back.
                servers.insert(later.id.clone(), Arc::clone(later));
                continue;
            }
            if unsettled {
                if let Some(leaving) = known.filter(|known| known.leaving) {
                    servers.insert(leaving.id.clone(), Arc::clone(leaving));
                    continue;
                }
                if was_removed {
                    continue;
                }
            }
            match known {
                None => change.added.push(server.id.clone()),
                Some(known) if !known.leaving && server.leaving => {
                    change.leaving.push(server.id.clone());
                }
                Some(known) if !known.differs_by_cold_only(&server) => {
                    change.changed.push(server.id.clone());
                }
                Some(_) => {}
            }
            let previous_cold_for = known.map_or(Duration::ZERO, |known| known.cold_for);
            if previous_cold_for != server.cold_for {
                change.cold.push(server.id.clone());
                self.cold.insert(server.id.clone(), as_of + server.cold_for.min(COLD_TIME_MAX));
            }
            let shared = match known {
                Some(known) if **known == server => Arc::clone(known),
                _ => Arc::new(server),
            };
            servers.insert(shared.id.clone(), shared);
        }
        for (id, server) in &self.servers {
            if servers.contains_key(id) {
                continue;
            }
            // A restarted server replaces its earlier incarnation, and the address of a listed server cannot still
            // belong to the missing one.
            let replaced = servers.values().any(|listed| {
                listed.address == server.address || listed.id.server == server.id.server
            });
            if keeps_missing && !server.leaving && !replaced {
                servers.insert(id.clone(), Arc::clone(server));
                self.kept.insert(id.clone());
            } else {
                change.removed.push(id.clone());
                self.removed.insert(id.clone(), now);
            }
        }
        change.kept = self.kept.difference(&kept_before).cloned().collect();
        self.cold.retain(|id, until| servers.contains_key(id) && now < *until);
        self.servers = servers;
        change
    }

    /// Returns whether a server was removed after `as_of`: a list from before that cannot restore it.
    fn was_removed_after(&self, id: &Incarnation, as_of: Instant) -> bool {
        self.removed.get(id).is_some_and(|removed_at| as_of < *removed_at)
    }

    /// Notes that the list was still current at `as_of`, in an era of the store, without a scan of its servers:
    /// nearly all updates from other instances, several a second, are that nothing has changed. Returns `false` if
    /// the list must be applied instead.
    pub fn confirm(&mut self, now: Instant, as_of: Instant, era: StoreEra) -> bool {
        let unsettled = self.is_unsettled(now);
        if era != self.era || unsettled || self.differs {
            return false;
        }
        if !self.kept.is_empty() && !self.reads.may_be_missing(as_of) {
            return false;
        }
        self.reads.note_list(as_of);
        true
    }

    /// Returns whether it is not known yet if servers that the list is missing may be alive.
    pub fn is_undecided(&self) -> bool {
        self.reads.is_undecided()
    }

    /// Notes that a read of the store that began at `began` has failed.
    pub fn note_failed_read(&mut self, began: Instant, now: Instant) {
        self.reads.note_failure(began, now);
    }

    /// Returns what this instance knows of the store, to tell other instances.
    pub fn witness(&self) -> Option<StoreWitness> {
        let span = self.reads.span()?;
        Some(StoreWitness { span, era: self.era, restored_at: self.restored_at })
    }

    /// Notes what another instance knows of the store; returns the kept servers that are removed because of it.
    pub fn note_witness(&mut self, now: Instant, witness: &StoreWitness) -> RosterChange {
        let gap = self.reads.note_other(witness.span);
        if witness.era == self.era
            && let (Some(own), Some(other)) = (self.restored_at, witness.restored_at)
        {
            self.restored_at = Some(own.min(other));
        }
        RosterChange { gap, ..self.remove_kept(now) }
    }

    /// Decides whether servers that the list is missing may be alive, after `asked` other instances were asked; returns
    /// the kept servers that are removed.
    pub fn decide_missing(&mut self, now: Instant, asked: usize) -> RosterChange {
        let gap = self.reads.decide(asked);
        RosterChange { gap, ..self.remove_kept(now) }
    }

    /// Removes the kept servers, unless they may still be alive.
    fn remove_kept(&mut self, now: Instant) -> RosterChange {
        let unsettled = self.is_unsettled(now);
        let may_be_alive = self.as_of().is_some_and(|as_of| self.reads.may_be_missing(as_of));
        let mut change = RosterChange::default();
        if unsettled || may_be_alive {
            return change;
        }
        for id in std::mem::take(&mut self.kept) {
            self.servers.shift_remove(&id);
            self.cold.shift_remove(&id);
            self.removed.insert(id.clone(), now);
            change.removed.push(id);
        }
        change
    }

    /// Notes that the entry of a server was overwritten by a value that cannot be parsed: the server is missing from
    /// the next list and must not be kept.
    pub fn mark_overwritten(&mut self, key: &str) {
        let known = self.servers.values_mut().find(|known| known.id.server.as_str() == key);
        if let Some(server) = known {
            Arc::make_mut(server).leaving = true;
            self.differs = true;
        }
    }

    /// Removes a server until a list that contains it is applied.
    pub fn remove(&mut self, id: &Incarnation) {
        self.servers.shift_remove(id);
        self.kept.shift_remove(id);
        self.differs = true;
    }

    /// Returns whether `list` has a server of a version that no current server of its service has.
    pub fn is_missing_version_of(&self, list: &[BackendServer]) -> bool {
        let known: HashSet<_> = self.servers().map(|s| (&s.service, &s.version)).collect();
        list.iter().any(|server| !known.contains(&(&server.service, &server.version)))
    }

    /// Returns the current servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.servers.values()
    }

    /// Treats the servers of a zone as cold: they may be when the zone comes back, and their entries do not state it
    /// yet.
    pub fn assume_cold(
        &mut self,
        now: Instant,
        zone: &ZoneName,
        lasts: impl Fn(&ServiceName) -> Option<Duration>,
    ) {
        for server in self.servers.values().filter(|server| server.zone == *zone) {
            if let Some(lasts) = lasts(&server.service) {
                let until = self.cold.entry(server.id.clone()).or_insert(now);
                *until = (*until).max(now + lasts);
            }
        }
    }

    /// Returns the servers that are or were cold, with the time at which that ends.
    pub fn cold(&self) -> impl Iterator<Item = (&Incarnation, Instant)> {
        self.cold.iter().map(|(id, until)| (id, *until))
    }

    /// Returns the servers that are in use although the list is missing them.
    pub fn kept(&self) -> impl Iterator<Item = &Incarnation> {
        self.kept.iter()
    }

    /// Returns the servers that were listed, without those that are only kept.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.servers.iter().filter(|(id, _)| !self.kept.contains(*id)).map(|(_, server)| server)
    }

    /// Returns when the list was last current.
    pub fn as_of(&self) -> Option<Instant> {
        self.reads.as_of()
    }
}
