//! The number of shards that the jobs of a deployment are divided into.
//!
//! The boxes agree on the number through an object in the store when the deployment first starts.
//! It never changes, because the shard of a job depends on it. With one shard, its server sees all
//! work. With several, the loss of a server affects only the trainers of its shard, and less state
//! is copied in a takeover.

use serde::{Deserialize, Serialize};

/// Storage boxes per copy of a shard. Limits the copies on each box, so that the loss of a box
/// rarely affects more than one shard.
const BOXES_PER_COPY: usize = 3;
/// Maximum number of shards chosen automatically. Each shard adds a plan to the store and an entry
/// to heartbeats.
const MAX_SHARDS: usize = 16;

/// The number of shards, as stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLayout {
    /// Number of shards.
    pub shards: u32,
}

impl ShardLayout {
    /// Returns the layout for `boxes` storage boxes and `copies` copies per shard.
    pub fn for_boxes(boxes: usize, copies: usize) -> Self {
        let shards = boxes / (copies.max(1) * BOXES_PER_COPY);
        let shards = shards.clamp(1, MAX_SHARDS);
        Self { shards: u32::try_from(shards).unwrap_or(1) }
    }
}
