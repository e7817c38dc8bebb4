//! Start order by due time: slack, wanted groups, trainers that are behind, priorities, replay.

mod common;

use common::{accepted, at, events, job, run, start_all, table, text_of};
use ids::Priority;
use jobs::{
    BlockReason, GroupStanding, JobStanding, JobTable, RewardOutcome, RunOutcome, RunSpec,
    StartOrder, StepSlack,
};
use routing::DEFAULT_PRIORITY;
use wire::peer::{Job, JobItem};

/// A job of `groups` groups of two, with item ids of its own, from its own trainer.
fn due_job(id: &str, groups: usize, due_ms: u64) -> Job {
    let mut job = Job { due_ms, customer: id.to_owned(), model: "m".to_owned(), ..job(id, groups) };
    for (index, item) in job.items.iter_mut().enumerate() {
        item.id = format!("{id}-{index}");
        item.length_hint = 1;
    }
    job
}

fn rank(table: &mut JobTable, now: u64) {
    table.rank_waiting(at(now), StartOrder::Due, |_job| DEFAULT_PRIORITY);
}

/// Ranks and starts all items; returns their specs in start order.
fn start_by_due(table: &mut JobTable, now: u64) -> Vec<RunSpec> {
    rank(table, now);
    start_all(table, at(now))
}

fn jobs_of(specs: &[RunSpec]) -> Vec<&str> {
    specs.iter().map(|spec| spec.item.job.as_str()).collect()
}

fn groups_of(specs: &[RunSpec]) -> Vec<&str> {
    specs.iter().map(|spec| spec.request().expect("item exists").group.as_str()).collect()
}

fn engine_priorities(specs: &[RunSpec]) -> Vec<u8> {
    let urgencies = specs.iter().map(|spec| spec.urgency.expect("ordered by due time"));
    urgencies.map(|urgency| urgency.engine_priority().get()).collect()
}

fn finish(table: &mut JobTable, spec: &RunSpec, now: u64) {
    table.run_ended(at(now), spec, &run(RunOutcome::Complete, events(1, 1, 3)));
    let scored = RewardOutcome::Scored("s".to_owned());
    let record = table.scored(at(now), &spec.item, scored).expect("a record that lists the item");
    table.apply(at(now), record);
}

/// Lists the items of a job that were started, and ends it.
fn finish_step(table: &mut JobTable, specs: &[RunSpec], id: &str, now: u64) {
    for spec in specs.iter().filter(|spec| spec.item.job.as_str() == id) {
        finish(table, spec, now);
    }
    let end = table.end(&id.parse().expect("valid job id")).expect("a record that ends the job");
    table.apply(at(now), end);
}

/// Guards against due times, priorities or trainers' lateness that change the order by acceptance.
#[test]
fn accepted_order_ignores_due_times_and_priorities() {
    let orders = [false, true].map(|with_due| {
        let mut table = table();
        for (index, id) in ["a", "b", "c"].into_iter().enumerate() {
            let due_ms = if with_due { 9_000 - 4_000 * index as u64 } else { 0 };
            let mut job = Job { wanted_groups: 1, ..due_job(id, 3, due_ms) };
            for (at, item) in (0..).zip(&mut job.items) {
                item.length_hint = at * 7 % 5;
            }
            table.apply(at(100 * index as u64), accepted(job));
        }
        if with_due {
            table.rank_waiting(at(8_000), StartOrder::Accepted, |job| {
                Priority::new(if job.id == "c" { 0 } else { 9 })
            });
        }
        let specs = start_all(&mut table, at(8_000));
        assert!(specs.iter().all(|spec| spec.urgency.is_none()), "no priority for the engines");
        specs.into_iter().map(|spec| (spec.item.job.to_string(), spec.item.index)).collect()
    });
    let [without, with]: [Vec<(String, u32)>; 2] = orders;
    assert_eq!(without.len(), 18);
    assert_eq!(without, with);
}

#[test]
fn the_accepted_order_is_restored_when_the_setting_changes_back() {
    let mut table = table();
    table.apply(at(0), accepted(due_job("a", 2, 60_000)));
    table.apply(at(1), accepted(due_job("b", 2, 9_000)));
    rank(&mut table, 2);
    table.rank_waiting(at(3), StartOrder::Accepted, |_job| DEFAULT_PRIORITY);
    let specs = start_all(&mut table, at(3));
    assert_eq!(jobs_of(&specs), ["a", "a", "a", "a", "b", "b", "b", "b"]);
    let indices: Vec<u32> = specs.iter().map(|spec| spec.item.index).collect();
    assert_eq!(indices, [0, 1, 2, 3, 0, 1, 2, 3]);
}

