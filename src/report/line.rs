//! Parses log lines of instances.

use serde::Deserialize;

/// The keys of a log line that the report uses; all others are ignored.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Wall-clock time, in RFC 3339.
    pub at: String,
    /// Id of the instance.
    pub instance: String,
    /// Name of the event.
    pub event: String,
    /// Id of the request, if the event is about one.
    pub request: Option<String>,
    /// Route of the request.
    pub route: Option<String>,
    /// Whether the route's responses are streams: 1 or 0.
    pub stream: Option<u8>,
    /// Service of the request.
    pub service: Option<String>,
    /// Team of the caller; empty on routes that are open to anyone.
    pub team: Option<String>,
    /// Id of the backend server.
    pub server: Option<String>,
    /// Status of the response to the caller; 0 if the caller disconnected before it.
    pub status: Option<u16>,
    /// Outcome: whether the request ran.
    pub outcome: Option<String>,
    /// Reason for the status.
    pub reason: Option<String>,
    /// Kind of fault of a failed attempt.
    pub fault: Option<String>,
    /// Milliseconds from the request's head until the request ended.
    pub took_ms: Option<f64>,
    /// Milliseconds from the request's head to the first bytes of a server's response; negative if there were none.
    pub first_ms: Option<f64>,
    /// Target for `first_ms`.
    pub target_ms: Option<f64>,
    /// Number of log lines that the instance dropped.
    pub count: Option<u64>,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A successful response, with its first bytes within the target.
    InTime,
    /// A successful response, with its first bytes after the target.
    Late,
    /// Rejected without having run.
    Refused,
    /// Any other status, or a response that broke off.
    Failed,
    /// The caller disconnected before the end.
    Left,
}

impl Ending {
    /// Every ending, from best to worst for the caller, then [`Ending::Left`].
    pub const ALL: [Ending; 5] =
        [Ending::InTime, Ending::Late, Ending::Refused, Ending::Failed, Ending::Left];

    /// Returns the name that tables and charts show.
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
    /// Parses a line. Text before the JSON object, such as a time and a name that a log collector adds, is skipped.
    /// Returns `None` if there is no complete object with an event.
    pub fn parse(text: &str) -> Option<LogLine> {
        let object = &text[text.find('{')?..];
        let line: LogLine = serde_json::from_str(object.trim_end()).ok()?;
        (!line.event.is_empty()).then_some(line)
    }

    /// Returns how the request ended, if this line is about the end of a request.
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

    /// Returns whether a successful response was in time. Streams, and lines that do not say whether they are of a
    /// stream, count by the time of the first bytes, others by the whole duration. Lines without the time of the first
    /// bytes count by their whole duration, and lines without a target as in time.
    fn timeliness(&self) -> Ending {
        let is_whole = self.stream == Some(0);
        let first = self.first_ms.filter(|&first| first >= 0.0 && !is_whole).or(self.took_ms);
        match (first, self.target_ms) {
            (Some(first), Some(target)) if first > target => Ending::Late,
            _ => Ending::InTime,
        }
    }

    /// Returns whether the event is a change in what the instance knows of the cluster, or in its own process.
    pub fn is_state_change(&self) -> bool {
        const STATE_CHANGES: [&str; 25] = [
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
            "server_kept",
            "list_gap",
            "server_crowded",
            "counts_known",
            "counts_lost",
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

    /// Returns the time down to the second, as text that sorts by time.
    pub fn second(&self) -> &str {
        self.at.get(..19).unwrap_or(&self.at)
    }
}
