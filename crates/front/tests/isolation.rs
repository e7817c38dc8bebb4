//! Doubts that other failure domains are within reach: raised at once, standing until an answer comes.

use std::time::Duration;

use front::ReachDoubt;
use tokio::time::{self, Instant};

const LOOK: Duration = Duration::from_millis(200);

#[tokio::test(start_paused = true)]
async fn a_doubt_ends_the_wait_at_once() {
    let doubt = ReachDoubt::default();
    let begun = Instant::now();
    let raised = async {
        time::sleep(Duration::from_millis(30)).await;
        doubt.raise();
    };
    tokio::join!(doubt.wait(LOOK), raised);
    assert_eq!(begun.elapsed(), Duration::from_millis(30));
    assert!(doubt.is_raised());
}

#[tokio::test(start_paused = true)]
async fn without_a_doubt_the_wait_lasts() {
    let doubt = ReachDoubt::default();
    let begun = Instant::now();
    doubt.wait(LOOK).await;
    assert_eq!(begun.elapsed(), LOOK);
    assert!(!doubt.is_raised());
}

#[tokio::test(start_paused = true)]
async fn a_doubt_stands_until_it_is_settled() {
    let doubt = ReachDoubt::default();
    doubt.raise();
    doubt.wait(LOOK).await;
    // Raised again while it stands, it tells nothing new: the box asks already.
    doubt.raise();
    let begun = Instant::now();
    doubt.wait(LOOK).await;
    assert_eq!(begun.elapsed(), LOOK);
    assert!(doubt.is_raised());
    doubt.settle();
    doubt.raise();
    doubt.wait(LOOK).await;
    assert!(doubt.is_raised());
}
