//! Slopes for docs/CAPACITY.md: how costs grow with engines, chats, teams, routers and load.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use cartvane::{
    configs::fleet::Fleet as FleetFile,
    contract::membership::Membership,
    names::{InstanceId, Tag, ZoneId},
    platform::{Member, MemberKind, MemberState},
    zone::{
        homes::{Candidate, home_of},
        shard::ShardId,
    },
};
use plotters::prelude::*;
use serde::Serialize;

use super::{decisions::decision_micros, processor_secs, resident_mib};
use crate::{
    engine::EngineConfig,
    fleet::{Fleet, FleetSpec},
    load::{
        driver::{self, Run},
        workload::{WorkloadSpec, teams},
    },
};

/// One slope: points, and a line through them by least squares.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What grows.
    pub name: String,
    /// With what.
    pub per: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Points.
    pub points: Vec<(f64, f64)>,
    /// Cost at zero.
    pub base: f64,
    /// Cost of one more.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub error: f64,
}

/// Fits a line through points by least squares.
pub fn fit(name: &str, per: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Slope {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let covariance: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    let base = my - slope * mx;
    let error =
        (points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum::<f64>() / n).sqrt();
    Slope { name: name.to_owned(), per, unit, points, base, slope, error }
}

/// Measures the slopes of decisions.
pub fn decisions() -> Vec<Slope> {
    let p99 = |engines, chats, teams, entries| decision_micros(engines, chats, teams, entries).1;
    let sized = |sizes: &[f64], cost: &dyn Fn(f64) -> f64| {
        sizes.iter().map(|&x| (x, cost(x))).collect::<Vec<_>>()
    };
    let engines = sized(&[8.0, 16.0, 24.0, 32.0], &|n| p99(n as u32, 30_000, 10, 8));
    let chats = sized(&[1e3, 1e4, 1e5, 1e6], &|n| p99(25, n as u64, 10, 8));
    let team_points = sized(&[10.0, 1000.0, 10_000.0, 33_000.0], &|n| p99(25, 30_000, n as u32, 8));
    let entries = sized(&[8.0, 60.0, 180.0, 360.0], &|n| p99(25, 30_000, 10, n as u32));
    let homes = sized(&[8.0, 60.0, 180.0, 360.0], &|n| home_micros(n as usize));
    let check = sized(&[1e3, 8e3, 16e3, 33e3], &check_millis);
    vec![
        fit("permit decided, p99", "engines of a shard", "us", engines),
        fit("permit decided, p99", "chats remembered", "us", chats),
        fit("permit decided, p99", "teams", "us", team_points),
        fit("permit decided, p99", "routers that ask", "us", entries),
        fit("home of a shard found", "routers", "us", homes),
        fit("operators' file checked", "teams", "ms", check),
    ]
}

fn home_micros(routers: usize) -> f64 {
    let zone: ZoneId = "z".parse().expect("a zone");
    let own: InstanceId = "own".parse().expect("an id");
    let mut view = Membership::new(Candidate { tag: own.tag(), id: own, zone: zone.clone() });
    let member = |n: usize| Member {
        id: format!("r{n}"),
        kind: MemberKind::Instance,
        address: ([127, 0, 0, 1], 1 + n as u16).into(),
        zone: zone.clone(),
        state: MemberState::Live,
    };
    view.apply_list(1, (1..routers).map(member).collect());
    let now = Instant::now();
    let rounds = 2000;
    let began = Instant::now();
    let mut found = 0;
    for number in 0..rounds {
        let homes = view.homes(now);
        let home = home_of(ShardId { service: Tag(7), number }, None, homes.into_iter());
        found += usize::from(home.is_some());
    }
    assert_eq!(found, usize::from(rounds));
    began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn check_millis(teams: f64) -> f64 {
    let mut text = include_str!("../../../examples/hanbit.toml").to_owned();
    for n in 0..teams as usize {
        text.push_str(&format!("[[team]]\nid = \"t{n}\"\nkeys = [\"{n:064x}\"]\n"));
    }
    let began = Instant::now();
    FleetFile::parse(&text).expect("sound");
    began.elapsed().as_secs_f64() * 1000.0
}

/// What routers cost at one size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RouterCost {
    /// Routers.
    pub routers: usize,
    /// Requests a second a router.
    pub rate: f64,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Control bytes a second that a router sends.
    pub sent: f64,
    /// Processor time of a router, as a share of a core.
    pub cores: f64,
    /// Resident memory of a router in MiB.
    pub memory: f64,
}

/// Measures what routers cost at several sizes.
///
/// # Errors
///
/// A fleet cannot be started.
pub fn routers(binary: &Path) -> anyhow::Result<Vec<RouterCost>> {
    let sizes = [
        (8, 0.0, 20),
        (8, 1.0, 20),
        (8, 10.0, 20),
        (8, 10.0, 100),
        (8, 50.0, 20),
        (4, 10.0, 20),
        (16, 10.0, 20),
        (32, 5.0, 20),
    ];
    sizes
        .into_iter()
        .map(|(routers, rate, tokens)| router_cost(binary, routers, rate, tokens))
        .collect()
}

fn router_cost(
    binary: &Path,
    routers: usize,
    rate: f64,
    tokens: u32,
) -> anyhow::Result<RouterCost> {
    let mut spec = FleetSpec::small(binary);
    spec.routers = routers;
    spec.engines = 20;
    spec.plains = 0;
    spec.capacity = 64;
    spec.teams = teams(10);
    spec.engine = EngineConfig {
        slots: 64,
        step: Duration::from_millis(5),
        step_each: Duration::ZERO,
        ..EngineConfig::default()
    };
    spec.settings = "[logging]\nlevel = \"off\"".to_owned();
    let mut fleet = Fleet::start(spec)?;
    let workload = WorkloadSpec {
        rate: rate * routers as f64,
        length: Duration::from_secs(10),
        answer_tokens: tokens,
        ..WorkloadSpec::default()
    };
    let pids: Vec<u32> = fleet.routers.iter().map(|r| r.pid()).collect();
    let processor = || pids.iter().map(|pid| processor_secs(*pid)).sum::<f64>();
    let (before, began) = (processor(), Instant::now());
    let mut idle = |_: &mut Fleet, _: Duration| {};
    let figures = if rate == 0.0 {
        None
    } else {
        let run =
            Run { scenario: "cost", placement: "permit", act: &mut idle, progress: &|_, _| {} };
        Some(driver::run(&mut fleet, &workload, run)?)
    };
    let sent = match &figures {
        Some(figures) => figures.control_sent,
        None => idle_bytes(&fleet, workload.length)?,
    };
    let cores = (processor() - before) / began.elapsed().as_secs_f64() / routers as f64;
    let memory = pids.iter().map(|pid| resident_mib(*pid)).fold(0.0, f64::max);
    Ok(RouterCost { routers, rate, tokens, sent, cores, memory })
}

fn idle_bytes(fleet: &Fleet, length: Duration) -> anyhow::Result<f64> {
    let read = || -> anyhow::Result<f64> {
        (0..fleet.routers.len())
            .map(|at| {
                let text = fleet.metrics(at)?;
                let all =
                    crate::fleet::sum(&text, "cartvane_control_bytes", &["direction=\"sent\""]);
                Ok(all
                    - crate::fleet::sum(
                        &text,
                        "cartvane_control_bytes",
                        &["direction=\"sent\"", "operators"],
                    ))
            })
            .sum()
    };
    let before = read()?;
    std::thread::sleep(length);
    Ok((read()? - before) / length.as_secs_f64() / fleet.routers.len() as f64)
}

/// Prints slopes and costs, and draws them.
///
/// # Errors
///
/// The picture cannot be written.
pub fn report(slopes: &[Slope], costs: &[RouterCost], svg: Option<&Path>) -> anyhow::Result<()> {
    println!("{:<28} {:<20} {:>12} {:>14} {:>10}", "cost", "per", "at zero", "each", "error");
    for Slope { name, per, unit, base, slope, error, .. } in slopes {
        println!(
            "{name:<28} {per:<20} {base:>9.2} {unit:<2} {slope:>11.6} {unit:<2} {error:>7.2} {unit}"
        );
    }
    println!(
        "\n{:>8} {:>12} {:>14} {:>12} {:>10}",
        "routers", "requests/s", "control B/s", "cores", "MiB"
    );
    for RouterCost { routers, rate, tokens, sent, cores, memory } in costs {
        println!("{routers:>8} {rate:>12.1} {tokens:>8} {sent:>14.0} {cores:>12.4} {memory:>10.1}");
    }
    if let Some(path) = svg {
        draw(slopes, path)?;
    }
    Ok(())
}

fn draw(slopes: &[Slope], path: &Path) -> anyhow::Result<()> {
    let fault = |e: &dyn std::fmt::Display| anyhow::anyhow!("cannot draw: {e}");
    let root = SVGBackend::new(path, (960, 640)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| fault(&e))?;
    let areas = root.split_evenly((2, 3));
    for (area, slope) in areas.iter().zip(slopes) {
        let most_x = slope.points.iter().map(|p| p.0).fold(0.0, f64::max);
        let most_y = slope.points.iter().map(|p| p.1).fold(0.0, f64::max) * 1.3;
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{} ({})", slope.name, slope.unit), ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most_y)
            .map_err(|e| fault(&e))?;
        chart
            .configure_mesh()
            .x_desc(slope.per)
            .x_labels(4)
            .y_labels(4)
            .draw()
            .map_err(|e| fault(&e))?;
        let line = [0.0, most_x].map(|x| (x, slope.base + slope.slope * x));
        chart.draw_series(LineSeries::new(line, &BLUE)).map_err(|e| fault(&e))?;
        let dots = slope.points.iter().map(|point| Circle::new(*point, 4, RED.filled()));
        chart.draw_series(dots).map_err(|e| fault(&e))?;
    }
    root.present().map_err(|e| fault(&e))?;
    Ok(())
}
