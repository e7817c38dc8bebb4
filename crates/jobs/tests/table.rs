//! Job table: positions, texts, versions, start order, giving up and retention.

mod common;

use common::{accepted, at, events, job, run, start_all, table, text_of};
use ids::{FencingToken, JobId, RecordLocation};
use jobs::{
    BlockReason, JobTable, LossReason, MovedRecord, RewardOutcome, RunOutcome, pack_text,
    run_order, unpack_text,
};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, LogRecord};

const SEGMENT: FencingToken = FencingToken::new(1);

fn id(text: &str) -> JobId {
    text.parse().expect("valid job id")
}

fn scored() -> RewardOutcome {
    RewardOutcome::Scored("signature".to_owned())
}

/// Completes a run and its reward call; returns the record that lists the item.
fn finish(table: &mut JobTable, spec: &jobs::RunSpec, events_of: Vec<jobs::RunEvent>) -> LogRecord {
    assert!(table.run_ended(at(10), spec, &run(RunOutcome::Complete, events_of)));
    table.scored(at(11), &spec.item, scored()).expect("a record that lists the item")
}

fn reasons(given_up: &[(LogRecord, LossReason)]) -> Vec<LossReason> {
    given_up.iter().map(|(_, reason)| *reason).collect()
}

#[test]
fn a_result_is_read_only_after_its_record_was_applied() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let specs = start_all(&mut table, at(1));
    let record = finish(&mut table, &specs[0], events(1, 2, 3));
    assert_eq!(text_of(&table, "j"), Vec::<String>::new());
    table.apply(at(12), record.clone());
    assert_eq!(text_of(&table, "j"), ["e1\ne2"]);
    // A repeated record, as after a replay, changes nothing.
    table.apply(at(13), record);
    assert_eq!(text_of(&table, "j").len(), 1);
}

#[test]
fn a_cut_run_continues_after_its_last_complete_event() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let first = start_all(&mut table, at(1)).remove(0);
    assert!(!table.run_ended(at(2), &first, &run(RunOutcome::Cut, events(1, 3, 3))));
    let again = start_all(&mut table, at(500)).remove(0);
    assert_eq!((again.item.clone(), again.events), (first.item, 3));
    let record = finish(&mut table, &again, events(4, 1, 4));
    table.apply(at(12), record);
    assert_eq!(text_of(&table, "j"), ["e1\ne2\ne3\ne4"]);
    let page = table.page(&id("j"), 0, usize::MAX).expect("job exists").page;
    assert_eq!(page.results[0].versions, [3, 4]);
}

#[test]
fn events_applied_from_the_log_are_not_added_again() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut table, at(1)).remove(0);
    let all = events(1, 5, 3);
    table.apply(at(2), spec.progress(&all, 0));
    table.apply(at(3), spec.progress(&all, 0));
    let record = finish(&mut table, &spec, events(1, 7, 3));
    table.apply(at(12), record);
    assert_eq!(text_of(&table, "j"), ["e1\ne2\ne3\ne4\ne5\ne6\ne7"]);
}

#[test]
fn another_box_continues_logged_text() {
    let mut first = table();
    let mut log = vec![accepted(job("j", 1))];
    first.apply(at(0), log[0].clone());
    let spec = start_all(&mut first, at(1)).remove(0);
    log.push(spec.progress(&events(1, 4, 3), 0));

    let mut second = table();
    for record in log {
        second.apply(at(0), record);
    }
    let again = start_all(&mut second, at(1)).remove(0);
    assert_eq!((again.events, again.newest), (4, Some(3)));
}

#[test]
fn unlogged_events_of_a_moved_run_are_logged_at_its_end() {
    let mut first = table();
    let mut log = vec![accepted(job("j", 1))];
    first.apply(at(0), log[0].clone());
    let spec = start_all(&mut first, at(1)).remove(0);
    let received = events(1, 20, 3);
    log.push(spec.progress(&received[..16], 0));
    let mut end = run(RunOutcome::Moved, received);
    end.logged = 16;
    log.extend(spec.unlogged_progress(&end));
    first.run_ended(at(2), &spec, &end);
    // The next run and its records continue after all events.
    let again = start_all(&mut first, at(3)).into_iter().find(|other| other.item == spec.item);
    let again = again.expect("the item starts again");
    log.push(again.progress(&events(21, 16, 3), 0));

    let mut second = table();
    for record in log {
        second.apply(at(0), record);
    }
    let restored = start_all(&mut second, at(1)).into_iter().find(|other| other.item == spec.item);
    assert_eq!(restored.expect("the item starts in the second table").events, 36);
}

