//! Backend servers as the platform lists them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Incarnation, StoreEra, store_version::SETTLING};
use crate::names::{ServerId, ServiceName, SoftwareVersion, Tag, ZoneName};

/// How long entries missing from the first lists after an outage are still believed: entries that
/// lapsed meanwhile are back within two seconds (users' letter), and a list is read about once a
/// second.
const RETURN_GRACE: Duration = Duration::from_millis(2500);

/// Age of the list in force from which its source counts as having been away from everybody. An
/// instance that alone is turned away learns the list from others about once a second, and entries
/// do not lapse while any instance can read them.
const OUTAGE_AGE: Duration = Duration::from_millis(2500);

/// How long a server that is gone is remembered: the store may come back from a copy some seconds old, which lists it.
const GONE_KEPT: Duration = Duration::from_secs(30);

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Which server, and which start of it.
    pub id: Incarnation,
    /// Service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Requests that it runs at once, if it says so.
    pub slots: Option<u32>,
    /// Version of its software, if it says so.
    pub version: Option<SoftwareVersion>,
    /// How long it still stayed cold when its entry was read first.
    pub cold_for: Duration,
}

impl BackendServer {
    /// Returns whether `other` says the same, but for how long it is cold.
    fn differs_by_cold_only(&self, other: &BackendServer) -> bool {
        let BackendServer { id, service, address, zone, leaving, slots, version, cold_for: _ } =
            self;
        let same_place = *address == other.address && *zone == other.zone;
        let same_work = *service == other.service && *slots == other.slots;
        let same_work = same_work && *version == other.version;
        *id == other.id && same_place && same_work && *leaving == other.leaving
    }

    /// Returns the tag that stands for the incarnation in messages between instances.
    pub fn tag(&self) -> Tag {
        self.id.tag()
    }

    /// Returns the tag that stands for the server in rendezvous hashing, whenever it started.
    pub fn stable_tag(&self) -> Tag {
        self.id.stable_tag()
    }
}

/// The list in force, with how sure it is.
#[derive(Debug, Default)]
pub struct Roster {
    servers: IndexMap<Incarnation, Arc<BackendServer>>,
    /// When the list in force was current at its source.
    as_of: Option<Instant>,
    /// Until when missing entries are kept.
    keep_missing_until: Option<Instant>,
    /// Era of the store that the list is from.
    era: StoreEra,
    /// Until when the store may not know what was known before it came back from a copy.
    settled_at: Option<Instant>,
    /// Servers that are gone, and when that became known.
    removed: IndexMap<Incarnation, Instant>,
    /// Until when servers are cold.
    cold: IndexMap<Incarnation, Instant>,
    /// Whether a server of the list in force has been forgotten, or counts as leaving, against what the list says.
    differs: bool,
}

/// What a new list changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    /// Servers that came.
    pub added: Vec<Incarnation>,
    /// Servers that began to leave.
    pub leaving: Vec<Incarnation>,
    /// Servers that say something else of themselves: another address, that they no longer leave.
    pub changed: Vec<Incarnation>,
    /// Servers that are gone.
    pub removed: Vec<Incarnation>,
    /// Servers that say something new of how long they are cold.
    pub cold: Vec<Incarnation>,
}

impl Roster {
    /// Notes that the next list is of `era`; returns whether it is of use, which one of an earlier era is not.
    ///
    /// After a return of the store from a copy, a server that is known to leave or to be gone stays so, and one that the
    /// list lacks stays in use, until all have had time to write again what was lost.
    pub fn note_era(&mut self, now: Instant, era: StoreEra) -> bool {
        if era > self.era && self.as_of.is_some() {
            self.settled_at = Some(now + SETTLING);
        }
        self.era = self.era.max(era);
        era == self.era
    }

