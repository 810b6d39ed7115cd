//! A service with fewer slots than the fleet has instances, the teams that compete for it, and the checks of its slots.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use standins::{
    caller::{Answer, Call},
    listed::Listed,
};

use crate::{checks::Checks, fleet::Fleet, run::TOLERANCE};

/// Name of the service.
pub(crate) const SERVICE: &str = "small";

/// Number of its servers, each with one slot.
pub(crate) const SERVERS: usize = 2;

/// Number of teams that use it. All send less than their equal share of the slots, except [`SURGING_TEAM`] for a time.
pub(crate) const TEAMS: usize = 4;

/// The team that surges.
const SURGING_TEAM: usize = 0;

/// Time for which a request occupies a slot: both servers together run 100 requests per second.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Pause between two requests of a team, in milliseconds: it sends up to 17 requests per second, where 25 are its share.
const PAUSE_MS: std::ops::Range<u64> = 40..90;

/// Callers of a surge, for each instance. With four instances 40 requests wait at a time, for longer than the target latency
/// of 300 ms if they are all queued, so that a part is rejected.
const SURGE_CALLERS: usize = 10;

/// Shortest pause after a rejection, so that a refused connection is not retried in a busy loop.
const SURGE_PAUSE: Duration = Duration::from_millis(5);

/// Duration of the surge in which the shares of the other teams are checked.
const CHECKED_SURGE_TIME: Duration = Duration::from_secs(3);

/// Share of its requests for which each team must be served while another one surges, as in docs/design/hard-load.md.
const SERVED_SHARE_MIN: f64 = 0.9;

/// Time from the first attempt of a request until its caller gives up.
const DEADLINE: Duration = Duration::from_secs(2);

/// Longest wait for a response, as that of other callers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time within which all slots serve again after the load has ended: leases of lost requests expire at the deadlines.
const FREE_TIME: Duration = Duration::from_secs(4);

/// Starts the servers.
pub(crate) fn spawn_servers() -> anyhow::Result<Vec<Listed>> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Listed::spawn(&format!("{SERVICE}-{number}"))?;
        server.limit_slots(1, RUN_TIME);
        servers.push(server);
    }
    Ok(servers)
}

/// Returns the API key of a team.
pub(crate) fn key(team: usize) -> String {
    format!("key-of-team-{team}")
}

/// A caller of one team.
pub(crate) struct TeamCaller {
    addresses: Vec<SocketAddr>,
    checks: Arc<Checks>,
    team: usize,
    name: String,
    rng: Rng,
    sent: u64,
}

impl TeamCaller {
    /// Returns a caller whose random choices follow from `seed`; `name` is unique in the run.
    pub(crate) fn new(
        team: usize,
        name: String,
        seed: u64,
        fleet: &Fleet,
        checks: &Arc<Checks>,
    ) -> TeamCaller {
        TeamCaller {
            addresses: fleet.addresses.clone(),
            checks: Arc::clone(checks),
            team,
            name,
            rng: Rng::with_seed(seed),
            sent: 0,
        }
    }

    /// Sends requests at the team's usual rate.
    pub(crate) fn call_until(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let served = self.request();
            self.checks.count_team_request(self.team, served);
            thread::sleep(Duration::from_millis(self.rng.u64(PAUSE_MS)));
        }
    }

    /// Sends requests at once one after another, whatever the responses say.
    fn surge_until(mut self, end: Instant) {
        while Instant::now() < end {
            if self.attempt(DEADLINE).status != 200 {
                thread::sleep(SURGE_PAUSE);
            }
        }
    }

    /// Sends a request, and again as its rejections say; returns whether it was served within its deadline.
    fn request(&mut self) -> bool {
        let deadline = Instant::now() + DEADLINE;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < RUN_TIME {
                return false;
            }
            let answer = self.attempt(left);
            if !matches!(answer.status, 429 | 503) {
                return answer.status == 200 && answer.whole;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let told = answer.header("retry-after").parse().unwrap_or(0.0);
            let told = Duration::try_from_secs_f64(told).unwrap_or_default();
            thread::sleep(told.min(left / 3).max(SURGE_PAUSE));
        }
    }

    fn attempt(&mut self, left: Duration) -> Answer {
        self.sent += 1;
        let instance = self.rng.usize(..self.addresses.len());
        let id = format!("{}-{}-i{instance}", self.name, self.sent);
        let once = self.rng.bool();
        let route = if once { "small-once" } else { "small" };
        let answer = send(self.addresses[instance], self.team, route, &id, left);
        if once {
            self.checks.note_once(&id, answer.status);
        }
        answer
    }
}

fn send(address: SocketAddr, team: usize, route: &str, id: &str, left: Duration) -> Answer {
    let call = Call::post(&format!("/{route}/{id}"), &key(team), "small");
    Call { timeout: RESPONSE_TIMEOUT, ..call }
        .with("x-request-id", id)
        .with("x-deadline-ms", left.as_millis())
        .send(address)
}

/// Has one team send many times its usual load for `time`.
pub(crate) fn surge(fleet: &Fleet, checks: &Arc<Checks>, time: Duration, seed: u64) {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for number in 0..fleet.instances.len() * SURGE_CALLERS {
            let name = format!("surge{seed:x}-{number}");
            let seed = seed.wrapping_add(number as u64);
            let caller = TeamCaller::new(SURGING_TEAM, name, seed, fleet, checks);
            scope.spawn(move || caller.surge_until(end));
        }
    });
}

/// Has one team surge while no fault is injected and checks that the others are served.
pub(crate) fn check_shares(fleet: &Fleet, checks: &Arc<Checks>) {
    let before = checks.team_counts();
    surge(fleet, checks, CHECKED_SURGE_TIME, u64::MAX);
    let after = checks.team_counts();
    for team in (0..TEAMS).filter(|team| *team != SURGING_TEAM) {
        let sent = after[team].0 - before[team].0;
        let served = after[team].1 - before[team].1;
        if sent == 0 || (served as f64) < SERVED_SHARE_MIN * sent as f64 {
            checks.report_violation(
                "the other teams are served while one surges",
                &format!("team-{team}"),
                format!("{served} of {sent} requests served"),
            );
        }
    }
}

/// Checks that all slots serve again after the load has ended, for each team and at each instance.
pub(crate) fn check_slots(fleet: &Fleet, checks: &Checks) {
    let deadline = Instant::now() + FREE_TIME + TOLERANCE;
    let before = fleet.small_runs();
    let addresses = &fleet.addresses;
    let pairs = (0..TEAMS).flat_map(|team| (0..addresses.len()).map(move |at| (team, at)));
    let mut unserved: Vec<(usize, usize)> = pairs.collect();
    let is_used = || fleet.small_runs().iter().zip(&before).all(|(now, before)| now > before);
    let mut round = 0;
    while (!unserved.is_empty() || !is_used()) && Instant::now() < deadline {
        round += 1;
        let served = |team: usize, at: usize| {
            let id = format!("free-{team}-{round}-i{at}");
            send(addresses[at], team, "small", &id, DEADLINE).status == 200
        };
        // Both slots are needed at a time, so that one that is lost shows.
        thread::scope(|scope| {
            scope.spawn(|| served(0, 0));
            unserved.retain(|&(team, at)| !served(team, at));
        });
    }
    if !unserved.is_empty() || !is_used() {
        let observed = format!(
            "teams and instances not served: {unserved:?}; runs by server {before:?}, then {:?}",
            fleet.small_runs()
        );
        checks.report_violation("all slots serve again after the load", SERVICE, observed);
    }
}
