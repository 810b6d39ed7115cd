//! One run: starts the fleet and the callers, applies random events, and checks the invariants.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cartvane::utils::sync::lock;
use fastrand::Rng;
use standins::{caller::Call, fault::Fault, listed::EVENTS, proxy::LinkMode, store::StoreMode};

use crate::{
    callers::Callers,
    checks::Checks,
    departures::{DRAINING_WATCH_TIME, check_departure, leave_unnoticed, replace_server},
    fleet::{Fleet, KEY},
    intent_changes::change_intent,
    load, notices,
    odd_rows::{self, OddRow},
    options::Options,
    plan::{self, Event, Growth},
    processes::{
        check_running, freeze, kill, kill_all, reload, restart, restart_all, set_store_link,
        terminate,
    },
    report::Report,
    rollouts, small_service,
};

/// Time between a restore of the store and the writes with which operators and servers restore their rows, in
/// milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 50..1200;

/// Number of backend servers in use at any time.
const SERVERS: usize = 5;

/// Number of callers for each instance.
const CALLERS: usize = 4;

/// Length of the shortest event in bytes.
const EVENT_BYTES_MIN: usize = "id: 1\ndata: part 1\n\n".len();

/// Time without a disturbance after which the time bounds of an instance hold.
const UNDISTURBED_TIME: Duration = Duration::from_millis(3000);

/// Time within which all instances serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// The invariant that all instances serve after faults.
const SERVE_AGAIN: &str = "all instances serve again after the last fault";

/// Added to each time bound, because processes are scheduled late on a busy machine.
pub(crate) const TOLERANCE: Duration = Duration::from_millis(1500);

/// Runs one seed.
pub(crate) fn run(
    seed: u64,
    options: &Options,
    interrupted: &AtomicBool,
) -> anyhow::Result<Report> {
    let dir = options.dir.join(seed.to_string());
    if dir.exists() {
        std::fs::remove_dir_all(&dir)?;
    }
    let growth = plan::random_growth(seed, options.fault_time);
    let mut events = random_events(seed, options, &growth);
    let count = events.len();
    // Those at the start and at the end of the time are applied one after another.
    let last = events.split_off(events.partition_point(|(at, ..)| *at < options.fault_time));
    let mixed = events.split_off(events.partition_point(|(at, ..)| at.is_zero()));
    let fleet = Fleet::start(seed, options.instances, SERVERS, &dir)?;
    fleet.store.set_link(growth.store_bytes_per_s);
    let checks = Arc::new(Checks::new());
    wait_until_serving(&fleet, &checks, "all instances serve after their start");
    let callers = Callers::spawn(options.instances * CALLERS, seed, &fleet, &checks);
    let apply_alone = |events: Vec<(Duration, Event, Rng)>| {
        for (_, event, rng) in events {
            if !interrupted.load(Ordering::SeqCst) {
                options.print(|| format!("alone: {event:?}"));
                join([spawn_event(event, &fleet, &checks, rng)], &checks);
                wait_until_serving(&fleet, &checks, SERVE_AGAIN);
            }
        }
    };
    apply_alone(events);
    let started_at = Instant::now();
    let mut running_events = Vec::new();
    for (at, event, rng) in mixed {
        while started_at.elapsed() < at && !interrupted.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if interrupted.load(Ordering::SeqCst) {
            break;
        }
        options.print(|| format!("{:6} ms {event:?}", started_at.elapsed().as_millis()));
        running_events.push(spawn_event(event, &fleet, &checks, rng));
    }
    join(running_events, &checks);
    wait_until_serving(&fleet, &checks, SERVE_AGAIN);
    apply_alone(last);
    check_undisturbed(&fleet, &checks, interrupted);
    load::check(&fleet, &checks);
    callers.finish();
    small_service::check_slots(&fleet, &checks);
    // Servers may still run requests whose callers have given up on them; they finish within their deadlines.
    thread::sleep(Duration::from_millis(500));
    checks.check_runs(&lock(&fleet.servers));
    fleet.instances.iter().for_each(|instance| check_running(&mut lock(instance), &checks));
    let (requests, served) = checks.request_counts();
    let logs = dir.display().to_string();
    Ok(Report { violations: checks.take_violations(), requests, served, events: count, logs })
}

