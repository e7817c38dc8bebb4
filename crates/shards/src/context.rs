//! What all tasks of a keeping box share.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ids::{BoxId, FencingToken, ShardIndex};
use joblog::{StorageBox, choose_healthy_partners};
use links::{CallError, LinkPool};
use node::{NodeView, StorageSettings};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::peer::{HeldLease, shard_request, shard_response};

use crate::copies::OpenCopies;
use crate::loads::LoadBoard;
use crate::peers::PeerTable;
use crate::reports::UsageTold;
use crate::reward::SecondCalls;
use crate::work::WorkBoard;

/// Shared by all tasks of a keeping box.
#[derive(Debug)]
pub struct ShardContext {
    /// The box's belief.
    pub view: Arc<NodeView>,
    /// Its settings.
    pub settings: StorageSettings,
    /// This box as others see it.
    pub me: StorageBox,
    /// Connections to other boxes.
    pub links: LinkPool,
    /// Copies of logs on this box's disk.
    pub copies: OpenCopies,
    /// Which boxes are heard.
    pub peers: PeerTable,
    /// How much work each model has.
    pub work: WorkBoard,
    /// Engines that load by this box's orders.
    pub loads: LoadBoard,
    /// How many reward calls may be made at two targets at once.
    pub second_calls: SecondCalls,
    /// What the box that reports use has been told.
    pub usage_told: UsageTold,
    /// Set once the box is asked to stop.
    pub stopping: CancellationToken,
    retiring: Mutex<HashSet<BoxId>>,
    leases: Mutex<HashMap<String, HeldLease>>,
    /// Told when others should hear of a lease at once.
    pub news: Notify,
}

impl ShardContext {
    /// The context of a box that has heard nobody yet.
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
            work: WorkBoard::default(),
            loads: LoadBoard::default(),
            second_calls: SecondCalls::default(),
            usage_told: UsageTold::default(),
            stopping: CancellationToken::new(),
            retiring: Mutex::default(),
            leases: Mutex::default(),
            news: Notify::new(),
        }
    }

    /// Boxes that are to be emptied.
    pub fn retiring(&self) -> MutexGuard<'_, HashSet<BoxId>> {
        self.retiring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this box gives its duties up.
    pub fn is_leaving(&self) -> bool {
        self.stopping.is_cancelled() || self.retiring().contains(&self.me.box_id)
    }

    /// Whether this box is one of those that beat with each other.
    pub fn is_at_work(&self) -> bool {
        self.view.assignments().active_boxes().iter().any(|copy| copy.box_id == self.me.box_id)
    }

    /// Leases that this box holds, as beats tell them.
    pub fn held_leases(&self) -> Vec<HeldLease> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Notes the last write to a lease that this box holds, or that it holds it no more.
    pub fn note_lease(&self, name: &str, held: Option<HeldLease>) {
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        match held {
            Some(held) => leases.insert(name.to_owned(), held),
            None => leases.remove(name),
        };
        // The sooner others know of a write, the shorter a taker's wait after the last one.
        self.news.notify_one();
    }

    /// The token of a shard's plan that names this box, if its disk has no copy of it.
    pub fn lost_copy(&self, shard: ShardIndex) -> Option<FencingToken> {
        let epoch = {
            let duties = self.view.assignments();
            let plan = &duties.plan(shard)?.plan;
            plan.rank(&self.me.box_id)?;
            plan.epoch.clone()
        };
        (!self.copies.folder().has(shard, &epoch)).then_some(epoch.token)
    }

    /// The boxes for the other copies of a shard; `None` when there are too few.
    pub fn choose_copies(&self, shard: ShardIndex) -> Option<Vec<StorageBox>> {
        let now = self.view.now();
        let retiring = self.retiring().clone();
        let duties = self.view.assignments();
        let boxes = duties.boxes().filter(|copy| {
            copy.box_id != self.me.box_id
                && !retiring.contains(&copy.box_id)
                && self.peers.is_fit(now, &copy.box_id)
        });
        let fit: Vec<StorageBox> = boxes.cloned().collect();
        let failing = self.peers.failing(now);
        let count = self.settings.copies.saturating_sub(1);
        let chosen = choose_healthy_partners(shard, &self.me.domain, &fit, &failing, count);
        if chosen.is_none() {
            self.peers.call_standby(now);
        }
        chosen
    }

    /// Asks another keeping box.
    pub async fn ask(
        &self,
        address: &str,
        time: std::time::Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        self.links.call_shard_unary(address, time, body).await
    }
}
