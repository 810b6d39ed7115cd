//! Leases the slots of one service's servers to the requests of all instances.
//!
//! With fewer slots than instances, no instance can be given a part of the slots: by counts that are an exchange old,
//! all of them choose the same free slot, and the servers reject what they cannot run. One instance therefore leases
//! each slot for one request.
//!
//! The load that this handles is several times what the slots can serve: one team or a few at 8 to 12 times their usual
//! load, all teams at 5 times, half of the servers lost, callers that retry at once, and the return of all callers
//! after an outage. Teams share the slots equally (max-min), so that the load of one does not delay the others.

use std::time::{Duration, Instant};

use super::{
    BrokerAction, LeaseId, ServerSlots, SlotRequest, max_retry_delay,
    moving_mean::MovingMean,
    slot_demand::SlotDemand,
    slot_promises::SlotPromises,
    slot_queue::{Rank, SlotQueue, Waiting},
    slot_table::SlotTable,
};
use crate::names::Tag;

/// Share of a team's capacity that is promised to callers that retry; the rest is left to new requests, the more urgent
/// of which would otherwise wait behind the promises of less urgent ones.
const PROMISED_SHARE: f64 = 0.5;

/// Leases of the slots of one service.
#[derive(Debug, Default)]
pub struct SlotBroker {
    table: SlotTable,
    queue: SlotQueue,
    promises: SlotPromises,
    demand: SlotDemand,
    /// Time from the grant of a lease to its release, which includes the way of the grant to its instance.
    slot_time: MovingMean,
}

