//! Keeps the operator's intent up to date: does what `routing::intent_watch` says is next.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Gateway, peers};
use crate::{
    adapter::{
        calls::{INTENT_KEY, INTENT_TABLE},
        intent,
        store::{StoreFault, StoreRow, StoreRows},
    },
    routing::{Confirmed, StoreVersion, WatchStep},
};

/// Keeps the intent fresh until the process ends: follows it in the store where others rely on this
/// instance, and looks there only when their news stop where it relies on others.
pub fn run(gateway: &Arc<Gateway>) {
    let knowledge = &gateway.knowledge;
    loop {
        let now = gateway.clock.now();
        tell_overdue(gateway, now);
        let role = gateway.peers.watch_role(now);
        match knowledge.with_watch(|watch| watch.next(now, &role)) {
            WatchStep::Pause(time) => thread::sleep(time),
            WatchStep::Wait(longest) => knowledge.wait_told(longest),
            WatchStep::Read => read_step(gateway, || read(gateway)),
            WatchStep::Follow { after, wait } => {
                read_step(gateway, || follow(gateway, after, wait));
            }
            WatchStep::Ask => {
                peers::catch_up(gateway);
                knowledge.with_watch(|watch| watch.asked(gateway.clock.now()));
            }
        }
    }
}

fn read_step(gateway: &Gateway, step: impl FnOnce() -> Result<(), StoreFault>) {
    let began = gateway.clock.now();
    match step() {
        Ok(()) => {
            gateway.knowledge.with_watch(|watch| watch.store_read(gateway.clock.now()));
        }
        Err(StoreFault::HistoryGone) => {
            // Whatever was missed is read whole.
            log::info!("event=history_gone table={INTENT_TABLE}");
            gateway.knowledge.with_watch(|watch| watch.history_gone());
        }
        Err(fault) => {
            let took = gateway.clock.now().saturating_duration_since(began);
            log::warn!(
                "event=intent_unread took_ms={} version={} reason={:?}",
                took.as_millis(),
                gateway.knowledge.version(),
                fault.to_string()
            );
            gateway.store_failed("intent", &fault);
            gateway.knowledge.with_watch(|watch| watch.store_failed());
        }
    }
}

fn tell_overdue(gateway: &Gateway, now: Instant) {
    let (behind, newest) =
        gateway.knowledge.with_watch(|watch| (watch.take_overdue(now), watch.newest()));
    if let Some(behind) = behind {
        log::warn!(
            "event=intent_out_of_date version={} newest={newest} for_ms={}",
            gateway.knowledge.version(),
            behind.as_millis()
        );
    }
}

/// Reads the intent whole.
///
/// # Errors
///
/// The store cannot be read.
fn read(gateway: &Gateway) -> Result<(), StoreFault> {
    let at = gateway.clock.now();
    let rows = gateway.store.rows(INTENT_TABLE)?;
    take(gateway, &rows, at);
    Ok(())
}

fn follow(gateway: &Gateway, after: StoreVersion, wait: Duration) -> Result<(), StoreFault> {
    let began = gateway.clock.now();
    let rows = gateway.store.changes(INTENT_TABLE, after, wait)?;
    // A reply without changes came when the wait was over, so nothing had changed until then.
    let unchanged = rows.rows.is_empty() && gateway.clock.now() >= began + wait;
    take(gateway, &rows, if unchanged { began + wait } else { began });
    Ok(())
}

fn take(gateway: &Gateway, rows: &StoreRows, at: Instant) {
    let confirmed = Confirmed { at, store: rows.version };
    let is_intent = |row: &&StoreRow| row.key == INTENT_KEY && !row.removed;
    match rows.rows.iter().rev().find(is_intent) {
        None => gateway.knowledge.confirm(gateway.knowledge.version(), confirmed),
        Some(row) => take_raw(gateway, &row.value, confirmed, "store"),
    }
}

/// Decodes an intent that was the newest and puts it in force if it is newer.
pub fn take_raw(gateway: &Gateway, raw: &[u8], confirmed: Confirmed, source: &str) {
    let began = gateway.clock.now();
    match intent::decode(raw) {
        Ok(decoded) => {
            let (version, routes) = (decoded.version, decoded.routes.len());
            if gateway.knowledge.offer_intent(decoded, raw.to_vec(), confirmed) {
                gateway.metrics.revision(version);
                let now = gateway.clock.now();
                log::warn!(
                    "event=intent_in_force version={version} routes={routes} source={source} \
                     bytes={} decode_ms={}",
                    raw.len(),
                    now.saturating_duration_since(began).as_millis(),
                );
            }
        }
        Err(fault) => {
            log::error!("event=intent_skipped source={source} reason={fault}");
            gateway.knowledge.with_watch(|watch| watch.seen(confirmed.store));
        }
    }
}
