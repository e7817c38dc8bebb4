//! Which boxes with disks are at work, and which stand by.
//!
//! Boxes at work beat with each other, so that any of them may be given a copy at once, and their number must not
//! grow with the deployment: beats go with its square. A failure domain has a few of them, beside those that plans
//! name; the others stand by, beat with nobody, and are called when too few of those at work are heard.

use std::collections::BTreeMap;

use ids::DomainId;

use crate::StorageBox;

/// Boxes at work in each failure domain: its part in the loss of some disks and of a whole domain, twice.
const AT_WORK: usize = 4;

/// The boxes at work, found alike on every box; `has_assignment` tells whether a plan names a box.
pub fn active_boxes<'a>(
    boxes: impl IntoIterator<Item = &'a StorageBox>,
    has_assignment: impl Fn(&StorageBox) -> bool,
) -> Vec<&'a StorageBox> {
    let mut domains: BTreeMap<&DomainId, Vec<&StorageBox>> = BTreeMap::new();
    for copy in boxes {
        domains.entry(&copy.domain).or_default().push(copy);
    }
    let mut active = Vec::new();
    for (domain, boxes) in domains {
        let ids = boxes.iter().map(|copy| &copy.box_id);
        // The first of them also tells its domain of the store.
        let first = coord::rendezvous::ranked(domain.as_str(), ids, AT_WORK);
        let chosen = |copy: &&StorageBox| first.contains(&&copy.box_id) || has_assignment(copy);
        active.extend(boxes.iter().copied().filter(chosen));
    }
    active
}
