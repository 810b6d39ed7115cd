//! Counts of requests, attempts and changes of state over all log lines.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
};

use serde::Serialize;

use super::{
    durations::{Durations, Percentiles},
    line::{Ending, LogLine},
    teams::TeamTable,
};

/// Maximum number of groups of one kind. Requests and attempts of further groups are counted under [`OTHERS`], and
/// further entries by second are dropped, so that memory stays bounded for any input.
const GROUPS_MAX: usize = 10_000;

/// Maximum number of rows in a table.
const TABLE_ROWS_MAX: usize = 20;

/// Name of the group for everything beyond [`GROUPS_MAX`].
const OTHERS: &str = "(others)";

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
struct RequestGroup {
    route: String,
    ending: Ending,
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
struct AttemptGroup {
    fault: String,
    server: String,
}

/// Counts of requests, attempts and changes of state.
#[derive(Debug, Default)]
pub struct Summary {
    lines: u64,
    damaged: u64,
    left_out: u64,
    requests: HashMap<RequestGroup, Durations>,
    teams: TeamTable,
    attempts: HashMap<AttemptGroup, u64>,
    repeats_denied: u64,
    /// Number of lines about changes of state, by second and event.
    state_changes: BTreeMap<(String, String), u64>,
    /// Number of requests, by second and ending.
    seconds: BTreeMap<String, [u64; Ending::ALL.len()]>,
}

/// A row of requests, for JSON.
#[derive(Debug, Serialize)]
struct RequestRow<'a> {
    #[serde(flatten)]
    group: &'a RequestGroup,
    count: u64,
    #[serde(flatten)]
    durations: Option<Percentiles>,
}

/// A row of attempts, for JSON.
#[derive(Debug, Serialize)]
struct AttemptRow<'a> {
    #[serde(flatten)]
    group: &'a AttemptGroup,
    count: u64,
}

