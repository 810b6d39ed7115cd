//! Server selection by the picker, on a simulated clock.

use std::time::{Duration, Instant};

use cartvane::routing::{Aggregate, BackendServer, Incarnation, PickRequest, Picker, ServiceLoad};

use crate::routing::{picker, server};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(count: u16) -> Vec<BackendServer> {
    (0..count).map(|i| server(&format!("s{i}"), i)).collect()
}

/// Picks a server for one request and returns its id.
fn pick(
    picker: &Picker,
    now: Instant,
    affinity: Option<u64>,
    tried: &[Incarnation],
) -> Option<Incarnation> {
    let service = "llm".parse().expect("a valid name");
    let request = PickRequest {
        service: &service,
        affinity,
        spread: 5,
        tried,
        admission: None,
        ..PickRequest::new(&service)
    };
    picker.pick(now, &request).ok().map(|picked| picked.server.id.clone())
}

#[test]
fn requests_with_one_prompt_share_a_server_up_to_the_bound_and_then_spill_in_rendezvous_order() {
    let now = Instant::now();
    let mut picker = picker(&fleet(10));
    let home = pick(&picker, now, Some(42), &[]).expect("a server is picked");
    let mut spilled = Vec::new();
    for _ in 0..60 {
        let id = pick(&picker, now, Some(42), &[]).expect("a server is picked");
        if id != home && !spilled.contains(&id) {
            spilled.push(id.clone());
        }
        picker.start_request(now, &id);
    }
    let loads: Vec<u32> = picker.in_flight().map(|(_, own)| own).collect();
    let mean = 6.0;
    assert!(loads.iter().all(|&own| f64::from(own) <= 2.0 * mean + 3.0), "{loads:?}");
    assert!(!spilled.is_empty());
    let second =
        pick(&self::picker(&fleet(10)), now, Some(42), &[home]).expect("a server is picked");
    assert_eq!(spilled[0], second, "the first spill goes to the next server in rendezvous order");
}

#[test]
fn servers_that_were_tried_are_leaving_or_unreachable_are_not_picked() {
    let now = Instant::now();
    let mut servers = fleet(3);
    servers[0].leaving = true;
    let mut picker = picker(&servers);
    let (one, two) = (servers[1].id.clone(), servers[2].id.clone());
    assert_eq!(pick(&picker, now, None, std::slice::from_ref(&one)), Some(two.clone()));
    picker.note_unreachable(now, &two);
    for key in 0..20 {
        assert_eq!(pick(&picker, now, Some(key), &[]), Some(one.clone()));
    }
    picker.note_unreachable(now, &one);
    assert!(
        pick(&picker, now, Some(1), &[]).is_some(),
        "paused servers are used if there are no others"
    );
    assert_eq!(pick(&picker, now, None, &[one, two]), None);
}

#[test]
fn a_server_that_fails_more_than_the_others_is_skipped() {
    let now = Instant::now();
    let servers = fleet(4);
    let mut picker = picker(&servers);
    let failing = servers[0].id.clone();
    for server in &servers {
        (0..6).for_each(|_| picker.note_success(now, &server.id));
    }
    (0..6).for_each(|_| picker.note_failure(now, &failing));
    assert!((0..50).all(|key| pick(&picker, now, Some(key), &[]) != Some(failing.clone())));
    let later = now + SECOND * 10;
    assert!((0..50).any(|key| pick(&picker, later, Some(key), &[]) == Some(failing.clone())));
    // If all servers fail equally often, none is skipped.
    for server in &servers {
        (0..20).for_each(|_| picker.note_failure(later, &server.id));
    }
    assert!((0..50).any(|key| pick(&picker, later, Some(key), &[]) == Some(failing.clone())));
}

