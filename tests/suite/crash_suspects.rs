//! Attribution of server crashes to requests, verdicts, and the table that stores them, on a mock clock.

use std::time::{Duration, Instant};

use cartvane::routing::{
    CrashAttribution, CrashReport, HeldRow, HeldTablePlan, HeldTableSync, Incarnation, Judgement,
    RecentSuccesses, RequestFingerprint, RunId, ServerCrashes, StoreEra, Suspect, SuspectDigest,
    SuspectKind, VerdictUpdate, Verdicts, crash_suspects::verdicts::HOLD_DURATION,
};

fn server(name: &str) -> Incarnation {
    name.parse().expect("an id")
}

fn fingerprint(request: u64) -> RequestFingerprint {
    RequestFingerprint(request as u32)
}

fn suspect(request: u64, long_running: bool) -> Suspect {
    Suspect {
        fingerprint: fingerprint(request),
        digest: SuspectDigest(request),
        long_running,
        parts: Vec::new(),
        is_cleared: false,
    }
}

fn crash(name: &str, in_flight: impl IntoIterator<Item = Suspect>) -> CrashReport {
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
        digest: SuspectDigest(request),
        fingerprint: fingerprint(request),
        judgement,
        age_ms,
        kind: SuspectKind::Request,
    }
}

fn holds(verdicts: &Verdicts, now: Instant, request: u64) -> bool {
    verdicts.held(now, fingerprint(request), || SuspectDigest(request)).is_some()
}

/// Reports the crash of a server and returns the requests that are found to crash servers.
fn found(attribution: &mut CrashAttribution, now: Instant, report: &CrashReport) -> Vec<u64> {
    let findings = attribution.record(now, std::slice::from_ref(report));
    findings.iter().map(|finding| finding.digest.0).collect()
}

#[test]
fn the_request_in_flight_at_three_crashed_servers_is_found() {
    let now = Instant::now();
    // (name, for each server the requests that had just begun and those that ran long, requests found at the last
    // crash)
    type Case = (&'static str, Vec<(Vec<u64>, Vec<u64>)>, Vec<u64>);
    let cases: [Case; 6] = [
        ("two servers", vec![(vec![1], vec![]), (vec![1], vec![])], vec![]),
        ("three", vec![(vec![1, 2], vec![]), (vec![1], vec![]), (vec![1, 3], vec![])], vec![1]),
        (
            "long-running ones",
            vec![(vec![], vec![1]), (vec![], vec![1]), (vec![], vec![1])],
            vec![],
        ),
        (
            "two that were at the same servers",
            vec![(vec![1, 2], vec![]), (vec![1, 2], vec![]), (vec![1, 2], vec![])],
            vec![],
        ),
        ("two at the same four servers", vec![(vec![1, 2], vec![]); 4], vec![]),
        (
            "one of the two at a fifth server",
            [vec![(vec![1, 2], vec![]); 4], vec![(vec![1], vec![])]].concat(),
            vec![1],
        ),
    ];
    for (what, servers, expected) in cases {
        let mut attribution = CrashAttribution::default();
        let mut last = Vec::new();
        for (number, (begun, long_running)) in servers.into_iter().enumerate() {
            let begun = begun.into_iter().map(|request| suspect(request, false));
            let long_running = long_running.into_iter().map(|request| suspect(request, true));
            last = found(
                &mut attribution,
                now,
                &crash(&format!("s{number}"), begun.chain(long_running)),
            );
        }
        assert_eq!(last, expected, "{what}");
    }
}

// If half of the servers are killed at once, some request is in flight at three of them by chance: here at three of
// twenty.
#[test]
fn a_request_at_a_small_share_of_the_crashes_is_not_found() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::default();
    for number in 0..20 {
        let in_flight = if number % 8 == 0 { vec![suspect(1, false)] } else { Vec::new() };
        assert_eq!(
            found(&mut attribution, now, &crash(&format!("s{number}"), in_flight)),
            Vec::<u64>::new()
        );
    }
}

// A caller that sends a new body each time adds a suspect per request and fills the table. The request that was already
// in flight at two crashed servers must not be evicted.
#[test]
fn a_flood_of_suspects_is_bounded_and_keeps_higher_scores() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::default();
    for name in ["a", "b"] {
        found(&mut attribution, now, &crash(name, [suspect(1, false)]));
    }
    found(
        &mut attribution,
        now,
        &crash("flood", (10..20_010).map(|request| suspect(request, false))),
    );
    assert!(attribution.suspects() <= 16_384, "{}", attribution.suspects());
    assert_eq!(found(&mut attribution, now, &crash("c", [suspect(1, false)])), vec![1]);
}

#[test]
fn a_successful_response_clears_a_request_for_all_instances() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::default();
    for name in ["a", "b"] {
        found(&mut attribution, now, &crash(name, [suspect(1, false)]));
    }
    let mut verdicts = Verdicts::default();
    let later = now + Duration::from_secs(1);
    verdicts.watch(now, &attribution.watched(later));
    assert_eq!(verdicts.clear_successful(now, fingerprint(2), || SuspectDigest(2)), None);
    assert_eq!(
        verdicts.clear_successful(now, fingerprint(1), || SuspectDigest(1)),
        Some(SuspectDigest(1))
    );
    attribution.clear(now, SuspectDigest(1));
    assert_eq!(found(&mut attribution, now, &crash("c", [suspect(1, false)])), Vec::<u64>::new());
    assert!(attribution.watched(later).is_empty());
}

