//! Jobs that are accepted at the same time.

use shards::ArrivingBytes;

const JOB_BYTES: usize = 4_000;

/// Guards against a box that goes over its memory because several large jobs arrive at once.
#[test]
fn large_jobs_are_accepted_one_after_the_other() {
    let arriving = ArrivingBytes::default();
    let first = arriving.try_add(3_000, JOB_BYTES).expect("the only one");
    assert!(arriving.try_add(3_000, JOB_BYTES).is_none());
    assert!(arriving.try_add(1, JOB_BYTES).is_none());
    drop(first);
    assert!(arriving.try_add(3_000, JOB_BYTES).is_some());
}

#[test]
fn small_jobs_are_accepted_together() {
    let arriving = ArrivingBytes::default();
    let held: Vec<_> = (0..10).map(|_| arriving.try_add(100, JOB_BYTES)).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(arriving.try_add(1, JOB_BYTES).is_none(), "a quarter is taken");
}
