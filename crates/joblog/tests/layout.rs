//! Number of shards, assignment of jobs to shards, and initial servers.

use std::collections::HashSet;

use ids::ShardIndex;
use joblog::{ShardLayout, StorageBox, rank_initial_servers, shard_of_job};

fn shard_count(boxes: usize, losses: usize) -> u32 {
    ShardLayout::for_boxes(boxes, losses + 1).shards
}

/// Guards against a single server in a large deployment, whose loss would stop all trainers.
#[test]
fn a_large_deployment_has_several_shards() {
    assert_eq!(shard_count(45, 2), 5);
    assert_eq!(shard_count(150, 2), 16);
    assert_eq!(shard_count(10_000, 2), 16, "bounded");
}

#[test]
fn a_small_deployment_has_one_shard() {
    for (boxes, losses) in [(0, 1), (3, 1), (4, 1), (10, 2), (13, 2)] {
        assert_eq!(shard_count(boxes, losses), 1, "{boxes} boxes");
    }
}

/// Guards against all trainers of a host in one shard, which would overload its server and stop
/// every trainer when that server is lost.
#[test]
fn trainers_on_one_host_are_spread_over_shards() {
    for names in ["m", "layout-", "model"] {
        let shards =
            (0..6).map(|number| shard_of_job("press.example", &format!("{names}{number}"), 5));
        let used: HashSet<_> = shards.collect();
        assert!(used.len() >= 3, "{names}: {used:?}");
    }
}

#[test]
fn all_jobs_of_a_trainer_are_in_one_shard() {
    let first = shard_of_job("press.example", "layout", 16);
    assert_eq!(first, shard_of_job("Press.Example", "layout", 16));
    assert_eq!(shard_of_job("press.example", "layout", 1).get(), 0);
}

fn boxes(count: usize, domains: usize) -> Vec<StorageBox> {
    let boxes = (0..count).map(|number| StorageBox {
        box_id: format!("box-{number}").parse().expect("valid id"),
        address: "127.0.0.1:1".to_owned(),
        domain: format!("domain-{}", number % domains).parse().expect("valid domain"),
    });
    boxes.collect()
}

/// Guards against several initial servers on one box or in one failure domain.
#[test]
fn initial_servers_are_distinct_boxes_in_different_domains() {
    let boxes = boxes(45, 6);
    let firsts: Vec<&StorageBox> =
        (0..5).map(|shard| rank_initial_servers(ShardIndex::new(shard), &boxes)[0]).collect();
    let names: HashSet<_> = firsts.iter().map(|copy| &copy.box_id).collect();
    let domains: HashSet<_> = firsts.iter().map(|copy| &copy.domain).collect();
    assert_eq!((names.len(), domains.len()), (5, 5));
}

#[test]
fn every_box_is_ranked_once_for_each_shard() {
    // Includes fewer boxes than shards.
    for (count, domains) in [(1, 1), (3, 2), (13, 4)] {
        let boxes = boxes(count, domains);
        for shard in 0..6 {
            let ranked = rank_initial_servers(ShardIndex::new(shard), &boxes);
            let names: HashSet<_> = ranked.iter().map(|copy| &copy.box_id).collect();
            assert_eq!((ranked.len(), names.len()), (count, count));
        }
    }
}
