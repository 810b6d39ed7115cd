//! Many idle connections of callers at one instance.

use std::{
    io::Write as _,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cartvane::{clock::Clock, link::http1::Conn};
use serde_json::{Value, json};
use standins::{caller::Call, listed::Listed, store::StoreStandIn};

use crate::{
    process::{KEY, Process, boot, file, intent},
    support::eventually,
};

/// Threads of an idle instance: the main one, a listener each for callers, instances, readiness and metrics, one that
/// polls all idle connections, and one each for intent, servers, exchange, instance table and log. One more may be
/// serving a request.
const IDLE_THREADS: usize = 12;

const IDLE_CONNS: usize = 300;

/// Connections whose callers have sent a part of a request.
const SLOW_CONNS: usize = 40;

fn threads(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("Threads:")).expect("a count");
    line.trim_start_matches("Threads:").trim().parse().expect("a number")
}

fn connect(to: SocketAddr) -> Conn {
    Conn::connect(to, Duration::from_secs(2), &Clock::system()).expect("a connection")
}

fn request(id: &str) -> Call {
    Call::post("/once/", KEY, "body").with("x-request-id", id).with("x-deadline-ms", 4000)
}

// With a thread per connection, also while it was idle, each instance had 45 threads: 11,300 on one machine with 295
// instances without faults, and 13,600 with faults. With five times the callers the machine ran out of threads, and
// instances exited when a thread could not be created.
#[test]
fn idle_connections_hold_no_thread_and_their_next_request_is_served() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    let mut intent = intent();
    // Longer than this test takes on a stalled machine: a connection that is idle for longer is closed.
    intent["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": 1_000_000, "header_timeout_ms": 60_000,
        "idle_timeout_ms": 120_000
    });
    store.put("op", "config", &intent);
    let mut settings = boot(store.address());
    settings["limits"]["max_fds"] = 2000.into();
    let path = file("idle", &settings.to_string());
    let process = Process::start(&path);
    let started = process.wait_for("started");
    process.wait_for("intent_in_force");
    let address = |line: &Value, name: &str| -> SocketAddr {
        line[name].as_str().and_then(|a| a.parse().ok()).expect("an address")
    };
    let callers = address(&started, "callers");
    eventually("a request is served", || request("first").send(callers).status == 200);
    let mut idle: Vec<(Conn, Instant)> =
        (0..IDLE_CONNS).map(|_| (connect(callers), Instant::now())).collect();
    let send = |name: &str, number: usize, (conn, since): &mut (Conn, Instant)| {
        let status = request(&format!("{name}{number}")).send_on(conn).status;
        assert_eq!(status, 200, "{name}{number}, idle for {:?}", since.elapsed());
        *since = Instant::now();
    };
    for (number, conn) in idle.iter_mut().enumerate().step_by(2) {
        send("a", number, conn);
    }
    eventually("idle connections hold no thread", || threads(&process) <= IDLE_THREADS);
    // Callers that send their request slowly hold one thread each and do not delay other callers.
    let slow: Vec<_> = (0..SLOW_CONNS)
        .map(|_| {
            let conn = connect(callers);
            conn.try_clone_stream()
                .expect("a handle")
                .write_all(b"POST /once/")
                .expect("some bytes");
            conn
        })
        .collect();
    for (number, conn) in idle.iter_mut().enumerate() {
        send("b", number, conn);
    }
    drop(slow);
    eventually("closed connections hold no thread", || threads(&process) <= IDLE_THREADS);
    drop(idle);
    assert_eq!(request("last").send(callers).status, 200);
    assert_eq!(json!(server.runs("b0")), json!(1));
    std::fs::remove_file(path).expect("the file is removed");
}
