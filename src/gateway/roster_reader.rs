//! Reads the list of backend servers periodically.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Gateway,
    cluster_state::AppliedList,
    exchange, intent_reader,
    peers::Missing,
    server_list_cache::{PAGE_ROWS, ServerListCache},
    startup,
};
use crate::{
    adapter::{servers::SkippedEntry, store::StoreError, tables::SERVER_TABLE},
    routing::{
        BackendServer, DecidedGap, ListVersion, RosterRole, RosterStep, RosterWatch, StoreEra,
        roster::RosterChange, startup::STARTUP_POLL_INTERVAL,
    },
    utils::sync::lock,
};

/// Maximum number of replies read in one poll for changes: they hold the heartbeats of 10,000 servers over some
/// seconds. The whole list is read instead of more.
const CHANGE_REPLIES_MAX: usize = 64;

/// Keeps the list up to date until the instance stops: carries out the steps that `routing::roster_watch` decides on.
pub fn run(gateway: &Arc<Gateway>) {
    // After a panic of this thread, a list may be known without being in use.
    if gateway.cluster_state.with_servers(|roster| roster.as_of().is_some()) {
        gateway.servers_changed();
    }
    let mut watch = RosterWatch::new(gateway.settings.bounds.server_drain_time);
    let mut store_lost = false;
    while gateway.is_running() {
        let now = gateway.clock.now();
        if startup::is_waiting(gateway, now) {
            gateway.store_read_requested.wait(STARTUP_POLL_INTERVAL);
            continue;
        }
        let role = gateway.peers.roster_role(now);
        lock(&gateway.store_share).set_reads_for_others(role.reader);
        gateway.maintain_registry(now, role.reader);
        let as_of = gateway.cluster_state.with_servers(|roster| roster.as_of());
        match watch.next(now, &role, as_of) {
            RosterStep::Wait(time) => gateway.store_read_requested.wait(time),
            RosterStep::AskPeers => {
                exchange::catch_up(gateway, Missing::Servers);
                watch.peers_asked(gateway.clock.now());
            }
            RosterStep::Read => match read_and_log(gateway, &role) {
                Ok(()) => {
                    watch.store_read(now);
                    if std::mem::take(&mut store_lost) {
                        log::warn!("event=store_back");
                    }
                }
                Err(fault) => {
                    store_lost = true;
                    watch.store_failed(gateway.clock.now());
                    gateway.store_failed("servers", &fault);
                }
            },
        }
    }
}

/// Reads the list, and logs that the updates have stopped if the aggregator should have sent them.
fn read_and_log(gateway: &Gateway, role: &RosterRole) -> Result<(), StoreError> {
    if !role.reader
        && let Some(age) = gateway.cluster_state.servers_age(gateway.clock.now())
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
pub fn read(gateway: &Gateway) -> Result<(), StoreError> {
    // Held until the list is applied: a thread that read an older one must not apply it later.
    let mut cache = lock(&gateway.server_list_cache);
    let began = gateway.clock.now();
    read_at(gateway, &mut cache, began).inspect_err(|_| {
        let now = gateway.clock.now();
        gateway.cluster_state.with_roster_mut(|roster| roster.note_failed_read(began, now));
    })
}

/// Reads the list, which is current at `as_of`.
fn read_at(
    gateway: &Gateway,
    cache: &mut Option<ServerListCache>,
    as_of: Instant,
) -> Result<(), StoreError> {
    let list = update_cache(gateway, cache, as_of)?;
    gateway.store_responded();
    // The work of a read without changes must not grow with the number of servers.
    if let Some(unchanged) = list.unchanged_version()
        && gateway.cluster_state.confirm_list(
            gateway.clock.now(),
            Some(unchanged),
            as_of,
            list.version.era,
        )
    {
        gateway.check_list_gap();
        return Ok(());
    }
    let skipped: Vec<SkippedEntry> = list.skipped().cloned().collect();
    let (servers, is_registered) =
        gateway.register_versions(list.servers(), list.version.era, as_of);
    if gateway.cluster_state.with_servers(|roster| roster.is_missing_version_of(&servers)) {
        read_orders_first(gateway);
    }
    lock(&gateway.skipped_log).log_new(&skipped);
    gateway.cluster_state.mark_overwritten(skipped.iter().map(|entry| entry.key.as_str()));
    let applied = apply_list(gateway, servers, as_of, list.version.era, "store");
    gateway.announce_new_versions();
    if is_registered {
        list.mark_applied(applied);
    }
    Ok(())
}

/// Brings the cache up to date with the store.
fn update_cache<'c>(
    gateway: &Gateway,
    cache: &'c mut Option<ServerListCache>,
    as_of: Instant,
) -> Result<&'c mut ServerListCache, StoreError> {
    if let Some(list) = cache.as_mut().filter(|list| list.can_read_changes(as_of)) {
        match read_changes(gateway, list) {
            Ok(Progress::UpToDate) => {}
            Ok(Progress::Behind) | Err(StoreError::HistoryExpired) => *cache = None,
            Err(fault) => return Err(fault),
        }
    } else {
        *cache = None;
    }
    match cache {
        Some(list) => Ok(list),
        None => Ok(cache.insert(read_whole_list(gateway, as_of)?)),
    }
}

