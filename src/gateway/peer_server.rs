//! Serves other instances: replies to their reports and, as the aggregator, sums up the reports of all.

use std::{
    mem,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Gateway,
    cold_permits::{PERMIT_PATH, PermitReply},
    exchange::{EXCHANGE_PATH, EXCHANGE_TIMEOUT},
    gap_check::LIST_READS_PATH,
    intent_reader,
    intent_relay::{self, OFFER_PATH},
    messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    rollout_table::{ROLLOUT_PATH, perform_for_another},
    roster_reader,
    stream_origins::messages::ORIGIN_PATH,
    tunnels,
};
use crate::{
    configs::fleet::chunks::{decode, encode},
    link::{
        http1::Conn,
        listener::ConnOutcome,
        peer::{self, PeerService, STREAM_PATH},
        traffic::Purpose,
    },
    names::Tag,
    routing::{
        BudgetSum, InstanceListUpdate, PromptCount, ServiceLimits, ServiceLoad, VerdictUpdate,
    },
    utils::sync::lock,
};

/// Time for which the sums over all instances are cached, a small part of the exchange's period. Without the cache,
/// each exchange would sum up the reports of all instances, and the work would grow with the square of their number.
pub(super) const SUMS_MAX_AGE: Duration = Duration::from_millis(50);

/// Size up to which changes of the intent are sent unrequested. Larger ones would saturate the link of the aggregator,
/// which sends them to all instances.
const UNREQUESTED_CHANGES_MAX_BYTES: usize = 16 << 10;

/// Time that a thread waits for the next message before it returns the connection to the idle ones. The first message
/// follows the connection at once, the next one an exchange period later.
const NEXT_MESSAGE_TIMEOUT: Duration = Duration::from_millis(20);

/// Applies a report and returns the reply.
fn reply_to(gateway: &Gateway, mut report: ExchangeReport) -> ExchangeReply {
    let now = gateway.clock.now();
    let cluster_state = &gateway.cluster_state;
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let purpose = report.purpose;
    cluster_state.note_version(now, report.intent_version);
    // Taken first: an intent that becomes active meanwhile must not be missing from what counts as confirmed.
    let confirmed = cluster_state.with_watch(|watch| watch.confirmed());
    let changes = if report.wants_intent {
        cluster_state.changes_since(report.intent_version)
    } else {
        cluster_state.small_changes_since(report.intent_version, UNREQUESTED_CHANGES_MAX_BYTES)
    };
    let instances = add_sender(gateway, now, &report);
    if purpose == ExchangePurpose::Aggregate {
        record_report(gateway, now, &mut report);
    }
    gateway.rollouts.apply_reported_updates(gateway, &report.rollout_states);
    if purpose == ExchangePurpose::Aggregate {
        let (node, run) = (&report.from.node, report.run);
        gateway.rollouts.apply_reports(gateway, node, run, report.rollouts);
    }
    let sums = fleet_sums(gateway, now);
    let list = cluster_state.server_list_reply(now, report.list_version);
    ExchangeReply {
        loads: sums.loads.clone(),
        unresponsive: sums.unresponsive.clone(),
        budgets: if purpose == ExchangePurpose::Aggregate {
            sums.budgets.clone()
        } else {
            Vec::new()
        },
        run: gateway.peers.run,
        crash_alert: gateway.crash_suspects.is_alert(now),
        verdicts: verdicts(gateway, now, purpose),
        intent_version: cluster_state.version(),
        changes,
        confirmed: confirmed.map(|confirmed| ConfirmedAgo {
            age_ms: millis(now.saturating_duration_since(confirmed.at)),
            store: confirmed.store,
        }),
        orders: cluster_state.orders(),
        rollout_states: gateway.rollouts.updates(now),
        list: list.update,
        list_age_ms: list.age.map(millis),
        list_era: list.era,
        instances,
        team_limits: sums.team_limits.clone().filter(|_| purpose == ExchangePurpose::Aggregate),
        popular_prompts: if purpose == ExchangePurpose::Aggregate {
            sums.popular_prompts.clone()
        } else {
            Vec::new()
        },
    }
}

