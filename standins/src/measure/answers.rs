//! What at-most-once costs, and what retries bring and cost.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use cartvane::{clock::Clock, link::http1::Conn, units::Rate};

use super::{Figure, figure, spread};
use crate::{
    caller::Call,
    fault::Fault,
    fleet::{Fleet, FleetSpec, sum, team_key},
};

/// Requests of a run with faults.
const REQUESTS: u32 = 4000;

/// Threads that send calls.
const SENDERS: u32 = 8;

/// Measures everything of this module.
///
/// # Errors
///
/// A fleet cannot be started.
pub fn measure(binary: &Path) -> anyhow::Result<Vec<Figure>> {
    let mut all = claim_cost(binary)?;
    all.extend(claim_rate(binary)?);
    for attempts in [1, 3] {
        all.push(answered_under_faults(binary, attempts)?);
    }
    all.extend(outage(binary)?);
    Ok(all)
}

fn spec(binary: &Path) -> FleetSpec {
    let mut spec = FleetSpec::small(binary);
    spec.settings = "[logging]\nlevel = \"off\"".to_owned();
    spec.plains = 4;
    spec
}

fn connect(fleet: &Fleet, router: usize) -> Conn {
    Conn::connect(fleet.routers[router].callers, Duration::from_secs(1), &Clock::system())
        .expect("the fleet listens")
}

fn claim_cost(binary: &Path) -> anyhow::Result<Vec<Figure>> {
    let fleet = Fleet::start(spec(binary))?;
    let mut conn = connect(&fleet, 0);
    let mut times = [Vec::new(), Vec::new()];
    for n in 0..2000 {
        let call = Call::post("/app/x", &team_key("crew"), "x");
        let call = if n % 2 == 0 { call } else { call.with("idempotency-key", n) };
        let began = Instant::now();
        let answer = call.send_on(&mut conn);
        assert_eq!(answer.status, 200, "{}", answer.text());
        times[n % 2].push(began.elapsed());
    }
    let [p50, p99] = spread("request without key", &times[0]);
    let [k50, k99] = spread("request with key", &times[1]);
    let added = [
        figure("claim, added p50", k50.value - p50.value, "ms"),
        figure("claim, added p99", k99.value - p99.value, "ms"),
    ];
    Ok([vec![p50, p99, k50, k99], added.to_vec()].concat())
}

/// Sends calls with keys as fast as they are answered, for a while.
fn claims_for(fleet: &Fleet, routers: usize, length: Duration) -> (u32, u32) {
    let counts: Vec<(u32, u32)> = thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS * 4)
            .map(|sender| {
                scope.spawn(move || {
                    let mut conn = connect(fleet, sender as usize % routers);
                    let (mut done, mut refused) = (0, 0);
                    let until = Instant::now() + length;
                    while Instant::now() < until {
                        let key = format!("{sender}-{done}-{refused}-{routers}");
                        let answer = Call::post("/app/x", &team_key("crew"), "x")
                            .with("idempotency-key", key)
                            .send_on(&mut conn);
                        if answer.status == 200 {
                            done += 1;
                        } else {
                            refused += 1;
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                    (done, refused)
                })
            })
            .collect();
        senders.into_iter().filter_map(|s| s.join().ok()).collect()
    });
    counts.into_iter().fold((0, 0), |(a, b), (c, d)| (a + c, b + d))
}

fn claim_rate(binary: &Path) -> anyhow::Result<Vec<Figure>> {
    let mut spec = spec(binary);
    spec.routers = 4;
    let fleet = Fleet::start(spec)?;
    let length = Duration::from_secs(5);
    let (alone, _) = claims_for(&fleet, 1, length);
    let writes_before = fleet.platform.counts().1;
    let (all, _) = claims_for(&fleet, 4, length);
    let writes = fleet.platform.counts().1 - writes_before;
    // The platform's limit: several hundred writes a second.
    fleet.platform.set_write_rate(Rate(300.0));
    let (limited, refused) = claims_for(&fleet, 4, length);
    let secs = length.as_secs_f64();
    Ok(vec![
        figure("claims a second, one router, no write limit", f64::from(alone) / secs, "/s"),
        figure("claims a second, four routers, no write limit", f64::from(all) / secs, "/s"),
        figure(
            "table writes per claimed request, four routers",
            writes as f64 / f64::from(all.max(1)),
            "",
        ),
        figure("claims a second, four routers, 300 writes/s", f64::from(limited) / secs, "/s"),
        figure("refused a second meanwhile, truthfully not run", f64::from(refused) / secs, "/s"),
    ])
}

/// Share of requests answered whole in time while one in a hundred attempts has a fault.
fn answered_under_faults(binary: &Path, attempts: u32) -> anyhow::Result<Figure> {
    let mut spec = spec(binary);
    spec.plain_lines = format!("deadline = \"2s\"\nattempts = {attempts}");
    let fleet = Fleet::start(spec)?;
    let faults = [
        Fault::CloseAfterRead,
        Fault::CutBody,
        Fault::Garbage,
        Fault::RefuseNotRun,
        Fault::CloseBeforeRead,
    ];
    let mut rng = fastrand::Rng::with_seed(3);
    let line: Vec<Fault> = (0..REQUESTS * 2)
        .map(|_| if rng.u32(..100) == 0 { faults[rng.usize(..faults.len())] } else { Fault::None })
        .collect();
    fleet.faults.push(line);
    let answered: u32 = thread::scope(|scope| {
        let send = |sender: u32| {
            let fleet = &fleet;
            move || {
                let call = Call::post("/app/x", &team_key("crew"), "x");
                let calls = (0..REQUESTS / SENDERS)
                    .map(|_| call.send(fleet.routers[sender as usize % 2].callers));
                calls.filter(|answer| answer.status == 200 && answer.whole).count() as u32
            }
        };
        let senders: Vec<_> = (0..SENDERS).map(|n| scope.spawn(send(n))).collect();
        senders.into_iter().filter_map(|s| s.join().ok()).sum()
    });
    let share = 100.0 * f64::from(answered) / f64::from(REQUESTS);
    Ok(figure(format!("answered in time, 1 % faults, {attempts} attempt(s)"), share, "%"))
}

/// Attempts per request while every server of a service fails after reading.
fn outage(binary: &Path) -> anyhow::Result<Vec<Figure>> {
    let fleet = Fleet::start(spec(binary))?;
    fleet.plains.values().for_each(|plain| plain.faults.set_standing(Some(Fault::CloseAfterRead)));
    let requests: u32 = 2000;
    for n in 0..requests {
        Call::post("/app/x", &team_key("crew"), "x").send(fleet.routers[n as usize % 2].callers);
    }
    let attempts: f64 = (0..2)
        .map(|router| {
            fleet
                .metrics(router)
                .map(|text| sum(&text, "cartvane_attempts_total", &["service=\"app\""]))
        })
        .sum::<anyhow::Result<f64>>()?;
    Ok(vec![figure("attempts per request, full outage", attempts / f64::from(requests), "")])
}
