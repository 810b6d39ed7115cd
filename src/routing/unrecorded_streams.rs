//! Streams that ended incomplete while no other version was known, so that nothing was recorded of them.
//!
//! An instance that was suspended learns of a second version, or of other shares of a route, only after its callers have left and resume their streams
//! elsewhere. It records the streams then.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{RouteTag, StreamRecord};
use crate::names::ServiceName;

/// Maximum number of streams that are remembered, which are all recorded at once when a second version appears. The oldest
/// ones are dropped beyond it.
const STREAMS_MAX: usize = 2_000;

/// What decides whether a stream has to be recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamScope {
    /// The service that began it.
    pub service: ServiceName,
    /// The route that led it there.
    pub route: RouteTag,
}

#[derive(Debug)]
struct UnrecordedStream {
    scope: StreamScope,
    record: StreamRecord,
    expires_at: Instant,
}

/// Streams that ended incomplete, the oldest first.
#[derive(Debug, Default)]
pub struct UnrecordedStreams {
    streams: VecDeque<UnrecordedStream>,
}

impl UnrecordedStreams {
    /// Adds a stream that has ended.
    pub fn add(&mut self, now: Instant, scope: StreamScope, record: StreamRecord) {
        while let Some(oldest) = self.streams.front()
            && (oldest.expires_at <= now || self.streams.len() >= STREAMS_MAX)
        {
            self.streams.pop_front();
        }
        let expires_at = now + record.ttl;
        self.streams.push_back(UnrecordedStream { scope, record, expires_at });
    }

    /// Takes the streams that have to be recorded, as `must_record` says.
    pub fn take_due(
        &mut self,
        now: Instant,
        must_record: impl Fn(&StreamScope) -> bool,
    ) -> Vec<StreamRecord> {
        let mut due = Vec::new();
        self.streams.retain(|stream| {
            let ttl = stream.expires_at.saturating_duration_since(now);
            let is_due = !ttl.is_zero() && must_record(&stream.scope);
            if is_due {
                due.push(StreamRecord { ttl, ..stream.record.clone() });
            }
            !is_due && ttl > Duration::ZERO
        });
        due
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no streams are remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
