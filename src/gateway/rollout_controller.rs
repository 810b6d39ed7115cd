//! Controller of roll-outs, which runs on the aggregator: holds their records in the store and advances them by the
//! rules in `routing::rollout`.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    Gateway,
    rollout_table::{RecordRow, RolloutTableReply, RolloutTableRequest, perform},
};
use crate::{
    names::{ServiceName, SoftwareVersion},
    routing::{
        ROLLOUT_LEASE, RolloutOrder, RolloutProgress, RolloutRecord, RolloutState, RolloutUpdate,
        Stage, StagePolicy, StageTimes,
    },
    utils::sync::lock,
};

/// Interval between two steps of a roll-out: shorter than the interval between two reports of an instance.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which another instance checks whether it has to take over.
const STANDBY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two renewals of a record's lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Granularity of propagated shares: smaller changes are not propagated.
const SHARE_STEP: f64 = 0.005;

/// A record whose lease this instance holds.
struct HeldRecord {
    row: RecordRow,
    /// When the last successful write began. Other instances count the lease from a later time.
    renewed: Instant,
    /// The store's clock in milliseconds, with the local time at which it was read.
    clock: (Instant, u64),
    times: StageTimes,
    /// Last state that was published.
    published: Option<RolloutState>,
}

/// Spawns the controller's thread if a roll-out is unfinished. An instance without one has no such thread.
pub fn spawn_if_needed(gateway: &Arc<Gateway>) {
    let rollouts = &gateway.rollouts;
    if !rollouts.has_unfinished() || rollouts.is_controller_running.swap(true, Ordering::Relaxed) {
        return;
    }
    if let Err(fault) = gateway.spawn_thread("rollouts", run) {
        rollouts.is_controller_running.store(false, Ordering::Relaxed);
        log::error!("event=rollouts_not_kept reason={:?}", fault.to_string());
    }
}

/// Advances roll-outs until all are complete or the instance stops.
fn run(gateway: &Arc<Gateway>) {
    let mut held: IndexMap<ServiceName, HeldRecord> = IndexMap::new();
    while gateway.is_running() && (gateway.rollouts.has_unfinished() || !held.is_empty()) {
        let was_controller = is_controller(gateway, gateway.clock.now());
        gateway.rollouts.wakeup.wait(if was_controller { STEP_INTERVAL } else { STANDBY_INTERVAL });
        let now = gateway.clock.now();
        if !is_controller(gateway, now) {
            held.clear();
            continue;
        }
        let orders = lock(&gateway.rollouts.states).orders().clone();
        let own = gateway.rollouts.reports(gateway);
        gateway.rollouts.apply_reports(gateway, &gateway.settings.node, gateway.peers.run, own);
        for (service, order) in &orders {
            advance_service(gateway, &mut held, service, order);
        }
    }
    gateway.rollouts.is_controller_running.store(false, Ordering::Relaxed);
}

/// Returns whether this instance is the controller.
fn is_controller(gateway: &Gateway, now: Instant) -> bool {
    let is_aggregator = lock(&gateway.peers.candidates).aggregator(now).is_none();
    is_aggregator && gateway.peers.has_joined(now) && !gateway.drain.is_draining()
}

fn advance_service(
    gateway: &Gateway,
    held: &mut IndexMap<ServiceName, HeldRecord>,
    service: &ServiceName,
    order: &RolloutOrder,
) {
    if held.get(service).is_some_and(|held| held.row.record.order.to != order.to) {
        held.swap_remove(service);
    }
    let mut record = match held.swap_remove(service) {
        Some(known) => known,
        None => match claim(gateway, service, order) {
            Some(claimed) => claimed,
            None => return,
        },
    };
    if step(gateway, &mut record, order) {
        held.insert(service.clone(), record);
    }
}

