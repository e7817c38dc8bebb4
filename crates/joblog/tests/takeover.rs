//! Which box takes over a shard from an unresponsive server, and after which timeout.

use std::time::Duration;

use ids::{BoxId, FencingToken};
use joblog::{
    EpochId, RESTART_GRACE, ShardPlan, StorageBox, TAKEOVER_TIMEOUT, TakeoverDecision,
    TakeoverPreference, TakeoverView, decide_takeover,
};

fn box_id(text: &str) -> BoxId {
    text.parse().expect("valid id")
}

fn plan() -> ShardPlan {
    let copies = ["a", "b", "c"].map(|name| StorageBox {
        box_id: box_id(name),
        address: "127.0.0.1:1".to_owned(),
        domain: "domain-1".parse().expect("valid domain"),
    });
    let epoch = EpochId { token: FencingToken::new(3), number: 1, by: box_id("a") };
    ShardPlan { epoch, copies: copies.into(), sealed: Vec::new() }
}

fn takes_over(
    me: &str,
    lost_before: usize,
    server_unresponsive_for: Duration,
    restarts: bool,
) -> bool {
    decides_to_take_over(me, lost_before, server_unresponsive_for, restarts, false)
}

fn decides_to_take_over(
    me: &str,
    lost_before: usize,
    server_unresponsive_for: Duration,
    restarts: bool,
    lacks_segments: bool,
) -> bool {
    let (me, plan) = (box_id(me), plan());
    let view = TakeoverView {
        me: &me,
        plan: Some(&plan),
        has_copy: true,
        lacks_segments,
        lost_before,
        server_unresponsive_for,
        server_restarts: restarts,
        first_rank: 0,
        no_plan_for: Duration::ZERO,
        preference: TakeoverPreference::Neutral,
    };
    decide_takeover(&view) == TakeoverDecision::TakeOver
}

#[test]
fn boxes_take_over_in_plan_order() {
    assert!(
        takes_over("a", 0, Duration::ZERO, false),
        "the server itself resumes without a timeout"
    );
    assert!(!takes_over("b", 0, TAKEOVER_TIMEOUT.saturating_sub(Duration::from_millis(1)), false));
    assert!(takes_over("b", 0, TAKEOVER_TIMEOUT, false));
    assert!(!takes_over("c", 0, TAKEOVER_TIMEOUT, false));
    assert!(takes_over("c", 0, 2 * TAKEOVER_TIMEOUT, false));
}

#[test]
fn a_restarting_server_gets_additional_time() {
    assert!(!takes_over("b", 0, TAKEOVER_TIMEOUT, true));
    assert!(takes_over("b", 0, TAKEOVER_TIMEOUT + RESTART_GRACE, true));
}

/// Guards against a delayed takeover when the boxes ahead in the plan have lost their disks.
#[test]
fn takeover_does_not_wait_for_lost_copies() {
    assert!(takes_over("c", 2, Duration::ZERO, true), "no other box can serve");
    assert!(takes_over("b", 1, Duration::ZERO, true));
    assert!(!takes_over("c", 1, TAKEOVER_TIMEOUT, true), "the box in between may still serve");
    assert!(takes_over("c", 1, TAKEOVER_TIMEOUT + RESTART_GRACE, true));
}

/// Guards against a takeover by a box that has to fetch segments first while another box has them.
#[test]
fn a_box_that_lacks_segments_waits_longer() {
    let lacking = |me, after| decides_to_take_over(me, 0, after, false, true);
    assert!(!lacking("a", Duration::ZERO));
    assert!(lacking("a", TAKEOVER_TIMEOUT));
    assert!(!lacking("b", TAKEOVER_TIMEOUT));
    assert!(lacking("b", 2 * TAKEOVER_TIMEOUT));
}
