//! What operators apply is what runs: apply, spread, boot, audit, under faults of the platform.

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
        operators::api::{Problem, Shown},
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

fn three() -> Fleet {
    let mut spec = small();
    spec.routers = 3;
    fleet(spec)
}

/// Posts to a router's operators' interface and returns status and body.
fn post(
    fleet: &Fleet,
    router: usize,
    path: &str,
    credential: &str,
    who: &str,
    body: &str,
) -> (u16, String) {
    let url = format!("http://{}{path}", fleet.routers[router].operators);
    let mut response = agent(Duration::from_secs(20))
        .post(url)
        .header("authorization", format!("Bearer {credential}"))
        .header("cartvane-operator", who)
        .send(body)
        .expect("an answer");
    (response.status().as_u16(), response.body_mut().read_to_string().expect("a body"))
}

fn get<T: serde::de::DeserializeOwned>(fleet: &Fleet, router: usize, path: &str) -> T {
    let url = format!("http://{}{path}", fleet.routers[router].operators);
    let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
    let mut response = agent(Duration::from_secs(20))
        .get(url)
        .header("authorization", credential)
        .call()
        .expect("an answer");
    serde_json::from_slice(&response.body_mut().read_to_vec().expect("a body"))
        .expect("as expected")
}

fn apply_as(
    fleet: &Fleet,
    router: usize,
    who: &str,
    query: &str,
    body: &str,
) -> Result<Applied, Problem> {
    let (status, text) =
        post(fleet, router, &format!("/v1/apply{query}"), OPERATOR_CREDENTIAL, who, body);
    match status {
        200 => Ok(serde_json::from_str(&text).expect("applied")),
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

fn all_at(fleet: &Fleet, revision: Revision) -> bool {
    fleet.status(0).is_ok_and(|s| {
        s.instances.len() == fleet.routers.len()
            && s.instances.iter().all(|i| i.revision == revision)
    })
}

#[test]
fn a_file_is_in_force_everywhere_or_refused_as_a_whole() {
    let fleet = three();
    let applied =
        apply_as(&fleet, 1, "rana", "", &file_with_team(&fleet, "night")).expect("applied");
    assert_eq!(applied.revision, Revision(2));
    assert_eq!(
        applied.changes.iter().map(ToString::to_string).collect::<Vec<_>>(),
        ["+ team/night"]
    );
    eventually("in force everywhere", || all_at(&fleet, Revision(2)));
    let again =
        apply_as(&fleet, 2, "rana", "", &file_with_team(&fleet, "night")).expect("the same again");
    assert_eq!(
        (again.revision, again.changes.len()),
        (Revision(2), 0),
        "the same file changes nothing"
    );
    let faulty = file_with_team(&fleet, "day").replace("kind = \"model\"", "kind = \"modle\"");
    let problem = apply_as(&fleet, 0, "rana", "", &faulty).expect_err("refused");
    assert!(problem.detail.contains("did you mean \"model\""), "{}", problem.detail);
    assert!(all_at(&fleet, Revision(2)), "nothing of a refused file is in force");
    let call =
        |team: &str| standins::caller::Call::post("/app/x", &standins::fleet::team_key(team), "x");
    assert_eq!(send(&fleet, 0, &call("night")).status, 200);
    assert_eq!(send(&fleet, 0, &call("day")).status, 401);
}

#[test]
fn of_two_operators_one_wins_and_the_other_is_told_by_whom() {
    let fleet = three();
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
            vec![a.join().expect("an end"), b.join().expect("an end")]
        });
        let winners: Vec<&String> =
            results.iter().filter(|(_, r)| r.is_ok()).map(|(who, _)| who).collect();
        assert_eq!(winners.len(), 1, "{results:?}");
        let problem = results.iter().find_map(|(_, r)| r.as_ref().err()).expect("a loser");
        let told = format!("revision {} by {} is in force, not {base}", base + 1, winners[0]);
        assert!(
            problem.detail.contains(&told) && problem.detail.contains("--base"),
            "{}",
            problem.detail
        );
        eventually("in force everywhere", || all_at(&fleet, Revision(base + 1)));
    }
}

/// What an apply under a platform fault may end as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Accepted,
    Refused,
}

