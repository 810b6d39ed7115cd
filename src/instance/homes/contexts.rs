//! Moves the contexts of chats from leaving engines to others, at a limited rate.

use std::{collections::BTreeMap, thread};

use crate::{
    instance::{cluster_state::snapshot::Snapshot, homes::engines, shared::Shared},
    names::Tag,
    zone::{context_moves::ContextMove, home::Event, rendezvous::ChatKey, shard::ShardId},
};

/// Most chats moved for one shard in a round; at four rounds a second (`MOVE_PERIOD`), 100 chats a second.
const MOVES_PER_ROUND: usize = 25;

/// Moves the next contexts of every shard that this instance holds.
pub fn move_next(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    for (shard, moves) in shared.homes.context_moves(MOVES_PER_ROUND) {
        move_contexts(shared, &snapshot, shard, &moves);
    }
}

/// Moves contexts with one import request for each pair of engines.
fn move_contexts(shared: &Shared, snapshot: &Snapshot, shard: ShardId, moves: &[ContextMove]) {
    let mut pairs: BTreeMap<(Tag, Tag), Vec<ChatKey>> = BTreeMap::new();
    for ContextMove { chat, from, to } in moves {
        pairs.entry((*from, *to)).or_default().push(*chat);
    }
    thread::scope(|scope| {
        for ((from, to), chats) in &pairs {
            let address =
                |tag: Tag| snapshot.server(tag).filter(|b| b.reports_load).map(|b| b.address);
            let (Some(source), Some(target)) = (address(*from), address(*to)) else { continue };
            scope.spawn(move || {
                let imported = engines::import_contexts(shared, target, source, chats);
                let event = match imported {
                    true => {
                        Event::ContextsMoved(chats.iter().map(|chat| (*chat, *from, *to)).collect())
                    }
                    false => Event::ContextsNotMoved(*from),
                };
                shared.homes.notify(shard, vec![event]);
            });
        }
    });
}
