//! Logs and counts the speed estimates behind the choice of a target.

use ids::WorkDigest;
use routing::{ChosenTarget, TargetSpeed, WorkUnits};

use crate::NodeView;

/// Slowdown from which a target counts as slow in the metrics; smaller ones are usual.
const SLOW_FACTOR: f64 = 1.25;
/// Slowdown from which a target counts as very slow in the metrics.
const VERY_SLOW_FACTOR: f64 = 2.0;

/// Logs and counts a choice with the estimates for the chosen target. `units` is the predicted
/// amount of work, if any. Does nothing without estimates: the service reports no slowdown.
pub fn record_choice(
    view: &NodeView,
    work: WorkDigest,
    target: &ChosenTarget,
    units: Option<WorkUnits>,
    speed: Option<TargetSpeed>,
) {
    let Some(speed) = speed else { return };
    view.metrics.count_outcome("target_choice", slowdown_label(&speed));
    log::debug!(
        target: "targets", work:% = work, target:% = target.instance,
        usual_unit_us = speed.usual_unit_us(), slowdown_percent = speed.slowdown_percent(),
        predicted_units = units.map_or(0.0, WorkUnits::get);
        "target chosen"
    );
}

fn slowdown_label(speed: &TargetSpeed) -> &'static str {
    match speed.slowdown.map(routing::Slowdown::factor) {
        None => "no current report",
        Some(factor) if factor >= VERY_SLOW_FACTOR => "very slow",
        Some(factor) if factor >= SLOW_FACTOR => "slow",
        Some(_) => "usual speed",
    }
}
