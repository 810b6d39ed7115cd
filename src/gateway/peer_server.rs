//! What other instances are answered, and what the one that collects their reports tells them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Gateway,
    cold_permits::{PERMIT_PATH, PermitReply},
    intent_reader,
    intent_relay::{self, OFFER_PATH},
    messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    peers::{EXCHANGE_PATH, EXCHANGE_TIMEOUT},
    rollout_table::{ROLLOUT_PATH, perform_for_another},
    roster_reader,
};
use crate::{
    configs::fleet::chunks::{decode, encode},
    link::{
        caller::Served,
        http1::Conn,
        peer::{self, PeerService},
        traffic::Purpose,
    },
    names::Tag,
    routing::{BudgetSum, ServiceLoad, ToldVerdict},
    utils::sync::lock,
};

/// Age up to which what is summed up of all instances is told again: a small part of the exchange's pause. Else each
/// instance that asks would have the reports of all summed up, and the work would grow with the square of their number.
pub(super) const SUMS_MAX_AGE: Duration = Duration::from_millis(50);

/// Largest change of the intent passed on unasked, in bytes: a whole fleet's copies of a larger one would
/// fill the link of the one instance that sends them all.
const UNREQUESTED_CHANGES_MAX_BYTES: usize = 16 << 10;

/// How long a thread waits for the next message before the connection is left to the watch over idle ones: a new
/// connection's first message comes right behind it, and the next one an exchange's period later.
const NEXT_MESSAGE_TIMEOUT: Duration = Duration::from_millis(20);

/// Answers another instance.
fn answer(gateway: &Gateway, report: ExchangeReport) -> ExchangeReply {
    let now = gateway.clock.now();
    let cluster_state = &gateway.cluster_state;
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let purpose = report.purpose;
    cluster_state.note_version(now, report.intent_version);
    let changes = if report.wants_intent {
        cluster_state.changes_since(report.intent_version)
    } else {
        cluster_state.small_changes_since(report.intent_version, UNREQUESTED_CHANGES_MAX_BYTES)
    };
    let (instances, is_news) = {
        let mut candidates = lock(&gateway.peers.candidates);
        let before = candidates.version();
        candidates.add(report.from.clone());
        let after = candidates.version();
        // One that knows a few only would have them taken for all.
        let tells = after != report.instances_hash && gateway.peers.has_joined(now);
        (tells.then(|| candidates.since(report.instances_hash)), after != before)
    };
    if is_news {
        gateway.instances_changed();
    }
    if report.purpose == ExchangePurpose::Aggregate {
        let began = !gateway.peers.is_aggregator(now);
        let mut aggregate = lock(&gateway.peers.aggregate);
        aggregate.take(now, report.from.node.clone(), report.counts);
        aggregate.take_silent(now, report.from.node.clone(), report.unresponsive);
        drop(aggregate);
        lock(&gateway.peers.budget).take(now, &report.from.node, report.run, report.spending);
        gateway.suspicion.take_report(now, &report.suspicion);
        if began {
            log::info!("event=reads_for_others servers_age_ms={}", age_ms(gateway, now));
            gateway.store_read_requested.set();
        }
    }
    gateway.rollouts.take_told(gateway, &report.rollout_states, "peer");
    if purpose == ExchangePurpose::Aggregate {
        let (node, run) = (&report.from.node, report.run);
        gateway.rollouts.take_reports(gateway, node, run, report.rollouts);
    }
    let sums = fleet_sums(gateway, now);
    let told = cluster_state.server_list_reply(now, report.list_version);
    ExchangeReply {
        loads: sums.loads.clone(),
        unresponsive: sums.silent.clone(),
        budgets: if purpose == ExchangePurpose::Aggregate {
            sums.budgets.clone()
        } else {
            Vec::new()
        },
        run: gateway.peers.run,
        crash_alert: gateway.suspicion.is_alert(now),
        verdicts: verdicts(gateway, now, purpose),
        intent_version: cluster_state.version(),
        changes,
        confirmed: cluster_state.with_watch(|watch| watch.confirmed()).map(|confirmed| {
            ConfirmedAgo {
                age_ms: millis(now.saturating_duration_since(confirmed.at)),
                store: confirmed.store,
            }
        }),
        orders: cluster_state.orders(),
        rollout_states: gateway.rollouts.told(now),
        list: told.update,
        list_age_ms: told.age.map(millis),
        list_era: told.era,
        instances,
    }
}

