//! Which servers of a service a request may go to while another version of it is rolled out.
//!
//! Answers the load of a version that is not proven: its servers get their share of the requests, drawn for each request by
//! itself, and as few servers as carry that share.

use std::{collections::HashSet, time::Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::Picker;
use crate::{
    names::{ServiceName, SoftwareVersion, Tag},
    routing::{BackendServer, Lane, PickRequest},
};

/// Which servers a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionGroup {
    /// Those of the new version.
    New,
    /// Those of other versions.
    Old,
    /// All that are not barred.
    Any,
}

/// The servers of a service whose version changes.
#[derive(Debug)]
pub(super) struct RolloutServers {
    lane: Lane,
    /// Servers of the new version that are used.
    new: HashSet<Tag>,
    /// How many others there are.
    others: usize,
}

impl Picker {
    /// Sets which servers requests may go to, of services whose version changes.
    pub fn set_version_splits(&mut self, lanes: Vec<Lane>) {
        let versions = |lane: Lane| {
            (lane.service.clone(), RolloutServers { lane, new: HashSet::new(), others: 0 })
        };
        self.versions = lanes.into_iter().map(versions).collect();
        self.group_versions();
    }

    /// Finds the servers of each version, as far as versions count.
    pub(super) fn group_versions(&mut self) {
        let mut versions = std::mem::take(&mut self.versions);
        for (service, of_service) in &mut versions {
            let lane = &of_service.lane;
            let servers = || {
                let all = self.servers.values().map(|tracked| &*tracked.server);
                all.filter(|s| s.service == *service && !lane.bars(s.version.as_ref()))
            };
            let is_new = |s: &&BackendServer| lane.is_new(s.version.as_ref());
            let others = servers().filter(|s| !is_new(s)).count();
            let new = used_of(servers().filter(is_new), lane.servers);
            (of_service.new, of_service.others) = (new, others);
        }
        self.versions = versions;
    }

    /// Returns on which side a request is. One that has failed once goes to what is proven.
    pub(super) fn version_group(&self, now: Instant, request: &PickRequest<'_>) -> VersionGroup {
        let Some(RolloutServers { lane, others, .. }) = self.versions.get(request.service) else {
            return VersionGroup::Any;
        };
        if lane.to.is_none() || *others == 0 {
            return VersionGroup::Any;
        }
        let share = lane.share(now);
        let is_turn = draw(request) < share && (request.tried.is_empty() || share >= 1.0);
        if is_turn { VersionGroup::New } else { VersionGroup::Old }
    }

    /// Returns whether a server is on that side.
    pub(super) fn is_in_group(&self, version_group: VersionGroup, server: &BackendServer) -> bool {
        let Some(RolloutServers { lane, new, .. }) = self.versions.get(&server.service) else {
            return true;
        };
        let version = server.version.as_ref();
        !lane.bars(version)
            && match version_group {
                VersionGroup::New => new.contains(&server.tag()),
                VersionGroup::Old => !lane.is_new(version),
                VersionGroup::Any => true,
            }
    }

    /// Returns whether a server gets any of its service's requests, as far as its version goes.
    pub(super) fn is_in_use(&self, now: Instant, server: &BackendServer) -> bool {
        let Some(RolloutServers { lane, others, .. }) = self.versions.get(&server.service) else {
            return true;
        };
        let share = lane.share(now);
        if lane.to.is_none() || *others == 0 {
            return self.is_in_group(VersionGroup::Any, server);
        }
        share > 0.0 && self.is_in_group(VersionGroup::New, server)
            || share < 1.0 && self.is_in_group(VersionGroup::Old, server)
    }

    /// Returns whether what `keeper` remembers of prompts is of use to `server`: not across versions, which may have other
    /// weights.
    pub(super) fn shares_memory(&self, keeper: &BackendServer, server: &BackendServer) -> bool {
        !self.versions.contains_key(&server.service) || keeper.version == server.version
    }

    /// Returns how many requests of this instance are under way at servers of other versions than `to`.
    pub fn in_flight_outside_version(&self, service: &ServiceName, to: &SoftwareVersion) -> u32 {
        let others = self.servers_of(service).filter(|t| t.server.version.as_ref() != Some(to));
        others.map(|t| t.load.own()).sum()
    }

    /// Returns the share that new versions get, by service.
    pub fn new_version_shares(&self, now: Instant) -> IndexMap<ServiceName, f64> {
        let rolled_out = self.versions.iter().filter(|(_, versions)| versions.lane.to.is_some());
        rolled_out.map(|(service, of)| (service.clone(), of.lane.share(now))).collect()
    }
}

/// Returns the servers of a new version that are used, `most` of them, in turn from each availability zone.
fn used_of<'s>(servers: impl Iterator<Item = &'s BackendServer>, most: usize) -> HashSet<Tag> {
    let mut zones: IndexMap<_, Vec<(Tag, Tag)>> = IndexMap::new();
    for server in servers {
        zones.entry(&server.zone).or_default().push((server.place(), server.tag()));
    }
    zones.sort_unstable_keys();
    let mut turns: Vec<(usize, usize, Tag)> = Vec::new();
    for (number, zone) in zones.values_mut().enumerate() {
        // All instances use the same ones, whatever order they list them in.
        zone.sort_unstable();
        turns.extend(zone.iter().enumerate().map(|(turn, (_, tag))| (turn, number, *tag)));
    }
    turns.sort_unstable();
    turns.into_iter().take(most).map(|(.., tag)| tag).collect()
}

/// Returns a number in [0, 1) that is another one for each request, and says nothing of the one by which requests are
/// refused beyond capacity.
fn draw(request: &PickRequest<'_>) -> f64 {
    let spread = xxh3_64(&request.spread.to_le_bytes());
    // 53 bits make a float in [0, 1).
    (spread >> 11) as f64 / (1u64 << 53) as f64
}
