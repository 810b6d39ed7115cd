//! Scenarios: what happens to the fleet while a load runs.

use std::time::Duration;

use cartvane::platform::{Member, MemberKind, MemberState};

use super::workload::{Surge, WorkloadSpec};
use crate::{fault::Fault, fleet::Fleet, platform::PlatformFaults};

/// What happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// Engines join, leave and flap.
    EngineChurn,
    /// Routers are lost and replaced.
    RoutersReplaced,
    /// Routers see for seconds different engines as leaving.
    Disagreement,
    /// A team sends ten times its load.
    Surge,
    /// The platform does not answer.
    StoreOut,
    /// The engines of a zone are gone for a while.
    ZoneGone,
    /// The platform is out while a zone's engines are gone and a router is lost.
    Together,
}

/// Every scenario.
pub const SCENARIOS: [(&str, Scenario); 8] = [
    ("calm", Scenario::Calm),
    ("engine-churn", Scenario::EngineChurn),
    ("routers-replaced", Scenario::RoutersReplaced),
    ("disagreement", Scenario::Disagreement),
    ("surge", Scenario::Surge),
    ("store-out", Scenario::StoreOut),
    ("zone-gone", Scenario::ZoneGone),
    ("together", Scenario::Together),
];

/// Steps of a scenario, taken once their time has come.
pub struct Script {
    scenario: Scenario,
    done: usize,
}

/// One step: when, from the start, and what.
type Step = (u64, fn(&mut Fleet) -> anyhow::Result<()>);

impl Scenario {
    /// Returns the load of the scenario.
    pub fn workload(self, base: WorkloadSpec) -> WorkloadSpec {
        let surge = (self == Scenario::Surge).then_some(Surge {
            from: Duration::from_secs(7),
            to: Duration::from_secs(14),
            rate: base.rate * 2.5,
        });
        WorkloadSpec { surge, ..base }
    }

    fn steps(self) -> &'static [Step] {
        match self {
            Scenario::Calm | Scenario::Surge => &[],
            Scenario::EngineChurn => &[
                (5, |f| join(f, &["engine-90", "engine-91"])),
                (8, |f| leave(f, &["engine-00", "engine-01"])),
                (10, |f| down(f, &["engine-02"], true)),
                (12, |f| down(f, &["engine-02"], false)),
                (13, |f| down(f, &["engine-02"], true)),
                (15, |f| down(f, &["engine-02"], false)),
            ],
            Scenario::RoutersReplaced => &[
                (6, |f| replace_router(f, 1, "router-91")),
                (9, |f| replace_router(f, 2, "router-92")),
                (12, |f| replace_router(f, 3, "router-93")),
            ],
            Scenario::Disagreement => &[
                (6, |f| {
                    list_engines(f, &["engine-00", "engine-01", "engine-02"], MemberState::Leaving)
                }),
                (10, |f| {
                    list_engines(f, &["engine-00", "engine-01", "engine-02"], MemberState::Live)
                }),
                (12, |f| {
                    list_engines(f, &["engine-03", "engine-04", "engine-05"], MemberState::Leaving)
                }),
                (15, |f| {
                    list_engines(f, &["engine-03", "engine-04", "engine-05"], MemberState::Live)
                }),
            ],
            Scenario::StoreOut => &[(5, |f| store(f, true)), (15, |f| store(f, false))],
            Scenario::ZoneGone => &[(7, |f| zone_down(f, true)), (13, |f| zone_down(f, false))],
            Scenario::Together => &[
                (5, |f| store(f, true)),
                (7, |f| zone_down(f, true)),
                (9, |f| replace_router(f, 1, "router-91")),
                (13, |f| zone_down(f, false)),
                (15, |f| store(f, false)),
            ],
        }
    }
}

impl Script {
    /// Returns the script of a scenario.
    pub fn new(scenario: Scenario) -> Script {
        Script { scenario, done: 0 }
    }

    /// Takes the steps whose time has come.
    pub fn act(&mut self, fleet: &mut Fleet, now: Duration) {
        let steps = self.scenario.steps();
        while let Some((at, step)) = steps.get(self.done)
            && now >= Duration::from_secs(*at)
        {
            self.done += 1;
            if let Err(e) = step(fleet) {
                log::error!("a step of the scenario failed: {e:#}");
            }
        }
    }
}

fn join(fleet: &mut Fleet, ids: &[&str]) -> anyhow::Result<()> {
    for id in ids {
        fleet.add_engine(id)?;
    }
    fleet.apply_now()
}

fn leave(fleet: &mut Fleet, ids: &[&str]) -> anyhow::Result<()> {
    fleet.leaving.extend(ids.iter().map(ToString::to_string));
    fleet.apply_now()
}

fn down(fleet: &mut Fleet, ids: &[&str], down: bool) -> anyhow::Result<()> {
    for id in ids {
        if let Some(engine) = fleet.engines.get(*id) {
            engine.faults.set_standing(down.then_some(Fault::CloseBeforeRead));
        }
        fleet.down.retain(|known| known != id);
        if down {
            fleet.down.push((*id).to_owned());
        }
    }
    Ok(())
}

fn zone_down(fleet: &mut Fleet, is_down: bool) -> anyhow::Result<()> {
    let zones = fleet.spec.zones.len();
    let ids: Vec<String> = fleet.engines.keys().step_by(zones).cloned().collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    down(fleet, &ids, is_down)
}

fn store(fleet: &mut Fleet, down: bool) -> anyhow::Result<()> {
    fleet.platform.set_faults(PlatformFaults { down, ..PlatformFaults::default() });
    Ok(())
}

fn replace_router(fleet: &mut Fleet, at: usize, id: &str) -> anyhow::Result<()> {
    fleet.list_router(at, MemberState::Removed)?;
    fleet.routers[at].kill();
    fleet.replace_router(at, id)
}

fn list_engines(fleet: &mut Fleet, ids: &[&str], state: MemberState) -> anyhow::Result<()> {
    for id in ids {
        fleet.leaving.retain(|known| known != id);
        if state != MemberState::Live {
            fleet.leaving.push((*id).to_owned());
        }
        let Some(engine) = fleet.engines.get(*id) else { continue };
        let zone = fleet.spec.zones[0].parse()?;
        let kind = MemberKind::BackendServer;
        fleet.platform.set_member(Member {
            id: (*id).to_owned(),
            kind,
            address: engine.address(),
            zone,
            state,
        });
    }
    Ok(())
}
