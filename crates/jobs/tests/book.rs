//! What a book of jobs promises: positions, texts, versions, giving up.

mod common;

use common::{accepted, at, book, events, job, run, start_all, text_of};
use ids::{JobId, RecordLocation};
use jobs::{
    BlockReason, JobTable, LossReason, RewardOutcome, RunOutcome, pack_text, run_order, unpack_text,
};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, LogRecord};

fn id(text: &str) -> JobId {
    text.parse().expect("an id")
}

fn scored() -> RewardOutcome {
    RewardOutcome::Scored("signature".to_owned())
}

/// Runs an item to its end and gives the record that lists it.
fn finish(book: &mut JobTable, spec: &jobs::RunSpec, events_of: Vec<jobs::RunEvent>) -> LogRecord {
    assert!(book.run_ended(at(10), spec, &run(RunOutcome::Complete, events_of)));
    book.scored(at(11), &spec.item, scored()).expect("it is listed")
}

fn reasons(lost: &[(LogRecord, LossReason)]) -> Vec<LossReason> {
    lost.iter().map(|(_, why)| *why).collect()
}

#[test]
fn a_result_is_read_only_after_its_record_was_applied() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let specs = start_all(&mut book, at(1));
    let record = finish(&mut book, &specs[0], events(1, 2, 3));
    assert_eq!(text_of(&book, "j"), Vec::<String>::new());
    book.apply(at(12), record.clone());
    assert_eq!(text_of(&book, "j"), ["e1\ne2"]);
    // Applied twice, as after a replay, it changes nothing.
    book.apply(at(13), record);
    assert_eq!(text_of(&book, "j").len(), 1);
}

#[test]
fn a_cut_run_goes_on_after_its_last_whole_event() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let first = start_all(&mut book, at(1)).remove(0);
    assert!(!book.run_ended(at(2), &first, &run(RunOutcome::Cut, events(1, 3, 3))));
    let again = start_all(&mut book, at(500)).remove(0);
    assert_eq!((again.item.clone(), again.events), (first.item, 3));
    let record = finish(&mut book, &again, events(4, 1, 4));
    book.apply(at(12), record);
    assert_eq!(text_of(&book, "j"), ["e1\ne2\ne3\ne4"]);
    let page = book.page(&id("j"), 0, usize::MAX).expect("held").page;
    assert_eq!(page.results[0].versions, [3, 4]);
}

#[test]
fn events_that_came_through_the_log_are_not_added_again() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut book, at(1)).remove(0);
    let all = events(1, 5, 3);
    book.apply(at(2), spec.progress(&all, 0));
    book.apply(at(3), spec.progress(&all, 0));
    let record = finish(&mut book, &spec, events(1, 7, 3));
    book.apply(at(12), record);
    assert_eq!(text_of(&book, "j"), ["e1\ne2\ne3\ne4\ne5\ne6\ne7"]);
}

#[test]
fn another_box_goes_on_with_text_that_was_logged() {
    let mut first = book();
    let mut log = vec![accepted(job("j", 1))];
    first.apply(at(0), log[0].clone());
    let spec = start_all(&mut first, at(1)).remove(0);
    log.push(spec.progress(&events(1, 4, 3), 0));

    let mut second = book();
    for record in log {
        second.apply(at(0), record);
    }
    let again = start_all(&mut second, at(1)).remove(0);
    assert_eq!((again.events, again.newest), (4, Some(3)));
}

#[test]
fn what_a_moved_run_had_not_logged_is_logged_at_its_end() {
    let mut first = book();
    let mut log = vec![accepted(job("j", 1))];
    first.apply(at(0), log[0].clone());
    let spec = start_all(&mut first, at(1)).remove(0);
    let made = events(1, 20, 3);
    log.push(spec.progress(&made[..16], 0));
    let mut end = run(RunOutcome::Moved, made);
    end.logged = 16;
    log.extend(spec.unlogged_progress(&end));
    first.run_ended(at(2), &spec, &end);
    // The next run goes on after all of them, and so do its records.
    let again = start_all(&mut first, at(3)).into_iter().find(|other| other.item == spec.item);
    let again = again.expect("it goes on");
    log.push(again.progress(&events(21, 16, 3), 0));

    let mut second = book();
    for record in log {
        second.apply(at(0), record);
    }
    let held = start_all(&mut second, at(1)).into_iter().find(|other| other.item == spec.item);
    assert_eq!(held.expect("it goes on here").events, 36);
}

