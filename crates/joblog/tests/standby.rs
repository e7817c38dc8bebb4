//! Boxes that beat with each other.

use ids::BoxId;
use joblog::{StorageBox, active_boxes};

fn boxes(count: usize, domains: usize) -> Vec<StorageBox> {
    let copy = |at: usize| StorageBox {
        box_id: format!("keep-{at}").parse().expect("an id"),
        address: String::new(),
        domain: format!("domain-{}", at % domains).parse().expect("an id"),
    };
    (0..count).map(copy).collect()
}

fn at_work(boxes: &[StorageBox]) -> Vec<BoxId> {
    active_boxes(boxes, |_| false).into_iter().map(|copy| copy.box_id.clone()).collect()
}

/// Each box calls each other one, so beats would be ninety thousand a second among 150 boxes.
#[test]
fn the_boxes_that_beat_do_not_grow_with_the_deployment() {
    assert_eq!(at_work(&boxes(150, 6)).len(), at_work(&boxes(300, 6)).len());
    assert_eq!(at_work(&boxes(13, 4)).len(), 13, "a small one needs them all");
}

#[test]
fn every_domain_has_some_and_every_box_with_a_duty_is_one() {
    let boxes = boxes(60, 6);
    let named = boxes[17].box_id.clone();
    let chosen = active_boxes(&boxes, |copy| copy.box_id == named);
    assert!(chosen.iter().any(|copy| copy.box_id == named));
    for domain in 0..6 {
        let domain = format!("domain-{domain}");
        assert!(chosen.iter().filter(|copy| copy.domain.as_str() == domain).count() >= 4);
    }
}

/// Whatever the order in which a box lists the others, it finds the same.
#[test]
fn all_boxes_agree_who_is_at_work() {
    let boxes = boxes(40, 3);
    let reversed: Vec<StorageBox> = boxes.iter().rev().cloned().collect();
    let sorted = |mut ids: Vec<BoxId>| {
        ids.sort();
        ids
    };
    assert_eq!(sorted(at_work(&boxes)), sorted(at_work(&reversed)));
}
