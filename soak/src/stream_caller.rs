//! A caller that receives one stream in several attempts.

use std::time::Duration;

use standins::{
    caller::{Answer, Call},
    held_stream::HeldStream,
    stream_format::StreamFormat,
};

use crate::{
    checks::Checks,
    fleet::{Fleet, KEY},
};

/// A stream and the attempts to receive it. Each attempt after the first that brought an event resumes the stream.
pub(crate) struct StreamCaller<'a> {
    fleet: &'a Fleet,
    checks: &'a Checks,
    route: String,
    name: String,
    /// Longest wait for anything.
    timeout: Duration,
    /// Complete events of all attempts.
    pub(crate) held: HeldStream,
    /// Id of the first attempt that brought an event.
    first: Option<String>,
    attempts: usize,
}

impl<'a> StreamCaller<'a> {
    /// Returns a caller that has not made an attempt; `name` is unique in the run.
    pub(crate) fn new(
        fleet: &'a Fleet,
        checks: &'a Checks,
        route: &str,
        name: String,
        timeout: Duration,
    ) -> StreamCaller<'a> {
        let (route, held) = (route.to_owned(), HeldStream::default());
        StreamCaller { fleet, checks, route, name, timeout, held, first: None, attempts: 0 }
    }

    /// Makes one attempt at an instance; returns the response, and whether it brought an event or the end.
    pub(crate) fn attempt(&mut self, instance: usize) -> (Answer, bool) {
        let id = format!("{}-{}", self.name, self.attempts);
        self.attempts += 1;
        let (_, query) = StreamFormat::drawn(&self.name);
        let target = format!("/{}/stream/{}{query}&marked=1", self.route, self.name);
        let mut call = Call { timeout: self.timeout, ..Call::post(&target, KEY, "") }
            .with("x-request-id", &id)
            .with("x-deadline-ms", 4000)
            .with("connection", "close");
        if let Some(first) = &self.first {
            call = call.with("resumes", first).with("last-event-id", self.held.events.len());
        }
        let answer = call.send(self.fleet.addresses[instance]);
        let went_on = self.held.add(&answer);
        if answer.status == 503 {
            self.checks.note_once(&id, answer.status);
        }
        if self.first.is_none() && !self.held.events.is_empty() {
            self.first = Some(id);
        }
        (answer, went_on)
    }

    /// Returns whether the caller has a part of the stream that can be resumed.
    pub(crate) fn is_broken_off(&self) -> bool {
        self.first.is_some() && !self.held.is_whole
    }

    /// Reports what is wrong with the events of all attempts, if anything is.
    pub(crate) fn check(&self) {
        if let Some(fault) = self.held.fault() {
            self.checks.report_violation(
                "a stream is one of one version",
                &self.name,
                format!("{fault}: {:?}", self.held),
            );
        }
    }
}
