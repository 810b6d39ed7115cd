//! `standins`: the demo fleet and the measurements.

use std::{path::PathBuf, time::Duration};

use anyhow::{Context as _, bail};
use standins::{
    engine::EngineConfig,
    fleet::{Fleet, FleetSpec},
    load::{
        driver::{self, Run},
        measure::Figures,
        report,
        scenario::{SCENARIOS, Scenario, Script},
        workload::{WorkloadSpec, teams},
    },
    measure::{answers, capacity, choices, config, decisions, latency, print},
};

const USAGE: &str = "usage: standins COMMAND [OPTIONS]

  demo [--json] [--seed N]     run a small fleet under load and print what it did
  bench [OPTIONS]              run scenarios with every placement
  measure NAME [--json]        latency, answers, config, decisions, choices or capacity
          [--svg FILE]         capacity: draw the slopes

options of bench:
  --scenario NAME              only this one; may be repeated
  --placement NAME             only this one; may be repeated
  --rate N                     requests a second in all, default 80
  --seconds N                  length of a run, default 20
  --hints SHARE                share of chats that send hints back, default 0.5
  --seed N                     seed, default 1
  --json                       print JSON
";

/// Placements that a bench compares.
const PLACEMENTS: [&str; 5] =
    ["permit", "round-robin", "least-reported", "rendezvous", "bounded-alone"];

fn main() -> anyhow::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    match args.subcommand()?.as_deref() {
        Some("demo") => demo(args),
        Some("bench") => bench(args),
        Some("measure") => measure_one(args),
        _ => {
            print!("{USAGE}");
            bail!("no such command")
        }
    }
}

/// Returns the `cartvane` binary beside this one.
fn binary() -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("cartvane");
    if !path.exists() {
        bail!("{} is missing; build it with `cargo build --release --workspace`", path.display());
    }
    Ok(path)
}

/// Returns the fleet of benches: 8 routers and 20 engines in four zones.
fn bench_fleet(routers: usize, placement: &str) -> anyhow::Result<FleetSpec> {
    let mut spec = FleetSpec::small(binary()?);
    spec.routers = routers;
    spec.zones = ["north", "east", "south", "west"].map(str::to_owned).to_vec();
    spec.engines = 20;
    spec.capacity = 8;
    spec.engine = EngineConfig {
        slots: 8,
        step: Duration::from_millis(12),
        step_each: Duration::from_millis(1),
        prefill: Duration::from_micros(150),
        cache_tokens: 60_000,
        ..EngineConfig::default()
    };
    spec.plains = 0;
    spec.teams = teams(10);
    spec.model_lines = format!("placement = \"{placement}\"\ndeadline = \"20s\"");
    spec.settings = "[logging]\nlevel = \"off\"".to_owned();
    Ok(spec)
}

fn demo(mut args: pico_args::Arguments) -> anyhow::Result<()> {
    let json = args.contains("--json");
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    finish(args)?;
    let mut spec = bench_fleet(3, "permit")?;
    spec.engines = 6;
    spec.plains = 2;
    let workload = WorkloadSpec {
        seed,
        rate: 24.0,
        length: Duration::from_secs(15),
        ..WorkloadSpec::default()
    };
    let figures = run_scenario(spec, &workload, Scenario::Calm, "demo", "permit", !json)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
        return Ok(());
    }
    println!("answers complete             {} of {}", figures.complete, figures.requests);
    println!(
        "cache reuse                  {:.1} % of the most any placement could get",
        100.0 * figures.reuse
    );
    println!("skew (max over mean), p99    {:.2}", figures.skew_p99);
    println!(
        "control bytes/s a router     {:.0} sent, {:.0} received",
        figures.control_sent, figures.control_received
    );
    println!(
        "first token                  p50 {:.0} ms, p95 {:.0} ms",
        figures.first_token_p50, figures.first_token_p95
    );
    Ok(())
}

fn finish(args: pico_args::Arguments) -> anyhow::Result<()> {
    let rest = args.finish();
    if rest.is_empty() { Ok(()) } else { bail!("not known: {rest:?}\n\n{USAGE}") }
}

