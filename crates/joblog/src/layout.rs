//! The shards that the jobs of a deployment are divided into.
//!
//! The boxes agree on them through an object in the store when the deployment first starts. They
//! never change, because the shard of a job depends on them. With one shard, its server sees all
//! work. With several, the loss of a server affects only the trainers of its shard, and less state
//! is copied in a takeover.
//!
//! A deployment with several regions has one more shard for each region. The server and all copies
//! of such a bound shard are in its region. Jobs that are restricted to some regions go there.

use coord::rendezvous;
use ids::{RegionId, ShardIndex};
use serde::{Deserialize, Serialize};

use crate::shard_of_job;
use crate::takeover::trainer_key;

/// Storage boxes per copy of a shard. Limits the copies on each box, so that the loss of a box
/// rarely affects more than one shard.
const BOXES_PER_COPY: usize = 3;
/// Maximum number of shards chosen automatically. Each shard adds a plan to the store and an entry
/// to heartbeats.
const MAX_SHARDS: usize = 16;

/// Least number of regions for which bound shards exist. In a deployment with a single region, the
/// general shards are within it.
const MIN_REGIONS: usize = 2;

/// The shards of a deployment, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLayout {
    /// Number of general shards, whose copies may be in any region. They have the lowest indexes.
    pub shards: u32,
    /// Regions with a shard of their own, sorted. The shard of the first region follows the general
    /// shards. Empty if the deployment started with a release without regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionId>,
}

impl ShardLayout {
    /// Returns the layout of `shards` general shards.
    pub const fn general(shards: u32) -> Self {
        Self { shards, regions: Vec::new() }
    }

    /// Returns the layout for `boxes` storage boxes and `copies` copies per shard.
    pub fn for_boxes(boxes: usize, copies: usize) -> Self {
        let shards = boxes / (copies.max(1) * BOXES_PER_COPY);
        let shards = shards.clamp(1, MAX_SHARDS);
        Self::general(u32::try_from(shards).unwrap_or(1))
    }

    /// Adds a shard for each region, if there are several regions.
    #[must_use]
    pub fn with_regions<'a>(self, regions: impl IntoIterator<Item = &'a RegionId>) -> Self {
        let mut regions: Vec<RegionId> = regions.into_iter().cloned().collect();
        regions.sort();
        regions.dedup();
        if regions.len() < MIN_REGIONS {
            regions.clear();
        }
        Self { regions, ..self }
    }

    /// Returns the number of general and bound shards.
    pub fn total(&self) -> u32 {
        self.shards.saturating_add(u32::try_from(self.regions.len()).unwrap_or(u32::MAX))
    }

    /// Returns the indexes of all shards.
    pub fn all(&self) -> impl Iterator<Item = ShardIndex> + use<> {
        (0..self.total()).map(ShardIndex::new)
    }

    /// Returns the indexes of the bound shards.
    pub fn bound(&self) -> impl Iterator<Item = ShardIndex> + use<> {
        (self.shards..self.total()).map(ShardIndex::new)
    }

    /// Returns the region that a shard is bound to; `None` for general and unknown shards.
    pub fn region_of(&self, shard: ShardIndex) -> Option<&RegionId> {
        let index = shard.get().checked_sub(self.shards)?;
        self.regions.get(usize::try_from(index).ok()?)
    }

    /// Returns whether a box in `region` may hold a shard; `None` is an unknown region, which is
    /// outside of every restriction.
    pub fn may_hold(&self, shard: ShardIndex, region: Option<&RegionId>) -> bool {
        shard.get() < self.shards
            || self.region_of(shard).is_some_and(|bound| region == Some(bound))
    }

    /// Returns the general shard of a trainer's jobs; see [`shard_of_job`].
    pub fn general_shard(&self, host: &str, model: &str) -> ShardIndex {
        shard_of_job(host, model, self.shards)
    }

    /// Returns the bound shard of a trainer's jobs that are restricted to the allowed regions, the
    /// same on every box. Returns `None` if no allowed region has a shard.
    pub fn bound_shard(
        &self,
        host: &str,
        model: &str,
        allows: impl Fn(&RegionId) -> bool,
    ) -> Option<ShardIndex> {
        let allowed = self.regions.iter().filter(|region| allows(region));
        let key = trainer_key(host, model);
        let region = rendezvous::ranked(&key, allowed, 1).into_iter().next()?;
        self.bound().find(|shard| self.region_of(*shard) == Some(region))
    }
}
