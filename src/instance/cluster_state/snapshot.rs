//! One revision of the operators' file, indexed for requests. Immutable once built.

use std::collections::HashMap;

use indexmap::IndexMap;

use crate::{
    configs::fleet::{BackendServer, Fleet, Priority, Service, Team},
    contract::{permit::TeamPolicy, revision::Head},
    names::{ServiceId, Tag, TeamId},
    units::Revision,
    utils::secret::keyed_hash,
    zone::{
        engine::EngineSpec,
        rendezvous::{ChatKey, ranked},
        shard::{Shard, ShardId, shards_of},
    },
};

/// A service with its shards.
#[derive(Debug)]
pub struct ServiceView {
    /// The service as the file declares it.
    pub service: Service,
    /// Shards of the service.
    pub shards: Vec<Shard>,
    /// Engines of all shards.
    pub engines: Vec<EngineSpec>,
}

impl ServiceView {
    /// Returns the shards in the rendezvous order of `chat`.
    pub fn ranked_shards(&self, chat: ChatKey) -> Vec<&Shard> {
        if self.shards.len() == 1 {
            return vec![&self.shards[0]];
        }
        let nodes = self.shards.iter().map(|s| (Tag(u32::from(s.id.number) + 1), s.weight));
        ranked(chat.0, nodes).into_iter().map(|index| &self.shards[index]).collect()
    }
}

/// One revision, indexed for requests.
#[derive(Debug)]
pub struct Snapshot {
    /// Head row of the revision.
    pub head: Head,
    /// The operators' file.
    pub fleet: Fleet,
    services: IndexMap<ServiceId, ServiceView>,
    services_by_tag: HashMap<Tag, ServiceId>,
    teams_by_key: HashMap<[u8; 32], TeamId>,
    teams_by_tag: HashMap<Tag, TeamId>,
    servers_by_tag: HashMap<Tag, usize>,
}

impl Snapshot {
    /// Builds the snapshot of a checked file.
    pub fn new(head: Head, fleet: Fleet) -> Snapshot {
        let view = |service: &Service| {
            let shards = shards_of(&fleet, &service.id);
            let engines = shards.iter().flat_map(|s| s.engines.iter().copied()).collect();
            ServiceView { service: service.clone(), shards, engines }
        };
        let services: IndexMap<_, _> =
            fleet.services.values().map(|s| (s.id.clone(), view(s))).collect();
        let services_by_tag = services.keys().map(|id| (id.tag(), id.clone())).collect();
        let teams_by_tag = fleet.teams.keys().map(|id| (id.tag(), id.clone())).collect();
        let servers = fleet.backend_servers.keys().enumerate();
        let servers_by_tag = servers.map(|(index, id)| (id.tag(), index)).collect();
        let teams_by_key = index_teams_by_key(&fleet);
        Snapshot {
            head,
            fleet,
            services,
            services_by_tag,
            teams_by_key,
            teams_by_tag,
            servers_by_tag,
        }
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns a service by the name in callers' requests.
    pub fn service(&self, name: &str) -> Option<&ServiceView> {
        let id: ServiceId = name.parse().ok()?;
        self.services.get(&id)
    }

    /// Returns a service by its tag.
    pub fn service_by_tag(&self, tag: Tag) -> Option<&ServiceView> {
        self.services.get(self.services_by_tag.get(&tag)?)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &ServiceView> {
        self.services.values()
    }

    /// Returns a shard.
    pub fn shard(&self, id: ShardId) -> Option<&Shard> {
        self.service_by_tag(id.service)?.shards.iter().find(|s| s.id == id)
    }

    /// Returns the team with the API key `key`.
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        let hash = keyed_hash(self.fleet.key_salt.as_bytes(), key.as_bytes());
        self.fleet.teams.get(self.teams_by_key.get(&hash)?)
    }

    /// Returns the policy of a team; an unknown team has the default policy.
    pub fn team_policy(&self, tag: Tag) -> TeamPolicy {
        let team = self.teams_by_tag.get(&tag).and_then(|id| self.fleet.teams.get(id));
        team.map_or(TeamPolicy::default(), |team| TeamPolicy {
            weight: team.weight,
            reserved: team.priority == Priority::Reserved,
            max_in_flight: team.max_in_flight,
            rate: team.rate,
        })
    }

    /// Returns the id of a team by its tag.
    ///
    /// # Panics
    ///
    /// The file has no team with this tag.
    pub fn team_id(&self, tag: Tag) -> &TeamId {
        &self.teams_by_tag[&tag]
    }

    /// Returns a backend server by its tag.
    pub fn server(&self, tag: Tag) -> Option<&BackendServer> {
        let index = *self.servers_by_tag.get(&tag)?;
        self.fleet.backend_servers.get_index(index).map(|(_, server)| server)
    }
}

/// Indexes the teams by the hashes of their keys. The check of the file rejects equal hashes.
fn index_teams_by_key(fleet: &Fleet) -> HashMap<[u8; 32], TeamId> {
    let mut keys = HashMap::new();
    for team in fleet.teams.values() {
        for key in &team.keys {
            let mut hash = [0; 32];
            if hex::decode_to_slice(key.as_str(), &mut hash).is_ok() {
                keys.insert(hash, team.id.clone());
            }
        }
    }
    keys
}
