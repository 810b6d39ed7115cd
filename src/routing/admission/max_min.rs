//! Max-min fair division of a capacity among those that demand it.
//!
//! The aggregator divides the capacity of a service among teams by it while their demand exceeds the capacity.

/// Returns the level at which demands that exceed it are capped so that all together use `capacity`; `None` if the
/// demands fit into it.
///
/// A demand below the level is met in full, and what it leaves is divided among the others (water-filling).
pub fn fair_level(capacity: f64, demands: &[f64]) -> Option<f64> {
    let mut ascending: Vec<f64> = demands.iter().map(|demand| demand.max(0.0)).collect();
    ascending.sort_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    for (met, demand) in ascending.iter().enumerate() {
        let level = left / (ascending.len() - met) as f64;
        if *demand > level {
            return Some(level);
        }
        left -= demand;
    }
    None
}
