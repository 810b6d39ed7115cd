//! Metrics recorded with `opentelemetry` and exposed in the Prometheus text format.

use std::{fmt, sync::Arc, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{
    contract::outcome::{AttemptFault, Outcome},
    link::{
        http1::BodyEnd,
        traffic::{Direction, TrafficCounter},
    },
    names::{BackendId, ServiceId, ServiceName},
};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];

struct Instruments {
    requests: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    first_byte: Histogram<f64>,
    request_time: Histogram<f64>,
    permit_time: Histogram<f64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    permit_replies: Counter<u64>,
    dropped_responses: Counter<u64>,
    streams_resumed: Counter<u64>,
    response_ends: Counter<u64>,
    streams_not_resumed: Counter<u64>,
    stream_take_ups: Counter<u64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
    engine_load: Gauge<u64>,
    load_bound: Gauge<u64>,
    queued: Gauge<u64>,
    revision: Gauge<u64>,
    revision_newest: Gauge<u64>,
    homes: Gauge<u64>,
    claims: Counter<u64>,
    store_calls: Counter<u64>,
    knowledge_age: Gauge<f64>,
    budget_spent: Gauge<u64>,
    log_lines_left_out: Counter<u64>,
    refusals: Counter<u64>,
    server_notices: Counter<u64>,
    held_requests: Gauge<u64>,
    cold_permits: Counter<u64>,
    cold_servers: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    store_era: Gauge<u64>,
    rollout_share: Gauge<f64>,
    slot_leases: Counter<u64>,
    slot_time: Histogram<f64>,
    slots_awaited: Gauge<u64>,
    slots_held: Gauge<u64>,
    oldest_slot: Gauge<f64>,
    buffered_bytes: Gauge<u64>,
    responses_relayed: Counter<u64>,
    limited_teams: Gauge<u64>,
    ready: Gauge<u64>,
    unreached_servers: Gauge<u64>,
    tunnels: Counter<u64>,
    tunnels_served: Gauge<u64>,
}

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
        let latency = |name: &'static str, description: &'static str| {
            let bounds = LATENCY_BOUNDS.to_vec();
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(bounds)
                .build()
        };
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let instruments = Instruments {
            requests: counter(
                "cartvane_requests",
                "Requests ended, by service, status and outcome",
            ),
            in_flight: meter.i64_up_down_counter("cartvane_requests_in_flight").build(),
            first_byte: latency(
                "cartvane_first_byte",
                "From a request's end to its answer's first byte",
            ),
            request_time: latency("cartvane_request", "From a request's end to its answer's end"),
            permit_time: latency("cartvane_permit", "From an ask to its reply"),
            attempts: counter("cartvane_attempts", "Attempts at backend servers, by result"),
            retries: counter("cartvane_retries", "Attempts after the first, by service"),
            permit_replies: counter(
                "cartvane_permit_replies",
                "Replies of homes to this entry, by kind",
            ),
            dropped_responses: counter(
                "cartvane_answers_dropped",
                "Answers that belong to another attempt",
            ),
            streams_resumed: counter(
                "cartvane_streams_resumed",
                "Streams resumed after their connection was lost",
            ),
            stream_take_ups: counter(
                "cartvane_stream_take_ups",
                "Streams that callers took up, by service and how the version that began them was found",
            ),
            streams_not_resumed: counter(
                "cartvane_streams_not_resumed",
                "Streams that broke off and were not resumed, by service and reason",
            ),
            response_ends: counter(
                "cartvane_response_ends",
                "Responses of backend servers read to their end, by what marks it",
            ),
            control_bytes: counter(
                "cartvane_control_bytes",
                "Control traffic, heads included, by purpose and direction",
            ),
            control_messages: counter(
                "cartvane_control_messages",
                "Control messages sent, by purpose",
            ),
            engine_load: gauge(
                "cartvane_engine_load",
                "Requests in flight by backend server: permits at its home, own requests on a platform",
            ),
            load_bound: gauge(
                "cartvane_load_bound",
                "Most permits of one backend server, by service, at its home",
            ),
            queued: gauge("cartvane_queued", "Requests waiting, by service, at its home"),
            revision: gauge("cartvane_revision", "Revision in force"),
            revision_newest: gauge(
                "cartvane_revision_newest",
                "Newest revision known to exist; above the one in force while that is out of date",
            ),
            homes: gauge("cartvane_homes", "Shards whose home this instance is"),
            claims: counter("cartvane_claims", "Claims of idempotency keys, by verdict"),
            store_calls: counter(
                "cartvane_store_calls",
                "Calls to the platform's store, by kind and result",
            ),
            knowledge_age: meter
                .f64_gauge("cartvane_knowledge_age")
                .with_unit("s")
                .with_description("Time since what is believed was known to be current, by subject")
                .build(),
            budget_spent: gauge(
                "cartvane_retry_budget_spent",
                "Repeats in the retry window, by service, at this instance",
            ),
            held_requests: gauge(
                "cartvane_held_requests",
                "Requests held back since servers ended as they ran them",
            ),
            cold_permits: counter(
                "cartvane_cold_permits",
                "Requests that would have gone to a cold server, by service and whether it took them",
            ),
            cold_servers: gauge("cartvane_cold_servers", "Backend servers that are cold"),
            evacuated_zones: gauge(
                "cartvane_evacuated_zones",
                "Availability zones that operators have emptied",
            ),
            store_era: gauge(
                "cartvane_store_era",
                "How often the store has come back from a copy, as far as is known",
            ),
            rollout_share: meter
                .f64_gauge("cartvane_rollout_share")
                .with_description(
                    "Share of a service's requests that goes to a version which is rolled out",
                )
                .build(),
            slot_leases: counter(
                "cartvane_slot_leases",
                "Requests for a slot of a small service, by service and result",
            ),
            slot_time: latency("cartvane_slot", "From a request for a slot to the decision"),
            slots_awaited: gauge(
                "cartvane_slots_awaited",
                "Requests of this instance that wait for a slot's broker",
            ),
            slots_held: gauge("cartvane_slots_held", "Slots leased to this instance"),
            oldest_slot: meter
                .f64_gauge("cartvane_slot_oldest")
                .with_unit("s")
                .with_description("Age of the oldest lease of this instance")
                .build(),
            limited_teams: gauge(
                "cartvane_limited_teams",
                "Teams whose requests exceed their share of capacity, by service",
            ),
            ready: gauge(
                "cartvane_ready",
                "1 if this instance reports that it is ready for callers",
            ),
            unreached_servers: gauge(
                "cartvane_unreached_servers",
                "Servers that this instance cannot connect to, by service",
            ),
            tunnels: counter(
                "cartvane_tunnels",
                "Requests to other instances for a tunnel to a server, by service and result",
            ),
            tunnels_served: gauge(
                "cartvane_tunnels_served",
                "Tunnels that this instance serves to others",
            ),
            log_lines_left_out: counter(
                "cartvane_log_lines_left_out",
                "Log lines left out since there were too many",
            ),
            refusals: counter(
                "cartvane_refusals",
                "Requests refused without being sent, by service and reason",
            ),
            buffered_bytes: gauge(
                "cartvane_buffered_bytes",
                "Bytes held in memory for callers, by kind: request, response, stream",
            ),
            responses_relayed: counter(
                "cartvane_responses_relayed",
                "Responses passed on as they came since there was no room to collect them, by service",
            ),
            server_notices: counter(
                "cartvane_server_notices",
                "Answers in which a backend server said something of itself, by service and notice",
            ),
        };
        Ok(Metrics { registry, _provider: provider, instruments: Arc::new(instruments) })
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

    /// Counts a request that takes a stream up.
    pub fn stream_take_up(&self, service: &ServiceName, result: &'static str) {
        let labels = [label("service", service), label("result", result)];
        self.instruments.stream_take_ups.add(1, &labels);
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

    /// Counts dropped log lines.
    pub fn log_lines_left_out(&self, count: u64) {
        self.instruments.log_lines_left_out.add(count, &[]);
    }

    /// Sets the number of this instance's requests in flight at a backend server.
    pub fn in_flight_at(&self, server: &impl fmt::Display, count: u32) {
        self.instruments.engine_load.record(u64::from(count), &[label("backend_server", server)]);
    }
}
