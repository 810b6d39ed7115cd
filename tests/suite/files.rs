//! The operators' file and the settings: any text is taken whole or refused whole.

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
        .expect("an example")
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

fn context() -> Context {
    Context::new(Clock::system(), |_| Some("a-credential-of-16-bytes".to_owned()))
}

#[test]
fn any_text_is_taken_whole_or_refused_with_faults() {
    let hanbit = example("hanbit.toml");
    let lines: Vec<String> = hanbit.lines().map(str::to_owned).collect();
    let strategy = (
        proptest::collection::vec(
            (any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0..4_u8),
            1..6,
        ),
        any::<String>(),
    );
    let done = TestRunner::new(config(150)).run(&strategy, |(edits, noise)| {
        let mut lines = lines.clone();
        for (a, b, how) in edits {
            let (a, b) = (a.index(lines.len()), b.index(lines.len()));
            match how {
                0 => lines.swap(a, b),
                1 => drop(lines.remove(a)),
                2 => lines.insert(a, noise.clone()),
                _ => lines[a] = lines[a].replace('1', "-"),
            }
        }
        match Fleet::parse(&lines.join("\n")) {
            Ok(fleet) => prop_assert!(!fleet.services.is_empty()),
            Err(faults) => {
                prop_assert!(!faults.0.is_empty());
                prop_assert!(
                    faults.0.iter().all(|f| f.line > 0 && f.column > 0 && !f.message.is_empty())
                );
            }
        }
        let _ = Fleet::parse(&noise);
        let _ = Settings::parse(&noise, &context());
        Ok(())
    });
    done.expect("never a panic");
}

#[test]
fn a_file_comes_back_from_its_chunks_and_a_change_touches_one() {
    for name in ["hanbit.toml", "al-harthy.toml"] {
        let fleet = Fleet::parse(&example(name)).expect("sound");
        let stored = to_chunks(&fleet);
        let manifest: Manifest = decode(&stored.manifest).expect("a manifest");
        let back = from_chunks(&manifest, |name| stored.chunks.get(name).cloned()).expect("whole");
        assert!(diff(&fleet, &back).is_empty());
        assert_eq!(to_chunks(&back), stored, "the same file has the same digests");
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
fn shards_are_one_for_a_small_service_and_bounded_by_zone_for_a_large_one() {
    let mut fleet = Fleet::parse(&example("hanbit.toml")).expect("sound");
    let service = fleet.services[0].id.clone();
    let shards = shards_of(&fleet, &service);
    assert_eq!((shards.len(), shards[0].engines.len()), (1, 20));
    let template = fleet.backend_servers[0].clone();
    for n in 0..230_u16 {
        let mut server = template.clone();
        server.id = format!("more-{n}").parse().expect("an id");
        server.zone = fleet.zones[usize::from(n) % 4].id.clone();
        fleet.backend_servers.insert(server.id.clone(), server);
    }
    let shards = shards_of(&fleet, &service);
    assert_eq!(shards.iter().map(|s| s.engines.len()).sum::<usize>(), 250);
    assert!(shards.iter().all(|s| s.engines.len() <= SHARD_ENGINES_MAX && s.zone.is_some()));
    assert!(shards.len() <= 12, "{}", shards.len());
    // The share of a zone is the sum of its engines' weights.
    let total: f64 = shards.iter().map(|s| s.weight).sum();
    for zone in fleet.zones.keys() {
        let weight: f64 =
            shards.iter().filter(|s| s.zone.as_ref() == Some(zone)).map(|s| s.weight).sum();
        assert!((weight / total - 0.25).abs() < 0.001, "{zone}: {}", weight / total);
    }
}

#[test]
fn taking_a_server_out_changes_only_that_in_the_text() {
    let text = example("hanbit.toml");
    let marked = mark_leaving(&text, "cert-llm-03").expect("known");
    let (before, after) =
        (Fleet::parse(&text).expect("sound"), Fleet::parse(&marked).expect("sound"));
    let changes: Vec<String> = diff(&before, &after).iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["~ backend_server/cert-llm-03"]);
    assert_eq!(marked.lines().count(), text.lines().count() + 1, "comments and order stay");
    assert!(mark_leaving(&text, "nobody").is_none());
}

#[test]
fn quantities_are_read_as_they_are_written() {
    for text in ["1B", "64KiB", "3MiB", "2GiB"] {
        assert_eq!(text.parse::<Size>().expect("a size").to_string(), text);
    }
    for text in ["64", "64kb", "-1KiB", "99999999999GiB", ""] {
        assert!(text.parse::<Size>().is_err(), "{text}");
    }
    for text in ["0/s", "-1/s", "5", "x/s", "inf/s"] {
        assert!(text.parse::<Rate>().is_err(), "{text}");
    }
    for text in ["700ms", "30s", "5m", "1day"] {
        assert_eq!(text.parse::<Span>().expect("a span").to_string(), text);
    }
}

#[test]
fn the_example_settings_are_sound_and_faulty_ones_are_told_at_once() {
    let settings = Settings::parse(&example("instance.toml"), &context()).expect("sound");
    assert_eq!(settings.id.as_str(), "entry-1");
    Settings::parse(&example("alone.toml"), &context()).expect("sound");
    let nothing = Context::new(Clock::system(), |_| None);
    let faults =
        Settings::parse(&example("instance.toml"), &nothing).expect_err("no credential is set");
    assert!(
        faults.0.len() >= 4 && faults.to_string().contains("CARTVANE_PEERS is not set"),
        "{faults}"
    );
    let text = "id = \"A\"\nzone = 3\n[listen]\ncallers = \"here\"\n[timeouts]\nhed = \"1s\"\nbody = \"0s\"\n[limits]\nbody = \"1GiB\"\nrequests = 0\n[logging]\nlevel = \"loud\"\n";
    let faults = Settings::parse(text, &context()).expect_err("faulty").to_string();
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
        assert!(faults.contains(word), "{word}: {faults}");
    }
}

