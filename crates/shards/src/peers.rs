//! Heartbeats between storage boxes.
//!
//! A heartbeat and its response carry the state of both boxes, so one box of a pair calls: a box
//! that was called recently skips its own call unless it has updates. Standby boxes are called
//! only while too few active boxes are live.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::lease::LeaseReport;
use ids::{BoxId, FencingToken, Moment, ShardIndex};
use joblog::StorageBox;
use links::CallError;
use node::wall_time;
use tokio::time;
use usage::UnixTime;
use wire::peer::{ServedShard, ShardHeartbeat, shard_request, shard_response};

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::keepers::KeeperSet;
use crate::loads::loads_for_peer;
use crate::log::held::HeldReport;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A box that sent a heartbeat within this time has our state and is not called.
const CALLED_WINDOW: Duration = Duration::from_millis(200);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a box counts as live after a heartbeat, and the state reported in it as current.
const LIVE_WINDOW: Duration = Duration::from_millis(700);
/// How long a box, and its failure domain where possible, is avoided for copies after a failed
/// call. A box takes about this long to be detected as unresponsive, and a network cut affects its
/// whole domain.
const FAILURE_WINDOW: Duration = Duration::from_millis(1_500);
/// A box with a heartbeat within this time counts as having reported its usage.
const USAGE_REPORT_WINDOW: Duration = Duration::from_secs(1);
/// How long standby boxes are called once they are needed; enough for several takeover attempts.
const STANDBY_WINDOW: Duration = Duration::from_secs(3);
/// A box unresponsive for this long is called less often.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that fails faster than this was refused: the machine runs, but the process
/// doesn't.
const REFUSAL_THRESHOLD: Duration = Duration::from_millis(100);
/// One in this many heartbeats is sent to a box that has been unresponsive for long.
const UNRESPONSIVE_SKIP_FACTOR: u64 = 10;

#[derive(Debug, Clone)]
struct PeerState {
    last_heartbeat: Moment,
    leaving: bool,
}

#[derive(Debug, Default)]
struct PeerStates {
    peers: HashMap<BoxId, PeerState>,
    /// When a box last reported that it serves a shard, and under which token.
    served: HashMap<(ShardIndex, BoxId), (FencingToken, Moment)>,
    /// Last write reported by the holder of each lease.
    lease_reports: HashMap<String, LeaseReport>,
    /// When a box last refused connections.
    refused: HashMap<BoxId, Moment>,
    /// When a box last reported that it is taking a shard over.
    takeovers: HashMap<(ShardIndex, BoxId), Moment>,
    /// When a box last reported a missing copy of a shard, and under which token.
    missing_copies: HashMap<(ShardIndex, BoxId), (FencingToken, Moment)>,
    /// The sealed segments that a box last reported to hold.
    held_segments: HashMap<(ShardIndex, BoxId), (HeldReport, Moment)>,
    /// When a call to a box last failed.
    failed: HashMap<BoxId, Moment>,
    /// When a box last called this one.
    called: HashMap<BoxId, Moment>,
    /// Until when standby boxes are called as well.
    standby_until: Moment,
}

/// Liveness and reported state of the other storage boxes.
#[derive(Debug)]
pub struct PeerTable {
    started: Moment,
    states: Mutex<PeerStates>,
}

