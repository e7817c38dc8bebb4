//! In which order items are started.

use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;
use std::time::Duration;

use ids::Moment;
use wire::peer::Job;

/// Items of groups that nobody waits for start as though their job had come this much later.
const SPARE_DELAY: Duration = Duration::from_secs(10);
/// What is known of texts fades: the last few hundred count.
const FADING: f64 = 0.995;

/// When an item should start at the latest, in milliseconds on the book's clock; may lie before its
/// start. Only the order of two of them means anything.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatestStart(f64);

impl LatestStart {
    pub(crate) fn order(self, other: Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

struct GroupPlan {
    first: usize,
    items: Vec<u32>,
    carried: bool,
    longest: u32,
}

/// The items of a job in the order in which they should start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOrder {
    /// Indices, first to start first.
    pub items: Vec<u32>,
    /// How many at the end belong to groups that the trainer does not wait for.
    pub spare: usize,
}

/// Orders the items of a job.
///
/// The trainer waits for the last item of its groups, so the longest items start first, by the caller's
/// guess. Of the groups beyond those that it waits for, the longest start last; never one that an earlier
/// job has left unfinished, since the trainer waits for all of those.
pub fn run_order(job: &Job, carried: impl Fn(&str) -> bool) -> RunOrder {
    let mut plans: Vec<GroupPlan> = Vec::new();
    let mut by_name: HashMap<&str, usize> = HashMap::new();
    for (index, item) in job.items.iter().enumerate() {
        let at = *by_name.entry(item.group.as_str()).or_insert_with(|| {
            plans.push(GroupPlan { first: index, items: Vec::new(), carried: false, longest: 0 });
            plans.len() - 1
        });
        let plan = &mut plans[at];
        plan.items.push(u32::try_from(index).unwrap_or(u32::MAX));
        plan.carried |= carried(&item.id);
        plan.longest = plan.longest.max(item.length_hint);
    }
    plans.sort_by_key(|plan| (!plan.carried, Reverse(plan.longest), plan.first));
    let carried = plans.iter().take_while(|plan| plan.carried).count();
    let wanted = match job.wanted_groups {
        // Not told: then all are waited for.
        0 => plans.len(),
        wanted => usize::try_from(wanted).unwrap_or(usize::MAX).max(carried),
    };
    let last = plans.len().saturating_sub(wanted);
    let spare: Vec<u32> =
        plans.drain(carried..carried + last).flat_map(|plan| plan.items).collect();
    let mut items: Vec<u32> = plans.into_iter().flat_map(|plan| plan.items).collect();
    // Stable: items that look equally long stay with their groups.
    items.sort_by_key(|index| Reverse(job.items[*index as usize].length_hint));
    let count = spare.len();
    items.extend(spare);
    RunOrder { items, spare: count }
}

/// How long texts take for the caller's guesses, as seen.
#[derive(Debug, Clone, Default)]
pub(crate) struct TextPace {
    millis: f64,
    hinted: f64,
}

impl TextPace {
    /// Takes the time that a whole text took.
    pub(crate) fn took(&mut self, hint: u32, time: Duration) {
        self.millis = self.millis * FADING + time.as_secs_f64() * 1_000.0;
        self.hinted = self.hinted * FADING + f64::from(hint);
    }

    /// When an item of a job taken at `taken_at` should start at the latest, as compared to others:
    /// the one with the least value first.
    pub(crate) fn latest_start(&self, taken_at: Moment, hint: u32, spare: bool) -> LatestStart {
        let text =
            if self.hinted > 0.0 { self.millis / self.hinted * f64::from(hint) } else { 0.0 };
        let delay = if spare { SPARE_DELAY } else { Duration::ZERO };
        LatestStart((taken_at.since(Moment::START) + delay).as_secs_f64() * 1_000.0 - text)
    }
}
