//! What a caller holds of a stream whose events name the version that made them, after one or more attempts.

use std::collections::BTreeSet;

use crate::{caller::Answer, listed::EVENTS};

/// The complete events of all attempts at one stream.
#[derive(Debug, Default)]
pub struct HeldStream {
    /// Numbers of the events, in the order in which they came.
    pub events: Vec<usize>,
    /// Versions that made them.
    pub versions: BTreeSet<String>,
    /// Whether one response held events of several versions.
    pub is_mixed_in_one: bool,
    /// Whether the stream came to its end.
    pub is_whole: bool,
}

impl HeldStream {
    /// Adds the events of one response; returns whether it brought any, or the end.
    ///
    /// # Panics
    ///
    /// The response holds something else than events.
    pub fn add(&mut self, answer: &Answer) -> bool {
        if answer.status != 200 {
            return false;
        }
        let text = answer.text().replace("\r\n", "\n").replace('\r', "\n");
        let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let mut versions = BTreeSet::new();
        for event in complete.split("\n\n").filter(|event| !event.is_empty()) {
            let (id, data) = event.split_once('\n').expect("an event has an id and data");
            let number = id.trim_start_matches("id: ").parse();
            self.events.push(number.expect("an id is a number"));
            versions.insert(data.trim_start_matches("data: ").to_owned());
        }
        let went_on = answer.whole || !versions.is_empty();
        self.is_mixed_in_one |= versions.len() > 1;
        self.versions.extend(versions);
        self.is_whole = answer.whole;
        went_on
    }

    /// Returns what is wrong with the events, if anything is.
    pub fn fault(&self) -> Option<&'static str> {
        let is_in_order = self.events.iter().copied().eq(1..=self.events.len());
        if self.versions.len() > 1 {
            Some("events of several versions")
        } else if !is_in_order {
            Some("an event is missing or came twice")
        } else if self.is_whole && self.events.len() != EVENTS {
            Some("it ended as complete before its last event")
        } else {
            None
        }
    }
}
