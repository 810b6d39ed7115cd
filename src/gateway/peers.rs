//! The periodic exchange between instances: each reports its requests in flight to one of them, the aggregator, which
//! replies with the sums over all instances and the updates read from the store.
//!
//! The aggregator (see `routing::candidates`) reads the store for all instances. Every reply carries the ages of its
//! values, and an instance whose state gets too old reads the store itself.

use std::{
    fmt::Display,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{
    Gateway,
    cold_permits::{PERMIT_PATH, PERMIT_TIMEOUT, PermitReply, PermitRequest},
    intent_reader,
    intent_relay::{OFFER_PATH, Offer, OfferReply},
    messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    peer_server::{FleetSums, SUMS_MAX_AGE, fleet_sums},
    rollout_table::{ROLLOUT_PATH, RolloutTableReply, RolloutTableRequest},
    roster_reader,
    settings::GatewaySettings,
};
use crate::{
    clock::Clock,
    link::{
        peer::{PeerClient, PeerError},
        traffic::{Purpose, TrafficCounter},
    },
    names::NodeName,
    routing::{
        Aggregate, CallFailure, Candidates, Confirmation, Crowded, FallbackReader, FleetBudget,
        FleetDemand, FleetPosition, InFlightCount, InstanceInfo, Judgement, ListVersion,
        ReaderTakeover, RosterRole, RunId, ServerListUpdate, ServiceLoad, StartupWait, StoreEra,
        WatchRole, fallback_reader,
    },
    utils::{cached::Cached, sync::lock},
};

/// Path of the exchange.
pub(super) const EXCHANGE_PATH: &str = "/exchange";

/// Timeout of a call to another instance while no byte arrives: many round trips, and less than the age that updates
/// may reach.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time between two exchanges. Several exchanges take place within the duration of a stream.
const EXCHANGE_PERIOD_MIN: Duration = Duration::from_millis(250);

/// Time between two exchanges at the aggregator: it serves 400 a second, which takes a few hundredths of a processor
/// core.
const PERIOD_PER_INSTANCE: Duration = Duration::from_micros(2500);

/// Maximum time between two exchanges. Together with the time between two reads of the list of servers it is less than
/// the age at which an instance reads the store itself.
const EXCHANGE_PERIOD_MAX: Duration = Duration::from_millis(900);

/// Instances queried in one round, when the store cannot be read.
const PEERS_PER_ROUND: usize = 2;

/// Minimum time between two rounds of queries.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(300);

/// Time after the start at which an instance without known peers counts as the only one, even if it could not read the
/// table of instances. The state that it read at its start is still recent then.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after the last report from another instance during which an instance still acts as the aggregator.
const AGGREGATOR_TTL: Duration = Duration::from_millis(3000);

/// What an instance fetches from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Missing {
    /// A newer intent, which is known to be active at another instance.
    NewerIntent,
    /// The operator's intent and operators' orders, which could not be read from the store.
    Intent,
    /// The list of backend servers, which could not be read from the store.
    Servers,
}

/// Connections to the other instances, and what they have reported.
pub struct Peers {
    pub(super) traffic: TrafficCounter,
    links: PeerClient,
    /// Connections to instances that may be merely slow.
    patient_links: PeerClient,
    /// Whether a call on them is in progress.
    is_probing: AtomicBool,
    /// Separate connections, so that permits do not wait for exchanges.
    permit_links: PeerClient,
    /// Known instances, in the order in which they become the aggregator.
    pub(super) candidates: Mutex<Candidates>,
    /// Decides when this instance polls the store for the intent.
    takeover: Mutex<ReaderTakeover>,
    /// Requests in flight, as the instances reported them to this one.
    pub(super) aggregate: Mutex<Aggregate>,
    /// Retries spent, as the instances reported them to this one.
    pub(super) budget: Mutex<FleetBudget>,
    /// Demand of teams, as the instances reported it to this one.
    pub(super) team_demand: Mutex<FleetDemand>,
    pub(super) run: RunId,
    /// Whether the other instances have been discovered.
    joined: AtomicBool,
    started_at: Instant,
    /// How long this instance waits for seeds at its start.
    pub(super) startup_wait: StartupWait,
    pub(super) fleet_sums: Cached<FleetSums>,
    last_rounds: Mutex<IndexMap<Missing, Instant>>,
    /// Chooses an instance that reads the store while it rejects this one.
    fallback_reader: Mutex<FallbackReader>,
}

