//! How much work each model has, as the boxes that serve shards tell.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{ModelName, Moment};
use wire::peer::{ModelBacklog, ShardHeartbeat};

use crate::keeper::ShardKeeper;

/// Part of the newest sample in the smoothed number. Samples come with the beats, four a second, so
/// that a step's items count for about two steps' time.
const SAMPLE_PART: f64 = 0.03;
/// What another box has told is forgotten after this.
const TOLD_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct WorkCounts {
    /// Open items of shards served here, smoothed, by model.
    own: HashMap<String, f64>,
    told: HashMap<String, (Moment, Vec<ModelBacklog>)>,
}

/// How much work each model has.
#[derive(Debug, Default)]
pub struct WorkBoard(Mutex<WorkCounts>);

impl WorkBoard {
    fn lock(&self) -> MutexGuard<'_, WorkCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the open items of the shards served here.
    pub fn sample(&self, keepers: &[Arc<ShardKeeper>]) {
        let mut counts = self.lock();
        counts.own.values_mut().for_each(|smoothed| *smoothed *= 1.0 - SAMPLE_PART);
        for keeper in keepers.iter().filter(|keeper| keeper.is_proven()) {
            for (model, items) in keeper.book().open_items() {
                let items = f64::from(u32::try_from(items).unwrap_or(u32::MAX));
                *counts.own.entry(model.to_owned()).or_default() += items * SAMPLE_PART;
            }
        }
    }

    /// What beats tell of the shards served here.
    pub fn own(&self) -> Vec<ModelBacklog> {
        let counts = self.lock();
        let own = counts.own.iter();
        own.map(|(model, items)| ModelBacklog { model: model.clone(), items: *items }).collect()
    }

    /// Takes what another box tells of the shards that it serves.
    pub fn heard(&self, now: Moment, beat: &ShardHeartbeat) {
        self.lock().told.insert(beat.box_id.clone(), (now, beat.work.clone()));
    }

    /// The work of each of `models`, here and elsewhere.
    pub fn of(&self, now: Moment, models: &[ModelName]) -> Vec<f64> {
        let counts = self.lock();
        let told = counts.told.values().filter(|(at, _)| now.since(*at) < TOLD_TIME);
        let told: Vec<&ModelBacklog> = told.flat_map(|(_, work)| work).collect();
        let work = models.iter().map(|model| {
            let own = counts.own.get(model.as_str()).copied().unwrap_or_default();
            let others = told.iter().filter(|work| work.model == model.as_str());
            own + others.map(|work| work.items).sum::<f64>()
        });
        work.collect()
    }
}
