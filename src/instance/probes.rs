//! Probes of backend servers, sent only by the home of their shard and only where no answer has
//! told of them for a while.

use std::{thread, time::Duration};

use http::{HeaderMap, Method};
use serde::Deserialize;

use crate::{
    instance::shared::Shared,
    link::backend::Attempt,
    metrics::Purpose,
    names::Tag,
    zone::{home::Event, shard::ShardId},
};

/// Path of an engine's status.
const STATUS_PATH: &str = "/engine/status";

/// Longest wait for a probe's answer.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Largest status read.
const STATUS_MAX: usize = 64 << 10;

/// Probes under way at once.
const AT_ONCE: usize = 8;

/// Bytes of a probe's answer beside its headers and body.
const ANSWER_LINES: usize = 19;

/// What an engine tells of itself.
#[derive(Debug, Deserialize)]
struct EngineStatus {
    load: u32,
    state: String,
}

/// Probes the engines that are due.
pub fn probe_due(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let reports = |tag: Tag| snapshot.server(tag).is_some_and(|server| server.reports_load);
    let due: Vec<(ShardId, Tag)> =
        shared.homes.probes_due().into_iter().filter(|(_, tag)| reports(*tag)).collect();
    for group in due.chunks(AT_ONCE) {
        thread::scope(|scope| {
            for (shard, engine) in group {
                let Some(address) = snapshot.server(*engine).map(|server| server.address) else {
                    continue;
                };
                scope.spawn(move || {
                    let status = probe(shared, address);
                    let events = match status {
                        Some(status) => vec![
                            Event::Report(*engine, status.load),
                            Event::Leaving(*engine, status.state == "leaving"),
                        ],
                        None => vec![Event::ProbeFailed(*engine)],
                    };
                    shared.homes.tell(*shard, events);
                });
            }
        });
    }
}

fn probe(shared: &Shared, address: std::net::SocketAddr) -> Option<EngineStatus> {
    let headers = HeaderMap::new();
    let attempt = Attempt {
        address,
        method: &Method::GET,
        target: STATUS_PATH,
        headers: &headers,
        body: &[],
        id: "probe",
        fresh: false,
        until: shared.clock.now() + PROBE_TIME,
    };
    shared.metrics.control_sent(Purpose::Probe, attempt.bytes().len());
    let mut answer = shared.backends.send(&attempt, &mut || true).ok()?;
    let mut body = Vec::new();
    while let Some(piece) = answer.next(attempt.until, &mut || true).ok()? {
        body.extend_from_slice(&piece);
        if body.len() > STATUS_MAX {
            return None;
        }
    }
    let head: usize = answer.head.headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    shared.metrics.control_received(Purpose::Probe, ANSWER_LINES + head + body.len());
    shared.backends.finish(answer);
    serde_json::from_slice(&body).ok()
}
