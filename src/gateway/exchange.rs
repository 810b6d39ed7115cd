//! The periodic exchange between instances: each reports its requests in flight to one of them, the aggregator, which
//! replies with the sums over all instances and the updates read from the store.
//!
//! Every reply carries the ages of its values, and an instance whose state gets too old reads the store itself.

use std::{
    fmt::Display,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{
    Gateway,
    counts_log::CountsLog,
    intent_reader,
    messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    peer_server::fleet_sums,
    peers::{Missing, log_no_help},
    probe::probe_silent,
    roster_reader,
};
use crate::{
    link::{peer::PeerError, pool_check::POOL_CHECK_PERIOD, traffic::Purpose},
    routing::{
        Confirmation, Crowded, InFlightCount, Judgement, ListVersion, PromptCount,
        ServerListUpdate, ServiceLoad, StoreEra, fallback_reader,
    },
    utils::sync::lock,
};

/// Path of the exchange.
pub(super) const EXCHANGE_PATH: &str = "/exchange";

/// Timeout of a call to another instance while no byte arrives: many round trips, and less than the age that updates
/// may reach.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Instances queried in one round, when the store cannot be read.
const PEERS_PER_ROUND: usize = 2;

/// Minimum time between two rounds of queries.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(300);

/// Makes an exchange in each period, until the instance stops. Checks the pools of connections too, as this thread wakes
/// often enough for it.
pub fn run(gateway: &Arc<Gateway>) {
    let mut counts_log = CountsLog::default();
    let mut pools_checked_at = gateway.clock.now();
    while gateway.is_running() {
        exchange(gateway);
        counts_log.update(gateway);
        let now = gateway.clock.now();
        if now.saturating_duration_since(pools_checked_at) >= POOL_CHECK_PERIOD {
            gateway.close_unusable_conns();
            pools_checked_at = now;
        }
        let period = gateway.peers.period();
        thread::sleep(period.mul_f64(0.9 + 0.2 * fastrand::f64()));
    }
}

/// Reports to the aggregator and applies its reply. If it does not respond, the next candidate is tried, once. The
/// aggregator itself applies its own sums.
fn exchange(gateway: &Arc<Gateway>) {
    let peers = &gateway.peers;
    // Ends limits that have become too old, in case that no reply arrives.
    gateway.apply_team_limits(gateway.clock.now(), gateway.clock.now(), None);
    for _ in 0..2 {
        let now = gateway.clock.now();
        let aggregator = lock(&peers.candidates).aggregator(now).cloned();
        let Some(aggregator) = aggregator else {
            let sums = fleet_sums(gateway, now);
            apply_loads(gateway, now, &sums.loads, &sums.popular_prompts, None);
            lock(&gateway.picker).note_reported_unresponsive(now, &sums.unresponsive);
            gateway.set_budget_sums(now, sums.budgets.clone());
            gateway.apply_team_limits(now, now, sums.team_limits.as_deref());
            take_own_crash_report(gateway, now);
            return;
        };
        let result = exchange_with(gateway, aggregator.address, ExchangePurpose::Aggregate);
        peers.note_exchange(gateway.clock.now(), &aggregator.node, &result);
        match result {
            Ok(()) => return,
            Err(fault) => log_silent(&aggregator.node, &fault),
        }
        probe_silent(gateway);
    }
}

/// Logs that another instance did not reply.
pub(super) fn log_silent(peer: &impl Display, fault: &PeerError) {
    log::info!("event=peer_silent peer={peer} reason={:?}", fault.to_string());
}

/// Applies the aggregator's own report on servers that crashed.
fn take_own_crash_report(gateway: &Gateway, now: Instant) {
    let crash_suspects = &gateway.crash_suspects;
    if !gateway.settings.first_start && gateway.peers.has_joined(now) {
        crash_suspects.request_table_read();
    }
    let report = crash_suspects.report(now);
    crash_suspects.set_report_interval(gateway.peers.period());
    crash_suspects.apply_report(now, &report);
    crash_suspects.mark_reported(gateway.peers.run, &report);
    crash_suspects.watch(now, &crash_suspects.watched(now));
    if crash_suspects.is_alert(now) {
        crash_suspects.alert(now);
    }
}

/// Fetches from other instances what this one lacks. Calls within 300 ms of the last round for the same do nothing.
pub fn catch_up(gateway: &Gateway, missing: Missing) {
    let now = gateway.clock.now();
    {
        let mut rounds = lock(&gateway.peers.last_rounds);
        let last = rounds.get(&missing);
        if last.is_some_and(|&at| now.saturating_duration_since(at) < ROUND_INTERVAL_MIN) {
            return;
        }
        rounds.insert(missing, now);
    }
    // Where another instance has the intent already, a further read of the store would take a needless copy.
    if missing != Missing::NewerIntent && gateway.peers.is_aggregator(now) {
        return request_store_read(gateway, now, missing);
    }
    for address in gateway.peers.random_peers(&gateway.settings.seeds, PEERS_PER_ROUND) {
        if let Err(fault) = exchange_with(gateway, address, ExchangePurpose::Query) {
            log_silent(&address, &fault);
        }
    }
}

/// Has another instance read the store for the aggregator, which the store rejects. For the list of servers it does not
/// read the intent as well: up to four instances are asked in a row, and each would read a changed intent.
fn request_store_read(gateway: &Gateway, now: Instant, missing: Missing) {
    let peers = &gateway.peers;
    for _ in 0..fallback_reader::ATTEMPTS_MAX {
        let fallback_reader = lock(&peers.fallback_reader).pick(now, &lock(&peers.candidates));
        let Some(fallback_reader) = fallback_reader else { return };
        let address = fallback_reader.address;
        let options = ExchangeOptions { missing, ..ExchangeOptions::DEFAULT };
        let result = exchange_for(gateway, address, ExchangePurpose::ReadStore, options);
        let Err(fault) = result else { return };
        log_no_help(&fallback_reader, &fault.to_string());
        lock(&peers.fallback_reader).failed();
    }
}

/// Queries the seeds one after the other, in random order, until `is_enough` holds; returns whether it does. A seed
/// that has just started itself replies with an empty state.
pub fn query_seeds(gateway: &Gateway, is_enough: impl Fn() -> bool) -> bool {
    let mut seeds = gateway.settings.seeds.clone();
    if gateway.peers.is_seed(&seeds) {
        return false;
    }
    fastrand::shuffle(&mut seeds);
    seeds
        .into_iter()
        .any(|seed| exchange_with(gateway, seed, ExchangePurpose::Query).is_ok() && is_enough())
}

/// Sends a report to another instance and applies its reply, with the default options.
fn exchange_with(
    gateway: &Gateway,
    address: SocketAddr,
    purpose: ExchangePurpose,
) -> Result<(), PeerError> {
    exchange_for(gateway, address, purpose, ExchangeOptions::DEFAULT)
}

/// Options of an exchange.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExchangeOptions {
    /// What is missing, so that an instance that reads the store for this one reads only that.
    missing: Missing,
    /// Whether the exchange is a probe, which has a longer timeout.
    is_probe: bool,
}

