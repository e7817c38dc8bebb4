//! Predicted lengths of texts.

use std::time::Duration;

use ids::Moment;
use jobs::{JobTable, RunEvent, RunOutcome, RunResult, RunSpec};
use wire::peer::log_record::Body;
use wire::peer::{Job, JobItem, LogRecord};

fn table() -> JobTable {
    JobTable::new(Duration::from_mins(2))
}

/// Adds a job of one text with this hint and starts it.
fn start(table: &mut JobTable, id: &str, hint: u32) -> RunSpec {
    let item = JobItem { id: format!("{id}-0"), length_hint: hint, ..JobItem::default() };
    let job = Job { id: id.to_owned(), items: vec![item], ..Job::default() };
    table.apply(Moment::START, LogRecord { body: Some(Body::Accepted(job)) });
    let mut started = Vec::new();
    table.start_ready(Moment::START, |spec| {
        started.push(spec);
        Ok(None)
    });
    started.remove(0)
}

/// Completes a text with this hint and number of events.
fn complete(table: &mut JobTable, id: &str, hint: u32, events: usize) {
    let spec = start(table, id, hint);
    let events = vec![RunEvent { data: b"e".to_vec(), version: 1 }; events];
    let run = RunResult { outcome: RunOutcome::Complete, events, logged: 0 };
    assert!(table.run_ended(Moment::START, &spec, &run));
}

/// Guards against hints that are taken for numbers of events.
#[test]
fn length_is_predicted_from_hints_and_complete_texts() {
    let mut table = table();
    let first = start(&mut table, "first", 30).forecast;
    assert!((first.total - 30.0).abs() < 0.1, "without a complete text the hint is used");
    complete(&mut table, "a", 10, 20);
    complete(&mut table, "b", 30, 60);
    let hinted = start(&mut table, "c", 50).forecast;
    assert!((hinted.total - 100.0).abs() < 0.1, "texts have twice as many events as hinted");
    let unhinted = start(&mut table, "d", 0).forecast;
    assert!((unhinted.total - 40.0).abs() < 0.5, "without a hint the mean is used");
    assert!(unhinted.reference > 45.0, "long texts occupy their slots longer");
}

/// Guards against a predicted remainder of zero for texts that are longer than predicted.
#[test]
fn a_text_longer_than_predicted_is_expected_to_continue() {
    let mut table = table();
    let forecast = start(&mut table, "a", 40).forecast;
    assert!((forecast.left(10) - 30.0).abs() < 0.1);
    assert!(forecast.left(80) >= 10.0);
    assert!(forecast.left(0) >= 1.0);
}
