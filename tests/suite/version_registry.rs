//! The registry of software versions: whichever instances read the list, write and maintain the registry, and however old
//! their lists are, a stream that callers still resume has its version in it.

use std::collections::{BTreeMap, BTreeSet};

use cartvane::{
    names::{ServiceName, SoftwareVersion},
    routing::{
        ListedVersions, RegisteredVersions, VersionRegistry,
        version_registry::{ServiceVersion, VERSION_RETENTION},
    },
};
use fastrand::Rng;

use crate::support::{cases, seed};

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
    let retention_ms = VERSION_RETENTION.as_millis() as u64;
    let one = |number| RegisteredVersions::One(version(number));
    let maintained = |registry: &VersionRegistry, now_ms, versions: &[usize]| {
        registry.maintained(now_ms, &listed(versions.iter().copied()), |_| true)
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
    let left = both.maintained(0, &listed([2]), |_| false).expect("a change");
    assert_eq!(left.maintained(1_000_000, &listed([2]), |_| false), None);
}

/// A service at which nothing is registered is unknown, and has not one version.
#[test]
fn an_empty_registry_vouches_for_no_version() {
    let empty = VersionRegistry::default();
    assert_eq!(empty.versions(&service()), RegisteredVersions::Several);
}

/// Longest time for which a caller resumes a stream after it began.
const RESUMED_MAX_MS: u64 = 15_000;

/// Age of a list up to which instances use it, and take its versions for registered.
const LIST_AGE_MAX_MS: u64 = 10_000;

/// Longest time between the start of a write and its effect.
const WRITE_DELAY_MAX_MS: u64 = 10_000;

const STEP_MS: u64 = 200;

/// An instance: the versions of its list, when this was read, and since when others are not listed.
#[derive(Default)]
struct Instance {
    list: ListedVersions,
    read_at_ms: u64,
    unlisted_since: BTreeMap<ServiceVersion, u64>,
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
}

impl Instance {
    /// Applies a list that was read at `read_at_ms`.
    fn apply(&mut self, list: ListedVersions, read_at_ms: u64, now_ms: u64) {
        for version in self.list.difference(&list) {
            self.unlisted_since.insert(version.clone(), now_ms);
        }
        self.unlisted_since.retain(|version, _| !list.contains(version));
        (self.list, self.read_at_ms) = (list, read_at_ms);
    }

    fn has_left(&self, version: &ServiceVersion, now_ms: u64) -> bool {
        let retention_ms = VERSION_RETENTION.as_millis() as u64;
        self.unlisted_since.get(version).is_some_and(|since| now_ms - since >= retention_ms)
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        !self.list.is_empty() && now_ms - self.read_at_ms <= LIST_AGE_MAX_MS
    }
}

impl Model {
    fn new(rng: Rng) -> Model {
        Model {
            rng,
            now_ms: 0,
            servers: listed([0]),
            row: 0,
            registry: VersionRegistry::default(),
            instances: (0..4).map(|_| Instance::default()).collect(),
            writes: Vec::new(),
            streams: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.rng.u8(..60) == 0 {
            let versions = (0..3).filter(|_| self.rng.bool()).collect::<Vec<usize>>();
            self.servers = listed(if versions.is_empty() { vec![0] } else { versions });
        }
        self.carry_out_writes();
        for number in 0..self.instances.len() {
            match self.rng.u8(..100) {
                0..20 => self.read_list(number),
                20..40 => self.maintain(number),
                40 => self.restart(number),
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
        let has_left = |version: &ServiceVersion| instance.has_left(version, self.now_ms);
        if let Some(registry) = self.registry.maintained(self.now_ms, &instance.list, has_left) {
            self.write(number, registry, None);
        }
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
        let since = self.now_ms.saturating_sub(RESUMED_MAX_MS);
        self.streams.retain(|(began, _)| *began >= since);
        let known = registered(&self.registry);
        for (began, version) in &self.streams {
            assert!(known.contains(version), "{version:?} of {began} at {}", self.now_ms);
        }
    }
}

/// Guards against a version of a running stream that no resumption finds in the registry: by a writer with an old list,
/// two writers at once, writes that the store carries out late, restarts, and versions that leave and come back.
#[test]
fn the_version_of_each_stream_is_registered_whoever_writes() {
    for case in 0..cases(40) {
        let mut model = Model::new(Rng::with_seed(seed(79_000 + case)));
        (0..2_000).for_each(|_| model.step());
    }
}
