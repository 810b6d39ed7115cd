//! Odd figures in what the router mode reads: reports of engines, messages of instances, operators' files and rows.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use cartvane::{
    clock::Clock,
    configs::{
        fleet::{
            BackendServer, Fleet,
            chunks::{Digest, decode, encode},
        },
        settings::Settings,
    },
    context::Context,
    contract::{
        claim::{Claim, ClaimState},
        lease::{Lease, LeaseRow},
        permit::{PermitId, Release, ReleaseKind, TeamPolicy},
        revision::{HEAD_KEY, Head},
        team_limits::TeamLimits,
    },
    instance::{
        Instance,
        cluster_state::apply::apply,
        homes::engines::EngineStatus,
        requests::claims::{ClaimDecision, Claims},
    },
    link::wire::{Hello, ReleaseWire},
    names::Tag,
    platform::{Expect, Operation, Row, Table, TransactReply, Write},
    units::{Revision, Span},
    utils::supervisor,
    zone::home::{Event, ShardLoad, WARM_UP},
};

use crate::{
    home::{ENTRY, home, request, settings as home_settings},
    support::eventually,
};

/// An operators' file with one team, which has this further line, one service and one backend server.
fn file(line: &str) -> String {
    format!(
        r#"key_salt = "salt"
[[zone]]
id = "north"
region = "loopback"
[[team]]
id = "crew"
keys = ["{key}"]
{line}
[[service]]
id = "app"
kind = "plain"
[[backend_server]]
id = "a"
service = "app"
address = "127.0.0.1:1"
zone = "north"
"#,
        key = "0".repeat(64)
    )
}

fn router(clock: Clock) -> Instance {
    let text = r#"id = "one"
region = "loopback"
zone = "north"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[credentials]
peers = ["env:PEERS"]
operators = ["env:PEERS"]
[timeouts]
revision_poll = "50ms"
heartbeat = "50ms"
"#;
    let context = Context::new(clock, |_| Some("a-long-enough-credential".to_owned()));
    Instance::spawn(Settings::parse(text, &context).expect("settings"), &context).expect("a router")
}

// Guards against reported loads that overflow in a sum, which ended the thread that grants permits.
#[test]
fn loads_of_engines_and_shards_do_not_overflow_in_sums() {
    let (mut home, warm) = home(3, 8, home_settings());
    let now = warm - WARM_UP;
    let shard = ShardLoad { load: u32::MAX, engines: u32::MAX };
    for number in 1..=3 {
        home.handle(now, Event::Probed(Tag(number), u32::MAX));
        home.handle(now, Event::OtherShardLoad(Tag(number), shard));
    }
    home.handle(now, Event::PermitRequest(request(1, 7), TeamPolicy::default()));
    assert!(home.bound(now) > 0);
    assert_eq!(home.shard_load(now).engines, 3);
}

