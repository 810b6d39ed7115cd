//! Limits on request bodies, and responses that are sent before the body has been received.

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

/// A body larger than any socket buffer, so that the caller is still sending it when it is refused.
const LARGE: usize = 8 << 20;

#[test]
fn a_caller_whose_body_is_too_large_receives_the_refusal() {
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
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("the response is not lost");
        assert!(response.starts_with("HTTP/1.1 413"), "chunked {chunked}: {response:?}");
    }
    assert_eq!(testbed.servers[0].total_runs(), 0);
}

/// The rest of the body arrives only after the refusal was sent, as from a caller behind a slow link.
#[test]
fn a_caller_that_keeps_sending_after_its_refusal_receives_it() {
    let testbed = start(1);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let head = format!(
        "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: r\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 200000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.peek(&mut [0]).expect("the refusal has arrived");
    // By then an instance that does not wait for the rest of the body would have closed the connection.
    thread::sleep(Duration::from_millis(50));
    for _ in 0..20 {
        stream.write_all(&[b'x'; 10_000]).expect("still accepted");
        thread::sleep(Duration::from_millis(2));
    }
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the response is not lost");
    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
}

#[test]
fn a_chunked_body_arrives_as_it_was_sent() {
    let testbed = start(1);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let request = format!(
        "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: r1\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nfirst\r\n7;ext=1\r\n second\r\n0\r\ntrailer: x\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    let arrived = testbed.servers[0].arrivals().pop().expect("an arrival");
    assert_eq!(arrived.body, b"first second");
    assert_eq!(arrived.head.header("transfer-encoding"), None);
    assert_eq!(arrived.head.header("content-length"), Some("12"));
}

#[test]
fn a_missing_head_and_an_idle_connection_time_out_by_the_operators_limits() {
    let testbed = start(1);
    let mut shorter = intent(9);
    shorter["limits"]["header_timeout_ms"] = 200.into();
    shorter["limits"]["idle_timeout_ms"] = 300.into();
    testbed.store.put("op", "config", &shorter);
    // A new instance, as lowering the limits does not cut off callers that rely on the longer ones.
    let instance = spawn("two", testbed.store.address(), Vec::new());
    eventually("ready", || {
        instance.gateway().is_ready() && instance.gateway().cluster_state.version() == 9
    });
    let mut slow = TcpStream::connect(instance.callers()).expect("connected");
    slow.write_all(b"POST /idem/ HTTP/1.1\r\nhost: ").expect("sent");
    let mut response = String::new();
    slow.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 408"), "{response:?}");
    let mut idle = TcpStream::connect(instance.callers()).expect("connected");
    idle.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    assert_eq!(idle.read(&mut [0]).expect("closed by the instance"), 0);
}

/// A request that was not read may be sent again even if it may run only once. So a request that arrives while its
/// connection is about to close must stay unread.
#[test]
fn a_request_sent_while_the_connection_closes_is_not_read() {
    let testbed = start(1);
    testbed.fault(Fault::Late(Duration::from_millis(300)));
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    stream.write_all(&call("/once/", "r1").with("connection", "close").bytes()).expect("sent");
    eventually("the first request is in flight", || testbed.runs("r1") == 1);
    stream.write_all(&call("/once/", "r2").bytes()).expect("sent");
    let mut response = Vec::new();
    let end = stream.read_to_end(&mut response).expect_err("unread bytes reset the connection");
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(response.starts_with(b"HTTP/1.1 200"));
    assert_eq!(testbed.runs("r2"), 0);
}

#[test]
fn an_endless_head_is_refused_and_the_caller_receives_the_refusal() {
    let testbed = start(1);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let head = format!("POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-long: {}", "x".repeat(1 << 20));
    stream.write_all(head.as_bytes()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the response is not lost");
    assert!(response.starts_with("HTTP/1.1 431"), "{response:?}");
}

#[test]
fn buffered_bodies_share_a_limit_and_release_their_bytes() {
    let testbed = start(1);
    let mut larger = intent(9);
    larger["limits"]["max_body_bytes"] = 1_000_000.into();
    testbed.store.put("op", "config", &larger);
    let settings = GatewaySettings {
        buffer_bytes: 100_000,
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
    // A caller may receive its response shortly before the bytes of its body are released.
    let idle = || instance.gateway().usage.requests() == 0;
    for number in 0..5 {
        eventually("no request is in flight", idle);
        assert_eq!(send(&format!("s{number}"), 80_000).status, 200, "{number}");
    }
    eventually("no request is in flight", idle);
    let head = format!(
        "POST /idem/ HTTP/1.1\r\nhost: cartvane\r\nx-request-id: h\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 90000\r\n\r\n"
    );
    let until = Instant::now() + Duration::from_secs(20);
    let half = loop {
        eventually("no request is in flight", idle);
        let mut half = TcpStream::connect(instance.callers()).expect("connected");
        half.write_all(format!("{head}{}", "x".repeat(60_000)).as_bytes()).expect("sent");
        eventually("its head is read", || instance.gateway().usage.requests() == 1);
        if send("t", 80_000).status == 503 {
            break half;
        }
        // The other request reserved its bytes first, and this one was refused.
        assert!(Instant::now() < until, "the half-sent body does not reserve its bytes in time");
    };
    assert_eq!(send("u", 1_000).status, 200, "a body within the remaining limit is accepted");
    drop(half);
    eventually("the bytes are released", || send("v", 80_000).status == 200);
}

/// Runs a backend server that responds with `status` as soon as it has read a head, and reads on when `resume` gets a
/// message. Returns all bytes that arrived after that head.
///
/// If the server read on at once, the body could be complete before its response is read, and the connection could
/// rightly be reused.
fn respond_early(listener: TcpListener, status: u16, resume: Receiver<()>) -> JoinHandle<Vec<u8>> {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut received = Vec::new();
        let mut buf = [0; 4096];
        let end = loop {
            let count = stream.read(&mut buf).expect("a head");
            received.extend_from_slice(&buf[..count]);
            if let Some(at) = received.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
        };
        let response = format!(
            "HTTP/1.1 {status} Early\r\nx-request-id: r1\r\nx-response-seal: s\r\n\
             content-length: 5\r\nkeep-alive: timeout=5\r\n\r\nearly"
        );
        stream.write_all(response.as_bytes()).expect("sent");
        resume.recv().expect("a message to read on");
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1500)));
        let _ = stream.read_to_end(&mut received);
        received.split_off(end)
    })
}