#[test]
fn requests_without_a_prompt_go_to_the_least_loaded_server_and_prefer_the_own_zone() {
    let now = Instant::now();
    let mut servers = fleet(3);
    servers[1].zone = "south".parse().expect("a valid zone");
    servers[2].zone = "south".parse().expect("a valid zone");
    let mut picker = picker(&servers);
    let first = pick(&picker, now, None, &[]).expect("a server is picked");
    assert_eq!(first, servers[0].id);
    picker.start_request(now, &first);
    let second = pick(&picker, now, None, &[]).expect("a server is picked");
    assert_ne!(second, first);
}

#[test]
fn an_added_server_moves_only_the_prompts_that_it_receives() {
    let now = Instant::now();
    let before = picker(&fleet(10));
    let after = picker(&fleet(11));
    let added: Incarnation = "s10".parse().expect("a valid id");
    for key in 0..500 {
        let (was, is) = (pick(&before, now, Some(key), &[]), pick(&after, now, Some(key), &[]));
        assert!(was == is || is == Some(added.clone()));
    }
}

// The KV cache of a prompt is fetched from the server that had the prompt before, but never from one at which the
// request has failed.
#[test]
fn the_cache_holder_is_the_next_server_in_rendezvous_order_including_leaving_ones() {
    let now = Instant::now();
    let mut servers = fleet(6);
    let service = "llm".parse().expect("a valid name");
    let pick = |picker: &Picker, tried: &[Incarnation]| {
        let request = PickRequest {
            service: &service,
            affinity: Some(42),
            spread: 5,
            tried,
            admission: None,
            ..PickRequest::new(&service)
        };
        let picked = picker.pick(now, &request).expect("a server is picked");
        (picked.server.id.clone(), picked.holder.expect("a cache holder").id.clone())
    };
    let (home, second) = pick(&picker(&servers), &[]);
    let at = servers.iter().position(|s| s.id == home).expect("the first server is listed");
    servers[at].leaving = true;
    assert_eq!(pick(&picker(&servers), &[]), (second.clone(), home.clone()));
    servers[at].leaving = false;
    let (third, holder) = pick(&picker(&servers), std::slice::from_ref(&home));
    assert_eq!(third, second);
    assert_ne!(holder, home, "the request has failed there");
    let mut with_unreachable = picker(&servers);
    with_unreachable.note_unreachable(now, &second);
    assert_eq!(pick(&with_unreachable, &[]).0, home);
    assert_ne!(pick(&with_unreachable, &[]).1, second);
}

#[test]
fn counts_of_all_instances_are_summed_and_expire_for_those_that_stop_reporting() {
    let now = Instant::now();
    let servers = fleet(3);
    let tag = |i: usize| servers[i].tag();
    let mut aggregate = Aggregate::default();
    aggregate.record_counts(
        now,
        "a".parse().expect("a valid name"),
        vec![(tag(0), 4), (tag(1), 1)],
    );
    aggregate.record_counts(
        now + SECOND * 2,
        "b".parse().expect("a valid name"),
        vec![(tag(0), 2)],
    );
    let total = |at: Instant| aggregate.summary(at, servers.iter()).remove(0);
    let both = total(now + SECOND * 2);
    assert!(both.is_complete);
    assert_eq!(both.counts, [(tag(0), 6), (tag(1), 1), (tag(2), 0)]);
    assert_eq!(total(now + SECOND * 4).counts[0], (tag(0), 2));
    // The counts that this instance reported itself are not counted twice.
    let mut picker = picker(&servers);
    (0..4).for_each(|_| picker.start_request(now, &servers[0].id));
    let own = picker.own_counts();
    picker.set_fleet_loads(now, &[both], &own);
    let service = "llm".parse().expect("a valid name");
    let tried = [servers[1].id.clone(), servers[2].id.clone()];
    let request = PickRequest {
        service: &service,
        affinity: None,
        spread: 5,
        tried: &tried,
        admission: None,
        ..PickRequest::new(&service)
    };
    let picked = picker.pick(now, &request).expect("a server is picked");
    assert!((picked.load - 6.0).abs() < 0.01, "{picked:?}");
}

