//! What this instance knows of roll-outs: operators' orders, how far each has come, and how both versions answer.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use indexmap::IndexMap;

use super::Gateway;
use crate::{
    names::{NodeName, ServiceName, SoftwareVersion, Tag},
    routing::{
        BackendServer, FailureDomains, ResponseObservation, RolloutEvidence, RolloutOrder,
        RolloutReport, RolloutState, RolloutStates, RolloutUpdate, RunId, Stage, VersionEvaluation,
    },
    utils::{signal::Signal, sync::lock},
};

/// Roll-outs, as this instance knows them.
#[derive(Debug, Default)]
pub struct Rollouts {
    pub(super) states: Mutex<RolloutStates>,
    evidence: Mutex<IndexMap<ServiceName, RolloutEvidence>>,
    /// What all instances have told, where they turn to this one.
    pub(super) evaluations: Mutex<IndexMap<ServiceName, VersionEvaluation>>,
    /// Is set when there is something new to do for the instance that takes roll-outs further.
    pub(super) wakeup: Signal,
    is_noting: AtomicBool,
    /// Whether a thread takes roll-outs further.
    pub(super) is_controller_running: AtomicBool,
}

impl Rollouts {
    /// Takes the orders in force; returns whether they are others than before.
    pub fn set_orders(
        &self,
        gateway: &Gateway,
        orders: &IndexMap<ServiceName, RolloutOrder>,
    ) -> bool {
        if !lock(&self.states).set_orders(orders) {
            return false;
        }
        for (service, order) in orders {
            let to = &order.to;
            log::warn!("event=rollout_ordered service={service} to={to}");
        }
        self.begin_evidence(orders);
        self.put_in_force(gateway);
        self.wakeup.set();
        true
    }

    /// Begins to note how versions answer that are ordered and not decided, and forgets what was noted of others.
    fn begin_evidence(&self, orders: &IndexMap<ServiceName, RolloutOrder>) {
        let states = lock(&self.states);
        let is_open = |(service, order): &(&ServiceName, &RolloutOrder)| {
            !states.of(service, &order.to).is_some_and(|known| known.stage.is_final())
        };
        let mut evidence = lock(&self.evidence);
        evidence.retain(|service, of| orders.get(service).is_some_and(|o| o.to == *of.to()));
        for (service, order) in orders.iter().filter(is_open) {
            let begin = || RolloutEvidence::new(order.to.clone());
            evidence.entry(service.clone()).or_insert_with(begin);
        }
        self.is_noting.store(!evidence.is_empty(), Ordering::Relaxed);
    }

    /// Ends the evidence on a version that is decided.
    fn end_evidence(&self, service: &ServiceName, to: &SoftwareVersion) {
        let mut evidence = lock(&self.evidence);
        if evidence.get(service).is_some_and(|of| of.to() == to) {
            evidence.swap_remove(service);
        }
        self.is_noting.store(!evidence.is_empty(), Ordering::Relaxed);
    }

    /// Takes what another instance tells of roll-outs, or this one has decided.
    pub fn apply_updates(&self, gateway: &Gateway, told: &[RolloutUpdate], source: &str) {
        if told.is_empty() {
            return;
        }
        let now = gateway.clock.now();
        for told in told {
            let news = lock(&self.states).take(now, told);
            let RolloutState { service, to, term, .. } = &told.state;
            if let Some(stage) = news {
                log::warn!(
                    "event=rollout_stage service={service} to={to} stage={stage:?} term={term} source={source}"
                );
            }
            if news.is_some_and(Stage::is_final) {
                self.end_evidence(service, to);
            }
        }
        self.put_in_force(gateway);
    }

    /// Returns whether a roll-out has not come to its end, or operators cannot read yet that it has.
    pub fn has_unfinished(&self) -> bool {
        let states = lock(&self.states);
        let is_open = |(service, order): (&ServiceName, &RolloutOrder)| {
            !states.of(service, &order.to).is_some_and(RolloutState::is_done)
        };
        states.orders().iter().any(is_open)
    }