#[test]
fn a_verdict_expires_and_a_cleared_request_supersedes_it() {
    let now = Instant::now();
    let mut verdicts = Verdicts::default();
    assert!(verdicts.is_idle());
    let minute = Duration::from_secs(60);
    verdicts.merge(now, &[verdict(1, Judgement::Held, minute)]);
    verdicts.merge(now, &[verdict(2, Judgement::Held, HOLD_DURATION)]);
    assert!(holds(&verdicts, now, 1) && !holds(&verdicts, now, 2));
    assert!(holds(&verdicts, now + HOLD_DURATION - minute * 2, 1));
    assert!(!holds(&verdicts, now + HOLD_DURATION, 1));
    assert_eq!(verdicts.updates(now)[0].age_ms, 60_000);
    assert!(verdicts.updates(now + HOLD_DURATION).is_empty() && verdicts.is_idle());
    verdicts.merge(now, &[verdict(1, Judgement::Held, minute)]);
    verdicts.clear(now, SuspectDigest(1));
    assert!(verdicts.merge(now, &[verdict(1, Judgement::Held, minute)]).is_empty());
    assert!(!holds(&verdicts, now, 1));
    // A cleared request that crashes servers again is held again.
    let later = now + minute * 2;
    verdicts.updates(later);
    verdicts.merge(later, &[verdict(1, Judgement::Held, Duration::ZERO)]);
    assert!(holds(&verdicts, later, 1));
    verdicts
        .merge(now, &(0..1000).map(|n| verdict(n, Judgement::Held, minute)).collect::<Vec<_>>());
    assert!(verdicts.updates(now).len() <= 128);
}

// When the aggregator is killed, the crash reports it received are lost. Unless they are sent again, the request
// crashes three more servers before the next aggregator finds it.
#[test]
fn a_new_aggregator_gets_all_crash_reports_again() {
    let now = Instant::now();
    let mut crashes = ServerCrashes::default();
    let service = "app".parse().expect("a name");
    crashes.note(now, &server("a"), &service, suspect(1, false));
    let reports = crashes.unreported(now);
    assert_eq!(reports.len(), 1);
    crashes.mark_reported(RunId(1), &reports);
    assert!(crashes.unreported(now).is_empty());
    crashes.note(now, &server("b"), &service, suspect(1, false));
    let reports = crashes.unreported(now);
    assert_eq!(reports.len(), 1);
    crashes.mark_reported(RunId(2), &reports);
    let again = crashes.unreported(now + Duration::from_secs(3));
    assert_eq!(again.iter().map(|report| report.server).collect::<Vec<_>>(), [server("a").tag()]);
    assert_eq!(again[0].age_ms, 3000);
}

#[test]
fn bodies_are_hashed_only_for_repeats_and_while_servers_crash() {
    let now = Instant::now();
    let mut successes = RecentSuccesses::default();
    let mut hashed = 0;
    let mut note = |successes: &mut RecentSuccesses, at: Instant, request: u64| {
        successes.note(at, fingerprint(request), || {
            hashed += 1;
            SuspectDigest(request)
        });
        hashed
    };
    assert_eq!(note(&mut successes, now, 1), 0);
    assert!(!successes.contains(now, fingerprint(1), SuspectDigest(1)));
    assert_eq!(note(&mut successes, now, 1), 1);
    assert_eq!(note(&mut successes, now, 1), 1, "a repeated body is hashed once a second");
    assert!(successes.contains(now, fingerprint(1), SuspectDigest(1)));
    successes.alert(now);
    assert_eq!(note(&mut successes, now, 2), 2);
    assert!(successes.contains(now, fingerprint(2), SuspectDigest(2)));
    let later = now + Duration::from_secs(150);
    assert!(!successes.contains(later, fingerprint(1), SuspectDigest(1)));
    assert_eq!(note(&mut successes, later, 3), 2);
}

#[test]
fn the_table_and_the_verdicts_are_reconciled() {
    let now = Instant::now();
    let total_ms = HOLD_DURATION.as_millis() as u64;
    let held = |request: u64| verdict(request, Judgement::Held, Duration::ZERO);
    let row = |request: u64, until_ms: u64| HeldRow {
        digest: SuspectDigest(request),
        fingerprint: fingerprint(request),
        until_ms,
        kind: SuspectKind::Request,
    };
    let mut sync = HeldTableSync::new(false);
    assert!(!sync.is_idle(&[]), "the table has not been read");
    let rows = [row(1, 1000 + total_ms / 2), row(2, 999)];
    let plan = sync.plan(1000, &rows, &[held(3)]);
    assert_eq!(plan.adopted, [verdict(1, Judgement::Held, HOLD_DURATION / 2)]);
    assert_eq!(plan.remove, [SuspectDigest(2)]);
    assert_eq!(plan.write, [row(3, 1000 + total_ms)]);
    sync.mark_applied(&rows, &plan);
    let rows = [row(1, 1000 + total_ms / 2)];
    let cleared = verdict(1, Judgement::Cleared, Duration::ZERO);
    let plan = sync.plan(2000, &rows, &[cleared, held(3)]);
    assert_eq!((plan.remove, plan.lifted), (vec![SuspectDigest(1)], vec![SuspectDigest(3)]));
    // The store was restored from an older copy: the missing rows were lost with it, and no operator lifted a verdict.
    sync.mark_applied(&rows, &HeldTablePlan::default());
    sync.note_era(StoreEra(1));
    let plan = sync.plan(1500, &[], &[held(1), held(3)]);
    assert!(plan.lifted.is_empty());
    assert_eq!(plan.write, [row(1, 1500 + total_ms), row(3, 1500 + total_ms)]);
    let mut verdicts = Verdicts::default();
    verdicts.merge(now, &[held(3)]);
    assert!(sync.is_read() && !sync.is_idle(&verdicts.updates(now)));
}
