//! The instruments of an instance: their names, units and descriptions.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, UpDownCounter};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];

/// The instruments that values are recorded with.
pub(super) struct Instruments {
    pub(super) requests: Counter<u64>,
    pub(super) in_flight: UpDownCounter<i64>,
    pub(super) first_byte: Histogram<f64>,
    pub(super) request_time: Histogram<f64>,
    pub(super) permit_time: Histogram<f64>,
    pub(super) attempts: Counter<u64>,
    pub(super) retries: Counter<u64>,
    pub(super) permit_replies: Counter<u64>,
    pub(super) dropped_responses: Counter<u64>,
    pub(super) streams_resumed: Counter<u64>,
    pub(super) response_ends: Counter<u64>,
    pub(super) streams_not_resumed: Counter<u64>,
    pub(super) stream_resumptions: Counter<u64>,
    pub(super) control_bytes: Counter<u64>,
    pub(super) control_messages: Counter<u64>,
    pub(super) engine_load: Gauge<u64>,
    pub(super) load_bound: Gauge<u64>,
    pub(super) queued: Gauge<u64>,
    pub(super) revision: Gauge<u64>,
    pub(super) revision_newest: Gauge<u64>,
    pub(super) homes: Gauge<u64>,
    pub(super) claims: Counter<u64>,
    pub(super) store_calls: Counter<u64>,
    pub(super) knowledge_age: Gauge<f64>,
    pub(super) budget_spent: Gauge<u64>,
    pub(super) log_lines_left_out: Counter<u64>,
    pub(super) refusals: Counter<u64>,
    pub(super) server_notices: Counter<u64>,
    pub(super) held_requests: Gauge<u64>,
    pub(super) held_parts: Gauge<u64>,
    pub(super) kept_servers: Gauge<u64>,
    pub(super) cold_permits: Counter<u64>,
    pub(super) cold_servers: Gauge<u64>,
    pub(super) evacuated_zones: Gauge<u64>,
    pub(super) store_era: Gauge<u64>,
    pub(super) rollout_share: Gauge<f64>,
    pub(super) slot_leases: Counter<u64>,
    pub(super) slot_time: Histogram<f64>,
    pub(super) slots_awaited: Gauge<u64>,
    pub(super) slots_held: Gauge<u64>,
    pub(super) oldest_slot: Gauge<f64>,
    pub(super) buffered_bytes: Gauge<u64>,
    pub(super) responses_relayed: Counter<u64>,
    pub(super) limited_teams: Gauge<u64>,
    pub(super) ready: Gauge<u64>,
    pub(super) unreached_servers: Gauge<u64>,
    pub(super) tunnels: Counter<u64>,
    pub(super) tunnels_served: Gauge<u64>,
    pub(super) thread_panics: Gauge<u64>,
}

impl Instruments {
    /// Creates the instruments of a meter.
    pub(super) fn new(meter: &Meter) -> Instruments {
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
        Instruments {
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
            stream_resumptions: counter(
                "cartvane_stream_resumptions",
                "Requests of callers that resume a stream, by service and how the version that began it was found",
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
            held_parts: gauge(
                "cartvane_held_parts",
                "Parts of prompts held back since servers ended as they ran requests with them",
            ),
            kept_servers: gauge(
                "cartvane_kept_servers",
                "Servers in use although the list is missing them",
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
            thread_panics: gauge(
                "cartvane_thread_panics",
                "Panics since the start of the process, by thread; its work was started again",
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
        }
    }
}
