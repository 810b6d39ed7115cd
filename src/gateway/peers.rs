//! The other instances as this one knows them, and the connections to them.
//!
//! `exchange` makes the periodic exchange with them. One of them, the aggregator (see `routing::candidates`), reads the
//! store for all.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{
    cold_permits::{PERMIT_PATH, PERMIT_TIMEOUT, PermitReply, PermitRequest},
    exchange::EXCHANGE_TIMEOUT,
    gap_check::{LIST_READS_PATH, ListReadsQuery, ListReadsReply},
    intent_relay::{OFFER_PATH, Offer, OfferReply},
    peer_server::{FleetSums, SUMS_MAX_AGE},
    rollout_table::{ROLLOUT_PATH, RolloutTableReply, RolloutTableRequest},
    settings::GatewaySettings,
    stream_origins::messages::{ORIGIN_PATH, ORIGIN_TIMEOUT, OriginQuery, OriginReply},
};
use crate::{
    clock::Clock,
    link::{
        peer::{PeerClient, PeerError},
        traffic::{Purpose, TrafficCounter},
    },
    names::NodeName,
    routing::{
        Aggregate, CallFailure, Candidates, FallbackReader, FleetBudget, FleetDemand,
        FleetPosition, InstanceInfo, ReaderTakeover, RosterRole, RunId, StartupWait, WatchRole,
        fallback_reader,
    },
    utils::{cached::Cached, sync::lock},
};

/// Minimum time between two exchanges. Several exchanges take place within the duration of a stream.
const EXCHANGE_PERIOD_MIN: Duration = Duration::from_millis(250);

/// Time between two exchanges at the aggregator: it serves 400 a second, which takes a few hundredths of a processor
/// core.
const PERIOD_PER_INSTANCE: Duration = Duration::from_micros(2500);

/// Maximum time between two exchanges. Together with the time between two reads of the list of servers it is less than
/// the age at which an instance reads the store itself.
const EXCHANGE_PERIOD_MAX: Duration = Duration::from_millis(900);

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
    pub(super) links: PeerClient,
    /// Connections for probes, whose timeout is longer since the other instance may be slow.
    pub(super) probe_links: PeerClient,
    /// Whether a probe is in progress.
    pub(super) is_probing: AtomicBool,
    /// Separate connections, so that permits do not wait for exchanges.
    permit_links: PeerClient,
    /// Separate connections for questions about streams, for which callers wait.
    origin_links: PeerClient,
    /// Known instances, in the order in which they become the aggregator.
    pub(super) candidates: Mutex<Candidates>,
    /// Decides when this instance polls the store for the intent.
    pub(super) takeover: Mutex<ReaderTakeover>,
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
    /// Last round of queries for what is missing.
    pub(super) last_rounds: Mutex<IndexMap<Missing, Instant>>,
    /// Chooses an instance that reads the store while it rejects this one.
    pub(super) fallback_reader: Mutex<FallbackReader>,
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
        let probe_timeout = takeover.silence_max().max(EXCHANGE_TIMEOUT);
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&own.address);
        Peers {
            budget: Mutex::new(FleetBudget::new(run, settings.bounds.retries.window)),
            run,
            traffic: traffic.clone(),
            permit_links: PeerClient::new(clock.clone(), None, PERMIT_TIMEOUT, traffic.clone()),
            origin_links: PeerClient::new(clock.clone(), None, ORIGIN_TIMEOUT, traffic.clone()),
            probe_links: PeerClient::new(clock.clone(), None, probe_timeout, traffic.clone()),
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
    pub(super) fn note_exchange(
        &self,
        now: Instant,
        aggregator: &NodeName,
        result: &Result<(), PeerError>,
    ) {
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
                Ok(RolloutTableReply::Failed(reason)) => log_no_help(&fallback_reader, &reason),
                Ok(reply) => return Some(reply),
                Err(fault) => log_no_help(&fallback_reader, &fault.to_string()),
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

    /// Asks another instance about streams and versions.
    ///
    /// # Errors
    ///
    /// The reason why it did not reply, for logs.
    pub fn ask_origin(&self, of: SocketAddr, query: &OriginQuery) -> Result<OriginReply, String> {
        let reply = self.origin_links.call(Purpose::Streams, of, ORIGIN_PATH, query);
        reply.map_err(|fault| fault.to_string())
    }

    /// Asks another instance when it has received lists of servers.
    ///
    /// # Errors
    ///
    /// The reason why it did not reply, for logs.
    pub(super) fn ask_list_reads(&self, of: SocketAddr) -> Result<ListReadsReply, String> {
        let query = ListReadsQuery::default();
        let reply = self.links.call(Purpose::Loads, of, LIST_READS_PATH, &query);
        reply.map_err(|fault| fault.to_string())
    }

    /// Returns whether `instance` is this one.
    pub fn is_own(&self, instance: &InstanceInfo) -> bool {
        lock(&self.candidates).own().node == instance.node
    }

    /// Closes idle connections to other instances that cannot be used again.
    pub(super) fn close_unusable(&self) {
        let all = [&self.links, &self.probe_links, &self.permit_links, &self.origin_links];
        all.into_iter().for_each(PeerClient::close_unusable);
    }

    /// Returns the time between two exchanges, which grows with the number of instances.
    pub(super) fn period(&self) -> Duration {
        let instances = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        PERIOD_PER_INSTANCE
            .saturating_mul(instances)
            .clamp(EXCHANGE_PERIOD_MIN, EXCHANGE_PERIOD_MAX)
    }

    /// Returns the addresses of up to `count` other instances, chosen at random.
    pub(super) fn random_peers(&self, seeds: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
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

/// Logs that an instance could not access the store for this one.
pub(super) fn log_no_help(peer: &InstanceInfo, reason: &str) {
    log::info!("event=no_help peer={} reason={reason:?}", peer.node);
}