#[test]
fn the_job_with_less_time_left_starts_first() {
    let mut table = table();
    table.apply(at(0), accepted(due_job("a", 1, 9_000)));
    table.apply(at(100), accepted(due_job("b", 1, 7_000)));
    assert_eq!(jobs_of(&start_by_due(&mut table, 200)), ["b", "b", "a", "a"]);
}

#[test]
fn a_longer_text_of_an_equally_due_job_starts_first() {
    let mut table = table();
    table.apply(at(0), accepted(due_job("learned", 1, 0)));
    let specs = start_all(&mut table, at(0));
    table.run_ended(at(100), &specs[0], &run(RunOutcome::Complete, events(1, 1, 3)));
    let mut long = due_job("long", 1, 7_500);
    long.items.iter_mut().for_each(|item| item.length_hint = 20);
    table.apply(at(200), accepted(due_job("short", 1, 7_500)));
    table.apply(at(200), accepted(long));
    assert_eq!(jobs_of(&start_by_due(&mut table, 200)), ["long", "long", "short", "short"]);
}

/// Guards against a job that is late anyway making others late, and against starving it.
#[test]
fn a_late_job_comes_after_those_that_can_be_on_time_but_not_for_good() {
    let order = |now| {
        let mut table = table();
        table.apply(at(0), accepted(due_job("late", 1, 2_000)));
        // Has 2 s left, of which the unobserved text takes 1 s.
        table.apply(at(now), accepted(due_job("tight", 1, 2_000)));
        let specs = start_by_due(&mut table, now);
        assert_eq!(specs.len(), 4, "all are served");
        specs[0].item.job.to_string()
    };
    assert_eq!(order(2_500), "tight");
    assert_eq!(order(10_000), "late");
}

#[test]
fn of_several_late_jobs_the_one_furthest_behind_starts_first() {
    let mut table = table();
    table.apply(at(0), accepted(due_job("less", 1, 3_000)));
    table.apply(at(100), accepted(due_job("more", 1, 1_000)));
    assert_eq!(jobs_of(&start_by_due(&mut table, 6_000)), ["more", "more", "less", "less"]);
}

#[test]
fn a_trainer_whose_previous_step_ended_late_starts_first() {
    let mut table = table();
    let step = |id: &str, customer: &str| Job {
        customer: customer.to_owned(),
        wanted_groups: 1,
        ..due_job(id, 1, 7_500)
    };
    table.apply(at(0), accepted(step("a-1", "a")));
    let specs = start_by_due(&mut table, 1);
    finish_step(&mut table, &specs, "a-1", 12_000);
    table.apply(at(12_000), accepted(step("b-1", "b")));
    table.apply(at(12_500), accepted(step("a-2", "a")));
    let specs = start_by_due(&mut table, 13_000);
    assert_eq!(jobs_of(&specs), ["a-2", "a-2", "b-1", "b-1"]);
    // Once a step ended on time, the trainer is not behind any more.
    finish_step(&mut table, &specs, "a-2", 14_000);
    table.apply(at(15_000), accepted(step("c-1", "c")));
    table.apply(at(15_500), accepted(step("a-3", "a")));
    assert_eq!(jobs_of(&start_by_due(&mut table, 16_000)), ["c-1", "c-1", "a-3", "a-3"]);
}

#[test]
fn a_customer_of_higher_priority_starts_first() {
    let mut table = table();
    table.apply(at(0), accepted(due_job("normal", 1, 7_500)));
    table.apply(at(100), accepted(due_job("high", 1, 7_500)));
    table.rank_waiting(at(200), StartOrder::Due, |job| {
        if job.id == "high" { Priority::new(1) } else { DEFAULT_PRIORITY }
    });
    let specs = start_all(&mut table, at(200));
    assert_eq!(jobs_of(&specs), ["high", "high", "normal", "normal"]);
}

