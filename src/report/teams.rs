//! Requests by service and team: how many were in time, and the shares in time of the teams at a service.

use std::{collections::HashMap, fmt::Write as _};

use indexmap::IndexMap;
use serde::Serialize;

use super::line::{Ending, LogLine};

/// Maximum number of services. Requests to further ones are counted under [`OTHERS`].
const SERVICES_MAX: usize = 1000;

/// Maximum number of teams over all services. Requests of further ones are counted as those of [`OTHERS`].
const TEAMS_MAX: usize = 10_000;

/// Maximum number of services in the text, and of teams for each of them.
const TABLE_ROWS_MAX: usize = 20;

/// Smallest number of requests of a team whose share in time is compared with others: the share of fewer requests is
/// mostly chance.
const COMPARED_REQUESTS_MIN: u64 = 20;

/// Name of a row for several services or teams.
const OTHERS: &str = "(others)";

/// Name of the row for requests without a team, to routes that are open to anyone.
const NO_TEAM: &str = "-";

/// Number of requests by ending.
#[derive(Debug, Clone, Copy, Default)]
struct Counts([u64; Ending::ALL.len()]);

impl Counts {
    fn of(&self, ending: Ending) -> u64 {
        self.0[ending as usize]
    }

    fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    fn add(&mut self, other: &Counts) {
        self.0.iter_mut().zip(other.0).for_each(|(sum, count)| *sum += count);
    }

    /// Returns the share of all requests that were in time.
    fn share_in_time(&self) -> f64 {
        self.of(Ending::InTime) as f64 / self.total().max(1) as f64
    }
}

/// Requests to one service by team.
#[derive(Debug, Default)]
struct ServiceTeams {
    teams: HashMap<String, Counts>,
    /// Teams beyond [`TEAMS_MAX`].
    others: Counts,
}

/// Requests by service and team.
#[derive(Debug, Default)]
pub struct TeamTable {
    services: IndexMap<String, ServiceTeams>,
    /// Number of teams over all services.
    teams: usize,
}

/// A row of a service and a team, for JSON.
#[derive(Debug, Serialize)]
struct TeamRow<'t> {
    service: &'t str,
    team: &'t str,
    requests: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    left: u64,
}

/// The shares in time of the teams at a service that have [`COMPARED_REQUESTS_MIN`] requests or more.
#[derive(Debug, Serialize)]
struct ServiceShares<'t> {
    service: &'t str,
    compared_teams: usize,
    lowest_in_time: f64,
    lowest_team: &'t str,
    mean_in_time: f64,
}

impl<'t> TeamRow<'t> {
    fn new(service: &'t str, team: &'t str, counts: &Counts) -> TeamRow<'t> {
        TeamRow {
            service,
            team,
            requests: counts.total(),
            in_time: counts.of(Ending::InTime),
            late: counts.of(Ending::Late),
            refused: counts.of(Ending::Refused),
            failed: counts.of(Ending::Failed),
            left: counts.of(Ending::Left),
        }
    }

    fn text(&self) -> String {
        format!(
            "{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}  {}, {}\n",
            self.requests,
            self.in_time,
            self.late,
            self.refused,
            self.failed,
            self.left,
            self.service,
            self.team
        )
    }
}

impl ServiceTeams {
    /// Returns the teams by number of requests, the largest first.
    fn by_requests(&self) -> Vec<(&str, &Counts)> {
        let mut teams: Vec<_> = self.teams.iter().map(|(team, counts)| (&**team, counts)).collect();
        teams.sort_by(|a, b| b.1.total().cmp(&a.1.total()).then_with(|| a.0.cmp(b.0)));
        teams
    }

    fn total(&self) -> u64 {
        self.teams.values().map(Counts::total).sum::<u64>() + self.others.total()
    }

    /// Returns the rows of the `limit` largest teams, and one of all others.
    fn rows<'t>(&'t self, service: &'t str, limit: usize) -> Vec<TeamRow<'t>> {
        let teams = self.by_requests();
        let (shown, rest) = teams.split_at(limit.min(teams.len()));
        let mut others = self.others;
        rest.iter().for_each(|(_, counts)| others.add(counts));
        let mut rows: Vec<_> =
            shown.iter().map(|(team, counts)| TeamRow::new(service, team, counts)).collect();
        if others.total() > 0 {
            rows.push(TeamRow::new(service, OTHERS, &others));
        }
        rows
    }

