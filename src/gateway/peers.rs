//! The exchange between instances: each tells one of them what it has in flight, and is told what
//! the others have and what is new in the store.
//!
//! The one that is told (see `routing::candidates`) reads the store for the others. Every reply
//! carries ages, and an instance whose knowledge grows too old reads the store itself.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    Gateway,
    cold_permits::{PERMIT_PATH, PERMIT_TIME, PermitAsk, PermitReply},
    intent_reader,
    intent_relay::{OFFER_PATH, Offer, OfferReply},
    messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    peer_server::{FleetSums, SUMS_MAX_AGE, fleet_sums},
    rollout_table::{ROLLOUT_PATH, TableAsk, TableReply},
    roster_reader,
    settings::GatewaySettings,
};
use crate::{
    clock::Clock,
    link::{
        peer::PeerLinks,
        traffic::{Purpose, Traffic},
    },
    routing::{
        Aggregate, Candidates, Confirmed, Count, Crowded, FleetBudget, FleetPosition, Helper,
        InstanceInfo, Judgement, ListNews, ListVersion, RosterRole, RunId, ServiceLoad, StartWatch,
        StoreEra, WatchRole, helper,
    },
    utils::{recent::Recent, sync::lock},
};

/// Path of the exchange.
pub(super) const EXCHANGE_PATH: &str = "/exchange";

/// Longest pause in an exchange with another instance: many round trips, and less than the news may age.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Least pause between two exchanges: several within the time that a stream takes.
const EXCHANGE_PERIOD_MIN: Duration = Duration::from_millis(250);

/// Time that the instance asked has for each exchange: four hundred a second, a few hundredths of a
/// processor.
const PERIOD_PER_INSTANCE: Duration = Duration::from_micros(2500);

/// Longest pause between two exchanges: with it and the pause between two reads of the servers'
/// list, news are younger than the age at which an instance reads for itself.
const EXCHANGE_PERIOD_MAX: Duration = Duration::from_millis(900);

/// Instances asked when the store cannot be read.
const PEERS_PER_ROUND: usize = 2;

/// Least pause between two rounds of questions.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(300);

/// Time after its start from which an instance that knows no other counts as alone, whether it could learn of
/// others or not: what it read at its start is still young then.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long an instance that others turn to goes on to read the store for them.
const AGGREGATOR_TTL: Duration = Duration::from_millis(3000);

/// Other instances, and what they tell.
pub struct Peers {
    pub(super) traffic: Traffic,
    links: PeerLinks,
    /// Connections on which nothing waits for an exchange.
    permit_links: PeerLinks,
    /// Instances known, in the order in which all turn to them.
    pub(super) candidates: Mutex<Candidates>,
    /// Requests in flight, as the instances told them to this one.
    pub(super) aggregate: Mutex<Aggregate>,
    /// Repeats spent, as the instances told them to this one.
    pub(super) budget: Mutex<FleetBudget>,
    pub(super) run: RunId,
    /// Whether the other instances are known.
    joined: AtomicBool,
    started: Instant,
    /// Whether this instance waits for others as it starts.
    pub(super) start: StartWatch,
    pub(super) fleet_sums: Recent<FleetSums>,
    last_round: Mutex<Option<Instant>>,
    /// The one that reads for this one while the store turns it away.
    helper: Mutex<Helper>,
}