/// Adds the sender of a report to the known instances; returns the update of their list, if the sender needs one.
fn add_sender(
    gateway: &Gateway,
    now: Instant,
    report: &ExchangeReport,
) -> Option<InstanceListUpdate> {
    let (update, has_changed) = {
        let mut candidates = lock(&gateway.peers.candidates);
        let before = candidates.version();
        candidates.add(report.from.clone());
        let after = candidates.version();
        // An incomplete list would be taken for the list of all instances.
        let sends_update = after != report.instances_hash && gateway.peers.has_joined(now);
        (sends_update.then(|| candidates.update_since(report.instances_hash)), after != before)
    };
    if has_changed {
        gateway.instances_changed();
    }
    update
}

/// Records a report to this instance as the aggregator, and takes what it adds up over all instances out of it.
fn record_report(gateway: &Gateway, now: Instant, report: &mut ExchangeReport) {
    let (peers, node) = (&gateway.peers, &report.from.node);
    let was_inactive = !peers.is_aggregator(now);
    let mut aggregate = lock(&peers.aggregate);
    aggregate.record_counts(now, node.clone(), mem::take(&mut report.counts));
    aggregate.record_prompts(now, node.clone(), mem::take(&mut report.prompts));
    aggregate.record_unresponsive(now, node.clone(), mem::take(&mut report.unresponsive));
    drop(aggregate);
    lock(&peers.budget).record_report(now, node, report.run, mem::take(&mut report.spending));
    let team_demands = mem::take(&mut report.team_demands);
    lock(&peers.team_demand).record_report(now, node.clone(), team_demands);
    gateway.crash_suspects.set_report_interval(peers.period());
    gateway.crash_suspects.apply_report(now, &report.crash_suspects);
    if was_inactive {
        log::info!("event=reads_for_others servers_age_ms={}", servers_age_ms(gateway, now));
        gateway.store_read_requested.set();
    }
}

/// Returns the verdicts on requests that crash servers, for an exchange of this purpose.
fn verdicts(gateway: &Gateway, now: Instant, purpose: ExchangePurpose) -> Vec<VerdictUpdate> {
    let mut verdicts = gateway.crash_suspects.verdict_updates(now);
    if purpose == ExchangePurpose::Aggregate {
        verdicts.extend(gateway.crash_suspects.watched(now));
    }
    verdicts
}

