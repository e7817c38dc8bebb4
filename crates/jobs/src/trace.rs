//! Timings of a job, reported once when the job ends.
//!
//! A trainer continues when enough complete groups are listed, all groups carried over from earlier
//! jobs included. The timings contain the start of the first item, when the last wanted item was
//! listed and read, the time breakdown of that item, and how long items were blocked, by reason.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{InstanceId, Moment};
use wire::peer::{Job, JobItem};

/// Why a waiting item cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BlockReason {
    /// No route leads to a service.
    NoRoute,
    /// No engine has weights that are new enough.
    OldWeights,
    /// The suitable engines are loading weights.
    Loading,
    /// The suitable engines are backed off after a failure or a refusal.
    BackedOff,
    /// The suitable engines are at capacity.
    Full,
    /// The suitable engines are cold and at their reduced limit.
    Cold,
    /// The suitable engines are in failure domains that are being evacuated.
    Evacuated,
    /// The suitable engines are outside of the regions in which the item may be handled.
    OutsideRegions,
    /// This box has reached its connection limit.
    NoConnections,
    /// Engines have just crashed under the item. It doesn't block other items.
    CrashSpacing,
    /// Free slots are left to more urgent items of another shard.
    Yielded,
}

impl BlockReason {
    /// All reasons, in reporting order.
    pub const ALL: [Self; 11] = [
        Self::NoRoute,
        Self::OldWeights,
        Self::Loading,
        Self::BackedOff,
        Self::Full,
        Self::Cold,
        Self::Evacuated,
        Self::OutsideRegions,
        Self::NoConnections,
        Self::CrashSpacing,
        Self::Yielded,
    ];
}

/// Time breakdown of an item while this box served its shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemTimings {
    /// Time spent waiting for an engine.
    pub waited: Duration,
    /// Time spent running on engines.
    pub ran: Duration,
    /// Time from the complete text to its score.
    pub scored: Duration,
    /// Number of runs started.
    pub runs: u32,
    /// Engine of the last run.
    pub target: Option<InstanceId>,
    /// Start of the current phase.
    pub(crate) since: Moment,
}

/// Timings of a job, counted from its acceptance on this box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepTimings {
    /// Time of the first run or reward call.
    pub first_run: Option<Duration>,
    /// Time when the last wanted item was listed.
    pub wanted: Option<Duration>,
    /// Time of the first response that contained the last wanted item.
    pub read: Option<Duration>,
    /// Time of the job's end.
    pub ended: Duration,
    /// Number of items carried over from earlier jobs.
    pub carried: u32,
    /// Id and time breakdown of the last wanted item.
    pub last: Option<(String, ItemTimings)>,
    /// How long items were blocked, by reason.
    pub blocked: Vec<(BlockReason, Duration)>,
    /// Slack of the job; `None` if it has no due time, or had its wanted groups before a replay.
    pub slack: Option<StepSlack>,
}

impl StepTimings {
    /// Returns whether the job met its due time, as a label for metrics; `None` if it had none.
    pub fn due_outcome(&self) -> Option<&'static str> {
        let slack = self.slack?;
        Some(match self.wanted {
            None => "incomplete",
            Some(_) if slack.end_ms < 0 => "late",
            Some(_) => "met",
        })
    }
}

/// Slack of a job relative to its due time, in milliseconds; negative if late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepSlack {
    /// Time until the job was due when it was accepted, minus the predicted time of its longest
    /// text.
    pub accepted_ms: i64,
    /// Time until the job was due when it had its wanted groups, or when it ended without them.
    pub end_ms: i64,
}

/// Records the timings of an open job.
#[derive(Debug)]
pub(crate) struct StepTrace {
    first_run: Option<Moment>,
    wanted_at: Option<Moment>,
    read_at: Option<Moment>,
    /// Position and index of the last wanted item.
    last: Option<(u32, u32)>,
    block_times: HashMap<BlockReason, Duration>,
    current_block: Option<(BlockReason, Moment)>,
    /// Number of items not listed yet, by group.
    unlisted: HashMap<String, u32>,
    carried_groups: HashSet<String>,
    carried_items: u32,
    wanted_groups: u32,
    complete_groups: u32,
    items: Vec<ItemTimings>,
    /// Slack at acceptance, in milliseconds.
    accepted_slack_ms: Option<f64>,
}

impl StepTrace {
    /// Creates the trace of a job accepted at `now`. `is_carried` says whether an earlier job
    /// contained an item.
    pub fn new(now: Moment, job: &Job, is_carried: impl Fn(&JobItem) -> bool) -> Self {
        let mut unlisted: HashMap<String, u32> = HashMap::new();
        let mut carried_groups = HashSet::new();
        let mut carried_items = 0;
        for item in &job.items {
            *unlisted.entry(item.group.clone()).or_default() += 1;
            if is_carried(item) {
                carried_items += 1;
                carried_groups.insert(item.group.clone());
            }
        }
        Self {
            first_run: None,
            wanted_at: None,
            read_at: None,
            last: None,
            block_times: HashMap::new(),
            current_block: None,
            unlisted,
            carried_groups,
            carried_items,
            wanted_groups: job.wanted_groups,
            complete_groups: 0,
            items: vec![ItemTimings { since: now, ..ItemTimings::default() }; job.items.len()],
            accepted_slack_ms: None,
        }
    }

