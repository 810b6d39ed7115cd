//! The confirmation of an instance's intent, and what the instance does next, on a simulated clock.

use std::time::{Duration, Instant};

use cartvane::routing::{
    Confirmation, FleetPosition, IntentWatch, StoreEra, StoreVersion, WatchRole, WatchStep,
};

const BOUND: Duration = Duration::from_secs(2);

const NO_WAIT: Duration = Duration::ZERO;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A version of the store's first era.
fn store(counter: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(1), counter }
}

fn role(reader: bool, number: usize, instances: usize) -> WatchRole {
    let exchange_period = ms(250).max(Duration::from_micros(2500) * instances as u32).min(ms(900));
    WatchRole { reader, position: FleetPosition { number, instances }, exchange_period }
}

fn confirmed(at: Instant) -> Confirmation {
    Confirmation { at, store: store(70) }
}

/// Returns a watch with version 5 active, which was the newest at `at`.
fn confirmed_watch(at: Instant) -> IntentWatch {
    let mut watch = IntentWatch::new(BOUND);
    watch.set_active(5);
    watch.confirm(confirmed(at));
    watch
}

fn poll(wait: Duration) -> WatchStep {
    WatchStep::PollChanges { after: store(70), wait }
}

#[test]
fn an_instance_without_an_intent_reads_the_whole_intent() {
    let now = Instant::now();
    let mut watch = IntentWatch::new(BOUND);
    assert_eq!(watch.next(now, &role(false, 3, 8)), WatchStep::Read);
    watch.set_active(5);
    watch.confirm(confirmed(now));
    watch.history_expired();
    assert_eq!(watch.next(now, &role(true, 0, 8)), WatchStep::Read);
    watch.store_read(now);
    assert!(matches!(watch.next(now, &role(true, 0, 8)), WatchStep::Pause(_)));
    assert!(matches!(watch.next(now + ms(200), &role(true, 0, 8)), WatchStep::PollChanges { .. }));
}

#[test]
fn instances_poll_the_store_one_after_the_other_within_the_bound() {
    let now = Instant::now();
    let watch = confirmed_watch(now);
    let mut last = NO_WAIT;
    for number in 1..62 {
        let WatchStep::Wait(read_age) = watch.next(now, &role(false, number, 62)) else {
            panic!("{number}: expected a wait for updates")
        };
        assert!(read_age > last, "{number}");
        assert!(
            read_age < BOUND.mul_f64(0.75),
            "{number}: there is time for the read within the bound"
        );
        assert_eq!(watch.next(now + read_age, &role(false, number, 62)), poll(NO_WAIT));
        last = read_age;
    }
}

#[test]
fn confirmations_of_the_aggregator_reach_the_others_before_they_poll() {
    for (bound, instances) in
        [(2000, 8), (3000, 8), (3000, 62), (3000, 87), (3000, 302), (13_000, 360)]
    {
        let now = Instant::now();
        let mut watch = IntentWatch::new(ms(bound));
        watch.set_active(5);
        watch.confirm(confirmed(now));
        let aggregator = role(true, 0, instances);
        let WatchStep::PollChanges { wait, .. } = watch.next(now, &aggregator) else {
            panic!("expected a poll")
        };
        assert!(!wait.is_zero());
        // The wait, the interval between two calls, and the longest time between two exchanges.
        let age = wait + ms(200) + aggregator.exchange_period.mul_f64(1.1);
        let WatchStep::Wait(read_age) = watch.next(now, &role(false, 1, instances)) else {
            panic!("expected a wait for updates")
        };
        assert!(
            age < read_age,
            "{bound} ms, {instances}: {age:?} old on receipt, {read_age:?} allowed"
        );
    }
}

#[test]
fn the_aggregators_wait_ends_at_a_fixed_time_even_with_changes() {
    let now = Instant::now();
    let watch = confirmed_watch(now);
    let aggregator = role(true, 0, 8);
    let WatchStep::PollChanges { wait, .. } = watch.next(now, &aggregator) else {
        panic!("expected a poll")
    };
    assert_eq!(watch.next(now + wait / 2, &aggregator), poll(wait - wait / 2));
    assert_eq!(watch.next(now + wait * 2, &aggregator), poll(NO_WAIT));
}

