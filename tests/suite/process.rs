//! `cartvane gateway` as a process: its settings, signals and log lines.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::{caller::Call, fault::Fault, listed::Listed, store::StoreStandIn};

use crate::support::{BINARY, eventually};

pub(crate) const KEY: &str = "key-of-crew";

/// A running `cartvane gateway`, and the log lines that it has written.
pub(crate) struct Process {
    pub(crate) child: Child,
    lines: Arc<Mutex<Vec<Value>>>,
}

/// Returns the settings file of an instance.
pub(crate) fn boot(store: SocketAddr) -> Value {
    json!({
        "node_name": "one", "zone": "north",
        "listen": {
            "frontend": "127.0.0.1:0", "readiness": "127.0.0.1:0", "control": "127.0.0.1:0"
        },
        "limits": {"max_fds": 1000},
        "bounds": {
            "drain_ms": 400, "grace_s": 6, "config_apply_ms": 800, "retry_budget_ratio": 0.2,
            "retry_window_s": 10, "budget_slack": 50
        },
        "platform": {"address": store.to_string()}
    })
}

/// Returns an intent with one route.
pub(crate) fn intent() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "once", "host": "cartvane", "path_prefix": "/once/", "type": "non_idempotent",
            "timeout_ms": 5000, "service": "app", "max_attempts": 1
        }],
        "services": [{"name": "app", "max_connections": 100}],
        "tenants": [{"name": "crew", "api_keys": [KEY]}]
    })
}

impl Process {
    pub(crate) fn start(path: &std::path::Path) -> Process {
        let mut child = Command::new(BINARY)
            .arg("gateway")
            .env("CARTVANE_BOOT", path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let out = BufReader::new(child.stdout.take().expect("its output"));
        let lines: Arc<Mutex<Vec<Value>>> = Arc::default();
        let read = Arc::clone(&lines);
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                let value = serde_json::from_str(&line).expect("a line is a JSON object");
                read.lock().expect("the lines").push(value);
            }
        });
        Process { child, lines }
    }

    fn event(&self, name: &str) -> Option<Value> {
        self.events(name).into_iter().next()
    }

    /// Returns all log lines of an event so far.
    pub(crate) fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.lines.lock().expect("the lines");
        lines.iter().filter(|line| line["event"] == name).cloned().collect()
    }

    pub(crate) fn wait_for(&self, name: &str) -> Value {
        eventually(name, || self.event(name).is_some());
        self.event(name).expect("the event was logged")
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a pid");
        kill_process(pid, signal).expect("the process takes signals");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a temporary file.
pub(crate) fn file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("cartvane-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[test]
fn signals_drain_and_reload_a_process() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent());
    let path = file("signals", &boot(store.address()).to_string());
    let mut process = Process::start(&path);
    let started = process.wait_for("started");
    process.wait_for("intent_in_force");
    let callers: SocketAddr =
        started["callers"].as_str().and_then(|a| a.parse().ok()).expect("an address");
    let call = |id: &str| {
        Call::post("/once/", KEY, "body").with("x-request-id", id).with("x-deadline-ms", 4000)
    };
    process.signal(Signal::HUP);
    process.wait_for("reloaded");
    std::fs::write(&path, "{\"node_name\": \"one\"}").expect("the file is written");
    process.signal(Signal::HUP);
    let refused = process.wait_for("reload_refused");
    assert!(refused["reason"].as_str().is_some_and(|r| r.contains("zone")), "{refused}");
    assert_eq!(call("r1").send(callers).status, 200);
    server.faults.set_standing(Some(Fault::Late(Duration::from_millis(800))));
    let in_flight = thread::spawn(move || {
        Call::post("/once/", KEY, "body").with("x-request-id", "r2").send(callers)
    });
    eventually("the request is in flight", || server.runs("r2") == 1);
    process.signal(Signal::TERM);
    process.wait_for("draining");
    process.signal(Signal::TERM);
    process.signal(Signal::HUP);
    let response = in_flight.join().expect("a response");
    assert_eq!((response.status, response.header("connection")), (200, "close"));
    assert!(process.child.wait().expect("the process exits").success());
    process.wait_for("stopped");
    let line = {
        let lines = process.lines.lock().expect("the lines");
        lines.iter().find(|line| line["request"] == "r2").cloned().expect("a line of the request")
    };
    for (name, value) in
        [("status", json!(200)), ("outcome", json!("run")), ("server", json!("s0"))]
    {
        assert_eq!(line[name], value, "{line}");
    }
    assert!(line["took_ms"].is_number() && line["version"] == 3, "{line}");
    std::fs::remove_file(path).expect("the file is removed");
}

#[test]
fn invalid_settings_end_a_process_with_an_error_that_names_the_cause() {
    let cases = [("", "line 1"), ("[", "line 1"), ("{}", "node_name"), ("\u{feff}{}", "line 1")];
    for (number, (text, cause)) in cases.into_iter().enumerate() {
        let path = file(&format!("bad{number}"), text);
        let output = Command::new(BINARY)
            .arg("gateway")
            .env("CARTVANE_BOOT", &path)
            .output()
            .expect("the process runs");
        assert_eq!(output.status.code(), Some(1), "{text:?}");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(stderr.contains(cause), "{stderr:?} does not name {cause:?}");
        std::fs::remove_file(path).expect("the file is removed");
    }
    let output = Command::new(BINARY)
        .arg("gateway")
        .env("CARTVANE_BOOT", "/nowhere/at/all.json")
        .output()
        .expect("the process runs");
    assert_eq!(output.status.code(), Some(1));
}
