//! Parts of prompts that backend servers have answered since a server crashed, as one instance reports them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{PromptPartId, SuspectDigest};
use crate::{names::ServiceName, routing::RunId};

/// How long after the last known crash responses are recorded: longer than callers go on retrying what it interrupted.
const ALERT_DURATION: Duration = Duration::from_secs(20);

/// Maximum number of parts kept: 32 KB.
const PARTS_MAX: usize = 1024;

/// Maximum number of parts in one report: 1 KB.
const REPORTED_PARTS_MAX: usize = 64;

/// Maximum number of responses of a service in one report.
const REPORTED_RESPONSES_MAX: usize = 64;

/// A part that a server has answered: it wrote the whole response, or went on with it for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredPart {
    /// Digest of the part.
    pub digest: SuspectDigest,
    /// Milliseconds since the server began the response.
    pub began_ago_ms: u32,
}

/// Responses of a service, with any prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponses {
    /// The service.
    pub service: ServiceName,
    /// Milliseconds since a server began each of them.
    pub began_ago_ms: Vec<u32>,
}

/// What an instance reports of responses while servers crash.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredReport {
    /// Parts that were answered.
    pub parts: Vec<AnsweredPart>,
    /// Responses by service.
    pub responses: Vec<ServiceResponses>,
}

/// How far the report of a part has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportState {
    New,
    /// It is in a report that the aggregator may not have received.
    Sent,
    Received,
}

#[derive(Debug, Clone, Copy)]
struct Answered {
    began: Instant,
    state: ReportState,
}

impl Answered {
    /// Has a part reported again that an earlier aggregator has received.
    fn report_again(&mut self) {
        if self.state == ReportState::Received {
            self.state = ReportState::New;
        }
    }
}

/// Parts with a recent response at one instance, recorded while servers crash.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    alert_until: Option<Instant>,
    /// By digest, the last one answered at the end.
    parts: IndexMap<SuspectDigest, Answered>,
    /// Beginnings of responses that have not been reported.
    responses: IndexMap<ServiceName, Vec<Instant>>,
    reported_to: Option<RunId>,
}

impl AnsweredParts {
    /// Notes that a server has crashed.
    pub fn alert(&mut self, now: Instant) {
        self.alert_until = Some(now + ALERT_DURATION);
    }

    /// Returns whether responses are recorded.
    pub fn is_alert(&self, now: Instant) -> bool {
        self.alert_until.is_some_and(|until| now < until)
    }

    /// Notes a response that a server began at `began`, to a request with these parts.
    pub fn note(&mut self, service: &ServiceName, parts: &[PromptPartId], began: Instant) {
        for part in parts {
            let digest = SuspectDigest::of_part(service, *part);
            let known = self.parts.shift_remove(&digest).filter(|known| known.began >= began);
            let answered = known.unwrap_or(Answered { began, state: ReportState::New });
            self.parts.insert(digest, answered);
        }
        while self.parts.len() > PARTS_MAX {
            self.parts.shift_remove_index(0);
        }
        let responses = self.responses.entry(service.clone()).or_default();
        if responses.len() < REPORTED_RESPONSES_MAX {
            responses.push(began);
        }
    }

    /// Returns what has not been reported yet, the last parts first.
    pub fn unreported(&mut self, now: Instant) -> AnsweredReport {
        self.expire(now);
        let ago = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        let unreported =
            self.parts.iter_mut().rev().filter(|(_, part)| part.state != ReportState::Received);
        let part = |(digest, answered): (&SuspectDigest, &mut Answered)| {
            answered.state = ReportState::Sent;
            AnsweredPart { digest: *digest, began_ago_ms: ago(answered.began) }
        };
        let of_service = |(service, began): (&ServiceName, &Vec<Instant>)| ServiceResponses {
            service: service.clone(),
            began_ago_ms: began.iter().map(|at| ago(*at)).collect(),
        };
        AnsweredReport {
            parts: unreported.take(REPORTED_PARTS_MAX).map(part).collect(),
            responses: self.responses.iter().map(of_service).collect(),
        }
    }

    /// Notes that the aggregator `to` has received a report. A new aggregator gets all parts again.
    pub fn mark_reported(&mut self, to: RunId, report: &AnsweredReport) {
        if self.reported_to != Some(to) {
            self.parts.values_mut().for_each(Answered::report_again);
            self.reported_to = Some(to);
        }
        for part in &report.parts {
            // One that was answered again meanwhile is reported again.
            let answered = self.parts.get_mut(&part.digest);
            if let Some(answered) = answered.filter(|part| part.state == ReportState::Sent) {
                answered.state = ReportState::Received;
            }
        }
        for reported in &report.responses {
            if let Some(began) = self.responses.get_mut(&reported.service) {
                began.drain(..reported.began_ago_ms.len().min(began.len()));
            }
        }
        self.responses.retain(|_, began| !began.is_empty());
    }

    /// Drops what was recorded, some time after the last crash.
    fn expire(&mut self, now: Instant) {
        if !self.is_alert(now) && self.alert_until.is_some() {
            *self = AnsweredParts::default();
        }
    }
}
