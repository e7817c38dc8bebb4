//! State of the jobs of one shard: applies log records and the outcomes of runs.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ids::{JobId, Moment, RecordLocation};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, Job, JobItem, JobRef, JobResult, ListedResult, LogRecord};

use crate::due_order::{JobRanks, StartOrder};
use crate::groups::JobGroups;
use crate::item::{ItemPhase, ItemState};
use crate::length::LengthEstimator;
use crate::order::DurationEstimator;
use crate::state::{JobState, ListedItem, record, request_bytes};
use crate::trace::StepTrace;
use crate::trainers::{DueTime, TrainerLateness};
use crate::{
    ItemRef, LossReason, RewardOutcome, RunOutcome, RunResult, RunSpec, StepTimings, pack_text,
    run_order, unpack_text,
};

/// Delay before a failed item is started again: gives a failing target time to recover, or the
/// target list time to drop it.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Interval at which an item whose runs are spaced after crashes is offered again.
pub(crate) const SPACED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Added to the route's maximum wait before an item is given up, so that a fast clock does not
/// give up early.
const GIVE_UP_MARGIN: Duration = Duration::from_secs(1);

/// Number of recently ended jobs whose texts stay in memory, because the trainer's next jobs
/// reuse them. Older texts are read from the log.
const MAX_RECENTLY_ENDED: usize = 12;

/// The jobs of one shard.
#[derive(Debug)]
pub struct JobTable {
    /// Minimum time for which a job can be read after it was accepted.
    retention: Duration,
    pub(crate) jobs: HashMap<JobId, JobState>,
    /// Jobs that have not ended, in order of acceptance.
    pub(crate) open: Vec<JobId>,
    /// Ended jobs whose texts stay in memory, in order of their end.
    recently_ended: VecDeque<JobId>,
    /// The latest job that contains each item, by item id; used to reuse text.
    latest_refs: HashMap<String, ItemRef>,
    pub(crate) bytes: usize,
    /// Whether no log accepts records at the moment.
    appends_suspended: bool,
    pub(crate) durations: DurationEstimator,
    pub(crate) lengths: LengthEstimator,
    /// Order of waiting items as of the last pass.
    pub(crate) order: StartOrder,
    /// When the waiting items were last ranked by due time.
    pub(crate) ranked_at: Option<Moment>,
    pub(crate) lateness: TrainerLateness,
    /// The wall clock in milliseconds since the Unix epoch, and when it was read.
    pub(crate) wall_time: Option<(Moment, u64)>,
}

