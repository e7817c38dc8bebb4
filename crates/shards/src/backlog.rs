//! Backlog of each model, as reported by the boxes that serve shards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{ModelName, Moment};
use wire::peer::{ModelBacklog, ShardHeartbeat};

use crate::keeper::ShardKeeper;

/// Weight of the newest sample in the moving average. A sample is taken before each round of
/// heartbeats, at least every 250 ms, so its time constant is at most about eight
/// seconds.
const SMOOTHING_FACTOR: f64 = 0.03;
/// Work due that an item of a box without due times counts as, in milliseconds.
const ASSUMED_ITEM_MS: f64 = 1_000.0;
/// Reports of other boxes expire after this time.
const BACKLOG_TTL: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct BacklogState {
    /// Open items of shards served here, smoothed, by model.
    local: HashMap<String, f64>,
    /// Work due of shards served here in milliseconds, smoothed, by model.
    work_due: HashMap<String, f64>,
    reported: HashMap<String, (Moment, Vec<ModelBacklog>)>,
}

/// Backlog of each model.
#[derive(Debug, Default)]
pub struct BacklogTable(Mutex<BacklogState>);

impl BacklogTable {
    fn lock(&self) -> MutexGuard<'_, BacklogState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Samples the open items of the shards served here.
    pub fn sample(&self, keepers: &[Arc<ShardKeeper>]) {
        let mut state = self.lock();
        let BacklogState { local, work_due, .. } = &mut *state;
        let smoothed = local.values_mut().chain(work_due.values_mut());
        smoothed.for_each(|smoothed| *smoothed *= 1.0 - SMOOTHING_FACTOR);
        for keeper in keepers.iter().filter(|keeper| keeper.is_confirmed()) {
            for (model, items) in keeper.jobs().open_items() {
                let items = f64::from(u32::try_from(items).unwrap_or(u32::MAX));
                *state.local.entry(model.to_owned()).or_default() += items * SMOOTHING_FACTOR;
            }
            for (model, demand) in keeper.jobs().demand() {
                let work_due = state.work_due.entry(model.to_owned()).or_default();
                *work_due += demand.work_due_ms * SMOOTHING_FACTOR;
            }
        }
    }

    /// Returns the backlog of the shards served here, for heartbeats.
    pub fn local(&self, keepers: &[Arc<ShardKeeper>]) -> Vec<ModelBacklog> {
        let slacks = least_slacks(keepers);
        let state = self.lock();
        let local = state.local.iter();
        let local = local.map(|(model, items)| ModelBacklog {
            model: model.clone(),
            items: *items,
            slack_ms: slacks.get(model).copied(),
            work_due_ms: state.work_due.get(model).copied().unwrap_or_default(),
        });
        local.collect()
    }

    /// Records the backlog that another box reports.
    pub fn record_report(&self, now: Moment, heartbeat: &ShardHeartbeat) {
        self.lock().reported.insert(heartbeat.box_id.clone(), (now, heartbeat.work.clone()));
    }

    /// Returns the total number of open items of each of `models`.
    pub fn for_models(&self, now: Moment, models: &[ModelName]) -> Vec<f64> {
        let state = self.lock();
        let local = |model: &str| state.local.get(model).copied().unwrap_or_default();
        state.total(now, models, local, |work| work.items)
    }

    /// Returns the total work due of each of `models`, in milliseconds.
    pub fn work_due(&self, now: Moment, models: &[ModelName]) -> Vec<f64> {
        let state = self.lock();
        let local = |model: &str| state.work_due.get(model).copied().unwrap_or_default();
        state.total(now, models, local, reported_work_due)
    }
}

impl BacklogState {
    fn total(
        &self,
        now: Moment,
        models: &[ModelName],
        local: impl Fn(&str) -> f64,
        reported: impl Fn(&ModelBacklog) -> f64,
    ) -> Vec<f64> {
        let recent = self.reported.values().filter(|(at, _)| now.since(*at) < BACKLOG_TTL);
        let recent: Vec<&ModelBacklog> = recent.flat_map(|(_, work)| work).collect();
        let totals = models.iter().map(|model| {
            let others = recent.iter().filter(|work| work.model == model.as_str());
            local(model.as_str()) + others.map(|work| reported(work)).sum::<f64>()
        });
        totals.collect()
    }
}

/// Returns the work due that a box reports. A box that reports only its number of items does not
/// order by due time.
fn reported_work_due(work: &ModelBacklog) -> f64 {
    if work.work_due_ms > 0.0 { work.work_due_ms } else { work.items * ASSUMED_ITEM_MS }
}

/// Returns the least slack of the items of each model that wait for a slot in shards served here.
fn least_slacks(keepers: &[Arc<ShardKeeper>]) -> HashMap<String, i64> {
    let mut slacks = HashMap::new();
    for keeper in keepers.iter().filter(|keeper| keeper.is_confirmed()) {
        for (model, demand) in keeper.jobs().demand() {
            if let Some(slack) = demand.slack_ms {
                let least = slacks.entry(model.to_owned()).or_insert(slack);
                *least = slack.min(*least);
            }
        }
    }
    slacks
}