impl Summary {
    /// Counts a log line, as it was written.
    pub fn add_line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        self.lines += 1;
        match LogLine::parse(text) {
            Some(line) => self.count(&line),
            None => self.damaged += 1,
        }
    }

    fn count(&mut self, line: &LogLine) {
        if let Some(ending) = line.ending() {
            self.count_request(line, ending);
        }
        match line.event.as_str() {
            "attempt_failed" | "server_error" => self.count_attempt(line),
            "repeat_denied" => self.repeats_denied += 1,
            "lines_left_out" => self.left_out += line.count.unwrap_or(0),
            _ if line.is_state_change() => {
                let key = (line.second().to_owned(), line.event.clone());
                if self.state_changes.len() < GROUPS_MAX || self.state_changes.contains_key(&key) {
                    *self.state_changes.entry(key).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    fn count_request(&mut self, line: &LogLine, ending: Ending) {
        let text = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_owned());
        let group = RequestGroup { route: text(&line.route), ending, reason: text(&line.reason) };
        let others = RequestGroup { route: OTHERS.to_owned(), ending, reason: OTHERS.to_owned() };
        bounded_entry(&mut self.requests, group, others).record(line.took_ms);
        self.teams.count(line, ending);
        let second = line.second();
        if let Some(counts) = self.seconds.get_mut(second) {
            counts[ending as usize] += 1;
        } else if self.seconds.len() < GROUPS_MAX {
            self.seconds.entry(second.to_owned()).or_default()[ending as usize] += 1;
        }
    }

    fn count_attempt(&mut self, line: &LogLine) {
        let fault = line.fault.clone().unwrap_or_else(|| "server error".to_owned());
        let server = line.server.clone().unwrap_or_else(|| "-".to_owned());
        let others = AttemptGroup { fault: fault.clone(), server: OTHERS.to_owned() };
        *bounded_entry(&mut self.attempts, AttemptGroup { fault, server }, others) += 1;
    }

    /// Returns the number of requests by second and ending, in order of time.
    pub fn seconds(&self) -> impl Iterator<Item = (&str, &[u64; Ending::ALL.len()])> {
        self.seconds.iter().map(|(second, counts)| (second.as_str(), counts))
    }

    /// Returns the changes of state in order of time: the second, the event and the number of lines.
    pub fn state_changes(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.state_changes.iter().map(|((at, event), count)| (at.as_str(), event.as_str(), *count))
    }

    fn request_rows(&self) -> Vec<RequestRow<'_>> {
        let row = |(group, durations): (_, &Durations)| RequestRow {
            group,
            count: durations.count(),
            durations: durations.percentiles(),
        };
        let mut rows: Vec<RequestRow<'_>> = self.requests.iter().map(row).collect();
        rows.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.group.cmp(b.group)));
        rows
    }

    fn attempt_rows(&self) -> Vec<AttemptRow<'_>> {
        let row = |(group, count): (_, &u64)| AttemptRow { group, count: *count };
        let mut rows: Vec<AttemptRow<'_>> = self.attempts.iter().map(row).collect();
        rows.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.group.cmp(b.group)));
        rows
    }

    /// Returns the summary as JSON.
    pub fn json(&self) -> serde_json::Value {
        let state_changes: Vec<_> = self
            .state_changes()
            .map(|(second, event, lines)| {
                serde_json::json!({"second": second, "event": event, "lines": lines})
            })
            .collect();
        serde_json::json!({
            "lines": self.lines,
            "damaged": self.damaged,
            "left_out": self.left_out,
            "requests": self.request_rows(),
            "teams": self.teams.json_rows(),
            "team_shares": self.teams.json_shares(),
            "attempts": self.attempt_rows(),
            "repeats_denied": self.repeats_denied,
            "beliefs": state_changes,
        })
    }

    /// Returns the summary as tables, each with its most frequent rows only.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} lines, {} damaged, {} left out when they were written\n",
            self.lines, self.damaged, self.left_out
        );
        text.push_str("\nrequests   ending    p50 ms   p90 ms   p99 ms  route, reason\n");
        let rows = self.request_rows();
        for row in rows.iter().take(TABLE_ROWS_MAX) {
            let durations = row.durations.map_or_else(
                || format!("{:>8} {:>8} {:>8}", "-", "-", "-"),
                |t| format!("{:>8} {:>8} {:>8}", t.p50_ms, t.p90_ms, t.p99_ms),
            );
            let RequestGroup { route, ending, reason } = row.group;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:>8}   {:<8}{durations}  {route}, {reason}",
                row.count,
                ending.name()
            );
        }
        note_omitted_rows(&mut text, rows.len());
        text.push_str(&self.teams.text());
        let _ = writeln!(text, "\nattempts   fault          server");
        let rows = self.attempt_rows();
        for AttemptRow { group, count } in rows.iter().take(TABLE_ROWS_MAX) {
            let _ = writeln!(text, "{count:>8}   {:<14} {}", group.fault, group.server);
        }
        note_omitted_rows(&mut text, rows.len());
        let _ = writeln!(text, "{:>8}   repeats denied by the retry budget", self.repeats_denied);
        text.push_str("\nwhat changed in belief, by second\n");
        let mut last = "";
        for (second, event, lines) in self.state_changes() {
            let shown = if second == last { "" } else { second };
            let _ = writeln!(text, "{shown:<19}  {lines:>5} {event}");
            last = second;
        }
        text
    }
}

fn note_omitted_rows(text: &mut String, rows: usize) {
    if rows > TABLE_ROWS_MAX {
        let _ = writeln!(text, "           ({} rows more; --json has all)", rows - TABLE_ROWS_MAX);
    }
}

/// Returns the entry of `key`, or of `others` if the map is full and `key` is not in it.
fn bounded_entry<K: std::hash::Hash + Eq, V: Default>(
    map: &mut HashMap<K, V>,
    key: K,
    others: K,
) -> &mut V {
    let is_full = map.len() >= GROUPS_MAX && !map.contains_key(&key);
    map.entry(if is_full { others } else { key }).or_default()
}
