//! Latencies of a soak over time as a drawing (SVG), with the disruptions of machines marked.

use std::path::Path;

use plotters::prelude::*;

use crate::report::Report;
use crate::schedule::Disruption;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (1200, 500);
/// Room for the numbers beside the axes, in pixels.
const LABELS: u32 = 44;
const MARGIN: u32 = 12;
/// The least latency that is drawn, in milliseconds: the scale is logarithmic.
const LEAST_MS: f64 = 1.0;
/// Clients wait no longer.
const MOST_MS: f64 = 4_000.0;

/// Why a drawing could not be made.
#[derive(Debug, thiserror::Error)]
#[error("the drawing: {0}")]
pub struct PlotError(String);

fn fault(error: impl std::fmt::Display) -> PlotError {
    PlotError(error.to_string())
}

/// Draws the 99th percentile of each second by kind of request.
///
/// # Errors
///
/// If the file can't be written.
pub fn draw(report: &Report, path: &Path) -> Result<(), PlotError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(fault)?;
    let caption = format!(
        "seed {}: 99th percentile of answers by second, in ms",
        report.seed
    );
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .caption(caption, ("sans-serif", 18))
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..report.seconds, (LEAST_MS..MOST_MS).log_scale())
        .map_err(fault)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the start")
        .draw()
        .map_err(fault)?;
    for planned in &report.schedule {
        let Some(colour) = colour_of(planned.disruption) else {
            continue;
        };
        let at = planned.at_s + report.first_request_s;
        let line = LineSeries::new([(at, LEAST_MS), (at, MOST_MS)], colour.mix(0.5));
        chart.draw_series(line).map_err(fault)?;
    }
    for (place, (kind, seconds)) in report.seconds_by_kind.iter().enumerate() {
        let colour = Palette99::pick(place).mix(1.0);
        let points = seconds.iter().map(|s| (s.at, s.p99_ms.max(LEAST_MS)));
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(fault)?
            .label(*kind)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(fault)?;
    area.present().map_err(fault)
}

/// Red for what ends a process, orange for what stops it, grey for what it is told; none for tasks and operators.
fn colour_of(disruption: Disruption) -> Option<RGBColor> {
    match disruption {
        Disruption::Terminate(_) | Disruption::Kill(_) => Some(RGBColor(200, 30, 30)),
        Disruption::Freeze(..) | Disruption::HoldCalls(..) => Some(RGBColor(230, 140, 20)),
        Disruption::HangUp(_) | Disruption::ResetCalls(_) => Some(RGBColor(150, 150, 150)),
        _ => None,
    }
}
