//! A part of prompts that crashes each server that begins to answer a request with it, while no two of these requests
//! are alike.

use std::time::Duration;

use crate::{
    log_lines,
    part_fleet::{PartFleet, Place, Scenario},
};

/// Time after the fifth crash from which all instances hold the part.
const HELD_WITHIN: Duration = Duration::from_secs(3);

/// Requests that may reach servers later than that.
const LATE_MAX: usize = 3;

/// Time after the fifth crash from which sound requests are served as before.
const SERVED_WITHIN: Duration = Duration::from_secs(6);

/// Minimum share of the sound requests that are served at the first attempt.
const SOUND_SHARE_MIN: f64 = 0.95;

/// Plays a scenario and checks what is promised of it.
fn check(scenario: Scenario) {
    let fleet = PartFleet::start(4, 12, scenario);
    fleet.play();
    let crashes = fleet.crashes();
    for part in 0..scenario.parts {
        let late = fleet.late_arrivals(part, HELD_WITHIN);
        let verdicts = log_lines::matching(&["event=part_"]);
        assert!(late <= LATE_MAX, "{late} requests, part {part}, {crashes} crashes: {verdicts}");
    }
    let share = fleet.sound_share(SERVED_WITHIN);
    assert!(share >= SOUND_SHARE_MIN, "{share} of the sound requests, {crashes} crashes");
}

// Guards against crashes that never add up because each suspect is a whole request: 83 servers ended within a minute.
#[test]
fn a_part_in_the_middle_of_prompts_that_crashes_servers_is_held() {
    check(Scenario::default());
}

#[test]
fn a_first_part_that_crashes_servers_is_held() {
    check(Scenario { place: Place::First, ..Scenario::default() });
}

#[test]
fn a_last_shared_part_that_crashes_servers_is_held() {
    check(Scenario { place: Place::LastButOne, ..Scenario::default() });
}

#[test]
fn a_part_at_which_servers_crash_after_the_first_event_is_held() {
    check(Scenario { target: "/stream-prompt/", ..Scenario::default() });
}

// Guards against crashes that are never seen: the address of a process that ends with thousands of descriptors takes
// connections for some milliseconds longer than its connections last.
#[test]
fn a_part_is_held_although_the_servers_that_it_crashes_listen_on_for_a_moment() {
    for listens_on in [Duration::from_millis(3), Duration::from_millis(60)] {
        check(Scenario { listens_on, ..Scenario::default() });
    }
}

// Requests with several parts, which their callers send twice, keep servers crashing until each part is found, and spend
// the retries that sound requests need.
#[test]
fn three_parts_that_crash_servers_at_once_are_held() {
    let scenario = Scenario { parts: 3, rate: 2.0, copies: 2, ..Scenario::default() };
    check(Scenario { duration: Duration::from_secs(14), ..scenario });
}
