//! Performs the steps of [`EpochTakeover`]: reads the log if necessary, writes the new segment and
//! the plan.

use std::sync::Arc;

use ids::{BoxId, Moment};
use joblog::{
    EpochId, EpochTakeover, LoadedLog, PlanWriteOutcome, SealedSegment, SegmentContent, ShardPlan,
    StorageBox, TakeoverError, TakeoverStep, VersionedPlan, segment_sources,
};
use rand::Rng;
use tokio::time;

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::log::copies::on_disk;
use crate::log::copying::{NewCopy, Relocation, write_segment};
use crate::log::fetch::{MissingSegment, SegmentFetcher};
use crate::log::log_writer::EpochLog;
use crate::log::plan_store::{log_segment_changes, read_plan, record_plan, write_plan};
use crate::log::retry_delay::RetryDelay;

/// How a box starts a new epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EpochChange {
    /// It serves the shard and continues with the jobs in memory. Jobs may change meanwhile, but no
    /// record is applied.
    WhileServed,
    /// It does not serve the shard.
    TakeOver {
        /// The epoch whose server it replaces; `None` if the shard had none. If another epoch has
        /// begun meanwhile, its server may be live, so the change fails.
        replaced: Option<EpochId>,
    },
}

impl EpochChange {
    /// Returns whether the plan is still that of the replaced epoch.
    fn replaces(&self, read: Option<&VersionedPlan>) -> bool {
        match self {
            Self::WhileServed => true,
            Self::TakeOver { replaced } => read.map(|read| &read.plan.epoch) == replaced.as_ref(),
        }
    }
}

/// Why a new epoch was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EpochChangeError {
    /// The takeover failed.
    #[error(transparent)]
    Takeover(#[from] TakeoverError),
    /// The change needs steps that are possible only while the shard is not served.
    #[error("the shard cannot be served meanwhile")]
    NotWhileServed,
}

/// A new epoch, whose plan is in force.
#[derive(Debug)]
pub struct NewEpoch {
    /// The copies to append to.
    pub log: EpochLog,
    /// The plan.
    pub plan: ShardPlan,
    /// The log as in memory.
    pub loaded: LoadedLog,
    /// Records that are in another segment now.
    pub moved: Relocation,
    /// A time before which no later plan was written; `None` if unknown.
    pub confirmed_at: Option<Moment>,
}

/// Starts a new epoch that this box serves.
///
/// If the future is dropped, the plan of the new epoch may be in force. The same holds after a failure
/// unless [`TakeoverError::is_before_plan_write`] returns true.
pub async fn change_epoch(
    ctx: &Arc<ShardContext>,
    keeper: &Arc<ShardKeeper>,
    change: EpochChange,
) -> Result<NewEpoch, EpochChangeError> {
    let number = u64::from(rand::rng().random::<u32>());
    let mut takeover = EpochTakeover::new(ctx.me.clone(), number, keeper.loaded());
    let is_served = change == EpochChange::WhileServed;
    // The conditional write detects that the known plan is stale, so it need not be read again.
    if is_served && let Some(known) = known_plan(ctx, keeper) {
        takeover.plan_read(Ok(Some(known)));
    }
    let mut runner =
        ChangeRunner { ctx, keeper, copy: None, delay: RetryDelay::new(), confirmed_at: None };
    loop {
        if takeover.needs_partners() {
            if !is_served {
                keeper.jobs().suspend_appends();
            }
            let oldest = keeper.jobs().oldest_segment();
            takeover.set_partners(ctx.choose_copies(keeper.shard()), oldest);
        }
        match takeover.step() {
            TakeoverStep::Serve { revision, plan } => {
                let base = takeover.base().map(|base| &base.plan);
                log_segment_changes(keeper.shard(), base, &plan);
                return runner.finish(revision, plan);
            }
            TakeoverStep::Fail(error) => return Err(error.into()),
            step if is_served && !is_possible_while_served(&step) => {
                return Err(EpochChangeError::NotWhileServed);
            }
            TakeoverStep::ReadPlan => {
                let read = read_plan(&ctx.view, keeper.shard()).await;
                if read.as_ref().is_ok_and(|read| !change.replaces(read.as_ref())) {
                    return Err(TakeoverError::Superseded.into());
                }
                takeover.plan_read(read);
            }
            step => runner.perform(&mut takeover, step).await,
        }
    }
}

/// Returns the plan of the epoch in memory, as this box last read it.
fn known_plan(ctx: &ShardContext, keeper: &ShardKeeper) -> Option<VersionedPlan> {
    let loaded = keeper.loaded()?;
    let assignments = ctx.view.assignments();
    let observed = assignments.plan(keeper.shard())?;
    let plan = observed.plan.clone();
    (plan.epoch == loaded.epoch).then_some(VersionedPlan { revision: observed.revision, plan })
}

/// Returns whether a step leaves the jobs in memory as they are. Jobs must not change while a
/// snapshot is written.
const fn is_possible_while_served(step: &TakeoverStep) -> bool {
    match step {
        TakeoverStep::Copy { content, .. } => !matches!(content, SegmentContent::Snapshot),
        TakeoverStep::WritePlan { .. } | TakeoverStep::CheckPlan => true,
        _ => false,
    }
}

struct ChangeRunner<'a> {
    ctx: &'a Arc<ShardContext>,
    keeper: &'a Arc<ShardKeeper>,
    copy: Option<NewCopy>,
    delay: RetryDelay,
    /// When the plan write that succeeded was started.
    confirmed_at: Option<Moment>,
}

