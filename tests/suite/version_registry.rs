//! The registry of software versions: whichever instances read the list, write and maintain the registry, and however old
//! their lists are, a stream that callers still resume has its version in it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use cartvane::{
    adapter::intent::decode,
    names::{ServiceName, SoftwareVersion},
    routing::{
        Comparison, ListedVersions, RegisteredVersions, RegistryEra, RegistryMaintenance,
        RouteTable, SightedVersion, StoreEra, StreamRetention, UsedOrigins, VersionRegistry,
        VersionSightings,
        list_reads::{ListReads, ReadSpan},
        stream_retention::{RETENTION_MAX, RETENTION_MIN},
        version_registry::ServiceVersion,
    },
};
use fastrand::Rng;

use crate::{
    moved_streams::split_intent,
    support::{cases, seed},
};

fn service() -> ServiceName {
    "llm".parse().expect("a name")
}

fn version(number: usize) -> Option<SoftwareVersion> {
    Some(format!("v{number}").parse().expect("a version"))
}

fn listed(versions: impl IntoIterator<Item = usize>) -> ListedVersions {
    versions.into_iter().map(|number| (service(), version(number))).collect()
}

fn registered(registry: &VersionRegistry) -> BTreeSet<ServiceVersion> {
    registry.all().collect()
}

/// Guards against a version that is dropped while callers may still resume its streams, and one that stays for ever.
#[test]
fn a_version_stays_registered_for_a_while_after_it_has_left() {
    let retention_ms = RETENTION_MIN.as_millis() as u64;
    let one = |number| RegisteredVersions::One(version(number));
    let maintained = |registry: &VersionRegistry, now_ms, versions: &[usize]| {
        registry.maintained(now_ms, &listed(versions.iter().copied()), RETENTION_MIN, |_| true)
    };
    let first = VersionRegistry::default().with_listed(&listed([1])).expect("a change");
    assert_eq!(first.with_listed(&listed([1])), None, "nothing is written twice");
    assert_eq!(first.versions(&service()), one(1));
    let both = first.with_listed(&listed([2])).expect("a change");
    assert_eq!(both.versions(&service()), RegisteredVersions::Several);
    assert_eq!(maintained(&both, 1_000, &[1, 2]), None);
    let left = maintained(&both, 1_000, &[2]).expect("a change");
    assert_eq!(maintained(&left, 1_000 + retention_ms - 1, &[2]), None);
    assert_eq!(left.versions(&service()), RegisteredVersions::Several);
    let has_expired = |at_ms| left.has_expired(at_ms, RETENTION_MIN);
    assert!(!has_expired(1_000 + retention_ms - 1) && has_expired(1_000 + retention_ms));
    let back = left.with_listed(&listed([1])).expect("a version that is back is listed");
    assert_eq!(maintained(&back, 2_000 + retention_ms, &[1, 2]), None);
    let dropped = maintained(&left, 1_000 + retention_ms, &[2]).expect("a change");
    assert_eq!(dropped.versions(&service()), one(2));
    assert!(!dropped.has_unlisted());
    let earlier = maintained(&left, 0, &[2]).expect("a mark of a later time is moved");
    assert_eq!(
        maintained(&earlier, retention_ms, &[2]).map(|r| r.versions(&service())),
        Some(one(2))
    );
}

/// Guards against a mark of an earlier absence, by which a version is dropped as soon as it leaves again.
#[test]
fn a_version_is_dropped_only_once_its_absence_was_seen_for_long_enough() {
    let both = VersionRegistry::default().with_listed(&listed([1, 2])).expect("a change");
    let left = both.maintained(0, &listed([2]), RETENTION_MIN, |_| false).expect("a change");
    assert_eq!(left.maintained(1_000_000, &listed([2]), RETENTION_MIN, |_| false), None);
}

/// A service at which nothing is registered is unknown, and has not one version.
#[test]
fn an_empty_registry_vouches_for_no_version() {
    let empty = VersionRegistry::default();
    assert_eq!(empty.versions(&service()), RegisteredVersions::Several);
}

