//! Servers that answer before they have read a request and break off, and servers whose heads are no answers: callers
//! never get a part as a whole answer.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cartvane::gateway::GatewayHandle;
use serde_json::json;
use standins::{caller::Answer, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{self, call, intent},
};

/// Length of an upload that no buffer of the kernel holds.
const LONG_UPLOAD: usize = 6 << 20;

/// Pause after which a request has arrived to its end.
const REQUEST_PAUSE_MAX: Duration = Duration::from_millis(400);

/// How a server ends its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// With unread bytes of the request, which resets the connection.
    Reset,
    /// After it has read the request.
    Close,
}

/// What a server sends in place of an answer.
#[derive(Debug, Clone)]
struct Script {
    /// Status line and framing headers; the headers of a sound answer are added.
    head: &'static str,
    /// Whether the head is sent to its end.
    is_whole_head: bool,
    body: &'static str,
    end: End,
}

type SharedScript = Arc<Mutex<Script>>;

/// Reads a request's head and returns its id.
fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("x-request-id: "));
    Some(id.unwrap_or_default().to_owned())
}

fn serve(mut stream: TcpStream, script: &SharedScript) {
    let Some(id) = read_id(&mut stream) else { return };
    let Script { head, is_whole_head, body, end } = script.lock().expect("a script").clone();
    if end == End::Close {
        // Until the request has arrived, and a little longer.
        let _ = stream.set_read_timeout(Some(REQUEST_PAUSE_MAX));
        let mut rest = vec![0; 1 << 20];
        while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
    }
    let signed = format!(
        "{head}connection: close\r\nx-request-id: {id}\r\nx-response-seal: 3e1b.07.5a2\r\n"
    );
    let answer = if is_whole_head { format!("{signed}\r\n{body}") } else { signed };
    let _ = stream.write_all(answer.as_bytes());
    // The answer is read before the end of the connection comes.
    thread::sleep(Duration::from_millis(30));
}

/// Starts a server that follows a script.
fn spawn(script: &SharedScript) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let script = Arc::clone(script);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            thread::spawn(move || serve(stream, &script));
        }
    });
    address
}

/// Starts a store and an instance whose only server follows a script.
fn start_scripted(script: &SharedScript) -> (StoreStandIn, GatewayHandle) {
    let store = StoreStandIn::spawn().expect("a store");
    let entry = json!({
        "service": "app", "address": spawn(script).to_string(), "zone": "north", "version": "v1",
        "slots": 500, "state": "ready", "cold_remaining_ms": 0, "seq": 1
    });
    store.put("servers", "scripted", &entry);
    let mut intent = intent(5);
    intent["limits"]["max_body_bytes"] = (LONG_UPLOAD * 2).into();
    store.put("op", "config", &intent);
    let instance = testbed::spawn("one", store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    (store, instance)
}

/// Returns the answers, to short and long requests of each kind, that a caller takes for whole and successful.
fn taken_for_whole(scripts: &[Script]) -> Vec<(String, Answer)> {
    let broken =
        Script { head: "HTTP/1.1 200 OK\r\n", is_whole_head: false, body: "", end: End::Reset };
    let shared: SharedScript = Arc::new(Mutex::new(broken));
    let (_store, instance) = start_scripted(&shared);
    let mut whole = Vec::new();
    for (number, script) in scripts.iter().enumerate() {
        *shared.lock().expect("a script") = script.clone();
        for target in ["/idem/", "/once/", "/stream/", "/stream-resumable/"] {
            for length in [20, LONG_UPLOAD] {
                let mut call = call(target, &format!("r{number}-{length}-{}", &target[1..3]));
                call.body = vec![b'x'; length];
                let answer = call.send(instance.callers());
                if answer.whole && (200..300).contains(&answer.status) {
                    whole.push((format!("{target} {length} {script:?}"), answer));
                }
            }
        }
    }
    whole
}

fn script(head: &'static str, body: &'static str, end: End) -> Script {
    Script { head, is_whole_head: true, body, end }
}

// Guards against a part of an answer without a length that is passed on as the whole answer.
#[test]
fn an_early_answer_that_is_reset_never_looks_whole() {
    let heads = [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
    ];
    let scripts = heads.map(|head| script(head, "5\r\nparts\r\n", End::Reset));
    let whole = taken_for_whole(&scripts);
    assert!(whole.is_empty(), "{whole:#?}");
}

// Guards against answers with statuses that do not exist.
#[test]
fn a_status_that_is_none_never_reaches_a_caller_as_a_success() {
    let heads = ["HTTP/1.1 000 None\r\n", "HTTP/1.1 099 None\r\n", "HTTP/1.1 20 OK\r\n"];
    let lengths = ["HTTP/1.1 000 None\r\ncontent-length: 5\r\n", "HTTP/1.1 1000 None\r\n"];
    let scripts = heads
        .iter()
        .chain(&lengths)
        .flat_map(|head| [End::Reset, End::Close].map(|end| script(head, "whole", end)));
    let whole = taken_for_whole(&scripts.collect::<Vec<_>>());
    assert!(whole.is_empty(), "{whole:#?}");
}

// Guards against a head that breaks off and is taken for a head with an empty body.
#[test]
fn a_head_that_breaks_off_never_looks_like_an_answer() {
    let heads = [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n",
    ];
    let scripts = heads.iter().flat_map(|head| {
        let broken_off = |end| Script { is_whole_head: false, ..script(head, "", end) };
        [End::Reset, End::Close].map(broken_off)
    });
    let whole = taken_for_whole(&scripts.collect::<Vec<_>>());
    assert!(whole.is_empty(), "{whole:#?}");
}

// Shows that the others fail for what their servers send.
#[test]
fn a_sound_answer_of_a_scripted_server_is_passed_on() {
    let sound = script("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n", "whole", End::Close);
    let whole = taken_for_whole(&[sound]);
    assert_eq!(whole.len(), 8, "{whole:#?}");
    assert!(whole.iter().all(|(_, answer)| answer.text() == "whole"), "{whole:#?}");
}
