//! One running instance: entry for callers, home of some shards, peer of the others.

pub mod answer_parts;
pub mod apply;
pub mod caller_watch;
pub mod claims;
pub mod config;
pub mod contexts;
pub mod desk;
pub mod engines;
pub mod entry;
pub mod explain;
pub mod forward;
pub mod gossip;
pub mod home_links;
pub mod home_table;
pub mod homes;
pub mod objects;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod place;
pub mod probes;
pub mod request;
pub mod shared;
pub mod snapshot;
pub mod status;
pub mod tokens;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, Weak, atomic::AtomicU64, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use anyhow::Context as _;
use arc_swap::ArcSwapOption;

use crate::{
    configs::settings::{Platform as PlatformSettings, Settings},
    context::Context,
    contract::{membership::Membership, revision::InForce},
    instance::{
        claims::Claims,
        config::Waker,
        desk::{Desk, DeskLinks},
        home_links::HomeLinks,
        home_table::HomeTable,
        homes::HomeShards,
        objects::ObjectCache,
        orders::Orders,
        shared::{DrainState, Shared, Usage},
    },
    link::{
        backend::BackendLinks,
        caller::Listener,
        peer::{self, PeerLinks, PeerService},
        traffic::{Purpose, Traffic},
    },
    metrics::Metrics,
    platform::{Platform, embedded::Embedded, http::HttpPlatform},
    utils::sync::lock,
    zone::homes::Candidate,
};

/// Connections of other instances served at once.
const PEER_CONNECTIONS: usize = 4000;

/// Period of the work of homes and desks.
const TICK: Duration = Duration::from_millis(50);

/// Period of the telling of homes' memory to its replicas.
const MEMORY_PERIOD: Duration = Duration::from_millis(500);

/// Pause between two looks at leases and rollouts.
const ORDERS_PERIOD: Duration = Duration::from_millis(200);

/// Pause between two rounds of moving contexts of leaving engines.
const MOVE_PERIOD: Duration = Duration::from_millis(250);

/// Pause between two looks for engines that are due for a probe.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Ticks between two rounds of slower work: loads, claims, metrics.
const SLOW_TICKS: u64 = 5;

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
    /// An address cannot be listened on, or a thread cannot be started.
    pub fn spawn(settings: Settings, context: &Context) -> anyhow::Result<Instance> {
        let metrics = Metrics::new()?;
        let platform = open_platform(&settings, &metrics.traffic());
        let waker = Arc::new(Waker::default());
        let shared = build_shared(settings, context, metrics, platform, &waker);
        let limits = &shared.settings.limits;
        let listen = &shared.settings.listen;
        let peers = serve_peers(&shared)?;
        let advertised = shared.settings.listen.advertised.unwrap_or(peers.address());
        // Set once, here.
        let _ = shared.advertised.set(advertised);
        let callers = serve_callers(&shared, limits.connections as usize)?;
        let operator_shared = Arc::clone(&shared);
        let server = rouille::Server::new(listen.operators, move |request| {
            operators::answer(&operator_shared, request)
        })
        .map_err(|e| anyhow::anyhow!("{e}"))
        .with_context(|| format!("cannot listen for operators on {}", listen.operators))?
        .pool_size(operators::THREADS);
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
        instance.start_background(&waker)?;
        log::info!(
            "instance {} callers={} peers={} operators={}",
            instance.shared.settings.id,
            instance.callers.address(),
            instance.peers.address(),
            instance.operators
        );
        Ok(instance)
    }

    fn start_background(&mut self, waker: &Arc<Waker>) -> anyhow::Result<()> {
        let waker = Arc::clone(waker);
        self.background("config", move |shared| config_loop(shared, &waker))?;
        let members = self.shared.settings.timeouts.members_poll.0;
        self.background("members", move |shared| {
            gossip::poll_members(shared);
            jittered(members)
        })?;
        let heartbeat = self.shared.settings.timeouts.heartbeat.0;
        self.background("heartbeat", move |shared| {
            gossip::beat(shared);
            jittered(heartbeat)
        })?;
        self.background("memory", |shared| {
            gossip::tell_memories(shared);
            MEMORY_PERIOD
        })?;
        self.background("orders", |shared| {
            shared.orders.step(shared);
            ORDERS_PERIOD
        })?;
        self.background("contexts", |shared| {
            contexts::move_next(shared);
            MOVE_PERIOD
        })?;
        self.background("probes", |shared| {
            probes::probe_due(shared);
            PROBE_PERIOD
        })?;
        let mut ticks = 0_u64;
        self.background("tick", move |shared| {
            ticks += 1;
            tick(shared, ticks);
            TICK
        })
    }

    /// Runs `step` in a thread of its own, with the pause that it returns, until the instance ends.
    fn background(
        &mut self,
        name: &str,
        mut step: impl FnMut(&Arc<Shared>) -> Duration + Send + 'static,
    ) -> anyhow::Result<()> {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            while !shared.drain.is_stopped() {
                let pause = step(&shared);
                thread::sleep(pause);
            }
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Returns the callers' address.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the peers' address.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the operators' address.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns what the instance's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Starts a drain: not ready at once, no request in flight is cut.
    pub fn drain(&self) {
        self.shared.drain.start(self.shared.clock.now());
    }

    /// Returns whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.shared.drain.is_draining()
    }

    /// Waits for a drain to end and stops the instance.
    ///
    /// New connections are answered for the grace time; then the listener closes and requests in
    /// flight finish, for at most the drain time or until `hurry` says so. Returns whether all
    /// requests finished.
    pub fn finish(mut self, hurry: impl Fn() -> bool) -> bool {
        let timeouts = &self.shared.settings.timeouts;
        gossip::beat_to_all(&self.shared);
        let grace_over = || {
            let age = self.shared.drain.age(self.shared.clock.now());
            age.is_none_or(|age| age >= timeouts.drain_grace.0)
        };
        while !grace_over() && !hurry() {
            thread::sleep(TICK);
        }
        self.callers.stop();
        let over = || {
            let age = self.shared.drain.age(self.shared.clock.now());
            age.is_none_or(|age| age >= timeouts.drain.0)
        };
        while self.callers.open() > 0 && !over() && !hurry() {
            thread::sleep(TICK);
        }
        let clean = self.callers.open() == 0;
        while self.shared.claims.deferred() > 0 && !over() && !hurry() {
            thread::sleep(TICK);
        }
        self.stop_all();
        clean
    }

    fn stop_all(&mut self) {
        self.shared.drain.stop();
        self.peers.stop();
        // The operators' server ends with its channel either way.
        let _ = self.operators_stop.send(());
        if let Some(thread) = self.operators_thread.take() {
            let _ = thread.join();
        }
    }
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * fastrand::f64())
}

