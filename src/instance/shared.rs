//! What the parts of one instance share.

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
        requests::{claims::Claims, desk::Desk},
    },
    link::{backend::BackendLinks, peer::PeerLinks, traffic::Traffic, wire::Hello},
    metrics::Metrics,
    names::{ServiceId, Tag},
    platform::Platform,
    units::Revision,
    utils::{sync::lock, usage::Usage},
    zone::{
        baseline::Baseline,
        homes::home_of,
        shard::{Shard, ShardId},
    },
};

/// What the parts of one instance share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Tag of the instance's id.
    pub tag: Tag,
    /// Start of the process, in seconds since 1970.
    pub incarnation: u32,
    /// Clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Counts control bytes into the metrics.
    pub traffic: Traffic,
    /// The platform.
    pub platform: Platform,
    /// Links to other instances.
    pub peers: PeerLinks,
    /// Links to backend servers.
    pub backends: BackendLinks,
    /// The file in force, ready for requests.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// Which file is in force.
    pub active_revision: Mutex<ActiveRevision>,
    /// Objects of the file in force and the one before.
    pub objects: ObjectCache,
    /// Which instance is the home of which shard.
    pub home_table: Mutex<HomeTable>,
    /// Which instances are live.
    pub membership: Mutex<Membership>,
    /// The entry's permits.
    pub desk: Desk,
    /// The homes held here.
    pub homes: HomeShards,
    /// Streams between entries and homes.
    pub permit_streams: PermitStreams,
    /// Orders to the engines of the shards held here.
    pub orders: Orders,
    /// When the file in force came into force.
    pub installed_at: Mutex<Option<Instant>>,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Retry budgets by service.
    pub budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    /// Baselines by service.
    pub baselines: Mutex<HashMap<ServiceId, Baseline>>,
    /// Where other instances reach this one, once it listens.
    pub advertised: OnceLock<SocketAddr>,
    /// How far a drain has come.
    pub drain: DrainState,
    /// Use of the limits.
    pub usage: Usage,
    /// Numbers requests.
    pub request_counter: AtomicU64,
    /// Asks the configuration thread to look now.
    pub wake_config: Arc<dyn Fn() + Send + Sync>,
}

/// How far a drain has come.
#[derive(Debug, Default)]
pub struct DrainState {
    draining: AtomicBool,
    since: Mutex<Option<Instant>>,
    stopped: AtomicBool,
}

impl DrainState {
    /// Starts the drain; a second start changes nothing.
    pub fn start(&self, now: Instant) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            *lock(&self.since) = Some(now);
        }
    }

    /// Returns whether the instance is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns how long the instance has been draining.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        lock(&self.since).map(|since| now.saturating_duration_since(since))
    }

    /// Ends the instance's background work.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether the background work is to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

impl Shared {
    /// Returns the revision in force; zero when there is none.
    pub fn revision(&self) -> Revision {
        lock(&self.active_revision).revision()
    }

    /// Returns when the file in force came into force here; now, when there is none.
    pub fn installed_at(&self) -> Instant {
        lock(&self.installed_at).unwrap_or_else(|| self.clock.now())
    }

    /// Returns the greeting of the moment.
    pub fn hello(&self) -> Hello {
        Hello {
            from: self.tag,
            incarnation: self.incarnation,
            revision: self.revision(),
            leaving: self.drain.is_draining(),
        }
    }

    /// Takes in a greeting: its sender is alive, and may know a newer revision.
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

    /// Returns the home of `shard` by this instance's view.
    pub fn home_of(&self, shard: &Shard) -> Tag {
        let Some(snapshot) = self.snapshot.load_full() else { return self.tag };
        let now = self.clock.now();
        let mut table = lock(&self.home_table);
        table.home_of(now, &lock(&self.membership), &snapshot, shard)
    }

    /// Returns who is to hold the replica of what is remembered of `shard`: the next home in line,
    /// or the home itself when that is another instance.
    pub fn replica_of(&self, shard: &Shard) -> Option<Tag> {
        let now = self.clock.now();
        let membership = lock(&self.membership);
        let homes = membership.homes(now);
        let others = homes.into_iter().filter(|candidate| candidate.tag != self.tag);
        home_of(shard.id, shard.zone.as_ref(), others).map(|c| c.tag)
    }

    /// Returns the home of the shard named, if the file in force has it.
    pub fn home_of_id(&self, id: ShardId) -> Option<Tag> {
        let snapshot = self.snapshot.load_full()?;
        Some(self.home_of(snapshot.shard(id)?))
    }

    /// Returns whether the instance may be given callers: it has a file and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.snapshot.load().is_some() && !self.drain.is_draining()
    }

    /// Returns a fresh request id.
    pub fn next_request_id(&self) -> String {
        let number = self.request_counter.fetch_add(1, Ordering::SeqCst);
        format!("{}-{:x}-{number:x}", self.tag, self.incarnation)
    }
}
