//! Shares of teams at this instance: records the demand of callers, reports it in exchanges and applies the limits.

use std::time::Instant;

use indexmap::IndexMap;

use super::{Gateway, request::Request};
use crate::{
    names::{Tag, TeamName},
    routing::{ServiceDemand, ServiceLimits, ServiceLoad, TeamLimitChange},
    utils::sync::lock,
};

impl Gateway {
    /// Returns whether the operator has configured teams.
    fn has_teams(&self) -> bool {
        self.cluster_state.intent().is_some_and(|intent| intent.teams.needs_key())
    }

    /// Records a caller's request as demand of its team.
    pub(super) fn note_team_request(&self, now: Instant, request: &Request) {
        if self.has_teams() {
            let key = || request.digest().0;
            let mut picker = lock(&self.picker);
            picker.team_usage().note_request(now, &request.service, request.team_tag(), key);
        }
    }

    /// Records that a request was rejected, so that its caller may send it again.
    pub(super) fn note_rejection(&self, now: Instant, request: &Request) {
        if self.has_teams() {
            let key = request.digest().0;
            lock(&self.picker).team_usage().note_rejection(now, &request.service, key);
        }
    }

    /// Returns the demand of teams at this instance, to report it.
    pub(super) fn team_demands(&self, now: Instant) -> Vec<ServiceDemand> {
        lock(&self.picker).team_demands(now, fastrand::f64())
    }

    /// Returns the limits of teams that follow from the reports of all instances including this one; `None` while they
    /// are incomplete. `loads` are the requests in flight of all instances.
    pub(super) fn fleet_team_limits(
        &self,
        now: Instant,
        loads: &[ServiceLoad],
    ) -> Option<Vec<ServiceLimits>> {
        let own = self.team_demands(now);
        let (instances, period) = (self.peers.instances(), self.peers.period());
        let mut demand = lock(&self.peers.team_demand);
        demand.record_report(now, self.settings.node.clone(), own);
        let slots = |service: &_| lock(&self.picker).slot_usage(now, service, loads);
        demand.limits(now, instances, period, slots)
    }

    /// Applies the aggregator's limits of teams as of `as_of`.
    pub(super) fn apply_team_limits(
        &self,
        now: Instant,
        as_of: Instant,
        limits: Option<&[ServiceLimits]>,
    ) {
        let changes = lock(&self.picker).set_team_limits(now, as_of, limits);
        if changes.is_empty() {
            return;
        }
        let intent = self.cluster_state.intent();
        let teams = intent.iter().flat_map(|intent| intent.teams.keys());
        let names: IndexMap<Tag, &TeamName> =
            teams.map(|(_, team)| (Tag::of(team.name.as_str()), &team.name)).collect();
        for TeamLimitChange { service, team, share, level, age } in changes {
            log::info!(
                "event=team_limited service={service} team={} state={} share={:.3} level={:.1} \
                 age_ms={}",
                names.get(&team).map_or("", |name| name.as_str()),
                if share.is_some() { "begun" } else { "ended" },
                share.unwrap_or(1.0),
                level.per_second(),
                age.as_millis()
            );
        }
    }
}
