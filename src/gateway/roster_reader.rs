//! Reads the list of backend servers, at a pace.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Gateway, peers, start};
use crate::{
    adapter::{calls::SERVER_TABLE, servers, store::StoreFault},
    routing::{
        BackendServer, RosterRole, RosterStep, RosterWatch, StoreEra, roster::RosterChange,
        start::QUESTION_PAUSE,
    },
    utils::sync::lock,
};

/// Keeps the list fresh until the process ends: does what `routing::roster_watch` says is next.
pub fn run(gateway: &Arc<Gateway>) {
    let mut watch = RosterWatch::new(gateway.settings.bounds.leaving_acted_on);
    let mut lost = false;
    loop {
        let now = gateway.clock.now();
        if start::waits(gateway, now) {
            gateway.reader_wanted.wait(QUESTION_PAUSE);
            continue;
        }
        let role = gateway.peers.roster_role(now);
        let as_of = gateway.knowledge.with_servers(|roster| roster.as_of());
        match watch.next(now, &role, as_of) {
            RosterStep::Wait(time) => gateway.reader_wanted.wait(time),
            RosterStep::Ask => {
                peers::catch_up(gateway);
                watch.asked(gateway.clock.now());
            }
            RosterStep::Read => match read_as(gateway, &role) {
                Ok(()) => {
                    watch.read(now);
                    if std::mem::take(&mut lost) {
                        log::warn!("event=store_back");
                    }
                }
                Err(fault) => {
                    lost = true;
                    watch.failed(gateway.clock.now());
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
    let rows = gateway.store.rows(SERVER_TABLE)?;
    gateway.store_answered();
    let entries = servers::decode_all(&rows.rows);
    lock(&gateway.skipped_log).tell(&entries.skipped);
    gateway.knowledge.overwritten(entries.skipped.iter().map(|entry| entry.key.as_str()));
    take(gateway, entries.servers, as_of, rows.version.era, "store");
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
        ("server_gone", &change.gone),
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
