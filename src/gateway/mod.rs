//! An instance on a platform whose store has the list of backend servers and the operator's intent.
//!
//! `connection` reads requests of callers, `forward` sends them to a backend server and writes the response, and
//! `stream` forwards events. `intent_reader`, `roster_reader` and `exchange` keep `cluster_state` up to date. By
//! `instance_table`, instances discover each other.

mod attempt_results;
pub mod attempts;
pub mod buffers;
pub mod cluster_state;
pub mod cold_permits;
mod connecting;
pub mod connection;
mod counts_log;
mod crash_checks;
pub mod crash_suspects;
pub mod drain;
pub mod exchange;
pub mod forward;
mod gap_check;
mod gauges;
pub mod handle;
mod head_deadline;
pub mod held_table;
pub mod in_flight;
pub mod instance_table;
pub mod intent_reader;
pub mod intent_relay;
mod listeners;
pub mod log_sink;
pub mod messages;
pub mod notices;
mod path_probes;
pub mod peer_server;
pub mod peers;
pub mod pick_error;
mod probe;
pub mod relay;
pub mod request;
mod request_log;
mod responding;
pub mod response;
pub mod rollout_controller;
pub mod rollout_table;
pub mod rollouts;
pub mod roster_reader;
mod send_queue;
pub mod server_call;
pub mod server_conns;
pub mod server_list_cache;
pub mod server_path;
pub mod settings;
pub mod skipped_log;
pub mod skipped_rows;
pub mod slot_leases;
pub mod stall_timer;
pub mod startup;
pub mod stream;
pub mod stream_origins;
mod stream_version;
mod team_shares;
mod threads;
pub mod tunnels;
mod version_registry;

use std::{
    collections::HashSet,
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Instant,
};

use anyhow::Context as _;
use indexmap::IndexMap;

pub use self::handle::GatewayHandle;
use self::{
    buffers::{BufferHold, Buffers},
    cluster_state::ClusterState,
    cold_permits::ColdPermits,
    crash_checks::CrashChecks,
    crash_suspects::CrashSuspects,
    drain::Drain,
    gap_check::GapCheck,
    in_flight::InFlightGuard,
    path_probes::PathProbes,
    peers::Peers,
    request::Request,
    rollouts::Rollouts,
    server_conns::ServerConns,
    server_list_cache::ServerListCache,
    settings::GatewaySettings,
    skipped_log::SkippedLog,
    skipped_rows::SkippedRows,
    slot_leases::SlotLeases,
    stream_origins::StreamVersions,
    tunnels::Tunnels,
    version_registry::RegistryReads,
};
use crate::{
    adapter::{
        servers::SkippedEntry,
        store::{Store, StoreError, StoreRow},
    },
    clock::Clock,
    link::dialer::Dialer,
    metrics::Metrics,
    names::{ServiceName, TeamName},
    routing::{
        BudgetSum, CallKind, Incarnation, OrdersSnapshot, PickError, PickRequest, Picked, Picker,
        PromptTag, RetryBudget, RetrySpending, StoreShare,
    },
    utils::{signal::Signal, supervisor::RequiredThreads, sync::lock, usage::Usage},
};

/// Maximum number of connections to a server whose service is not in the intent.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// The state that the threads of an instance share.
pub struct Gateway {
    /// Settings, as they were at the start.
    pub settings: GatewaySettings,
    /// Clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// The platform's store.
    pub store: Store,
    /// Newest intent, orders and servers received.
    pub cluster_state: ClusterState,
    /// Loads and health of servers.
    pub picker: Mutex<Picker>,
    /// Pooled connections to servers.
    pub conns: ServerConns,
    /// Other instances.
    pub peers: Peers,
    /// Requests that crash servers.
    pub crash_suspects: CrashSuspects,
    /// Servers that may have crashed.
    crash_checks: CrashChecks,
    /// Roll-outs of versions.
    pub rollouts: Rollouts,
    /// Permits for requests to cold servers.
    cold_permits: ColdPermits,
    /// Slot leases of small services.
    pub slot_leases: SlotLeases,
    /// Versions at which streams began.
    pub stream_versions: StreamVersions,
    /// What was read of the registry of versions.
    registry_reads: RegistryReads,
    /// Tunnels to backend servers through other instances.
    pub tunnels: Tunnels,
    /// Probes of the paths to servers.
    path_probes: PathProbes,
    /// Finds out whether a gap between lists of servers was an outage of the store.
    gap_check: GapCheck,
    /// Drain before the process stops.
    pub drain: Drain,
    /// Threads without which the instance must not get new callers.
    required_threads: RequiredThreads,
    /// Whether the handle of the instance was dropped.
    is_stopped: AtomicBool,
    /// Set when this instance becomes the aggregator, which reads the store for the others.
    pub store_read_requested: Signal,
    /// Requests in flight.
    pub usage: Usage,
    /// Bytes held for callers.
    pub buffers: Buffers,
    /// Start of this process, unless all instances start for the first time.
    restarted_at: Option<Instant>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    store_share: Arc<Mutex<StoreShare>>,
    store_lost: Mutex<bool>,
    skipped_log: Mutex<SkippedLog>,
    skipped_rows: Mutex<SkippedRows>,
    server_list_cache: Mutex<Option<ServerListCache>>,
}