impl Peers {
    /// Creates the state of an instance that knows no other one yet.
    pub fn new(settings: &GatewaySettings, clock: &Clock, traffic: &TrafficCounter) -> Peers {
        let own = InstanceInfo {
            node: settings.node.clone(),
            address: settings.addresses.peers,
            zone: settings.zone.clone(),
            cores: settings.cores,
        };
        let run = RunId(fastrand::u64(..));
        let takeover = ReaderTakeover::new(settings.bounds.intent_apply_time);
        let patience = takeover.silence_max().max(EXCHANGE_TIMEOUT);
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&own.address);
        Peers {
            budget: Mutex::new(FleetBudget::new(run, settings.bounds.retries.window)),
            run,
            traffic: traffic.clone(),
            permit_links: PeerClient::new(clock.clone(), None, PERMIT_TIMEOUT, traffic.clone()),
            patient_links: PeerClient::new(clock.clone(), None, patience, traffic.clone()),
            is_probing: AtomicBool::new(false),
            links: PeerClient::new(clock.clone(), None, EXCHANGE_TIMEOUT, traffic.clone()),
            candidates: Mutex::new(Candidates::new(own)),
            takeover: Mutex::new(takeover),
            aggregate: Mutex::default(),
            team_demand: Mutex::default(),
            joined: AtomicBool::new(false),
            started_at: clock.now(),
            startup_wait: StartupWait::new(clock.now(), is_seed, fastrand::f64()),
            fleet_sums: Cached::new(SUMS_MAX_AGE),
            last_rounds: Mutex::default(),
            fallback_reader: Mutex::default(),
        }
    }

    /// Sets the address that this instance advertises to the others.
    pub fn advertise(&self, address: SocketAddr) {
        lock(&self.candidates).set_own_address(address);
    }

    /// Returns the number of known instances, including this one.
    pub fn instances(&self) -> usize {
        lock(&self.candidates).all().len()
    }

    /// Returns the position of this instance among all known ones.
    pub fn position(&self) -> FleetPosition {
        lock(&self.candidates).position()
    }

    /// Returns whether this instance reads the store periodically: it is the aggregator, or no other instance responds.
    pub fn is_reader(&self, now: Instant) -> bool {
        let has_no_aggregator =
            self.has_joined(now) && lock(&self.candidates).aggregator(now).is_none();
        has_no_aggregator || self.is_aggregator(now)
    }

    /// Returns whether this instance polls the store for the intent on behalf of the others. An instance that others
    /// report to, but that gets replies from one of higher rank itself, passes on what that one reads.
    fn polls_intent(&self, now: Instant) -> bool {
        let may_poll = self.has_joined(now) || self.is_aggregator(now);
        let candidates = lock(&self.candidates);
        may_poll && lock(&self.takeover).is_due(now, candidates.higher())
    }

    /// Notes the result of an exchange with the aggregator.
    fn note_exchange(&self, now: Instant, aggregator: &NodeName, result: &Result<(), PeerError>) {
        let (mut candidates, mut takeover) = (lock(&self.candidates), lock(&self.takeover));
        let failure = match result {
            Ok(()) => {
                candidates.note_responsive(aggregator);
                takeover.note_reply(aggregator);
                return;
            }
            Err(PeerError::Silent(..)) => CallFailure::Silent,
            Err(_) => CallFailure::Failed,
        };
        candidates.note_unresponsive(now, aggregator);
        takeover.note_failure(now, aggregator, failure);
    }

    /// Returns whether this instance is one of `seeds`.
    pub fn is_seed(&self, seeds: &[SocketAddr]) -> bool {
        seeds.contains(&lock(&self.candidates).own().address)
    }

    /// Notes that the other instances, if any, have been discovered.
    pub fn note_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Returns whether the list of instances counts as complete: they have been discovered, or the time for that is
    /// over. Until then, an instance without known peers need not be the only one.
    pub fn has_joined(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.started_at) >= JOIN_TIMEOUT;
        waited || self.joined.load(Ordering::Relaxed)
    }

    /// Returns whether other instances have reported to this one within [`AGGREGATOR_TTL`].
    pub(super) fn is_aggregator(&self, now: Instant) -> bool {
        let own = lock(&self.candidates).own().node.clone();
        let last = lock(&self.aggregate).last_report(&own);
        last.is_some_and(|at| now.saturating_duration_since(at) < AGGREGATOR_TTL)
    }

    /// Returns the role of this instance in reading the list of servers.
    pub fn roster_role(&self, now: Instant) -> RosterRole {
        RosterRole { reader: self.is_reader(now), position: self.position() }
    }

    /// Returns the role of this instance in reading the intent.
    pub fn watch_role(&self, now: Instant) -> WatchRole {
        WatchRole {
            reader: self.polls_intent(now),
            position: self.position(),
            exchange_period: self.period(),
        }
    }

    /// Offers a change of the intent to another instance.
    ///
    /// # Errors
    ///
    /// The reason why it did not reply, for logs.
    pub fn offer(&self, to: SocketAddr, offer: &Offer) -> Result<OfferReply, String> {
        let reply = self.links.call(Purpose::Config, to, OFFER_PATH, offer);
        reply.map_err(|fault| fault.to_string())
    }

    /// Has another instance access the store's table of roll-outs; `None` if none could.
    pub fn forward_rollout_request(
        &self,
        now: Instant,
        request: &RolloutTableRequest,
    ) -> Option<RolloutTableReply> {
        for _ in 0..fallback_reader::ATTEMPTS_MAX {
            let fallback_reader = lock(&self.fallback_reader).pick(now, &lock(&self.candidates))?;
            match self.links.call(Purpose::Config, fallback_reader.address, ROLLOUT_PATH, request) {
                Ok(RolloutTableReply::Failed(reason)) => {
                    log::info!("event=no_help peer={} reason={reason:?}", fallback_reader.node);
                }
                Ok(reply) => return Some(reply),
                Err(fault) => {
                    log::info!(
                        "event=no_help peer={} reason={:?}",
                        fallback_reader.node,
                        fault.to_string()
                    );
                }
            }
            lock(&self.fallback_reader).failed();
        }
        None
    }

    /// Requests a permit from another instance.
    ///
    /// # Errors
    ///
    /// The reason why it did not reply, for logs.
    pub fn request_permit(
        &self,
        from: SocketAddr,
        request: &PermitRequest,
    ) -> Result<PermitReply, String> {
        let reply = self.permit_links.call(Purpose::Permits, from, PERMIT_PATH, request);
        reply.map_err(|fault| fault.to_string())
    }

    /// Returns whether `instance` is this one.
    pub fn is_own(&self, instance: &InstanceInfo) -> bool {
        lock(&self.candidates).own().node == instance.node
    }

    /// Returns the time between two exchanges, which grows with the number of instances.
    pub(super) fn period(&self) -> Duration {
        let instances = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        PERIOD_PER_INSTANCE
            .saturating_mul(instances)
            .clamp(EXCHANGE_PERIOD_MIN, EXCHANGE_PERIOD_MAX)
    }

    /// Returns the addresses of up to `count` other instances, chosen at random.
    fn random_peers(&self, seeds: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let candidates = lock(&self.candidates);
        let own = candidates.own().address;
        let known = candidates.all().iter().map(|i| i.address);
        let mut all: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
        all.sort();
        all.dedup();
        all.retain(|&address| address != own);
        fastrand::shuffle(&mut all);
        all.truncate(count);
        all
    }
}

