//! The home of a shard: load bound, queues, affinity waits and recovery, on a simulated clock.

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

pub(crate) fn settings() -> HomeSettings {
    HomeSettings {
        load_bound: 1.25,
        queue_max: 100,
        chats_max: 1000,
        affinity_wait: Duration::ZERO,
    }
}

pub(crate) fn request(number: u64, chat: u64) -> PermitRequest {
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

/// Returns a home past its warm-up, and the time.
pub(crate) fn home(count: u32, capacity: u32, settings: HomeSettings) -> (Home, Instant) {
    let start = Instant::now();
    (Home::new(settings, engines(count, capacity), start), start + WARM_UP)
}

fn reply_to(actions: &[Action], number: u64) -> Option<Reply> {
    actions.iter().rev().find_map(|action| match action {
        Action::Reply(id, reply) if id.number == number => Some(*reply),
        _ => None,
    })
}

fn request_now(home: &mut Home, now: Instant, request: PermitRequest) -> Option<Reply> {
    let number = request.id.number;
    reply_to(&home.handle(now, Event::PermitRequest(request, TeamPolicy::default())), number)
}

#[test]
fn a_returning_chat_gets_its_last_engine() {
    let (mut home, now) = home(5, 8, settings());
    let first = request_now(&mut home, now, request(1, 77));
    home.handle(now, release(1));
    for number in 2..10 {
        assert_eq!(request_now(&mut home, now, request(number, 77)), first);
        home.handle(now, release(number));
    }
}

#[test]
fn a_hint_replaces_a_lost_chat_location() {
    let (mut home, now) = home(5, 8, settings());
    let hinted = PermitRequest { hint: Some(Tag(4)), ..request(1, 77) };
    assert_eq!(request_now(&mut home, now, hinted), Some(Reply::Granted(Tag(4))));
    let unknown_hint = PermitRequest { hint: Some(Tag(4444)), ..request(2, 78) };
    assert!(matches!(request_now(&mut home, now, unknown_hint), Some(Reply::Granted(_))));
}

#[test]
fn a_repeated_request_gets_the_same_permit() {
    let (mut home, now) = home(5, 8, settings());
    let first = request_now(&mut home, now, request(1, 7));
    assert_eq!(request_now(&mut home, now, request(1, 7)), first);
    assert_eq!(home.permits(), 1);
}

#[test]
fn a_returning_chat_waits_for_its_engine_up_to_the_affinity_wait() {
    let (mut home, now) =
        home(2, 8, HomeSettings { affinity_wait: Duration::from_millis(300), ..settings() });
    let engine = request_now(&mut home, now, request(1, 7)).expect("granted");
    // With another request the bound is ceil(1.25 x 3 / 2) = 2, and the chat's engine has two requests.
    let other =
        request_now(&mut home, now, PermitRequest { hint: granted_tag(engine), ..request(2, 8) });
    assert_eq!(other, Some(engine));
    assert_eq!(request_now(&mut home, now, request(3, 7)), Some(Reply::Queued));
    let actions = home.handle(now + Duration::from_millis(100), release(1));
    assert_eq!(
        reply_to(&actions, 3),
        Some(engine),
        "the freed slot goes to the chat that waits for the engine"
    );
    assert_eq!(request_now(&mut home, now, request(4, 7)), Some(Reply::Queued));
    let actions = home.handle(now + Duration::from_millis(301), Event::Tick);
    let other_engine = reply_to(&actions, 4).expect("a grant when the affinity wait is over");
    assert!(matches!(other_engine, Reply::Granted(tag) if Some(tag) != granted_tag(engine)));
}

fn granted_tag(reply: Reply) -> Option<Tag> {
    if let Reply::Granted(tag) = reply { Some(tag) } else { None }
}

#[test]
fn a_leaving_engine_gets_no_new_requests() {
    let (mut home, now) = home(3, 8, settings());
    home.handle(now, Event::ListedLeaving(Tag(1), true));
    // An engine's own announcement does not override the membership list.
    home.handle(now, Event::AnnouncedLeaving(Tag(1), false));
    let mut specs = engines(3, 8);
    specs[1].leaving = true;
    home.handle(now, Event::Engines(specs));
    for number in 0..6 {
        assert_eq!(
            request_now(&mut home, now, request(number, number)),
            Some(Reply::Granted(Tag(3)))
        );
    }
}

#[test]
fn a_failed_engine_is_skipped_for_growing_times() {
    let (mut home, mut now) = home(2, 8, settings());
    let mut pauses = Vec::new();
    for number in 0..3 {
        let hinted = PermitRequest { hint: Some(Tag(1)), ..request(number * 100, 10_000 + number) };
        assert_eq!(request_now(&mut home, now, hinted), Some(Reply::Granted(Tag(1))));
        let failed = Release { number: number * 100, kind: ReleaseKind::Failed, load: None };
        home.handle(now, Event::Release(ENTRY, failed));
        let failed_at = now;
        let mut probe = number * 100 + 1;
        while request_now(
            &mut home,
            now,
            PermitRequest { hint: Some(Tag(1)), ..request(probe, probe) },
        ) != Some(Reply::Granted(Tag(1)))
        {
            home.handle(now, release(probe));
            now += Duration::from_millis(50);
            probe += 1;
        }
        home.handle(
            now,
            Event::Release(ENTRY, Release { number: probe, kind: ReleaseKind::Unused, load: None }),
        );
        pauses.push(now - failed_at);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn an_engine_that_responds_to_a_probe_is_used_at_once() {
    let (mut home, now) = home(2, 8, settings());
    home.handle(now, Event::ProbeFailed(Tag(1)));
    let hinted = |number| PermitRequest { hint: Some(Tag(1)), ..request(number, number) };
    assert_eq!(request_now(&mut home, now, hinted(1)), Some(Reply::Granted(Tag(2))));
    home.handle(now, Event::Probed(Tag(1), 0));
    assert_eq!(request_now(&mut home, now, hinted(2)), Some(Reply::Granted(Tag(1))));
}

#[test]
fn a_surge_of_one_team_does_not_delay_another() {
    let (mut home, now) = home(1, 2, settings());
    let by_team =
        |team: u32, number: u64| PermitRequest { team: Tag(team), ..request(number, number) };
    for number in 1..=12 {
        request_now(&mut home, now, by_team(1, number));
    }
    assert_eq!(request_now(&mut home, now, by_team(2, 50)), Some(Reply::Queued));
    assert_eq!(request_now(&mut home, now, by_team(2, 51)), Some(Reply::Queued));
    let mut order = Vec::new();
    for number in 1..=6 {
        for action in home.handle(now, release(number)) {
            if let Action::Reply(id, Reply::Granted(_)) = action {
                order.push(id.number);
            }
        }
    }
    let position = |number| order.iter().position(|n| *n == number);
    assert!(position(50) < Some(3) && position(51) < Some(5), "{order:?}");
}

#[test]
fn a_reserved_request_precedes_all_queued_ones() {
    let (mut home, now) = home(1, 1, settings());
    for number in 1..=5 {
        request_now(&mut home, now, request(number, number));
    }
    let reserved = TeamPolicy { reserved: true, ..TeamPolicy::default() };
    let actions = home.handle(
        now,
        Event::PermitRequest(PermitRequest { team: Tag(9), ..request(70, 70) }, reserved),
    );
    assert_eq!(reply_to(&actions, 70), Some(Reply::Queued));
    let actions = home.handle(now, release(1));
    assert!(matches!(reply_to(&actions, 70), Some(Reply::Granted(_))));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (mut home, now) = home(1, 1, settings());
    request_now(&mut home, now, request(1, 1));
    home.handle(now + Duration::from_secs(2), release(1));
    let now = now + Duration::from_secs(2);
    request_now(&mut home, now, request(2, 2));
    assert_eq!(request_now(&mut home, now, request(3, 3)), Some(Reply::Queued));
    let urgent = PermitRequest { time_left: Duration::from_secs(3), ..request(4, 4) };
    let reply = request_now(&mut home, now, urgent);
    assert!(
        matches!(reply, Some(Reply::Refused { reason: RefuseReason::Deadline, .. })),
        "{reply:?}"
    );
}

#[test]
fn a_queued_request_is_refused_when_its_deadline_passes() {
    let (mut home, now) = home(1, 1, settings());
    request_now(&mut home, now, request(1, 1));
    let urgent = PermitRequest { time_left: Duration::from_secs(1), ..request(2, 2) };
    assert_eq!(request_now(&mut home, now, urgent), Some(Reply::Queued));
    let actions = home.handle(now + Duration::from_secs(1), Event::Tick);
    let reply = reply_to(&actions, 2);
    assert!(
        matches!(reply, Some(Reply::Refused { reason: RefuseReason::Deadline, .. })),
        "{reply:?}"
    );
    assert_eq!(home.queued(), 0);
}

#[test]
fn a_full_queue_and_team_limits_refuse_requests() {
    let (mut home, now) = home(1, 1, HomeSettings { queue_max: 1, ..settings() });
    request_now(&mut home, now, request(1, 1));
    assert_eq!(request_now(&mut home, now, request(2, 2)), Some(Reply::Queued));
    let reply = request_now(&mut home, now, request(3, 3));
    assert!(matches!(reply, Some(Reply::Refused { reason: RefuseReason::QueueFull, .. })));
    let limited = TeamPolicy { max_in_flight: Some(1), ..TeamPolicy::default() };
    let reply = reply_to(&home.handle(now, Event::PermitRequest(request(4, 4), limited)), 4);
    assert!(matches!(reply, Some(Reply::Refused { reason: RefuseReason::TeamInFlight, .. })));
    let slow = TeamPolicy { rate: Some(Rate(1.0)), ..TeamPolicy::default() };
    let other = |number| PermitRequest { team: Tag(5), ..request(number, number) };
    home.handle(now, Event::PermitRequest(other(5), slow));
    let reply = reply_to(&home.handle(now, Event::PermitRequest(other(6), slow)), 6);
    assert!(matches!(reply, Some(Reply::Refused { reason: RefuseReason::TeamRate, .. })));
}

#[test]
fn a_new_home_counts_reported_loads_until_permits_are_announced() {
    let start = Instant::now();
    let mut home = Home::new(settings(), engines(2, 4), start);
    home.handle(start, Event::Probed(Tag(1), 4));
    for number in 0..4 {
        assert_eq!(
            request_now(&mut home, start, request(number, number)),
            Some(Reply::Granted(Tag(2)))
        );
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
    // Permits that are no longer announced are removed; those of pending requests stay.
    home.handle(start, Event::Announce(other, vec![held(2, Tag(1))], Vec::new()));
    assert_eq!(home.permits(), 5);
    home.handle(start, Event::Announce(ENTRY, Vec::new(), vec![0, 1]));
    assert_eq!(home.permits(), 3);
}

#[test]
fn a_differing_count_of_permits_requests_an_announcement() {
    let (mut home, now) = home(2, 4, settings());
    request_now(&mut home, now, request(1, 1));
    assert!(home.handle(now, Event::HeldCount(ENTRY, 1)).is_empty());
    assert_eq!(home.handle(now, Event::HeldCount(ENTRY, 0)), [Action::RequestAnnouncement(ENTRY)]);
}

#[test]
fn permits_of_an_unresponsive_entry_expire() {
    let (mut home, now) = home(2, 4, settings());
    request_now(&mut home, now, request(1, 1));
    home.handle(now + ENTRY_TIMEOUT / 2, Event::Tick);
    assert_eq!(home.permits(), 1);
    home.handle(now + ENTRY_TIMEOUT, Event::Tick);
    assert_eq!(home.permits(), 0);
}

#[test]
fn permits_of_a_disconnected_entry_expire_sooner_unless_it_reconnects() {
    for reconnects in [false, true] {
        let (mut home, now) = home(2, 4, settings());
        request_now(&mut home, now, request(1, 1));
        home.handle(now, Event::EntryDisconnected(ENTRY));
        home.handle(now + DISCONNECTED_ENTRY_TIMEOUT / 2, Event::Tick);
        assert_eq!(home.permits(), 1);
        if reconnects {
            home.handle(now + DISCONNECTED_ENTRY_TIMEOUT / 2, Event::HeldCount(ENTRY, 1));
        }
        home.handle(now + DISCONNECTED_ENTRY_TIMEOUT, Event::Tick);
        assert_eq!(home.permits(), usize::from(reconnects));
    }
}

#[test]
fn a_permit_expires_after_its_requests_deadline() {
    let (mut home, mut now) = home(2, 4, settings());
    request_now(&mut home, now, request(1, 1));
    let until = now + Duration::from_secs(13);
    while now < until {
        now += Duration::from_secs(1);
        home.handle(now, Event::HeldCount(ENTRY, 1));
        home.handle(now, Event::Tick);
    }
    assert_eq!(home.permits(), 0);
}

#[test]
fn the_bound_counts_the_load_of_other_shards() {
    let (mut home, now) = home(2, 100, settings());
    assert_eq!(home.bound(now), 1);
    home.handle(now, Event::OtherShardLoad(Tag(2), ShardLoad { load: 39, engines: 2 }));
    assert_eq!(home.bound(now), bound_of(1.25, 40, 4));
    let later = now + Duration::from_secs(6);
    assert_eq!(home.bound(later), 1, "an old load no longer counts");
}

#[test]
fn a_full_shard_spills_requests_that_may_spill() {
    let (mut home, now) = home(1, 1, settings());
    request_now(&mut home, now, request(1, 1));
    assert_eq!(
        request_now(&mut home, now, PermitRequest { may_spill: true, ..request(2, 2) }),
        Some(Reply::Spill)
    );
}

#[test]
fn contexts_of_a_leaving_engine_move_to_the_next_engines_of_its_chats() {
    let (mut home, now) = home(4, 8, settings());
    for number in 0..40 {
        let hinted = PermitRequest { hint: Some(Tag(1)), ..request(number, number) };
        assert_eq!(request_now(&mut home, now, hinted), Some(Reply::Granted(Tag(1))));
        home.handle(now, release(number));
    }
    assert!(home.context_moves(now, 10).is_empty(), "no engine is leaving");
    home.handle(now, Event::ListedLeaving(Tag(1), true));
    let moves: Vec<_> =
        std::iter::from_fn(|| Some(home.context_moves(now, 15)).filter(|m| !m.is_empty()))
            .collect();
    assert_eq!(
        moves.iter().map(Vec::len).collect::<Vec<_>>(),
        [15, 15, 10],
        "at most 15 moves at once, and each once"
    );
    let first = moves[0][0];
    assert!(moves.iter().flatten().all(|m| m.from == Tag(1) && m.to != Tag(1)));
    home.handle(now, Event::ContextsMoved(vec![(first.chat, first.from, first.to)]));
    let returning = PermitRequest { chat: first.chat, ..request(100, 0) };
    assert_eq!(request_now(&mut home, now, returning), Some(Reply::Granted(first.to)));
    // The location of a chat that is no longer on the engine does not change.
    home.handle(
        now,
        Event::ContextsMoved(vec![(first.chat, Tag(1), Tag(3)), (first.chat, Tag(1), Tag(4))]),
    );
    assert_eq!(home.explain(now, first.chat).0, Some(first.to));
}

#[test]
fn moves_from_an_engine_are_cancelled_after_a_failure() {
    let (mut home, now) = home(3, 8, settings());
    for number in 0..20 {
        request_now(
            &mut home,
            now,
            PermitRequest { hint: Some(Tag(1)), ..request(number, number) },
        );
        home.handle(now, release(number));
    }
    home.handle(now, Event::AnnouncedLeaving(Tag(1), true));
    assert_eq!(home.context_moves(now, 5).len(), 5);
    home.handle(now, Event::ContextsNotMoved(Tag(1)));
    assert!(home.context_moves(now, 5).is_empty());
    home.handle(now, Event::AnnouncedLeaving(Tag(1), false));
    home.context_moves(now, 5);
    home.handle(now, Event::AnnouncedLeaving(Tag(1), true));
    assert_eq!(
        home.context_moves(now, 5).len(),
        5,
        "the moves start again when the engine leaves again"
    );
}
