//! Draws steps as an SVG chart: one bar per step over time.

use std::path::Path;

use plotters::prelude::*;

use crate::step_timings::StepTimings;

/// Width of the chart, in pixels.
const WIDTH: u32 = 1_200;
/// Height of a row, in pixels.
const ROW_HEIGHT: u32 = 14;
/// Height of the title and the time axis, in pixels.
const HEADER_HEIGHT: u32 = 90;
/// Width of the step labels, in pixels.
const LABEL_WIDTH: u32 = 170;
/// Fraction of the row height that a bar fills.
const BAR_FRACTION: f64 = 0.8;

/// Colored segment of a step's bar, in seconds.
struct BarSegment {
    from: f64,
    until: f64,
    color: RGBColor,
}

/// Writes the chart to `file`.
///
/// Each bar starts at `taken_at`: grey until the first run, blue until the last wanted
/// item was listed, orange until it was read, green until the step ended. The part after the
/// first run is red if the step ended without its wanted items.
pub(crate) fn draw_step_chart(
    file: &Path,
    steps: &[StepTimings],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let rows = u32::try_from(steps.len()).unwrap_or(u32::MAX);
    let start = steps.iter().map(|step| step.taken_at).fold(f64::INFINITY, f64::min);
    let end = steps.iter().map(|step| step.ended_at).fold(f64::NEG_INFINITY, f64::max);
    let height = HEADER_HEIGHT + rows * ROW_HEIGHT;
    let root = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("What trainers waited for: first run, wanted items, read, end", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(0.0..(end - start).max(1.0), f64::from(rows)..0.0)?;
    let label = |row: &f64| {
        let step = step_at_row(steps, *row);
        step.map_or_else(String::new, |step| format!("{} {}", step.model, step.step))
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds")
        .y_labels(steps.len() + 1)
        .y_label_formatter(&label)
        .draw()?;
    for (row, step) in (0_u32..).zip(steps) {
        let top = f64::from(row);
        chart.draw_series(bar_segments(step).into_iter().map(|segment| {
            let corners =
                [(segment.from - start, top), (segment.until - start, top + BAR_FRACTION)];
            Rectangle::new(corners, segment.color.filled())
        }))?;
    }
    root.present()
}

fn step_at_row(steps: &[StepTimings], row: f64) -> Option<&StepTimings> {
    steps
        .iter()
        .zip(0_u32..)
        .find(|(_, at)| (f64::from(*at) - row).abs() < 0.01)
        .map(|(step, _)| step)
}

fn bar_segments(step: &StepTimings) -> Vec<BarSegment> {
    let grey = RGBColor(170, 170, 170);
    let blue = RGBColor(70, 120, 190);
    let orange = RGBColor(240, 160, 60);
    let first = step.first_run_at.unwrap_or(step.ended_at);
    let mut segments = vec![BarSegment { from: step.taken_at, until: first, color: grey }];
    let Some(wanted) = step.wanted_at else {
        segments.push(BarSegment { from: first, until: step.ended_at, color: RED });
        return segments;
    };
    let read = step.read_at.unwrap_or(step.ended_at);
    segments.push(BarSegment { from: first, until: wanted, color: blue });
    segments.push(BarSegment { from: wanted, until: read, color: orange });
    segments.push(BarSegment { from: read, until: step.ended_at, color: GREEN });
    segments
}
