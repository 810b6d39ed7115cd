//! All instances are killed at once and started again, with streams that callers resume afterwards: what the instances
//! held in memory is gone.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use cartvane::{configs::fleet::chunks::encode, gateway::GatewayHandle, routing::StoreVersion};
use standins::{caller::Answer, store::StoreMode};

use crate::{
    log_lines,
    stream_versions::{Versions, begin, refusal_of, resume},
    support::eventually,
    suspended::AdvancingClock,
    testbed::{call, settings},
};

/// Instances of each fleet.
const INSTANCES: usize = 4;

/// Instances of a fleet in which a few write the checkpoints of all.
const LARGE_FLEET: usize = 16;

/// Streams that break off before the restart.
const STREAMS: usize = 24;

/// Longer than the interval between two checkpoints.
const CHECKPOINTED: Duration = Duration::from_millis(250);

/// Servers of two versions in turn.
const TWO_VERSIONS: [&str; 6] = ["v1", "v2", "v1", "v2", "v1", "v2"];

/// What became of the streams that were resumed.
#[derive(Debug, Default, PartialEq, Eq)]
struct Resumed {
    went_on: usize,
    refused: usize,
}

/// Begins streams at all instances, which break off; returns their versions.
fn begin_all(fleet: &Versions) -> Vec<String> {
    (0..STREAMS).map(|n| begin(fleet, n % INSTANCES, &format!("b{n}"))).collect()
}

/// Stops all instances and starts as many of the same names.
fn restart_all(fleet: &mut Versions, first_start: bool) {
    fleet.instances.clear();
    (0..INSTANCES).for_each(|n| fleet.spawn_instance(&format!("i{n}"), first_start));
}

/// Removes the entries of the servers with this version.
fn unlist_version(fleet: &Versions, version: &str) {
    let of_version = (0..TWO_VERSIONS.len()).filter(|n| TWO_VERSIONS[*n] == version);
    of_version.for_each(|server| fleet.unlist(server));
}

/// Resumes the streams whose version is in `versions`, each of which must go on at its version or be refused as not run.
fn resume_all(fleet: &Versions, begun: &[String], versions: &[&str], round: &str) -> Resumed {
    let mut resumed = Resumed::default();
    for (n, version) in begun.iter().enumerate().filter(|(_, v)| versions.contains(&v.as_str())) {
        let (id, first) = (format!("t{round}-{n}"), format!("b{n}"));
        match resume(fleet, n % INSTANCES, &id, &first) {
            Ok(held) => {
                assert_eq!(held, [version.as_str()], "{first}");
                resumed.went_on += 1;
            }
            Err(answer) => {
                assert_eq!(refusal_of(fleet, &answer, &id), (503, true, 0), "{first}");
                resumed.refused += 1;
            }
        }
    }
    resumed
}

/// Resumes a stream without naming its first attempt.
fn resume_unnamed(fleet: &Versions, instance: usize, id: &str) -> Answer {
    let call = call("/stream-resumable/?marked=1", id).with("connection", "close");
    call.with("last-event-id", 3).send(fleet.instances[instance].callers())
}

fn assert_most_went_on(resumed: &Resumed) {
    let Resumed { went_on, refused } = *resumed;
    assert!(went_on > 0 && went_on >= 9 * refused, "{resumed:?}");
}

/// Returns a fleet with streams of both versions that have broken off, and their versions.
fn start_with_streams() -> (Versions, Vec<String>) {
    let fleet = Versions::start(&TWO_VERSIONS, INSTANCES);
    let begun = begin_all(&fleet);
    assert_eq!(begun.iter().collect::<BTreeSet<_>>().len(), 2, "{begun:?}");
    thread::sleep(CHECKPOINTED);
    (fleet, begun)
}

