//! The home of a shard under random events: every grant is checked against a reference model.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use cartvane::{
    contract::permit::{PermitRequest, Release, ReleaseKind, Reply, TeamPolicy},
    names::Tag,
    zone::home::{Action, Event, Home, HomeSettings},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::home::{ENTRY, home, request, settings};

/// An event whose kind and values are random. Indices select from the permits held or the requests that wait.
#[derive(Debug, Clone)]
enum RandomEvent {
    Request { chat: u64, team: u32, hint: u32 },
    Release(usize),
    Fail(usize),
    Leave(u32, bool),
    Advance(u64),
    Withdraw(usize),
}

fn random_events() -> impl Strategy<Value = Vec<RandomEvent>> {
    let random_event = prop_oneof![
        6 => (0..40_u64, 1..4_u32, 0..9_u32).prop_map(|(chat, team, hint)| RandomEvent::Request { chat, team, hint }),
        4 => any::<prop::sample::Index>().prop_map(|i| RandomEvent::Release(i.index(1000))),
        1 => any::<prop::sample::Index>().prop_map(|i| RandomEvent::Fail(i.index(1000))),
        1 => (1..7_u32, any::<bool>()).prop_map(|(engine, leaving)| RandomEvent::Leave(engine, leaving)),
        2 => (1..400_u64).prop_map(RandomEvent::Advance),
        1 => any::<prop::sample::Index>().prop_map(|i| RandomEvent::Withdraw(i.index(1000))),
    ];
    proptest::collection::vec(random_event, 1..300)
}

/// Reference model: the permits and requests that the home must have after each event.
struct Model {
    held: HashMap<u64, Tag>,
    waiting: HashSet<u64>,
    leaving: HashSet<Tag>,
}

impl Model {
    fn check(
        &mut self,
        home: &Home,
        now: Instant,
        actions: &[Action],
    ) -> Result<(), TestCaseError> {
        for action in actions {
            let Action::Reply(id, reply) = action else { continue };
            match reply {
                Reply::Queued => {
                    prop_assert!(self.waiting.insert(id.number), "a request was queued twice")
                }
                Reply::Granted(engine) => {
                    self.waiting.remove(&id.number);
                    prop_assert!(!self.leaving.contains(engine), "a leaving engine got a request");
                    prop_assert!(
                        self.held.insert(id.number, *engine).is_none(),
                        "a request was granted twice"
                    );
                    let load = self.held.values().filter(|e| *e == engine).count() as u32;
                    prop_assert!(load <= 6, "load {load} exceeds the capacity");
                    // The bound now counts one more arriving request, so it is at least the one at the grant.
                    prop_assert!(
                        load <= home.bound(now),
                        "load {load} on {engine} exceeds the bound {}",
                        home.bound(now)
                    );
                }
                Reply::Spill => prop_assert!(false, "a request spilled that must not"),
                Reply::Refused { .. } => {
                    self.waiting.remove(&id.number);
                }
            }
        }
        prop_assert_eq!(home.permits(), self.held.len());
        prop_assert_eq!(home.queued(), self.waiting.len());
        Ok(())
    }
}

#[test]
fn random_events_keep_the_bound_and_lose_no_request() {
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&random_events(), |random_events| {
        let (mut home, mut now) =
            home(6, 6, HomeSettings { affinity_wait: Duration::from_millis(250), ..settings() });
        let mut model =
            Model { held: HashMap::new(), waiting: HashSet::new(), leaving: HashSet::new() };
        let mut number = 0;
        for random_event in random_events {
            let pick = |set: Vec<u64>, at: usize| {
                if set.is_empty() { None } else { Some(set[at % set.len()]) }
            };
            let mut held: Vec<u64> = model.held.keys().copied().collect();
            held.sort_unstable();
            let mut waiting: Vec<u64> = model.waiting.iter().copied().collect();
            waiting.sort_unstable();
            let event = match random_event {
                RandomEvent::Request { chat, team, hint } => {
                    number += 1;
                    let hint = (hint > 0).then_some(Tag(hint));
                    Event::PermitRequest(
                        PermitRequest { team: Tag(team), hint, ..request(number, chat) },
                        TeamPolicy::default(),
                    )
                }
                RandomEvent::Release(at) | RandomEvent::Fail(at) => {
                    let Some(number) = pick(held, at) else { continue };
                    model.held.remove(&number);
                    let kind = if matches!(random_event, RandomEvent::Fail(_)) {
                        ReleaseKind::Failed
                    } else {
                        ReleaseKind::Done
                    };
                    Event::Release(ENTRY, Release { number, kind, load: None })
                }
                RandomEvent::Withdraw(at) => {
                    let Some(number) = pick(waiting, at) else { continue };
                    model.waiting.remove(&number);
                    Event::Release(ENTRY, Release { number, kind: ReleaseKind::Unused, load: None })
                }
                RandomEvent::Leave(engine, leaving) => {
                    if leaving {
                        model.leaving.insert(Tag(engine))
                    } else {
                        model.leaving.remove(&Tag(engine))
                    };
                    Event::AnnouncedLeaving(Tag(engine), leaving)
                }
                RandomEvent::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    let count = model.held.len();
                    home.handle(now, Event::HeldCount(ENTRY, count));
                    Event::Tick
                }
            };
            let actions = home.handle(now, event);
            model.check(&home, now, &actions)?;
        }
        Ok(())
    });
    result.expect("the home agrees with the model");
}
