//! Logs the time breakdown of a job: one line per job.

use std::time::Duration;

use ids::{JobId, whole_millis};
use jobs::{BlockReason, StepSlack, StepTimings};

use crate::keeper::ShardKeeper;

/// Logged for a time that was not reached.
const NOT_REACHED: i64 = -1;

fn millis(time: Option<Duration>) -> i64 {
    time.map_or(NOT_REACHED, |time| i64::try_from(whole_millis(time)).unwrap_or(i64::MAX))
}

/// Logs a job's timings at its end, in milliseconds since the job was accepted here; -1 stands for
/// what did not happen. Slacks are negative if late, and 0 if `has_due` is false. The times of the
/// last wanted item and of block reasons are durations.
pub(crate) fn log_timings(keeper: &ShardKeeper, job: &JobId, timings: &StepTimings) {
    let step = keeper.jobs().step(job);
    let (item, last) = timings.last.clone().unwrap_or_default();
    let blocked = |reason: BlockReason| {
        let found = timings.blocked.iter().find(|(other, _)| *other == reason);
        found.map_or(0, |(_, time)| whole_millis(*time))
    };
    let slack = timings.slack.unwrap_or(StepSlack { accepted_ms: 0, end_ms: 0 });
    log::info!(
        target: "jobs", job:% = job, shard = keeper.shard().get(), model = step.model.as_str(),
        step = step.number, min_version = step.min_version, wanted = step.wanted_groups,
        carried = timings.carried,
        first_run_ms = millis(timings.first_run), wanted_ms = millis(timings.wanted),
        read_ms = millis(timings.read), ended_ms = millis(Some(timings.ended)),
        has_due = timings.slack.is_some(), accepted_slack_ms = slack.accepted_ms,
        end_slack_ms = slack.end_ms,
        item = item.as_str(), target = last.target.as_ref().map_or("", |target| target.as_str()),
        runs = last.runs, waited_ms = whole_millis(last.waited), ran_ms = whole_millis(last.ran),
        scored_ms = whole_millis(last.scored),
        old_ms = blocked(BlockReason::OldWeights), loading_ms = blocked(BlockReason::Loading),
        resting_ms = blocked(BlockReason::BackedOff), full_ms = blocked(BlockReason::Full),
        cold_ms = blocked(BlockReason::Cold), evacuated_ms = blocked(BlockReason::Evacuated),
        regions_ms = blocked(BlockReason::OutsideRegions),
        no_route_ms = blocked(BlockReason::NoRoute),
        connections_ms = blocked(BlockReason::NoConnections),
        crash_spacing_ms = blocked(BlockReason::CrashSpacing),
        yielded_ms = blocked(BlockReason::Yielded);
        "step timings"
    );
}
