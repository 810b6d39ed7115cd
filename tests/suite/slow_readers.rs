//! The budget of buffered bytes: callers that read or send slowly neither fill the memory of an instance nor keep
//! others out, and no response that was cut looks complete.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    gateway::{Gateway, buffers::RELAY_WINDOW},
    names::TeamName,
    routing::{BufferBudget, BufferClaim, BufferDenial, BufferKind},
};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::{Value, json};
use standins::{
    caller::Call,
    fault::Fault,
    listed::{EVENTS, large_body, large_event},
};

use crate::{
    support::eventually,
    testbed::{KEY, Testbed, call, intent, start_holding},
};

const OTHER_KEY: &str = "key-of-port";

/// An answer that is larger than the kernel's buffers of both sides.
const LARGE: usize = 3 << 20;

/// Receive buffer of slow callers in bytes. With less than a segment of the loopback device, 64 KiB, the kernel would
/// pause between segments.
const RECEIVE_BUFFER: usize = 128 << 10;

fn two_teams() -> Value {
    let mut intent = intent(5);
    intent["limits"]["max_body_bytes"] = 1_000_000.into();
    intent["tenants"] = json!([
        {"name": "crew", "api_keys": [KEY], "priority": 3},
        {"name": "port", "api_keys": [OTHER_KEY], "priority": 3}
    ]);
    intent
}

fn is_released(testbed: &Testbed) -> impl FnMut() -> bool + '_ {
    || testbed.instance.gateway().buffers.total() == 0
}

/// Sends a call whose response is not read.
fn send_only(testbed: &Testbed, call: &Call) -> TcpStream {
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER).expect("a small buffer");
    stream.write_all(&call.bytes()).expect("sent");
    stream
}

/// Reads a response with a pause before each read of 64 KiB; returns its head and body, and how it ended.
fn read_slowly(mut stream: TcpStream, pause: Duration) -> (String, Vec<u8>, std::io::Result<()>) {
    let mut bytes = Vec::new();
    let mut buf = vec![0; 64 << 10];
    let end = loop {
        thread::sleep(pause);
        match stream.read(&mut buf) {
            Ok(0) => break Ok(()),
            Ok(count) => bytes.extend_from_slice(&buf[..count]),
            Err(error) => break Err(error),
        }
    };
    let split = bytes.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    let body = bytes.split_off(split);
    (String::from_utf8_lossy(&bytes).into_owned(), body, end)
}

/// Runs `act` and returns the greatest numbers of bytes held meanwhile: in total, and for responses.
fn peak(gateway: &Arc<Gateway>, act: impl FnOnce()) -> (u64, u64) {
    let (gateway, ended) = (Arc::clone(gateway), Arc::new(AtomicBool::new(false)));
    let stop = Arc::clone(&ended);
    let sampler = thread::spawn(move || {
        let mut peak = (0, 0);
        while !stop.load(Ordering::SeqCst) {
            peak.0 = peak.0.max(gateway.buffers.total());
            peak.1 = peak.1.max(gateway.buffers.held(BufferKind::Response));
            thread::sleep(Duration::from_millis(1));
        }
        peak
    });
    act();
    ended.store(true, Ordering::SeqCst);
    sampler.join().expect("the sampler")
}

/// Guards against memory that grows with the number of callers that read nothing, and against other callers that wait
/// for them.
#[test]
fn callers_that_read_nothing_leave_the_held_bytes_flat_and_others_are_served() {
    let budget = 2 << 20;
    let testbed = start_holding(2, budget, &two_teams());
    let mut stalled = Vec::new();
    for count in [10, 60] {
        let (total, responses) = peak(testbed.instance.gateway(), || {
            let target = format!("/idem/?bytes={LARGE}");
            let large = |i| call(&target, &format!("l{count}-{i}")).with("connection", "close");
            let mut unread: Vec<TcpStream> =
                (0..count).map(|i| send_only(&testbed, &large(i))).collect();
            eventually("all have reached a server", || {
                (0..count).all(|i| testbed.runs(&format!("l{count}-{i}")) > 0)
            });
            for i in 0..20 {
                let answer = testbed.send(&call("/idem/", &format!("o{count}-{i}")));
                assert_eq!(answer.status, 200, "{i} with {count} slow callers");
            }
            stalled.extend(unread.pop());
            for stream in unread.into_iter().take(3) {
                let (head, body, _) = read_slowly(stream, Duration::ZERO);
                let cut = body.len() < LARGE;
                assert!(!cut || head.contains("content-length"), "a cut can be seen: {head}");
            }
        });
        assert!(responses <= budget / 2, "{responses} of responses with {count}");
        // The other requests hold theirs until shortly after they have been answered.
        let requests = (count as u64 + 20) * (RELAY_WINDOW + call("/", "").body.len()) as u64;
        assert!(total <= budget / 2 + requests, "{total} with {count}");
        // Callers that still read nothing are cut off.
        eventually("all bytes are released", is_released(&testbed));
    }
}

