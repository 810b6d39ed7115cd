//! Decoding of the platform's formats by the adapter, with valid and with invalid input.

use std::time::Duration;

use cartvane::{
    adapter::{headers, intent, prompt, servers, settings, store::StoreRow},
    gateway::request::AttemptHeaders,
    link::http1::RequestHead,
    names::ServiceName,
    routing::RouteKind,
};
use serde_json::{Value, json};

pub(crate) fn boot() -> Value {
    json!({
        "node_name": "edge-north-1", "role": "router", "zone": "north", "region": "r",
        "listen": {
            "frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2", "control": "127.0.0.1:3"
        },
        "seeds": ["127.0.0.1:3", "127.0.0.2:3"],
        "limits": {"cpu_share": 0.25, "cores": 2, "memory_mb": 260, "max_fds": 4100},
        "data_dir": null, "heartbeat_ms": 1200, "new_field": {"of": ["later"]},
        "bounds": {
            "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
            "retry_window_s": 10, "budget_slack": 56, "cap_x": 2, "strict_revoke": false
        },
        "platform": {"address": "127.0.0.1:9", "form": "table", "tx_ms": 5.0}
    })
}

fn decode(boot: &Value) -> Result<cartvane::gateway::settings::GatewaySettings, String> {
    settings::decode(boot.to_string().as_bytes(), "boot.json").map_err(|e| e.to_string())
}

#[test]
fn settings_are_decoded_and_unknown_fields_ignored() {
    let decoded = decode(&boot()).expect("valid settings");
    assert_eq!(decoded.node.as_str(), "edge-north-1");
    assert_eq!(decoded.addresses.peers.port(), 3);
    assert_eq!(decoded.bounds.grace, Duration::from_secs(8));
    assert!((decoded.cores - 0.5).abs() < 1e-6);
    assert_eq!(decoded.buffer_bytes, 65 << 20, "a quarter of 260 MB");
    assert_eq!(decoded.roster_period(), Duration::from_millis(400));
    assert!(!decoded.first_start, "bootstrap is false by default");
    let mut first = boot();
    first["bootstrap"] = true.into();
    assert!(decode(&first).expect("valid settings").first_start);
}

#[test]
fn invalid_settings_are_rejected_with_the_field() {
    let without = |pointer: &str, name: &str| {
        let mut boot = boot();
        let parent = boot.pointer_mut(pointer).expect("a field");
        parent.as_object_mut().expect("an object").remove(name);
        boot
    };
    let with = |pointer: &str, value: Value| {
        let mut boot = boot();
        *boot.pointer_mut(pointer).expect("a field") = value;
        boot
    };
    let cases = [
        (without("", "node_name"), "node_name"),
        (without("/listen", "frontend"), "frontend"),
        (without("/bounds", "grace_s"), "grace_s"),
        (without("", "platform"), "platform"),
        (with("/node_name", json!("")), "empty"),
        (with("/bounds/drain_ms", json!(-3)), "drain_ms"),
        (with("/bounds/grace_s", json!(0)), "grace_s"),
        (with("/listen/frontend", json!("nowhere")), "line"),
        (with("/limits/max_fds", json!("many")), "line"),
        (with("/limits/memory_mb", json!(-1)), "memory_mb"),
    ];
    for (boot, expected) in cases {
        let error = decode(&boot).expect_err(expected);
        assert!(error.contains(expected), "{error:?} does not contain {expected:?}");
    }
    for text in [&b""[..], b"\xff\xfe", b"[[[[", b"{\"node_name\":"] {
        assert!(settings::decode(text, "boot.json").is_err());
    }
    let deep = "[".repeat(20_000);
    assert!(settings::decode(deep.as_bytes(), "boot.json").is_err());
}

#[test]
fn an_intent_is_decoded_without_its_invalid_parts() {
    let text = json!({
        "version": 7,
        "routes": [
            {"name": "a", "host": "H.example", "path_prefix": "/a/", "type": "streaming",
             "timeout_ms": 8000, "target_latency_ms": 400, "priority": 0, "service": "llm",
             "max_attempts": 2, "sticky_sessions": true, "stream_resume": true,
             "gap_target_ms": 300},
            {"name": "b", "host": "h.example", "path_prefix": "/b/", "type": "idempotent",
             "timeout_ms": 1500, "max_attempts": 0,
             "traffic_split": [{"service": "llm", "weight": 90}, {"service": "app", "weight": 10}]},
            {"name": "odd", "host": "h.example", "path_prefix": "/c/", "type": "unheard-of",
             "timeout_ms": 1},
            {"name": "nowhere", "host": "h.example", "path_prefix": "/d/", "type": "idempotent",
             "timeout_ms": 1},
            17
        ],
        "services": [{"name": "llm", "engine": {"slots": 64}}, {"name": "app"}, {}],
        "tenants": [{"name": "crew", "api_keys": ["k1", "k2"], "priority": 1}, {"name": ""}]
    });
    let text = text.to_string();
    let Ok(decoded) = intent::decode(text.as_bytes()) else {
        // A team with an empty name must not invalidate the whole intent.
        panic!("the intent is rejected");
    };
    assert_eq!((decoded.version, decoded.routes.len(), decoded.services.len()), (7, 2, 2));
    let route = decoded.routes.find("h.example", "/a/x").expect("a route");
    assert_eq!(route.kind, RouteKind::ResumableStream);
    assert_eq!(route.timeout, Duration::from_secs(8));
    let split = decoded.routes.find("h.example", "/b/").expect("a route");
    assert_eq!((split.shares.len(), split.max_attempts), (2, 1));
    let llm: ServiceName = "llm".parse().expect("a name");
    assert!(decoded.services.get(&llm).is_some_and(|service| service.engine));
    assert_eq!(decoded.teams.holder("k2").map(|team| team.name.as_str()), Some("crew"));
    for text in [&b"{}"[..], b"", b"[]", b"{\"version\": -1}", b"\x00"] {
        assert!(intent::decode(text).is_err(), "{text:?}");
    }
}

