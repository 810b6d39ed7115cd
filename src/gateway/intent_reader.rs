//! Keeps the operator's intent up to date: does what `routing::intent_watch` says is next.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Gateway, peers, rollout_controller, spread, start};
use crate::{
    adapter::{
        calls::{INTENT_KEY, INTENT_TABLE},
        intent, orders,
        store::{StoreFault, StoreRow, StoreRows},
    },
    routing::{
        Confirmation, OrdersSnapshot, PackedChange, StoreVersion, WatchStep,
        startup::STARTUP_POLL_INTERVAL,
    },
};

/// Keeps the intent fresh until the process ends: follows it in the store where others rely on this
/// instance, and looks there only when their news stop where it relies on others.
pub fn run(gateway: &Arc<Gateway>) {
    let knowledge = &gateway.knowledge;
    loop {
        let now = gateway.clock.now();
        if start::waits(gateway, now) {
            thread::sleep(STARTUP_POLL_INTERVAL);
            continue;
        }
        tell_overdue(gateway, now);
        gateway.refresh_orders();
        rollout_controller::spawn_if_needed(gateway);
        let role = gateway.peers.watch_role(now);
        match knowledge.with_watch(|watch| watch.next(now, &role)) {
            WatchStep::Pause(time) => thread::sleep(time),
            WatchStep::Wait(longest) => knowledge.wait_told(longest),
            WatchStep::Read => read_step(gateway, || read(gateway)),
            WatchStep::PollChanges { after, wait } => {
                read_step(gateway, || follow(gateway, after, wait));
            }
            WatchStep::AskPeers => {
                peers::catch_up(gateway);
                knowledge.with_watch(|watch| watch.peers_asked(gateway.clock.now(), &role));
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
            gateway.knowledge.with_watch(|watch| watch.history_expired());
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
fn read(gateway: &Arc<Gateway>) -> Result<(), StoreFault> {
    let at = gateway.clock.now();
    let rows = gateway.store.rows(INTENT_TABLE)?;
    let told = OrdersSnapshot::from_changes(rows.version, orders::decode(&rows.rows));
    gateway.knowledge.offer_orders(at, told);
    take(gateway, &rows, at);
    Ok(())
}

/// Looks once whether there is a newer intent, and takes it.
///
/// # Errors
///
/// The store cannot be read.
pub fn look(gateway: &Arc<Gateway>) -> Result<(), StoreFault> {
    match gateway.knowledge.with_watch(|watch| watch.confirmed()) {
        Some(confirmed) => follow(gateway, confirmed.store, Duration::ZERO),
        None => read(gateway),
    }
}

/// Looks once for operators' orders, and puts them in force; the intent is left to the thread that follows it.
///
/// # Errors
///
/// The store cannot be read.
pub fn look_at_orders(gateway: &Gateway) -> Result<(), StoreFault> {
    let Some(confirmed) = gateway.knowledge.with_watch(|watch| watch.confirmed()) else {
        // One that knows nothing yet serves nobody.
        return Ok(());
    };
    let rows = gateway.store.changes(INTENT_TABLE, confirmed.store, Duration::ZERO)?;
    let changes = orders::decode(&rows.rows);
    gateway.knowledge.follow_orders(gateway.clock.now(), rows.version, changes);
    gateway.refresh_orders();
    Ok(())
}

fn follow(gateway: &Arc<Gateway>, after: StoreVersion, wait: Duration) -> Result<(), StoreFault> {
    let began = gateway.clock.now();
    let rows = gateway.store.changes(INTENT_TABLE, after, wait)?;
    // A reply without changes came when the wait was over, so nothing had changed until then.
    let changes = orders::decode(&rows.rows);
    gateway.knowledge.follow_orders(began, rows.version, changes);
    let unchanged = rows.rows.is_empty() && gateway.clock.now() >= began + wait;
    take(gateway, &rows, if unchanged { began + wait } else { began });
    Ok(())
}

/// Takes the intent among rows that were current at `at`, and hands on what is new of it and of operators' orders.
fn take(gateway: &Arc<Gateway>, rows: &StoreRows, at: Instant) {
    let before = gateway.knowledge.version();
    let orders_changed = gateway.refresh_orders();
    let confirmed = Confirmation { at, store: rows.version };
    let is_intent = |row: &&StoreRow| row.key == INTENT_KEY && !row.removed;
    let is_newer = match rows.rows.iter().rev().find(is_intent) {
        None => {
            gateway.knowledge.confirm(gateway.knowledge.version(), confirmed);
            false
        }
        Some(row) => take_row(gateway, row, confirmed),
    };
    // At a start all instances read; there is nothing to tell.
    if before > 0 && (orders_changed || is_newer) {
        spread::publish(gateway);
    }
}

/// Decodes an intent that was the newest; returns whether it is newer than the one in force, which it then replaces.
fn take_row(gateway: &Arc<Gateway>, row: &StoreRow, confirmed: Confirmation) -> bool {
    let began = gateway.clock.now();
    match intent::decode(&row.value) {
        Ok(decoded) => {
            let is_newer = gateway.knowledge.offer_intent(decoded, confirmed);
            if is_newer {
                log_in_force(gateway, "store", row.value.len(), began);
            }
            is_newer
        }
        Err(fault) => {
            log::error!("event=intent_skipped source=store reason={fault}");
            gateway.knowledge.with_watch(|watch| watch.note_store_version(confirmed.store));
            false
        }
    }
}

/// Puts changes that another instance tells in force.
pub fn take_changes(gateway: &Gateway, changes: &[Arc<PackedChange>]) {
    if changes.is_empty() {
        return;
    }
    let began = gateway.clock.now();
    match gateway.knowledge.offer_changes(changes) {
        Ok(true) => {
            let bytes = changes.iter().map(|change| change.len()).sum();
            log_in_force(gateway, "peer", bytes, began);
        }
        Ok(false) => {}
        Err(fault) => log::info!("event=intent_skipped source=peer reason={:?}", fault.to_string()),
    }
}

fn log_in_force(gateway: &Gateway, source: &str, bytes: usize, began: Instant) {
    let Some(intent) = gateway.knowledge.intent() else { return };
    gateway.metrics.revision(intent.version);
    let took = gateway.clock.now().saturating_duration_since(began);
    log::warn!(
        "event=intent_in_force version={} routes={} source={source} bytes={bytes} decode_ms={}",
        intent.version,
        intent.routes.len(),
        took.as_millis(),
    );
}
