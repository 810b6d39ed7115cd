//! Changes of the intent: undisturbed instances apply them in time.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use standins::caller::Call;

use crate::{
    checks::Checks,
    fleet::{CONFIG_APPLY_TIME, Fleet, KEY},
    run::{TOLERANCE, is_undisturbed},
};

/// Changes the intent and checks that, after the time for applying it, undisturbed instances serve the new version
/// and not the one before.
pub(crate) fn change_intent(fleet: &Fleet, checks: &Checks, times: u32) {
    let since = Instant::now();
    let mut version = 0;
    for _ in 0..times {
        version = fleet.change_intent();
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(CONFIG_APPLY_TIME + TOLERANCE);
    for number in 0..fleet.instances.len() {
        let new = probe(fleet, number, version);
        let old = probe(fleet, number, version - 1);
        if *lock(&fleet.version) != version || !is_undisturbed(fleet, number, since) {
            continue;
        }
        if new == 404 || old == 200 {
            let observed = format!("version {version}: new {new}, old {old}");
            checks.report_violation(
                "an intent change is applied in time",
                &format!("edge-{number}"),
                observed,
            );
        }
    }
}

fn probe(fleet: &Fleet, number: usize, version: u64) -> u16 {
    let Ok(instance) = fleet.instances[number].try_lock() else { return 0 };
    let address = instance.frontend;
    drop(instance);
    let call = Call {
        timeout: Duration::from_secs(3),
        ..Call::post(&format!("/v{version}/"), KEY, "probe")
    };
    call.with("x-request-id", format!("probe-{number}-{version}")).send(address).status
}
