//! Ranks the waiting items of all jobs of a shard by due time.

use std::collections::HashMap;
use std::time::Duration;

use ids::{JobId, Moment, Priority};
use wire::peer::Job;

use crate::item::ItemPhase;
use crate::state::JobState;
use crate::trainers::TrainerKey;
use crate::{GroupStanding, JobStanding, JobTable, Urgency, run_order};

/// Minimum interval of ranking. Passes follow every change, many per interval, and ranks change
/// little in it.
const RANK_INTERVAL: Duration = Duration::from_millis(20);

/// Order in which waiting items start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StartOrder {
    /// By acceptance of their job and predicted length.
    #[default]
    Accepted,
    /// By urgency.
    Due,
}

/// Demand of a model for engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ModelDemand {
    /// Adjusted slack of the most urgent wanted item that waits for a slot.
    pub slack_ms: Option<i64>,
    /// Predicted engine time of the open items, weighted by slack.
    pub work_due_ms: f64,
}

/// Ranks of a job's items as of the last pass.
#[derive(Debug, Default)]
pub(crate) struct JobRanks {
    /// Urgency of each item.
    urgencies: Vec<Urgency>,
    /// Weighted work of the open items, in milliseconds.
    work_due_ms: f64,
}

impl JobRanks {
    /// Returns the urgency of an item; `None` if items are ordered by acceptance.
    pub fn urgency(&self, index: u32) -> Option<Urgency> {
        self.urgencies.get(index as usize).copied()
    }
}

impl JobTable {
    /// Sets the wall clock at `now`, from which the age of replayed jobs is derived.
    pub fn set_wall_time(&mut self, now: Moment, wall_ms: u64) {
        self.wall_time = Some((now, wall_ms));
    }

    /// Returns the wall clock at `now`.
    pub(crate) fn wall_ms(&self, now: Moment) -> Option<u64> {
        let (at, wall_ms) = self.wall_time?;
        Some(wall_ms.saturating_add(ids::whole_millis(now.since(at))))
    }

    /// Sets the order for the next pass and ranks the waiting items if it is by due time.
    /// `priority` returns the current priority of a job's customer or route.
    pub fn rank_waiting(
        &mut self,
        now: Moment,
        order: StartOrder,
        priority: impl Fn(&Job) -> Priority,
    ) {
        if order == StartOrder::Accepted {
            if self.order == StartOrder::Due {
                self.restore_accepted_order();
            }
            self.order = order;
            return;
        }
        let is_current = self.ranked_at.is_some_and(|at| now.since(at) < RANK_INTERVAL);
        if is_current && self.order == order && self.all_ranked() {
            return;
        }
        self.order = order;
        self.ranked_at = Some(now);
        // Lateness of each trainer, including that of its earlier jobs that are still open.
        let mut behind: HashMap<TrainerKey, f64> = HashMap::new();
        for id in &self.open {
            let Some(state) = self.jobs.get_mut(id) else { continue };
            let trainer = TrainerKey::of(&state.job);
            let recorded = self.lateness.get(&trainer);
            let behind_ms = behind.entry(trainer).or_insert(recorded);
            let durations = &self.durations;
            state.rank(now, *behind_ms, priority(&state.job), |hint| durations.remaining_ms(hint));
            if !state.trace.has_wanted()
                && let Some(due_in) = state.due.due_in_ms(now)
            {
                *behind_ms = behind_ms.max(-due_in);
            }
        }
    }

    fn all_ranked(&self) -> bool {
        let mut open = self.open.iter().filter_map(|id| self.jobs.get(id));
        open.all(|state| state.ranks.urgencies.len() == state.items.len())
    }

    fn restore_accepted_order(&mut self) {
        for state in self.jobs.values_mut() {
            state.ranks = JobRanks::default();
            let mut places = vec![0; state.items.len()];
            for (place, index) in run_order(&state.job).into_iter().enumerate() {
                places[index as usize] = place;
            }
            state.waiting.make_contiguous().sort_by_key(|index| places[*index as usize]);
        }
    }

    /// Returns the demand of each model as of the last pass, by model name.
    pub fn demand(&self) -> HashMap<&str, ModelDemand> {
        let mut demands: HashMap<&str, ModelDemand> = HashMap::new();
        for state in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let demand = demands.entry(state.job.model.as_str()).or_default();
            demand.work_due_ms += state.ranks.work_due_ms;
            if let Some(slack) = state.waiting_slack() {
                demand.slack_ms = Some(demand.slack_ms.map_or(slack, |least| least.min(slack)));
            }
        }
        demands
    }

    /// Returns how late, in milliseconds, the trainer of a job is: its last completed step.
    pub fn behind_ms(&self, id: &JobId) -> f64 {
        self.jobs.get(id).map_or(0.0, |state| self.lateness.get(&TrainerKey::of(&state.job)))
    }
}

impl JobState {
    /// Ranks the job's items and sorts those that wait. `predict` returns the predicted time of a
    /// length hint in milliseconds.
    fn rank(
        &mut self,
        now: Moment,
        behind_ms: f64,
        priority: Priority,
        predict: impl Fn(u32) -> f64,
    ) {
        let remaining: Vec<f64> = (self.job.items.iter().zip(&self.items))
            .map(|(request, item)| {
                let complete = item.complete;
                if complete {
                    0.0
                } else {
                    // A text longer than its hint has an unknown, small remainder.
                    predict(request.length_hint.saturating_sub(item.events).max(1))
                }
            })
            .collect();
        let is_open = |index: usize| self.items[index].phase != ItemPhase::Listed;
        let groups = self.groups.standings(|index| is_open(index).then_some(remaining[index]));
        let standing_of = |index: usize| {
            let group = groups.get(self.groups.group_of(index)).copied();
            group.unwrap_or(GroupStanding::Wanted { position: 0 })
        };
        let wanted = self.waiting.iter().map(|index| *index as usize);
        let wanted =
            wanted.filter(|index| matches!(standing_of(*index), GroupStanding::Wanted { .. }));
        let job = JobStanding {
            age_ms: now.since(self.accepted_at).as_secs_f64() * 1_000.0,
            due_in_ms: self.due.due_in_ms(now),
            longest_ms: wanted.map(|index| remaining[index]).fold(0.0, f64::max),
            behind_ms,
            priority,
        };
        let urgencies =
            (0..remaining.len()).map(|index| job.urgency(standing_of(index), remaining[index]));
        let urgencies: Vec<Urgency> = urgencies.collect();
        let open = (0..remaining.len()).filter(|index| is_open(*index));
        let work = open.map(|index| job.work_due_ms(standing_of(index), remaining[index]));
        let work_due_ms = work.sum();
        // The sort is stable: equally urgent items keep their order.
        self.waiting
            .make_contiguous()
            .sort_by(|a, b| urgencies[*a as usize].compare(urgencies[*b as usize]));
        self.ranks = JobRanks { urgencies, work_due_ms };
    }

    /// Returns the adjusted slack of the most urgent wanted item that found no free slot in the last
    /// pass.
    fn waiting_slack(&self) -> Option<i64> {
        if !self.trace.waits_for_slot() {
            return None;
        }
        let waiting = self.waiting.iter().filter(|index| !self.items[**index as usize].complete);
        waiting.filter_map(|index| self.ranks.urgency(*index)?.wanted_slack_ms()).min()
    }
}
