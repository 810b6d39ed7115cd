//! Evaluates whether a version performs worse than the one before, from the reports of all instances.
//!
//! Each response of the new version counts as a success or a failure. A failure is a failed response, or one that is
//! several times slower than responses of the old version on the same route usually are. A cumulative sum of
//! log-likelihood ratios (CUSUM) for each route, and one for all routes, grows with failures beyond the old version's
//! share and falls back towards zero with successes. A version that turns bad late is thus found as soon as one that
//! was bad from the start.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{ResponseCounts, RolloutReport, TimeBin};
use crate::{
    names::{NodeName, SoftwareVersion, Tag},
    routing::RunId,
};

/// Number of responses of the old version on a route from which its usual performance there is known, and a smaller
/// number that suffices for a route that has had requests for some time.
const BASELINE_MIN: u32 = 30;
const BASELINE_MIN_OLD_ROUTE: u32 = 8;
const OLD_ROUTE_AGE: Duration = Duration::from_secs(3);

/// Length of the window in which responses of both versions are compared: long enough for some of the old version on
/// each route.
pub(super) const WINDOW: Duration = Duration::from_millis(400);

/// Failures of the old version in a window count as trouble of both versions if they exceed the usual number by this
/// many standard deviations and responses.
const UNUSUAL_DEVIATIONS: f64 = 2.0;
const UNUSUAL_RESPONSES: f64 = 1.0;

/// Number of windows for which the old version counts as disturbed after one in which it failed unusually often.
const DISTURBED_WINDOWS: u32 = 2;

/// Bins beyond the old version's median from which a response counts as slow: 2.8 to 4 times the median. New servers
/// are up to twice as slow at first, as their prompt caches are empty.
const SLOWER_BINS: u8 = 4;

/// Response time below which no response counts as slow. An instance whose CPU quota is exhausted is suspended for as
/// long, and every server then appears slow to it.
const SLOW_MIN: Duration = Duration::from_millis(60);

/// By how much a version's share of failures may exceed the old one's without counting as worse: a factor, and a share
/// beyond it.
const TOLERATED_FACTOR: f64 = 1.3;
const TOLERATED_SHARE: f64 = 0.03;

/// Shares of failures, beyond the tolerated one, that a bad version is assumed to have. A version that fails mostly is
/// found with fewer responses if it is not assumed to fail only now and then.
const BAD_SHARES: [f64; 2] = [0.2, 0.6];

/// Maximum share of failures with which a version is compared.
const SHARE_MAX: f64 = 0.95;

/// Regression score from which a version is bad.
const BAD_SCORE: f64 = 13.0;

/// Maximum number of failure domains. Each further one would add the random part of its own sum.
const DOMAINS_MAX: usize = 4;

/// Age from which the requests in flight of an instance's report no longer count.
const REPORT_MAX_AGE: Duration = Duration::from_millis(2500);

/// Groups of backend servers of the new version that may fail together for a reason of their own: the servers of an
/// availability zone, or single servers if all are in one zone.
#[derive(Debug, Clone, Default)]
pub struct FailureDomains {
    of: IndexMap<Tag, usize>,
    count: usize,
}

#[derive(Debug)]
struct Reporter {
    at: Instant,
    run: RunId,
    report: RolloutReport,
}

type Bins = BTreeMap<TimeBin, u32>;

/// Responses of the old version on a route.
#[derive(Debug)]
struct OldResponses {
    first: Instant,
    all: Bins,
    /// Those of the current window.
    window: Bins,
}

/// Usual performance of the old version on a route.
#[derive(Debug, Clone, Copy)]
struct Baseline {
    slow_from: TimeBin,
    /// Share of failures.
    failures: f64,
    /// Whether failures were unusually frequent in the current window.
    is_unusual: bool,
}

