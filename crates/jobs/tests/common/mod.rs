//! Builders of jobs, events and records for the tests.

use std::time::Duration;

use ids::Moment;
use jobs::{JobTable, RunEvent, RunOutcome, RunResult, RunSpec, unpack_text};
use wire::peer::log_record::Body;
use wire::peer::{Job, JobItem, LogRecord, RewardCall};

pub fn table() -> JobTable {
    JobTable::new(Duration::from_mins(2))
}

pub fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

/// Creates a job of `groups` groups with two items each.
pub fn job(id: &str, groups: usize) -> Job {
    let items = (0..groups * 2).map(|index| JobItem {
        id: format!("item-{index}"),
        path: "/a/b".to_owned(),
        body: vec![1, 2, 3],
        group: format!("group-{}", index / 2),
        reward: Some(RewardCall { id: format!("reward-{index}"), ..RewardCall::default() }),
        ..JobItem::default()
    });
    Job {
        id: id.to_owned(),
        host: "jobs.example".to_owned(),
        min_version: 3,
        items: items.collect(),
        attempts: 3,
        max_wait_ms: 40_000,
        ..Job::default()
    }
}

pub fn accepted(job: Job) -> LogRecord {
    LogRecord { body: Some(Body::Accepted(job)) }
}

pub fn events(from: u32, count: u32, version: u64) -> Vec<RunEvent> {
    (from..from + count)
        .map(|number| RunEvent { data: format!("e{number}").into_bytes(), version })
        .collect()
}

pub fn run(outcome: RunOutcome, events: Vec<RunEvent>) -> RunResult {
    RunResult { outcome, events, logged: 0 }
}

/// Starts all items that may start and returns their specs.
pub fn start_all(table: &mut JobTable, now: Moment) -> Vec<RunSpec> {
    let mut started = Vec::new();
    table.start_ready(now, |spec| {
        started.push(spec);
        Ok(None)
    });
    started
}

pub fn text_of(table: &JobTable, job: &str) -> Vec<String> {
    let page = table.page(&job.parse().expect("valid job id"), 0, usize::MAX).expect("job exists");
    let texts = page.page.results.iter().map(|result| unpack_text(&result.packed_text));
    texts
        .map(|text| String::from_utf8(text.expect("valid packed text")).expect("valid UTF-8"))
        .collect()
}