#[test]
fn for_many_servers_only_counts_far_from_the_mean_are_propagated() {
    let now = Instant::now();
    let servers = fleet(500);
    let counts = servers.iter().enumerate().map(|(i, s)| (s.tag(), if i == 7 { 20 } else { 2 }));
    let mut aggregate = Aggregate::default();
    aggregate.record_counts(now, "a".parse().expect("a valid name"), counts.collect());
    let load = aggregate.summary(now, servers.iter()).remove(0);
    assert!(!load.is_complete);
    assert_eq!(load.counts, [(servers[7].tag(), 20)]);
    let mut picker = picker(&servers);
    picker.set_fleet_loads(now, &[load], &[]);
    // Prompts whose first server is the loaded one spill; the load of the other servers is taken as the mean.
    for key in 0..2000 {
        assert_ne!(pick(&picker, now, Some(key), &[]), Some(servers[7].id.clone()));
    }
}

#[test]
fn a_server_over_its_limit_is_reported_once_per_period_over_the_limit() {
    let now = Instant::now();
    let servers = fleet(4);
    let mut picker = picker(&servers);
    let loads = |load: u32| ServiceLoad {
        service: "llm".parse().expect("a valid name"),
        mean: load as f32 / 4.0,
        counts: vec![(servers[0].tag(), load)],
        is_complete: true,
    };
    let mut crowded_at = |at: Duration, load| {
        let crowded = picker.set_fleet_loads(now + at, &[loads(load)], &[]);
        crowded.into_iter().map(|c| c.server).collect::<Vec<_>>()
    };
    assert!(crowded_at(Duration::ZERO, 4).is_empty());
    assert_eq!(crowded_at(SECOND, 40), [servers[0].id.clone()]);
    assert!(crowded_at(SECOND * 2, 40).is_empty(), "it is still crowded");
    assert!(crowded_at(SECOND * 3, 0).is_empty());
    assert_eq!(crowded_at(SECOND * 9, 40), [servers[0].id.clone()]);
}

// Two stalled requests pause a server before either of them has failed.
#[test]
fn an_unresponsive_server_is_paused_and_then_gets_a_single_trial_request() {
    let now = Instant::now();
    let servers = fleet(3);
    let mut picker = picker(&servers);
    let unresponsive = servers[0].id.clone();
    let used = |picker: &Picker, at| {
        (0..60).any(|key| pick(picker, at, Some(key), &[]) == Some(unresponsive.clone()))
    };
    assert!(!picker.note_stall(now, &unresponsive), "a single request may have a long prompt");
    assert!(used(&picker, now));
    assert!(picker.note_stall(now, &unresponsive));
    assert!(!used(&picker, now));
    let later = now + SECOND;
    assert!(used(&picker, later));
    picker.start_request(later, &unresponsive);
    assert!(!used(&picker, later), "only one trial request at a time");
    picker.note_success(later, &unresponsive);
    assert!(used(&picker, later));
}

#[test]
fn a_late_response_counts_as_evidence_for_its_server() {
    let now = Instant::now();
    let servers = fleet(3);
    let mut picker = picker(&servers);
    let slow = servers[0].id.clone();
    for _ in 0..10 {
        picker.note_stall(now, &slow);
        picker.clear_stall(now, &slow);
    }
    assert!((0..60).any(|key| pick(&picker, now, Some(key), &[]) == Some(slow.clone())));
}

#[test]
fn reports_of_unresponsive_servers_expire_and_are_ignored_after_a_recent_response() {
    let now = Instant::now();
    let servers = fleet(4);
    let (unresponsive, responsive) = (&servers[0], &servers[1]);
    let mut picker = picker(&servers);
    picker.note_success(now, &responsive.id);
    picker.note_reported_unresponsive(now, &[unresponsive.tag(), responsive.tag()]);
    let used = |picker: &Picker, at, server: &BackendServer| {
        (0..60).any(|key| pick(picker, at, Some(key), &[]) == Some(server.id.clone()))
    };
    assert!(!used(&picker, now, unresponsive));
    assert!(used(&picker, now, responsive));
    assert!(
        picker.own_unresponsive(now).is_empty(),
        "only servers that this instance itself found unresponsive are reported"
    );
    assert!(used(&picker, now + SECOND, unresponsive));
}

