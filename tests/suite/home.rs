//! The home of a shard: the bound, queues, patience, recovery. Pure decisions on a made-up clock.

use std::time::{Duration, Instant};

use cartvane::{
    contract::permit::{
        AnnouncedPermit, PermitId, PermitRequest, RefuseReason, Release, ReleaseKind, Reply,
        TeamPolicy,
    },
    names::Tag,
    units::Rate,
    zone::{
        engine::EngineSpec,
        home::{
            Action, DISCONNECTED_ENTRY_TIMEOUT, ENTRY_TIMEOUT, Event, Home, HomeSettings,
            ShardLoad, WARM_UP,
        },
        load_view::bound_of,
        rendezvous::ChatKey,
    },
};
pub(crate) const ENTRY: Tag = Tag(900);
const TEAM: Tag = Tag(1);

fn engines(count: u32, capacity: u32) -> Vec<EngineSpec> {
    (1..=count).map(|n| EngineSpec { tag: Tag(n), weight: 1.0, capacity, leaving: false }).collect()
}

pub(crate) fn terms() -> HomeSettings {
    HomeSettings {
        load_bound: 1.25,
        queue_max: 100,
        chats_max: 1000,
        affinity_wait: Duration::ZERO,
    }
}

pub(crate) fn ask(number: u64, chat: u64) -> PermitRequest {
    PermitRequest {
        id: PermitId { entry: ENTRY, number },
        chat: ChatKey(chat),
        team: TEAM,
        time_left: Duration::from_secs(10),
        hint: None,
        avoid: Vec::new(),
        may_spill: false,
    }
}

fn release(number: u64) -> Event {
    Event::Release(ENTRY, Release { number, kind: ReleaseKind::Done, load: None })
}

/// A home past its warm-up, and the time.
pub(crate) fn home(count: u32, capacity: u32, terms: HomeSettings) -> (Home, Instant) {
    let start = Instant::now();
    (Home::new(terms, engines(count, capacity), start), start + WARM_UP)
}

fn reply_to(actions: &[Action], number: u64) -> Option<Reply> {
    actions.iter().rev().find_map(|action| match action {
        Action::Reply(id, reply) if id.number == number => Some(*reply),
        _ => None,
    })
}

fn ask_now(home: &mut Home, now: Instant, ask: PermitRequest) -> Option<Reply> {
    let number = ask.id.number;
    reply_to(&home.handle(now, Event::PermitRequest(ask, TeamPolicy::default())), number)
}

#[test]
fn a_returning_chat_goes_where_it_was() {
    let (mut home, now) = home(5, 8, terms());
    let first = ask_now(&mut home, now, ask(1, 77));
    home.handle(now, release(1));
    for number in 2..10 {
        assert_eq!(ask_now(&mut home, now, ask(number, 77)), first);
        home.handle(now, release(number));
    }
}

#[test]
fn a_hint_stands_in_for_lost_memory() {
    let (mut home, now) = home(5, 8, terms());
    let hinted = PermitRequest { hint: Some(Tag(4)), ..ask(1, 77) };
    assert_eq!(ask_now(&mut home, now, hinted), Some(Reply::Granted(Tag(4))));
    let strange = PermitRequest { hint: Some(Tag(4444)), ..ask(2, 78) };
    assert!(matches!(ask_now(&mut home, now, strange), Some(Reply::Granted(_))));
}

#[test]
fn the_same_ask_twice_gets_the_same_permit_once() {
    let (mut home, now) = home(5, 8, terms());
    let first = ask_now(&mut home, now, ask(1, 7));
    assert_eq!(ask_now(&mut home, now, ask(1, 7)), first);
    assert_eq!(home.permits(), 1);
}

#[test]
fn a_returning_chat_waits_for_its_engine_and_not_longer_than_its_patience() {
    let (mut home, now) =
        home(2, 8, HomeSettings { affinity_wait: Duration::from_millis(300), ..terms() });
    let engine = ask_now(&mut home, now, ask(1, 7)).expect("granted");
    // The chat's engine is at the bound: ceil(1.25 x 2 / 2) = 2, and it holds two of two.
    let other = ask_now(&mut home, now, PermitRequest { hint: granted_tag(engine), ..ask(2, 8) });
    assert_eq!(other, Some(engine));
    assert_eq!(ask_now(&mut home, now, ask(3, 7)), Some(Reply::Queued));
    let actions = home.handle(now + Duration::from_millis(100), release(1));
    assert_eq!(reply_to(&actions, 3), Some(engine), "the place that came free is its own");
    assert_eq!(ask_now(&mut home, now, ask(4, 7)), Some(Reply::Queued));
    let actions = home.handle(now + Duration::from_millis(301), Event::Tick);
    let elsewhere = reply_to(&actions, 4).expect("its patience is over");
    assert!(matches!(elsewhere, Reply::Granted(tag) if Some(tag) != granted_tag(engine)));
}

