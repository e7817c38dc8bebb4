//! Number of shards, assignment of jobs to shards, and initial servers.

use std::collections::HashSet;

use ids::{RegionId, ShardIndex};
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

fn regions(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|name| name.parse().expect("valid id")).collect()
}

fn regional_layout(names: &[&str]) -> ShardLayout {
    ShardLayout::general(2).with_regions(&regions(names))
}

#[test]
fn each_of_several_regions_has_a_bound_shard() {
    let layout = regional_layout(&["kolkata", "durgapur", "kolkata"]);
    assert_eq!(layout.regions, regions(&["durgapur", "kolkata"]), "sorted");
    assert_eq!((layout.shards, layout.total()), (2, 4));
    let bound: Vec<u32> = layout.bound().map(ShardIndex::get).collect();
    assert_eq!(bound, [2, 3]);
    let region_of = |shard| layout.region_of(ShardIndex::new(shard)).map(RegionId::as_str);
    assert_eq!(
        [0, 1, 2, 3, 4].map(region_of),
        [None, None, Some("durgapur"), Some("kolkata"), None]
    );
}

/// Guards against more plans and logs in deployments that need none: a single region has no bound
/// shard.
#[test]
fn a_single_region_changes_no_layout() {
    for names in [&[][..], &["kolkata"], &["kolkata", "kolkata"]] {
        assert_eq!(regional_layout(names), ShardLayout::general(2));
    }
    let stored = serde_json::to_string(&ShardLayout::general(2)).expect("plain data");
    assert_eq!(stored, r#"{"shards":2}"#, "as earlier releases write it");
}

#[test]
fn a_layout_of_an_earlier_release_has_no_bound_shards() {
    let layout: ShardLayout = serde_json::from_str(r#"{"shards":3}"#).expect("a layout");
    assert_eq!(layout, ShardLayout::general(3));
    assert_eq!(layout.bound_shard("press.example", "m", |_| true), None);
    let stored = serde_json::to_string(&regional_layout(&["a", "b"])).expect("plain data");
    assert_eq!(
        serde_json::from_str::<ShardLayout>(&stored).ok(),
        Some(regional_layout(&["a", "b"]))
    );
}

/// Guards against a copy of a restricted job in another region, or on a box whose region the
/// settings don't name.
#[test]
fn only_boxes_of_its_region_may_hold_a_bound_shard() {
    let layout = regional_layout(&["durgapur", "kolkata"]);
    let [durgapur, kolkata] = [&layout.regions[0], &layout.regions[1]];
    let may_hold = |shard, region| layout.may_hold(ShardIndex::new(shard), region);
    for shard in [0, 1] {
        assert!(may_hold(shard, Some(durgapur)) && may_hold(shard, None), "general shards");
    }
    assert!(may_hold(2, Some(durgapur)) && may_hold(3, Some(kolkata)));
    assert!(!may_hold(2, Some(kolkata)) && !may_hold(3, Some(durgapur)));
    assert!(!may_hold(2, None) && !may_hold(3, None));
    assert!(!may_hold(4, Some(kolkata)) && !may_hold(4, None), "unknown shard");
}

/// Guards against a repeated submission in another shard, which would run the job twice: boxes that
/// parse the layout on their own choose the same shard, however the host is capitalized.
#[test]
fn every_box_chooses_the_same_bound_shard() {
    let layout = regional_layout(&["asansol", "durgapur", "kolkata"]);
    let other: ShardLayout =
        serde_json::from_str(r#"{"shards":2,"regions":["asansol","durgapur","kolkata"]}"#)
            .expect("a layout");
    let allowed = regions(&["kolkata", "asansol"]);
    let mut used = HashSet::new();
    for model in 0..40 {
        let model = format!("m-{model}");
        let shard = layout.bound_shard("press.example", &model, |region| allowed.contains(region));
        let again = other.bound_shard("Press.Example", &model, |region| allowed.contains(region));
        assert_eq!(shard, again);
        let shard = shard.expect("allowed regions have shards");
        assert!(layout.region_of(shard).is_some_and(|region| allowed.contains(region)));
        used.insert(shard);
    }
    assert_eq!(used.len(), 2, "the jobs are spread over the allowed regions");
}

#[test]
fn no_shard_is_chosen_if_no_allowed_region_has_one() {
    let layout = regional_layout(&["durgapur", "kolkata"]);
    let nowhere = regions(&["atlantis"]);
    assert_eq!(layout.bound_shard("press.example", "m", |region| nowhere.contains(region)), None);
    assert_eq!(layout.bound_shard("press.example", "m", |_| false), None);
}
