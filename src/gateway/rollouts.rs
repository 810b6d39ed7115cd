//! Roll-outs at this instance: operators' orders, the stage of each roll-out, and the responses of both versions.

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
    /// Evaluations from the reports of all instances, if this one is the aggregator.
    pub(super) evaluations: Mutex<IndexMap<ServiceName, VersionEvaluation>>,
    /// Wakes the controller before its next interval.
    pub(super) wakeup: Signal,
    is_recording: AtomicBool,
    /// Whether the thread of the controller runs.
    pub(super) is_controller_running: AtomicBool,
}

impl Rollouts {
    /// Replaces the active orders; returns whether they have changed.
    pub fn set_orders(
        &self,
        gateway: &Gateway,
        orders: &IndexMap<ServiceName, RolloutOrder>,
    ) -> bool {
        if !lock(&self.states).set_orders(orders) {
            return false;
        }
        self.apply_splits(gateway);
        self.start_evidence(orders);
        self.wakeup.set();
        for (service, order) in orders {
            let to = &order.to;
            log::warn!("event=rollout_ordered service={service} to={to}");
        }
        true
    }

    /// Starts to record responses of versions that are ordered and undecided, and discards the evidence on others.
    fn start_evidence(&self, orders: &IndexMap<ServiceName, RolloutOrder>) {
        let states = lock(&self.states);
        let is_open = |(service, order): &(&ServiceName, &RolloutOrder)| {
            !states.state(service, &order.to).is_some_and(|known| known.stage.is_final())
        };
        let mut evidence = lock(&self.evidence);
        evidence.retain(|service, of| orders.get(service).is_some_and(|o| o.to == *of.to()));
        for (service, order) in orders.iter().filter(is_open) {
            let new = || RolloutEvidence::new(order.to.clone());
            evidence.entry(service.clone()).or_insert_with(new);
        }
        self.is_recording.store(!evidence.is_empty(), Ordering::Relaxed);
    }

    /// Discards the evidence on a version that is decided.
    fn discard_evidence(&self, service: &ServiceName, to: &SoftwareVersion) {
        let mut evidence = lock(&self.evidence);
        if evidence.get(service).is_some_and(|of| of.to() == to) {
            evidence.swap_remove(service);
        }
        self.is_recording.store(!evidence.is_empty(), Ordering::Relaxed);
    }

    /// Applies states of roll-outs that were decided here, or received in the reply to a request that was sent at
    /// `sent_at`.
    pub fn apply_updates(
        &self,
        gateway: &Gateway,
        sent_at: Instant,
        updates: &[RolloutUpdate],
        source: &str,
    ) {
        let merge =
            |states: &mut RolloutStates, update: &RolloutUpdate| states.merge(sent_at, update);
        self.merge_all(gateway, updates, source, merge);
    }

    /// Applies states of roll-outs that another instance reported.
    pub fn apply_reported_updates(&self, gateway: &Gateway, updates: &[RolloutUpdate]) {
        let now = gateway.clock.now();
        let merge =
            |states: &mut RolloutStates, update: &RolloutUpdate| states.merge_reported(now, update);
        self.merge_all(gateway, updates, "report", merge);
    }

    fn merge_all(
        &self,
        gateway: &Gateway,
        updates: &[RolloutUpdate],
        source: &str,
        merge: impl Fn(&mut RolloutStates, &RolloutUpdate) -> Option<Stage>,
    ) {
        if updates.is_empty() {
            return;
        }
        let changed: Vec<Option<Stage>> = {
            let mut states = lock(&self.states);
            updates.iter().map(|update| merge(&mut states, update)).collect()
        };
        // Before anything else: until then, requests are split as before.
        self.apply_splits(gateway);
        for (update, changed) in updates.iter().zip(changed) {
            let RolloutState { service, to, term, .. } = &update.state;
            if let Some(stage) = changed {
                log::warn!(
                    "event=rollout_stage service={service} to={to} stage={stage:?} term={term} \
                     source={source} age_ms={}",
                    update.age_ms
                );
            }
            if changed.is_some_and(Stage::is_final) {
                self.discard_evidence(service, to);
            }
        }
    }