/// Evaluation of the new version of one roll-out, from the evidence of all instances.
#[derive(Debug)]
pub struct VersionEvaluation {
    to: SoftwareVersion,
    reporters: IndexMap<NodeName, Reporter>,
    sent: u64,
    sent_new: u64,
    responses_new: u64,
    evaluated_new: u64,
    old: IndexMap<Tag, OldResponses>,
    window_start: Option<Instant>,
    /// Responses of the new version that are not evaluated yet: those in the current window, and those on routes
    /// without a baseline. Sorted, so that the order in which instances report does not change the sums.
    pending: BTreeMap<(Tag, usize), Bins>,
    /// Sums by route (`None` for all routes) and failure domain, for each of `BAD_SHARES`.
    sums: IndexMap<(Option<Tag>, usize), [f64; BAD_SHARES.len()]>,
    /// Sums of all responses by failure domain, for the first of `BAD_SHARES`. They are not cut off at zero.
    log_odds: IndexMap<usize, f64>,
    domains: FailureDomains,
    /// End of the last window in which the old version failed unusually often.
    disturbed: Option<Instant>,
}

impl FailureDomains {
    /// Groups the servers of the new version, given by tag and availability zone.
    pub fn new(servers: impl Iterator<Item = (Tag, Tag)>) -> FailureDomains {
        let mut servers: Vec<(Tag, Tag)> = servers.collect();
        servers.sort_unstable();
        let mut zones: Vec<Tag> = servers.iter().map(|(_, zone)| *zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let by_zone = zones.len() > 1;
        let count = if by_zone { zones.len() } else { servers.len() };
        let domain = |(number, &(server, zone)): (usize, &(Tag, Tag))| {
            let domain =
                if by_zone { zones.binary_search(&zone).unwrap_or_default() } else { number };
            (server, domain % DOMAINS_MAX)
        };
        let of = servers.iter().enumerate().map(domain).collect();
        FailureDomains { of, count: count.min(DOMAINS_MAX) }
    }

    fn of(&self, server: Tag) -> usize {
        self.of.get(&server).copied().unwrap_or(server.0 as usize % DOMAINS_MAX)
    }
}

impl VersionEvaluation {
    /// Returns the evaluation of a version without any evidence.
    pub fn new(to: SoftwareVersion) -> VersionEvaluation {
        VersionEvaluation {
            to,
            reporters: IndexMap::new(),
            sent: 0,
            sent_new: 0,
            responses_new: 0,
            evaluated_new: 0,
            old: IndexMap::new(),
            window_start: None,
            pending: BTreeMap::new(),
            sums: IndexMap::new(),
            log_odds: IndexMap::new(),
            domains: FailureDomains::default(),
            disturbed: None,
        }
    }

    /// Returns the version that is evaluated.
    pub fn to(&self) -> &SoftwareVersion {
        &self.to
    }

    /// Sets the failure domains of the version's servers.
    pub fn set_domains(&mut self, domains: FailureDomains) {
        self.domains = domains;
    }

    /// Adds the report of one run of an instance. Counts in reports are totals and only grow within a run.
    pub fn add_report(&mut self, now: Instant, node: &NodeName, run: RunId, report: RolloutReport) {
        if report.to != self.to {
            return;
        }
        let known = self.reporters.get(node).filter(|known| known.run == run);
        let before = known.map(|known| &known.report);
        let since =
            |count: u64, of: fn(&RolloutReport) -> u64| count.saturating_sub(before.map_or(0, of));
        self.sent = self.sent.saturating_add(since(report.sent, |before| before.sent));
        let sent_new = since(report.sent_new, |before| before.sent_new);
        self.sent_new = self.sent_new.saturating_add(sent_new);
        let new: Vec<ResponseCounts> =
            report.responses.iter().map(|counts| counts.since(before)).collect();
        self.reporters.insert(node.clone(), Reporter { at: now, run, report });
        for counts in &new {
            self.count(now, counts);
        }
        self.evaluate(now);
    }

    fn count(&mut self, now: Instant, counts: &ResponseCounts) {
        let Some(server) = counts.server else {
            self.old
                .entry(counts.route)
                .or_insert_with(|| OldResponses::new(now))
                .add(&counts.bins);
            return;
        };
        let domain = self.domains.of(server);
        add(self.pending.entry((counts.route, domain)).or_default(), &counts.bins);
        self.responses_new += counts.bins.iter().map(|(_, count)| u64::from(*count)).sum::<u64>();
    }