#[test]
fn the_end_of_an_earlier_run_says_nothing() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let first = start_all(&mut book, at(1)).remove(0);
    book.run_ended(at(2), &first, &run(RunOutcome::Cut, events(1, 1, 3)));
    let second = start_all(&mut book, at(500)).remove(0);
    // The first run's end comes once more, late.
    assert!(!book.run_ended(at(501), &first, &run(RunOutcome::Complete, events(1, 9, 3))));
    let record = finish(&mut book, &second, events(2, 1, 3));
    book.apply(at(12), record);
    assert_eq!(text_of(&book, "j"), ["e1\ne2"]);
}

#[test]
fn text_older_than_the_job_allows_is_dropped() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut book, at(1)).remove(0);
    assert!(!book.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 2, 2))));
    let again = start_all(&mut book, at(500)).remove(0);
    assert_eq!(again.events, 0);
}

#[test]
fn a_sample_of_one_version_is_not_continued_under_another() {
    let mut book = book();
    let mut single = job("j", 1);
    single.single_version = true;
    book.apply(at(0), accepted(single));
    let spec = start_all(&mut book, at(1)).remove(0);
    book.run_ended(at(2), &spec, &run(RunOutcome::Cut, events(1, 2, 3)));
    let again = start_all(&mut book, at(500)).remove(0);
    assert!(!book.run_ended(at(501), &again, &run(RunOutcome::Complete, events(3, 2, 4))));
    assert_eq!(start_all(&mut book, at(900)).remove(0).events, 0);
}

#[test]
fn nothing_starts_or_is_listed_after_the_end() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 2)));
    let mut specs = start_all(&mut book, at(1));
    let spec = specs.remove(0);
    book.run_ended(at(2), &specs[0], &run(RunOutcome::Cut, Vec::new()));
    let end = book.end(&id("j")).expect("a record");
    assert!(book.is_moot(&spec.item));
    assert!(start_all(&mut book, at(900)).is_empty());
    book.run_ended(at(901), &spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    assert_eq!(book.scored(at(902), &spec.item, scored()), None);
    assert_eq!(book.end(&id("j")), None);
    book.apply(at(903), end);
    assert_eq!(book.is_ended(&id("j")), Some(true));
}

#[test]
fn an_item_is_given_up_after_its_attempts_and_not_before() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    for attempt in 0..3_u64 {
        assert!(book.give_up(at(attempt * 500)).is_empty());
        let spec = start_all(&mut book, at(attempt * 500 + 400)).remove(0);
        book.run_ended(at(attempt * 500 + 450), &spec, &run(RunOutcome::Failed, Vec::new()));
    }
    let lost = book.give_up(at(1_600));
    assert_eq!(reasons(&lost), [LossReason::Failures]);
}

#[test]
fn failed_reward_calls_count_by_their_own_route() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut book, at(1)).remove(0);
    book.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    let failed = RewardOutcome::Failed { attempts: 4 };
    for attempt in 1..=4_u64 {
        assert!(book.give_up(at(attempt * 500)).is_empty());
        assert_eq!(book.scored(at(attempt * 500), &spec.item, failed.clone()), None);
        let again = start_all(&mut book, at(attempt * 500 + 400));
        assert!(again.iter().any(|other| other.item == spec.item && other.complete));
    }
    book.scored(at(2_500), &spec.item, failed);
    let lost = book.give_up(at(2_600));
    assert_eq!(reasons(&lost), [LossReason::RewardFailures]);
}

#[test]
fn items_wait_their_whole_time_before_they_are_given_up() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    assert!(book.give_up(at(40_900)).is_empty());
    let lost = book.give_up(at(41_100));
    assert_eq!(reasons(&lost), [LossReason::TooLate; 2]);
}

#[test]
fn unlogged_results_are_listed_again_after_a_new_epoch() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let spec = start_all(&mut book, at(1)).remove(0);
    let lost = finish(&mut book, &spec, events(1, 2, 3));
    book.suspend_appends();
    book.resume_appends();
    let again = start_all(&mut book, at(2)).remove(0);
    assert!(again.complete, "its text is held, only the listing was lost");
    let record = book.scored(at(3), &again.item, scored()).expect("listed again");
    assert_eq!(record, lost);
}

