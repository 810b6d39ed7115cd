//! The instances' own rows in the platform's store, by which they find each other.

use std::{sync::Arc, thread, time::Duration};

use super::{Gateway, peers};
use crate::{
    adapter::{
        calls::INSTANCE_TABLE,
        store::{Change, StoreFault, StoreRow},
    },
    configs::fleet::chunks::{decode, encode},
    routing::{InstanceInfo, StoreEra, StoreVersion, startup::STARTUP_POLL_INTERVAL},
    utils::sync::lock,
};

/// Pause between two reads of the instances' table by the one that the others turn to.
const TABLE_PERIOD: Duration = Duration::from_secs(10);

/// First pause, while instances that start together write their rows.
const TABLE_FIRST: Duration = Duration::from_secs(3);

/// Time over which instances that start together write their rows: 400 of them in what a part of the store takes
/// (200 a second), and before the table is read again.
const ANNOUNCE_SPREAD: Duration = Duration::from_secs(2);

/// Time in which instances that start together have written their rows, and in which nobody reads the table: who
/// reads it earlier finds some, and takes the wrong one for the first of all.
const SETTLED: Duration = Duration::from_millis(500);

/// Time after that in which those that the settings name have read the table, and can tell the others.
const SEEDS_FIRST: Duration = Duration::from_millis(200);

/// Time after its start within which an instance asks them, before it reads the table itself.
const TOLD_WITHIN: Duration = Duration::from_millis(1400);

/// Time without a sign of an instance after which its row is removed.
const ROW_LEFT_BEHIND: Duration = Duration::from_secs(60);

/// Keeps the instances' table until the process ends: every instance writes its row once and learns of the others;
/// the one that the others turn to reads the table now and then and removes rows left behind.
pub fn run(gateway: &Arc<Gateway>) {
    let mut era = join(gateway);
    let began = gateway.clock.now();
    let mut pause = TABLE_FIRST;
    loop {
        thread::sleep(pause);
        // Drawn, so that instances that started together do not call together.
        pause = TABLE_PERIOD.mul_f64(1.0 - 0.5 * fastrand::f64());
        let known = gateway.knowledge.with_watch(|watch| watch.confirmed());
        if known.is_some_and(|known| known.store.era > era) && !gateway.drain.is_draining() {
            // The store has come back from a copy, which may lack the row.
            era = announce_until_done(gateway);
        }
        let now = gateway.clock.now();
        if gateway.drain.is_draining() || lock(&gateway.peers.candidates).aggregator(now).is_some()
        {
            continue;
        }
        if let Err(fault) = tidy(gateway, now.saturating_duration_since(began) > ROW_LEFT_BEHIND) {
            log::info!("event=instances_unread reason={:?}", fault.to_string());
        }
    }
}

/// Learns of the other instances and writes the own row; returns the era of the store that has it.
///
/// The ones that all ask write first. The others need no row to be known, since whoever is asked knows who asks; they
/// write when they have been told: with 296 rows at once a part of the table that takes 200 writes a second refused
/// some 100, whose instances knew nobody for 3 s, and each read the whole list of servers for itself meanwhile.
fn join(gateway: &Gateway) -> StoreEra {
    if is_asked(gateway) {
        let era = announce_until_done(gateway);
        learn(gateway);
        gateway.peers.note_joined();
        return era;
    }
    learn(gateway);
    gateway.peers.note_joined();
    thread::sleep(ANNOUNCE_SPREAD.mul_f64(fastrand::f64()));
    announce_until_done(gateway)
}

/// Returns whether others ask this instance, or it has nobody to ask.
fn is_asked(gateway: &Gateway) -> bool {
    let seeds = &gateway.settings.seeds;
    seeds.is_empty() || gateway.peers.is_seed(seeds)
}

/// Writes the instance's own row; returns the era of the store that has it.
fn announce_until_done(gateway: &Gateway) -> StoreEra {
    loop {
        match announce(gateway) {
            Ok(version) => return version.era,
            Err(fault) => log::info!("event=instance_unwritten reason={:?}", fault.to_string()),
        }
        thread::sleep(TABLE_FIRST.mul_f64(0.5 + 0.5 * fastrand::f64()));
    }
}

fn announce(gateway: &Gateway) -> Result<StoreVersion, StoreFault> {
    let own = lock(&gateway.peers.candidates).own().clone();
    let change = Change::Put { key: own.node.as_str(), value: &encode(&own) };
    gateway.store.change(INSTANCE_TABLE, &[change])
}

/// Learns of the other instances: from one that the settings name, which learns from the table, or else from the
/// table.
fn learn(gateway: &Gateway) {
    let until = gateway.clock.now() + TOLD_WITHIN;
    let knows_others = || gateway.peers.instances() > 1;
    // One that alone starts again is told of all at once.
    let told = !gateway.settings.first_start && peers::ask_seed(gateway, knows_others);
    thread::sleep(SETTLED);
    if !is_asked(gateway) {
        thread::sleep(SEEDS_FIRST);
    }
    while !is_asked(gateway) && gateway.clock.now() < until {
        if peers::ask_seed(gateway, knows_others) {
            return;
        }
        thread::sleep(STARTUP_POLL_INTERVAL);
    }
    if told {
        return;
    }
    while let Err(fault) = read_table(gateway) {
        log::info!("event=instances_unread reason={:?}", fault.to_string());
        thread::sleep(TABLE_FIRST);
    }
}

fn read_table(gateway: &Gateway) -> Result<(), StoreFault> {
    let rows = gateway.store.rows(INSTANCE_TABLE)?;
    let understood = |row: StoreRow| match decode::<InstanceInfo>(&row.value) {
        Ok(instance) => Some(instance),
        Err(fault) => {
            log::warn!("event=row_skipped key={} reason={fault:?}", row.key);
            None
        }
    };
    let listed = rows.rows.into_iter().filter_map(understood).collect();
    lock(&gateway.peers.candidates).add_all(listed);
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
        let lives =
            |i: &InstanceInfo| i == candidates.own() || aggregate.has_recent_report(now, &i.node);
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
