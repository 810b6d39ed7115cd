//! The listeners of an instance: for callers, other instances, readiness checks and metrics.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use http::StatusCode;

use super::{Gateway, connection, peer_server};
use crate::link::{
    http1::Conn,
    idle::IdleMonitor,
    listener::{ConnOutcome, IdlePolicy, Listener},
    peer,
    text_server::{self, TextResponse},
};

/// Maximum number of concurrent connections for readiness checks, and for metrics: those of the platform and of an
/// operator, with headroom for connections that they leave open.
const STATUS_CONNECTIONS_MAX: usize = 32;

/// Idle timeout of such a connection: twice the interval of checks each five seconds.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves readiness checks at any path.
pub(super) fn serve_readiness(
    gateway: &Arc<Gateway>,
    idle: &IdleMonitor,
) -> anyhow::Result<Listener> {
    let address = gateway.settings.addresses.readiness;
    let serving = Arc::clone(gateway);
    serve_status(gateway, idle, address, "readiness", move || {
        let ready = serving.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        TextResponse { status, text: String::new() }
    })
}

/// Serves the metrics at any path. If their address is in use, the instance runs without metrics.
pub(super) fn serve_metrics(gateway: &Arc<Gateway>, idle: &IdleMonitor) -> Option<Listener> {
    let serving = Arc::clone(gateway);
    let address = gateway.settings.addresses.metrics;
    let served = serve_status(gateway, idle, address, "metrics", move || {
        serving.update_gauges();
        TextResponse { status: StatusCode::OK, text: serving.metrics.text() }
    });
    served.inspect_err(|fault| log::error!("event=no_metrics reason=\"{fault:#}\"")).ok()
}

fn serve_status(
    gateway: &Gateway,
    idle: &IdleMonitor,
    address: SocketAddr,
    what: &str,
    respond: impl Fn() -> TextResponse + Send + Sync + 'static,
) -> anyhow::Result<Listener> {
    let rules = idle_rules(idle, |since| since + STATUS_IDLE_TIMEOUT, false);
    let serve = move |conn: Conn| text_server::serve(conn, &respond);
    Listener::bind_with_idle(address, gateway.clock.clone(), STATUS_CONNECTIONS_MAX, rules, serve)
        .with_context(|| format!("cannot listen for {what} on {address}"))
}

/// Serves other instances.
pub(super) fn serve_peers(gateway: &Arc<Gateway>, idle: &IdleMonitor) -> anyhow::Result<Listener> {
    let listen = gateway.settings.addresses.peers;
    let rules = idle_rules(idle, |since| since + peer::IDLE_TIMEOUT, false);
    let serving = Arc::clone(gateway);
    let serve = move |conn: Conn| peer_server::serve(&serving, conn);
    let max_connections = gateway.settings.peer_connections;
    Listener::bind_with_idle(listen, gateway.clock.clone(), max_connections, rules, serve)
        .with_context(|| format!("cannot listen for other instances on {listen}"))
}

/// Serves callers.
pub(super) fn serve_callers(
    gateway: &Arc<Gateway>,
    idle: &IdleMonitor,
) -> anyhow::Result<Listener> {
    let listen = gateway.settings.addresses.callers;
    let max_connections = gateway.settings.connections;
    let (waiting, serving) = (Arc::clone(gateway), Arc::clone(gateway));
    let rules = idle_rules(idle, move |since| connection::idle_deadline(&waiting, since), true);
    let serve = move |conn: Conn| -> ConnOutcome { connection::serve(&serving, conn) };
    Listener::bind_with_idle(listen, gateway.clock.clone(), max_connections, rules, serve)
        .with_context(|| format!("cannot listen for callers on {listen}"))
}

fn idle_rules(
    idle: &IdleMonitor,
    deadline: impl Fn(Instant) -> Instant + Send + Sync + 'static,
    is_caller_conn: bool,
) -> IdlePolicy {
    IdlePolicy { monitor: idle.clone(), deadline: Arc::new(deadline), is_caller_conn }
}