#[test]
fn nothing_is_listed_between_two_epochs() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let specs = start_all(&mut book, at(1));
    book.suspend_appends();
    // A record made now would go to no log, and its position would stay empty for ever.
    assert!(book.run_ended(at(10), &specs[0], &run(RunOutcome::Complete, events(1, 2, 3))));
    assert_eq!(book.scored(at(11), &specs[0].item, scored()), None);
    book.resume_appends();
    let record = finish(&mut book, &specs[1], events(1, 2, 3));
    book.apply(at(12), record);
    assert_eq!(text_of(&book, "j").len(), 1);
    let again = start_all(&mut book, at(13)).remove(0);
    assert!(again.complete && again.item == specs[0].item);
    assert_eq!(book.cached_score(&again.item).as_deref(), Some("signature"));
    let record = book.scored(at(14), &again.item, scored()).expect("listed again");
    book.apply(at(15), record);
    assert_eq!(text_of(&book, "j").len(), 2);
}

#[test]
fn runs_under_way_are_not_started_again_by_a_new_epoch() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    assert_eq!(start_all(&mut book, at(1)).len(), 2);
    book.suspend_appends();
    assert!(start_all(&mut book, at(2)).is_empty());
}

#[test]
fn whole_text_of_an_earlier_job_is_used_when_its_versions_fit() {
    let mut book = book();
    book.apply(at(0), accepted(job("one", 1)));
    let specs = start_all(&mut book, at(1));
    let record = finish(&mut book, &specs[0], events(1, 2, 3));
    book.apply(at(12), record);
    book.run_ended(at(13), &specs[1], &run(RunOutcome::Cut, events(1, 1, 4)));
    let end = book.end(&id("one")).expect("a record");
    book.apply(at(14), end);

    let mut second = job("two", 1);
    second.min_version = 4;
    book.apply(at(15), accepted(second));
    let carried = start_all(&mut book, at(16));
    let events_of = |item: u32| {
        carried.iter().find(|spec| spec.item.index == item).map(|spec| (spec.events, spec.complete))
    };
    assert_eq!(events_of(0), Some((0, false)), "made by version 3, too old now");
    assert_eq!(events_of(1), Some((1, false)), "made by version 4");
}

#[test]
fn pages_hold_at_least_one_result_and_no_more_than_asked() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 2)));
    for spec in start_all(&mut book, at(1)) {
        let record = finish(&mut book, &spec, events(1, 3, 3));
        book.apply(at(12), record);
    }
    let page = book.page(&id("j"), 1, 1).expect("held").page;
    assert_eq!((page.total, page.results.len()), (4, 1));
    assert_eq!(book.page(&id("j"), 4, 100).expect("held").page.results.len(), 0);
    assert_eq!(book.page(&id("other"), 0, 100), None);
}

#[test]
fn old_jobs_are_dropped() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let end = book.end(&id("j")).expect("a record");
    book.apply(at(1), end);
    assert!(book.expire(at(100_000)).is_empty());
    let dropped = book.expire(at(121_000));
    assert_eq!(dropped.len(), 1);
    assert!(book.expire(at(121_001)).is_empty(), "one record is enough");
    book.apply(at(121_002), dropped[0].clone());
    assert!(!book.contains(&id("j")));
    assert_eq!(book.counts().bytes, 0);
}

#[test]
fn progress_that_does_not_follow_is_left_out() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let hole = ItemProgress {
        job: "j".to_owned(),
        index: 0,
        from_event: 4,
        events: 2,
        packed_text: pack_text(b"x\ny"),
        versions: vec![3],
        complete: false,
    };
    book.apply(at(1), LogRecord { body: Some(Body::Progress(hole)) });
    assert_eq!(start_all(&mut book, at(2)).remove(0).events, 0);
}

/// A job with items of its own that look the longer the higher their number.
fn job_with_hints(id: &str, groups: usize) -> wire::peer::Job {
    let mut job = job(id, groups);
    for (index, item) in job.items.iter_mut().enumerate() {
        item.length_hint = u32::try_from(index).expect("small");
        item.id = format!("{id}-{index}");
    }
    job
}

