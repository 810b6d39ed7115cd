//! How long rejected callers wait before they retry, for all decisions that reject requests.

use std::time::Duration;

/// Part of the time until its deadline that a caller waits for a retry: one third.
const TIME_LEFT_DIVISOR: u32 = 3;

/// Returns the longest `Retry-After` that a caller honours if its request has `time_left` until its deadline.
pub fn max_retry_delay(time_left: Duration) -> Duration {
    time_left / TIME_LEFT_DIVISOR
}
