//! Combined result of a job search and the cache of job locations.

use front::{JobLocations, JobSearch, ShardFault};
use ids::ShardIndex;

fn combine(faults: &[ShardFault]) -> ShardFault {
    let mut search = JobSearch::default();
    for fault in faults {
        search.failed(*fault);
    }
    search.combined_fault()
}

#[test]
fn job_is_unknown_only_when_all_shards_say_so() {
    let no_job = ShardFault::NoJob;
    assert_eq!(combine(&[no_job; 5]), no_job);
    // A shard without a server may hold the job, whatever the order of the responses.
    for position in 0..5 {
        let mut faults = [no_job; 5];
        faults[position] = ShardFault::NotServed;
        assert_eq!(combine(&faults), ShardFault::NotServed);
        faults[position] = ShardFault::Unknown;
        assert_eq!(combine(&faults), ShardFault::Unknown);
    }
}

#[test]
fn unknown_outcome_overrides_not_served() {
    let faults = [ShardFault::NotServed, ShardFault::Unknown, ShardFault::NotServed];
    assert_eq!(combine(&faults), ShardFault::Unknown);
}

#[test]
fn missing_item_stops_the_search() {
    let mut search = JobSearch::default();
    assert!(!search.failed(ShardFault::Unknown));
    assert!(search.failed(ShardFault::NoItem), "no other shard can hold the item");
    assert_eq!(search.combined_fault(), ShardFault::NoItem);
}

#[test]
fn search_without_shards_reports_not_served() {
    assert_eq!(combine(&[]), ShardFault::NotServed);
}

#[test]
fn location_cache_is_bounded() {
    let mut locations = JobLocations::default();
    for number in 0..2_000_u32 {
        locations.put(&format!("job-{number}"), ShardIndex::new(number % 5));
    }
    assert_eq!(locations.shard("job-1999"), Some(ShardIndex::new(4)));
    assert_eq!(locations.shard("job-0"), None);
    locations.forget("job-1999");
    assert_eq!(locations.shard("job-1999"), None);
    let cached = (0..2_000).filter(|number| locations.shard(&format!("job-{number}")).is_some());
    assert_eq!(cached.count(), 511);
}
