//! The account of what a job's trainer waited for.

mod common;

use std::time::Duration;

use common::{accepted, at, book, events, job, run, start_all, text_of};
use ids::JobId;
use jobs::{BlockReason, JobTable, RewardOutcome, RunOutcome, RunSpec};
use wire::peer::Job;

fn id(text: &str) -> JobId {
    text.parse().expect("an id")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn start(book: &mut JobTable, now: u64, wanted: &str) -> Option<RunSpec> {
    let mut started = None;
    book.start_ready(at(now), |spec| {
        let is_wanted = spec.request().is_some_and(|item| item.id == wanted);
        if started.is_some() || !is_wanted {
            return Err(BlockReason::Full);
        }
        started = Some(spec);
        Ok(Some("engine-1".parse().expect("an id")))
    });
    started
}

fn finish(book: &mut JobTable, spec: &RunSpec, ran: u64, scored: u64, listed: u64) {
    book.run_ended(at(ran), spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    let record = book.scored(at(scored), &spec.item, RewardOutcome::Scored("s".to_owned()));
    book.apply(at(listed), record.expect("listed"));
}

#[test]
fn the_last_wanted_item_tells_what_it_spent_its_time_on() {
    let mut book = book();
    book.apply(at(1_000), accepted(Job { wanted_groups: 1, ..job("j", 1) }));
    book.start_ready(at(1_000), |_spec| Err(BlockReason::OldWeights));
    book.start_ready(at(1_300), |_spec| Err(BlockReason::Full));
    let first = start(&mut book, 1_400, "item-0").expect("started");
    let second = start(&mut book, 1_500, "item-1").expect("started");
    finish(&mut book, &first, 1_700, 1_750, 1_800);
    finish(&mut book, &second, 2_500, 2_900, 3_000);
    book.record_read(at(3_100), &id("j"), 1);
    book.record_read(at(3_200), &id("j"), 2);
    let account = book.finish_timings(at(3_500), &id("j")).expect("an account");
    assert_eq!(text_of(&book, "j").len(), 2);
    assert_eq!(account.first_run, Some(ms(400)));
    assert_eq!(account.wanted, Some(ms(2_000)));
    assert_eq!(account.read, Some(ms(2_200)), "with the answer that holds the last item");
    assert_eq!(account.ended, ms(2_500));
    let (item, last) = account.last.expect("an item");
    assert_eq!(item, "item-1");
    assert_eq!((last.waited, last.ran, last.scored), (ms(500), ms(1_000), ms(400)));
    assert_eq!(last.runs, 1);
    // Held by old weights for 0.3 s, then by full engines until both had started.
    assert_eq!(account.blocked, [(BlockReason::OldWeights, ms(300)), (BlockReason::Full, ms(200))]);
}

#[test]
fn a_group_that_comes_again_is_waited_for() {
    let mut book = book();
    book.apply(at(0), accepted(Job { wanted_groups: 1, ..job("first", 1) }));
    let end = book.end(&id("first")).expect("a record");
    book.apply(at(10), end);
    // Its group 0 comes again; the trainer wants one group, and that one among them.
    book.apply(at(100), accepted(Job { wanted_groups: 1, ..job("second", 2) }));
    let specs = start_all(&mut book, at(200));
    for spec in &specs[2..] {
        finish(&mut book, spec, 300, 310, 320);
    }
    let whole = book.finish_timings(at(400), &id("second")).expect("an account");
    assert_eq!((whole.wanted, whole.carried), (None, 2), "another group does not do");
    for spec in &specs[..2] {
        finish(&mut book, spec, 600, 610, 620);
    }
    let account = book.finish_timings(at(700), &id("second")).expect("an account");
    assert_eq!(account.wanted, Some(ms(520)));
}

#[test]
fn a_job_that_has_ended_has_no_account_any_more() {
    let mut book = book();
    book.apply(at(0), accepted(job("j", 1)));
    let end = book.end(&id("j")).expect("a record");
    book.apply(at(10), end);
    assert_eq!(book.finish_timings(at(20), &id("j")), None);
    assert_eq!(book.finish_timings(at(20), &id("other")), None);
}
