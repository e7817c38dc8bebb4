//! What servers of shards learn about each other's open work from heartbeats.

use std::time::Duration;

use ids::{ModelName, Moment, ShardIndex};
use jobs::{BlockReason, JobTable, RunSpec, StartOrder};
use routing::DEFAULT_PRIORITY;
use shards::{BacklogTable, UrgencyTable};
use wire::peer::log_record::Body;
use wire::peer::{Job, JobItem, LogRecord, ModelBacklog, ShardHeartbeat};

const OWN: ShardIndex = ShardIndex::new(0);
const OTHER: ShardIndex = ShardIndex::new(1);

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn heartbeat(box_id: &str, work: ModelBacklog) -> ShardHeartbeat {
    ShardHeartbeat { box_id: box_id.to_owned(), work: vec![work], ..ShardHeartbeat::default() }
}

fn backlog(items: f64, work_due_ms: f64, slack_ms: Option<i64>) -> ModelBacklog {
    ModelBacklog { model: "m".to_owned(), items, slack_ms, work_due_ms }
}

/// A table whose only job is due after `due_ms` and whose items find no free slot, and the first of
/// these items.
fn blocked_table(due_ms: u64) -> (JobTable, RunSpec) {
    let items = vec![JobItem { id: "item".to_owned(), ..JobItem::default() }];
    let job = Job { id: "job".to_owned(), model: "m".to_owned(), due_ms, items, ..Job::default() };
    let mut table = JobTable::new(Duration::from_mins(2));
    table.apply(at(0), LogRecord { body: Some(Body::Accepted(job)) });
    table.rank_waiting(at(0), StartOrder::Due, |_job| DEFAULT_PRIORITY);
    let mut offered = None;
    table.start_ready(at(0), |spec| {
        offered = Some(spec);
        Err(BlockReason::Full)
    });
    (table, offered.expect("an item"))
}

#[test]
fn slots_are_left_to_another_box_until_its_report_expires() {
    let (_table, spec) = blocked_table(7_500);
    let urgency = spec.urgency.expect("ordered by due time");
    let yields = |box_id: &str, slack: Option<i64>, now: u64| {
        let urgencies = UrgencyTable::default();
        urgencies.record_report(at(0), &heartbeat(box_id, backlog(1.0, 1_000.0, slack)));
        urgencies.no_free_slot(at(now), OWN, "m");
        urgencies.should_yield(at(now), OWN, "m", urgency)
    };
    assert!(yields("keep-2", Some(1_000), 600));
    assert!(!yields("keep-2", Some(1_000), 700), "the box is silent");
    assert!(!yields("keep-2", Some(6_300), 600), "no clear margin");
    assert!(!yields("keep-2", None, 600), "nothing waits for a slot there");
}

#[test]
fn slots_are_left_to_another_shard_of_the_same_box() {
    let (own, spec) = blocked_table(7_500);
    let (other, urgent) = blocked_table(3_000);
    let urgencies = UrgencyTable::default();
    urgencies.record_shard(at(0), OWN, &own);
    urgencies.record_shard(at(0), OTHER, &other);
    let yields = |shard: ShardIndex, spec: &RunSpec| {
        urgencies.no_free_slot(at(0), shard, "m");
        urgencies.should_yield(at(0), shard, "m", spec.urgency.expect("ordered by due time"))
    };
    assert!(yields(OWN, &spec));
    assert!(!yields(OTHER, &urgent));
}

/// Guards against engines divided by the number of items of boxes that order by due time, and
/// against no engines for the work of boxes that don't.
#[test]
fn work_due_of_all_boxes_is_added_up() {
    let table = BacklogTable::default();
    table.record_report(at(0), &heartbeat("keep-2", backlog(10.0, 25_000.0, None)));
    table.record_report(at(0), &heartbeat("keep-3", backlog(4.0, 0.0, None)));
    let models: Vec<ModelName> = vec!["m".parse().expect("valid model name")];
    assert_eq!(table.work_due(at(100), &models), [29_000.0]);
    assert_eq!(table.for_models(at(100), &models), [14.0]);
    assert_eq!(table.work_due(at(4_000), &models), [0.0], "the reports have expired");
}
