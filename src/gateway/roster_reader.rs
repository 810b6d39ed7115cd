//! Reads the list of backend servers, at a pace.

use std::{sync::Arc, thread, time::Instant};

use super::{Gateway, intent_reader, peers};
use crate::{
    adapter::{
        calls::SERVER_TABLE,
        servers,
        store::{StoreFault, StoreRow},
    },
    routing::roster::RosterChange,
};

/// Reads the list until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    let period = gateway.settings.roster_period();
    let mut lost = false;
    loop {
        let began = gateway.clock.now();
        match read(gateway) {
            Ok(()) => {
                if lost {
                    lost = false;
                    log::warn!("event=store_back");
                    // The call that waits for changes may hang on a connection that died.
                    if let Err(fault) = intent_reader::read(gateway) {
                        log::warn!("event=intent_unread reason={:?}", fault.to_string());
                    }
                }
            }
            Err(fault) => {
                lost = true;
                gateway.store_failed("servers", &fault);
                peers::catch_up(gateway);
            }
        }
        let took = gateway.clock.now().saturating_duration_since(began);
        thread::sleep(period.saturating_sub(took).max(period / 4));
    }
}

/// Reads the list once.
///
/// # Errors
///
/// The store cannot be read.
pub fn read(gateway: &Gateway) -> Result<(), StoreFault> {
    let as_of = gateway.clock.now();
    let rows = gateway.store.rows(SERVER_TABLE)?;
    gateway.store_answered(as_of);
    take(gateway, &rows.rows, as_of, "store");
    Ok(())
}

/// Takes a whole list of entries that was current at `as_of`.
pub fn take(gateway: &Gateway, rows: &[StoreRow], as_of: Instant, source: &str) {
    let list = servers::decode_all(rows);
    let raw = rows.iter().map(|row| (row.key.clone(), row.value.clone())).collect();
    let now = gateway.clock.now();
    let change = gateway.knowledge.observe_servers(now, as_of, list, raw);
    log_change(&change, source);
    if change != RosterChange::default() {
        gateway.servers_changed();
    }
}

fn log_change(change: &RosterChange, source: &str) {
    for (what, ids) in [
        ("server_added", &change.added),
        ("server_leaving", &change.leaving),
        ("server_gone", &change.gone),
    ] {
        for id in ids {
            log::info!("event={what} server={id} source={source}");
        }
    }
}