#[test]
fn results_of_an_earlier_run_are_ignored() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let first = start_all(&mut table, at(1)).remove(0);
    table.run_ended(at(2), &first, &run(RunOutcome::Cut, events(1, 1, 3)));
    let second = start_all(&mut table, at(500)).remove(0);
    // The result of the first run arrives again, late.
    assert!(!table.run_ended(at(501), &first, &run(RunOutcome::Complete, events(1, 9, 3))));
    let record = finish(&mut table, &second, events(2, 1, 3));
    table.apply(at(12), record);
    assert_eq!(text_of(&table, "j"), ["e1\ne2"]);
}

#[test]
fn text_of_a_disallowed_version_is_discarded() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut table, at(1)).remove(0);
    assert!(!table.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 2, 2))));
    let again = start_all(&mut table, at(500)).remove(0);
    assert_eq!(again.events, 0);
}

#[test]
fn a_single_version_text_is_discarded_when_the_version_changes() {
    let mut table = table();
    let mut single = job("j", 1);
    single.single_version = true;
    table.apply(at(0), accepted(single));
    let spec = start_all(&mut table, at(1)).remove(0);
    table.run_ended(at(2), &spec, &run(RunOutcome::Cut, events(1, 2, 3)));
    let again = start_all(&mut table, at(500)).remove(0);
    assert!(!table.run_ended(at(501), &again, &run(RunOutcome::Complete, events(3, 2, 4))));
    assert_eq!(start_all(&mut table, at(900)).remove(0).events, 0);
}

/// Guards against runs that wait no longer for a slow target however often it was silent, or that
/// wait longer after a target that got on.
#[test]
fn silent_runs_are_counted_since_the_last_event() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let ends = [
        (RunOutcome::Silent, 0, 1),
        (RunOutcome::Silent, 0, 2),
        (RunOutcome::NotRun, 0, 2),
        (RunOutcome::Silent, 2, 0),
        (RunOutcome::Silent, 0, 1),
        (RunOutcome::Cut, 0, 0),
    ];
    let mut text_events = 0;
    for (round, (outcome, count, silent_runs)) in (1..).zip(ends) {
        let spec = start_all(&mut table, at(round * 1_000)).remove(0);
        let ended = run(outcome, events(text_events + 1, count, 3));
        table.run_ended(at(round * 1_000 + 1), &spec, &ended);
        text_events += count;
        let next = start_all(&mut table, at(round * 1_000 + 500)).remove(0);
        assert_eq!((next.silent_runs, next.events), (silent_runs, text_events), "round {round}");
        table.run_ended(at(round * 1_000 + 501), &next, &run(RunOutcome::NotRun, Vec::new()));
    }
}

#[test]
fn no_item_starts_or_is_listed_after_the_job_ends() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 2)));
    let mut specs = start_all(&mut table, at(1));
    let spec = specs.remove(0);
    table.run_ended(at(2), &specs[0], &run(RunOutcome::Cut, Vec::new()));
    let end = table.end(&id("j")).expect("a record that ends the job");
    assert!(table.is_obsolete(&spec.item));
    assert!(start_all(&mut table, at(900)).is_empty());
    table.run_ended(at(901), &spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    assert_eq!(table.scored(at(902), &spec.item, scored()), None);
    assert_eq!(table.end(&id("j")), None);
    table.apply(at(903), end);
    assert_eq!(table.is_ended(&id("j")), Some(true));
}

