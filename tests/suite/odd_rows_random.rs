//! Drawn rows of another writer, in every table that an instance reads: any bytes, any JSON in any field, and the largest
//! numbers. No thread may end, the list is followed, good rows are used, and each odd row has one line in the log.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    configs::fleet::chunks::encode,
    gateway::{GatewayHandle, settings::GatewaySettings},
    routing::{InstanceInfo, RolloutOrder, RolloutRecord, Stage},
};
use fastrand::Rng;
use serde_json::Value;
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    log_lines,
    support::{cases, eventually, seed},
    testbed::{call, intent, settings},
};

/// Time until a change of the list is in use in nine of ten cases, as the users ask for it.
const FOLLOWED_WITHIN: Duration = Duration::from_secs(1);

/// Longest such time of all cases, on a machine that runs other work at the same time.
const FOLLOWED_WITHIN_MAX: Duration = Duration::from_secs(3);

/// Time in which each table is read several times.
const SEVERAL_READS: Duration = Duration::from_secs(12);

/// Numbers at the ends of their types, beyond them, and below zero, as JSON.
const NUMBERS: [&str; 16] = [
    "0",
    "-1",
    "255",
    "65536",
    "70000",
    "4294967295",
    "4294967296",
    "9007199254740993",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775808",
    "1e22",
    "1e300",
    "-1e300",
    "1e400",
    "5e-324",
];

/// Draws the text of any JSON value, and of some that are none.
fn drawn_json(rng: &mut Rng, depth: u32) -> String {
    match rng.u32(..if depth > 3 { 6 } else { 9 }) {
        0 => "null".to_owned(),
        1 => rng.bool().to_string(),
        2 | 3 => NUMBERS[rng.usize(..NUMBERS.len())].to_owned(),
        4 => Value::from(drawn_text(rng)).to_string(),
        5 => format!("{}", f64::from_bits(rng.u64(..))),
        6 => {
            let items: Vec<String> =
                (0..rng.u32(..4)).map(|_| drawn_json(rng, depth + 1)).collect();
            format!("[{}]", items.join(","))
        }
        7 => {
            let key = Value::from(drawn_text(rng));
            format!("{{{key}:{}}}", drawn_json(rng, depth + 1))
        }
        _ => {
            let nesting = [100, 127, 128, 3000][rng.usize(..4)];
            format!("{}{}", "[".repeat(nesting), "]".repeat(nesting))
        }
    }
}

fn drawn_text(rng: &mut Rng) -> String {
    let length = [0, 1, 8, 200, 201, 60_000][rng.usize(..6)];
    if rng.bool() {
        return "x".repeat(length);
    }
    (0..length.min(200)).map(|_| rng.char(..)).collect()
}

fn drawn_bytes(rng: &mut Rng) -> Vec<u8> {
    match rng.u32(..4) {
        0 => (0..rng.usize(..300)).map(|_| rng.u8(..)).collect(),
        1 => "[".repeat(45_000).into_bytes(),
        2 => Vec::new(),
        _ => drawn_json(rng, 0).into_bytes(),
    }
}

/// Returns an object with these fields, one of which has a drawn value.
fn with_drawn_field(rng: &mut Rng, fields: &[(&str, &str)]) -> Vec<u8> {
    let odd = rng.usize(..fields.len());
    let mut texts = Vec::new();
    for (number, (name, value)) in fields.iter().enumerate() {
        let value = if number == odd { drawn_json(rng, 0) } else { (*value).to_owned() };
        texts.push(format!("{name:?}:{value}"));
    }
    format!("{{{}}}", texts.join(",")).into_bytes()
}

/// Draws an entry of a server. Its service is another one, so that no request is sent to its address.
fn drawn_server(rng: &mut Rng) -> Vec<u8> {
    let mut numbers = rng.fork();
    let mut number = || NUMBERS[numbers.usize(..NUMBERS.len())];
    let fields = [
        ("service", "\"other\""),
        ("address", ["\"10.0.0.1:80\"", "\"10.0.0.1:70000\"", "\"[::]:0\""][rng.usize(..3)]),
        ("zone", "\"north\""),
        ("version", "\"v1\""),
        ("slots", number()),
        ("state", "\"ready\""),
        ("cold_remaining_ms", number()),
        ("seq", "1"),
        ("born", number()),
    ];
    with_drawn_field(rng, &fields)
}

/// Draws a configuration of `version` that has the routes and services of the test bed and odd ones beside them.
fn drawn_config(rng: &mut Rng, version: u64) -> Vec<u8> {
    let mut numbers = rng.fork();
    let mut number = || NUMBERS[numbers.usize(..NUMBERS.len())];
    let route = with_drawn_field(
        rng,
        &[
            ("name", "\"odd\""),
            ("host", "\"odd\""),
            ("path_prefix", "\"/odd/\""),
            ("type", "\"idempotent\""),
            ("timeout_ms", number()),
            ("target_latency_ms", number()),
            ("priority", number()),
            ("traffic_split", "[{\"service\":\"other\",\"weight\":1e308}]"),
            ("max_attempts", "4294967295"),
        ],
    );
    let service = with_drawn_field(
        rng,
        &[
            ("name", "\"other\""),
            ("max_connections", "4294967295"),
            ("cold_start_s", number()),
            ("cold_per_s", number()),
        ],
    );
    let mut config = intent(version).to_string();
    for (list, odd) in [("\"routes\":[", route), ("\"services\":[", service)] {
        // A value that is no JSON, or is nested too deeply, makes the whole configuration invalid.
        let odd = String::from_utf8(odd).expect("text");
        config = config.replacen(list, &format!("{list}{odd},"), 1);
    }
    config.into_bytes()
}

