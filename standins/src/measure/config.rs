//! How fast what operators apply is in force, and what it costs at 33,000 teams.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    configs::fleet::{
        Fleet as FleetFile,
        chunks::{Manifest, decode, from_chunks, to_chunks},
        team::KeyHash,
    },
    contract::revision::Head,
    instance::cluster_state::snapshot::Snapshot,
    units::Revision,
};

use super::{Figure, figure, resident_mib, spread};
use crate::{
    fleet::{Fleet, FleetSpec, SALT, sum},
    platform::PlatformFaults,
};

/// Teams at the size to design for.
const TEAMS: usize = 33_000;

/// Changes of a run.
const CHANGES: u32 = 30;

/// Measures everything of this module.
///
/// # Errors
///
/// A fleet cannot be started.
pub fn measure(binary: &Path) -> anyhow::Result<Vec<Figure>> {
    let mut all = in_force(binary, false)?;
    all.extend(in_force(binary, true)?);
    all.extend(large_in_process());
    all.extend(large_in_fleet(binary)?);
    Ok(all)
}

fn spec(binary: &Path) -> FleetSpec {
    let mut spec = FleetSpec::small(binary);
    spec.settings = "[logging]\nlevel = \"off\"".to_owned();
    spec.routers = 8;
    spec
}

fn team(id: &str) -> String {
    format!("[[team]]\nid = \"{id}\"\nkeys = [\"{}\"]\n", KeyHash::of(SALT, id))
}

/// Time from the start of an apply until each router has it in force.
///
/// With `goes_down`, the store is down from the moment of acceptance.
fn in_force(binary: &Path, goes_down: bool) -> anyhow::Result<Vec<Figure>> {
    let fleet = Fleet::start(spec(binary))?;
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let file = format!("{}{}", fleet.file(), team(&format!("change-{n}")));
        let began = Instant::now();
        let applied: cartvane::instance::cluster_state::apply::Applied =
            fleet.post(0, "/v1/apply", &file)?;
        if goes_down {
            fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        }
        let waits: Vec<Duration> = thread::scope(|scope| {
            let routers: Vec<_> = (0..8)
                .map(|at| {
                    scope.spawn({
                        let fleet = &fleet;
                        move || wait_own(fleet, at, applied.revision, began)
                    })
                })
                .collect();
            routers.into_iter().filter_map(|r| r.join().ok()).collect()
        });
        times.extend(waits);
        fleet.platform.set_faults(PlatformFaults::default());
    }
    let name = if goes_down {
        "apply to in force at a router, store down"
    } else {
        "apply to in force at a router"
    };
    Ok(spread(name, &times).to_vec())
}

/// Waits by the router's own metrics, which cost its peers nothing.
fn wait_own(fleet: &Fleet, at: usize, revision: Revision, began: Instant) -> Duration {
    loop {
        let seen = fleet.metrics(at).map_or(0.0, |text| sum(&text, "cartvane_revision", &[]));
        if seen >= revision.0 as f64 || began.elapsed() > Duration::from_secs(60) {
            return began.elapsed();
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn large_file(base: &str) -> String {
    let mut file = base.to_owned();
    for n in 0..TEAMS {
        file.push_str(&team(&format!("team-{n:05}")));
    }
    file
}

fn large_in_process() -> Vec<Figure> {
    let base = include_str!("../../../examples/hanbit.toml");
    let text = large_file(base);
    let began = Instant::now();
    let file = FleetFile::parse(&text).expect("the example is sound");
    let check = began.elapsed();
    let before = resident_mib(std::process::id());
    let began = Instant::now();
    let stored = to_chunks(&file);
    let chunked = began.elapsed();
    let manifest: Manifest = decode(&stored.manifest).expect("just encoded");
    let began = Instant::now();
    let loaded =
        from_chunks(&manifest, |name| stored.chunks.get(name).cloned()).expect("just stored");
    let head = Head {
        revision: Revision(1),
        manifest: cartvane::configs::fleet::chunks::Digest::of(&stored.manifest),
        apply: String::new(),
        by: String::new(),
        at: 0,
    };
    let snapshot = Snapshot::new(head, loaded);
    let build = began.elapsed();
    let after = resident_mib(std::process::id());
    drop(snapshot);
    let mut changed = file.clone();
    if let Some(team) = changed.teams.values_mut().last() {
        team.weight += 1;
    }
    let next = to_chunks(&changed);
    let new: usize = next
        .chunks
        .iter()
        .filter(|(name, _)| !stored.chunks.contains_key(*name))
        .map(|(_, b)| b.len())
        .sum();
    let whole: usize = stored.chunks.values().map(Vec::len).sum();
    let millis = |time: Duration| time.as_secs_f64() * 1000.0;
    vec![
        figure("check of 33,000 teams", millis(check), "ms"),
        figure("chunks of 33,000 teams made", millis(chunked), "ms"),
        figure("snapshot of 33,000 teams built, beside requests", millis(build), "ms"),
        figure("memory of chunks and snapshot of 33,000 teams", after - before, "MiB"),
        figure(
            "bytes of a change of one team: chunk and manifest",
            (new + next.manifest.len()) as f64,
            "B",
        ),
        figure("bytes of the whole file, chunks (baseline)", whole as f64, "B"),
    ]
}

/// Ships one change of a file of 33,000 teams to 8 routers.
fn large_in_fleet(binary: &Path) -> anyhow::Result<Vec<Figure>> {
    let fleet = Fleet::start(spec(binary))?;
    let idle = resident_mib(fleet.routers[3].pid());
    let file = large_file(&fleet.file());
    let began = Instant::now();
    let applied: cartvane::instance::cluster_state::apply::Applied =
        fleet.post(0, "/v1/apply", &file)?;
    let accepted = began.elapsed();
    for at in 0..8 {
        wait_own(&fleet, at, applied.revision, began);
    }
    let first = began.elapsed();
    let config = |at: usize| {
        let text = fleet.metrics(at).unwrap_or_default();
        let config =
            sum(&text, "cartvane_control_bytes", &["purpose=\"config\"", "direction=\"received\""]);
        let platform = sum(
            &text,
            "cartvane_control_bytes",
            &["purpose=\"platform\"", "direction=\"received\""],
        );
        config + platform
    };
    let before: Vec<f64> = (1..8).map(config).collect();
    let changed = file.replacen("weight = 1", "weight = 2", 1) + &team("one-more");
    let began = Instant::now();
    let applied: cartvane::instance::cluster_state::apply::Applied =
        fleet.post(0, "/v1/apply", &changed)?;
    let change_accepted = began.elapsed();
    for at in 0..8 {
        wait_own(&fleet, at, applied.revision, began);
    }
    let change = began.elapsed();
    let bytes: Vec<f64> = (1..8).zip(before).map(|(at, before)| config(at) - before).collect();
    let mean = bytes.iter().sum::<f64>() / bytes.len() as f64;
    Ok(vec![
        figure("first file of 33,000 teams accepted", accepted.as_secs_f64(), "s"),
        figure("first file of 33,000 teams in force at 8 routers", first.as_secs_f64(), "s"),
        figure("one more team accepted", change_accepted.as_secs_f64(), "s"),
        figure("one more team in force at 8 routers", change.as_secs_f64(), "s"),
        figure("bytes received for it, mean router", mean, "B"),
        figure(
            "resident memory more, 33,000 teams, one router",
            resident_mib(fleet.routers[3].pid()) - idle,
            "MiB",
        ),
    ])
}
