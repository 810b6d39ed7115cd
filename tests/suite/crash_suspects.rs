//! Blame for ends of servers, verdicts, and the table that keeps them, on a made-up clock.

use std::time::{Duration, Instant};

use cartvane::routing::{
    CrashAttribution, CrashReport, HeldRow, HeldTablePlan, HeldTableSync, Incarnation, Judgement,
    RecentSuccesses, RequestDigest, RequestFingerprint, RunId, ServerCrashes, StoreEra, Suspect,
    VerdictUpdate, Verdicts, crash_suspects::verdicts::HOLD_DURATION,
};

fn server(name: &str) -> Incarnation {
    name.parse().expect("an id")
}

fn fingerprint(request: u64) -> RequestFingerprint {
    RequestFingerprint(request as u32)
}

fn suspect(request: u64, long_running: bool) -> Suspect {
    Suspect { fingerprint: fingerprint(request), digest: RequestDigest(request), long_running }
}

fn end(name: &str, in_flight: impl IntoIterator<Item = Suspect>) -> CrashReport {
    CrashReport {
        server: server(name).tag(),
        service: "app".parse().expect("a name"),
        age_ms: 0,
        in_flight: in_flight.into_iter().collect(),
    }
}

fn verdict(request: u64, judgement: Judgement, age: Duration) -> VerdictUpdate {
    let age_ms = age.as_millis() as u64;
    VerdictUpdate {
        digest: RequestDigest(request),
        fingerprint: fingerprint(request),
        judgement,
        age_ms,
    }
}

fn holds(verdicts: &Verdicts, now: Instant, request: u64) -> bool {
    verdicts.held(now, fingerprint(request), || RequestDigest(request)).is_some()
}

/// Tells of the end of a server and returns which requests are found.
fn found(collector: &mut CrashAttribution, now: Instant, told: &CrashReport) -> Vec<u64> {
    let findings = collector.take(now, std::slice::from_ref(told));
    findings.iter().map(|finding| finding.digest.0).collect()
}