#[test]
fn an_item_is_given_up_only_after_its_last_attempt() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    for attempt in 0..3_u64 {
        assert!(table.give_up(at(attempt * 500)).is_empty());
        let spec = start_all(&mut table, at(attempt * 500 + 400)).remove(0);
        table.run_ended(at(attempt * 500 + 450), &spec, &run(RunOutcome::Failed, Vec::new()));
    }
    let given_up = table.give_up(at(1_600));
    assert_eq!(reasons(&given_up), [LossReason::Failures]);
}

#[test]
fn failed_reward_calls_are_limited_by_their_own_route() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut table, at(1)).remove(0);
    table.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    let failed = RewardOutcome::Failed { attempts: 4 };
    for attempt in 1..=4_u64 {
        assert!(table.give_up(at(attempt * 500)).is_empty());
        assert_eq!(table.scored(at(attempt * 500), &spec.item, failed.clone()), None);
        let again = start_all(&mut table, at(attempt * 500 + 400));
        assert!(again.iter().any(|other| other.item == spec.item && other.complete));
    }
    table.scored(at(2_500), &spec.item, failed);
    let given_up = table.give_up(at(2_600));
    assert_eq!(reasons(&given_up), [LossReason::RewardFailures]);
}

/// Guards against losing a sample early. A limit says when an item may be given up, so the larger
/// one of the item's route and its reward call's route counts.
#[test]
fn smaller_limit_of_the_reward_route_does_not_lose_an_item_early() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut table, at(1)).remove(0);
    table.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    for attempt in 1..=3_u64 {
        assert!(table.give_up(at(attempt * 500)).is_empty(), "attempt {attempt}");
        table.scored(at(attempt * 500), &spec.item, RewardOutcome::Failed { attempts: 1 });
        start_all(&mut table, at(attempt * 500 + 400));
    }
    table.scored(at(2_000), &spec.item, RewardOutcome::Failed { attempts: 1 });
    let given_up = table.give_up(at(2_100));
    assert_eq!(reasons(&given_up), [LossReason::RewardFailures]);
}

/// Guards against a memory count that falls each time the log is replayed.
#[test]
fn repeated_end_of_a_job_frees_no_bytes_twice() {
    let mut table = table();
    table.apply(at(0), accepted(job("kept", 1)));
    table.apply(at(0), accepted(job("ended", 1)));
    let end = table.end(&id("ended")).expect("a record that ends the job");
    table.apply(at(1), end.clone());
    let bytes = table.bytes();
    for _ in 0..5 {
        table.apply(at(2), end.clone());
    }
    assert_eq!(table.bytes(), bytes);
}

#[test]
fn items_are_given_up_only_after_their_maximum_wait() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    assert!(table.give_up(at(40_900)).is_empty());
    let given_up = table.give_up(at(41_100));
    assert_eq!(reasons(&given_up), [LossReason::TooLate; 2]);
}

#[test]
fn results_that_were_not_applied_are_listed_again_in_the_next_epoch() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut table, at(1)).remove(0);
    let unapplied = finish(&mut table, &spec, events(1, 2, 3));
    table.suspend_appends();
    table.resume_appends();
    let again = start_all(&mut table, at(2)).remove(0);
    assert!(again.complete, "the text is kept, only the listing was lost");
    let record = table.scored(at(3), &again.item, scored()).expect("listed again");
    assert_eq!(record, unapplied);
}

#[test]
fn no_result_is_listed_between_two_epochs() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let specs = start_all(&mut table, at(1));
    table.suspend_appends();
    // A record created now would reach no log and leave a permanent gap in the positions.
    assert!(table.run_ended(at(10), &specs[0], &run(RunOutcome::Complete, events(1, 2, 3))));
    assert_eq!(table.scored(at(11), &specs[0].item, scored()), None);
    table.resume_appends();
    let record = finish(&mut table, &specs[1], events(1, 2, 3));
    table.apply(at(12), record);
    assert_eq!(text_of(&table, "j").len(), 1);
    let again = start_all(&mut table, at(13)).remove(0);
    assert!(again.complete && again.item == specs[0].item);
    assert_eq!(table.cached_score(&again.item).as_deref(), Some("signature"));
    let record = table.scored(at(14), &again.item, scored()).expect("listed again");
    table.apply(at(15), record);
    assert_eq!(text_of(&table, "j").len(), 2);
}

