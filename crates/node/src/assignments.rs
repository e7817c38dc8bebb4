//! The cluster state in the store: the storage boxes, the number of shards and the plan of each
//! shard. [`AssignmentSink`] also applies the records of suspected work, which are stored with it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use ids::{BoxId, Moment, ShardIndex};
use joblog::{ShardLayout, ShardPlan, StorageBox, active_boxes};
use platform::{Changed, Listing, Stored};

use crate::NodeView;
use crate::follow::KindSink;
use crate::suspects;

const BOX_PREFIX: &str = "box-";
const SHARD_PREFIX: &str = "shard-";
/// Name of the object that holds the number of shards.
pub const LAYOUT_NAME: &str = "layout";

/// Name of the object that holds a storage box's address.
pub fn box_object(box_id: &BoxId) -> String {
    format!("{BOX_PREFIX}{box_id}")
}

/// Name of the object that holds a shard's plan.
pub fn shard_object(shard: ShardIndex) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// A plan as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedPlan {
    /// The plan's revision, for conditional writes.
    pub revision: u64,
    /// The plan.
    pub plan: ShardPlan,
    /// When this box first saw a plan of this epoch.
    pub seen_at: Moment,
}

/// Storage boxes and shard plans.
#[derive(Debug, Default)]
pub struct AssignmentTable {
    boxes: BTreeMap<BoxId, StorageBox>,
    plans: HashMap<ShardIndex, ObservedPlan>,
    /// The layout that the boxes agreed on, if any.
    layout: Option<ShardLayout>,
    /// Whether a listing has been applied.
    is_listed: bool,
}

impl AssignmentTable {
    /// All storage boxes, whether they respond or not.
    pub fn boxes(&self) -> impl Iterator<Item = &StorageBox> {
        self.boxes.values()
    }

    /// Storage boxes that are active. The others are on standby.
    pub fn active_boxes(&self) -> Vec<&StorageBox> {
        // A plan may name each box once per segment, so the names are collected once.
        let named = self.plans.values().flat_map(|observed| observed.plan.boxes());
        let named: HashSet<&BoxId> = named.map(|storage_box| &storage_box.box_id).collect();
        active_boxes(self.boxes(), |storage_box| named.contains(&storage_box.box_id))
    }

    /// The plan of a shard.
    pub fn plan(&self, shard: ShardIndex) -> Option<&ObservedPlan> {
        self.plans.get(&shard)
    }

    /// The plans of all shards.
    pub fn plans(&self) -> impl Iterator<Item = (ShardIndex, &ObservedPlan)> {
        self.plans.iter().map(|(shard, observed)| (*shard, observed))
    }

    /// Servers of all shards by the plans in force; a box appears once per shard.
    pub fn servers(&self) -> impl Iterator<Item = &StorageBox> {
        self.plans.values().filter_map(|observed| observed.plan.server())
    }

    /// The layout that the boxes agreed on.
    pub const fn layout(&self) -> Option<&ShardLayout> {
        self.layout.as_ref()
    }

    /// The last shard that has a plan.
    pub fn last_shard(&self) -> Option<ShardIndex> {
        self.plans.keys().max().copied()
    }

    /// Whether a listing has been applied. If so, a plan that is missing here does not exist.
    pub const fn is_read(&self) -> bool {
        self.is_listed
    }

    /// Whether any plan names a box, for the open segment or for a sealed one.
    pub fn has_assignment(&self, box_id: &BoxId) -> bool {
        self.plans.values().any(|observed| observed.plan.names(box_id))
    }

    /// Stores a plan unless a newer revision is present.
    pub fn put_plan(&mut self, shard: ShardIndex, mut observed: ObservedPlan) {
        let current = self.plans.get(&shard);
        if current.is_some_and(|current| current.revision > observed.revision) {
            return;
        }
        let same_epoch = current.filter(|current| current.plan.epoch == observed.plan.epoch);
        if let Some(current) = same_epoch {
            observed.seen_at = current.seen_at;
        } else {
            let plan = &observed.plan;
            log::info!(
                target: "shard", shard = shard.get(), token = plan.epoch.token.get(),
                server:% = plan.server().map_or("none", |storage_box| storage_box.box_id.as_str()),
                copies = plan.copies.len(), revision = observed.revision;
                "plan in force"
            );
        }
        self.plans.insert(shard, observed);
    }

    fn put(&mut self, now: Moment, stored: &Stored) {
        if let Some(shard) = stored.name.strip_prefix(SHARD_PREFIX) {
            let Ok(shard) = shard.parse() else { return };
            match stored.parse() {
                Ok(plan) => {
                    let revision = stored.revision;
                    self.put_plan(shard, ObservedPlan { revision, plan, seen_at: now });
                }
                Err(error) => log::warn!(target: "shard", error:% = error; "plan refused"),
            }
        } else if stored.name == LAYOUT_NAME {
            match stored.parse() {
                Ok(layout) => self.layout = Some(layout),
                Err(error) => log::warn!(target: "shard", error:% = error; "layout refused"),
            }
        } else if stored.name.starts_with(BOX_PREFIX) {
            match stored.parse::<StorageBox>() {
                Ok(storage_box) => {
                    self.boxes.insert(storage_box.box_id.clone(), storage_box);
                }
                Err(error) => log::warn!(target: "shard", error:% = error; "box refused"),
            }
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(box_id) = name.strip_prefix(BOX_PREFIX) {
            self.boxes.retain(|id, _| id.as_str() != box_id);
        }
    }
}

/// Applies assignments and records of suspected work.
#[derive(Debug)]
pub struct AssignmentSink(pub Arc<NodeView>);

impl KindSink for AssignmentSink {
    fn listed(&mut self, listing: &Listing) {
        let now = self.0.now();
        let mut assignments = self.0.assignments();
        for stored in &listing.objects {
            if !suspects::apply_object(&self.0, stored) {
                assignments.put(now, stored);
            }
        }
        assignments.is_listed = true;
        drop(assignments);
        suspects::apply_listing(&self.0, listing);
        self.0.wake();
    }

    fn changed(&mut self, change: &Changed) {
        match change {
            Changed::Put(stored) => {
                let now = self.0.now();
                if !suspects::apply_object(&self.0, stored) {
                    self.0.assignments().put(now, stored);
                }
            }
            Changed::Removed(name) => {
                suspects::apply_removal(&self.0, name);
                self.0.assignments().remove(name);
            }
        }
        self.0.wake();
    }
}
