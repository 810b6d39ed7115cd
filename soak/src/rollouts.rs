//! Roll-outs of a failing version, and the check that it receives few requests.

use std::{thread, time::Duration};

use cartvane::utils::sync::lock;
use serde_json::json;
use standins::{fault::Fault, listed::Listed};

use crate::{checks::Checks, fleet::Fleet};

/// Duration of a roll-out, as operators order it.
const ROLLOUT_DURATION: Duration = Duration::from_secs(6);

/// Number of servers of the new version.
const SERVERS: usize = 2;

/// Share of all requests that operators allow a failing version to receive.
const EXPOSURE_SHARE: f64 = 0.1;

/// Requests that a failing version may receive beyond [`EXPOSURE_SHARE`].
const EXPOSURE_SLACK: f64 = 50.0;

/// Key of the roll-out order in the operators' table.
const ORDER_KEY: &str = "rollout/app";

/// Rolls out a version that fails every request, then removes its servers and the order.
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
        let observed = format!("{received} of {} requests", after - before);
        checks.report_violation("a failing version receives few requests", &version, observed);
    }
    new.iter().for_each(|server| fleet.store.remove("servers", &server.id));
    // Waits until no instance uses the removed servers any more.
    thread::sleep(Duration::from_secs(2));
    fleet.store.remove("op", ORDER_KEY);
    lock(&fleet.servers).extend(new);
    Ok(())
}