/// Guards against resumptions that are all refused after a restart of all instances, also after a second one.
#[test]
fn streams_of_two_versions_go_on_after_all_instances_restarted() {
    let (mut fleet, begun) = start_with_streams();
    for round in ["first", "second"] {
        restart_all(&mut fleet, false);
        assert_most_went_on(&resume_all(&fleet, &begun, &["v1", "v2"], round));
        let unnamed = resume_unnamed(&fleet, 0, round);
        assert_eq!(refusal_of(&fleet, &unnamed, round), (503, true, 0), "{}", unnamed.text());
    }
}

/// Guards against large fleets whose callers have events of streams that no checkpoint has: all streams begin at one
/// instance, and all instances are stopped without a pause.
#[test]
fn streams_of_a_large_fleet_that_have_just_begun_go_on_after_all_instances_restarted() {
    let mut fleet = Versions::start(&TWO_VERSIONS, LARGE_FLEET);
    let begun: Vec<String> = (0..STREAMS).map(|n| begin(&fleet, 0, &format!("b{n}"))).collect();
    fleet.instances.clear();
    (0..LARGE_FLEET).for_each(|n| fleet.spawn_instance(&format!("i{n}"), false));
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1", "v2"], "first"));
}

/// Guards against joins and refusals where the instances take the restart for their first start.
#[test]
fn streams_go_on_after_a_restart_that_counts_as_the_first_start() {
    let (mut fleet, begun) = start_with_streams();
    restart_all(&mut fleet, true);
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1", "v2"], "first"));
}

/// Guards against streams that go on at the version that is left.
#[test]
fn streams_whose_version_left_before_the_restart_are_refused() {
    let (mut fleet, begun) = start_with_streams();
    fleet.instances.clear();
    unlist_version(&fleet, "v1");
    restart_all(&mut fleet, false);
    assert_eq!(resume_all(&fleet, &begun, &["v1"], "left").went_on, 0);
    assert_most_went_on(&resume_all(&fleet, &begun, &["v2"], "kept"));
}

/// Guards against joins while a version leaves just after the restart.
#[test]
fn streams_keep_their_version_while_it_leaves_after_the_restart() {
    let (mut fleet, begun) = start_with_streams();
    restart_all(&mut fleet, false);
    fleet.unlist(0);
    fleet.unlist(2);
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1", "v2"], "leaving"));
    fleet.unlist(4);
    resume_all(&fleet, &begun, &["v1"], "left");
    assert_most_went_on(&resume_all(&fleet, &begun, &["v2"], "kept"));
}

/// Guards against joins while the store is away as the instances come back, and against refusals after it is back.
#[test]
fn streams_go_on_once_the_store_is_back_after_the_restart() {
    for mode in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        let (mut fleet, begun) = start_with_streams();
        restart_all(&mut fleet, false);
        fleet.store.set_mode(mode);
        let away = resume_all(&fleet, &begun[..INSTANCES], &["v1", "v2"], "away");
        assert_eq!(away.went_on, 0, "{mode:?}");
        fleet.store.set_mode(StoreMode::Up);
        eventually("a stream goes on", || resume(&fleet, 0, "probe", "b0").is_ok());
        thread::sleep(Duration::from_secs(1));
        assert_most_went_on(&resume_all(&fleet, &begun, &["v1", "v2"], "back"));
    }
}

