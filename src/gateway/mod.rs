//! A running instance on a platform that lists backend servers and keeps the operator's intent.
//!
//! `connection` reads a caller's request, `forward` finds it a backend server and answers it,
//! `stream` passes events on; `intent_reader`, `roster_reader` and `peers` keep `knowledge` fresh;
//! `instance_table` tells instances of each other.

pub mod answering;
pub mod cold_permits;
pub mod connection;
pub mod crash_suspects;
pub mod drain;
pub mod exchange;
pub mod flight;
pub mod forward;
pub mod handle;
pub mod held_table;
pub mod instance_table;
pub mod intent_reader;
pub mod knowledge;
pub mod list_read;
mod listeners;
pub mod log_sink;
pub mod messages;
pub mod notices;
pub mod peers;
pub mod reply;
pub mod request;
pub mod rollout_controller;
pub mod rollout_table;
pub mod rollouts;
pub mod roster_reader;
pub mod server_conns;
pub mod settings;
pub mod silence;
pub mod skipped_log;
pub mod spread;
pub mod start;
pub mod stream;
pub mod tries;
pub mod unpicked;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use anyhow::Context as _;
use indexmap::IndexMap;

pub use self::handle::GatewayHandle;
use self::{
    cold_permits::ColdPermits, crash_suspects::CrashSuspects, drain::Drain, flight::Flight,
    knowledge::Knowledge, list_read::ListRead, peers::Peers, request::Request, rollouts::Rollouts,
    server_conns::ServerConns, settings::GatewaySettings, skipped_log::SkippedLog,
};
use crate::{
    adapter::store::{Store, StoreFault},
    clock::Clock,
    metrics::Metrics,
    names::ServiceName,
    routing::{
        BudgetSum, CallKind, Incarnation, OrdersSnapshot, PickError, PickRequest, Picked, Picker,
        RetryBudget, RetrySpending, StoreShare,
    },
    utils::{signal::Signal, sync::lock, usage::Usage},
};

/// Connections to a server of a service that no intent describes.
const CONNECTIONS_UNKNOWN: u32 = 16;

/// What the parts of an instance share.
pub struct Gateway {
    /// Settings, as they were at the start.
    pub settings: GatewaySettings,
    /// Clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// The platform's store.
    pub store: Store,
    /// What is believed of intent and servers.
    pub knowledge: Knowledge,
    /// Loads and health of servers.
    pub picker: Mutex<Picker>,
    /// Kept connections to servers.
    pub conns: ServerConns,
    /// Other instances.
    pub peers: Peers,
    /// Requests that end servers.
    pub crash_suspects: CrashSuspects,
    /// Roll-outs of versions.
    pub rollouts: Rollouts,
    /// Requests to cold servers.
    cold_permits: ColdPermits,
    /// State of leaving.
    pub drain: Drain,
    /// Is set when others begin to turn to this instance, which then reads the store for them.
    pub reader_wanted: Signal,
    /// Requests in flight and bytes of their bodies.
    pub usage: Usage,
    /// When this process started, if the instance may have run before.
    restarted: Option<Instant>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    store_share: Arc<Mutex<StoreShare>>,
    store_lost: Mutex<bool>,
    skipped_log: Mutex<SkippedLog>,
    list_read: Mutex<Option<ListRead>>,
}

impl Gateway {
    /// Returns an instance that has not begun to run.
    ///
    /// # Errors
    ///
    /// The metrics or a pipe cannot be made.
    pub fn open(settings: GatewaySettings, clock: &Clock) -> anyhow::Result<Gateway> {
        let metrics = Metrics::new()?;
        let share = StoreShare::new(settings.source.rates, clock.now());
        let store_share = Arc::new(Mutex::new(share));
        Ok(Gateway {
            clock: clock.clone(),
            metrics: metrics.clone(),
            store: open_store(&settings, clock, metrics.clone(), &store_share),
            store_share,
            knowledge: Knowledge::new(settings.bounds.intent_in_force),
            picker: Mutex::new(open_picker(&settings)),
            conns: ServerConns::new(clock.clone()),
            peers: Peers::new(&settings, clock, &metrics.traffic()),
            crash_suspects: CrashSuspects::default(),
            rollouts: Rollouts::default(),
            cold_permits: ColdPermits::default(),
            drain: Drain::open().context("cannot make a pipe")?,
            reader_wanted: Signal::default(),
            usage: Usage::default(),
            restarted: (!settings.first_start).then(|| clock.now()),
            budgets: Mutex::default(),
            store_lost: Mutex::default(),
            skipped_log: Mutex::default(),
            list_read: Mutex::default(),
            settings,
        })
    }

