//! Rendezvous (highest random weight) hashing: boxes that see the same members choose alike.
//!
//! When one member goes, only the keys it held move; no ring or table is kept.

use std::cmp::Reverse;

use ids::BoxId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(key: &str, member: &BoxId) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_str().as_bytes(), seed)
}

/// The member that `key` belongs to, or `None` when there are no members.
pub fn owner<'a>(key: &str, members: impl IntoIterator<Item = &'a BoxId>) -> Option<&'a BoxId> {
    members.into_iter().max_by_key(|member| (weight(key, member), Reverse(*member)))
}

/// The `count` members ranked highest for `key`, best first.
pub fn ranked<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a BoxId>,
    count: usize,
) -> Vec<&'a BoxId> {
    let mut all: Vec<&BoxId> = members.into_iter().collect();
    all.sort_by_key(|member| (Reverse(weight(key, member)), *member));
    all.truncate(count);
    all
}