/// Returns what another instance is to know of requests that end servers.
fn verdicts(gateway: &Gateway, now: Instant, purpose: ExchangePurpose) -> Vec<ToldVerdict> {
    let mut verdicts = gateway.suspicion.lasting(now);
    if purpose == ExchangePurpose::Aggregate {
        verdicts.extend(gateway.suspicion.watched(now));
    }
    verdicts
}

/// Returns the age of the list of servers, for log lines; -1 where there is none.
fn age_ms(gateway: &Gateway, now: Instant) -> i64 {
    let age = gateway.cluster_state.servers_age(now);
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// What all instances have told, summed up.
#[derive(Debug)]
pub(super) struct FleetSums {
    /// What they have in flight.
    pub(super) loads: Vec<ServiceLoad>,
    /// Servers that several find silent.
    pub(super) silent: Vec<Tag>,
    /// Repeats that they have spent.
    pub(super) budgets: Vec<BudgetSum>,
}

/// Returns what all instances have told, this one among them; summed up anew only now and then, whoever asks.
pub(super) fn fleet_sums(gateway: &Gateway, now: Instant) -> Arc<FleetSums> {
    gateway.peers.fleet_sums.get(now, || FleetSums {
        loads: service_loads(gateway, now),
        silent: unresponsive_servers(gateway, now),
        budgets: budget_sums(gateway, now),
    })
}

fn service_loads(gateway: &Gateway, now: Instant) -> Vec<ServiceLoad> {
    let own_counts = lock(&gateway.picker).own_counts();
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.take(now, gateway.settings.node.clone(), own_counts);
    gateway
        .cluster_state
        .with_servers(|roster| aggregate.summary(now, roster.servers().map(|server| &**server)))
}

fn budget_sums(gateway: &Gateway, now: Instant) -> Vec<BudgetSum> {
    let own = gateway.spending(now);
    let mut budget = lock(&gateway.peers.budget);
    budget.take(now, &gateway.settings.node, gateway.peers.run, own);
    budget.sums(now)
}

fn unresponsive_servers(gateway: &Gateway, now: Instant) -> Vec<Tag> {
    let own = lock(&gateway.picker).own_silent(now);
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.take_silent(now, gateway.settings.node.clone(), own);
    aggregate.silent()
}

/// Reads the store for an instance that it turns away.
///
/// # Errors
///
/// The status that tells that it turns this one away too.
fn read_store_for_peer(gateway: &Arc<Gateway>) -> Result<(), u16> {
    let servers = roster_reader::read(gateway);
    let intent = servers.and_then(|()| intent_reader::read_changes(gateway));
    intent.map_err(|fault| {
        gateway.store_failed("for_another", &fault);
        503
    })
}

/// Serves a connection of another instance as long as one message closely follows the other.
pub fn serve(gateway: &Arc<Gateway>, conn: Conn) -> Served {
    let service = PeerService {
        accepted: None,
        timeout: EXCHANGE_TIMEOUT,
        traffic: &gateway.peers.traffic,
        answer: |path: &str, body: &[u8]| {
            if gateway.drain.is_draining() {
                // The others turn to the next instance before this one is gone.
                return Err(503);
            }
            match path {
                EXCHANGE_PATH => {
                    let report: ExchangeReport = decode(body).map_err(|_| 400_u16)?;
                    if report.purpose == ExchangePurpose::ReadStore {
                        read_store_for_peer(gateway)?;
                    }
                    Ok(encode(&answer(gateway, report)))
                }
                PERMIT_PATH => {
                    let ask = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&PermitReply { granted: gateway.grant(&ask) }))
                }
                ROLLOUT_PATH => {
                    let ask = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&perform_for_another(gateway, &ask)))
                }
                OFFER_PATH => {
                    let offer = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&intent_relay::accept_offer(gateway, offer)))
                }
                _ => Err(404),
            }
        },
        stream: |_, _| {},
        purpose: |path| match path {
            OFFER_PATH | ROLLOUT_PATH => Purpose::Config,
            PERMIT_PATH => Purpose::Permits,
            _ => Purpose::Loads,
        },
    };
    peer::serve_while_busy(conn, &service, NEXT_MESSAGE_TIMEOUT)
}
