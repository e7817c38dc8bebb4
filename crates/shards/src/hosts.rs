//! Which boxes may hold a shard.

use ids::ShardIndex;
use joblog::{ShardLayout, StorageBox};
use node::NodeView;
use routing::{RegionMap, RegionScope};

/// The boxes that may hold a shard, i.e. serve it or have a copy of its log: all boxes for a general
/// shard, those of its region for a bound one.
#[derive(Debug)]
pub struct ShardHosts<'a> {
    shard: ShardIndex,
    /// `None` until the boxes have agreed on the shards.
    layout: Option<ShardLayout>,
    regions: &'a RegionMap,
}

impl<'a> ShardHosts<'a> {
    /// Returns the boxes that may hold `shard`. Locks the assignment table.
    pub fn new(view: &'a NodeView, shard: ShardIndex) -> Self {
        Self { shard, layout: view.layout(), regions: view.regions() }
    }

    /// Returns whether a box may hold the shard.
    pub fn includes(&self, storage_box: &StorageBox) -> bool {
        let region = self.regions.region_of(&storage_box.domain);
        self.layout.as_ref().is_none_or(|layout| layout.may_hold(self.shard, region))
    }

    /// Returns whether all boxes that may hold the shard, now or after a later change of epoch, are
    /// in allowed regions.
    pub fn are_within(&self, scope: &RegionScope) -> bool {
        match self.layout.as_ref().and_then(|layout| layout.region_of(self.shard)) {
            Some(region) => scope.allows(region),
            None => {
                !scope.is_restricted()
                    || (!self.regions.is_empty()
                        && self.regions.regions().into_iter().all(|region| scope.allows(region)))
            }
        }
    }

    /// Returns whether the shard is bound to a region.
    pub fn is_bound(&self) -> bool {
        self.layout.as_ref().is_some_and(|layout| layout.region_of(self.shard).is_some())
    }
}
