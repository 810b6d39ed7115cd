//! Responses of both versions of a service, as observed by one instance.

use std::{collections::BTreeMap, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, SoftwareVersion, Tag};

/// Maximum number of routes counted separately. Responses on further ones are counted together, which keeps reports
/// small for operators with thousands of routes.
const ROUTES_MAX: usize = 32;

/// Tag under which responses on further routes are counted.
const OTHER_ROUTES: Tag = Tag(0);

/// Width of the first bin of response times. The upper bound of each further bin is larger by a factor of the square
/// root of 2.
const FIRST_BIN: Duration = Duration::from_micros(250);

/// Bin of a response: its time, in bins whose bounds grow by the square root of 2, or a special bin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeBin(pub u8);

/// Result of a request at a backend server, as evidence for or against the server's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseObservation {
    /// A response, or the wait for one, took this long: until the head of a plain response, or between pieces of a
    /// stream.
    Took(Duration),
    /// The response was successful, and its time is no evidence.
    Untimed,
    /// The server responded with a failure, or with something that cannot be parsed.
    Failed,
}

/// Responses on one route, of one server of the new version or of all servers of other versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// The route.
    pub route: Tag,
    /// The server; `None` for all servers of other versions.
    pub server: Option<Tag>,
    /// Number of responses by bin.
    pub bins: Vec<(TimeBin, u32)>,
}

/// What an instance has observed of a roll-out since it received the order.
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
    /// Requests in flight at servers of other versions.
    pub in_flight_old: u32,
    /// Counted responses.
    pub responses: Vec<ResponseCounts>,
}

/// Evidence that one instance collects on a roll-out.
#[derive(Debug)]
pub struct RolloutEvidence {
    to: SoftwareVersion,
    sent: u64,
    sent_new: u64,
    responses: IndexMap<(Tag, Option<Tag>), BTreeMap<TimeBin, u32>>,
    routes: Vec<Tag>,
}

impl TimeBin {
    /// Bin of failed responses.
    pub const FAILED: TimeBin = TimeBin(u8::MAX);
    /// Bin of successful responses whose time is no evidence.
    pub const UNTIMED: TimeBin = TimeBin(u8::MAX - 1);

    /// Returns the bin of a time.
    pub fn of(time: Duration) -> TimeBin {
        let steps = 2.0 * (time.as_secs_f64() / FIRST_BIN.as_secs_f64()).max(1.0).log2();
        TimeBin(steps.min(f64::from(u8::MAX - 2)) as u8)
    }

    /// Returns whether this is a bin of response times.
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
    /// Returns the empty evidence of an instance that has just received an order.
    pub fn new(to: SoftwareVersion) -> RolloutEvidence {
        RolloutEvidence { to, sent: 0, sent_new: 0, responses: IndexMap::new(), routes: Vec::new() }
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

    /// Notes the result of a request on a route at a server of that version.
    pub fn note_response(
        &mut self,
        route: Tag,
        server: Tag,
        version: Option<&SoftwareVersion>,
        observation: ResponseObservation,
    ) {
        let route = self.counted_route(route);
        let server = (version == Some(&self.to)).then_some(server);
        let bins = self.responses.entry((route, server)).or_default();
        *bins.entry(observation.bin()).or_default() += 1;
    }

    /// Returns the tag under which responses on a route are counted.
    fn counted_route(&mut self, route: Tag) -> Tag {
        if self.routes.contains(&route) {
            return route;
        }
        if self.routes.len() >= ROUTES_MAX {
            return OTHER_ROUTES;
        }
        self.routes.push(route);
        route
    }

    /// Returns the report to the aggregator, with all counts since the order was received. `in_flight_old` is the
    /// number of requests in flight at other versions.
    pub fn report(&self, service: &ServiceName, in_flight_old: u32) -> RolloutReport {
        let counts = |(&(route, server), bins): (&(Tag, Option<Tag>), &BTreeMap<TimeBin, u32>)| {
            let bins = bins.iter().map(|(&bin, &count)| (bin, count)).collect();
            ResponseCounts { route, server, bins }
        };
        RolloutReport {
            service: service.clone(),
            to: self.to.clone(),
            sent: self.sent,
            sent_new: self.sent_new,
            in_flight_old,
            responses: self.responses.iter().map(counts).collect(),
        }
    }
}
