//! A small fleet on loopback: the platform, engines, plain servers and real router processes.

mod router;
mod spec;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::bail;
use cartvane::{
    configs::fleet::team::KeyHash,
    instance::{cluster_state::apply::Applied, operators::status::FleetStatus},
    platform::{MemberState, http::agent},
};
use indexmap::IndexMap;

pub use self::{
    router::Router,
    spec::{FleetSpec, TeamSpec, team_key},
};
use crate::{
    engine::{Board, Engine},
    fault::Faults,
    plain::Plain,
    platform::PlatformServer,
};

/// Salt of the team keys.
pub const SALT: &str = "loopback-fleet";

/// Credential of operators.
pub const OPERATOR_CREDENTIAL: &str = "operators-on-loopback-0001";

/// Credential of operators who may only read; settings name it where they want it.
pub const READER_CREDENTIAL: &str = "readers-on-loopback-0001";

/// Longest wait for a fleet to do what it is told.
const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Returns an address on loopback with a port that the machine chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A running fleet.
pub struct Fleet {
    /// What it is made of.
    pub spec: FleetSpec,
    /// The platform.
    pub platform: PlatformServer,
    /// Faults of the next requests, whichever server they reach.
    pub faults: Faults,
    /// Loads of the engines.
    pub board: Arc<Board>,
    /// Engines by id.
    pub engines: IndexMap<String, Engine>,
    /// Plain servers by id.
    pub plains: IndexMap<String, Plain>,
    /// Routers.
    pub routers: Vec<Router>,
    /// Engines whose entry says that they are leaving.
    pub leaving: Vec<String>,
    /// Engines that take no connection.
    pub down: Vec<String>,
}

impl Fleet {
    /// Starts everything, applies the operators' file and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Something cannot be started or does not come up in time.
    pub fn start(spec: FleetSpec) -> anyhow::Result<Fleet> {
        let platform = PlatformServer::spawn(any_port())?;
        let bound = spec.load_bound;
        let mut fleet = Fleet {
            spec,
            platform,
            faults: Faults::default(),
            board: Arc::new(Board::new(bound)),
            engines: IndexMap::new(),
            plains: IndexMap::new(),
            routers: Vec::new(),
            leaving: Vec::new(),
            down: Vec::new(),
        };
        for n in 0..fleet.spec.engines {
            fleet.add_engine(&format!("engine-{n:02}"))?;
        }
        for n in 0..fleet.spec.plains {
            fleet.plains.insert(
                format!("plain-{n:02}"),
                Plain::spawn(any_port(), Faults::sharing(&fleet.faults))?,
            );
        }
        for n in 0..fleet.spec.routers {
            fleet.add_router(&format!("router-{n:02}"))?;
        }
        fleet.apply()?;
        fleet.wait_known()?;
        Ok(fleet)
    }

    /// Notes on the board which engines may be given work.
    pub fn mark_in_use(&self) {
        for (id, engine) in &self.engines {
            engine.set_in_use(!self.leaving.contains(id) && !self.down.contains(id));
        }
    }

    /// Starts an engine; it is in force after the next [`Fleet::apply`].
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn add_engine(&mut self, id: &str) -> io::Result<()> {
        let (board, faults) = (Some(Arc::clone(&self.board)), Faults::sharing(&self.faults));
        let engine = Engine::spawn(any_port(), self.spec.engine, board, faults)?;
        self.engines.insert(id.to_owned(), engine);
        Ok(())
    }