#[test]
fn running_items_are_not_started_again_by_a_new_epoch() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    assert_eq!(start_all(&mut table, at(1)).len(), 2);
    table.suspend_appends();
    assert!(start_all(&mut table, at(2)).is_empty());
}

#[test]
fn text_of_an_earlier_job_is_reused_if_its_versions_are_allowed() {
    let mut table = table();
    table.apply(at(0), accepted(job("one", 1)));
    let specs = start_all(&mut table, at(1));
    let record = finish(&mut table, &specs[0], events(1, 2, 3));
    table.apply(at(12), record);
    table.run_ended(at(13), &specs[1], &run(RunOutcome::Cut, events(1, 1, 4)));
    let end = table.end(&id("one")).expect("a record that ends the job");
    table.apply(at(14), end);

    let mut second = job("two", 1);
    second.min_version = 4;
    table.apply(at(15), accepted(second));
    let carried = start_all(&mut table, at(16));
    let events_of = |item: u32| {
        carried.iter().find(|spec| spec.item.index == item).map(|spec| (spec.events, spec.complete))
    };
    assert_eq!(events_of(0), Some((0, false)), "version 3 is too old for the second job");
    assert_eq!(events_of(1), Some((1, false)), "version 4 is allowed");
}

#[test]
fn pages_contain_at_least_one_result_and_obey_the_byte_limit() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 2)));
    for spec in start_all(&mut table, at(1)) {
        let record = finish(&mut table, &spec, events(1, 3, 3));
        table.apply(at(12), record);
    }
    let page = table.page(&id("j"), 1, 1).expect("job exists").page;
    assert_eq!((page.total, page.results.len()), (4, 1));
    assert_eq!(table.page(&id("j"), 4, 100).expect("job exists").page.results.len(), 0);
    assert_eq!(table.page(&id("other"), 0, 100), None);
}

#[test]
fn ended_jobs_are_dropped_after_their_retention() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let end = table.end(&id("j")).expect("a record that ends the job");
    table.apply(at(1), end);
    assert!(table.expire(at(100_000)).is_empty());
    let dropped = table.expire(at(121_000));
    assert_eq!(dropped.len(), 1);
    assert!(table.expire(at(121_001)).is_empty(), "the drop record is returned once");
    table.apply(at(121_002), dropped[0].clone());
    assert!(!table.contains(&id("j")));
    assert_eq!(table.counts().bytes, 0);
}

#[test]
fn progress_with_a_gap_is_ignored() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let with_gap = ItemProgress {
        job: "j".to_owned(),
        index: 0,
        from_event: 4,
        events: 2,
        packed_text: pack_text(b"x\ny"),
        versions: vec![3],
        complete: false,
    };
    table.apply(at(1), LogRecord { body: Some(Body::Progress(with_gap)) });
    assert_eq!(start_all(&mut table, at(2)).remove(0).events, 0);
}

/// Creates a job with unique item ids whose length hints equal the item indices.
fn job_with_hints(id: &str, groups: usize) -> wire::peer::Job {
    let mut job = job(id, groups);
    for (index, item) in job.items.iter_mut().enumerate() {
        item.length_hint = u32::try_from(index).expect("index fits u32");
        item.id = format!("{id}-{index}");
    }
    job
}

#[test]
fn the_longest_items_of_a_job_start_first() {
    let mut job = job_with_hints("j", 10);
    assert_eq!(run_order(&job)[..4], [19, 18, 17, 16]);
    job.items.iter_mut().for_each(|item| item.length_hint = 7);
    assert_eq!(run_order(&job)[..4], [0, 1, 2, 3], "equal hints keep the order of the groups");
}

/// Records a complete text with a length hint of 1 that took `millis`.
fn observe_duration(table: &mut JobTable, millis: u64) {
    let mut short = job("learned", 1);
    short.items.truncate(1);
    short.items[0].length_hint = 1;
    table.apply(at(0), accepted(short));
    let spec = start_all(table, at(0)).remove(0);
    assert!(table.run_ended(at(millis), &spec, &run(RunOutcome::Complete, events(1, 1, 3))));
}