/// Longest times for which a caller resumes a stream after it began, on two routes.
const SHORT_WAIT_MS: u64 = 15_000;
const LONG_WAIT_MS: u64 = 100_000;

/// Age of a list up to which instances use it, and take its versions for registered.
const LIST_AGE_MAX_MS: u64 = 10_000;

/// Longest time between the start of a write and its effect.
const WRITE_DELAY_MAX_MS: u64 = 10_000;

const STEP_MS: u64 = 200;

/// Time without a list that counts as a gap; lists are read less often here than by instances.
const GAP_MIN_MS: u64 = 8_000;

/// Longest time for which an instance is suspended.
const ABSENCE_MAX_MS: u64 = 60_000;

/// Time after the last change in which the registry has to become what is in use.
const SETTLING_STEPS: usize = 1_000;

/// An instance: the versions of its list, when this was read, and since when others are not listed.
#[derive(Default)]
struct Instance {
    list: ListedVersions,
    read_at_ms: u64,
    unlisted_since: BTreeMap<ServiceVersion, u64>,
    /// Since when it has received lists without a gap.
    followed_since_ms: u64,
    /// Until when it is suspended.
    away_until_ms: u64,
}

/// A conditional write that is under way: the store may carry it out long after its instance has given it up.
struct Write {
    instance: usize,
    /// The row that it is based on.
    row: u64,
    registry: VersionRegistry,
    /// The list that the instance uses once it knows that the write was carried out.
    list: Option<ListedVersions>,
    begun_ms: u64,
    is_given_up: bool,
}

/// The store's row, what servers list, and the streams that instances have begun.
struct Model {
    rng: Rng,
    now_ms: u64,
    servers: ListedVersions,
    row: u64,
    registry: VersionRegistry,
    instances: Vec<Instance>,
    writes: Vec<Write>,
    streams: Vec<(u64, ServiceVersion)>,
    /// How long callers resume their streams, and how long versions stay registered for them.
    wait_ms: u64,
    retention: Duration,
    /// Whether versions change, and instances restart or are suspended.
    is_disturbed: bool,
}

impl Instance {
    /// Applies a list that was read at `read_at_ms`.
    fn apply(&mut self, list: ListedVersions, read_at_ms: u64, now_ms: u64) {
        for version in self.list.difference(&list) {
            self.unlisted_since.insert(version.clone(), now_ms);
        }
        self.unlisted_since.retain(|version, _| !list.contains(version));
        if self.list.is_empty() || read_at_ms > self.read_at_ms + GAP_MIN_MS {
            self.followed_since_ms = read_at_ms;
        }
        (self.list, self.read_at_ms) = (list, read_at_ms);
    }

    fn has_left(&self, version: &ServiceVersion, now_ms: u64, retention: Duration) -> bool {
        let retention_ms = retention.as_millis() as u64;
        let followed_since = self.followed_since_ms;
        let unlisted_since = self.unlisted_since.get(version);
        unlisted_since.is_some_and(|since| now_ms - followed_since.max(*since) >= retention_ms)
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        !self.list.is_empty() && now_ms - self.read_at_ms <= LIST_AGE_MAX_MS
    }
}

