//! Reads the list of backend servers, at a pace.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Gateway, peers, skipped_log::SkippedLog};
use crate::{
    adapter::{calls::SERVER_TABLE, servers, store::StoreFault},
    routing::{BackendServer, roster::RosterChange},
};

/// Pause before the store is tried again when it cannot be read.
const PAUSE_FAILED: Duration = Duration::from_millis(500);

/// Keeps the list fresh until the process ends: reads it at a pace where others rely on this
/// instance, and only when their news stop where it relies on others.
pub fn run(gateway: &Arc<Gateway>) {
    let mut lost = false;
    let mut skipped = SkippedLog::default();
    loop {
        let began = gateway.clock.now();
        if let Some(pause) = pause_for_news(gateway, began) {
            thread::sleep(pause);
            continue;
        }
        match read(gateway, &mut skipped) {
            Ok(()) => {
                if lost {
                    lost = false;
                    log::warn!("event=store_back");
                }
                let took = gateway.clock.now().saturating_duration_since(began);
                let period = gateway.settings.roster_period();
                thread::sleep(period.saturating_sub(took).max(period / 4));
            }
            Err(fault) => {
                lost = true;
                gateway.store_failed("servers", &fault);
                peers::catch_up(gateway);
                thread::sleep(PAUSE_FAILED);
            }
        }
    }
}

/// Returns how long the news of others will do; `None` when the store must be read.
fn pause_for_news(gateway: &Gateway, now: Instant) -> Option<Duration> {
    if gateway.peers.is_reader(now) {
        return None;
    }
    let left =
        gateway.settings.roster_age_max().checked_sub(gateway.knowledge.servers_age(now)?)?;
    (!left.is_zero()).then_some(left)
}

/// Reads the list once.
///
/// # Errors
///
/// The store cannot be read.
fn read(gateway: &Gateway, skipped: &mut SkippedLog) -> Result<(), StoreFault> {
    let as_of = gateway.clock.now();
    let rows = gateway.store.rows(SERVER_TABLE)?;
    gateway.store_answered();
    let entries = servers::decode_all(&rows.rows);
    skipped.tell(&entries.skipped);
    gateway.knowledge.overwritten(entries.skipped.iter().map(|entry| entry.key.as_str()));
    take(gateway, entries.servers, as_of, "store");
    Ok(())
}

/// Takes a whole list that was current at `as_of`.
pub fn take(gateway: &Gateway, list: Vec<BackendServer>, as_of: Instant, source: &str) {
    let change = gateway.knowledge.observe_servers(gateway.clock.now(), as_of, list);
    log_change(&change, source);
    if change != RosterChange::default() {
        gateway.servers_changed();
    }
}

fn log_change(change: &RosterChange, source: &str) {
    for (what, ids) in [
        ("server_added", &change.added),
        ("server_leaving", &change.leaving),
        ("server_changed", &change.changed),
        ("server_gone", &change.gone),
    ] {
        for id in ids {
            log::info!("event={what} server={id} source={source}");
        }
    }
}
