//! State machine for taking over a shard, without I/O.
//!
//! The caller polls for the next step, performs it, and reports its outcome. The order of the steps
//! preserves acknowledged records: the local copy is closed before it is read, the new segment is
//! on all disks before the plan is written, and the plan replaces only the one that was read.

use ids::{BoxId, FencingToken};

use crate::segments::{LoadedLog, NewSegment, SegmentContent};
use crate::{EpochId, SealedSegment, ShardPlan, StorageBox};

/// A plan as read, with the revision for a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedPlan {
    /// Revision of the plan in the store.
    pub revision: u64,
    /// The plan.
    pub plan: ShardPlan,
}

/// The next step of a takeover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Read the plan. A stale plan costs time, but is never replaced: the write is conditional.
    ReadPlan,
    /// Start with no records.
    BeginEmpty,
    /// Fetch those of these sealed segments that aren't on this box's disk.
    FetchSegments(Vec<SealedSegment>),
    /// Close this box's copy of the open segment for appends, then read the whole log: the sealed
    /// segments up to their lengths, then this copy.
    CloseAndRead {
        /// The epoch of the open segment.
        epoch: EpochId,
        /// The sealed segments, oldest first.
        sealed: Vec<SealedSegment>,
    },
    /// Write the new segment to the disks of this box and of the partners, and open it for appends
    /// there.
    Copy {
        /// The new epoch.
        epoch: EpochId,
        /// The boxes with the other copies.
        partners: Vec<StorageBox>,
        /// The records with which the segment begins.
        content: SegmentContent,
    },
    /// Write the plan conditionally on the revision of the one that was read.
    WritePlan {
        /// Revision of the plan that was read; `None` when there was none.
        base: Option<u64>,
        /// The new plan.
        plan: ShardPlan,
    },
    /// Read the plan to check whether an earlier write was applied.
    CheckPlan,
    /// Serve the shard under this plan.
    Serve {
        /// Revision of the plan.
        revision: u64,
        /// The plan.
        plan: ShardPlan,
    },
    /// Abandon this attempt.
    Fail(TakeoverError),
}

/// Why a takeover failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TakeoverError {
    /// The store did not respond.
    #[error("the store does not respond")]
    NoStore,
    /// The current plan differs from the expected one, or gives this box no copy.
    #[error("another plan is in force")]
    Superseded,
    /// The local copy cannot be read.
    #[error("cannot read the local copy of the log")]
    NoCopy,
    /// A sealed segment is neither on this box's disk nor could it be fetched.
    #[error("a sealed segment is not available")]
    NoSegment,
    /// Too few other boxes respond to hold the copies.
    #[error("too few other boxes are reachable to hold the copies")]
    NoPartners,
    /// A new copy could not be written on every box.
    #[error("a new copy was not written")]
    CopyFailed,
}

impl TakeoverError {
    /// Returns whether no plan was written, so that the plan that was read is not replaced by this
    /// attempt. Otherwise a server must not continue with its earlier epoch: a plan that seals it
    /// may be in force.
    pub const fn is_before_plan_write(self) -> bool {
        matches!(self, Self::NoCopy | Self::NoSegment | Self::NoPartners | Self::CopyFailed)
    }
}

/// Outcome of the conditional write of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanWriteOutcome {
    /// The plan was written with this revision.
    Done(u64),
    /// The store holds another plan, or this one from an earlier attempt.
    Conflict,
    /// The write was not applied, or its outcome is unknown.
    NoAnswer,
}

/// Maximum retries of the plan write before the takeover fails.
const PLAN_WRITE_RETRIES: u32 = 8;

#[derive(Debug, Clone, PartialEq, Eq)]
enum TakeoverState {
    ReadingPlan,
    Fetching,
    Loading,
    ChoosingPartners,
    Copying,
    Writing { tries: u32 },
    Checking { tries: u32 },
    Done(TakeoverStep),
}

/// One attempt to take over a shard.
#[derive(Debug, Clone)]
pub struct EpochTakeover {
    me: StorageBox,
    number: u64,
    loaded: Option<LoadedLog>,
    base: Option<VersionedPlan>,
    partners: Vec<StorageBox>,
    segment: NewSegment,
    state: TakeoverState,
}