fn run_scenario(
    spec: FleetSpec,
    workload: &WorkloadSpec,
    scenario: Scenario,
    name: &str,
    placement: &str,
    shown: bool,
) -> anyhow::Result<Figures> {
    let mut fleet = Fleet::start(spec)?;
    let mut script = Script::new(scenario);
    let workload = scenario.workload(workload.clone());
    let seconds = workload.length.as_secs();
    let progress = |now: Duration, done: usize| {
        if shown && now.subsec_millis() < 100 {
            eprintln!("{:>3} of {seconds} s, {done} requests answered", now.as_secs());
        }
    };
    let run = Run {
        scenario: name,
        placement,
        act: &mut |fleet, now| script.act(fleet, now),
        progress: &progress,
    };
    driver::run(&mut fleet, &workload, run)
}

fn measure_one(mut args: pico_args::Arguments) -> anyhow::Result<()> {
    let json = args.contains("--json");
    let svg: Option<PathBuf> = args.opt_value_from_str("--svg")?;
    let name: String = args.free_from_str()?;
    finish(args)?;
    let binary = binary()?;
    let figures = match name.as_str() {
        "latency" => latency::measure(&binary)?,
        "answers" => answers::measure(&binary)?,
        "config" => config::measure(&binary)?,
        "decisions" => decisions::measure(),
        "choices" => choices::measure(),
        "capacity" => {
            let (slopes, costs) = (capacity::decisions(), capacity::routers(&binary)?);
            if json {
                println!("{}", serde_json::to_string_pretty(&(slopes, costs))?);
                return Ok(());
            }
            return capacity::report(&slopes, &costs, svg.as_deref());
        }
        other => bail!("{other} is not known\n\n{USAGE}"),
    };
    print(&figures, json)
}

fn bench(mut args: pico_args::Arguments) -> anyhow::Result<()> {
    let json = args.contains("--json");
    let scenarios: Vec<String> = args.values_from_str("--scenario")?;
    let placements: Vec<String> = args.values_from_str("--placement")?;
    let workload = WorkloadSpec {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        rate: args.opt_value_from_str("--rate")?.unwrap_or(80.0),
        length: Duration::from_secs(args.opt_value_from_str("--seconds")?.unwrap_or(20)),
        hint_share: args.opt_value_from_str("--hints")?.unwrap_or(0.5),
        ..WorkloadSpec::default()
    };
    finish(args)?;
    let named = |name: &String| {
        let found = SCENARIOS.iter().find(|(known, _)| known == name);
        found
            .copied()
            .with_context(|| format!("{name} is no scenario: {:?}", SCENARIOS.map(|(n, _)| n)))
    };
    let scenarios: Vec<(&str, Scenario)> = match scenarios.is_empty() {
        true => SCENARIOS.to_vec(),
        false => scenarios.iter().map(named).collect::<anyhow::Result<_>>()?,
    };
    let placements: Vec<&str> = match placements.is_empty() {
        true => PLACEMENTS.to_vec(),
        false => placements.iter().map(String::as_str).collect(),
    };
    let mut all = Vec::new();
    for (name, scenario) in scenarios {
        let figures = side_by_side(&workload, scenario, name, &placements)?;
        if !json {
            print!("{}", report::table(&figures));
            figures.iter().for_each(|f| println!("  {:<15} {}", f.placement, report::purposes(f)));
        }
        all.extend(figures);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&all)?);
    }
    Ok(())
}

/// Runs one scenario with several placements at once, each on a fleet of its own.
fn side_by_side(
    workload: &WorkloadSpec,
    scenario: Scenario,
    name: &str,
    placements: &[&str],
) -> anyhow::Result<Vec<Figures>> {
    eprintln!("scenario {name}, {} s", workload.length.as_secs());
    std::thread::scope(|scope| {
        let runs: Vec<_> = placements
            .iter()
            .map(|placement| {
                scope.spawn(move || {
                    run_scenario(
                        bench_fleet(8, placement)?,
                        workload,
                        scenario,
                        name,
                        placement,
                        false,
                    )
                })
            })
            .collect();
        runs.into_iter()
            .map(|run| run.join().map_err(|_| anyhow::anyhow!("a run panicked"))?)
            .collect()
    })
}
