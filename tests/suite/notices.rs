//! Notices in responses of backend servers: how they are decoded, and how the picker applies them, on a simulated
//! clock.

use std::time::{Duration, Instant};

use cartvane::{
    adapter::responses::decode,
    link::http1::ResponseHead,
    routing::{BackendServer, Incarnation, Notice, PickError, PickRequest, Picker},
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::routing::{picker, server, set_servers};

const SECOND: Duration = Duration::from_secs(1);

/// Name and value.
pub(crate) type Header = (&'static str, &'static str);

pub(crate) fn head(status: u16, headers: &[Header]) -> ResponseHead {
    let header = |&(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value));
    let headers: HeaderMap = headers.iter().map(header).collect();
    ResponseHead { status: StatusCode::from_u16(status).expect("a status"), http10: false, headers }
}

#[test]
fn a_backoff_is_read_from_rejections_only() {
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
        // The rejection may be meant for a single team.
        (429, &[("retry-after", "1")], None),
        (200, &[("retry-after", "1")], None),
        (500, &[("retry-after", "1")], None),
    ];
    for (status, headers, expected) in cases {
        let notices = decode(&head(status, headers));
        assert_eq!(notices.backoff, expected, "{status} {headers:?}");
        assert!(!notices.leaving);
    }
}

#[test]
fn a_leaving_notice_is_read_from_any_response() {
    for status in [200, 206, 404, 429, 500, 503, 504] {
        assert!(decode(&head(status, &[("server-leaving", "1")])).leaving, "{status}");
        assert!(!decode(&head(status, &[("server-leaving", "0")])).leaving, "{status}");
    }
}

#[test]
fn the_latest_end_of_all_backoffs_applies() {
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
fn an_absurd_backoff_is_limited() {
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

/// Returns the servers that are picked for requests with many prompts and without one.
fn used(picker: &Picker, now: Instant) -> Result<Vec<Incarnation>, PickError> {
    let service = "llm".parse().expect("a valid name");
    let pick = |key: u64| {
        let affinity = key.is_multiple_of(2).then_some(key.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let request = PickRequest { affinity, spread: key << 40, ..PickRequest::new(&service) };
        picker.pick(now, &request).map(|picked| picked.server.id.clone())
    };
    let mut ids = (0..200).map(pick).collect::<Result<Vec<_>, _>>()?;
    ids.sort();
    ids.dedup();
    Ok(ids)
}

#[test]
fn a_successful_response_to_an_earlier_request_does_not_end_a_backoff() {
    let now = Instant::now();
    let (mut picker, servers) = fleet();
    picker.note_backoff(now, &servers[0].id, 3 * SECOND);
    picker.note_success(now + SECOND, &servers[0].id);
    assert!(!used(&picker, now + 2 * SECOND).expect("servers are picked").contains(&servers[0].id));
    assert!(used(&picker, now + 3 * SECOND).expect("servers are picked").contains(&servers[0].id));
}

#[test]
fn a_notice_outlives_the_entry_of_its_server_but_not_a_restart() {
    let now = Instant::now();
    let (mut picker, mut servers) = fleet();
    picker.note_leaving(now, &servers[0].id);
    set_servers(&mut picker, now + SECOND, &servers[1..]);
    // A response that arrives while the server is not listed.
    picker.note_leaving(now + SECOND, &servers[0].id);
    set_servers(&mut picker, now + 300 * SECOND, &servers);
    assert!(picker.forbids_requests(now + 300 * SECOND, &servers[0].id));
    assert!(
        !used(&picker, now + 300 * SECOND).expect("servers are picked").contains(&servers[0].id)
    );
    servers[0].id = "s0@1700000000000".parse().expect("a valid id");
    set_servers(&mut picker, now + 301 * SECOND, &servers);
    assert!(
        used(&picker, now + 301 * SECOND).expect("servers are picked").contains(&servers[0].id)
    );
}

#[test]
fn if_all_servers_back_off_the_earliest_end_without_leaving_servers_is_returned() {
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
fn the_cache_holder_may_be_leaving_but_not_in_a_backoff() {
    let now = Instant::now();
    let (mut picker, servers) = fleet();
    let service = "llm".parse().expect("a valid name");
    let request = PickRequest { affinity: Some(42), ..PickRequest::new(&service) };
    let first = picker.pick(now, &request).expect("a server is picked").server.id.clone();
    assert!(servers.iter().any(|server| server.id == first));
    picker.note_leaving(now, &first);
    let next = picker.pick(now, &request).expect("a server is picked");
    assert_eq!(next.holder.expect("a cache holder").id, first);
    picker.note_backoff(now, &first, SECOND);
    let next = picker.pick(now, &request).expect("a server is picked");
    assert!(next.holder.is_none_or(|holder| holder.id != first));
}

/// Guards against a request that is sent to a server which has left since it was picked, while the request waited for a
/// connection or the instance was suspended.
#[test]
fn a_picked_server_that_has_left_since_is_sent_nothing() {
    let now = Instant::now();
    let all = [server("a", 1), server("b", 2)];
    let mut picker = picker(&all);
    assert!(!picker.forbids_requests(now, &all[1].id));
    let leaving = BackendServer { leaving: true, ..all[1].clone() };
    set_servers(&mut picker, now, &[all[0].clone(), leaving]);
    assert!(picker.forbids_requests(now, &all[1].id), "it leaves");
    set_servers(&mut picker, now, &all[..1]);
    assert!(picker.forbids_requests(now, &all[1].id), "it is no longer listed");
    assert!(!picker.forbids_requests(now, &all[0].id));
}
