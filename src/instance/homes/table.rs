//! Mapping of shards to home instances, cached for lookups.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    contract::membership::Membership,
    instance::cluster_state::snapshot::Snapshot,
    names::Tag,
    units::Revision,
    zone::{
        homes::home_of,
        shard::{Shard, ShardId},
    },
};

/// Age at which the table is rebuilt even without changes, since suspicions of instances expire with time.
const TABLE_MAX_AGE: Duration = Duration::from_millis(250);

/// Homes of all shards, computed from one state of the membership and one revision.
#[derive(Debug, Default)]
pub struct HomeTable {
    homes: HashMap<ShardId, Tag>,
    built_from: Option<(u64, Revision, Instant)>,
}

impl HomeTable {
    /// Returns the home of a shard by the current membership.
    ///
    /// Rebuilds the table when the membership or the revision has changed, or the table is too old.
    pub fn home_of(
        &mut self,
        now: Instant,
        members: &Membership,
        snapshot: &Snapshot,
        shard: &Shard,
    ) -> Tag {
        let current = self.built_from.is_some_and(|(changes, revision, at)| {
            changes == members.changes()
                && revision == snapshot.revision()
                && now.saturating_duration_since(at) < TABLE_MAX_AGE
        });
        if !current {
            self.rebuild(now, members, snapshot);
        }
        // A shard that is not in the active revision is computed on its own.
        self.homes.get(&shard.id).copied().unwrap_or_else(|| home(now, members, shard))
    }

    fn rebuild(&mut self, now: Instant, members: &Membership, snapshot: &Snapshot) {
        let candidates = members.homes(now);
        let shards = snapshot.services().flat_map(|view| &view.shards);
        self.homes = shards
            .map(|shard| {
                let home = home_of(shard.id, shard.zone.as_ref(), candidates.iter().copied());
                (shard.id, home.map_or(members.own().tag, |c| c.tag))
            })
            .collect();
        self.built_from = Some((members.changes(), snapshot.revision(), now));
    }
}

fn home(now: Instant, members: &Membership, shard: &Shard) -> Tag {
    let homes = members.homes(now);
    home_of(shard.id, shard.zone.as_ref(), homes.into_iter()).map_or(members.own().tag, |c| c.tag)
}