fn granted_tag(reply: Reply) -> Option<Tag> {
    if let Reply::Granted(tag) = reply { Some(tag) } else { None }
}

#[test]
fn a_leaving_engine_gets_nothing_new() {
    let (mut home, now) = home(3, 8, terms());
    home.handle(now, Event::ListedLeaving(Tag(1), true));
    // What an engine says of itself does not undo what the list says.
    home.handle(now, Event::AnnouncedLeaving(Tag(1), false));
    let mut specs = engines(3, 8);
    specs[1].leaving = true;
    home.handle(now, Event::Engines(specs));
    for number in 0..6 {
        assert_eq!(ask_now(&mut home, now, ask(number, number)), Some(Reply::Granted(Tag(3))));
    }
}

#[test]
fn an_engine_that_fails_is_passed_over_ever_longer_and_tried_again() {
    let (mut home, mut now) = home(2, 8, terms());
    let mut pauses = Vec::new();
    for number in 0..3 {
        let hinted = PermitRequest { hint: Some(Tag(1)), ..ask(number * 100, 10_000 + number) };
        assert_eq!(ask_now(&mut home, now, hinted), Some(Reply::Granted(Tag(1))));
        let failed = Release { number: number * 100, kind: ReleaseKind::Failed, load: None };
        home.handle(now, Event::Release(ENTRY, failed));
        let began = now;
        let mut probe = number * 100 + 1;
        while ask_now(&mut home, now, PermitRequest { hint: Some(Tag(1)), ..ask(probe, probe) })
            != Some(Reply::Granted(Tag(1)))
        {
            home.handle(now, release(probe));
            now += Duration::from_millis(50);
            probe += 1;
        }
        home.handle(
            now,
            Event::Release(ENTRY, Release { number: probe, kind: ReleaseKind::Unused, load: None }),
        );
        pauses.push(now - began);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn an_engine_that_answers_a_probe_is_used_again_at_once() {
    let (mut home, now) = home(2, 8, terms());
    home.handle(now, Event::ProbeFailed(Tag(1)));
    let hinted = |number| PermitRequest { hint: Some(Tag(1)), ..ask(number, number) };
    assert_eq!(ask_now(&mut home, now, hinted(1)), Some(Reply::Granted(Tag(2))));
    home.handle(now, Event::Probed(Tag(1), 0));
    assert_eq!(ask_now(&mut home, now, hinted(2)), Some(Reply::Granted(Tag(1))));
}

#[test]
fn a_surging_team_waits_behind_its_own_requests() {
    let (mut home, now) = home(1, 2, terms());
    let of = |team: u32, number: u64| PermitRequest { team: Tag(team), ..ask(number, number) };
    for number in 1..=12 {
        ask_now(&mut home, now, of(1, number));
    }
    assert_eq!(ask_now(&mut home, now, of(2, 50)), Some(Reply::Queued));
    assert_eq!(ask_now(&mut home, now, of(2, 51)), Some(Reply::Queued));
    let mut order = Vec::new();
    for number in 1..=6 {
        for action in home.handle(now, release(number)) {
            if let Action::Reply(id, Reply::Granted(_)) = action {
                order.push(id.number);
            }
        }
    }
    let place = |number| order.iter().position(|n| *n == number);
    assert!(place(50) < Some(3) && place(51) < Some(5), "{order:?}");
}

#[test]
fn a_reserved_request_goes_before_all_that_wait() {
    let (mut home, now) = home(1, 1, terms());
    for number in 1..=5 {
        ask_now(&mut home, now, ask(number, number));
    }
    let reserved = TeamPolicy { reserved: true, ..TeamPolicy::default() };
    let actions = home
        .handle(now, Event::PermitRequest(PermitRequest { team: Tag(9), ..ask(70, 70) }, reserved));
    assert_eq!(reply_to(&actions, 70), Some(Reply::Queued));
    let actions = home.handle(now, release(1));
    assert!(matches!(reply_to(&actions, 70), Some(Reply::Granted(_))));
}

#[test]
fn what_cannot_be_done_in_time_is_refused_at_once() {
    let (mut home, now) = home(1, 1, terms());
    ask_now(&mut home, now, ask(1, 1));
    home.handle(now + Duration::from_secs(2), release(1));
    let now = now + Duration::from_secs(2);
    ask_now(&mut home, now, ask(2, 2));
    assert_eq!(ask_now(&mut home, now, ask(3, 3)), Some(Reply::Queued));
    let hurried = PermitRequest { time_left: Duration::from_secs(3), ..ask(4, 4) };
    let reply = ask_now(&mut home, now, hurried);
    assert!(
        matches!(reply, Some(Reply::Refused { reason: RefuseReason::Deadline, .. })),
        "{reply:?}"
    );
}

#[test]
fn a_queued_request_is_refused_when_its_deadline_passes() {
    let (mut home, now) = home(1, 1, terms());
    ask_now(&mut home, now, ask(1, 1));
    let hurried = PermitRequest { time_left: Duration::from_secs(1), ..ask(2, 2) };
    assert_eq!(ask_now(&mut home, now, hurried), Some(Reply::Queued));
    let actions = home.handle(now + Duration::from_secs(1), Event::Tick);
    let reply = reply_to(&actions, 2);
    assert!(
        matches!(reply, Some(Reply::Refused { reason: RefuseReason::Deadline, .. })),
        "{reply:?}"
    );
    assert_eq!(home.queued(), 0);
}

#[test]
fn a_full_queue_and_team_limits_refuse() {
    let (mut home, now) = home(1, 1, HomeSettings { queue_max: 1, ..terms() });
    ask_now(&mut home, now, ask(1, 1));
    assert_eq!(ask_now(&mut home, now, ask(2, 2)), Some(Reply::Queued));
    let reply = ask_now(&mut home, now, ask(3, 3));
    assert!(matches!(reply, Some(Reply::Refused { reason: RefuseReason::QueueFull, .. })));
    let limited = TeamPolicy { max_in_flight: Some(1), ..TeamPolicy::default() };
    let reply = reply_to(&home.handle(now, Event::PermitRequest(ask(4, 4), limited)), 4);
    assert!(matches!(reply, Some(Reply::Refused { reason: RefuseReason::TeamInFlight, .. })));
    let slow = TeamPolicy { rate: Some(Rate(1.0)), ..TeamPolicy::default() };
    let other = |number| PermitRequest { team: Tag(5), ..ask(number, number) };
    home.handle(now, Event::PermitRequest(other(5), slow));
    let reply = reply_to(&home.handle(now, Event::PermitRequest(other(6), slow)), 6);
    assert!(matches!(reply, Some(Reply::Refused { reason: RefuseReason::TeamRate, .. })));
}

#[test]
fn a_new_home_counts_reports_until_permits_are_announced() {
    let start = Instant::now();
    let mut home = Home::new(terms(), engines(2, 4), start);
    home.handle(start, Event::Probed(Tag(1), 4));
    for number in 0..4 {
        assert_eq!(ask_now(&mut home, start, ask(number, number)), Some(Reply::Granted(Tag(2))));
    }
    let held = |number, engine| AnnouncedPermit {
        number,
        engine,
        chat: ChatKey(number),
        team: TEAM,
        left_ms: 5000,
    };
    let other = Tag(901);
    home.handle(start, Event::Announce(other, vec![held(1, Tag(1)), held(2, Tag(1))], Vec::new()));
    assert_eq!(home.permits(), 6);
    // What is not named any more is no longer held; what is under way stays.
    home.handle(start, Event::Announce(other, vec![held(2, Tag(1))], Vec::new()));
    assert_eq!(home.permits(), 5);
    home.handle(start, Event::Announce(ENTRY, Vec::new(), vec![0, 1]));
    assert_eq!(home.permits(), 3);
}

#[test]
fn a_count_that_differs_asks_for_an_announcement() {
    let (mut home, now) = home(2, 4, terms());
    ask_now(&mut home, now, ask(1, 1));
    assert!(home.handle(now, Event::HeldCount(ENTRY, 1)).is_empty());
    assert_eq!(home.handle(now, Event::HeldCount(ENTRY, 0)), [Action::RequestAnnouncement(ENTRY)]);
}

#[test]
fn the_permits_of_a_silent_entry_end() {
    let (mut home, now) = home(2, 4, terms());
    ask_now(&mut home, now, ask(1, 1));
    home.handle(now + ENTRY_TIMEOUT / 2, Event::Tick);
    assert_eq!(home.permits(), 1);
    home.handle(now + ENTRY_TIMEOUT, Event::Tick);
    assert_eq!(home.permits(), 0);
}

#[test]
fn the_permits_of_an_entry_whose_stream_ended_end_sooner_unless_it_is_heard_again() {
    for heard in [false, true] {
        let (mut home, now) = home(2, 4, terms());
        ask_now(&mut home, now, ask(1, 1));
        home.handle(now, Event::EntryDisconnected(ENTRY));
        home.handle(now + DISCONNECTED_ENTRY_TIMEOUT / 2, Event::Tick);
        assert_eq!(home.permits(), 1);
        if heard {
            home.handle(now + DISCONNECTED_ENTRY_TIMEOUT / 2, Event::HeldCount(ENTRY, 1));
        }
        home.handle(now + DISCONNECTED_ENTRY_TIMEOUT, Event::Tick);
        assert_eq!(home.permits(), usize::from(heard));
    }
}

#[test]
fn a_permit_ends_some_time_after_its_requests_deadline() {
    let (mut home, mut now) = home(2, 4, terms());
    ask_now(&mut home, now, ask(1, 1));
    let until = now + Duration::from_secs(13);
    while now < until {
        now += Duration::from_secs(1);
        home.handle(now, Event::HeldCount(ENTRY, 1));
        home.handle(now, Event::Tick);
    }
    assert_eq!(home.permits(), 0);
}

#[test]
fn the_bound_follows_the_load_elsewhere() {
    let (mut home, now) = home(2, 100, terms());
    assert_eq!(home.bound(now), 1);
    home.handle(now, Event::OtherShardLoad(Tag(2), ShardLoad { load: 39, engines: 2 }));
    assert_eq!(home.bound(now), bound_of(1.25, 40, 4));
    let later = now + Duration::from_secs(6);
    assert_eq!(home.bound(later), 1, "a load heard long ago no longer counts");
}

#[test]
fn a_full_shard_sends_on_what_may_go_on() {
    let (mut home, now) = home(1, 1, terms());
    ask_now(&mut home, now, ask(1, 1));
    assert_eq!(
        ask_now(&mut home, now, PermitRequest { may_spill: true, ..ask(2, 2) }),
        Some(Reply::Spill)
    );
}

#[test]
fn the_contexts_of_a_leaving_engine_move_to_where_its_chats_will_go() {
    let (mut home, now) = home(4, 8, terms());
    for number in 0..40 {
        let hinted = PermitRequest { hint: Some(Tag(1)), ..ask(number, number) };
        assert_eq!(ask_now(&mut home, now, hinted), Some(Reply::Granted(Tag(1))));
        home.handle(now, release(number));
    }
    assert!(home.context_moves(now, 10).is_empty(), "nobody leaves");
    home.handle(now, Event::ListedLeaving(Tag(1), true));
    let moves: Vec<_> =
        std::iter::from_fn(|| Some(home.context_moves(now, 15)).filter(|m| !m.is_empty()))
            .collect();
    assert_eq!(
        moves.iter().map(Vec::len).collect::<Vec<_>>(),
        [15, 15, 10],
        "within the rate, each once"
    );
    let first = moves[0][0];
    assert!(moves.iter().flatten().all(|m| m.from == Tag(1) && m.to != Tag(1)));
    home.handle(now, Event::ContextsMoved(vec![(first.chat, first.from, first.to)]));
    let returning = PermitRequest { chat: first.chat, ..ask(100, 0) };
    assert_eq!(ask_now(&mut home, now, returning), Some(Reply::Granted(first.to)));
    // A chat that has gone elsewhere meanwhile is left where it is.
    home.handle(
        now,
        Event::ContextsMoved(vec![(first.chat, Tag(1), Tag(3)), (first.chat, Tag(1), Tag(4))]),
    );
    assert_eq!(home.explain(now, first.chat).0, Some(first.to));
}

#[test]
fn an_engine_that_does_not_hand_over_is_given_up() {
    let (mut home, now) = home(3, 8, terms());
    for number in 0..20 {
        ask_now(&mut home, now, PermitRequest { hint: Some(Tag(1)), ..ask(number, number) });
        home.handle(now, release(number));
    }
    home.handle(now, Event::AnnouncedLeaving(Tag(1), true));
    assert_eq!(home.context_moves(now, 5).len(), 5);
    home.handle(now, Event::ContextsNotMoved(Tag(1)));
    assert!(home.context_moves(now, 5).is_empty());
    home.handle(now, Event::AnnouncedLeaving(Tag(1), false));
    home.context_moves(now, 5);
    home.handle(now, Event::AnnouncedLeaving(Tag(1), true));
    assert_eq!(home.context_moves(now, 5).len(), 5, "it leaves anew");
}
