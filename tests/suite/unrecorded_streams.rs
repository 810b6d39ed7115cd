//! Streams that ended incomplete before a second version appeared: callers resume them afterwards, at any instance.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    time::{Duration, Instant},
};

use cartvane::{
    adapter::intent::decode,
    names::ServiceName,
    routing::{RouteTag, StreamKey, StreamOrigin, StreamRecord, StreamScope, UnrecordedStreams},
};
use standins::fault::Fault;

use crate::{
    stream_versions::{Versions, begin, resume},
    support::eventually,
    testbed::{call, intent},
};

/// Begins a stream at the first instance, whose caller leaves after three events.
fn leave(fleet: &Versions, id: &str) {
    fleet.faults.push([Fault::PauseAfter(3, Duration::from_millis(600))]);
    let mut caller = TcpStream::connect(fleet.instances[0].callers()).expect("a connection");
    caller.write_all(&call("/stream-resumable/?marked=1", id).bytes()).expect("sent");
    let mut received = String::new();
    while !received.contains("id: 3") {
        let mut buf = [0; 1024];
        let length = caller.read(&mut buf).expect("events");
        received.push_str(&String::from_utf8_lossy(&buf[..length]));
    }
    drop(caller);
    let in_flight = || fleet.instances[0].gateway().drain.in_flight();
    eventually("the instance sees that its caller has left", || in_flight() == 0);
}

/// Guards against streams that no instance knows, as their caller left or their servers failed before the instance that
/// began them saw a second version.
#[test]
fn a_stream_that_ended_before_a_second_version_appeared_is_resumed() {
    let mut fleet = Versions::start(&["v1", "v1", "v1"], 3);
    begin(&fleet, 0, "broken");
    leave(&fleet, "left");
    assert_eq!(fleet.instances[0].gateway().stream_versions.records(), 0, "nothing is recorded");
    fleet.add_server("v2");
    fleet.list(3);
    eventually("all instances see both versions", || {
        fleet.instances.iter().all(|i| i.gateway().stream_versions.may_record())
    });
    for first in ["broken", "left"] {
        for instance in 1..3 {
            let id = format!("t-{first}-{instance}");
            let held = resume(&fleet, instance, &id, first);
            assert_eq!(held.map_err(|answer| answer.text()), Ok(vec!["v1".to_owned()]), "{first}");
        }
    }
}

fn record(number: usize) -> StreamRecord {
    let service: ServiceName = "app".parse().expect("a name");
    let key = StreamKey::of("crew", &number.to_string());
    let origin = StreamOrigin::new(&service, None);
    StreamRecord { key, origin, ttl: Duration::from_secs(10) }
}

fn scope(service: &str) -> StreamScope {
    let intent = decode(intent(5).to_string().as_bytes()).expect("an intent");
    let route = intent.routes.find("cartvane", "/stream-resumable/").expect("a route");
    StreamScope { service: service.parse().expect("a name"), route: RouteTag::of(route) }
}

/// Guards against memory that grows with the callers that leave, and against records of streams that have expired or of
/// a service with one version.
#[test]
fn remembered_streams_are_bounded_and_expire() {
    let (service, other) = (scope("app"), scope("other"));
    let now = Instant::now();
    let mut streams = UnrecordedStreams::default();
    (0..2_500).for_each(|number| streams.add(now, service.clone(), record(number)));
    assert_eq!(streams.len(), 2_000);
    assert!(streams.take_due(now, |scope| *scope == other).is_empty());
    let later = now + Duration::from_secs(4);
    let due = streams.take_due(later, |due| *due == service);
    assert_eq!(due.len(), 2_000);
    assert!(due.iter().all(|record| record.ttl == Duration::from_secs(6)));
    assert!(streams.is_empty());
    streams.add(now, service.clone(), record(1));
    assert!(streams.take_due(now + Duration::from_secs(10), |_| true).is_empty());
    assert!(streams.is_empty());
}