#[test]
fn server_entries_are_decoded_and_invalid_ones_skipped() {
    let row = |key: &str, value: Value| StoreRow {
        key: key.to_owned(),
        value: value.to_string().into_bytes(),
        version: 1,
        removed: false,
    };
    let valid = json!({
        "service": "llm", "address": "10.0.0.1:80", "zone": "z", "state": "draining",
        "version": "v1", "slots": 8, "cold_remaining_ms": 0, "seq": 4, "later": {"of": ["now"]}
    });
    let mut with_start_time = valid.clone();
    with_start_time["born"] = 1_764_720_000_000_u64.into();
    let rows = [
        row("a", valid.clone()),
        row("", valid.clone()),
        row("b", json!({"service": "llm"})),
        StoreRow { removed: true, ..row("c", valid) },
        row("d", with_start_time),
    ];
    let entries = servers::decode_all(&rows);
    let list = &entries.servers;
    assert_eq!(list.len(), 2);
    assert!(list[0].leaving);
    assert_eq!(list[1].id.to_string(), "d@1764720000000");
    let skipped: Vec<&str> = entries.skipped.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(skipped, ["", "b"]);
}

#[test]
fn prompts_are_decoded_up_to_the_first_invalid_part() {
    let affinity = |text: &str| prompt::affinity(&prompt::decode(text));
    assert_eq!(affinity("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), Some(0x91bd_3f06));
    assert_eq!(affinity("5c1e07a2:800"), Some(0x5c1e_07a2));
    assert_eq!(affinity(""), None);
    assert_eq!(affinity("zz:1,5:2"), None);
    assert_eq!(affinity("5:1,6:x,7:1"), Some(5));
    assert!(prompt::decode(&"1:1,".repeat(1000)).len() < 100);
}

#[test]
fn a_server_gets_the_callers_headers_and_those_of_the_router() {
    let head = RequestHead::parse(
        b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Model: m\r\nX-Token-Count: 5,6\r\n\
          X-Prefix-Hash: 1:2\r\nAuthorization: Bearer k\r\nKv-From: 1.1.1.1:1/x\r\n\
          Transfer-Encoding: chunked\r\nX-Tenant: forged\r\nX-Tenant: twice\r\n\r\n",
    )
    .expect("a head");
    let metadata = headers::decode_request(&head).expect("a request");
    assert_eq!((metadata.id.as_str(), metadata.key.as_deref()), ("r", Some("k")));
    let (server, team) = ("s".parse().expect("an id"), "crew".parse().expect("a name"));
    let attempt_headers = AttemptHeaders {
        time_left: Duration::from_millis(1234),
        server: &server,
        team: Some(&team),
        priority: 200,
        last_event_id: Some("4"),
        prompt_holder: Some(([10, 0, 0, 9], 80).into()),
    };
    let sent = headers::encode_request(&head.headers, &attempt_headers);
    let text = |name: &str| {
        let values: Vec<_> = sent.get_all(name).iter().map(|v| v.to_str().unwrap_or("")).collect();
        values.join("|")
    };
    assert_eq!(text("x-deadline-ms"), "1234");
    assert_eq!(text("x-tenant"), "crew");
    assert_eq!(text("x-expect-instance"), "s");
    assert_eq!(text("x-request-priority"), "9");
    assert_eq!(text("last-event-id"), "4");
    assert_eq!(text("kv-fetch"), "10.0.0.9:80");
    assert_eq!(text("x-model"), "m");
    assert_eq!(text("x-token-count"), "5,6");
    assert_eq!(text("x-prefix-hash"), "1:2");
    for removed in ["authorization", "kv-from", "transfer-encoding", "content-length"] {
        assert_eq!(text(removed), "", "{removed}");
    }
}