/// Returns the events of a run with their times, in order, each with a generator for its random choices.
fn random_events(seed: u64, options: &Options, growth: &Growth) -> Vec<(Duration, Event, Rng)> {
    let (length, instances) = (options.fault_time, options.instances);
    let mut rng = Rng::with_seed(seed);
    let mut events = plan::random_events(&mut rng, length, instances, SERVERS);
    events.extend(growth.events.iter().cloned());
    events.extend(plan::random_restores(seed, length));
    events.extend(plan::random_notices(seed, length, SERVERS));
    events.extend(plan::random_rollout(seed, length));
    let mut events: Vec<(Duration, Event, Rng)> =
        events.into_iter().map(|(at, event)| (at, event, rng.fork())).collect();
    // Not drawn from the generator of the other events, whose choices do not depend on these.
    let mut more = plan::random_broken_streams(seed, length, SERVERS);
    more.extend(plan::random_departures(seed, length, instances, SERVERS));
    more.push(plan::random_surge(seed, length));
    more.extend(plan::random_versions(seed, length, instances));
    more.extend(plan::random_odd_rows(seed, length));
    events.extend(more.into_iter().map(|(at, event)| (at, event, Rng::with_seed(seed))));
    events.sort_by_key(|(at, ..)| *at);
    events
}

/// Waits until events have ended.
fn join(events: impl IntoIterator<Item = JoinHandle<()>>, checks: &Checks) {
    for event in events {
        if event.join().is_err() {
            checks.report_violation("the soak itself works", "event", "a thread panicked");
        }
    }
}

/// Applies an event in a thread of its own, so that events overlap.
fn spawn_event(event: Event, fleet: &Arc<Fleet>, checks: &Arc<Checks>, rng: Rng) -> JoinHandle<()> {
    let (fleet, checks) = (Arc::clone(fleet), Arc::clone(checks));
    thread::spawn(move || apply_event(event, &fleet, &checks, rng))
}

fn apply_event(event: Event, fleet: &Fleet, checks: &Arc<Checks>, mut rng: Rng) {
    match event {
        Event::Terminate(number) => terminate(fleet, checks, number),
        Event::Kill(number, time) => {
            kill(fleet, checks, number);
            thread::sleep(time);
            restart(fleet, checks, number);
        }
        Event::Freeze(number, time) => freeze(fleet, &[number], time),
        Event::Reload(number) => reload(fleet, number),
        Event::KillAll => {
            kill_all(fleet, checks);
            restart_all(fleet, checks);
        }
        Event::Store(mode, time) => {
            fleet.note_store_disturbed();
            fleet.store.set_mode(mode);
            thread::sleep(time);
            fleet.store.set_mode(StoreMode::Up);
            fleet.note_store_disturbed();
        }
        Event::StoreLink(number, mode, time) => {
            set_store_link(fleet, number, mode, time);
        }
        Event::ExpireHistory => {
            fleet.note_store_disturbed();
            fleet.store.forget_history();
        }
        Event::RestoreStore(age) => {
            let copy = fleet.store.copy();
            thread::sleep(age);
            fleet.note_store_disturbed();
            fleet.store.come_back(copy);
            thread::sleep(Duration::from_millis(rng.u64(REWRITE_DELAY_MS)));
            fleet.rewrite_all();
            fleet.note_store_disturbed();
        }
        Event::ServerLink(endpoint, mode, time) => {
            fleet.set_link_mode(endpoint, mode);
            thread::sleep(time);
            fleet.set_link_mode(endpoint, LinkMode::Open);
        }
        Event::AnnounceLeaving(endpoint) => notices::announce_leaving(fleet, checks, endpoint),
        Event::AnnounceBackoff(endpoint, time, backoff) => {
            notices::announce_backoff(fleet, checks, endpoint, time, backoff)
        }
        Event::Surge(time) => small_service::surge(fleet, checks, time, rng.u64(..)),
        Event::Versions(number, event) => event.apply(number, fleet, checks, rng),
        Event::OddRows(number, rows, time) => odd_rows::write(fleet, checks, number, &rows, time),
        Event::RollOut => rollouts::roll_out(fleet, checks),
        Event::Replace(endpoint) => {
            let leave = || fleet.write_entry(endpoint, "draining");
            check_departure(fleet, checks, endpoint, DRAINING_WATCH_TIME, leave);
        }
        Event::LeaveUnnoticed(endpoint, stopped, time) => {
            leave_unnoticed(fleet, checks, endpoint, stopped, time);
        }
        Event::Crash(endpoint) => replace_server(fleet, checks, endpoint),
        Event::ServerFaults(endpoint) => {
            let faults = [
                Fault::RefuseNotRun,
                Fault::CloseAfterRun,
                Fault::CutBody,
                Fault::Garbage,
                Fault::ServerError,
                Fault::Duplicate,
                Fault::ForeignFirst,
                Fault::BreakAfter(3),
                Fault::SilentAfter(2, Duration::from_millis(700)),
                Fault::Late(Duration::from_millis(400)),
            ];
            let random_faults: Vec<Fault> =
                (0..6).map(|_| faults[rng.usize(..faults.len())]).collect();
            fleet.inject_faults(endpoint, &random_faults);
        }
        Event::BreakStreams(endpoint, count) => {
            let broken = |_| Fault::BreakInside(rng.usize(..EVENTS), rng.usize(1..EVENT_BYTES_MIN));
            let faults: Vec<Fault> = (0..count).map(broken).collect();
            fleet.inject_faults(endpoint, &faults);
        }
        Event::ChangeIntent(times) => change_intent(fleet, checks, times),
        Event::GrowIntent(routes) => {
            fleet.add_idle_routes(routes);
            change_intent(fleet, checks, 1);
        }
    }
}

