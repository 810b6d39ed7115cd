//! Many connections that are open and silent, at one instance.

use std::{io::Write as _, net::SocketAddr, time::Duration};

use cartvane::{clock::Clock, link::http1::Conn};
use serde_json::{Value, json};
use standins::{caller::Call, listed::Listed, store::StoreStandIn};

use crate::{
    process::{KEY, Process, boot, file, intent},
    support::eventually,
};

/// Threads of an instance at rest: the main one, a listener each for callers, instances, readiness and metrics,
/// one for all idle connections, and one each for intent, servers, exchange, instances' table and log; one more
/// may just be answering.
const THREADS_AT_REST: usize = 12;

const IDLE: usize = 300;

const SLOW: usize = 40;

fn threads(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("Threads:")).expect("a count");
    line.trim_start_matches("Threads:").trim().parse().expect("a number")
}

fn connect(to: SocketAddr) -> Conn {
    Conn::connect(to, Duration::from_secs(2), &Clock::system()).expect("a connection")
}

fn ask(id: &str) -> Call {
    Call::post("/once/", KEY, "body").with("x-request-id", id).with("x-deadline-ms", 4000)
}

// Each connection had a thread, also for the seconds in which nothing was asked on it: 45 threads an instance and
// 11,300 on one machine with 295 instances in calm, 13,600 in trouble. At five times the callers the machine had no
// room for more, and instances ended where a thread could not be made.
#[test]
fn idle_connections_hold_no_thread_and_are_served_when_they_ask() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent());
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
    eventually("it is served", || ask("first").send(callers).status == 200);
    let mut idle: Vec<Conn> = (0..IDLE).map(|_| connect(callers)).collect();
    for (number, conn) in idle.iter_mut().enumerate().step_by(2) {
        assert_eq!(ask(&format!("a{number}")).send_on(conn).status, 200);
    }
    eventually("idle connections hold no thread", || threads(&process) <= THREADS_AT_REST);
    // Callers that are slow to send their request hold one each, and keep nobody else waiting.
    let slow: Vec<_> = (0..SLOW)
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
        assert_eq!(ask(&format!("b{number}")).send_on(conn).status, 200);
    }
    drop(slow);
    eventually("none is held afterwards", || threads(&process) <= THREADS_AT_REST);
    drop(idle);
    assert_eq!(ask("last").send(callers).status, 200);
    assert_eq!(json!(server.runs("b0")), json!(1));
    std::fs::remove_file(path).expect("the file is removed");
}
