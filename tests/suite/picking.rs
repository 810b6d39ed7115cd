//! Which backend server a request goes to, on a made-up clock.

use std::time::{Duration, Instant};

use cartvane::routing::{Aggregate, BackendServer, Incarnation, PickRequest, Picker, ServiceLoad};

use crate::routing::{picker, server};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(count: u16) -> Vec<BackendServer> {
    (0..count).map(|i| server(&format!("s{i}"), i)).collect()
}

fn pick(
    picker: &Picker,
    now: Instant,
    affinity: Option<u64>,
    tried: &[Incarnation],
) -> Option<Incarnation> {
    let service = "llm".parse().expect("a name");
    let wanted = PickRequest {
        service: &service,
        affinity,
        spread: 5,
        tried,
        admission: None,
        ..PickRequest::new(&service)
    };
    picker.pick(now, &wanted).ok().map(|picked| picked.server.id.clone())
}

#[test]
fn requests_with_one_prompt_stay_together_until_the_bound_and_then_spill_in_their_rank() {
    let now = Instant::now();
    let mut picker = picker(&fleet(10));
    let home = pick(&picker, now, Some(42), &[]).expect("a server");
    let mut spilled = Vec::new();
    for _ in 0..60 {
        let id = pick(&picker, now, Some(42), &[]).expect("a server");
        if id != home && !spilled.contains(&id) {
            spilled.push(id.clone());
        }
        picker.start_request(now, &id);
    }
    let loads: Vec<u32> = picker.in_flight().map(|(_, own)| own).collect();
    let mean = 6.0;
    assert!(loads.iter().all(|&own| f64::from(own) <= 2.0 * mean + 3.0), "{loads:?}");
    assert!(!spilled.is_empty());
    let second = pick(&self::picker(&fleet(10)), now, Some(42), &[home]).expect("a server");
    assert_eq!(spilled[0], second, "the first to spill to is the next in rank");
}

#[test]
fn what_was_tried_is_leaving_or_unreachable_is_not_picked() {
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
    assert!(pick(&picker, now, Some(1), &[]).is_some(), "the last servers are tried all the same");
    assert_eq!(pick(&picker, now, None, &[one, two]), None);
}

#[test]
fn a_server_that_fails_more_than_the_others_is_passed_over() {
    let now = Instant::now();
    let servers = fleet(4);
    let mut picker = picker(&servers);
    let bad = servers[0].id.clone();
    for server in &servers {
        (0..6).for_each(|_| picker.note_success(now, &server.id));
    }
    (0..6).for_each(|_| picker.note_failure(now, &bad));
    assert!((0..50).all(|key| pick(&picker, now, Some(key), &[]) != Some(bad.clone())));
    let later = now + SECOND * 10;
    assert!((0..50).any(|key| pick(&picker, later, Some(key), &[]) == Some(bad.clone())));
    // Where all fail alike, none is worse than the others.
    for server in &servers {
        (0..20).for_each(|_| picker.note_failure(later, &server.id));
    }
    assert!((0..50).any(|key| pick(&picker, later, Some(key), &[]) == Some(bad.clone())));
}

#[test]
fn requests_without_a_prompt_go_to_the_least_loaded_own_zone_first() {
    let now = Instant::now();
    let mut servers = fleet(3);
    servers[1].zone = "south".parse().expect("a zone");
    servers[2].zone = "south".parse().expect("a zone");
    let mut picker = picker(&servers);
    let first = pick(&picker, now, None, &[]).expect("a server");
    assert_eq!(first, servers[0].id);
    picker.start_request(now, &first);
    let second = pick(&picker, now, None, &[]).expect("a server");
    assert_ne!(second, first);
}

#[test]
fn a_change_of_servers_moves_only_the_prompts_of_those_that_changed() {
    let now = Instant::now();
    let before = picker(&fleet(10));
    let after = picker(&fleet(11));
    let new: Incarnation = "s10".parse().expect("an id");
    for key in 0..500 {
        let (was, is) = (pick(&before, now, Some(key), &[]), pick(&after, now, Some(key), &[]));
        assert!(was == is || is == Some(new.clone()));
    }
}

