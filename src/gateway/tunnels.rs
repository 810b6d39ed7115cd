//! Tunnels to backend servers: opened through another instance to servers that this one does not reach, and served to
//! other instances.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use super::{Gateway, server_path::ServerPath};
use crate::{
    contract::outcome::AttemptFault,
    link::{
        http1::Conn,
        tunnel::{self, TunnelStatus},
    },
    names::NodeName,
    routing::{BackendServer, Incarnation, InstanceInfo, Picker, TunnelPeers, TunnelReply},
    utils::sync::lock,
};

/// Number of instances that one attempt asks: if half of them are partitioned, one of eight helps in 255 of 256 cases.
const PEERS_ASKED_MAX: usize = 8;

/// Time after which an attempt asks no further instance.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of instances after whose failure to connect a server counts as down: a single one may have been partitioned a
/// moment ago.
const WITNESSES_MIN: usize = 2;

/// Maximum time for an instance to reply: it connects to the server meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged between two instances.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a tunnel that carries nothing is closed: longer than servers are silent within a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Share of the connections of other instances that may be tunnels. The rest is for reports and slot leases.
const TUNNEL_SHARE: f64 = 0.5;

/// Tunnels of an instance.
#[derive(Debug, Default)]
pub struct Tunnels {
    peers: Mutex<TunnelPeers>,
    /// Number of tunnels that are served to other instances.
    served: AtomicUsize,
}

/// Counts a tunnel that is served until dropped.
struct ServedTunnel<'t>(&'t Tunnels);

impl Drop for ServedTunnel<'_> {
    fn drop(&mut self) {
        self.0.served.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Tunnels {
    /// Returns the number of tunnels that are served to other instances.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }

    /// Counts a tunnel, unless there are `max`.
    fn enter(&self, max: usize) -> Option<ServedTunnel<'_>> {
        let is_free = self.served.fetch_add(1, Ordering::SeqCst) < max;
        let tunnel = ServedTunnel(self);
        is_free.then_some(tunnel)
    }
}

impl Gateway {
    /// Connects to `server` through another instance, which `spread`, a hash of the request, selects.
    ///
    /// # Errors
    ///
    /// `Connect` if other instances could not connect to the server either, `NoPath` if none opens a tunnel.
    pub(super) fn open_tunnel(
        &self,
        server: &BackendServer,
        spread: u64,
        deadline: Instant,
    ) -> Result<(Conn, ServerPath), AttemptFault> {
        let mut witnesses = 0;
        let ask_until = self.clock.now() + ASK_TIMEOUT;
        for _ in 0..PEERS_ASKED_MAX {
            let Some(peer) = self.choose_tunnel_peer(server, spread) else { break };
            match self.ask_for_tunnel(&peer, server, deadline) {
                (TunnelReply::Opened, Some(conn)) => {
                    self.note_seen(server, true);
                    return Ok((conn, ServerPath::Through(peer.node)));
                }
                (TunnelReply::ServerUnreachable, _) => witnesses += 1,
                // Further instances may not know it yet.
                (TunnelReply::Forbidden, _) => return Err(AttemptFault::NoPath),
                _ => {}
            }
            if witnesses >= WITNESSES_MIN || self.clock.now() >= ask_until {
                break;
            }
        }
        if witnesses == 0 {
            return Err(AttemptFault::NoPath);
        }
        self.note_seen(server, false);
        Err(AttemptFault::Connect)
    }

    fn choose_tunnel_peer(&self, server: &BackendServer, spread: u64) -> Option<InstanceInfo> {
        let candidates = lock(&self.peers.candidates);
        lock(&self.tunnels.peers).choose(self.clock.now(), &candidates, server, spread)
    }

    /// Asks an instance for a tunnel; returns its reply, and the connection if it has opened one.
    fn ask_for_tunnel(
        &self,
        peer: &InstanceInfo,
        server: &BackendServer,
        deadline: Instant,
    ) -> (TunnelReply, Option<Conn>) {
        let had_time = deadline >= self.clock.now() + REPLY_TIMEOUT;
        let asked = self.request_tunnel(peer.address, server, deadline);
        let (reply, label) = match &asked {
            Some((TunnelStatus::Open, _)) => (TunnelReply::Opened, "opened"),
            Some((TunnelStatus::ServerUnreachable, _)) => {
                (TunnelReply::ServerUnreachable, "server-unreachable")
            }
            Some((TunnelStatus::NoPath, _)) => (TunnelReply::NoPath, "no-path"),
            Some((TunnelStatus::Declined, _)) => (TunnelReply::Declined, "declined"),
            Some((TunnelStatus::ServerLeaving, _)) => (TunnelReply::Forbidden, "server-leaving"),
            Some((TunnelStatus::ServerPaused(_), _)) => (TunnelReply::Forbidden, "server-paused"),
            None => (TunnelReply::Silent, "silent"),
        };
        // An instance that had too little time to reply is not silent.
        if reply != TunnelReply::Silent || had_time {
            let now = self.clock.now();
            lock(&self.tunnels.peers).note_reply(now, &peer.node, server, reply);
        }
        if let Some((status, _)) = &asked {
            self.take_relayed_notice(&peer.node, server, *status);
        }
        self.metrics.tunnel(&server.service, label);
        log::debug!("event=tunnel peer={} server={} result={label}", peer.node, server.id);
        (reply, asked.map(|(_, conn)| conn))
    }

