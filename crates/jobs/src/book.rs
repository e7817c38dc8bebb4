//! The jobs of one shard.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ids::{JobId, Moment, RecordLocation};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, Job, JobRef, JobResult, ListedResult, LogRecord};

use crate::item::{ItemPhase, ItemState};
use crate::order::TextPace;
use crate::state::{JobState, ListedItem, record, request_bytes};
use crate::trace::StepTrace;
use crate::{
    ItemRef, LossReason, RewardOutcome, RunOutcome, RunResult, RunSpec, StepTimings, pack_text,
    run_order, unpack_text,
};

/// Pause before an item that failed is started again, so that a target in trouble, or the list
/// that still names it, has time to change.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Pause before it is looked again whether work that ends its targets is still turned away.
pub(crate) const CONDEMNED_PAUSE: Duration = Duration::from_secs(1);
/// Beyond the route's longest wait before an item is given up: a clock that runs fast must not
/// give up early.
const GIVE_UP_SLACK: Duration = Duration::from_secs(1);

/// Jobs that ended last and whose texts stay in memory: what a job has left over is wanted by the
/// trainer's next one. Older texts are read from the log.
const HELD_ENDED: usize = 12;

/// The jobs of one shard.
#[derive(Debug)]
pub struct JobTable {
    /// How long a job can be read after it was taken, at least.
    retention: Duration,
    pub(crate) jobs: HashMap<JobId, JobState>,
    /// Jobs that still run, in the order in which they were taken.
    pub(crate) open: Vec<JobId>,
    /// The jobs that ended last and whose texts are held, in the order of their ends.
    ended: VecDeque<JobId>,
    /// The last job that holds an item, for text that comes in use again.
    holders: HashMap<String, ItemRef>,
    pub(crate) bytes: usize,
    /// Whether no log takes records now.
    closed: bool,
    pub(crate) pace: TextPace,
}

