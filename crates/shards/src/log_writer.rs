//! Writes a served shard's records to all copies of its log, many at a time.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use ids::ShardIndex;
use joblog::{CopyHolder, EpochId, LogCopyFile, encode_record};
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use wire::peer::{LogAppend, LogRecord, shard_answer, shard_request};

use crate::context::ShardContext;
use crate::copies::on_disk;
use crate::keeper::ShardKeeper;

/// Longest time for all copies to have a round on disk. A box that is slower is replaced.
const ROUND_TIME: Duration = Duration::from_millis(800);
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
    pub partners: Vec<CopyHolder>,
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
    records: Vec<LogRecord>,
    bytes: Vec<u8>,
    waiters: Vec<oneshot::Sender<()>>,
}

impl LogRound {
    fn add(&mut self, work: LogWork) {
        for record in work.records {
            encode_record(&record, &mut self.bytes);
            self.records.push(record);
        }
        self.waiters.extend(work.done);
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
        async move {
            let body = shard_request::Body::Append(append);
            let answer = ctx.ask(&partner.address, ROUND_TIME, body).await;
            if !matches!(answer, Ok(shard_answer::Body::Synced(_))) {
                ctx.peers.failed(ctx.view.now(), &partner.box_id);
                let why =
                    answer.err().map_or_else(|| "odd answer".to_owned(), |error| error.to_string());
                log::warn!(
                    target: "shard", shard = shard.get(), epoch:% = log.epoch,
                    peer:% = partner.box_id, offset = offset, error = why.as_str();
                    "copy did not take the append"
                );
                return false;
            }
            true
        }
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
