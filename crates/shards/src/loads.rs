//! Which engines load by this box's orders, told to the boxes that run items.
//!
//! An engine turns work away while it loads, and the box that orders it is not always the one that runs
//! items at it. Without word of its loads a server finds them out one refusal at a time, rests each engine
//! after it, and hears of the new version only with the store's list.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{BoxId, InstanceId, ModelName, ModelVersion, Moment};
use joblog::StorageBox;
use routing::TargetTable;
use tokio::sync::Notify;
use tokio::time;
use wire::peer::WeightLoad;

use crate::context::ShardContext;
use crate::keepers::KeeperSet;
use crate::peers::send_beat;

/// How long a load that was told is believed: beats come every 250 ms, and two of them may be lost.
const LOAD_TRUST: Duration = Duration::from_millis(700);
/// How long an ended load is told, in case a beat is lost.
const ENDED_TIME: Duration = Duration::from_secs(1);
/// Loads begin and end in groups: news of them gather for this long before they are told.
const GATHER: Duration = Duration::from_millis(30);

#[derive(Debug)]
struct LoadState {
    model: ModelName,
    version: ModelVersion,
    /// When it ended, and whether the engine holds the version.
    ended: Option<(Moment, bool)>,
}

/// The loads that this box has ordered.
#[derive(Debug, Default)]
pub struct LoadBoard {
    loads: Mutex<HashMap<InstanceId, LoadState>>,
    changed: Notify,
}

impl LoadBoard {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, LoadState>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that an engine was ordered to load.
    pub fn begun(&self, engine: &InstanceId, model: &ModelName, version: ModelVersion) {
        let state = LoadState { model: model.clone(), version, ended: None };
        self.lock().insert(engine.clone(), state);
        self.changed.notify_one();
    }

    /// Notes that an engine takes work again, if it was ordered to load.
    pub fn ended(&self, now: Moment, engine: &InstanceId, holds: bool) {
        let mut loads = self.lock();
        let Some(state) = loads.get_mut(engine) else { return };
        if state.ended.is_none() {
            state.ended = Some((now, holds));
            self.changed.notify_one();
        }
    }

    /// The loads that are under way or ended a moment ago.
    pub fn told(&self, now: Moment) -> Vec<WeightLoad> {
        let mut loads = self.lock();
        loads.retain(|_, state| state.ended.is_none_or(|(at, _)| now.since(at) < ENDED_TIME));
        let told = loads.iter().map(|(engine, state)| WeightLoad {
            target: engine.to_string(),
            model: state.model.to_string(),
            version: state.version.get(),
            ended: state.ended.is_some(),
            holds: state.ended.is_some_and(|(_, holds)| holds),
        });
        told.collect()
    }
}

/// The loads that a box is told: those that run no items need none.
pub fn told_loads(ctx: &ShardContext, other: &BoxId) -> Vec<WeightLoad> {
    let serves = ctx.view.assignments().servers().any(|server| server.box_id == *other);
    if serves { ctx.loads.told(ctx.view.now()) } else { Vec::new() }
}

/// Takes what another box tells of its loads.
pub fn hear_loads(board: &mut TargetTable, now: Moment, loads: &[WeightLoad]) {
    for load in loads {
        let (Ok(engine), Ok(model)) = (load.target.parse(), load.model.parse()) else { continue };
        if load.holds {
            board.record_version(&engine, &model, ModelVersion::new(load.version));
        }
        board.loading(&engine, if load.ended { now } else { now + LOAD_TRUST });
    }
}

/// Tells servers of shards of loads as they begin and end, until the box ends.
pub async fn tell_loads(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    loop {
        ctx.loads.changed.notified().await;
        time::sleep(GATHER).await;
        let others: HashMap<BoxId, StorageBox> = {
            let duties = ctx.view.assignments();
            let others = duties.servers().filter(|server| server.box_id != ctx.me.box_id);
            others.map(|server| (server.box_id.clone(), server.clone())).collect()
        };
        for other in others.into_values() {
            tokio::spawn(send_beat(Arc::clone(&ctx), Arc::clone(&keepers), other));
        }
    }
}
