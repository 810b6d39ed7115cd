//! What grows with the fleet: for each way in which one instance deals with all servers or all instances, its work or its
//! bytes are counted at one size and at four times that size.

use std::{collections::HashMap, sync::Arc, time::Instant};

use cartvane::{
    names::Tag,
    routing::{BackendServer, Incarnation, Picker, Wanted},
};

use crate::routing::{list, picker, server};

const SMALL: usize = 1_000;
const LARGE: usize = 4 * SMALL;

fn servers(count: usize) -> Vec<BackendServer> {
    let zone = |number: usize| ["north", "south", "east"][number % 3].parse().expect("a zone");
    let server = |number: usize| BackendServer {
        zone: zone(number),
        slots: Some(16),
        ..server(&format!("s{number}"), 1 + number as u16)
    };
    (0..count).map(server).collect()
}

fn wanted(picker: &Picker, affinity: Option<u64>, spread: u64) -> cartvane::routing::Picked {
    let service = "llm".parse().expect("a name");
    let wanted = Wanted { affinity, spread, ..Wanted::of(&service) };
    picker.pick(Instant::now(), &wanted).expect("a server")
}

// A choice looked at every server of the service, and ranked them all: 5.9 ms with 10,000 servers and 0.02 ms with 100, on a
// whole processor of a fleet whose instances mostly have an eighth of one. What it looks at no longer hangs on their number.
#[test]
fn a_choice_considers_no_more_servers_of_a_service_four_times_as_large() {
    let most = |count: usize| {
        let picker = picker(&servers(count));
        let considered = (0..500_u64).flat_map(|key| {
            [wanted(&picker, Some(key), key), wanted(&picker, None, key)].map(|p| p.considered)
        });
        considered.max().expect("some choices")
    };
    let (small, large) = (most(SMALL), most(LARGE));
    assert!(large <= small + small / 10, "{small} of {SMALL}, {large} of {LARGE}");
    assert!(large <= 64);
}

#[test]
fn prompts_find_the_servers_of_a_large_service_evenly_and_keep_them() {
    let all = servers(SMALL);
    let before = picker(&all);
    let mut found: HashMap<Incarnation, u32> = HashMap::new();
    let (prompts, mut moved) = (40 * SMALL as u64, 0);
    // One server in fifty is gone.
    let stay: Vec<BackendServer> =
        all.iter().enumerate().filter(|(i, _)| i % 50 != 7).map(|(_, s)| s.clone()).collect();
    let after = picker(&stay);
    let stays = |id: &Incarnation| stay.iter().any(|server| server.id == *id);
    for key in 0..prompts {
        let first = wanted(&before, Some(key), key).server.id.clone();
        if key % 40 == 0 && wanted(&after, Some(key), key).server.id != first {
            moved += u32::from(stays(&first));
        }
        *found.entry(first).or_default() += 1;
    }
    let most = found.values().max().copied().unwrap_or_default();
    assert!(f64::from(most) < 2.0 * 40.0, "{most} prompts at one server, 40 on the mean");
    assert!(found.len() > SMALL * 95 / 100, "{} of {SMALL} servers are found", found.len());
    assert_eq!(moved, 0, "prompts whose server stays keep it");
}

#[test]
fn a_request_finds_a_server_where_nearly_none_of_a_large_service_may_be_used() {
    let mut all = servers(SMALL);
    all.iter_mut().for_each(|server| server.leaving = server.id.server.as_str() != "s7");
    let picker = picker(&all);
    for key in 0..50 {
        for affinity in [Some(key), None] {
            assert_eq!(wanted(&picker, affinity, key).server.id.server.as_str(), "s7");
        }
    }
}

#[test]
fn requests_spread_evenly_over_a_large_service_and_stay_in_their_zone() {
    let all = servers(SMALL);
    let mut picker = picker(&all);
    let now = Instant::now();
    let mut near = 0;
    // Fewer than there are servers in the own zone.
    let requests = SMALL as u64 / 4;
    for spread in 0..requests {
        let picked = wanted(&picker, None, spread);
        near += u64::from(picked.server.zone.as_str() == "north");
        picker.begin(now, &picked.server.id);
    }
    let most = picker.in_flight().map(|(_, count)| count).max().unwrap_or_default();
    assert!(most <= 2, "{most} at one server");
    assert!(near > requests * 4 / 5, "{near} of {requests} in the own zone");
}

#[test]
fn tags_of_a_large_service_hardly_ever_meet() {
    let mut picker = picker(&servers(SMALL));
    list(&mut picker, Instant::now(), &servers(LARGE));
    let tags: std::collections::HashSet<Tag> = servers(LARGE).iter().map(|s| s.tag()).collect();
    assert!(tags.len() >= LARGE - 4, "{} of {LARGE}", tags.len());
    assert!(Arc::strong_count(&wanted(&picker, None, 1).server) > 1);
}
