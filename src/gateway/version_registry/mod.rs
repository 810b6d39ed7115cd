//! The registry of software versions in the platform's store: `routing::version_registry` has the rules.
//!
//! All instances use lists of servers whose versions are registered: the instance that reads a list from the store
//! registers what is new before it uses the list or passes it on.

mod rows;

use std::{
    cell::Cell,
    sync::Mutex,
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use self::rows::{RegistryChange, RegistryRead};
use super::Gateway;
use crate::{
    adapter::store::StoreError,
    names::ServiceName,
    routing::{
        BackendServer, Comparison, Intent, ListedShares, ListedVersions, RegisteredVersions,
        RegistryMaintenance, RouteShares, StoreEra, UsedOrigins,
        route_shares::{changed_shares, listed_shares},
        version_registry::versions_of,
    },
    utils::sync::lock,
};

/// Time without a byte after which a call for the registry has failed that the list of servers waits for.
const REGISTRY_STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The same for a read that a caller waits for: longer than a slow store takes for a reply. A silent one delays a caller
/// only once in a while, as the next reads fail at once.
const RESUMPTION_STALL_TIMEOUT: Duration = Duration::from_millis(650);

/// The same while the list itself comes slowly. At least the timeout of all calls to the store, which then counts.
const SLOW_STORE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a read of the list from which on the store is slow.
const SLOW_LIST_TIME: Duration = Duration::from_millis(200);

/// Time after a failed call for the registry in which no other one is made for the same purpose, so that neither the list
/// nor callers wait for a store that does not reply, one after the other.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Time after which servers of a version that cannot be registered are used all the same. The store takes no writes then
/// but still serves the list, and without them a service could run out of servers.
const UNREGISTERED_WAIT_MAX: Duration = Duration::from_secs(5);

/// Age above which the list in use does not show which versions are registered: they may have left meanwhile.
const LIST_AGE_MAX: Duration = Duration::from_secs(10);

/// Age of the list up to which the registry is compared with it.
const MAINTENANCE_LIST_AGE_MAX: Duration = Duration::from_secs(3);

/// Why the versions that may have begun a stream are not known.
#[derive(Debug, thiserror::Error)]
pub(super) enum RegistryError {
    /// The store cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The last read has just failed.
    #[error("the registry of versions could not be read a moment ago; try again")]
    JustFailed,
    /// The store was restored from a copy, and no list has been read since.
    #[error("no list of servers has been read since the store was restored; try again")]
    OtherEra,
}

/// What an instance knows of the registry.
#[derive(Debug, Default)]
pub(super) struct RegistryReads {
    /// The last read for resumptions. Locked while the store is read, so that waiting resumptions share the next read.
    for_resumptions: Mutex<ResumptionReads>,
    unregistered: Mutex<Unregistered>,
    maintenance: Mutex<RegistryMaintenance>,
}

#[derive(Debug, Default)]
struct ResumptionReads {
    /// The last read and when it began.
    last: Option<(Instant, RegistryRead)>,
    failed_at: Option<Instant>,
}

/// Versions that are listed but could not be registered.
#[derive(Debug, Default)]
struct Unregistered {
    versions: ListedVersions,
    /// When the first attempt to register them failed, and the last one.
    since: Option<Instant>,
    failed_at: Option<Instant>,
}

impl Gateway {
    /// Registers the versions of servers that were read from the store in `era`, by a read that began at `as_of`, and
    /// returns the servers that may be used, with whether all versions are registered. Servers of versions that cannot be
    /// registered are held back while others of their service can be used.
    pub(super) fn register_versions(
        &self,
        servers: Vec<BackendServer>,
        era: StoreEra,
        as_of: Instant,
    ) -> (Vec<BackendServer>, bool) {
        let now = self.clock.now();
        let mut versions = versions_of(&servers);
        let mut shares = ListedShares::new();
        if self.roster_era() != era {
            // Servers that a restored store lacks are used for a while, and their streams go on.
            versions.extend(self.used_versions());
            shares = self.shares_in_sight();
        }
        let known = self.known_versions(now, era);
        let new: ListedVersions = versions.difference(&known).cloned().collect();
        if new.is_empty() {
            *lock(&self.registry_reads.unregistered) = Unregistered::default();
            return (servers, true);
        }
        let in_sight = self.all_in_sight_before(now, era);
        let failed_at = lock(&self.registry_reads.unregistered).failed_at;
        if !is_within(failed_at, now, FAILURE_BACKOFF) {
            let with_new = |read: &RegistryRead| {
                let (mut new, mut shares) = (new.clone(), shares.clone());
                let in_sight = in_sight.clone().filter(|_| read.era == era);
                let knows_all = in_sight.is_some();
                if let Some((earlier, earlier_shares)) = in_sight.filter(|_| !read.is_complete()) {
                    new.extend(earlier);
                    shares.extend(earlier_shares);
                }
                RegistryChange {
                    versions: read.versions.registry.with_listed(&new),
                    routes: read.routes.registry.with_listed(&shares),
                    era: read.stated.after_write(read.era, read.now_ms, knows_all),
                }
            };
            // A store whose list comes slowly but is used takes as long for the registry.
            let is_slow = now.saturating_duration_since(as_of) >= SLOW_LIST_TIME;
            let timeout = if is_slow { SLOW_STORE_STALL_TIMEOUT } else { REGISTRY_STALL_TIMEOUT };
            let written = self.write_registry(timeout, with_new);
            lock(&self.registry_reads.maintenance).note_registered();
            match written {
                Ok(read) => {
                    *lock(&self.registry_reads.unregistered) = Unregistered::default();
                    self.note_registry(&read);
                    return (servers, true);
                }
                Err(error) => self.note_unregistered(&new, &error),
            }
        }
        (self.without_held_back(servers, &new), false)
    }

    /// Registers the shares of routes that an intent changes, which was read from the store and is not active yet: an
    /// instance that does not know it then reads that streams may have begun at another service. A store that takes no
    /// writes does not hold the intent up. An instance that has started while others may run does not know what changes.
    pub(super) fn register_shares(&self, intent: &Intent) {
        let changed = match self.cluster_state.intent() {
            Some(active) if active.version < intent.version => {
                changed_shares(&active.routes, &intent.routes)
            }
            None if !self.settings.first_start => listed_shares(&intent.routes),
            _ => return,
        };
        if changed.is_empty() {
            return;
        }
        let with_changed = |read: &RegistryRead| RegistryChange {
            routes: read.routes.registry.with_listed(&changed),
            ..RegistryChange::default()
        };
        let written = self.write_registry(REGISTRY_STALL_TIMEOUT, with_changed);
        lock(&self.registry_reads.maintenance).note_registered();
        match written {
            Ok(_) => log::info!("event=shares_registered count={}", changed.len()),
            Err(error) => log::warn!(
                "event=shares_unregistered version={} reason={:?}",
                intent.version,
                error.to_string()
            ),
        }
    }

    /// Returns what may have begun streams before `era` of the store, if this instance knows all of it.
    fn all_in_sight_before(
        &self,
        now: Instant,
        era: StoreEra,
    ) -> Option<(ListedVersions, ListedShares)> {
        let is_followed = self
            .cluster_state
            .with_servers(|roster| roster.era() == era || roster.is_followed(now));
        self.all_in_sight(now).filter(|_| is_followed)
    }

    /// Notes what is registered.
    fn note_registry(&self, read: &RegistryRead) {
        let is_spoiled = read.versions.is_spoiled || read.routes.is_spoiled;
        let is_complete = !is_spoiled && self.covers(read);
        self.note_registered(&read.versions.registry, &read.routes.registry, is_complete);
    }

    /// Returns whether the registry has all versions that may have begun streams which callers still resume.
    fn covers(&self, read: &RegistryRead) -> bool {
        read.stated.covers(read.era, read.now_ms, self.registry_retention())
    }

    fn roster_era(&self) -> StoreEra {
        self.cluster_state.with_servers(|roster| roster.era())
    }

    /// Returns the versions of the servers in use.
    fn used_versions(&self) -> ListedVersions {
        self.cluster_state
            .with_servers(|roster| versions_of(roster.servers().map(|server| &**server)))
    }

    /// Returns what may begin streams by the list and the intent in use.
    fn used_origins(&self) -> UsedOrigins {
        UsedOrigins { versions: self.used_versions(), shares: self.used_shares() }
    }

    /// Returns the versions that are registered in `era`, as the list in use shows: whoever read it registered them.
    fn known_versions(&self, now: Instant, era: StoreEra) -> ListedVersions {
        let is_recent = self.cluster_state.servers_age(now).is_some_and(|age| age <= LIST_AGE_MAX);
        if !is_recent || self.roster_era() != era {
            return ListedVersions::new();
        }
        let unregistered = lock(&self.registry_reads.unregistered);
        self.used_versions().difference(&unregistered.versions).cloned().collect()
    }

    fn note_unregistered(&self, versions: &ListedVersions, error: &StoreError) {
        let now = self.clock.now();
        let mut unregistered = lock(&self.registry_reads.unregistered);
        unregistered.versions.extend(versions.iter().cloned());
        unregistered.since.get_or_insert(now);
        unregistered.failed_at = Some(now);
        let versions = unregistered.versions.len();
        log::warn!("event=versions_unregistered count={versions} reason={:?}", error.to_string());
    }

    /// Returns the servers without those of unregistered versions, unless these have to be used all the same.
    fn without_held_back(
        &self,
        mut servers: Vec<BackendServer>,
        unregistered: &ListedVersions,
    ) -> Vec<BackendServer> {
        let now = self.clock.now();
        let since = lock(&self.registry_reads.unregistered).since;
        if since.is_some() && !is_within(since, now, UNREGISTERED_WAIT_MAX) {
            return servers;
        }
        let is_registered = |server: &BackendServer| {
            !unregistered.contains(&(server.service.clone(), server.version.clone()))
        };
        let usable = servers.iter().filter(|server| is_registered(server) && !server.leaving);
        let served: IndexSet<ServiceName> = usable.map(|server| server.service.clone()).collect();
        servers.retain(|server| is_registered(server) || !served.contains(&server.service));
        servers
    }

    /// Brings the registry in line with the list: marks versions that have just left, and drops those that have left for
    /// long enough. The instance that reads the list for the others does so whenever its versions change, any other one
    /// if a resumption has shown that it is needed.
    pub(super) fn maintain_registry(&self, now: Instant, is_reader: bool) {
        let age = self.cluster_state.servers_age(now);
        let known = (self.cluster_state.list_version(), self.cluster_state.version());
        if age.is_none_or(|age| age > MAINTENANCE_LIST_AGE_MAX)
            || !lock(&self.registry_reads.maintenance).begin(
                now,
                known,
                || self.used_origins(),
                is_reader,
            )
        {
            return;
        }
        let used = self.used_origins();
        let has_changed = Cell::new(false);
        let written = self.write_registry(REGISTRY_STALL_TIMEOUT, |read| {
            let change = self.maintained(read, &used);
            has_changed.set(!change.is_empty());
            change
        });
        match written {
            Ok(read) => {
                let has_unlisted = read.has_unlisted();
                let comparison = Comparison { has_changed: has_changed.get(), has_unlisted };
                let retention = self.registry_retention();
                let mut maintenance = lock(&self.registry_reads.maintenance);
                maintenance.note_compared(now, comparison, used, retention);
            }
            Err(error) => {
                log::info!("event=versions_unmaintained reason={:?}", error.to_string());
            }
        }
    }

    /// Returns what a registry has to be if exactly `used` are in use.
    fn maintained(&self, read: &RegistryRead, used: &UsedOrigins) -> RegistryChange {
        if read.era != self.roster_era() {
            return RegistryChange::default();
        }
        let (versions, routes) = (&read.versions.registry, &read.routes.registry);
        self.note_registry(read);
        let in_sight = self.all_in_sight_before(self.clock.now(), read.era);
        let era = read.stated.after_write(read.era, read.now_ms, in_sight.is_some());
        if let Some((mut earlier, mut shares)) = in_sight.filter(|_| !read.is_complete()) {
            earlier.extend(used.versions.iter().cloned());
            shares.extend(used.shares.iter().copied());
            return RegistryChange {
                versions: versions.with_listed(&earlier),
                routes: routes.with_listed(&shares),
                era,
            };
        }
        let retention = self.registry_retention();
        let has_left = |version: &_| self.has_left(version);
        let have_left = |shares: &_| self.have_shares_left(shares);
        RegistryChange {
            versions: versions.maintained(read.now_ms, &used.versions, retention, has_left),
            routes: match self.cluster_state.intent() {
                Some(_) => routes.maintained(read.now_ms, &used.shares, retention, have_left),
                None => None,
            },
            era,
        }
    }

    /// Returns the versions that may have begun a stream of a service, to which a route with these shares leads its
    /// caller, who resumed it at `resumed_at`. A stream that other shares may have led, or a version that a restored store
    /// lacks, is as one of several versions.
    ///
    /// # Errors
    ///
    /// The registry cannot be read as of a later time.
    pub(super) fn registered_versions(
        &self,
        service: &ServiceName,
        shares: RouteShares,
        resumed_at: Instant,
    ) -> Result<RegisteredVersions, RegistryError> {
        let mut reads = lock(&self.registry_reads.for_resumptions);
        let read = self.registry_since(&mut reads, resumed_at)?;
        // A restored store may lack versions. Whoever reads a list of the new era registers them again.
        if read.era != self.roster_era() {
            return Err(RegistryError::OtherEra);
        }
        let mut registered = read.routes.registry.of(&shares.route);
        if !self.covers(read)
            || read.routes.is_spoiled
            || registered.any(|registered| *registered != shares.shares)
        {
            return Ok(RegisteredVersions::Several);
        }
        Ok(read.versions.registry.versions(service))
    }

    /// Returns the registry as of `since` or later.
    fn registry_since<'r>(
        &self,
        reads: &'r mut ResumptionReads,
        since: Instant,
    ) -> Result<&'r RegistryRead, RegistryError> {
        let is_current = reads.last.as_ref().is_some_and(|(began, _)| *began >= since);
        if !is_current {
            let began = self.clock.now();
            if is_within(reads.failed_at, began, FAILURE_BACKOFF) {
                return Err(RegistryError::JustFailed);
            }
            let read = self.read_registry(RESUMPTION_STALL_TIMEOUT).inspect_err(|_| {
                reads.failed_at = Some(self.clock.now());
            })?;
            // Whoever has marked a version may be lost before it is dropped.
            let has_expired = read.has_expired(self.registry_retention());
            if has_expired || !self.maintained(&read, &self.used_origins()).is_empty() {
                lock(&self.registry_reads.maintenance).request();
            }
            reads.last = Some((began, read));
        }
        reads.last.as_ref().map(|(_, read)| read).ok_or(RegistryError::JustFailed)
    }

    /// Reads which versions may have begun streams before this instance started.
    ///
    /// # Errors
    ///
    /// The store cannot be read.
    pub(super) fn learn_registered_versions(&self) -> Result<(), StoreError> {
        let read = self.read_registry(RESUMPTION_STALL_TIMEOUT)?;
        self.note_registry(&read);
        Ok(())
    }
}

fn is_within(since: Option<Instant>, now: Instant, time: Duration) -> bool {
    since.is_some_and(|at| now.saturating_duration_since(at) < time)
}
