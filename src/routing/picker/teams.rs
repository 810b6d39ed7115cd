//! Demand and limits of teams, as a pick applies them.
//!
//! It handles loads beyond the capacity of a service: the aggregator decides on the limits, and this instance
//! rejects by them.

use std::time::{Duration, Instant};

use super::Picker;
use crate::{
    names::{ServiceName, Tag},
    routing::{
        PickError, PickRequest, ServiceLoad,
        admission::{
            ServiceDemand, ServiceLimits, SlotUsage, TeamLimitChange, TeamLimits, TeamUsage,
            TeamVerdict,
        },
    },
};

impl Picker {
    /// Returns the demand of teams at this instance.
    pub fn team_usage(&mut self) -> &mut TeamUsage {
        &mut self.team_usage
    }

    /// Returns the limits of teams.
    pub fn team_limits(&self) -> &TeamLimits {
        &self.team_limits
    }

    /// Returns the demand of each service in use, to report it; `draw` is a random number in [0, 1).
    pub fn team_demands(&mut self, now: Instant, draw: f64) -> Vec<ServiceDemand> {
        let slot_time = |service: &ServiceName| -> Option<Duration> {
            self.admission.get(service)?.slot_time()
        };
        self.team_usage.report(now, draw, slot_time)
    }

    /// Returns the slots of a service's servers that accept requests; `None` if there are none, or if some servers do
    /// not state them. `loads` are the requests in flight of all instances.
    pub fn slot_usage(
        &self,
        now: Instant,
        service: &ServiceName,
        loads: &[ServiceLoad],
    ) -> Option<SlotUsage> {
        let (_, total) = self.slots(now, service).filter(|(_, slots)| *slots > 0.0)?;
        let servers = self.servers_of(service).count();
        let mean = loads.iter().find(|l| l.service == *service).map_or(0.0, |l| l.mean);
        let in_flight = f64::from(mean) * servers as f64;
        let body_time = self.admission.get(service).map_or(Duration::ZERO, |a| a.body_time());
        Some(SlotUsage { total, servers, in_flight, body_time })
    }

    /// Applies the aggregator's limits of teams as of `as_of`; returns those that have begun or ended.
    pub fn set_team_limits(
        &mut self,
        now: Instant,
        as_of: Instant,
        limits: Option<&[ServiceLimits]>,
    ) -> Vec<TeamLimitChange> {
        self.team_limits.apply(now, as_of, limits)
    }

    /// Checks whether a request is within its team's share of capacity.
    pub(super) fn check_team_share(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
    ) -> Result<(), PickError> {
        let Some(terms) = request.admission else { return Ok(()) };
        match self.team_limits.verdict(now, request.service, terms.team) {
            TeamVerdict::Limited(share) if request.draw() >= share => {
                Err(PickError::TeamShare { share })
            }
            _ => Ok(()),
        }
    }

    /// Returns whether a team's demand fits into the capacity that is divided among teams.
    pub(super) fn team_fits(&self, now: Instant, service: &ServiceName, team: Tag) -> bool {
        self.team_limits.verdict(now, service, team) == TeamVerdict::Fits
    }
}