/// Makes an exchange in each period, until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    loop {
        exchange(gateway);
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
            apply_loads(gateway, now, &sums.loads, None);
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

/// Calls an instance of higher rank with more patience before this one polls the store in its place. Its reply shows that
/// it is merely slow, and says how recently the intent was read.
fn probe_silent(gateway: &Arc<Gateway>) {
    let peers = &gateway.peers;
    let silent = {
        let candidates = lock(&peers.candidates);
        lock(&peers.takeover).probe(candidates.higher()).cloned()
    };
    let Some(silent) = silent else { return };
    if peers.is_probing.swap(true, Ordering::Relaxed) {
        return;
    }
    let for_thread = Arc::clone(gateway);
    let probe = move || {
        let peers = &for_thread.peers;
        match exchange_for(&for_thread, silent.address, ExchangePurpose::Query, CallTerms::PATIENT)
        {
            Ok(()) => lock(&peers.takeover).note_reply(&silent.node),
            Err(fault) => log_silent(&silent.node, &fault),
        }
        peers.is_probing.store(false, Ordering::Relaxed);
    };
    if let Err(fault) = thread::Builder::new().name("probe".to_owned()).spawn(probe) {
        log::warn!("event=not_probed reason={:?}", fault.to_string());
        peers.is_probing.store(false, Ordering::Relaxed);
    }
}

fn log_silent(peer: &impl Display, fault: &PeerError) {
    log::info!("event=peer_silent peer={peer} reason={:?}", fault.to_string());
}

