//! Placement of the copies of a shard's log over failure domains.

use std::collections::HashSet;

use arbtest::arbtest;
use ids::{BoxId, DomainId, ShardIndex};
use joblog::{StorageBox, choose_healthy_partners, choose_partners};

fn domain(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("valid id")
}

/// Creates `counts[i]` boxes in domain `i`.
fn boxes(counts: &[usize]) -> Vec<StorageBox> {
    let boxes = counts.iter().enumerate().flat_map(|(index, count)| {
        (0..*count).map(move |number| StorageBox {
            box_id: format!("box-{index}-{number}").parse().expect("valid id"),
            address: "127.0.0.1:1".to_owned(),
            domain: domain(index),
        })
    });
    boxes.collect()
}

fn domains(copies: &[StorageBox]) -> Vec<DomainId> {
    copies.iter().map(|copy| copy.domain.clone()).collect()
}

#[test]
fn the_first_partner_is_in_another_domain_and_the_second_is_local() {
    for shard in (0..20).map(ShardIndex::new) {
        let alive = boxes(&[2, 3, 3, 3]);
        let partners = choose_partners(shard, &domain(0), &alive, 2).expect("enough boxes");
        assert_ne!(partners[0].domain, domain(0));
        assert_eq!(partners[1].domain, domain(0));
    }
}

#[test]
fn without_local_boxes_partners_are_in_separate_domains() {
    for shard in (0..20).map(ShardIndex::new) {
        let partners = choose_partners(shard, &domain(0), &boxes(&[0, 3, 3]), 2).expect("enough");
        let used: HashSet<DomainId> = domains(&partners).into_iter().collect();
        assert_eq!(used, HashSet::from([domain(1), domain(2)]));
    }
}

#[test]
fn partners_share_the_only_domain() {
    let partners = choose_partners(ShardIndex::new(0), &domain(0), &boxes(&[3]), 2);
    assert_eq!(partners.map(|partners| domains(&partners)), Some(vec![domain(0), domain(0)]));
    assert_eq!(choose_partners(ShardIndex::new(0), &domain(0), &boxes(&[1]), 2), None);
}

#[test]
fn copies_are_on_distinct_boxes_and_in_several_domains() {
    arbtest(|u| {
        let count = u.int_in_range(1..=3)?;
        let counts: Vec<usize> =
            (0..u.int_in_range(2..=5)?).map(|_| u.int_in_range(0..=3)).collect::<Result<_, _>>()?;
        let alive = boxes(&counts);
        let failing: Vec<BoxId> = alive
            .iter()
            .filter(|_| u.ratio(1, 4).unwrap_or(false))
            .map(|copy| copy.box_id.clone())
            .collect();
        let shard = ShardIndex::new(u.int_in_range(0..=9)?);
        let Some(partners) = choose_healthy_partners(shard, &domain(0), &alive, &failing, count)
        else {
            assert!(alive.len() < count);
            return Ok(());
        };
        let distinct: HashSet<&BoxId> = partners.iter().map(|copy| &copy.box_id).collect();
        assert_eq!(distinct.len(), count, "each box holds one copy");
        let has_remote = alive.iter().any(|copy| copy.domain != domain(0));
        let uses_remote = partners.iter().any(|copy| copy.domain != domain(0));
        assert_eq!(uses_remote, has_remote, "{partners:?}");
        Ok(())
    });
}
