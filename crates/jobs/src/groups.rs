//! Groups of a job's items: which ones the trainer still waits for.

use std::collections::HashMap;

use wire::peer::{Job, JobItem};

use crate::GroupStanding;

/// The group of each item, and which groups were carried over.
#[derive(Debug, Default)]
pub(crate) struct JobGroups {
    of_item: Vec<usize>,
    /// Whether an earlier job contained an item of the group; the trainer waits for all of these.
    carried: Vec<bool>,
    wanted: usize,
}

/// Open work of one group.
#[derive(Debug, Clone, Copy, Default)]
struct OpenWork {
    items: u32,
    remaining_ms: f64,
}

impl JobGroups {
    /// Groups the items of a job. `is_carried` says whether an earlier job contained an item.
    pub fn new(job: &Job, is_carried: impl Fn(&JobItem) -> bool) -> Self {
        let mut indices: HashMap<&str, usize> = HashMap::new();
        let mut groups = Self { wanted: job.wanted_groups as usize, ..Self::default() };
        for item in &job.items {
            let next = indices.len();
            let index = *indices.entry(item.group.as_str()).or_insert(next);
            if index == groups.carried.len() {
                groups.carried.push(false);
            }
            groups.carried[index] |= is_carried(item);
            groups.of_item.push(index);
        }
        groups
    }

    /// Returns the group of an item.
    pub fn group_of(&self, item: usize) -> usize {
        self.of_item.get(item).copied().unwrap_or_default()
    }

    /// Returns the standing of each group. `open` returns the predicted remaining time of an item in
    /// milliseconds, or `None` if the item is listed.
    pub fn standings(&self, open: impl Fn(usize) -> Option<f64>) -> Vec<GroupStanding> {
        let mut work = vec![OpenWork::default(); self.carried.len()];
        for (item, group) in self.of_item.iter().enumerate() {
            if let Some(remaining_ms) = open(item) {
                work[*group].items += 1;
                work[*group].remaining_ms += remaining_ms;
            }
        }
        let mut incomplete: Vec<usize> = (0..work.len()).filter(|at| work[*at].items > 0).collect();
        let carried = incomplete.iter().filter(|group| self.carried[**group]).count();
        let still_wanted = if self.wanted == 0 {
            // The sender didn't say how many groups it waits for.
            incomplete.len()
        } else {
            self.wanted.saturating_sub(work.len() - incomplete.len()).max(carried)
        };
        // The sort is stable: equal groups stay in the order of the job.
        incomplete.sort_by(|a, b| {
            let key = |group: usize| (!self.carried[group], work[group].items);
            let remaining = work[*a].remaining_ms.total_cmp(&work[*b].remaining_ms);
            key(*a).cmp(&key(*b)).then(remaining)
        });
        let step_complete = still_wanted == 0;
        let mut standings = vec![GroupStanding::Surplus { step_complete }; work.len()];
        for (position, group) in (0..).zip(incomplete.into_iter().take(still_wanted)) {
            standings[group] = GroupStanding::Wanted { position };
        }
        standings
    }
}
