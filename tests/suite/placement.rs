//! What a picker knows of the other instances' requests, and where it places requests by that.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use cartvane::{
    names::Tag,
    routing::{
        Aggregate, BackendServer, FleetPosition, Incarnation, PickRequest, Picker, PlacementWeight,
        PromptDemand, PromptTag, ServiceLoad,
    },
};

use crate::routing::{picker, server};

const SECOND: Duration = Duration::from_secs(1);

/// Hash of a prompt.
const PROMPT: u64 = 0x5bd1_e995_7f4a_7c15;

fn fleet(count: u16) -> Vec<BackendServer> {
    (0..count).map(|i| server(&format!("s{i}"), i)).collect()
}

fn load(mean: f32, counts: Vec<(Tag, u32)>, is_complete: bool) -> ServiceLoad {
    ServiceLoad { service: "llm".parse().expect("a valid name"), mean, counts, is_complete }
}

/// Returns the servers that 400 requests with one prompt are sent to.
fn servers_of_prompt(picker: &Picker, now: Instant) -> HashSet<Incarnation> {
    let service = "llm".parse().expect("a valid name");
    let pick = |spread: u64| {
        let request = PickRequest {
            affinity: Some(PROMPT),
            spread: spread.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..PickRequest::new(&service)
        };
        picker.pick(now, &request).expect("a server is picked").server.id.clone()
    };
    (0..400).map(pick).collect()
}

fn picker_at_many_instances(servers: &[BackendServer]) -> Picker {
    let mut picker = picker(servers);
    picker.set_position(FleetPosition { number: 3, instances: 277 });
    picker
}

#[test]
fn a_popular_prompt_is_spread_over_as_many_servers_as_its_demand_needs() {
    let now = Instant::now();
    let servers = fleet(153);
    let mut picker = picker_at_many_instances(&servers);
    picker.set_fleet_loads(now, &[load(5.0, Vec::new(), false)], &[]);
    assert_eq!(servers_of_prompt(&picker, now).len(), 1);
    let tag = PromptTag::of(PROMPT);
    picker.prompts().set_fleet_counts(now, &[(tag, 7)]);
    assert_eq!(servers_of_prompt(&picker, now).len(), 1, "a single server has room for 7");
    picker.prompts().set_fleet_counts(now + SECOND, &[(tag, 300)]);
    let count = servers_of_prompt(&picker, now).len();
    assert!((60..=153).contains(&count), "{count} servers for 300 requests in flight");
}

// All instances that no longer saw a demand returned to one server at the same moment.
#[test]
fn a_demand_that_ends_is_forgotten_gradually() {
    let now = Instant::now();
    let tag = PromptTag::of(PROMPT);
    let mut demand = PromptDemand::default();
    demand.set_fleet_counts(now, &[(tag, 100)]);
    let after = |demand: &mut PromptDemand, time: Duration| {
        demand.set_fleet_counts(now + time, &[]);
        demand.estimate(tag)
    };
    let peak = demand.estimate(tag);
    let soon = after(&mut demand, SECOND);
    assert!(soon > 0.7 * peak && soon < peak, "{soon} of {peak}");
    assert!(after(&mut demand, SECOND * 30) < 1.0);
}

#[test]
fn own_requests_count_before_the_next_exchange_and_no_longer_once_they_end() {
    let tag = PromptTag::of(PROMPT);
    let mut demand = PromptDemand::default();
    (0..3).for_each(|_| demand.start_request(tag));
    assert!((demand.estimate(tag) - 3.0).abs() < f64::EPSILON);
    assert_eq!(demand.own_counts(), [(tag, 3)]);
    (0..3).for_each(|_| demand.finish_request(tag));
    assert!(demand.own_counts().is_empty());
    // An end that was not counted changes nothing.
    demand.finish_request(tag);
    assert!(demand.own_counts().is_empty());
}

// Instances that had just started all sent their requests to the same server.
#[test]
fn an_instance_without_counts_spreads_a_prompt_until_they_are_known() {
    let now = Instant::now();
    let servers = fleet(20);
    let mut picker = picker_at_many_instances(&servers);
    picker.await_counts();
    assert!(servers_of_prompt(&picker, now).len() > 15);
    picker.set_fleet_loads(now, &[load(2.0, Vec::new(), false)], &[]);
    assert_eq!(servers_of_prompt(&picker, now).len(), 1);
    // Counts that become old are no reason to forget where the prompts are.
    assert_eq!(servers_of_prompt(&picker, now + SECOND * 5).len(), 1);
}