/// Starts all items that may start; returns their jobs and length hints in start order.
fn start_order(table: &mut JobTable, now: ids::Moment) -> Vec<(String, u32)> {
    let specs = start_all(table, now);
    let hint = |spec: &jobs::RunSpec| spec.request().expect("item exists").length_hint;
    specs.iter().map(|spec| (spec.item.job.to_string(), hint(spec))).collect()
}

#[test]
fn a_long_text_of_a_later_job_starts_before_a_short_one_of_an_earlier_job() {
    let mut table = table();
    observe_duration(&mut table, 100);
    table.apply(at(1_000), accepted(job_with_hints("a", 2)));
    table.apply(at(1_150), accepted(job_with_hints("b", 2)));
    let order = start_order(&mut table, at(1_200));
    let expected = [("a", 3), ("a", 2), ("b", 3), ("a", 1), ("b", 2), ("a", 0), ("b", 1), ("b", 0)];
    let expected: Vec<(String, u32)> =
        expected.into_iter().map(|(job, hint)| (job.to_owned(), hint)).collect();
    assert_eq!(order, expected, "a hinted token takes 100 ms, and b was accepted 150 ms after a");
}

#[test]
fn a_job_without_a_target_does_not_block_other_jobs() {
    let mut table = table();
    table.apply(at(0), accepted(job("a", 1)));
    table.apply(at(1), accepted(job("b", 1)));
    let mut offered = Vec::new();
    table.start_ready(at(2), |spec| {
        offered.push(spec.item.job.to_string());
        if spec.item.job.as_str() == "b" { Ok(None) } else { Err(BlockReason::Full) }
    });
    assert_eq!(offered, ["a", "b", "b"]);
}

#[test]
fn a_spaced_item_waits_without_blocking_others() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 2)));
    let first = std::cell::Cell::new(None);
    let offer = |table: &mut JobTable, now| {
        let mut offered = Vec::new();
        table.start_ready(now, |spec| {
            offered.push(spec.item.index);
            let spaced = first.get().unwrap_or(spec.item.index);
            first.set(Some(spaced));
            if spec.item.index == spaced { Err(BlockReason::CrashSpacing) } else { Ok(None) }
        });
        offered
    };
    let all = offer(&mut table, at(1));
    assert!(all.len() > 1, "the other items of its job start at once");
    assert!(offer(&mut table, at(50)).is_empty(), "the item is delayed");
    assert_eq!(offer(&mut table, at(150)), [all[0]], "the item is offered again");
}

#[test]
fn a_reward_call_does_not_wait_behind_items_without_an_engine() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 2)));
    let specs = start_all(&mut table, at(1));
    table.run_ended(at(2), &specs[1], &run(RunOutcome::Complete, events(1, 1, 3)));
    table.scored(at(3), &specs[1].item, RewardOutcome::Missed);
    // These runs are cut after the missed call, so they are queued before the complete item.
    table.run_ended(at(4), &specs[0], &run(RunOutcome::Cut, Vec::new()));
    table.run_ended(at(4), &specs[2], &run(RunOutcome::Cut, Vec::new()));
    let mut offered = Vec::new();
    table.start_ready(at(500), |spec| {
        offered.push(spec.item.index);
        if spec.complete { Ok(None) } else { Err(BlockReason::Full) }
    });
    assert_eq!(offered, [2, 1], "one attempt to find an engine, then the reward call");
}

#[test]
fn an_ended_job_keeps_results_and_drops_requests() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 2)));
    let before = table.counts().bytes;
    assert_eq!(table.body(&id("j"), "item-3"), Some(vec![1, 2, 3]));
    let spec = start_all(&mut table, at(1)).remove(0);
    let record = finish(&mut table, &spec, events(1, 2, 3));
    table.apply(at(12), record);
    let end = table.end(&id("j")).expect("a record that ends the job");
    table.apply(at(13), end);
    assert!(table.counts().bytes < before / 2, "{} of {before}", table.counts().bytes);
    assert_eq!(table.body(&id("j"), "item-3"), None);
    assert_eq!(text_of(&table, "j"), ["e1\ne2"]);
    assert_eq!(table.page(&id("j"), 0, usize::MAX).expect("job exists").page.total, 4);
}

