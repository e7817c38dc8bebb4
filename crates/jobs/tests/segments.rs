//! Which segments of the log a table needs, and where its records are after a change of epoch.

mod common;

use common::{accepted, at, events, job, run, start_all, table, text_of};
use ids::{FencingToken, JobId, RecordLocation};
use jobs::{JobTable, MovedRecord, RewardOutcome, RunOutcome, pack_text};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, LogRecord};

fn id(text: &str) -> JobId {
    text.parse().expect("valid job id")
}

const fn location(segment: u64, offset: u64) -> RecordLocation {
    RecordLocation { segment: FencingToken::new(segment), offset, len: 9 }
}

fn accept(table: &mut JobTable, name: &str, segment: u64, offset: u64) {
    table.apply_at(at(1), accepted(job(name, 1)), Some(location(segment, offset)));
}

fn oldest(table: &JobTable) -> Option<u64> {
    table.oldest_segment().map(FencingToken::get)
}

fn drop_job(table: &mut JobTable, name: &str) {
    let end = table.end(&id(name)).expect("a record that ends the job");
    table.apply(at(2), end);
    let later = at(10_000_000);
    for record in table.expire(later) {
        table.apply(later, record);
    }
}

#[test]
fn the_oldest_segment_is_that_of_the_oldest_job() {
    let mut table = table();
    assert_eq!(oldest(&table), None);
    accept(&mut table, "first", 3, 0);
    let mut other = job("second", 1);
    other.items.iter_mut().for_each(|item| item.id.push_str("-b"));
    table.apply_at(at(1), accepted(other), Some(location(5, 0)));
    assert_eq!(oldest(&table), Some(3));
    drop_job(&mut table, "first");
    assert_eq!(oldest(&table), Some(5));
    drop_job(&mut table, "second");
    assert_eq!(oldest(&table), None);
}

#[test]
fn a_job_without_location_needs_all_segments() {
    let mut table = table();
    table.apply(at(1), accepted(job("first", 1)));
    assert_eq!(oldest(&table), Some(0));
}

/// Guards against dropping a segment with text that a later job has taken over: the later job's
/// progress records would not fit in a replay.
#[test]
fn text_left_over_by_a_dropped_job_keeps_its_segment() {
    let mut table = table();
    accept(&mut table, "first", 3, 0);
    let progress = ItemProgress {
        job: "first".to_owned(),
        events: 2,
        packed_text: pack_text(b"e1\ne2"),
        versions: vec![3],
        ..ItemProgress::default()
    };
    table.apply(at(2), LogRecord { body: Some(Body::Progress(progress)) });
    accept(&mut table, "second", 5, 0);
    drop_job(&mut table, "first");
    assert_eq!(oldest(&table), Some(3), "the second job continues the text of the first");
    for spec in start_all(&mut table, at(20)) {
        let from = spec.events + 1;
        let ended = run(RunOutcome::Complete, events(from, 3 - spec.events, 3));
        assert!(table.run_ended(at(21), &spec, &ended));
        let scored = RewardOutcome::Scored("s".to_owned());
        let listed = table.scored(at(22), &spec.item, scored).expect("a record");
        table.apply_at(at(23), listed, Some(location(5, 100)));
    }
    assert!(text_of(&table, "second").contains(&"e1\ne2\ne3".to_owned()));
    assert_eq!(oldest(&table), Some(5), "listed results don't need the earlier text");
}

#[test]
fn records_of_a_copied_tail_are_in_the_new_segment() {
    let mut table = table();
    accept(&mut table, "first", 4, 50);
    table.relocate_tail(FencingToken::new(4), 51, FencingToken::new(5));
    assert_eq!(oldest(&table), Some(4), "the record is before the tail");
    table.relocate_tail(FencingToken::new(3), 0, FencingToken::new(5));
    assert_eq!(oldest(&table), Some(4), "the record is in another segment");
    table.relocate_tail(FencingToken::new(4), 50, FencingToken::new(5));
    assert_eq!(oldest(&table), Some(5));
}

#[test]
fn a_snapshot_moves_all_jobs_to_the_new_segment() {
    let mut table = table();
    accept(&mut table, "first", 3, 0);
    accept(&mut table, "second", 4, 0);
    let mut cursor = table.snapshot_cursor();
    let piece = table.snapshot_piece(&mut cursor, usize::MAX);
    assert!(cursor.is_done());
    let new = location(9, 0);
    let moved: Vec<MovedRecord> =
        piece.records.iter().filter_map(|record| MovedRecord::new(record, new)).collect();
    table.relocate(&moved);
    assert_eq!(oldest(&table), Some(9));
}
