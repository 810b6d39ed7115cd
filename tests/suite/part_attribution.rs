//! Attribution of server crashes to parts of prompts, and the verdicts on them, on a mock clock.

use std::time::{Duration, Instant};

use cartvane::{
    adapter::prompt::shared_parts,
    names::ServiceName,
    routing::{
        AnsweredPart, AnsweredReport, CrashReport, Incarnation, Judgement, PartAttribution,
        PromptPartId, RequestFingerprint, ServiceResponses, Suspect, SuspectDigest, SuspectKind,
        VerdictUpdate, Verdicts,
    },
};

/// Interval at which the instances report.
const INTERVAL: Duration = Duration::from_millis(250);

fn service() -> ServiceName {
    "app".parse().expect("a name")
}

fn digest(part: u64) -> SuspectDigest {
    SuspectDigest::of_part(&service(), PromptPartId(part))
}

fn server(number: u64) -> Incarnation {
    format!("s{number}").parse().expect("an id")
}

/// Returns the crash of a server with requests in flight, each with its parts.
fn crash(number: u64, requests: &[(u64, &[u64])]) -> CrashReport {
    let suspect = |(request, parts): &(u64, &[u64])| Suspect {
        fingerprint: RequestFingerprint(*request as u32),
        digest: SuspectDigest(*request),
        long_running: false,
        parts: parts.iter().copied().map(PromptPartId).collect(),
        is_cleared: false,
    };
    CrashReport {
        server: server(number).tag(),
        service: service(),
        age_ms: 0,
        in_flight: requests.iter().map(suspect).collect(),
    }
}

/// Returns the report of 20 responses that begin now, to requests with these parts.
fn answered(parts: &[u64]) -> AnsweredReport {
    let part = |part: &u64| AnsweredPart { digest: digest(*part), began_ago_ms: 0 };
    let responses = ServiceResponses { service: service(), began_ago_ms: vec![0; 20] };
    AnsweredReport { parts: parts.iter().map(part).collect(), responses: vec![responses] }
}

/// The aggregator's attribution with the verdicts that it has led to.
struct Judge {
    attribution: PartAttribution,
    verdicts: Verdicts,
    now: Instant,
}

impl Judge {
    fn new() -> Judge {
        let mut attribution = PartAttribution::default();
        attribution.set_report_interval(INTERVAL);
        Judge { attribution, verdicts: Verdicts::default(), now: Instant::now() }
    }

    fn report(&mut self, crashes: &[CrashReport], answered: &AnsweredReport) {
        let in_force = self.verdicts.updates(self.now);
        let judgements = self.attribution.record(self.now, crashes, answered, &in_force);
        for digest in judgements.cleared {
            self.verdicts.clear(self.now, digest);
        }
        let found: Vec<VerdictUpdate> = judgements.found.iter().map(|f| f.verdict()).collect();
        self.verdicts.merge(self.now, &found);
    }

    /// Has servers crash one second after the other, each with a new request with these parts, while others with part 1
    /// are answered.
    fn crash_servers(&mut self, numbers: std::ops::Range<u64>, parts: &[u64]) {
        for number in numbers {
            self.report(&[crash(number, &[(number, parts)])], &AnsweredReport::default());
            self.now += Duration::from_secs(1);
            self.report(&[], &answered(&[1]));
        }
    }

    fn holds(&self, parts: &[u64]) -> bool {
        let digests: Vec<SuspectDigest> = parts.iter().map(|part| digest(*part)).collect();
        self.verdicts.held_part(self.now, &digests).is_some()
    }
}

#[test]
fn a_part_with_responses_is_not_held_whatever_else_its_requests_have() {
    let mut judge = Judge::new();
    judge.crash_servers(0..5, &[1, 9]);
    assert!(judge.holds(&[1, 9, 3]), "part 9");
    assert!(!judge.holds(&[1, 3]), "parts 1 and 3");
}