/// Returns the age of the list of servers in milliseconds, or -1 if there is none, for log lines.
fn servers_age_ms(gateway: &Gateway, now: Instant) -> i64 {
    let age = gateway.cluster_state.servers_age(now);
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// Sums over the reports of all instances.
#[derive(Debug)]
pub(super) struct FleetSums {
    /// Load of each service; empty until most instances have reported, as the sums of a few would pass for room.
    pub(super) loads: Vec<ServiceLoad>,
    /// Requests in flight with popular prompts.
    pub(super) popular_prompts: Vec<PromptCount>,
    /// Servers that several instances have reported as unresponsive.
    pub(super) unresponsive: Vec<Tag>,
    /// Retries spent at each service.
    pub(super) budgets: Vec<BudgetSum>,
    /// Limits of teams, once the reports of all instances are known.
    pub(super) team_limits: Option<Vec<ServiceLimits>>,
}

/// Returns the sums over all instances including this one, from a cache that is at most [`SUMS_MAX_AGE`] old.
pub(super) fn fleet_sums(gateway: &Gateway, now: Instant) -> Arc<FleetSums> {
    gateway.peers.fleet_sums.get(now, || {
        let loads = service_loads(gateway, now);
        FleetSums {
            unresponsive: unresponsive_servers(gateway, now),
            budgets: budget_sums(gateway, now),
            team_limits: gateway.fleet_team_limits(now, &loads),
            popular_prompts: popular_prompts(gateway, now),
            loads: if is_settled(gateway, now) { loads } else { Vec::new() },
        }
    })
}

fn service_loads(gateway: &Gateway, now: Instant) -> Vec<ServiceLoad> {
    let own_counts = lock(&gateway.picker).own_counts();
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.record_counts(now, gateway.settings.node.clone(), own_counts);
    gateway
        .cluster_state
        .with_servers(|roster| aggregate.summary(now, roster.servers().map(|server| &**server)))
}

fn popular_prompts(gateway: &Gateway, now: Instant) -> Vec<PromptCount> {
    let own = lock(&gateway.picker).prompts().own_counts();
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.record_prompts(now, gateway.settings.node.clone(), own);
    aggregate.popular_prompts(now)
}

/// Returns whether this instance knows which others there are, and what nearly all of them have in flight.
fn is_settled(gateway: &Gateway, now: Instant) -> bool {
    let instances = gateway.peers.instances();
    gateway.peers.has_joined(now) && lock(&gateway.peers.aggregate).is_settled(now, instances)
}

fn budget_sums(gateway: &Gateway, now: Instant) -> Vec<BudgetSum> {
    let own = gateway.spending(now);
    let mut budget = lock(&gateway.peers.budget);
    budget.record_report(now, &gateway.settings.node, gateway.peers.run, own);
    budget.sums(now)
}

fn unresponsive_servers(gateway: &Gateway, now: Instant) -> Vec<Tag> {
    let own = lock(&gateway.picker).own_unresponsive(now);
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.record_unresponsive(now, gateway.settings.node.clone(), own);
    aggregate.unresponsive()
}

/// Reads the store for an instance that it rejects.
///
/// # Errors
///
/// Status 503 if the store cannot be read here either.
fn read_store_for_peer(gateway: &Arc<Gateway>, reads_intent: bool) -> Result<(), u16> {
    let servers = roster_reader::read(gateway);
    let read = servers
        .and_then(|()| if reads_intent { intent_reader::read_changes(gateway) } else { Ok(()) });
    read.map_err(|fault| {
        gateway.store_failed("for_another", &fault);
        503
    })
}

/// Serves a connection of another instance, as long as messages follow each other closely.
pub fn serve(gateway: &Arc<Gateway>, conn: Conn) -> ConnOutcome {
    let service = PeerService {
        credentials: None,
        timeout: EXCHANGE_TIMEOUT,
        traffic: &gateway.peers.traffic,
        handle_call: |path: &str, body: &[u8]| {
            if path == ORIGIN_PATH && gateway.is_running() {
                // A draining instance may be the only one that holds a record.
                let query = decode(body).map_err(|_| 400_u16)?;
                return Ok(encode(&gateway.answer_origin_query(&query)));
            }
            if gateway.drain.is_draining() || !gateway.is_running() {
                // The others switch to the next aggregator before this instance stops.
                return Err(503);
            }
            match path {
                EXCHANGE_PATH => {
                    let report: ExchangeReport = decode(body).map_err(|_| 400_u16)?;
                    if report.purpose == ExchangePurpose::ReadStore {
                        read_store_for_peer(gateway, report.wants_intent)?;
                    }
                    Ok(encode(&reply_to(gateway, report)))
                }
                LIST_READS_PATH => gateway.list_reads().map(|reply| encode(&reply)).ok_or(503),
                PERMIT_PATH => {
                    let request = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&PermitReply { granted: gateway.grant(&request) }))
                }
                ROLLOUT_PATH => {
                    let request = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&perform_for_another(gateway, &request)))
                }
                OFFER_PATH => {
                    let offer = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&intent_relay::accept_offer(gateway, offer)))
                }
                _ => Err(404),
            }
        },
        handle_stream: |sender, receiver| gateway.serve_slot_stream(sender, receiver),
        handle_tunnel: Some(&|conn, server, id| tunnels::serve(gateway, conn, server, id)),
        purpose: |path| match path {
            OFFER_PATH | ROLLOUT_PATH => Purpose::Config,
            PERMIT_PATH => Purpose::Permits,
            STREAM_PATH => Purpose::Slots,
            ORIGIN_PATH => Purpose::Streams,
            _ => Purpose::Loads,
        },
    };
    peer::serve_until_idle(conn, &service, NEXT_MESSAGE_TIMEOUT)
}
