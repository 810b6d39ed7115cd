//! The store's table of requests that are held back: it outlives all instances, and operators lift a verdict by
//! removing its row.

use std::{sync::Arc, thread, time::Duration};

use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::{
    adapter::{
        calls::HELD_TABLE,
        store::{Change, StoreFault, StoreRow},
    },
    configs::fleet::chunks::{decode, encode},
    routing::{HeldRow, RequestLook, TablePlan, TableWatch, blame::digest::DigestError},
    utils::sync::lock,
};

/// Pause between two looks at the table while requests are held back: 0.2 calls a second for the whole fleet, and
/// operators see soon whether a verdict is lifted.
const LOOK_PERIOD: Duration = Duration::from_secs(5);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What a row holds beside its key, the request's digest.
#[derive(Debug, Serialize, Deserialize)]
struct RowValue {
    look: RequestLook,
    until_ms: u64,
}

/// Keeps the table until the process ends, as long as this is the instance to which all turn.
pub fn run(gateway: &Arc<Gateway>) {
    let mut watch = TableWatch::new(gateway.settings.first_start);
    loop {
        gateway.suspicion.judged.wait(LOOK_PERIOD);
        let now = gateway.clock.now();
        let is_first = lock(&gateway.peers.candidates).aggregator(now).is_none();
        if gateway.drain.is_draining() || !is_first || !gateway.peers.knows_others(now) {
            continue;
        }
        if let Err(fault) = keep(gateway, &mut watch) {
            log::info!("event=held_table_unread reason={:?}", fault.to_string());
            thread::sleep(RETRY_PAUSE);
            gateway.suspicion.judged.set();
        }
    }
}

/// Brings table and verdicts in line.
fn keep(gateway: &Gateway, watch: &mut TableWatch) -> Result<(), StoreFault> {
    let suspicion = &gateway.suspicion;
    let known = suspicion.lasting(gateway.clock.now());
    if watch.is_idle(&known) {
        return Ok(());
    }
    let read = gateway.store.rows(HELD_TABLE)?;
    watch.note_era(read.version.era);
    let rows: Vec<HeldRow> = read.rows.iter().filter_map(decode_row).collect();
    let plan = watch.plan(read.now_ms, &rows, &known);
    let now = gateway.clock.now();
    suspicion.take_verdicts(now, &plan.learnt, "store");
    for digest in &plan.lifted {
        log::warn!("event=request_lifted digest={digest}");
        suspicion.lift(now, *digest);
    }
    write(gateway, &plan)?;
    watch.carried_out(&rows, &plan);
    suspicion.table_is_read();
    Ok(())
}

fn write(gateway: &Gateway, plan: &TablePlan) -> Result<(), StoreFault> {
    if plan.write.is_empty() && plan.remove.is_empty() {
        return Ok(());
    }
    let value = |row: &HeldRow| encode(&RowValue { look: row.look, until_ms: row.until_ms });
    let puts: Vec<(String, Vec<u8>)> =
        plan.write.iter().map(|row| (row.digest.to_string(), value(row))).collect();
    let gone: Vec<String> = plan.remove.iter().map(ToString::to_string).collect();
    let puts = puts.iter().map(|(key, value)| Change::Put { key, value });
    let changes: Vec<Change<'_>> =
        puts.chain(gone.iter().map(|key| Change::Remove { key })).collect();
    gateway.store.change(HELD_TABLE, &changes).map(drop)
}

fn decode_row(row: &StoreRow) -> Option<HeldRow> {
    let value = decode::<RowValue>(&row.value).map_err(|fault| fault.to_string());
    let digest = row.key.parse().map_err(|fault: DigestError| fault.to_string());
    match (digest, value) {
        (Ok(digest), Ok(RowValue { look, until_ms })) => Some(HeldRow { digest, look, until_ms }),
        (Err(fault), _) | (_, Err(fault)) => {
            log::warn!("event=row_skipped key={} reason={fault:?}", row.key);
            None
        }
    }
}
