//! What an engine tells of itself with an answer.

use crate::{
    instance::requests::answer_parts::{LOAD_HEADER, RESUMABLE_HEADER, STATE_HEADER},
    link::backend::BackendResponse,
};

/// What an engine tells of itself with an answer.
#[derive(Debug, Default)]
pub(super) struct EngineReport {
    /// Requests in it.
    pub(super) load: Option<u32>,
    /// Whether it is leaving.
    pub(super) leaving: bool,
    /// Whether its stream can be resumed and cancelled.
    pub(super) resumable: bool,
}

impl EngineReport {
    /// Reads what an answer tells.
    pub(super) fn read(&mut self, answer: &BackendResponse) {
        self.load = answer.head.header(LOAD_HEADER).and_then(|load| load.parse().ok());
        self.leaving = answer.head.header(STATE_HEADER) == Some("leaving");
        self.resumable = answer.head.header(RESUMABLE_HEADER).is_some();
    }
}
