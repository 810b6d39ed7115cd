//! All log lines about one request, in order of time.

use super::LogLine;

/// Log lines about one request.
#[derive(Debug)]
pub struct RequestTrace {
    id: String,
    lines: Vec<(LogLine, String)>,
}

impl RequestTrace {
    /// Returns an empty trace of the request `id`.
    pub fn new(id: impl Into<String>) -> RequestTrace {
        RequestTrace { id: id.into(), lines: Vec::new() }
    }

    /// Adds a log line, as it was written, if it is about the request.
    pub fn add_line(&mut self, text: &str) {
        // Parsing a line costs far more than searching it for the id.
        if !text.contains(&self.id) {
            return;
        }
        let Some(line) = LogLine::parse(text) else { return };
        if line.request.as_deref() == Some(self.id.as_str()) {
            let object = text.find('{').map_or(text, |at| &text[at..]);
            self.lines.push((line, object.trim_end().to_owned()));
        }
    }

    /// Returns the lines in order of time, as they were written but without any text before their JSON object.
    ///
    /// Clocks of instances may differ by some seconds, so lines of different instances may be in the wrong order.
    pub fn lines(&self) -> Vec<&str> {
        let mut lines: Vec<&(LogLine, String)> = self.lines.iter().collect();
        lines.sort_by(|a, b| a.0.at.cmp(&b.0.at));
        lines.into_iter().map(|(_, text)| text.as_str()).collect()
    }
}
