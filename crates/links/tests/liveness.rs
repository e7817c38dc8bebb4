//! When a link is pinged, and when it is closed.

use std::time::Duration;

use links::{LinkAction, LinkLiveness};
use tokio::time::{self, Instant};

/// Maximum time from the first use of a dead link to its detection. Shorter than the time limit of
/// a log append round.
const DETECTION_LIMIT: Duration = Duration::from_millis(700);

/// Waits until an action other than waiting is due.
async fn next_due_action(liveness: &mut LinkLiveness) -> LinkAction {
    loop {
        match liveness.next_action(Instant::now()) {
            LinkAction::Wait(due) => time::sleep_until(due).await,
            action => return action,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn unresponsive_link_is_detected_in_time() {
    let mut liveness = LinkLiveness::new(Instant::now());
    assert!(liveness.request_queued(Instant::now()), "the ping is due before the idle close");
    let requested_at = Instant::now();
    assert_eq!(next_due_action(&mut liveness).await, LinkAction::Ping);
    assert_eq!(next_due_action(&mut liveness).await, LinkAction::Dead);
    assert!(requested_at.elapsed() <= DETECTION_LIMIT, "{:?}", requested_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn later_requests_do_not_delay_detection() {
    let mut liveness = LinkLiveness::new(Instant::now());
    liveness.request_queued(Instant::now());
    let requested_at = Instant::now();
    let mut dead = false;
    while requested_at.elapsed() <= DETECTION_LIMIT && !dead {
        time::sleep(Duration::from_millis(10)).await;
        liveness.request_queued(Instant::now());
        dead = liveness.next_action(Instant::now()) == LinkAction::Dead;
    }
    assert!(dead, "requests alone do not show that the link is alive");
}

#[tokio::test(start_paused = true)]
async fn responsive_link_stays_open_while_calls_wait() {
    let mut liveness = LinkLiveness::new(Instant::now());
    liveness.request_queued(Instant::now());
    for _ in 0..100 {
        assert_eq!(next_due_action(&mut liveness).await, LinkAction::Ping);
        liveness.frame_received(Instant::now(), true);
    }
    liveness.frame_received(Instant::now(), false);
    assert_eq!(
        next_due_action(&mut liveness).await,
        LinkAction::Idle,
        "no frame is expected any more"
    );
}

#[tokio::test(start_paused = true)]
async fn link_used_only_for_heartbeats_is_checked() {
    let mut liveness = LinkLiveness::new(Instant::now());
    liveness.one_way_queued(Instant::now());
    assert_eq!(next_due_action(&mut liveness).await, LinkAction::Ping);
    assert_eq!(next_due_action(&mut liveness).await, LinkAction::Dead);
}
