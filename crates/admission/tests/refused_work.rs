//! Tests that callers who return after a refusal are recognised.

use std::time::Duration;

use admission::RefusedWork;
use ids::{Moment, WorkDigest};

fn at(seconds: f64) -> Moment {
    Moment::after_start(Duration::from_secs_f64(seconds))
}

/// Guards against a returning caller whose goal counts from its return.
#[test]
fn returning_work_keeps_its_first_arrival() {
    let mut refused = RefusedWork::default();
    let (work, other) = (WorkDigest::of(&[b"work"]), WorkDigest::of(&[b"other"]));
    assert_eq!(refused.first_arrival(at(1.0), work), at(1.0), "it has not been refused");
    refused.record(at(1.1), work, at(1.0));
    assert_eq!(refused.first_arrival(at(1.5), work), at(1.0));
    assert_eq!(refused.first_arrival(at(1.5), other), at(1.5));
    // A second refusal does not move the first arrival.
    refused.record(at(1.6), work, at(1.0));
    assert_eq!(refused.first_arrival(at(2.0), work), at(1.0));
}

/// Guards against work that counts as late long after its caller has given up.
#[test]
fn old_refusals_are_forgotten() {
    let mut refused = RefusedWork::default();
    let work = WorkDigest::of(&[b"work"]);
    refused.record(at(1.0), work, at(1.0));
    assert_eq!(refused.first_arrival(at(4.9), work), at(1.0));
    assert_eq!(refused.first_arrival(at(5.1), work), at(5.1));
}
