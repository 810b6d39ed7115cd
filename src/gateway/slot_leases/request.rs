//! Requests a lease for one request: asks the broker, waits for the decision, and asks the next broker if the
//! first does not respond.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    SlotLease,
    messages::{Acquire, FromBroker},
    waiter::{WaitState, Waiter},
};
use crate::{
    gateway::{Gateway, forward::Forwarding, request::Request},
    link::http1::{Conn, conn::ConnState},
    names::{NodeName, Tag},
    routing::{InstanceInfo, LeaseId, RESPONSE_TIMEOUT, SlotRequest},
    utils::sync::lock,
};

/// Number of brokers that one request asks before the instance decides alone: the first two in rank.
const BROKERS_TRIED_MAX: usize = 2;

/// Leases on servers that this instance does not know or may not use, after which it decides alone: its list of servers
/// differs from the broker's.
const UNUSABLE_LEASES_MAX: usize = 3;

/// Interval at which a waiting request checks whether its caller and the broker are still there.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time by which a wait is exceeded if this instance was short of processor time: a small share of a core comes in parts,
/// with pauses of up to 90 ms between them.
const STALL_MIN: Duration = Duration::from_millis(10);

/// Time for the thread that reads the broker's stream to catch up after that. Without it, a broker whose reply has
/// arrived unread would be given up.
const CATCH_UP_TIME: Duration = Duration::from_millis(10);

/// The result of a request for a lease.
pub(in crate::gateway) enum SlotOutcome<'g> {
    /// The request needs no lease, or no broker responds: the instance decides alone.
    Alone,
    /// A slot is leased.
    Leased(SlotLease<'g>),
    /// The request is not served in time; its caller should retry after this delay.
    Rejected(Duration),
    /// The caller disconnected while the request waited.
    CallerLeft,
    /// The request was held while it waited, since it crashes servers.
    Held,
}

impl SlotOutcome<'_> {
    /// Returns the label value in metrics.
    fn label(&self) -> &'static str {
        match self {
            SlotOutcome::Alone => "alone",
            SlotOutcome::Leased(_) => "granted",
            SlotOutcome::Rejected(_) => "rejected",
            SlotOutcome::CallerLeft => "caller-left",
            SlotOutcome::Held => "held",
        }
    }
}

/// What one broker did about a request.
enum BrokerReply<'g> {
    Final(SlotOutcome<'g>),
    /// The broker does not respond, or is none.
    AskNext,
}

/// How a wait for a broker's decision ended.
enum WaitEnd {
    Decided(FromBroker),
    /// The broker is lost.
    Lost,
    /// The broker has not decided in time.
    Silent,
    CallerLeft,
    Held,
}

/// A request for a lease.
struct SlotQuery<'q> {
    request: &'q Request,
    excluded: Vec<Tag>,
    /// Until when the request may wait for a slot.
    wait_until: Instant,
    caller: Option<&'q Conn>,
    /// Time for which the request may still wait for brokers that have not responded to it.
    silence_left: Duration,
}

impl<'a> Forwarding<'a> {
    /// Requests a lease for the next attempt, if the service is small.
    pub(in crate::gateway) fn acquire_slot(
        &mut self,
        now: Instant,
        caller: Option<&Conn>,
    ) -> SlotOutcome<'a> {
        if !self.gateway.needs_lease(self.request) || self.unusable.len() >= UNUSABLE_LEASES_MAX {
            return SlotOutcome::Alone;
        }
        let silence_left = RESPONSE_TIMEOUT.saturating_sub(self.broker_silence);
        let excluded = lock(&self.gateway.picker).excluded(now, &self.pick_request(None));
        // Without a usable server, the pick finds out why.
        let Some(mut excluded) = excluded else { return SlotOutcome::Alone };
        excluded.extend_from_slice(&self.unusable);
        let wait_until = self.slot_wait_until(now);
        let mut query = SlotQuery {
            request: self.request,
            excluded,
            wait_until,
            caller: self.watched_caller(caller),
            silence_left,
        };
        let outcome = self.gateway.ask_brokers(&mut query);
        self.broker_silence += silence_left - query.silence_left;
        let added = self.gateway.clock.now().saturating_duration_since(now);
        self.gateway.metrics.slot_lease(&self.request.service, outcome.label(), added);
        outcome
    }

    /// Returns until when the request may wait for a slot: then it still meets its target latency. A request that may
    /// have run is late rather than lost.
    fn slot_wait_until(&self, now: Instant) -> Instant {
        let request = self.request;
        let target = request.received_at + request.route.target_latency;
        let end = if self.may_have_run() { request.deadline } else { target.min(request.deadline) };
        let slot_time = lock(&self.gateway.picker).admission(&request.service).slot_time();
        end.checked_sub(slot_time.unwrap_or_default()).unwrap_or(now).max(now)
    }
}