    /// Evaluates the responses of the new version once a window is complete.
    fn evaluate(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(start) < WINDOW {
            return;
        }
        self.window_start = Some(now);
        // Sums are cut off at zero after all routes of a window are added: in between, the result would depend on the
        // order of the routes.
        let mut window: IndexMap<(Option<Tag>, usize), [f64; BAD_SHARES.len()]> = IndexMap::new();
        for ((route, domain), bins) in std::mem::take(&mut self.pending) {
            let Some(baseline) = self.old.get(&route).and_then(|old| old.baseline(now)) else {
                self.pending.insert((route, domain), bins);
                continue;
            };
            self.evaluated_new += bins.values().copied().map(u64::from).sum::<u64>();
            let ratios = baseline.log_likelihood_ratios(&bins);
            *self.log_odds.entry(domain).or_default() += ratios[0];
            for of in [Some(route), None] {
                let sums = window.entry((of, domain)).or_default();
                sums.iter_mut().zip(ratios).for_each(|(sum, ratio)| *sum += ratio);
            }
        }
        for (key, ratios) in window {
            let sums = self.sums.entry(key).or_default();
            sums.iter_mut().zip(ratios).for_each(|(sum, ratio)| *sum = (*sum + ratio).max(0.0));
        }
        let mut baselines = self.old.values().filter_map(|old| old.baseline(now));
        if baselines.any(|baseline| baseline.is_unusual) {
            self.disturbed = Some(now);
        }
        self.old.values_mut().for_each(|old| old.window.clear());
    }

    /// Returns whether the old version fails or is slow unusually often, as in a burst of requests.
    pub fn is_disturbed(&self, now: Instant) -> bool {
        let until = self.disturbed.map(|at| at + WINDOW * DISTURBED_WINDOWS);
        until.is_some_and(|until| now < until)
    }

    /// Returns the regression score of the version: the highest score of a route. The worst failure domain is excluded,
    /// since the failure of a server, machine or zone is not the version's.
    pub fn regression_score(&self) -> f64 {
        let several = self.domains.count > 1;
        let score = |(all, most): &(f64, f64)| if several { all - most } else { *all };
        self.scores().values().map(score).fold(0.0, f64::max)
    }

    /// Returns the regression score with all failure domains.
    pub fn total_regression_score(&self) -> f64 {
        self.scores().values().map(|(all, _)| *all).fold(0.0, f64::max)
    }

    /// Returns the log odds that the version is bad rather than good, from all evaluated responses except those of the
    /// worst failure domain. They become negative as responses prove the version, while a score that is cut off at zero
    /// only says that nothing speaks against it.
    pub fn log_odds(&self) -> f64 {
        let all: f64 = self.log_odds.values().sum();
        let most = self.log_odds.values().copied().fold(0.0, f64::max);
        if self.domains.count > 1 { all - most } else { all }
    }

    /// Returns the score on each route (`None` for all routes) for each of `BAD_SHARES`, in total and in the worst
    /// domain.
    fn scores(&self) -> IndexMap<(Option<Tag>, usize), (f64, f64)> {
        let mut routes: IndexMap<(Option<Tag>, usize), (f64, f64)> = IndexMap::new();
        for (&(route, _), sums) in &self.sums {
            for (share, &sum) in sums.iter().enumerate() {
                let (all, most) = routes.entry((route, share)).or_default();
                *all += sum;
                *most = most.max(sum);
            }
        }
        routes
    }

    /// Returns whether the version is bad.
    pub fn is_bad(&self) -> bool {
        self.regression_score() >= BAD_SCORE
    }

    /// Returns the requests sent to the service, and to the new version, since the order.
    pub fn sent(&self) -> (u64, u64) {
        (self.sent, self.sent_new)
    }

    /// Returns the number of reported responses of the new version.
    pub fn responses_new(&self) -> u64 {
        self.responses_new
    }

    /// Returns the number of responses of the new version that the scores include.
    pub fn evaluated_new(&self) -> u64 {
        self.evaluated_new
    }

