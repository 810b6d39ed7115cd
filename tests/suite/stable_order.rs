//! Decisions that must not depend on the order in which a process happens to iterate over its maps: two instances with the
//! same state decide the same, and a failure can be replayed.

use std::time::{Duration, Instant};

use cartvane::{
    names::{ServiceName, Tag},
    routing::{FleetBudget, RetrySpending, RunId},
    zone::{context_moves::ContextMoveQueue, rendezvous::ChatKey},
};

const WINDOW: Duration = Duration::from_secs(10);

/// Enough entries that two random orders are the same by chance less than once in a million runs.
const ENTRIES: u32 = 12;

fn spending(service: u32) -> RetrySpending {
    RetrySpending {
        service: format!("s{service}").parse().expect("a name"),
        total: 0,
        uncounted: 0,
        fleet_spent: None,
        sustained: 0.1 * f64::from(service),
    }
}

// Guards against sums of the retry budget that differ between aggregators with the same reports: floats were added in the
// order of a `HashMap`.
#[test]
fn sums_of_the_retry_budget_come_in_the_order_of_the_reports() {
    let began = Instant::now();
    let mut budget = FleetBudget::new(RunId(1), WINDOW);
    let node = "n0".parse().expect("a name");
    for second in 0..=WINDOW.as_secs() + 1 {
        let now = began + Duration::from_secs(second);
        budget.record_report(now, &node, RunId(2), (0..ENTRIES).map(spending).collect());
    }
    let sums = budget.sums(began + WINDOW + Duration::from_secs(1));
    let services: Vec<ServiceName> = sums.into_iter().map(|sum| sum.service).collect();
    let expected: Vec<ServiceName> = (0..ENTRIES).map(|n| spending(n).service).collect();
    assert_eq!(services, expected);
}

// Guards against moves of contexts whose order differs from run to run: with few moves at a time, it decides which engine
// keeps its contexts until it stops.
#[test]
fn contexts_move_from_the_engine_first_that_left_first() {
    let mut queue = ContextMoveQueue::default();
    for engine in 0..ENTRIES {
        queue.start(Tag(engine), [ChatKey(u64::from(engine))].into_iter());
    }
    let moves = queue.next_moves(ENTRIES as usize, &[(Tag(100), 1.0)], |_, _| true);
    let from: Vec<u32> = moves.iter().map(|context_move| context_move.from.0).collect();
    assert_eq!(from, (0..ENTRIES).collect::<Vec<_>>());
}