/// The prompt's memory is fetched from where it was before, never from where the request has failed.
#[test]
fn the_holder_of_a_prompt_is_the_next_in_rank_leaving_ones_included() {
    let now = Instant::now();
    let mut servers = fleet(6);
    let service = "llm".parse().expect("a name");
    let pick = |picker: &Picker, tried: &[Incarnation]| {
        let wanted = PickRequest {
            service: &service,
            affinity: Some(42),
            spread: 5,
            tried,
            admission: None,
            ..PickRequest::new(&service)
        };
        let picked = picker.pick(now, &wanted).expect("a server");
        (picked.server.id.clone(), picked.holder.expect("a holder").id.clone())
    };
    let (home, second) = pick(&picker(&servers), &[]);
    let at = servers.iter().position(|s| s.id == home).expect("the home");
    servers[at].leaving = true;
    assert_eq!(pick(&picker(&servers), &[]), (second.clone(), home.clone()));
    servers[at].leaving = false;
    let (third, holder) = pick(&picker(&servers), std::slice::from_ref(&home));
    assert_eq!(third, second);
    assert_ne!(holder, home, "the request has failed there");
    let mut unreached = picker(&servers);
    unreached.note_unreachable(now, &second);
    assert_eq!(pick(&unreached, &[]).0, home);
    assert_ne!(pick(&unreached, &[]).1, second);
}

#[test]
fn counts_of_all_instances_are_summed_and_those_of_silent_ones_forgotten() {
    let now = Instant::now();
    let servers = fleet(3);
    let tag = |i: usize| servers[i].tag();
    let mut aggregate = Aggregate::default();
    aggregate.record_counts(now, "a".parse().expect("a name"), vec![(tag(0), 4), (tag(1), 1)]);
    aggregate.record_counts(now + SECOND * 2, "b".parse().expect("a name"), vec![(tag(0), 2)]);
    let total = |at: Instant| aggregate.summary(at, servers.iter()).remove(0);
    let both = total(now + SECOND * 2);
    assert!(both.is_complete);
    assert_eq!(both.counts, [(tag(0), 6), (tag(1), 1), (tag(2), 0)]);
    assert_eq!(total(now + SECOND * 4).counts[0], (tag(0), 2));
    // What this instance told itself is not counted twice.
    let mut picker = picker(&servers);
    (0..4).for_each(|_| picker.start_request(now, &servers[0].id));
    let own = picker.own_counts();
    picker.set_fleet_loads(now, &[both], &own);
    let service = "llm".parse().expect("a name");
    let tried = [servers[1].id.clone(), servers[2].id.clone()];
    let wanted = PickRequest {
        service: &service,
        affinity: None,
        spread: 5,
        tried: &tried,
        admission: None,
        ..PickRequest::new(&service)
    };
    let picked = picker.pick(now, &wanted).expect("a server");
    assert!((picked.load - 6.0).abs() < 0.01, "{picked:?}");
}

#[test]
fn of_many_servers_only_those_that_stand_out_are_told() {
    let now = Instant::now();
    let servers = fleet(500);
    let counts = servers.iter().enumerate().map(|(i, s)| (s.tag(), if i == 7 { 20 } else { 2 }));
    let mut aggregate = Aggregate::default();
    aggregate.record_counts(now, "a".parse().expect("a name"), counts.collect());
    let load = aggregate.summary(now, servers.iter()).remove(0);
    assert!(!load.is_complete);
    assert_eq!(load.counts, [(servers[7].tag(), 20)]);
    let mut picker = picker(&servers);
    picker.set_fleet_loads(now, &[load], &[]);
    // Prompts whose first server is the loaded one spill; the others' loads are about the mean.
    for key in 0..2000 {
        assert_ne!(pick(&picker, now, Some(key), &[]), Some(servers[7].id.clone()));
    }
}

#[test]
fn a_server_beyond_its_limit_is_told_once_and_again_after_it_was_not() {
    let now = Instant::now();
    let servers = fleet(4);
    let mut picker = picker(&servers);
    let loads = |load: u32| ServiceLoad {
        service: "llm".parse().expect("a name"),
        mean: load as f32 / 4.0,
        counts: vec![(servers[0].tag(), load)],
        is_complete: true,
    };
    let mut told = |at: Duration, load| {
        let crowded = picker.set_fleet_loads(now + at, &[loads(load)], &[]);
        crowded.into_iter().map(|c| c.server).collect::<Vec<_>>()
    };
    assert!(told(Duration::ZERO, 4).is_empty());
    assert_eq!(told(SECOND, 40), [servers[0].id.clone()]);
    assert!(told(SECOND * 2, 40).is_empty(), "it stays so");
    assert!(told(SECOND * 3, 0).is_empty());
    assert_eq!(told(SECOND * 9, 40), [servers[0].id.clone()]);
}

