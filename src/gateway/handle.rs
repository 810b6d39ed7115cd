//! The handle of a running instance.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context as _;

use super::{
    Gateway, exchange, held_table, instance_table, intent_reader,
    listeners::{serve_callers, serve_metrics, serve_peers, serve_readiness},
    roster_reader,
    settings::GatewaySettings,
    startup,
};
use crate::{
    clock::Clock,
    link::{dialer::Dialer, idle::IdleMonitor, listener::Listener},
};

/// A running instance, with its listeners. It stops when the handle is dropped; requests in flight finish.
pub struct GatewayHandle {
    gateway: Arc<Gateway>,
    callers: Listener,
    peers: Listener,
    readiness: Listener,
    metrics: Option<Listener>,
}

impl GatewayHandle {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// A listener or a thread cannot be started, or a pipe cannot be created.
    pub fn spawn(settings: GatewaySettings, clock: &Clock) -> anyhow::Result<GatewayHandle> {
        GatewayHandle::spawn_with_dialer(settings, clock, Dialer::system())
    }

    /// Starts an instance that connects to backend servers with `dialer`.
    ///
    /// # Errors
    ///
    /// A listener or a thread cannot be started, or a pipe cannot be created.
    pub fn spawn_with_dialer(
        settings: GatewaySettings,
        clock: &Clock,
        dialer: Dialer,
    ) -> anyhow::Result<GatewayHandle> {
        let gateway = Arc::new(Gateway::open(settings, clock, dialer)?);
        let closing = gateway.drain.idle_close_signal().context("cannot create a pipe")?;
        let idle = IdleMonitor::spawn(clock.clone(), closing)
            .context("cannot start the watch over idle connections")?;
        let readiness = serve_readiness(&gateway, &idle)?;
        let metrics = serve_metrics(&gateway, &idle);
        let peers = serve_peers(&gateway, &idle)?;
        gateway.peers.advertise(peers.address());
        gateway.start_stream_versions(peers.address(), idle.clone());
        gateway.spawn_thread("start", startup::run)?;
        gateway.spawn_required_thread("intent", intent_reader::run)?;
        gateway.spawn_required_thread("roster", roster_reader::run)?;
        gateway.spawn_required_thread("peers", exchange::run)?;
        gateway.spawn_thread("table", instance_table::run)?;
        gateway.spawn_thread("held", held_table::run)?;
        gateway.slot_leases.attach(&gateway);
        gateway.path_probes.attach(&gateway);
        gateway.gap_check.attach(&gateway);
        gateway.crash_checks.attach(&gateway);
        let callers = serve_callers(&gateway, &idle)?;
        log::warn!(
            "event=started node={} zone={} callers={} first_start={}",
            gateway.settings.node,
            gateway.settings.zone,
            callers.address(),
            gateway.settings.first_start
        );
        Ok(GatewayHandle { gateway, callers, peers, readiness, metrics })
    }

    /// Returns the state that the instance's threads share.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for other instances.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address for readiness checks.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Returns the address for metrics, if they are served.
    pub fn metrics(&self) -> Option<SocketAddr> {
        self.metrics.as_ref().map(Listener::address)
    }

    /// Drains the instance: it is not ready from now on, and requests in flight finish. Returns whether all did.
    ///
    /// The listeners stay open until the process ends: for a late caller, a connection that is accepted and closed is
    /// better than a refused one.
    pub fn drain(&self) -> bool {
        let grace = self.gateway.settings.bounds.grace;
        self.gateway.drain.start(self.gateway.clock.now(), grace);
        self.gateway.slot_leases.drain_started();
        log::warn!("event=draining under_way={}", self.gateway.drain.in_flight());
        let clean = self.gateway.drain.finish(&self.gateway.clock);
        log::warn!("event=stopped every_request_finished={clean}");
        clean
    }
}

impl Drop for GatewayHandle {
    fn drop(&mut self) {
        self.gateway.stop();
    }
}
