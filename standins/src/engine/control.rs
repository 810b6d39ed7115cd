//! What routers ask of an engine beside callers' requests: status, events, cache, orders.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use cartvane::{contract::orders::EngineOrder, platform::http::agent, utils::sync::lock};
use serde::Deserialize;

use super::State;
use crate::{
    cache::Segment,
    server::{Received, Reply},
};

/// Longest wait for another engine's context.
const TAKE_OVER_TIME: Duration = Duration::from_secs(2);

pub(super) fn serve_control(state: &State, received: &Received, path: &str) -> Reply {
    match path {
        "/engine/status" => Reply::json(&state.status()),
        "/engine/events" => {
            let after: u64 = received.param("after").and_then(|n| n.parse().ok()).unwrap_or(0);
            let events = lock(&state.events);
            Reply::json(&events.iter().filter(|e| e.number > after).collect::<Vec<_>>())
        }
        "/engine/cache/export" if received.param("chat").is_some() => {
            let name = received.param("chat").unwrap_or_default();
            let context = lock(&state.chats).get(name).cloned().unwrap_or_default();
            // What has been evicted meanwhile cannot be handed over.
            let cached = lock(&state.cache).cached(&context);
            Reply::json(&if cached > 0 { context } else { Vec::new() })
        }
        "/engine/cache/export" => {
            let most = received.param("most").and_then(|n| n.parse().ok()).unwrap_or(u64::MAX);
            Reply::json(&lock(&state.cache).export(most))
        }
        "/engine/cache/import" if received.body.starts_with(b"{") => take_over(state, received),
        "/engine/cache/import" => match serde_json::from_slice::<Vec<Segment>>(&received.body) {
            Ok(imported) => {
                state.keep(&imported);
                Reply::json(&imported.len())
            }
            Err(e) => Reply::new(400, e.to_string()),
        },
        "/engine/orders" => match serde_json::from_slice::<EngineOrder>(&received.body) {
            Ok(order) => take_order(state, order),
            Err(e) => Reply::new(400, e.to_string()),
        },
        _ => Reply::new(404, "unknown"),
    }
}

/// Fetches the contexts of chats from another engine.
pub(super) fn take_over(state: &State, received: &Received) -> Reply {
    #[derive(Deserialize)]
    struct TakeOver {
        from: SocketAddr,
        chats: Vec<String>,
    }
    let Ok(TakeOver { from, chats }) = serde_json::from_slice(&received.body) else {
        return Reply::new(400, "not a list of chats");
    };
    let agent = agent(TAKE_OVER_TIME);
    for chat in chats {
        let url = format!("http://{from}/engine/cache/export?chat={chat}");
        let body = agent.get(url).call().ok().and_then(|mut r| r.body_mut().read_to_vec().ok());
        let Some(context) = body.and_then(|b| serde_json::from_slice::<Vec<Segment>>(&b).ok())
        else {
            return Reply::new(502, "the other engine does not hand over");
        };
        state.keep(&context);
        lock(&state.chats).insert(chat, context);
    }
    Reply::json(&true)
}

pub(super) fn take_order(state: &State, order: EngineOrder) -> Reply {
    let mut current = lock(&state.order);
    if state.cfg.checks_fencing && order.fencing < current.fencing {
        return Reply::new(
            409,
            format!("fencing number {} is older than {}", order.fencing, current.fencing),
        );
    }
    if current.state != order.state {
        *lock(&state.loading_until) = Some(Instant::now() + state.cfg.load_time);
    }
    *current = order;
    state.orders.fetch_add(1, Ordering::SeqCst);
    Reply::json(&*current)
}
