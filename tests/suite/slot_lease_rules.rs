//! Decisions of slot leases on a simulated clock: which instance is the broker of a service, when a broker is silent, how
//! long a lease may be used, and which services have a broker.

use std::time::{Duration, Instant};

use cartvane::{
    names::ServiceName,
    routing::{
        BrokerChoice, BrokerSilence, Candidates, InstanceInfo, LeaseTimes, ServiceSlots,
        SmallServices,
    },
};
use indexmap::IndexMap;

/// How long an instance that did not respond is skipped.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(2);

fn instances(cores: &[f32]) -> Candidates {
    let info = |(i, &cores): (usize, &f32)| InstanceInfo {
        node: format!("i{i}").parse().expect("a name"),
        address: ([10, 0, 0, 1], 8000 + i as u16).into(),
        zone: "north".parse().expect("a zone"),
        cores,
    };
    let mut all = cores.iter().enumerate().map(info);
    let mut instances = Candidates::new(all.next().expect("an instance"));
    instances.set(all);
    instances
}

// Guards against a broker on a weak instance, and against one broker for all services.
#[test]
fn the_strongest_instances_share_the_services() {
    let (choice, now) = (BrokerChoice::default(), Instant::now());
    let instances = instances(&[0.1, 0.5, 0.1, 0.5, 0.2]);
    let broker_of = |service: usize| {
        let service = format!("service-{service}").parse().expect("a name");
        choice.broker_of(now, &service, &instances).map(|i| i.node.as_str().to_owned())
    };
    let brokers: Vec<String> = (0..40).filter_map(broker_of).collect();
    let count = |node: &str| brokers.iter().filter(|broker| *broker == node).count();
    assert!(count("i1") >= 10 && count("i3") >= 10 && count("i1") + count("i3") == 40);
}

// Guards against a third broker, which could grant the slots a third time.
#[test]
fn an_unresponsive_broker_is_skipped_for_2_s_and_the_third_in_rank_is_none() {
    let (mut choice, now) = (BrokerChoice::default(), Instant::now());
    let instances = instances(&[0.3, 0.2, 0.1]);
    let service = "app".parse().expect("a name");
    let node = |choice: &BrokerChoice, at| {
        choice.broker_of(at, &service, &instances).map(|i| i.node.clone())
    };
    for name in ["i0", "i1"] {
        let broker = node(&choice, now).expect("a broker");
        assert_eq!(broker.as_str(), name);
        choice.note_unresponsive(now, &broker);
    }
    assert_eq!(node(&choice, now), None);
    assert!(node(&choice, now + UNRESPONSIVE_DURATION).is_some_and(|n| n.as_str() == "i0"));
}

// Guards against a queued request that waits for a frozen broker until its deadline, and against a broker that is
// skipped although it responds to each message.
#[test]
fn a_broker_is_silent_if_it_sends_nothing_within_the_time_after_a_message() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut silence = BrokerSilence::new(start);
    assert!(!silence.is_silent(at(1000)) && silence.needs_ping(at(60)));
    silence.note_sent(at(1000));
    silence.note_sent(at(1050));
    assert!(!silence.is_silent(at(1059)) && silence.is_silent(at(1060)));
    silence.note_received(at(1060));
    assert!(!silence.is_silent(at(5000)) && !silence.needs_ping(at(1119)));
}

// Guards against a request that is sent after a suspension, when its slot has been leased to another one.
#[test]
fn a_lease_is_usable_until_it_expires_and_for_half_a_second_after_its_grant() {
    let millis = Duration::from_millis;
    let sent_at = Instant::now();
    let short = LeaseTimes::new(sent_at, millis(0), millis(200));
    assert!(short.is_usable(sent_at + millis(199)) && !short.is_usable(sent_at + millis(200)));
    let long = LeaseTimes::new(sent_at, millis(300), millis(5000));
    assert!(long.is_usable(sent_at + millis(800)) && !long.is_usable(sent_at + millis(801)));
}

fn small_with(known: &SmallServices, total: u32, largest: u32, instances: usize) -> bool {
    let service: ServiceName = "app".parse().expect("a name");
    let slots = Some(ServiceSlots { total, largest });
    let services = IndexMap::from([(service.clone(), slots)]);
    known.updated(instances, &services).needs_lease(&service, false)
}

// Guards against a broker for a service whose slots can be divided, or whose requests share prompts.
#[test]
fn a_service_is_small_if_it_has_fewer_slots_than_instances_and_all_are_stated() {
    let none = SmallServices::default();
    assert!(small_with(&none, 18, 6, 19));
    assert!(!small_with(&none, 18, 6, 18));
    assert!(!small_with(&none, 0, 0, 18));
    let service: ServiceName = "app".parse().expect("a name");
    let unstated = none.updated(100, &IndexMap::from([(service.clone(), None)]));
    assert!(!unstated.needs_lease(&service, false));
    let stated = Some(ServiceSlots { total: 1, largest: 1 });
    let small = none.updated(100, &IndexMap::from([(service.clone(), stated)]));
    assert!(small.needs_lease(&service, false) && !small.needs_lease(&service, true));
}

// Guards against a broker that is turned on and off when one instance or one server comes and goes.
#[test]
fn a_small_service_stays_small_while_an_instance_or_a_server_comes_and_goes() {
    let service: ServiceName = "app".parse().expect("a name");
    let slots = Some(ServiceSlots { total: 18, largest: 6 });
    let services = IndexMap::from([(service, slots)]);
    let small = SmallServices::default().updated(19, &services);
    assert!(small_with(&small, 18, 6, 18), "an instance has left");
    assert!(small_with(&small, 24, 6, 19), "a server was added");
    assert!(!small_with(&small, 25, 6, 19));
    assert!(small_with(&small, 109, 1, 100) && !small_with(&small, 110, 1, 100));
}
