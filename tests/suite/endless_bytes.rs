//! Servers whose bytes come without end, fast or a few at a time: other servers serve their requests, and what is read
//! and held of the bytes is bounded.

use std::{
    cell::Cell,
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    link::{
        call::{CallTimeouts, call as call_with},
        conn_pool::{Call, ConnPool},
        http1::{Conn, HeadError, ResponseHead, conn::ConnState},
    },
};
use http::Method;
use standins::{
    endless::{Endless, EndlessKind, EndlessSent},
    fault::Fault,
    listed::{Listed, events, expected},
};

use crate::{
    log_lines,
    support::eventually,
    testbed::{Testbed, call, start, start_sharing},
};

/// Time that the tests' callers wait.
const CALLER_WAITS: Duration = Duration::from_secs(2);

/// Most bytes that an instance reads of one connection, and the kernel's buffers at both ends of it.
const BYTES_MAX: usize = 16 << 20;

fn all() -> impl Iterator<Item = Endless> {
    let paces = [false, true].into_iter();
    paces.flat_map(|is_slow| EndlessKind::ALL.map(|kind| Endless { kind, is_slow }))
}

/// Returns the id of the request that gets these bytes.
fn id_of(endless: Endless) -> String {
    format!("{:?}-{}", endless.kind, endless.is_slow)
}

/// Returns what servers sent without end, once each connection is closed.
fn sent(testbed: &Testbed, count: usize) -> Vec<EndlessSent> {
    let all = || testbed.servers.iter().flat_map(|server| server.endless_sent());
    eventually("the servers' connections are closed", || all().count() >= count);
    all().collect()
}

// Guards against requests that wait for a server whose bytes never end, until their deadline has passed.
#[test]
fn an_idempotent_request_is_served_by_another_server() {
    let testbed = start_sharing(4);
    let mut late = Vec::new();
    for endless in all() {
        testbed.servers[0].faults.push([Fault::Endless(endless)]);
        let id = id_of(endless);
        let target = format!("/idem/{:?}", endless.kind);
        let began = Instant::now();
        let answer = testbed.send(&call(&target, &id));
        let body = match endless.kind {
            EndlessKind::AfterAnswer => "abc".to_owned(),
            _ => expected(&target, b"some body"),
        };
        if (answer.status, answer.text()) != (200, body) || began.elapsed() >= CALLER_WAITS {
            late.push((endless, answer.status, answer.text(), began.elapsed()));
        }
        testbed.servers[0].faults.clear();
    }
    assert!(late.is_empty(), "{late:#?}");
}

