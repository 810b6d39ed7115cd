//! Apply of the operators' file, its propagation, start-up from peers and the audit trail, also under faults of the
//! platform.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    audit::{AuditAction, AuditRow},
    configs::fleet::chunks::Digest,
    instance::{
        cluster_state::apply::Applied,
        operators::api::{Problem, RevisionSource},
    },
    platform::http::agent,
    units::{Rate, Revision},
};
use rustix::process::Signal;
use standins::{
    fleet::{Fleet, OPERATOR_CREDENTIAL, TeamSpec},
    platform::PlatformFaults,
};

use crate::support::{eventually, fleet, plain_call, send, small};

fn fleet_of_three() -> Fleet {
    let mut spec = small();
    spec.routers = 3;
    fleet(spec)
}

/// Posts to the operators' interface of a router; returns status and body.
fn post(
    fleet: &Fleet,
    router: usize,
    path: &str,
    credential: &str,
    operator: &str,
    body: &str,
) -> (u16, String) {
    let url = format!("http://{}{path}", fleet.routers[router].operators);
    let mut response = agent(Duration::from_secs(20))
        .post(url)
        .header("authorization", format!("Bearer {credential}"))
        .header("cartvane-operator", operator)
        .send(body)
        .expect("a response");
    (response.status().as_u16(), response.body_mut().read_to_string().expect("a body"))
}

fn get<T: serde::de::DeserializeOwned>(fleet: &Fleet, router: usize, path: &str) -> T {
    let url = format!("http://{}{path}", fleet.routers[router].operators);
    let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
    let mut response = agent(Duration::from_secs(20))
        .get(url)
        .header("authorization", credential)
        .call()
        .expect("a response");
    serde_json::from_slice(&response.body_mut().read_to_vec().expect("a body"))
        .expect("a response of the expected type")
}

fn apply_as(
    fleet: &Fleet,
    router: usize,
    operator: &str,
    query: &str,
    body: &str,
) -> Result<Applied, Problem> {
    let (status, text) =
        post(fleet, router, &format!("/v1/apply{query}"), OPERATOR_CREDENTIAL, operator, body);
    match status {
        200 => Ok(serde_json::from_str(&text).expect("the result of an apply")),
        _ => Err(serde_json::from_str(&text).expect("a problem")),
    }
}

/// The fleet's file with one more team.
fn file_with_team(fleet: &Fleet, id: &str) -> String {
    let team = TeamSpec::new(id);
    let hash = cartvane::configs::fleet::team::KeyHash::of(standins::fleet::SALT, &team.key());
    format!("{}[[team]]\nid = \"{id}\"\nkeys = [\"{hash}\"]\n", fleet.file())
}

fn audit(fleet: &Fleet) -> Vec<AuditRow> {
    get(fleet, 0, "/v1/audit")
}

fn all_at_revision(fleet: &Fleet, revision: Revision) -> bool {
    fleet.status(0).is_ok_and(|s| {
        s.instances.len() == fleet.routers.len()
            && s.instances.iter().all(|i| i.revision == revision)
    })
}

#[test]
fn a_file_is_applied_everywhere_or_rejected_as_a_whole() {
    let fleet = fleet_of_three();
    let applied =
        apply_as(&fleet, 1, "rana", "", &file_with_team(&fleet, "night")).expect("applied");
    assert_eq!(applied.revision, Revision(2));
    assert_eq!(
        applied.changes.iter().map(ToString::to_string).collect::<Vec<_>>(),
        ["+ team/night"]
    );
    eventually("the revision is active on all routers", || all_at_revision(&fleet, Revision(2)));
    let again =
        apply_as(&fleet, 2, "rana", "", &file_with_team(&fleet, "night")).expect("the same again");
    assert_eq!(
        (again.revision, again.changes.len()),
        (Revision(2), 0),
        "the same file changes nothing"
    );
    let faulty = file_with_team(&fleet, "day").replace("kind = \"model\"", "kind = \"modle\"");
    let problem = apply_as(&fleet, 0, "rana", "", &faulty).expect_err("a rejection");
    assert!(problem.detail.contains("did you mean \"model\""), "{}", problem.detail);
    assert!(all_at_revision(&fleet, Revision(2)), "no part of a rejected file is active");
    let call =
        |team: &str| standins::caller::Call::post("/app/x", &standins::fleet::team_key(team), "x");
    assert_eq!(send(&fleet, 0, &call("night")).status, 200);
    assert_eq!(send(&fleet, 0, &call("day")).status, 401);
}

