//! Background work of an instance, with one thread for each kind of work.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    instance::{
        cluster_state::{
            config::{self, Waker},
            gossip,
        },
        homes::{contexts, orders, probes},
        operators::status,
        shared::Shared,
    },
    utils::{supervisor, sync::lock},
};

/// Period of the regular work of homes and the permit client.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// Period of the replication of chat locations.
const CHAT_REPLICATION_PERIOD: Duration = Duration::from_millis(500);

/// Pause between two rounds of leases and orders.
const ORDERS_PERIOD: Duration = Duration::from_millis(200);

/// Pause between two rounds of moving the contexts of leaving engines.
const MOVE_PERIOD: Duration = Duration::from_millis(250);

/// Pause between two rounds of probes.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Ticks between two rounds of the slower work: loads, claims, metrics.
const SLOW_TICKS: u64 = 5;

/// Ticks between two checks of the pools of connections: one second.
const POOL_CHECK_TICKS: u64 = 20;

/// Threads without which an instance must not get new callers: they follow the configuration and the other instances, and
/// return permits.
const REQUIRED: [&str; 4] = ["config", "members", "heartbeat", "tick"];

/// The threads of one instance.
struct Workers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts all background work; its threads end when the instance stops.
///
/// # Errors
///
/// A thread cannot be started.
pub(super) fn start(
    shared: &Arc<Shared>,
    waker: &Arc<Waker>,
) -> anyhow::Result<Vec<JoinHandle<()>>> {
    let mut workers = Workers { shared: Arc::clone(shared), threads: Vec::new() };
    let waker = Arc::clone(waker);
    workers.start("config", move |shared| config_loop(shared, &waker))?;
    let members = shared.settings.timeouts.members_poll.0;
    workers.start("members", move |shared| {
        gossip::poll_members(shared);
        jittered(members)
    })?;
    let heartbeat = shared.settings.timeouts.heartbeat.0;
    workers.start("heartbeat", move |shared| {
        gossip::send_heartbeat(shared);
        jittered(heartbeat)
    })?;
    workers.start("memory", |shared| {
        gossip::replicate_chats(shared);
        CHAT_REPLICATION_PERIOD
    })?;
    workers.start("orders", |shared| {
        orders::process_orders(shared);
        ORDERS_PERIOD
    })?;
    workers.start("contexts", |shared| {
        contexts::move_next(shared);
        MOVE_PERIOD
    })?;
    workers.start("probes", |shared| {
        probes::probe_due(shared);
        PROBE_PERIOD
    })?;
    let mut ticks = 0_u64;
    workers.start("tick", move |shared| {
        ticks += 1;
        tick(shared, ticks);
        TICK
    })?;
    Ok(workers.threads)
}

impl Workers {
    /// Runs `work` repeatedly in its own thread, with the pause that it returns, until the instance stops. After a panic
    /// it is started again; if it keeps ending, an instance that requires it is not ready.
    fn start(
        &mut self,
        name: &'static str,
        mut work: impl FnMut(&Arc<Shared>) -> Duration + Send + 'static,
    ) -> anyhow::Result<()> {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            let is_needed = || !shared.drain.is_stopped();
            let mut run = || {
                while is_needed() {
                    let pause = work(&shared);
                    thread::sleep(pause);
                }
            };
            if REQUIRED.contains(&name) {
                shared.required_threads.keep_running(name, &shared.clock, is_needed, run);
            } else {
                supervisor::keep_running(name, &shared.clock, is_needed, &mut run);
            }
        })?;
        self.threads.push(thread);
        Ok(())
    }
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * fastrand::f64())
}

fn config_loop(shared: &Arc<Shared>, waker: &Waker) -> Duration {
    if let Err(error) = config::sync(shared) {
        log::debug!("cannot update the configuration: {error}");
    }
    let ready = shared.snapshot.load().is_some();
    let pause = if ready { jittered(shared.settings.timeouts.revision_poll.0) } else { TICK };
    if waker.wait(pause)
        && let Err(error) = config::sync_from_peers(shared)
    {
        log::debug!("cannot update the configuration from peers: {error}");
    }
    Duration::ZERO
}

fn tick(shared: &Arc<Shared>, ticks: u64) {
    if shared.drain.is_draining() {
        // From now on the next instance in rendezvous order is the home of every shard held here.
        lock(&shared.membership).leave();
    }
    if ticks.is_multiple_of(POOL_CHECK_TICKS) {
        shared.backends.close_unusable();
        shared.peers.close_unusable();
    }
    shared.permit_client.send_due(|id| shared.home_of_id(id));
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    shared.homes.tick(&snapshot, |shard| shared.home_of(shard) == shared.tag);
    if !ticks.is_multiple_of(SLOW_TICKS) {
        return;
    }
    shared.homes.create_homes(&snapshot, |shard| shared.home_of(shard) == shared.tag);
    shared.claims.tick();
    gossip::update_leaving_servers(shared);
    gossip::send_loads(shared);
    update_home_metrics(shared);
}

fn update_home_metrics(shared: &Shared) {
    let mut status = status::instance_status(shared);
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
