//! Metrics recorded with `opentelemetry` and exposed in the Prometheus text format.

mod instruments;

use std::{fmt, sync::Arc, time::Duration};

use opentelemetry::{KeyValue, metrics::MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use self::instruments::Instruments;
use crate::{
    contract::outcome::{AttemptFault, Outcome},
    link::{
        http1::BodyEnd,
        traffic::{Direction, TrafficCounter},
    },
    names::{BackendId, ServiceId, ServiceName},
};

/// The metrics of an instance; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    // Keeps the reader alive.
    _provider: SdkMeterProvider,
    instruments: Arc<Instruments>,
}

fn label(key: &'static str, value: impl ToString) -> KeyValue {
    KeyValue::new(key, value.to_string())
}

impl Metrics {
    /// Returns new metrics with their own registry.
    ///
    /// # Errors
    ///
    /// The exporter cannot be built.
    pub fn new() -> anyhow::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cartvane");
        let instruments = Arc::new(Instruments::new(&meter));
        Ok(Metrics { registry, _provider: provider, instruments })
    }

    /// Returns all metrics in the Prometheus text format, those with few series first: a collector that truncates the
    /// text then loses loads of backend servers, not the instance's own state.
    pub fn text(&self) -> String {
        let mut families = self.registry.gather();
        families.sort_by_key(|family| family.get_metric().len());
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }

    /// Counts a request as in flight.
    pub fn request_started(&self) {
        self.instruments.in_flight.add(1, &[]);
    }

    /// Counts a finished request and records its duration.
    pub fn request_finished(&self, service: &str, status: u16, outcome: Outcome, took: Duration) {
        self.instruments.in_flight.add(-1, &[]);
        let labels =
            [label("service", service), label("status", status), label("outcome", outcome)];
        self.instruments.requests.add(1, &labels);
        self.instruments.request_time.record(took.as_secs_f64(), &[label("service", service)]);
    }

    /// Records the time to the first byte of a response.
    pub fn first_byte(&self, service: &impl fmt::Display, took: Duration) {
        self.instruments.first_byte.record(took.as_secs_f64(), &[label("service", service)]);
    }

    /// Counts an attempt by its fault, or as answered if there was none.
    pub fn attempt(&self, service: &impl fmt::Display, fault: Option<AttemptFault>) {
        let result = fault.map_or("answered", |fault| match fault {
            AttemptFault::Connect => "connect",
            AttemptFault::NoPath => "no-path",
            AttemptFault::BeforeSend => "before-send",
            AttemptFault::AfterSend => "after-send",
            AttemptFault::HeadTimeout => "head-timeout",
            AttemptFault::Garbage => "garbage",
            AttemptFault::Foreign => "foreign",
            AttemptFault::Refused => "refused",
            AttemptFault::Withheld => "withheld",
            AttemptFault::LeaseExpired => "lease-expired",
            AttemptFault::CutBody => "cut-body",
            AttemptFault::CutEvent => "cut-event",
            AttemptFault::StalledBody => "stalled-body",
            AttemptFault::CallerGone => "caller-gone",
        });
        self.instruments.attempts.add(1, &[label("service", service), label("result", result)]);
        if fault == Some(AttemptFault::Foreign) {
            self.instruments.dropped_responses.add(1, &[label("service", service)]);
        }
    }

    /// Counts a retry.
    pub fn retry(&self, service: &impl fmt::Display) {
        self.instruments.retries.add(1, &[label("service", service)]);
    }

    /// Counts a resumed stream.
    pub fn stream_resumed(&self, service: &impl fmt::Display) {
        self.instruments.streams_resumed.add(1, &[label("service", service)]);
    }

    /// Counts a home's reply to a permit request and records the time it took.
    pub fn permit_reply(&self, kind: &'static str, took: Duration) {
        self.instruments.permit_replies.add(1, &[label("reply", kind)]);
        self.instruments.permit_time.record(took.as_secs_f64(), &[]);
    }

    /// Returns a counter that adds control traffic to these metrics.
    pub fn traffic(&self) -> TrafficCounter {
        let instruments = Arc::clone(&self.instruments);
        TrafficCounter::new(move |purpose, direction, bytes| {
            let labels = [label("purpose", purpose.name()), label("direction", direction.name())];
            instruments.control_bytes.add(bytes as u64, &labels);
            if direction == Direction::Sent {
                instruments.control_messages.add(1, &[label("purpose", purpose.name())]);
            }
        })
    }

    /// Sets the load of an engine.
    pub fn engine_load(&self, server: &BackendId, load: u32) {
        self.instruments.engine_load.record(u64::from(load), &[label("backend_server", server)]);
    }

    /// Sets the load bound and the queue length of a service's shard.
    pub fn shard(&self, service: &ServiceId, bound: u32, queued: usize) {
        let labels = [label("service", service)];
        self.instruments.load_bound.record(u64::from(bound), &labels);
        self.instruments.queued.record(queued as u64, &labels);
    }

    /// Sets the active revision.
    pub fn revision(&self, revision: u64) {
        self.instruments.revision.record(revision, &[]);
    }

    /// Sets the newest revision that the instance has learned of.
    pub fn revision_newest(&self, revision: u64) {
        self.instruments.revision_newest.record(revision, &[]);
    }

    /// Sets the number of shards whose home this instance is.
    pub fn homes(&self, count: usize) {
        self.instruments.homes.record(count as u64, &[]);
    }

    /// Counts a claim of an idempotency key by its verdict.
    pub fn claim(&self, verdict: &'static str) {
        self.instruments.claims.add(1, &[label("verdict", verdict)]);
    }

    /// Counts a call to the platform's store by kind and result.
    pub fn store_call(&self, kind: &'static str, result: &'static str) {
        self.instruments.store_calls.add(1, &[label("kind", kind), label("result", result)]);
    }

    /// Sets the time since the instance's information on a subject was known to be current.
    pub fn knowledge_age(&self, subject: &'static str, age: Duration) {
        self.instruments.knowledge_age.record(age.as_secs_f64(), &[label("subject", subject)]);
    }

    /// Sets the number of retries of a service in the retry window.
    pub fn budget_spent(&self, service: &impl fmt::Display, retries: usize) {
        self.instruments.budget_spent.record(retries as u64, &[label("service", service)]);
    }

    /// Sets the number of bytes of a kind that are held in memory for callers.
    pub fn buffered_bytes(&self, kind: &'static str, bytes: u64) {
        self.instruments.buffered_bytes.record(bytes, &[label("kind", kind)]);
    }

    /// Counts a response that is passed on as it comes instead of being collected first.
    pub fn response_relayed(&self, service: &impl fmt::Display) {
        self.instruments.responses_relayed.add(1, &[label("service", service)]);
    }

    /// Sets the number of held requests.
    pub fn held_requests(&self, count: usize) {
        self.instruments.held_requests.record(count as u64, &[]);
    }

    /// Sets the number of held parts of prompts.
    pub fn held_parts(&self, count: usize) {
        self.instruments.held_parts.record(count as u64, &[]);
    }

    /// Sets the number of servers that are in use although the list is missing them.
    pub fn kept_servers(&self, count: usize) {
        self.instruments.kept_servers.record(count as u64, &[]);
    }

    /// Counts a request that would have gone to a cold server, by whether the server took it.
    pub fn cold_permit(&self, service: &impl fmt::Display, result: &'static str) {
        self.instruments.cold_permits.add(1, &[label("service", service), label("result", result)]);
    }

    /// Sets the number of cold backend servers.
    pub fn cold_servers(&self, count: usize) {
        self.instruments.cold_servers.record(count as u64, &[]);
    }

    /// Sets the number of evacuated availability zones.
    pub fn evacuated_zones(&self, count: usize) {
        self.instruments.evacuated_zones.record(count as u64, &[]);
    }

    /// Sets the share of a service's requests that goes to the version that is being rolled out.
    pub fn rollout_share(&self, service: &ServiceName, share: f64) {
        self.instruments.rollout_share.record(share, &[label("service", service)]);
    }

    /// Sets the number of teams of a service whose requests exceed their share of capacity.
    pub fn limited_teams(&self, service: &ServiceName, count: usize) {
        self.instruments.limited_teams.record(count as u64, &[label("service", service)]);
    }

    /// Sets whether this instance reports that it is ready.
    pub fn ready(&self, is_ready: bool) {
        self.instruments.ready.record(u64::from(is_ready), &[]);
    }

    /// Sets the number of a service's servers that this instance cannot connect to, while others may.
    pub fn unreached_servers(&self, service: &ServiceName, count: usize) {
        self.instruments.unreached_servers.record(count as u64, &[label("service", service)]);
    }

    /// Counts a request to another instance for a tunnel to a server of `service`.
    pub fn tunnel(&self, service: &ServiceName, result: &'static str) {
        self.instruments.tunnels.add(1, &[label("service", service), label("result", result)]);
    }

    /// Sets the number of tunnels that are served to other instances.
    pub fn tunnels_served(&self, count: usize) {
        self.instruments.tunnels_served.record(count as u64, &[]);
    }

    /// Sets the store's era.
    pub fn store_era(&self, era: u64) {
        self.instruments.store_era.record(era, &[]);
    }

    /// Counts a request that resumes a stream.
    pub fn stream_resumption(&self, service: &ServiceName, result: &'static str) {
        let labels = [label("service", service), label("result", result)];
        self.instruments.stream_resumptions.add(1, &labels);
    }

    /// Counts a stream that broke off and was not resumed.
    pub fn stream_not_resumed(&self, service: &ServiceName, reason: &'static str) {
        let labels = [label("service", service), label("reason", reason)];
        self.instruments.streams_not_resumed.add(1, &labels);
    }

    /// Counts a response of a server of `service` that was read to its end.
    pub fn response_end(&self, service: &impl fmt::Display, end: BodyEnd) {
        self.instruments.response_ends.add(1, &[label("service", service), label("end", end)]);
    }

    /// Counts a request that was rejected before it was sent to a backend server.
    pub fn refusal(&self, service: &impl fmt::Display, reason: &'static str) {
        self.instruments.refusals.add(1, &[label("service", service), label("reason", reason)]);
    }

    /// Counts a request for a slot lease and records the time that it added to its request.
    pub fn slot_lease(&self, service: &impl fmt::Display, result: &'static str, took: Duration) {
        self.instruments.slot_leases.add(1, &[label("service", service), label("result", result)]);
        self.instruments.slot_time.record(took.as_secs_f64(), &[label("service", service)]);
    }

    /// Sets the numbers of requests that wait for a slot and of leases held, and the age of the oldest lease.
    pub fn slot_leases(&self, waiting: usize, held: usize, oldest: Duration) {
        self.instruments.slots_awaited.record(waiting as u64, &[]);
        self.instruments.slots_held.record(held as u64, &[]);
        self.instruments.oldest_slot.record(oldest.as_secs_f64(), &[]);
    }

    /// Counts a response in which a backend server announced that it leaves or asked for a backoff.
    pub fn server_notice(&self, service: &impl fmt::Display, notice: &'static str) {
        self.instruments
            .server_notices
            .add(1, &[label("service", service), label("notice", notice)]);
    }

    /// Sets the number of panics of a thread.
    pub fn thread_panics(&self, thread: &str, count: u64) {
        self.instruments.thread_panics.record(count, &[label("thread", thread)]);
    }

    /// Counts dropped log lines.
    pub fn log_lines_left_out(&self, count: u64) {
        self.instruments.log_lines_left_out.add(count, &[]);
    }

    /// Sets the number of this instance's requests in flight at a backend server.
    pub fn in_flight_at(&self, server: &impl fmt::Display, count: u32) {
        self.instruments.engine_load.record(u64::from(count), &[label("backend_server", server)]);
    }
}
