//! Whether a version answers worse than the one before, by what all instances have seen.
//!
//! Each answer of the new version is good or bad: failed, or several times slower than answers of the old version on the
//! same route usually are. A cumulative sum of log-likelihood ratios (CUSUM) for each route, and one for all, grows with bad
//! answers beyond the old version's share and falls back towards zero with good ones, so that a version which turns bad late
//! is found as soon as one that always was.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{ResponseCounts, RolloutReport, TimeBin};
use crate::{
    names::{NodeName, SoftwareVersion, Tag},
    routing::RunId,
};

/// Answers of the old version on a route from which it is known how it usually answers there, and fewer that are enough on a
/// route that has had requests for so long.
const OLD_MIN: u32 = 30;
const OLD_FEW: (u32, Duration) = (8, Duration::from_secs(3));

/// Time whose answers of both versions are compared with each other: long enough for some of the old one on each route.
const WINDOW: Duration = Duration::from_millis(400);

/// Standard deviations, and answers, by which the bad ones of the old version in a window exceed what is usual before they
/// count as trouble of both versions.
const UNUSUAL: (f64, f64) = (2.0, 1.0);

/// Bins beyond the old version's median from which an answer counts as slow: 2.8 to 4 times its time. New servers are up to
/// twice as slow at first, as they keep no prompts.
const SLOWER_BINS: u8 = 4;

/// Times below which no answer counts as slow: an instance whose processor's quota is used up stands still for as long, and
/// finds every server slow.
const SLOW_MIN: Duration = Duration::from_millis(60);

/// How a version's share of bad answers may exceed the old one's without counting as worse: in proportion, and beyond.
const TOLERATED: (f64, f64) = (1.3, 0.03);

/// Shares of bad answers beyond that, which a bad version may have: one that fails mostly is found by fewer answers if it is
/// not taken for one that fails now and then.
const BAD_SHARES: [f64; 2] = [0.2, 0.6];

/// Largest share of bad answers that a version is compared with.
const SHARE_MAX: f64 = 0.95;

/// Sum from which a version is bad.
const LIMIT: f64 = 13.0;

/// Most groups of servers that are told apart: more of them would each add the chance part of its own sum.
const DOMAINS_MAX: usize = 4;

/// Age at which an instance's report no longer says what is under way.
const REPORT_LIFE: Duration = Duration::from_millis(2500);

/// Which backend servers of the new version may fail together for a reason of their own: those of an availability zone, or
/// each by itself where all are in one.
#[derive(Debug, Clone, Default)]
pub struct FailureDomains {
    of: HashMap<Tag, usize>,
    count: usize,
}

#[derive(Debug)]
struct Reporter {
    at: Instant,
    run: RunId,
    report: RolloutReport,
}

type Bins = BTreeMap<TimeBin, u32>;

/// Answers of the old version on a route.
#[derive(Debug)]
struct OldAnswers {
    first: Instant,
    all: Bins,
    /// Those of the present window.
    window: Bins,
}

/// How the old version answers on a route.
#[derive(Debug, Clone, Copy)]
struct Baseline {
    slow_from: TimeBin,
    /// Share of bad answers.
    bad: f64,
}

/// The evidence of all instances on one roll-out.
#[derive(Debug)]
pub struct VersionEvaluation {
    to: SoftwareVersion,
    reporters: IndexMap<NodeName, Reporter>,
    sent: u64,
    sent_new: u64,
    answered_new: u64,
    old: HashMap<Tag, OldAnswers>,
    window_began: Option<Instant>,
    /// Answers of the new version in the present window, and on routes where it is not known yet how the old one answers.
    unjudged: HashMap<(Tag, usize), Bins>,
    /// Sums by route, `None` for all, and failure domain, for each share of bad answers.
    sums: IndexMap<(Option<Tag>, usize), [f64; BAD_SHARES.len()]>,
    domains: FailureDomains,
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
            let own = if by_zone { zones.binary_search(&zone).unwrap_or_default() } else { number };
            (server, own % DOMAINS_MAX)
        };
        let of = servers.iter().enumerate().map(domain).collect();
        FailureDomains { of, count: count.min(DOMAINS_MAX) }
    }

    fn of(&self, server: Tag) -> usize {
        self.of.get(&server).copied().unwrap_or(server.0 as usize % DOMAINS_MAX)
    }
}

