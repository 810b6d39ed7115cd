//! The home of a shard under drawn histories: every grant is held against an account of its own.

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

use crate::home::{ENTRY, ask, home, terms};

/// One drawn event.
#[derive(Debug, Clone)]
enum Draw {
    Request { chat: u64, team: u32, hint: u32 },
    Release(usize),
    Fail(usize),
    Leave(u32, bool),
    Advance(u64),
    Drop(usize),
}

fn draws() -> impl Strategy<Value = Vec<Draw>> {
    let draw = prop_oneof![
        6 => (0..40_u64, 1..4_u32, 0..9_u32).prop_map(|(chat, team, hint)| Draw::Request { chat, team, hint }),
        4 => any::<prop::sample::Index>().prop_map(|i| Draw::Release(i.index(1000))),
        1 => any::<prop::sample::Index>().prop_map(|i| Draw::Fail(i.index(1000))),
        1 => (1..7_u32, any::<bool>()).prop_map(|(engine, leaving)| Draw::Leave(engine, leaving)),
        2 => (1..400_u64).prop_map(Draw::Advance),
        1 => any::<prop::sample::Index>().prop_map(|i| Draw::Drop(i.index(1000))),
    ];
    proptest::collection::vec(draw, 1..300)
}

/// Checks every grant against an account of its own.
struct Account {
    held: HashMap<u64, Tag>,
    waiting: HashSet<u64>,
    leaving: HashSet<Tag>,
}

impl Account {
    fn take(&mut self, home: &Home, now: Instant, actions: &[Action]) -> Result<(), TestCaseError> {
        for action in actions {
            let Action::Reply(id, reply) = action else { continue };
            match reply {
                Reply::Queued => prop_assert!(self.waiting.insert(id.number), "queued twice"),
                Reply::Granted(engine) => {
                    self.waiting.remove(&id.number);
                    prop_assert!(!self.leaving.contains(engine), "a leaving engine got work");
                    prop_assert!(self.held.insert(id.number, *engine).is_none(), "granted twice");
                    let load = self.held.values().filter(|e| *e == engine).count() as u32;
                    prop_assert!(load <= 6, "over capacity: {load}");
                    // The bound once this request counts is at most that of one more arriving.
                    prop_assert!(
                        load <= home.bound(now),
                        "{load} on {engine}, bound {}",
                        home.bound(now)
                    );
                }
                Reply::Spill => prop_assert!(false, "nothing may spill here"),
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
fn drawn_events_never_break_the_bound_and_lose_no_ask() {
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let done = TestRunner::new(config).run(&draws(), |draws| {
        let (mut home, mut now) =
            home(6, 6, HomeSettings { affinity_wait: Duration::from_millis(250), ..terms() });
        let mut account =
            Account { held: HashMap::new(), waiting: HashSet::new(), leaving: HashSet::new() };
        let mut number = 0;
        for draw in draws {
            let pick = |set: Vec<u64>, at: usize| {
                if set.is_empty() { None } else { Some(set[at % set.len()]) }
            };
            let mut held: Vec<u64> = account.held.keys().copied().collect();
            held.sort_unstable();
            let mut waiting: Vec<u64> = account.waiting.iter().copied().collect();
            waiting.sort_unstable();
            let event = match draw {
                Draw::Request { chat, team, hint } => {
                    number += 1;
                    let hint = (hint > 0).then_some(Tag(hint));
                    Event::PermitRequest(
                        PermitRequest { team: Tag(team), hint, ..ask(number, chat) },
                        TeamPolicy::default(),
                    )
                }
                Draw::Release(at) | Draw::Fail(at) => {
                    let Some(number) = pick(held, at) else { continue };
                    account.held.remove(&number);
                    let kind = if matches!(draw, Draw::Fail(_)) {
                        ReleaseKind::Failed
                    } else {
                        ReleaseKind::Done
                    };
                    Event::Release(ENTRY, Release { number, kind, load: None })
                }
                Draw::Drop(at) => {
                    let Some(number) = pick(waiting, at) else { continue };
                    account.waiting.remove(&number);
                    Event::Release(ENTRY, Release { number, kind: ReleaseKind::Unused, load: None })
                }
                Draw::Leave(engine, leaving) => {
                    if leaving {
                        account.leaving.insert(Tag(engine))
                    } else {
                        account.leaving.remove(&Tag(engine))
                    };
                    Event::AnnouncedLeaving(Tag(engine), leaving)
                }
                Draw::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    let count = account.held.len();
                    home.handle(now, Event::HeldCount(ENTRY, count));
                    Event::Tick
                }
            };
            let actions = home.handle(now, event);
            account.take(&home, now, &actions)?;
        }
        Ok(())
    });
    done.expect("the home keeps its promises");
}