#[test]
fn the_longest_items_of_a_job_start_first() {
    let mut job = job_with_hints("j", 10);
    assert_eq!(run_order(&job)[..4], [19, 18, 17, 16]);
    job.items.iter_mut().for_each(|item| item.length_hint = 7);
    assert_eq!(run_order(&job)[..4], [0, 1, 2, 3], "equals stay with their groups");
}

/// Takes a whole text of one hinted token, made in `millis`.
fn learn_pace(book: &mut JobTable, millis: u64) {
    let mut short = job("learned", 1);
    short.items.truncate(1);
    short.items[0].length_hint = 1;
    book.apply(at(0), accepted(short));
    let spec = start_all(book, at(0)).remove(0);
    assert!(book.run_ended(at(millis), &spec, &run(RunOutcome::Complete, events(1, 1, 3))));
}

/// The jobs and hints of all that may start, in order.
fn started(book: &mut JobTable, now: ids::Moment) -> Vec<(String, u32)> {
    let specs = start_all(book, now);
    let hint = |spec: &jobs::RunSpec| spec.request().expect("an item").length_hint;
    specs.iter().map(|spec| (spec.item.job.to_string(), hint(spec))).collect()
}

#[test]
fn a_long_text_of_a_later_job_starts_before_a_short_one_of_an_earlier_job() {
    let mut book = book();
    learn_pace(&mut book, 100);
    book.apply(at(1_000), accepted(job_with_hints("a", 2)));
    book.apply(at(1_150), accepted(job_with_hints("b", 2)));
    let order = started(&mut book, at(1_200));
    let wanted = [("a", 3), ("a", 2), ("b", 3), ("a", 1), ("b", 2), ("a", 0), ("b", 1), ("b", 0)];
    let wanted: Vec<(String, u32)> =
        wanted.into_iter().map(|(job, hint)| (job.to_owned(), hint)).collect();
    assert_eq!(order, wanted, "a token takes 100 ms, and b came 150 ms after a");
}

#[test]
fn a_job_that_finds_no_target_does_not_hold_the_others_up() {
    let mut book = book();
    book.apply(at(0), accepted(job("a", 1)));
    book.apply(at(1), accepted(job("b", 1)));
    let mut asked = Vec::new();
    book.start_ready(at(2), |spec| {
        asked.push(spec.item.job.to_string());
        if spec.item.job.as_str() == "b" { Ok(None) } else { Err(BlockReason::Full) }
    });
    assert_eq!(asked, ["a", "b", "b"]);
}

#[test]
fn an_item_that_is_turned_away_waits_and_holds_up_no_other() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 2)));
    let first = std::cell::Cell::new(None);
    let ask = |book: &mut JobTable, now| {
        let mut asked = Vec::new();
        book.start_ready(now, |spec| {
            asked.push(spec.item.index);
            let lethal = first.get().unwrap_or(spec.item.index);
            first.set(Some(lethal));
            if spec.item.index == lethal { Err(BlockReason::Quarantined) } else { Ok(None) }
        });
        asked
    };
    let all = ask(&mut book, at(1));
    assert!(all.len() > 1, "the others of its job are started at once");
    assert!(ask(&mut book, at(500)).is_empty(), "it pauses");
    assert_eq!(ask(&mut book, at(1_500)), [all[0]], "and is looked at again");
}

#[test]
fn a_reward_call_does_not_wait_behind_items_that_find_no_engine() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 2)));
    let specs = start_all(&mut book, at(1));
    book.run_ended(at(2), &specs[1], &run(RunOutcome::Complete, events(1, 1, 3)));
    book.scored(at(3), &specs[1].item, RewardOutcome::Missed);
    // Cut after the call, so it comes before the whole one in the order.
    book.run_ended(at(4), &specs[0], &run(RunOutcome::Cut, Vec::new()));
    book.run_ended(at(4), &specs[2], &run(RunOutcome::Cut, Vec::new()));
    let mut asked = Vec::new();
    book.start_ready(at(500), |spec| {
        asked.push(spec.item.index);
        if spec.complete { Ok(None) } else { Err(BlockReason::Full) }
    });
    assert_eq!(asked, [2, 1], "one try for an engine, then the reward call");
}