    /// Returns whether any roll-out is undecided, or its decision is not stored yet for operators to read.
    pub fn has_unfinished(&self) -> bool {
        let states = lock(&self.states);
        let is_open = |(service, order): (&ServiceName, &RolloutOrder)| {
            !states.state(service, &order.to).is_some_and(RolloutState::is_done)
        };
        states.orders().iter().any(is_open)
    }

    fn apply_splits(&self, gateway: &Gateway) {
        let version_splits = lock(&self.states).version_splits();
        lock(&gateway.picker).set_version_splits(version_splits);
    }

    /// Returns the states of roll-outs to propagate to other instances.
    pub fn updates(&self, now: Instant) -> Vec<RolloutUpdate> {
        lock(&self.states).updates(now)
    }

    /// Notes a request sent to a server.
    pub fn note_sent(&self, server: &BackendServer) {
        self.note(server, |evidence| evidence.note_sent(server.version.as_ref()));
    }

    /// Notes the result of a request on a route at a server.
    pub fn note_response(
        &self,
        route: &str,
        server: &BackendServer,
        observation: ResponseObservation,
    ) {
        let version = server.version.as_ref();
        self.note(server, |evidence| {
            evidence.note_response(Tag::of(route), server.tag(), version, observation);
        });
    }

    fn note(&self, server: &BackendServer, note: impl FnOnce(&mut RolloutEvidence)) {
        if !self.is_recording.load(Ordering::Relaxed) {
            return;
        }
        if let Some(evidence) = lock(&self.evidence).get_mut(&server.service) {
            note(evidence);
        }
    }

    /// Returns the evidence of this instance on undecided roll-outs.
    pub fn reports(&self, gateway: &Gateway) -> Vec<RolloutReport> {
        if !self.is_recording.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let picker = lock(&gateway.picker);
        let evidence = lock(&self.evidence);
        let report = |(service, of): (&ServiceName, &RolloutEvidence)| {
            of.report(service, picker.in_flight_outside_version(service, of.to()))
        };
        evidence.iter().map(report).collect()
    }

    /// Applies the evidence of an instance. A version that is found bad gets no requests from then on, whichever
    /// instance holds its record in the store and whether or not the store can be reached.
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
            let evaluation = evaluations
                .entry(service.clone())
                .or_insert_with(|| VersionEvaluation::new(to.clone()));
            if *evaluation.to() != to {
                *evaluation = VersionEvaluation::new(to.clone());
            }
            evaluation.set_domains(domains(gateway, &service, &to));
            evaluation.add_report(now, node, run, report);
            if !evaluation.is_bad() {
                continue;
            }
            let regression_score = evaluation.regression_score();
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
            let known = states.state(service, to).filter(|known| !known.stage.is_final());
            let Some(known) = known else { return };
            RolloutState {
                stage: Stage::RolledBack,
                step: known.step.saturating_add(1),
                share: 0.0,
                is_written: false,
                ..known.clone()
            }
        };
        let now = gateway.clock.now();
        self.apply_updates(gateway, now, &[RolloutUpdate { state, age_ms: 0 }], "own");
        self.wakeup.set();
        log::warn!("event=version_is_bad service={service} to={to} doubt={regression_score:.1}");
    }
}

/// Returns the failure domains of the listed servers of a version.
fn domains(gateway: &Gateway, service: &ServiceName, to: &SoftwareVersion) -> FailureDomains {
    gateway.cluster_state.with_servers(|roster| {
        let servers = roster.servers().filter(|s| s.service == *service);
        let new = servers.filter(|s| s.version.as_ref() == Some(to));
        FailureDomains::new(new.map(|s| (s.tag(), Tag::of(s.zone.as_str()))))
    })
}