#[test]
fn an_instance_that_reaches_few_servers_reports_none() {
    let now = Instant::now();
    let servers = fleet(4);
    let mut picker = picker(&servers);
    for server in &servers[..2] {
        picker.note_unreachable(now, &server.id);
    }
    assert_eq!(picker.own_unresponsive(now), [servers[0].tag(), servers[1].tag()]);
    picker.note_unreachable(now, &servers[2].id);
    assert!(picker.own_unresponsive(now).is_empty(), "more likely this instance is cut off");
}

// If a whole service is slow, the few servers that are not paused would get all requests.
#[test]
fn at_most_half_of_a_service_is_paused_as_unresponsive() {
    let now = Instant::now();
    let servers = fleet(5);
    let mut picker = picker(&servers);
    for server in &servers {
        (0..3).for_each(|_| _ = picker.note_stall(now, &server.id));
    }
    let tags: Vec<_> = servers.iter().map(BackendServer::tag).collect();
    picker.note_reported_unresponsive(now, &tags);
    let used: std::collections::HashSet<_> =
        (0..200).filter_map(|key| pick(&picker, now, Some(key), &[])).collect();
    assert_eq!(used.len(), 3);
}

#[test]
fn the_number_of_reported_unresponsive_servers_is_limited() {
    let now = Instant::now();
    let servers = fleet(400);
    let mut picker = picker(&servers);
    servers[..150].iter().for_each(|server| picker.note_unreachable(now, &server.id));
    assert_eq!(picker.own_unresponsive(now).len(), 64);
}

#[test]
fn a_server_is_propagated_as_unresponsive_only_if_two_instances_report_it() {
    let now = Instant::now();
    let servers = fleet(3);
    let tags = |of: &[usize]| {
        let mut tags: Vec<_> = of.iter().map(|&i| servers[i].tag()).collect();
        tags.sort_unstable_by_key(|tag| tag.0);
        tags
    };
    let mut aggregate = Aggregate::default();
    let mut report = |at: Instant, node: &str, unresponsive: &[usize]| {
        aggregate.record_unresponsive(at, node.parse().expect("a valid name"), tags(unresponsive));
        aggregate.unresponsive()
    };
    assert_eq!(report(now, "a", &[0, 1]), tags(&[0, 1]), "there is no other instance");
    assert!(report(now, "b", &[]).is_empty());
    assert_eq!(report(now, "c", &[1, 2]), tags(&[1]));
    assert_eq!(report(now + SECOND * 4, "c", &[2]), tags(&[2]), "older reports have expired");
}

// With one of four zones evacuated, 121 of 3,782 requests in five seconds without faults reached servers with over
// twice the mean load of their service: the bound was computed from the remaining servers, while the operators' mean
// includes all of them.
#[test]
fn servers_of_an_evacuated_zone_count_in_the_mean_that_bounds_the_others() {
    let now = Instant::now();
    let zones = ["north", "east", "south", "west"];
    let zone = |i: usize| zones[i % zones.len()].parse().expect("a valid zone");
    let servers: Vec<BackendServer> = fleet(12)
        .into_iter()
        .enumerate()
        .map(|(i, s)| BackendServer { zone: zone(i), ..s })
        .collect();
    let mut picker = picker(&servers);
    picker.set_evacuated([zone(3)].into());
    let remaining: Vec<&BackendServer> = servers.iter().filter(|s| s.zone != zone(3)).collect();
    for server in &remaining {
        (0..8).for_each(|_| picker.start_request(now, &server.id));
    }
    let service = "llm".parse().expect("a valid name");
    let request = PickRequest { affinity: Some(42), ..PickRequest::new(&service) };
    let picked = picker.pick(now, &request).expect("a server is picked");
    let mean = (remaining.len() * 8) as f64 / servers.len() as f64;
    assert!(picked.bound <= 2.0 * mean + 3.0, "bound {} for a mean load of {mean}", picked.bound);
}
