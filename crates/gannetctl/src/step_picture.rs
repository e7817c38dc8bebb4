//! Steps as a picture: a bar each, over time, one band a model.

use std::path::Path;

use plotters::prelude::*;

use crate::step_account::StepTimings;

/// Size of the picture, in pixels.
const WIDTH: u32 = 1_200;
/// Height of a step's bar with the space above it, in pixels.
const BAR_HEIGHT: u32 = 14;
/// Room for the title and the axis, in pixels.
const FRAME_HEIGHT: u32 = 90;
/// Room for the names of steps, in pixels.
const NAME_WIDTH: u32 = 170;
/// Part of a step's row that its bar fills.
const BAR_PART: f64 = 0.8;

/// One stretch of a step's bar.
struct Stretch {
    from: f64,
    until: f64,
    color: RGBColor,
}

/// Draws each step from the moment it was taken: grey until its first run, blue until the last wanted item
/// was listed, orange until it was read, green until the step ended; red where it ended without.
pub(crate) fn draw_steps(
    file: &Path,
    steps: &[StepTimings],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let rows = u32::try_from(steps.len()).unwrap_or(u32::MAX);
    let begun = steps.iter().map(|step| step.taken_at).fold(f64::INFINITY, f64::min);
    let ended = steps.iter().map(|step| step.ended_at).fold(f64::NEG_INFINITY, f64::max);
    let height = FRAME_HEIGHT + rows * BAR_HEIGHT;
    let root = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("What trainers waited for: first run, wanted items, read, end", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(NAME_WIDTH)
        .build_cartesian_2d(0.0..(ended - begun).max(1.0), f64::from(rows)..0.0)?;
    let name = |row: &f64| {
        let step = row_of(steps, *row);
        step.map_or_else(String::new, |step| format!("{} {}", step.model, step.step))
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds")
        .y_labels(steps.len() + 1)
        .y_label_formatter(&name)
        .draw()?;
    for (row, step) in (0_u32..).zip(steps) {
        let top = f64::from(row);
        chart.draw_series(stretches(step).into_iter().map(|stretch| {
            let corners = [(stretch.from - begun, top), (stretch.until - begun, top + BAR_PART)];
            Rectangle::new(corners, stretch.color.filled())
        }))?;
    }
    root.present()
}

fn row_of(steps: &[StepTimings], row: f64) -> Option<&StepTimings> {
    steps
        .iter()
        .zip(0_u32..)
        .find(|(_, at)| (f64::from(*at) - row).abs() < 0.01)
        .map(|(step, _)| step)
}

fn stretches(step: &StepTimings) -> Vec<Stretch> {
    let grey = RGBColor(170, 170, 170);
    let blue = RGBColor(70, 120, 190);
    let orange = RGBColor(240, 160, 60);
    let first = step.first_run_at.unwrap_or(step.ended_at);
    let mut bars = vec![Stretch { from: step.taken_at, until: first, color: grey }];
    let Some(wanted) = step.wanted_at else {
        bars.push(Stretch { from: first, until: step.ended_at, color: RED });
        return bars;
    };
    let read = step.read_at.unwrap_or(step.ended_at);
    bars.push(Stretch { from: first, until: wanted, color: blue });
    bars.push(Stretch { from: wanted, until: read, color: orange });
    bars.push(Stretch { from: read, until: step.ended_at, color: GREEN });
    bars
}
