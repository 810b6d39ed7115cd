//! The records of the versions at which streams began: they reach instances that hold them although these know nothing of
//! a second version yet, datagrams are lost, or instances stop.

use std::{thread, time::Duration};

use cartvane::{
    gateway::{GatewayHandle, roster_reader},
    routing::{BackendServer, StoreEra},
};
use standins::fault::Fault;

use crate::{
    stream_versions::{Versions, resume},
    support::eventually,
};

/// Time in which an instance passes on the events that a server has sent.
const FORWARDING_TIME: Duration = Duration::from_millis(100);

/// Has an instance read a list with one more server, of another version, which the store does not have yet.
fn list_second_version(instance: &GatewayHandle) {
    let gateway = instance.gateway();
    let mut list: Vec<BackendServer> = gateway
        .cluster_state
        .with_servers(|roster| roster.servers().map(|server| (**server).clone()).collect());
    let mut other = list[0].clone();
    other.id.server = "other".parse().expect("a name");
    other.version = Some("v2".parse().expect("a version"));
    list.push(other);
    let now = gateway.clock.now();
    roster_reader::apply_list(gateway, list, now, StoreEra::default(), "store");
}

// Guards against streams that are lost with their instance, as it recorded them at others that did not listen yet.
#[test]
fn a_stream_is_resumed_although_its_instance_was_the_only_one_to_see_a_second_version() {
    const STREAMS: usize = 12;
    let mut fleet = Versions::start(&["v1", "v1", "v1"], 3);
    fleet.faults.push([Fault::HoldAfter(2); STREAMS]);
    let killed = 0;
    thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = (0..STREAMS)
            .map(|n| scope.spawn(move || fleet.attempt(killed, &format!("b{n}"), None)))
            .collect();
        eventually("all streams have begun", || fleet.faults.held_streams() == STREAMS);
        thread::sleep(FORWARDING_TIME);
        list_second_version(&fleet.instances[killed]);
        fleet.faults.release_streams();
        assert!(streams.into_iter().all(|stream| stream.join().expect("a caller").whole));
    });
    drop(fleet.instances.remove(killed));
    fleet.add_server("v2");
    fleet.list(3);
    eventually("the others see both versions", || {
        let state =
            |i: &GatewayHandle| i.gateway().cluster_state.with_servers(|r| r.servers().count());
        fleet.instances.iter().all(|instance| state(instance) == 4)
    });
    let resumed = |n: usize| resume(&fleet, n % 2, &format!("t{n}"), &format!("b{n}"));
    let went_on = (0..STREAMS).filter(|n| resumed(*n).is_ok_and(|held| held == ["v1"])).count();
    assert_eq!(went_on, STREAMS);
}
