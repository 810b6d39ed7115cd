//! Rules of the slot broker: each request gets one final action, servers are not overfilled, and a promised retry time
//! is kept. The first of them are checked against a reference model under random events.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use cartvane::{
    names::Tag,
    routing::{BrokerAction, LeaseId, ServerSlots, SlotBroker, SlotRequest},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::slot_broker_load::{MS, SECOND, extra_seed};

/// Promises that a broker keeps at most.
const PROMISES_MAX: usize = 1024;

/// Slots of the servers; one with 12 or more may be leased to several requests beyond them.
const SLOTS: [u32; 4] = [1, 6, 12, 3];

fn server(number: usize) -> ServerSlots {
    let zone = ["north", "south"][number % 2].parse().expect("a name");
    ServerSlots { server: Tag(number as u32), slots: SLOTS[number], zone }
}

fn request(id: u64) -> SlotRequest {
    SlotRequest {
        id: LeaseId(id),
        team: Some(Tag(0)),
        priority: 0,
        digest: id,
        wait_max: MS * 100,
        time_left: SECOND,
        excluded: Vec::new(),
        zone: "north".parse().expect("a name"),
    }
}

/// An event with random values. Indices select from the requests so far.
#[derive(Debug, Clone)]
enum RandomEvent {
    Request { team: Option<u32>, priority: u8, digest: u64, wait_ms: u64, excluded: Vec<u32> },
    Adopt { server: u32 },
    Release(prop::sample::Index),
    Advance { ms: u64 },
    SetServers { count: usize },
}

fn random_events() -> impl Strategy<Value = Vec<RandomEvent>> {
    let team = proptest::option::of(0..6_u32);
    let excluded = proptest::collection::vec(0..4_u32, 0..3);
    let random_event = prop_oneof![
        12 => (team, 0..5_u8, 0..60_u64, 0..300_u64, excluded).prop_map(
            |(team, priority, digest, wait_ms, excluded)| RandomEvent::Request {
                team, priority, digest, wait_ms, excluded
            }
        ),
        1 => (0..4_u32).prop_map(|server| RandomEvent::Adopt { server }),
        8 => any::<prop::sample::Index>().prop_map(RandomEvent::Release),
        4 => (0..60_u64).prop_map(|ms| RandomEvent::Advance { ms }),
        1 => (0..5_usize).prop_map(|count| RandomEvent::SetServers { count }),
    ];
    proptest::collection::vec(random_event, 1..400)
}

/// Reference model: what follows from the actions of the broker so far.
#[derive(Default)]
struct Model {
    requests: Vec<SlotRequest>,
    listed: usize,
    waiting: HashSet<LeaseId>,
    /// Leases with their servers and ends.
    held: HashMap<LeaseId, (Tag, Instant)>,
    decided: HashSet<LeaseId>,
    arrived_at: HashMap<LeaseId, Instant>,
}

impl Model {
    fn leased(&self, server: Tag) -> u32 {
        self.held.values().filter(|(tag, _)| *tag == server).count() as u32
    }

    fn apply(&mut self, now: Instant, actions: &[BrokerAction]) -> Result<(), TestCaseError> {
        self.held.retain(|_, (_, ends_at)| now < *ends_at);
        for action in actions {
            match *action {
                BrokerAction::Grant { id, server } => {
                    prop_assert!(self.decided.insert(id), "{id:?} got two final actions");
                    self.waiting.remove(&id);
                    let slots = SLOTS[server.0 as usize];
                    prop_assert!(self.leased(server) < slots + slots / 6, "{server:?} overfilled");
                    prop_assert!((server.0 as usize) < self.listed, "{server:?} is not listed");
                    let req = &self.requests[id.0 as usize];
                    prop_assert!(!req.excluded.contains(&server), "{server:?} is excluded");
                    self.held.insert(id, (server, self.arrived_at[&id] + req.time_left));
                }
                BrokerAction::Queue { id } => prop_assert!(self.waiting.insert(id)),
                BrokerAction::Reject { id, retry_after } => {
                    prop_assert!(self.decided.insert(id), "{id:?} got two final actions");
                    self.waiting.remove(&id);
                    prop_assert!(!retry_after.is_zero());
                }
            }
        }
        Ok(())
    }