#[test]
fn of_two_concurrent_applies_one_succeeds_and_the_other_names_its_operator() {
    let fleet = fleet_of_three();
    for round in 0..5_u64 {
        let base = 1 + round;
        let results: Vec<(String, Result<Applied, Problem>)> = thread::scope(|scope| {
            let apply = |router: usize, who: &'static str| {
                let fleet = &fleet;
                let file = file_with_team(fleet, &format!("{who}-{round}"));
                move || {
                    (who.to_owned(), apply_as(fleet, router, who, &format!("?base={base}"), &file))
                }
            };
            let (a, b) = (scope.spawn(apply(0, "hana")), scope.spawn(apply(1, "salim")));
            vec![a.join().expect("the apply ends"), b.join().expect("the apply ends")]
        });
        let winners: Vec<&String> =
            results.iter().filter(|(_, r)| r.is_ok()).map(|(who, _)| who).collect();
        assert_eq!(winners.len(), 1, "{results:?}");
        let problem = results.iter().find_map(|(_, r)| r.as_ref().err()).expect("a rejected apply");
        let expected = format!("revision {} by {} is in force, not {base}", base + 1, winners[0]);
        assert!(
            problem.detail.contains(&expected) && problem.detail.contains("--base"),
            "{}",
            problem.detail
        );
        eventually("the revision is active on all routers", || {
            all_at_revision(&fleet, Revision(base + 1))
        });
    }
}

/// Expected result of an apply under a platform fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Applied,
    Rejected,
}

#[test]
fn the_result_of_an_apply_is_accurate_under_platform_faults() {
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let cut = PlatformFaults { cut: true, ..PlatformFaults::default() };
    let lost = |n| PlatformFaults { lose_replies: n, ..PlatformFaults::default() };
    let slow = PlatformFaults { slow: Duration::from_millis(100), ..PlatformFaults::default() };
    let table = [
        ("down", down, Expected::Rejected),
        ("cut", cut, Expected::Rejected),
        ("slow", slow, Expected::Applied),
        // The reply to the first object is lost. The other case loses none; the test below covers the head write.
        ("first reply lost", lost(1), Expected::Rejected),
        ("no reply lost", lost(0), Expected::Applied),
    ];
    let fleet = fleet_of_three();
    let mut revision = Revision(1);
    for (at, (name, faults, expected)) in table.into_iter().enumerate() {
        let file = file_with_team(&fleet, &format!("fault-{at}"));
        fleet.platform.set_faults(faults);
        let result = apply_as(&fleet, 0, "rana", "", &file);
        fleet.platform.set_faults(PlatformFaults::default());
        match (&result, expected) {
            (Ok(applied), Expected::Applied) => {
                revision = revision.next();
                assert_eq!(applied.revision, revision, "{name}");
            }
            (Err(_), Expected::Rejected) => {}
            other => panic!("{name}: {other:?}"),
        }
        eventually(name, || all_at_revision(&fleet, revision));
        // Whatever the first result, applying the file again makes it active.
        let again = apply_as(&fleet, 1, "rana", "", &file).expect("applied");
        revision = again.revision;
        eventually("the revision is active on all routers", || all_at_revision(&fleet, revision));
    }
}

#[test]
fn a_lost_reply_to_the_head_write_is_read_back() {
    let fleet = fleet_of_three();
    let mut successes = 0;
    // The writes of an apply: new chunks, manifest, text, then the transaction that writes the head.
    for lost_after in 0..6 {
        let file = file_with_team(&fleet, &format!("lost-{lost_after}"));
        let before = fleet.platform.counts().1;
        let result = thread::scope(|scope| {
            let apply = scope.spawn(|| apply_as(&fleet, 0, "rana", "", &file));
            while fleet.platform.counts().1 < before + lost_after && !apply.is_finished() {
                thread::yield_now();
            }
            fleet
                .platform
                .set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
            let result = apply.join().expect("the apply ends");
            fleet.platform.set_faults(PlatformFaults::default());
            result
        });
        if let Ok(applied) = &result {
            successes += 1;
            eventually("the revision is active on all routers", || {
                all_at_revision(&fleet, applied.revision)
            });
        }
        let rows = audit(&fleet);
        let applied =
            rows.iter().filter(|r| matches!(r.action, AuditAction::Applied { .. })).count();
        assert_eq!(
            applied,
            1 + successes,
            "an apply succeeds if and only if it is in the audit trail: {result:?}"
        );
    }
}

#[test]
fn a_revision_applied_just_before_the_store_goes_down_reaches_all_routers() {
    let mut spec = small();
    spec.routers = 4;
    let fleet = fleet(spec);
    let file = file_with_team(&fleet, "last");
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let applied = apply_as(&fleet, 2, "rana", "", &file).expect("applied");
    fleet.platform.set_faults(down);
    eventually("the revision is active on all routers", || {
        all_at_revision(&fleet, applied.revision)
    });
}