fn open_platform(settings: &Settings, traffic: &Traffic) -> Platform {
    match settings.platform {
        PlatformSettings::Embedded => Embedded::new().platform(),
        PlatformSettings::Http { table, objects, members } => {
            let timeout = settings.timeouts.platform.0;
            let credential = settings.credentials.platform.clone();
            let traffic = traffic.clone();
            HttpPlatform { table, objects, members, timeout, credential }.connect(
                move |sent, received| {
                    traffic.sent(Purpose::Platform, sent);
                    traffic.received(Purpose::Platform, received);
                },
            )
        }
    }
}

fn build_shared(
    settings: Settings,
    context: &Context,
    metrics: Metrics,
    platform: Platform,
    waker: &Arc<Waker>,
) -> Arc<Shared> {
    let clock = context.clock.clone();
    let traffic = metrics.traffic();
    let tag = settings.id.tag();
    let incarnation = u32::try_from(clock.wall_millis() / 1000).unwrap_or(u32::MAX);
    let credential = settings.credentials.peers[0].clone();
    let peers =
        PeerLinks::new(clock.clone(), Some(credential), settings.timeouts.peer.0, traffic.clone());
    let own = Candidate { id: settings.id.clone(), tag, zone: settings.zone.clone() };
    let waker = Arc::clone(waker);
    // The desk and the homes speak to each other through the instance, which holds both.
    let this: Arc<OnceLock<Weak<Shared>>> = Arc::default();
    let reply_time = settings.timeouts.peer.0;
    let desk = Desk::new(tag, incarnation, reply_time, clock.clone(), desk_links(&this));
    let late = Arc::clone(&this);
    let remembered = settings.limits.remembered_chats as usize;
    let homes = HomeShards::new(clock.clone(), remembered, move |id, reply| {
        let Some(shared) = upgrade(&late) else { return };
        if id.entry == tag {
            shared.desk.take_own(id, reply);
        } else {
            shared.home_links.reply(&shared, id, reply);
        }
    });
    let shared = Arc::new(Shared {
        tag,
        incarnation,
        backends: BackendLinks::new(clock.clone(), settings.timeouts.connect.0),
        claims: Claims::new(platform.table.clone(), clock.clone()),
        settings,
        clock,
        metrics,
        traffic,
        platform,
        peers,
        snapshot: ArcSwapOption::empty(),
        in_force: Mutex::new(InForce::default()),
        objects: ObjectCache::default(),
        home_table: Mutex::new(HomeTable::default()),
        membership: Mutex::new(Membership::new(own)),
        desk,
        homes,
        home_links: HomeLinks::default(),
        orders: Orders::default(),
        installed: Mutex::new(None),
        budgets: Mutex::new(HashMap::new()),
        baselines: Mutex::new(HashMap::new()),
        advertised: OnceLock::new(),
        drain: DrainState::default(),
        usage: Usage::default(),
        request_counter: AtomicU64::new(1),
        wake_sync: Arc::new(move || waker.wake()),
    });
    // Set once, here.
    let _ = this.set(Arc::downgrade(&shared));
    shared
}

