//! What an instance writes to the store of the streams that it carries, when, and for how long it counts.

use std::time::{Duration, Instant};

use cartvane::{
    configs::fleet::chunks::{decode, encode},
    routing::{
        CheckpointNeed, CheckpointRow, CheckpointStep, EVENT_HOLD_MAX, ExpiredRow, StoreClock,
        StreamCheckpoints, StreamKey, StreamOrigin, StreamRecord,
    },
};

use crate::testbed::port;

const TTL: Duration = Duration::from_secs(20);

/// Time of a write at a store that replies at once.
const QUICK: Duration = Duration::from_millis(5);

const SEVERAL: CheckpointNeed = CheckpointNeed::SeveralVersions;

/// What a row may have at most in the store.
const ROW_BYTES: usize = 65_536;

fn record(number: usize, version: &str) -> StreamRecord {
    let service = "app".parse().expect("a name");
    let version = Some(version.parse().expect("a version"));
    let key = StreamKey::of("crew", &number.to_string());
    StreamRecord { key, origin: StreamOrigin::new(&service, version), ttl: TTL }
}

/// Returns an own checkpoint that has read the store's clock.
fn checkpoints(now: Instant) -> StreamCheckpoints {
    let mut own = StreamCheckpoints::default();
    own.note_read(StoreClock { read_at: now, now_ms: 1_000 }, Vec::new());
    own
}

/// Adds streams, each at the version that `version` returns for its number.
fn add_all(
    own: &mut StreamCheckpoints,
    now: Instant,
    count: usize,
    version: impl Fn(usize) -> String,
) {
    for number in 0..count {
        own.add(now, &record(number, &version(number)));
    }
}

/// Returns the row that is due now.
fn written(own: &mut StreamCheckpoints, now: Instant, instances: usize) -> CheckpointRow {
    match own.step(now, SEVERAL, instances) {
        CheckpointStep::Write(row) => decode(&encode(&row)).expect("it can be decoded"),
        step => panic!("{step:?}"),
    }
}

/// Guards against calls to the store while one version is in sight, or while that is not known yet.
#[test]
fn nothing_is_written_until_several_versions_are_in_sight() {
    let now = Instant::now();
    let mut own = StreamCheckpoints::default();
    assert!(own.add(now, &record(1, "v1")));
    let waits = |step| matches!(step, CheckpointStep::Wait(_));
    assert!(waits(own.step(now, CheckpointNeed::Undecided, 4)));
    assert_eq!(own.step(now, SEVERAL, 4), CheckpointStep::Read);
    assert_eq!(own.step(now, CheckpointNeed::None, 4), CheckpointStep::Done);
    assert!(own.is_idle());
}

/// Guards against a first record that waits, and against more than a hundred transactions a second of all instances.
#[test]
fn the_first_record_is_written_at_once_and_the_next_ones_after_the_interval() {
    for (instances, interval_ms) in
        [(1, 50), (5, 50), (8, 80), (10, 100), (100, 1_000), (986, 9_860)]
    {
        let now = Instant::now();
        let interval = Duration::from_millis(interval_ms);
        let mut own = checkpoints(now);
        assert!(own.add(now, &record(1, "v1")));
        written(&mut own, now, instances);
        assert!(own.add(now, &record(2, "v1")), "the first one that is not written");
        assert!(!own.add(now, &record(3, "v1")));
        assert_eq!(own.step(now, SEVERAL, instances), CheckpointStep::Wait(interval));
        let row = written(&mut own, now + interval, instances);
        assert_eq!(row.records(1_000).expect("a row").len(), 3);
        let after = own.step(now + 2 * interval, SEVERAL, instances);
        assert!(matches!(after, CheckpointStep::Wait(_)), "{after:?}");
    }
}

/// Guards against records that are lost with a failed write.
#[test]
fn a_failed_write_is_repeated_after_the_interval() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    own.add(now, &record(1, "v1"));
    written(&mut own, now, 1);
    own.note_write_failed();
    let later = now + Duration::from_millis(100);
    assert!(matches!(own.step(now, SEVERAL, 1), CheckpointStep::Wait(_)));
    assert_eq!(written(&mut own, later, 1).records(1_000).expect("a row").len(), 1);
}