#[test]
fn an_outdated_instance_waits_for_the_relay_then_asks_peers_then_polls() {
    let now = Instant::now();
    let mut watch = confirmed_watch(now);
    assert!(!watch.note_version(now, 5));
    assert!(watch.note_version(now, 7));
    assert!(!watch.note_version(now, 6));
    for role in [role(false, 7, 8), role(true, 0, 8)] {
        // A quarter of the bound, in which other instances relay it.
        assert_eq!(watch.next(now, &role), WatchStep::Pause(ms(500)));
        assert_eq!(watch.next(now + ms(500), &role), WatchStep::AskPeers);
    }
    watch.peers_asked(now + ms(500), &role(false, 7, 8));
    let after = now + ms(600);
    assert_eq!(watch.next(after, &role(false, 7, 8)), poll(NO_WAIT));
    assert_eq!(
        watch.next(after, &role(true, 0, 8)),
        poll(NO_WAIT),
        "the poll does not wait for changes"
    );
    watch.store_failed();
    assert_eq!(watch.next(after, &role(false, 7, 8)), WatchStep::AskPeers);
    watch.set_active(6);
    assert_eq!((watch.newest(), watch.is_outdated()), (7, true));
    watch.set_active(7);
    assert!(!watch.is_outdated());
}

// Guards against a read of a changed intent by each instance that a relay reaches late. On a busy machine a relay to
// eight instances took 2 s, and those that had not received the change after 0.6 s read it in the store.
#[test]
fn with_a_long_bound_an_outdated_instance_asks_peers_for_longer_before_it_polls() {
    let (now, role) = (Instant::now(), role(false, 7, 8));
    let watch = || {
        let mut watch = IntentWatch::new(ms(30_000));
        watch.set_active(5);
        watch.confirm(confirmed(now));
        watch
    };
    let (mut late, mut at, mut questions) = (watch(), now, 0);
    late.note_version(now, 7);
    let polled_at = loop {
        match late.next(at, &role) {
            WatchStep::Pause(time) => at += time,
            WatchStep::AskPeers => {
                questions += 1;
                late.peers_asked(at, &role);
            }
            step => break (step == poll(NO_WAIT)).then_some(at - now),
        }
    };
    assert!(
        polled_at.is_some_and(|after| after >= ms(9000) && after < ms(10_100)),
        "{polled_at:?}"
    );
    assert!((8..=20).contains(&questions), "{questions} questions");
    // An instance that is about to read in any case does not wait longer.
    let (mut old, at) = (watch(), now + ms(20_000));
    old.note_version(at, 7);
    assert_eq!(old.next(at + ms(500), &role), WatchStep::AskPeers);
    old.peers_asked(at + ms(500), &role);
    assert_eq!(old.next(at + ms(600), &role), poll(NO_WAIT));
}

#[test]
fn after_a_failed_read_peers_are_asked_then_the_store_again() {
    let now = Instant::now();
    let mut watch = confirmed_watch(now);
    let aggregator = role(true, 0, 8);
    watch.store_failed();
    assert_eq!(watch.next(now, &aggregator), WatchStep::AskPeers);
    watch.peers_asked(now, &aggregator);
    let WatchStep::Pause(pause) = watch.next(now, &aggregator) else { panic!("expected a pause") };
    assert!(matches!(watch.next(now + pause, &aggregator), WatchStep::PollChanges { .. }));
}

#[test]
fn an_outdated_intent_is_overdue_once_for_each_version() {
    let now = Instant::now();
    let mut watch = confirmed_watch(now);
    watch.note_version(now, 7);
    assert_eq!(watch.take_overdue(now + ms(900)), None);
    assert_eq!(watch.take_overdue(now + ms(1100)), Some(ms(1100)));
    assert_eq!(watch.take_overdue(now + ms(1500)), None);
    watch.note_version(now + ms(1600), 9);
    assert_eq!(
        watch.take_overdue(now + ms(1700)),
        Some(ms(1700)),
        "outdated since the first newer version"
    );
    assert_eq!(watch.outdated_for(now + ms(1700)), Some(ms(1700)));
}

