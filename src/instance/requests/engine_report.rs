//! What an engine reports about itself in the headers of a response.

use crate::{
    instance::requests::response_parts::{LOAD_HEADER, RESUMABLE_HEADER, STATE_HEADER},
    link::backend::BackendResponse,
    units::RequestCount,
};

/// What an engine reports about itself in the headers of a response.
#[derive(Debug, Default)]
pub(super) struct EngineReport {
    /// Requests at the engine.
    pub(super) load: Option<u32>,
    /// Whether it is leaving.
    pub(super) leaving: bool,
    /// Whether its stream can be resumed and cancelled.
    pub(super) resumable: bool,
}

impl EngineReport {
    /// Reads the report from a response.
    pub(super) fn read(&mut self, response: &BackendResponse) {
        let load = response.head.header(LOAD_HEADER).and_then(|load| load.parse().ok());
        self.load = load.map(RequestCount::get);
        self.leaving = response.head.header(STATE_HEADER) == Some("leaving");
        self.resumable = response.head.header(RESUMABLE_HEADER).is_some();
    }
}
