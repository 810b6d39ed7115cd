//! The demand of teams that instances report to the aggregator, and the limits of teams that it replies with.
//!
//! Rates are encoded as integers, which take one to three bytes in messages where a float takes five.

use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, Tag};

/// A rate in hundredths of a request per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CentiRate(pub u32);

impl CentiRate {
    /// Returns the nearest encodable rate to `per_second` requests per second.
    pub fn of(per_second: f64) -> CentiRate {
        CentiRate((per_second * 100.0).round() as u32)
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Requests of one team to a service at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRate {
    /// The team.
    pub team: Tag,
    /// Requests, of which one that comes again soon after a rejection counts once.
    pub demand: CentiRate,
    /// All requests.
    pub attempts: CentiRate,
}

/// Requests of all teams to a service at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Requests of all teams; see [`TeamRate::demand`].
    pub demand: CentiRate,
    /// All requests of all teams.
    pub attempts: CentiRate,
    /// Mean time that a request occupies a slot, in microseconds; 0 if it is not known yet.
    pub slot_time_us: u32,
    /// The heaviest teams, and a sample of the others that stands for the rest; see `TeamUsage::report`.
    pub teams: Vec<TeamRate>,
}

/// Part of a team's requests that may be admitted, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PerMille(pub u16);

impl PerMille {
    /// Returns the share in thousandths; `share` is in [0, 1].
    pub fn of(share: f64) -> PerMille {
        PerMille((share.clamp(0.0, 1.0) * 1000.0).round() as u16)
    }

    /// Returns the share in [0, 1].
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// Limits of the teams of a service whose demand is above its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// The service.
    pub service: ServiceName,
    /// Rate above which a team is limited, over all instances.
    pub level: CentiRate,
    /// Teams above the level, each with the share of its requests that may be admitted.
    pub teams: Vec<(Tag, PerMille)>,
}
