//! Repair of the sealed segments of a shard, without I/O.
//!
//! Each box that a plan names for copies pulls the sealed segments that it lacks and reports those
//! that it holds. The server of the shard updates the plan once all of its boxes hold a segment.
//! Until then the plan names the previous holders, so a segment never has fewer holders than
//! before.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use ids::{BoxId, FencingToken};

use crate::{SealedSegment, ShardPlan, StorageBox};

/// Pause after the first failed pull of a shard's segments.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause after a failed pull.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Returns the sealed segments that a box has to pull, oldest first. `held` contains the tokens of
/// the segments that it holds.
pub fn missing_segments<'a>(
    plan: &'a ShardPlan,
    me: &BoxId,
    held: &BTreeSet<FencingToken>,
) -> Vec<&'a SealedSegment> {
    if plan.rank(me).is_none() {
        return Vec::new();
    }
    plan.sealed.iter().filter(|segment| !held.contains(&segment.epoch.token)).collect()
}

/// Returns the boxes from which `me` pulls a segment, best first.
///
/// These are the boxes that the segment names, then the other boxes of the plan: a server holds all
/// segments, also if every box that a segment names was lost before the plan was updated. A box
/// without the segment refuses.
///
/// Boxes in `failing` come last. Boxes of the own failure domain come first, because bytes between
/// domains are priced. Among them the shard's server is last, because it sends the appends.
pub fn segment_sources<'a>(
    plan: &'a ShardPlan,
    segment: &'a SealedSegment,
    me: &StorageBox,
    failing: &[BoxId],
) -> Vec<&'a StorageBox> {
    let is_named =
        |copy: &StorageBox| segment.copies.iter().any(|holder| holder.box_id == copy.box_id);
    let unnamed = plan.copies.iter().filter(|copy| !is_named(copy));
    let others = segment.copies.iter().chain(unnamed);
    let mut sources: Vec<&StorageBox> = others.filter(|copy| copy.box_id != me.box_id).collect();
    sources.sort_by_key(|copy| {
        let is_server = plan.rank(&copy.box_id) == Some(0);
        (failing.contains(&copy.box_id), !is_named(copy), copy.domain != me.domain, is_server)
    });
    sources
}

/// Returns the plan with updated copies of its sealed segments, or `None` if there is nothing to
/// write. The epoch stays the same.
///
/// `holds` returns whether a box reported under this plan's token that it holds the segment with
/// the given token. `oldest_needed` is the oldest segment with records of kept jobs; `None` if there
/// are no jobs. Older segments are left out of the new plan; they cause a write only if they name a
/// box that has no other copy, such as one being retired.
pub fn updated_plan(
    plan: &ShardPlan,
    oldest_needed: Option<FencingToken>,
    holds: impl Fn(&BoxId, FencingToken) -> bool,
) -> Option<ShardPlan> {
    let mut changed = false;
    let mut sealed = Vec::with_capacity(plan.sealed.len());
    for segment in &plan.sealed {
        if oldest_needed.is_none_or(|oldest| segment.epoch.token < oldest) {
            changed |= segment.copies.iter().any(|copy| plan.rank(&copy.box_id).is_none());
        } else if !has_same_boxes(&segment.copies, &plan.copies)
            && held_by_all(plan, segment, &holds)
        {
            changed = true;
            sealed.push(SealedSegment { copies: plan.copies.clone(), ..segment.clone() });
        } else {
            sealed.push(segment.clone());
        }
    }
    changed.then(|| ShardPlan { sealed, ..plan.clone() })
}

/// Returns the number of sealed segments that not every box of the plan holds.
pub fn incomplete_segments(
    plan: &ShardPlan,
    holds: impl Fn(&BoxId, FencingToken) -> bool,
) -> usize {
    plan.sealed.iter().filter(|segment| !held_by_all(plan, segment, &holds)).count()
}

fn held_by_all(
    plan: &ShardPlan,
    segment: &SealedSegment,
    holds: impl Fn(&BoxId, FencingToken) -> bool,
) -> bool {
    plan.copies.iter().all(|copy| holds(&copy.box_id, segment.epoch.token))
}

fn has_same_boxes(first: &[StorageBox], second: &[StorageBox]) -> bool {
    let ids = |copies: &[StorageBox]| -> HashSet<BoxId> {
        copies.iter().map(|copy| copy.box_id.clone()).collect()
    };
    ids(first) == ids(second)
}

/// Orders the partners of the epoch that follows `base`: boxes that hold all segments come first,
/// since the order decides who takes over first and a box without them has to fetch them.
///
/// `reported` returns whether a box holds a segment according to its report, and `None` without a
/// report under this plan's token. The plan decides then. A report is preferred because the plan
/// still names a box whose disk was lost.
pub fn order_partners(
    base: &ShardPlan,
    mut partners: Vec<StorageBox>,
    reported: impl Fn(&BoxId, FencingToken) -> Option<bool>,
) -> Vec<StorageBox> {
    let holds_all = |copy: &StorageBox| {
        let is_named = |segment: &SealedSegment| {
            segment.copies.iter().any(|holder| holder.box_id == copy.box_id)
        };
        // The segment of the base epoch is held by the boxes of its plan.
        base.rank(&copy.box_id).is_some()
            && base.sealed.iter().all(|segment| {
                reported(&copy.box_id, segment.epoch.token).unwrap_or_else(|| is_named(segment))
            })
    };
    partners.sort_by_key(|copy| !holds_all(copy));
    partners
}

/// Pause between failed pulls of a shard's segments. It doubles with each failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryPause(Option<Duration>);

impl RetryPause {
    /// Records a failure and returns the pause before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        let pause = self.0.map_or(FIRST_PAUSE, |last| (last * 2).min(MAX_PAUSE));
        self.0 = Some(pause);
        pause
    }
}
