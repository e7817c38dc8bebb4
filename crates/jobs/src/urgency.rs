//! Urgency of waiting items, for ordering jobs by due time.
//!
//! The order serves four aims, in this order: groups that a trainer waits for come before others;
//! jobs that can still meet their due time come before jobs that can't; among each of these, the
//! least slack comes first, where a trainer whose earlier steps ended late and a higher priority
//! count as less slack; a job that can't meet its due time gains urgency with time, so that it is
//! never passed over for good.

use std::cmp::Ordering;

use ids::Priority;
use routing::DEFAULT_PRIORITY;

/// Priority at engines of items that have little slack left.
const URGENT_PRIORITY: Priority = Priority::new(4);
/// Priority at engines of items that have no slack left, counting their trainer's lateness.
const MOST_URGENT_PRIORITY: Priority = Priority::new(3);
/// Priority at engines of groups beyond those that the trainer waits for.
const SURPLUS_PRIORITY: Priority = Priority::new(6);
/// Priority at engines of items of a step that has all its wanted groups.
const UNWANTED_PRIORITY: Priority = Priority::new(7);

/// Lowest priority that is told apart; lower ones count as this.
const LOWEST_PRIORITY: u8 = 9;
/// Slack that one level of priority counts for.
const PRIORITY_LEVEL_MS: f64 = 250.0;
/// Items with less slack than this are urgent at the engines.
const URGENT_SLACK_MS: f64 = 1_500.0;
/// A job counts as able to meet its due time up to this predicted lateness, since predictions are
/// inexact.
const LATE_TOLERANCE_MS: f64 = 200.0;
/// Slack that a job counts as having when it becomes unable to meet its due time; jobs that can meet
/// theirs and have less come first, and those with more can still wait. A larger value makes single
/// steps very late; a smaller one makes more steps late.
const LATE_RANK_MS: f64 = 3_000.0;
/// Maximum lateness of a trainer's earlier steps that counts. Also bounds the effect of an outage on
/// the order after it.
const MAX_BEHIND_MS: f64 = 10_000.0;
/// Assumed time until a job without a due time is due.
const ASSUMED_DUE_MS: f64 = 30_000.0;
/// Slack from which open work has its plain weight when engines are divided.
const RELAXED_SLACK_MS: f64 = 6_000.0;
/// Weight of the work of groups beyond those that the trainer waits for.
const SURPLUS_WEIGHT: f64 = 0.25;

/// Standing of one job relative to its due time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobStanding {
    /// Time since the job was accepted.
    pub age_ms: f64,
    /// Time until the job is due, negative afterwards; `None` if it has no due time.
    pub due_in_ms: Option<f64>,
    /// Longest predicted remaining time of the waiting items that the trainer waits for.
    pub longest_ms: f64,
    /// How late the earlier steps of its trainer ended, or are by now.
    pub behind_ms: f64,
    /// Priority of its customer or route.
    pub priority: Priority,
}

impl JobStanding {
    /// Returns the predicted slack of the job; negative if it can't meet its due time any more.
    pub fn slack_ms(&self) -> f64 {
        self.due_in_ms.unwrap_or(ASSUMED_DUE_MS - self.age_ms) - self.longest_ms
    }

    fn is_late(&self) -> bool {
        self.due_in_ms.is_some() && self.slack_ms() < -LATE_TOLERANCE_MS
    }

    /// Returns the slack that the trainer's lateness and the priority count for.
    fn credit_ms(&self) -> f64 {
        let level =
            f64::from(DEFAULT_PRIORITY.get()) - f64::from(self.priority.get().min(LOWEST_PRIORITY));
        self.behind_ms.clamp(0.0, MAX_BEHIND_MS) + level * PRIORITY_LEVEL_MS
    }

    /// Returns the urgency of an item with this predicted remaining time.
    pub fn urgency(&self, group: GroupStanding, remaining_ms: f64) -> Urgency {
        let rank = if self.is_late() {
            // All items of a late job rank alike, so that its groups are completed one by one.
            LATE_RANK_MS + self.slack_ms()
        } else {
            self.slack_ms() + self.longest_ms - remaining_ms
        };
        Urgency { group, rank_ms: rank - self.credit_ms() }
    }

    /// Returns the weight of the job's wanted open work when engines are divided among models: 1
    /// with ample slack, 2 at no slack, at most 3 when late.
    fn weight(&self) -> f64 {
        let tightness = (RELAXED_SLACK_MS - self.slack_ms()) / RELAXED_SLACK_MS;
        1.0 + tightness.clamp(0.0, 2.0)
    }

    /// Returns the work due of an item with this predicted remaining time.
    pub fn work_due_ms(&self, group: GroupStanding, remaining_ms: f64) -> f64 {
        match group {
            GroupStanding::Wanted { .. } => remaining_ms * self.weight(),
            GroupStanding::Surplus { .. } => remaining_ms * SURPLUS_WEIGHT,
        }
    }
}

/// Whether the trainer waits for a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupStanding {
    /// The trainer waits for it.
    Wanted {
        /// Position among the wanted groups, nearest to completion first.
        position: u32,
    },
    /// Enough other groups are nearer to completion.
    Surplus {
        /// Whether the job has all its wanted groups already.
        step_complete: bool,
    },
}

/// Urgency of a waiting item; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    group: GroupStanding,
    /// Adjusted slack in milliseconds: the slack less what the trainer's lateness and the priority
    /// count for. If items are ordered by acceptance, their latest start.
    rank_ms: f64,
}

impl Urgency {
    /// Returns the urgency that orders items by a number alone, smallest first.
    pub(crate) const fn by_rank(rank_ms: f64) -> Self {
        Self { group: GroupStanding::Wanted { position: 0 }, rank_ms }
    }

    /// Compares two urgencies; the more urgent one is less.
    pub fn compare(self, other: Self) -> Ordering {
        let key = |urgency: Self| match urgency.group {
            GroupStanding::Wanted { position } => (0_u8, position),
            GroupStanding::Surplus { step_complete } => (1 + u8::from(step_complete), 0),
        };
        let ((tier, position), (other_tier, other_position)) = (key(self), key(other));
        tier.cmp(&other_tier)
            .then(self.rank_ms.total_cmp(&other.rank_ms))
            .then(position.cmp(&other_position))
    }

    /// Returns the adjusted slack, to compare with items of other shards; `None` for groups that the
    /// trainer doesn't wait for.
    #[expect(clippy::cast_possible_truncation, reason = "float-to-integer conversion saturates")]
    pub fn wanted_slack_ms(self) -> Option<i64> {
        matches!(self.group, GroupStanding::Wanted { .. }).then_some(self.rank_ms as i64)
    }

    /// Returns the priority of the item's requests to engines.
    pub const fn engine_priority(self) -> Priority {
        match self.group {
            GroupStanding::Surplus { step_complete: true } => UNWANTED_PRIORITY,
            GroupStanding::Surplus { step_complete: false } => SURPLUS_PRIORITY,
            GroupStanding::Wanted { .. } if self.rank_ms < 0.0 => MOST_URGENT_PRIORITY,
            GroupStanding::Wanted { .. } if self.rank_ms < URGENT_SLACK_MS => URGENT_PRIORITY,
            GroupStanding::Wanted { .. } => DEFAULT_PRIORITY,
        }
    }
}
