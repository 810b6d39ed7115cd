//! Time-outs and periods of an instance.

use crate::{configs::reader::TableReader, units::Span};

/// Time-outs and periods.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timeouts {
    /// Most time for a caller to send a request's head.
    pub head: Span,
    /// Most time for a caller to send a request's body.
    pub body: Span,
    /// Most time a kept-alive connection may stay idle.
    pub idle: Span,
    /// Most time a caller may take no byte of its answer.
    pub slow_reader: Span,
    /// Most time to connect to a backend server or another instance.
    pub connect: Span,
    /// Most time between two bytes of a backend server's answer.
    pub stall: Span,
    /// Most time for an exchange between instances.
    pub peer: Span,
    /// Most time for an exchange with the platform.
    pub platform: Span,
    /// Period of the heartbeat to one other instance.
    pub heartbeat: Span,
    /// Period of the poll for a new revision.
    pub revision_poll: Span,
    /// Period of the poll of the membership list.
    pub members_poll: Span,
    /// Longest time that a drain lets requests finish.
    pub drain: Span,
    /// Time after the start of a drain in which new connections are still answered.
    pub drain_grace: Span,
    /// Life of the claim of an idempotency key.
    pub claim: Span,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            // Generous for a driver's phone, short enough that slow senders cannot pile up.
            head: Span::secs(10),
            body: Span::secs(30),
            idle: Span::secs(75),
            slow_reader: Span::secs(20),
            connect: Span::millis(1000),
            // An engine may prefill a long prompt before its first token.
            stall: Span::secs(30),
            peer: Span::millis(1000),
            platform: Span::millis(2000),
            // One small exchange a second keeps control traffic under the budget.
            heartbeat: Span::millis(1000),
            revision_poll: Span::millis(2000),
            members_poll: Span::millis(2000),
            drain: Span::secs(120),
            // The platform's balancer takes a few seconds to see that an instance is not ready.
            drain_grace: Span::secs(5),
            claim: Span::secs(24 * 3600),
        }
    }
}

impl Timeouts {
    /// Reads `[timeouts]`.
    pub fn read(root: &TableReader<'_, '_>) -> Timeouts {
        let mut timeouts = Timeouts::default();
        let Some(table) = root.table("timeouts") else { return timeouts };
        for (name, slot) in timeouts.fields_mut() {
            if let Some(span) = table.text::<Span>(name) {
                if span.0.is_zero() {
                    table.add_error(name, "is zero; give it a time");
                }
                *slot = span;
            }
        }
        table.finish();
        timeouts
    }

    fn fields_mut(&mut self) -> [(&'static str, &mut Span); 14] {
        [
            ("head", &mut self.head),
            ("body", &mut self.body),
            ("idle", &mut self.idle),
            ("slow_reader", &mut self.slow_reader),
            ("connect", &mut self.connect),
            ("stall", &mut self.stall),
            ("peer", &mut self.peer),
            ("platform", &mut self.platform),
            ("heartbeat", &mut self.heartbeat),
            ("revision_poll", &mut self.revision_poll),
            ("members_poll", &mut self.members_poll),
            ("drain", &mut self.drain),
            ("drain_grace", &mut self.drain_grace),
            ("claim", &mut self.claim),
        ]
    }
}