impl EpochTakeover {
    /// Creates an attempt by box `me`.
    ///
    /// `number` is a random number, different for each attempt. `loaded` is the log that this box
    /// has in memory, if any; it need not be read from disk.
    pub const fn new(me: StorageBox, number: u64, loaded: Option<LoadedLog>) -> Self {
        Self {
            me,
            number,
            loaded,
            base: None,
            partners: Vec::new(),
            segment: NewSegment::EMPTY,
            state: TakeoverState::ReadingPlan,
        }
    }

    /// Returns the next step. [`TakeoverStep::Serve`] and [`TakeoverStep::Fail`] are final.
    pub fn step(&self) -> TakeoverStep {
        match &self.state {
            TakeoverState::ReadingPlan => TakeoverStep::ReadPlan,
            TakeoverState::Fetching => TakeoverStep::FetchSegments(self.base_segments()),
            TakeoverState::Loading => match &self.base {
                None => TakeoverStep::BeginEmpty,
                Some(base) => TakeoverStep::CloseAndRead {
                    epoch: base.plan.epoch.clone(),
                    sealed: base.plan.sealed.clone(),
                },
            },
            // The caller must call `set_partners` first, which leaves this state.
            TakeoverState::ChoosingPartners => TakeoverStep::Fail(TakeoverError::NoPartners),
            TakeoverState::Copying => TakeoverStep::Copy {
                epoch: self.epoch(),
                partners: self.partners.clone(),
                content: self.segment.content.clone(),
            },
            TakeoverState::Writing { .. } => TakeoverStep::WritePlan {
                base: self.base.as_ref().map(|base| base.revision),
                plan: self.plan(),
            },
            TakeoverState::Checking { .. } => TakeoverStep::CheckPlan,
            TakeoverState::Done(step) => step.clone(),
        }
    }

    /// Returns the plan that was read, if any.
    pub const fn base(&self) -> Option<&VersionedPlan> {
        self.base.as_ref()
    }

    /// Returns whether [`Self::set_partners`] must be called now.
    pub fn needs_partners(&self) -> bool {
        self.state == TakeoverState::ChoosingPartners
    }

    fn base_segments(&self) -> Vec<SealedSegment> {
        self.base.as_ref().map(|base| base.plan.sealed.clone()).unwrap_or_default()
    }

    fn epoch(&self) -> EpochId {
        let token =
            self.base.as_ref().map_or(FencingToken::default(), |base| base.plan.epoch.token);
        EpochId { token: token.next(), number: self.number, by: self.me.box_id.clone() }
    }

    fn plan(&self) -> ShardPlan {
        let copies = std::iter::once(self.me.clone()).chain(self.partners.iter().cloned());
        ShardPlan {
            epoch: self.epoch(),
            copies: copies.collect(),
            sealed: self.segment.sealed(self.base.as_ref().map(|base| &base.plan)),
        }
    }

    fn fail(&mut self, error: TakeoverError) {
        self.state = TakeoverState::Done(TakeoverStep::Fail(error));
    }

    /// Records the plan as read; `Err` if the store did not respond.
    pub fn plan_read(&mut self, read: Result<Option<VersionedPlan>, ()>) {
        match self.state {
            TakeoverState::ReadingPlan => self.handle_first_read(read),
            TakeoverState::Checking { tries } => self.handle_check(read, tries),
            _ => {}
        }
    }

    fn handle_first_read(&mut self, read: Result<Option<VersionedPlan>, ()>) {
        let Ok(base) = read else { return self.fail(TakeoverError::NoStore) };
        let me: &BoxId = &self.me.box_id;
        if base.as_ref().is_some_and(|base| base.plan.rank(me).is_none()) {
            return self.fail(TakeoverError::Superseded);
        }
        let epoch = base.as_ref().map(|base| &base.plan.epoch);
        let is_loaded = epoch.is_some() && epoch == self.loaded.as_ref().map(|log| &log.epoch);
        self.state = if is_loaded {
            TakeoverState::ChoosingPartners
        } else if base.as_ref().is_some_and(|base| !base.plan.sealed.is_empty()) {
            TakeoverState::Fetching
        } else {
            TakeoverState::Loading
        };
        if !is_loaded {
            self.loaded = None;
        }
        self.base = base;
    }