/// Two requests that wait in vain pause a server, before any of them has failed.
#[test]
fn a_silent_server_is_paused_and_then_tried_by_one_request() {
    let now = Instant::now();
    let servers = fleet(3);
    let mut picker = picker(&servers);
    let silent = servers[0].id.clone();
    let used = |picker: &Picker, at| {
        (0..60).any(|key| pick(picker, at, Some(key), &[]) == Some(silent.clone()))
    };
    assert!(!picker.note_stall(now, &silent), "one may be a long prompt");
    assert!(used(&picker, now));
    assert!(picker.note_stall(now, &silent));
    assert!(!used(&picker, now));
    let later = now + SECOND;
    assert!(used(&picker, later));
    picker.start_request(later, &silent);
    assert!(!used(&picker, later), "one request at a time tries it");
    picker.note_success(later, &silent);
    assert!(used(&picker, later));
}

#[test]
fn a_request_that_is_answered_after_all_speaks_for_its_server() {
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
fn others_word_of_a_silent_server_holds_for_a_moment_and_not_against_what_was_heard() {
    let now = Instant::now();
    let servers = fleet(4);
    let (silent, heard) = (&servers[0], &servers[1]);
    let mut picker = picker(&servers);
    picker.note_success(now, &heard.id);
    picker.note_reported_unresponsive(now, &[silent.tag(), heard.tag()]);
    let used = |picker: &Picker, at, server: &BackendServer| {
        (0..60).any(|key| pick(picker, at, Some(key), &[]) == Some(server.id.clone()))
    };
    assert!(!used(&picker, now, silent));
    assert!(used(&picker, now, heard));
    assert!(picker.own_unresponsive(now).is_empty(), "only what it found itself is told on");
    assert!(used(&picker, now + SECOND, silent));
}

#[test]
fn an_instance_that_hears_nobody_tells_nothing() {
    let now = Instant::now();
    let servers = fleet(4);
    let mut picker = picker(&servers);
    for server in &servers[..2] {
        picker.note_unreachable(now, &server.id);
    }
    assert_eq!(picker.own_unresponsive(now), [servers[0].tag(), servers[1].tag()]);
    picker.note_unreachable(now, &servers[2].id);
    assert!(picker.own_unresponsive(now).is_empty(), "rather this instance is cut off");
}

/// Where a whole service is slow, the few servers that are left would get all requests.
#[test]
fn at_most_half_of_a_service_is_paused_for_its_silence() {
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
fn only_so_many_silent_servers_are_told() {
    let now = Instant::now();
    let servers = fleet(400);
    let mut picker = picker(&servers);
    servers[..150].iter().for_each(|server| picker.note_unreachable(now, &server.id));
    assert_eq!(picker.own_unresponsive(now).len(), 64);
}

#[test]
fn two_instances_must_find_a_server_silent_for_the_others_to_believe_it() {
    let now = Instant::now();
    let servers = fleet(3);
    let tags = |of: &[usize]| {
        let mut tags: Vec<_> = of.iter().map(|&i| servers[i].tag()).collect();
        tags.sort_unstable_by_key(|tag| tag.0);
        tags
    };
    let mut aggregate = Aggregate::default();
    let mut tell = |at: Instant, node: &str, silent: &[usize]| {
        aggregate.record_unresponsive(at, node.parse().expect("a name"), tags(silent));
        aggregate.unresponsive()
    };
    assert_eq!(tell(now, "a", &[0, 1]), tags(&[0, 1]), "there is no other");
    assert!(tell(now, "b", &[]).is_empty());
    assert_eq!(tell(now, "c", &[1, 2]), tags(&[1]));
    assert_eq!(tell(now + SECOND * 4, "c", &[2]), tags(&[2]), "what others said is forgotten");
}

// With one of four zones emptied, 121 of 3,782 requests in five calm seconds reached servers that had over twice the
// mean of their service: the bound was taken of the servers that were left, and the operators' mean counts all.
#[test]
fn servers_of_an_emptied_zone_count_in_the_mean_by_which_the_others_are_bounded() {
    let now = Instant::now();
    let zones = ["north", "east", "south", "west"];
    let zone = |i: usize| zones[i % zones.len()].parse().expect("a zone");
    let servers: Vec<BackendServer> = fleet(12)
        .into_iter()
        .enumerate()
        .map(|(i, s)| BackendServer { zone: zone(i), ..s })
        .collect();
    let mut picker = picker(&servers);
    picker.set_evacuated([zone(3)].into());
    let left: Vec<&BackendServer> = servers.iter().filter(|s| s.zone != zone(3)).collect();
    for server in &left {
        (0..8).for_each(|_| picker.start_request(now, &server.id));
    }
    let service = "llm".parse().expect("a name");
    let wanted = PickRequest { affinity: Some(42), ..PickRequest::new(&service) };
    let picked = picker.pick(now, &wanted).expect("a server");
    let mean = (left.len() * 8) as f64 / servers.len() as f64;
    assert!(picked.bound <= 2.0 * mean + 3.0, "{} where the mean is {mean}", picked.bound);
}
