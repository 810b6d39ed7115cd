//! Roll-outs of a version that fails, and the promise that few requests meet it.

use std::{thread, time::Duration};

use cartvane::utils::sync::lock;
use serde_json::json;
use standins::{fault::Fault, listed::Listed};

use crate::{checks::Checks, fleet::Fleet};

/// Time that operators give a roll-out.
const ROLLOUT_DURATION: Duration = Duration::from_secs(6);

/// Servers of the new version.
const SERVERS: usize = 2;

/// Share of all requests that operators allow a failing version to receive.
const EXPOSURE_SHARE: f64 = 0.1;

/// Requests that a failing version may receive beyond [`EXPOSURE_SHARE`].
const EXPOSURE_SLACK: f64 = 50.0;

const ORDER_KEY: &str = "rollout/app";

/// A version is rolled out of which each answer is a failure; then its servers go, and the order is taken back.
pub(crate) fn roll_out(fleet: &Fleet, checks: &Checks) {
    if let Err(error) = roll_out_with(fleet, checks) {
        checks.report_violation("the soak itself works", "roll-out", error.to_string());
    }
}

fn roll_out_with(fleet: &Fleet, checks: &Checks) -> anyhow::Result<()> {
    let (before, _) = checks.request_counts();
    let version = format!("v{before}");
    let order =
        json!({"service": "app", "to": version, "duration_s": ROLLOUT_DURATION.as_secs_f64()});
    fleet.store.put("op", ORDER_KEY, &order);
    let spawn = |number| Listed::spawn(&format!("{version}-{number}"));
    let new = (0..SERVERS).map(spawn).collect::<Result<Vec<Listed>, _>>()?;
    for server in &new {
        server.faults.set_standing(Some(Fault::ServerError));
        let mut entry = server.entry("app", "ready");
        entry["version"] = version.as_str().into();
        fleet.store.put("servers", &server.id, &entry);
    }
    thread::sleep(ROLLOUT_DURATION);
    let (after, _) = checks.request_counts();
    let received: usize = new.iter().map(|server| server.arrivals().len()).sum();
    if received as f64 > EXPOSURE_SHARE * (after - before) as f64 + EXPOSURE_SLACK {
        let observed = format!("{received} requests of {}", after - before);
        checks.report_violation("few requests meet a bad version", &version, observed);
    }
    new.iter().for_each(|server| fleet.store.remove("servers", &server.id));
    // Once no instance uses them any more.
    thread::sleep(Duration::from_secs(2));
    fleet.store.remove("op", ORDER_KEY);
    lock(&fleet.servers).extend(new);
    Ok(())
}