/// Draws a row of one of this project's own tables, which has the form that instances write, or another.
fn drawn_own_row(rng: &mut Rng, table: &str, key: &str) -> Vec<u8> {
    if rng.bool() {
        return drawn_bytes(rng);
    }
    let number = [0, 1, u64::MAX - 1, u64::MAX][rng.usize(..4)];
    match table {
        "cartvane-instances" => encode(&InstanceInfo {
            node: key.parse().expect("a name"),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "north".parse().expect("a zone"),
            cores: [f32::NAN, f32::NEG_INFINITY, -1.0, 0.0][rng.usize(..4)],
        }),
        "cartvane-held" => encode(&(number, number, "Request")),
        _ => encode(&RolloutRecord {
            order: RolloutOrder {
                to: "v2".parse().expect("a version"),
                time_limit: Duration::from_millis(number),
            },
            first_seen_ms: number,
            stage: Stage::Trial,
            term: number,
            holder: "gone".parse().expect("a name"),
            renewed_ms: rng.u64(..),
            barred: Vec::new(),
        }),
    }
}

fn start() -> (StoreStandIn, Listed, GatewayHandle) {
    log_lines::start();
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("good").expect("a server");
    store.put("servers", "good", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    // An instance that was restarted reads the table of held requests.
    let settings =
        GatewaySettings { first_start: false, ..settings("one", store.address(), Vec::new()) };
    let instance = GatewayHandle::spawn(settings, &Clock::system()).expect("an instance");
    eventually("the instance is ready", || instance.gateway().is_ready());
    (store, server, instance)
}

/// Lists a good server and removes it; returns the longest time until the instance has noticed.
fn time_until_followed(store: &StoreStandIn, instance: &GatewayHandle, id: &str) -> Duration {
    let server = Listed::spawn(id).expect("a server");
    let is_listed = || {
        let state = &instance.gateway().cluster_state;
        state.with_servers(|roster| roster.servers().any(|s| s.id.server.as_str() == id))
    };
    let listed_at = Instant::now();
    store.put("servers", id, &server.entry("app", "ready"));
    eventually("a good server is used", is_listed);
    let (added, removed_at) = (listed_at.elapsed(), Instant::now());
    store.remove("servers", id);
    eventually("a removed server is used no more", || !is_listed());
    added.max(removed_at.elapsed())
}

/// Returns the log lines about panics that no test has injected.
fn panics() -> String {
    let lines = log_lines::matching(&["event=thread_panicked"]);
    let own = |line: &&str| !line.contains("name=test-") && !line.contains("\"injected\"");
    lines.lines().filter(own).filter(|line| !line.is_empty()).collect()
}

// Guards against threads that end by an odd row, a list that is not followed beside one, and a line for each read of it.
#[test]
fn no_drawn_row_ends_a_thread_or_keeps_the_list_from_being_followed() {
    let mut rng = Rng::with_seed(seed(0x0dd));
    let (store, _server, instance) = start();
    let tables = ["servers", "op", "cartvane-instances", "cartvane-held", "cartvane-rollouts"];
    let (mut keys, mut late) = (Vec::new(), Vec::new());
    for case in 0..cases(30) {
        for number in 0..4 {
            let table = tables[rng.usize(..tables.len())];
            let key = format!("odd-{:x}-{case}-{number}", rng.u32(..));
            let (key, value) = match table {
                "servers" if rng.bool() => (key, drawn_server(&mut rng)),
                "op" => {
                    let order = [("to", "\"v2\""), ("duration_s", "1e300"), ("service", "null")];
                    (format!("rollout/{key}"), with_drawn_field(&mut rng, &order))
                }
                "cartvane-held" => {
                    let key = format!("{:032x}", rng.u128(..));
                    let value = drawn_own_row(&mut rng, table, &key);
                    (key, value)
                }
                "servers" => (key, drawn_bytes(&mut rng)),
                _ => {
                    let value = drawn_own_row(&mut rng, table, &key);
                    (key, value)
                }
            };
            store.put_raw(table, &key, value);
            keys.push(key);
        }
        store.put_raw("op", "config", drawn_config(&mut rng, 6 + case));
        let followed = time_until_followed(&store, &instance, &format!("further-{case}"));
        assert!(followed < FOLLOWED_WITHIN_MAX, "case {case}: {followed:?}{}", panics());
        late.extend((followed > FOLLOWED_WITHIN).then_some((case, followed)));
        let response = call("/idem/", &format!("r{case}")).send(instance.callers());
        assert_eq!(response.status, 200, "case {case}{}", panics());
    }
    assert!(late.len() as u64 <= cases(30) / 10, "{late:?}");
    let broken = format!("odd-config-{:x}", rng.u32(..));
    store.put_raw("op", "config", format!("{{\"version\":{broken:?}}}").into_bytes());
    keys.push(broken);
    thread::sleep(SEVERAL_READS);
    store.put_raw("op", "config", intent(1_000_000).to_string().into_bytes());
    eventually("a good configuration is in use", || {
        instance.gateway().cluster_state.version() == 1_000_000
    });
    for key in &keys {
        let lines = log_lines::matching(&[key.as_str()]);
        let skipped = lines.lines().filter(|line| line.contains("_skipped")).count();
        assert!(skipped <= 1, "{key}: {lines}");
    }
    assert_eq!(panics(), "");
    assert!(instance.gateway().is_ready());
}