#[test]
fn an_ended_job_keeps_its_results_and_frees_its_requests() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 2)));
    let before = book.counts().bytes;
    assert_eq!(book.body(&id("j"), "item-3"), Some(vec![1, 2, 3]));
    let spec = start_all(&mut book, at(1)).remove(0);
    let record = finish(&mut book, &spec, events(1, 2, 3));
    book.apply(at(12), record);
    let end = book.end(&id("j")).expect("a record");
    book.apply(at(13), end);
    assert!(book.counts().bytes < before / 2, "{} of {before}", book.counts().bytes);
    assert_eq!(book.body(&id("j"), "item-3"), None);
    assert_eq!(text_of(&book, "j"), ["e1\ne2"]);
    assert_eq!(book.page(&id("j"), 0, usize::MAX).expect("held").page.total, 4);
}

#[test]
fn packed_texts_come_back_whole_and_broken_ones_are_told() {
    let text: Vec<u8> = (0..10_000_u32).map(|at| b'a' + (at * at % 26) as u8).collect();
    let packed = pack_text(&text);
    assert!(packed.len() < text.len());
    assert_eq!(unpack_text(&packed).expect("whole"), text);
    assert_eq!(unpack_text(&pack_text(b"")).expect("empty"), b"");
    assert_eq!(unpack_text(b"").expect("of an item that was given up"), b"");
    unpack_text(&[0xff, 0xff, 0xff]).expect_err("refused");
}

/// Takes, runs, lists and ends a job of two items; its records lie at `offset` and behind.
fn whole_job(book: &mut JobTable, name: &str, offset: u64) {
    let place = |offset| Some(RecordLocation { offset, len: 9 });
    let mut job = job(name, 1);
    for item in &mut job.items {
        item.id = format!("{name}-{}", item.id);
    }
    book.apply(at(0), accepted(job));
    for (number, spec) in (1..).zip(start_all(book, at(1))) {
        let record = finish(book, &spec, events(1, 2, 3));
        book.apply_at(at(12), record, place(offset + number));
    }
    let end = book.end(&id(name)).expect("a record");
    book.apply_at(at(13), end, place(offset + 3));
}

#[test]
fn texts_of_jobs_that_ended_long_ago_lie_on_disk_only() {
    let mut book = book();
    whole_job(&mut book, "first", 100);
    assert!(book.page(&id("first"), 0, usize::MAX).expect("held").on_disk.is_empty());
    let held = book.bytes();
    for number in 0..12 {
        whole_job(&mut book, &format!("job-{number}"), 1_000 * (number + 1));
    }
    let view = book.page(&id("first"), 0, usize::MAX).expect("held");
    let places = [RecordLocation { offset: 101, len: 9 }, RecordLocation { offset: 102, len: 9 }];
    assert_eq!(view.on_disk, [(0, places[0]), (1, places[1])]);
    assert!(view.page.results.iter().all(|result| result.done && result.text_bytes == 5));
    assert!(book.bytes() < 13 * held, "texts of one job are not held any more");
    assert_eq!(book.page(&id("first"), 1, 1).expect("held").on_disk, [(0, places[1])]);
    // A copy is made from what lies on disk, and from then on is where it lies.
    let mut cursor = book.snapshot_cursor();
    let piece = book.snapshot_piece(&mut cursor, usize::MAX);
    let found: Vec<RecordLocation> = piece.on_disk.iter().map(|(_, place)| *place).collect();
    assert_eq!(found, places);
    let moved = RecordLocation { offset: 7, len: 11 };
    book.relocate(&[(id("first"), 1, moved)]);
    assert_eq!(book.page(&id("first"), 1, 1).expect("held").on_disk, [(0, moved)]);
}

fn job_of(id: &str, customer: &str) -> wire::peer::Job {
    wire::peer::Job { customer: customer.to_owned(), ..job(id, 1) }
}

#[test]
fn only_its_customer_may_ask_for_a_job() {
    let mut book = book();
    book.apply(at(0), accepted(job_of("owned", "cuka")));
    book.apply(at(0), accepted(job_of("old", "")));
    let (owned, old) = (id("owned"), id("old"));
    assert!(book.may_ask(&owned, "cuka"));
    assert!(!book.may_ask(&owned, "seje") && book.belongs_to_other_customer(&owned, "seje"));
    // Taken before there were customers, or asked for while the configuration knows none.
    assert!(book.may_ask(&old, "seje") && book.may_ask(&owned, ""));
    let unknown = id("unknown");
    assert!(!book.may_ask(&unknown, "cuka") && !book.belongs_to_other_customer(&unknown, "cuka"));
}