    /// Returns the number of requests in flight at servers of other versions.
    pub fn in_flight_old(&self, now: Instant) -> u32 {
        let is_recent = |r: &&Reporter| now.saturating_duration_since(r.at) <= REPORT_MAX_AGE;
        let recent = self.reporters.values().filter(is_recent);
        saturating_sum(recent.map(|r| r.report.in_flight_old))
    }
}

impl ResponseCounts {
    /// Returns the responses counted since an earlier report.
    fn since(&self, before: Option<&RolloutReport>) -> ResponseCounts {
        let same = |c: &&ResponseCounts| c.route == self.route && c.server == self.server;
        let known = before.and_then(|before| before.responses.iter().find(same));
        let count = |bin: TimeBin| {
            let bins = known.map_or(&[][..], |known| &known.bins);
            bins.iter().find(|(of, _)| *of == bin).map_or(0, |(_, count)| *count)
        };
        let bins = self.bins.iter().map(|&(bin, all)| (bin, all.saturating_sub(count(bin))));
        ResponseCounts { bins: bins.filter(|(_, count)| *count > 0).collect(), ..*self }
    }
}

impl OldResponses {
    fn new(first: Instant) -> OldResponses {
        OldResponses { first, all: Bins::new(), window: Bins::new() }
    }

    fn add(&mut self, bins: &[(TimeBin, u32)]) {
        add(&mut self.all, bins);
        add(&mut self.window, bins);
    }

    /// Returns the usual performance of the old version, once there are enough responses.
    fn baseline(&self, now: Instant) -> Option<Baseline> {
        let all = saturating_sum(self.all.values().copied());
        let is_old = now.saturating_duration_since(self.first) >= OLD_ROUTE_AGE;
        if all < if is_old { BASELINE_MIN_OLD_ROUTE } else { BASELINE_MIN } {
            return None;
        }
        let slow_from = slow_from(&self.all);
        let (failures, _) = split(&self.all, slow_from);
        let usual = (f64::from(failures) + 1.0) / (f64::from(all) + 2.0);
        // If both versions fail or are slow at once, as in a burst of requests, that is evidence against neither.
        let (failures, successes) = split(&self.window, slow_from);
        let (failures, all) = (f64::from(failures), f64::from(failures) + f64::from(successes));
        let is_unusual =
            failures > usual * all + UNUSUAL_DEVIATIONS * (usual * all).sqrt() + UNUSUAL_RESPONSES;
        let failures = if is_unusual { failures / all } else { usual };
        Some(Baseline { slow_from, failures, is_unusual })
    }
}

impl Baseline {
    /// Returns the log-likelihood ratio of the responses for each of `BAD_SHARES`: of a version that is worse by that
    /// share against one as good as the old version.
    fn log_likelihood_ratios(self, bins: &Bins) -> [f64; BAD_SHARES.len()] {
        let (failures, successes) = split(bins, self.slow_from);
        BAD_SHARES.map(|share| {
            let good_version = self.failures * TOLERATED_FACTOR + TOLERATED_SHARE;
            let bad_version = good_version + share;
            if bad_version > SHARE_MAX {
                // The old version fails so often that a worse one cannot be distinguished from it.
                return 0.0;
            }
            f64::from(failures) * (bad_version / good_version).ln()
                + f64::from(successes) * ((1.0 - bad_version) / (1.0 - good_version)).ln()
        })
    }
}

fn add(to: &mut Bins, bins: &[(TimeBin, u32)]) {
    for &(bin, count) in bins {
        let sum = to.entry(bin).or_default();
        *sum = sum.saturating_add(count);
    }
}

/// Returns the sum of counts, which other instances have reported.
fn saturating_sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

/// Returns the first bin that counts as slow.
fn slow_from(old: &Bins) -> TimeBin {
    let times = || old.iter().filter(|(bin, _)| bin.is_time());
    let half = saturating_sum(times().map(|(_, count)| *count)).div_ceil(2);
    let mut count = 0_u32;
    let median = times().find(|(_, n)| {
        count = count.saturating_add(**n);
        count >= half
    });
    let Some((median, _)) = median else { return TimeBin::UNTIMED };
    TimeBin(median.0.saturating_add(SLOWER_BINS)).max(TimeBin::of(SLOW_MIN)).min(TimeBin::UNTIMED)
}

/// Counts failures and successes.
fn split(bins: &Bins, slow_from: TimeBin) -> (u32, u32) {
    let is_failure = |bin: &TimeBin| *bin == TimeBin::FAILED || bin.is_time() && *bin >= slow_from;
    let count = |failures: bool| {
        let counts = bins.iter().filter(|(bin, _)| is_failure(bin) == failures);
        saturating_sum(counts.map(|(_, count)| *count))
    };
    (count(true), count(false))
}
