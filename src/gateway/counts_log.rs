//! Log lines of whether this instance knows how many requests the others have in flight.

use super::Gateway;
use crate::utils::sync::lock;

/// Logs when the counts of the other instances become known, and when they become too old to be used.
#[derive(Debug, Default)]
pub(super) struct CountsLog {
    was_known: bool,
}

impl CountsLog {
    /// Logs a change since the last call.
    pub(super) fn update(&mut self, gateway: &Gateway) {
        let (age, instances) = {
            let picker = lock(&gateway.picker);
            (picker.usable_counts_age(gateway.clock.now()), picker.position().instances)
        };
        if age.is_some() == self.was_known {
            return;
        }
        self.was_known = age.is_some();
        let event = if self.was_known { "counts_known" } else { "counts_lost" };
        log::info!("event={event} instances={instances}");
    }
}
