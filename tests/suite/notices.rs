//! What a server's answer says of it, read from heads and kept by the picker, on a made-up clock.

use std::time::{Duration, Instant};

use cartvane::{
    adapter::responses::decode,
    link::http1::ResponseHead,
    routing::{BackendServer, Incarnation, Notice, PickError, PickRequest, Picker},
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::routing::{list, picker, server};

const SECOND: Duration = Duration::from_secs(1);

/// Name and value.
type Header = (&'static str, &'static str);

fn head(status: u16, headers: &[Header]) -> ResponseHead {
    let header = |&(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value));
    let headers: HeaderMap = headers.iter().map(header).collect();
    ResponseHead { status: StatusCode::from_u16(status).expect("a status"), http10: false, headers }
}

#[test]
fn a_time_is_read_off_refusals_only() {
    let not_run = ("x-not-executed", "1");
    let cases: [(u16, &[Header], Option<Duration>); 11] = [
        (503, &[("retry-after", "3"), not_run], Some(3 * SECOND)),
        (503, &[("retry-after", "0.25"), not_run], Some(SECOND / 4)),
        (503, &[("retry-after", " 2 ")], Some(2 * SECOND)),
        (503, &[not_run], None),
        (503, &[("retry-after", "soon"), not_run], None),
        (503, &[("retry-after", "-1"), not_run], None),
        (503, &[("retry-after", "1e300"), not_run], None),
        (429, &[("retry-after", "1"), not_run], Some(SECOND)),
        // May be meant for one team.
        (429, &[("retry-after", "1")], None),
        (200, &[("retry-after", "1")], None),
        (500, &[("retry-after", "1")], None),
    ];
    for (status, headers, expected) in cases {
        let words = decode(&head(status, headers));
        assert_eq!(words.backoff, expected, "{status} {headers:?}");
        assert!(!words.leaving);
    }
}

#[test]
fn that_a_server_leaves_is_read_off_any_answer() {
    for status in [200, 206, 404, 429, 500, 503, 504] {
        assert!(decode(&head(status, &[("server-leaving", "1")])).leaving, "{status}");
        assert!(!decode(&head(status, &[("server-leaving", "0")])).leaving, "{status}");
    }
}

#[test]
fn the_latest_end_of_all_backoffs_counts() {
    let now = Instant::now();
    let mut notice = Notice::default();
    notice.extend_backoff(now, 3 * SECOND);
    notice.extend_backoff(now + SECOND / 2, SECOND);
    assert_eq!(notice.backoff_left(now + SECOND), Some(2 * SECOND));
    notice.extend_backoff(now + SECOND, 3 * SECOND);
    assert_eq!(notice.backoff_left(now + 3 * SECOND), Some(SECOND));
    assert!(notice.forbids_requests(now + 3 * SECOND));
    assert!(!notice.forbids_requests(now + 4 * SECOND));
    notice.set_leaving();
    assert!(notice.forbids_requests(now + 4000 * SECOND));
}

#[test]
fn a_figure_that_makes_no_sense_does_not_end_a_server_for_good() {
    let now = Instant::now();
    let mut notice = Notice::default();
    notice.extend_backoff(now, Duration::from_secs(u64::MAX / 4));
    assert!(notice.forbids_requests(now + 3599 * SECOND));
    assert!(!notice.forbids_requests(now + 3600 * SECOND));
}

fn fleet() -> (Picker, Vec<BackendServer>) {
    let servers: Vec<BackendServer> = (0..3).map(|n| server(&format!("s{n}"), n)).collect();
    (picker(&servers), servers)
}

/// Returns which servers requests of many prompts and without one go to.
fn used(picker: &Picker, now: Instant) -> Result<Vec<Incarnation>, PickError> {
    let service = "llm".parse().expect("a name");
    let pick = |key: u64| {
        let affinity = key.is_multiple_of(2).then_some(key.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let wanted = PickRequest { affinity, spread: key << 40, ..PickRequest::new(&service) };
        picker.pick(now, &wanted).map(|picked| picked.server.id.clone())
    };
    let mut ids = (0..200).map(pick).collect::<Result<Vec<_>, _>>()?;
    ids.sort();
    ids.dedup();
    Ok(ids)
}

#[test]
fn a_good_answer_to_an_earlier_request_does_not_lift_a_backoff() {
    let now = Instant::now();
    let (mut picker, servers) = fleet();
    picker.note_backoff(now, &servers[0].id, 3 * SECOND);
    picker.note_success(now + SECOND, &servers[0].id);
    assert!(!used(&picker, now + 2 * SECOND).expect("servers").contains(&servers[0].id));
    assert!(used(&picker, now + 3 * SECOND).expect("servers").contains(&servers[0].id));
}

#[test]
fn what_a_server_said_outlives_its_entry_and_ends_with_its_start() {
    let now = Instant::now();
    let (mut picker, mut servers) = fleet();
    picker.note_leaving(now, &servers[0].id);
    list(&mut picker, now + SECOND, &servers[1..]);
    // An answer that comes while the entry is away.
    picker.note_leaving(now + SECOND, &servers[0].id);
    list(&mut picker, now + 300 * SECOND, &servers);
    assert!(picker.forbids_requests(now + 300 * SECOND, &servers[0].id));
    assert!(!used(&picker, now + 300 * SECOND).expect("servers").contains(&servers[0].id));
    servers[0].id = "s0@1700000000000".parse().expect("an id");
    list(&mut picker, now + 301 * SECOND, &servers);
    assert!(used(&picker, now + 301 * SECOND).expect("servers").contains(&servers[0].id));
}

#[test]
fn where_all_back_off_the_first_end_is_told_and_one_that_leaves_has_none() {
    let now = Instant::now();
    let (mut picker, servers) = fleet();
    picker.note_backoff(now, &servers[0].id, 5 * SECOND);
    picker.note_backoff(now, &servers[1].id, 3 * SECOND);
    picker.note_backoff(now, &servers[2].id, SECOND);
    picker.note_leaving(now, &servers[2].id);
    assert_eq!(used(&picker, now + SECOND), Err(PickError::Backoff { left: 2 * SECOND }));
    picker.note_leaving(now, &servers[0].id);
    picker.note_leaving(now, &servers[1].id);
    assert_eq!(used(&picker, now + SECOND), Err(PickError::NoServer));
}

#[test]
fn memory_is_fetched_from_a_server_that_leaves_but_not_from_one_that_wants_no_requests() {
    let now = Instant::now();
    let (mut picker, servers) = fleet();
    let service = "llm".parse().expect("a name");
    let wanted = PickRequest { affinity: Some(42), ..PickRequest::new(&service) };
    let first = picker.pick(now, &wanted).expect("a server").server.id.clone();
    assert!(servers.iter().any(|server| server.id == first));
    picker.note_leaving(now, &first);
    let next = picker.pick(now, &wanted).expect("a server");
    assert_eq!(next.holder.expect("a holder").id, first);
    picker.note_backoff(now, &first, SECOND);
    let next = picker.pick(now, &wanted).expect("a server");
    assert!(next.holder.is_none_or(|holder| holder.id != first));
}
