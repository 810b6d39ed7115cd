//! Reads the operator's intent: carries out the steps that `routing::intent_watch` decides on.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Gateway, exchange, intent_relay, peers::Missing, rollout_controller, startup};
use crate::{
    adapter::{
        intent, orders,
        store::{StoreError, StoreRow, StoreRows},
        tables::{INTENT_KEY, INTENT_TABLE},
    },
    routing::{
        Confirmation, OrderChange, OrdersSnapshot, PackedChange, StoreVersion, WatchStep,
        startup::STARTUP_POLL_INTERVAL,
    },
    utils::sync::lock,
};

/// Keeps the intent up to date until the instance stops. The aggregator polls the store for changes; the other instances
/// read it only if the updates from the aggregator stop.
pub fn run(gateway: &Arc<Gateway>) {
    let cluster_state = &gateway.cluster_state;
    while gateway.is_running() {
        let now = gateway.clock.now();
        if startup::is_waiting(gateway, now) {
            thread::sleep(STARTUP_POLL_INTERVAL);
            continue;
        }
        log_overdue(gateway, now);
        gateway.refresh_orders();
        rollout_controller::spawn_if_needed(gateway);
        let role = gateway.peers.watch_role(now);
        match cluster_state.with_watch(|watch| watch.next(now, &role)) {
            WatchStep::Pause(time) => thread::sleep(time),
            // An instance that becomes the reader in the meantime polls within a period: waiting for the confirmation to
            // age would take up to half of the operator's bound, and then the next in rank would read as well.
            WatchStep::Wait(longest) => {
                cluster_state.wait_for_newer(longest.min(role.exchange_period));
            }
            WatchStep::Read => run_store_step(gateway, || read(gateway)),
            WatchStep::PollChanges { after, wait } => {
                run_store_step(gateway, || poll_changes(gateway, after, wait));
            }
            WatchStep::AskPeers => {
                let has_failed = cluster_state.with_watch(|watch| watch.has_store_failed());
                let missing = if has_failed { Missing::Intent } else { Missing::NewerIntent };
                exchange::catch_up(gateway, missing);
                cluster_state.with_watch(|watch| watch.peers_asked(gateway.clock.now(), &role));
            }
        }
    }
}

/// Runs a step that reads the store, and reports its result to the watch.
fn run_store_step(gateway: &Gateway, step: impl FnOnce() -> Result<(), StoreError>) {
    let began = gateway.clock.now();
    match step() {
        Ok(()) => {
            gateway.cluster_state.with_watch(|watch| watch.store_read(gateway.clock.now()));
        }
        Err(StoreError::HistoryExpired) => {
            // The next step reads the whole intent.
            log::info!("event=history_gone table={INTENT_TABLE}");
            gateway.cluster_state.with_watch(|watch| watch.history_expired());
        }
        Err(fault) => {
            let took = gateway.clock.now().saturating_duration_since(began);
            log::warn!(
                "event=intent_unread took_ms={} version={} reason={:?}",
                took.as_millis(),
                gateway.cluster_state.version(),
                fault.to_string()
            );
            gateway.store_failed("intent", &fault);
            gateway.cluster_state.with_watch(|watch| watch.store_failed());
        }
    }
}

/// Logs that the active intent has been outdated for longer than the bound allows.
fn log_overdue(gateway: &Gateway, now: Instant) {
    let (overdue, newest) =
        gateway.cluster_state.with_watch(|watch| (watch.take_overdue(now), watch.newest()));
    if let Some(overdue) = overdue {
        log::warn!(
            "event=intent_out_of_date version={} newest={newest} for_ms={}",
            gateway.cluster_state.version(),
            overdue.as_millis()
        );
    }
}

/// Reads the whole intent and all orders.
///
/// # Errors
///
/// The store cannot be read.
fn read(gateway: &Arc<Gateway>) -> Result<(), StoreError> {
    let at = gateway.clock.now();
    let rows = gateway.store.rows(INTENT_TABLE)?;
    let snapshot = OrdersSnapshot::from_changes(rows.version, decode_orders(gateway, &rows));
    gateway.cluster_state.offer_orders(at, snapshot);
    apply_rows(gateway, &rows, at);
    Ok(())
}

/// Reads changes of the intent and of orders once, without waiting for them.
///
/// # Errors
///
/// The store cannot be read.
pub fn read_changes(gateway: &Arc<Gateway>) -> Result<(), StoreError> {
    match gateway.cluster_state.with_watch(|watch| watch.confirmed()) {
        Some(confirmed) => poll_changes(gateway, confirmed.store, Duration::ZERO),
        None => read(gateway),
    }
}

