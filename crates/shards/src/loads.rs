//! Weight loads that this box has ordered, reported to the boxes that run items.
//!
//! An engine refuses work while it loads, and the box that orders the load may not be the one that
//! runs items at the engine. Without these reports a server learns of a load by a refusal, backs
//! the engine off, and sees the new version only in the store's list.

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
use crate::peers::send_heartbeat;

/// How long a reported load is valid: one of the heartbeats, 250 ms apart, may be lost.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(700);
/// How long a completed load is still reported, in case a heartbeat is lost.
const ENDED_LOAD_TTL: Duration = Duration::from_secs(1);
/// Delay that batches load changes before they are reported, since loads start and end in groups.
const BATCH_DELAY: Duration = Duration::from_millis(30);

#[derive(Debug)]
struct LoadState {
    model: ModelName,
    version: ModelVersion,
    /// Completion time, and whether the engine has the version.
    ended: Option<(Moment, bool)>,
}

/// The loads that this box has ordered.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: Mutex<HashMap<InstanceId, LoadState>>,
    changed: Notify,
}

impl LoadTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, LoadState>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an engine was ordered to load.
    pub fn load_started(&self, engine: &InstanceId, model: &ModelName, version: ModelVersion) {
        let state = LoadState { model: model.clone(), version, ended: None };
        self.lock().insert(engine.clone(), state);
        self.changed.notify_one();
    }

    /// Records the completion of an ordered load; `holds` is whether the engine has the version.
    pub fn load_ended(&self, now: Moment, engine: &InstanceId, holds: bool) {
        let mut loads = self.lock();
        let Some(state) = loads.get_mut(engine) else { return };
        if state.ended.is_none() {
            state.ended = Some((now, holds));
            self.changed.notify_one();
        }
    }

    /// Returns the loads in progress and those completed recently.
    pub fn current_loads(&self, now: Moment) -> Vec<WeightLoad> {
        let mut loads = self.lock();
        loads.retain(|_, state| state.ended.is_none_or(|(at, _)| now.since(at) < ENDED_LOAD_TTL));
        let reported = loads.iter().map(|(engine, state)| WeightLoad {
            target: engine.to_string(),
            model: state.model.to_string(),
            version: state.version.get(),
            ended: state.ended.is_some(),
            holds: state.ended.is_some_and(|(_, holds)| holds),
        });
        reported.collect()
    }
}

/// Returns the loads to report to a box: empty unless it serves a shard, since only servers run
/// items.
pub fn loads_for_peer(ctx: &ShardContext, other: &BoxId) -> Vec<WeightLoad> {
    let serves = ctx.view.assignments().servers().any(|server| server.box_id == *other);
    if serves { ctx.loads.current_loads(ctx.view.now()) } else { Vec::new() }
}

/// Applies the loads that another box reports.
pub fn apply_loads(targets: &mut TargetTable, now: Moment, loads: &[WeightLoad]) {
    for load in loads {
        let (Ok(engine), Ok(model)) = (load.target.parse(), load.model.parse()) else { continue };
        if load.holds {
            targets.record_version(&engine, &model, ModelVersion::new(load.version));
        }
        targets.loading(&engine, if load.ended { now } else { now + LOAD_REPORT_TTL });
    }
}

/// Reports changes of loads to the servers of shards until the box stops.
pub async fn publish_loads(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    loop {
        ctx.loads.changed.notified().await;
        time::sleep(BATCH_DELAY).await;
        let others: HashMap<BoxId, StorageBox> = {
            let assignments = ctx.view.assignments();
            let others = assignments.servers().filter(|server| server.box_id != ctx.me.box_id);
            others.map(|server| (server.box_id.clone(), server.clone())).collect()
        };
        for other in others.into_values() {
            tokio::spawn(send_heartbeat(Arc::clone(&ctx), Arc::clone(&keepers), other));
        }
    }
}
