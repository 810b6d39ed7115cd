//! Asks the instances that the settings name for what there is, as this one starts.

use std::{sync::Arc, thread, time::Instant};

use super::{Gateway, peers};
use crate::routing::startup::STARTUP_POLL_INTERVAL;

/// Asks until there is an intent and a list of servers, or no more is waited for.
pub fn run(gateway: &Arc<Gateway>) {
    while waits(gateway, gateway.clock.now()) {
        if peers::ask_seed(gateway, || gateway.knowledge.is_complete()) {
            log::info!("event=told_at_start servers_age_ms={}", servers_age_ms(gateway));
            return;
        }
        thread::sleep(STARTUP_POLL_INTERVAL.mul_f64(0.5 + fastrand::f64()));
    }
}

/// Returns whether this instance has just started, and waits for others to tell it what there is.
pub fn waits(gateway: &Gateway, now: Instant) -> bool {
    gateway.peers.start.is_waiting(now) && !gateway.knowledge.is_complete()
}

fn servers_age_ms(gateway: &Gateway) -> u128 {
    let age = gateway.knowledge.servers_age(gateway.clock.now());
    age.unwrap_or_default().as_millis()
}
