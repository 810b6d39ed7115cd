//! Sends a planned load to a fleet and measures.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;

use super::{
    measure::{ControlBytes, Figures, LoadSample, Outcome, first_token, reuse, skew},
    workload::{PlannedRequest, WorkloadSpec, plan},
};
use crate::{
    caller::Call,
    engine::Arrival,
    fleet::{Fleet, samples, team_key},
    model::read_events,
};

/// Time between two samples of the engines' loads.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait of a caller.
const CALLER_TIME: Duration = Duration::from_secs(30);

/// Part of the run whose requests are not counted, while engines fill.
const WARM_UP: Duration = Duration::from_secs(3);

/// What a load run needs to know of a scenario.
pub struct Run<'r> {
    /// Scenario's name.
    pub scenario: &'r str,
    /// Placement's name.
    pub placement: &'r str,
    /// Told the time now and then; changes the fleet.
    pub act: &'r mut dyn FnMut(&mut Fleet, Duration),
    /// Told how far the run has come.
    pub progress: &'r dyn Fn(Duration, usize),
}

/// Shared by the sending threads.
struct Callers {
    routers: Mutex<Vec<SocketAddr>>,
    hints: Mutex<HashMap<usize, String>>,
    outcomes: Mutex<Vec<Outcome>>,
    service: String,
}

/// Sends the load and returns the figures.
///
/// # Errors
///
/// The routers' metrics cannot be read.
pub fn run(fleet: &mut Fleet, spec: &WorkloadSpec, run: Run<'_>) -> anyhow::Result<Figures> {
    let planned = plan(spec);
    let callers = Arc::new(Callers {
        routers: Mutex::new(addresses(fleet)),
        hints: Mutex::default(),
        outcomes: Mutex::default(),
        service: fleet.spec.model_service.clone(),
    });
    let mut sampled = Vec::new();
    let mut control = ControlMeter::start(fleet);
    fleet.board.take_arrivals();
    let start = Instant::now();
    let mut threads = Vec::new();
    let mut next_sample = SAMPLE_PERIOD;
    for request in planned {
        loop {
            let now = start.elapsed();
            if now >= next_sample {
                next_sample += SAMPLE_PERIOD;
                (run.act)(fleet, now);
                fleet.mark_in_use();
                *lock(&callers.routers) = addresses(fleet);
                control.note(fleet);
                sampled.push(sample(fleet, now));
                (run.progress)(now, lock(&callers.outcomes).len());
            }
            if now >= request.at {
                break;
            }
            thread::sleep(
                (request.at - now)
                    .min(next_sample.saturating_sub(now))
                    .max(Duration::from_micros(200)),
            );
        }
        let callers = Arc::clone(&callers);
        threads.push(
            thread::Builder::new().stack_size(256 << 10).spawn(move || callers.send(&request))?,
        );
    }
    for thread in threads {
        // A caller's thread that panicked counts as a request without an outcome.
        let _ = thread.join();
    }
    let elapsed = start.elapsed();
    let control = control.end(fleet, elapsed)?;
    let mut outcomes = std::mem::take(&mut *lock(&callers.outcomes));
    outcomes.retain(|o| o.at >= WARM_UP);
    sampled.retain(|s| s.at >= WARM_UP);
    let mut arrivals = fleet.board.take_arrivals();
    arrivals.retain(|arrival| arrival.at >= start + WARM_UP);
    let seconds = arrivals.iter().filter(|a| a.beyond > 0).map(|a| (a.at - start).as_secs());
    let by_second = seconds.fold(vec![0; workload_seconds(spec)], |mut counts, second| {
        if let Some(count) = counts.get_mut(second as usize) {
            *count += 1;
        }
        counts
    });
    let figures = figures(&run, &outcomes, &sampled, &arrivals, &control);
    Ok(Figures { over_bound_by_second: by_second, ..figures })
}

fn workload_seconds(spec: &WorkloadSpec) -> usize {
    spec.length.as_secs() as usize + 1
}

/// Returns the routers that say they are ready, as the platform's balancer would choose.
fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let ready = (0..fleet.routers.len()).filter(|&at| fleet.is_ready(at));
    ready.map(|at| fleet.routers[at].callers).collect()
}

fn sample(fleet: &Fleet, at: Duration) -> LoadSample {
    let in_use = fleet
        .engines
        .iter()
        .filter(|(id, _)| !fleet.leaving.contains(*id) && !fleet.down.contains(*id));
    LoadSample { at, loads: in_use.map(|(_, engine)| engine.load()).collect() }
}

