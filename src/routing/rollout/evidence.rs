//! How backend servers of both versions answer, as one instance sees it.

use std::{collections::BTreeMap, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, SoftwareVersion, Tag};

/// Routes told apart; answers on further ones count together, which keeps reports small where operators have thousands.
const ROUTES_MAX: usize = 32;

/// Tag under which answers on further routes count.
const OTHER_ROUTES: Tag = Tag(0);

/// Width of the first bin of times; each further one ends at the root of two times that of the one before.
const FIRST_BIN: Duration = Duration::from_micros(250);

/// An answer's time, in bins whose ends grow by the root of two; or that the answer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeBin(pub u8);

/// What became of a request at a backend server, as far as it speaks for or against its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseObservation {
    /// It was answered well, or waited for, for so long: until the head of a plain answer, or between pieces of a stream.
    Took(Duration),
    /// It was answered well, and its time says nothing.
    Untimed,
    /// The server's own answer was a failure, or none that can be used.
    Failed,
}

/// Answers on one route, of one server of the new version or of all others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// The route.
    pub route: Tag,
    /// The server; `None` for all of other versions.
    pub server: Option<Tag>,
    /// Answers by time.
    pub bins: Vec<(TimeBin, u32)>,
}

/// What an instance has seen of a roll-out since it learnt of the order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub to: SoftwareVersion,
    /// Requests sent to servers of the service.
    pub sent: u64,
    /// Requests sent to servers of the new version.
    pub sent_new: u64,
    /// Requests under way at servers of other versions.
    pub under_way_old: u32,
    /// Answers.
    pub answers: Vec<ResponseCounts>,
}

/// One instance's own evidence on a roll-out.
#[derive(Debug)]
pub struct RolloutEvidence {
    to: SoftwareVersion,
    sent: u64,
    sent_new: u64,
    answers: IndexMap<(Tag, Option<Tag>), BTreeMap<TimeBin, u32>>,
    routes: Vec<Tag>,
}

impl TimeBin {
    /// Bin of answers that failed.
    pub const FAILED: TimeBin = TimeBin(u8::MAX);
    /// Bin of answers whose time says nothing.
    pub const UNTIMED: TimeBin = TimeBin(u8::MAX - 1);

    /// Returns the bin of a time.
    pub fn of(time: Duration) -> TimeBin {
        let steps = 2.0 * (time.as_secs_f64() / FIRST_BIN.as_secs_f64()).max(1.0).log2();
        TimeBin(steps.min(f64::from(u8::MAX - 2)) as u8)
    }

    /// Returns whether it is a bin of times.
    pub fn is_time(self) -> bool {
        self < TimeBin::UNTIMED
    }
}

impl ResponseObservation {
    fn bin(self) -> TimeBin {
        match self {
            ResponseObservation::Took(time) => TimeBin::of(time),
            ResponseObservation::Untimed => TimeBin::UNTIMED,
            ResponseObservation::Failed => TimeBin::FAILED,
        }
    }
}

impl RolloutEvidence {
    /// Returns the evidence of an instance that has just learnt of an order.
    pub fn new(to: SoftwareVersion) -> RolloutEvidence {
        RolloutEvidence { to, sent: 0, sent_new: 0, answers: IndexMap::new(), routes: Vec::new() }
    }

    /// Returns the new version.
    pub fn to(&self) -> &SoftwareVersion {
        &self.to
    }

    /// Notes a request sent to a server of the service.
    pub fn note_sent(&mut self, version: Option<&SoftwareVersion>) {
        self.sent += 1;
        if version == Some(&self.to) {
            self.sent_new += 1;
        }
    }

    /// Notes what became of a request on a route at a server of that version.
    pub fn note_response(
        &mut self,
        route: Tag,
        server: Tag,
        version: Option<&SoftwareVersion>,
        seen: ResponseObservation,
    ) {
        let route = self.told_apart(route);
        let server = (version == Some(&self.to)).then_some(server);
        let bins = self.answers.entry((route, server)).or_default();
        *bins.entry(seen.bin()).or_default() += 1;
    }

    fn told_apart(&mut self, route: Tag) -> Tag {
        if self.routes.contains(&route) {
            return route;
        }
        if self.routes.len() >= ROUTES_MAX {
            return OTHER_ROUTES;
        }
        self.routes.push(route);
        route
    }

    /// Returns what is told of it, all counts since it began; `under_way_old` is what is under way at other versions.
    pub fn report(&self, service: &ServiceName, under_way_old: u32) -> RolloutReport {
        let told = |(&(route, server), bins): (&(Tag, Option<Tag>), &BTreeMap<TimeBin, u32>)| {
            let bins = bins.iter().map(|(&bin, &count)| (bin, count)).collect();
            ResponseCounts { route, server, bins }
        };
        RolloutReport {
            service: service.clone(),
            to: self.to.clone(),
            sent: self.sent,
            sent_new: self.sent_new,
            under_way_old,
            answers: self.answers.iter().map(told).collect(),
        }
    }
}
