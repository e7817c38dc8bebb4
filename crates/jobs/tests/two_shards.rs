//! Two shards that share slots, each known to the other by its reports only.

use std::collections::HashMap;
use std::time::Duration;

use ids::Moment;
use jobs::{
    BlockReason, JobTable, RewardOutcome, RunEvent, RunOutcome, RunResult, RunSpec, SlotYield,
    StartOrder, UrgencyReports,
};
use routing::DEFAULT_PRIORITY;
use wire::peer::log_record::Body;
use wire::peer::{Job, JobItem, LogRecord};

const SLOTS: usize = 4;
const RUN_MS: u64 = 1_000;
/// Interval of passes over the items of a shard.
const PASS_MS: u64 = 100;
const REPORT_MS: u64 = 250;
/// Age from which a report doesn't count.
const REPORT_TTL_MS: u64 = 700;

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

struct Shard {
    name: &'static str,
    table: JobTable,
    yields: SlotYield,
    running: Vec<(u64, RunSpec)>,
    starts: Vec<u64>,
    reports: UrgencyReports<&'static str>,
    /// Time from which the shard neither reports nor starts items.
    silent_from: u64,
}

impl Shard {
    fn new(name: &'static str, items: usize, due_ms: u64) -> Self {
        let items = (0..items).map(|index| JobItem {
            id: format!("{name}-{index}"),
            group: format!("{name}-{index}"),
            length_hint: 1,
            ..JobItem::default()
        });
        let job = Job {
            id: name.to_owned(),
            model: "m".to_owned(),
            attempts: 1,
            due_ms,
            items: items.collect(),
            ..Job::default()
        };
        let mut table = JobTable::new(Duration::from_mins(2));
        table.apply(at(0), LogRecord { body: Some(Body::Accepted(job)) });
        Self {
            name,
            table,
            yields: SlotYield::default(),
            running: Vec::new(),
            starts: Vec::new(),
            reports: UrgencyReports::default(),
            silent_from: u64::MAX,
        }
    }

    fn end_runs(&mut self, now: u64) {
        let running = std::mem::take(&mut self.running);
        let (ended, running): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= now);
        self.running = running;
        for (_, spec) in ended {
            let events = vec![RunEvent { data: b"text".to_vec(), version: 0 }];
            let result = RunResult { outcome: RunOutcome::Complete, events, logged: 0 };
            self.table.run_ended(at(now), &spec, &result);
            let scored = RewardOutcome::Scored("s".to_owned());
            let record = self.table.scored(at(now), &spec.item, scored).expect("a record");
            self.table.apply(at(now), record);
        }
    }

    fn pass(&mut self, now: u64, others_running: usize) {
        self.table.rank_waiting(at(now), StartOrder::Due, |_job| DEFAULT_PRIORITY);
        let Self { name, table, yields, running, starts, reports, .. } = self;
        let other = reports.least_slack(at(now), "m", name);
        table.start_ready(at(now), |spec| {
            if running.len() + others_running >= SLOTS {
                yields.no_free_slot(at(now), "m");
                return Err(BlockReason::Full);
            }
            let urgency = spec.urgency.expect("ordered by due time");
            if yields.should_yield(at(now), "m", urgency, other) {
                return Err(BlockReason::Yielded);
            }
            running.push((now + RUN_MS, spec));
            starts.push(now);
            Ok(None)
        });
    }

    fn report(&self) -> HashMap<String, i64> {
        let demand = self.table.demand().into_iter();
        demand.filter_map(|(model, demand)| Some((model.to_owned(), demand.slack_ms?))).collect()
    }
}

/// Runs both shards; their passes alternate. Returns how long the longest idle period of a slot was
/// while an item of a shard that is not silent waited.
fn simulate(shards: &mut [Shard; 2], end_ms: u64) -> u64 {
    let (mut idle_since, mut longest_idle) = (None, 0);
    for now in (0..end_ms).step_by(10) {
        for shard in shards.iter_mut() {
            shard.end_runs(now);
        }
        for index in 0..2 {
            let others_running = shards[1 - index].running.len();
            let phase = PASS_MS / 2 * index as u64;
            if now % PASS_MS == phase && now < shards[index].silent_from {
                shards[index].pass(now, others_running);
            }
        }
        if now % REPORT_MS == 0 {
            for index in 0..2 {
                if now < shards[index].silent_from {
                    let (name, report) = (shards[index].name, shards[index].report());
                    shards[1 - index].reports.record(at(now), name, report);
                }
            }
        }
        let running: usize = shards.iter().map(|shard| shard.running.len()).sum();
        let mut live = shards.iter().filter(|shard| now < shard.silent_from);
        let waits = live.any(|shard| shard.table.counts().waiting > 0);
        if running < SLOTS && waits {
            let since = *idle_since.get_or_insert(now);
            longest_idle = longest_idle.max(now - since);
        } else {
            idle_since = None;
        }
    }
    longest_idle
}

fn last_start(shard: &Shard) -> u64 {
    shard.starts.last().copied().expect("items were started")
}

/// Guards against servers that each order their own items only.
#[test]
fn a_shard_with_more_urgent_items_gets_the_slots_first() {
    // The relaxed shard makes its passes first and would take most slots.
    let mut shards = [Shard::new("relaxed", 24, 60_000), Shard::new("urgent", 24, 9_000)];
    let longest_idle = simulate(&mut shards, 20_000);
    let [relaxed, urgent] = &shards;
    assert_eq!((relaxed.starts.len(), urgent.starts.len()), (24, 24));
    let before = relaxed.starts.iter().filter(|start| **start <= last_start(urgent)).count();
    assert!(before <= 2 * SLOTS, "{before} items of the relaxed shard started before");
    assert!(last_start(urgent) < 9_000, "{}", last_start(urgent));
    assert!(longest_idle < REPORT_MS, "{longest_idle} ms idle");
}

/// Guards against slots left to a shard whose server has died.
#[test]
fn a_silent_shard_is_not_waited_for() {
    let mut shards = [Shard::new("relaxed", 24, 60_000), Shard::new("urgent", 24, 9_000)];
    shards[1].silent_from = 2_100;
    let longest_idle = simulate(&mut shards, 20_000);
    assert_eq!(shards[0].starts.len(), 24);
    assert!(longest_idle < REPORT_MS, "{longest_idle} ms idle");
    // From then on, the relaxed shard takes all slots: a round of four in each second.
    let from = 2_100 + REPORT_TTL_MS + PASS_MS;
    let left = shards[0].starts.iter().filter(|start| **start >= from).count() as u64;
    assert!(last_start(&shards[0]) <= from + (left / SLOTS as u64 + 1) * (RUN_MS + PASS_MS));
}