#[test]
fn a_setting_given_on_the_command_line_goes_before_the_file() {
    let text = set(&example("alone.toml"), "limits.requests", "7").expect("set");
    let text = set(&text, "logging.level", "debug").expect("set");
    let settings = Settings::parse(&text, &context()).expect("sound");
    assert_eq!((settings.limits.requests, settings.logging.level), (7, log::LevelFilter::Debug));
    assert!(set(&text, "id.x", "1").is_err());
}

#[test]
fn the_page_of_settings_is_the_code_s() {
    let page = fs::read_to_string(format!("{}/docs/SETTINGS.md", env!("CARGO_MANIFEST_DIR")))
        .expect("the page");
    assert!(
        page.contains(&reference::markdown()),
        "docs/SETTINGS.md lacks this table:\n{}",
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
        let text = set(&example("alone.toml"), row.key, &value).expect("set");
        Settings::parse(&text, &context()).unwrap_or_else(|faults| panic!("{}: {faults}", row.key));
    }
}

#[test]
fn a_json_log_line_is_one_object_with_the_words_of_the_message() {
    let record = log::Record::builder().level(log::Level::Warn).build();
    let message =
        "attempt id=7-1 service=app backend_server=app-1 fault=Connect \"quoted\"\nsecond";
    let line = cartvane::logging::json_line("2026-12-02T00:00:00Z", "entry-1", &record, message);
    assert!(!line.contains('\n'), "one line: {line}");
    let value: serde_json::Value = serde_json::from_str(&line).expect("an object");
    let member = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    assert_eq!(member("level"), "warn");
    assert_eq!(member("instance"), "entry-1");
    assert_eq!(member("message"), message);
    assert_eq!((member("id"), member("backend_server")), ("7-1".to_owned(), "app-1".to_owned()));
}

#[test]
fn lines_of_events_are_objects_whatever_their_values_hold() {
    let line = |message: &str| -> serde_json::Value {
        let line = cartvane::logging::event_line("t", "i", log::Level::Info, message);
        serde_json::from_str(&line).expect("a line is a JSON object")
    };
    let told = line(
        "event=refused status=404 reason=\"no route \\\"x y\\\" here\" target=\"/a b=c\" rest",
    );
    assert_eq!(told["status"], 404);
    assert_eq!(told["reason"], "no route \"x y\" here");
    assert_eq!(told["target"], "/a b=c");
    assert_eq!(told["message"], "rest");
    assert_eq!(line("event=x request=12e5 empty= odd=\"unended")["request"], "12e5");
}

/// Whatever is in a file, it is refused with a line that names the place, and never by a crash.
#[test]
fn any_bad_file_is_refused_with_its_place() {
    let hanbit = example("hanbit.toml");
    let team = hanbit.find("[[team]]").expect("a team");
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
        ("a mark before a table", [b"\xef\xbb\xbf[teams.a]\n".to_vec()].concat(), ":1:"),
        (
            "a team twice",
            [&hanbit[..team], twice, &hanbit[team..]].concat().into_bytes(),
            "drivers",
        ),
        ("nothing", Vec::new(), ":1:1: key_salt"),
        ("no end of a text", b"key_salt = \"abc".to_vec(), ":1:"),
    ];
    for (what, bytes, told) in cases {
        let path = std::env::temp_dir().join(format!("cartvane-bad-{}.toml", std::process::id()));
        fs::write(&path, bytes).expect("the file is written");
        let output = std::process::Command::new(crate::support::BINARY)
            .arg("check")
            .arg(&path)
            .output()
            .expect("the command runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{what}: {said}");
        assert!(said.contains(told), "{what}: {said:?} does not tell of {told:?}");
        fs::remove_file(&path).expect("the file is removed");
    }
}
