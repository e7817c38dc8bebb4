//! Rendezvous (highest random weight) hashing.
//!
//! Boxes with the same list of members make the same choice. When a member leaves, only its keys
//! move. No state is kept.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(key: &str, member: &impl AsRef<str>) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_ref().as_bytes(), seed)
}

/// Returns the member that `key` belongs to, or `None` if there are no members.
///
/// ```
/// use coord::rendezvous::owner;
/// use ids::BoxId;
///
/// let boxes: Vec<BoxId> = vec!["box-1".parse()?, "box-2".parse()?, "box-3".parse()?];
/// let home = owner("engine-7", &boxes).cloned();
/// // The choice does not depend on the order of the members.
/// assert_eq!(owner("engine-7", boxes.iter().rev()).cloned(), home);
/// # Ok::<(), ids::IdError>(())
/// ```
pub fn owner<'a, M: Ord + AsRef<str>>(
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
) -> Option<&'a M> {
    members.into_iter().max_by_key(|member| (weight(key, member), Reverse(*member)))
}

/// Returns the `count` members ranked highest for `key`, best first.
pub fn ranked<'a, M: Ord + AsRef<str>>(
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> Vec<&'a M> {
    let mut all: Vec<&M> = members.into_iter().collect();
    all.sort_by_key(|member| (Reverse(weight(key, member)), *member));
    all.truncate(count);
    all
}
