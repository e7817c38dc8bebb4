//! Selection of active and standby storage boxes.
//!
//! Active boxes exchange heartbeats with each other, so that each of them can receive a copy
//! immediately. The number of heartbeats grows with the square of the number of active boxes, so
//! each failure domain has only a few, besides those that plans name. Standby boxes exchange no
//! heartbeats; they are activated when too few active boxes are reachable.

use std::collections::BTreeMap;

use ids::DomainId;

use crate::StorageBox;

/// Active boxes per failure domain: twice its part in the loss of some disks and of a whole domain.
const ACTIVE_PER_DOMAIN: usize = 4;

/// Returns the active boxes, the same on every box. `has_assignment` returns whether a plan names
/// a box.
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
        // The highest-ranked box is also the feed source of its domain.
        let ranked = coord::rendezvous::ranked(domain.as_str(), ids, ACTIVE_PER_DOMAIN);
        let is_active = |copy: &&StorageBox| ranked.contains(&&copy.box_id) || has_assignment(copy);
        active.extend(boxes.iter().copied().filter(is_active));
    }
    active
}
