//! Log lines of the requests of callers.

use std::time::Duration;

use super::{
    Gateway,
    in_flight::{Completion, LastAttempt},
    request::Request,
};

/// Logs the end of a request.
pub(super) fn log_completion(
    gateway: &Gateway,
    request: &Request,
    completion: &Completion,
    last_attempt: Option<&LastAttempt>,
) {
    let now = gateway.clock.now();
    let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
    let attempt = last_attempt.map_or_else(String::new, |attempt| {
        format!(
            " server={} software={} rank={} load={:.1} counts_age_ms={} instances={} bound={:.1} arrivals={} first_ms={} end={} path={}",
            attempt.server,
            attempt.software,
            attempt.rank,
            attempt.load,
            millis(attempt.counts_age),
            attempt.instances,
            attempt.bound,
            attempt.arrivals,
            millis(attempt.first_byte_after),
            attempt.body_end.map_or_else(|| "none".to_owned(), |end| end.to_string()),
            attempt.path
        )
    });
    log::info!(
        "event=request request={} route={} service={} team={} status={} outcome={} reason={:?} \
         took_ms={} target_ms={} stream={} version={} version_age_ms={} servers_age_ms={}{attempt}",
        request.metadata.id,
        request.route.name,
        request.service,
        request.team_name(),
        completion.status,
        completion.outcome,
        completion.reason,
        now.saturating_duration_since(request.received_at).as_millis(),
        request.route.target_latency.as_millis(),
        u8::from(request.route.kind.is_stream()),
        request.version,
        millis(gateway.cluster_state.intent_age(now)),
        millis(gateway.cluster_state.servers_age(now)),
    );
}