impl ExchangeOptions {
    const DEFAULT: ExchangeOptions = ExchangeOptions { missing: Missing::Intent, is_probe: false };

    /// Options of a probe.
    pub(super) const PROBE: ExchangeOptions =
        ExchangeOptions { is_probe: true, ..ExchangeOptions::DEFAULT };
}

/// Sends a report to another instance and applies its reply.
pub(super) fn exchange_for(
    gateway: &Gateway,
    address: SocketAddr,
    purpose: ExchangePurpose,
    options: ExchangeOptions,
) -> Result<(), PeerError> {
    let peers = &gateway.peers;
    let sent_at = gateway.clock.now();
    let report = report(gateway, sent_at, purpose, options.missing);
    let list = report.list_version;
    let links = if options.is_probe { &peers.probe_links } else { &peers.links };
    let mut reply: ExchangeReply = links.call(Purpose::Loads, address, EXCHANGE_PATH, &report)?;
    apply_fleet_state(gateway, &mut reply, report, sent_at);
    apply_reply(gateway, reply, list, sent_at);
    Ok(())
}

/// Returns the report that is sent at `now`. Only the aggregator receives the reports of all instances, and with them
/// what it adds up over the fleet; the sums of another one would be incomplete.
fn report(
    gateway: &Gateway,
    now: Instant,
    purpose: ExchangePurpose,
    missing: Missing,
) -> ExchangeReport {
    let peers = &gateway.peers;
    let (list, version) = (gateway.cluster_state.list_version(), gateway.cluster_state.version());
    let (from, instances) = {
        let candidates = lock(&peers.candidates);
        (candidates.own().clone(), candidates.version())
    };
    let (counts, prompts, unresponsive) = {
        let mut picker = lock(&gateway.picker);
        let prompts = if purpose == ExchangePurpose::Aggregate {
            picker.prompts().own_counts()
        } else {
            Vec::new()
        };
        (picker.own_counts(), prompts, picker.own_unresponsive(now))
    };
    let to_aggregator = purpose == ExchangePurpose::Aggregate;
    let reads_servers = purpose == ExchangePurpose::ReadStore && missing == Missing::Servers;
    let crash_suspects =
        if to_aggregator { gateway.crash_suspects.report(now) } else { Default::default() };
    ExchangeReport {
        from,
        counts,
        unresponsive,
        run: peers.run,
        crash_suspects,
        spending: if to_aggregator { gateway.spending(now) } else { Vec::new() },
        rollouts: if to_aggregator { gateway.rollouts.reports(gateway) } else { Vec::new() },
        rollout_states: gateway.rollouts.updates(now),
        intent_version: version,
        // An instance that starts, or that could not read the store, accepts changes of any size.
        wants_intent: version == 0 || (!to_aggregator && !reads_servers),
        purpose,
        list_version: list,
        instances_hash: instances,
        team_demands: if to_aggregator { gateway.team_demands(now) } else { Vec::new() },
        prompts,
    }
}

