//! An SVG chart of requests over time, with marks at notable changes of state.

use plotters::prelude::*;

use super::{Summary, line::Ending};

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (1200, 480);

/// Changes of state that are marked in the chart: starts, and failures of the store, servers, peers or requests.
const MARKED_EVENTS: [&str; 6] =
    ["started", "store_lost", "server_silent", "server_gone", "peer_silent", "request_found"];

/// Line colours, in the order of [`Ending::ALL`].
const COLOURS: [RGBColor; Ending::ALL.len()] = [
    RGBColor(60, 140, 80),
    RGBColor(220, 160, 40),
    RGBColor(90, 110, 200),
    RED,
    RGBColor(150, 150, 150),
];

/// Why a chart cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum ChartError {
    /// No log line is about a request.
    #[error("the logs contain no request; pass the logs of instances that received requests")]
    Empty,
    /// The drawing library failed.
    #[error("the chart could not be drawn: {0}")]
    Drawing(String),
}

/// Returns an SVG chart of the requests per second by ending.
///
/// # Errors
///
/// The summary has no requests, or the drawing fails.
pub fn svg(summary: &Summary) -> Result<String, ChartError> {
    let seconds: Vec<(&str, [u64; Ending::ALL.len()])> =
        summary.seconds().map(|(second, counts)| (second, *counts)).collect();
    let max_count = seconds.iter().flat_map(|(_, counts)| counts).copied().max();
    let max_count = max_count.ok_or(ChartError::Empty)?;
    let mut text = String::new();
    draw(summary, &seconds, max_count, &mut text)
        .map_err(|e| ChartError::Drawing(e.to_string()))?;
    Ok(text)
}

fn draw(
    summary: &Summary,
    seconds: &[(&str, [u64; Ending::ALL.len()])],
    max_count: u64,
    text: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0..seconds.len().max(1), 0..max_count + 1)?;
    let name = |at: &usize| {
        seconds.get(*at).map_or(String::new(), |(s, _)| s[11.min(s.len())..].to_owned())
    };
    chart
        .configure_mesh()
        .x_label_formatter(&name)
        .x_desc("time of day")
        .y_desc("requests a second")
        .draw()?;
    for ending in Ending::ALL {
        let colour = COLOURS[ending as usize];
        let points = seconds.iter().enumerate().map(|(at, (_, c))| (at, c[ending as usize]));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(ending.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let marked = summary.state_changes().filter(|(_, event, _)| MARKED_EVENTS.contains(event));
    for (second, event, _) in marked {
        let Ok(at) = seconds.binary_search_by(|(known, _)| (*known).cmp(second)) else { continue };
        let line = PathElement::new([(at, 0), (at, max_count + 1)], BLACK.mix(0.25));
        chart.draw_series([line])?;
        let label_index =
            MARKED_EVENTS.iter().position(|marked| *marked == event).unwrap_or(0) as u64;
        let height = max_count.saturating_sub(label_index * max_count / 12);
        chart.draw_series([Text::new(event.to_owned(), (at, height), ("sans-serif", 11))])?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