#[test]
fn a_new_instance_starts_from_peers_while_the_store_is_down_and_without_peers_is_not_ready() {
    let mut fleet = fleet_of_three();
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    fleet.routers[1].kill();
    fleet.replace_router(1, "router-91").expect("a started router");
    eventually("the new router is ready", || fleet.is_ready(1));
    assert_eq!(send(&fleet, 1, &plain_call("/x", "through the new one")).status, 200);
    eventually("the other routers list the new one", || {
        fleet.status(0).is_ok_and(|s| s.instances.iter().any(|i| i.id.as_str() == "router-91"))
    });
    let platform = fleet.platform.address();
    let alone = standins::fleet::Router::spawn(
        &fleet.spec.binary,
        "alone",
        "east",
        platform,
        &[],
        &fleet.spec.settings,
    )
    .expect("a started router");
    thread::sleep(Duration::from_millis(500));
    let response = plain_call("/x", "nobody").send(alone.callers);
    assert_eq!((response.status, response.outcome()), (503, "not-run"), "{}", response.text());
}

#[test]
fn a_suspended_router_catches_up_and_no_router_reverts_to_an_older_revision() {
    let fleet = fleet_of_three();
    let mut seen: HashMap<String, Revision> = HashMap::new();
    let mut check_status = |fleet: &Fleet, at: usize| {
        let Ok(status) = fleet.status(at) else { return };
        for instance in status.instances {
            let before = seen.insert(instance.id.to_string(), instance.revision);
            assert!(
                before.is_none_or(|before| before <= instance.revision),
                "{} reverted to an older revision",
                instance.id
            );
        }
    };
    fleet.routers[2].signal(Signal::STOP);
    for n in 0..4 {
        apply_as(&fleet, 0, "rana", "", &file_with_team(&fleet, &format!("step-{n}")))
            .expect("applied");
        check_status(&fleet, 0);
    }
    fleet.routers[2].signal(Signal::CONT);
    let until = Instant::now() + Duration::from_secs(15);
    while !all_at_revision(&fleet, Revision(5)) {
        assert!(Instant::now() < until, "the suspended router does not catch up");
        check_status(&fleet, 1);
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_corrupt_manifest_in_the_store_is_not_installed() {
    let mut fleet = fleet_of_three();
    let rows = fleet.platform.data().scan("revision/", "", 10);
    let row: cartvane::audit::RevisionRow = serde_json::from_slice(&rows[0].value).expect("a row");
    let key = format!("config/{}", row.manifest);
    let intact = fleet.platform.data().get_object(&key).expect("the manifest");
    let mut corrupt = intact.clone();
    corrupt[3] ^= 1;
    assert_ne!(Digest::of(&corrupt), row.manifest);
    fleet.platform.data().put_object(&key, &corrupt);
    // Without peers, the corrupt store is the only source of the new router.
    fleet.routers.iter_mut().for_each(standins::fleet::Router::kill);
    let platform = fleet.platform.address();
    let alone = standins::fleet::Router::spawn(
        &fleet.spec.binary,
        "router-77",
        "east",
        platform,
        &[],
        &fleet.spec.settings,
    )
    .expect("a started router");
    thread::sleep(Duration::from_millis(700));
    let response = plain_call("/x", "corrupt").send(alone.callers);
    assert_eq!(
        (response.status, response.outcome()),
        (503, "not-run"),
        "the router does not serve requests with a corrupt configuration"
    );
    fleet.platform.data().put_object(&key, &intact);
    eventually("the router becomes ready once the store is intact", || {
        plain_call("/x", "sound").send(alone.callers).status == 200
    });
}

#[test]
fn the_audit_trail_names_operators_and_actions_and_older_files_can_be_shown_and_applied_again() {
    let fleet = fleet_of_three();
    apply_as(&fleet, 0, "rana", "", &file_with_team(&fleet, "night")).expect("applied");
    apply_as(&fleet, 1, "yusuf", "", "nonsense = 1").expect_err("a rejection");
    let first: RevisionSource = get(&fleet, 2, "/v1/show?revision=1");
    let back = apply_as(&fleet, 2, "rana", "?base=2", &first.text).expect("applied");
    assert_eq!(back.revision, Revision(3), "applying an older file makes a new revision");
    let rows = audit(&fleet);
    let actions: Vec<(String, &'static str)> = rows
        .iter()
        .map(|row| {
            let action = match &row.action {
                AuditAction::Applied { .. } => "applied",
                AuditAction::Refused { .. } => "refused",
                AuditAction::Drain { .. } => "drain",
                AuditAction::Order { .. } => "order",
            };
            (row.by.clone(), action)
        })
        .collect();
    let expected =
        [("operator", "applied"), ("rana", "applied"), ("yusuf", "refused"), ("rana", "applied")];
    assert_eq!(actions, expected.map(|(operator, action)| (operator.to_owned(), action)));
    let of_yusuf: Vec<AuditRow> = get(&fleet, 0, "/v1/audit?by=yusuf");
    assert_eq!(of_yusuf.len(), 1);
    let of_night: Vec<AuditRow> = get(&fleet, 0, "/v1/audit?entity=team/night");
    assert_eq!(of_night.len(), 2, "the rows of its addition and its removal");
}

#[test]
fn only_an_operators_credential_may_apply() {
    let mut spec = small();
    spec.settings = format!("readers = [\"env:FLEET_READERS\"]\n{}", spec.settings);
    let fleet = fleet(spec);
    let file = fleet.file();
    let table = [
        ("", 401),
        ("nobody-at-all-000000", 401),
        (standins::fleet::READER_CREDENTIAL, 403),
        (OPERATOR_CREDENTIAL, 200),
    ];
    for (credential, status) in table {
        let (actual, body) = post(&fleet, 0, "/v1/apply", credential, "x", &file);
        assert_eq!(actual, status, "{credential}: {body}");
    }
}

#[test]
fn a_request_with_a_key_runs_at_most_once_while_the_platform_fails() {
    let fleet = fleet(small());
    let call = |id: &str| plain_call("/x", id).with("idempotency-key", id).with("x-run-id", id);
    let runs = |id: &str| fleet.plains.values().map(|p| p.runs.of(id)).sum::<u32>();
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let response = send(&fleet, 0, &call("table-out"));
    assert_eq!(
        (response.status, response.outcome(), runs("table-out")),
        (503, "not-run", 0),
        "{}",
        response.text()
    );
    fleet.platform.set_faults(PlatformFaults::default());
    assert_eq!(
        (send(&fleet, 0, &call("table-out")).status, runs("table-out")),
        (200, 1),
        "the same key runs once the table is back"
    );
    // The reply to the claim is lost after the claim took effect: the claim is read back, and the request runs.
    fleet.platform.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let response = send(&fleet, 0, &call("claim-lost"));
    assert_eq!((response.status, runs("claim-lost")), (200, 1), "{}", response.text());
    // The table goes down between claim and result: the caller still gets its response, and a repeated request does
    // not run again.
    fleet.faults.push([standins::fault::Fault::Late(Duration::from_millis(400))]);
    let response = thread::scope(|scope| {
        let sent = scope.spawn(|| send(&fleet, 0, &call("result-lost")));
        eventually("the request runs", || runs("result-lost") == 1);
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        sent.join().expect("a response")
    });
    assert_eq!(response.status, 200, "{}", response.text());
    fleet.platform.set_faults(PlatformFaults::default());
    eventually("the result is stored after the table is back", || {
        send(&fleet, 1, &call("result-lost")).status == 200
    });
    assert_eq!(runs("result-lost"), 1);
    // A limit on the rate of writes: a request either runs once or is rejected without running.
    fleet.platform.set_write_rate(Rate(5.0));
    let statuses: Vec<u16> =
        (0..12).map(|n| send(&fleet, n % 2, &call(&format!("limited-{n}"))).status).collect();
    assert!(statuses.iter().all(|s| matches!(s, 200 | 503)), "{statuses:?}");
    for (n, status) in statuses.iter().enumerate() {
        let ran = runs(&format!("limited-{n}"));
        assert_eq!(ran, u32::from(*status == 200), "limited-{n}: {status}");
    }
}

#[test]
fn a_suspended_half_of_the_routers_catches_up_and_rejects_a_stale_apply() {
    let mut spec = small();
    spec.routers = 4;
    let fleet = fleet(spec);
    // Suspended routers neither receive nor reply, as if the network between the halves were down.
    for suspended in [2, 3] {
        fleet.routers[suspended].signal(Signal::STOP);
    }
    let mut last = Revision(1);
    for n in 0..3 {
        let file = file_with_team(&fleet, &format!("half-{n}"));
        last = apply_as(&fleet, n % 2, "rana", "", &file).expect("applied").revision;
    }
    let at = |router: usize| get::<RevisionSource>(&fleet, router, "/v1/show").revision;
    eventually("the revision is active on the other half", || at(0) == last && at(1) == last);
    for suspended in [2, 3] {
        fleet.routers[suspended].signal(Signal::CONT);
    }
    eventually("the revision is active on all routers", || all_at_revision(&fleet, last));
    let stale = apply_as(&fleet, 3, "salim", "?base=1", &file_with_team(&fleet, "late"))
        .expect_err("a rejection");
    assert!(stale.detail.contains(&format!("revision {last} by rana")), "{}", stale.detail);
}
