//! The slot broker under loads that are several times its capacity, on a simulated clock. The goals are those of
//! `docs/design/hard-load.md`.

use std::{ops::Range, time::Duration};

use crate::slot_broker_load::{
    Figures, MEDIUM, SECOND, SMALL, Service, Simulation, TEAMS, extra_seed,
};

const SERVICES: [Service; 2] = [SMALL, MEDIUM];
const SEEDS: Range<u64> = 1..4;
/// Time of the load that is beyond the usual.
const SURGE: Range<Duration> = SECOND..Duration::from_secs(11);
/// Number of attempts from which a team's share is compared.
const ATTEMPTS_MIN: u32 = 20;
/// Number of attempts from which the priorities of a team are compared, over all seeds.
const PRIORITY_ATTEMPTS_MIN: u32 = 50;

/// Simulates a load of `factor` times the usual of each team during the surge, and the usual load before and after.
fn simulate(
    service: Service,
    seed: u64,
    factor: impl Fn(usize) -> f64,
    prepare: impl Fn(&mut Simulation),
) -> Simulation {
    let mut sim = Simulation::new(service, seed ^ extra_seed());
    (sim.measured, sim.compared) = (SURGE, SURGE);
    prepare(&mut sim);
    sim.add_load(Duration::ZERO..SURGE.start, |_| 1.0);
    sim.add_load(SURGE, factor);
    sim.add_load(SURGE.end..SURGE.end + SECOND, |_| 1.0);
    sim.run();
    sim
}

/// Lists what `figures` miss of the goals that hold for all teams under each load.
fn missed_by_teams(figures: &Figures) -> Vec<String> {
    let mut missed = Vec::new();
    let all = figures.teams(0..TEAMS);
    for team in 0..TEAMS {
        let tally = figures.team(team);
        if tally.attempts >= ATTEMPTS_MIN && tally.granted_share() < all.granted_share() / 4.0 {
            missed.push(format!("team {team} is served {tally:?}, all {all:?}"));
        }
    }
    if figures.returned.attempts >= ATTEMPTS_MIN && figures.returned.granted_share() < 0.9 {
        missed.push(format!("callers that return at their promised time: {:?}", figures.returned));
    }
    missed
}

/// Lists the teams of which a more urgent priority is served at a smaller share than a less urgent one.
///
/// With few attempts, or if a team's load fits, so few are rejected that their priorities are a matter of chance.
fn missed_by_priorities(
    figures: &Figures,
    is_by_urgency: impl Fn(&[f64; 3]) -> bool,
) -> Vec<String> {
    let is_limited = |team: &usize| {
        figures.team(*team).granted_share() < 0.9
            && figures.by_priority[*team].iter().all(|t| t.attempts >= PRIORITY_ATTEMPTS_MIN)
    };
    let teams = (0..TEAMS).filter(is_limited).map(|team| figures.by_priority[team]);
    let missed = teams.filter(|tallies| !is_by_urgency(&tallies.map(|t| t.granted_share())));
    let all = Some(figures.priorities())
        .filter(|tallies| !is_sorted(&tallies.map(|t| t.granted_share())));
    missed.chain(all).map(|tallies| format!("by priority: {tallies:?}")).collect()
}

fn is_sorted(shares: &[f64; 3]) -> bool {
    shares.is_sorted_by(|a, b| a >= b)
}

/// Lists what a simulation with `servers` servers misses of the goals for the whole service during the surge.
fn missed_by_service(sim: &Simulation, servers: u32) -> Vec<String> {
    let mut missed = Vec::new();
    let figures = sim.figures(SURGE);
    let capacity = sim.service.capacity(servers) * (SURGE.end - SURGE.start).as_secs_f64();
    let demand = f64::from(figures.callers);
    let in_time = f64::from(figures.teams(0..TEAMS).in_time) / demand.min(capacity);
    if in_time < 0.9 {
        missed.push(format!("{in_time:.3} of the best possible number are in time"));
    }
    if demand > 1.1 * capacity && sim.busy_share() < 0.95 {
        missed.push(format!("{:.3} of the slots are busy", sim.busy_share()));
    }
    missed
}

/// Lists what the teams whose load is as usual miss of their goals.
fn missed_by_others(figures: &Figures, others: Range<usize>) -> Vec<String> {
    let mut missed = Vec::new();
    let all = figures.teams(others.clone());
    let share = all.in_time_share();
    if all.attempts > 0 && share < 0.97 {
        missed.push(format!("{share:.3} of the other teams' requests are in time"));
    }
    for team in others {
        let tally = figures.team(team);
        if tally.attempts >= ATTEMPTS_MIN && tally.in_time_share() < 0.9 {
            missed.push(format!("team {team}: {tally:?}"));
        }
    }
    missed
}

