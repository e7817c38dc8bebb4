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
/// Reports of other boxes expire after this time.
const BACKLOG_TTL: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct BacklogState {
    /// Open items of shards served here, smoothed, by model.
    local: HashMap<String, f64>,
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
        state.local.values_mut().for_each(|smoothed| *smoothed *= 1.0 - SMOOTHING_FACTOR);
        for keeper in keepers.iter().filter(|keeper| keeper.is_confirmed()) {
            for (model, items) in keeper.jobs().open_items() {
                let items = f64::from(u32::try_from(items).unwrap_or(u32::MAX));
                *state.local.entry(model.to_owned()).or_default() += items * SMOOTHING_FACTOR;
            }
        }
    }

    /// Returns the backlog of the shards served here, for heartbeats.
    pub fn local(&self) -> Vec<ModelBacklog> {
        let state = self.lock();
        let local = state.local.iter();
        local.map(|(model, items)| ModelBacklog { model: model.clone(), items: *items }).collect()
    }

    /// Records the backlog that another box reports.
    pub fn record_report(&self, now: Moment, heartbeat: &ShardHeartbeat) {
        self.lock().reported.insert(heartbeat.box_id.clone(), (now, heartbeat.work.clone()));
    }

    /// Returns the total backlog of each of `models`.
    pub fn for_models(&self, now: Moment, models: &[ModelName]) -> Vec<f64> {
        let state = self.lock();
        let reported = state.reported.values().filter(|(at, _)| now.since(*at) < BACKLOG_TTL);
        let reported: Vec<&ModelBacklog> = reported.flat_map(|(_, work)| work).collect();
        let work = models.iter().map(|model| {
            let local = state.local.get(model.as_str()).copied().unwrap_or_default();
            let others = reported.iter().filter(|work| work.model == model.as_str());
            local + others.map(|work| work.items).sum::<f64>()
        });
        work.collect()
    }
}