    /// Sets the slack at acceptance.
    pub const fn set_accepted_slack(&mut self, slack_ms: Option<f64>) {
        self.accepted_slack_ms = slack_ms;
    }

    /// Returns whether the wanted groups are listed.
    pub const fn has_wanted(&self) -> bool {
        self.wanted_at.is_some()
    }

    /// Returns whether an item found no free slot in the last pass.
    pub const fn waits_for_slot(&self) -> bool {
        matches!(self.current_block, Some((BlockReason::Full | BlockReason::BackedOff, _)))
    }

    fn item_mut(&mut self, index: u32) -> Option<&mut ItemTimings> {
        self.items.get_mut(index as usize)
    }

    /// Records the start of a run; `target` is `None` for a reward call alone.
    pub fn run_started(&mut self, now: Moment, index: u32, target: Option<InstanceId>) {
        self.first_run.get_or_insert(now);
        let Some(timings) = self.item_mut(index) else { return };
        timings.waited += now.since(timings.since);
        timings.since = now;
        timings.runs += u32::from(target.is_some());
        timings.target = target.or_else(|| timings.target.take());
    }

    /// Records the end of an item's run.
    pub fn run_ended(&mut self, now: Moment, index: u32) {
        let Some(timings) = self.item_mut(index) else { return };
        timings.ran += now.since(timings.since);
        timings.since = now;
    }

    /// Records the end of an item's reward call.
    pub fn reward_ended(&mut self, now: Moment, index: u32) {
        let Some(timings) = self.item_mut(index) else { return };
        timings.scored += now.since(timings.since);
        timings.since = now;
    }

    /// Sets why items are blocked now; `None` if no item is.
    pub fn set_block_reason(&mut self, now: Moment, reason: Option<BlockReason>) {
        if let Some((last, since)) = self.current_block.take() {
            *self.block_times.entry(last).or_default() += now.since(since);
        }
        self.current_block = reason.map(|reason| (reason, now));
    }

    /// Records that an item was listed at a position.
    pub fn item_listed(&mut self, now: Moment, index: u32, position: u32, group: &str) {
        let Some(remaining) = self.unlisted.get_mut(group) else { return };
        *remaining = remaining.saturating_sub(1);
        if *remaining > 0 {
            return;
        }
        self.complete_groups += 1;
        self.carried_groups.remove(group);
        let wanted = self.complete_groups >= self.wanted_groups && self.carried_groups.is_empty();
        if wanted && self.wanted_at.is_none() {
            self.wanted_at = Some(now);
            self.last = Some((position, index));
        }
    }

    /// Records that results before position `until` were read.
    pub fn results_read(&mut self, now: Moment, until: u32) {
        if self.last.is_some_and(|(position, _)| position < until) {
            self.read_at.get_or_insert(now);
        }
    }

    /// Returns the slack, given the time until the job is due at `now`; `None` if the wanted groups
    /// were listed in a replay, which doesn't tell when.
    #[expect(clippy::cast_possible_truncation, reason = "float-to-integer conversion saturates")]
    fn slack(&self, now: Moment, accepted_at: Moment, due_in_ms: Option<f64>) -> Option<StepSlack> {
        if self.wanted_at == Some(accepted_at) {
            return None;
        }
        let since_wanted = self.wanted_at.map_or(Duration::ZERO, |at| now.since(at));
        Some(StepSlack {
            accepted_ms: self.accepted_slack_ms? as i64,
            end_ms: (due_in_ms? + since_wanted.as_secs_f64() * 1_000.0) as i64,
        })
    }

    /// Returns the timings at the job's end; `due_in_ms` is the time until it is due.
    pub fn finish(
        &mut self,
        now: Moment,
        accepted_at: Moment,
        job: &Job,
        due_in_ms: Option<f64>,
    ) -> StepTimings {
        self.set_block_reason(now, None);
        let after = |at: Option<Moment>| at.map(|at| at.since(accepted_at));
        let last = self.last.and_then(|(_, index)| {
            let item = job.items.get(index as usize)?;
            Some((item.id.clone(), self.items.get(index as usize)?.clone()))
        });
        let reasons = BlockReason::ALL.into_iter();
        StepTimings {
            first_run: after(self.first_run),
            wanted: after(self.wanted_at),
            read: after(self.read_at),
            ended: now.since(accepted_at),
            carried: self.carried_items,
            last,
            blocked: reasons
                .filter_map(|reason| Some((reason, *self.block_times.get(&reason)?)))
                .collect(),
            slack: self.slack(now, accepted_at, due_in_ms),
        }
    }

    /// Drops the state of items and groups, which only an open job needs.
    pub fn drop_items(&mut self) {
        self.items = Vec::new();
        self.unlisted = HashMap::new();
    }
}
