//! State that the parts of one instance share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use crate::{
    clock::Clock,
    configs::settings::Settings,
    contract::{membership::Membership, retry::RetryBudget, revision::ActiveRevision},
    instance::{
        cluster_state::{objects::ObjectCache, snapshot::Snapshot},
        homes::{
            order_state::Orders, permit_streams::PermitStreams, shards::HomeShards,
            table::HomeTable,
        },
        requests::{claims::Claims, permit_client::PermitClient},
    },
    link::{backend::BackendPool, peer::PeerClient, traffic::TrafficCounter, wire::Hello},
    metrics::Metrics,
    names::{ServiceId, Tag},
    platform::Platform,
    units::Revision,
    utils::{supervisor::RequiredThreads, sync::lock, usage::Usage},
    zone::{
        baseline::Baseline,
        homes::home_of,
        shard::{Shard, ShardId},
    },
};

/// State that the parts of one instance share.
pub struct Shared {
    /// Settings of the instance.
    pub settings: Settings,
    /// Tag of the instance's id.
    pub tag: Tag,
    /// Start of the process, in seconds since 1970.
    pub incarnation: u32,
    /// Source of the time.
    pub clock: Clock,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Counter of the bytes of control traffic, for the metrics.
    pub traffic: TrafficCounter,
    /// Table, object store and membership list of the platform.
    pub platform: Platform,
    /// Connections to other instances.
    pub peers: PeerClient,
    /// Connections to backend servers.
    pub backends: BackendPool,
    /// The active file, indexed for requests.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// The active revision and the newest one known.
    pub active_revision: Mutex<ActiveRevision>,
    /// Objects of the active file.
    pub objects: ObjectCache,
    /// Mapping of shards to home instances.
    pub home_table: Mutex<HomeTable>,
    /// Known instances and their state.
    pub membership: Mutex<Membership>,
    /// Permits that this instance requests and holds as an entry.
    pub permit_client: PermitClient,
    /// Homes held here.
    pub homes: HomeShards,
    /// Streams between entries and homes.
    pub permit_streams: PermitStreams,
    /// State of the orders to the engines of the shards held here.
    pub orders: Orders,
    /// When the active revision was installed.
    pub installed_at: Mutex<Option<Instant>>,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Retry budgets by service.
    pub budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    /// Baselines by service.
    pub baselines: Mutex<HashMap<ServiceId, Baseline>>,
    /// Address at which other instances reach this one; set once it listens.
    pub advertised: OnceLock<SocketAddr>,
    /// State of the drain.
    pub drain: DrainState,
    /// Panics of the threads without which the instance is not ready.
    pub required_threads: RequiredThreads,
    /// Usage of the limits.
    pub usage: Usage,
    /// Number of the next request.
    pub request_counter: AtomicU64,
    /// Wakes the configuration thread to poll now.
    pub wake_config: Arc<dyn Fn() + Send + Sync>,
}

/// State of the drain of an instance.
#[derive(Debug, Default)]
pub struct DrainState {
    draining: AtomicBool,
    since: Mutex<Option<Instant>>,
    stopped: AtomicBool,
}

impl DrainState {
    /// Starts the drain; has no effect if it has started.
    pub fn start(&self, now: Instant) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            *lock(&self.since) = Some(now);
        }
    }

    /// Returns whether the instance is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the time since the drain started.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        lock(&self.since).map(|since| now.saturating_duration_since(since))
    }

    /// Stops the instance's background work.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether the background work is to stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

impl Shared {
    /// Returns the active revision; zero if there is none.
    pub fn revision(&self) -> Revision {
        lock(&self.active_revision).revision()
    }

    /// Returns when the active revision was installed here; the current time if there is none.
    pub fn installed_at(&self) -> Instant {
        lock(&self.installed_at).unwrap_or_else(|| self.clock.now())
    }

    /// Returns the current `Hello` of this instance.
    pub fn hello(&self) -> Hello {
        Hello {
            from: self.tag,
            incarnation: self.incarnation,
            revision: self.revision(),
            leaving: self.drain.is_draining(),
        }
    }

    /// Applies a `Hello`: its sender is alive, and may have a newer revision.
    pub fn note_hello(&self, hello: &Hello) {
        let now = self.clock.now();
        lock(&self.membership).note_contact(
            now,
            hello.from,
            u64::from(hello.incarnation),
            hello.leaving,
        );
        if hello.revision > self.revision() {
            (self.wake_config)();
        }
    }

    /// Returns the home of `shard` by this instance's own view of the membership.
    pub fn home_of(&self, shard: &Shard) -> Tag {
        let Some(snapshot) = self.snapshot.load_full() else { return self.tag };
        let now = self.clock.now();
        let mut table = lock(&self.home_table);
        table.home_of(now, &lock(&self.membership), &snapshot, shard)
    }

    /// Returns the instance to replicate the chat locations of `shard` to: the home if that is another instance, else
    /// the next one in rendezvous order.
    pub fn replica_of(&self, shard: &Shard) -> Option<Tag> {
        let now = self.clock.now();
        let membership = lock(&self.membership);
        let homes = membership.homes(now);
        let others = homes.into_iter().filter(|candidate| candidate.tag != self.tag);
        home_of(shard.id, shard.zone.as_ref(), others).map(|c| c.tag)
    }

    /// Returns the home of a shard, if the active file has the shard.
    pub fn home_of_id(&self, id: ShardId) -> Option<Tag> {
        let snapshot = self.snapshot.load_full()?;
        Some(self.home_of(snapshot.shard(id)?))
    }

    /// Returns whether the instance is ready for callers.
    pub fn is_ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// Returns why the instance is not ready for callers: it is draining, has no file, or one of its threads keeps ending.
    pub fn not_ready(&self) -> Option<String> {
        if self.drain.is_draining() {
            return Some("draining".to_owned());
        }
        if self.snapshot.load().is_none() {
            return Some("no configuration learned yet".to_owned());
        }
        let failing = self.required_threads.failing(self.clock.now())?;
        Some(format!("the thread {failing} keeps ending; see its panics in the log"))
    }

    /// Returns a new request id.
    pub fn next_request_id(&self) -> String {
        let number = self.request_counter.fetch_add(1, Ordering::SeqCst);
        format!("{}-{:x}-{number:x}", self.tag, self.incarnation)
    }
}
