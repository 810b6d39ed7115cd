//! The cost of a slot broker's decisions under overload.

use std::time::{Duration, Instant};

use cartvane::{
    names::Tag,
    routing::{BrokerAction, LeaseId, ServerSlots, SlotBroker, SlotRequest},
};
use fastrand::Rng;

use super::Figure;
use crate::measure::choices::{spread, timed};

/// Teams whose callers send requests, each as often as the others.
const TEAMS: u32 = 33_000;
/// Requests that wait for a slot while decisions are timed.
const WAITING: usize = 300;
/// Servers with 6 slots each.
const SERVERS: u32 = 4;
/// Mean time for which a lease is held.
const SLOT_TIME: Duration = Duration::from_millis(60);
/// Long enough for the queue to hold slightly more than `WAITING` requests.
const WAIT_MAX: Duration = Duration::from_millis(900);
/// Decisions that are timed.
const DECISIONS: usize = 20_000;

/// Measures `request`, `release` and `next_tick` with many waiting requests, of few teams and of many.
pub(super) fn measure() -> Vec<Figure> {
    [24, TEAMS].into_iter().flat_map(measure_with).collect()
}

fn measure_with(teams: u32) -> Vec<Figure> {
    let (mut now, mut rng) = (Instant::now(), Rng::with_seed(1));
    let mut broker = SlotBroker::default();
    broker.set_servers(now, (0..SERVERS).map(server).collect());
    let mut held: Vec<LeaseId> = Vec::new();
    let (mut requests, mut releases, mut ticks) = (Vec::new(), Vec::new(), Vec::new());
    let mut waiting = 0;
    for id in 0.. {
        if requests.len() == DECISIONS {
            break;
        }
        now += SLOT_TIME / (SERVERS * 6 * 5);
        let is_full = broker.waiting() >= WAITING;
        let req = request(LeaseId(id), &mut rng, teams);
        let mut actions = Vec::new();
        let took = timed(|| actions = broker.request(now, req));
        if is_full {
            requests.push(took);
            waiting = waiting.max(broker.waiting());
            ticks.push(timed(|| _ = std::hint::black_box(broker.next_tick())));
        }
        note_grants(&actions, &mut held);
        if id % 5 == 0 && !held.is_empty() {
            let ended = held.swap_remove(rng.usize(..held.len()));
            let took = timed(|| actions = broker.release(now, ended));
            if is_full {
                releases.push(took);
            }
            note_grants(&actions, &mut held);
        }
    }
    let name = |what: &str| format!("slot broker {what}, {teams} teams, up to {waiting} waiting");
    let mut figures = spread(&name("request"), &requests);
    figures.extend(spread(&name("release"), &releases));
    figures.extend(spread(&name("next tick"), &ticks));
    figures
}

fn note_grants(actions: &[BrokerAction], held: &mut Vec<LeaseId>) {
    held.extend(actions.iter().filter_map(|action| match action {
        BrokerAction::Grant { id, .. } => Some(*id),
        _ => None,
    }));
}

fn server(number: u32) -> ServerSlots {
    ServerSlots { server: Tag(number), slots: 6, zone: zone(number) }
}

fn zone(number: u32) -> cartvane::names::ZoneName {
    format!("z{}", number % 2).parse().expect("a name")
}

fn request(id: LeaseId, rng: &mut Rng, teams: u32) -> SlotRequest {
    SlotRequest {
        id,
        team: Some(Tag(rng.u32(..teams))),
        priority: rng.u8(..3),
        digest: rng.u64(..),
        wait_max: WAIT_MAX,
        time_left: WAIT_MAX * 3,
        excluded: Vec::new(),
        zone: zone(rng.u32(..2)),
    }
}