impl Peers {
    /// Returns the peers of an instance that knows none yet.
    pub fn new(settings: &GatewaySettings, clock: &Clock, traffic: &Traffic) -> Peers {
        let own = InstanceInfo {
            node: settings.node.clone(),
            address: settings.addresses.peers,
            zone: settings.zone.clone(),
            cores: settings.cores,
        };
        let run = RunId(fastrand::u64(..));
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&own.address);
        Peers {
            budget: Mutex::new(FleetBudget::new(run, settings.bounds.retries.window)),
            run,
            traffic: traffic.clone(),
            permit_links: PeerLinks::new(clock.clone(), None, PERMIT_TIME, traffic.clone()),
            links: PeerLinks::new(clock.clone(), None, EXCHANGE_TIMEOUT, traffic.clone()),
            candidates: Mutex::new(Candidates::new(own)),
            aggregate: Mutex::default(),
            joined: AtomicBool::new(false),
            started: clock.now(),
            start: StartWatch::new(clock.now(), is_seed, fastrand::f64()),
            fleet_sums: Recent::new(SUMS_MAX_AGE),
            last_round: Mutex::default(),
            helper: Mutex::default(),
        }
    }

    /// Sets the address at which this instance listens for others.
    pub fn advertise(&self, address: SocketAddr) {
        lock(&self.candidates).set_own_address(address);
    }

    /// Returns how many instances are known, this one included.
    pub fn instances(&self) -> usize {
        lock(&self.candidates).all().len()
    }

    /// Returns which of all known instances this one is.
    pub fn position(&self) -> FleetPosition {
        lock(&self.candidates).position()
    }

    /// Returns whether this instance reads the store at a pace: it has nobody to turn to, or others
    /// turn to it.
    pub fn is_reader(&self, now: Instant) -> bool {
        let alone = self.has_joined(now) && lock(&self.candidates).first(now).is_none();
        alone || self.is_aggregator(now)
    }

    /// Returns whether the settings name this instance among `seeds`.
    pub fn is_seed(&self, seeds: &[SocketAddr]) -> bool {
        seeds.contains(&lock(&self.candidates).own().address)
    }

    /// Notes that the other instances are known, as far as there are any.
    pub fn note_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Returns whether an instance that knows nobody has nobody to rely on: one that has just started has not
    /// learnt of the others yet.
    pub(super) fn has_joined(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.started) >= JOIN_TIMEOUT;
        waited || self.joined.load(Ordering::Relaxed)
    }

    /// Returns whether others have turned to this instance lately.
    pub(super) fn is_aggregator(&self, now: Instant) -> bool {
        let own = lock(&self.candidates).own().node.clone();
        let heard = lock(&self.aggregate).last_heard(&own);
        heard.is_some_and(|at| now.saturating_duration_since(at) < AGGREGATOR_TTL)
    }

    /// Returns what this instance is to the others in the watch over the list of servers.
    pub fn roster_role(&self, now: Instant) -> RosterRole {
        RosterRole { reader: self.is_reader(now), position: self.position() }
    }

    /// Returns what this instance is to the others in the watch over the intent.
    pub fn watch_role(&self, now: Instant) -> WatchRole {
        WatchRole {
            reader: self.is_reader(now),
            position: self.position(),
            exchange_period: self.period(),
        }
    }

    /// Offers a change of the intent to another instance.
    ///
    /// # Errors
    ///
    /// Why it did not answer, for logs.
    pub fn offer(&self, to: SocketAddr, offer: &Offer) -> Result<OfferReply, String> {
        let reply = self.links.call(Purpose::Config, to, OFFER_PATH, offer);
        reply.map_err(|fault| fault.to_string())
    }

    /// Has another instance do something in the store's table of roll-outs; `None` where none could.
    pub fn forward_rollout_request(&self, now: Instant, request: &TableAsk) -> Option<TableReply> {
        for _ in 0..helper::ASKED {
            let helper = lock(&self.helper).pick(now, &lock(&self.candidates))?;
            match self.links.call(Purpose::Config, helper.address, ROLLOUT_PATH, request) {
                Ok(TableReply::Failed(reason)) => {
                    log::info!("event=no_help peer={} reason={reason:?}", helper.node);
                }
                Ok(reply) => return Some(reply),
                Err(fault) => {
                    log::info!("event=no_help peer={} reason={:?}", helper.node, fault.to_string());
                }
            }
            lock(&self.helper).failed();
        }
        None
    }

    /// Asks another instance for a permit.
    ///
    /// # Errors
    ///
    /// Why it did not answer, for logs.
    pub fn request_permit(
        &self,
        of: SocketAddr,
        request: &PermitAsk,
    ) -> Result<PermitReply, String> {
        let reply = self.permit_links.call(Purpose::Permits, of, PERMIT_PATH, request);
        reply.map_err(|fault| fault.to_string())
    }

    /// Returns whether `instance` is this one.
    pub fn is_own(&self, instance: &InstanceInfo) -> bool {
        lock(&self.candidates).own().node == instance.node
    }

    /// Returns the pause between two exchanges.
    pub(super) fn period(&self) -> Duration {
        let instances = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        PERIOD_PER_INSTANCE
            .saturating_mul(instances)
            .clamp(EXCHANGE_PERIOD_MIN, EXCHANGE_PERIOD_MAX)
    }

    /// Returns up to `count` other addresses, drawn anew each time.
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

