//! The cost of choosing a backend server, and of taking what others tell, by the number of servers; and of a slot
//! broker's decisions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cartvane::{
    gateway::cluster_state::ClusterState,
    names::ServiceName,
    routing::{
        BackendServer, LoadReport, PickRequest, Picker, ServerListUpdate, ServiceLoad, StoreEra,
    },
};
use fastrand::Rng;
use serde_json::json;

use super::{Figure, figure, slots};
use crate::load::measure::percentile;

/// Servers of the service.
const SIZES: [usize; 4] = [100, 1_000, 10_000, 20_000];

/// Choices timed at each size.
const CHOICES: usize = 2_000;

/// Measures choices with and without a prompt, taking the counts of all instances, and decisions on slots.
pub fn measure() -> Vec<Figure> {
    let mut figures: Vec<Figure> = SIZES.into_iter().flat_map(measure_at).collect();
    figures.extend(slots::measure());
    figures
}

fn measure_at(size: usize) -> Vec<Figure> {
    let service: ServiceName = "llm".parse().expect("a name");
    let now = Instant::now();
    let servers: Vec<Arc<BackendServer>> = (0..size).map(server).map(Arc::new).collect();
    let mut picker = Picker::new("z0".parse().expect("a name"), 2.0);
    picker.set_servers(now, servers.iter());
    let counts = servers.iter().step_by(10).map(|server| (server.tag(), 1)).collect();
    let load = ServiceLoad { service: service.clone(), mean: 0.1, counts, is_complete: true };
    for server in servers.iter().step_by(7) {
        picker.report(now, &server.id, LoadReport { running: 1, waiting: 0, slots: 16 });
    }
    let took: Vec<Duration> = (0..20)
        .map(|_| timed(|| drop(picker.set_fleet_loads(now, std::slice::from_ref(&load), &[]))))
        .collect();
    let mut figures = spread(&format!("counts of all taken, {size} servers"), &took);
    figures.extend(list_figures(size, &servers));
    let mut rng = Rng::with_seed(1);
    for (name, has_prompt) in [("with a prompt", true), ("without", false)] {
        let mut took = Vec::with_capacity(CHOICES);
        for _ in 0..CHOICES {
            let (key, spread) = (rng.u64(..), rng.u64(..));
            let affinity = has_prompt.then_some(key);
            let wanted = PickRequest { affinity, spread, ..PickRequest::new(&service) };
            took.push(timed(|| drop(picker.pick(now, &wanted))));
        }
        figures.extend(spread(&format!("choice {name}, {size} servers"), &took));
    }
    figures
}

/// Times a list that others tell, without news: looked at, and confirmed.
fn list_figures(size: usize, servers: &[Arc<BackendServer>]) -> Vec<Figure> {
    let (now, era) = (Instant::now(), StoreEra::default());
    let cluster_state = ClusterState::new(Duration::from_secs(1));
    let list: Vec<BackendServer> = servers.iter().map(|server| (**server).clone()).collect();
    cluster_state.apply_server_list(now, now, era, list);
    let version = cluster_state.list_version();
    let at = |round: u32| now + Duration::from_millis(1) * round;
    let look = |round| {
        let same = cluster_state.apply_list_update(version, ServerListUpdate::Same);
        same.map(|list| cluster_state.apply_server_list(at(round), at(round), era, list))
    };
    let looked: Vec<Duration> = (1..20).map(|round| timed(|| drop(look(round)))).collect();
    let confirm = |round| cluster_state.confirm_list(at(round), version, at(round), era);
    let confirmed: Vec<Duration> = (20..60).map(|round| timed(|| _ = confirm(round))).collect();
    let mut figures = spread(&format!("list without news looked at, {size} servers"), &looked);
    figures.extend(spread(&format!("list without news confirmed, {size} servers"), &confirmed));
    figures
}

fn server(number: usize) -> BackendServer {
    let value = json!({
        "id": {"server": format!("i-{number:08x}"), "started_at": null}, "service": "llm",
        "address": format!("10.{}.{}.{}:80", number >> 16, number >> 8 & 255, number & 255),
        "zone": format!("z{}", number % 6), "leaving": false, "slots": 16, "version": "v1",
        "cold_for": {"secs": 0, "nanos": 0}
    });
    serde_json::from_value(value).expect("a server")
}

pub(super) fn timed(run: impl FnOnce()) -> Duration {
    let began = Instant::now();
    run();
    began.elapsed()
}

pub(super) fn spread(name: &str, took: &[Duration]) -> Vec<Figure> {
    let mut micros: Vec<f64> = took.iter().map(|time| time.as_secs_f64() * 1e6).collect();
    let of = |part: f64, micros: &mut Vec<f64>| percentile(micros, part);
    let (median, p99) = (of(0.5, &mut micros), of(0.99, &mut micros));
    vec![figure(format!("{name}, p50"), median, "us"), figure(format!("{name}, p99"), p99, "us")]
}
