//! Drained, killed and suspended router processes; leaving backend servers.

use std::{net::TcpStream, thread, time::Duration};

use cartvane::{
    clock::Clock,
    link::http1::Conn,
    platform::{Member, MemberKind, MemberState},
};
use rustix::process::Signal;
use standins::{
    caller::Answer,
    fault::Fault,
    fleet::{Fleet, any_port},
    model::{ChatRequest, read_events},
    server::RUN_HEADER,
};

use crate::support::{chat, chat_call, eventually, fleet, plain_call, send, small};

fn fleet_with_step(step_ms: u64) -> Fleet {
    let mut spec = small();
    spec.engine.step = Duration::from_millis(step_ms);
    spec.plain_lines = "non_idempotent = [\"POST /once/*\"]".to_owned();
    fleet(spec)
}

fn assert_complete(response: &Answer, chat: &ChatRequest) {
    let events = read_events(&response.text());
    assert!(response.whole && events.done, "{}", response.text());
    assert_eq!(events.text, chat.expected_answer());
}

fn in_flight(fleet: &Fleet, router: usize) -> u32 {
    fleet.status(router).map_or(0, |status| {
        let own = status.instances.iter().find(|i| i.id.as_str() == fleet.routers[router].id);
        own.map_or(0, |i| i.requests)
    })
}

/// Drains router 1 by `drain` while streams and a persistent connection are open, and checks that no request is cut.
fn check_drain(drain: impl Fn(&Fleet)) {
    let mut fleet = fleet_with_step(40);
    let callers = fleet.routers[1].callers;
    let mut persistent =
        Conn::connect(callers, Duration::from_secs(1), &Clock::system()).expect("a connection");
    assert_eq!(plain_call("/x", "before").send_on(&mut persistent).status, 200);
    let chats: Vec<ChatRequest> = (0..5).map(|n| chat(&format!("drained {n}"), 30)).collect();
    thread::scope(|scope| {
        let fleet_ref = &fleet;
        let streams: Vec<_> = chats
            .iter()
            .map(|chat| scope.spawn(move || send(fleet_ref, 1, &chat_call(chat))))
            .collect();
        eventually("the streams are in flight", || in_flight(&fleet, 1) == 5);
        drain(&fleet);
        eventually("the draining router is not ready", || !fleet.is_ready(1));
        // The platform's load balancer lags: requests on new and on persistent connections still get responses.
        let late = send(&fleet, 1, &plain_call("/x", "late"));
        assert_eq!((late.status, late.header("connection")), (200, "close"));
        let last = plain_call("/x", "on the kept connection").send_on(&mut persistent);
        assert_eq!((last.status, last.header("connection")), (200, "close"));
        for (stream, chat) in streams.into_iter().zip(&chats) {
            assert_complete(&stream.join().expect("a response"), chat);
        }
    });
    assert_eq!(
        fleet.routers[1].wait(Duration::from_secs(10)),
        Some(0),
        "the drained router exits by itself, with status 0"
    );
    assert!(TcpStream::connect(callers).is_err());
    eventually("all permits are released", || {
        fleet.status(0).is_ok_and(|s| {
            let shards = s.instances.iter().flat_map(|i| &i.shards);
            shards.flat_map(|s| &s.engines).all(|e| e.permits == 0)
        })
    });
}

#[test]
fn a_signal_drains_and_cuts_no_request() {
    check_drain(|fleet| fleet.routers[1].signal(Signal::TERM));
}

#[test]
fn an_operators_drain_cuts_no_request() {
    check_drain(|fleet| {
        let _: serde_json::Value =
            fleet.post(0, "/v1/drain?target=router-01", "").expect("drained");
    });
}

#[test]
fn a_second_signal_stops_the_router_at_once() {
    let mut fleet = fleet_with_step(100);
    let chat = chat("never ends", 1000);
    thread::scope(|scope| {
        let fleet_ref = &mut fleet;
        let callers = fleet_ref.routers[1].callers;
        let call = chat_call(&chat);
        let stream = scope.spawn(move || call.send(callers));
        eventually("the stream is in flight", || in_flight(fleet_ref, 1) == 1);
        fleet_ref.routers[1].signal(Signal::TERM);
        eventually("the draining router is not ready", || !fleet_ref.is_ready(1));
        fleet_ref.routers[1].signal(Signal::TERM);
        assert_eq!(
            fleet_ref.routers[1].wait(Duration::from_secs(5)),
            Some(1),
            "the exit status shows that a request was cut"
        );
        let response = stream.join().expect("a response");
        assert!(!response.whole, "the cut response is not complete");
    });
}

