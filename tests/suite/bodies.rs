//! Bodies that are too large for somebody, and answers that come before a body is in.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, Receiver},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    gateway::{GatewayHandle, settings::GatewaySettings},
    link::http1::Conn,
};
use standins::{caller::Call, fault::Fault};

use crate::{
    support::eventually,
    testbed::{KEY, call, intent, settings, spawn, start},
};

/// A body that no socket buffer holds, so that a caller is still sending it when it is refused.
const LARGE: usize = 8 << 20;

#[test]
fn a_caller_that_sends_too_much_reads_the_refusal() {
    let testbed = start(1);
    for chunked in [false, true] {
        let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
        let framing = if chunked { "transfer-encoding: chunked" } else { "content-length: 200000" };
        let head = format!(
            "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: r\r\n\
             authorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        let body = if chunked { format!("{:x}\r\n", 200_000) } else { String::new() };
        stream.write_all(format!("{body}{}", "x".repeat(200_000)).as_bytes()).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("the answer is not destroyed");
        assert!(answer.starts_with("HTTP/1.1 413"), "chunked {chunked}: {answer:?}");
    }
    assert_eq!(testbed.servers[0].total_runs(), 0);
}

/// The rest of the body comes only after the refusal is on its way, as from a caller behind a slow link.
#[test]
fn a_caller_that_goes_on_sending_after_its_refusal_reads_it() {
    let testbed = start(1);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let head = format!(
        "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: r\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 200000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.peek(&mut [0]).expect("the refusal is there");
    // Long enough for an instance that does not wait for the rest to have closed.
    thread::sleep(Duration::from_millis(50));
    for _ in 0..20 {
        stream.write_all(&[b'x'; 10_000]).expect("still taken");
        thread::sleep(Duration::from_millis(2));
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer is not destroyed");
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
}

#[test]
fn a_body_in_chunks_arrives_as_it_was_sent() {
    let testbed = start(1);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let request = format!(
        "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: r1\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nfirst\r\n7;ext=1\r\n second\r\n0\r\ntrailer: x\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    let arrived = testbed.servers[0].arrivals().pop().expect("an arrival");
    assert_eq!(arrived.body, b"first second");
    assert_eq!(arrived.head.header("transfer-encoding"), None);
    assert_eq!(arrived.head.header("content-length"), Some("12"));
}

#[test]
fn a_head_that_does_not_come_and_an_idle_connection_end_by_the_operators_limits() {
    let testbed = start(1);
    let mut shorter = intent(9);
    shorter["limits"]["header_timeout_ms"] = 200.into();
    shorter["limits"]["idle_timeout_ms"] = 300.into();
    testbed.store.put("op", "config", &shorter);
    // An instance that never knew other limits: callers that know longer ones are not cut off.
    let instance = spawn("two", testbed.store.address(), Vec::new());
    eventually("ready", || {
        instance.gateway().is_ready() && instance.gateway().cluster_state.version() == 9
    });
    let mut slow = TcpStream::connect(instance.callers()).expect("connected");
    slow.write_all(b"POST /idem/ HTTP/1.1\r\nhost: ").expect("sent");
    let mut answer = String::new();
    slow.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
    let mut idle = TcpStream::connect(instance.callers()).expect("connected");
    idle.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    assert_eq!(idle.read(&mut [0]).expect("closed, not silent"), 0);
}

/// What is not read may be sent again, also where it may run only once; so a request that comes while
/// its connection is about to close is left unread.
#[test]
fn a_request_that_crosses_a_close_is_not_read() {
    let testbed = start(1);
    testbed.fault(Fault::Late(Duration::from_millis(300)));
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    stream.write_all(&call("/once/", "r1").with("connection", "close").bytes()).expect("sent");
    eventually("the first is under way", || testbed.runs("r1") == 1);
    stream.write_all(&call("/once/", "r2").bytes()).expect("sent");
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer).expect_err("unread bytes reset the connection");
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    assert_eq!(testbed.runs("r2"), 0);
}

#[test]
fn a_head_without_end_is_refused_and_the_refusal_read() {
    let testbed = start(1);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let head = format!("POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-long: {}", "x".repeat(1 << 20));
    stream.write_all(head.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer is not destroyed");
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer:?}");
}

#[test]
fn bodies_are_bounded_together_and_their_room_is_given_back() {
    let testbed = start(1);
    let mut larger = intent(9);
    larger["limits"]["max_body_bytes"] = 1_000_000.into();
    testbed.store.put("op", "config", &larger);
    let settings = GatewaySettings {
        body_bytes: 100_000,
        ..settings("small", testbed.store.address(), Vec::new())
    };
    let instance = GatewayHandle::spawn(settings, &Clock::system()).expect("an instance");
    eventually("ready", || instance.gateway().is_ready());
    let send = |id: &str, bytes: usize| {
        Call { body: vec![b'x'; bytes], ..call("/idem/", id) }.send(instance.callers())
    };
    let refused = send("r1", 150_000);
    assert_eq!(refused.status, 503);
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(testbed.runs("r1"), 0);
    // A caller may have its answer a moment before its room is given back.
    let idle = || instance.gateway().usage.requests() == 0;
    for number in 0..5 {
        eventually("nothing is under way", idle);
        assert_eq!(send(&format!("s{number}"), 80_000).status, 200, "{number}");
    }
    eventually("nothing is under way", idle);
    let head = format!(
        "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: h\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 90000\r\n\r\n"
    );
    let until = Instant::now() + Duration::from_secs(20);
    let half = loop {
        eventually("nothing is under way", idle);
        let mut half = TcpStream::connect(instance.callers()).expect("connected");
        half.write_all(format!("{head}{}", "x".repeat(60_000)).as_bytes()).expect("sent");
        eventually("its head is read", || instance.gateway().usage.requests() == 1);
        if send("t", 80_000).status == 503 {
            break half;
        }
        // The other request came before its bytes, had the room, and this one was refused.
        assert!(Instant::now() < until, "not in time: the room is taken");
    };
    assert_eq!(send("u", 1_000).status, 200, "what fits still goes");
    drop(half);
    eventually("the room is given back", || send("v", 80_000).status == 200);
}

/// A backend server that answers `status` as soon as it has a head, and reads on once `goes_on` says so;
/// returns all that arrived behind that head.
///
/// If it read on at once, a body might be whole before its answer is seen, and the connection rightly be
/// used again.
fn answers_early(listener: TcpListener, status: u16, goes_on: Receiver<()>) -> JoinHandle<Vec<u8>> {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut seen = Vec::new();
        let mut buf = [0; 4096];
        let end = loop {
            let count = stream.read(&mut buf).expect("a head");
            seen.extend_from_slice(&buf[..count]);
            if let Some(at) = seen.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
        };
        let answer = format!(
            "HTTP/1.1 {status} Early\r\nx-request-id: r1\r\nx-response-seal: s\r\n\
             content-length: 5\r\nkeep-alive: timeout=5\r\n\r\nearly"
        );
        stream.write_all(answer.as_bytes()).expect("answered");
        goes_on.recv().expect("told to go on");
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1500)));
        let _ = stream.read_to_end(&mut seen);
        seen.split_off(end)
    })
}