/// Simulates a load with each service and seed, and fails if `missed` lists anything.
fn assert_goals(
    factor: impl Fn(usize) -> f64,
    prepare: impl Fn(&mut Simulation),
    is_by_urgency: impl Fn(&[f64; 3]) -> bool,
    missed: impl Fn(&Simulation) -> Vec<String>,
) {
    let mut all_missed = Vec::new();
    for service in SERVICES {
        let mut figures = Figures::default();
        for seed in SEEDS {
            let sim = simulate(service, seed, &factor, &prepare);
            figures.add(&sim.figures(sim.compared.clone()));
            let missed = missed(&sim);
            if !missed.is_empty() {
                all_missed.push(format!("{} servers, seed {seed}: {missed:#?}", service.servers));
            }
        }
        all_missed.extend(missed_by_priorities(&figures, &is_by_urgency));
    }
    assert!(all_missed.is_empty(), "{}", all_missed.join("\n"));
}

/// Lists what a simulation misses of all goals, with teams `others` at their usual load.
fn missed(sim: &Simulation, others: Range<usize>) -> Vec<String> {
    let figures = sim.figures(SURGE);
    let mut missed = missed_by_teams(&figures);
    missed.extend(missed_by_service(sim, sim.service.servers));
    missed.extend(missed_by_others(&figures, others));
    missed
}

// Guards against a large team that keeps the others from their slots, and against slots that stay idle meanwhile.
#[test]
fn one_team_at_12_times_its_load_delays_no_other_and_gets_the_rest() {
    let factor = |team| if team == 0 { 12.0 } else { 1.0 };
    assert_goals(factor, |_| (), is_sorted, |sim| missed(sim, 1..TEAMS));
}

// Guards against several large teams that together keep the others from their slots.
#[test]
fn three_teams_at_8_times_their_load_delay_no_other_and_get_the_rest() {
    let factor = |team| if team < 3 { 8.0 } else { 1.0 };
    assert_goals(factor, |_| (), is_sorted, |sim| missed(sim, 3..TEAMS));
}

// Guards against slots that are idle, or busy with requests that are late, while all teams ask for more than there is.
#[test]
fn slots_stay_busy_with_requests_in_time_at_5_and_15_times_the_load() {
    // The service with three servers can run nearly 5 times its usual load.
    for times in [5.0, 15.0] {
        assert_goals(|_| times, |_| (), is_sorted, |sim| missed(sim, 0..0));
    }
}

// Guards against requests that wait as if the lost servers still served them.
#[test]
fn the_remaining_servers_stay_busy_when_half_of_them_are_lost() {
    let left = |service: Service| service.servers / 2;
    for times in [1.0, 3.0] {
        let lose = |sim: &mut Simulation| sim.list_servers(SURGE.start, left(sim.service));
        assert_goals(
            |_| times,
            lose,
            is_sorted,
            |sim| {
                let mut missed = missed_by_teams(&sim.figures(SURGE));
                missed.extend(missed_by_service(sim, left(sim.service)));
                missed
            },
        );
    }
}

// Guards against callers that get more than other teams by ignoring `Retry-After`.
#[test]
fn callers_that_retry_at_once_gain_nothing_from_other_teams() {
    let factor = |team| if team == 0 { 12.0 } else { 1.0 };
    assert_goals(
        factor,
        |sim| sim.set_immediate_retries(0, 6),
        is_sorted,
        |sim| missed(sim, 1..TEAMS),
    );
}

// Guards against a second overload by callers that return together, and against slots that are idle at first.
#[test]
fn after_an_outage_the_callers_of_two_seconds_are_served_without_a_second_overload() {
    let (end, settled) = (SECOND * 3, SECOND * 4);
    let prepare = |sim: &mut Simulation| {
        sim.list_servers(SECOND, 0);
        sim.list_servers(end, sim.service.servers);
        sim.add_crowd(end, (sim.service.rate * 2.0) as usize);
        sim.measured = end..end + sim.service.target / 2;
        // Only those of the callers that return together: in the usual load that follows, nearly all are served.
        sim.compared = end..end + Duration::from_millis(1);
    };
    assert_goals(
        |_| 1.0,
        prepare,
        // Of a team's callers that come at once, few are served besides the first, which take the free slots: the two
        // less urgent priorities of one team differ by chance.
        |shares| shares[0] >= shares[1].max(shares[2]),
        |sim| {
            let mut missed = missed_by_teams(&sim.figures(end..settled));
            let rejected = sim.figures(settled..SURGE.end).teams(0..TEAMS).rejected();
            if rejected > 0 {
                missed.push(format!("{rejected} were rejected from a second after the outage"));
            }
            if sim.busy_share() < 0.95 {
                missed.push(format!("{:.3} of the slots are busy at first", sim.busy_share()));
            }
            missed
        },
    );
}

// Guards against rejections while the slots suffice, in bursts of arrivals.
#[test]
fn nothing_is_rejected_at_0_7_of_the_capacity() {
    for service in SERVICES {
        let factor = 0.7 * service.capacity(service.servers) / service.rate;
        for clump_max in [3, 6] {
            for seed in 1..21 {
                let mut sim = Simulation::new(service, seed ^ extra_seed());
                sim.clump_max = clump_max;
                sim.add_load(Duration::ZERO..SURGE.end, |_| factor);
                sim.run();
                let tally = sim.figures(Duration::ZERO..SURGE.end).teams(0..TEAMS);
                let case = format!("{} servers, clumps up to {clump_max}", service.servers);
                assert_eq!(tally.rejected(), 0, "{case}, seed {seed}: {tally:?}");
            }
        }
    }
}
