//! All that instances told of one request, in order of time.

use super::LogLine;

/// The lines of one request.
#[derive(Debug)]
pub struct RequestTrace {
    id: String,
    lines: Vec<(LogLine, String)>,
}

impl RequestTrace {
    /// Returns the story of a request that nothing is known of yet.
    pub fn new(id: impl Into<String>) -> RequestTrace {
        RequestTrace { id: id.into(), lines: Vec::new() }
    }

    /// Takes a line as it was written, if it tells of the request.
    pub fn add_line(&mut self, text: &str) {
        // Reading a line costs far more than looking for the id in it.
        if !text.contains(&self.id) {
            return;
        }
        let Some(line) = LogLine::parse(text) else { return };
        if line.request.as_deref() == Some(self.id.as_str()) {
            let object = text.find('{').map_or(text, |at| &text[at..]);
            self.lines.push((line, object.trim_end().to_owned()));
        }
    }

    /// Returns the lines in order of time, as they were written; empty where there are none.
    ///
    /// Instances' clocks may differ by some seconds, so lines of two instances may stand in the wrong
    /// order.
    pub fn lines(&self) -> Vec<&str> {
        let mut lines: Vec<&(LogLine, String)> = self.lines.iter().collect();
        lines.sort_by(|a, b| a.0.at.cmp(&b.0.at));
        lines.into_iter().map(|(_, text)| text.as_str()).collect()
    }
}
