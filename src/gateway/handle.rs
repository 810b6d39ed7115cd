//! The running handle of an instance.

use std::{net::SocketAddr, sync::Arc, thread};

use anyhow::Context as _;

use super::{
    Gateway, held_table, instance_table, intent_reader,
    listeners::{serve_callers, serve_metrics, serve_peers, serve_readiness},
    peers, roster_reader,
    settings::GatewaySettings,
    start,
};
use crate::{
    clock::Clock,
    link::{caller::Listener, idle::IdleConns},
};

/// A running instance.
pub struct GatewayHandle {
    gateway: Arc<Gateway>,
    callers: Listener,
    peers: Listener,
    readiness: Listener,
    metrics: Option<Listener>,
}

impl GatewayHandle {
    /// Starts an instance and returns its running handle.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on, or a thread cannot be started.
    pub fn spawn(settings: GatewaySettings, clock: &Clock) -> anyhow::Result<GatewayHandle> {
        let gateway = Arc::new(Gateway::open(settings, clock)?);
        let closing = gateway.drain.idle_close_signal().context("cannot make a pipe")?;
        let idle = IdleConns::spawn(clock.clone(), closing).context("cannot watch connections")?;
        let readiness = serve_readiness(&gateway, &idle)?;
        let metrics = serve_metrics(&gateway, &idle);
        let peers = serve_peers(&gateway, &idle)?;
        gateway.peers.advertise(peers.address());
        background(&gateway, "start", start::run)?;
        background(&gateway, "intent", intent_reader::run)?;
        background(&gateway, "roster", roster_reader::run)?;
        background(&gateway, "peers", peers::run)?;
        background(&gateway, "table", instance_table::run)?;
        background(&gateway, "held", held_table::run)?;
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

    /// Returns what the instance's parts share.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Returns the callers' address.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for other instances.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address of readiness checks.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Returns the address of the metrics, if they are served.
    pub fn metrics(&self) -> Option<SocketAddr> {
        self.metrics.as_ref().map(Listener::address)
    }

    /// Leaves: not ready at once, no request cut; returns whether every request finished.
    ///
    /// The listeners stay until the process ends: a caller that comes at the last moment is better
    /// off with a closed connection than with none.
    pub fn drain(&self) -> bool {
        let grace = self.gateway.settings.bounds.grace;
        self.gateway.drain.start(self.gateway.clock.now(), grace);
        log::warn!("event=draining under_way={}", self.gateway.drain.in_flight());
        let clean = self.gateway.drain.finish(&self.gateway.clock);
        log::warn!("event=stopped every_request_finished={clean}");
        clean
    }
}

fn background(
    gateway: &Arc<Gateway>,
    name: &str,
    run: impl Fn(&Arc<Gateway>) + Send + 'static,
) -> anyhow::Result<()> {
    let gateway = Arc::clone(gateway);
    thread::Builder::new().name(name.to_owned()).spawn(move || run(&gateway))?;
    Ok(())
}
