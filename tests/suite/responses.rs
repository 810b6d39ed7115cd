//! Responses, reported outcomes and run counts of requests under each fault of a backend server.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use standins::{
    caller::{Answer, Call},
    fault::Fault,
    fleet::Fleet,
    model::read_events,
    plain::expected_answer,
    server::RUN_HEADER,
};

use crate::support::{chat, chat_call, fleet, plain_call, send, small};

const RESPONSE_DELAY: Duration = Duration::from_millis(150);
const STALL_TIME: Duration = Duration::from_secs(3);

/// How often a request may run: any number of times, or at most once without or with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Idempotent,
    NonIdempotent,
    Keyed,
}

const REQUEST_KINDS: [RequestKind; 3] =
    [RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Keyed];

/// Expected status, reported outcome and runs of a request.
type Expected = (u16, &'static str, u32);

/// Faults of a plain server, with what is expected of each of [`REQUEST_KINDS`].
const PLAIN_FAULTS: [(&str, Fault, [Expected; 3]); 14] = [
    ("none", Fault::None, [(200, "run", 1), (200, "run", 1), (200, "run", 1)]),
    (
        "closed-before-reading",
        Fault::CloseBeforeRead,
        [(200, "run", 1), (502, "unknown", 0), (502, "unknown", 0)],
    ),
    (
        "closed-after-reading",
        Fault::CloseAfterRead,
        [(200, "run", 1), (502, "unknown", 0), (502, "unknown", 0)],
    ),
    (
        "closed-after-running",
        Fault::CloseAfterRun,
        [(200, "run", 2), (502, "unknown", 1), (502, "unknown", 1)],
    ),
    ("refused-not-run", Fault::RefuseNotRun, [(200, "run", 1), (200, "run", 1), (200, "run", 1)]),
    (
        "refused-without-outcome",
        Fault::RefusePlain,
        [(503, "run", 0), (503, "run", 0), (503, "run", 0)],
    ),
    (
        "head-stalled",
        Fault::StallHead(STALL_TIME),
        [(504, "unknown", 1), (504, "unknown", 1), (504, "unknown", 1)],
    ),
    (
        "body-stalled",
        Fault::StallBody(STALL_TIME),
        [(200, "run", 2), (504, "unknown", 1), (504, "unknown", 1)],
    ),
    ("body-cut", Fault::CutBody, [(200, "run", 2), (502, "unknown", 1), (502, "unknown", 1)]),
    (
        "response-of-another-attempt",
        Fault::Foreign,
        [(200, "run", 2), (502, "unknown", 1), (502, "unknown", 1)],
    ),
    ("garbage", Fault::Garbage, [(200, "run", 2), (502, "unknown", 1), (502, "unknown", 1)]),
    ("oversize-head", Fault::Oversize, [(200, "run", 2), (502, "unknown", 1), (502, "unknown", 1)]),
    ("duplicate-response", Fault::Duplicate, [(200, "run", 1), (200, "run", 1), (200, "run", 1)]),
    ("late", Fault::Late(RESPONSE_DELAY), [(200, "run", 1), (200, "run", 1), (200, "run", 1)]),
];

/// Faults of an engine's stream, whether it can be resumed, and whether it is complete or ends with an error event.
const STREAM_FAULTS: [(&str, Fault, bool, (bool, bool)); 12] = [
    ("none", Fault::None, true, (true, false)),
    ("refused", Fault::RefuseNotRun, true, (true, false)),
    ("closed-after-reading", Fault::CloseAfterRead, true, (true, false)),
    ("closed-after-running", Fault::CloseAfterRun, true, (true, false)),
    ("response-of-another-attempt", Fault::Foreign, true, (true, false)),
    ("garbage", Fault::Garbage, true, (true, false)),
    ("cut", Fault::CutBody, true, (true, false)),
    ("cut", Fault::CutBody, false, (false, true)),
    ("cut inside an event without a length", Fault::UnframedCut, true, (true, false)),
    ("cut inside an event without a length", Fault::UnframedCut, false, (false, true)),
    ("stalled", Fault::StallBody(STALL_TIME), true, (true, false)),
    ("stalled", Fault::StallBody(STALL_TIME), false, (false, true)),
];

fn fault_fleet() -> Fleet {
    let mut spec = small();
    spec.plain_lines =
        "non_idempotent = [\"POST /once/*\"]\nretry_budget = 1.0\ndeadline = \"2s\"".to_owned();
    spec.model_lines = "retry_budget = 1.0".to_owned();
    spec.settings = spec.settings.replace("[timeouts]", "[timeouts]\nstall = \"700ms\"");
    fleet(spec)
}

fn path_for(kind: RequestKind) -> &'static str {
    if kind == RequestKind::NonIdempotent { "/once/x" } else { "/again/x" }
}