/// Applies the verdicts of a reply to `report`, and what the aggregator has added up over all instances.
fn apply_fleet_state(
    gateway: &Gateway,
    reply: &mut ExchangeReply,
    report: ExchangeReport,
    sent_at: Instant,
) {
    let now = gateway.clock.now();
    let crash_suspects = &gateway.crash_suspects;
    let (watched, lasting): (Vec<_>, Vec<_>) =
        reply.verdicts.iter().partition(|verdict| verdict.judgement == Judgement::Watched);
    crash_suspects.apply_verdicts(sent_at, &lasting, "peer");
    if report.purpose != ExchangePurpose::Aggregate {
        return;
    }
    crash_suspects.mark_reported(reply.run, &report.crash_suspects);
    crash_suspects.watch(now, &watched);
    if reply.crash_alert {
        crash_suspects.alert(now);
    }
    apply_loads(gateway, now, &reply.loads, &reply.popular_prompts, Some(report.counts));
    lock(&gateway.picker).note_reported_unresponsive(now, &reply.unresponsive);
    gateway.set_budget_sums(now, std::mem::take(&mut reply.budgets));
    gateway.apply_team_limits(now, sent_at, reply.team_limits.as_deref());
}

/// Applies the loads over all instances. `reported` are the counts of this instance that they contain, if those differ
/// from the current ones. Without loads, because the aggregator does not know them yet, the previous ones stay.
fn apply_loads(
    gateway: &Gateway,
    now: Instant,
    loads: &[ServiceLoad],
    popular_prompts: &[PromptCount],
    reported: Option<Vec<InFlightCount>>,
) {
    if loads.is_empty() {
        return;
    }
    let crowded = {
        let mut picker = lock(&gateway.picker);
        picker.prompts().set_fleet_counts(now, popular_prompts);
        let own = reported.unwrap_or_else(|| picker.own_counts());
        picker.set_fleet_loads(now, loads, &own)
    };
    for Crowded { server, load, limit } in crowded {
        log::info!("event=server_crowded server={server} load={load:.1} limit={limit:.1}");
    }
}

/// Applies an update of the list of servers that starts from `version` and was current at `as_of`.
fn apply_list(
    gateway: &Gateway,
    version: Option<ListVersion>,
    update: ServerListUpdate,
    as_of: Instant,
    era: StoreEra,
) {
    let cluster_state = &gateway.cluster_state;
    let is_same = matches!(update, ServerListUpdate::Same);
    if is_same && cluster_state.confirm_list(gateway.clock.now(), version, as_of, era) {
        return gateway.check_list_gap();
    }
    if let Some(servers) = cluster_state.apply_list_update(version, update) {
        roster_reader::apply_list(gateway, servers, as_of, era, "peer");
    }
}

/// Applies the updates of a reply to a report that was sent at `sent_at` with version `list` of the list of servers.
fn apply_reply(
    gateway: &Gateway,
    reply: ExchangeReply,
    list: Option<ListVersion>,
    sent_at: Instant,
) {
    // Orders come first: the intent or the list may make this instance ready.
    gateway.accept_orders(reply.orders, "peer");
    gateway.rollouts.apply_updates(gateway, sent_at, &reply.rollout_states, "peer");
    intent_reader::apply_changes(gateway, &reply.changes);
    let then = |age_ms: u64| sent_at.checked_sub(Duration::from_millis(age_ms));
    if let Some(ConfirmedAgo { age_ms, store }) = reply.confirmed
        && let Some(at) = then(age_ms)
    {
        gateway.cluster_state.confirm(reply.intent_version, Confirmation { at, store });
    }
    gateway.cluster_state.note_version(gateway.clock.now(), reply.intent_version);
    if let Some(as_of) = reply.list_age_ms.and_then(then) {
        apply_list(gateway, list, reply.list, as_of, reply.list_era);
    }
    if let Some(instances) = reply.instances {
        lock(&gateway.peers.candidates).apply_update(instances);
        gateway.instances_changed();
    }
}