fn upgrade(this: &OnceLock<Weak<Shared>>) -> Option<Arc<Shared>> {
    this.get()?.upgrade()
}

fn desk_links(this: &Arc<OnceLock<Weak<Shared>>>) -> DeskLinks {
    let (sends, cuts) = (Arc::clone(this), Arc::clone(this));
    DeskLinks {
        send: Box::new(move |home, batches| {
            let Some(shared) = upgrade(&sends) else { return false };
            if home != shared.tag {
                return shared.home_links.send(&shared, home, batches);
            }
            let answer = home_links::take_batches(&shared, &shared.hello(), batches);
            shared.desk.take(home, answer);
            true
        }),
        cut: Box::new(move |home| {
            if let Some(shared) = upgrade(&cuts) {
                shared.home_links.cut(home);
            }
        }),
    }
}

fn serve_peers(shared: &Arc<Shared>) -> anyhow::Result<Listener> {
    let listen = shared.settings.listen.peers;
    let serving = Arc::clone(shared);
    let serve = move |conn| {
        let shared = &serving;
        let service = PeerService {
            accepted: Some(&shared.settings.credentials.peers),
            timeout: shared.settings.timeouts.peer.0,
            traffic: &shared.traffic,
            answer: |path: &str, body: &[u8]| peers::answer(shared, path, body),
            stream: |sender, receiver| shared.home_links.serve(shared, sender, receiver),
            purpose: peers::purpose,
        };
        peer::serve(conn, &service);
    };
    Listener::bind(listen, shared.clock.clone(), PEER_CONNECTIONS, serve, drop)
        .with_context(|| format!("cannot listen for other instances on {listen}"))
}

fn serve_callers(shared: &Arc<Shared>, most: usize) -> anyhow::Result<Listener> {
    let listen = shared.settings.listen.callers;
    let (serving, refusing) = (Arc::clone(shared), Arc::clone(shared));
    let serve = move |conn| entry::serve(&serving, conn);
    let refuse = move |conn| entry::refuse_connection(&refusing, conn);
    Listener::bind(listen, shared.clock.clone(), most, serve, refuse)
        .with_context(|| format!("cannot listen for callers on {listen}"))
}

fn config_loop(shared: &Arc<Shared>, waker: &Waker) -> Duration {
    if let Err(fault) = config::sync(shared) {
        log::debug!("configuration: {fault}");
    }
    let ready = shared.snapshot.load().is_some();
    let pause = if ready { jittered(shared.settings.timeouts.revision_poll.0) } else { TICK };
    if waker.wait(pause)
        && let Err(fault) = config::sync_from_peers(shared)
    {
        log::debug!("configuration from peers: {fault}");
    }
    Duration::ZERO
}

fn tick(shared: &Arc<Shared>, ticks: u64) {
    if shared.drain.is_draining() {
        // From now on the next in line is the home of every shard held here.
        lock(&shared.membership).leave();
    }
    shared.desk.flush(|id| shared.home_of_id(id));
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    shared.homes.tick(&snapshot, |shard| shared.home_of(shard) == shared.tag);
    if !ticks.is_multiple_of(SLOW_TICKS) {
        return;
    }
    shared.homes.take_on(&snapshot, |shard| shared.home_of(shard) == shared.tag);
    shared.claims.tick();
    gossip::tell_homes_who_leaves(shared);
    gossip::tell_loads(shared);
    show_homes(shared);
}

fn show_homes(shared: &Shared) {
    let mut status = status::own(shared);
    status.shards.retain(|shard| shard.is_home);
    shared.metrics.homes(status.shards.len());
    for shard in &status.shards {
        if let Ok(service) = shard.service.parse() {
            shared.metrics.shard(&service, shard.bound, shard.queued);
        }
        for engine in &shard.engines {
            if let Ok(id) = engine.id.parse() {
                shared.metrics.engine_load(&id, engine.permits);
            }
        }
    }
}
