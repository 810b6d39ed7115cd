//! Demand of teams over all instances, as the aggregator sums it up, and the limits that follow from it.
//!
//! It handles loads in which the requests to a service exceed its capacity because of some of its teams: capacity is
//! divided so that the demand of the others is met in full (max-min).

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{
    demand_sums::DemandSums,
    saturated_time::SaturatedTime,
    service_shares::{ServiceShares, SlotUsage},
    service_time::ServiceTime,
    team_messages::{ServiceDemand, ServiceLimits},
};
use crate::names::{NodeName, ServiceName};

/// Age at which the report of an instance is dropped, as its counts are.
const REPORT_MAX_AGE: Duration = Duration::from_millis(2500);

/// Time in which all instances have reported to a new aggregator, in exchange periods: periods vary by a tenth.
const ALL_REPORTED_PERIODS: f64 = 1.1;

/// Share of a service's capacity below which the rates of its teams are not followed: no limit is near. Above it they
/// are, so that averages exist when the demand reaches the capacity.
const FOLLOWED_FROM: f64 = 0.5;

/// Demand of teams over all instances.
#[derive(Debug, Default)]
pub struct FleetDemand {
    reports: IndexMap<NodeName, (Instant, Vec<ServiceDemand>)>,
    sums: IndexMap<ServiceName, DemandSums>,
    service_times: IndexMap<ServiceName, (ServiceTime, SaturatedTime)>,
    /// Start of the current uninterrupted sequence of reports.
    since: Option<Instant>,
    last: Option<Instant>,
    /// Services whose demand is not far below their capacity.
    followed: IndexMap<ServiceName, ServiceShares>,
}

impl FleetDemand {
    /// Records the report of an instance.
    pub fn record_report(&mut self, now: Instant, node: NodeName, demands: Vec<ServiceDemand>) {
        let pause = self.last.map(|last| now.saturating_duration_since(last));
        if pause.is_none_or(|pause| pause > REPORT_MAX_AGE) {
            self.since = Some(now);
            self.followed.clear();
        }
        self.last = Some(now);
        for demand in &demands {
            self.sums.entry(demand.service.clone()).or_default().add(demand);
        }
        if let Some((_, former)) = self.reports.insert(node, (now, demands)) {
            self.subtract(&former);
        }
    }

    fn subtract(&mut self, demands: &[ServiceDemand]) {
        for demand in demands {
            if let Some(sums) = self.sums.get_mut(&demand.service) {
                sums.remove(demand);
                if sums.is_empty() {
                    self.sums.swap_remove(&demand.service);
                }
            }
        }
    }

    fn prune(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > REPORT_MAX_AGE;
        let expired: Vec<Vec<ServiceDemand>> = self
            .reports
            .extract_if(.., |_, (at, _)| is_old(at))
            .map(|(_, (_, demands))| demands)
            .collect();
        expired.iter().for_each(|demands| self.subtract(demands));
    }

    /// Returns the limits of each service whose demand is above its capacity; `None` while the reports are incomplete.
    ///
    /// `instances` is the number of known instances, `period` the time between two of their exchanges, and `slots`
    /// returns the slots of a service, if all of its servers state them. With the reports of less than half of the
    /// instances, demand would seem to fit: the others may report to another aggregator.
    pub fn limits(
        &mut self,
        now: Instant,
        instances: usize,
        period: Duration,
        slots: impl Fn(&ServiceName) -> Option<SlotUsage>,
    ) -> Option<Vec<ServiceLimits>> {
        self.prune(now);
        let collected_for = now.saturating_duration_since(self.since?);
        let is_complete = collected_for >= period.mul_f64(ALL_REPORTED_PERIODS)
            && self.reports.len() * 2 >= instances;
        if !is_complete {
            return None;
        }
        let FleetDemand { sums, service_times, followed, .. } = self;
        followed.retain(|service, _| sums.contains_key(service));
        service_times.retain(|service, _| sums.contains_key(service));
        let limits = sums.iter().filter_map(|(service, sums)| {
            let capacity = slots(service).zip(sums.slot_time()).map(|(slots, measured)| {
                let first = || (ServiceTime::new(now, measured), SaturatedTime::default());
                let (unloaded, saturated) =
                    service_times.entry(service.clone()).or_insert_with(first);
                let unloaded = unloaded.note(now, measured);
                let time = saturated.note(now, slots, measured, unloaded, period);
                (slots, slots.capacity(time))
            });
            let capacity = capacity.filter(|(_, c)| sums.total.attempts() >= FOLLOWED_FROM * c);
            let Some((slots, capacity)) = capacity else {
                followed.swap_remove(service);
                return None;
            };
            let shares =
                followed.entry(service.clone()).or_insert_with(|| ServiceShares::new(now, sums));
            shares.note(now, sums);
            shares.limits(service, slots, capacity)
        });
        Some(limits.collect())
    }
}