/// Reads and applies changes of operators' orders once. The intent is left to the thread that polls it.
///
/// # Errors
///
/// The store cannot be read.
pub fn read_orders(gateway: &Gateway) -> Result<(), StoreError> {
    let Some(confirmed) = gateway.cluster_state.with_watch(|watch| watch.confirmed()) else {
        // Without an intent, this instance serves no requests yet.
        return Ok(());
    };
    let rows = gateway.store.changes(INTENT_TABLE, confirmed.store, Duration::ZERO)?;
    let changes = decode_orders(gateway, &rows);
    gateway.cluster_state.apply_order_changes(gateway.clock.now(), rows.version, changes);
    gateway.refresh_orders();
    Ok(())
}

/// Decodes the orders among rows, and logs those that are invalid.
fn decode_orders(gateway: &Gateway, rows: &StoreRows) -> Vec<OrderChange> {
    let decoded = orders::decode(&rows.rows);
    lock(&gateway.skipped_rows).log_new(INTENT_TABLE, &decoded.skipped);
    decoded.changes
}

/// Polls the store for changes of the intent and of orders after a version, for up to `wait`.
fn poll_changes(
    gateway: &Arc<Gateway>,
    after: StoreVersion,
    wait: Duration,
) -> Result<(), StoreError> {
    let began = gateway.clock.now();
    let timeout = gateway.cluster_state.with_watch(|watch| watch.poll_timeout());
    let store = gateway.store.with_stall_timeout(timeout);
    let rows = store.changes(INTENT_TABLE, after, wait)?;
    // A reply without changes arrives when the wait is over: nothing had changed until then.
    let changes = decode_orders(gateway, &rows);
    gateway.cluster_state.apply_order_changes(began, rows.version, changes);
    let unchanged = rows.rows.is_empty() && gateway.clock.now() >= began + wait;
    apply_rows(gateway, &rows, if unchanged { began + wait } else { began });
    Ok(())
}

/// Applies the intent among rows that were current at `at`, and relays it if it or operators' orders have changed.
fn apply_rows(gateway: &Arc<Gateway>, rows: &StoreRows, at: Instant) {
    let before = gateway.cluster_state.version();
    let orders_changed = gateway.refresh_orders();
    let confirmed = Confirmation { at, store: rows.version };
    let is_intent = |row: &&StoreRow| row.key == INTENT_KEY && !row.removed;
    let mut intents = rows.rows.iter().rev().filter(is_intent).peekable();
    if intents.peek().is_none() {
        gateway.cluster_state.confirm(gateway.cluster_state.version(), confirmed);
    }
    // Where the newest intent cannot be decoded, the one before it is the newest that can be in force.
    let is_newer = intents.find_map(|row| apply_row(gateway, row, confirmed)).unwrap_or(false);
    // At their start all instances read the intent, and there is nothing to relay.
    if before > 0 && (orders_changed || is_newer) {
        intent_relay::publish(gateway);
    }
}

/// Decodes an intent, and activates it if it is newer than the active one; returns whether it is, or `None` if it cannot
/// be decoded.
fn apply_row(gateway: &Arc<Gateway>, row: &StoreRow, confirmed: Confirmation) -> Option<bool> {
    let began = gateway.clock.now();
    match intent::decode(&row.value) {
        Ok(decoded) => {
            gateway.register_shares(&decoded);
            let before = gateway.cluster_state.intent();
            let is_newer = gateway.cluster_state.offer_intent(decoded, confirmed);
            if is_newer {
                gateway.note_intent(before.as_deref());
                log_activation(gateway, "store", row.value.len(), began);
            }
            Some(is_newer)
        }
        Err(fault) => {
            log::error!("event=intent_skipped source=store version={} reason={fault}", row.version);
            gateway.cluster_state.with_watch(|watch| watch.note_store_version(confirmed.store));
            None
        }
    }
}

/// Applies changes of the intent received from another instance.
pub fn apply_changes(gateway: &Gateway, changes: &[Arc<PackedChange>]) {
    if changes.is_empty() {
        return;
    }
    let began = gateway.clock.now();
    let before = gateway.cluster_state.intent();
    match gateway.cluster_state.offer_changes(changes) {
        Ok(true) => {
            gateway.note_intent(before.as_deref());
            let bytes = changes.iter().map(|change| change.len()).sum();
            log_activation(gateway, "peer", bytes, began);
        }
        Ok(false) => {}
        Err(fault) => log::info!("event=intent_skipped source=peer reason={:?}", fault.to_string()),
    }
}

fn log_activation(gateway: &Gateway, source: &str, bytes: usize, began: Instant) {
    let Some(intent) = gateway.cluster_state.intent() else { return };
    gateway.metrics.revision(intent.version);
    let took = gateway.clock.now().saturating_duration_since(began);
    log::warn!(
        "event=intent_in_force version={} routes={} source={source} bytes={bytes} decode_ms={}",
        intent.version,
        intent.routes.len(),
        took.as_millis(),
    );
}
