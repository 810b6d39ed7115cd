//! The operators' file: teams, services, backend servers, shares and models of the whole fleet.

pub mod backend_server;
pub mod chunks;
pub mod diff;
pub mod model;
pub mod service;
pub mod share;
pub mod team;
pub mod zone;

use std::{collections::HashMap, fmt::Display, hash::Hash};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    configs::reader::{ConfigErrors, Reader, TableReader},
    names::{BackendId, ModelId, ServiceId, Tag, TeamId, ZoneId},
};

pub use backend_server::BackendServer;
pub use model::Model;
pub use service::{Service, ServiceKind};
pub use share::Share;
pub use team::{Priority, Team};
pub use zone::Zone;

/// How far the shares of one service may be from one in sum.
const SHARE_SUM_TOLERANCE: f64 = 0.001;

/// A whole, checked operators' file.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// Key of the hashes of team keys, as text.
    pub key_salt: String,
    /// Places.
    pub zones: IndexMap<ZoneId, Zone>,
    /// Teams.
    pub teams: IndexMap<TeamId, Team>,
    /// Services.
    pub services: IndexMap<ServiceId, Service>,
    /// Backend servers.
    pub backend_servers: IndexMap<BackendId, BackendServer>,
    /// Shares of traffic among places.
    pub shares: Vec<Share>,
    /// Models.
    pub models: IndexMap<ModelId, Model>,
}

impl Fleet {
    /// Reads and checks a file as a whole.
    ///
    /// # Errors
    ///
    /// Every fault of the file, with line, column and remedy; nothing of a faulty file is used.
    pub fn parse(text: &str) -> Result<Fleet, ConfigErrors> {
        let reader = Reader::new(text);
        let parsed = reader.parse();
        let mut fleet = Fleet::default();
        if let Some(table) = &parsed {
            fleet.read(TableReader::root(&reader, table));
        }
        reader.finish(fleet)
    }

    fn read(&mut self, root: TableReader<'_, '_>) {
        self.key_salt = root.required("key_salt").unwrap_or_default();
        for table in root.tables("zone") {
            insert(&mut self.zones, &table, Zone::read(&table), |z| z.id.clone());
            table.finish();
        }
        for table in root.tables("team") {
            insert(&mut self.teams, &table, Team::read(&table), |t| t.id.clone());
            table.finish();
        }
        for table in root.tables("model") {
            insert(&mut self.models, &table, Model::read(&table), |m| m.id.clone());
            table.finish();
        }
        for table in root.tables("service") {
            let service = Service::read(&table, &self.models);
            insert(&mut self.services, &table, service, |s| s.id.clone());
            table.finish();
        }
        for table in root.tables("backend_server") {
            let server = BackendServer::read(&table, &self.services, &self.zones);
            self.check_address(&table, server.as_ref());
            insert(&mut self.backend_servers, &table, server, |b| b.id.clone());
            table.finish();
        }
        for table in root.tables("share") {
            self.shares.extend(Share::read(&table, &self.services, &self.zones));
            table.finish();
        }
        check_tags(&root, "team", self.teams.keys(), TeamId::tag);
        check_tags(&root, "service", self.services.keys(), ServiceId::tag);
        check_tags(&root, "backend_server", self.backend_servers.keys(), BackendId::tag);
        self.check_keys(&root);
        self.check_shares(&root);
        self.check_services(&root);
        root.finish();
    }

    fn check_address(&self, table: &TableReader<'_, '_>, server: Option<&BackendServer>) {
        let Some(server) = server else { return };
        let other = self.backend_servers.values().find(|b| b.address == server.address);
        if let Some(other) = other {
            table.add_error(
                "address",
                format!(
                    "{} is also the address of {}; give each its own",
                    server.address, other.id
                ),
            );
        }
    }

    fn check_keys(&self, root: &TableReader<'_, '_>) {
        let mut seen: IndexMap<&str, &TeamId> = IndexMap::new();
        for team in self.teams.values() {
            for key in &team.keys {
                if let Some(other) = seen.insert(key.as_str(), &team.id) {
                    root.add_error(
                        "team",
                        format!(
                            "teams {other} and {} hold the same key; give each team its own",
                            team.id
                        ),
                    );
                }
            }
        }
    }

    fn check_shares(&self, root: &TableReader<'_, '_>) {
        let mut sums: IndexMap<&ServiceId, f64> = IndexMap::new();
        let mut pairs = std::collections::HashSet::new();
        for share in &self.shares {
            *sums.entry(&share.service).or_default() += share.share;
            if !pairs.insert((&share.service, &share.zone)) {
                root.add_error(
                    "share",
                    format!("{} in {} has two shares; keep one", share.service, share.zone),
                );
            }
        }
        for (service, sum) in sums {
            if (sum - 1.0).abs() > SHARE_SUM_TOLERANCE {
                root.add_error(
                    "share",
                    format!("the shares of {service} add up to {sum:.3}; make them add up to 1"),
                );
            }
        }
    }

    fn check_services(&self, root: &TableReader<'_, '_>) {
        for service in self.services.values() {
            let zones: Vec<&ZoneId> = self.shares_of(&service.id).map(|s| &s.zone).collect();
            let mut servers = self.backend_servers.values().filter(|b| b.service == service.id);
            if servers.clone().next().is_none() {
                root.add_error(
                    "service",
                    format!("{} has no backend server; add one or remove the service", service.id),
                );
            }
            let uncovered = servers.find(|b| !zones.is_empty() && !zones.contains(&&b.zone));
            if let Some(server) = uncovered {
                root.add_error(
                    "share",
                    format!(
                        "{} has no share for {}, where {} stands; add one",
                        service.id, server.zone, server.id
                    ),
                );
            }
        }
    }

    /// Returns the shares stated for `service`.
    pub fn shares_of(&self, service: &ServiceId) -> impl Iterator<Item = &Share> {
        self.shares.iter().filter(move |s| s.service == *service)
    }

    /// Returns the backend servers of `service`.
    pub fn servers_of(&self, service: &ServiceId) -> impl Iterator<Item = &BackendServer> {
        self.backend_servers.values().filter(move |b| b.service == *service)
    }
}

fn insert<K: Hash + Eq + Display + Clone, V>(
    map: &mut IndexMap<K, V>,
    table: &TableReader<'_, '_>,
    value: Option<V>,
    id_of: impl Fn(&V) -> K,
) {
    let Some(value) = value else { return };
    let id = id_of(&value);
    if map.contains_key(&id) {
        table.add_error("id", format!("{id} stands twice; rename or remove one"));
        return;
    }
    map.insert(id, value);
}

fn check_tags<'k, K: Display + 'k>(
    root: &TableReader<'_, '_>,
    kind: &str,
    ids: impl Iterator<Item = &'k K>,
    tag_of: impl Fn(&K) -> Tag,
) {
    let mut seen: HashMap<Tag, &K> = HashMap::new();
    for id in ids {
        if let Some(other) = seen.insert(tag_of(id), id) {
            root.add_error(kind, format!("{id} and {other} have the same 32-bit hash; rename one"));
        }
    }
}
