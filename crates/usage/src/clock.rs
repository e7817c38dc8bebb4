//! Cluster time, derived from the clocks of several boxes.
//!
//! A box's wall clock is usually accurate, but may step by seconds and step back later. Its
//! monotonic clock does not. Cluster time is therefore the monotonic clock plus an offset, which is
//! the median of the offsets that the boxes report. It is accurate as long as fewer than half of
//! the clocks are wrong. Small differences, such as drift, are applied at once. A larger step is
//! applied only after it has lasted for `STEP_WINDOW`.

use std::collections::HashMap;
use std::time::Duration;

use ids::{BoxId, Moment};

/// Milliseconds since the Unix epoch, in cluster time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Wraps milliseconds since the Unix epoch.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn millis(self) -> u64 {
        self.0
    }
}

/// Larger changes of the offset count as a step. Synchronized clocks differ by tens of
/// milliseconds.
const STEP_MILLIS: i64 = 250;
/// How long a step must last before it is applied. Wrong clocks are usually corrected within
/// seconds, so a step that lasts is itself a correction.
const STEP_WINDOW: Duration = Duration::from_secs(90);
/// How long a box's reading is used after it was received.
const READING_TTL: Duration = Duration::from_secs(3);
/// Number of readings, including this box's own, that make a quorum. Only then is the offset
/// kept against a step.
const QUORUM: usize = 3;

#[derive(Debug, Clone, Copy)]
struct ClockReading {
    offset: i64,
    received_at: Moment,
}

/// Cluster time, as estimated by one box.
#[derive(Debug, Clone, Default)]
pub struct ClusterClock {
    /// Offset from the monotonic clock, in milliseconds.
    offset: Option<i64>,
    /// Whether a quorum has agreed on the offset, which then resists steps.
    anchored: bool,
    /// A different offset that the readings agree on, and since when.
    pending_step: Option<(i64, Moment)>,
    readings: HashMap<BoxId, ClockReading>,
}

impl ClusterClock {
    /// Records the wall clock of a box, this one or another.
    pub fn observe(&mut self, now: Moment, from: &BoxId, time: UnixTime) {
        let reading = ClockReading { offset: offset_of(now, time), received_at: now };
        self.readings.insert(from.clone(), reading);
        self.readings.retain(|_, reading| now.since(reading.received_at) < READING_TTL);
        self.update_offset(now);
    }

    /// Adopts the cluster time of a box that has a quorum.
    pub fn follow(&mut self, now: Moment, time: UnixTime) {
        self.anchored = true;
        self.pending_step = None;
        self.offset = Some(offset_of(now, time));
    }

    /// Returns the current cluster time; `None` before the first reading.
    pub fn now(&self, now: Moment) -> Option<UnixTime> {
        let millis = steady_millis(now).saturating_add(self.offset?);
        u64::try_from(millis).ok().map(UnixTime)
    }

    /// Whether a quorum has agreed on the offset.
    pub const fn is_anchored(&self) -> bool {
        self.anchored
    }

    fn update_offset(&mut self, now: Moment) {
        let Some(median_offset) =
            median(self.readings.values().map(|reading| reading.offset).collect())
        else {
            return;
        };
        let has_quorum = self.readings.len() >= QUORUM;
        let is_near =
            self.offset.is_some_and(|offset| (offset - median_offset).abs() <= STEP_MILLIS);
        if !self.anchored || is_near {
            self.offset = Some(median_offset);
            self.anchored |= has_quorum;
            self.pending_step = None;
            return;
        }
        let pending =
            self.pending_step.filter(|(offset, _)| (offset - median_offset).abs() <= STEP_MILLIS);
        let (_, since) = pending.unwrap_or((median_offset, now));
        self.pending_step = Some((median_offset, since));
        if has_quorum && now.since(since) >= STEP_WINDOW {
            self.offset = Some(median_offset);
            self.pending_step = None;
        }
    }
}

fn steady_millis(now: Moment) -> i64 {
    i64::try_from(now.since(Moment::START).as_millis()).unwrap_or(i64::MAX)
}

fn offset_of(now: Moment, time: UnixTime) -> i64 {
    i64::try_from(time.millis()).unwrap_or(i64::MAX).saturating_sub(steady_millis(now))
}

/// Returns the median; for an even count, the mean of the two middle values.
fn median(mut offsets: Vec<i64>) -> Option<i64> {
    offsets.sort_unstable();
    let middle = offsets.len() / 2;
    let upper = *offsets.get(middle)?;
    if offsets.len() % 2 == 1 {
        return Some(upper);
    }
    let lower = offsets[middle - 1];
    Some(lower + (upper - lower) / 2)
}
