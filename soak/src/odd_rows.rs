//! Rows that another writer puts among those of backend servers, and the check that instances go on following the list.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use fastrand::Rng;
use standins::{caller::Call, listed::Listed};

use crate::{
    checks::Checks,
    fleet::{DRAIN_TIME, Fleet, KEY},
    plan,
    run::{TOLERANCE, is_undisturbed},
    small_service,
};

/// Number of events with such rows in a run.
pub(crate) const EVENTS: usize = CALM_EVENT + 1;

/// Number of the one that is applied while no fault is.
pub(crate) const CALM_EVENT: usize = 2;

/// Time for which its rows stay: a change of the intent and a departure are checked meanwhile.
pub(crate) const CALM_TIME: Duration = Duration::from_secs(7);

/// Depth of nested values: beyond what parsers accept, and fatal for one that recurses without a limit.
const NESTING: usize = 3000;

/// Length of the longest text.
const LONG_TEXT: usize = 60_000;

/// Time from the rows to the entry of the added server: instances read the rows first, in a change of their own.
const READ_TIME: Duration = Duration::from_millis(300);

/// Pause between two probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// A row whose value, or the value of one field, is odd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OddRow {
    /// Index into [`odd_values`].
    kind: usize,
    /// Whether the row names the small service.
    is_small: bool,
}

impl OddRow {
    /// Returns a row of each kind, in random order.
    pub(crate) fn all(rng: &mut Rng) -> Vec<OddRow> {
        let kinds = 0..odd_values().len();
        let mut rows: Vec<_> = kinds.map(|kind| OddRow { kind, is_small: rng.bool() }).collect();
        rng.shuffle(&mut rows);
        rows
    }

    /// Returns the bytes of the row of a server.
    fn value(self, server: &Listed) -> Vec<u8> {
        let (field, value) = odd_values().swap_remove(self.kind);
        if field.is_empty() {
            return value;
        }
        let service = if self.is_small { small_service::SERVICE } else { "app" };
        let mut entry = server.entry(service, "ready");
        // Not every value can be written with a JSON library.
        entry[field] = "?".into();
        let text = entry.to_string();
        let (before, after) = text.split_once("\"?\"").unwrap_or_default();
        [before.as_bytes(), &value, after.as_bytes()].concat()
    }
}

/// Returns odd values, each with the field that has it; without a field, it is the whole row.
fn odd_values() -> Vec<(&'static str, Vec<u8>)> {
    let nested = || [b"[".repeat(NESTING), b"]".repeat(NESTING)].concat();
    let long_text = || format!("\"{}\"", "x".repeat(LONG_TEXT)).into_bytes();
    vec![
        ("", Vec::new()),
        ("", nested()),
        ("", b"\xff\xfe{".to_vec()),
        ("", b"null".to_vec()),
        ("slots", b"4294967295".to_vec()),
        ("slots", b"1e400".to_vec()),
        ("slots", b"[8]".to_vec()),
        ("address", b"\"127.0.0.1:70000\"".to_vec()),
        ("version", long_text()),
        ("version", b"7".to_vec()),
        ("zone", long_text()),
        ("zone", nested()),
        ("zone", b"\"\xff\xfe\"".to_vec()),
        ("state", b"{\"ready\":true}".to_vec()),
        ("cold_remaining_ms", b"1e400".to_vec()),
        ("cold_remaining_ms", b"-1e300".to_vec()),
        ("seq", b"18446744073709551615".to_vec()),
        ("born", b"18446744073709551615".to_vec()),
    ]
}

/// Returns the name of the service, and of its route, of the server that is added after the rows of an event.
pub(crate) fn service(number: usize) -> String {
    format!("late-{number}")
}

/// Writes odd rows and removes them after `time`; meanwhile adds a server and checks that instances use it in time.
pub(crate) fn write(
    fleet: &Fleet,
    checks: &Checks,
    number: usize,
    rows: &[OddRow],
    time: Duration,
) {
    if let Err(error) = try_write(fleet, checks, number, rows, time) {
        checks.report_violation("the soak itself works", "odd rows", error.to_string());
    }
}

fn try_write(
    fleet: &Fleet,
    checks: &Checks,
    number: usize,
    rows: &[OddRow],
    time: Duration,
) -> anyhow::Result<()> {
    let since = Instant::now();
    let mut servers = Vec::new();
    for row in rows {
        // A row that can be decoded names a server that serves.
        let server = Listed::spawn(&format!("odd-{number}-{}", row.kind))?;
        server.set_version(plan::random_version(fleet.seed, &server.id));
        fleet.store.put_raw("servers", &server.id, row.value(&server));
        servers.push(server);
    }
    thread::sleep(READ_TIME);
    let added = Listed::spawn(&service(number))?;
    fleet.list(&added.id, added.entry(&service(number), "ready"));
    thread::scope(|scope| {
        for instance in 0..fleet.addresses.len() {
            scope.spawn(move || check_added(fleet, checks, number, instance));
        }
    });
    thread::sleep(time.saturating_sub(since.elapsed()));
    servers.iter().for_each(|server| fleet.store.remove("servers", &server.id));
    fleet.unlist(&added.id);
    servers.push(added);
    lock(&fleet.servers).extend(servers);
    Ok(())
}

/// Checks that an instance sends requests to a server within the time for a change of the list after it was added.
fn check_added(fleet: &Fleet, checks: &Checks, number: usize, instance: usize) {
    let since = Instant::now();
    let mut status = 0;
    while status != 200 && since.elapsed() < DRAIN_TIME + TOLERANCE {
        let call = Call::post(&format!("/{}/", service(number)), KEY, "probe");
        let call = Call { timeout: Duration::from_secs(1), ..call };
        let id = format!("late-{number}-i{instance}");
        status = call.with("x-request-id", id).send(fleet.addresses[instance]).status;
        thread::sleep(PROBE_INTERVAL);
    }
    // An instance that does not reply at all is stopped or down.
    if !matches!(status, 0 | 200) && is_undisturbed(fleet, instance, since) {
        let observed = format!("status {status} at edge-{instance}");
        checks.report_violation(
            "a server that is added receives requests in time",
            &service(number),
            observed,
        );
    }
}