/// Acquires the lease of a service's record, unless another instance holds it or the roll-out is complete.
fn claim(gateway: &Gateway, service: &ServiceName, order: &RolloutOrder) -> Option<HeldRecord> {
    let (state, term) = {
        let states = lock(&gateway.rollouts.states);
        (states.state(service, &order.to).cloned(), states.term(service))
    };
    let share = state.as_ref().map_or(0.0, |state| state.share);
    let began = gateway.clock.now();
    let (rows, now_ms) = match perform(gateway, &RolloutTableRequest::Read) {
        RolloutTableReply::Read { rows, now_ms } => (rows, now_ms),
        other => {
            log::info!("event=rollouts_unread reason={other:?}");
            return None;
        }
    };
    let own = &gateway.settings.node;
    let known = rows.into_iter().find(|row| row.service == *service);
    let expected = known.as_ref().map_or(0, |row| row.version);
    let former = known.as_ref().map(|row| &row.record);
    if former.is_some_and(|former| former.is_held_by_another(own, now_ms)) {
        return None;
    }
    let same = former.filter(|former| former.order.to == order.to);
    let mut record = match same {
        Some(same) => RolloutRecord { holder: own.clone(), ..same.clone() },
        None => RolloutRecord::first(order.clone(), own.clone(), now_ms, former),
    };
    // A decision that has been propagated stays, even if the store was restored from an older copy.
    if let Some(decided) = state.map(|state| state.stage).filter(|stage| stage.is_final()) {
        record.stage = record.stage.max(decided);
    }
    let is_done = same.is_some_and(|same| same.stage == record.stage) && record.stage.is_final();
    if is_done {
        publish(gateway, began, RolloutState::of(service, &record));
        return None;
    }
    record.term = record.term.max(term.saturating_add(1));
    record.barred.extend(lock(&gateway.rollouts.states).unproven(service).cloned());
    record.renewed_ms = now_ms;
    let row = RecordRow { service: service.clone(), version: expected, record };
    let clock = (gateway.clock.now(), now_ms);
    let times = StageTimes::new(began, row.record.stage, share);
    let mut held = HeldRecord { row, renewed: began, clock, times, published: None };
    if !write(gateway, &mut held) {
        return None;
    }
    log::warn!(
        "event=rollout_held service={service} to={} term={} stage={:?}",
        order.to,
        held.row.record.term,
        held.row.record.stage
    );
    Some(held)
}

/// Writes the record; returns whether this instance still holds its lease.
fn write(gateway: &Gateway, held: &mut HeldRecord) -> bool {
    let began = gateway.clock.now();
    let (at, ms) = held.clock;
    let since = began.saturating_duration_since(at).as_millis();
    held.row.record.renewed_ms = ms.saturating_add(u64::try_from(since).unwrap_or(u64::MAX));
    match perform(gateway, &RolloutTableRequest::Write(held.row.clone())) {
        RolloutTableReply::Written(version) => {
            held.row.version = version;
            held.renewed = began;
            true
        }
        reply => {
            // The next claim reads whether the record was written.
            log::info!("event=rollout_not_written service={} reason={reply:?}", held.row.service);
            false
        }
    }
}

/// Advances a roll-out by one step; returns whether the record is still held.
fn step(gateway: &Gateway, held: &mut HeldRecord, order: &RolloutOrder) -> bool {
    let now = gateway.clock.now();
    let (exposure_limit, exchange) = (gateway.settings.bounds.rollouts, gateway.peers.period());
    let policy = StagePolicy { order, exposure_limit, exchange };
    let progress = progress(gateway, now, held);
    let service = held.row.service.clone();
    let decided =
        lock(&gateway.rollouts.states).state(&service, &order.to).map(|known| known.stage);
    let stage = held.row.record.stage;
    let next = match decided.filter(|decided| decided.is_final()) {
        Some(decided) => stage.max(decided),
        None => policy.stage(&progress),
    };
    if next == Stage::RolledBack && decided != Some(next) {
        // Propagated before it is written, so that the version gets no more requests in the meantime.
        publish(gateway, now, state(held, next, 0.0, 0));
        log::warn!(
            "event=version_not_taken service={service} to={} answered={} evaluated={} of={} doubt={:.1} doubt_in_all={:.1} log_odds={:.1}",
            order.to,
            progress.responses_new,
            progress.evaluated_new,
            progress.sent,
            progress.regression_score,
            progress.total_regression_score,
            progress.log_odds
        );
    }
    let is_due = now.saturating_duration_since(held.renewed) >= RENEW_INTERVAL;
    if next != stage || is_due {
        held.row.record.stage = next;
        if next == Stage::Succeeded {
            // Servers of other versions stop as soon as operators read the status, and stay listed for a while.
            held.row.record.barred.extend(other_versions(gateway, &service, &order.to));
        }
        if !write(gateway, held) {
            return false;
        }
    }
    if next.is_final() {
        let share = if next == Stage::Succeeded { 1.0 } else { 0.0 };
        publish(gateway, now, state(held, next, share, usize::MAX));
        return false;
    }
    let share = (policy.share(next, &progress) / SHARE_STEP).round() * SHARE_STEP;
    held.times.note(now, next, share);
    let servers = policy.servers(share, &progress);
    // The time to live counts from the beginning of this step: a state that is published late, as after a suspension, is
    // as old as what it was decided by.
    let is_fresh = gateway.clock.now().saturating_duration_since(held.renewed) < ROLLOUT_LEASE;
    if is_fresh {
        publish(gateway, now, state(held, next, share, servers));
    }
    true
}