// Guards against bytes that are read for as long as they come, and connections that stay open.
#[test]
fn the_connection_is_closed_and_little_is_read() {
    let mut faults = Vec::new();
    for endless in all() {
        let testbed = start_sharing(2);
        testbed.servers[0].faults.push([Fault::Endless(endless)]);
        testbed.send(&call("/idem/x", "r0"));
        let sent = sent(&testbed, 1);
        let is_bounded = |sent: &EndlessSent| {
            sent.bytes < BYTES_MAX
                && sent.closed_after.is_some_and(|after| after < CALLER_WAITS * 2)
        };
        if !sent.iter().all(is_bounded) {
            faults.push((endless, sent));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a pooled connection that nobody looks at until it is used again.
#[test]
fn a_pooled_connection_on_which_bytes_arrive_is_closed() {
    for is_slow in [false, true] {
        let testbed = start_sharing(2);
        let late = Endless { kind: EndlessKind::LongAfterAnswer, is_slow };
        testbed.servers[0].faults.push([Fault::Endless(late)]);
        assert_eq!(testbed.send(&call("/idem/x", "r0")).text(), "abc", "{late:?}");
        let sent = sent(&testbed, 1)[0];
        assert!(sent.bytes < BYTES_MAX, "{late:?}: {sent:?}");
        assert!(
            sent.closed_after.is_some_and(|after| after < CALLER_WAITS * 2),
            "{late:?}: {sent:?}"
        );
    }
}

// Guards against the same on connections to the store and to instances, and against a check that closes sound ones.
#[test]
fn a_pool_for_calls_closes_a_connection_on_which_bytes_arrive_and_no_other() {
    let late = Endless { kind: EndlessKind::LongAfterAnswer, is_slow: true };
    let timeouts = CallTimeouts { head: CALLER_WAITS, stall: CALLER_WAITS, total: CALLER_WAITS };
    let server = Listed::spawn("s0").expect("a server");
    let pool = ConnPool::new(Clock::system(), CALLER_WAITS);
    let connects = Cell::new(0);
    let message = |is_first| {
        connects.update(|count| count + usize::from(is_first));
        b"GET /idem/x HTTP/1.1\r\nhost: s0\r\nx-request-id: r\r\n\r\n".to_vec()
    };
    let call = Call {
        method: Method::GET,
        message: &message,
        timeouts,
        reply_max: 1 << 20,
        may_retry: |_| false,
    };
    pool.call(server.address(), &call).expect("a reply");
    pool.close_unusable();
    server.faults.push([Fault::Endless(late)]);
    assert_eq!(pool.call(server.address(), &call).expect("a reply").body, b"abc");
    assert_eq!(connects.get(), 1, "a connection on which nothing arrived is used again");
    thread::sleep(Duration::from_millis(300));
    pool.close_unusable();
    eventually("the connection is closed", || server.endless_sent().len() == 1);
    let after = server.endless_sent()[0].closed_after;
    assert!(after.is_some_and(|after| after < CALLER_WAITS), "{after:?}");
}

// Guards against a request that may run once and runs twice, and against an answer that looks whole and is not.
#[test]
fn a_request_that_may_run_once_gets_the_truth() {
    let testbed = start_sharing(4);
    for endless in all() {
        testbed.servers[0].faults.push([Fault::Endless(endless)]);
        let id = id_of(endless);
        let answer = testbed.send(&call("/once/x", &id));
        testbed.servers[0].faults.clear();
        assert_eq!(testbed.runs(&id), 1, "{endless:?}");
        match endless.kind {
            EndlessKind::AfterAnswer => assert_eq!(answer.text(), "abc", "{endless:?}"),
            _ => assert!([502, 504].contains(&answer.status), "{endless:?}: {}", answer.status),
        }
    }
}

// Guards against a stream that ends as if it were whole after bytes that are no events of it.
#[test]
fn a_stream_is_whole_or_visibly_broken() {
    let testbed = start_sharing(4);
    for endless in all() {
        testbed.servers[0].faults.push([Fault::Endless(endless)]);
        let answer = testbed.send(&call("/stream-resumable/x", &id_of(endless)));
        testbed.servers[0].faults.clear();
        let is_own = answer.text() == "abc" && endless.kind == EndlessKind::AfterAnswer;
        let is_whole = answer.status == 200 && answer.whole;
        assert!(!is_whole || is_own || answer.text() == events(1), "{endless:?}: {answer:?}");
    }
}

// Guards against a server that fails its requests this way and goes on to get its share.
#[test]
fn a_server_whose_bytes_never_end_is_avoided_and_the_log_says_why() {
    const REQUESTS: usize = 40;
    for kind in [
        EndlessKind::NoLineEnd,
        EndlessKind::Interim,
        EndlessKind::ForeignBody,
        EndlessKind::NoChunk,
    ] {
        let testbed = start(4);
        let fault = Fault::Endless(Endless { kind, is_slow: false });
        testbed.servers[0].faults.set_standing(Some(fault));
        for number in 0..REQUESTS {
            let id = format!("avoided-{kind:?}-{number}");
            assert_eq!(testbed.send(&call("/idem/x", &id)).status, 200, "{id}");
        }
        let runs = testbed.servers[0].total_runs();
        assert!(runs < 8, "{kind:?}: {runs} of {REQUESTS} requests");
        let lines = log_lines::matching(&[&format!("request=avoided-{kind:?}-")]);
        let is_said = |line: &str| line.contains("event=attempt_failed") && line.contains("fault=");
        assert!(lines.lines().any(is_said), "{kind:?}: {lines}");
    }
}

// Guards against calls to the store, or to other instances, that never end, and against interim responses without end.
#[test]
fn a_call_ends_in_time() {
    let timeouts = CallTimeouts {
        head: Duration::from_millis(300),
        stall: Duration::from_millis(300),
        total: Duration::from_secs(1),
    };
    for endless in all() {
        let server = Listed::spawn("s0").expect("a server");
        server.faults.push([Fault::Endless(endless)]);
        let connect = Conn::connect(server.address(), Duration::from_secs(1), &Clock::system());
        let mut conn = connect.expect("a connection");
        let began = Instant::now();
        let message = b"GET /idem/x HTTP/1.1\r\nhost: s0\r\nx-request-id: r\r\n\r\n";
        let reply = call_with(&mut conn, &Method::GET, message, &timeouts, 1 << 20);
        let is_reusable = reply.as_ref().is_ok_and(|reply| reply.keep_alive);
        if is_reusable && !endless.is_slow {
            // The bytes may come after the answer was read: a pool looks at the connection before it is used again.
            eventually("the connection is not used again", || conn.state() != ConnState::Open);
        }
        drop(conn);
        let is_whole = match endless.kind {
            EndlessKind::AfterAnswer => true,
            EndlessKind::Foreign => !endless.is_slow,
            _ => false,
        };
        assert_eq!(reply.is_ok(), is_whole, "{endless:?}: {reply:?}");
        assert!(began.elapsed() < timeouts.total * 2, "{endless:?}: {:?}", began.elapsed());
    }
}

#[test]
fn interim_responses_count_as_part_of_the_head() {
    let server = Listed::spawn("s0").expect("a server");
    let interim = Endless { kind: EndlessKind::Interim, is_slow: false };
    server.faults.push([Fault::Endless(interim)]);
    let connect = Conn::connect(server.address(), Duration::from_secs(1), &Clock::system());
    let mut conn = connect.expect("a connection");
    let message = b"GET /idem/x HTTP/1.1\r\nhost: s0\r\nx-request-id: r\r\n\r\n";
    conn.send(message, Duration::from_secs(1)).expect("a request");
    let deadline = Instant::now() + Duration::from_secs(5);
    let read = ResponseHead::read(&mut conn, 64 << 10, deadline, &mut || true);
    assert!(matches!(read, Err(HeadError::TooLarge)), "{read:?}");
}