#[test]
fn an_apply_under_a_fault_of_the_platform_ends_as_it_says() {
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let cut = PlatformFaults { cut: true, ..PlatformFaults::default() };
    let lost = |n| PlatformFaults { lose_replies: n, ..PlatformFaults::default() };
    let slow = PlatformFaults { slow: Duration::from_millis(100), ..PlatformFaults::default() };
    let table = [
        ("down", down, End::Refused),
        ("cut", cut, End::Refused),
        ("slow", slow, End::Accepted),
        // Losing the reply to the first object, to all objects, and to the conditional write.
        ("first reply lost", lost(1), End::Refused),
        ("last reply lost", lost(0), End::Accepted),
    ];
    let fleet = three();
    let mut revision = Revision(1);
    for (at, (name, faults, end)) in table.into_iter().enumerate() {
        let file = file_with_team(&fleet, &format!("fault-{at}"));
        fleet.platform.set_faults(faults);
        let result = apply_as(&fleet, 0, "rana", "", &file);
        fleet.platform.set_faults(PlatformFaults::default());
        match (&result, end) {
            (Ok(applied), End::Accepted) => {
                revision = revision.next();
                assert_eq!(applied.revision, revision, "{name}");
            }
            (Err(_), End::Refused) => {}
            other => panic!("{name}: {other:?}"),
        }
        eventually(name, || all_at(&fleet, revision));
        // Whatever happened, applying again ends with the file in force.
        let again = apply_as(&fleet, 1, "rana", "", &file).expect("applied");
        revision = again.revision;
        eventually("in force everywhere", || all_at(&fleet, revision));
    }
}

#[test]
fn the_lost_reply_to_the_deciding_write_is_read_back() {
    let fleet = three();
    let mut accepted = 0;
    // The writes of an apply: new chunks, manifest, text, then the deciding transaction.
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
            let result = apply.join().expect("an end");
            fleet.platform.set_faults(PlatformFaults::default());
            result
        });
        if let Ok(applied) = &result {
            accepted += 1;
            eventually("in force everywhere", || all_at(&fleet, applied.revision));
        }
        let rows = audit(&fleet);
        let applied =
            rows.iter().filter(|r| matches!(r.action, AuditAction::Applied { .. })).count();
        assert_eq!(applied, 1 + accepted, "accepted and told as accepted are the same: {result:?}");
    }
}

#[test]
fn a_revision_accepted_just_before_the_store_goes_down_still_spreads() {
    let mut spec = small();
    spec.routers = 4;
    let fleet = fleet(spec);
    let file = file_with_team(&fleet, "last");
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let applied = apply_as(&fleet, 2, "rana", "", &file).expect("applied");
    fleet.platform.set_faults(down);
    eventually("in force everywhere", || all_at(&fleet, applied.revision));
}