impl Gateway {
    /// Creates the state of an instance that is not running yet; `dialer` connects to backend servers.
    ///
    /// # Errors
    ///
    /// The metrics or a pipe cannot be created.
    pub fn open(
        settings: GatewaySettings,
        clock: &Clock,
        dialer: Dialer,
    ) -> anyhow::Result<Gateway> {
        let metrics = Metrics::new()?;
        let share = StoreShare::new(settings.store.rates, clock.now());
        let store_share = Arc::new(Mutex::new(share));
        let restarted_at = (!settings.first_start).then(|| clock.now());
        Ok(Gateway {
            clock: clock.clone(),
            metrics: metrics.clone(),
            store: open_store(&settings, clock, metrics.clone(), &store_share),
            store_share,
            cluster_state: ClusterState::new(settings.bounds.intent_apply_time),
            picker: Mutex::new(open_picker(&settings)),
            conns: ServerConns::new(clock.clone(), dialer),
            peers: Peers::new(&settings, clock, &metrics.traffic()),
            crash_suspects: CrashSuspects::default(),
            crash_checks: CrashChecks::default(),
            rollouts: Rollouts::default(),
            cold_permits: ColdPermits::default(),
            slot_leases: SlotLeases::new(&settings, clock, &metrics.traffic()),
            stream_versions: StreamVersions::new(restarted_at),
            registry_reads: RegistryReads::default(),
            tunnels: Tunnels::default(),
            path_probes: PathProbes::default(),
            gap_check: GapCheck::default(),
            drain: Drain::open().context("cannot create a pipe")?,
            required_threads: RequiredThreads::default(),
            is_stopped: AtomicBool::new(false),
            store_read_requested: Signal::default(),
            usage: Usage::default(),
            buffers: Buffers::new(settings.buffer_bytes),
            restarted_at,
            budgets: Mutex::default(),
            store_lost: Mutex::default(),
            skipped_log: Mutex::default(),
            skipped_rows: Mutex::default(),
            server_list_cache: Mutex::default(),
            settings,
        })
    }

