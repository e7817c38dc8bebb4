//! Costs of the targets of a service whose targets report their slowdown.
//!
//! Long texts should run on fast targets. A text that is short compared with those that usually
//! occupy a slot therefore pays a price for a fast one: part of the time that a longer text would
//! lose if it had to run on the slowest target instead. The price is only compared among targets
//! with a free slot, so it never keeps a slot idle.

use ids::{InstanceId, Moment};

use crate::speed::{duration_of_ms, expected_ms};
use crate::target::{MoveEstimate, PredictedWork, RunProgress};
use crate::target_state::TargetState;

/// A target is an outlier if its long-term unit time exceeds the median by this factor.
const OUTLIER_FACTOR: f64 = 3.0;
/// At most one of this many targets of a service counts as an outlier.
const OUTLIER_SHARE: usize = 3;
/// Weight of the load ratio in a text's cost. It is high because loads are known late: boxes that
/// prefer the same fast target fill its queue while others have free slots.
const TEXT_LOAD_WEIGHT: f64 = 4.0;
/// Share of a longer text's loss that a short text pays. If it paid all of it, short texts would
/// run on slow targets also while fast ones are idle.
const PRICE_SHARE: f64 = 0.5;

/// The targets of a service in comparison with each other.
#[derive(Debug)]
pub(crate) struct SpeedComparison<'a> {
    now: Moment,
    /// Used for targets whose unit time is unknown.
    median_ms: f64,
    fastest_ms: f64,
    slowest_ms: f64,
    /// Targets that get only work that no other target has room for.
    outliers: Vec<&'a InstanceId>,
}

