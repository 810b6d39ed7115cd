//! Orders to the engines of the shards whose home this instance is, under one lease for each shard.

use std::{thread, time::Duration};

use super::order_state::ShardOrders;
use crate::{
    audit::{AuditAction, AuditRow},
    configs::fleet::{
        BackendServer, Service,
        chunks::{decode, encode},
    },
    contract::{
        lease::{Lease, LeaseRow, LeaseStep, ORDERS_PREFIX},
        orders::{
            DesiredState, EngineOrder, Observation, Progress, Rollout, RolloutLimits, desired_state,
        },
    },
    instance::{
        cluster_state::{audit_trail::append, snapshot::Snapshot},
        homes::engines,
        shared::Shared,
    },
    names::Tag,
    platform::{Expect, Operation, TransactReply, Write},
    zone::shard::{Shard, ShardId},
};

/// Interval between renewals of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Delay before a renewal that did not take effect is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between checks of the engines while a rollout is in progress.
const ROLLOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks of the engines while all are up to date.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Time limit for an engine to accept an order; well under the safety margin of the lease (`LEASE_MARGIN`).
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the state of a shard is kept after its home has moved, as the home may move back.
const MOVED_SHARD_RETENTION: Duration = Duration::from_secs(60);

/// Most engines whose status is checked at a time.
const CONCURRENT_CALLS: usize = 8;

/// Renews the leases of the shards whose home this instance is, and sends the orders that are due.
pub fn process_orders(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let ordered = snapshot.services().filter(|view| !view.service.models.is_empty());
    let own_shards: Vec<(&Service, &Shard)> = ordered
        .flat_map(|view| view.shards.iter().map(|shard| (&view.service, shard)))
        .filter(|(_, shard)| !shared.drain.is_draining() && shared.home_of(shard) == shared.tag)
        .collect();
    let now = shared.clock.now();
    shared.orders.evict_moved(now, MOVED_SHARD_RETENTION);
    for (service, shard) in own_shards {
        process_shard(shared, &snapshot, service, shard);
    }
}

fn process_shard(shared: &Shared, snapshot: &Snapshot, service: &Service, shard: &Shard) {
    let new = || ShardOrders {
        lease: Lease::new(shared.settings.id.clone(), u64::from(shared.incarnation)),
        last_renewal: None,
        held_since: None,
        last_checked: None,
        rollout: Rollout::default(),
        last_home_at: shared.clock.now(),
    };
    // Taken out while it is processed: only this thread changes it, others read the status.
    let mut orders = shared.orders.take(shard.id, shared.clock.now()).unwrap_or_else(new);
    orders.last_home_at = shared.clock.now();
    renew(shared, shard.id, &mut orders);
    if may_order(shared, &orders) && is_due(shared, &orders) {
        check_and_order(shared, snapshot, service, shard, &mut orders);
    }
    shared.orders.put(shard.id, orders);
}

/// Returns whether orders may be sent now.
///
/// A new holder waits for `ORDER_TIMEOUT`, as long as an order of the previous holder may still be in flight.
/// Fencing number 1 has no previous holder.
fn may_order(shared: &Shared, orders: &ShardOrders) -> bool {
    let now = shared.clock.now();
    let first = orders.lease.fencing(now) == Some(1);
    let waited = orders.held_since.is_some_and(|at| now.duration_since(at) >= ORDER_TIMEOUT);
    orders.lease.fencing(now).is_some() && (first || waited)
}

fn is_due(shared: &Shared, orders: &ShardOrders) -> bool {
    let Progress { due, loading, failed, .. } = orders.rollout.progress();
    let period =
        if due + loading + failed > 0 { ROLLOUT_CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL };
    let now = shared.clock.now();
    let overdue = orders.last_checked.is_none_or(|at| now.duration_since(at) >= period);
    overdue || shared.clock.now().duration_since(shared.installed_at()) < ROLLOUT_CHECK_INTERVAL * 4
}

