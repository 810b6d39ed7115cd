//! Follows the operator's intent in the store.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Gateway, peers};
use crate::adapter::{
    calls::{INTENT_KEY, INTENT_TABLE},
    intent,
    store::{StoreFault, StoreRow},
};

/// Longest wait of one call for changes. Longer waits cost fewer calls; a connection that goes
/// silent is noticed by the reads of the servers' list before that.
const WAIT: Duration = Duration::from_secs(8);

/// Least pause between two calls: a storm of changes costs a few calls a second, and a change is
/// in force well within the operator's two seconds.
const PACE: Duration = Duration::from_millis(200);

/// Pause after a failed call.
const PAUSE_FAILED: Duration = Duration::from_millis(400);

/// Keeps the intent fresh until the process ends: follows it in the store where others rely on
/// this instance, and reads it only when their news stop where it relies on others.
pub fn run(gateway: &Arc<Gateway>) {
    let mut after = None;
    loop {
        let now = gateway.clock.now();
        if let Some(pause) = pause_for_news(gateway, now) {
            after = None;
            thread::sleep(pause);
            continue;
        }
        let step = match after {
            Some(version) if gateway.peers.is_reader(now) => follow(gateway, version),
            _ => read(gateway),
        };
        match step {
            Ok(version) => {
                after = Some(version);
                thread::sleep(PACE);
            }
            Err(fault) => {
                // Whatever was missed is read whole.
                after = None;
                if matches!(fault, StoreFault::HistoryGone) {
                    log::info!("event=history_gone table={INTENT_TABLE}");
                    continue;
                }
                gateway.store_failed("intent", &fault);
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
    let left = gateway.settings.intent_age_max().checked_sub(gateway.intent_known_age(now)?)?;
    (!left.is_zero()).then_some(left)
}

/// Reads the intent once; a failure is logged.
pub fn read_logged(gateway: &Gateway) {
    if let Err(fault) = read(gateway) {
        log::warn!("event=intent_unread reason={:?}", fault.to_string());
    }
}

/// Reads the intent once; returns the store's version.
///
/// # Errors
///
/// The store cannot be read.
pub fn read(gateway: &Gateway) -> Result<u64, StoreFault> {
    let as_of = gateway.clock.now();
    let rows = gateway.store.rows(INTENT_TABLE)?;
    take(gateway, &rows.rows, as_of);
    Ok(rows.version)
}

fn follow(gateway: &Gateway, version: u64) -> Result<u64, StoreFault> {
    let rows = gateway.store.changes(INTENT_TABLE, version, WAIT)?;
    take(gateway, &rows.rows, gateway.clock.now());
    Ok(rows.version.max(version))
}

fn take(gateway: &Gateway, rows: &[StoreRow], as_of: Instant) {
    let newest = rows.iter().rev().find(|row| row.key == INTENT_KEY && !row.removed);
    match newest {
        None => gateway.knowledge.confirm(as_of),
        Some(row) => take_raw(gateway, &row.value, as_of, "store"),
    }
}

/// Decodes an intent that was the newest at `as_of` and puts it in force if it is newer.
pub fn take_raw(gateway: &Gateway, raw: &[u8], as_of: Instant, source: &str) {
    let began = gateway.clock.now();
    match intent::decode(raw) {
        Ok(decoded) => {
            let (version, routes) = (decoded.version, decoded.routes.len());
            if gateway.knowledge.offer_intent(decoded, raw.to_vec(), as_of) {
                gateway.metrics.revision(version);
                let now = gateway.clock.now();
                log::warn!(
                    "event=intent_in_force version={version} routes={routes} source={source} \
                     bytes={} read_ms={} decode_ms={}",
                    raw.len(),
                    began.saturating_duration_since(as_of).as_millis(),
                    now.saturating_duration_since(began).as_millis(),
                );
            }
        }
        Err(fault) => log::error!("event=intent_skipped source={source} reason={fault}"),
    }
}
