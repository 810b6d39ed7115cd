//! Metrics that show the state of an instance as it is when they are read.

use super::{Gateway, log_sink};
use crate::{
    routing::{BufferKind, SuspectKind},
    utils::{supervisor, sync::lock},
};

impl Gateway {
    /// Updates the metrics that are gauges.
    pub(super) fn update_gauges(&self) {
        let now = self.clock.now();
        self.metrics.revision(self.cluster_state.version());
        self.metrics.revision_newest(self.cluster_state.with_watch(|watch| watch.newest()));
        for (subject, age) in [
            ("intent", self.cluster_state.intent_age(now)),
            ("servers", self.cluster_state.servers_age(now)),
            ("counts", lock(&self.picker).counts_age(now)),
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
        let confirmed = self.cluster_state.with_watch(|watch| watch.confirmed());
        self.metrics.store_era(confirmed.map_or(0, |confirmed| confirmed.store.era.0));
        self.metrics.evacuated_zones(self.cluster_state.evacuated_zones(now).len());
        for (service, share) in lock(&self.picker).new_version_shares(now) {
            self.metrics.rollout_share(&service, share);
        }
        self.metrics.cold_servers(lock(&self.picker).cold_count(now));
        for kind in BufferKind::ALL {
            self.metrics.buffered_bytes(kind.name(), self.buffers.held(kind));
        }
        for (service, count) in lock(&self.picker).team_limits().counts(now) {
            self.metrics.limited_teams(service, count);
        }
        self.metrics.held_requests(self.crash_suspects.held_count(SuspectKind::Request));
        self.metrics.held_parts(self.crash_suspects.held_count(SuspectKind::Part));
        let kept = self.cluster_state.with_servers(|roster| roster.kept().count());
        self.metrics.kept_servers(kept);
        self.metrics.ready(self.is_ready());
        self.metrics.tunnels_served(self.tunnels.served());
        self.update_reach_gauges();
        self.update_lease_gauges();
        for (thread, count) in supervisor::panics() {
            self.metrics.thread_panics(&thread, count);
        }
        self.metrics.log_lines_left_out(log_sink::take_dropped());
    }

    /// Updates the gauges of the servers that this instance does not reach.
    fn update_reach_gauges(&self) {
        let Some(intent) = self.cluster_state.intent() else { return };
        for service in intent.services.keys() {
            let counts = lock(&self.picker).reach_counts(service);
            self.metrics.unreached_servers(service, counts.unreached);
        }
    }
}
