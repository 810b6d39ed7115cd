//! The instances' own rows in the platform's store, by which they find each other.

use std::{sync::Arc, thread, time::Duration};

use super::Gateway;
use crate::{
    adapter::{
        calls::INSTANCE_TABLE,
        store::{Change, StoreFault},
    },
    configs::fleet::chunks::{decode, encode},
    names::NodeName,
    routing::InstanceInfo,
    utils::sync::lock,
};

/// Pause between two reads of the instances' table by the one that the others turn to.
const TABLE_PERIOD: Duration = Duration::from_secs(10);

/// First pause, while instances that start together write their rows.
const TABLE_FIRST: Duration = Duration::from_secs(3);

/// Time without a sign of an instance after which its row is removed.
const ROW_LEFT_BEHIND: Duration = Duration::from_secs(60);

/// Keeps the instances' table until the process ends: every instance writes its row once; the one
/// that the others turn to reads the table now and then and removes rows left behind.
pub fn run(gateway: &Arc<Gateway>) {
    while let Err(fault) = join(gateway) {
        log::info!("event=instances_unread reason={:?}", fault.to_string());
        thread::sleep(TABLE_FIRST);
    }
    let began = gateway.clock.now();
    let mut pause = TABLE_FIRST;
    loop {
        thread::sleep(pause);
        pause = TABLE_PERIOD;
        let now = gateway.clock.now();
        if gateway.drain.is_draining() || lock(&gateway.peers.candidates).first(now).is_some() {
            continue;
        }
        if let Err(fault) = tidy(gateway, now.saturating_duration_since(began) > ROW_LEFT_BEHIND) {
            log::info!("event=instances_unread reason={:?}", fault.to_string());
        }
    }
}

fn join(gateway: &Gateway) -> Result<(), StoreFault> {
    let own = lock(&gateway.peers.candidates).own().clone();
    let change = Change::Put { key: own.node.as_str(), value: &encode(&own) };
    gateway.store.change(INSTANCE_TABLE, &[change])?;
    read_table(gateway)
}

fn read_table(gateway: &Gateway) -> Result<(), StoreFault> {
    let rows = gateway.store.rows(INSTANCE_TABLE)?;
    let mut candidates = lock(&gateway.peers.candidates);
    for row in rows.rows {
        match decode::<InstanceInfo>(&row.value) {
            Ok(instance) => candidates.add(instance),
            Err(fault) => log::warn!("event=row_skipped key={} reason={fault:?}", row.key),
        }
    }
    drop(candidates);
    gateway.instances_changed();
    Ok(())
}

fn tidy(gateway: &Gateway, remove: bool) -> Result<(), StoreFault> {
    read_table(gateway)?;
    if !remove {
        return Ok(());
    }
    let now = gateway.clock.now();
    let (stay, gone): (Vec<InstanceInfo>, Vec<InstanceInfo>) = {
        let aggregate = lock(&gateway.peers.aggregate);
        let candidates = lock(&gateway.peers.candidates);
        let lives = |i: &InstanceInfo| i == candidates.own() || aggregate.hears(now, &i.node);
        candidates.all().iter().cloned().partition(lives)
    };
    if gone.is_empty() {
        return Ok(());
    }
    let changes: Vec<Change<'_>> =
        gone.iter().map(|i| Change::Remove { key: i.node.as_str() }).collect();
    gateway.store.change(INSTANCE_TABLE, &changes)?;
    lock(&gateway.peers.candidates).set(stay);
    Ok(())
}

/// Removes the instance's own row; best effort, since a row left behind is removed by another.
pub fn leave(gateway: &Gateway) {
    let node: &NodeName = &gateway.settings.node;
    if let Err(fault) =
        gateway.store.change(INSTANCE_TABLE, &[Change::Remove { key: node.as_str() }])
    {
        log::info!("event=own_row_left reason={:?}", fault.to_string());
    }
}