impl<'a> SpeedComparison<'a> {
    /// Compares the long-term speeds of targets.
    pub fn new(now: Moment, targets: &[&'a TargetState]) -> Self {
        let usual = targets.iter().filter_map(|state| state.speed.usual_ms());
        let mut usual: Vec<f64> = usual.collect();
        usual.sort_by(f64::total_cmp);
        let median_ms = usual.get(usual.len() / 2).copied().unwrap_or(1.0);
        let outliers = outliers(targets, median_ms);
        let ordinary = targets.iter().filter(|state| !outliers.contains(&&state.record.instance));
        let slowest_ms = ordinary.filter_map(|state| state.speed.usual_ms()).fold(0.0, f64::max);
        Self {
            now,
            median_ms,
            fastest_ms: usual.first().copied().unwrap_or(median_ms),
            slowest_ms: if slowest_ms > 0.0 { slowest_ms } else { median_ms },
            outliers,
        }
    }

    /// Whether a target gets only work that no other target has room for.
    pub fn is_outlier(&self, state: &TargetState) -> bool {
        self.outliers.contains(&&state.record.instance)
    }

    /// Returns the targets to compare for a request among those that fit: without the outliers as
    /// long as another one has room.
    pub fn preferred(&self, mut fitting: Vec<&'a TargetState>) -> Vec<&'a TargetState> {
        let has_room = |state: &TargetState| {
            self.now >= state.backoff_until && state.load(self.now) < state.slots()
        };
        if fitting.iter().any(|state| !self.is_outlier(state) && has_room(state)) {
            fitting.retain(|state| !self.is_outlier(state));
        }
        fitting
    }

    /// The cost of one more request at a target, comparable among targets of one service.
    pub fn cost(&self, state: &TargetState, work: Option<PredictedWork>, domain_cost: f64) -> f64 {
        match work {
            Some(work) => self.text_cost(state, work, state.load(self.now)),
            None => self.plain_cost(state) + domain_cost,
        }
    }

    fn plain_cost(&self, state: &TargetState) -> f64 {
        let slowness = self.usual_ms(state) / self.fastest_ms;
        load_ratio(state, state.load(self.now)) * slowness * state.speed.slowdown_factor(self.now)
    }

    /// The cost of a text at a target with `load` other requests, in milliseconds.
    fn text_cost(&self, state: &TargetState, work: PredictedWork, load: u32) -> f64 {
        let load_factor = 1.0 + TEXT_LOAD_WEIGHT * load_ratio(state, load);
        self.text_ms(state, work) * load_factor + self.price_ms(state, work)
    }

    /// Compares the rest of a run at `here` and at `other`. Returns an estimate if the run should
    /// move there.
    ///
    /// Besides the remaining times, the costs must justify the move: otherwise a run would take a
    /// slot that a longer text needs, or would be started at `here` again after it has left.
    pub fn compare_run(
        &self,
        here: &TargetState,
        other: &TargetState,
        run: &RunProgress,
    ) -> Option<MoveEstimate> {
        let here_ms = remaining_ms(here, run);
        let prefill_ms = self.prefill_ms(here, other, run);
        let elsewhere_ms = prefill_ms + self.text_ms(other, run.left);
        let other_cost = self.text_cost(other, run.left, other.load(self.now));
        let left_load = here.load(self.now).saturating_sub(1);
        let moves = elsewhere_ms < here_ms
            && prefill_ms + other_cost < here_ms + self.price_ms(here, run.left)
            && other_cost < self.text_cost(here, run.left, left_load);
        moves.then(|| MoveEstimate {
            here: duration_of_ms(here_ms),
            elsewhere: duration_of_ms(elsewhere_ms),
        })
    }

    /// The expected time of a text at a target, in milliseconds.
    fn text_ms(&self, state: &TargetState, work: PredictedWork) -> f64 {
        expected_ms(self.usual_ms(state) * work.units.get(), state.speed.slowdown_factor(self.now))
    }

    /// The expected time to read the prompt of a run again at another target, in milliseconds.
    fn prefill_ms(&self, here: &TargetState, other: &TargetState, run: &RunProgress) -> f64 {
        let slowness = self.usual_ms(other) / self.usual_ms(here);
        let prefill_ms = run.prefill.as_secs_f64() * 1_000.0 * slowness;
        prefill_ms * other.speed.slowdown_factor(self.now)
    }

    /// What a text must save on a fast target to be worth its slot, in milliseconds.
    fn price_ms(&self, state: &TargetState, work: PredictedWork) -> f64 {
        let longer = (work.reference.get() - work.units.get()).max(0.0);
        PRICE_SHARE * longer * (self.slowest_ms - self.usual_ms(state)).max(0.0)
    }

    fn usual_ms(&self, state: &TargetState) -> f64 {
        state.speed.usual_ms().unwrap_or(self.median_ms)
    }
}

/// The expected remaining time of a run at its target, in milliseconds. The slowdown is taken from
/// the run's last measurement, which is usually newer than the target's last report.
fn remaining_ms(state: &TargetState, run: &RunProgress) -> f64 {
    let measured_ms = run.unit_time.as_secs_f64() * 1_000.0;
    let usual_ms = state.speed.usual_ms().unwrap_or(measured_ms);
    expected_ms(usual_ms * run.left.units.get(), measured_ms / usual_ms)
}

/// Ratio of a target's requests to its slots with one more than `load`.
fn load_ratio(state: &TargetState, load: u32) -> f64 {
    f64::from(load + 1) / f64::from(state.slots())
}

/// Returns the targets that are far slower than the median, the slowest first if there are too
/// many.
fn outliers<'a>(targets: &[&'a TargetState], median_ms: f64) -> Vec<&'a InstanceId> {
    let settled = targets.iter().filter_map(|state| Some((state.speed.settled_ms()?, *state)));
    let mut slow: Vec<(f64, &TargetState)> =
        settled.filter(|(usual_ms, _)| *usual_ms >= median_ms * OUTLIER_FACTOR).collect();
    slow.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    slow.truncate(targets.len() / OUTLIER_SHARE);
    slow.into_iter().map(|(_, state)| &state.record.instance).collect()
}
