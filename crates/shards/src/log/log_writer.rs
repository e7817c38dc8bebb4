//! Appends a served shard's records to all copies of its log, in batches.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use ids::{FencingToken, RecordLocation, ShardIndex, whole_millis};
use joblog::{EpochId, LogCopyFile, SEGMENT_BYTES, StorageBox, encode_record};
use links::CallError;
use node::StoreCall;
use node::assignments::shard_object;
use platform::Kind;
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use wire::peer::{LogAppend, LogRecord, RoundStart, log_record, shard_request, shard_response};

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::log::copies::on_disk;
use crate::log::epoch_change::{EpochChange, EpochChangeError, change_epoch};

/// Timeout for all copies to write a round to disk. A slower box is replaced. A round takes one
/// round trip (at most 60 ms between regions) and a synced write.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a change of epoch that failed is tried again, if all copies still accept appends.
const CHANGE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of the check whether the store responds, before a copy is given up. Longer than a slow
/// response of a store in another region.
const STORE_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of empty rounds, which confirm that all copies still accept appends under this epoch.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Size in bytes from which a round accepts no further records.
const ROUND_BYTES: usize = 2 << 20;
/// Changes of epoch to write one round. If none of the new copies accepts it, the cause is probably
/// the round or this box.
const MAX_CHANGES_PER_ROUND: u32 = 3;
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

/// Reason for a change of epoch: a copy did not accept an append. If the change fails, the shard is no
/// longer served.
const COPY_LOST: &str = "copy lost";
/// Reason for a change of epoch: the box of another copy is being retired.
const PARTNER_LEAVES: &str = "partner leaves";
/// Reason for a change of epoch: the open segment has [`SEGMENT_BYTES`].
const SEGMENT_FULL: &str = "segment full";

/// Writes rounds until the shard can't be served any longer or all senders are dropped; returns the
/// reason. The records of a failed round are appended again in a new epoch. If that fails too, they
/// are dropped; none was acknowledged.
pub async fn write_log(
    ctx: Arc<ShardContext>,
    keeper: Arc<ShardKeeper>,
    mut log: EpochLog,
    mut work: mpsc::Receiver<LogWork>,
) -> &'static str {
    // The first round confirms the epoch. It is written immediately, because the shard may not be
    // confirmed before.
    let mut delay = Duration::ZERO;
    let mut change_due_at = ctx.view.now();
    loop {
        let Ok(round) = next_round(&mut work, delay).await else { return "asked" };
        delay = CONFIRM_INTERVAL;
        let mut changes = 0;
        while !write_round(&ctx, keeper.shard(), &mut log, &round).await {
            if changes == MAX_CHANGES_PER_ROUND
                || change_served_epoch(&ctx, &keeper, &mut log, COPY_LOST).await.is_err()
            {
                return COPY_LOST;
            }
            changes += 1;
        }
        round.finish(&keeper, &log);
        let Some(why) = change_reason(&ctx, &log) else { continue };
        if ctx.view.now() < change_due_at {
            continue;
        }
        match change_served_epoch(&ctx, &keeper, &mut log, why).await {
            Ok(()) => delay = Duration::ZERO,
            Err(EpochChangeError::Takeover(error)) if error.is_before_plan_write() => {
                change_due_at = ctx.view.now() + CHANGE_RETRY_DELAY;
            }
            Err(_unknown) => return why,
        }
    }
}

/// Returns the next round: empty after `delay` without work, `Err` if all senders were dropped.
async fn next_round(
    work: &mut mpsc::Receiver<LogWork>,
    delay: Duration,
) -> Result<LogRound, NoSender> {
    let mut round = LogRound::default();
    match time::timeout(delay, work.recv()).await {
        Ok(Some(first)) => round.add(first),
        Ok(None) => return Err(NoSender),
        Err(_elapsed) => {}
    }
    while round.bytes.len() < ROUND_BYTES
        && let Ok(more) = work.try_recv()
    {
        round.add(more);
    }
    Ok(round)
}

/// No task can add to the log any more.
struct NoSender;

/// Returns why the epoch should change although all copies accept appends.
fn change_reason(ctx: &ShardContext, log: &EpochLog) -> Option<&'static str> {
    let retiring = ctx.retiring();
    if log.partners.iter().any(|copy| retiring.contains(&copy.box_id)) {
        return Some(PARTNER_LEAVES);
    }
    let len = log.file.as_ref().map_or(0, LogCopyFile::len);
    (len >= SEGMENT_BYTES).then_some(SEGMENT_FULL)
}

