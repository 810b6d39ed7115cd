//! How sure an instance is of its intent, and what it does next, on a made-up clock.

use std::time::{Duration, Instant};

use cartvane::routing::{
    Confirmation, FleetPosition, IntentWatch, StoreEra, StoreVersion, WatchRole, WatchStep,
};

const BOUND: Duration = Duration::from_secs(2);

const NOTHING: Duration = Duration::ZERO;

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

/// Returns a watch over version 5, which was the newest at `at`.
fn sure(at: Instant) -> IntentWatch {
    let mut watch = IntentWatch::new(BOUND);
    watch.set_active(5);
    watch.confirm(confirmed(at));
    watch
}

fn look(wait: Duration) -> WatchStep {
    WatchStep::PollChanges { after: store(70), wait }
}

#[test]
fn an_instance_that_knows_nothing_reads_the_intent_whole() {
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
fn the_instances_look_for_themselves_one_after_the_other_and_within_the_bound() {
    let now = Instant::now();
    let watch = sure(now);
    let mut last = NOTHING;
    for number in 1..62 {
        let WatchStep::Wait(own) = watch.next(now, &role(false, number, 62)) else {
            panic!("{number}: others are heard")
        };
        assert!(own > last, "{number}");
        assert!(own < BOUND.mul_f64(0.75), "{number}: time is left for the read");
        assert_eq!(watch.next(now + own, &role(false, number, 62)), look(NOTHING));
        last = own;
    }
}

#[test]
fn what_the_reading_instance_tells_is_young_enough_for_all_others() {
    for (bound, instances) in
        [(2000, 8), (3000, 8), (3000, 62), (3000, 87), (3000, 302), (13_000, 360)]
    {
        let now = Instant::now();
        let mut watch = IntentWatch::new(ms(bound));
        watch.set_active(5);
        watch.confirm(confirmed(now));
        let reading = role(true, 0, instances);
        let WatchStep::PollChanges { wait, .. } = watch.next(now, &reading) else {
            panic!("it reads")
        };
        assert!(!wait.is_zero());
        // The wait, the pause after it, and an exchange that comes as late as it may.
        let told = wait + ms(200) + reading.exchange_period.mul_f64(1.1);
        let WatchStep::Wait(own) = watch.next(now, &role(false, 1, instances)) else {
            panic!("others are heard")
        };
        assert!(told < own, "{bound} ms, {instances}: {told:?} old when told, {own:?} allowed");
    }
}

#[test]
fn the_waits_of_a_reading_instance_end_by_the_clock_not_by_the_changes() {
    let now = Instant::now();
    let watch = sure(now);
    let reading = role(true, 0, 8);
    let WatchStep::PollChanges { wait, .. } = watch.next(now, &reading) else { panic!("it reads") };
    assert_eq!(watch.next(now + wait / 2, &reading), look(wait - wait / 2));
    assert_eq!(watch.next(now + wait * 2, &reading), look(NOTHING));
}

#[test]
fn an_instance_that_is_told_of_a_newer_version_waits_for_it_then_asks_then_reads() {
    let now = Instant::now();
    let mut watch = sure(now);
    assert!(!watch.note_version(now, 5));
    assert!(watch.note_version(now, 7));
    assert!(!watch.note_version(now, 6));
    for role in [role(false, 7, 8), role(true, 0, 8)] {
        // A quarter of the bound, for the instances that hand it on.
        assert_eq!(watch.next(now, &role), WatchStep::Pause(ms(500)));
        assert_eq!(watch.next(now + ms(500), &role), WatchStep::AskPeers);
    }
    watch.peers_asked(now + ms(500), &role(false, 7, 8));
    let after = now + ms(600);
    assert_eq!(watch.next(after, &role(false, 7, 8)), look(NOTHING));
    assert_eq!(watch.next(after, &role(true, 0, 8)), look(NOTHING), "it does not wait for changes");
    watch.store_failed();
    assert_eq!(watch.next(after, &role(false, 7, 8)), WatchStep::AskPeers);
    watch.set_active(6);
    assert_eq!((watch.newest(), watch.is_outdated()), (7, true));
    watch.set_active(7);
    assert!(!watch.is_outdated());
}

#[test]
fn after_a_failed_read_others_are_asked_then_the_store_again() {
    let now = Instant::now();
    let mut watch = sure(now);
    let reading = role(true, 0, 8);
    watch.store_failed();
    assert_eq!(watch.next(now, &reading), WatchStep::AskPeers);
    watch.peers_asked(now, &reading);
    let WatchStep::Pause(pause) = watch.next(now, &reading) else { panic!("it pauses") };
    assert!(matches!(watch.next(now + pause, &reading), WatchStep::PollChanges { .. }));
}

#[test]
fn an_instance_that_stays_behind_says_so_once_for_each_version() {
    let now = Instant::now();
    let mut watch = sure(now);
    watch.note_version(now, 7);
    assert_eq!(watch.take_overdue(now + ms(900)), None);
    assert_eq!(watch.take_overdue(now + ms(1100)), Some(ms(1100)));
    assert_eq!(watch.take_overdue(now + ms(1500)), None);
    watch.note_version(now + ms(1600), 9);
    assert_eq!(watch.take_overdue(now + ms(1700)), Some(ms(1700)), "behind since the first");
    assert_eq!(watch.outdated_for(now + ms(1700)), Some(ms(1700)));
}

#[test]
fn knowledge_never_grows_older() {
    let now = Instant::now();
    let mut watch = sure(now);
    watch.confirm(Confirmation { at: now - ms(500), store: store(60) });
    assert_eq!(watch.age(now), Some(NOTHING));
    assert_eq!(watch.next(now + BOUND, &role(false, 1, 8)), look(NOTHING));
    watch.note_store_version(store(90));
    let step = watch.next(now + BOUND, &role(false, 1, 8));
    assert_eq!(step, WatchStep::PollChanges { after: store(90), wait: NOTHING });
}

// With the largest version of the store kept over its return, every look led to a read of the whole intent; and what the
// copy shows is not known to be the newest until operators have had time to write again what was lost.
#[test]
fn a_later_era_of_the_store_goes_before_any_count_and_takes_time_to_settle() {
    let now = Instant::now();
    let mut watch = sure(now);
    watch.note_version(now, 7);
    let back = StoreVersion { era: StoreEra(2), counter: 12 };
    watch.confirm(Confirmation { at: now + ms(100), store: back });
    assert!(!watch.is_outdated(), "who had the newer version may be gone");
    let step = watch.next(now + BOUND, &role(false, 1, 8));
    assert_eq!(step, WatchStep::PollChanges { after: back, wait: NOTHING });
    assert!(!watch.is_settled(now + BOUND));
    watch.confirm(Confirmation { at: now + BOUND * 2, store: store(900) });
    assert_eq!(watch.confirmed().expect("confirmed").store, back, "an answer of before is late");
    assert_eq!(watch.age(now + ms(100)), Some(NOTHING));
    assert!(watch.is_settled(now + BOUND * 5), "not for ever");
    watch.set_active(8);
    assert!(watch.is_settled(now + BOUND), "operators have written again");
}

// 65 instances made 2,352 calls on a day on which the store reset all connections for 8 s, a third of them to ask for the
// intent every 0.4 s, though one reads for all.
#[test]
fn while_the_store_fails_only_the_one_that_reads_for_others_keeps_trying_often() {
    let now = Instant::now();
    for (role, most) in [(role(true, 0, 65), 30), (role(false, 9, 65), 8)] {
        let mut watch = sure(now);
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
        assert!((3..=most).contains(&calls), "{calls} calls, {role:?}");
    }
}

#[test]
fn an_instance_that_is_told_of_a_newer_version_does_not_wait_for_a_store_that_fails() {
    let now = Instant::now();
    let mut watch = sure(now);
    let role = role(false, 9, 65);
    for _ in 0..5 {
        watch.store_failed();
        watch.peers_asked(now, &role);
    }
    assert!(watch.note_version(now, 9));
    let WatchStep::Pause(pause) = watch.next(now, &role) else { panic!("it pauses") };
    assert!(pause <= ms(400), "{pause:?}");
    let WatchStep::Pause(pause) = watch.next(now + pause, &role) else { panic!("it is handed on") };
    assert_eq!(watch.next(now + ms(400) + pause, &role), WatchStep::AskPeers);
}
