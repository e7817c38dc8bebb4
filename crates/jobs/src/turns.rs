//! Which waiting item starts next, over all jobs of a shard.
//!
//! When places at targets are scarce, what decides when a step is whole is when its longest texts begin.
//! So of all jobs' first items the one goes first that must start the soonest to end in time with the
//! others: a long text of a later job before a short one of an earlier job.

use std::sync::Arc;

use ids::{InstanceId, JobId, Moment};

use crate::book::CONDEMNED_PAUSE;
use crate::item::ItemPhase;
use crate::order::LatestStart;
use crate::{BlockReason, ItemRef, JobTable, RunSpec};

/// The next item of one job.
struct JobTurn {
    job: JobId,
    /// Its place among those that wait.
    at: usize,
    index: u32,
    /// The job's runs wait: only items that need no engine may start.
    held: bool,
    latest_start: LatestStart,
}

fn take_first(turns: &mut Vec<JobTurn>) -> Option<JobTurn> {
    let by_start = turns.iter().enumerate();
    let first = by_start.min_by(|(_, a), (_, b)| a.latest_start.order(b.latest_start));
    let (at, _) = first?;
    // Not swapped: equals stay in the order in which their jobs came.
    Some(turns.remove(at))
}

impl JobTable {
    /// Items that may start now, best first, each with the model and the oldest version that
    /// its target must hold. `start` says which target it has found for the item, none where only its
    /// reward call is missing; when it finds none for a run, the runs of that job wait too.
    ///
    /// Of all jobs' first items, the one goes first whose latest start is the soonest: a long text of
    /// a later job before a short one of an earlier job.
    pub fn start_ready(
        &mut self,
        now: Moment,
        mut start: impl FnMut(RunSpec) -> Result<Option<InstanceId>, BlockReason>,
    ) {
        let mut turns: Vec<JobTurn> = Vec::new();
        for id in self.open.clone() {
            if let Some(state) = self.jobs.get_mut(&id) {
                state.trace.hold(now, None);
            }
            turns.extend(self.turn(now, id, 0, false));
        }
        while let Some(turn) = take_first(&mut turns) {
            let Some(state) = self.jobs.get_mut(&turn.job) else { continue };
            let index = turn.index;
            let item = &state.items[index as usize];
            let spec = RunSpec {
                item: ItemRef { job: turn.job.clone(), index },
                job: Arc::clone(&state.job),
                events: item.events,
                newest: item.versions.last().copied(),
                complete: item.complete,
                run: item.run + 1,
            };
            let target = match start(spec) {
                Ok(target) => target,
                Err(BlockReason::Quarantined) => {
                    state.trace.hold(now, Some(BlockReason::Quarantined));
                    state.items[index as usize].not_before = now + CONDEMNED_PAUSE;
                    turns.extend(self.turn(now, turn.job, turn.at + 1, turn.held));
                    continue;
                }
                Err(hold) => {
                    state.trace.hold(now, Some(hold));
                    turns.extend(self.turn(now, turn.job, turn.at + 1, true));
                    continue;
                }
            };
            state.trace.started(now, index, target);
            let item = &mut state.items[index as usize];
            item.phase = ItemPhase::Running;
            item.run += 1;
            item.started_at = now;
            state.waiting.remove(turn.at);
            turns.extend(self.turn(now, turn.job, turn.at, turn.held));
        }
    }

    /// The next item of a job that may start, from a place in its order on; while the job is `held`, the
    /// next one of which only the reward call is missing.
    fn turn(&self, now: Moment, job: JobId, from: usize, held: bool) -> Option<JobTurn> {
        let state = self.jobs.get(&job).filter(|state| !state.ended && !state.ending)?;
        let mut waiting = state.waiting.iter().copied().enumerate().skip(from);
        let (at, index) = waiting.find(|(_, index)| {
            let item = &state.items[*index as usize];
            now >= item.not_before && (item.complete || !held)
        })?;
        let hint = state.job.items.get(index as usize).map_or(0, |item| item.length_hint);
        let latest_start = self.pace.latest_start(state.taken_at, hint);
        Some(JobTurn { job, at, index, held, latest_start })
    }
}
