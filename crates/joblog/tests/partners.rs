//! Where the copies of a shard's log lie: safe from any loss that is to be borne, with few bytes between domains.

use std::collections::HashSet;

use arbtest::arbtest;
use ids::{BoxId, DomainId, ShardIndex};
use joblog::{StorageBox, choose_healthy_partners, choose_partners};

fn domain(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("an id")
}

/// So many boxes in each domain.
fn boxes(of: &[usize]) -> Vec<StorageBox> {
    let boxes = of.iter().enumerate().flat_map(|(at, count)| {
        (0..*count).map(move |number| StorageBox {
            box_id: format!("box-{at}-{number}").parse().expect("an id"),
            address: "127.0.0.1:1".to_owned(),
            domain: domain(at),
        })
    });
    boxes.collect()
}

fn domains(copies: &[StorageBox]) -> Vec<DomainId> {
    copies.iter().map(|copy| copy.domain.clone()).collect()
}

#[test]
fn the_first_partner_lies_in_another_domain_and_the_next_one_here() {
    for shard in (0..20).map(ShardIndex::new) {
        let alive = boxes(&[2, 3, 3, 3]);
        let partners = choose_partners(shard, &domain(0), &alive, 2).expect("enough boxes");
        assert_ne!(partners[0].domain, domain(0));
        assert_eq!(partners[1].domain, domain(0));
    }
}

#[test]
fn without_another_box_here_each_partner_has_a_domain_of_its_own() {
    for shard in (0..20).map(ShardIndex::new) {
        let partners = choose_partners(shard, &domain(0), &boxes(&[0, 3, 3]), 2).expect("enough");
        let lie: HashSet<DomainId> = domains(&partners).into_iter().collect();
        assert_eq!(lie, HashSet::from([domain(1), domain(2)]));
    }
}

#[test]
fn one_domain_alone_is_better_than_no_copies() {
    let partners = choose_partners(ShardIndex::new(0), &domain(0), &boxes(&[3]), 2);
    assert_eq!(partners.map(|partners| domains(&partners)), Some(vec![domain(0), domain(0)]));
    assert_eq!(choose_partners(ShardIndex::new(0), &domain(0), &boxes(&[1]), 2), None);
}

#[test]
fn copies_survive_the_loss_of_any_domain_and_of_as_many_disks_as_there_are_partners() {
    arbtest(|u| {
        let count = u.int_in_range(1..=3)?;
        let alive: Vec<usize> =
            (0..u.int_in_range(2..=5)?).map(|_| u.int_in_range(0..=3)).collect::<Result<_, _>>()?;
        let alive = boxes(&alive);
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
        let different: HashSet<&BoxId> = partners.iter().map(|copy| &copy.box_id).collect();
        assert_eq!(different.len(), count, "each disk holds one copy");
        let elsewhere = alive.iter().any(|copy| copy.domain != domain(0));
        let spread = partners.iter().any(|copy| copy.domain != domain(0));
        assert_eq!(spread, elsewhere, "{partners:?}");
        Ok(())
    });
}
