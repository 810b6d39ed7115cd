//! One running instance: entry for callers, home of some shards, peer of the other instances.

mod background;
mod build;
pub mod cluster_state;
pub mod homes;
pub mod operators;
pub mod requests;
pub mod shared;

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
};

use anyhow::Context as _;

use self::{
    cluster_state::{config::Waker, gossip, peer_server},
    homes::streams,
    operators::api,
    requests::entry,
    shared::Shared,
};
use crate::{
    configs::settings::Settings,
    context::Context,
    link::{
        listener::Listener,
        peer::{self, PeerService},
    },
    metrics::Metrics,
};

/// Most concurrent connections of other instances.
const MAX_PEER_CONNECTIONS: usize = 4000;

/// A running instance.
pub struct Instance {
    shared: Arc<Shared>,
    callers: Listener,
    peers: Listener,
    operators: SocketAddr,
    operators_stop: mpsc::Sender<()>,
    operators_thread: Option<JoinHandle<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Starts an instance and returns its running handle.
    ///
    /// # Errors
    ///
    /// It cannot listen on an address, or cannot start a thread.
    pub fn spawn(settings: Settings, context: &Context) -> anyhow::Result<Instance> {
        let metrics = Metrics::new()?;
        let platform = build::open_platform(&settings, &metrics.traffic());
        let waker = Arc::new(Waker::default());
        let shared = build::build_shared(settings, context, metrics, platform, &waker);
        let limits = &shared.settings.limits;
        let listen = &shared.settings.listen;
        let peers = serve_peers(&shared)?;
        let advertised = shared.settings.listen.advertised.unwrap_or(peers.address());
        // Set once, here.
        let _ = shared.advertised.set(advertised);
        let callers = serve_callers(&shared, limits.connections as usize)?;
        let operator_shared = Arc::clone(&shared);
        let server = rouille::Server::new(listen.operators, move |request| {
            api::respond(&operator_shared, request)
        })
        .map_err(|e| anyhow::anyhow!("{e}"))
        .with_context(|| format!("cannot listen for operators on {}", listen.operators))?
        .pool_size(api::THREADS);
        let operators = server.server_addr();
        let (operators_thread, operators_stop) = server.stoppable();
        let mut instance = Instance {
            shared,
            callers,
            peers,
            operators,
            operators_stop,
            operators_thread: Some(operators_thread),
            threads: Vec::new(),
        };
        instance.threads = background::start(&instance.shared, &waker)?;
        log::info!(
            "instance {} callers={} peers={} operators={}",
            instance.shared.settings.id,
            instance.callers.address(),
            instance.peers.address(),
            instance.operators
        );
        Ok(instance)
    }

    /// Returns the address that it serves callers on.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address that it serves other instances on.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address that it serves operators on.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the state that the parts of the instance share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Starts a drain: the instance is not ready from now on, and requests in flight continue.
    pub fn drain(&self) {
        self.shared.drain.start(self.shared.clock.now());
    }

    /// Returns whether a drain has started.
    pub fn is_draining(&self) -> bool {
        self.shared.drain.is_draining()
    }

    /// Waits for the drain to finish and stops the instance.
    ///
    /// New connections are accepted for the grace period. Then the listener closes, and requests in flight may
    /// finish until the drain time is over or `abort` returns true. Returns whether all requests finished.
    pub fn finish(mut self, abort: impl Fn() -> bool) -> bool {
        let timeouts = &self.shared.settings.timeouts;
        gossip::send_heartbeat_to_all(&self.shared);
        let grace_over = || {
            let age = self.shared.drain.age(self.shared.clock.now());
            age.is_none_or(|age| age >= timeouts.drain_grace.0)
        };
        while !grace_over() && !abort() {
            thread::sleep(background::TICK);
        }
        self.callers.stop();
        let over = || {
            let age = self.shared.drain.age(self.shared.clock.now());
            age.is_none_or(|age| age >= timeouts.drain.0)
        };
        while self.callers.open_connections() > 0 && !over() && !abort() {
            thread::sleep(background::TICK);
        }
        let clean = self.callers.open_connections() == 0;
        while self.shared.claims.deferred() > 0 && !over() && !abort() {
            thread::sleep(background::TICK);
        }
        self.stop_all();
        clean
    }

    fn stop_all(&mut self) {
        self.shared.drain.stop();
        self.peers.stop();
        // The operators' server also stops when the channel closes, so a failed send does not matter.
        let _ = self.operators_stop.send(());
        if let Some(thread) = self.operators_thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve_peers(shared: &Arc<Shared>) -> anyhow::Result<Listener> {
    let listen = shared.settings.listen.peers;
    let serving = Arc::clone(shared);
    let serve = move |conn| {
        let shared = &serving;
        let service = PeerService {
            credentials: Some(&shared.settings.credentials.peers),
            timeout: shared.settings.timeouts.peer.0,
            traffic: &shared.traffic,
            handle_call: |path: &str, body: &[u8]| peer_server::handle_call(shared, path, body),
            handle_stream: |sender, receiver| streams::serve(shared, sender, receiver),
            handle_tunnel: None,
            purpose: peer_server::purpose,
        };
        peer::serve(conn, &service);
    };
    Listener::bind(listen, shared.clock.clone(), MAX_PEER_CONNECTIONS, serve, drop)
        .with_context(|| format!("cannot listen for other instances on {listen}"))
}

fn serve_callers(shared: &Arc<Shared>, max_connections: usize) -> anyhow::Result<Listener> {
    let listen = shared.settings.listen.callers;
    let (serving, rejecting) = (Arc::clone(shared), Arc::clone(shared));
    let serve = move |conn| entry::serve(&serving, conn);
    let reject = move |conn| entry::reject_connection(&rejecting, conn);
    Listener::bind(listen, shared.clock.clone(), max_connections, serve, reject)
        .with_context(|| format!("cannot listen for callers on {listen}"))
}