    /// Returns the era of the list in force.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Takes a whole list that was current at `as_of`; an older one than is in force is ignored.
    pub fn apply_list(
        &mut self,
        now: Instant,
        as_of: Instant,
        list: impl IntoIterator<Item = BackendServer>,
    ) -> RosterChange {
        if !self.note_current(now, as_of) {
            return RosterChange::default();
        }
        self.differs = false;
        let unsettled = self.settled_at.is_some_and(|at| now < at);
        let keeps = unsettled || self.keep_missing_until.is_some_and(|until| now < until);
        self.removed.retain(|_, at| now.saturating_duration_since(*at) < GONE_KEPT);
        let mut change = RosterChange::default();
        let mut servers: IndexMap<Incarnation, Arc<BackendServer>> = IndexMap::new();
        let starts: HashMap<&ServerId, &Arc<BackendServer>> =
            self.servers.values().map(|known| (&known.id.server, known)).collect();
        for server in list {
            let started = starts.get(&server.id.server);
            if let Some(&later) = started.filter(|known| server.id.is_before(&known.id)) {
                // What an earlier start wrote of itself came late.
                servers.insert(later.id.clone(), Arc::clone(later));
                continue;
            }
            let known = self.servers.get(&server.id);
            if unsettled {
                if let Some(leaving) = known.filter(|known| known.leaving) {
                    servers.insert(leaving.id.clone(), Arc::clone(leaving));
                    continue;
                }
                if self.removed.contains_key(&server.id) {
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
            let was_cold_for = known.map_or(Duration::ZERO, |known| known.cold_for);
            if was_cold_for != server.cold_for {
                change.cold.push(server.id.clone());
                self.cold.insert(server.id.clone(), as_of + server.cold_for);
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
            // A server that started again is not what it was, and an address in use by a listed server cannot
            // still be the missing one's.
            let replaced = servers.values().any(|listed| {
                listed.address == server.address || listed.id.server == server.id.server
            });
            if keeps && !server.leaving && !replaced {
                servers.insert(id.clone(), Arc::clone(server));
            } else {
                change.removed.push(id.clone());
                self.removed.insert(id.clone(), now);
            }
        }
        self.cold.retain(|id, until| servers.contains_key(id) && now < *until);
        self.servers = servers;
        change
    }

    /// Notes that the list in force was current at `as_of`; returns whether that is news.
    fn note_current(&mut self, now: Instant, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| known >= as_of) {
            return false;
        }
        if self.as_of.is_some_and(|known| as_of.duration_since(known) > OUTAGE_AGE) {
            self.keep_missing_until = Some(now + RETURN_GRACE);
        }
        self.as_of = Some(as_of);
        true
    }

    /// Notes that the list in force was still current at `as_of`, in an era of the store, without looking at its servers:
    /// nearly all that others tell is that nothing has changed, several times a second. Returns whether that is enough;
    /// else the list is to be observed.
    pub fn confirm(&mut self, now: Instant, as_of: Instant, era: StoreEra) -> bool {
        let unsettled = self.settled_at.is_some_and(|at| now < at);
        if era != self.era || unsettled || self.differs {
            return false;
        }
        self.note_current(now, as_of);
        true
    }

    /// Notes that the entry of a server has been overwritten by something that is not understood: the server is
    /// missing from the next list, and is not kept.
    pub fn mark_overwritten(&mut self, key: &str) {
        let known = self.servers.values_mut().find(|known| known.id.server.as_str() == key);
        if let Some(server) = known {
            Arc::make_mut(server).leaving = true;
            self.differs = true;
        }
    }

    /// Forgets one server until a list shows another entry with its address or id again.
    pub fn remove(&mut self, id: &Incarnation) {
        self.servers.shift_remove(id);
        self.differs = true;
    }

    /// Returns whether a list has servers of a version that no server of their service in force has.
    pub fn is_missing_version_of(&self, list: &[BackendServer]) -> bool {
        let known: HashSet<_> = self.servers().map(|s| (&s.service, &s.version)).collect();
        list.iter().any(|server| !known.contains(&(&server.service, &server.version)))
    }

    /// Returns the servers in force.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.servers.values()
    }

    /// Has the servers of a zone count as cold: its return may have left them so, and their entries do not say it yet.
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

    /// Returns the servers that are or were cold, and until when.
    pub fn cold(&self) -> impl Iterator<Item = (&Incarnation, Instant)> {
        self.cold.iter().map(|(id, until)| (id, *until))
    }

    /// Returns when the list in force was current.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }
}
