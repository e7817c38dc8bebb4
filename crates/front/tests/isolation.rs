//! The reachability alarm: it wakes the waiter immediately and stays raised until it is cleared.

use std::time::Duration;

use front::ReachabilityAlarm;
use tokio::time::{self, Instant};

const INTERVAL: Duration = Duration::from_millis(200);

#[tokio::test(start_paused = true)]
async fn alarm_ends_the_wait_immediately() {
    let alarm = ReachabilityAlarm::default();
    let start = Instant::now();
    let raised = async {
        time::sleep(Duration::from_millis(30)).await;
        alarm.raise();
    };
    tokio::join!(alarm.wait(INTERVAL), raised);
    assert_eq!(start.elapsed(), Duration::from_millis(30));
    assert!(alarm.is_raised());
}

#[tokio::test(start_paused = true)]
async fn wait_times_out_without_an_alarm() {
    let alarm = ReachabilityAlarm::default();
    let start = Instant::now();
    alarm.wait(INTERVAL).await;
    assert_eq!(start.elapsed(), INTERVAL);
    assert!(!alarm.is_raised());
}

#[tokio::test(start_paused = true)]
async fn alarm_stays_raised_until_cleared() {
    let alarm = ReachabilityAlarm::default();
    alarm.raise();
    alarm.wait(INTERVAL).await;
    // Raising it again has no effect: a check is already in progress.
    alarm.raise();
    let start = Instant::now();
    alarm.wait(INTERVAL).await;
    assert_eq!(start.elapsed(), INTERVAL);
    assert!(alarm.is_raised());
    alarm.clear();
    alarm.raise();
    alarm.wait(INTERVAL).await;
    assert!(alarm.is_raised());
}