/// Exchanges news until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    loop {
        exchange(gateway);
        let period = gateway.peers.period();
        thread::sleep(period.mul_f64(0.9 + 0.2 * fastrand::f64()));
    }
}

/// Tells the first instance that answers, and takes what it tells.
fn exchange(gateway: &Gateway) {
    let peers = &gateway.peers;
    for _ in 0..2 {
        let now = gateway.clock.now();
        let first = lock(&peers.candidates).first(now).cloned();
        let Some(first) = first else {
            let sums = fleet_sums(gateway, now);
            apply_loads(gateway, now, &sums.loads, None);
            lock(&gateway.picker).told_silent(now, &sums.silent);
            gateway.set_budget_sums(now, sums.budgets.clone());
            take_own_crash_report(gateway, now);
            return;
        };
        match exchange_with(gateway, first.address, ExchangePurpose::Aggregate) {
            Ok(()) => {
                lock(&peers.candidates).note_heard(&first.node);
                return;
            }
            Err(fault) => {
                log::info!("event=peer_silent peer={} reason={fault:?}", first.node);
                lock(&peers.candidates).note_silent(gateway.clock.now(), &first.node);
            }
        }
    }
}

/// Takes this instance's own word on servers that ended, as the one to which all turn.
fn take_own_crash_report(gateway: &Gateway, now: Instant) {
    let suspicion = &gateway.suspicion;
    if !gateway.settings.first_start && gateway.peers.has_joined(now) {
        suspicion.want_table();
    }
    let report = suspicion.report(now);
    suspicion.take_report(now, &report);
    suspicion.note_told(gateway.peers.run, &report);
    suspicion.watch(now, &suspicion.watched(now));
    if suspicion.is_alert(now) {
        suspicion.alert(now);
    }
}

/// Learns from other instances what the store does not tell.
pub fn catch_up(gateway: &Gateway) {
    let now = gateway.clock.now();
    {
        let mut last = lock(&gateway.peers.last_round);
        if last.is_some_and(|at| now.saturating_duration_since(at) < ROUND_INTERVAL_MIN) {
            return;
        }
        *last = Some(now);
    }
    if gateway.peers.is_aggregator(now) {
        return request_store_read(gateway, now);
    }
    for address in gateway.peers.random_peers(&gateway.settings.seeds, PEERS_PER_ROUND) {
        if let Err(fault) = exchange_with(gateway, address, ExchangePurpose::Query) {
            log::info!("event=peer_silent peer={address} reason={fault:?}");
        }
    }
}

/// Has another instance read the store, for those that turn to this one.
fn request_store_read(gateway: &Gateway, now: Instant) {
    let peers = &gateway.peers;
    for _ in 0..helper::ASKED {
        let helper = lock(&peers.helper).pick(now, &lock(&peers.candidates));
        let Some(helper) = helper else { return };
        let Err(fault) = exchange_with(gateway, helper.address, ExchangePurpose::ReadStore) else {
            return;
        };
        log::info!("event=no_help peer={} reason={fault:?}", helper.node);
        lock(&peers.helper).failed();
    }
}

/// Asks the instances that the settings name, one after the other, for all, until what one tells is enough; returns
/// whether it is. One that has just started itself answers, and tells of nobody and nothing.
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