    fn put_in_force(&self, gateway: &Gateway) {
        let version_splits = lock(&self.states).version_splits();
        lock(&gateway.picker).set_version_splits(version_splits);
    }

    /// Returns what other instances are told of roll-outs.
    pub fn updates(&self, now: Instant) -> Vec<RolloutUpdate> {
        lock(&self.states).updates(now)
    }

    /// Notes a request sent to a server.
    pub fn note_sent(&self, server: &BackendServer) {
        self.note(server, |evidence| evidence.note_sent(server.version.as_ref()));
    }

    /// Notes what became of a request on a route at a server.
    pub fn note_response(&self, route: &str, server: &BackendServer, seen: ResponseObservation) {
        let version = server.version.as_ref();
        self.note(server, |evidence| {
            evidence.note_response(Tag::of(route), server.tag(), version, seen);
        });
    }

    fn note(&self, server: &BackendServer, note: impl FnOnce(&mut RolloutEvidence)) {
        if !self.is_noting.load(Ordering::Relaxed) {
            return;
        }
        if let Some(evidence) = lock(&self.evidence).get_mut(&server.service) {
            note(evidence);
        }
    }

    /// Returns what this instance has seen of roll-outs that are under way.
    pub fn reports(&self, gateway: &Gateway) -> Vec<RolloutReport> {
        if !self.is_noting.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let picker = lock(&gateway.picker);
        let evidence = lock(&self.evidence);
        let report = |(service, of): (&ServiceName, &RolloutEvidence)| {
            of.report(service, picker.in_flight_outside_version(service, of.to()))
        };
        evidence.iter().map(report).collect()
    }

    /// Takes what an instance has seen; a version that is found bad gets nothing from then on, whoever holds its record in
    /// the store and whether that can be reached or not.
    pub fn apply_reports(
        &self,
        gateway: &Gateway,
        node: &NodeName,
        run: RunId,
        reports: Vec<RolloutReport>,
    ) {
        let now = gateway.clock.now();
        for report in reports {
            let service = report.service.clone();
            let is_ordered = lock(&self.states)
                .orders()
                .get(&service)
                .is_some_and(|order| order.to == report.to);
            if !is_ordered {
                continue;
            }
            let mut evaluations = lock(&self.evaluations);
            let to = report.to.clone();
            let judge = evaluations
                .entry(service.clone())
                .or_insert_with(|| VersionEvaluation::new(to.clone()));
            if *judge.to() != to {
                *judge = VersionEvaluation::new(to.clone());
            }
            judge.set_domains(domains(gateway, &service, &to));
            judge.take(now, node, run, report);
            if !judge.is_bad() {
                continue;
            }
            let regression_score = judge.regression_score();
            drop(evaluations);
            self.roll_back(gateway, &service, &to, regression_score);
        }
    }

    fn roll_back(
        &self,
        gateway: &Gateway,
        service: &ServiceName,
        to: &SoftwareVersion,
        regression_score: f64,
    ) {
        let state = {
            let states = lock(&self.states);
            let known = states.of(service, to).filter(|known| !known.stage.is_final());
            let Some(known) = known else { return };
            RolloutState {
                stage: Stage::RolledBack,
                step: known.step + 1,
                share: 0.0,
                is_written: false,
                ..known.clone()
            }
        };
        log::warn!("event=version_is_bad service={service} to={to} doubt={regression_score:.1}");
        self.apply_updates(gateway, &[RolloutUpdate { state, age_ms: 0 }], "own");
        self.wakeup.set();
    }
}

/// Returns how the listed servers of a version are grouped.
fn domains(gateway: &Gateway, service: &ServiceName, to: &SoftwareVersion) -> FailureDomains {
    gateway.cluster_state.with_servers(|roster| {
        let servers = roster.servers().filter(|s| s.service == *service);
        let new = servers.filter(|s| s.version.as_ref() == Some(to));
        FailureDomains::new(new.map(|s| (s.tag(), Tag::of(s.zone.as_str()))))
    })
}
