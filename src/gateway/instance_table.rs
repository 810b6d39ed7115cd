//! The table of instances in the platform's store, by which they discover each other.

use std::{cmp::Reverse, sync::Arc, thread, time::Duration};

use indexmap::IndexMap;

use super::{Gateway, exchange};
use crate::{
    adapter::{
        store::{Change, StoreError, StoreRow},
        tables::INSTANCE_TABLE,
    },
    configs::fleet::chunks::{decode, encode},
    names::NodeName,
    routing::{InstanceInfo, StoreEra, StoreVersion, startup::STARTUP_POLL_INTERVAL},
    utils::sync::lock,
};

/// Time between two reads of the table by the aggregator.
const TABLE_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Time before the first periodic read, while instances that start together write their rows. Also the time between
/// attempts to write the row or to read the table.
const STARTUP_INTERVAL: Duration = Duration::from_secs(3);

/// Time over which instances that start together spread their writes. A partition of the store accepts 200 writes a
/// second: 400 instances write within this time, before the table is read again.
const ANNOUNCE_JITTER: Duration = Duration::from_secs(2);

/// Time that every instance waits before it reads the table. Earlier, it has only some of the rows of instances
/// that start together, and the reader would take the wrong one for the aggregator.
const ANNOUNCE_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Further time in which the seeds read the table, before the other instances query them.
const SEEDS_HEAD_START: Duration = Duration::from_millis(200);

/// Time after the start for which an instance queries the seeds, before it reads the table itself.
const SEED_QUERY_TIMEOUT: Duration = Duration::from_millis(1400);

/// Largest number of rows that are written or removed in one transaction of the store.
const CHANGES_MAX: usize = 100;

/// Maintains the table until the instance stops. Every instance writes its row once and discovers the others; the
/// aggregator reads the table periodically, removes rows of instances that have stopped, and writes missing ones.
pub fn run(gateway: &Arc<Gateway>) {
    let Some(mut era) = join(gateway) else { return };
    let mut delay = STARTUP_INTERVAL;
    loop {
        thread::sleep(delay);
        if !gateway.is_running() {
            return;
        }
        // Random, so that instances that started together do not read the table together.
        delay = TABLE_READ_INTERVAL.mul_f64(1.0 - 0.5 * fastrand::f64());
        let confirmed = gateway.cluster_state.with_watch(|watch| watch.confirmed());
        if confirmed.is_some_and(|confirmed| confirmed.store.era > era)
            && !gateway.drain.is_draining()
        {
            // The store was restored from a copy, which may lack the row.
            let Some(announced) = announce_until_done(gateway) else { return };
            era = announced;
        }
        let now = gateway.clock.now();
        if gateway.drain.is_draining() || lock(&gateway.peers.candidates).aggregator(now).is_some()
        {
            continue;
        }
        if let Err(fault) = maintain_table(gateway) {
            log::info!("event=instances_unread reason={:?}", fault.to_string());
        }
    }
}

/// Discovers the other instances and writes the row of this one; returns the era of the store that has it, or
/// `None` if the instance stops first.
///
/// Seeds write first. The other instances need no row to be discovered, since a seed learns of those that query it;
/// they write after that, spread over time. When 296 instances wrote at once, a partition of the table that accepts 200
/// writes a second rejected about 100. Those instances knew no others for 3 s, and each read the whole list of servers
/// itself.
fn join(gateway: &Gateway) -> Option<StoreEra> {
    if is_seed_or_alone(gateway) {
        let era = announce_until_done(gateway);
        discover_instances(gateway);
        gateway.peers.note_joined();
        return era;
    }
    discover_instances(gateway);
    gateway.peers.note_joined();
    thread::sleep(ANNOUNCE_JITTER.mul_f64(fastrand::f64()));
    announce_until_done(gateway)
}

/// Returns whether this instance is one of the seeds, or there are none.
fn is_seed_or_alone(gateway: &Gateway) -> bool {
    let seeds = &gateway.settings.seeds;
    seeds.is_empty() || gateway.peers.is_seed(seeds)
}

/// Writes the row of this instance, until that succeeds; returns the era of the store that has it, or `None` if the
/// instance stops first.
fn announce_until_done(gateway: &Gateway) -> Option<StoreEra> {
    while gateway.is_running() {
        match announce(gateway) {
            Ok(version) => return Some(version.era),
            Err(fault) => log::info!("event=instance_unwritten reason={:?}", fault.to_string()),
        }
        thread::sleep(STARTUP_INTERVAL.mul_f64(0.5 + 0.5 * fastrand::f64()));
    }
    None
}

fn announce(gateway: &Gateway) -> Result<StoreVersion, StoreError> {
    let own = lock(&gateway.peers.candidates).own().clone();
    let change = Change::Put { key: own.node.as_str(), value: &encode(&own) };
    gateway.store.change(INSTANCE_TABLE, &[change])
}

