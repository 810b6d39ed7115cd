//! The retry budget of all instances together, as the one that collects their reports knows it.
//!
//! Answers a fleet in which each instance has few requests: 295 instances with 1.5 requests a second each have parts
//! of under one repeat after a start, and spend none, while the fleet asks for a fifth of what it may spend. Where
//! sums are told, an instance draws on what the fleet has left. Sums outlive the instances that spent: what was
//! reported counts for a whole window, whoever is killed meanwhile; and they outlive the instance that collects
//! them, as the others tell the next one what they were told.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{NodeName, ServiceName};

/// Age at which an instance's report counts no more: it has missed several exchanges.
const REPORT_LIFE: Duration = Duration::from_millis(2500);

/// One run of an instance's process: counts of another run begin anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

/// What an instance has spent at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RetrySpending {
    /// The service.
    pub service: ServiceName,
    /// Repeats since the instance's start.
    pub total: u64,
    /// Repeats that are in no sum which the instance was told lately: those since then, or of the last window.
    pub uncounted: u32,
    /// What it was told last that all had spent, where that is not long ago.
    pub fleet_spent: Option<FleetSpentReport>,
    /// Requests of the last window that the window before backs.
    pub sustained: f64,
}

/// What an instance was told that all had spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSpentReport {
    /// The one that told it.
    pub aggregator: RunId,
    /// Repeats of its window.
    pub spent: u32,
}

/// What all instances have spent at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetSum {
    /// The service.
    pub service: ServiceName,
    /// Repeats of the last window.
    pub spent: u32,
    /// Requests of the last window that the window before backs.
    pub sustained: f64,
    /// Instances whose reports are in it.
    pub reporters: usize,
    /// The one that collected it.
    pub aggregator: RunId,
}

#[derive(Debug)]
struct Reporter {
    at: Instant,
    run: RunId,
    services: HashMap<ServiceName, RetrySpending>,
}

/// The reports of all instances that turn to this one.
#[derive(Debug)]
pub struct FleetBudget {
    own: RunId,
    window: Duration,
    /// Since when reports have come without a longer pause: earlier repeats are not known.
    since: Option<Instant>,
    last: Option<Instant>,
    reporters: HashMap<NodeName, Reporter>,
    spent: IndexMap<ServiceName, VecDeque<(Instant, u32)>>,
    /// What all had spent before their reports came here, by the word of those that were told, and when they said
    /// so.
    before: HashMap<ServiceName, (Instant, u32)>,
}

impl FleetBudget {
    /// Returns the sums of an instance to which nobody has reported; the budget is for windows of that length.
    pub fn new(own: RunId, window: Duration) -> FleetBudget {
        FleetBudget {
            own,
            window,
            since: None,
            last: None,
            reporters: HashMap::new(),
            spent: IndexMap::new(),
            before: HashMap::new(),
        }
    }

    /// Takes an instance's report.
    pub fn record_report(
        &mut self,
        now: Instant,
        node: &NodeName,
        run: RunId,
        spending: Vec<RetrySpending>,
    ) {
        let pause = self.last.map(|last| now.saturating_duration_since(last));
        if pause.is_none_or(|pause| pause > REPORT_LIFE) {
            self.since = Some(now);
            self.before.clear();
        }
        self.last = Some(now);
        let is_new = self.reporters.get(node).is_none_or(|known| known.run != run);
        if is_new {
            spending.iter().for_each(|said| self.record_fleet_spent(now, said));
        }
        let known = self.reporters.get(node).filter(|known| known.run == run);
        for said in &spending {
            let before = known.and_then(|known| known.services.get(&said.service));
            let news = match before {
                Some(before) => said.total.saturating_sub(before.total),
                // What it spent before it turned to this one counts as far as it is not in another's sums.
                None => u64::from(said.uncounted),
            };
            if news > 0 {
                let count = u32::try_from(news).unwrap_or(u32::MAX);
                self.spent.entry(said.service.clone()).or_default().push_back((now, count));
            }
        }
        let services = spending.into_iter().map(|said| (said.service.clone(), said)).collect();
        self.reporters.insert(node.clone(), Reporter { at: now, run, services });
    }

    /// Takes the word of an instance that has not reported here on what all had spent before: the highest counts.
    fn record_fleet_spent(&mut self, now: Instant, said: &RetrySpending) {
        // Its own sums, told back to it, say nothing new.
        let Some(told) = said.fleet_spent.filter(|told| told.aggregator != self.own) else {
            return;
        };
        let former = self.before.get(&said.service).copied();
        let still = |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) <= self.window;
        let known = former.filter(still).map_or(0, |(_, spent)| spent);
        let news = told.spent.saturating_sub(known);
        self.before.insert(said.service.clone(), (now, told.spent.max(known)));
        if news > 0 {
            self.spent.entry(said.service.clone()).or_default().push_back((now, news));
        }
    }

    /// Returns whether reports have come for a whole window.
    fn is_whole(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) > self.window)
    }

    /// Returns what all have spent; nothing of a service until a whole window has been reported, or somebody has
    /// told what had been spent before.
    pub fn sums(&mut self, now: Instant) -> Vec<BudgetSum> {
        let window = self.window;
        let is_old = |at: Instant, life: Duration| now.saturating_duration_since(at) > life;
        self.reporters.retain(|_, reporter| !is_old(reporter.at, window));
        for spent in self.spent.values_mut() {
            while spent.front().is_some_and(|(at, _)| is_old(*at, window)) {
                spent.pop_front();
            }
        }
        let heard = || self.reporters.values().filter(|reporter| !is_old(reporter.at, REPORT_LIFE));
        let reporters = heard().count();
        let mut sustained: IndexMap<&ServiceName, f64> = IndexMap::new();
        for said in heard().flat_map(|reporter| reporter.services.values()) {
            *sustained.entry(&said.service).or_default() += said.sustained;
        }
        let spent = |service: &ServiceName| {
            self.spent.get(service).map_or(0, |spent| spent.iter().map(|(_, count)| count).sum())
        };
        let sum = |(service, sustained): (&ServiceName, f64)| BudgetSum {
            service: service.clone(),
            spent: spent(service),
            sustained,
            reporters,
            aggregator: self.own,
        };
        let known = |service: &ServiceName| self.is_whole(now) || self.before.contains_key(service);
        sustained.into_iter().filter(|(service, _)| known(service)).map(sum).collect()
    }
}
