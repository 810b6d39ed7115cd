//! Fetches the cluster state from the seeds, the instances that the settings name, at the start of this instance.

use std::{sync::Arc, thread, time::Instant};

use super::{Gateway, exchange};
use crate::routing::startup::STARTUP_POLL_INTERVAL;

/// Queries the seeds until an intent and a list of servers have been received, or the time to wait for them is over.
pub fn run(gateway: &Arc<Gateway>) {
    while gateway.is_running() && is_waiting(gateway, gateway.clock.now()) {
        if exchange::query_seeds(gateway, || gateway.cluster_state.is_complete()) {
            log::info!("event=told_at_start servers_age_ms={}", servers_age_ms(gateway));
            return;
        }
        thread::sleep(STARTUP_POLL_INTERVAL.mul_f64(0.5 + fastrand::f64()));
    }
}

/// Returns whether this instance has just started, and still waits for the seeds to send it the cluster state.
pub fn is_waiting(gateway: &Gateway, now: Instant) -> bool {
    gateway.peers.startup_wait.is_waiting(now) && !gateway.cluster_state.is_complete()
}

fn servers_age_ms(gateway: &Gateway) -> u128 {
    let age = gateway.cluster_state.servers_age(gateway.clock.now());
    age.unwrap_or_default().as_millis()
}