fn renew(shared: &Shared, shard: ShardId, orders: &mut ShardOrders) {
    let now = shared.clock.now();
    if orders.last_renewal.is_some_and(|at| now.duration_since(at) < RENEWAL_INTERVAL) {
        return;
    }
    orders.last_renewal = Some(now);
    let key = format!("{ORDERS_PREFIX}{shard}");
    let Ok(row) = shared.platform.table.get(&key) else { return };
    let stored = match &row {
        None => None,
        // A row that cannot be decoded was written by another version; it is left unchanged.
        Some(row) => match decode::<LeaseRow>(&row.value) {
            Ok(lease) => Some((lease, row.version)),
            Err(_) => return,
        },
    };
    let LeaseStep::Write(lease, version) = orders.lease.step(now, stored) else { return };
    let write_started = shared.clock.now();
    let expect = version.map_or(Expect::Absent, Expect::Version);
    let write = Operation { key, expect, write: Write::Put(encode(&lease)) };
    match shared.platform.table.transact(vec![write]) {
        Ok(TransactReply::Committed) => {
            orders.lease.note_written(write_started, &lease);
            orders.held_since.get_or_insert(write_started);
        }
        // If only the reply was lost, the next renewal finds this instance's own row.
        Ok(TransactReply::Conflict { .. }) | Err(_) => {
            orders.lease.note_not_written();
            orders.held_since = None;
            orders.last_renewal = now.checked_sub(RENEWAL_INTERVAL - RENEWAL_RETRY_DELAY);
        }
    }
}

/// An engine with its desired state.
struct TargetEngine<'s> {
    server: &'s BackendServer,
    state: DesiredState,
}

fn check_and_order(
    shared: &Shared,
    snapshot: &Snapshot,
    service: &Service,
    shard: &Shard,
    orders: &mut ShardOrders,
) {
    orders.last_checked = Some(shared.clock.now());
    let servers = shard.engines.iter().filter_map(|engine| snapshot.server(engine.tag));
    let targets: Vec<TargetEngine<'_>> = servers
        .filter(|server| server.reports_load && !server.leaving)
        .map(|server| TargetEngine { server, state: desired_state(&snapshot.fleet, server) })
        .collect();
    let observations = map_concurrently(&targets, |target| check_engine(shared, target));
    let engines: Vec<(Tag, Observation)> =
        targets.iter().zip(observations).map(|(t, seen)| (t.server.id.tag(), seen)).collect();
    let limits = RolloutLimits {
        loads_at_once: service.loads_at_once as usize,
        min_serving: service.min_serving,
    };
    let now = shared.clock.now();
    let due = orders.rollout.next_engines(now, &engines, limits);
    let due: Vec<&TargetEngine<'_>> =
        targets.iter().filter(|t| due.contains(&t.server.id.tag())).collect();
    for target in due {
        // Checked right before each order: the lease may have expired during a pause of the process.
        let Some(fencing) = orders.lease.fencing(shared.clock.now()) else { return };
        order_engine(shared, target, fencing, orders);
    }
}

/// Calls `f` for all engines, up to `CONCURRENT_CALLS` at a time.
fn map_concurrently<'w, T: Send>(
    targets: &'w [TargetEngine<'w>],
    f: impl Fn(&TargetEngine<'w>) -> T + Sync,
) -> Vec<T> {
    let mut all = Vec::with_capacity(targets.len());
    for group in targets.chunks(CONCURRENT_CALLS) {
        let f = &f;
        thread::scope(|scope| {
            let calls: Vec<_> = group.iter().map(|t| scope.spawn(move || f(t))).collect();
            all.extend(calls.into_iter().filter_map(|call| call.join().ok()));
        });
    }
    all
}

fn check_engine(shared: &Shared, target: &TargetEngine<'_>) -> Observation {
    match engines::fetch_status(shared, target.server.address) {
        None => Observation::Unreachable,
        Some(status) => Observation::Responded {
            up_to_date: status.order.state == target.state,
            ready: status.is_ready(),
        },
    }
}

fn order_engine(
    shared: &Shared,
    target: &TargetEngine<'_>,
    fencing: u64,
    orders: &mut ShardOrders,
) {
    let order = EngineOrder { fencing, state: target.state.clone() };
    let result = engines::send_order(shared, target.server.address, &order, ORDER_TIMEOUT);
    let now = shared.clock.now();
    let tag = target.server.id.tag();
    let detail = match result {
        Ok(()) => {
            orders.rollout.note_ordered(now, tag);
            "taken".to_owned()
        }
        Err(error) => {
            orders.rollout.note_failure(now, tag);
            if error.is_fenced() {
                // Another instance holds a newer lease.
                orders.lease.note_not_written();
            }
            error.to_string()
        }
    };
    let models: Vec<String> =
        target.state.models.iter().map(|m| format!("{}@{}", m.id, m.version)).collect();
    let action = AuditAction::Order {
        backend_server: target.server.id.to_string(),
        detail: format!("role {}, models {}: {detail}", target.state.role, models.join(" ")),
        fencing,
    };
    log::info!("order backend_server={} fencing={fencing} result={detail:?}", target.server.id);
    append(
        shared,
        &AuditRow { at: shared.clock.wall_millis(), by: shared.settings.id.to_string(), action },
    );
}
