//! Reads the list of backend servers, at a pace.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Gateway, intent_reader,
    list_read::{ListRead, PAGE_ROWS},
    peers, start,
};
use crate::{
    adapter::{calls::SERVER_TABLE, servers::SkippedEntry, store::StoreFault},
    routing::{
        BackendServer, RosterRole, RosterStep, RosterWatch, StoreEra, roster::RosterChange,
        startup::STARTUP_POLL_INTERVAL,
    },
    utils::sync::lock,
};

/// Most replies of one look at what has changed: some seconds' heartbeats of ten thousand servers.
const REPLIES_MAX: usize = 16;

/// Keeps the list fresh until the process ends: does what `routing::roster_watch` says is next.
pub fn run(gateway: &Arc<Gateway>) {
    let mut watch = RosterWatch::new(gateway.settings.bounds.leaving_acted_on);
    let mut lost = false;
    loop {
        let now = gateway.clock.now();
        if start::waits(gateway, now) {
            gateway.reader_wanted.wait(STARTUP_POLL_INTERVAL);
            continue;
        }
        let role = gateway.peers.roster_role(now);
        lock(&gateway.store_share).set_reads_for_others(role.reader);
        let as_of = gateway.knowledge.with_servers(|roster| roster.as_of());
        match watch.next(now, &role, as_of) {
            RosterStep::Wait(time) => gateway.reader_wanted.wait(time),
            RosterStep::AskPeers => {
                peers::catch_up(gateway);
                watch.peers_asked(gateway.clock.now());
            }
            RosterStep::Read => match read_as(gateway, &role) {
                Ok(()) => {
                    watch.store_read(now);
                    if std::mem::take(&mut lost) {
                        log::warn!("event=store_back");
                    }
                }
                Err(fault) => {
                    lost = true;
                    watch.store_failed(gateway.clock.now());
                    gateway.store_failed("servers", &fault);
                }
            },
        }
    }
}

/// Reads the list, and says so where the news of others should have done.
fn read_as(gateway: &Gateway, role: &RosterRole) -> Result<(), StoreFault> {
    if !role.reader
        && let Some(age) = gateway.knowledge.servers_age(gateway.clock.now())
    {
        log::info!("event=news_stopped servers_age_ms={}", age.as_millis());
    }
    read(gateway)
}

/// Reads the list once.
///
/// # Errors
///
/// The store cannot be read.
pub fn read(gateway: &Gateway) -> Result<(), StoreFault> {
    let as_of = gateway.clock.now();
    let mut kept = lock(&gateway.list_read);
    let list = match kept.as_mut().filter(|kept| kept.can_be_followed(as_of)) {
        Some(known) => match follow(gateway, known) {
            Err(StoreFault::HistoryGone) => kept.insert(read_whole(gateway, as_of)?),
            followed => followed.map(|()| known)?,
        },
        None => kept.insert(read_whole(gateway, as_of)?),
    };
    gateway.store_answered();
    // The work of a look that brings nothing is not to grow with the servers.
    if let Some(told) = list.told()
        && gateway.knowledge.confirm_list(gateway.clock.now(), Some(told), as_of, list.version.era)
    {
        return Ok(());
    }
    let skipped: Vec<SkippedEntry> = list.skipped().cloned().collect();
    let (servers, era) = (list.servers(), list.version.era);
    drop(kept);
    if gateway.knowledge.with_servers(|roster| roster.is_missing_version_of(&servers)) {
        look_for_orders(gateway);
    }
    lock(&gateway.skipped_log).tell(&skipped);
    gateway.knowledge.mark_overwritten(skipped.iter().map(|entry| entry.key.as_str()));
    take(gateway, servers, as_of, era, "store");
    if let Some(list) = lock(&gateway.list_read).as_mut() {
        list.set_told(gateway.knowledge.list_version());
    }
    Ok(())
}

/// Looks for operators' orders before servers of a version that was not there are used: it may be one that is rolled out, and
/// the list is read more often than the orders.
fn look_for_orders(gateway: &Gateway) {
    if let Err(fault) = intent_reader::look_at_orders(gateway) {
        log::info!("event=orders_unread reason={:?}", fault.to_string());
    }
}

fn read_whole(gateway: &Gateway, at: Instant) -> Result<ListRead, StoreFault> {
    let rows = gateway.store.rows(SERVER_TABLE)?;
    let mut list = ListRead::new(at, rows.version);
    list.take(rows);
    Ok(list)
}

/// Takes what has changed in the list since it was read; a reply may hold a part of that.
fn follow(gateway: &Gateway, list: &mut ListRead) -> Result<(), StoreFault> {
    for _ in 0..REPLIES_MAX {
        let rows = gateway.store.changes(SERVER_TABLE, list.version, Duration::ZERO)?;
        let is_last = rows.rows.len() < PAGE_ROWS;
        list.take(rows);
        if is_last {
            break;
        }
    }
    Ok(())
}

/// Takes a whole list that was current at `as_of`, in an era of the store.
pub fn take(
    gateway: &Gateway,
    list: Vec<BackendServer>,
    as_of: Instant,
    era: StoreEra,
    source: &str,
) {
    let change = gateway.knowledge.observe_servers(gateway.clock.now(), as_of, era, list);
    log_change(&change, source, gateway.clock.now().saturating_duration_since(as_of));
    if change != RosterChange::default() {
        gateway.servers_changed();
    }
}

/// Changes of one kind that are logged one by one; of more at once, as a start brings, only their number is: a start
/// beside 3,000 servers wrote as many lines. What they cost was not measured.
const LOGGED_EACH: usize = 16;

fn log_change(change: &RosterChange, source: &str, age: Duration) {
    let age = age.as_millis();
    for (what, ids) in [
        ("server_added", &change.added),
        ("server_leaving", &change.leaving),
        ("server_changed", &change.changed),
        ("server_gone", &change.removed),
        ("server_cold", &change.cold),
    ] {
        if ids.len() > LOGGED_EACH {
            log::info!("event={what} servers={} source={source} age_ms={age}", ids.len());
            continue;
        }
        for id in ids {
            log::info!("event={what} server={id} source={source} age_ms={age}");
        }
    }
}