impl SlotBroker {
    /// Sets the servers that may be used. Leases of servers that are not listed any more stay until they end.
    ///
    /// Waiting requests that cannot be served in time with fewer slots are rejected.
    pub fn set_servers(&mut self, now: Instant, servers: Vec<ServerSlots>) -> Vec<BrokerAction> {
        let mut actions = self.advance(now);
        let slots_before = self.table.slots();
        self.table.set_servers(servers);
        if self.table.slots() < slots_before {
            self.requeue(now, &mut actions);
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Decides on a request for a slot. The actions end with the one for this request; others may precede it.
    pub fn request(&mut self, now: Instant, request: SlotRequest) -> Vec<BrokerAction> {
        let mut actions = self.advance(now);
        let id = request.id;
        let action = match self.table.server_of(id) {
            Some(server) => BrokerAction::Grant { id, server },
            None if self.queue.contains(id) => BrokerAction::Queue { id },
            None => {
                self.demand.note_request(now, request.team, request.digest);
                let is_return = self.promises.redeem(now, request.team, request.digest);
                let rank = if is_return { Rank::Returned } else { Rank::new(now, &request) };
                self.decide(now, Waiting { req: request, rank, since: now })
            }
        };
        actions.push(action);
        actions
    }

    /// Records a lease that an instance holds already, as it reports when it turns to this broker.
    pub fn adopt(&mut self, now: Instant, id: LeaseId, server: Tag, time_left: Duration) {
        self.queue.remove(id);
        self.table.insert(id, server, None, now + time_left);
    }

    /// Ends a lease, or takes a waiting request out of the queue.
    pub fn release(&mut self, now: Instant, id: LeaseId) -> Vec<BrokerAction> {
        if let Some(granted_at) = self.table.remove(id) {
            self.slot_time.note(now.saturating_duration_since(granted_at));
        }
        self.queue.remove(id);
        self.advance(now)
    }

    /// Ends what has expired: leases whose holder did not return them, and waits that are over.
    pub fn tick(&mut self, now: Instant) -> Vec<BrokerAction> {
        self.promises.expire(now);
        self.advance(now)
    }

    /// Returns when [`SlotBroker::tick`] is next due; `None` while nothing can expire.
    pub fn next_tick(&self) -> Option<Instant> {
        [self.table.next_expiry(), self.queue.next_expiry()].into_iter().flatten().min()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of retry times that callers were promised and that have not passed.
    pub fn promised(&self) -> usize {
        self.promises.len()
    }

    /// Ends leases and waits that are over, and grants the slots that are free.
    fn advance(&mut self, now: Instant) -> Vec<BrokerAction> {
        let mut actions = Vec::new();
        self.table.expire(now);
        // Before the grants: a request that has waited for its `wait_max` would be late.
        for waiting in self.queue.expire(now) {
            actions.push(self.reject(now, &waiting.aged(now)));
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Grants, queues or rejects a new request. No waiting request can use a server that is still free.
    fn decide(&mut self, now: Instant, new: Waiting) -> BrokerAction {
        if let Some(server) = self.table.pick(&new.req, self.slot_time.mean()) {
            return self.grant(now, &new.req, server);
        }
        let Waiting { req, rank, .. } = &new;
        let limit = self.wait_limit(now, req);
        if limit.is_zero() || self.expected_wait(now, req, *rank) > limit {
            return self.reject(now, req);
        }
        let (id, floor) = (req.id, self.demand.floor(now, req.team));
        self.queue.push(now, floor, new);
        BrokerAction::Queue { id }
    }

    fn grant(&mut self, now: Instant, req: &SlotRequest, server: Tag) -> BrokerAction {
        self.promises.remove(req.team, req.digest);
        self.demand.note_grant(now);
        self.table.insert(req.id, server, Some(now), now + req.time_left);
        BrokerAction::Grant { id: req.id, server }
    }

    /// Grants slots to waiting requests while there are any.
    fn dispatch(&mut self, now: Instant, actions: &mut Vec<BrokerAction>) {
        let slot_time = self.slot_time.mean();
        // Without room, each waiting request would be compared with each server in vain.
        while self.table.has_room(slot_time) {
            let fits = |req: &SlotRequest| self.table.pick(req, slot_time).is_some();
            let backlog =
                slot_time.unwrap_or_default() * self.queue.len() as u32 / self.table.slots().max(1);
            let near_expiry = self.queue.pop_near_expiry(now, backlog, fits);
            let Some(waiting) = near_expiry.or_else(|| self.queue.pop(now, fits)) else { return };
            if let Some(server) = self.table.pick(&waiting.req, slot_time) {
                actions.push(self.grant(now, &waiting.aged(now), server));
            }
        }
    }

    /// Decides again on all waiting requests, in the order in which they would be served.
    fn requeue(&mut self, now: Instant, actions: &mut Vec<BrokerAction>) {
        let mut queue = std::mem::take(&mut self.queue);
        while let Some(waiting) = queue.pop(now, |_| true) {
            let Waiting { req, rank, .. } = &waiting;
            let left = waiting.wait_ends().saturating_duration_since(now);
            if self.expected_wait(now, req, *rank) > left {
                actions.push(self.reject(now, &waiting.aged(now)));
            } else {
                let floor = self.demand.floor(now, req.team);
                self.queue.push(now, floor, waiting);
            }
        }
    }

    fn reject(&mut self, now: Instant, req: &SlotRequest) -> BrokerAction {
        self.demand.note_rejection(now, req.team, req.digest);
        let max_delay = max_retry_delay(req.time_left);
        let retry_after = match self.promise_interval(req) {
            Some(interval) => {
                let SlotRequest { team, digest, priority, .. } = *req;
                self.promises.promise(now, team, digest, priority, interval, max_delay)
            }
            // When there will be a server is not known: the delay is the longest that the caller waits.
            None => max_delay,
        };
        BrokerAction::Reject { id: req.id, retry_after }
    }

    /// Returns the time between two promises to a team: the time in which it is served one request, if all teams that
    /// compete for slots get the same, divided by the promised share. `None` without a server for the request.
    fn promise_interval(&self, req: &SlotRequest) -> Option<Duration> {
        let interval = self.service_interval(req)?;
        let competing = self.queue.teams().max(self.promises.teams()).max(1);
        let share = PROMISED_SHARE * self.queue.quantum(req.team);
        Some(interval.mul_f64(competing as f64 / share))
    }

    /// Returns the mean time between two ends of leases on the servers that a request may use, while no more can be
    /// leased; `None` without such a server.
    fn service_interval(&self, req: &SlotRequest) -> Option<Duration> {
        let mean = self.slot_time.mean();
        let leases = self.table.lease_limit(req, mean);
        // Before the first lease has ended, a slot is assumed to become free once in the time that the request waits.
        (leases > 0).then(|| mean.unwrap_or(req.wait_max) / leases)
    }

    /// Returns how long a new request would wait; `Duration::MAX` without a server that it may use.
    fn expected_wait(&self, now: Instant, req: &SlotRequest, rank: Rank) -> Duration {
        let Some(interval) = self.service_interval(req) else { return Duration::MAX };
        let wait = |coming| {
            interval.saturating_mul(self.queue.ahead_of(req.team, rank, coming) as u32 + 1)
        };
        let without_returns = wait(0);
        match rank {
            Rank::Returned => without_returns,
            Rank::New(_) => {
                let until = now + without_returns.min(req.wait_max);
                wait(self.promises.due_until(req.team, until))
            }
        }
    }

    /// Returns the longest expected wait with which a request is queued.
    ///
    /// A queue that has lasted for less than the time until the deadline is a burst, which is served in full. Otherwise
    /// the wait leaves room for requests that take longer than the mean.
    fn wait_limit(&self, now: Instant, req: &SlotRequest) -> Duration {
        let since = self.queue.waiting_since(req.team).unwrap_or(now);
        if now.saturating_duration_since(since) < req.time_left {
            return req.wait_max;
        }
        req.wait_max
            .saturating_sub(Duration::from_secs_f64(self.slot_time.excess_seconds()))
            .max(req.wait_max / 3)
    }
}
