//! How many shards a deployment has.

use std::collections::HashSet;

use ids::ShardIndex;
use joblog::{ShardLayout, StorageBox, rank_initial_servers, shard_of_job};

fn shards(boxes: usize, losses: usize) -> u32 {
    ShardLayout::for_boxes(boxes, losses + 1).shards
}

/// Hundreds of boxes before six trainers: with one server for all of them the loss of one box stops all,
/// until the whole book is copied.
#[test]
fn many_boxes_with_disks_share_the_trainers() {
    assert_eq!(shards(45, 2), 5);
    assert_eq!(shards(150, 2), 16);
    assert_eq!(shards(10_000, 2), 16, "bounded");
}

#[test]
fn a_small_deployment_has_one_server_that_knows_of_all_work() {
    for (boxes, losses) in [(0, 1), (3, 1), (4, 1), (10, 2), (13, 2)] {
        assert_eq!(shards(boxes, losses), 1, "{boxes} boxes");
    }
}

/// Six trainers that hand in their jobs at one host, five shards: with all of them in one shard the other
/// servers have nothing to do, one box holds the connections of all items (thousands at three hundred boxes),
/// and its loss stops every trainer.
#[test]
fn trainers_behind_one_host_are_shared_by_the_servers() {
    for names in ["m", "layout-", "model"] {
        let shards =
            (0..6).map(|number| shard_of_job("press.example", &format!("{names}{number}"), 5));
        let used: HashSet<_> = shards.collect();
        assert!(used.len() >= 3, "{names}: {used:?}");
    }
}

#[test]
fn all_jobs_of_a_trainer_share_a_shard() {
    let first = shard_of_job("press.example", "layout", 16);
    assert_eq!(first, shard_of_job("Press.Example", "layout", 16));
    assert_eq!(shard_of_job("press.example", "layout", 1).get(), 0);
}

fn boxes(count: usize, domains: usize) -> Vec<StorageBox> {
    let boxes = (0..count).map(|number| StorageBox {
        box_id: format!("box-{number}").parse().expect("an id"),
        address: "127.0.0.1:1".to_owned(),
        domain: format!("domain-{}", number % domains).parse().expect("a domain"),
    });
    boxes.collect()
}

/// Forty-five boxes with disks in six failure domains, five servers: the loss of a box stops one of them at
/// most, and so does the loss of a domain.
#[test]
fn servers_begin_on_boxes_of_their_own_in_different_domains() {
    let boxes = boxes(45, 6);
    let firsts: Vec<&StorageBox> =
        (0..5).map(|shard| rank_initial_servers(ShardIndex::new(shard), &boxes)[0]).collect();
    let names: HashSet<_> = firsts.iter().map(|copy| &copy.box_id).collect();
    let domains: HashSet<_> = firsts.iter().map(|copy| &copy.domain).collect();
    assert_eq!((names.len(), domains.len()), (5, 5));
}

#[test]
fn all_boxes_stand_in_the_ranks_of_each_shard_once() {
    // Fewer boxes than shards, too.
    for (count, domains) in [(1, 1), (3, 2), (13, 4)] {
        let boxes = boxes(count, domains);
        for shard in 0..6 {
            let ranked = rank_initial_servers(ShardIndex::new(shard), &boxes);
            let names: HashSet<_> = ranked.iter().map(|copy| &copy.box_id).collect();
            assert_eq!((ranked.len(), names.len()), (count, count));
        }
    }
}
