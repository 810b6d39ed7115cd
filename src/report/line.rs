//! One log line of an instance.

use serde::Deserialize;

/// What is understood of a line; whatever else it holds is left aside.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Time of day, in RFC 3339.
    pub at: String,
    /// The instance.
    pub instance: String,
    /// What the line tells.
    pub event: String,
    /// Id of the request that it tells of.
    pub request: Option<String>,
    /// The request's route.
    pub route: Option<String>,
    /// Backend server.
    pub server: Option<String>,
    /// Status that the caller got; 0 where it left before any.
    pub status: Option<u16>,
    /// Whether the request ran.
    pub outcome: Option<String>,
    /// What decided the end.
    pub reason: Option<String>,
    /// How an attempt failed.
    pub fault: Option<String>,
    /// Milliseconds from the request's head to its end.
    pub took_ms: Option<f64>,
    /// Milliseconds from the request's head to the first bytes of a server's answer.
    pub first_ms: Option<f64>,
    /// Milliseconds within which those were due.
    pub target_ms: Option<f64>,
    /// Lines that were left out.
    pub count: Option<u64>,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A good answer, its first bytes within the target.
    InTime,
    /// A good answer, later.
    Late,
    /// Refused, and truthfully not run.
    Refused,
    /// A failure, or a cut answer.
    Failed,
    /// The caller left first.
    Left,
}

impl Ending {
    /// Every ending, the best first.
    pub const ALL: [Ending; 5] =
        [Ending::InTime, Ending::Late, Ending::Refused, Ending::Failed, Ending::Left];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Ending::InTime => "in time",
            Ending::Late => "late",
            Ending::Refused => "refused",
            Ending::Failed => "failed",
            Ending::Left => "left",
        }
    }
}

impl LogLine {
    /// Reads a line; what stands before its JSON object, such as a collector's own time and name, is
    /// passed over. `None` where there is no whole object with an event in it.
    pub fn parse(text: &str) -> Option<LogLine> {
        let object = &text[text.find('{')?..];
        let line: LogLine = serde_json::from_str(object.trim_end()).ok()?;
        (!line.event.is_empty()).then_some(line)
    }

    /// Returns how the request of this line ended, if the line tells of that.
    pub fn ending(&self) -> Option<Ending> {
        if !matches!(self.event.as_str(), "request" | "refused") {
            return None;
        }
        let status = self.status?;
        let reason = self.reason.as_deref().unwrap_or_default();
        Some(match status {
            _ if reason == "caller left" => Ending::Left,
            0 => Ending::Left,
            200..300 if reason == "stream broke" => Ending::Failed,
            200..300 => self.timeliness(),
            408 | 421 | 429 | 503 if self.outcome.as_deref() != Some("unknown") => Ending::Refused,
            _ => Ending::Failed,
        })
    }

    fn timeliness(&self) -> Ending {
        let first = self.first_ms.filter(|&first| first >= 0.0).or(self.took_ms);
        match (first, self.target_ms) {
            (Some(first), Some(target)) if first > target => Ending::Late,
            _ => Ending::InTime,
        }
    }

    /// Returns whether the line tells of a change in what an instance believes, or of its process.
    pub fn is_state_change(&self) -> bool {
        const STATE_CHANGES: [&str; 21] = [
            "started",
            "draining",
            "stopped",
            "reloaded",
            "reload_refused",
            "intent_in_force",
            "intent_skipped",
            "intent_unread",
            "server_added",
            "server_leaving",
            "server_gone",
            "server_crowded",
            "server_ended",
            "request_found",
            "request_judged",
            "request_cleared",
            "request_lifted",
            "server_silent",
            "store_lost",
            "store_back",
            "peer_silent",
        ];
        STATE_CHANGES.contains(&self.event.as_str())
    }

    /// Returns the second that the line belongs to, as text that sorts by time.
    pub fn second(&self) -> &str {
        self.at.get(..19).unwrap_or(&self.at)
    }
}