#[test]
fn groups_nearest_to_completion_are_wanted_and_others_come_last() {
    let mut table = table();
    table.apply(at(0), accepted(Job { wanted_groups: 2, ..due_job("j", 4, 7_500) }));
    table.apply(at(0), accepted(due_job("other", 1, 60_000)));
    rank(&mut table, 1);
    let mut started = Vec::new();
    table.start_ready(at(1), |spec| {
        if spec.item.job.as_str() == "j" && spec.item.index == 7 {
            started.push(spec);
            return Ok(None);
        }
        // Doesn't block the other items of the job.
        Err(BlockReason::CrashSpacing)
    });
    finish(&mut table, &started[0], 500);
    let specs = start_by_due(&mut table, 1_500);
    let order = groups_of(&specs);
    assert_eq!(order[..3], ["group-3", "group-0", "group-0"], "two groups are still wanted");
    assert_eq!(jobs_of(&specs)[3..5], ["other", "other"], "a job with ample time comes next");
    assert_eq!(order[5..], ["group-1", "group-1", "group-2", "group-2"]);
    assert_eq!(engine_priorities(&specs), [5, 5, 5, 5, 5, 6, 6, 6, 6]);
}

#[test]
fn groups_of_a_step_that_has_its_wanted_groups_get_the_lowest_priority() {
    let mut table = table();
    table.apply(at(0), accepted(Job { wanted_groups: 1, ..due_job("j", 2, 7_500) }));
    rank(&mut table, 1);
    let mut started = Vec::new();
    table.start_ready(at(1), |spec| {
        started.push(spec);
        if started.len() <= 2 { Ok(None) } else { Err(BlockReason::Full) }
    });
    finish(&mut table, &started[0], 500);
    finish(&mut table, &started[1], 500);
    let specs = start_by_due(&mut table, 600);
    assert_eq!(engine_priorities(&specs), [7, 7]);
}

/// Guards against a trainer that waits for a carried-over group which is ordered last.
#[test]
fn carried_over_groups_are_wanted_first() {
    let mut table = table();
    let first = due_job("first", 2, 7_500);
    // As large as the new groups, and with longer texts.
    let carried: Vec<JobItem> = first.items[2..]
        .iter()
        .map(|item| JobItem { group: "carried".to_owned(), length_hint: 5, ..item.clone() })
        .collect();
    table.apply(at(0), accepted(first));
    let end = table.end(&"first".parse().expect("valid job id")).expect("a record");
    table.apply(at(1), end);
    let mut second = Job { wanted_groups: 1, ..due_job("second", 2, 7_500) };
    second.items.extend(carried);
    table.apply(at(2), accepted(second));
    let specs = start_by_due(&mut table, 3);
    assert_eq!(groups_of(&specs)[..2], ["carried", "carried"]);
    assert_eq!(engine_priorities(&specs), [5, 5, 6, 6, 6, 6]);
}

#[test]
fn engine_priorities_follow_the_slack() {
    let job = |due_in_ms: f64| JobStanding {
        age_ms: 0.0,
        due_in_ms: Some(due_in_ms),
        longest_ms: 1_000.0,
        behind_ms: 0.0,
        priority: DEFAULT_PRIORITY,
    };
    let wanted = GroupStanding::Wanted { position: 0 };
    let priority = |job: JobStanding| job.urgency(wanted, 1_000.0).engine_priority().get();
    assert_eq!(priority(job(7_000.0)), 5);
    assert_eq!(priority(job(2_000.0)), 4);
    assert_eq!(priority(JobStanding { behind_ms: 3_000.0, ..job(2_000.0) }), 3);
    assert_eq!(priority(job(-6_000.0)), 3, "a job that is late for long");
}

/// Guards against engines divided by the number of items, whatever their lengths and due times.
#[test]
fn work_due_grows_with_predicted_time_and_shrinking_slack() {
    let work = |due_ms: u64, wanted_groups: u32, now: u64| {
        let mut table = table();
        table.apply(at(0), accepted(Job { wanted_groups, ..due_job("j", 4, due_ms) }));
        rank(&mut table, now);
        table.demand()["m"].work_due_ms
    };
    let ample = work(60_000, 4, 1);
    assert!((ample - 8_000.0).abs() < 1.0, "8 items of 1 s: {ample}");
    assert!(work(7_500, 4, 5_000) > ample * 1.5);
    assert!(work(7_500, 4, 60_000) <= ample * 3.0, "bounded");
    assert!(work(60_000, 2, 1) < ample * 0.7, "groups beyond the wanted ones count less");
}

