//! What a fleet is made of.

use std::path::PathBuf;

use crate::engine::EngineConfig;

/// A team for the operators' file.
#[derive(Debug, Clone)]
pub struct TeamSpec {
    /// Id.
    pub id: String,
    /// Further lines of its table.
    pub lines: String,
}

impl TeamSpec {
    /// Returns a team with nothing special.
    pub fn new(id: &str) -> TeamSpec {
        TeamSpec { id: id.to_owned(), lines: String::new() }
    }

    /// Returns the key that its callers show.
    pub fn key(&self) -> String {
        team_key(&self.id)
    }
}

/// Returns the key that callers of a team show.
pub fn team_key(id: &str) -> String {
    format!("key-of-{id}")
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The `cartvane` binary.
    pub binary: PathBuf,
    /// Number of routers.
    pub routers: usize,
    /// Zones.
    pub zones: Vec<String>,
    /// Id of the model service.
    pub model_service: String,
    /// Number of its engines.
    pub engines: usize,
    /// How they behave.
    pub engine: EngineConfig,
    /// Capacity that the file states for each.
    pub capacity: u32,
    /// Id of the plain service.
    pub plain_service: String,
    /// Number of its servers.
    pub plains: usize,
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// Further tables of the file.
    pub fleet_lines: String,
    /// Load bound of the model service.
    pub load_bound: f64,
    /// Further lines of the model service's table.
    pub model_lines: String,
    /// Further lines of the plain service's table.
    pub plain_lines: String,
    /// Further lines of every router's settings, sections included.
    pub settings: String,
}

impl FleetSpec {
    /// Returns a small fleet: two routers, three engines, two plain servers, one team.
    pub fn small(binary: impl Into<PathBuf>) -> FleetSpec {
        FleetSpec {
            binary: binary.into(),
            routers: 2,
            zones: vec!["east".to_owned(), "west".to_owned()],
            model_service: "llm".to_owned(),
            engines: 3,
            engine: EngineConfig::default(),
            capacity: 16,
            plain_service: "app".to_owned(),
            plains: 2,
            teams: vec![TeamSpec::new("crew")],
            fleet_lines: String::new(),
            load_bound: 1.25,
            model_lines: String::new(),
            plain_lines: String::new(),
            settings: String::new(),
        }
    }
}
