//! Probes of backend servers, sent only by the home of their shard, and only to servers whose state no recent
//! response has shown.

use std::thread;

use crate::{
    instance::{homes::engines, shared::Shared},
    names::Tag,
    zone::{home::Event, shard::ShardId},
};

/// Most probes in flight.
const CONCURRENT_PROBES: usize = 8;

/// Probes the engines that are due.
pub fn probe_due(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let reports = |tag: Tag| snapshot.server(tag).is_some_and(|server| server.reports_load);
    let due: Vec<(ShardId, Tag)> =
        shared.homes.probes_due().into_iter().filter(|(_, tag)| reports(*tag)).collect();
    for group in due.chunks(CONCURRENT_PROBES) {
        thread::scope(|scope| {
            for (shard, engine) in group {
                let Some(address) = snapshot.server(*engine).map(|server| server.address) else {
                    continue;
                };
                scope.spawn(move || {
                    let events = match engines::fetch_status(shared, address) {
                        Some(status) => vec![
                            Event::Probed(*engine, status.load),
                            // An engine that is loading accepts no requests either.
                            Event::AnnouncedLeaving(*engine, !status.is_ready()),
                        ],
                        None => vec![Event::ProbeFailed(*engine)],
                    };
                    shared.homes.notify(*shard, events);
                });
            }
        });
    }
}
