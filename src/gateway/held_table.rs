//! The store's table of held requests. It outlives all instances, and operators lift a verdict by removing its row.

use std::{sync::Arc, thread, time::Duration};

use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::{
    adapter::{
        store::{CHANGES_MAX, Change, StoreError, StoreRow},
        tables::HELD_TABLE,
    },
    configs::fleet::chunks::{decode, encode},
    routing::{
        HeldRow, HeldTablePlan, HeldTableSync, RequestFingerprint, SuspectKind,
        crash_suspects::digest::DigestError,
    },
    utils::sync::lock,
};

/// Interval between two reads of the table while requests are held: 0.2 calls per second for the whole fleet, and
/// operators soon see that a verdict is lifted.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before the table is read again after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Value of a row. Its key is the digest of the request or part.
#[derive(Debug, Serialize, Deserialize)]
struct RowValue {
    fingerprint: RequestFingerprint,
    until_ms: u64,
    #[serde(default)]
    kind: SuspectKind,
}

/// Keeps table and verdicts in sync until the instance stops, whenever this instance is the aggregator.
pub fn run(gateway: &Arc<Gateway>) {
    let mut sync = HeldTableSync::new(gateway.settings.first_start);
    while gateway.is_running() {
        gateway.crash_suspects.verdicts_changed.wait(POLL_INTERVAL);
        let now = gateway.clock.now();
        let is_aggregator = lock(&gateway.peers.candidates).aggregator(now).is_none();
        if gateway.drain.is_draining() || !is_aggregator || !gateway.peers.has_joined(now) {
            continue;
        }
        if let Err(fault) = reconcile(gateway, &mut sync) {
            log::info!("event=held_table_unread reason={:?}", fault.to_string());
            thread::sleep(RETRY_DELAY);
            gateway.crash_suspects.verdicts_changed.set();
        }
    }
}

/// Makes table and verdicts agree.
fn reconcile(gateway: &Gateway, sync: &mut HeldTableSync) -> Result<(), StoreError> {
    let crash_suspects = &gateway.crash_suspects;
    let known = crash_suspects.verdict_updates(gateway.clock.now());
    if sync.is_idle(&known) {
        return Ok(());
    }
    let read = gateway.store.rows(HELD_TABLE)?;
    sync.note_era(read.version.era);
    let rows = gateway.decode_rows(HELD_TABLE, &read.rows, decode_row);
    let plan = sync.plan(read.now_ms, &rows, &known);
    let now = gateway.clock.now();
    crash_suspects.apply_verdicts(now, &plan.adopted, "store");
    for digest in &plan.lifted {
        log::warn!("event=request_lifted digest={digest}");
        crash_suspects.lift(now, *digest);
    }
    write(gateway, &plan)?;
    sync.mark_applied(&rows, &plan);
    crash_suspects.note_table_read();
    Ok(())
}

fn write(gateway: &Gateway, plan: &HeldTablePlan) -> Result<(), StoreError> {
    if plan.write.is_empty() && plan.remove.is_empty() {
        return Ok(());
    }
    let value = |row: &HeldRow| {
        let HeldRow { fingerprint, until_ms, kind, .. } = *row;
        encode(&RowValue { fingerprint, until_ms, kind })
    };
    let puts: Vec<(String, Vec<u8>)> =
        plan.write.iter().map(|row| (row.digest.to_string(), value(row))).collect();
    let removed: Vec<String> = plan.remove.iter().map(ToString::to_string).collect();
    let puts = puts.iter().map(|(key, value)| Change::Put { key, value });
    let changes: Vec<Change<'_>> =
        puts.chain(removed.iter().map(|key| Change::Remove { key })).collect();
    // Each row stands for itself, so that they need not be written together.
    changes
        .chunks(CHANGES_MAX)
        .try_for_each(|changes| gateway.store.change(HELD_TABLE, changes).map(drop))
}

/// Why a row is not a held request.
#[derive(Debug, thiserror::Error)]
enum RowError {
    #[error("invalid key: {0}; remove the row")]
    Key(#[from] DigestError),
    #[error("invalid value: {0}; remove the row")]
    Value(#[from] rmp_serde::decode::Error),
}

fn decode_row(row: &StoreRow) -> Result<HeldRow, RowError> {
    let RowValue { fingerprint, until_ms, kind } = decode(&row.value)?;
    Ok(HeldRow { digest: row.key.parse()?, fingerprint, until_ms, kind })
}