// Guards against a load that no engine can have: it lifts the load bound of the engines beside it.
#[test]
fn loads_that_cannot_be_are_not_believed() {
    let hello = Hello { from: ENTRY, incarnation: 1, revision: Revision(1), leaving: false };
    for (load, believed) in [(0, true), (64, true), (1_000_000, true), (1_000_001, false)] {
        let text = format!(r#"{{"load": {load}, "state": "ready"}}"#);
        let status: EngineStatus = serde_json::from_str(&text).expect("a status");
        assert_eq!(status.load, if believed { load } else { 0 }, "{load}");
        let release = Release { number: 1, kind: ReleaseKind::Done, load: Some(load) };
        let sent = ReleaseWire::new(&release).into_release(&hello);
        assert_eq!(sent.load, believed.then_some(load), "{load}");
    }
    let bounded = |load, engines| {
        let load: ShardLoad = decode(&encode(&ShardLoad { load, engines })).expect("a load");
        (load.load, load.engines)
    };
    assert_eq!(bounded(20, 3), (20, 3));
    assert_eq!(bounded(u32::MAX, u32::MAX), (32_000_000, 32));
}

// Guards against numbers that are counted on from a row or message and overflow.
#[test]
fn counters_of_rows_are_bounded() {
    let now = Instant::now();
    let holder = || "one".parse().expect("an id");
    for (number, is_used) in [(7, true), (1 << 53, true), ((1 << 53) + 1, false), (u64::MAX, false)]
    {
        let row = LeaseRow { holder: holder(), incarnation: 1, fencing: number, renewal: number };
        let decoded = decode::<LeaseRow>(&encode(&row));
        assert_eq!(decoded.is_ok(), is_used, "{number}");
        if let Ok(row) = decoded {
            Lease::new(holder(), 1).step(now, Some((row, 1)));
        }
        assert_eq!(decode::<Revision>(&encode(&Revision(number))).is_ok(), is_used, "{number}");
        assert!(Revision(number).next() >= Revision(number));
    }
}

// Guards against a version of a row at which the thread of a request with an idempotency key ended.
#[test]
fn a_claim_is_renewed_whatever_version_its_row_has() {
    let claim = |attempt: &str, expires_at| Claim {
        attempt: attempt.to_owned(),
        request: Digest::of(b"request"),
        state: ClaimState::Unknown,
        deadline_at: 0,
        expires_at,
    };
    let found = Row { key: "k".to_owned(), value: encode(&claim("old", 0)), version: u64::MAX };
    let transact = move |transaction: &cartvane::platform::Transaction| {
        let creates = transaction.operations.iter().any(|o| o.expect == Expect::Absent);
        Ok(match creates {
            true => TransactReply::Conflict { key: "k".to_owned(), row: Some(found.clone()) },
            false => TransactReply::Committed,
        })
    };
    let table = Table::new(transact, |_| Ok(None), |_, _, _| Ok(Vec::new()));
    let claims = Claims::new(table, Clock::system());
    let decision = claims.begin("k", &claim("new", u64::MAX));
    assert!(matches!(decision, ClaimDecision::Run(_)), "{decision:?}");
}

// Guards against a rate at which the wait for the next request, and with it the home, panicked.
#[test]
fn a_team_may_have_any_rate() {
    let now = Instant::now();
    for text in ["1e-20/s", "1e-300/s", "5e-324/s", "1e300/s"] {
        let fleet = Fleet::parse(&file(&format!("rate = {text:?}"))).expect("a file");
        let team = fleet.teams.first().expect("a team").1;
        let policy = TeamPolicy { rate: team.rate, ..TeamPolicy::default() };
        let mut limits = TeamLimits::default();
        for _ in 0..3 {
            let wait = limits.admit(now, Tag(1), &policy).err().map(|(_, wait)| wait);
            assert!(wait <= Some(Duration::from_secs(30 * 24 * 3600)), "{text}: {wait:?}");
        }
    }
}

// Guards against times and capacities of files whose sums overflow: no caller got a response.
#[test]
fn times_and_capacities_of_files_are_bounded() {
    let error = "500000000000years".parse::<Span>().expect_err("too long").to_string();
    assert!(error.contains("at most 30days"), "{error}");
    let longest = Span::secs(30 * 24 * 3600);
    assert_eq!("30days".parse(), Ok(longest));
    assert_eq!(decode::<Span>(&encode(&Span(Duration::MAX))).expect("a time"), longest);
    let fleet = Fleet::parse(&file("")).expect("a file");
    let server = fleet.backend_servers.first().expect("a server").1.clone();
    for (stored, used) in [(0, 1), (8, 8), (u32::MAX, 1_000_000)] {
        let odd = BackendServer { capacity: stored, ..server.clone() };
        assert_eq!(decode::<BackendServer>(&encode(&odd)).expect("a server").capacity, used);
    }
}

// Guards against a permit of an entry that was forgotten meanwhile, whose release made a count overflow.
#[test]
fn a_permit_that_was_granted_to_a_forgotten_entry_is_released() {
    let (mut home, now) = home(1, 1, home_settings());
    for number in [1, 2] {
        let other = PermitId { entry: Tag(800 + number), number: u64::from(number) };
        let request = cartvane::contract::permit::PermitRequest { id: other, ..request(0, 7) };
        home.handle(now, Event::PermitRequest(request, TeamPolicy::default()));
    }
    let release = |entry: u32| {
        let number = u64::from(entry - 800);
        Event::Release(Tag(entry), Release { number, kind: ReleaseKind::Done, load: None })
    };
    let later = now + Duration::from_secs(5);
    home.handle(later - Duration::from_secs(2), Event::HeldCount(Tag(801), 1));
    home.handle(later, Event::Tick);
    home.handle(later, release(801));
    home.handle(later, Event::HeldCount(Tag(802), 1));
    home.handle(later, release(802));
    assert_eq!(home.permits(), 0);
}

// Guards against a row for the newest configuration after which no configuration is followed, also once it is gone.
#[test]
fn an_odd_head_row_does_not_keep_configurations_from_being_followed() {
    let instance = router(Clock::system());
    let shared = instance.shared();
    let applied = apply(shared, &file(""), None, "test").expect("a file");
    let stored = shared.platform.table.get(HEAD_KEY).expect("a table").expect("a row").value;
    let head: Head = decode(&stored).expect("a head");
    let put = |value: Vec<u8>| {
        let operation =
            Operation { key: HEAD_KEY.to_owned(), expect: Expect::Any, write: Write::Put(value) };
        shared.platform.table.transact(vec![operation]).expect("a table");
        thread::sleep(Duration::from_millis(300));
    };
    let missing = Head { revision: Revision(1000), manifest: Digest::of(b"none"), ..head.clone() };
    put(encode(&missing));
    put(stored);
    let mut revision = applied.revision;
    let largest = Head { revision: Revision(u64::MAX), ..head };
    for (number, odd) in [vec![0xc1; 9], encode(&largest)].into_iter().enumerate() {
        put(odd);
        let line = format!("weight = {}", number + 2);
        let applied = apply(shared, &file(&line), None, "test").expect("a file");
        assert!(applied.revision > revision, "{number}");
        revision = applied.revision;
        eventually("the file is in force", || shared.revision() == revision);
    }
}

// Guards against a router that looks ready although one of its threads has ended.
#[test]
fn a_thread_of_a_router_that_panics_goes_on_once_the_cause_is_gone() {
    for name in ["heartbeat", "tick"] {
        let is_odd = Arc::new(AtomicBool::new(false));
        let (odd, calls) = (Arc::clone(&is_odd), AtomicU32::new(0));
        let began = Instant::now();
        let now = move || {
            // The supervisor asks for the time as well, after each panic.
            let panics = thread::current().name() == Some(name)
                && odd.load(Ordering::SeqCst)
                && calls.fetch_add(1, Ordering::SeqCst) % 2 == 0;
            assert!(!panics, "injected");
            began.elapsed()
        };
        let instance = router(Clock::from_boot_time(now, SystemTime::now));
        let shared = instance.shared();
        apply(shared, &file(""), None, "test").expect("a file");
        assert!(shared.is_ready());
        let count = || supervisor::panics().iter().find(|(of, _)| of == name).map_or(0, |p| p.1);
        let before = count();
        is_odd.store(true, Ordering::SeqCst);
        eventually("it has panicked several times", || count() >= before + 3);
        assert!(!shared.is_ready(), "{name}");
        is_odd.store(false, Ordering::SeqCst);
        eventually("the router is ready again", || shared.is_ready());
    }
}