#[test]
fn text_of_one_customers_item_is_not_carried_into_anothers_job() {
    for (customer, carried) in [("cuka", true), ("seje", false)] {
        let mut book = book();
        book.apply(at(0), accepted(job_of("first", "cuka")));
        let item = job("first", 1).items[0].id.clone();
        let progress = ItemProgress {
            job: "first".to_owned(),
            events: 2,
            packed_text: pack_text(b"e1\ne2"),
            versions: vec![3],
            ..ItemProgress::default()
        };
        book.apply(at(10), LogRecord { body: Some(Body::Progress(progress)) });
        let mut second = job_of("second", customer);
        second.items[0].id = item;
        book.apply(at(20), accepted(second));
        let specs = start_all(&mut book, at(30));
        let first = specs.iter().find(|spec| spec.item.job.as_str() == "second");
        let events = first.map(|spec| spec.events);
        assert_eq!(events, Some(if carried { 2 } else { 0 }), "{customer}");
    }
}

/// A trainer that has fallen far behind asks again for what an old job of its has left: the texts of jobs that ended long
/// ago lie on disk alone, and what is left of them in memory is no text.
#[test]
fn text_that_lies_on_disk_only_is_made_anew_and_never_carried_empty() {
    let mut book = book();
    book.apply(at(0), accepted(job("old", 1)));
    let specs = start_all(&mut book, at(1));
    let listed = finish(&mut book, &specs[0], events(1, 3, 3));
    book.apply_at(at(12), listed, Some(RecordLocation { offset: 101, len: 9 }));
    let end = book.end(&id("old")).expect("it runs");
    book.apply(at(13), end);
    for number in 0..12 {
        let name = format!("later-{number}");
        let mut later = job(&name, 1);
        for item in &mut later.items {
            item.id = format!("{name}-{}", item.id);
        }
        book.apply(at(20 + number), accepted(later));
        let end = book.end(&id(&name)).expect("it runs");
        book.apply(at(20 + number), end);
    }
    assert!(!book.page(&id("old"), 0, usize::MAX).expect("held").on_disk.is_empty());
    book.apply(at(50), accepted(job("again", 1)));
    let specs = start_all(&mut book, at(51));
    let again = specs.iter().find(|spec| spec.item.index == 0).expect("it runs");
    assert_eq!((again.events, again.complete), (0, false), "nothing is known of its text");
    let record = finish(&mut book, again, events(1, 3, 3));
    book.apply(at(60), record);
    assert_eq!(text_of(&book, "again"), ["e1\ne2\ne3"]);
}

/// Targets of reward calls that fail for a while: an item whose text is whole is given up, its group is not whole, and
/// the trainer's next job asks for it again.
#[test]
fn an_item_that_was_given_up_is_made_anew_in_the_next_job() {
    let mut book = book();
    book.apply(at(0), accepted(job("first", 1)));
    let spec = start_all(&mut book, at(1)).remove(0);
    assert!(book.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 3, 3))));
    for failure in 0..3 {
        let now = at(100 * (failure + 1));
        book.scored(now, &spec.item, RewardOutcome::Failed { attempts: 3 });
        if failure < 2 {
            assert_eq!(start_all(&mut book, at(100 * (failure + 1) + 50)).len(), 1);
        }
    }
    let (record, why) = book.give_up(at(400)).remove(0);
    assert_eq!(why, LossReason::RewardFailures);
    book.apply(at(401), record);
    let end = book.end(&id("first")).expect("it runs");
    book.apply(at(402), end);
    book.apply(at(500), accepted(job("next", 1)));
    let specs = start_all(&mut book, at(501));
    let again = specs.iter().find(|again| again.item.index == spec.item.index).expect("it runs");
    assert_eq!((again.events, again.complete), (0, false), "its text went with its listing");
    let record = finish(&mut book, again, events(1, 3, 3));
    book.apply(at(600), record);
    assert_eq!(text_of(&book, "next"), ["e1\ne2\ne3"]);
}
