//! Step timings: when the wanted items of a job were listed and read, and why items were blocked.

mod common;

use std::time::Duration;

use common::{accepted, at, events, job, run, start_all, table, text_of};
use ids::JobId;
use jobs::{BlockReason, JobTable, RewardOutcome, RunOutcome, RunSpec};
use wire::peer::Job;

fn id(text: &str) -> JobId {
    text.parse().expect("valid job id")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn start(table: &mut JobTable, now: u64, wanted: &str) -> Option<RunSpec> {
    let mut started = None;
    table.start_ready(at(now), |spec| {
        let is_wanted = spec.request().is_some_and(|item| item.id == wanted);
        if started.is_some() || !is_wanted {
            return Err(BlockReason::Full);
        }
        started = Some(spec);
        Ok(Some("engine-1".parse().expect("valid instance id")))
    });
    started
}

fn finish(table: &mut JobTable, spec: &RunSpec, ran: u64, scored: u64, listed: u64) {
    table.run_ended(at(ran), spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    let record = table.scored(at(scored), &spec.item, RewardOutcome::Scored("s".to_owned()));
    table.apply(at(listed), record.expect("a record that lists the item"));
}

#[test]
fn timings_contain_the_breakdown_of_the_last_wanted_item() {
    let mut table = table();
    table.apply(at(1_000), accepted(Job { wanted_groups: 1, ..job("j", 1) }));
    table.start_ready(at(1_000), |_spec| Err(BlockReason::OldWeights));
    table.start_ready(at(1_300), |_spec| Err(BlockReason::Full));
    let first = start(&mut table, 1_400, "item-0").expect("started");
    let second = start(&mut table, 1_500, "item-1").expect("started");
    finish(&mut table, &first, 1_700, 1_750, 1_800);
    finish(&mut table, &second, 2_500, 2_900, 3_000);
    table.record_read(at(3_100), &id("j"), 1);
    table.record_read(at(3_200), &id("j"), 2);
    let timings = table.finish_timings(at(3_500), &id("j")).expect("timings");
    assert_eq!(text_of(&table, "j").len(), 2);
    assert_eq!(timings.first_run, Some(ms(400)));
    assert_eq!(timings.wanted, Some(ms(2_000)));
    assert_eq!(timings.read, Some(ms(2_200)), "the second read contains the last item");
    assert_eq!(timings.ended, ms(2_500));
    let (item, last) = timings.last.expect("timings of the last wanted item");
    assert_eq!(item, "item-1");
    assert_eq!((last.waited, last.ran, last.scored), (ms(500), ms(1_000), ms(400)));
    assert_eq!(last.runs, 1);
    // Blocked by old weights for 0.3 s, then by full engines until both items started.
    assert_eq!(timings.blocked, [(BlockReason::OldWeights, ms(300)), (BlockReason::Full, ms(200))]);
}

#[test]
fn timings_wait_for_carried_over_groups() {
    let mut table = table();
    table.apply(at(0), accepted(Job { wanted_groups: 1, ..job("first", 1) }));
    let end = table.end(&id("first")).expect("a record that ends the job");
    table.apply(at(10), end);
    // Group 0 is carried over, so the one wanted group must include it.
    table.apply(at(100), accepted(Job { wanted_groups: 1, ..job("second", 2) }));
    let specs = start_all(&mut table, at(200));
    for spec in &specs[2..] {
        finish(&mut table, spec, 300, 310, 320);
    }
    let partial = table.finish_timings(at(400), &id("second")).expect("timings");
    assert_eq!((partial.wanted, partial.carried), (None, 2), "the carried group is missing");
    for spec in &specs[..2] {
        finish(&mut table, spec, 600, 610, 620);
    }
    let timings = table.finish_timings(at(700), &id("second")).expect("timings");
    assert_eq!(timings.wanted, Some(ms(520)));
}

#[test]
fn ended_and_unknown_jobs_have_no_timings() {
    let mut table = table();
    table.apply(at(0), accepted(job("j", 1)));
    let end = table.end(&id("j")).expect("a record that ends the job");
    table.apply(at(10), end);
    assert_eq!(table.finish_timings(at(20), &id("j")), None);
    assert_eq!(table.finish_timings(at(20), &id("other")), None);
}