/// Reads operators' orders before servers with a new version are used. A roll-out of that version may have been
/// ordered, and the list is read more often than the orders.
fn read_orders_first(gateway: &Gateway) {
    if let Err(fault) = intent_reader::read_orders(gateway) {
        log::info!("event=orders_unread reason={:?}", fault.to_string());
    }
}

fn read_whole_list(gateway: &Gateway, at: Instant) -> Result<ServerListCache, StoreError> {
    let rows = gateway.store.rows(SERVER_TABLE)?;
    let mut list = ServerListCache::new(at, rows.version);
    list.apply_rows(rows);
    Ok(list)
}

/// How far the changes of a list were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    UpToDate,
    /// There are further changes.
    Behind,
}

/// Adds what has changed in the list since the last read to the cache. The changes may come in several replies.
fn read_changes(gateway: &Gateway, list: &mut ServerListCache) -> Result<Progress, StoreError> {
    for _ in 0..CHANGE_REPLIES_MAX {
        let rows = gateway.store.changes(SERVER_TABLE, list.version, Duration::ZERO)?;
        let is_last = rows.rows.len() < PAGE_ROWS;
        list.apply_rows(rows);
        if is_last {
            return Ok(Progress::UpToDate);
        }
    }
    Ok(Progress::Behind)
}

/// Applies a whole list that was current at `as_of`, in `era` of the store; returns its version if it is now the newest
/// list.
pub fn apply_list(
    gateway: &Gateway,
    list: Vec<BackendServer>,
    as_of: Instant,
    era: StoreEra,
    source: &str,
) -> Option<ListVersion> {
    let AppliedList { version, change } =
        gateway.cluster_state.apply_server_list(gateway.clock.now(), as_of, era, list);
    use_change(gateway, &change, source, as_of);
    gateway.check_list_gap();
    version
}

/// Puts a change of the list that was current at `as_of` into use.
pub(super) fn use_change(gateway: &Gateway, change: &RosterChange, source: &str, as_of: Instant) {
    // Before anything else: until then, requests go to the servers of the former list.
    if *change != RosterChange::default() {
        gateway.servers_changed();
    }
    log_change(change, source, gateway.clock.now().saturating_duration_since(as_of));
}

/// Changes of one kind up to which each is logged; of more at once only the number is logged. At a start with 3,000
/// servers, 3,000 lines would be written.
const SINGLE_LINES_MAX: usize = 16;

fn log_change(change: &RosterChange, source: &str, age: Duration) {
    let age = age.as_millis();
    if let Some(DecidedGap { length, cause }) = change.gap {
        log::warn!("event=list_gap cause={cause} gap_ms={} source={source}", length.as_millis());
    }
    for (what, ids) in [
        ("server_added", &change.added),
        ("server_leaving", &change.leaving),
        ("server_changed", &change.changed),
        ("server_gone", &change.removed),
        ("server_cold", &change.cold),
        ("server_kept", &change.kept),
    ] {
        if ids.len() > SINGLE_LINES_MAX {
            log::info!("event={what} servers={} source={source} age_ms={age}", ids.len());
            continue;
        }
        for id in ids {
            log::info!("event={what} server={id} source={source} age_ms={age}");
        }
    }
}
