//! Appends a served shard's records to all copies of its log, in batches.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use ids::{RecordLocation, ShardIndex};
use joblog::{EpochId, LogCopyFile, StorageBox, encode_record};
use links::CallError;
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use wire::peer::{LogAppend, LogRecord, shard_request, shard_response};

use crate::context::ShardContext;
use crate::copies::on_disk;
use crate::keeper::ShardKeeper;

/// Timeout for all copies to write a round to disk. A slower box is replaced.
const ROUND_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval of empty rounds, which confirm that all copies still accept appends under this epoch.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Size in bytes from which a round accepts no further records.
const ROUND_BYTES: usize = 2 << 20;
/// Capacity of the queue of log work.
pub const QUEUE_CAPACITY: usize = 4_096;

/// Records to append, and the task that waits for them.
#[derive(Debug)]
pub struct LogWork {
    /// In log order; an empty list only requests a confirmation.
    pub records: Vec<LogRecord>,
    /// Notified once all copies have the records.
    pub done: Option<oneshot::Sender<()>>,
}

/// The copies of one epoch.
#[derive(Debug)]
pub struct EpochLog {
    /// The epoch.
    pub epoch: EpochId,
    /// This box's copy; `None` while a round is written.
    pub file: Option<LogCopyFile>,
    /// The boxes that hold the other copies.
    pub partners: Vec<StorageBox>,
}

/// Writes rounds until one fails or all senders are dropped. The records of a failed round are
/// dropped; none was acknowledged.
pub async fn write_log(
    ctx: Arc<ShardContext>,
    keeper: Arc<ShardKeeper>,
    mut log: EpochLog,
    mut work: mpsc::Receiver<LogWork>,
) {
    // Confirm the epoch immediately: nothing may be served before.
    let mut delay = Duration::ZERO;
    loop {
        let first = match time::timeout(delay, work.recv()).await {
            Ok(Some(first)) => Some(first),
            Ok(None) => return,
            Err(_elapsed) => None,
        };
        delay = CONFIRM_INTERVAL;
        let mut round = LogRound::default();
        if let Some(first) = first {
            round.add(first);
        }
        while round.bytes.len() < ROUND_BYTES
            && let Ok(more) = work.try_recv()
        {
            round.add(more);
        }
        let Some(file) = log.file.take() else { return };
        round.shift_locations(file.len());
        let Some(file) = write_round(&ctx, keeper.shard(), &log, file, &round).await else {
            return;
        };
        log.file = Some(file);
        keeper.apply(round.records);
        for done in round.waiters {
            // The waiter may have been dropped.
            let _dropped = done.send(());
        }
    }
}

#[derive(Default)]
struct LogRound {
    records: Vec<(LogRecord, RecordLocation)>,
    bytes: Vec<u8>,
    waiters: Vec<oneshot::Sender<()>>,
}

impl LogRound {
    fn add(&mut self, work: LogWork) {
        for record in work.records {
            let location = encode_record(&record, &mut self.bytes);
            self.records.push((record, location));
        }
        self.waiters.extend(work.done);
    }

    /// Shifts locations by `offset`, the position of the round's first byte in the copy.
    fn shift_locations(&mut self, offset: u64) {
        self.records.iter_mut().for_each(|(_, location)| location.offset += offset);
    }
}

async fn write_round(
    ctx: &ShardContext,
    shard: ShardIndex,
    log: &EpochLog,
    file: LogCopyFile,
    round: &LogRound,
) -> Option<LogCopyFile> {
    let offset = file.len();
    let appends = log.partners.iter().map(|partner| {
        let append = LogAppend {
            shard: shard.get(),
            epoch: log.epoch.to_string(),
            offset,
            records: round.bytes.clone(),
        };
        append_at(ctx, partner, append)
    });
    let bytes = round.bytes.clone();
    let own = async {
        if bytes.is_empty() {
            return Some(file);
        }
        let written = on_disk(shard, "append to own copy", move || {
            let mut file = file;
            file.append(offset, &bytes)?;
            file.sync()?;
            Ok(file)
        });
        written.await
    };
    let (own, others) = tokio::join!(own, join_all(appends));
    own.filter(|_| others.into_iter().all(|accepted| accepted))
}

/// Appends to another box's copy. Retries failed appends while the store is unavailable, since no
/// new epoch can be created then. Stops when the box refuses because it has closed the copy.
async fn append_at(ctx: &ShardContext, partner: &StorageBox, append: LogAppend) -> bool {
    loop {
        let body = shard_request::Body::Append(append.clone());
        let error = match ctx.call_box(&partner.address, ROUND_TIMEOUT, body).await {
            Ok(shard_response::Body::Synced(_)) => return true,
            Ok(_) => CallError::Broken { why: "unexpected kind of response" },
            Err(error) => error,
        };
        ctx.peers.record_failure(ctx.view.now(), &partner.box_id);
        let refused = matches!(error, CallError::Refused(_));
        let retry = !refused && !ctx.view.store_state().up;
        log::warn!(
            target: "shard", shard = append.shard, epoch = append.epoch.as_str(),
            peer:% = partner.box_id, offset = append.offset, error:% = error, again = retry;
            "copy did not accept the append"
        );
        if !retry {
            return false;
        }
        time::sleep(RETRY_DELAY).await;
    }
}