#[test]
fn a_killed_router_cuts_only_its_own_callers_and_its_permits_are_released() {
    let mut fleet = fleet_with_step(40);
    let chats: Vec<ChatRequest> = (0..4).map(|n| chat(&format!("kill {n}"), 40)).collect();
    let call_to =
        |router: usize, chat: &ChatRequest| (fleet.routers[router].callers, chat_call(chat));
    let (kept, lost) = (call_to(0, &chats[0]), call_to(1, &chats[1]));
    thread::scope(|scope| {
        let kept = scope.spawn(move || kept.1.send(kept.0));
        let lost = scope.spawn(move || lost.1.send(lost.0));
        eventually("both requests are in flight", || {
            in_flight(&fleet, 0) + in_flight(&fleet, 1) == 2
        });
        fleet.routers[1].kill();
        assert_complete(&kept.join().expect("a response"), &chats[0]);
        assert!(!lost.join().expect("a response").whole);
    });
    assert_complete(&send(&fleet, 0, &chat_call(&chats[2])), &chats[2]);
    eventually("the permits of the killed router are released", || {
        fleet.status(0).is_ok_and(|s| {
            let shards = s.instances.iter().flat_map(|i| &i.shards);
            shards.flat_map(|s| &s.engines).all(|e| e.permits == 0)
        })
    });
}

#[test]
fn a_request_with_a_key_never_runs_twice_when_its_router_is_killed() {
    // The fault at the backend server and the pause decide at which step of the request the router is killed.
    let steps = [
        Fault::Late(Duration::from_millis(400)),
        Fault::CloseAfterRun,
        Fault::StallHead(Duration::from_secs(2)),
        Fault::None,
    ];
    let mut fleet = fleet_with_step(5);
    for (at, fault) in steps.into_iter().enumerate() {
        for pause_ms in [0, 15, 60] {
            let id = format!("death-{at}-{pause_ms}");
            let call =
                plain_call("/again/x", &id).with(RUN_HEADER, &id).with("idempotency-key", &id);
            let callers = fleet.routers[1].callers;
            fleet.faults.push([fault]);
            let first = call.clone();
            let sent = thread::spawn(move || first.send(callers));
            thread::sleep(Duration::from_millis(pause_ms));
            fleet.routers[1].kill();
            sent.join().expect("the caller returns");
            fleet.faults.clear();
            let again = send(&fleet, 0, &call);
            let runs: u32 = fleet.plains.values().map(|plain| plain.runs.of(&id)).sum();
            assert!(runs <= 1, "{id}: {runs} runs");
            match again.status {
                200 => assert_eq!(runs, 1, "{id}"),
                409 => assert_eq!(again.outcome(), "unknown", "{id}"),
                other => panic!("{id}: {other} {}", again.text()),
            }
            fleet.replace_router(1, &format!("router-{at}-{pause_ms}")).expect("a new router");
            eventually("the new router is ready", || fleet.is_ready(1));
        }
    }
}

#[test]
fn a_suspended_home_is_bypassed_and_responds_again_later() {
    let fleet = fleet_with_step(5);
    // Whichever router is the home, one of the two cases suspends it.
    for suspended in [0, 1] {
        let other = 1 - suspended;
        fleet.routers[suspended].signal(Signal::STOP);
        let chat = chat(&format!("frozen {suspended}"), 5);
        let response = send(&fleet, other, &chat_call(&chat));
        fleet.routers[suspended].signal(Signal::CONT);
        assert_complete(&response, &chat);
        eventually("the resumed router responds again", || {
            send(&fleet, suspended, &chat_call(&chat)).whole
        });
    }
}

fn member(fleet: &Fleet, id: &str, state: MemberState) -> Member {
    let zone = fleet.spec.zones[0].parse().expect("a zone");
    Member { id: id.to_owned(), kind: MemberKind::BackendServer, address: any_port(), zone, state }
}

/// Streams from engine-00 while it leaves by `leave`, and checks that it gets no new request from 3 s after that on and
/// that the stream is complete.
fn check_leaving_engine(leave: impl Fn(&Fleet)) {
    let fleet = fleet_with_step(20);
    let long = chat("in flight when the engine leaves", 100);
    thread::scope(|scope| {
        let stream =
            scope.spawn(|| send(&fleet, 0, &chat_call(&long).with("cartvane-chat", "long")));
        eventually("the stream is in flight", || fleet.engines.values().any(|e| e.load() > 0));
        let (id, _) =
            fleet.engines.iter().find(|(_, e)| e.load() > 0).expect("an engine with load");
        assert_eq!(id, "engine-00", "the stream runs on the engine that leaves");
        leave(&fleet);
        thread::sleep(Duration::from_secs(3));
        let before = fleet.engines["engine-00"].prompt_tokens().0;
        for n in 0..12 {
            let chat = chat(&format!("new {n}"), 3);
            assert_complete(&send(&fleet, n % 2, &chat_call(&chat)), &chat);
        }
        assert_eq!(
            fleet.engines["engine-00"].prompt_tokens().0,
            before,
            "the leaving engine got no new request"
        );
        assert_complete(&stream.join().expect("a response"), &long);
    });
}

#[test]
fn an_engine_listed_as_leaving_gets_no_new_requests_and_is_not_cut() {
    check_leaving_engine(|fleet| {
        fleet.platform.set_member(member(fleet, "engine-00", MemberState::Leaving))
    });
}

#[test]
fn an_engine_that_operators_drain_gets_no_new_requests_and_is_not_cut() {
    check_leaving_engine(|fleet| {
        let _: serde_json::Value =
            fleet.post(1, "/v1/drain?target=engine-00", "").expect("drained");
    });
}

#[test]
fn an_engine_that_announces_that_it_is_leaving_gets_no_new_requests_and_is_not_cut() {
    check_leaving_engine(|fleet| fleet.engines["engine-00"].set_leaving(true));
}