#[test]
fn the_request_that_was_at_three_ended_servers_is_found() {
    let now = Instant::now();
    // (what each of the servers had: requests, and those that had run on; who is found at the last)
    type Case = (&'static str, Vec<(Vec<u64>, Vec<u64>)>, Vec<u64>);
    let cases: [Case; 6] = [
        ("two servers", vec![(vec![1], vec![]), (vec![1], vec![])], vec![]),
        ("three", vec![(vec![1, 2], vec![]), (vec![1], vec![]), (vec![1, 3], vec![])], vec![1]),
        ("they ran on", vec![(vec![], vec![1]), (vec![], vec![1]), (vec![], vec![1])], vec![]),
        (
            "two that went together",
            vec![(vec![1, 2], vec![]), (vec![1, 2], vec![]), (vec![1, 2], vec![])],
            vec![],
        ),
        ("one of two that goes on", vec![(vec![1, 2], vec![]); 4], vec![]),
        (
            "and is at a fifth",
            [vec![(vec![1, 2], vec![]); 4], vec![(vec![1], vec![])]].concat(),
            vec![1],
        ),
    ];
    for (what, servers, wanted) in cases {
        let mut collector = CrashAttribution::default();
        let mut last = Vec::new();
        for (number, (begun, long_running)) in servers.into_iter().enumerate() {
            let begun = begun.into_iter().map(|request| suspect(request, false));
            let long_running = long_running.into_iter().map(|request| suspect(request, true));
            last =
                found(&mut collector, now, &end(&format!("s{number}"), begun.chain(long_running)));
        }
        assert_eq!(last, wanted, "{what}");
    }
}

// Where half the servers are killed at a time, some request is at three of them: it has been at three of twenty.
#[test]
fn a_request_that_was_at_few_of_the_ended_servers_is_not_found() {
    let now = Instant::now();
    let mut collector = CrashAttribution::default();
    for number in 0..20 {
        let in_flight = if number % 8 == 0 { vec![suspect(1, false)] } else { Vec::new() };
        assert_eq!(
            found(&mut collector, now, &end(&format!("s{number}"), in_flight)),
            Vec::<u64>::new()
        );
    }
}

// A caller whose bodies differ each time is at as many ends as it has requests: it fills the table, and the request
// that has been at two servers must stay in it.
#[test]
fn a_flood_of_suspects_is_bounded_and_hides_nobody() {
    let now = Instant::now();
    let mut collector = CrashAttribution::default();
    for name in ["a", "b"] {
        found(&mut collector, now, &end(name, [suspect(1, false)]));
    }
    found(&mut collector, now, &end("flood", (10..20_010).map(|request| suspect(request, false))));
    assert!(collector.suspects() <= 16_384, "{}", collector.suspects());
    assert_eq!(found(&mut collector, now, &end("c", [suspect(1, false)])), vec![1]);
}

#[test]
fn an_answer_clears_a_request_for_all() {
    let now = Instant::now();
    let mut collector = CrashAttribution::default();
    for name in ["a", "b"] {
        found(&mut collector, now, &end(name, [suspect(1, false)]));
    }
    let mut verdicts = Verdicts::default();
    let later = now + Duration::from_secs(1);
    verdicts.watch(now, &collector.watched(later));
    assert_eq!(verdicts.answered(now, fingerprint(2), || RequestDigest(2)), None);
    assert_eq!(verdicts.answered(now, fingerprint(1), || RequestDigest(1)), Some(RequestDigest(1)));
    collector.clear(now, RequestDigest(1));
    assert_eq!(found(&mut collector, now, &end("c", [suspect(1, false)])), Vec::<u64>::new());
    assert!(collector.watched(later).is_empty());
}

#[test]
fn a_verdict_holds_as_long_as_it_says_and_an_answer_outranks_it() {
    let now = Instant::now();
    let mut verdicts = Verdicts::default();
    assert!(verdicts.is_idle());
    let minute = Duration::from_secs(60);
    verdicts.take(now, &[verdict(1, Judgement::Held, minute)]);
    verdicts.take(now, &[verdict(2, Judgement::Held, HOLD_DURATION)]);
    assert!(holds(&verdicts, now, 1) && !holds(&verdicts, now, 2));
    assert!(holds(&verdicts, now + HOLD_DURATION - minute * 2, 1));
    assert!(!holds(&verdicts, now + HOLD_DURATION, 1));
    assert_eq!(verdicts.updates(now)[0].age_ms, 60_000);
    assert!(verdicts.updates(now + HOLD_DURATION).is_empty() && verdicts.is_idle());
    verdicts.take(now, &[verdict(1, Judgement::Held, minute)]);
    verdicts.clear(now, RequestDigest(1));
    assert!(verdicts.take(now, &[verdict(1, Judgement::Held, minute)]).is_empty());
    assert!(!holds(&verdicts, now, 1));
    // What ends servers though it was cleared is held back again.
    let later = now + minute * 2;
    verdicts.updates(later);
    verdicts.take(later, &[verdict(1, Judgement::Held, Duration::ZERO)]);
    assert!(holds(&verdicts, later, 1));
    verdicts.take(now, &(0..1000).map(|n| verdict(n, Judgement::Held, minute)).collect::<Vec<_>>());
    assert!(verdicts.updates(now).len() <= 128);
}

// The instance that collected the reports was killed: what it had been told of ends was lost with it, and the request
// had three servers more until the next one found it.
#[test]
fn an_instance_that_has_just_begun_to_collect_is_told_all_again() {
    let now = Instant::now();
    let mut ends = ServerCrashes::default();
    let service = "app".parse().expect("a name");
    ends.note(now, &server("a"), &service, suspect(1, false));
    let news = ends.unreported(now);
    assert_eq!(news.len(), 1);
    ends.mark_reported(RunId(1), &news);
    assert!(ends.unreported(now).is_empty());
    ends.note(now, &server("b"), &service, suspect(1, false));
    let news = ends.unreported(now);
    assert_eq!(news.len(), 1);
    ends.mark_reported(RunId(2), &news);
    let again = ends.unreported(now + Duration::from_secs(3));
    assert_eq!(again.iter().map(|told| told.server).collect::<Vec<_>>(), [server("a").tag()]);
    assert_eq!(again[0].age_ms, 3000);
}

#[test]
fn bodies_are_read_only_of_repeats_and_while_servers_end() {
    let now = Instant::now();
    let mut answered = RecentSuccesses::default();
    let mut read = 0;
    let mut note = |answered: &mut RecentSuccesses, at: Instant, request: u64| {
        answered.note(at, fingerprint(request), || {
            read += 1;
            RequestDigest(request)
        });
        read
    };
    assert_eq!(note(&mut answered, now, 1), 0);
    assert!(!answered.has(now, fingerprint(1), RequestDigest(1)));
    assert_eq!(note(&mut answered, now, 1), 1);
    assert_eq!(note(&mut answered, now, 1), 1, "once a second");
    assert!(answered.has(now, fingerprint(1), RequestDigest(1)));
    answered.alert(now);
    assert_eq!(note(&mut answered, now, 2), 2);
    assert!(answered.has(now, fingerprint(2), RequestDigest(2)));
    let later = now + Duration::from_secs(150);
    assert!(!answered.has(later, fingerprint(1), RequestDigest(1)));
    assert_eq!(note(&mut answered, later, 3), 2);
}

#[test]
fn the_table_and_the_verdicts_are_brought_in_line() {
    let now = Instant::now();
    let whole = HOLD_DURATION.as_millis() as u64;
    let held = |request: u64| verdict(request, Judgement::Held, Duration::ZERO);
    let row = |request: u64, until_ms: u64| HeldRow {
        digest: RequestDigest(request),
        fingerprint: fingerprint(request),
        until_ms,
    };
    let mut watch = HeldTableSync::new(false);
    assert!(!watch.is_idle(&[]), "it has not been read");
    let rows = [row(1, 1000 + whole / 2), row(2, 999)];
    let plan = watch.plan(1000, &rows, &[held(3)]);
    assert_eq!(plan.adopted, [verdict(1, Judgement::Held, HOLD_DURATION / 2)]);
    assert_eq!(plan.remove, [RequestDigest(2)]);
    assert_eq!(plan.write, [row(3, 1000 + whole)]);
    watch.mark_applied(&rows, &plan);
    let rows = [row(1, 1000 + whole / 2)];
    let cleared = verdict(1, Judgement::Cleared, Duration::ZERO);
    let plan = watch.plan(2000, &rows, &[cleared, held(3)]);
    assert_eq!((plan.remove, plan.lifted), (vec![RequestDigest(1)], vec![RequestDigest(3)]));
    // The store came back from a copy of before: what is missing was lost with it, and nobody has lifted anything.
    watch.mark_applied(&rows, &HeldTablePlan::default());
    watch.note_era(StoreEra(1));
    let plan = watch.plan(1500, &[], &[held(1), held(3)]);
    assert!(plan.lifted.is_empty());
    assert_eq!(plan.write, [row(1, 1500 + whole), row(3, 1500 + whole)]);
    let mut verdicts = Verdicts::default();
    verdicts.take(now, &[held(3)]);
    assert!(watch.is_read() && !watch.is_idle(&verdicts.updates(now)));
}
