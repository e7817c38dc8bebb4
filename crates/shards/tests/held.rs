//! Reports of the sealed segments that a box holds.

use ids::FencingToken;
use shards::HeldReport;
use wire::peer::HeldSegments;

/// Guards against a box that counts as a holder under a plan that it has not compared with its
/// disk.
#[test]
fn reports_about_another_plan_do_not_count() {
    let held = HeldSegments { shard: 0, token: 9, segments: vec![2, 5] };
    let report = HeldReport::from(&held);
    let token = FencingToken::new;
    assert_eq!(report.holds(token(9), token(5)), Some(true));
    assert_eq!(report.holds(token(9), token(7)), Some(false));
    assert_eq!(report.holds(token(10), token(5)), None);
    assert_eq!(report.holds(token(8), token(5)), None);
}