impl ChangeRunner<'_> {
    async fn perform(&mut self, takeover: &mut EpochTakeover, step: TakeoverStep) {
        match step {
            TakeoverStep::BeginEmpty => {
                self.keeper.reset();
                takeover.emptied();
            }
            TakeoverStep::FetchSegments(_) => {
                let fetched = match takeover.base() {
                    Some(base) => self.fetch(&base.plan).await,
                    None => true,
                };
                takeover.segments_fetched(fetched);
            }
            TakeoverStep::CloseAndRead { epoch, sealed } => {
                let _report = self.keeper.report_takeover();
                let loaded = close_and_read(self.ctx, self.keeper, epoch, sealed).await;
                takeover.log_read(loaded);
            }
            TakeoverStep::Copy { epoch, partners, content } => {
                let _report = self.keeper.report_takeover();
                self.copy = write_segment(self.ctx, self.keeper, &epoch, &partners, &content).await;
                takeover.copies_written(self.copy.is_some());
            }
            TakeoverStep::WritePlan { base, plan } => {
                takeover.plan_written(self.write_plan(base, &plan).await);
            }
            TakeoverStep::CheckPlan => {
                let read = read_plan(&self.ctx.view, self.keeper.shard()).await;
                if read.is_err() {
                    time::sleep(self.delay.next()).await;
                }
                takeover.plan_read(read);
            }
            // The caller handles these steps.
            TakeoverStep::ReadPlan | TakeoverStep::Serve { .. } | TakeoverStep::Fail(_) => {}
        }
    }

    fn finish(self, revision: u64, plan: ShardPlan) -> Result<NewEpoch, EpochChangeError> {
        let copy = self.copy.ok_or(TakeoverError::CopyFailed)?;
        let shard = self.keeper.shard();
        record_plan(&self.ctx.view, shard, VersionedPlan { revision, plan: plan.clone() });
        let loaded = copy.loaded(plan.epoch.clone());
        let partners: Vec<StorageBox> = plan.copies.iter().skip(1).cloned().collect();
        let log = EpochLog { epoch: plan.epoch.clone(), file: Some(copy.file), partners };
        let (moved, confirmed_at) = (copy.moved, self.confirmed_at);
        Ok(NewEpoch { log, plan, loaded, moved, confirmed_at })
    }

    /// Fetches the sealed segments of `base` that aren't on this box's disk.
    async fn fetch(&self, base: &ShardPlan) -> bool {
        let (ctx, shard) = (self.ctx, self.keeper.shard());
        let now = ctx.view.now();
        let failing = base.boxes().filter(|copy| !ctx.peers.is_live(now, &copy.box_id));
        let failing: Vec<BoxId> = failing.map(|copy| copy.box_id.clone()).collect();
        let lacking =
            base.sealed.iter().filter(|segment| !ctx.copies.folder().has_sealed(shard, segment));
        let missing = lacking.map(|segment| {
            let sources = segment_sources(base, segment, &ctx.me, &failing);
            let sources = sources.into_iter().cloned().collect();
            MissingSegment { segment: segment.clone(), sources }
        });
        let missing: Vec<MissingSegment> = missing.collect();
        let fetcher = SegmentFetcher::new(ctx.copies.clone(), ctx.links.clone(), shard, None);
        let result = fetcher.fetch_all(&missing).await;
        if let Err(error) = &result {
            log::warn!(target: "shard", shard = shard.get(), error:% = error; "segments not fetched");
        }
        result.is_ok()
    }

    async fn write_plan(&mut self, base: Option<u64>, plan: &ShardPlan) -> PlanWriteOutcome {
        let started = self.ctx.view.now();
        let written = write_plan(&self.ctx.view, self.keeper.shard(), base, plan).await;
        match written {
            PlanWriteOutcome::Done(_) => self.confirmed_at = Some(started),
            PlanWriteOutcome::Conflict => {}
            PlanWriteOutcome::NoAnswer => time::sleep(self.delay.next()).await,
        }
        written
    }
}

/// Closes this box's copy of the open segment and loads the log into the job table.
async fn close_and_read(
    ctx: &ShardContext,
    keeper: &Arc<ShardKeeper>,
    epoch: EpochId,
    sealed: Vec<SealedSegment>,
) -> Option<LoadedLog> {
    let shard = keeper.shard();
    ctx.copies.close(shard, &epoch).await;
    keeper.reset();
    let (folder, open) = (ctx.copies.folder().clone(), epoch.clone());
    let segments = sealed.iter().map(|segment| segment.epoch.clone()).chain([epoch.clone()]);
    let segments: Vec<EpochId> = segments.collect();
    let (now, table) = (ctx.view.now(), Arc::clone(keeper));
    let read = on_disk(shard, "read own copy", move || {
        // The table is locked for each record only: heartbeats need it too.
        let apply = |record, location| table.jobs().apply_at(now, record, Some(location));
        let mut records = 0;
        for segment in &sealed {
            records += folder.read_sealed(shard, segment, apply)?.records;
        }
        let read = folder.read(shard, &open, apply)?;
        Ok((records + read.records, read))
    });
    let Some((records, read)) = read.await else {
        // The table may contain a part of the log.
        keeper.reset();
        return None;
    };
    log::info!(
        target: "shard", shard = shard.get(), epoch:% = epoch, records = records,
        segments = segments.len(), bytes = read.len, tail = read.len - read.committed;
        "copy closed and read"
    );
    let loaded = LoadedLog { epoch, committed: read.committed, len: read.len };
    keeper.set_log(loaded.clone(), segments);
    Some(loaded)
}
