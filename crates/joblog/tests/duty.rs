//! Who takes a shard when its server is silent, and how soon.

use std::time::Duration;

use ids::{BoxId, FencingToken};
use joblog::{
    EpochId, RESTART_PATIENCE, ShardPlan, StorageBox, TAKEOVER_TIMEOUT, TakeoverDecision,
    TakeoverPreference, TakeoverView, decide_takeover,
};

fn box_id(text: &str) -> BoxId {
    text.parse().expect("an id")
}

fn plan() -> ShardPlan {
    let copies = ["a", "b", "c"].map(|name| StorageBox {
        box_id: box_id(name),
        address: "127.0.0.1:1".to_owned(),
        domain: "domain-1".parse().expect("a domain"),
    });
    let epoch = EpochId { token: FencingToken::new(3), number: 1, by: box_id("a") };
    ShardPlan { epoch, copies: copies.into() }
}

fn takes(me: &str, lost_before: usize, server_unresponsive_for: Duration, restarts: bool) -> bool {
    let (me, plan) = (box_id(me), plan());
    let view = TakeoverView {
        me: &me,
        plan: Some(&plan),
        has_copy: true,
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
fn boxes_take_over_in_the_order_of_the_plan() {
    assert!(takes("a", 0, Duration::ZERO, false), "the server itself goes on at once");
    assert!(!takes("b", 0, TAKEOVER_TIMEOUT.saturating_sub(Duration::from_millis(1)), false));
    assert!(takes("b", 0, TAKEOVER_TIMEOUT, false));
    assert!(!takes("c", 0, TAKEOVER_TIMEOUT, false));
    assert!(takes("c", 0, 2 * TAKEOVER_TIMEOUT, false));
}

#[test]
fn a_server_that_starts_again_is_given_time() {
    assert!(!takes("b", 0, TAKEOVER_TIMEOUT, true));
    assert!(takes("b", 0, TAKEOVER_TIMEOUT + RESTART_PATIENCE, true));
}

/// All boxes have lost power, and the first two their disks as well.
#[test]
fn nobody_waits_for_copies_that_are_known_to_be_lost() {
    assert!(takes("c", 2, Duration::ZERO, true), "nobody else can go on");
    assert!(takes("b", 1, Duration::ZERO, true));
    assert!(!takes("c", 1, TAKEOVER_TIMEOUT, true), "the one between them may go on");
    assert!(takes("c", 1, TAKEOVER_TIMEOUT + RESTART_PATIENCE, true));
}