/// Guards against a response that is cut because its caller is slow: by the request's deadline, by the budget, or since
/// the kernel shows progress only in large steps.
#[test]
fn a_caller_that_reads_slowly_but_steadily_gets_the_whole_answer() {
    for (budget, query) in [(64 << 10, ""), (64 << 10, "&chunked=1"), (64 << 20, "")] {
        let testbed = start_holding(1, budget, &intent(5));
        let target = format!("/idem/?bytes={LARGE}{query}");
        let call = call(&target, "r").with("connection", "close").with("x-deadline-ms", 500);
        let began = Instant::now();
        let stream = send_only(&testbed, &call);
        let (head, body, end) = read_slowly(stream, Duration::from_millis(20));
        end.expect("a regular end");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert!(began.elapsed() > Duration::from_millis(500), "the caller was slow");
        let chunked = head.contains("transfer-encoding: chunked");
        assert_eq!(chunked, !query.is_empty(), "{head}");
        let body = if chunked { unchunk(&body) } else { body };
        assert!(body == large_body(LARGE), "{} bytes with {budget} {query}", body.len());
        eventually("all bytes are released", is_released(&testbed));
    }
}

fn unchunk(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let line = bytes.windows(2).position(|two| two == b"\r\n").expect("a chunk's size");
        let size = std::str::from_utf8(&bytes[..line]).expect("text");
        let size = usize::from_str_radix(size, 16).expect("a size");
        body.extend_from_slice(&bytes[line + 2..line + 2 + size]);
        bytes = &bytes[line + 4 + size..];
        if size == 0 {
            assert!(bytes.is_empty(), "nothing follows the last chunk");
            return body;
        }
    }
}

/// Guards against a server that cuts off a response since its caller pauses, although the budget has room by then.
#[test]
fn a_response_whose_caller_pauses_is_read_ahead_as_soon_as_there_is_room() {
    let testbed = start_holding(1, 8 << 20, &intent(5));
    let gateway = testbed.instance.gateway();
    let mut others = gateway.buffers.hold(None, false);
    others.reserve(BufferKind::Response, 4 << 20).expect("all that responses may take");
    let large = call(&format!("/idem/?bytes={LARGE}"), "r").with("connection", "close");
    let stream = send_only(&testbed, &large);
    // With no room to collect it, its head is passed on before the rest has been read.
    stream.peek(&mut [0]).expect("a head");
    drop(others);
    eventually("it is read ahead", || {
        gateway.buffers.held(BufferKind::Response) > LARGE as u64 / 2
    });
    let (_, body, end) = read_slowly(stream, Duration::ZERO);
    end.expect("a regular end");
    assert!(body == large_body(LARGE), "{} bytes", body.len());
    eventually("all bytes are released", is_released(&testbed));
}

/// Guards against a truncated response that a caller takes for a complete one, and against the loss of retries where
/// the budget has room.
#[test]
fn a_response_that_breaks_off_is_retried_where_there_is_room_and_never_looks_complete() {
    for (budget, whole) in [(1 << 20, true), (64 << 10, false)] {
        for query in ["", "&chunked=1"] {
            let testbed = start_holding(2, budget, &intent(5));
            testbed.servers[0].faults.push([Fault::CutBody]);
            let answer = testbed.send(&call(&format!("/idem/?bytes=300000{query}"), "r"));
            assert_eq!(answer.whole, whole, "budget {budget} {query}");
            assert_eq!(testbed.runs("r"), if whole { 2 } else { 1 }, "budget {budget} {query}");
            assert!(!whole || answer.body == large_body(300_000), "budget {budget} {query}");
            eventually("all bytes are released", is_released(&testbed));
        }
    }
}