fn call_for(kind: RequestKind, id: &str) -> Call {
    let call = plain_call(path_for(kind), &format!("body of {id}")).with(RUN_HEADER, id);
    if kind == RequestKind::Keyed { call.with("idempotency-key", id) } else { call }
}

/// Sends a request of which exactly one attempt has the fault.
fn send_with_fault(fleet: &Fleet, fault: Fault, call: &Call) -> Answer {
    fleet.faults.push([fault]);
    let response = send(fleet, 0, call);
    fleet.faults.clear();
    response
}

fn run_count(fleet: &Fleet, id: &str) -> u32 {
    fleet.plains.values().map(|plain| plain.runs.of(id)).sum()
}

#[test]
fn each_server_fault_gives_the_expected_status_outcome_and_runs() {
    let fleet = fault_fleet();
    let mut mismatches = Vec::new();
    for (name, fault, row) in PLAIN_FAULTS {
        for (kind, expected) in REQUEST_KINDS.into_iter().zip(row) {
            let id = format!("{name}-{kind:?}");
            let call = call_for(kind, &id);
            let response = send_with_fault(&fleet, fault, &call);
            let actual = (response.status, response.outcome(), run_count(&fleet, &id));
            if actual != expected {
                mismatches.push(format!("{id}: {actual:?}, not {expected:?}: {}", response.text()));
            }
            if response.status == 200 {
                let body = expected_answer("POST", path_for(kind), &call.body);
                assert_eq!((response.whole, response.text()), (true, body), "{id}");
            }
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}

#[test]
fn a_stream_is_complete_or_ends_with_an_error_event() {
    for resumable in [true, false] {
        let mut spec = small();
        spec.engine.resumable = resumable;
        spec.model_lines = "retry_budget = 1.0".to_owned();
        spec.settings = spec.settings.replace("[timeouts]", "[timeouts]\nstall = \"700ms\"");
        let fleet = fleet(spec);
        for (name, fault, _, (complete, error)) in
            STREAM_FAULTS.iter().filter(|row| row.2 == resumable)
        {
            let chat = chat(&format!("stream {name}"), 10);
            let response = send_with_fault(&fleet, *fault, &chat_call(&chat));
            let events = read_events(&response.text());
            let actual = (response.whole && events.done, events.error);
            assert_eq!(
                actual,
                (*complete, *error),
                "{name}, resumable {resumable}: {}",
                response.text()
            );
            assert!(
                chat.expected_answer().starts_with(&events.text),
                "{name}: the text is not a prefix of the expected one"
            );
            assert_eq!(events.text == chat.expected_answer(), *complete, "{name}: {}", events.text);
        }
    }
}

#[test]
fn a_repeated_key_replays_the_first_response_on_any_router() {
    let fleet = fault_fleet();
    let call = call_for(RequestKind::Keyed, "booking-7");
    let first = send(&fleet, 0, &call);
    let repeat = send(&fleet, 1, &call);
    assert_eq!((first.status, repeat.status, run_count(&fleet, "booking-7")), (200, 200, 1));
    assert_eq!((repeat.text(), repeat.header("cartvane-replayed")), (first.text(), "true"));
    let other = Call { body: b"another body".to_vec(), ..call };
    let reused_key = send(&fleet, 1, &other);
    assert_eq!(
        (reused_key.status, reused_key.outcome(), run_count(&fleet, "booking-7")),
        (422, "not-run", 1)
    );
}

#[test]
fn a_key_with_unknown_outcome_is_never_run_again() {
    let fleet = fault_fleet();
    let call = call_for(RequestKind::Keyed, "booking-8");
    let first = send_with_fault(&fleet, Fault::CloseAfterRun, &call);
    assert_eq!((first.status, first.outcome()), (502, "unknown"));
    for router in [0, 1] {
        let repeat = send(&fleet, router, &call);
        assert_eq!(
            (repeat.status, repeat.outcome(), run_count(&fleet, "booking-8")),
            (409, "unknown", 1)
        );
    }
}

#[test]
fn concurrent_requests_with_one_key_run_once() {
    let fleet = fault_fleet();
    for round in 0..10 {
        let id = format!("race-{round}");
        let call = call_for(RequestKind::Keyed, &id);
        let responses: Vec<Answer> = std::thread::scope(|scope| {
            let calls: Vec<_> = (0..6)
                .map(|n| {
                    scope.spawn({
                        let (fleet, call) = (&fleet, &call);
                        move || send(fleet, n % 2, call)
                    })
                })
                .collect();
            calls.into_iter().map(|call| call.join().expect("a caller panicked")).collect()
        });
        assert_eq!(run_count(&fleet, &id), 1);
        assert!(
            responses
                .iter()
                .all(|a| a.status == 200 || (a.status == 409 && a.outcome() == "unknown"))
        );
        assert!(responses.iter().any(|a| a.status == 200));
    }
}

#[test]
fn refused_connections_are_reported_as_not_run() {
    let mut fleet = fault_fleet();
    fleet.plains.values_mut().for_each(standins::plain::Plain::stop);
    for kind in REQUEST_KINDS {
        let response = send(&fleet, 0, &call_for(kind, "refused"));
        assert_eq!(
            (response.status, response.outcome()),
            (503, "not-run"),
            "{kind:?}: {}",
            response.text()
        );
        assert!(!response.header("retry-after").is_empty());
        assert_eq!(run_count(&fleet, "refused"), 0);
    }
}

/// One step of a random history.
#[derive(Debug, Clone)]
struct Step {
    fault: Fault,
    kind: RequestKind,
    router: usize,
    /// Sends the same request again after the first response, if it has a key.
    repeat: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let quick_faults: Vec<Fault> = PLAIN_FAULTS
        .iter()
        .map(|row| row.1)
        .filter(|f| !matches!(f, Fault::StallHead(_) | Fault::StallBody(_)))
        .collect();
    let step = (
        proptest::sample::select(quick_faults),
        proptest::sample::select(REQUEST_KINDS.to_vec()),
        0..2_usize,
        any::<bool>(),
    );
    let step = step.prop_map(|(fault, kind, router, repeat)| Step { fault, kind, router, repeat });
    proptest::collection::vec(step, 1..30)
}

#[test]
fn random_faults_never_break_a_guarantee() {
    let fleet = fault_fleet();
    let histories = std::cell::Cell::new(0);
    let config = Config {
        cases: 12,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&steps(), |steps| {
        histories.set(histories.get() + 1);
        let histories = histories.get();
        for (at, step) in steps.iter().enumerate() {
            let id = format!("history-{histories}-{at}");
            let call = call_for(step.kind, &id);
            fleet.faults.push([step.fault]);
            let first = send(&fleet, step.router, &call);
            fleet.faults.clear();
            check_guarantees(&fleet, step, &id, &call, &first, 0)?;
            if step.repeat && step.kind == RequestKind::Keyed {
                let runs_before = run_count(&fleet, &id);
                let repeat = send(&fleet, 1 - step.router, &call);
                check_guarantees(&fleet, step, &id, &call, &repeat, runs_before)?;
            }
        }
        Ok(())
    });
    result.expect("a guarantee does not hold");
}

fn check_guarantees(
    fleet: &Fleet,
    step: &Step,
    id: &str,
    call: &Call,
    response: &Answer,
    runs_before: u32,
) -> Result<(), TestCaseError> {
    let runs = run_count(fleet, id);
    if response.outcome() == "not-run" {
        prop_assert_eq!(runs, runs_before, "{}: reported as not-run but ran, {:?}", id, step);
    }
    if step.kind != RequestKind::Idempotent {
        prop_assert!(runs <= 1, "{}: ran {} times, {:?}", id, runs, step);
    }
    if response.status == 200 {
        let body = expected_answer("POST", path_for(step.kind), &call.body);
        prop_assert!(
            response.whole && response.text() == body,
            "{}: not the response to this request, {:?}",
            id,
            step
        );
    }
    prop_assert!(response.status != 0, "{}: no response, {:?}", id, step);
    Ok(())
}