    /// Ends the threads of the instance. Otherwise they would go on to send reports, and to write rows, to addresses that
    /// others may have by then.
    fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.store_read_requested.set();
        self.rollouts.wakeup.set();
    }

    /// Returns whether the instance has not been stopped.
    fn is_running(&self) -> bool {
        !self.is_stopped.load(Ordering::Relaxed)
    }

    /// Returns the number of instances among which limits of the whole fleet are divided.
    pub fn instances(&self) -> usize {
        self.peers.instances().max(self.settings.seeds.len())
    }

    /// Divides the limits of the whole fleet anew, after the list of instances has changed.
    pub fn instances_changed(&self) {
        self.conns.set_instances(self.instances());
        lock(&self.picker).set_position(self.peers.position());
        lock(&self.store_share).set_instances(self.instances());
        self.slots_changed();
    }

    /// Counts a request of a caller for the retry budget and for the load statistics of its service.
    pub fn note_request(&self, now: Instant, request: &Request) {
        let service = &request.service;
        let terms = &self.settings.bounds.retries;
        let mut budgets = lock(&self.budgets);
        self.budget_of(&mut budgets, service).record_request(now, terms);
        drop(budgets);
        lock(&self.picker).note_request(now, service, request.priority);
        self.note_team_request(now, request);
    }

    /// Returns a hold on buffered bytes for a caller of `team`.
    pub fn buffer_hold(&self, team: Option<TeamName>) -> BufferHold<'_> {
        let intent = self.cluster_state.intent();
        let has_other_teams = intent.is_some_and(|intent| intent.teams.has_several());
        self.buffers.hold(team, has_other_teams)
    }

    /// Picks a server and counts the request there under the same lock, so that concurrent requests take each other
    /// into account.
    ///
    /// # Errors
    ///
    /// No server of the service is available, or all their queues are too long.
    pub fn pick(
        &self,
        now: Instant,
        wanted: &PickRequest<'_>,
    ) -> Result<(Picked, InFlightGuard<'_>), PickError> {
        let mut picker = lock(&self.picker);
        let picked = picker.pick(now, wanted)?;
        let server = picked.server.id.clone();
        picker.start_request(now, &server);
        let prompt = wanted.affinity.map(PromptTag::of);
        if let Some(prompt) = prompt {
            picker.prompts().start_request(prompt);
        }
        Ok((picked, InFlightGuard { gateway: self, server, prompt, lease: None }))
    }

    /// Returns whether the budget of `service` has a retry left beyond `reserve`.
    pub fn has_retry(&self, now: Instant, service: &ServiceName, reserve: f64) -> bool {
        let instances = self.instances();
        let terms = &self.settings.bounds.retries;
        let mut budgets = lock(&self.budgets);
        self.budget_of(&mut budgets, service).allows(now, terms, instances, reserve)
    }

    /// Returns the retries that this instance has spent at each service, for the sums over all instances.
    pub fn spending(&self, now: Instant) -> Vec<RetrySpending> {
        let terms = &self.settings.bounds.retries;
        let mut budgets = lock(&self.budgets);
        budgets.iter_mut().map(|(service, budget)| budget.spending(now, terms, service)).collect()
    }

    /// Sets the retries that all instances have spent.
    pub fn set_budget_sums(&self, now: Instant, sums: Vec<BudgetSum>) {
        let mut budgets = lock(&self.budgets);
        for sum in sums {
            let service = sum.service.clone();
            self.budget_of(&mut budgets, &service).set_fleet_sum(now, sum, fastrand::f64());
        }
    }

    /// Takes one retry from the budget of `service`, if it has one left beyond `reserve`; returns whether it had.
    pub fn take_retry(&self, now: Instant, service: &ServiceName, reserve: f64) -> bool {
        let instances = self.instances();
        let mut budgets = lock(&self.budgets);
        let terms = &self.settings.bounds.retries;
        self.budget_of(&mut budgets, service).take(now, terms, instances, reserve)
    }

    fn budget_of<'b>(
        &self,
        budgets: &'b mut IndexMap<ServiceName, RetryBudget>,
        service: &ServiceName,
    ) -> &'b mut RetryBudget {
        budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(self.restarted_at))
    }

    /// Returns the maximum number of connections that a server of `service` accepts from all instances together.
    pub fn max_connections(&self, service: &ServiceName) -> u32 {
        let intent = self.cluster_state.intent();
        let spec = intent.as_ref().and_then(|intent| intent.services.get(service));
        spec.map_or(DEFAULT_MAX_CONNECTIONS, |spec| spec.max_connections)
    }

    /// Updates the picker and the connection pool after the list of servers has changed.
    pub fn servers_changed(&self) {
        let listed: HashSet<Incarnation> = self.cluster_state.with_servers(|roster| {
            let mut picker = lock(&self.picker);
            picker.set_servers(self.clock.now(), roster.servers());
            picker.set_cold(roster.cold());
            roster.servers().map(|server| server.id.clone()).collect()
        });
        self.conns.retain(|server| listed.contains(server));
        self.note_listed_versions();
        self.slots_changed();
    }

    /// Applies a snapshot of operators' orders that was read or received.
    pub fn accept_orders(&self, snapshot: OrdersSnapshot, source: &str) {
        if self.cluster_state.offer_orders(self.clock.now(), snapshot) && self.refresh_orders() {
            log::info!("event=orders_known source={source}");
        }
    }

    /// Applies the orders that are active now: evacuated zones receive no new requests, zones that are no longer
    /// evacuated do, and roll-outs start or stop. Returns whether anything has changed.
    pub fn refresh_orders(&self) -> bool {
        let now = self.clock.now();
        let (zones, previous, rollouts_changed) = self.cluster_state.apply_orders(now, |orders| {
            let previous = lock(&self.picker).set_evacuated(orders.zones.clone());
            (orders.zones, previous, self.rollouts.set_orders(self, &orders.rollouts))
        });
        if zones != previous {
            self.slots_changed();
        }
        for zone in zones.difference(&previous) {
            log::warn!("event=zone_evacuated zone={zone}");
        }
        for zone in previous.difference(&zones) {
            log::warn!("event=zone_taken_back zone={zone}");
            let duration =
                |service: &ServiceName| self.cold_terms(service).map(|terms| terms.duration);
            self.cluster_state.assume_cold(now, zone, duration);
            self.servers_changed();
        }
        zones != previous || rollouts_changed
    }

    /// Closes idle connections that cannot be used again.
    fn close_unusable_conns(&self) {
        self.conns.close_unusable();
        self.peers.close_unusable();
        self.store.close_unusable();
    }

    /// Removes a server whose address now belongs to another one.
    pub fn remove_server(&self, id: &Incarnation) {
        self.cluster_state.remove_server(id);
        self.servers_changed();
    }

    /// Decodes the rows of a table, and logs those that cannot be decoded.
    fn decode_rows<T, E: fmt::Display>(
        &self,
        table: &'static str,
        rows: &[StoreRow],
        decode: impl Fn(&StoreRow) -> Result<T, E>,
    ) -> Vec<T> {
        let (mut decoded, mut skipped) = (Vec::new(), Vec::new());
        for row in rows {
            match decode(row) {
                Ok(value) => decoded.push(value),
                Err(error) => skipped.push(SkippedEntry::new(row, &error)),
            }
        }
        lock(&self.skipped_rows).log_new(table, &skipped);
        decoded
    }

    /// Notes that the store replied.
    pub fn store_responded(&self) {
        *lock(&self.store_lost) = false;
    }

    /// Notes a failed call to the store. Only the first of consecutive failures is logged.
    pub fn store_failed(&self, what: &str, fault: &StoreError) {
        let mut lost = lock(&self.store_lost);
        if !*lost {
            *lost = true;
            log::warn!("event=store_lost while_reading={what} reason={:?}", fault.to_string());
        }
    }

    /// Returns whether the active intent was confirmed recently enough to deny a request because of it.
    pub fn intent_is_fresh(&self, now: Instant) -> bool {
        let bound = self.settings.bounds.intent_apply_time.max(self.settings.roster_period() * 2);
        let is_recent = self.cluster_state.intent_age(now).is_some_and(|age| age <= bound);
        is_recent && self.cluster_state.with_watch(|watch| watch.is_settled(now))
    }

    /// Returns whether the platform should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        // The picker receives a list after the cluster state, and without servers it refuses all requests.
        let has_servers = lock(&self.picker).has_servers();
        let is_complete = has_servers && self.cluster_state.intent().is_some();
        let now = self.clock.now();
        // What this instance knows gets ever older while one of these threads keeps ending. If the same row ends them at
        // all instances, the platform goes on to use all of them.
        let is_informed = !self.is_out_of_date(now) && self.required_threads.failing(now).is_none();
        is_complete && !self.drain.is_draining() && is_informed
    }

    /// Returns whether the active intent has been outdated for longer than a change may take to apply. New callers
    /// should then use another instance.
    fn is_out_of_date(&self, now: Instant) -> bool {
        let outdated = self.cluster_state.with_watch(|watch| watch.outdated_for(now));
        outdated.is_some_and(|time| time > self.settings.bounds.intent_apply_time)
    }
}

fn open_picker(settings: &GatewaySettings) -> Picker {
    let mut picker = Picker::new(settings.zone.clone(), settings.bounds.load);
    picker.set_regions(settings.regions.clone());
    picker.await_counts();
    picker
}

/// Opens the store. Calls beyond this instance's share of the store's rate wait.
fn open_store(
    settings: &GatewaySettings,
    clock: &Clock,
    metrics: Metrics,
    share: &Arc<Mutex<StoreShare>>,
) -> Store {
    let (limit_clock, share) = (clock.clone(), Arc::clone(share));
    let limit = move |kind: CallKind| loop {
        let admitted = lock(&share).take(limit_clock.now(), kind);
        match admitted {
            Ok(()) => return,
            Err(wait) => thread::sleep(wait),
        }
    };
    Store::new(settings.store.address, clock.clone(), metrics, limit)
}
