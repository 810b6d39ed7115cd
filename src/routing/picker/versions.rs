//! Selects the servers of a service that a request may use while another version of the service is rolled out.
//!
//! A new version is unproven: its servers get a share of the requests, decided independently for each request, and only
//! as many servers as this share needs are used.

use std::{collections::HashSet, time::Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::Picker;
use crate::{
    names::{ServiceName, SoftwareVersion, Tag},
    routing::{BackendServer, PickRequest, VersionRule, VersionSplit},
};

/// Groups of servers by their version, from which a request uses one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionGroup {
    /// Servers of the new version.
    New,
    /// Servers of other versions.
    Old,
    /// All servers whose version is not barred.
    Any,
}

/// Servers of a service with a roll-out.
#[derive(Debug)]
pub(super) struct RolloutServers {
    split: VersionSplit,
    /// Servers of the new version that are in use.
    new: HashSet<Tag>,
    /// Number of servers of other versions.
    others: usize,
}

impl Picker {
    /// Sets how requests are split between the versions of services with a roll-out.
    pub fn set_version_splits(&mut self, splits: Vec<VersionSplit>) {
        let rollout = |split: VersionSplit| {
            (split.service.clone(), RolloutServers { split, new: HashSet::new(), others: 0 })
        };
        self.rollouts = splits.into_iter().map(rollout).collect();
        self.group_by_version();
    }

    /// Groups the servers of services with a roll-out by version.
    pub(super) fn group_by_version(&mut self) {
        let mut rollouts = std::mem::take(&mut self.rollouts);
        for (service, rollout) in &mut rollouts {
            let split = &rollout.split;
            let servers = || {
                let all = self.servers.values().map(|tracked| &*tracked.server);
                all.filter(|s| s.service == *service && !split.bars(s.version.as_ref()))
            };
            let is_new = |s: &&BackendServer| split.is_new(s.version.as_ref());
            let others = servers().filter(|s| !is_new(s)).count();
            let new = select_across_zones(servers().filter(is_new), split.servers);
            (rollout.new, rollout.others) = (new, others);
        }
        self.rollouts = rollouts;
    }

    /// Returns the groups of servers that a request uses, in order of preference.
    pub(super) fn version_groups(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
    ) -> &'static [VersionGroup] {
        if *request.version != VersionRule::Any {
            // A stream goes on at its version whatever share that has, at the servers of a new version that are in use.
            return &[VersionGroup::New, VersionGroup::Any];
        }
        match self.version_group(now, request) {
            VersionGroup::New => &[VersionGroup::New, VersionGroup::Old],
            VersionGroup::Old => &[VersionGroup::Old],
            VersionGroup::Any => &[VersionGroup::Any],
        }
    }

    /// Returns the group of servers that a request uses. A request that has failed once uses the proven versions.
    fn version_group(&self, now: Instant, request: &PickRequest<'_>) -> VersionGroup {
        let Some(RolloutServers { split, others, .. }) = self.rollouts.get(request.service) else {
            return VersionGroup::Any;
        };
        if split.to.is_none() || *others == 0 {
            return VersionGroup::Any;
        }
        let share = split.share(now);
        let is_new = draw(request) < share && (request.tried.is_empty() || share >= 1.0);
        if is_new { VersionGroup::New } else { VersionGroup::Old }
    }

    /// Returns whether a server is in a group.
    pub(super) fn is_in_group(&self, group: VersionGroup, server: &BackendServer) -> bool {
        let Some(RolloutServers { split, new, .. }) = self.rollouts.get(&server.service) else {
            return true;
        };
        let version = server.version.as_ref();
        !split.bars(version)
            && match group {
                VersionGroup::New => new.contains(&server.tag()),
                VersionGroup::Old => !split.is_new(version),
                VersionGroup::Any => true,
            }
    }

    /// Returns whether the version of a server gets any of its service's requests.
    pub(super) fn is_in_use(&self, now: Instant, server: &BackendServer) -> bool {
        let Some(RolloutServers { split, others, .. }) = self.rollouts.get(&server.service) else {
            return true;
        };
        let share = split.share(now);
        if split.to.is_none() || *others == 0 {
            return self.is_in_group(VersionGroup::Any, server);
        }
        share > 0.0 && self.is_in_group(VersionGroup::New, server)
            || share < 1.0 && self.is_in_group(VersionGroup::Old, server)
    }

    /// Returns whether `server` can use the KV cache of `holder`; during a roll-out not across versions, which may have
    /// different model weights.
    pub(super) fn shares_cache(&self, holder: &BackendServer, server: &BackendServer) -> bool {
        !self.rollouts.contains_key(&server.service) || holder.version == server.version
    }

    /// Returns the rule for a request that goes on with a stream that `server` began. Where no server of a service
    /// states a version, there is nothing to tell them apart by.
    pub fn rule_of_stream(&self, server: &BackendServer) -> VersionRule {
        let is_versioned = self.servers_of(&server.service).any(|t| t.server.version.is_some());
        if server.version.is_some() || is_versioned {
            VersionRule::Only(server.version.clone())
        } else {
            VersionRule::Unstated
        }
    }

    /// Returns this instance's requests in flight at servers of other versions than `to`.
    pub fn in_flight_outside_version(&self, service: &ServiceName, to: &SoftwareVersion) -> u32 {
        let others = self.servers_of(service).filter(|t| t.server.version.as_ref() != Some(to));
        others.map(|t| t.load.own()).sum()
    }

    /// Returns the share of requests that new versions get, by service.
    pub fn new_version_shares(&self, now: Instant) -> IndexMap<ServiceName, f64> {
        let with_new = self.rollouts.iter().filter(|(_, rollout)| rollout.split.to.is_some());
        with_new.map(|(service, rollout)| (service.clone(), rollout.split.share(now))).collect()
    }
}

/// Returns up to `max` of the servers of a new version, one from each availability zone in turn.
fn select_across_zones<'s>(
    servers: impl Iterator<Item = &'s BackendServer>,
    max: usize,
) -> HashSet<Tag> {
    let mut zones: IndexMap<_, Vec<(Tag, Tag)>> = IndexMap::new();
    for server in servers {
        zones.entry(&server.zone).or_default().push((server.stable_tag(), server.tag()));
    }
    zones.sort_unstable_keys();
    let mut ordered: Vec<(usize, usize, Tag)> = Vec::new();
    for (number, zone) in zones.values_mut().enumerate() {
        // Sorted, so that all instances select the same servers whatever the order of their lists.
        zone.sort_unstable();
        ordered.extend(zone.iter().enumerate().map(|(index, (_, tag))| (index, number, *tag)));
    }
    ordered.sort_unstable();
    ordered.into_iter().take(max).map(|(.., tag)| tag).collect()
}

/// Returns a number in [0, 1) that differs between requests and is independent of the one that decides on admission.
fn draw(request: &PickRequest<'_>) -> f64 {
    let spread = xxh3_64(&request.spread.to_le_bytes());
    // A float in [0, 1) has 53 significant bits.
    (spread >> 11) as f64 / (1u64 << 53) as f64
}