impl Gateway {
    fn ask_brokers(&self, query: &mut SlotQuery<'_>) -> SlotOutcome<'_> {
        for _ in 0..BROKERS_TRIED_MAX {
            let now = self.clock.now();
            // Until the instances know each other, several could be taken for the broker.
            if !self.peers.has_joined(now) {
                return SlotOutcome::Alone;
            }
            let service = &query.request.service;
            let candidates = lock(&self.peers.candidates);
            let broker = self.slot_leases.client.broker_of(now, service, &candidates);
            drop(candidates);
            // This instance's own broker replies at once, also if no time is left for silent ones.
            let may_ask = |broker: &InstanceInfo| {
                !query.silence_left.is_zero() || self.is_own_node(&broker.node)
            };
            let Some(broker) = broker.filter(may_ask) else { return SlotOutcome::Alone };
            if let BrokerReply::Final(outcome) = self.ask_broker(now, &broker, query) {
                return outcome;
            }
        }
        SlotOutcome::Alone
    }

    fn ask_broker(
        &self,
        now: Instant,
        broker: &InstanceInfo,
        query: &mut SlotQuery<'_>,
    ) -> BrokerReply<'_> {
        let request = self.slot_request(now, query);
        let id = request.id;
        let client = &self.slot_leases.client;
        let service = &query.request.service;
        let waiter = client.register(now, &broker.node, service, &request);
        let acquire = Acquire { service: service.clone(), request };
        if self.is_own_node(&broker.node) {
            let held = client.take_unreported(now, &broker.node, Some(service));
            self.handle_own_acquire(acquire, held);
        } else {
            client.send(now, broker, acquire);
        }
        match self.wait_for_slot(now, &broker.node, query, &waiter) {
            WaitEnd::Decided(FromBroker::Granted { server, .. }) => {
                BrokerReply::Final(SlotOutcome::Leased(SlotLease { gateway: self, id, server }))
            }
            WaitEnd::Decided(FromBroker::Rejected { retry_after, queue, .. }) => {
                self.log_rejection(now, &broker.node, query.request, queue, retry_after);
                BrokerReply::Final(SlotOutcome::Rejected(retry_after))
            }
            WaitEnd::Decided(_) => {
                client.skip_broker(&broker.node, "unavailable");
                BrokerReply::AskNext
            }
            WaitEnd::Lost => BrokerReply::AskNext,
            WaitEnd::Silent => {
                client.give_up_if_silent(self.clock.now(), &broker.node);
                self.release_slot(id);
                BrokerReply::AskNext
            }
            WaitEnd::Held => {
                self.release_slot(id);
                BrokerReply::Final(SlotOutcome::Held)
            }
            WaitEnd::CallerLeft => {
                self.release_slot(id);
                BrokerReply::Final(SlotOutcome::CallerLeft)
            }
        }
    }

    fn slot_request(&self, now: Instant, query: &SlotQuery<'_>) -> SlotRequest {
        let request = query.request;
        SlotRequest {
            id: LeaseId(fastrand::u64(..)),
            team: request.team.as_ref().map(|team| Tag::of(team.as_str())),
            priority: request.priority,
            digest: request.digest().0,
            wait_max: query.wait_until.saturating_duration_since(now),
            time_left: request.deadline.saturating_duration_since(now),
            excluded: query.excluded.clone(),
            zone: self.settings.zone.clone(),
        }
    }

    /// Waits for the decision on a request that was sent at `sent_at`. The time until the first reply of a broker that
    /// is given up is taken from the time that is left for silent brokers.
    fn wait_for_slot(
        &self,
        sent_at: Instant,
        broker: &NodeName,
        query: &mut SlotQuery<'_>,
        waiter: &Arc<Waiter>,
    ) -> WaitEnd {
        // The broker rejects a request whose wait is over; its message may take as long as any reply.
        let queue_end = (query.wait_until + RESPONSE_TIMEOUT).min(query.request.deadline);
        let mut first_reply_at = None;
        let end = loop {
            let now = self.clock.now();
            let state = waiter.state();
            let until = match &state {
                WaitState::Decided(message) => return WaitEnd::Decided(message.clone()),
                WaitState::Lost => break WaitEnd::Lost,
                WaitState::Sent => sent_at + query.silence_left,
                WaitState::Queued => {
                    first_reply_at.get_or_insert(now);
                    if self.slot_leases.client.give_up_if_silent(now, broker) {
                        break WaitEnd::Silent;
                    }
                    self.slot_leases.client.ping_if_due(now, broker);
                    queue_end
                }
            };
            if now >= until {
                break WaitEnd::Silent;
            }
            if self.crash_suspects.held(now, query.request).is_some() {
                return WaitEnd::Held;
            }
            if query.caller.is_some_and(has_left) {
                return WaitEnd::CallerLeft;
            }
            let wait = until.saturating_duration_since(now).min(POLL_INTERVAL);
            waiter.wait(&state, wait);
            if self.clock.now() >= now + wait + STALL_MIN {
                waiter.wait(&state, CATCH_UP_TIME);
            }
        };
        let silent_until = first_reply_at.unwrap_or_else(|| self.clock.now());
        let silence = silent_until.saturating_duration_since(sent_at);
        query.silence_left = query.silence_left.saturating_sub(silence);
        end
    }

    fn log_rejection(
        &self,
        asked_at: Instant,
        broker: &NodeName,
        request: &Request,
        queue: u32,
        retry_after: Duration,
    ) {
        let waited = self.clock.now().saturating_duration_since(asked_at);
        log::info!(
            "event=slot_rejected request={} service={} team={} wait_ms={} queue={queue} \
             retry_after_ms={} broker={broker}",
            request.metadata.id,
            request.service,
            request.team_name(),
            waited.as_millis(),
            retry_after.as_millis(),
        );
    }
}

fn has_left(caller: &Conn) -> bool {
    matches!(caller.state(), ConnState::HalfClosed | ConnState::Broken)
}