    fn check(&self, broker: &SlotBroker) -> Result<(), TestCaseError> {
        prop_assert_eq!(broker.waiting(), self.waiting.len());
        prop_assert!(broker.promised() <= PROMISES_MAX);
        for id in &self.waiting {
            let can_use = |number: &usize| {
                !self.requests[id.0 as usize].excluded.contains(&Tag(*number as u32))
            };
            let is_free = |number: usize| self.leased(Tag(number as u32)) < SLOTS[number];
            prop_assert!(!(0..self.listed).filter(can_use).any(is_free), "a slot is left idle");
        }
        Ok(())
    }
}

/// A broker, its reference model and the simulated time.
struct Run {
    broker: SlotBroker,
    model: Model,
    now: Instant,
}

impl Run {
    /// Passes an event to the broker and the model; returns the broker's last actions.
    fn handle(&mut self, event: RandomEvent) -> Result<Vec<BrokerAction>, TestCaseError> {
        let Run { broker, model, now } = self;
        let id = LeaseId(model.requests.len() as u64);
        Ok(match event {
            RandomEvent::Request { team, priority, digest, wait_ms, excluded } => {
                let team = team.map(Tag);
                let excluded = excluded.into_iter().map(Tag).collect();
                let wait_max = MS * wait_ms as u32;
                let new =
                    SlotRequest { team, priority, digest, wait_max, excluded, ..request(id.0) };
                model.requests.push(new.clone());
                model.arrived_at.insert(id, *now);
                broker.request(*now, new)
            }
            RandomEvent::Adopt { server } => {
                model.requests.push(request(id.0));
                model.decided.insert(id);
                model.held.insert(id, (Tag(server), *now + SECOND));
                broker.adopt(*now, id, Tag(server), SECOND);
                Vec::new()
            }
            RandomEvent::Release(index) => {
                let id = LeaseId(index.index(model.requests.len().max(1)) as u64);
                model.held.remove(&id);
                if model.waiting.remove(&id) {
                    model.decided.insert(id);
                }
                broker.release(*now, id)
            }
            RandomEvent::Advance { ms } => {
                let until = *now + MS * ms as u32;
                self.tick_until(Some(until))?;
                self.now = until;
                self.broker.tick(until)
            }
            RandomEvent::SetServers { count } => {
                model.listed = count;
                broker.set_servers(*now, (0..count).map(server).collect())
            }
        })
    }

    /// Lets the broker tick whenever it is due, up to a time, or until nothing can expire.
    fn tick_until(&mut self, until: Option<Instant>) -> Result<(), TestCaseError> {
        let is_before = |due: &Instant| until.is_none_or(|until| *due <= until);
        while let Some(due) = self.broker.next_tick().filter(is_before) {
            self.now = due;
            self.model.apply(due, &self.broker.tick(due))?;
        }
        Ok(())
    }
}

fn run(events: Vec<RandomEvent>) -> Result<(), TestCaseError> {
    let mut run =
        Run { broker: SlotBroker::default(), model: Model::default(), now: Instant::now() };
    for event in events {
        let actions = run.handle(event)?;
        run.model.apply(run.now, &actions)?;
        run.model.check(&run.broker)?;
    }
    run.tick_until(None)?;
    let Run { mut broker, model, now } = run;
    model.check(&broker)?;
    prop_assert_eq!(model.decided.len(), model.requests.len(), "a request was not decided on");
    broker.tick(now + SECOND * 2);
    prop_assert_eq!(broker.promised(), 0, "promises were left");
    Ok(())
}

// Guards against requests that are decided on twice or never, servers that are leased too far beyond their slots,
// slots that are idle while a request waits, and promises that stay.
#[test]
fn each_request_gets_one_final_action_and_no_server_is_overfilled() {
    let cases = std::env::var("CARTVANE_CASES").ok().and_then(|text| text.parse().ok());
    let config = Config {
        cases: 300 * cases.unwrap_or(1),
        rng_seed: RngSeed::Fixed(11 ^ extra_seed()),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&random_events(), run);
    result.unwrap_or_else(|e| panic!("{e}"));
}