#[test]
fn a_response_sent_before_the_whole_body_is_relayed_and_its_connection_is_not_reused() {
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
        let is_current = || {
            let gateway = testbed.instance.gateway();
            let listed = |id: &str| {
                gateway
                    .cluster_state
                    .with_servers(|r| r.servers().any(|s| s.id.server.as_str() == id))
            };
            gateway.cluster_state.version() == 9 && listed("early") && !listed("s0")
        };
        eventually("the instance has the new intent and server list", is_current);
        let (resume_sender, resume) = mpsc::channel();
        let server = respond_early(listener, status, resume);
        let body: Vec<u8> = (0..LARGE).map(|at| (at % 251) as u8).collect();
        let large = Call { body: body.clone(), ..call("/once/", "r1") };
        let mut conn =
            Conn::connect(testbed.instance.callers(), Duration::from_secs(1), &Clock::system())
                .expect("a connection");
        let response = large.send_on(&mut conn);
        assert_eq!((response.status, response.text().as_str()), (status, "early"));
        resume_sender.send(()).expect("the server waits");
        // A request that follows must not be sent on the connection, as the rest of that body.
        let _ = call("/once/", "r2").send(testbed.instance.callers());
        let arrived = server.join().expect("the server");
        assert!(body.starts_with(&arrived), "{} bytes of something else", arrived.len());
    }
}