// The sums of the first few instances passed for room at all servers.
#[test]
fn sums_are_settled_once_most_instances_have_reported_or_had_the_time() {
    let now = Instant::now();
    let mut aggregate = Aggregate::default();
    let node = |number: usize| format!("n{number}").parse().expect("a valid name");
    assert!(!aggregate.is_settled(now, 8));
    (0..5).for_each(|number| aggregate.record_counts(now, node(number), Vec::new()));
    assert!(!aggregate.is_settled(now, 8), "5 of 8 have reported");
    aggregate.record_counts(now, node(5), Vec::new());
    assert!(aggregate.is_settled(now, 8), "6 of 8 have reported");
    assert!(!aggregate.is_settled(now, 277));
    aggregate.record_counts(now + SECOND, node(0), Vec::new());
    assert!(aggregate.is_settled(now + SECOND * 2, 277), "all had the time to report");
    let later = now + SECOND * 10;
    aggregate.record_counts(later, node(0), Vec::new());
    assert!(!aggregate.is_settled(later, 277), "reports were interrupted");
}

// Unlisted servers counted with the mean of all, so that the mean and with it the bound grew with the listed ones.
#[test]
fn the_servers_that_are_not_listed_share_the_rest_of_the_load() {
    let now = Instant::now();
    let servers = fleet(100);
    let mut picker = picker(&servers);
    let listed: Vec<(Tag, u32)> = servers[..20].iter().map(|s| (s.tag(), 20)).collect();
    picker.set_fleet_loads(now, &[load(5.0, listed, false)], &[]);
    let service = "llm".parse().expect("a valid name");
    let tried: Vec<Incarnation> = servers[..20].iter().map(|s| s.id.clone()).collect();
    let request =
        PickRequest { affinity: Some(PROMPT), tried: &tried, ..PickRequest::new(&service) };
    let picked = picker.pick(now, &request).expect("a server is picked");
    // 500 requests, of which 400 are at the listed servers.
    assert!((picked.load - 1.25).abs() < 0.01, "{picked:?}");
    assert!((picked.bound - 13.0).abs() < 0.01, "{picked:?}");
}

// With most servers out of use, the bound grew with the mean of the few that were left.
#[test]
fn servers_that_are_not_usable_count_in_the_mean_that_bounds_the_others() {
    let now = Instant::now();
    let servers = fleet(20);
    let mut picker = picker(&servers);
    let counts = servers.iter().enumerate().map(|(i, s)| (s.tag(), if i < 4 { 10 } else { 0 }));
    picker.set_fleet_loads(now, &[load(2.0, counts.collect(), true)], &[]);
    let service = "llm".parse().expect("a valid name");
    let tried: Vec<Incarnation> = servers[4..].iter().map(|s| s.id.clone()).collect();
    let request =
        PickRequest { affinity: Some(PROMPT), tried: &tried, ..PickRequest::new(&service) };
    let picked = picker.pick(now, &request).expect("a server is picked");
    assert!((picked.bound - 7.0).abs() < 0.01, "{picked:?}");
}

// Requests at a server that came back to the list counted as none, and their ends were taken from later ones.
#[test]
fn requests_at_a_server_that_leaves_the_list_count_again_when_it_is_back() {
    let now = Instant::now();
    let servers = fleet(3);
    let list: Vec<_> = servers.iter().cloned().map(std::sync::Arc::new).collect();
    let mut picker = picker(&servers);
    let lost = &servers[1];
    (0..3).for_each(|_| picker.start_request(now, &lost.id));
    picker.set_servers(now, list.iter().filter(|server| server.id != lost.id));
    picker.finish_request(&lost.id);
    picker.set_servers(now, list.iter());
    assert_eq!(picker.own_counts(), [(lost.tag(), 2)]);
    (0..2).for_each(|_| picker.finish_request(&lost.id));
    picker.start_request(now, &lost.id);
    assert_eq!(picker.own_counts(), [(lost.tag(), 1)]);
}

/// Returns the share of 1000 prompts that a server with a weight keeps.
fn kept_share(weight: &PlacementWeight) -> f64 {
    let kept = (0..1000_u64).filter(|key| weight.keeps(key.wrapping_mul(PROMPT), Tag(77)));
    kept.count() as f64 / 1000.0
}

#[test]
fn a_server_with_too_many_prompts_gives_some_up_and_takes_them_back() {
    let now = Instant::now();
    let mut weight = PlacementWeight::default();
    let mut at = now;
    let mut observe = |weight: &mut PlacementWeight, times: u32, natural: f64| {
        for _ in 0..times {
            at += SECOND / 2;
            let load = natural * kept_share(weight);
            weight.observe(at, load, 6.0);
        }
    };
    observe(&mut weight, 60, 5.0);
    assert!((kept_share(&weight) - 1.0).abs() < f64::EPSILON);
    observe(&mut weight, 120, 12.0);
    let share = kept_share(&weight);
    assert!((0.4..0.6).contains(&share), "a server with twice its load keeps {share}");
    observe(&mut weight, 120, 5.0);
    assert!(kept_share(&weight) > 0.95);
}
