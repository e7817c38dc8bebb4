//! Selection of the active boxes, which exchange heartbeats with each other.

use ids::BoxId;
use joblog::{StorageBox, active_boxes};

fn boxes(count: usize, domains: usize) -> Vec<StorageBox> {
    let copy = |at: usize| StorageBox {
        box_id: format!("keep-{at}").parse().expect("valid id"),
        address: String::new(),
        domain: format!("domain-{}", at % domains).parse().expect("valid id"),
    };
    (0..count).map(copy).collect()
}

fn active_ids(boxes: &[StorageBox]) -> Vec<BoxId> {
    active_boxes(boxes, |_| false).into_iter().map(|copy| copy.box_id.clone()).collect()
}

/// Guards against heartbeat traffic that grows with the square of the deployment's size.
#[test]
fn the_number_of_active_boxes_does_not_grow_with_the_deployment() {
    assert_eq!(active_ids(&boxes(150, 6)).len(), active_ids(&boxes(300, 6)).len());
    assert_eq!(active_ids(&boxes(13, 4)).len(), 13, "all boxes of a small deployment are active");
}

#[test]
fn every_domain_and_every_assigned_box_is_active() {
    let boxes = boxes(60, 6);
    let assigned = boxes[17].box_id.clone();
    let active = active_boxes(&boxes, |copy| copy.box_id == assigned);
    assert!(active.iter().any(|copy| copy.box_id == assigned));
    for domain in 0..6 {
        let domain = format!("domain-{domain}");
        assert!(active.iter().filter(|copy| copy.domain.as_str() == domain).count() >= 4);
    }
}

/// Guards against a selection that depends on the order of the list.
#[test]
fn all_boxes_choose_the_same_active_boxes() {
    let boxes = boxes(40, 3);
    let reversed: Vec<StorageBox> = boxes.iter().rev().cloned().collect();
    let sorted = |mut ids: Vec<BoxId>| {
        ids.sort();
        ids
    };
    assert_eq!(sorted(active_ids(&boxes)), sorted(active_ids(&reversed)));
}