/// Makes one exchange.
fn exchange_with(
    gateway: &Gateway,
    address: SocketAddr,
    purpose: ExchangePurpose,
) -> Result<(), String> {
    let peers = &gateway.peers;
    let sent_at = gateway.clock.now();
    let (list, version) = (gateway.cluster_state.list_version(), gateway.cluster_state.version());
    let (from, instances) = {
        let candidates = lock(&peers.candidates);
        (candidates.own().clone(), candidates.version())
    };
    let (counts, silent) = {
        let picker = lock(&gateway.picker);
        (picker.own_counts(), picker.own_silent(sent_at))
    };
    // Others than the one that all turn to know only a part.
    let to_aggregator = purpose == ExchangePurpose::Aggregate;
    let suspicion =
        if to_aggregator { gateway.suspicion.report(sent_at) } else { Default::default() };
    let report = ExchangeReport {
        from,
        counts: counts.clone(),
        unresponsive: silent,
        run: peers.run,
        suspicion,
        spending: if to_aggregator { gateway.spending(sent_at) } else { Vec::new() },
        rollouts: if to_aggregator { gateway.rollouts.reports(gateway) } else { Vec::new() },
        rollout_states: gateway.rollouts.told(sent_at),
        intent_version: version,
        // An instance that starts takes what it can get, and so does one that asks.
        wants_intent: !to_aggregator || version == 0,
        purpose,
        list_version: list,
        instances_hash: instances,
    };
    let mut reply: ExchangeReply = peers
        .links
        .call(Purpose::Loads, address, EXCHANGE_PATH, &report)
        .map_err(|e| e.to_string())?;
    let told = gateway.clock.now();
    let (watched, lasting): (Vec<_>, Vec<_>) =
        reply.verdicts.iter().partition(|told| told.judgement == Judgement::Watched);
    gateway.suspicion.take_verdicts(told, &lasting, "peer");
    if to_aggregator {
        gateway.suspicion.note_told(reply.run, &report.suspicion);
        gateway.suspicion.watch(told, &watched);
        if reply.crash_alert {
            gateway.suspicion.alert(told);
        }
        apply_loads(gateway, told, &reply.loads, Some(counts));
        lock(&gateway.picker).told_silent(told, &reply.unresponsive);
        gateway.set_budget_sums(told, std::mem::take(&mut reply.budgets));
    }
    apply_reply(gateway, reply, list, sent_at);
    Ok(())
}

/// Takes what all instances have in flight; `told` is what this one had told of its own, where that is
/// not what it has now.
fn apply_loads(gateway: &Gateway, now: Instant, loads: &[ServiceLoad], told: Option<Vec<Count>>) {
    let crowded = {
        let mut picker = lock(&gateway.picker);
        let own = told.unwrap_or_else(|| picker.own_counts());
        picker.set_fleet_loads(now, loads, &own)
    };
    for Crowded { server, load, limit } in crowded {
        log::info!("event=server_crowded server={server} load={load:.1} limit={limit:.1}");
    }
}

/// Takes what is new in the list that was of `version`, and current at `as_of`.
fn apply_list(
    gateway: &Gateway,
    version: Option<ListVersion>,
    reply: ListNews,
    as_of: Instant,
    era: StoreEra,
) {
    let cluster_state = &gateway.cluster_state;
    let is_same = matches!(reply, ListNews::Same);
    if is_same && cluster_state.confirm_list(gateway.clock.now(), version, as_of, era) {
        return;
    }
    if let Some(servers) = cluster_state.apply_list_update(version, reply) {
        roster_reader::take(gateway, servers, as_of, era, "peer");
    }
}

fn apply_reply(
    gateway: &Gateway,
    reply: ExchangeReply,
    list: Option<ListVersion>,
    sent_at: Instant,
) {
    // Before an intent or a list by which the instance may become ready.
    gateway.accept_orders(reply.orders, "peer");
    gateway.rollouts.take_told(gateway, &reply.rollout_states, "peer");
    intent_reader::apply_changes(gateway, &reply.changes);
    let then = |age_ms: u64| sent_at.checked_sub(Duration::from_millis(age_ms));
    if let Some(ConfirmedAgo { age_ms, store }) = reply.confirmed
        && let Some(at) = then(age_ms)
    {
        gateway.cluster_state.confirm(reply.intent_version, Confirmed { at, store });
    }
    gateway.cluster_state.note_version(gateway.clock.now(), reply.intent_version);
    if let Some(as_of) = reply.list_age_ms.and_then(then) {
        apply_list(gateway, list, reply.list, as_of, reply.list_era);
    }
    if let Some(instances) = reply.instances {
        lock(&gateway.peers.candidates).take(instances);
        gateway.instances_changed();
    }
}
