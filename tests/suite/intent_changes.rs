//! Changes of the intent: their contents, their encoding, and their relay to all instances.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cartvane::{
    names::ServiceName,
    routing::{
        CallerLimits, ColdTerms, HomeRegions, InstanceInfo, Intent, IntentChange,
        IntentChangeError, IntentHistory, PackedChange, Route, RouteKind, RouteTable, ServiceShare,
        ServiceSpec, Team, Teams, fanout,
    },
    units::Rate,
};
use proptest::{prelude::*, test_runner::RngSeed};

fn name(text: &str) -> ServiceName {
    text.parse().expect("a name")
}

fn route(number: u8, service: u8) -> Route {
    Route {
        name: format!("r-{number}"),
        host: format!("Host{}.example", number % 3),
        prefix: format!("/p{number}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_millis(3000 + u64::from(service)),
        target_latency: Duration::from_millis(300),
        gap_target: None,
        priority: 1,
        shares: vec![ServiceShare { service: name(&format!("s{service}")), weight: 1.0 }],
        max_attempts: 2,
        public: number.is_multiple_of(2),
        affinity: false,
        homes: homes(service),
    }
}

/// Random contents of an intent: routes with their services, keys with their teams, and the rest.
#[derive(Debug, Clone)]
struct Contents {
    routes: BTreeMap<u8, u8>,
    keys: BTreeMap<u8, u8>,
    services: BTreeSet<u8>,
    head_bytes: usize,
    needs_key: bool,
}

fn contents() -> impl Strategy<Value = Contents> {
    let routes = prop::collection::btree_map(0..12u8, 0..3u8, 0..12);
    let keys = prop::collection::btree_map(0..8u8, 0..3u8, 0..8);
    let services = prop::collection::btree_set(0..4u8, 0..4);
    (routes, keys, services, 1..5usize, any::<bool>()).prop_map(
        |(routes, keys, services, head_bytes, needs_key)| Contents {
            routes,
            keys: if needs_key { keys } else { BTreeMap::new() },
            services,
            head_bytes,
            needs_key,
        },
    )
}

/// Even numbers have home regions, odd ones none.
fn homes(number: u8) -> HomeRegions {
    let region = |number: u8| format!("r{number}").parse().expect("a name");
    HomeRegions::from_list((number.is_multiple_of(2)).then(|| region(number)))
}

fn build(version: u64, contents: &Contents) -> Intent {
    let team = |number: &u8| Team {
        name: format!("team-{number}").parse().expect("a name"),
        priority: (*number > 0).then_some(*number),
        homes: homes(*number),
    };
    let keys = contents.keys.iter().map(|(key, holder)| (team(holder), vec![format!("key-{key}")]));
    let spec = |number: &u8| ServiceSpec {
        max_connections: 10,
        engine: *number > 1,
        cold: (*number > 2)
            .then_some(ColdTerms { duration: Duration::from_secs(3), rate: Rate(2.5) }),
    };
    Intent {
        version,
        routes: RouteTable::new(contents.routes.iter().map(|(&number, &s)| route(number, s))),
        services: contents.services.iter().map(|n| (name(&format!("s{n}")), spec(n))).collect(),
        limits: CallerLimits {
            head_bytes: contents.head_bytes,
            body_bytes: 1,
            head_time: Duration::from_secs(1),
            idle_time: Duration::from_millis(2),
        },
        teams: Teams::new(contents.needs_key.then(|| keys.collect())),
    }
}

fn packed(old: &Intent, new: &Intent) -> Arc<PackedChange> {
    Arc::new(PackedChange::pack(&IntentChange::between(old, new)))
}

/// Applies changes in order.
fn apply(intent: &Intent, changes: &[Arc<PackedChange>]) -> Intent {
    changes.iter().fold(intent.clone(), |intent, change| {
        change.unpack().expect("it was packed").apply(&intent).expect("it is of this version")
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn changes_turn_any_earlier_version_into_the_newest(all in prop::collection::vec(contents(), 2..9)) {
        let versions: Vec<Intent> =
            all.iter().enumerate().map(|(i, contents)| build(3 * i as u64 + 1, contents)).collect();
        let newest = versions.last().expect("one");
        let mut history = IntentHistory::default();
        for pair in versions.windows(2) {
            history.push(packed(&pair[0], &pair[1]));
        }
        for known in versions.iter().chain([&Intent::empty()]) {
            let changes = history.since(known.version, newest);
            prop_assert_eq!(&apply(known, &changes), newest, "from version {}", known.version);
        }
        // An instance with a version that the history does not contain receives the whole newest intent.
        let unknown = build(2, &all[0]);
        prop_assert_eq!(&apply(&unknown, &history.since(2, newest)), newest);
    }

    #[test]
    fn an_update_reaches_each_responsive_instance_exactly_once(
        zones in prop::collection::vec(0..60usize, 1..7),
        seed in any::<u64>(),
        unresponsive_share in 0.0..0.6f64,
    ) {
        let instances = fleet(&zones);
        let mut rng = fastrand::Rng::with_seed(seed);
        let unresponsive: BTreeSet<SocketAddr> =
            instances.iter().map(|i| i.address).filter(|_| rng.f64() < unresponsive_share).collect();
        let mut reached = BTreeMap::new();
        for group in fanout::split_by_zone(instances.iter()) {
            relay(&group, &unresponsive, 1, &mut reached);
        }
        for instance in &instances {
            let times = reached.get(&instance.address).map_or(0, |(times, _)| *times);
            prop_assert_eq!(times, usize::from(!unresponsive.contains(&instance.address)));
        }
    }
}

fn fleet(zones: &[usize]) -> Vec<InstanceInfo> {
    let mut instances = Vec::new();
    for (zone, count) in zones.iter().enumerate() {
        for number in 0..*count {
            instances.push(InstanceInfo {
                node: format!("n-{zone}-{number}").parse().expect("a name"),
                address: SocketAddr::from(([10, 0, zone as u8, number as u8], 7000)),
                zone: format!("zone-{zone}").parse().expect("a name"),
                cores: 1.0,
            });
        }
    }
    instances
}

/// Relays as instances do: to the first responsive instance of a group, which relays to the rest.
fn relay(
    group: &[SocketAddr],
    unresponsive: &BTreeSet<SocketAddr>,
    hop: usize,
    reached: &mut BTreeMap<SocketAddr, (usize, usize)>,
) {
    let Some(first) = group.iter().position(|address| !unresponsive.contains(address)) else {
        return;
    };
    let entry = reached.entry(group[first]).or_default();
    *entry = (entry.0 + 1, hop);
    for next in fanout::split_evenly(group[first + 1..].to_vec()) {
        relay(&next, unresponsive, hop + 1, reached);
    }
}

#[test]
fn four_hops_reach_fleets_of_all_supported_sizes() {
    for (zones, hops) in
        [(&[2, 2, 2, 2][..], 2), (&[16, 14, 17, 15], 3), (&[80, 72, 76, 74], 4), (&[36; 10], 4)]
    {
        let mut reached = BTreeMap::new();
        let groups = fanout::split_by_zone(fleet(zones).iter());
        assert!(groups.len() >= fanout::FANOUT);
        groups.iter().for_each(|group| relay(group, &BTreeSet::new(), 1, &mut reached));
        let most = reached.values().map(|(_, hop)| *hop).max();
        assert_eq!(most, Some(hops), "{zones:?}");
    }
}

#[test]
fn a_change_applies_only_to_the_version_that_it_is_based_on() {
    let contents = Contents {
        routes: BTreeMap::from([(1, 1)]),
        keys: BTreeMap::new(),
        services: BTreeSet::new(),
        head_bytes: 1,
        needs_key: false,
    };
    let change =
        packed(&build(4, &contents), &build(6, &contents)).unpack().expect("it was packed");
    let fault = change.apply(&build(5, &contents)).expect_err("another version is active");
    assert!(matches!(fault, IntentChangeError::Base { from: 4, version: 5 }));
}

#[test]
fn the_history_keeps_a_burst_of_changes_and_no_more() {
    let contents = Contents {
        routes: (0..12).map(|number| (number, 0)).collect(),
        keys: BTreeMap::new(),
        services: BTreeSet::new(),
        head_bytes: 1,
        needs_key: false,
    };
    let version = |number: u64| {
        let mut contents = contents.clone();
        contents.routes.insert((number % 12) as u8, (number % 3) as u8);
        build(number, &contents)
    };
    let mut history = IntentHistory::default();
    (1..200).for_each(|number| history.push(packed(&version(number), &version(number + 1))));
    let newest = version(200);
    assert_eq!(history.kept_since(150, &newest).len(), 50);
    assert!(history.kept_since(100, &newest).is_empty());
    assert_eq!(history.since(100, &newest).len(), 1, "the whole newest intent");
    assert!(history.since(200, &newest).is_empty());
}