impl VersionEvaluation {
    /// Returns the judge of a version of which nothing is known.
    pub fn new(to: SoftwareVersion) -> VersionEvaluation {
        VersionEvaluation {
            to,
            reporters: IndexMap::new(),
            sent: 0,
            sent_new: 0,
            answered_new: 0,
            old: HashMap::new(),
            window_began: None,
            unjudged: HashMap::new(),
            sums: IndexMap::new(),
            domains: FailureDomains::default(),
        }
    }

    /// Returns the version that is judged.
    pub fn to(&self) -> &SoftwareVersion {
        &self.to
    }

    /// Sets how the version's servers are grouped.
    pub fn set_domains(&mut self, domains: FailureDomains) {
        self.domains = domains;
    }

    /// Takes the report of one run of an instance, all of whose counts grow.
    pub fn take(&mut self, now: Instant, node: &NodeName, run: RunId, report: RolloutReport) {
        if report.to != self.to {
            return;
        }
        let known = self.reporters.get(node).filter(|known| known.run == run);
        let before = known.map(|known| &known.report);
        let since =
            |count: u64, of: fn(&RolloutReport) -> u64| count.saturating_sub(before.map_or(0, of));
        self.sent += since(report.sent, |before| before.sent);
        self.sent_new += since(report.sent_new, |before| before.sent_new);
        let news: Vec<ResponseCounts> =
            report.answers.iter().map(|told| told.since(before)).collect();
        self.reporters.insert(node.clone(), Reporter { at: now, run, report });
        for told in &news {
            self.count(now, told);
        }
        self.judge(now);
    }

    fn count(&mut self, now: Instant, told: &ResponseCounts) {
        let Some(server) = told.server else {
            self.old.entry(told.route).or_insert_with(|| OldAnswers::new(now)).add(&told.bins);
            return;
        };
        let domain = self.domains.of(server);
        add(self.unjudged.entry((told.route, domain)).or_default(), &told.bins);
        self.answered_new += told.bins.iter().map(|(_, count)| u64::from(*count)).sum::<u64>();
    }

    /// Judges the answers of the new version in a window that is over.
    fn judge(&mut self, now: Instant) {
        let began = *self.window_began.get_or_insert(now);
        if now.saturating_duration_since(began) < WINDOW {
            return;
        }
        self.window_began = Some(now);
        for ((route, domain), bins) in std::mem::take(&mut self.unjudged) {
            let Some(baseline) = self.old.get(&route).and_then(|old| old.baseline(now)) else {
                self.unjudged.insert((route, domain), bins);
                continue;
            };
            let steps = baseline.evidence(&bins);
            for of in [Some(route), None] {
                let sums = self.sums.entry((of, domain)).or_default();
                for (sum, step) in sums.iter_mut().zip(steps) {
                    *sum = (*sum + step).max(0.0);
                }
            }
        }
        self.old.values_mut().for_each(|old| old.window.clear());
    }

    /// Returns how much speaks against the version on the route where most does. What speaks against the worst failure
    /// domain alone is left out: a server, machine or zone in trouble is no fault of the version.
    pub fn regression_score(&self) -> f64 {
        let several = self.domains.count > 1;
        let regression_score = |(all, most): &(f64, f64)| if several { all - most } else { *all };
        self.doubts().values().map(regression_score).fold(0.0, f64::max)
    }

    /// Returns how much speaks against it on that route in all.
    pub fn total_regression_score(&self) -> f64 {
        self.doubts().values().map(|(all, _)| *all).fold(0.0, f64::max)
    }

    /// Returns what speaks against the version on each route, `None` for all, by each share of bad answers, and how much of
    /// that in the worst domain.
    fn doubts(&self) -> IndexMap<(Option<Tag>, usize), (f64, f64)> {
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
        self.regression_score() >= LIMIT
    }

    /// Returns the requests sent to the service, and to the new version, since the order.
    pub fn sent(&self) -> (u64, u64) {
        (self.sent, self.sent_new)
    }

    /// Returns how many answers of the new version are known.
    pub fn answered_new(&self) -> u64 {
        self.answered_new
    }

