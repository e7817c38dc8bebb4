//! When a link is asked for a sign of life, and when it is given up.

use std::time::Duration;

use links::{LinkPulse, PulseStep};
use tokio::time::{self, Instant};

/// A dead link must be noticed within this time of its first use: two thirds of the time that a
/// round of the log may take, so that there is time for a second try on a new connection.
const NOTICED_WITHIN: Duration = Duration::from_millis(700);

/// Waits until something other than waiting is due.
async fn next_step(pulse: &mut LinkPulse) -> PulseStep {
    loop {
        match pulse.step(Instant::now()) {
            PulseStep::Wait(due) => time::sleep_until(due).await,
            step => return step,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_link_is_given_up_in_time() {
    let mut pulse = LinkPulse::new(Instant::now());
    assert!(pulse.asked(Instant::now()), "it owes from now on");
    let asked_at = Instant::now();
    assert_eq!(next_step(&mut pulse).await, PulseStep::Ping);
    assert_eq!(next_step(&mut pulse).await, PulseStep::Dead);
    assert!(asked_at.elapsed() <= NOTICED_WITHIN, "{:?}", asked_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn later_requests_do_not_put_the_end_off() {
    let mut pulse = LinkPulse::new(Instant::now());
    pulse.asked(Instant::now());
    let asked_at = Instant::now();
    let mut dead = false;
    while asked_at.elapsed() <= NOTICED_WITHIN && !dead {
        time::sleep(Duration::from_millis(10)).await;
        pulse.asked(Instant::now());
        dead = pulse.step(Instant::now()) == PulseStep::Dead;
    }
    assert!(dead, "requests alone are no sign of life");
}

#[tokio::test(start_paused = true)]
async fn a_link_that_answers_lives_for_as_long_as_calls_wait() {
    let mut pulse = LinkPulse::new(Instant::now());
    pulse.asked(Instant::now());
    for _ in 0..100 {
        assert_eq!(next_step(&mut pulse).await, PulseStep::Ping);
        pulse.heard(Instant::now(), true);
    }
    pulse.heard(Instant::now(), false);
    assert_eq!(next_step(&mut pulse).await, PulseStep::Rested, "it owes nothing any more");
}

#[tokio::test(start_paused = true)]
async fn a_link_that_carries_beats_alone_is_checked_too() {
    let mut pulse = LinkPulse::new(Instant::now());
    pulse.told(Instant::now());
    assert_eq!(next_step(&mut pulse).await, PulseStep::Ping);
    assert_eq!(next_step(&mut pulse).await, PulseStep::Dead);
}
