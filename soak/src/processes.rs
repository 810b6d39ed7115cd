//! Faults of the processes of instances: signals, kills and restarts, suspensions, and lost links to the store.

use std::{os::unix::process::ExitStatusExt as _, thread, time::Duration};

use cartvane::utils::sync::lock;
use rustix::process::Signal;
use standins::proxy::LinkMode;

use crate::{
    checks::Checks,
    fleet::{Fleet, GRACE_PERIOD, Instance, send},
    plan,
    run::TOLERANCE,
};

/// Time after which a started process has installed its signal handlers.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// Has an instance reload its settings, unless it was started only just now: before the process has installed its
/// handler, the default action of SIGHUP terminates it.
pub(crate) fn reload(fleet: &Fleet, number: usize) {
    let mut instance = lock(&fleet.instances[number]);
    if instance.disturbed_at.elapsed() > STARTUP_TIME {
        instance.signal(Signal::HUP);
    }
}

/// Terminates an instance, which has to exit within its grace period, and starts it again.
pub(crate) fn terminate(fleet: &Fleet, checks: &Checks, number: usize) {
    // Holds the lock until the process exits, so that no other event except one that already runs affects it.
    let mut instance = lock(&fleet.instances[number]);
    check_running(&mut instance, checks);
    instance.signal(Signal::TERM);
    if !instance.wait(GRACE_PERIOD + plan::FAULT_TIME_MAX + TOLERANCE) {
        checks.report_violation(
            "an instance exits within the grace period",
            &format!("edge-{number}"),
            "still running",
        );
        instance.kill();
    }
    if let Err(error) = instance.start() {
        checks.report_violation("the soak itself works", "start", error.to_string());
    }
}

/// Reports a process that has ended without having been told to.
pub(crate) fn check_running(instance: &mut Instance, checks: &Checks) {
    // Instances are killed at once without their locks, and have ended before the lock is taken.
    let killed = Some(Signal::KILL.as_raw());
    if let Some(status) = instance.exit_status().filter(|status| status.signal() != killed) {
        let (subject, observed) = (instance.frontend.to_string(), status.to_string());
        checks.report_violation("no process ends by itself", &subject, observed);
    }
}

/// Kills an instance.
pub(crate) fn kill(fleet: &Fleet, checks: &Checks, number: usize) {
    let mut instance = lock(&fleet.instances[number]);
    check_running(&mut instance, checks);
    instance.kill();
}

/// Kills all instances at once.
pub(crate) fn kill_all(fleet: &Fleet, checks: &Checks) {
    fleet.pids.iter().for_each(|pid| send(pid, Signal::KILL));
    (0..fleet.instances.len()).for_each(|number| kill(fleet, checks, number));
}

/// Starts all instances, after a kill if they run.
pub(crate) fn restart_all(fleet: &Fleet, checks: &Checks) {
    (0..fleet.instances.len()).for_each(|number| restart(fleet, checks, number));
}

/// Starts an instance, after a kill if it runs.
pub(crate) fn restart(fleet: &Fleet, checks: &Checks, number: usize) {
    let mut instance = lock(&fleet.instances[number]);
    check_running(&mut instance, checks);
    instance.kill();
    if let Err(error) = instance.start() {
        checks.report_violation("the soak itself works", "start", error.to_string());
    }
}

/// Stops instances with SIGSTOP for `time`.
pub(crate) fn freeze(fleet: &Fleet, numbers: &[usize], time: Duration) {
    // Does not hold the instances' locks, so that a frozen process can receive other signals.
    numbers.iter().for_each(|&number| send(&fleet.pids[number], Signal::STOP));
    thread::sleep(time);
    numbers.iter().for_each(|&number| send(&fleet.pids[number], Signal::CONT));
    numbers.iter().for_each(|&number| lock(&fleet.instances[number]).note_disturbed());
}

/// Has an instance's link to the store be in another mode for `time`.
pub(crate) fn set_store_link(fleet: &Fleet, number: usize, mode: LinkMode, time: Duration) {
    let set_mode = |mode| {
        let mut instance = lock(&fleet.instances[number]);
        instance.store_proxy.set_mode(mode);
        instance.note_disturbed();
    };
    set_mode(mode);
    thread::sleep(time);
    set_mode(LinkMode::Open);
}