    /// Returns how many requests are under way at servers of other versions.
    pub fn under_way_old(&self, now: Instant) -> u32 {
        let is_young = |r: &&Reporter| now.saturating_duration_since(r.at) <= REPORT_LIFE;
        self.reporters.values().filter(is_young).map(|r| r.report.under_way_old).sum()
    }
}

impl ResponseCounts {
    /// Returns what has come since an earlier report.
    fn since(&self, before: Option<&RolloutReport>) -> ResponseCounts {
        let same = |told: &&ResponseCounts| told.route == self.route && told.server == self.server;
        let known = before.and_then(|before| before.answers.iter().find(same));
        let count = |bin: TimeBin| {
            let bins = known.map_or(&[][..], |known| &known.bins);
            bins.iter().find(|(of, _)| *of == bin).map_or(0, |(_, count)| *count)
        };
        let bins = self.bins.iter().map(|&(bin, all)| (bin, all.saturating_sub(count(bin))));
        ResponseCounts { bins: bins.filter(|(_, news)| *news > 0).collect(), ..*self }
    }
}

impl OldAnswers {
    fn new(first: Instant) -> OldAnswers {
        OldAnswers { first, all: Bins::new(), window: Bins::new() }
    }

    fn add(&mut self, bins: &[(TimeBin, u32)]) {
        add(&mut self.all, bins);
        add(&mut self.window, bins);
    }

    /// Returns how the old version answers, once that is known.
    fn baseline(&self, now: Instant) -> Option<Baseline> {
        let all: u32 = self.all.values().sum();
        let (few, after) = OLD_FEW;
        let is_old = now.saturating_duration_since(self.first) >= after;
        if all < if is_old { few } else { OLD_MIN } {
            return None;
        }
        let slow_from = slow_from(&self.all);
        let (bad, _) = split(&self.all, slow_from);
        let usual = (f64::from(bad) + 1.0) / (f64::from(all) + 2.0);
        // Where both versions fail or are late at once, as in a burst of requests, that speaks against neither.
        let (bad, good) = split(&self.window, slow_from);
        let (bad, all) = (f64::from(bad), f64::from(bad + good));
        let (deviations, answers) = UNUSUAL;
        let is_unusual = bad > usual * all + deviations * (usual * all).sqrt() + answers;
        Some(Baseline { slow_from, bad: if is_unusual { bad / all } else { usual } })
    }
}

impl Baseline {
    /// Returns the log-likelihood ratios of answers: of a version that is bad by each share against one as good as the old.
    fn evidence(self, bins: &Bins) -> [f64; BAD_SHARES.len()] {
        let (bad, good) = split(bins, self.slow_from);
        BAD_SHARES.map(|share| {
            let good_version = self.bad * TOLERATED.0 + TOLERATED.1;
            let bad_version = good_version + share;
            if bad_version > SHARE_MAX {
                // The old version fails so often that nothing can be told.
                return 0.0;
            }
            f64::from(bad) * (bad_version / good_version).ln()
                + f64::from(good) * ((1.0 - bad_version) / (1.0 - good_version)).ln()
        })
    }
}

fn add(to: &mut Bins, bins: &[(TimeBin, u32)]) {
    for &(bin, count) in bins {
        *to.entry(bin).or_default() += count;
    }
}

/// Returns the first bin that counts as slow.
fn slow_from(old: &Bins) -> TimeBin {
    let times = || old.iter().filter(|(bin, _)| bin.is_time());
    let half = times().map(|(_, count)| count).sum::<u32>().div_ceil(2);
    let mut seen = 0;
    let median = times().find(|(_, count)| {
        seen += **count;
        seen >= half
    });
    let Some((median, _)) = median else { return TimeBin::UNTIMED };
    TimeBin(median.0.saturating_add(SLOWER_BINS)).max(TimeBin::of(SLOW_MIN)).min(TimeBin::UNTIMED)
}

/// Counts bad and good answers.
fn split(bins: &Bins, slow_from: TimeBin) -> (u32, u32) {
    let is_bad = |bin: &TimeBin| *bin == TimeBin::FAILED || bin.is_time() && *bin >= slow_from;
    let count = |wanted: bool| {
        let counts = bins.iter().filter(|(bin, _)| is_bad(bin) == wanted);
        counts.map(|(_, count)| count).sum()
    };
    (count(true), count(false))
}
