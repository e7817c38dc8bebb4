//! Beats between the boxes that keep data.
//!
//! A beat and its answer tell each side of the other, so of two boxes mostly one calls: whoever has just been
//! called has nothing to ask, unless it has news. Boxes that stand by are called while too few of those at work are
//! heard.

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
use crate::loads::told_loads;

/// Time between beats.
const BEAT_EVERY: Duration = Duration::from_millis(250);
/// A box that has beaten within this time has been answered, and is not called as well.
const BEATEN_TIME: Duration = Duration::from_millis(200);
/// Longest wait for the answer to a beat.
const BEAT_TIME: Duration = Duration::from_millis(500);
/// A box heard within this time may be given a copy.
const FIT_TIME: Duration = Duration::from_millis(700);
/// After a failed call a box is given a copy only if there is no other: it takes this long until
/// its silence shows, and a cut takes its whole failure domain with it.
const FAILED_TIME: Duration = Duration::from_millis(1_500);
/// A box heard within this time has told what it counted up to a second ago.
const HEARD_TIME: Duration = Duration::from_secs(1);
/// Boxes that stand by are called for this long once they are needed: some tries to make new copies.
const STANDBY_TIME: Duration = Duration::from_secs(3);
/// A box silent for this long is asked less often.
const SILENT_TIME: Duration = Duration::from_secs(10);
/// A connection that fails sooner than this was refused: the box runs, its process does not.
const REFUSED_TIME: Duration = Duration::from_millis(100);
/// One beat in this many goes to a box that has been silent for long.
const SILENT_BEATS: u64 = 10;

#[derive(Debug, Clone)]
struct PeerState {
    heard_at: Moment,
    leaving: bool,
}

#[derive(Debug, Default)]
struct PeerStates {
    peers: HashMap<BoxId, PeerState>,
    /// When a box last said that it serves a shard, and under which token.
    served: HashMap<(ShardIndex, BoxId), (FencingToken, Moment)>,
    /// What the holder of a lease last said of its writes.
    notes: HashMap<String, LeaseReport>,
    /// When a box last refused connections.
    refused: HashMap<BoxId, Moment>,
    /// When a box last said that it makes new copies of a shard.
    forming: HashMap<(ShardIndex, BoxId), Moment>,
    /// When a box last said that its disk lacks a shard's copy, and under which token.
    lacking: HashMap<(ShardIndex, BoxId), (FencingToken, Moment)>,
    /// When a call to a box last broke off or got no answer in time.
    failed: HashMap<BoxId, Moment>,
    /// When a box last called this one.
    beaten: HashMap<BoxId, Moment>,
    /// Until when boxes that stand by are called as well.
    standby_until: Moment,
}

/// Which boxes are heard, and what they say of themselves.
#[derive(Debug)]
pub struct PeerTable {
    started: Moment,
    states: Mutex<PeerStates>,
}

