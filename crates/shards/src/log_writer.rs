//! Writes a served shard's records to all copies of its log, many at a time.

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

/// Longest time for all copies to have a round on disk. A box that is slower is replaced.
const ROUND_TIME: Duration = Duration::from_millis(800);
/// Pause before an append is sent again.
const AGAIN_PAUSE: Duration = Duration::from_millis(200);
/// An empty round proves that all copies still take appends under this epoch.
const PROOF_EVERY: Duration = Duration::from_millis(250);
/// Most bytes of one round; the rest waits for the next.
const ROUND_BYTES: usize = 2 << 20;
/// Records that wait for a round.
pub const QUEUE: usize = 4_096;

/// Records to write, and who waits for them.
#[derive(Debug)]
pub struct LogWork {
    /// In order; none asks only for the proof.
    pub records: Vec<LogRecord>,
    /// Told once all copies have them.
    pub done: Option<oneshot::Sender<()>>,
}

/// The copies of one epoch.
#[derive(Debug)]
pub struct EpochLog {
    /// The epoch.
    pub epoch: EpochId,
    /// This box's copy.
    pub file: Option<LogCopyFile>,
    /// The other copies.
    pub partners: Vec<StorageBox>,
}

/// Writes rounds until one fails or nobody can send work any more. Whatever a failed round held
/// is forgotten: nobody was told of it.
pub async fn write_log(
    ctx: Arc<ShardContext>,
    keeper: Arc<ShardKeeper>,
    mut log: EpochLog,
    mut work: mpsc::Receiver<LogWork>,
) {
    // The first proof is due at once: nothing may be shown before it.
    let mut patience = Duration::ZERO;
    loop {
        let first = match time::timeout(patience, work.recv()).await {
            Ok(Some(first)) => Some(first),
            Ok(None) => return,
            Err(_elapsed) => None,
        };
        patience = PROOF_EVERY;
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
        round.lies_from(file.len());
        let Some(file) = write_round(&ctx, keeper.shard(), &log, file, &round).await else {
            return;
        };
        log.file = Some(file);
        keeper.apply(round.records);
        for done in round.waiters {
            // Whoever asked may have left meanwhile.
            let _left = done.send(());
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
            let place = encode_record(&record, &mut self.bytes);
            self.records.push((record, place));
        }
        self.waiters.extend(work.done);
    }

    /// The round's first byte lies at `offset` of the copy.
    fn lies_from(&mut self, offset: u64) {
        self.records.iter_mut().for_each(|(_, place)| place.offset += offset);
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
    own.filter(|_| others.into_iter().all(|taken| taken))
}

/// Appends to the copy of another box. What got no answer is sent again while the store is away:
/// no new epoch can be formed then, by nobody. A box that has closed the copy refuses.
async fn append_at(ctx: &ShardContext, partner: &StorageBox, append: LogAppend) -> bool {
    loop {
        let body = shard_request::Body::Append(append.clone());
        let error = match ctx.ask(&partner.address, ROUND_TIME, body).await {
            Ok(shard_response::Body::Synced(_)) => return true,
            Ok(_) => CallError::Broken { why: "an answer of another kind" },
            Err(error) => error,
        };
        ctx.peers.failed(ctx.view.now(), &partner.box_id);
        let refused = matches!(error, CallError::Refused(_));
        let again = !refused && !ctx.view.store_state().up;
        log::warn!(
            target: "shard", shard = append.shard, epoch = append.epoch.as_str(),
            peer:% = partner.box_id, offset = append.offset, error:% = error, again = again;
            "copy did not take the append"
        );
        if !again {
            return false;
        }
        time::sleep(AGAIN_PAUSE).await;
    }
}
