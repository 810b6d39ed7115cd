//! Which instances write the checkpoints of a large fleet, what they are sent, and for how long a first event waits.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cartvane::routing::{
    CHECKPOINT_WRITERS, Candidates, CheckpointNeed, CheckpointRequests, CheckpointWriters,
    InstanceInfo, StreamKey, StreamOrigin, StreamRecord,
};

use crate::testbed::port;

const SEVERAL: CheckpointNeed = CheckpointNeed::SeveralVersions;

fn instance(number: u16) -> InstanceInfo {
    InstanceInfo {
        node: format!("i{number}").parse().expect("a name"),
        address: port(number),
        zone: "z1".parse().expect("a name"),
        cores: if number.is_multiple_of(8) { 2.0 } else { 0.12 },
    }
}

/// Returns the writers as the instance with this number sees them.
fn writers(own: u16, listed: impl Iterator<Item = u16>) -> CheckpointWriters {
    let mut candidates = Candidates::new(instance(own));
    candidates.set(listed.map(instance));
    CheckpointWriters::of(&candidates)
}

fn record(number: usize) -> StreamRecord {
    let service = "app".parse().expect("a name");
    let version = Some("v1".parse().expect("a version"));
    let key = StreamKey::of("crew", &number.to_string());
    StreamRecord { key, origin: StreamOrigin::new(&service, version), ttl: Duration::from_secs(20) }
}

/// Returns the addresses that the records due now are sent to.
fn sent(
    requests: &mut CheckpointRequests,
    now: Instant,
    writers: &CheckpointWriters,
) -> Vec<SocketAddr> {
    requests.take_due(now, SEVERAL, writers).into_iter().map(|send| send.to).collect()
}

/// Guards against instances that ask different ones to write a stream, and against one writer for most streams or weak
/// ones.
#[test]
fn all_instances_share_the_streams_among_the_same_few_writers() {
    let seen: Vec<CheckpointWriters> = (1..=62).map(|own| writers(own, 1..=62)).collect();
    assert!(seen.iter().all(|writers| *writers == seen[0]), "{seen:?}");
    let mut shares: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..1_000 {
        *shares.entry(seen[0].by_rank(record(number).key)[0]).or_default() += 1;
    }
    assert_eq!(shares.len(), CHECKPOINT_WRITERS);
    assert!(shares.values().all(|count| (150..=350).contains(count)), "{shares:?}");
    let writers: Vec<u16> = (1..=62).filter(|n| seen[0].contains(port(*n))).collect();
    assert_eq!(writers.len(), CHECKPOINT_WRITERS);
    assert!(writers.iter().all(|n| n.is_multiple_of(8)), "the strongest: {writers:?}");
}

/// Guards against first events that are sent before their records are written, or that wait although the store takes no
/// writes or one version is in sight.
#[test]
fn a_first_event_waits_until_a_writer_has_written_its_record() {
    let (now, writers) = (Instant::now(), writers(1, 1..=62));
    let mut requests = CheckpointRequests::default();
    let key = record(1).key;
    requests.add(now, record(1));
    assert!(requests.take_due(now, CheckpointNeed::Undecided, &writers).is_empty());
    let writer = sent(&mut requests, now, &writers)[0];
    assert!(requests.holds_event(key, SEVERAL));
    assert!(!requests.holds_event(key, CheckpointNeed::None));
    requests.note_late(writer);
    assert!(!requests.holds_event(key, SEVERAL));
    requests.note_written(record(2).key, writer);
    assert!(requests.holds_event(key, SEVERAL), "the store takes writes again");
    requests.note_late_writers_of(key);
    assert!(!requests.holds_event(key, SEVERAL), "it came too late for one already");
    requests.note_written(record(2).key, writer);
    requests.note_written(key, writer);
    assert!(!requests.holds_event(key, SEVERAL));
    assert!(sent(&mut requests, now + Duration::from_secs(1), &writers).is_empty());
    assert_eq!(requests.note_complete(key), [writer], "told that it is complete");
    requests.add(now, record(3));
    assert!(requests.take_due(now, CheckpointNeed::None, &writers).is_empty());
    assert!(requests.is_empty(), "one version is left");
}

/// Guards against streams that stay unwritten since their writer is lost.
#[test]
fn the_next_writer_takes_the_place_of_a_silent_one() {
    let (mut now, writers) = (Instant::now(), writers(1, 1..=62));
    let mut requests = CheckpointRequests::default();
    requests.add(now, record(1));
    let ranked = writers.by_rank(record(1).key);
    let mut asked = Vec::new();
    for _ in 0..20 {
        asked.extend(sent(&mut requests, now, &writers));
        now += Duration::from_millis(50);
    }
    assert_eq!(asked, [ranked[0], ranked[0], ranked[0], ranked[1], ranked[1]]);
}