/// Starts a new epoch between two rounds, while the shard is served. On failure `log` stays that of
/// the earlier epoch.
async fn change_served_epoch(
    ctx: &Arc<ShardContext>,
    keeper: &Arc<ShardKeeper>,
    log: &mut EpochLog,
    why: &'static str,
) -> Result<(), EpochChangeError> {
    let started = ctx.view.now();
    let changed = change_epoch(ctx, keeper, EpochChange::WhileServed).await;
    let stalled_ms = whole_millis(ctx.view.now().since(started));
    let shard = keeper.shard().get();
    match changed {
        Ok(new) => {
            log::info!(
                target: "shard", shard = shard, epoch:% = new.log.epoch, why = why,
                stalled_ms = stalled_ms, sealed = new.plan.sealed.len();
                "epoch changed"
            );
            *log = keeper.continue_serving(new);
            Ok(())
        }
        Err(error) => {
            log::info!(
                target: "shard", shard = shard, epoch:% = log.epoch, why:% = error,
                stalled_ms = stalled_ms;
                "epoch not changed"
            );
            Err(error)
        }
    }
}

/// The records of one append.
#[derive(Default)]
struct LogRound {
    /// Records, with locations relative to the start of the round.
    records: Vec<(LogRecord, RecordLocation)>,
    bytes: Vec<u8>,
    waiters: Vec<oneshot::Sender<()>>,
}

impl LogRound {
    fn add(&mut self, work: LogWork) {
        for record in work.records {
            if self.bytes.is_empty() {
                let round = LogRecord { body: Some(log_record::Body::Round(RoundStart {})) };
                encode_record(&round, FencingToken::default(), &mut self.bytes);
            }
            let location = encode_record(&record, FencingToken::default(), &mut self.bytes);
            self.records.push((record, location));
        }
        self.waiters.extend(work.done);
    }

    /// Applies the records, which all copies have acknowledged, and notifies the waiters.
    fn finish(self, keeper: &ShardKeeper, log: &EpochLog) {
        let len = log.file.as_ref().map_or(0, LogCopyFile::len);
        let start = len - self.bytes.len() as u64;
        let mut records = self.records;
        for (_, location) in &mut records {
            location.segment = log.epoch.token;
            location.offset += start;
        }
        keeper.apply(records, len);
        for done in self.waiters {
            // The waiter may have been dropped.
            let _dropped = done.send(());
        }
    }
}

/// Appends a round to all copies. Returns whether all of them have it on disk.
async fn write_round(
    ctx: &ShardContext,
    shard: ShardIndex,
    log: &mut EpochLog,
    round: &LogRound,
) -> bool {
    let Some(file) = log.file.take() else { return false };
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
    let own = append_own(shard, file, round.bytes.clone());
    let (own, others) = tokio::join!(own, join_all(appends));
    log.file = own;
    log.file.is_some() && others.into_iter().all(|accepted| accepted)
}

async fn append_own(
    shard: ShardIndex,
    mut file: LogCopyFile,
    bytes: Vec<u8>,
) -> Option<LogCopyFile> {
    if bytes.is_empty() {
        return Some(file);
    }
    let written = on_disk(shard, "append to own copy", move || {
        file.append(file.len(), &bytes)?;
        file.sync()?;
        Ok(file)
    });
    written.await
}

/// Appends to another box's copy. Retries over a new connection if the old one was lost, and as long
/// as the store doesn't respond to this box, since no new epoch can be created then. Stops when the
/// box refuses because it has closed the copy.
async fn append_at(ctx: &ShardContext, partner: &StorageBox, append: LogAppend) -> bool {
    let started = time::Instant::now();
    loop {
        let body = shard_request::Body::Append(append.clone());
        let error = match ctx.call_box(&partner.address, ROUND_TIMEOUT, body).await {
            Ok(shard_response::Body::Synced(_)) => return true,
            Ok(_) => CallError::Broken { why: "unexpected kind of response" },
            Err(error) => error,
        };
        ctx.peers.record_failure(ctx.view.now(), &partner.box_id);
        let retry = match &error {
            CallError::Refused(_) => false,
            CallError::LinkLost if started.elapsed() < ROUND_TIMEOUT => true,
            _ => !store_responds(ctx, ShardIndex::new(append.shard)).await,
        };
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

/// Returns whether the store responds to this box now. It may refuse some boxes and serve others.
async fn store_responds(ctx: &ShardContext, shard: ShardIndex) -> bool {
    if !ctx.view.store_state().up {
        return false;
    }
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    let name = shard_object(shard);
    let read = ctx.view.store.get(Kind::ClusterState, &name);
    time::timeout(STORE_CHECK_TIMEOUT, read).await.is_ok_and(|read| read.is_ok())
}