impl JobTable {
    /// Creates an empty table. Ended jobs are kept for `retention` after their acceptance.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            jobs: HashMap::new(),
            open: Vec::new(),
            recently_ended: VecDeque::new(),
            latest_refs: HashMap::new(),
            bytes: 0,
            appends_suspended: false,
            durations: DurationEstimator::default(),
            lengths: LengthEstimator::default(),
            order: StartOrder::default(),
            ranked_at: None,
            lateness: TrainerLateness::default(),
            wall_time: None,
        }
    }

    /// Applies a record that is on every copy of the log. A record may be applied again, as after a
    /// replay: jobs and results stay the same.
    pub fn apply(&mut self, now: Moment, record: LogRecord) {
        self.apply_at(now, record, None);
    }

    /// Like [`Self::apply`], for a record stored at `location` on this box's disk. Texts that are
    /// no longer in memory are read from there.
    pub fn apply_at(&mut self, now: Moment, record: LogRecord, location: Option<RecordLocation>) {
        match record.body {
            Some(Body::Accepted(job)) => self.apply_accepted(now, job, location),
            Some(Body::Listed(listed)) => self.apply_listed(now, listed, location),
            Some(Body::Ended(ended)) => self.apply_ended(now, &ended.job),
            Some(Body::Dropped(dropped)) => self.apply_dropped(&dropped.job),
            Some(Body::Progress(progress)) => self.apply_progress(&progress),
            Some(Body::Round(_)) | None => {}
        }
    }

    fn apply_accepted(&mut self, now: Moment, job: Job, location: Option<RecordLocation>) {
        let Ok(id) = job.id.parse::<JobId>() else { return };
        if self.jobs.contains_key(&id) {
            return;
        }
        let job = Arc::new(job);
        let order = run_order(&job);
        let is_carried = |item: &JobItem| self.latest_refs.contains_key(&item.id);
        let mut trace = StepTrace::new(now, &job, is_carried);
        let groups = JobGroups::new(&job, is_carried);
        let due = DueTime::new(&job, now, self.wall_ms(now));
        let hints = job.items.iter().map(|item| item.length_hint);
        let longest_ms = self.durations.remaining_ms(hints.max().unwrap_or_default());
        trace.set_accepted_slack(due.due_in_ms(now).map(|due_in| due_in - longest_ms));
        let mut items = vec![ItemState::new(); job.items.len()];
        for (index, item) in job.items.iter().enumerate() {
            if let Some(state) = self.carried_state(&job, &item.id) {
                items[index] = state;
            }
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            self.latest_refs.insert(item.id.clone(), ItemRef { job: id.clone(), index });
        }
        let bytes = request_bytes(&job);
        self.bytes += bytes;
        let state = JobState {
            job,
            accepted_at: now,
            accepted_location: location,
            items,
            waiting: order.into(),
            listed: Vec::new(),
            next_position: 0,
            ended: false,
            ending: false,
            dropping: false,
            bytes,
            trace,
            due,
            groups,
            ranks: JobRanks::default(),
        };
        self.jobs.insert(id.clone(), state);
        self.open.push(id);
    }

    /// Returns the state of an item that an earlier job left over, if this job may reuse its text.
    fn carried_state(&self, job: &Job, item: &str) -> Option<ItemState> {
        let latest = self.latest_refs.get(item)?;
        let earlier = self.jobs.get(&latest.job)?;
        let old_request = earlier.job.items.get(latest.index as usize)?;
        let mut state = ItemState::new();
        let entry = earlier.items.get(latest.index as usize)?;
        // Customers never share text, even if their item ids are equal.
        if earlier.job.customer != job.customer {
            return None;
        }
        let results = earlier.listed.iter().filter(|listed| listed.on_disk().is_none());
        let listed =
            results.map(|listed| &listed.result).find(|result| result.item == item && result.done);
        if let Some(result) = listed {
            state.text = unpack_text(&result.packed_text).ok()?;
            state.versions.clone_from(&result.versions);
            state.complete = true;
            state.score = Some(result.score.clone());
        } else {
            state.text.clone_from(&entry.text);
            state.events = entry.events;
            state.versions.clone_from(&entry.versions);
            state.complete = entry.complete;
        }
        let new_request = job.items.iter().find(|other| other.id == item)?;
        let same_reward = old_request.reward.as_ref().map(|reward| &reward.id)
            == new_request.reward.as_ref().map(|reward| &reward.id);
        if !same_reward {
            state.score = None;
        }
        state.carried_from = Some(earlier.segment_of(entry));
        (!state.versions.is_empty() && ItemState::versions_fit(&state.versions, job))
            .then_some(state)
    }

    /// Records how late a job has its wanted groups, unless it had them before the replay.
    fn record_lateness(lateness: &mut TrainerLateness, now: Moment, state: &JobState) {
        let is_replay = state.due.replayed && now == state.accepted_at;
        if !is_replay && let Some(due_in) = state.due.due_in_ms(now) {
            lateness.record(&state.job, -due_in);
        }
    }

    fn apply_listed(
        &mut self,
        now: Moment,
        listed: ListedResult,
        location: Option<RecordLocation>,
    ) {
        let Ok(id) = listed.job.parse::<JobId>() else { return };
        let Some(state) = self.jobs.get_mut(&id) else { return };
        let Some(result) = listed.result else { return };
        if listed.position as usize != state.listed.len() {
            return;
        }
        let index = state.job.items.iter().position(|item| item.id == result.item);
        if let Some(index) = index {
            state.items[index].phase = ItemPhase::Listed;
            // Clears the event count and the flags along with the text. Otherwise a later job would
            // reuse them as a complete but empty text.
            state.items[index].clear_text();
            state.waiting.retain(|waiting| *waiting as usize != index);
            let group = &state.job.items[index].group;
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            let had_wanted = state.trace.has_wanted();
            state.trace.item_listed(now, index, listed.position, group);
            if !had_wanted && state.trace.has_wanted() {
                Self::record_lateness(&mut self.lateness, now, state);
            }
        }
        let bytes = result.packed_text.len();
        state.listed.push(ListedItem { result, location });
        state.next_position =
            state.next_position.max(u32::try_from(state.listed.len()).unwrap_or(0));
        state.bytes += bytes;
        self.bytes += bytes;
    }

    fn apply_progress(&mut self, progress: &ItemProgress) {
        let Some(state) = self.state_mut(&progress.job) else { return };
        let Some(item) = state.items.get_mut(progress.index as usize) else { return };
        let is_final = item.complete || item.phase == ItemPhase::Listed;
        if is_final || item.events != progress.from_event {
            return;
        }
        // Text that cannot be unpacked is generated again.
        let Ok(text) = unpack_text(&progress.packed_text) else { return };
        item.add_text(&text, progress.events, &progress.versions);
        item.complete |= progress.complete;
    }

    fn apply_ended(&mut self, now: Moment, job: &str) {
        let Ok(id) = job.parse::<JobId>() else { return };
        let Some(state) = self.jobs.get_mut(&id).filter(|state| !state.ended) else { return };
        let is_late = state.due.due_in_ms(now).is_some_and(|due_in| due_in < 0.0);
        if !state.trace.has_wanted() && is_late {
            Self::record_lateness(&mut self.lateness, now, state);
        }
        state.ended = true;
        state.ending = true;
        state.waiting.clear();
        let mut freed = state.drop_requests();
        self.open.retain(|open| open.as_str() != job);
        if let Ok(id) = job.parse()
            && !self.recently_ended.contains(&id)
        {
            self.recently_ended.push_back(id);
        }
        if self.recently_ended.len() > MAX_RECENTLY_ENDED
            && let Some(id) = self.recently_ended.pop_front()
        {
            freed += self.jobs.get_mut(&id).map_or(0, JobState::evict_texts);
        }
        self.bytes = self.bytes.saturating_sub(freed);
    }

    fn apply_dropped(&mut self, job: &str) {
        let Ok(id) = job.parse::<JobId>() else { return };
        let Some(state) = self.jobs.remove(&id) else { return };
        self.bytes = self.bytes.saturating_sub(state.bytes);
        self.open.retain(|open| *open != id);
        self.recently_ended.retain(|ended| *ended != id);
        self.latest_refs.retain(|_, latest| latest.job != id);
        self.lateness.retain(self.jobs.values().map(|state| state.job.as_ref()));
    }

    fn state_mut(&mut self, job: &str) -> Option<&mut JobState> {
        let id = job.parse::<JobId>().ok()?;
        self.jobs.get_mut(&id)
    }

    /// Rolls back the records that were not applied when the log closed: their items are listed
    /// again or continue with the text they have. No position is assigned until
    /// [`Self::resume_appends`], because its record would reach no log and leave a permanent gap.
    pub fn suspend_appends(&mut self) {
        self.appends_suspended = true;
        for state in self.jobs.values_mut() {
            state.next_position = u32::try_from(state.listed.len()).unwrap_or(u32::MAX);
            state.ending = state.ended;
            state.dropping = false;
            if state.ended {
                continue;
            }
            let listed: HashSet<&str> =
                state.listed.iter().map(|listed| listed.result.item.as_str()).collect();
            for (index, item) in state.items.iter_mut().enumerate() {
                let is_listed = listed.contains(state.job.items[index].id.as_str());
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                if item.phase == ItemPhase::Listed && !is_listed {
                    item.phase = ItemPhase::Waiting;
                }
                let idle = item.phase == ItemPhase::Waiting;
                if idle && !state.waiting.contains(&index) {
                    state.waiting.push_front(index);
                }
            }
        }
    }

    /// Allows new positions again: a log accepts records.
    pub const fn resume_appends(&mut self) {
        self.appends_suspended = false;
    }

    /// Returns the item's score if it is cached: from an earlier job or an earlier reward call.
    pub fn cached_score(&self, item: &ItemRef) -> Option<String> {
        let state = self.jobs.get(&item.job)?;
        state.items.get(item.index as usize)?.score.clone()
    }

    /// Handles the end of a run. Returns `true` if the text is complete and its reward call is due.
    pub fn run_ended(&mut self, now: Moment, spec: &RunSpec, run: &RunResult) -> bool {
        let item = &spec.item;
        let Some(state) = self.jobs.get_mut(&item.job) else { return false };
        let job = Arc::clone(&state.job);
        let Some(entry) = state.items.get_mut(item.index as usize) else { return false };
        if entry.phase != ItemPhase::Running || entry.run != spec.run {
            return false;
        }
        state.trace.run_ended(now, item.index);
        entry.silent_runs = match run.outcome {
            RunOutcome::Silent if run.events.is_empty() => entry.silent_runs + 1,
            // Says nothing about how long a target takes.
            RunOutcome::NotRun => entry.silent_runs,
            _ => 0,
        };
        if entry.events < spec.events {
            entry.clear_text();
        } else {
            // Some of the events may already have been applied from the log.
            let applied = (entry.events - spec.events) as usize;
            entry.add_events(run.events.get(applied..).unwrap_or_default());
            if !ItemState::versions_fit(&entry.versions, &job) {
                entry.clear_text();
                return self.requeue(now, item, RETRY_DELAY);
            }
        }
        match run.outcome {
            RunOutcome::Complete => {
                entry.complete = true;
                let hint = spec.request().map_or(0, |item| item.length_hint);
                self.lengths.observe(hint, entry.events);
                if spec.events == 0 {
                    self.durations.observe(hint, now.since(entry.started_at));
                }
                true
            }
            RunOutcome::Failed => {
                entry.failures += 1;
                self.requeue(now, item, RETRY_DELAY)
            }
            RunOutcome::Impossible => {
                entry.failures = job.attempts.max(1);
                self.requeue(now, item, Duration::ZERO)
            }
            RunOutcome::Moved => self.requeue(now, item, Duration::ZERO),
            RunOutcome::Cut | RunOutcome::Silent | RunOutcome::NotRun => {
                self.requeue(now, item, RETRY_DELAY)
            }
        }
    }

    /// Handles the outcome of a reward call. Returns the record to append if the item is done.
    pub fn scored(
        &mut self,
        now: Moment,
        item: &ItemRef,
        outcome: RewardOutcome,
    ) -> Option<LogRecord> {
        let state = self.jobs.get_mut(&item.job)?;
        let entry = state.items.get_mut(item.index as usize)?;
        if entry.phase != ItemPhase::Running || state.ending {
            return None;
        }
        state.trace.reward_ended(now, item.index);
        match outcome {
            RewardOutcome::Scored(score) => {
                entry.score = Some(score);
                if self.appends_suspended {
                    self.requeue(now, item, Duration::ZERO);
                    return None;
                }
                return self.list_item(item, true);
            }
            RewardOutcome::Failed { attempts } => {
                entry.reward_failures += 1;
                entry.reward_attempts = attempts;
            }
            RewardOutcome::Delayed(delay) => {
                self.requeue(now, item, delay);
                return None;
            }
            RewardOutcome::Missed => {}
        }
        self.requeue(now, item, RETRY_DELAY);
        None
    }

    /// Gives up items that failed too often or waited too long. Returns the records to append, each
    /// with its reason.
    pub fn give_up(&mut self, now: Moment) -> Vec<(LogRecord, LossReason)> {
        if self.appends_suspended {
            return Vec::new();
        }
        let mut given_up = Vec::new();
        for id in &self.open {
            let Some(state) = self.jobs.get(id) else { continue };
            let timed_out = state.job.max_wait_ms > 0
                && now.since(state.accepted_at)
                    > Duration::from_millis(state.job.max_wait_ms) + GIVE_UP_MARGIN;
            let attempts = state.job.attempts.max(1);
            for index in &state.waiting {
                let item = &state.items[*index as usize];
                let rewards = item.reward_attempts.max(attempts);
                let reason = if item.failures >= attempts {
                    LossReason::Failures
                } else if item.reward_failures >= rewards {
                    LossReason::RewardFailures
                } else if timed_out {
                    LossReason::TooLate
                } else {
                    continue;
                };
                given_up.push((ItemRef { job: id.clone(), index: *index }, reason));
            }
        }
        given_up
            .iter()
            .filter_map(|(item, reason)| Some((self.list_item(item, false)?, *reason)))
            .collect()
    }

    /// Assigns the next position to an item and returns the record that lists it.
    fn list_item(&mut self, item: &ItemRef, done: bool) -> Option<LogRecord> {
        let state = self.jobs.get_mut(&item.job)?;
        let request = state.job.items.get(item.index as usize)?;
        let entry = state.items.get_mut(item.index as usize)?;
        entry.phase = ItemPhase::Listed;
        let result = JobResult {
            item: request.id.clone(),
            done,
            packed_text: if done { pack_text(&entry.text) } else { Vec::new() },
            text_bytes: if done { u32::try_from(entry.text.len()).unwrap_or(u32::MAX) } else { 0 },
            versions: if done { entry.versions.clone() } else { Vec::new() },
            score: entry.score.clone().filter(|_| done).unwrap_or_default(),
        };
        let position = state.next_position;
        state.next_position += 1;
        state.waiting.retain(|waiting| *waiting != item.index);
        let listed = ListedResult { job: item.job.to_string(), position, result: Some(result) };
        Some(record(Body::Listed(listed)))
    }

    /// Queues an item to start again after `delay`. Always returns `false`.
    fn requeue(&mut self, now: Moment, item: &ItemRef, delay: Duration) -> bool {
        let Some(state) = self.jobs.get_mut(&item.job) else { return false };
        let Some(entry) = state.items.get_mut(item.index as usize) else { return false };
        if entry.phase != ItemPhase::Listed {
            entry.phase = ItemPhase::Waiting;
            entry.not_before = now + delay;
            if !state.ending && !state.waiting.contains(&item.index) {
                state.waiting.push_front(item.index);
            }
        }
        false
    }

    /// Returns the record that ends a job, or `None` if the job has ended or is ending, is unknown,
    /// or appends are suspended.
    pub fn end(&mut self, id: &JobId) -> Option<LogRecord> {
        let state = self.jobs.get_mut(id)?;
        if state.ending || self.appends_suspended {
            return None;
        }
        state.ending = true;
        state.waiting.clear();
        Some(record(Body::Ended(JobRef { job: id.to_string() })))
    }

    /// Records that the results of a job before position `until` were read.
    pub fn record_read(&mut self, now: Moment, id: &JobId, until: u32) {
        if let Some(state) = self.jobs.get_mut(id) {
            state.trace.results_read(now, until);
        }
    }

    /// Returns the timings of a job that ends now, or `None` if it is unknown or has ended before.
    pub fn finish_timings(&mut self, now: Moment, id: &JobId) -> Option<StepTimings> {
        let state = self.jobs.get_mut(id).filter(|state| !state.ended)?;
        Some(state.trace.finish(now, state.accepted_at, &state.job, state.due.due_in_ms(now)))
    }

    /// Returns the records that drop ended jobs past their retention.
    pub fn expire(&mut self, now: Moment) -> Vec<LogRecord> {
        if self.appends_suspended {
            return Vec::new();
        }
        let retention = self.retention;
        let old = self.jobs.iter_mut().filter(|(_, state)| {
            state.ended && !state.dropping && now.since(state.accepted_at) > retention
        });
        let dropped = old.map(|(id, state)| {
            state.dropping = true;
            record(Body::Dropped(JobRef { job: id.to_string() }))
        });
        dropped.collect()
    }
}
