//! What other instances are answered, and what the one that collects their reports tells them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Gateway,
    cold_permits::{PERMIT_PATH, PermitReply},
    intent_reader,
    messages::{Asks, ConfirmedAgo, News, Report},
    peers::{EXCHANGE_PATH, EXCHANGE_TIME},
    rollout_table::{ROLLOUT_PATH, perform_for_another},
    roster_reader,
    spread::{self, OFFER_PATH},
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
    routing::{BudgetSum, ServiceLoad, VerdictUpdate},
    utils::sync::lock,
};

/// Age up to which what is summed up of all instances is told again: a small part of the exchange's pause. Else each
/// instance that asks would have the reports of all summed up, and the work would grow with the square of their number.
pub(super) const SUMS_AGE: Duration = Duration::from_millis(50);

/// Largest change of the intent passed on unasked, in bytes: a whole fleet's copies of a larger one would
/// fill the link of the one instance that sends them all.
const INTENT_PASSED_ON: usize = 16 << 10;

/// How long a thread waits for the next message before the connection is left to the watch over idle ones: a new
/// connection's first message comes right behind it, and the next one an exchange's period later.
const BUSY: Duration = Duration::from_millis(20);

/// Answers another instance.
fn answer(gateway: &Gateway, report: Report) -> News {
    let now = gateway.clock.now();
    let knowledge = &gateway.knowledge;
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let asks = report.asks;
    knowledge.told_of(now, report.version);
    let changes = if report.wants_intent {
        knowledge.changes_since(report.version)
    } else {
        knowledge.small_changes_since(report.version, INTENT_PASSED_ON)
    };
    let (instances, is_news) = {
        let mut candidates = lock(&gateway.peers.candidates);
        let before = candidates.version();
        candidates.add(report.from.clone());
        let after = candidates.version();
        // One that knows a few only would have them taken for all.
        let tells = after != report.instances && gateway.peers.knows_others(now);
        (tells.then(|| candidates.update_since(report.instances)), after != before)
    };
    if is_news {
        gateway.instances_changed();
    }
    if report.asks == Asks::InTurn {
        let began = !gateway.peers.is_read_from(now);
        let mut aggregate = lock(&gateway.peers.aggregate);
        aggregate.record_counts(now, report.from.node.clone(), report.counts);
        aggregate.record_unresponsive(now, report.from.node.clone(), report.silent);
        drop(aggregate);
        lock(&gateway.peers.budget).record_report(
            now,
            &report.from.node,
            report.run,
            report.spending,
        );
        gateway.crash_suspects.apply_report(now, &report.crash_suspects);
        if began {
            log::info!("event=reads_for_others servers_age_ms={}", age_ms(gateway, now));
            gateway.reader_wanted.set();
        }
    }
    gateway.rollouts.apply_updates(gateway, &report.rollout_states, "peer");
    if asks == Asks::InTurn {
        let (node, run) = (&report.from.node, report.run);
        gateway.rollouts.apply_reports(gateway, node, run, report.rollouts);
    }
    let sums = sums(gateway, now);
    let told = knowledge.list_told(now, report.list);
    News {
        loads: sums.loads.clone(),
        silent: sums.silent.clone(),
        budgets: if asks == Asks::InTurn { sums.budgets.clone() } else { Vec::new() },
        run: gateway.peers.run,
        servers_end: gateway.crash_suspects.is_alert(now),
        verdicts: verdicts(gateway, now, asks),
        version: knowledge.version(),
        changes,
        confirmed: knowledge.with_watch(|watch| watch.confirmed()).map(|confirmed| ConfirmedAgo {
            age_ms: millis(now.saturating_duration_since(confirmed.at)),
            store: confirmed.store,
        }),
        orders: knowledge.orders_told(),
        rollout_states: gateway.rollouts.updates(now),
        list: told.news,
        list_age_ms: told.age.map(millis),
        list_era: told.era,
        instances,
    }
}

/// Returns what another instance is to know of requests that end servers.
fn verdicts(gateway: &Gateway, now: Instant, asks: Asks) -> Vec<VerdictUpdate> {
    let mut verdicts = gateway.crash_suspects.verdict_updates(now);
    if asks == Asks::InTurn {
        verdicts.extend(gateway.crash_suspects.watched(now));
    }
    verdicts
}

/// Returns the age of the list of servers, for log lines; -1 where there is none.
fn age_ms(gateway: &Gateway, now: Instant) -> i64 {
    let age = gateway.knowledge.servers_age(now);
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// What all instances have told, summed up.
#[derive(Debug)]
pub(super) struct Sums {
    /// What they have in flight.
    pub(super) loads: Vec<ServiceLoad>,
    /// Servers that several find silent.
    pub(super) silent: Vec<Tag>,
    /// Repeats that they have spent.
    pub(super) budgets: Vec<BudgetSum>,
}

/// Returns what all instances have told, this one among them; summed up anew only now and then, whoever asks.
pub(super) fn sums(gateway: &Gateway, now: Instant) -> Arc<Sums> {
    gateway.peers.sums.get(now, || Sums {
        loads: summary(gateway, now),
        silent: all_silent(gateway, now),
        budgets: budget_sums(gateway, now),
    })
}

fn summary(gateway: &Gateway, now: Instant) -> Vec<ServiceLoad> {
    let own_counts = lock(&gateway.picker).own_counts();
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.record_counts(now, gateway.settings.node.clone(), own_counts);
    gateway
        .knowledge
        .with_servers(|roster| aggregate.summary(now, roster.servers().map(|server| &**server)))
}

fn budget_sums(gateway: &Gateway, now: Instant) -> Vec<BudgetSum> {
    let own = gateway.spending(now);
    let mut budget = lock(&gateway.peers.budget);
    budget.record_report(now, &gateway.settings.node, gateway.peers.run, own);
    budget.sums(now)
}

fn all_silent(gateway: &Gateway, now: Instant) -> Vec<Tag> {
    let own = lock(&gateway.picker).own_unresponsive(now);
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.record_unresponsive(now, gateway.settings.node.clone(), own);
    aggregate.unresponsive()
}

/// Reads the store for an instance that it turns away.
///
/// # Errors
///
/// The status that tells that it turns this one away too.
fn read_for_another(gateway: &Arc<Gateway>) -> Result<(), u16> {
    let servers = roster_reader::read(gateway);
    let intent = servers.and_then(|()| intent_reader::look(gateway));
    intent.map_err(|fault| {
        gateway.store_failed("for_another", &fault);
        503
    })
}

/// Serves a connection of another instance as long as one message closely follows the other.
pub fn serve(gateway: &Arc<Gateway>, conn: Conn) -> Served {
    let service = PeerService {
        accepted: None,
        timeout: EXCHANGE_TIME,
        traffic: &gateway.peers.traffic,
        answer: |path: &str, body: &[u8]| {
            if gateway.drain.is_draining() {
                // The others turn to the next instance before this one is gone.
                return Err(503);
            }
            match path {
                EXCHANGE_PATH => {
                    let report: Report = decode(body).map_err(|_| 400_u16)?;
                    if report.asks == Asks::ToRead {
                        read_for_another(gateway)?;
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
                    Ok(encode(&spread::take_offer(gateway, offer)))
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
    peer::serve_while_busy(conn, &service, BUSY)
}