/// Returns whether the store and an instance were undisturbed for [`UNDISTURBED_TIME`] before `since` and ever since.
pub(crate) fn is_undisturbed(fleet: &Fleet, number: usize, since: Instant) -> bool {
    let Ok(instance) = fleet.instances[number].try_lock() else { return false };
    let undisturbed = |at: Instant| at + UNDISTURBED_TIME < since;
    undisturbed(instance.disturbed_at) && undisturbed(*lock(&fleet.store_disturbed_at))
}

/// Waits until every instance serves a request; reports a violation if that takes too long.
fn wait_until_serving(fleet: &Fleet, checks: &Checks, invariant: &'static str) {
    let deadline = Instant::now() + RECOVERY_TIMEOUT + TOLERANCE;
    for (number, instance) in fleet.instances.iter().enumerate() {
        let address = lock(instance).frontend;
        let mut status = 0;
        while status != 200 {
            let call =
                Call { timeout: Duration::from_secs(2), ..Call::post("/idem/", KEY, "probe") };
            status = call.with("x-request-id", "probe").send(address).status;
            if Instant::now() >= deadline {
                let exited = lock(instance).exit_status();
                let observed = format!("status {status}, exit {exited:?}");
                checks.report_violation(invariant, &format!("edge-{number}"), observed);
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Changes the intent and has a server leave while a team surges and odd rows are there, and announces that servers leave
/// or back off, while no other event runs: then the time bounds hold for every instance.
fn check_undisturbed(fleet: &Fleet, checks: &Arc<Checks>, interrupted: &AtomicBool) {
    thread::sleep(UNDISTURBED_TIME + Duration::from_millis(100));
    if interrupted.load(Ordering::SeqCst) {
        return;
    }
    let odd_rows = OddRow::all(&mut Rng::with_seed(fleet.seed));
    let (odd_event, odd_time) = (odd_rows::CALM_EVENT, odd_rows::CALM_TIME);
    thread::scope(|scope| {
        scope.spawn(|| odd_rows::write(fleet, checks, odd_event, &odd_rows, odd_time));
        scope.spawn(|| small_service::check_shares(fleet, checks));
        change_intent(fleet, checks, 1);
        let leave = || fleet.write_entry(0, "draining");
        check_departure(fleet, checks, 0, DRAINING_WATCH_TIME, leave);
    });
    // The instance that reads the list for the others is most likely one of these.
    let all_but_one = (1..fleet.instances.len()).collect();
    leave_unnoticed(fleet, checks, 0, all_but_one, plan::STOPPED_TIME_MAX);
    notices::announce_backoff(
        fleet,
        checks,
        0,
        Duration::from_millis(800),
        Duration::from_millis(2000),
    );
    notices::announce_leaving(fleet, checks, 0);
}