/// Guards against callers that have an event of a stream which no checkpoint has, and against first events that wait in
/// large fleets, for a store that takes no writes, or while one version is in sight.
#[test]
fn a_first_event_waits_for_the_write_of_its_record() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    own.add(now, &record(1, "v1"));
    let number = own.added();
    assert!(own.holds_event(number, SEVERAL, 8));
    assert!(!own.holds_event(number, SEVERAL, 11));
    assert!(!own.holds_event(number, CheckpointNeed::None, 8));
    written(&mut own, now, 8);
    own.add(now, &record(2, "v1"));
    assert!(own.holds_event(number, SEVERAL, 8), "the write may still fail");
    own.note_written(QUICK);
    assert!(!own.holds_event(number, SEVERAL, 8));
    assert!(own.holds_event(own.added(), SEVERAL, 8), "the write began before this record");
    own.note_write_failed();
    assert!(!own.holds_event(own.added(), SEVERAL, 8));
}

/// Guards against first events that all wait, one after another, for a store that takes each write too late.
#[test]
fn no_first_event_waits_for_a_slow_store_after_one_has_waited_in_vain() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    own.add(now, &record(1, "v1"));
    written(&mut own, now, 8);
    assert!(own.holds_event(own.added(), SEVERAL, 8));
    own.note_late();
    assert!(!own.holds_event(own.added(), SEVERAL, 8));
    own.add(now, &record(2, "v1"));
    for (took, is_held) in [(EVENT_HOLD_MAX * 2, false), (QUICK, true)] {
        own.note_written(took);
        assert_eq!(own.holds_event(own.added(), SEVERAL, 8), is_held, "{took:?}");
    }
}

/// Guards against writers that write rarely, confirm what is not written, or write nothing before their own list shows a
/// second version, and against rows of theirs that stay.
#[test]
fn a_writer_writes_often_and_confirms_what_it_has_written() {
    let (now, interval, from) = (Instant::now(), Duration::from_millis(50), port(7));
    let mut own = checkpoints(now);
    own.set_writer(true);
    let key = |number| record(number, "v1").key;
    assert!(own.add_requested(now, &record(1, "v1"), from));
    let first = own.step(now, CheckpointNeed::None, 986);
    assert!(matches!(first, CheckpointStep::Write(_)), "{first:?}");
    own.add_requested(now, &record(2, "v1"), from);
    assert_eq!(
        own.note_written(QUICK),
        [(from, key(1))],
        "the other one came after the write began"
    );
    assert_eq!(own.step(now, CheckpointNeed::None, 986), CheckpointStep::Wait(interval));
    written(&mut own, now + interval, 986);
    assert!(own.note_write_failed().contains(&from));
    assert!(!own.add_requested(now, &record(2, "v1"), from), "sent again");
    assert_eq!(written(&mut own, now + 2 * interval, 986).records(1_000).expect("a row").len(), 2);
    assert_eq!(own.note_written(QUICK), [(from, key(2))]);
    assert_eq!(own.step(now + TTL, CheckpointNeed::None, 986), CheckpointStep::Remove);
}

/// Guards against confirmations of records that a full row has dropped, and against their loss unseen.
#[test]
fn a_full_row_drops_the_oldest_records_and_counts_them() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    own.add_requested(now, &record(9_999, "v1"), port(7));
    add_all(&mut own, now, 3_005, |_| "v1".to_owned());
    written(&mut own, now, 62);
    assert!(own.note_written(QUICK).is_empty());
    assert_eq!((own.take_dropped(), own.take_dropped()), (6, 0));
}