/// Applies the aggregator's own report on servers that crashed.
fn take_own_crash_report(gateway: &Gateway, now: Instant) {
    let crash_suspects = &gateway.crash_suspects;
    if !gateway.settings.first_start && gateway.peers.has_joined(now) {
        crash_suspects.request_table_read();
    }
    let report = crash_suspects.report(now);
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
        let terms = CallTerms { missing, ..CallTerms::USUAL };
        let result = exchange_for(gateway, address, ExchangePurpose::ReadStore, terms);
        let Err(fault) = result else { return };
        let reason = fault.to_string();
        log::info!("event=no_help peer={} reason={reason:?}", fallback_reader.node);
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

/// Sends a report to another instance and applies its reply.
fn exchange_with(
    gateway: &Gateway,
    address: SocketAddr,
    purpose: ExchangePurpose,
) -> Result<(), PeerError> {
    exchange_for(gateway, address, purpose, CallTerms::USUAL)
}

/// How an exchange differs from others.
#[derive(Debug, Clone, Copy)]
struct CallTerms {
    /// What is missing, so that an instance that reads the store for this one reads only that.
    missing: Missing,
    /// Whether the other instance may be slow.
    is_patient: bool,
}

impl CallTerms {
    const USUAL: CallTerms = CallTerms { missing: Missing::Intent, is_patient: false };
    const PATIENT: CallTerms = CallTerms { is_patient: true, ..CallTerms::USUAL };
}

/// Does the same on terms of its own.
fn exchange_for(
    gateway: &Gateway,
    address: SocketAddr,
    purpose: ExchangePurpose,
    terms: CallTerms,
) -> Result<(), PeerError> {
    let peers = &gateway.peers;
    let sent_at = gateway.clock.now();
    let (list, version) = (gateway.cluster_state.list_version(), gateway.cluster_state.version());
    let (from, instances) = {
        let candidates = lock(&peers.candidates);
        (candidates.own().clone(), candidates.version())
    };
    let (counts, unresponsive) = {
        let picker = lock(&gateway.picker);
        (picker.own_counts(), picker.own_unresponsive(sent_at))
    };
    // Only the aggregator receives the reports of all instances; the sums of another one would be incomplete.
    let to_aggregator = purpose == ExchangePurpose::Aggregate;
    let reads_servers = purpose == ExchangePurpose::ReadStore && terms.missing == Missing::Servers;
    let crash_suspects =
        if to_aggregator { gateway.crash_suspects.report(sent_at) } else { Default::default() };
    let report = ExchangeReport {
        from,
        counts: counts.clone(),
        unresponsive,
        run: peers.run,
        crash_suspects,
        spending: if to_aggregator { gateway.spending(sent_at) } else { Vec::new() },
        rollouts: if to_aggregator { gateway.rollouts.reports(gateway) } else { Vec::new() },
        rollout_states: gateway.rollouts.updates(sent_at),
        intent_version: version,
        // An instance that starts, or that could not read the store, accepts changes of any size.
        wants_intent: version == 0 || (!to_aggregator && !reads_servers),
        purpose,
        list_version: list,
        instances_hash: instances,
        team_demands: if to_aggregator { gateway.team_demands(sent_at) } else { Vec::new() },
    };
    let links = if terms.is_patient { &peers.patient_links } else { &peers.links };
    let mut reply: ExchangeReply = links.call(Purpose::Loads, address, EXCHANGE_PATH, &report)?;
    let received_at = gateway.clock.now();
    let (watched, lasting): (Vec<_>, Vec<_>) =
        reply.verdicts.iter().partition(|verdict| verdict.judgement == Judgement::Watched);
    gateway.crash_suspects.apply_verdicts(received_at, &lasting, "peer");
    if to_aggregator {
        gateway.crash_suspects.mark_reported(reply.run, &report.crash_suspects);
        gateway.crash_suspects.watch(received_at, &watched);
        if reply.crash_alert {
            gateway.crash_suspects.alert(received_at);
        }
        apply_loads(gateway, received_at, &reply.loads, Some(counts));
        lock(&gateway.picker).note_reported_unresponsive(received_at, &reply.unresponsive);
        gateway.set_budget_sums(received_at, std::mem::take(&mut reply.budgets));
        gateway.apply_team_limits(received_at, sent_at, reply.team_limits.as_deref());
    }
    apply_reply(gateway, reply, list, sent_at);
    Ok(())
}

/// Applies the loads over all instances. `reported` are the counts of this instance that they contain, if those differ
/// from the current ones.
fn apply_loads(
    gateway: &Gateway,
    now: Instant,
    loads: &[ServiceLoad],
    reported: Option<Vec<InFlightCount>>,
) {
    let crowded = {
        let mut picker = lock(&gateway.picker);
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
        return;
    }
    if let Some(servers) = cluster_state.apply_list_update(version, update) {
        roster_reader::apply_list(gateway, servers, as_of, era, "peer");
    }
}

fn apply_reply(
    gateway: &Gateway,
    reply: ExchangeReply,
    list: Option<ListVersion>,
    sent_at: Instant,
) {
    // Orders come first: the intent or the list may make this instance ready.
    gateway.accept_orders(reply.orders, "peer");
    gateway.rollouts.apply_updates(gateway, &reply.rollout_states, "peer");
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