    /// Starts a router and enters it in the membership list.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn add_router(&mut self, id: &str) -> anyhow::Result<()> {
        let zone = self.spec.zones[self.routers.len() % self.spec.zones.len()].clone();
        let router = self.spawn_router(id, &zone)?;
        self.routers.push(router);
        Ok(())
    }

    /// Starts a router in the place of another, which has ended.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn replace_router(&mut self, at: usize, id: &str) -> anyhow::Result<()> {
        let zone = self.routers[at].zone.clone();
        self.routers[at] = self.spawn_router(id, &zone)?;
        Ok(())
    }

    fn spawn_router(&self, id: &str, zone: &str) -> anyhow::Result<Router> {
        let seeds: Vec<SocketAddr> = self.routers.iter().map(|r| r.peers).collect();
        let platform = self.platform.address();
        let router =
            Router::spawn(&self.spec.binary, id, zone, platform, &seeds, &self.spec.settings)?;
        self.platform.set_member(router.member(MemberState::Live)?);
        Ok(router)
    }

    /// Returns whether a router says that it takes callers.
    pub fn is_ready(&self, at: usize) -> bool {
        let url = format!("http://{}/readyz", self.routers[at].operators);
        agent(LOOK_PERIOD * 50).get(url).call().is_ok_and(|response| response.status() == 200)
    }

    /// Changes a router's entry in the membership list.
    ///
    /// # Errors
    ///
    /// The router's zone is no zone id.
    pub fn list_router(&self, at: usize, state: MemberState) -> anyhow::Result<()> {
        self.platform.set_member(self.routers[at].member(state)?);
        Ok(())
    }

    /// Returns the operators' file of the fleet as it stands.
    pub fn file(&self) -> String {
        let spec = &self.spec;
        let mut file = format!("key_salt = \"{SALT}\"\n");
        for zone in &spec.zones {
            file.push_str(&format!("[[zone]]\nid = \"{zone}\"\nregion = \"loopback\"\n"));
        }
        file.push_str(&spec.fleet_lines);
        for team in &spec.teams {
            let hash = KeyHash::of(SALT, &team.key());
            file.push_str(&format!(
                "[[team]]\nid = \"{}\"\nkeys = [\"{hash}\"]\n{}\n",
                team.id, team.lines
            ));
        }
        for (id, kind, lines) in [
            (&spec.model_service, "model", &spec.model_lines),
            (&spec.plain_service, "plain", &spec.plain_lines),
        ] {
            let servers = if kind == "model" { self.engines.len() } else { self.plains.len() };
            if servers > 0 {
                let bound = spec.load_bound;
                file.push_str(&format!("[[service]]\nid = \"{id}\"\nkind = \"{kind}\"\nload_bound = {bound:?}\n{lines}\n"));
            }
        }
        let engines =
            self.engines.iter().map(|(id, e)| (id, e.address(), &spec.model_service, true));
        let plains =
            self.plains.iter().map(|(id, p)| (id, p.address(), &spec.plain_service, false));
        for (at, (id, address, service, reports)) in engines.chain(plains).enumerate() {
            let zone = &spec.zones[at % spec.zones.len()];
            let (capacity, leaving) = (spec.capacity, self.leaving.contains(id));
            file.push_str(&format!(
                "[[backend_server]]\nid = \"{id}\"\nservice = \"{service}\"\naddress = \"{address}\"\nzone = \"{zone}\"\ncapacity = {capacity}\nreports_load = {reports}\nleaving = {leaving}\n"
            ));
        }
        file
    }

    /// Applies the file of the fleet as it stands and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// The file is refused, or not in force everywhere in time.
    pub fn apply(&self) -> anyhow::Result<Applied> {
        let applied: Applied = self.post(0, "/v1/apply", &self.file())?;
        self.wait_for("the revision in force everywhere", |status| {
            status.instances.iter().all(|i| i.revision >= applied.revision)
                && status.instances.len() == self.routers.len()
        })?;
        Ok(applied)
    }

    /// Applies the file of the fleet as it stands without waiting.
    ///
    /// # Errors
    ///
    /// The file is refused.
    pub fn apply_now(&self) -> anyhow::Result<()> {
        let _: Applied = self.post(0, "/v1/apply", &self.file())?;
        Ok(())
    }

    /// Waits until every router knows every other.
    ///
    /// # Errors
    ///
    /// They do not in time.
    pub fn wait_known(&self) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        for at in 0..self.routers.len() {
            while self.status(at)?.instances.len() < self.routers.len() {
                if Instant::now() > until {
                    bail!("the routers do not know each other");
                }
                thread::sleep(LOOK_PERIOD);
            }
        }
        Ok(())
    }

    /// Waits until router 0's view of the fleet is as wanted.
    ///
    /// # Errors
    ///
    /// It is not in time.
    pub fn wait_for(
        &self,
        what: &str,
        wanted: impl Fn(&FleetStatus) -> bool,
    ) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        loop {
            let status = self.status(0)?;
            if wanted(&status) {
                return Ok(());
            }
            if Instant::now() > until {
                bail!("not in time: {what}; {status:?}");
            }
            thread::sleep(LOOK_PERIOD);
        }
    }

    /// Returns a router's view of the fleet.
    ///
    /// # Errors
    ///
    /// The router does not answer.
    pub fn status(&self, at: usize) -> anyhow::Result<FleetStatus> {
        let url = format!("http://{}/v1/status", self.routers[at].operators);
        let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
        let mut response = agent(PATIENCE).get(url).header("authorization", credential).call()?;
        Ok(serde_json::from_slice(&response.body_mut().read_to_vec()?)?)
    }

    /// Posts to a router's operators' interface.
    ///
    /// # Errors
    ///
    /// The router does not answer, or refuses.
    pub fn post<T: serde::de::DeserializeOwned>(
        &self,
        at: usize,
        path: &str,
        body: &str,
    ) -> anyhow::Result<T> {
        let url = format!("http://{}{path}", self.routers[at].operators);
        let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
        let mut response =
            agent(PATIENCE).post(url).header("authorization", credential).send(body)?;
        let bytes = response.body_mut().read_to_vec()?;
        if response.status() != 200 {
            bail!("{path} is refused: {}", String::from_utf8_lossy(&bytes));
        }
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Gets a text from a router's operators' interface.
    ///
    /// # Errors
    ///
    /// The router does not answer.
    pub fn get_text(&self, at: usize, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.routers[at].operators);
        let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
        let mut response = agent(PATIENCE).get(url).header("authorization", credential).call()?;
        Ok(response.body_mut().read_to_string()?)
    }

    /// Returns a router's metrics as text.
    ///
    /// # Errors
    ///
    /// The router does not answer.
    pub fn metrics(&self, at: usize) -> anyhow::Result<String> {
        let url = format!("http://{}/metrics", self.routers[at].operators);
        Ok(agent(PATIENCE).get(url).call()?.body_mut().read_to_string()?)
    }
}

/// Returns the samples of a metric whose labels hold all of `labels`.
pub fn samples(text: &str, metric: &str, labels: &[&str]) -> Vec<(String, f64)> {
    let fits =
        |line: &&str| line.starts_with(metric) && labels.iter().all(|label| line.contains(label));
    let lines = text.lines().filter(|line| !line.starts_with('#')).filter(fits);
    lines
        .filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        })
        .collect()
}

/// Returns the sum of the samples of a metric whose labels hold all of `labels`.
pub fn sum(text: &str, metric: &str, labels: &[&str]) -> f64 {
    samples(text, metric, labels).iter().map(|(_, value)| value).sum()
}
