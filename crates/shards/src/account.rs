//! Writes down what became of a job, and what its trainer waited for: one line a job.

use std::time::Duration;

use ids::{JobId, whole_millis};
use jobs::{BlockReason, StepTimings};

use crate::keeper::ShardKeeper;

/// A time that was not reached.
const NEVER: i64 = -1;

fn millis(time: Option<Duration>) -> i64 {
    time.map_or(NEVER, |time| i64::try_from(whole_millis(time)).unwrap_or(i64::MAX))
}

/// Logs a job's account at its end. Times are in milliseconds since the job was taken here, and -1 for
/// what did not come; times of the last wanted item and of holds are durations.
pub(crate) fn log_account(keeper: &ShardKeeper, job: &JobId, account: &StepTimings) {
    let step = keeper.book().step(job);
    let (item, last) = account.last.clone().unwrap_or_default();
    let held = |hold: BlockReason| {
        let found = account.blocked.iter().find(|(other, _)| *other == hold);
        found.map_or(0, |(_, time)| whole_millis(*time))
    };
    log::info!(
        target: "jobs", job:% = job, shard = keeper.shard().get(), model = step.model.as_str(),
        step = step.number, min_version = step.min_version, wanted = step.wanted_groups,
        carried = account.carried,
        first_run_ms = millis(account.first_run), wanted_ms = millis(account.wanted),
        read_ms = millis(account.read), ended_ms = millis(Some(account.ended)),
        item = item.as_str(), target = last.target.as_ref().map_or("", |target| target.as_str()),
        runs = last.runs, waited_ms = whole_millis(last.waited), ran_ms = whole_millis(last.ran),
        scored_ms = whole_millis(last.scored),
        old_ms = held(BlockReason::OldWeights), loading_ms = held(BlockReason::Loading),
        resting_ms = held(BlockReason::BackedOff), full_ms = held(BlockReason::Full),
        cold_ms = held(BlockReason::Cold), evacuated_ms = held(BlockReason::Evacuated),
        no_route_ms = held(BlockReason::NoRoute), connections_ms = held(BlockReason::NoConnections),
        condemned_ms = held(BlockReason::Quarantined);
        "step told"
    );
}
