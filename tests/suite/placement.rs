//! What a picker knows of the other instances' requests, and where it places requests by that.

use std::time::Instant;

use cartvane::{
    names::Tag,
    routing::{BackendServer, Incarnation, PickRequest, ServiceLoad},
};

use crate::routing::{picker, server};

/// Hash of a prompt.
const PROMPT: u64 = 0x5bd1_e995_7f4a_7c15;

fn fleet(count: u16) -> Vec<BackendServer> {
    (0..count).map(|i| server(&format!("s{i}"), i)).collect()
}

fn load(mean: f32, counts: Vec<(Tag, u32)>, is_complete: bool) -> ServiceLoad {
    ServiceLoad { service: "llm".parse().expect("a valid name"), mean, counts, is_complete }
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