// Guards against a part that is refused for good because the only requests with it had the crashing one too.
#[test]
fn parts_that_came_together_are_held_together_until_a_request_has_one_of_them() {
    let mut judge = Judge::new();
    judge.crash_servers(0..5, &[1, 8, 9]);
    assert!(judge.holds(&[1, 8, 9]));
    assert!(!judge.holds(&[1, 8]) && !judge.holds(&[1, 9]), "one of them alone");
    // A request with one of them is answered, so the other one crashes servers.
    judge.report(&[], &answered(&[1, 8]));
    assert!(!judge.holds(&[1, 8]));
    assert!(judge.holds(&[1, 9]), "part 9 alone, of which no request was answered");
}

#[test]
fn a_crash_with_one_of_two_parts_held_together_releases_the_other() {
    let mut judge = Judge::new();
    judge.crash_servers(0..5, &[1, 8, 9]);
    judge.crash_servers(5..6, &[1, 9]);
    assert!(judge.holds(&[1, 9]));
    assert!(!judge.holds(&[1, 8]));
}

// A part may have had responses for hours before it crashes servers, and after it was wrongly held.
#[test]
fn a_part_that_was_answered_is_held_when_it_crashes_servers_later() {
    let mut judge = Judge::new();
    judge.crash_servers(0..5, &[1, 9]);
    judge.report(&[], &answered(&[9]));
    assert!(!judge.holds(&[9]), "answered");
    judge.now += Duration::from_secs(1);
    judge.crash_servers(5..10, &[1, 9]);
    assert!(judge.holds(&[9]), "crashed five more");
}

// Without any response it is not known whether the servers crash because of a part or all by themselves.
#[test]
fn no_part_is_held_while_nothing_is_answered() {
    let mut judge = Judge::new();
    for number in 0..10 {
        judge.report(&[crash(number, &[(number, &[1, 9])])], &AnsweredReport::default());
        judge.now += Duration::from_secs(1);
    }
    assert!(!judge.holds(&[1, 9]));
}

// One request that its caller sends again and again says nothing about the requests that share its parts.
#[test]
fn the_parts_of_one_request_are_not_held() {
    let mut judge = Judge::new();
    for number in 0..8 {
        judge.report(&[crash(number, &[(77, &[1, 9])])], &AnsweredReport::default());
        judge.now += Duration::from_secs(1);
        judge.report(&[], &answered(&[1]));
    }
    assert!(!judge.holds(&[1, 9]));
}

// Reports of instances cross: one that still has the former verdict must not undo the later one.
#[test]
fn the_later_of_two_verdicts_on_a_part_holds() {
    let verdict = |judgement, age_ms| VerdictUpdate {
        digest: digest(9),
        fingerprint: RequestFingerprint(1),
        judgement,
        age_ms,
        kind: SuspectKind::Part,
    };
    let now = Instant::now() + Duration::from_secs(60);
    let (held, cleared) =
        (|age| verdict(Judgement::Held, age), |age| verdict(Judgement::Cleared, age));
    // (verdicts in the order in which they arrive, whether the part is held then)
    let cases = [
        (vec![held(9000), cleared(5000)], false),
        (vec![cleared(5000), held(9000)], false),
        (vec![cleared(9000), held(5000)], true),
        (vec![held(5000), cleared(9000)], true),
        (vec![held(5000), cleared(5000)], false),
        (vec![held(5000), verdict(Judgement::Watched, 0)], true),
    ];
    for (updates, expected) in cases {
        let mut verdicts = Verdicts::default();
        verdicts.merge(now, &updates[..1]);
        verdicts.merge(now, &updates[1..]);
        let is_held = verdicts.held_part(now, &[digest(9)]).is_some();
        assert_eq!(is_held, expected, "{updates:?}");
    }
}

// The crashing part may be at any place of a long prompt, and callers may send entries that are none.
#[test]
fn all_parts_of_a_prompt_but_the_last_are_read() {
    let long: Vec<String> = (0..100).map(|number| format!("{number:x}:5")).collect();
    assert_eq!(shared_parts(&long.join(",")).len(), 99);
    let ids = |text: &str| shared_parts(text).iter().map(|part| part.0).collect::<Vec<u64>>();
    assert_eq!(ids("a:1,b:2,c:3"), [10, 11]);
    assert_eq!(ids("a:1, none ,b:2,c:3"), [10, 11]);
    assert!(ids("a:1").is_empty() && ids("").is_empty());
}