#[test]
fn a_new_instance_boots_from_peers_while_the_store_is_down_and_alone_is_not_ready() {
    let mut fleet = three();
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    fleet.routers[1].kill();
    fleet.replace_router(1, "router-91").expect("a router");
    eventually("it is ready", || fleet.is_ready(1));
    assert_eq!(send(&fleet, 1, &plain_call("/x", "through the new one")).status, 200);
    eventually("the others know it", || {
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
    .expect("a router");
    thread::sleep(Duration::from_millis(500));
    let answer = plain_call("/x", "nobody").send(alone.callers);
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{}", answer.text());
}

#[test]
fn a_frozen_router_catches_up_and_no_router_ever_steps_back() {
    let fleet = three();
    let mut seen: HashMap<String, Revision> = HashMap::new();
    let mut watch = |fleet: &Fleet, at: usize| {
        let Ok(status) = fleet.status(at) else { return };
        for instance in status.instances {
            let before = seen.insert(instance.id.to_string(), instance.revision);
            assert!(
                before.is_none_or(|before| before <= instance.revision),
                "{} stepped back",
                instance.id
            );
        }
    };
    fleet.routers[2].signal(Signal::STOP);
    for n in 0..4 {
        apply_as(&fleet, 0, "rana", "", &file_with_team(&fleet, &format!("step-{n}")))
            .expect("applied");
        watch(&fleet, 0);
    }
    fleet.routers[2].signal(Signal::CONT);
    let until = Instant::now() + Duration::from_secs(15);
    while !all_at(&fleet, Revision(5)) {
        assert!(Instant::now() < until, "it does not catch up");
        watch(&fleet, 1);
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_corrupt_chunk_in_the_store_is_not_taken() {
    let mut fleet = three();
    let rows = fleet.platform.data().scan("revision/", "", 10);
    let row: cartvane::audit::RevisionRow = serde_json::from_slice(&rows[0].value).expect("a row");
    let key = format!("config/{}", row.manifest);
    let sound = fleet.platform.data().get_object(&key).expect("the manifest");
    let mut corrupt = sound.clone();
    corrupt[3] ^= 1;
    assert_ne!(Digest::of(&corrupt), row.manifest);
    fleet.platform.data().put_object(&key, &corrupt);
    // Without peers it has the corrupt store only.
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
    .expect("a router");
    thread::sleep(Duration::from_millis(700));
    let answer = plain_call("/x", "corrupt").send(alone.callers);
    assert_eq!(
        (answer.status, answer.outcome()),
        (503, "not-run"),
        "it does not run on corrupt data"
    );
    fleet.platform.data().put_object(&key, &sound);
    eventually("it starts once the store is sound", || {
        plain_call("/x", "sound").send(alone.callers).status == 200
    });
}

#[test]
fn the_trail_tells_who_did_what_and_older_files_can_be_shown_and_applied_again() {
    let fleet = three();
    apply_as(&fleet, 0, "rana", "", &file_with_team(&fleet, "night")).expect("applied");
    apply_as(&fleet, 1, "yusuf", "", "nonsense = 1").expect_err("refused");
    let first: Shown = get(&fleet, 2, "/v1/show?revision=1");
    let back = apply_as(&fleet, 2, "rana", "?base=2", &first.text).expect("applied");
    assert_eq!(back.revision, Revision(3), "going back is a new revision");
    let rows = audit(&fleet);
    let told: Vec<(String, &'static str)> = rows
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
    assert_eq!(told, expected.map(|(who, what)| (who.to_owned(), what)));
    let of_yusuf: Vec<AuditRow> = get(&fleet, 0, "/v1/audit?by=yusuf");
    assert_eq!(of_yusuf.len(), 1);
    let of_night: Vec<AuditRow> = get(&fleet, 0, "/v1/audit?entity=team/night");
    assert_eq!(of_night.len(), 2, "added and taken away");
}

#[test]
fn credentials_say_who_may_read_and_who_may_apply() {
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
        let (seen, body) = post(&fleet, 0, "/v1/apply", credential, "x", &file);
        assert_eq!(seen, status, "{credential}: {body}");
    }
}

#[test]
fn claims_keep_their_promise_while_the_platform_fails() {
    let fleet = fleet(small());
    let call = |id: &str| plain_call("/x", id).with("idempotency-key", id).with("x-run-id", id);
    let runs = |id: &str| fleet.plains.values().map(|p| p.runs.of(id)).sum::<u32>();
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let answer = send(&fleet, 0, &call("table-out"));
    assert_eq!(
        (answer.status, answer.outcome(), runs("table-out")),
        (503, "not-run", 0),
        "{}",
        answer.text()
    );
    fleet.platform.set_faults(PlatformFaults::default());
    assert_eq!(
        (send(&fleet, 0, &call("table-out")).status, runs("table-out")),
        (200, 1),
        "the same key again"
    );
    // The reply to the claim is lost after it took effect: it is read back, and the request runs.
    fleet.platform.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let answer = send(&fleet, 0, &call("claim-lost"));
    assert_eq!((answer.status, runs("claim-lost")), (200, 1), "{}", answer.text());
    // The table goes out between claim and result: the answer still comes, a repeat never runs.
    fleet.faults.push([standins::fault::Fault::Late(Duration::from_millis(400))]);
    let answer = thread::scope(|scope| {
        let sent = scope.spawn(|| send(&fleet, 0, &call("result-lost")));
        eventually("it runs", || runs("result-lost") == 1);
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        sent.join().expect("an answer")
    });
    assert_eq!(answer.status, 200, "{}", answer.text());
    fleet.platform.set_faults(PlatformFaults::default());
    eventually("the result is written late", || {
        send(&fleet, 1, &call("result-lost")).status == 200
    });
    assert_eq!(runs("result-lost"), 1);
    // Slow writes and a limit on them change no promise.
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
fn half_of_the_routers_cut_off_catch_up_and_step_back_nowhere() {
    let mut spec = small();
    spec.routers = 4;
    let fleet = fleet(spec);
    // Frozen routers neither hear nor answer, as if a switch had gone between the halves.
    for cut_off in [2, 3] {
        fleet.routers[cut_off].signal(Signal::STOP);
    }
    let mut last = Revision(1);
    for n in 0..3 {
        let file = file_with_team(&fleet, &format!("half-{n}"));
        last = apply_as(&fleet, n % 2, "rana", "", &file).expect("applied").revision;
    }
    let at = |router: usize| get::<Shown>(&fleet, router, "/v1/show").revision;
    eventually("in force at the other half", || at(0) == last && at(1) == last);
    for cut_off in [2, 3] {
        fleet.routers[cut_off].signal(Signal::CONT);
    }
    eventually("in force everywhere", || all_at(&fleet, last));
    let stale = apply_as(&fleet, 3, "salim", "?base=1", &file_with_team(&fleet, "late"))
        .expect_err("refused");
    assert!(stale.detail.contains(&format!("revision {last} by rana")), "{}", stale.detail);
}
