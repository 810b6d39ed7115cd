//! Which instance is the home of which shard, worked out once and looked up many times.

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

/// Age at which the table is worked out anew, since suspicions end by time.
const TABLE_MAX_AGE: Duration = Duration::from_millis(250);

/// Homes of all shards by one view of the members and one revision.
#[derive(Debug, Default)]
pub struct HomeTable {
    homes: HashMap<ShardId, Tag>,
    built_from: Option<(u64, Revision, Instant)>,
}

impl HomeTable {
    /// Returns the home of a shard by the view of the moment.
    ///
    /// Homes of all shards are worked out when the members or the revision have changed.
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
        // A shard of another revision than the one in force is worked out by itself.
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
