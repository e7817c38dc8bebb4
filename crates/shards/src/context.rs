//! State shared by all tasks of a storage box.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ids::{BoxId, FencingToken, ShardIndex};
use joblog::{StorageBox, choose_healthy_partners, order_partners};
use jobs::StartOrder;
use links::{CallError, LinkPool};
use node::{NodeView, StorageSettings};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::peer::{HeldLease, shard_request, shard_response};

use crate::admission::AdmissionHome;
use crate::backlog::BacklogTable;
use crate::hosts::ShardHosts;
use crate::job_order::{UrgencyTable, start_order};
use crate::loads::LoadTable;
use crate::log::copies::OpenCopies;
use crate::log::held::HeldTable;
use crate::peers::PeerTable;
use crate::reports::UsageSync;
use crate::reward::HedgeLimiter;

/// State shared by all tasks of a storage box.
#[derive(Debug)]
pub struct ShardContext {
    /// This box's view of the cluster.
    pub view: Arc<NodeView>,
    /// Settings of the storage role.
    pub settings: StorageSettings,
    /// This box as it is registered in the store.
    pub me: StorageBox,
    /// Connections to other boxes.
    pub links: LinkPool,
    /// Copies of logs on this box's disk.
    pub copies: OpenCopies,
    /// Liveness and reported state of the other storage boxes.
    pub peers: PeerTable,
    /// Backlog of each model.
    pub backlog: BacklogTable,
    /// Urgency of the waiting items of all shards.
    pub urgencies: UrgencyTable,
    /// Weight loads that this box has ordered.
    pub loads: LoadTable,
    /// Limits hedged reward calls.
    pub hedge_limiter: HedgeLimiter,
    /// Admission queues of services whose home is here.
    pub admission: AdmissionHome,
    /// Usage cells that the reporting box has acknowledged.
    pub usage_sync: UsageSync,
    /// Cancelled when the box starts to stop.
    pub stopping: CancellationToken,
    /// Sealed segments on this box's disk.
    pub held: Arc<HeldTable>,
    retiring: Mutex<HashSet<BoxId>>,
    leases: Mutex<HashMap<String, HeldLease>>,
    /// Notified when heartbeats should be sent immediately.
    pub heartbeat_due: Notify,
}

impl ShardContext {
    /// Creates a context without any peers.
    pub fn new(
        view: Arc<NodeView>,
        settings: StorageSettings,
        links: LinkPool,
        copies: OpenCopies,
    ) -> Self {
        let node = &settings.node;
        let me = StorageBox {
            box_id: node.box_id.clone(),
            address: node.advertised.to_string(),
            domain: node.domain.clone(),
        };
        let peers = PeerTable::new(view.now());
        Self {
            view,
            settings,
            me,
            links,
            copies,
            peers,
            backlog: BacklogTable::default(),
            urgencies: UrgencyTable::default(),
            loads: LoadTable::default(),
            hedge_limiter: HedgeLimiter::default(),
            admission: AdmissionHome::default(),
            usage_sync: UsageSync::default(),
            stopping: CancellationToken::new(),
            held: Arc::default(),
            retiring: Mutex::default(),
            leases: Mutex::default(),
            heartbeat_due: Notify::new(),
        }
    }

    /// Boxes that are being retired.
    pub fn retiring(&self) -> MutexGuard<'_, HashSet<BoxId>> {
        self.retiring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the order in which items of jobs get engines.
    pub const fn job_order(&self) -> StartOrder {
        start_order(self.settings.job_order)
    }

    /// Returns whether this box is stopping or being retired.
    pub fn is_leaving(&self) -> bool {
        self.stopping.is_cancelled() || self.retiring().contains(&self.me.box_id)
    }

    /// Returns whether this box is active, i.e. exchanges heartbeats with the other active boxes.
    pub fn is_active(&self) -> bool {
        self.view.assignments().active_boxes().iter().any(|copy| copy.box_id == self.me.box_id)
    }

    /// Returns the leases held by this box, as reported in heartbeats.
    pub fn held_leases(&self) -> Vec<HeldLease> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Records the last write to a lease held by this box; `None` when it is no longer held.
    pub fn record_lease(&self, name: &str, held: Option<HeldLease>) {
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        match held {
            Some(held) => leases.insert(name.to_owned(), held),
            None => leases.remove(name),
        };
        // A prompt heartbeat shortens the wait of the next holder.
        self.heartbeat_due.notify_one();
    }

    /// Returns the token of the shard's plan if the plan names this box and its disk has no copy.
    pub fn lost_copy(&self, shard: ShardIndex) -> Option<FencingToken> {
        let epoch = {
            let assignments = self.view.assignments();
            let plan = &assignments.plan(shard)?.plan;
            plan.rank(&self.me.box_id)?;
            plan.epoch.clone()
        };
        (!self.copies.folder().has(shard, &epoch)).then_some(epoch.token)
    }

    /// Chooses boxes for the other copies of a shard. If there are too few, returns `None` and
    /// extends heartbeats to standby boxes.
    pub fn choose_copies(&self, shard: ShardIndex) -> Option<Vec<StorageBox>> {
        let now = self.view.now();
        let retiring = self.retiring().clone();
        let hosts = ShardHosts::new(&self.view, shard);
        let assignments = self.view.assignments();
        let boxes = assignments.boxes().filter(|copy| {
            copy.box_id != self.me.box_id
                && hosts.includes(copy)
                && !retiring.contains(&copy.box_id)
                && self.peers.can_host_copy(now, &copy.box_id)
        });
        let eligible: Vec<StorageBox> = boxes.cloned().collect();
        let failing = self.peers.recently_failed(now);
        let count = self.settings.copies.saturating_sub(1);
        let chosen = choose_healthy_partners(shard, &self.me.domain, &eligible, &failing, count);
        let Some(chosen) = chosen else {
            self.peers.call_standby(now);
            return None;
        };
        let Some(base) = assignments.plan(shard).map(|observed| &observed.plan) else {
            return Some(chosen);
        };
        let reported = |box_id: &BoxId, segment: FencingToken| {
            self.peers.reported_segment(now, (shard, box_id), base.epoch.token, segment)
        };
        Some(order_partners(base, chosen, reported))
    }

    /// Sends a request to another storage box.
    pub async fn call_box(
        &self,
        address: &str,
        timeout: std::time::Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        self.links.call_shard_unary(address, timeout, body).await
    }
}