#[test]
fn an_answer_before_the_body_is_in_is_passed_on_and_its_connection_not_used_again() {
    for status in [200, 413] {
        let testbed = start(1);
        let mut larger = intent(9);
        larger["limits"]["max_body_bytes"] = (2 * LARGE).into();
        testbed.store.put("op", "config", &larger);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        testbed.store.remove("servers", &testbed.servers[0].id);
        let mut entry = testbed.servers[0].entry("app", "ready");
        entry["address"] = address.to_string().into();
        testbed.store.put("servers", "early", &entry);
        let cluster_state = || {
            let gateway = testbed.instance.gateway();
            let listed = |id: &str| {
                gateway
                    .cluster_state
                    .with_servers(|r| r.servers().any(|s| s.id.server.as_str() == id))
            };
            gateway.cluster_state.version() == 9 && listed("early") && !listed("s0")
        };
        eventually("the server is known", cluster_state);
        let (go_on, goes_on) = mpsc::channel();
        let server = answers_early(listener, status, goes_on);
        let body: Vec<u8> = (0..LARGE).map(|at| (at % 251) as u8).collect();
        let large = Call { body: body.clone(), ..call("/once/", "r1") };
        let mut conn =
            Conn::connect(testbed.instance.callers(), Duration::from_secs(1), &Clock::system())
                .expect("a connection");
        let answer = large.send_on(&mut conn);
        assert_eq!((answer.status, answer.text().as_str()), (status, "early"));
        go_on.send(()).expect("the server waits");
        // A request that follows must not be taken for the rest of that body.
        let _ = call("/once/", "r2").send(testbed.instance.callers());
        let arrived = server.join().expect("the server");
        assert!(body.starts_with(&arrived), "{} bytes of something else", arrived.len());
    }
}
