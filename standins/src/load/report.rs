//! Tables of figures.

use super::measure::Figures;

/// Returns the figures of several runs as a table.
pub fn table(all: &[Figures]) -> String {
    let mut text = format!(
        "{:<17} {:<15} {:>6} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
        "scenario",
        "placement",
        "sent",
        "whole%",
        "refused",
        "reuse%",
        "skew",
        "p99",
        "over",
        "over%",
        "sent/s",
        "recv/s",
        "ft p50",
        "ft p95",
        "others",
        "reserv"
    );
    for f in all {
        text.push_str(&format!(
            "{:<17} {:<15} {:>6} {:>7.2} {:>7} {:>7.1} {:>6.2} {:>6.2} {:>6} {:>6.1} {:>7.0} {:>7.0} {:>7.0} {:>7.0} {:>7.0} {:>7.0}\n",
            f.scenario,
            f.placement,
            f.requests,
            100.0 * f.complete as f64 / f.requests.max(1) as f64,
            f.refused,
            100.0 * f.reuse,
            f.skew_worst,
            f.skew_p99,
            f.over_bound,
            f.over_bound_percent,
            f.control_sent,
            f.control_received,
            f.first_token_p50,
            f.first_token_p95,
            f.others_p95,
            f.reserved_p95,
        ));
    }
    text
}

/// Returns the control bytes by purpose of one run as a line.
pub fn purposes(f: &Figures) -> String {
    let parts: Vec<String> =
        f.control_by_purpose.iter().map(|(name, sent)| format!("{name} {sent:.0}")).collect();
    let beyond: Vec<String> = f.over_bound_by_second.iter().map(ToString::to_string).collect();
    format!(
        "control bytes sent a second a router: {}; arrivals beyond the bound by second: {}",
        parts.join(", "),
        beyond.join(" ")
    )
}
