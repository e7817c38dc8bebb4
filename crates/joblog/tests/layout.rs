//! How many shards a deployment has.

use joblog::ShardLayout;

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
