//! The search for a job among shards: what may be said when none has answered.

use front::{JobPlaces, JobSearch, ShardFault};
use ids::ShardIndex;

fn end(faults: &[ShardFault]) -> ShardFault {
    let mut search = JobSearch::default();
    for fault in faults {
        search.failed(*fault);
    }
    search.end()
}

#[test]
fn a_job_is_unknown_only_when_all_shards_say_so() {
    let no_job = ShardFault::NoJob;
    assert_eq!(end(&[no_job; 5]), no_job);
    // A shard without a server may hold it, wherever it stands in the order of answers.
    for at in 0..5 {
        let mut faults = [no_job; 5];
        faults[at] = ShardFault::NotServed;
        assert_eq!(end(&faults), ShardFault::NotServed);
        faults[at] = ShardFault::Unknown;
        assert_eq!(end(&faults), ShardFault::Unknown);
    }
}

#[test]
fn what_may_have_been_done_is_not_called_not_done() {
    let faults = [ShardFault::NotServed, ShardFault::Unknown, ShardFault::NotServed];
    assert_eq!(end(&faults), ShardFault::Unknown);
}

#[test]
fn the_shard_that_holds_the_job_ends_the_search() {
    let mut search = JobSearch::default();
    assert!(!search.failed(ShardFault::Unknown));
    assert!(search.failed(ShardFault::NoItem), "no other shard can hold the item");
    assert_eq!(search.end(), ShardFault::NoItem);
}

#[test]
fn without_shards_nothing_is_served() {
    assert_eq!(end(&[]), ShardFault::NotServed);
}

#[test]
fn places_are_remembered_in_bounded_number() {
    let mut places = JobPlaces::default();
    for number in 0..2_000_u32 {
        places.put(&format!("job-{number}"), ShardIndex::new(number % 5));
    }
    assert_eq!(places.shard("job-1999"), Some(ShardIndex::new(4)));
    assert_eq!(places.shard("job-0"), None);
    places.forget("job-1999");
    assert_eq!(places.shard("job-1999"), None);
    let held = (0..2_000).filter(|number| places.shard(&format!("job-{number}")).is_some());
    assert_eq!(held.count(), 511);
}
