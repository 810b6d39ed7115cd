//! Regions in which the requests of a route or a team must be served.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::names::RegionName;

/// Regions in which requests may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeRegions {
    /// Everywhere.
    #[default]
    Anywhere,
    /// In these regions only.
    Within(IndexSet<RegionName>),
}

impl HomeRegions {
    /// Returns the home regions of an operator's list; an empty list means no restriction.
    pub fn from_list(regions: impl IntoIterator<Item = RegionName>) -> HomeRegions {
        let regions: IndexSet<RegionName> = regions.into_iter().collect();
        if regions.is_empty() { HomeRegions::Anywhere } else { HomeRegions::Within(regions) }
    }

    /// Returns the regions that both allow; there may be none.
    pub fn intersect(&self, other: &HomeRegions) -> HomeRegions {
        match (self, other) {
            (HomeRegions::Anywhere, homes) | (homes, HomeRegions::Anywhere) => homes.clone(),
            (HomeRegions::Within(left), HomeRegions::Within(right)) => {
                HomeRegions::Within(left.intersection(right).cloned().collect())
            }
        }
    }

    /// Returns whether servers in `region` may serve the requests. An unknown region is allowed only without a
    /// restriction.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            HomeRegions::Anywhere => true,
            HomeRegions::Within(homes) => region.is_some_and(|region| homes.contains(region)),
        }
    }
}