/// Guards against callers that wait for reads of several tables, and one after another, at a store that does not reply.
#[test]
fn resumptions_are_refused_soon_while_the_store_is_silent() {
    const CALLERS: usize = 4;
    let fleet = Versions::start(&["v1"; 4], INSTANCES);
    let begun = begin_all(&fleet);
    fleet.store.set_mode(StoreMode::Silent);
    let began = Instant::now();
    for (caller, version) in begun.iter().enumerate().take(CALLERS) {
        let id = format!("silent-{caller}");
        let answer = resume(&fleet, 0, &id, &format!("b{caller}")).expect_err(version);
        assert_eq!(refusal_of(&fleet, &answer, &id), (503, true, 0));
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

/// Guards against refusals after a restart where there was one version all the time, named attempts or not.
#[test]
fn streams_of_the_only_version_go_on_after_all_instances_restarted() {
    let mut fleet = Versions::start(&["v1"; 4], INSTANCES);
    let begun = begin_all(&fleet);
    restart_all(&mut fleet, false);
    let resumed = resume_all(&fleet, &begun, &["v1"], "first");
    assert_eq!(resumed, Resumed { went_on: STREAMS, refused: 0 });
    for instance in 0..INSTANCES {
        let answer = resume_unnamed(&fleet, instance, &format!("unnamed-{instance}"));
        assert!(answer.status == 200 && answer.whole, "{} {}", answer.status, answer.text());
    }
}

/// The table of checkpoints.
const TABLE: &str = "cartvane-streams";

/// Returns the number of changes that the table of checkpoints has ever had.
fn table_changes(fleet: &Versions) -> usize {
    let store = &fleet.instances[0].gateway().store;
    let changes = store.changes(TABLE, StoreVersion::default(), Duration::ZERO);
    changes.expect("the store replies").rows.len()
}

/// Guards against calls to the store for streams on days with one version, after a restart as well.
#[test]
fn no_checkpoint_is_written_or_read_while_there_is_one_version() {
    let mut fleet = Versions::start(&["v1"; 4], INSTANCES);
    begin_all(&fleet);
    restart_all(&mut fleet, false);
    (0..INSTANCES).for_each(|n| drop(begin(&fleet, n, &format!("c{n}"))));
    thread::sleep(CHECKPOINTED);
    assert_eq!(fleet.store.row_bytes(TABLE), 0, "no read");
    assert_eq!(table_changes(&fleet), 0);
}

/// Returns a row that was written at 1 ms on the store's clock, with one record of 1 ms.
fn expired_row() -> Vec<u8> {
    encode(&(1_u64, vec![(7_u32, None::<String>)], vec![(1_u64, 0_u8, 1_u32)]))
}

/// Guards against rows that stay in the store after the second version has left, also of instances that were killed.
#[test]
fn no_row_is_left_once_one_version_is_left() {
    let mut fleet = Versions::start(&TWO_VERSIONS, 0);
    let advancing = AdvancingClock::new();
    let settings = settings("i0", fleet.store.address(), Vec::new());
    fleet.instances.push(GatewayHandle::spawn(settings, &advancing.clock).expect("an instance"));
    eventually("the instance is ready", || fleet.instances[0].gateway().is_ready());
    begin(&fleet, 0, "b");
    eventually("a row is written", || fleet.store.keys(TABLE).len() == 1);
    fleet.store.put_raw(TABLE, "killed/1", expired_row());
    unlist_version(&fleet, "v1");
    let listed =
        || fleet.instances[0].gateway().cluster_state.with_servers(|r| r.servers().count());
    eventually("the version has left", || listed() == 3);
    let mut advanced_at = None;
    eventually("the rows are removed", || {
        // The instance may note the list only after its clock was advanced.
        if advanced_at.is_none_or(|at: Instant| at.elapsed() > Duration::from_secs(3)) {
            advancing.advance(Duration::from_secs(45));
            advanced_at = Some(Instant::now());
        }
        fleet.store.keys(TABLE).is_empty()
    });
}

/// Guards against rows that stay after their streams, and against reads that end at a row that cannot be decoded.
#[test]
fn expired_rows_are_removed_and_undecodable_ones_skipped() {
    let (mut fleet, begun) = start_with_streams();
    assert_eq!(fleet.store.keys(TABLE).len(), INSTANCES);
    (0..60).for_each(|n| fleet.store.put_raw(TABLE, &format!("expired/{n}"), expired_row()));
    fleet.store.put_raw(TABLE, "a/damaged", b"{]".to_vec());
    fleet.store.put_raw(TABLE, "z/empty", Vec::new());
    restart_all(&mut fleet, false);
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1", "v2"], "first"));
    eventually("the expired rows are removed", || {
        // Each read finds a part of them.
        resume(&fleet, 0, "unknown", "made-up").expect_err("nobody knows it");
        !fleet.store.keys(TABLE).iter().any(|key| key.starts_with("expired"))
    });
    let kept = fleet.store.keys(TABLE);
    assert!(kept.contains(&"a/damaged".to_owned()) && kept.contains(&"z/empty".to_owned()));
    let lines = log_lines::matching(&["event=row_skipped key=a/damaged"]);
    let count = lines.lines().filter(|line| !line.is_empty()).count();
    assert!((1..=INSTANCES).contains(&count), "one line of each instance: {lines}");
}

/// Guards against streams that go on at the version in a copy of the store: the copy is older than the second version, and
/// after a restart no instance uses a server that the copy lacks.
#[test]
fn streams_of_a_version_that_the_restored_store_lacks_do_not_go_on_at_another_one() {
    let mut fleet = Versions::start(&["v1"; 3], INSTANCES);
    let copy = fleet.store.copy();
    (0..3).for_each(|_| fleet.add_server("v2"));
    (3..6).for_each(|server| fleet.list(server));
    eventually("streams begin at the second version", || begin(&fleet, 0, "probe") == "v2");
    let begun = begin_all(&fleet);
    assert!(begun.contains(&"v2".to_owned()), "{begun:?}");
    thread::sleep(CHECKPOINTED);
    fleet.instances.clear();
    fleet.store.come_back(copy);
    (0..INSTANCES).for_each(|n| fleet.spawn_instance(&format!("i{n}"), false));
    // Each must be refused until its version is listed again.
    resume_all(&fleet, &begun, &["v2"], "restored");
}

/// Guards against refusals after a restore that instances live through, who know that there is one version.
#[test]
fn streams_of_the_only_version_go_on_after_the_store_was_restored() {
    let mut fleet = Versions::start(&["v1"; 4], INSTANCES);
    let begun = begin_all(&fleet);
    fleet.store.come_back(fleet.store.copy());
    thread::sleep(Duration::from_secs(2));
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1"], "restored"));
    restart_all(&mut fleet, false);
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1"], "restarted"));
}

/// Guards against refusals on a day with one version, as the store is slow and replies to every call.
#[test]
fn streams_of_the_only_version_go_on_while_the_store_is_slow() {
    let fleet = Versions::start(&["v1"; 4], INSTANCES);
    let begun = begin_all(&fleet);
    fleet.store.set_mode(StoreMode::Slow(600));
    thread::sleep(Duration::from_secs(1));
    assert_most_went_on(&resume_all(&fleet, &begun, &["v1"], "slow"));
}

/// Guards against a version that is used unregistered, as its servers appear while the store is slow.
#[test]
fn a_version_that_appears_while_the_store_is_slow_is_registered_before_it_is_used() {
    let mut fleet = Versions::start(&["v1"], INSTANCES);
    fleet.store.set_mode(StoreMode::Slow(600));
    fleet.add_server("v-slow");
    fleet.list(1);
    eventually("streams begin at the second version", || begin(&fleet, 0, "probe") == "v-slow");
    let lines = log_lines::matching(&["software=v-slow"]);
    assert!(lines.contains("event=version_registered"), "{lines}");
}

/// Guards against callers that wait for reads of several tables, one after another, at a store that does not reply.
#[test]
fn a_resumption_is_refused_within_a_second_while_the_store_is_silent() {
    let fleet = Versions::start(&["v1"; 4], INSTANCES);
    let begun = begin_all(&fleet);
    fleet.store.set_mode(StoreMode::Silent);
    let began = Instant::now();
    resume_all(&fleet, &begun[..1], &["v1"], "silent");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}
