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
    answering::{SUMS_AGE, Sums, sums},
    cold_permits::{PERMIT_PATH, PERMIT_TIME, PermitAsk, PermitReply},
    intent_reader,
    messages::{Asks, ConfirmedAgo, News, Report},
    rollout_table::{ROLLOUT_PATH, RolloutTableReply, RolloutTableRequest},
    roster_reader,
    settings::GatewaySettings,
    spread::{OFFER_PATH, Offer, OfferReply},
};
use crate::{
    clock::Clock,
    link::{
        peer::PeerLinks,
        traffic::{Purpose, Traffic},
    },
    routing::{
        Aggregate, Candidates, Confirmation, Crowded, FallbackReader, FleetBudget, FleetPosition,
        InFlightCount, InstanceInfo, Judgement, ListVersion, RosterRole, RunId, ServerListUpdate,
        ServiceLoad, StartupWait, StoreEra, WatchRole, fallback_reader,
    },
    utils::{recent::Recent, sync::lock},
};

/// Path of the exchange.
pub(super) const EXCHANGE_PATH: &str = "/exchange";

/// Longest pause in an exchange with another instance: many round trips, and less than the news may age.
pub(super) const EXCHANGE_TIME: Duration = Duration::from_millis(300);

/// Least pause between two exchanges: several within the time that a stream takes.
const PERIOD_MIN: Duration = Duration::from_millis(250);

/// Time that the instance asked has for each exchange: four hundred a second, a few hundredths of a
/// processor.
const PERIOD_PER_INSTANCE: Duration = Duration::from_micros(2500);

/// Longest pause between two exchanges: with it and the pause between two reads of the servers'
/// list, news are younger than the age at which an instance reads for itself.
const PERIOD_MAX: Duration = Duration::from_millis(900);

/// Instances asked when the store cannot be read.
const ASKED: usize = 2;

/// Least pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Time after its start from which an instance that knows no other counts as alone, whether it could learn of
/// others or not: what it read at its start is still young then.
const JOIN_MAX: Duration = Duration::from_millis(1500);

