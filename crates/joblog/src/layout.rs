//! Into how many shards the jobs of a deployment are divided.
//!
//! The boxes agree on the number once, when the deployment starts for the first time, by an object in the
//! store; it never changes, since the shard of a job follows from it. One shard has the advantage that
//! its server knows of all work; with more of them the loss of a server reaches only the trainers of its
//! shard, and its book is copied in a part of the time.

use serde::{Deserialize, Serialize};

/// Boxes with disks for each copy of a shard: few enough copies on each box that the loss of one seldom
/// concerns more than one shard, and a third of the boxes fill each other's places.
const BOXES_PER_COPY: usize = 3;
/// Most shards that boxes agree on by themselves: each costs a plan in the store, and beats that name it.
const MOST_SHARDS: usize = 16;

/// The number of shards, as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLayout {
    /// Jobs are divided into so many shards.
    pub shards: u32,
}

impl ShardLayout {
    /// The layout for this many boxes with disks, each shard having `copies` copies.
    pub fn for_boxes(boxes: usize, copies: usize) -> Self {
        let shards = boxes / (copies.max(1) * BOXES_PER_COPY);
        let shards = shards.clamp(1, MOST_SHARDS);
        Self { shards: u32::try_from(shards).unwrap_or(1) }
    }
}