/// Discovers the other instances: from a seed, which reads the table, or else from the table itself.
fn discover_instances(gateway: &Gateway) {
    let until = gateway.clock.now() + SEED_QUERY_TIMEOUT;
    let knows_others = || gateway.peers.instances() > 1;
    // An instance that restarts alone discovers all others from the first seed.
    let discovered = !gateway.settings.first_start && exchange::query_seeds(gateway, knows_others);
    thread::sleep(ANNOUNCE_SETTLE_TIME);
    if !is_seed_or_alone(gateway) {
        thread::sleep(SEEDS_HEAD_START);
    }
    while !is_seed_or_alone(gateway) && gateway.clock.now() < until {
        if exchange::query_seeds(gateway, knows_others) {
            return;
        }
        thread::sleep(STARTUP_POLL_INTERVAL);
    }
    if discovered {
        return;
    }
    while let Err(fault) = read_table(gateway) {
        log::info!("event=instances_unread reason={:?}", fault.to_string());
        thread::sleep(STARTUP_INTERVAL);
    }
}

/// Why a row names no instance.
#[derive(Debug, thiserror::Error)]
enum RowError {
    #[error("{0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("it is the row of {0}; the key must be the name of the instance")]
    Key(NodeName),
    #[error("address: port 0; state the port at which the instance listens")]
    Port,
}

fn decode_row(row: &StoreRow) -> Result<InstanceInfo, RowError> {
    let instance: InstanceInfo = decode(&row.value)?;
    if instance.node.as_str() != row.key {
        return Err(RowError::Key(instance.node));
    }
    if instance.address.port() == 0 {
        return Err(RowError::Port);
    }
    Ok(instance)
}

/// Reads the table, and adds its instances to the known ones; returns them.
fn read_table(gateway: &Gateway) -> Result<Vec<InstanceInfo>, StoreError> {
    let mut rows = gateway.store.rows(INSTANCE_TABLE)?.rows;
    rows.sort_by_key(|row| Reverse(row.version));
    let listed = gateway.decode_rows(INSTANCE_TABLE, &rows, decode_row);
    lock(&gateway.peers.candidates).add_all(listed.clone());
    gateway.instances_changed();
    Ok(listed)
}

/// Reads the table, removes the rows of instances that have stopped or run under another name, and writes those of
/// running instances that it lacks.
fn maintain_table(gateway: &Gateway) -> Result<(), StoreError> {
    let listed = read_table(gateway)?;
    let now = gateway.clock.now();
    let (stopped, unlisted) = {
        let aggregate = lock(&gateway.peers.aggregate);
        let candidates = lock(&gateway.peers.candidates);
        let has_stopped =
            |i: &&InstanceInfo| i != &candidates.own() && aggregate.has_stopped(now, &i.node);
        let rows: IndexMap<&NodeName, &InstanceInfo> =
            listed.iter().map(|i| (&i.node, i)).collect();
        let has_row = |i: &InstanceInfo| rows.get(&i.node).is_some_and(|row| *row == i);
        let is_unlisted = |i: &&InstanceInfo| aggregate.is_running(now, &i.node) && !has_row(i);
        // A row is of an instance that was renamed, or of none, where one of another name is running.
        let is_displaced = |row: &&InstanceInfo| {
            let other = candidates.other_at(row);
            other.is_some_and(|i| i == candidates.own() || aggregate.is_running(now, &i.node))
        };
        let displaced = listed.iter().filter(is_displaced);
        let stopped: Vec<InstanceInfo> =
            candidates.all().iter().filter(has_stopped).chain(displaced).cloned().collect();
        let unlisted: Vec<InstanceInfo> =
            candidates.all().iter().filter(is_unlisted).cloned().collect();
        (stopped, unlisted)
    };
    remove_instances(gateway, &stopped)?;
    write_rows(gateway, &unlisted)
}

/// Removes the rows of instances that have stopped, and forgets these.
fn remove_instances(gateway: &Gateway, stopped: &[InstanceInfo]) -> Result<(), StoreError> {
    for some in stopped.chunks(CHANGES_MAX) {
        let changes: Vec<Change<'_>> =
            some.iter().map(|i| Change::Remove { key: i.node.as_str() }).collect();
        gateway.store.change(INSTANCE_TABLE, &changes)?;
        log::info!("event=instances_removed count={}", some.len());
        lock(&gateway.peers.candidates).remove_all(some);
    }
    Ok(())
}

/// Writes rows of instances that report to this one, but that the table lacks: they may have been removed while these
/// instances were partitioned.
fn write_rows(gateway: &Gateway, unlisted: &[InstanceInfo]) -> Result<(), StoreError> {
    for some in unlisted.chunks(CHANGES_MAX) {
        let values: Vec<Vec<u8>> = some.iter().map(encode).collect();
        let rows = some.iter().zip(&values);
        let changes: Vec<Change<'_>> =
            rows.map(|(i, value)| Change::Put { key: i.node.as_str(), value }).collect();
        gateway.store.change(INSTANCE_TABLE, &changes)?;
        log::info!("event=instances_written count={}", some.len());
    }
    Ok(())
}
