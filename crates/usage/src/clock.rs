//! True time, from the clocks of several boxes.
//!
//! A box's time of day is near true time, but it may step by seconds, forward or back, and back again after a
//! while; its steady clock does not. So true time is counted by the steady clock from an offset that the boxes agree
//! on: each tells the others its own time of day, and the offset is the median of what they say. As long as fewer than
//! half of them are wrong, the median lies between right ones. An offset once taken is given up for one that differs by
//! more than a step only if that one lasts; smaller differences, such as drift, are followed at once.

use std::collections::HashMap;
use std::time::Duration;

use ids::{BoxId, Moment};

/// Milliseconds since the beginning of 1970, in true time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Wraps milliseconds.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// The milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }
}

/// A change of the offset beyond this is a step. Clocks that are kept in time lie within some tens of milliseconds of
/// each other, and a step that matters is seconds long.
const STEP_MILLIS: i64 = 250;
/// A step counts once it has lasted so long. Clocks that step by mistake are put right within some seconds; one that
/// stays has been put right itself.
const STEP_TIME: Duration = Duration::from_secs(90);
/// What a box has said of its time of day counts for so long.
const HEARD_TIME: Duration = Duration::from_secs(3);
/// Boxes that must have been heard, this one included, before an offset is held against a step.
const LEAST_VOICES: usize = 3;

#[derive(Debug, Clone, Copy)]
struct Voice {
    offset: i64,
    heard_at: Moment,
}

/// True time as one box knows it.
#[derive(Debug, Clone, Default)]
pub struct ClusterClock {
    /// What is added to the steady clock, in milliseconds.
    offset: Option<i64>,
    /// Whether enough boxes have agreed on it for it to be held.
    anchored: bool,
    /// Another offset that others agree on, and since when.
    doubt: Option<(i64, Moment)>,
    voices: HashMap<BoxId, Voice>,
}

impl ClusterClock {
    /// Takes what a box, this one or another, reads as its time of day now.
    pub fn observe(&mut self, now: Moment, from: &BoxId, time: UnixTime) {
        let voice = Voice { offset: offset_of(now, time), heard_at: now };
        self.voices.insert(from.clone(), voice);
        self.voices.retain(|_, voice| now.since(voice.heard_at) < HEARD_TIME);
        self.settle(now);
    }

    /// Takes true time from a box that has agreed on it with others.
    pub fn follow(&mut self, now: Moment, time: UnixTime) {
        self.anchored = true;
        self.doubt = None;
        self.offset = Some(offset_of(now, time));
    }

    /// True time now; `None` before anything was heard.
    pub fn now(&self, now: Moment) -> Option<UnixTime> {
        let millis = steady_millis(now).saturating_add(self.offset?);
        u64::try_from(millis).ok().map(UnixTime)
    }

    /// Whether several boxes have agreed on it.
    pub const fn is_anchored(&self) -> bool {
        self.anchored
    }

    fn settle(&mut self, now: Moment) {
        let Some(heard) = median(self.voices.values().map(|voice| voice.offset).collect()) else {
            return;
        };
        let enough = self.voices.len() >= LEAST_VOICES;
        let near = self.offset.is_some_and(|offset| (offset - heard).abs() <= STEP_MILLIS);
        if !self.anchored || near {
            self.offset = Some(heard);
            self.anchored |= enough;
            self.doubt = None;
            return;
        }
        let doubted = self.doubt.filter(|(offset, _)| (offset - heard).abs() <= STEP_MILLIS);
        let (_, since) = doubted.unwrap_or((heard, now));
        self.doubt = Some((heard, since));
        if enough && now.since(since) >= STEP_TIME {
            self.offset = Some(heard);
            self.doubt = None;
        }
    }
}

fn steady_millis(now: Moment) -> i64 {
    i64::try_from(now.since(Moment::START).as_millis()).unwrap_or(i64::MAX)
}

fn offset_of(now: Moment, time: UnixTime) -> i64 {
    i64::try_from(time.millis()).unwrap_or(i64::MAX).saturating_sub(steady_millis(now))
}

/// The middle one; of an even number the mean of the two in the middle.
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