/// How long an instance that others turn to goes on to read the store for them.
const READS_FOR_OTHERS: Duration = Duration::from_millis(3000);

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
    pub(super) start: StartupWait,
    pub(super) sums: Recent<Sums>,
    last_round: Mutex<Option<Instant>>,
    /// The one that reads for this one while the store turns it away.
    fallback_reader: Mutex<FallbackReader>,
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
        let is_asked = settings.seeds.is_empty() || settings.seeds.contains(&own.address);
        Peers {
            budget: Mutex::new(FleetBudget::new(run, settings.bounds.retries.window)),
            run,
            traffic: traffic.clone(),
            permit_links: PeerLinks::new(clock.clone(), None, PERMIT_TIME, traffic.clone()),
            links: PeerLinks::new(clock.clone(), None, EXCHANGE_TIME, traffic.clone()),
            candidates: Mutex::new(Candidates::new(own)),
            aggregate: Mutex::default(),
            joined: AtomicBool::new(false),
            started: clock.now(),
            start: StartupWait::new(clock.now(), is_asked, fastrand::f64()),
            sums: Recent::new(SUMS_AGE),
            last_round: Mutex::default(),
            fallback_reader: Mutex::default(),
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
        let alone = self.knows_others(now) && lock(&self.candidates).aggregator(now).is_none();
        alone || self.is_read_from(now)
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
    pub(super) fn knows_others(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.started) >= JOIN_MAX;
        waited || self.joined.load(Ordering::Relaxed)
    }

    /// Returns whether others have turned to this instance lately.
    pub(super) fn is_read_from(&self, now: Instant) -> bool {
        let own = lock(&self.candidates).own().node.clone();
        let heard = lock(&self.aggregate).last_report(&own);
        heard.is_some_and(|at| now.saturating_duration_since(at) < READS_FOR_OTHERS)
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
    pub fn ask_helper_for_rollouts(
        &self,
        now: Instant,
        ask: &RolloutTableRequest,
    ) -> Option<RolloutTableReply> {
        for _ in 0..fallback_reader::ATTEMPTS_MAX {
            let fallback_reader = lock(&self.fallback_reader).pick(now, &lock(&self.candidates))?;
            match self.links.call(Purpose::Config, fallback_reader.address, ROLLOUT_PATH, ask) {
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

    /// Asks another instance for a permit.
    ///
    /// # Errors
    ///
    /// Why it did not answer, for logs.
    pub fn ask_permit(&self, of: SocketAddr, ask: &PermitAsk) -> Result<PermitReply, String> {
        let reply = self.permit_links.call(Purpose::Permits, of, PERMIT_PATH, ask);
        reply.map_err(|fault| fault.to_string())
    }

    /// Returns whether `instance` is this one.
    pub fn is_own(&self, instance: &InstanceInfo) -> bool {
        lock(&self.candidates).own().node == instance.node
    }

    /// Returns the pause between two exchanges.
    pub(super) fn period(&self) -> Duration {
        let instances = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        PERIOD_PER_INSTANCE.saturating_mul(instances).clamp(PERIOD_MIN, PERIOD_MAX)
    }

    /// Returns up to `count` other addresses, drawn anew each time.
    fn draw(&self, seeds: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
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
        let first = lock(&peers.candidates).aggregator(now).cloned();
        let Some(first) = first else {
            let sums = sums(gateway, now);
            take_loads(gateway, now, &sums.loads, None);
            lock(&gateway.picker).note_reported_unresponsive(now, &sums.silent);
            gateway.set_budget_sums(now, sums.budgets.clone());
            judge_own(gateway, now);
            return;
        };
        match ask(gateway, first.address, Asks::InTurn) {
            Ok(()) => {
                lock(&peers.candidates).note_responsive(&first.node);
                return;
            }
            Err(fault) => {
                log::info!("event=peer_silent peer={} reason={fault:?}", first.node);
                lock(&peers.candidates).note_unresponsive(gateway.clock.now(), &first.node);
            }
        }
    }
}

/// Takes this instance's own word on servers that ended, as the one to which all turn.
fn judge_own(gateway: &Gateway, now: Instant) {
    let crash_suspects = &gateway.crash_suspects;
    if !gateway.settings.first_start && gateway.peers.knows_others(now) {
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

/// Learns from other instances what the store does not tell.
pub fn catch_up(gateway: &Gateway) {
    let now = gateway.clock.now();
    {
        let mut last = lock(&gateway.peers.last_round);
        if last.is_some_and(|at| now.saturating_duration_since(at) < ROUND_PAUSE) {
            return;
        }
        *last = Some(now);
    }
    if gateway.peers.is_read_from(now) {
        return ask_helper(gateway, now);
    }
    for address in gateway.peers.draw(&gateway.settings.seeds, ASKED) {
        if let Err(fault) = ask(gateway, address, Asks::Once) {
            log::info!("event=peer_silent peer={address} reason={fault:?}");
        }
    }
}

/// Has another instance read the store, for those that turn to this one.
fn ask_helper(gateway: &Gateway, now: Instant) {
    let peers = &gateway.peers;
    for _ in 0..fallback_reader::ATTEMPTS_MAX {
        let fallback_reader = lock(&peers.fallback_reader).pick(now, &lock(&peers.candidates));
        let Some(fallback_reader) = fallback_reader else { return };
        let Err(fault) = ask(gateway, fallback_reader.address, Asks::ToRead) else { return };
        log::info!("event=no_help peer={} reason={fault:?}", fallback_reader.node);
        lock(&peers.fallback_reader).failed();
    }
}

/// Asks the instances that the settings name, one after the other, for all, until what one tells is enough; returns
/// whether it is. One that has just started itself answers, and tells of nobody and nothing.
pub fn ask_seed(gateway: &Gateway, is_enough: impl Fn() -> bool) -> bool {
    let mut seeds = gateway.settings.seeds.clone();
    if gateway.peers.is_seed(&seeds) {
        return false;
    }
    fastrand::shuffle(&mut seeds);
    seeds.into_iter().any(|seed| ask(gateway, seed, Asks::Once).is_ok() && is_enough())
}

/// Makes one exchange.
fn ask(gateway: &Gateway, address: SocketAddr, asks: Asks) -> Result<(), String> {
    let peers = &gateway.peers;
    let asked = gateway.clock.now();
    let (list, version) = (gateway.knowledge.list_version(), gateway.knowledge.version());
    let (from, instances) = {
        let candidates = lock(&peers.candidates);
        (candidates.own().clone(), candidates.version())
    };
    let (counts, silent) = {
        let picker = lock(&gateway.picker);
        (picker.own_counts(), picker.own_unresponsive(asked))
    };
    // Others than the one that all turn to know only a part.
    let in_turn = asks == Asks::InTurn;
    let crash_suspects =
        if in_turn { gateway.crash_suspects.report(asked) } else { Default::default() };
    let report = Report {
        from,
        counts: counts.clone(),
        silent,
        run: peers.run,
        crash_suspects,
        spending: if in_turn { gateway.spending(asked) } else { Vec::new() },
        rollouts: if in_turn { gateway.rollouts.reports(gateway) } else { Vec::new() },
        rollout_states: gateway.rollouts.updates(asked),
        version,
        // An instance that starts takes what it can get, and so does one that asks.
        wants_intent: !in_turn || version == 0,
        asks,
        list,
        instances,
    };
    let mut news: News = peers
        .links
        .call(Purpose::Loads, address, EXCHANGE_PATH, &report)
        .map_err(|e| e.to_string())?;
    let told = gateway.clock.now();
    let (watched, lasting): (Vec<_>, Vec<_>) =
        news.verdicts.iter().partition(|told| told.judgement == Judgement::Watched);
    gateway.crash_suspects.apply_verdicts(told, &lasting, "peer");
    if in_turn {
        gateway.crash_suspects.mark_reported(news.run, &report.crash_suspects);
        gateway.crash_suspects.watch(told, &watched);
        if news.servers_end {
            gateway.crash_suspects.alert(told);
        }
        take_loads(gateway, told, &news.loads, Some(counts));
        lock(&gateway.picker).note_reported_unresponsive(told, &news.silent);
        gateway.set_budget_sums(told, std::mem::take(&mut news.budgets));
    }
    take(gateway, news, list, asked);
    Ok(())
}

/// Takes what all instances have in flight; `told` is what this one had told of its own, where that is
/// not what it has now.
fn take_loads(
    gateway: &Gateway,
    now: Instant,
    loads: &[ServiceLoad],
    told: Option<Vec<InFlightCount>>,
) {
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
fn take_list(
    gateway: &Gateway,
    version: Option<ListVersion>,
    news: ServerListUpdate,
    as_of: Instant,
    era: StoreEra,
) {
    let knowledge = &gateway.knowledge;
    let is_same = matches!(news, ServerListUpdate::Same);
    if is_same && knowledge.confirm_list(gateway.clock.now(), version, as_of, era) {
        return;
    }
    if let Some(servers) = knowledge.apply_list_news(version, news) {
        roster_reader::take(gateway, servers, as_of, era, "peer");
    }
}

fn take(gateway: &Gateway, news: News, list: Option<ListVersion>, asked: Instant) {
    // Before an intent or a list by which the instance may become ready.
    gateway.take_orders(news.orders, "peer");
    gateway.rollouts.apply_updates(gateway, &news.rollout_states, "peer");
    intent_reader::take_changes(gateway, &news.changes);
    let then = |age_ms: u64| asked.checked_sub(Duration::from_millis(age_ms));
    if let Some(ConfirmedAgo { age_ms, store }) = news.confirmed
        && let Some(at) = then(age_ms)
    {
        gateway.knowledge.confirm(news.version, Confirmation { at, store });
    }
    gateway.knowledge.told_of(gateway.clock.now(), news.version);
    if let Some(as_of) = news.list_age_ms.and_then(then) {
        take_list(gateway, list, news.list, as_of, news.list_era);
    }
    if let Some(instances) = news.instances {
        lock(&gateway.peers.candidates).apply_update(instances);
        gateway.instances_changed();
    }
}