/// Guards against rows that the store refuses, and against the newest streams being left out.
#[test]
fn a_row_holds_the_newest_records_and_fits_the_store() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    let version = |n: usize| format!("{:0>200}", n % 60);
    add_all(&mut own, now, 5_000, version);
    let row = written(&mut own, now, 1);
    assert!(encode(&row).len() <= ROW_BYTES, "{} bytes", encode(&row).len());
    let records = row.records(1_000).expect("a row");
    assert!((2_000..=3_000).contains(&records.len()), "{} records", records.len());
    assert!(records.contains(&record(4_999, &version(4_999))));
    add_all(&mut own, now, 5_000, |_| "v1".to_owned());
    let row = written(&mut own, now + Duration::from_secs(1), 1);
    assert_eq!(row.records(1_000).expect("a row").len(), 3_000);
}

/// Guards against streams that cannot be resumed any more in a row, and against rows that count for ever.
#[test]
fn complete_and_expired_streams_are_left_out() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    add_all(&mut own, now, 4, |_| "v1".to_owned());
    own.note_complete(record(2, "v1").key);
    let row = written(&mut own, now, 1);
    let records = row.records(1_000).expect("a row");
    assert_eq!(records, [3, 1, 0].map(|n| record(n, "v1")), "all but the complete one");
    let later = row.records(1_000 + 15_000).expect("a row");
    assert!(later.iter().all(|record| record.ttl == Duration::from_secs(5)), "{later:?}");
    assert!(row.records(1_000 + 20_000).expect("a row").is_empty());
    // A clock that was set back does not extend them.
    assert_eq!(row.records(0).expect("a row"), records);
    own.add(now + TTL, &record(9, "v1"));
    assert_eq!(written(&mut own, now + TTL, 1).records(21_000).expect("a row").len(), 1);
}

/// Guards against a writer that does not start again after it ended without a write, as its only stream was complete.
#[test]
fn a_stream_is_written_after_one_that_was_complete_before_its_write() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    assert!(own.add(now, &record(1, "v1")));
    own.note_complete(record(1, "v1").key);
    assert_eq!(own.step(now, SEVERAL, 1), CheckpointStep::Done);
    assert!(own.add(now, &record(2, "v1")), "the first one that is not written");
    assert_eq!(written(&mut own, now, 1).records(1_000).expect("a row").len(), 1);
}

/// Guards against rows that stay in the store.
#[test]
fn the_row_is_removed_once_one_version_is_left() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    own.add(now, &record(1, "v1"));
    written(&mut own, now, 1);
    let mut at = now + Duration::from_secs(1);
    assert_eq!(own.step(at, CheckpointNeed::None, 1), CheckpointStep::Remove);
    at += Duration::from_millis(25);
    assert!(matches!(own.step(at, CheckpointNeed::None, 1), CheckpointStep::Wait(_)));
    at += Duration::from_millis(25);
    assert_eq!(own.step(at, CheckpointNeed::None, 1), CheckpointStep::Remove, "it failed");
    own.note_removed();
    assert_eq!(own.step(at, CheckpointNeed::None, 1), CheckpointStep::Done);
    let expired: Vec<ExpiredRow> =
        (0..80).map(|n| ExpiredRow { key: format!("i{n}"), version: n }).collect();
    own.note_read(StoreClock { read_at: at, now_ms: 1_000 }, expired.clone());
    let removal = CheckpointStep::RemoveExpired(expired[..50].to_vec());
    assert_eq!(own.step(at, CheckpointNeed::None, 1), removal);
    assert!(own.is_idle());
}

/// Guards against streams that are joined by a row that is damaged or of another kind.
#[test]
fn a_row_that_names_no_version_is_invalid() {
    let now = Instant::now();
    let mut own = checkpoints(now);
    own.add(now, &record(1, "v1"));
    let whole = encode(&written(&mut own, now, 1));
    let without_origins =
        encode(&(1_000_u64, Vec::<StreamOrigin>::new(), vec![(1_u64, 0_u8, 9_u32)]));
    let row: CheckpointRow = decode(&without_origins).expect("its parts are there");
    assert!(row.records(1_000).is_err());
    for end in 0..whole.len() {
        let cut = decode::<CheckpointRow>(&whole[..end]);
        assert!(cut.is_err(), "{end} of {} bytes", whole.len());
    }
}
