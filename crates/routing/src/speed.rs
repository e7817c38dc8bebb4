//! Speed estimates of one target: its long-term speed and its current slowdown.

use std::num::NonZeroU32;
use std::time::Duration;

use ids::Moment;

/// How long a reported slowdown is used. It changes many times a second.
const SLOWDOWN_TTL: Duration = Duration::from_millis(400);
/// How much longer a current slowdown is expected to last. Without this limit a text of several
/// seconds would avoid an engine because of a slowdown that ends after a fraction of that time.
const EXPECTED_SLOWDOWN_MS: f64 = 400.0;
/// Weight of the newest measurement in the moving average of the long-term unit time.
const SMOOTHING: f64 = 0.2;
/// Limits the effect of a measurement taken without a current report, which may be slowed down by
/// an unknown factor.
const MAX_UNREPORTED_CHANGE: f64 = 1.5;
/// Number of measurements from which a target may count as an outlier.
const MIN_OUTLIER_MEASUREMENTS: u32 = 4;

/// How long work currently takes at a target, relative to the usual time there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slowdown(NonZeroU32);

impl Slowdown {
    /// Creates a slowdown from a percentage of the usual time; `None` for zero.
    pub fn from_percent(percent: u32) -> Option<Self> {
        NonZeroU32::new(percent).map(Self)
    }

    /// Returns the percentage of the usual time.
    pub const fn percent(self) -> u32 {
        self.0.get()
    }

    /// Returns the factor by which the usual time is multiplied.
    pub fn factor(self) -> f64 {
        f64::from(self.0.get()) / 100.0
    }
}

/// The speed estimates of one target.
#[derive(Debug, Default)]
pub(crate) struct SpeedEstimate {
    /// Smoothed time per unit of work without slowdown; zero before the first measurement.
    usual_ms: f64,
    measurements: u32,
    report: Option<(Moment, Slowdown)>,
}

impl SpeedEstimate {
    /// Records a reported slowdown. Returns whether it is the first.
    pub fn record_slowdown(&mut self, now: Moment, slowdown: Slowdown) -> bool {
        self.report.replace((now, slowdown)).is_none()
    }

    /// Whether the target has ever reported a slowdown.
    pub const fn has_reported(&self) -> bool {
        self.report.is_some()
    }

    /// The reported slowdown, unless the report has expired.
    pub fn slowdown(&self, now: Moment) -> Option<Slowdown> {
        let (at, slowdown) = self.report?;
        (now.since(at) < SLOWDOWN_TTL).then_some(slowdown)
    }

    /// The current slowdown as a factor; 1 if it is unknown.
    pub fn slowdown_factor(&self, now: Moment) -> f64 {
        self.slowdown(now).map_or(1.0, Slowdown::factor)
    }

    /// Records a measured time per unit of work.
    pub fn record_unit_time(&mut self, now: Moment, millis: f64) {
        let reported = self.slowdown(now);
        let usual = millis / reported.map_or(1.0, Slowdown::factor);
        self.measurements = self.measurements.saturating_add(1);
        if self.usual_ms == 0.0 {
            self.usual_ms = usual;
            return;
        }
        let usual = if reported.is_some() {
            usual
        } else {
            usual
                .clamp(self.usual_ms / MAX_UNREPORTED_CHANGE, self.usual_ms * MAX_UNREPORTED_CHANGE)
        };
        self.usual_ms += SMOOTHING * (usual - self.usual_ms);
    }

    /// The long-term time per unit of work in milliseconds, if it was measured.
    pub fn usual_ms(&self) -> Option<f64> {
        (self.usual_ms > 0.0).then_some(self.usual_ms)
    }

    /// The long-term time per unit of work, if it was measured often enough to judge the target.
    pub fn settled_ms(&self) -> Option<f64> {
        self.usual_ms().filter(|_| self.measurements >= MIN_OUTLIER_MEASUREMENTS)
    }
}

/// Converts milliseconds to a duration.
pub(crate) fn duration_of_ms(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX)
}

/// Returns the expected time, in milliseconds, of work that usually takes `usual_ms` at a target
/// that is currently slowed down by `slowdown`: the slowdown ends after a while.
pub(crate) fn expected_ms(usual_ms: f64, slowdown: f64) -> f64 {
    let slowed_ms = usual_ms * slowdown;
    if slowed_ms <= EXPECTED_SLOWDOWN_MS {
        return slowed_ms;
    }
    EXPECTED_SLOWDOWN_MS + usual_ms - EXPECTED_SLOWDOWN_MS / slowdown
}