    /// Returns how many instances share the fleet's bounds.
    pub fn instances(&self) -> usize {
        self.peers.instances().max(self.settings.seeds.len())
    }

    /// Divides what all instances share by their number, after other instances became known.
    pub fn instances_changed(&self) {
        self.conns.set_instances(self.instances());
        lock(&self.picker).set_position(self.peers.position());
        lock(&self.store_share).set_instances(self.instances());
    }

    /// Notes a caller's request, for the retry budget and for what is learnt of its service.
    pub fn note_request(&self, now: Instant, request: &Request) {
        let service = &request.service;
        let terms = &self.settings.bounds.retries;
        let mut budgets = lock(&self.budgets);
        self.budget_of(&mut budgets, service).record_request(now, terms);
        drop(budgets);
        let target = request.route.target_latency;
        lock(&self.picker).note_request(now, service, request.priority, target);
    }

    /// Picks a server and counts the request there at once, so that requests that come together see
    /// each other.
    ///
    /// # Errors
    ///
    /// No server of the service may be used, or all have too long a queue.
    pub fn pick(
        &self,
        now: Instant,
        wanted: &PickRequest<'_>,
    ) -> Result<(Picked, Flight<'_>), PickError> {
        let mut picker = lock(&self.picker);
        let picked = picker.pick(now, wanted)?;
        let server = picked.server.id.clone();
        picker.start_request(now, &server);
        Ok((picked, Flight { gateway: self, server }))
    }

    /// Returns whether the budget of `service` has a repeat.
    pub fn has_repeat(&self, now: Instant, service: &ServiceName, reserve: f64) -> bool {
        let instances = self.instances();
        let terms = &self.settings.bounds.retries;
        let mut budgets = lock(&self.budgets);
        self.budget_of(&mut budgets, service).allows(now, terms, instances, reserve)
    }

    /// Returns what this instance has spent at each service, for the sums over all.
    pub fn spending(&self, now: Instant) -> Vec<RetrySpending> {
        let terms = &self.settings.bounds.retries;
        let mut budgets = lock(&self.budgets);
        budgets.iter_mut().map(|(service, budget)| budget.spending(now, terms, service)).collect()
    }

    /// Takes what all instances have spent.
    pub fn set_budget_sums(&self, now: Instant, sums: Vec<BudgetSum>) {
        let mut budgets = lock(&self.budgets);
        for sum in sums {
            let service = sum.service.clone();
            self.budget_of(&mut budgets, &service).set_fleet_sum(now, sum, fastrand::f64());
        }
    }