impl Model {
    fn new(rng: Rng, wait_ms: u64) -> Model {
        let now = Instant::now();
        let mut retention = StreamRetention::default();
        retention.note_routes(now, &routes(wait_ms));
        Model {
            rng,
            now_ms: 0,
            servers: listed([0]),
            row: 0,
            registry: VersionRegistry::default(),
            instances: (0..4).map(|_| Instance::default()).collect(),
            writes: Vec::new(),
            streams: Vec::new(),
            wait_ms,
            retention: retention.registered(now),
            is_disturbed: true,
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.is_disturbed && self.rng.u8(..60) == 0 {
            let versions = (0..3).filter(|_| self.rng.bool()).collect::<Vec<usize>>();
            self.servers = listed(if versions.is_empty() { vec![0] } else { versions });
        }
        self.carry_out_writes();
        for number in 0..self.instances.len() {
            if self.now_ms < self.instances[number].away_until_ms {
                continue;
            }
            match self.rng.u16(..1_000) {
                0..200 => self.read_list(number),
                200..400 => self.maintain(number),
                400..410 if self.is_disturbed => self.restart(number),
                410..413 if self.is_disturbed => {
                    let absence_ms = self.rng.u64(..ABSENCE_MAX_MS);
                    self.instances[number].away_until_ms = self.now_ms + absence_ms;
                }
                _ => {}
            }
            self.begin_stream(number);
        }
        self.check();
    }

    /// Reads the list, and registers versions that are new in it before it is used.
    fn read_list(&mut self, number: usize) {
        self.give_up_writes(number);
        let instance = &mut self.instances[number];
        let new: ListedVersions = match instance.is_recent(self.now_ms) {
            true => self.servers.difference(&instance.list).cloned().collect(),
            false => self.servers.clone(),
        };
        let list = self.servers.clone();
        match self.registry.with_listed(&new) {
            Some(registry) => self.write(number, registry, Some(list)),
            None => instance.apply(list, self.now_ms, self.now_ms),
        }
    }

    /// Maintains the registry by the list in use.
    fn maintain(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        if !instance.is_recent(self.now_ms) {
            return;
        }
        for version in registered(&self.registry) {
            if !instance.list.contains(&version) {
                instance.unlisted_since.entry(version).or_insert(self.now_ms);
            }
        }
        let (now_ms, retention) = (self.now_ms, self.retention);
        let has_left = |version: &ServiceVersion| instance.has_left(version, now_ms, retention);
        let maintained = self.registry.maintained(now_ms, &instance.list, retention, has_left);
        if let Some(registry) = maintained {
            self.write(number, registry, None);
        }
    }

    /// Checks that the registry has only what is in use a while after the last change.
    fn settle(&mut self) {
        self.is_disturbed = false;
        (0..SETTLING_STEPS + 2 * self.retention.as_secs() as usize * 5).for_each(|_| self.step());
        assert_eq!(registered(&self.registry), self.servers.iter().cloned().collect());
    }

    fn restart(&mut self, number: usize) {
        self.give_up_writes(number);
        self.instances[number] = Instance::default();
    }

    fn write(&mut self, instance: usize, registry: VersionRegistry, list: Option<ListedVersions>) {
        let (row, begun_ms) = (self.row, self.now_ms);
        let is_given_up = false;
        self.writes.push(Write { instance, row, registry, list, begun_ms, is_given_up });
    }

    fn give_up_writes(&mut self, number: usize) {
        let own = self.writes.iter_mut().filter(|write| write.instance == number);
        own.for_each(|write| write.is_given_up = true);
    }

    /// Has the store carry out some writes, if the row is still the one that they are based on.
    fn carry_out_writes(&mut self) {
        for write in std::mem::take(&mut self.writes) {
            if self.now_ms - write.begun_ms > WRITE_DELAY_MAX_MS {
                continue;
            }
            if self.rng.u8(..4) > 0 {
                self.writes.push(write);
            } else if write.row == self.row {
                self.row += 1;
                self.registry = write.registry;
                if let Some(list) = write.list.filter(|_| !write.is_given_up) {
                    self.instances[write.instance].apply(list, write.begun_ms, self.now_ms);
                }
            }
        }
    }

    fn begin_stream(&mut self, number: usize) {
        let instance = &self.instances[number];
        let is_recent = instance.is_recent(self.now_ms);
        let version = self.rng.choice(&instance.list).cloned();
        self.streams.extend(version.filter(|_| is_recent).map(|version| (self.now_ms, version)));
    }

    /// Checks that the version of each stream that may be resumed now is registered.
    fn check(&mut self) {
        let since = self.now_ms.saturating_sub(self.wait_ms);
        self.streams.retain(|(began, _)| *began >= since);
        let known = registered(&self.registry);
        for (began, version) in &self.streams {
            assert!(known.contains(version), "{version:?} of {began} at {}", self.now_ms);
        }
    }
}

/// Guards against a version of a running stream that no resumption finds in the registry: by a writer with an old list,
/// two writers at once, writes that the store carries out late, restarts, suspensions, and versions that leave
/// and come back; and a registry that does not return to what is in use.
#[test]
fn the_version_of_each_stream_is_registered_whoever_writes() {
    for case in 0..cases(40) {
        let mut model = Model::new(Rng::with_seed(seed(79_000 + case)), SHORT_WAIT_MS);
        (0..2_000).for_each(|_| model.step());
        model.settle();
    }
}

/// Guards against a version that is dropped while callers of a route with a long timeout may still resume its streams.
#[test]
fn the_version_of_each_stream_stays_registered_while_its_caller_may_resume_it() {
    for case in 0..cases(4) {
        let mut model = Model::new(Rng::with_seed(seed(79_500 + case)), LONG_WAIT_MS);
        (0..2_000).for_each(|_| model.step());
        model.settle();
    }
}

/// Returns one resumable route with this timeout.
fn routes(timeout_ms: u64) -> RouteTable {
    let mut intent = split_intent(5, &[("app", 1)]);
    intent["routes"][0]["timeout_ms"] = timeout_ms.into();
    decode(intent.to_string().as_bytes()).expect("an intent").routes
}

/// Guards against a version that is out of sight, so that its streams are not recorded, or a time without a bound: with
/// long and endless timeouts, and after an intent with shorter ones.
#[test]
fn versions_and_shares_are_kept_for_as_long_as_callers_of_the_routes_wait() {
    let (start, secs) = (Instant::now(), Duration::from_secs);
    let registered = |routes_by_time: &[(u64, u64)], at: u64| {
        let mut retention = StreamRetention::default();
        for (since, timeout_ms) in routes_by_time {
            retention.note_routes(start + secs(*since), &routes(*timeout_ms));
        }
        retention.registered(start + secs(at))
    };
    assert_eq!(registered(&[], 0), RETENTION_MAX, "nothing is dropped before an intent is known");
    assert_eq!(registered(&[(0, 20_000)], 0), RETENTION_MIN);
    assert!(registered(&[(0, LONG_WAIT_MS)], 0) > Duration::from_millis(LONG_WAIT_MS));
    assert_eq!(registered(&[(0, u64::MAX)], 0), RETENTION_MAX);
    let shortened = [(0, LONG_WAIT_MS), (10, 15_000), (20, 10_000)];
    assert!(registered(&shortened, 100) > Duration::from_millis(LONG_WAIT_MS));
    assert_eq!(registered(&shortened, 300), RETENTION_MIN);
    let mut sightings = VersionSightings::new(None);
    sightings.note_routes(start, &routes(LONG_WAIT_MS));
    let sighted = |number| SightedVersion { service: service(), version: version(number) };
    sightings.note_listed_elsewhere(start, vec![sighted(1), sighted(2)]);
    assert!(sightings.has_several(start + secs(105), &service()));
    assert!(!sightings.has_several(start + secs(200), &service()));
}

/// Guards against a restored copy that counts although it may lack versions, and a registry that never counts again.
#[test]
fn a_restored_registry_counts_once_it_is_complete_or_its_streams_have_expired() {
    let secs = Duration::from_secs;
    let (first, later) = (StoreEra::default(), StoreEra(2));
    let none = RegistryEra::default();
    assert!(none.covers(first, 0, secs(30)) && none.after_write(first, 0, true).is_none());
    assert!(!none.covers(later, 90_000, secs(30)), "nobody has written it in this era");
    let begun = none.after_write(later, 5_000, false).expect("a change");
    assert!(!begun.covers(later, 34_999, secs(30)) && begun.covers(later, 35_000, secs(30)));
    assert_eq!(begun.after_write(later, 9_000, false), None);
    let complete = begun.after_write(later, 9_000, true).expect("a change");
    assert!(complete.covers(later, 9_000, secs(30)));
    assert_eq!(complete.after_write(later, 10_000, false), None);
    assert!(!complete.covers(StoreEra(3), 90_000, secs(30)), "a copy has the row of its era");
}

/// Guards against a registry that stays at several versions with one in use: a registration that the store carries out after
/// the reader has compared, and a reader that does so for ever.
#[test]
fn the_registry_is_compared_again_after_each_change_and_until_nothing_is_unlisted() {
    let (start, secs) = (Instant::now(), Duration::from_secs);
    let used = |number| UsedOrigins { versions: listed([number]), ..UsedOrigins::default() };
    let mut maintenance = RegistryMaintenance::default();
    let mut compared = |at, number, has_changed, has_unlisted, is_reader| {
        let (now, known) = (start + secs(at), (None, number as u64));
        let is_due = maintenance.begin(now, known, || used(number), is_reader);
        if is_due {
            let comparison = Comparison { has_changed, has_unlisted };
            maintenance.note_compared(now, comparison, used(number), RETENTION_MIN);
        }
        is_due
    };
    assert!(compared(0, 1, true, false, true));
    assert!(!compared(29, 1, false, false, true));
    assert!(compared(30, 1, false, false, true), "a late registration is found");
    assert!(!compared(10_000, 1, false, false, true), "a calm day costs nothing");
    assert!(compared(10_001, 2, true, true, true), "a version has left");
    assert!(!compared(10_010, 2, false, true, true));
    assert!(compared(10_011, 2, true, false, true), "it was dropped");
    assert!(compared(10_041, 2, true, true, true), "a late registration is marked");
    assert!(!compared(10_060, 2, false, true, false), "not by other instances");
    maintenance.request();
    let mut requested = |at, has_unlisted| {
        let now = start + secs(at);
        let is_due = maintenance.begin(now, (None, 2), || used(2), false);
        if is_due {
            let comparison = Comparison { has_changed: false, has_unlisted };
            maintenance.note_compared(now, comparison, used(2), RETENTION_MIN);
        }
        is_due
    };
    assert!(requested(10_070, true) && requested(10_080, true) && requested(10_090, false));
    assert!(!requested(10_100, false));
}

/// Guards against a mark that outlives the absence it was made in, and an instance that was away while the version served:
/// together they drop it as soon as it leaves.
#[test]
fn a_mark_of_an_instance_that_was_away_does_not_drop_a_version_that_has_just_left() {
    let start = Instant::now();
    let both = VersionRegistry::default().with_listed(&listed([1, 2])).expect("a change");
    // An instance whose list is a moment old reads that version 2 is registered, marks it and stands still.
    let mut away = VersionSightings::new(None);
    away.note_routes(start, &routes(SHORT_WAIT_MS));
    away.note_registered(start, &both, true);
    let marked = both.maintained(0, &listed([1]), RETENTION_MIN, |_| false).expect("a mark");
    // The reader has compared the registry before. At 40 s version 2 leaves, and it compares again.
    let registry =
        marked.maintained(40_000, &listed([1]), RETENTION_MIN, |_| false).unwrap_or(marked);
    let now = start + Duration::from_secs(41);
    let mut reads = ListReads::default();
    assert!(reads.note_list(start) && reads.note_list(now));
    // Another instance has received lists all the time.
    let (failed_before, failed_after) = (false, false);
    reads.note_other(ReadSpan { since: start, until: now, failed_before, failed_after });
    let since = reads.followed_since().expect("a list");
    away.note_list(now, [].iter());
    away.note_registered(now, &registry, true);
    let has_left = |left: &ServiceVersion| away.has_left(now, since, left);
    let dropped = registry.maintained(41_000, &listed([1]), RETENTION_MIN, has_left);
    assert_eq!(dropped, None, "streams that it began a second ago may be resumed");
    away.note_registered(start + Duration::from_secs(60), &registry, true);
    let gone = (service(), version(2));
    assert!(away.has_left(start + Duration::from_secs(95), since, &gone), "it is dropped later");
}