#[test]
fn an_older_confirmation_is_ignored() {
    let now = Instant::now();
    let mut watch = confirmed_watch(now);
    watch.confirm(Confirmation { at: now - ms(500), store: store(60) });
    assert_eq!(watch.age(now), Some(NO_WAIT));
    assert_eq!(watch.next(now + BOUND, &role(false, 1, 8)), poll(NO_WAIT));
    watch.note_store_version(store(90));
    let step = watch.next(now + BOUND, &role(false, 1, 8));
    assert_eq!(step, WatchStep::PollChanges { after: store(90), wait: NO_WAIT });
}

// Guards against keeping the largest store version over a restore of the store, where every poll led to a read of the
// whole intent. The restored intent is not settled until operators have had time to write again what was lost.
#[test]
fn a_later_era_of_the_store_supersedes_any_counter_and_takes_time_to_settle() {
    let now = Instant::now();
    let mut watch = confirmed_watch(now);
    watch.note_version(now, 7);
    let restored = StoreVersion { era: StoreEra(2), counter: 12 };
    watch.confirm(Confirmation { at: now + ms(100), store: restored });
    assert!(!watch.is_outdated(), "the newer version may be lost");
    let step = watch.next(now + BOUND, &role(false, 1, 8));
    assert_eq!(step, WatchStep::PollChanges { after: restored, wait: NO_WAIT });
    assert!(!watch.is_settled(now + BOUND));
    watch.confirm(Confirmation { at: now + BOUND * 2, store: store(900) });
    assert_eq!(
        watch.confirmed().expect("confirmed").store,
        restored,
        "a late reply of the earlier era is ignored"
    );
    assert_eq!(watch.age(now + ms(100)), Some(NO_WAIT));
    assert!(watch.is_settled(now + BOUND * 5), "settled after the settling time");
    watch.set_active(8);
    assert!(watch.is_settled(now + BOUND), "operators have written the intent again");
}

// Guards against needless load on a failing store: while it reset all connections for 8 s, 65 instances made 2,352
// calls, a third of them for the intent, each instance every 0.4 s, although one reads on behalf of all.
#[test]
fn while_the_store_fails_only_the_aggregator_retries_often() {
    let now = Instant::now();
    for (role, calls_max) in [(role(true, 0, 65), 30), (role(false, 9, 65), 8)] {
        let mut watch = confirmed_watch(now);
        let (mut at, mut calls) = (now + BOUND, 0);
        while at < now + BOUND + ms(8000) {
            match watch.next(at, &role) {
                WatchStep::Pause(time) | WatchStep::Wait(time) => at += time,
                WatchStep::AskPeers => watch.peers_asked(at, &role),
                WatchStep::Read | WatchStep::PollChanges { .. } => {
                    calls += 1;
                    watch.store_failed();
                }
            }
        }
        assert!((3..=calls_max).contains(&calls), "{calls} calls, {role:?}");
    }
}

#[test]
fn a_newer_version_shortens_the_wait_after_failed_calls() {
    let now = Instant::now();
    let mut watch = confirmed_watch(now);
    let role = role(false, 9, 65);
    for _ in 0..5 {
        watch.store_failed();
        watch.peers_asked(now, &role);
    }
    assert!(watch.note_version(now, 9));
    let WatchStep::Pause(pause) = watch.next(now, &role) else { panic!("expected a pause") };
    assert!(pause <= ms(400), "{pause:?}");
    let WatchStep::Pause(pause) = watch.next(now + pause, &role) else {
        panic!("expected a wait for the relay")
    };
    assert_eq!(watch.next(now + ms(400) + pause, &role), WatchStep::AskPeers);
}
