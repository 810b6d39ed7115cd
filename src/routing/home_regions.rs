//! Regions in which requests of a route or a team are to be served.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::names::RegionName;

/// Where requests may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeRegions {
    /// Everywhere.
    #[default]
    Anywhere,
    /// In these regions only.
    Within(IndexSet<RegionName>),
}

impl HomeRegions {
    /// Returns the homes that an operator's list names; an empty one names no limit.
    pub fn from_list(regions: impl IntoIterator<Item = RegionName>) -> HomeRegions {
        let regions: IndexSet<RegionName> = regions.into_iter().collect();
        if regions.is_empty() { HomeRegions::Anywhere } else { HomeRegions::Within(regions) }
    }

    /// Returns the homes by which both are kept; there may be none.
    pub fn intersect(&self, other: &HomeRegions) -> HomeRegions {
        match (self, other) {
            (HomeRegions::Anywhere, homes) | (homes, HomeRegions::Anywhere) => homes.clone(),
            (HomeRegions::Within(one), HomeRegions::Within(two)) => {
                HomeRegions::Within(one.intersection(two).cloned().collect())
            }
        }
    }

    /// Returns whether a place may serve; one whose region is not known is nobody's home.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            HomeRegions::Anywhere => true,
            HomeRegions::Within(homes) => region.is_some_and(|region| homes.contains(region)),
        }
    }
}