#[test]
fn packed_texts_round_trip_and_invalid_ones_are_refused() {
    let text: Vec<u8> = (0..10_000_u32).map(|at| b'a' + (at * at % 26) as u8).collect();
    let packed = pack_text(&text);
    assert!(packed.len() < text.len());
    assert_eq!(unpack_text(&packed).expect("valid packed text"), text);
    assert_eq!(unpack_text(&pack_text(b"")).expect("packed empty text"), b"");
    assert_eq!(unpack_text(b"").expect("empty input of an item that was given up"), b"");
    unpack_text(&[0xff, 0xff, 0xff]).expect_err("invalid DEFLATE data");
}

/// Accepts, runs, lists and ends a job of two items. Its records are located after `offset`.
fn complete_job(table: &mut JobTable, name: &str, offset: u64) {
    let location = |offset| Some(RecordLocation { segment: SEGMENT, offset, len: 9 });
    let mut job = job(name, 1);
    for item in &mut job.items {
        item.id = format!("{name}-{}", item.id);
    }
    table.apply(at(0), accepted(job));
    for (number, spec) in (1..).zip(start_all(table, at(1))) {
        let record = finish(table, &spec, events(1, 2, 3));
        table.apply_at(at(12), record, location(offset + number));
    }
    let end = table.end(&id(name)).expect("a record that ends the job");
    table.apply_at(at(13), end, location(offset + 3));
}

#[test]
fn texts_of_old_ended_jobs_are_read_from_disk() {
    let mut table = table();
    complete_job(&mut table, "first", 100);
    assert!(table.page(&id("first"), 0, usize::MAX).expect("job exists").on_disk.is_empty());
    let job_bytes = table.bytes();
    for number in 0..12 {
        complete_job(&mut table, &format!("job-{number}"), 1_000 * (number + 1));
    }
    let page = table.page(&id("first"), 0, usize::MAX).expect("job exists");
    let locations = [
        RecordLocation { segment: SEGMENT, offset: 101, len: 9 },
        RecordLocation { segment: SEGMENT, offset: 102, len: 9 },
    ];
    assert_eq!(page.on_disk, [(0, locations[0]), (1, locations[1])]);
    assert!(page.page.results.iter().all(|result| result.done && result.text_bytes == 5));
    assert!(table.bytes() < 13 * job_bytes, "the texts of one job must be evicted");
    assert_eq!(table.page(&id("first"), 1, 1).expect("job exists").on_disk, [(0, locations[1])]);
    // A snapshot refers to the records on disk; afterwards the table uses their new locations.
    let mut cursor = table.snapshot_cursor();
    let piece = table.snapshot_piece(&mut cursor, usize::MAX);
    let found: Vec<RecordLocation> = piece.on_disk.iter().map(|(_, location)| *location).collect();
    assert_eq!(found, locations);
    let moved = RecordLocation { segment: SEGMENT, offset: 7, len: 11 };
    table.relocate(&[MovedRecord { job: id("first"), position: Some(1), location: moved }]);
    assert_eq!(table.page(&id("first"), 1, 1).expect("job exists").on_disk, [(0, moved)]);
}

fn job_of(id: &str, customer: &str) -> wire::peer::Job {
    wire::peer::Job { customer: customer.to_owned(), ..job(id, 1) }
}

#[test]
fn only_its_customer_may_access_a_job() {
    let mut table = table();
    table.apply(at(0), accepted(job_of("owned", "cuka")));
    table.apply(at(0), accepted(job_of("old", "")));
    let (owned, old) = (id("owned"), id("old"));
    assert!(table.may_access(&owned, "cuka"));
    assert!(!table.may_access(&owned, "seje") && table.belongs_to_other_customer(&owned, "seje"));
    // The job has no customer, or none is configured.
    assert!(table.may_access(&old, "seje") && table.may_access(&owned, ""));
    let unknown = id("unknown");
    assert!(
        !table.may_access(&unknown, "cuka") && !table.belongs_to_other_customer(&unknown, "cuka")
    );
}

