//! In which order the items of a job are started.

use std::collections::HashMap;

use wire::peer::Job;

/// One part in this many of a job's groups, those that look longest, starts last: a trainer
/// waits for nine groups in ten, and the longest samples of all end a step late.
const LAST_PARTS: usize = 10;

struct GroupPlan {
    first: usize,
    items: Vec<u32>,
    carried: bool,
    longest: u32,
}

/// The items of a job in the order in which they should start.
///
/// Whole groups count, so a group's items stay together. Groups that an earlier job has left
/// unfinished come first, for the trainer waits for all of them; then the others, longest first
/// by the caller's guess, except for the longest few.
pub fn run_order(job: &Job, carried: impl Fn(&str) -> bool) -> Vec<u32> {
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
    plans.sort_by_key(|plan| (!plan.carried, std::cmp::Reverse(plan.longest), plan.first));
    let carried = plans.iter().take_while(|plan| plan.carried).count();
    let last = (plans.len() / LAST_PARTS).min(plans.len() - carried);
    // The longest of the groups that nobody has to wait for move to the end.
    plans[carried..].rotate_left(last);
    plans.into_iter().flat_map(|plan| plan.items).collect()
}
