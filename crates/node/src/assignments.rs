//! Which boxes keep data, and who serves which shard, as the store tells it. Beside these it tells of work
//! under suspicion.

use std::collections::{BTreeMap, HashMap};
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

/// Name of the object that tells where a box with a disk is.
pub fn box_object(box_id: &BoxId) -> String {
    format!("{BOX_PREFIX}{box_id}")
}

/// Name of the object that holds a shard's plan.
pub fn shard_object(shard: ShardIndex) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// A plan as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedPlan {
    /// Its revision, for a conditional write.
    pub revision: u64,
    /// The plan.
    pub plan: ShardPlan,
    /// When this box first saw a plan of this epoch.
    pub seen_at: Moment,
}

/// What the store tells of duties.
#[derive(Debug, Default)]
pub struct AssignmentTable {
    boxes: BTreeMap<BoxId, StorageBox>,
    plans: HashMap<ShardIndex, ObservedPlan>,
    /// Into how many shards jobs are divided, if the boxes have agreed on it.
    layout: Option<ShardLayout>,
    /// Whether the store has been read at all.
    read: bool,
}

impl AssignmentTable {
    /// Boxes with a disk, whether they live or not.
    pub fn boxes(&self) -> impl Iterator<Item = &StorageBox> {
        self.boxes.values()
    }

    /// Those of them that are at work: the others stand by and are not heard.
    pub fn active_boxes(&self) -> Vec<&StorageBox> {
        active_boxes(self.boxes(), |copy| self.has_assignment(&copy.box_id))
    }

    /// A shard's plan.
    pub fn plan(&self, shard: ShardIndex) -> Option<&ObservedPlan> {
        self.plans.get(&shard)
    }

    /// The boxes that serve a shard, by the plans in force; one that serves several is named once for each.
    pub fn servers(&self) -> impl Iterator<Item = &StorageBox> {
        self.plans.values().filter_map(|sighting| sighting.plan.server())
    }

    /// The layout that the boxes have agreed on.
    pub const fn layout(&self) -> Option<ShardLayout> {
        self.layout
    }

    /// The last shard that has a plan.
    pub fn last_shard(&self) -> Option<ShardIndex> {
        self.plans.keys().max().copied()
    }

    /// Whether the store has been read, so that a plan not known is not there.
    pub const fn is_read(&self) -> bool {
        self.read
    }

    /// Whether any plan names a box.
    pub fn has_assignment(&self, box_id: &BoxId) -> bool {
        self.plans.values().any(|sighting| sighting.plan.rank(box_id).is_some())
    }

    /// Takes a plan unless a later one is known.
    pub fn put_plan(&mut self, shard: ShardIndex, mut sighting: ObservedPlan) {
        let known = self.plans.get(&shard);
        if known.is_some_and(|known| known.revision > sighting.revision) {
            return;
        }
        let same_epoch = known.filter(|known| known.plan.epoch == sighting.plan.epoch);
        if let Some(known) = same_epoch {
            sighting.seen_at = known.seen_at;
        } else {
            let plan = &sighting.plan;
            log::info!(
                target: "shard", shard = shard.get(), token = plan.epoch.token.get(),
                server:% = plan.server().map_or("none", |copy| copy.box_id.as_str()),
                copies = plan.copies.len(), revision = sighting.revision;
                "plan in force"
            );
        }
        self.plans.insert(shard, sighting);
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
                Ok(copy) => {
                    self.boxes.insert(copy.box_id.clone(), copy);
                }
                Err(error) => log::warn!(target: "shard", error:% = error; "box refused"),
            }
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(box_id) = name.strip_prefix(BOX_PREFIX) {
            self.boxes.retain(|known, _| known.as_str() != box_id);
        }
    }
}

/// Keeps the duties.
#[derive(Debug)]
pub struct AssignmentSink(pub Arc<NodeView>);

impl KindSink for AssignmentSink {
    fn listed(&mut self, listing: &Listing) {
        let now = self.0.now();
        let mut duties = self.0.assignments();
        for stored in &listing.objects {
            if !suspects::take_object(&self.0, stored) {
                duties.put(now, stored);
            }
        }
        duties.read = true;
        drop(duties);
        suspects::take_listing(&self.0, listing);
        self.0.wake();
    }

    fn changed(&mut self, change: &Changed) {
        match change {
            Changed::Put(stored) => {
                let now = self.0.now();
                if !suspects::take_object(&self.0, stored) {
                    self.0.assignments().put(now, stored);
                }
            }
            Changed::Removed(name) => {
                suspects::take_removal(&self.0, name);
                self.0.assignments().remove(name);
            }
        }
        self.0.wake();
    }
}