impl JobTable {
    /// A book without jobs; ended ones are held for `retention` after they were taken.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            jobs: HashMap::new(),
            open: Vec::new(),
            ended: VecDeque::new(),
            holders: HashMap::new(),
            bytes: 0,
            closed: false,
            pace: TextPace::default(),
        }
    }

    /// Applies a record that is on every copy of the log. Records that say nothing new change
    /// nothing, so a record may be applied twice.
    pub fn apply(&mut self, now: Moment, record: LogRecord) {
        self.apply_at(now, record, None);
    }

    /// As [`Self::apply`], for a record that lies at `place` in this box's copy: texts of jobs that
    /// ended a while ago are read there.
    pub fn apply_at(&mut self, now: Moment, record: LogRecord, place: Option<RecordLocation>) {
        match record.body {
            Some(Body::Accepted(job)) => self.apply_accepted(now, job),
            Some(Body::Listed(listed)) => self.apply_listed(now, listed, place),
            Some(Body::Ended(ended)) => self.apply_ended(&ended.job),
            Some(Body::Dropped(dropped)) => self.apply_dropped(&dropped.job),
            Some(Body::Progress(progress)) => self.apply_progress(&progress),
            None => {}
        }
    }

    fn apply_accepted(&mut self, now: Moment, job: Job) {
        let Ok(id) = job.id.parse::<JobId>() else { return };
        if self.jobs.contains_key(&id) {
            return;
        }
        let job = Arc::new(job);
        let order = run_order(&job);
        let trace = StepTrace::new(now, &job, |item| self.holders.contains_key(&item.id));
        let mut items = vec![ItemState::new(); job.items.len()];
        for (index, item) in job.items.iter().enumerate() {
            if let Some(state) = self.carried(&job, &item.id) {
                items[index] = state;
            }
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            self.holders.insert(item.id.clone(), ItemRef { job: id.clone(), index });
        }
        let bytes = request_bytes(&job);
        self.bytes += bytes;
        let state = JobState {
            job,
            taken_at: now,
            items,
            waiting: order.into(),
            listed: Vec::new(),
            positions: 0,
            ended: false,
            ending: false,
            dropping: false,
            bytes,
            trace,
        };
        self.jobs.insert(id.clone(), state);
        self.open.push(id);
    }

    /// Text of an item that an earlier job has left behind, if this job may use it.
    fn carried(&self, job: &Job, item: &str) -> Option<ItemState> {
        let holder = self.holders.get(item)?;
        let earlier = self.jobs.get(&holder.job)?;
        let request = earlier.job.items.get(holder.index as usize)?;
        let mut state = ItemState::new();
        let held = earlier.items.get(holder.index as usize)?;
        // What one customer's work has brought is no other's, whatever ids they use.
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
            state.text.clone_from(&held.text);
            state.events = held.events;
            state.versions.clone_from(&held.versions);
            state.complete = held.complete;
        }
        let wanted = job.items.iter().find(|other| other.id == item)?;
        let same_reward = request.reward.as_ref().map(|reward| &reward.id)
            == wanted.reward.as_ref().map(|reward| &reward.id);
        if !same_reward {
            state.score = None;
        }
        (!state.versions.is_empty() && ItemState::fits(&state.versions, job)).then_some(state)
    }

    fn apply_listed(&mut self, now: Moment, listed: ListedResult, place: Option<RecordLocation>) {
        let Some(state) = self.state_mut(&listed.job) else { return };
        let Some(result) = listed.result else { return };
        if listed.position as usize != state.listed.len() {
            return;
        }
        let index = state.job.items.iter().position(|item| item.id == result.item);
        if let Some(index) = index {
            state.items[index].phase = ItemPhase::Listed;
            // All of it goes with the listing, or a later job that asks for the item would take what is left, events
            // without their text, for a text: an item that was given up whole came back as an empty sample.
            state.items[index].forget_text();
            state.waiting.retain(|waiting| *waiting as usize != index);
            let group = &state.job.items[index].group;
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            state.trace.listed(now, index, listed.position, group);
        }
        let bytes = result.packed_text.len();
        state.listed.push(ListedItem { result, place });
        state.positions = state.positions.max(u32::try_from(state.listed.len()).unwrap_or(0));
        state.bytes += bytes;
        self.bytes += bytes;
    }

    fn apply_progress(&mut self, progress: &ItemProgress) {
        let Some(state) = self.state_mut(&progress.job) else { return };
        let Some(item) = state.items.get_mut(progress.index as usize) else { return };
        let known = item.complete || item.phase == ItemPhase::Listed;
        if known || item.events != progress.from_event {
            return;
        }
        // A text that cannot be unpacked is made again.
        let Ok(text) = unpack_text(&progress.packed_text) else { return };
        item.add_text(&text, progress.events, &progress.versions);
        item.complete |= progress.complete;
    }

    fn apply_ended(&mut self, job: &str) {
        let Some(state) = self.state_mut(job) else { return };
        state.ended = true;
        state.ending = true;
        state.waiting.clear();
        let mut freed = state.strip();
        self.open.retain(|open| open.as_str() != job);
        if let Ok(id) = job.parse()
            && !self.ended.contains(&id)
        {
            self.ended.push_back(id);
        }
        if self.ended.len() > HELD_ENDED
            && let Some(id) = self.ended.pop_front()
        {
            freed += self.jobs.get_mut(&id).map_or(0, JobState::forget_texts);
        }
        self.bytes = self.bytes.saturating_sub(freed);
    }

    fn apply_dropped(&mut self, job: &str) {
        let Ok(id) = job.parse::<JobId>() else { return };
        let Some(state) = self.jobs.remove(&id) else { return };
        self.bytes = self.bytes.saturating_sub(state.bytes);
        self.open.retain(|open| *open != id);
        self.ended.retain(|ended| *ended != id);
        self.holders.retain(|_, holder| holder.job != id);
    }

    fn state_mut(&mut self, job: &str) -> Option<&mut JobState> {
        let id = job.parse::<JobId>().ok()?;
        self.jobs.get_mut(&id)
    }

    /// Forgets what was on the way to a log that has ended: items whose record was not applied
    /// are listed again, or go on with the text they have. No position is given until
    /// [`Self::resume_appends`]: its record would reach no log, and the position stay empty for ever.
    pub fn suspend_appends(&mut self) {
        self.closed = true;
        for state in self.jobs.values_mut() {
            state.positions = u32::try_from(state.listed.len()).unwrap_or(u32::MAX);
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

    /// From here on a log takes records.
    pub const fn resume_appends(&mut self) {
        self.closed = false;
    }

    /// When an item that pauses may start, if that is later than `now`.
    pub fn next_start(&self, now: Moment) -> Option<Moment> {
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let items = open.flat_map(|state| {
            state.waiting.iter().map(|index| state.items[*index as usize].not_before)
        });
        items.filter(|at| *at > now).min()
    }

    /// The score of a text that was whole before, from an earlier job.
    pub fn cached_score(&self, item: &ItemRef) -> Option<String> {
        let state = self.jobs.get(&item.job)?;
        state.items.get(item.index as usize)?.score.clone()
    }

    /// Takes the end of a run. `true` when the text is whole and its reward call is due.
    pub fn run_ended(&mut self, now: Moment, spec: &RunSpec, run: &RunResult) -> bool {
        let item = &spec.item;
        let Some(state) = self.jobs.get_mut(&item.job) else { return false };
        let job = Arc::clone(&state.job);
        let Some(entry) = state.items.get_mut(item.index as usize) else { return false };
        if entry.phase != ItemPhase::Running || entry.run != spec.run {
            return false;
        }
        state.trace.ran(now, item.index);
        if run.outcome == RunOutcome::Unusable || entry.events < spec.events {
            entry.forget_text();
        } else {
            // Some of the events may have come through the log already.
            let kept = (entry.events - spec.events) as usize;
            entry.add(run.events.get(kept..).unwrap_or_default());
            if !ItemState::fits(&entry.versions, &job) {
                entry.forget_text();
                return self.again(now, item, RETRY_PAUSE);
            }
        }
        match run.outcome {
            RunOutcome::Complete => {
                entry.complete = true;
                if spec.events == 0 {
                    let hint = spec.request().map_or(0, |item| item.length_hint);
                    self.pace.took(hint, now.since(entry.started_at));
                }
                true
            }
            RunOutcome::Failed => {
                entry.failures += 1;
                self.again(now, item, RETRY_PAUSE)
            }
            RunOutcome::Impossible => {
                entry.failures = job.attempts.max(1);
                self.again(now, item, Duration::ZERO)
            }
            RunOutcome::Moved => self.again(now, item, Duration::ZERO),
            RunOutcome::Cut | RunOutcome::NotRun | RunOutcome::Unusable => {
                self.again(now, item, RETRY_PAUSE)
            }
        }
    }

    /// Takes the end of a reward call; the record to append when the item is done with.
    pub fn scored(&mut self, now: Moment, item: &ItemRef, end: RewardOutcome) -> Option<LogRecord> {
        let state = self.jobs.get_mut(&item.job)?;
        let entry = state.items.get_mut(item.index as usize)?;
        if entry.phase != ItemPhase::Running || state.ending {
            return None;
        }
        state.trace.scored(now, item.index);
        match end {
            RewardOutcome::Scored(score) => {
                entry.score = Some(score);
                if self.closed {
                    self.again(now, item, Duration::ZERO);
                    return None;
                }
                return self.list(item, true);
            }
            RewardOutcome::Failed { attempts } => {
                entry.reward_failures += 1;
                entry.reward_attempts = attempts;
            }
            RewardOutcome::Quarantined => {
                self.again(now, item, CONDEMNED_PAUSE);
                return None;
            }
            RewardOutcome::Missed => {}
        }
        self.again(now, item, RETRY_PAUSE);
        None
    }

    /// The records of items that failed so often, or waited so long, that they are given up, and why.
    pub fn give_up(&mut self, now: Moment) -> Vec<(LogRecord, LossReason)> {
        if self.closed {
            return Vec::new();
        }
        let mut lost = Vec::new();
        for id in &self.open {
            let Some(state) = self.jobs.get(id) else { continue };
            let late = state.job.max_wait_ms > 0
                && now.since(state.taken_at)
                    > Duration::from_millis(state.job.max_wait_ms) + GIVE_UP_SLACK;
            let attempts = state.job.attempts.max(1);
            for index in &state.waiting {
                let item = &state.items[*index as usize];
                let rewards = item.reward_attempts.max(attempts);
                let why = if item.failures >= attempts {
                    LossReason::Failures
                } else if item.reward_failures >= rewards {
                    LossReason::RewardFailures
                } else if late {
                    LossReason::TooLate
                } else {
                    continue;
                };
                lost.push((ItemRef { job: id.clone(), index: *index }, why));
            }
        }
        lost.iter().filter_map(|(item, why)| Some((self.list(item, false)?, *why))).collect()
    }

    fn list(&mut self, item: &ItemRef, done: bool) -> Option<LogRecord> {
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
        let position = state.positions;
        state.positions += 1;
        state.waiting.retain(|waiting| *waiting != item.index);
        let listed = ListedResult { job: item.job.to_string(), position, result: Some(result) };
        Some(record(Body::Listed(listed)))
    }

    fn again(&mut self, now: Moment, item: &ItemRef, pause: Duration) -> bool {
        let Some(state) = self.jobs.get_mut(&item.job) else { return false };
        let Some(entry) = state.items.get_mut(item.index as usize) else { return false };
        if entry.phase != ItemPhase::Listed {
            entry.phase = ItemPhase::Waiting;
            entry.not_before = now + pause;
            if !state.ending && !state.waiting.contains(&item.index) {
                state.waiting.push_front(item.index);
            }
        }
        false
    }

    /// The record that ends a job; `None` when its end is known or on the way.
    pub fn end(&mut self, id: &JobId) -> Option<LogRecord> {
        let state = self.jobs.get_mut(id)?;
        if state.ending || self.closed {
            return None;
        }
        state.ending = true;
        state.waiting.clear();
        Some(record(Body::Ended(JobRef { job: id.to_string() })))
    }

    /// Notes that results of a job before position `until` were told.
    pub fn record_read(&mut self, now: Moment, id: &JobId, until: u32) {
        if let Some(state) = self.jobs.get_mut(id) {
            state.trace.read(now, until);
        }
    }

    /// What became of a job that ends now; `None` when it is not held or has ended before.
    pub fn finish_timings(&mut self, now: Moment, id: &JobId) -> Option<StepTimings> {
        let state = self.jobs.get_mut(id).filter(|state| !state.ended)?;
        Some(state.trace.end(now, state.taken_at, &state.job))
    }

    /// The records that drop ended jobs past their retention.
    pub fn expire(&mut self, now: Moment) -> Vec<LogRecord> {
        if self.closed {
            return Vec::new();
        }
        let retention = self.retention;
        let old = self.jobs.iter_mut().filter(|(_, state)| {
            state.ended && !state.dropping && now.since(state.taken_at) > retention
        });
        let dropped = old.map(|(id, state)| {
            state.dropping = true;
            record(Body::Dropped(JobRef { job: id.to_string() }))
        });
        dropped.collect()
    }

    /// Takes the places of results in a new copy, by job and position.
    pub fn relocate(&mut self, places: &[(JobId, u32, RecordLocation)]) {
        for (id, position, place) in places {
            let listed =
                self.jobs.get_mut(id).and_then(|job| job.listed.get_mut(*position as usize));
            if let Some(listed) = listed {
                listed.place = Some(*place);
            }
        }
    }
}