    fn handle_check(&mut self, read: Result<Option<VersionedPlan>, ()>, tries: u32) {
        match read {
            Ok(Some(current)) if current.plan == self.plan() => {
                let (revision, plan) = (current.revision, current.plan);
                self.state = TakeoverState::Done(TakeoverStep::Serve { revision, plan });
            }
            Ok(current) if self.is_rewritten(current.as_ref()) => {
                // Only the lists of copies were updated, so the records that were read and the new
                // segment are still valid. Writes conditional on the earlier revision can't be
                // applied any more.
                self.base = current;
                self.retry_write(tries);
            }
            Ok(current)
                if current.as_ref().map(|current| current.revision)
                    != self.base.as_ref().map(|base| base.revision) =>
            {
                self.fail(TakeoverError::Superseded);
            }
            // The write was not applied, or is still in flight. Repeating the same conditional
            // write is safe in both cases.
            Ok(_) | Err(()) => self.retry_write(tries),
        }
    }

    /// Returns whether `current` is a later revision of the plan that was read, with the same
    /// epoch.
    fn is_rewritten(&self, current: Option<&VersionedPlan>) -> bool {
        let (Some(base), Some(current)) = (&self.base, current) else { return false };
        current.revision != base.revision
            && current.plan.epoch == base.plan.epoch
            && current.plan.rank(&self.me.box_id).is_some()
    }

    fn retry_write(&mut self, tries: u32) {
        if tries >= PLAN_WRITE_RETRIES {
            return self.fail(TakeoverError::NoStore);
        }
        self.state = TakeoverState::Writing { tries: tries + 1 };
    }

    /// Records whether all sealed segments are on this box's disk.
    pub fn segments_fetched(&mut self, all: bool) {
        if all {
            self.state = TakeoverState::Loading;
        } else {
            self.fail(TakeoverError::NoSegment);
        }
    }

    /// Records that the log in memory is empty.
    pub fn emptied(&mut self) {
        self.loaded = None;
        self.state = TakeoverState::ChoosingPartners;
    }

    /// Records the log that was read; `None` if it can't be read.
    pub fn log_read(&mut self, loaded: Option<LoadedLog>) {
        if loaded.is_some() {
            self.loaded = loaded;
            self.state = TakeoverState::ChoosingPartners;
        } else {
            self.fail(TakeoverError::NoCopy);
        }
    }

    /// Sets the boxes for the other copies; `None` if there are too few. `oldest` is the oldest
    /// segment that jobs in memory need; `None` if there are no jobs.
    pub fn set_partners(
        &mut self,
        partners: Option<Vec<StorageBox>>,
        oldest: Option<FencingToken>,
    ) {
        let Some(partners) = partners else { return self.fail(TakeoverError::NoPartners) };
        self.partners = partners;
        if let (Some(base), Some(loaded)) = (&self.base, &self.loaded) {
            self.segment = NewSegment::after(&base.plan, loaded, oldest);
        }
        self.state = TakeoverState::Copying;
    }

    /// Records whether all copies of the new segment are on disk.
    pub fn copies_written(&mut self, all: bool) {
        if all {
            self.state = TakeoverState::Writing { tries: 0 };
        } else {
            self.fail(TakeoverError::CopyFailed);
        }
    }

    /// Records the outcome of the plan write.
    pub fn plan_written(&mut self, outcome: PlanWriteOutcome) {
        let TakeoverState::Writing { tries } = self.state else { return };
        match outcome {
            PlanWriteOutcome::Done(revision) => {
                let plan = self.plan();
                self.state = TakeoverState::Done(TakeoverStep::Serve { revision, plan });
            }
            PlanWriteOutcome::Conflict => self.state = TakeoverState::Checking { tries },
            PlanWriteOutcome::NoAnswer => self.retry_write(tries),
        }
    }
}