/// Returns the versions other than `to` of the listed servers.
fn other_versions(
    gateway: &Gateway,
    service: &ServiceName,
    to: &SoftwareVersion,
) -> IndexSet<SoftwareVersion> {
    gateway.cluster_state.with_servers(|roster| {
        let servers = roster.servers().filter(|server| server.service == *service);
        servers
            .filter_map(|server| server.version.clone())
            .filter(|version| version != to)
            .collect()
    })
}

/// Returns the state to publish. Its step grows if it differs from the state that was published last.
fn state(held: &mut HeldRecord, stage: Stage, share: f64, servers: usize) -> RolloutState {
    let record = &held.row.record;
    let mut state = RolloutState {
        service: held.row.service.clone(),
        to: record.order.to.clone(),
        stage,
        term: record.term,
        step: 0,
        share,
        servers,
        barred: record.barred.clone(),
        is_written: record.stage == stage,
    };
    if let Some(published) = &held.published {
        state.step = published.step;
        if state != *published {
            state.step = state.step.saturating_add(1);
        }
    }
    held.published = Some(state.clone());
    state
}

/// Publishes a state that was decided at `now`, from when its time to live counts.
fn publish(gateway: &Gateway, now: Instant, state: RolloutState) {
    gateway.rollouts.apply_updates(gateway, now, &[RolloutUpdate { state, age_ms: 0 }], "own");
}

fn progress(gateway: &Gateway, now: Instant, held: &HeldRecord) -> RolloutProgress {
    let record = &held.row.record;
    let (at, ms) = held.clock;
    let before = Duration::from_millis(ms.saturating_sub(record.first_seen_ms));
    let to = &record.order.to;
    let (servers_new, servers_old) = gateway.cluster_state.with_servers(|roster| {
        let servers = roster.servers().filter(|s| s.service == held.row.service && !s.leaving);
        let usable = servers
            .filter(|s| s.version.as_ref().is_none_or(|version| !record.barred.contains(version)));
        let (new, old): (Vec<_>, Vec<_>) = usable.partition(|s| s.version.as_ref() == Some(to));
        (new.len(), old.len())
    });
    let mut progress = RolloutProgress {
        elapsed: before + now.saturating_duration_since(at),
        stage: held.times.stage(),
        in_stage: held.times.in_stage(now),
        at_full_share: held.times.at_full_share(now),
        servers_new,
        servers_old,
        ..RolloutProgress::default()
    };
    if let Some(evaluation) = lock(&gateway.rollouts.evaluations).get(&held.row.service)
        && evaluation.to() == to
    {
        (progress.sent, progress.sent_new) = evaluation.sent();
        progress.responses_new = evaluation.responses_new();
        progress.evaluated_new = evaluation.evaluated_new();
        progress.log_odds = evaluation.log_odds();
        progress.is_disturbed = evaluation.is_disturbed(now);
        progress.in_flight_old = evaluation.in_flight_old(now);
        progress.total_regression_score = evaluation.total_regression_score();
        (progress.regression_score, progress.is_bad) =
            (evaluation.regression_score(), evaluation.is_bad());
    }
    progress
}