    /// Takes one repeat from the budget of `service`.
    pub fn take_repeat(&self, now: Instant, service: &ServiceName, reserve: f64) -> bool {
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
        budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(self.restarted))
    }

    /// Returns how many connections a server of `service` takes from all instances.
    pub fn connections_of(&self, service: &ServiceName) -> u32 {
        let intent = self.knowledge.intent();
        let spec = intent.as_ref().and_then(|intent| intent.services.get(service));
        spec.map_or(CONNECTIONS_UNKNOWN, |spec| spec.max_connections)
    }

    /// Takes over a changed list of servers.
    pub fn servers_changed(&self) {
        let known: HashSet<Incarnation> = self.knowledge.with_servers(|roster| {
            let mut picker = lock(&self.picker);
            picker.set_servers(self.clock.now(), roster.servers());
            picker.set_cold(roster.cold());
            roster.servers().map(|server| server.id.clone()).collect()
        });
        self.conns.retain(|server| known.contains(server));
    }

    /// Takes what was read or told of operators' orders.
    pub fn take_orders(&self, told: OrdersSnapshot, source: &str) {
        if self.knowledge.offer_orders(self.clock.now(), told) && self.refresh_orders() {
            log::info!("event=orders_known source={source}");
        }
    }

    /// Has nothing new sent to the zones that are to be empty by now, and some to those that are taken back, and takes up
    /// roll-outs; returns whether anything has changed.
    pub fn refresh_orders(&self) -> bool {
        let now = self.clock.now();
        let (zones, former, rollouts_changed) = self.knowledge.apply_orders(now, |orders| {
            let former = lock(&self.picker).set_evacuated(orders.zones.clone());
            (orders.zones, former, self.rollouts.set_orders(self, &orders.rollouts))
        });
        for zone in zones.difference(&former) {
            log::warn!("event=zone_evacuated zone={zone}");
        }
        for zone in former.difference(&zones) {
            log::warn!("event=zone_taken_back zone={zone}");
            let lasts =
                |service: &ServiceName| self.cold_terms(service).map(|terms| terms.duration);
            self.knowledge.assume_cold(now, zone, lasts);
            self.servers_changed();
        }
        zones != former || rollouts_changed
    }

    /// Forgets a server whose address answered as another one.
    pub fn forget_server(&self, id: &Incarnation) {
        self.knowledge.forget_server(id);
        self.servers_changed();
    }

    /// Notes that the store answered.
    pub fn store_answered(&self) {
        *lock(&self.store_lost) = false;
    }

    /// Notes a failed call; the first of a series is logged.
    pub fn store_failed(&self, what: &str, fault: &StoreFault) {
        let mut lost = lock(&self.store_lost);
        if !*lost {
            *lost = true;
            log::warn!("event=store_lost while_reading={what} reason={:?}", fault.to_string());
        }
    }

    /// Returns whether the intent in force is recent enough to deny a request by it.
    pub fn intent_is_fresh(&self, now: Instant) -> bool {
        let bound = self.settings.bounds.intent_in_force.max(self.settings.roster_period() * 2);
        let is_young = self.knowledge.intent_age(now).is_some_and(|age| age <= bound);
        is_young && self.knowledge.with_watch(|watch| watch.is_settled(now))
    }

    /// Brings the metrics that are looked up, not counted, up to date.
    fn show_gauges(&self) {
        let now = self.clock.now();
        self.metrics.revision(self.knowledge.version());
        self.metrics.revision_newest(self.knowledge.with_watch(|watch| watch.newest()));
        for (subject, age) in [
            ("intent", self.knowledge.intent_age(now)),
            ("servers", self.knowledge.servers_age(now)),
        ] {
            if let Some(age) = age {
                self.metrics.knowledge_age(subject, age);
            }
        }
        let terms = &self.settings.bounds.retries;
        for (service, budget) in lock(&self.budgets).iter_mut() {
            self.metrics.budget_spent(service, budget.spent(now, terms));
        }
        for (server, count) in lock(&self.picker).in_flight() {
            self.metrics.in_flight_at(server, count);
        }
        let confirmed = self.knowledge.with_watch(|watch| watch.confirmed());
        self.metrics.store_era(confirmed.map_or(0, |confirmed| confirmed.store.era.0));
        self.metrics.evacuated_zones(self.knowledge.evacuated(now).len());
        for (service, share) in lock(&self.picker).new_version_shares(now) {
            self.metrics.rollout_share(&service, share);
        }
        self.metrics.cold_servers(lock(&self.picker).cold_count(now));
        self.metrics.held_requests(self.crash_suspects.held_count());
        self.metrics.log_lines_left_out(log_sink::take_left_out());
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let served = self.knowledge.with_servers(|roster| roster.servers().next().is_some());
        let knows = served && self.knowledge.intent().is_some();
        knows && !self.drain.is_draining() && !self.is_out_of_date(self.clock.now())
    }

    /// Returns whether a newer intent has been known to exist for longer than changes may take: new callers
    /// are better off with another instance.
    fn is_out_of_date(&self, now: Instant) -> bool {
        let behind = self.knowledge.with_watch(|watch| watch.outdated_for(now));
        behind.is_some_and(|behind| behind > self.settings.bounds.intent_in_force)
    }
}

fn open_picker(settings: &GatewaySettings) -> Picker {
    let mut picker = Picker::new(settings.zone.clone(), settings.bounds.load);
    picker.set_regions(settings.regions.clone());
    picker
}

/// Opens the store; calls beyond this instance's share wait for their turn.
fn open_store(
    settings: &GatewaySettings,
    clock: &Clock,
    metrics: Metrics,
    share: &Arc<Mutex<StoreShare>>,
) -> Store {
    let (paced, share) = (clock.clone(), Arc::clone(share));
    let pace = move |kind: CallKind| loop {
        let turn = lock(&share).take(paced.now(), kind);
        match turn {
            Ok(()) => return,
            Err(wait) => thread::sleep(wait),
        }
    };
    Store::new(settings.source.address, clock.clone(), metrics, pace)
}