/// Returns a broker of one server with 6 slots that are all leased until `id` 6 and the queue of which is full, and the
/// id of a rejected request with its retry time.
fn overloaded(now: Instant) -> (SlotBroker, u64, Duration) {
    let mut broker = SlotBroker::default();
    broker.set_servers(now, vec![server(1)]);
    for id in 0.. {
        match broker.request(now, request(id))[..] {
            [BrokerAction::Reject { retry_after, .. }] => return (broker, id, retry_after),
            _ => assert!(id < 100, "the queue has no limit"),
        }
    }
    unreachable!("a request is rejected")
}

// Guards against callers that gain by returning early, and against a promised retry time that is not kept.
#[test]
fn a_caller_that_returns_early_gets_no_earlier_time_and_one_that_returns_at_its_promised_time_is_served_first()
 {
    let now = Instant::now();
    let (mut broker, rejected, retry_after) = overloaded(now);
    let again = |id| SlotRequest { digest: rejected, ..request(id) };
    let early = broker.request(now + retry_after / 2, again(900));
    let left = retry_after - retry_after / 2;
    assert_eq!(early, [BrokerAction::Reject { id: LeaseId(900), retry_after: left }]);
    let promised = now + retry_after;
    assert_eq!(broker.request(promised, again(901)), [BrokerAction::Queue { id: LeaseId(901) }]);
    let grants = broker.release(promised, LeaseId(0));
    // The first release shows how long leases are held, so that one more than the slots is leased.
    assert_eq!(grants[0], BrokerAction::Grant { id: LeaseId(901), server: Tag(1) });
}

// Guards against memory that grows with the number of rejected callers.
#[test]
fn many_rejected_callers_leave_a_bounded_number_of_promises() {
    let now = Instant::now();
    let (mut broker, first, _) = overloaded(now);
    let team = |id: u64| Some(Tag((id % 7) as u32));
    for id in first + 1..first + 20_000 {
        broker
            .request(now, SlotRequest { team: team(id), time_left: SECOND * 9000, ..request(id) });
    }
    assert_eq!(broker.promised(), PROMISES_MAX);
    broker.tick(now + SECOND * 9000);
    assert_eq!(broker.promised(), 0);
}

// Guards against a round trip between zones while the own zone has free slots.
#[test]
fn the_own_zone_is_preferred_and_then_the_server_with_the_most_free_slots() {
    let now = Instant::now();
    let mut broker = SlotBroker::default();
    broker.set_servers(now, (0..4).map(server).collect());
    let granted: Vec<u32> = (0..22)
        .flat_map(|id| broker.request(now, request(id)))
        .map(|action| match action {
            BrokerAction::Grant { server, .. } => server.0,
            other => panic!("{other:?} while slots are free"),
        })
        .collect();
    assert_eq!(granted[0], 2, "12 slots in the own zone");
    let own_zone = |server: &u32| server.is_multiple_of(2);
    assert!(granted[..13].iter().all(own_zone) && !granted[13..].iter().any(own_zone));
    assert_eq!(granted[13], 1, "6 slots in the other zone");
}

// Guards against slots that are leased twice after a change of the broker, and against leases that never end.
#[test]
fn a_new_broker_counts_the_leases_that_instances_report() {
    let now = Instant::now();
    let mut broker = SlotBroker::default();
    (0..4).for_each(|id| broker.adopt(now, LeaseId(id), Tag(1), SECOND));
    broker.set_servers(now, vec![server(1)]);
    let granted = |broker: &mut SlotBroker, now, ids: std::ops::Range<u64>| {
        let is_grant = |id: &u64| {
            matches!(broker.request(now, request(*id))[..], [BrokerAction::Grant { .. }])
        };
        ids.filter(is_grant).count()
    };
    assert_eq!(granted(&mut broker, now, 10..20), 2);
    broker.tick(now + SECOND);
    assert_eq!(broker.waiting(), 0, "waits end before slots are granted");
    assert_eq!(granted(&mut broker, now + SECOND, 20..30), 6, "leases end at their deadlines");
}
