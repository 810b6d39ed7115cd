//! The operators' file and the settings: a text is accepted or rejected as a whole.

use std::fs;

use cartvane::{
    clock::Clock,
    configs::{
        fleet::{
            Fleet,
            chunks::{Digest, Manifest, StoredError, decode, from_chunks, to_chunks},
            diff::diff,
        },
        settings::{Settings, reference, set},
    },
    context::Context,
    instance::operators::api::mark_leaving,
    units::{Rate, Size, Span},
    zone::shard::{SHARD_ENGINES_MAX, shards_of},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

fn example(name: &str) -> String {
    fs::read_to_string(format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR")))
        .expect("the example is readable")
}

fn proptest_config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

fn context() -> Context {
    Context::new(Clock::system(), |_| Some("a-credential-of-16-bytes".to_owned()))
}

#[test]
fn any_text_is_accepted_or_rejected_with_errors() {
    let hanbit = example("hanbit.toml");
    let lines: Vec<String> = hanbit.lines().map(str::to_owned).collect();
    let strategy = (
        proptest::collection::vec(
            (any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0..4_u8),
            1..6,
        ),
        any::<String>(),
    );
    let result = TestRunner::new(proptest_config(150)).run(&strategy, |(edits, random_text)| {
        let mut lines = lines.clone();
        for (a, b, edit) in edits {
            let (a, b) = (a.index(lines.len()), b.index(lines.len()));
            match edit {
                0 => lines.swap(a, b),
                1 => drop(lines.remove(a)),
                2 => lines.insert(a, random_text.clone()),
                _ => lines[a] = lines[a].replace('1', "-"),
            }
        }
        match Fleet::parse(&lines.join("\n")) {
            Ok(fleet) => prop_assert!(!fleet.services.is_empty()),
            Err(errors) => {
                prop_assert!(!errors.0.is_empty());
                prop_assert!(
                    errors.0.iter().all(|e| e.line > 0 && e.column > 0 && !e.message.is_empty())
                );
            }
        }
        let _ = Fleet::parse(&random_text);
        let _ = Settings::parse(&random_text, &context());
        Ok(())
    });
    result.expect("errors with positions, and no panic");
}

#[test]
fn a_file_is_restored_from_its_chunks_and_a_change_affects_one() {
    for name in ["hanbit.toml", "al-harthy.toml"] {
        let fleet = Fleet::parse(&example(name)).expect("the example is valid");
        let stored = to_chunks(&fleet);
        let manifest: Manifest = decode(&stored.manifest).expect("the manifest is valid");
        let restored = from_chunks(&manifest, |name| stored.chunks.get(name).cloned())
            .expect("all chunks are there");
        assert!(diff(&fleet, &restored).is_empty());
        assert_eq!(to_chunks(&restored), stored, "equal files have equal digests");
        let mut changed = fleet.clone();
        changed.teams[0].weight += 1;
        let changed = to_chunks(&changed);
        let new = changed.chunks.keys().filter(|name| !stored.chunks.contains_key(*name)).count();
        assert_eq!(new, 1);
        let first = manifest.chunks[0];
        let missing =
            from_chunks(&manifest, |name| (*name != first).then(|| stored.chunks[name].clone()));
        assert!(matches!(missing, Err(StoredError::Missing(name)) if name == first));
        let corrupt = from_chunks(&manifest, |name| {
            let mut bytes = stored.chunks[name].clone();
            bytes[0] ^= u8::from(*name == first);
            Some(bytes)
        });
        assert!(matches!(corrupt, Err(StoredError::Corrupt(name)) if name == first));
        assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    }
}

#[test]
fn a_small_service_has_one_shard_and_a_large_one_has_bounded_shards_by_zone() {
    let mut fleet = Fleet::parse(&example("hanbit.toml")).expect("the example is valid");
    let service = fleet.services[0].id.clone();
    let shards = shards_of(&fleet, &service);
    assert_eq!((shards.len(), shards[0].engines.len()), (1, 20));
    let template = fleet.backend_servers[0].clone();
    for n in 0..230_u16 {
        let mut server = template.clone();
        server.id = format!("more-{n}").parse().expect("the id is valid");
        server.zone = fleet.zones[usize::from(n) % 4].id.clone();
        fleet.backend_servers.insert(server.id.clone(), server);
    }
    let shards = shards_of(&fleet, &service);
    assert_eq!(shards.iter().map(|s| s.engines.len()).sum::<usize>(), 250);
    assert!(shards.iter().all(|s| s.engines.len() <= SHARD_ENGINES_MAX && s.zone.is_some()));
    assert!(shards.len() <= 12, "{}", shards.len());
    // Each of the four zones has an equal share, so the weights of its shards add up to a quarter.
    let total: f64 = shards.iter().map(|s| s.weight).sum();
    for zone in fleet.zones.keys() {
        let weight: f64 =
            shards.iter().filter(|s| s.zone.as_ref() == Some(zone)).map(|s| s.weight).sum();
        assert!((weight / total - 0.25).abs() < 0.001, "{zone}: {}", weight / total);
    }
}

#[test]
fn marking_a_server_as_leaving_changes_nothing_else_in_the_text() {
    let text = example("hanbit.toml");
    let marked = mark_leaving(&text, "cert-llm-03").expect("the server is in the file");
    let (before, after) =
        (Fleet::parse(&text).expect("valid"), Fleet::parse(&marked).expect("valid"));
    let changes: Vec<String> = diff(&before, &after).iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["~ backend_server/cert-llm-03"]);
    assert_eq!(
        marked.lines().count(),
        text.lines().count() + 1,
        "one line is added; comments and order stay"
    );
    assert!(mark_leaving(&text, "nobody").is_none());
}

#[test]
fn quantities_are_parsed_and_printed_in_the_same_form() {
    for text in ["1B", "64KiB", "3MiB", "2GiB"] {
        assert_eq!(text.parse::<Size>().expect("the size is valid").to_string(), text);
    }
    for text in ["64", "64kb", "-1KiB", "99999999999GiB", ""] {
        assert!(text.parse::<Size>().is_err(), "{text}");
    }
    for text in ["0/s", "-1/s", "5", "x/s", "inf/s"] {
        assert!(text.parse::<Rate>().is_err(), "{text}");
    }
    for text in ["700ms", "30s", "5m", "1day"] {
        assert_eq!(text.parse::<Span>().expect("the duration is valid").to_string(), text);
    }
}

#[test]
fn the_example_settings_are_valid_and_all_errors_are_reported_at_once() {
    let settings =
        Settings::parse(&example("instance.toml"), &context()).expect("the example is valid");
    assert_eq!(settings.id.as_str(), "entry-1");
    Settings::parse(&example("alone.toml"), &context()).expect("the example is valid");
    let no_variables = Context::new(Clock::system(), |_| None);
    let errors = Settings::parse(&example("instance.toml"), &no_variables)
        .expect_err("no credential is set");
    assert!(
        errors.0.len() >= 4 && errors.to_string().contains("CARTVANE_PEERS is not set"),
        "{errors}"
    );
    let text = "id = \"A\"\nzone = 3\n[listen]\ncallers = \"here\"\n[timeouts]\nhed = \"1s\"\nbody = \"0s\"\n[limits]\nbody = \"1GiB\"\nrequests = 0\n[logging]\nlevel = \"loud\"\n";
    let errors = Settings::parse(text, &context()).expect_err("the text is invalid").to_string();
    for word in [
        "id",
        "region",
        "zone",
        "callers",
        "peers",
        "hed",
        "zero",
        "buffered",
        "requests",
        "loud",
        "credentials",
    ] {
        assert!(errors.contains(word), "{word}: {errors}");
    }
}

#[test]
fn a_setting_on_the_command_line_overrides_the_file() {
    let text = set(&example("alone.toml"), "limits.requests", "7").expect("the key can be set");
    let text = set(&text, "logging.level", "debug").expect("the key can be set");
    let settings = Settings::parse(&text, &context()).expect("the settings are valid");
    assert_eq!((settings.limits.requests, settings.logging.level), (7, log::LevelFilter::Debug));
    assert!(set(&text, "id.x", "1").is_err());
}

#[test]
fn the_settings_page_has_the_table_of_the_code() {
    let page = fs::read_to_string(format!("{}/docs/SETTINGS.md", env!("CARGO_MANIFEST_DIR")))
        .expect("the page is readable");
    assert!(
        page.contains(&reference::markdown()),
        "docs/SETTINGS.md does not have this table:\n{}",
        reference::markdown()
    );
    for row in reference::rows()
        .iter()
        .filter(|row| row.key.starts_with("timeouts.") || row.key.starts_with("limits."))
    {
        let value = if row.default.parse::<u64>().is_ok() {
            row.default.clone()
        } else {
            format!("\"{}\"", row.default)
        };
        let text = set(&example("alone.toml"), row.key, &value).expect("the key can be set");
        Settings::parse(&text, &context()).unwrap_or_else(|errors| panic!("{}: {errors}", row.key));
    }
}

#[test]
fn a_json_log_line_is_one_object_with_the_keys_of_the_message() {
    let record = log::Record::builder().level(log::Level::Warn).build();
    let message =
        "attempt id=7-1 service=app backend_server=app-1 fault=Connect \"quoted\"\nsecond";
    let line = cartvane::logging::json_line("2026-12-02T00:00:00Z", "entry-1", &record, message);
    assert!(!line.contains('\n'), "more than one line: {line}");
    let value: serde_json::Value = serde_json::from_str(&line).expect("the line is a JSON object");
    let member = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    assert_eq!(member("level"), "warn");
    assert_eq!(member("instance"), "entry-1");
    assert_eq!(member("message"), message);
    assert_eq!((member("id"), member("backend_server")), ("7-1".to_owned(), "app-1".to_owned()));
}

#[test]
fn event_lines_are_json_objects_whatever_their_values_contain() {
    let line = |message: &str| -> serde_json::Value {
        let line = cartvane::logging::event_line("t", "i", log::Level::Info, message);
        serde_json::from_str(&line).expect("the line is a JSON object")
    };
    let refused = line(
        "event=refused status=404 reason=\"no route \\\"x y\\\" here\" target=\"/a b=c\" rest",
    );
    assert_eq!(refused["status"], 404);
    assert_eq!(refused["reason"], "no route \"x y\" here");
    assert_eq!(refused["target"], "/a b=c");
    assert_eq!(refused["message"], "rest");
    assert_eq!(line("event=x request=12e5 empty= odd=\"unended")["request"], "12e5");
}

/// Guards against files that crash the check, such as deeply nested or non-UTF-8 ones: each is rejected with the
/// position of its error.
#[test]
fn an_invalid_file_is_rejected_with_the_position_of_the_error() {
    let hanbit = example("hanbit.toml");
    let team = hanbit.find("[[team]]").expect("the example has a team");
    let twice = "[[team]]\nid = \"drivers\"\nkeys = []\nweight = 1\n";
    let cases: [(&str, Vec<u8>, &str); 8] = [
        ("random bytes", vec![0x61, 0x0a, 0x62, 0xff, 0xfe, 0x00], ":2:2: not UTF-8"),
        ("nested brackets", "[".repeat(20_000).into_bytes(), ":1:"),
        ("nested values", format!("a = {}", "[".repeat(20_000)).into_bytes(), ":1:"),
        (
            "a number out of range",
            hanbit.replacen("weight = 8", "weight = 99999999999999999999", 1).into_bytes(),
            "weight",
        ),
        ("a byte order mark before a table", [b"\xef\xbb\xbf[teams.a]\n".to_vec()].concat(), ":1:"),
        (
            "a team that is defined twice",
            [&hanbit[..team], twice, &hanbit[team..]].concat().into_bytes(),
            "drivers",
        ),
        ("an empty file", Vec::new(), ":1:1: key_salt"),
        ("an unterminated string", b"key_salt = \"abc".to_vec(), ":1:"),
    ];
    for (case, bytes, expected) in cases {
        let path = std::env::temp_dir().join(format!("cartvane-bad-{}.toml", std::process::id()));
        fs::write(&path, bytes).expect("the file is written");
        let output = std::process::Command::new(crate::support::BINARY)
            .arg("check")
            .arg(&path)
            .output()
            .expect("the command runs");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{case}: {stderr}");
        assert!(stderr.contains(expected), "{case}: {stderr:?} does not contain {expected:?}");
        fs::remove_file(&path).expect("the file is removed");
    }
}