#[test]
fn text_is_not_carried_over_between_customers() {
    for (customer, carried) in [("cuka", true), ("seje", false)] {
        let mut table = table();
        table.apply(at(0), accepted(job_of("first", "cuka")));
        let item = job("first", 1).items[0].id.clone();
        let progress = ItemProgress {
            job: "first".to_owned(),
            events: 2,
            packed_text: pack_text(b"e1\ne2"),
            versions: vec![3],
            ..ItemProgress::default()
        };
        table.apply(at(10), LogRecord { body: Some(Body::Progress(progress)) });
        let mut second = job_of("second", customer);
        second.items[0].id = item;
        table.apply(at(20), accepted(second));
        let specs = start_all(&mut table, at(30));
        let second_item = specs.iter().find(|spec| spec.item.job.as_str() == "second");
        let events = second_item.map(|spec| spec.events);
        assert_eq!(events, Some(if carried { 2 } else { 0 }), "{customer}");
    }
}

/// Guards against reusing the state of an item whose text was evicted from memory: the new job
/// would get an empty text.
#[test]
fn evicted_text_is_generated_again_instead_of_carried_over_empty() {
    let mut table = table();
    table.apply(at(0), accepted(job("old", 1)));
    let specs = start_all(&mut table, at(1));
    let listed = finish(&mut table, &specs[0], events(1, 3, 3));
    table.apply_at(at(12), listed, Some(RecordLocation { segment: SEGMENT, offset: 101, len: 9 }));
    let end = table.end(&id("old")).expect("a record that ends the job");
    table.apply(at(13), end);
    for number in 0..12 {
        let name = format!("later-{number}");
        let mut later = job(&name, 1);
        for item in &mut later.items {
            item.id = format!("{name}-{}", item.id);
        }
        table.apply(at(20 + number), accepted(later));
        let end = table.end(&id(&name)).expect("a record that ends the job");
        table.apply(at(20 + number), end);
    }
    assert!(!table.page(&id("old"), 0, usize::MAX).expect("job exists").on_disk.is_empty());
    table.apply(at(50), accepted(job("again", 1)));
    let specs = start_all(&mut table, at(51));
    let again = specs.iter().find(|spec| spec.item.index == 0).expect("the item starts");
    assert_eq!((again.events, again.complete), (0, false), "the evicted text must not be reused");
    let record = finish(&mut table, again, events(1, 3, 3));
    table.apply(at(60), record);
    assert_eq!(text_of(&table, "again"), ["e1\ne2\ne3"]);
}

/// Guards against reusing the state of a complete item that was given up because its reward calls
/// failed: the next job would get an empty text.
#[test]
fn an_item_that_was_given_up_is_generated_again_in_the_next_job() {
    let mut table = table();
    table.apply(at(0), accepted(job("first", 1)));
    let spec = start_all(&mut table, at(1)).remove(0);
    assert!(table.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 3, 3))));
    for failure in 0..3 {
        let now = at(100 * (failure + 1));
        table.scored(now, &spec.item, RewardOutcome::Failed { attempts: 3 });
        if failure < 2 {
            assert_eq!(start_all(&mut table, at(100 * (failure + 1) + 50)).len(), 1);
        }
    }
    let (record, reason) = table.give_up(at(400)).remove(0);
    assert_eq!(reason, LossReason::RewardFailures);
    table.apply(at(401), record);
    let end = table.end(&id("first")).expect("a record that ends the job");
    table.apply(at(402), end);
    table.apply(at(500), accepted(job("next", 1)));
    let specs = start_all(&mut table, at(501));
    let again =
        specs.iter().find(|again| again.item.index == spec.item.index).expect("the item starts");
    assert_eq!((again.events, again.complete), (0, false), "the listing clears the text");
    let record = finish(&mut table, again, events(1, 3, 3));
    table.apply(at(600), record);
    assert_eq!(text_of(&table, "next"), ["e1\ne2\ne3"]);
}