    /// Returns the shares in time, or `None` if no team has enough requests.
    fn shares<'t>(&'t self, service: &'t str) -> Option<ServiceShares<'t>> {
        let teams = self.by_requests();
        let compared = teams.iter().filter(|(_, counts)| counts.total() >= COMPARED_REQUESTS_MIN);
        let shares: Vec<_> =
            compared.map(|(team, counts)| (*team, counts.share_in_time())).collect();
        let &(lowest_team, lowest_in_time) = shares.iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        let sum: f64 = shares.iter().map(|(_, share)| share).sum();
        let mean_in_time = sum / shares.len() as f64;
        let compared_teams = shares.len();
        Some(ServiceShares { service, compared_teams, lowest_in_time, lowest_team, mean_in_time })
    }
}

impl TeamTable {
    /// Counts a request with the given ending, if its line names a service.
    pub fn count(&mut self, line: &LogLine, ending: Ending) {
        let Some(service) = line.service.as_deref() else { return };
        let team = line.team.as_deref().filter(|team| !team.is_empty()).unwrap_or(NO_TEAM);
        let is_full = self.services.len() >= SERVICES_MAX;
        let service =
            if is_full && !self.services.contains_key(service) { OTHERS } else { service };
        let service = self.services.entry(service.to_owned()).or_default();
        let counts = if let Some(known) = service.teams.get_mut(team) {
            known
        } else if self.teams < TEAMS_MAX {
            self.teams += 1;
            service.teams.entry(team.to_owned()).or_default()
        } else {
            &mut service.others
        };
        counts.0[ending as usize] += 1;
    }

    /// Returns the services by number of requests, the largest first.
    fn by_requests(&self) -> Vec<(&str, &ServiceTeams)> {
        let mut services: Vec<_> =
            self.services.iter().map(|(name, teams)| (&**name, teams)).collect();
        services.sort_by_cached_key(|(name, teams)| (std::cmp::Reverse(teams.total()), *name));
        services
    }

    /// Returns all rows as JSON.
    pub fn json_rows(&self) -> serde_json::Value {
        let services = self.by_requests();
        let rows = services.iter().flat_map(|(name, teams)| teams.rows(name, usize::MAX));
        serde_json::json!(rows.collect::<Vec<_>>())
    }

    /// Returns the shares in time at each service as JSON.
    pub fn json_shares(&self) -> serde_json::Value {
        let services = self.by_requests();
        let shares = services.iter().filter_map(|(name, teams)| teams.shares(name));
        serde_json::json!(shares.collect::<Vec<_>>())
    }

    /// Returns the largest rows as a table; empty if no line names a service.
    pub fn text(&self) -> String {
        let services = self.by_requests();
        let mut text = String::new();
        if services.is_empty() {
            return text;
        }
        text.push_str("\nrequests  in time     late  refused   failed     left  service, team\n");
        for (name, teams) in services.iter().take(TABLE_ROWS_MAX) {
            teams.rows(name, TABLE_ROWS_MAX).iter().for_each(|row| text.push_str(&row.text()));
            if let Some(shares) = teams.shares(name) {
                text.push_str(&shares.text());
            }
        }
        if services.len() > TABLE_ROWS_MAX {
            let more = services.len() - TABLE_ROWS_MAX;
            // Writing to a string cannot fail.
            let _ = writeln!(text, "           ({more} services more; --json has all)");
        }
        text
    }
}

impl ServiceShares<'_> {
    fn text(&self) -> String {
        format!(
            "{:>8.3}   lowest share in time at {}: {}\n{:>8.3}   mean share in time at {}: teams with {} \
             requests or more ({})\n",
            self.lowest_in_time,
            self.service,
            self.lowest_team,
            self.mean_in_time,
            self.service,
            COMPARED_REQUESTS_MIN,
            self.compared_teams
        )
    }
}