    /// Applies the notice of a server that another instance has passed on instead of opening a tunnel.
    fn take_relayed_notice(&self, peer: &NodeName, server: &BackendServer, status: TunnelStatus) {
        let (now, id) = (self.clock.now(), &server.id);
        let mut picker = lock(&self.picker);
        let is_new = match status {
            TunnelStatus::ServerLeaving => picker.note_leaving(now, id),
            TunnelStatus::ServerPaused(time) => picker.note_backoff(now, id, time),
            _ => false,
        };
        drop(picker);
        if is_new {
            log::info!("event=notice_relayed server={id} peer={peer}");
        }
    }

    fn request_tunnel(
        &self,
        peer: SocketAddr,
        server: &BackendServer,
        deadline: Instant,
    ) -> Option<(TunnelStatus, Conn)> {
        let now = self.clock.now();
        let until = deadline.min(now + REPLY_TIMEOUT);
        let mut conn =
            Conn::connect(peer, until.saturating_duration_since(now), &self.clock).ok()?;
        conn.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT).ok()?;
        let status = tunnel::request(&mut conn, server.address, &server.id, until).ok()?;
        Some((status, conn))
    }

    /// Records whether another instance could connect to a server.
    fn note_seen(&self, server: &BackendServer, is_up: bool) {
        if lock(&self.picker).note_seen(&server.id, is_up) {
            log::info!("event=server_seen server={} up={is_up}", server.id);
        }
    }

    /// Opens a connection to the server with this address for another instance, which means the server `id` if it says
    /// so.
    fn open_for_another(&self, address: &str, id: Option<&str>) -> Result<Conn, TunnelStatus> {
        let server = self.listed_at(address).ok_or(TunnelStatus::NoPath)?;
        if id.is_some_and(|id| server.id.to_string() != id) {
            return Err(TunnelStatus::NoPath);
        }
        let fault = |picker: &Picker| {
            if picker.reach_counts(&server.service).is_partitioned() {
                TunnelStatus::Declined
            } else if picker.is_poor_witness(&server.service) {
                TunnelStatus::NoPath
            } else {
                TunnelStatus::ServerUnreachable
            }
        };
        {
            let picker = lock(&self.picker);
            if let Some(status) = forbidding_status(&picker, self.clock.now(), &server.id) {
                return Err(status);
            }
            if picker.is_unreached(&server.id) {
                return Err(fault(&picker));
            }
        }
        let deadline = self.clock.now() + REPLY_TIMEOUT;
        self.connect_directly(&server, deadline).map_err(|_| fault(&lock(&self.picker)))
    }

    fn listed_at(&self, address: &str) -> Option<Arc<BackendServer>> {
        let address: SocketAddr = address.parse().ok()?;
        self.cluster_state.with_servers(|roster| {
            roster.servers().find(|server| server.address == address).cloned()
        })
    }

    fn max_served_tunnels(&self) -> usize {
        (self.settings.peer_connections as f64 * TUNNEL_SHARE) as usize
    }
}

/// Returns the reply for a server that accepts no requests now, as far as this instance knows.
fn forbidding_status(picker: &Picker, now: Instant, id: &Incarnation) -> Option<TunnelStatus> {
    let notice = picker.notice(id);
    if notice.is_leaving() {
        return Some(TunnelStatus::ServerLeaving);
    }
    notice.backoff_left(now).map(TunnelStatus::ServerPaused)
}

/// Serves a tunnel to the server `id` with this address for another instance, until it is closed.
pub(super) fn serve(gateway: &Gateway, mut origin: Conn, address: &str, id: Option<&str>) {
    // The drain waits for the requests in tunnels as for those of callers.
    let in_flight = gateway.drain.enter();
    let tunnel = gateway.tunnels.enter(gateway.max_served_tunnels());
    let may_open = in_flight.is_some() && tunnel.is_some() && !gateway.drain.is_draining();
    let opened =
        if may_open { gateway.open_for_another(address, id) } else { Err(TunnelStatus::Declined) };
    let status = opened.as_ref().err().copied().unwrap_or(TunnelStatus::Open);
    let replied = tunnel::reply(&mut origin, status, REPLY_TIMEOUT).is_ok();
    let is_watched = origin.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT).is_ok();
    if let Ok(server) = opened
        && replied
        && is_watched
    {
        tunnel::copy(origin, server, IDLE_TIMEOUT);
    }
}
