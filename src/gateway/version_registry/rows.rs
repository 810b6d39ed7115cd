//! The rows of the registry of versions: reads them, and writes what has changed on the condition that nobody else has.

use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    adapter::{
        store::{Condition, Put, StoreError, StoreRows},
        tables::{ERA_KEY, ROUTE_KEY, VERSION_KEY, VERSION_TABLE},
    },
    configs::fleet::chunks::{decode, encode},
    gateway::Gateway,
    names::SoftwareVersion,
    routing::{ListedVersions, RegistryEra, RouteRegistry, StoreEra, VersionRegistry},
};

/// Attempts to write the registry in a row, while other instances change it at the same time.
const WRITE_ATTEMPTS_MAX: usize = 3;

/// A row of the registry.
#[derive(Debug, Clone, Default)]
pub(super) struct RegistryRow<R> {
    pub(super) registry: R,
    /// Version of the row; 0 if there is none.
    version: u64,
    /// Whether it cannot be decoded.
    pub(super) is_spoiled: bool,
}

/// What a registry is to be; `None` where it is so already.
#[derive(Debug, Default)]
pub(super) struct RegistryChange {
    pub(super) versions: Option<VersionRegistry>,
    pub(super) routes: Option<RouteRegistry>,
    pub(super) era: Option<RegistryEra>,
}

/// The registry as it was read from the store.
#[derive(Debug, Clone)]
pub(super) struct RegistryRead {
    pub(super) versions: RegistryRow<VersionRegistry>,
    pub(super) routes: RegistryRow<RouteRegistry>,
    /// What the store states of the registry since it was restored.
    pub(super) stated: RegistryEra,
    /// Era of the store.
    pub(super) era: StoreEra,
    /// Time on the store's clock, in milliseconds.
    pub(super) now_ms: u64,
}

impl Gateway {
    /// Writes what `change` makes of the registry, if anything, and returns the registry as it is then. A call without a
    /// byte for `timeout` has failed.
    pub(super) fn write_registry(
        &self,
        timeout: Duration,
        change: impl Fn(&RegistryRead) -> RegistryChange,
    ) -> Result<RegistryRead, StoreError> {
        let mut attempt = 1;
        loop {
            let mut read = self.read_registry(timeout)?;
            let change = change(&read);
            match self.put_change(timeout, &mut read, change) {
                Ok(()) => return Ok(read),
                Err(StoreError::Conflict) if attempt < WRITE_ATTEMPTS_MAX => attempt += 1,
                Err(error) => return Err(error),
            }
        }
    }

    pub(super) fn read_registry(&self, timeout: Duration) -> Result<RegistryRead, StoreError> {
        let store = self.store.with_short_stall_timeout(timeout);
        let rows = store.rows(VERSION_TABLE)?;
        let (era, now_ms) = (rows.version.era, rows.now_ms);
        let (versions, routes) = (decode_row(&rows, VERSION_KEY), decode_row(&rows, ROUTE_KEY));
        let stated = decode_row(&rows, ERA_KEY).registry;
        Ok(RegistryRead { versions, routes, stated, era, now_ms })
    }

    /// Writes the rows that change. A registry of versions stays valid whatever the one of routes is, and the other way
    /// round, so that they need not be written at once. What is stated of both comes with the last of them.
    fn put_change(
        &self,
        timeout: Duration,
        read: &mut RegistryRead,
        change: RegistryChange,
    ) -> Result<(), StoreError> {
        if let Some(routes) = change.routes {
            self.put_registry(timeout, ROUTE_KEY, read.routes.version, &routes, None)?;
            read.routes.registry = routes;
        }
        if change.versions.is_some() || change.era.is_some() {
            let versions = change.versions.unwrap_or_else(|| read.versions.registry.clone());
            let row = read.versions.version;
            self.put_registry(timeout, VERSION_KEY, row, &versions, change.era)?;
            log_change(&read.versions.registry, &versions);
            read.versions.registry = versions;
            read.stated = change.era.unwrap_or(read.stated);
        }
        Ok(())
    }

    fn put_registry(
        &self,
        timeout: Duration,
        key: &str,
        version: u64,
        registry: &impl Serialize,
        era: Option<RegistryEra>,
    ) -> Result<(), StoreError> {
        let condition = Condition { table: VERSION_TABLE, key, version };
        let (registry, era) = (encode(registry), era.map(|era| encode(&era)));
        let mut puts = vec![Put { table: VERSION_TABLE, key, value: &registry }];
        puts.extend(era.as_ref().map(|value| Put { table: VERSION_TABLE, key: ERA_KEY, value }));
        let store = self.store.with_short_stall_timeout(timeout);
        store.put_if(&condition, &puts).map(drop)
    }
}

impl RegistryRead {
    /// Returns whether all that was in use before the store was restored is registered in its present era.
    pub(super) fn is_complete(&self) -> bool {
        self.stated.covers(self.era, 0, Duration::MAX)
    }

    pub(super) fn has_expired(&self, retention: Duration) -> bool {
        self.versions.registry.has_expired(self.now_ms, retention)
            || self.routes.registry.has_expired(self.now_ms, retention)
    }

    pub(super) fn has_unlisted(&self) -> bool {
        self.versions.registry.has_unlisted() || self.routes.registry.has_unlisted()
    }
}

impl RegistryChange {
    pub(super) fn is_empty(&self) -> bool {
        self.versions.is_none() && self.routes.is_none() && self.era.is_none()
    }
}

/// Returns the row of `key`; an empty one if there is none or it cannot be decoded.
fn decode_row<R: Default + DeserializeOwned>(rows: &StoreRows, key: &str) -> RegistryRow<R> {
    let Some(row) = rows.rows.iter().find(|row| row.key == key) else {
        return RegistryRow::default();
    };
    match decode(&row.value) {
        Ok(registry) => RegistryRow { registry, version: row.version, is_spoiled: false },
        Err(error) => {
            log::warn!("event=row_skipped key={key} reason={:?}", error.to_string());
            RegistryRow { registry: R::default(), version: row.version, is_spoiled: true }
        }
    }
}

/// Logs the versions that a write has added to the registry, or dropped from it.
fn log_change(before: &VersionRegistry, after: &VersionRegistry) {
    let (before, after): (ListedVersions, ListedVersions) =
        (before.all().collect(), after.all().collect());
    let added = after.difference(&before).map(|version| ("version_registered", version));
    let dropped = before.difference(&after).map(|version| ("version_dropped", version));
    for (event, (service, version)) in added.chain(dropped) {
        let software = version.as_ref().map_or("none", SoftwareVersion::as_str);
        log::info!("event={event} service={service} software={software}");
    }
}
