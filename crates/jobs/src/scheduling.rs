//! Start order of waiting items over all jobs of a shard.
//!
//! When target capacity is scarce, a step completes when its longest texts do. So among the first
//! items of all jobs, the one with the smallest [`LatestStart`] goes first: a long text of a later
//! job may start before a short one of an earlier job. If items are ordered by due time instead, the
//! most urgent one goes first ([`JobTable::rank_waiting`]).

use std::sync::Arc;

use ids::{InstanceId, JobId, Moment};

use crate::item::ItemPhase;
use crate::table::SPACED_RETRY_DELAY;
use crate::{BlockReason, ItemRef, JobTable, RunSpec, Urgency};

/// The next startable item of one job.
struct StartCandidate {
    job: JobId,
    /// Index of the item in the job's queue.
    offset: usize,
    index: u32,
    /// Whether the job's runs are blocked; only items that need just their reward call may start.
    blocked: bool,
    urgency: Urgency,
}

fn take_most_urgent(candidates: &mut Vec<StartCandidate>) -> Option<StartCandidate> {
    let by_start = candidates.iter().enumerate();
    let first = by_start.min_by(|(_, a), (_, b)| a.urgency.compare(b.urgency));
    let (at, _) = first?;
    // `remove` keeps the order of the others, so ties go to the candidate added first.
    Some(candidates.remove(at))
}

impl JobTable {
    /// Starts the items that may start now, most urgent first. `start` returns the target that it
    /// chose for the item, or `None` if only the reward call is missing. If it finds no target for
    /// a run, the other runs of that job are blocked too, except when the item is spaced after
    /// crashes.
    pub fn start_ready(
        &mut self,
        now: Moment,
        mut start: impl FnMut(RunSpec) -> Result<Option<InstanceId>, BlockReason>,
    ) {
        let mut candidates: Vec<StartCandidate> = Vec::new();
        for id in self.open.clone() {
            if let Some(state) = self.jobs.get_mut(&id) {
                state.trace.set_block_reason(now, None);
            }
            candidates.extend(self.candidate(now, id, 0, false));
        }
        while let Some(next) = take_most_urgent(&mut candidates) {
            let Some(state) = self.jobs.get_mut(&next.job) else { continue };
            let index = next.index;
            let item = &state.items[index as usize];
            let hint = state.job.items.get(index as usize).map_or(0, |item| item.length_hint);
            let spec = RunSpec {
                item: ItemRef { job: next.job.clone(), index },
                job: Arc::clone(&state.job),
                events: item.events,
                text_bytes: item.text.len(),
                newest: item.versions.last().copied(),
                complete: item.complete,
                run: item.run + 1,
                silent_runs: item.silent_runs,
                forecast: self.lengths.forecast(hint),
                urgency: state.ranks.urgency(index),
            };
            let target = match start(spec) {
                Ok(target) => target,
                Err(BlockReason::CrashSpacing) => {
                    state.trace.set_block_reason(now, Some(BlockReason::CrashSpacing));
                    state.items[index as usize].not_before = now + SPACED_RETRY_DELAY;
                    candidates.extend(self.candidate(now, next.job, next.offset + 1, next.blocked));
                    continue;
                }
                Err(reason) => {
                    state.trace.set_block_reason(now, Some(reason));
                    candidates.extend(self.candidate(now, next.job, next.offset + 1, true));
                    continue;
                }
            };
            state.trace.run_started(now, index, target);
            let item = &mut state.items[index as usize];
            item.phase = ItemPhase::Running;
            item.run += 1;
            item.started_at = now;
            state.waiting.remove(next.offset);
            candidates.extend(self.candidate(now, next.job, next.offset, next.blocked));
        }
    }

    /// Returns the next item of a job that may start, from index `from` of its queue. If
    /// `blocked`, returns the next item that needs only its reward call.
    fn candidate(
        &self,
        now: Moment,
        job: JobId,
        from: usize,
        blocked: bool,
    ) -> Option<StartCandidate> {
        let state = self.jobs.get(&job).filter(|state| !state.ended && !state.ending)?;
        let mut waiting = state.waiting.iter().copied().enumerate().skip(from);
        let (offset, index) = waiting.find(|(_, index)| {
            let item = &state.items[*index as usize];
            now >= item.not_before && (item.complete || !blocked)
        })?;
        let hint = state.job.items.get(index as usize).map_or(0, |item| item.length_hint);
        let latest_start = self.durations.latest_start(state.accepted_at, hint);
        let urgency = state.ranks.urgency(index).unwrap_or_else(|| latest_start.urgency());
        Some(StartCandidate { job, offset, index, blocked, urgency })
    }
}