#[test]
fn only_items_without_a_slot_are_reported_as_waiting() {
    let mut table = table();
    table.apply(at(0), accepted(due_job("j", 1, 7_500)));
    let mut slack_after = |reason: BlockReason| {
        rank(&mut table, 500);
        table.start_ready(at(500), |_spec| Err(reason));
        table.demand()["m"].slack_ms
    };
    assert_eq!(slack_after(BlockReason::OldWeights), None);
    assert_eq!(slack_after(BlockReason::Yielded), None);
    assert_eq!(slack_after(BlockReason::Full), Some(6_000));
}

/// Guards against a fresh due time for every job that another box takes over.
#[test]
fn a_replayed_job_keeps_its_due_time() {
    let wall = 1_000_000;
    let mut table = table();
    table.set_wall_time(at(50), wall);
    let replayed = Job { accepted_wall_ms: wall - 6_000, ..due_job("replayed", 1, 7_500) };
    table.apply(at(100), accepted(replayed));
    let fresh = Job { accepted_wall_ms: wall + 50, ..due_job("fresh", 1, 3_000) };
    table.apply(at(100), accepted(fresh));
    let specs = start_by_due(&mut table, 100);
    assert_eq!(jobs_of(&specs), ["replayed", "replayed", "fresh", "fresh"]);
    let id = "replayed".parse().expect("valid job id");
    let timings = table.finish_timings(at(200), &id).expect("timings");
    // 7,500 ms minus 6,050 ms, and minus 1 s for its unobserved text at acceptance.
    assert_eq!(timings.slack, Some(StepSlack { accepted_ms: 450, end_ms: 1_350 }));
    assert_eq!(timings.due_outcome(), Some("incomplete"));
}

/// Guards against the end of a replayed step, whose time is unknown, counting as late.
#[test]
fn steps_that_ended_before_a_replay_do_not_count_as_late() {
    let step = |id: &str| Job { customer: "a".to_owned(), ..due_job(id, 1, 7_500) };
    let mut first = table();
    let mut log = vec![accepted(Job { accepted_wall_ms: 1_000, ..step("a-1") })];
    first.apply(at(0), log[0].clone());
    log.push(first.end(&"a-1".parse().expect("valid job id")).expect("a record"));
    let mut second = table();
    second.set_wall_time(at(0), 60_000);
    for record in log {
        second.apply(at(100), record);
    }
    let id = "a-1".parse().expect("valid job id");
    assert!(second.behind_ms(&id).abs() < 1.0, "{}", second.behind_ms(&id));
}

#[test]
fn an_old_record_without_a_due_time_has_none() {
    let mut table = table();
    table.set_wall_time(at(0), 1_000_000);
    table.apply(at(0), accepted(due_job("old", 1, 0)));
    table.apply(at(10), accepted(due_job("new", 1, 7_500)));
    let specs = start_by_due(&mut table, 20);
    assert_eq!(jobs_of(&specs), ["new", "new", "old", "old"]);
    let id = "old".parse().expect("valid job id");
    let timings = table.finish_timings(at(60_000), &id).expect("timings");
    assert_eq!((timings.slack, timings.due_outcome()), (None, None));
    assert!(text_of(&table, "old").is_empty());
}

/// Guards against jobs that count as late because another box replays them.
#[test]
fn a_step_that_was_complete_before_a_replay_has_no_slack() {
    let mut first = table();
    let mut log = vec![accepted(Job { wanted_groups: 1, ..due_job("j", 1, 7_500) })];
    first.apply(at(0), log[0].clone());
    for spec in start_by_due(&mut first, 1) {
        first.run_ended(at(2), &spec, &run(RunOutcome::Complete, events(1, 1, 3)));
        let scored = RewardOutcome::Scored("s".to_owned());
        log.extend(first.scored(at(2), &spec.item, scored));
    }
    let mut second = table();
    for record in log {
        second.apply(at(100), record);
    }
    let id = "j".parse().expect("valid job id");
    let timings = second.finish_timings(at(60_000), &id).expect("timings");
    assert_eq!((timings.slack, timings.due_outcome()), (None, None));
}