impl PeerTable {
    /// Creates a table without any heartbeats.
    pub fn new(started: Moment) -> Self {
        Self { started, states: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, PeerStates> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the state that a box reports.
    pub fn record_heartbeat(&self, now: Moment, heartbeat: &ShardHeartbeat) {
        let Ok(box_id) = heartbeat.box_id.parse::<BoxId>() else { return };
        let mut states = self.lock();
        let state = PeerState { last_heartbeat: now, leaving: heartbeat.leaving };
        states.peers.insert(box_id.clone(), state);
        for served in &heartbeat.served {
            let key = (ShardIndex::new(served.shard), box_id.clone());
            states.served.insert(key, (FencingToken::new(served.token), now));
        }
        for shard in &heartbeat.taking_over {
            states.takeovers.insert((ShardIndex::new(*shard), box_id.clone()), now);
        }
        for missing in &heartbeat.missing_copies {
            let key = (ShardIndex::new(missing.shard), box_id.clone());
            states.missing_copies.insert(key, (FencingToken::new(missing.token), now));
        }
        for held in &heartbeat.held_segments {
            let key = (ShardIndex::new(held.shard), box_id.clone());
            states.held_segments.insert(key, (HeldReport::from(held), now));
        }
        for held in &heartbeat.leases {
            let token = FencingToken::new(held.token);
            let previous = states.lease_reports.get(&held.name);
            if previous.is_some_and(|report| (report.token, report.write) >= (token, held.write)) {
                continue;
            }
            let report =
                LeaseReport { holder: box_id.clone(), token, write: held.write, received_at: now };
            states.lease_reports.insert(held.name.clone(), report);
        }
    }

    /// Records a call from a box.
    pub fn record_call(&self, now: Moment, box_id: &BoxId) {
        self.lock().called.insert(box_id.clone(), now);
    }

    /// Returns whether a box called this one recently, so that both have each other's state.
    pub fn called_recently(&self, now: Moment, box_id: &BoxId) -> bool {
        let called_at = self.lock().called.get(box_id).copied();
        called_at.is_some_and(|at| now.since(at) < CALLED_WINDOW)
    }

    /// Extends heartbeats to standby boxes for a while, because too few other boxes are live to
    /// hold copies.
    pub fn call_standby(&self, now: Moment) {
        self.lock().standby_until = now + STANDBY_WINDOW;
    }

    fn calls_standby(&self, now: Moment) -> bool {
        now < self.lock().standby_until
    }

    /// Returns whether all of these boxes sent a heartbeat recently.
    pub fn all_recent<'a>(&self, now: Moment, boxes: impl IntoIterator<Item = &'a BoxId>) -> bool {
        let states = self.lock();
        boxes.into_iter().all(|box_id| {
            states
                .peers
                .get(box_id)
                .is_some_and(|state| now.since(state.last_heartbeat) < USAGE_REPORT_WINDOW)
        })
    }

    /// Returns the last write reported by the holder of a lease.
    pub fn lease_report(&self, name: &str) -> Option<LeaseReport> {
        self.lock().lease_reports.get(name).cloned()
    }

    /// Records that a box refuses connections: its process has ended and is expected to restart.
    pub fn record_refusal(&self, now: Moment, box_id: &BoxId) {
        self.lock().refused.insert(box_id.clone(), now);
    }

    /// Returns whether a box has refused connections since its last heartbeat.
    pub fn is_restarting(&self, box_id: &BoxId) -> bool {
        let states = self.lock();
        let last_heartbeat =
            states.peers.get(box_id).map_or(self.started, |state| state.last_heartbeat);
        states.refused.get(box_id).is_some_and(|refused_at| *refused_at > last_heartbeat)
    }

    /// Records a failed call to a box.
    pub fn record_failure(&self, now: Moment, box_id: &BoxId) {
        self.lock().failed.insert(box_id.clone(), now);
    }

    /// Returns the boxes with a recent failed call.
    pub fn recently_failed(&self, now: Moment) -> Vec<BoxId> {
        let states = self.lock();
        let failing = states.failed.iter().filter(|(_, at)| now.since(**at) < FAILURE_WINDOW);
        failing.map(|(box_id, _)| box_id.clone()).collect()
    }

    /// Returns whether a box sent a heartbeat recently.
    pub fn is_live(&self, now: Moment, box_id: &BoxId) -> bool {
        let states = self.lock();
        let state = states.peers.get(box_id);
        state.is_some_and(|state| now.since(state.last_heartbeat) < LIVE_WINDOW)
    }

    /// Returns whether a box may receive a copy.
    pub fn can_host_copy(&self, now: Moment, box_id: &BoxId) -> bool {
        let states = self.lock();
        states
            .peers
            .get(box_id)
            .is_some_and(|state| !state.leaving && now.since(state.last_heartbeat) < LIVE_WINDOW)
    }

    /// Returns whether a box has recently reported that it is taking a shard over.
    pub fn is_taking_over(&self, now: Moment, shard: ShardIndex, box_id: &BoxId) -> bool {
        let reported = self.lock().takeovers.get(&(shard, box_id.clone())).copied();
        reported.is_some_and(|at| now.since(at) < LIVE_WINDOW)
    }

    /// Returns whether a box has recently reported that it lacks the copy of the plan with this
    /// token.
    pub fn lacks_copy(
        &self,
        now: Moment,
        shard: ShardIndex,
        box_id: &BoxId,
        token: FencingToken,
    ) -> bool {
        let reported = self.lock().missing_copies.get(&(shard, box_id.clone())).copied();
        reported.is_some_and(|(missing, at)| missing == token && now.since(at) < LIVE_WINDOW)
    }

    /// Returns whether a box holds a sealed segment of the plan with token `plan` according to its
    /// report; `None` without a recent report about this plan.
    pub fn reported_segment(
        &self,
        now: Moment,
        (shard, box_id): (ShardIndex, &BoxId),
        plan: FencingToken,
        segment: FencingToken,
    ) -> Option<bool> {
        let states = self.lock();
        let (report, at) = states.held_segments.get(&(shard, box_id.clone()))?;
        if now.since(*at) < LIVE_WINDOW { report.holds(plan, segment) } else { None }
    }

    /// Returns how long a box has not reported that it serves a shard under `token` or a later
    /// one.
    pub fn unreported_for(
        &self,
        now: Moment,
        shard: ShardIndex,
        box_id: &BoxId,
        token: FencingToken,
    ) -> Duration {
        let states = self.lock();
        let reported = states.served.get(&(shard, box_id.clone()));
        let at =
            reported.filter(|(served, _)| *served >= token).map_or(self.started, |(_, at)| *at);
        now.since(at)
    }

    fn is_long_unresponsive(&self, now: Moment, box_id: &BoxId) -> bool {
        let last_heartbeat =
            self.lock().peers.get(box_id).map_or(self.started, |state| state.last_heartbeat);
        now.since(last_heartbeat) > UNRESPONSIVE_TIMEOUT
    }
}

/// Returns this box's heartbeat, without loads and usage.
pub fn local_heartbeat(ctx: &ShardContext, keepers: &[Arc<ShardKeeper>]) -> ShardHeartbeat {
    let served = keepers.iter().filter_map(|keeper| {
        let token = keeper.served_token()?;
        Some(ServedShard { shard: keeper.shard().get(), token: token.get() })
    });
    let missing_copies = keepers.iter().filter_map(|keeper| {
        let token = ctx.lost_copy(keeper.shard())?;
        Some(ServedShard { shard: keeper.shard().get(), token: token.get() })
    });
    ShardHeartbeat {
        box_id: ctx.me.box_id.to_string(),
        missing_copies: missing_copies.collect(),
        held_segments: ctx.held.to_wire(),
        served: served.collect(),
        leaving: ctx.is_leaving(),
        domain: ctx.me.domain.to_string(),
        leases: ctx.held_leases(),
        wall_ms: wall_time().millis(),
        usage: Vec::new(),
        work: ctx.backlog.local(keepers),
        loads: Vec::new(),
        taking_over: keepers
            .iter()
            .filter(|keeper| keeper.is_taking_over())
            .map(|keeper| keeper.shard().get())
            .collect(),
    }
}

/// Handles a heartbeat from a box that calls this one.
pub fn handle_peer_heartbeat(ctx: &ShardContext, heartbeat: &ShardHeartbeat) {
    apply_heartbeat(ctx, heartbeat);
    if let Ok(box_id) = heartbeat.box_id.parse() {
        ctx.peers.record_call(ctx.view.now(), &box_id);
    }
}

/// Applies the state that another box reports.
pub fn apply_heartbeat(ctx: &ShardContext, heartbeat: &ShardHeartbeat) {
    let now = ctx.view.now();
    ctx.peers.record_heartbeat(now, heartbeat);
    ctx.backlog.record_report(now, heartbeat);
    ctx.urgencies.record_report(now, heartbeat);
    ctx.view.usage.merge(&heartbeat.usage);
    if let Ok(box_id) = heartbeat.box_id.parse()
        && heartbeat.wall_ms > 0
    {
        ctx.view.usage.record_peer_time(now, &box_id, UnixTime::new(heartbeat.wall_ms));
    }
}

/// Returns whether this box has updates for another one that only its own heartbeat carries.
fn has_pending_updates(ctx: &ShardContext, other: &BoxId) -> bool {
    !loads_for_peer(ctx, other).is_empty() || ctx.usage_sync.pending_cells(ctx, other).is_some()
}

/// Returns the boxes to call: the other active boxes if this one is active, all others while
/// standby boxes are called.
fn heartbeat_peers(ctx: &ShardContext, now: Moment) -> Vec<StorageBox> {
    let assignments = ctx.view.assignments();
    if ctx.peers.calls_standby(now) {
        let others = assignments.boxes().filter(|copy| copy.box_id != ctx.me.box_id);
        return others.cloned().collect();
    }
    let active = assignments.active_boxes();
    if active.iter().all(|copy| copy.box_id != ctx.me.box_id) {
        return Vec::new();
    }
    let others = active.into_iter().filter(|copy| copy.box_id != ctx.me.box_id);
    others.cloned().collect()
}

/// Sends heartbeats to the other boxes until the box stops.
pub async fn run_heartbeats(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let mut round: u64 = 0;
    let mut has_updates = true;
    loop {
        round += 1;
        let now = ctx.view.now();
        ctx.backlog.sample(keepers.all());
        ctx.view.usage.record_peer_time(now, &ctx.me.box_id, wall_time());
        ctx.view.usage.forget(now);
        for other in heartbeat_peers(&ctx, now) {
            if ctx.peers.is_long_unresponsive(now, &other.box_id)
                && !round.is_multiple_of(UNRESPONSIVE_SKIP_FACTOR)
            {
                continue;
            }
            if !has_updates
                && ctx.peers.called_recently(now, &other.box_id)
                && !has_pending_updates(&ctx, &other.box_id)
            {
                continue;
            }
            tokio::spawn(send_heartbeat(Arc::clone(&ctx), Arc::clone(&keepers), other));
        }
        has_updates = time::timeout(HEARTBEAT_INTERVAL, ctx.heartbeat_due.notified()).await.is_ok();
    }
}

/// Sends one heartbeat and applies the response.
pub async fn send_heartbeat(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>, other: StorageBox) {
    let called_at = time::Instant::now();
    let mut heartbeat = local_heartbeat(&ctx, keepers.all());
    heartbeat.loads = loads_for_peer(&ctx, &other.box_id);
    let pending = ctx.usage_sync.pending_cells(&ctx, &other.box_id);
    if let Some((cells, _)) = &pending {
        heartbeat.usage.clone_from(cells);
    }
    match ctx
        .call_box(&other.address, HEARTBEAT_TIMEOUT, shard_request::Body::Heartbeat(heartbeat))
        .await
    {
        Ok(shard_response::Body::Heartbeat(heartbeat)) => {
            apply_heartbeat(&ctx, &heartbeat);
            if let Some((_, mark)) = pending {
                ctx.usage_sync.record_ack(mark);
            }
        }
        Ok(_) => {}
        Err(CallError::NotSent { .. }) if called_at.elapsed() < REFUSAL_THRESHOLD => {
            ctx.peers.record_refusal(ctx.view.now(), &other.box_id);
            ctx.peers.record_failure(ctx.view.now(), &other.box_id);
        }
        // Whether the box is unresponsive depends on the time since its last heartbeat instead.
        Err(error) => {
            ctx.peers.record_failure(ctx.view.now(), &other.box_id);
            log::debug!(target: "shard", peer:% = other.box_id, error:% = error; "heartbeat failed");
        }
    }
}