/// Guards against a caller of HTTP/1.0, which knows the end of a body without a length only by the connection's end.
#[test]
fn a_response_without_a_length_that_breaks_off_resets_an_http_1_0_caller() {
    let testbed = start_holding(1, 64 << 10, &intent(5));
    testbed.fault(Fault::CutBody);
    let call = call("/idem/?bytes=300000&chunked=1", "r");
    let bytes = String::from_utf8(call.bytes()).expect("text").replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    stream.write_all(bytes.as_bytes()).expect("sent");
    let (head, _, end) = read_slowly(stream, Duration::ZERO);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(end.expect_err("a reset").kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against events of any size that are collected beyond the budget, and against a stream that is resumed after a
/// part of an event, so that the caller takes two halves for one event.
#[test]
fn large_events_are_passed_on_in_parts_where_there_is_no_room_and_then_not_resumed() {
    let target = "/stream-resumable/?bytes=60000";
    let all: String = (1..=EVENTS).map(|number| large_event(number, 60_000)).collect();
    for (budget, has_room) in [(1 << 20, true), (30 << 10, false)] {
        let testbed = start_holding(2, budget, &intent(5));
        let answer = testbed.send(&call(target, "whole"));
        assert!(answer.whole && answer.text() == all, "{} bytes", answer.body.len());
        testbed.servers[0].faults.push([Fault::BreakAfter(3)]);
        let answer = testbed.send(&call(target, "broken"));
        let is_prefix = all.as_bytes().starts_with(&answer.body);
        assert!(is_prefix, "{} bytes are not what the server sent", answer.body.len());
        assert_eq!(answer.whole, has_room, "budget {budget}");
        eventually("all bytes are released", is_released(&testbed));
    }
}

/// Guards against a stream that is cut at its deadline because its caller reads slowly.
#[test]
fn a_caller_that_reads_a_stream_slowly_gets_all_events() {
    let testbed = start_holding(1, 64 << 10, &intent(5));
    let call = call("/stream/?bytes=1000000", "r").with("connection", "close");
    let began = Instant::now();
    let stream = send_only(&testbed, &call);
    let (_, body, end) = read_slowly(stream, Duration::from_millis(30));
    end.expect("a regular end");
    assert!(
        began.elapsed() > Duration::from_secs(3),
        "the stream takes longer than the route allows"
    );
    let all: String = (1..=EVENTS).map(|number| large_event(number, 1_000_000)).collect();
    assert!(unchunk(&body) == all.as_bytes(), "{} bytes", body.len());
    eventually("all bytes are released", is_released(&testbed));
}

/// Guards against slow callers of one team that take the memory of all.
#[test]
fn slow_bodies_of_one_team_leave_room_for_another_and_are_refused_at_once() {
    let budget = 1 << 20;
    let testbed = start_holding(1, budget, &two_teams());
    let head = |key: &str, id: usize, length: usize| {
        format!(
            "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: h{id}\r\n\
             authorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n"
        )
    };
    let (total, _) = peak(testbed.instance.gateway(), || {
        let begin_slowly = |id: usize| {
            let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
            let begun = format!("{}{}", head(KEY, id, 60_000), "x".repeat(50_000));
            // A refused caller may find its connection closed.
            let _ = stream.write_all(begun.as_bytes());
            stream
        };
        let mut slow: Vec<TcpStream> = (100..140).map(begin_slowly).collect();
        let held = || testbed.instance.gateway().buffers.total();
        eventually("three quarters are held", || {
            // Callers that are refused at the same moment leave room for further ones.
            slow.push(begin_slowly(100 + slow.len()));
            held() > budget / 4 * 3 - 80_000
        });
        let mut refused = TcpStream::connect(testbed.instance.callers()).expect("connected");
        refused.write_all(head(KEY, 99, 400_000).as_bytes()).expect("sent");
        refused.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        let mut response = [0; 512];
        let count = refused.read(&mut response).expect("refused before its body is sent");
        let response = String::from_utf8_lossy(&response[..count]);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after"), "{response}");
        for i in 0..10 {
            let body = vec![b'x'; 100_000];
            let other = Call::post("/idem/", OTHER_KEY, body).with("x-request-id", i);
            assert_eq!(testbed.send(&other).status, 200, "{i}");
        }
    });
    assert!(total <= budget, "{total}");
    assert_eq!(testbed.runs("h99"), 0, "a refused request has not run");
    eventually("all bytes are released", is_released(&testbed));
}

/// Guards the decision against any order of claims and releases.
#[test]
fn the_budget_holds_its_limits_for_any_order_of_claims() {
    const MAX: u64 = 1000;
    let config = Config { cases: 256, rng_seed: RngSeed::Fixed(31), ..Config::default() };
    let team = |number: u64| -> Option<TeamName> {
        (number > 0).then(|| format!("t{number}").parse().expect("a name"))
    };
    let steps = proptest::collection::vec((0..3_usize, 0..4_u64, 1..200_u64, 0..3_usize), 1..200);
    TestRunner::new(config)
        .run(&steps, |steps| {
            let mut budget = BufferBudget::new(MAX);
            let mut held: Vec<(BufferKind, Option<TeamName>, u64)> = Vec::new();
            for (kind, number, bytes, release) in steps {
                if release == 0 && !held.is_empty() {
                    let (kind, team, bytes) = held.swap_remove(bytes as usize % held.len());
                    budget.release(kind, &team, bytes);
                    continue;
                }
                let (kind, team) = (BufferKind::ALL[kind], team(number));
                let before = (budget.total(), budget.held_by(&team));
                let claim = BufferClaim { kind, team: &team, bytes, has_other_teams: true };
                let reserved = budget.reserve(&claim);
                let fits = before.0 + bytes <= MAX;
                match reserved {
                    Ok(()) => {
                        assert!(fits && (budget.total() <= 750 || budget.held_by(&team) <= 500));
                        held.push((kind, team.clone(), bytes));
                    }
                    Err(BufferDenial::TeamShare) => assert!(fits && before.0 + bytes > 750),
                    Err(BufferDenial::Full) => assert!(!fits || kind != BufferKind::Request),
                }
                let answers = budget.held(BufferKind::Response) + budget.held(BufferKind::Stream);
                assert!(answers <= MAX / 2 && budget.total() <= MAX);
            }
            for (kind, team, bytes) in held {
                budget.release(kind, &team, bytes);
            }
            assert_eq!(budget.total(), 0);
            Ok(())
        })
        .expect("the limits hold");
}