impl Callers {
    fn send(&self, planned: &PlannedRequest) {
        let body = serde_json::to_vec(&*planned.request).unwrap_or_default();
        let target = format!("/{}/v1/chat/completions", self.service);
        let mut call = Call::post(&target, &team_key(&planned.team), body)
            .with("cartvane-chat", planned.chat)
            .with("content-type", "application/json");
        call.timeout = CALLER_TIME;
        if planned.hints
            && let Some(hint) = lock(&self.hints).get(&planned.chat).cloned()
        {
            call = call.with("cartvane-placement", hint);
        }
        let router = {
            let routers = lock(&self.routers);
            routers[fastrand::usize(..routers.len())]
        };
        let answer = call.send(router);
        let events = read_events(&answer.text());
        let complete =
            answer.whole && events.done && events.text == planned.request.expected_answer();
        let placement = answer.header("cartvane-placement");
        if !placement.is_empty() {
            lock(&self.hints).insert(planned.chat, placement.to_owned());
        }
        lock(&self.outcomes).push(Outcome {
            at: planned.at,
            complete,
            status: answer.status,
            told: answer.outcome().to_owned(),
            first_token: answer.first_byte.filter(|_| complete),
            returning: planned.turn > 0 && planned.reusable > 0,
            surge: planned.surge,
            reserved: planned.team == "team-00",
            cached: events.usage.map_or(0, |u| u.cached_tokens),
            reusable: planned.reusable,
        });
    }
}

fn figures(
    run: &Run<'_>,
    outcomes: &[Outcome],
    sampled: &[LoadSample],
    arrivals: &[Arrival],
    control: &ControlBytes,
) -> Figures {
    let (skew_worst, skew_p99) = skew(sampled);
    let beyond = arrivals.iter().filter(|a| a.beyond > 0).count();
    let normal = || outcomes.iter().filter(|o| !o.surge && !o.reserved);
    Figures {
        scenario: run.scenario.to_owned(),
        placement: run.placement.to_owned(),
        requests: outcomes.len(),
        complete: outcomes.iter().filter(|o| o.complete).count(),
        refused: outcomes.iter().filter(|o| !o.complete && o.told == "not-run").count(),
        reuse: reuse(outcomes),
        skew_worst,
        skew_p99,
        over_bound: arrivals.iter().map(|a| a.beyond).max().unwrap_or(0),
        over_bound_percent: 100.0 * beyond as f64 / arrivals.len().max(1) as f64,
        over_bound_by_second: Vec::new(),
        control_sent: control.by_purpose.iter().map(|(_, sent, _)| sent).sum(),
        control_received: control.by_purpose.iter().map(|(_, _, received)| received).sum(),
        control_by_purpose: control
            .by_purpose
            .iter()
            .map(|(name, sent, _)| (name.clone(), *sent))
            .collect(),
        first_token_p50: first_token(outcomes.iter(), 0.5),
        first_token_p95: first_token(outcomes.iter(), 0.95),
        others_p95: first_token(normal(), 0.95),
        reserved_p95: first_token(outcomes.iter().filter(|o| o.reserved), 0.95),
    }
}

/// Adds up control bytes over routers, also those that end during the run.
struct ControlMeter {
    first: HashMap<u32, Vec<(String, f64)>>,
    last: HashMap<u32, Vec<(String, f64)>>,
    routers: usize,
    notes: u32,
}

/// Purposes that are the operators' own, not control traffic of the routers.
const OPERATORS: &str = "purpose=\"operators\"";

/// Notes between two readings of the metrics.
const NOTES_A_READING: u32 = 20;

impl ControlMeter {
    fn start(fleet: &Fleet) -> ControlMeter {
        let mut meter = ControlMeter {
            first: HashMap::new(),
            last: HashMap::new(),
            routers: fleet.routers.len(),
            notes: 0,
        };
        meter.read(fleet);
        meter.first = meter.last.clone();
        meter
    }

    fn note(&mut self, fleet: &Fleet) {
        self.notes += 1;
        if self.notes.is_multiple_of(NOTES_A_READING) {
            self.read(fleet);
        }
    }

    fn read(&mut self, fleet: &Fleet) {
        for (at, router) in fleet.routers.iter().enumerate() {
            if let Ok(text) = fleet.metrics(at) {
                self.last.insert(router.pid(), samples(&text, "cartvane_control_bytes", &[]));
            }
        }
    }

    fn end(mut self, fleet: &Fleet, elapsed: Duration) -> anyhow::Result<ControlBytes> {
        self.read(fleet);
        let mut sums: HashMap<String, (f64, f64)> = HashMap::new();
        for (pid, last) in &self.last {
            let first: HashMap<&str, f64> = self
                .first
                .get(pid)
                .into_iter()
                .flatten()
                .map(|(name, value)| (name.as_str(), *value))
                .collect();
            for (name, value) in last.iter().filter(|(name, _)| !name.contains(OPERATORS)) {
                let grown = value - first.get(name.as_str()).copied().unwrap_or(0.0);
                let purpose =
                    name.split("purpose=\"").nth(1).and_then(|rest| rest.split('"').next());
                let slot = sums.entry(purpose.unwrap_or("?").to_owned()).or_default();
                if name.contains("direction=\"sent\"") {
                    slot.0 += grown;
                } else {
                    slot.1 += grown;
                }
            }
        }
        let scale = elapsed.as_secs_f64() * self.routers as f64;
        let mut by_purpose: Vec<(String, f64, f64)> = sums
            .into_iter()
            .map(|(name, (sent, received))| (name, sent / scale, received / scale))
            .collect();
        by_purpose.sort_by(|a, b| a.0.cmp(&b.0));
        Ok(ControlBytes { by_purpose })
    }
}