impl PeerTable {
    /// A table that has heard nobody.
    pub fn new(started: Moment) -> Self {
        Self { started, states: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, PeerStates> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what a box says of itself.
    pub fn heard(&self, now: Moment, beat: &ShardHeartbeat) {
        let Ok(box_id) = beat.box_id.parse::<BoxId>() else { return };
        let mut states = self.lock();
        let state = PeerState { heard_at: now, leaving: beat.leaving };
        states.peers.insert(box_id.clone(), state);
        for served in &beat.served {
            let key = (ShardIndex::new(served.shard), box_id.clone());
            states.served.insert(key, (FencingToken::new(served.token), now));
        }
        for shard in &beat.taking_over {
            states.forming.insert((ShardIndex::new(*shard), box_id.clone()), now);
        }
        for lacking in &beat.missing_copies {
            let key = (ShardIndex::new(lacking.shard), box_id.clone());
            states.lacking.insert(key, (FencingToken::new(lacking.token), now));
        }
        for held in &beat.leases {
            let token = FencingToken::new(held.token);
            let known = states.notes.get(&held.name);
            if known.is_some_and(|note| (note.token, note.write) >= (token, held.write)) {
                continue;
            }
            let note =
                LeaseReport { holder: box_id.clone(), token, write: held.write, heard_at: now };
            states.notes.insert(held.name.clone(), note);
        }
    }

    /// Notes that a box has called this one.
    pub fn beaten(&self, now: Moment, box_id: &BoxId) {
        self.lock().beaten.insert(box_id.clone(), now);
    }

    /// Whether a box has called this one a moment ago, so that each has heard the other.
    pub fn has_beaten(&self, now: Moment, box_id: &BoxId) -> bool {
        let beaten_at = self.lock().beaten.get(box_id).copied();
        beaten_at.is_some_and(|at| now.since(at) < BEATEN_TIME)
    }

    /// Lets boxes that stand by be called for a while: too few others are heard to give copies to.
    pub fn call_standby(&self, now: Moment) {
        self.lock().standby_until = now + STANDBY_TIME;
    }

    fn calls_standby(&self, now: Moment) -> bool {
        now < self.lock().standby_until
    }

    /// Whether every one of these boxes was heard just now.
    pub fn all_heard<'a>(&self, now: Moment, boxes: impl IntoIterator<Item = &'a BoxId>) -> bool {
        let states = self.lock();
        boxes.into_iter().all(|box_id| {
            states.peers.get(box_id).is_some_and(|state| now.since(state.heard_at) < HEARD_TIME)
        })
    }

    /// What the holder of a lease last said of its writes.
    pub fn lease_note(&self, name: &str) -> Option<LeaseReport> {
        self.lock().notes.get(name).cloned()
    }

    /// Notes that a box refuses connections: its process has ended and will be started again.
    pub fn refused(&self, now: Moment, box_id: &BoxId) {
        self.lock().refused.insert(box_id.clone(), now);
    }

    /// Whether a box has refused connections since it was last heard.
    pub fn restarts(&self, box_id: &BoxId) -> bool {
        let states = self.lock();
        let heard_at = states.peers.get(box_id).map_or(self.started, |state| state.heard_at);
        states.refused.get(box_id).is_some_and(|refused_at| *refused_at > heard_at)
    }

    /// Notes that a call to a box broke off or got no answer in time.
    pub fn failed(&self, now: Moment, box_id: &BoxId) {
        self.lock().failed.insert(box_id.clone(), now);
    }

    /// Boxes to which a call has failed of late.
    pub fn failing(&self, now: Moment) -> Vec<BoxId> {
        let states = self.lock();
        let failing = states.failed.iter().filter(|(_, at)| now.since(**at) < FAILED_TIME);
        failing.map(|(box_id, _)| box_id.clone()).collect()
    }

    /// Whether a box may be given a copy.
    pub fn is_fit(&self, now: Moment, box_id: &BoxId) -> bool {
        let states = self.lock();
        states
            .peers
            .get(box_id)
            .is_some_and(|state| !state.leaving && now.since(state.heard_at) < FIT_TIME)
    }

    /// Whether a box makes new copies of a shard, as it has said a moment ago.
    pub fn forms(&self, now: Moment, shard: ShardIndex, box_id: &BoxId) -> bool {
        let told = self.lock().forming.get(&(shard, box_id.clone())).copied();
        told.is_some_and(|at| now.since(at) < FIT_TIME)
    }

    /// Whether a box has said a moment ago that its disk lacks the copy of a plan with this token.
    pub fn lacks(
        &self,
        now: Moment,
        shard: ShardIndex,
        box_id: &BoxId,
        token: FencingToken,
    ) -> bool {
        let told = self.lock().lacking.get(&(shard, box_id.clone())).copied();
        told.is_some_and(|(lacking, at)| lacking == token && now.since(at) < FIT_TIME)
    }

    /// How long a box has not said that it serves a shard under `token` or a later one.
    pub fn silent(
        &self,
        now: Moment,
        shard: ShardIndex,
        box_id: &BoxId,
        token: FencingToken,
    ) -> Duration {
        let states = self.lock();
        let told = states.served.get(&(shard, box_id.clone()));
        let at = told.filter(|(served, _)| *served >= token).map_or(self.started, |(_, at)| *at);
        now.since(at)
    }

    fn silent_long(&self, now: Moment, box_id: &BoxId) -> bool {
        let heard_at = self.lock().peers.get(box_id).map_or(self.started, |state| state.heard_at);
        now.since(heard_at) > SILENT_TIME
    }
}

/// What this box says of itself.
pub fn own_beat(ctx: &ShardContext, keepers: &[Arc<ShardKeeper>]) -> ShardHeartbeat {
    let served = keepers.iter().filter_map(|keeper| {
        let token = keeper.served_token()?;
        Some(ServedShard { shard: keeper.shard().get(), token: token.get() })
    });
    let lacking = keepers.iter().filter_map(|keeper| {
        let token = ctx.lost_copy(keeper.shard())?;
        Some(ServedShard { shard: keeper.shard().get(), token: token.get() })
    });
    ShardHeartbeat {
        box_id: ctx.me.box_id.to_string(),
        missing_copies: lacking.collect(),
        served: served.collect(),
        leaving: ctx.is_leaving(),
        domain: ctx.me.domain.to_string(),
        leases: ctx.held_leases(),
        wall_ms: wall_time().millis(),
        usage: Vec::new(),
        work: ctx.work.own(),
        loads: Vec::new(),
        taking_over: keepers
            .iter()
            .filter(|keeper| keeper.is_forming())
            .map(|keeper| keeper.shard().get())
            .collect(),
    }
}

/// Takes the beat of a box that calls this one.
pub fn take_beat(ctx: &ShardContext, beat: &ShardHeartbeat) {
    hear_beat(ctx, beat);
    if let Ok(box_id) = beat.box_id.parse() {
        ctx.peers.beaten(ctx.view.now(), &box_id);
    }
}

/// Takes what another box says of itself.
pub fn hear_beat(ctx: &ShardContext, beat: &ShardHeartbeat) {
    let now = ctx.view.now();
    ctx.peers.heard(now, beat);
    ctx.work.heard(now, beat);
    ctx.view.usage.merge(&beat.usage);
    if let Ok(box_id) = beat.box_id.parse()
        && beat.wall_ms > 0
    {
        ctx.view.usage.record_peer_time(now, &box_id, UnixTime::new(beat.wall_ms));
    }
}

/// Whether this box has what only a call of its own tells another one.
fn has_more_to_tell(ctx: &ShardContext, other: &BoxId) -> bool {
    !told_loads(ctx, other).is_empty() || ctx.usage_told.untold(ctx, other).is_some()
}

/// The boxes that this one calls: those at work, if it is one of them itself.
fn called_boxes(ctx: &ShardContext, now: Moment) -> Vec<StorageBox> {
    let duties = ctx.view.assignments();
    if ctx.peers.calls_standby(now) {
        let others = duties.boxes().filter(|copy| copy.box_id != ctx.me.box_id);
        return others.cloned().collect();
    }
    let active = duties.active_boxes();
    if active.iter().all(|copy| copy.box_id != ctx.me.box_id) {
        return Vec::new();
    }
    let others = active.into_iter().filter(|copy| copy.box_id != ctx.me.box_id);
    others.cloned().collect()
}

/// Sends beats to all other boxes at work until the box ends.
pub async fn send_beats(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let mut turn: u64 = 0;
    let mut has_news = true;
    loop {
        turn += 1;
        let now = ctx.view.now();
        ctx.work.sample(keepers.all());
        ctx.view.usage.record_peer_time(now, &ctx.me.box_id, wall_time());
        ctx.view.usage.forget(now);
        for other in called_boxes(&ctx, now) {
            if ctx.peers.silent_long(now, &other.box_id) && !turn.is_multiple_of(SILENT_BEATS) {
                continue;
            }
            if !has_news
                && ctx.peers.has_beaten(now, &other.box_id)
                && !has_more_to_tell(&ctx, &other.box_id)
            {
                continue;
            }
            tokio::spawn(send_beat(Arc::clone(&ctx), Arc::clone(&keepers), other));
        }
        has_news = time::timeout(BEAT_EVERY, ctx.news.notified()).await.is_ok();
    }
}

/// Sends one beat, and takes what its answer says.
pub async fn send_beat(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>, other: StorageBox) {
    let asked_at = time::Instant::now();
    let mut beat = own_beat(&ctx, keepers.all());
    beat.loads = told_loads(&ctx, &other.box_id);
    let told = ctx.usage_told.untold(&ctx, &other.box_id);
    if let Some((cells, _)) = &told {
        beat.usage.clone_from(cells);
    }
    match ctx.ask(&other.address, BEAT_TIME, shard_request::Body::Heartbeat(beat)).await {
        Ok(shard_response::Body::Heartbeat(beat)) => {
            hear_beat(&ctx, &beat);
            if let Some((_, told)) = told {
                ctx.usage_told.note(told);
            }
        }
        Ok(_) => {}
        Err(CallError::NotSent { .. }) if asked_at.elapsed() < REFUSED_TIME => {
            ctx.peers.refused(ctx.view.now(), &other.box_id);
            ctx.peers.failed(ctx.view.now(), &other.box_id);
        }
        // Silence is what the table tells.
        Err(error) => {
            ctx.peers.failed(ctx.view.now(), &other.box_id);
            log::debug!(target: "shard", peer:% = other.box_id, error:% = error; "beat unanswered");
        }
    }
}
