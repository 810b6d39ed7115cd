//! Keeps a stream at the software version that began it: what two versions write does not fit together.

use super::forward::Forwarding;
use crate::{
    routing::{BackendServer, RouteKind, VersionRule},
    utils::sync::lock,
};

/// Why a stream that broke off was not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotResumed {
    /// The caller has received a part of an event.
    SplitEvent,
    /// The last event that the caller has received has no id.
    NoEventId,
    /// The route, the deadline or the retry budget allows no further attempt, or servers have failed too often.
    NoAttemptLeft,
    /// No other server of the software version that began the stream takes it.
    NoServerOfVersion,
}

impl NotResumed {
    /// Returns the label value in metrics and logs.
    fn label(self) -> &'static str {
        match self {
            NotResumed::SplitEvent => "split-event",
            NotResumed::NoEventId => "no-event-id",
            NotResumed::NoAttemptLeft => "no-attempt-left",
            NotResumed::NoServerOfVersion => "no-server-of-version",
        }
    }
}

impl Forwarding<'_> {
    /// Binds the request to the software version of the server whose events its caller receives.
    pub(super) fn bind_version(&mut self, server: &BackendServer) {
        if self.version == VersionRule::Any {
            self.version = lock(&self.gateway.picker).rule_of_stream(server);
        }
    }

    /// Records the version of the server whose events the caller receives, once that has to be recorded. Another version
    /// may appear while the stream runs.
    pub(super) fn record_version(&mut self, server: &BackendServer) {
        let request = self.request;
        if self.is_recorded
            || !self.gateway.stream_versions.may_record()
            || request.route.kind != RouteKind::ResumableStream
            || request.is_resumption()
        {
            return;
        }
        self.is_recorded = self.gateway.record_stream(request, server.version.as_ref());
    }

    /// Waits until the record of the stream is written to the store, if its first event has to wait for that.
    pub(super) fn wait_for_checkpoint(&self) {
        if self.is_recorded {
            self.gateway.wait_for_checkpoint(self.request);
        }
    }

    /// Notes that the response to the caller has ended, after events that `server` began with.
    pub(super) fn note_stream_end(&mut self, server: &BackendServer, is_complete: bool) {
        let request = self.request;
        if request.route.kind != RouteKind::ResumableStream {
            return;
        }
        if is_complete {
            self.gateway.note_stream_complete(request);
            return;
        }
        self.record_version(server);
        if !self.is_recorded && !request.is_resumption() {
            self.gateway.remember_stream(request, server.version.as_ref());
        }
    }

    /// Returns why no server was found that resumes the stream.
    pub(super) fn reason_without_server(&self) -> NotResumed {
        let now = self.gateway.clock.now();
        let has_server = lock(&self.gateway.picker).pick(now, &self.pick_request(None)).is_ok();
        if self.version.requires_version() && !has_server {
            NotResumed::NoServerOfVersion
        } else {
            NotResumed::NoAttemptLeft
        }
    }

    /// Records that a stream broke off and is not resumed.
    pub(super) fn note_not_resumed(&self, reason: NotResumed) {
        let request = self.request;
        self.gateway.metrics.stream_not_resumed(&request.service, reason.label());
        log::info!(
            "event=stream_not_resumed request={} reason={} software={}",
            request.metadata.id,
            reason.label(),
            self.version
        );
    }
}
