//! Rounds of records that are appended to a log.

use std::time::Duration;

use bytes::Bytes;
use shards::{LogWork, NoSender, WorkQueue};
use tokio::sync::mpsc;
use wire::MAX_RECORD;
use wire::peer::{Job, JobItem, LogRecord, log_record};

const DELAY: Duration = Duration::from_millis(10);

/// Returns work with one job whose record has about `bytes` bytes.
fn work(bytes: usize) -> LogWork {
    let item = JobItem { body: Bytes::from(vec![0; bytes]), ..JobItem::default() };
    let job = Job { items: vec![item], ..Job::default() };
    let record = LogRecord { body: Some(log_record::Body::Accepted(job)) };
    LogWork { records: vec![record], done: None }
}

async fn round_sizes(works: impl IntoIterator<Item = LogWork>) -> Vec<usize> {
    let (sender, receiver) = mpsc::channel(16);
    for work in works {
        sender.send(work).await.expect("room");
    }
    drop(sender);
    let mut queue = WorkQueue::new(receiver);
    let mut sizes = Vec::new();
    while let Ok(round) = queue.next_round(DELAY).await {
        sizes.push(round.len());
    }
    sizes
}

/// Guards against a round that fits into no frame to the other copies, because a large job follows
/// other records. The server would give up each copy for it, and then the shard.
#[tokio::test]
async fn large_job_does_not_share_a_round_that_it_overfills() {
    let sizes = round_sizes([work(1_900_000), work(MAX_RECORD - 1_024), work(10)]).await;
    assert_eq!(sizes, [1, 1, 1]);
}

#[tokio::test]
async fn small_records_share_a_round_with_a_large_one() {
    assert_eq!(round_sizes([work(10), work(20), work(MAX_RECORD - 1_024)]).await, [3]);
}

#[tokio::test]
async fn round_without_work_is_empty() {
    let (sender, receiver) = mpsc::channel(1);
    let mut queue = WorkQueue::new(receiver);
    assert!(queue.next_round(DELAY).await.is_ok_and(|round| round.is_empty()));
    drop(sender);
    assert!(queue.next_round(DELAY).await.is_err_and(|error| error == NoSender));
}
