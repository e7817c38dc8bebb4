//! The steps by which a box takes a shard over, without I/O.
//!
//! A shell asks for the next step, carries it out, and tells how it ended. The order of steps is
//! what keeps acknowledged records: the own copy is closed before it is read, all new copies are
//! on disk before the plan is written, and the plan is written only in place of the one read.

use ids::{BoxId, FencingToken};

use crate::{EpochId, ShardPlan, StorageBox};

/// A plan as read, with the revision that a conditional write must name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedPlan {
    /// Its revision.
    pub revision: u64,
    /// The plan.
    pub plan: ShardPlan,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Read the plan from the store, not from a copy that may be old.
    ReadPlan,
    /// Begin with no records.
    BeginEmpty,
    /// Close this box's copy of the epoch for appends, then read it.
    CloseAndRead(EpochId),
    /// Write everything that is held to new copies here and at the partners, on disk.
    Copy {
        /// The new epoch.
        epoch: EpochId,
        /// The boxes with the other copies.
        partners: Vec<StorageBox>,
    },
    /// Write the plan in place of the one of this revision, or as the first.
    WritePlan {
        /// Revision of the plan that was read; `None` when there was none.
        base: Option<u64>,
        /// The new plan.
        plan: ShardPlan,
    },
    /// Read the plan to learn whether an earlier write was done.
    CheckPlan,
    /// Serve under this plan.
    Serve {
        /// Its revision.
        revision: u64,
        /// The plan.
        plan: ShardPlan,
    },
    /// Give it up for now.
    Fail(TakeoverError),
}

/// Why a shard was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TakeoverError {
    /// The store did not answer.
    #[error("the store does not answer")]
    NoStore,
    /// Another box serves the shard under a plan that this box has no copy of.
    #[error("another plan is in force")]
    Superseded,
    /// The own copy cannot be read.
    #[error("the own copy cannot be read")]
    NoCopy,
    /// Too few other boxes are heard to hold the copies.
    #[error("too few other boxes are heard")]
    NoPartners,
    /// A new copy is not on disk everywhere.
    #[error("a new copy was not taken")]
    CopyFailed,
}

/// How the write of a plan ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanWriteOutcome {
    /// It was done, under this revision.
    Done(u64),
    /// Another plan, or this one by an earlier try, is there already.
    Conflict,
    /// Nobody knows, or nothing was done.
    NoAnswer,
}

/// Tries to learn whether a plan was taken before everything begins anew.
const PLAN_TRIES: u32 = 8;

#[derive(Debug, Clone, PartialEq, Eq)]
enum FormState {
    Read,
    Base,
    Partners,
    Copying,
    Writing { tries: u32 },
    Checking { tries: u32 },
    Done(TakeoverStep),
}

/// One try to take a shard over.
#[derive(Debug, Clone)]
pub struct EpochTakeover {
    me: StorageBox,
    number: u64,
    /// The epoch whose acknowledged records the box holds in memory.
    book_epoch: Option<EpochId>,
    base: Option<VersionedPlan>,
    partners: Vec<StorageBox>,
    state: FormState,
}

impl EpochTakeover {
    /// A try by `me`; `number` is drawn anew for each try, and `book_epoch` is the epoch that
    /// this box has served until now, if it still holds its records.
    pub const fn new(me: StorageBox, number: u64, book_epoch: Option<EpochId>) -> Self {
        Self { me, number, book_epoch, base: None, partners: Vec::new(), state: FormState::Read }
    }

    /// The next step. [`TakeoverStep::Serve`] and [`TakeoverStep::Fail`] are last.
    pub fn step(&self) -> TakeoverStep {
        match &self.state {
            FormState::Read => TakeoverStep::ReadPlan,
            FormState::Base => match &self.base {
                None => TakeoverStep::BeginEmpty,
                Some(base) => TakeoverStep::CloseAndRead(base.plan.epoch.clone()),
            },
            // Asked for through `set_partners`, which ends this state.
            FormState::Partners => TakeoverStep::Fail(TakeoverError::NoPartners),
            FormState::Copying => {
                TakeoverStep::Copy { epoch: self.epoch(), partners: self.partners.clone() }
            }
            FormState::Writing { .. } => TakeoverStep::WritePlan {
                base: self.base.as_ref().map(|base| base.revision),
                plan: self.plan(),
            },
            FormState::Checking { .. } => TakeoverStep::CheckPlan,
            FormState::Done(step) => step.clone(),
        }
    }

    /// The plan that was read, once it was.
    pub const fn base(&self) -> Option<&VersionedPlan> {
        self.base.as_ref()
    }

    /// Whether the partners are to be chosen now.
    pub fn needs_partners(&self) -> bool {
        self.state == FormState::Partners
    }

    fn epoch(&self) -> EpochId {
        let token =
            self.base.as_ref().map_or(FencingToken::default(), |base| base.plan.epoch.token);
        EpochId { token: token.next(), number: self.number, by: self.me.box_id.clone() }
    }

    fn plan(&self) -> ShardPlan {
        let copies = std::iter::once(self.me.clone()).chain(self.partners.iter().cloned());
        ShardPlan { epoch: self.epoch(), copies: copies.collect() }
    }

    fn fail(&mut self, fault: TakeoverError) {
        self.state = FormState::Done(TakeoverStep::Fail(fault));
    }

    /// Takes the plan as read; `Err` when the store did not answer.
    pub fn plan_read(&mut self, read: Result<Option<VersionedPlan>, ()>) {
        match self.state {
            FormState::Read => self.first_read(read),
            FormState::Checking { tries } => self.checked(read, tries),
            _ => {}
        }
    }

    fn first_read(&mut self, read: Result<Option<VersionedPlan>, ()>) {
        let Ok(base) = read else { return self.fail(TakeoverError::NoStore) };
        let me: &BoxId = &self.me.box_id;
        if base.as_ref().is_some_and(|base| base.plan.rank(me).is_none()) {
            return self.fail(TakeoverError::Superseded);
        }
        let epoch = base.as_ref().map(|base| base.plan.epoch.clone());
        let held = epoch.is_some() && epoch == self.book_epoch;
        self.base = base;
        self.state = if held { FormState::Partners } else { FormState::Base };
    }

    fn checked(&mut self, read: Result<Option<VersionedPlan>, ()>, tries: u32) {
        match read {
            Ok(Some(current)) if current.plan == self.plan() => {
                let (revision, plan) = (current.revision, current.plan);
                self.state = FormState::Done(TakeoverStep::Serve { revision, plan });
            }
            Ok(current)
                if current.as_ref().map(|current| current.revision)
                    != self.base.as_ref().map(|base| base.revision) =>
            {
                self.fail(TakeoverError::Superseded);
            }
            // As before the write: it was not done, or will be done late; the same write again
            // settles it either way.
            Ok(_) | Err(()) => self.write_again(tries),
        }
    }

    fn write_again(&mut self, tries: u32) {
        if tries >= PLAN_TRIES {
            return self.fail(TakeoverError::NoStore);
        }
        self.state = FormState::Writing { tries: tries + 1 };
    }

    /// Takes whether the records to begin with are in memory.
    pub fn base_loaded(&mut self, read: bool) {
        if read {
            self.state = FormState::Partners;
        } else {
            self.fail(TakeoverError::NoCopy);
        }
    }

    /// Takes the boxes for the other copies; `None` when there are too few.
    pub fn set_partners(&mut self, partners: Option<Vec<StorageBox>>) {
        match partners {
            Some(partners) => {
                self.partners = partners;
                self.state = FormState::Copying;
            }
            None => self.fail(TakeoverError::NoPartners),
        }
    }

    /// Takes whether all new copies are on disk.
    pub fn copies_written(&mut self, all: bool) {
        if all {
            self.state = FormState::Writing { tries: 0 };
        } else {
            self.fail(TakeoverError::CopyFailed);
        }
    }

    /// Takes how the write of the plan ended.
    pub fn plan_written(&mut self, end: PlanWriteOutcome) {
        let FormState::Writing { tries } = self.state else { return };
        match end {
            PlanWriteOutcome::Done(revision) => {
                let plan = self.plan();
                self.state = FormState::Done(TakeoverStep::Serve { revision, plan });
            }
            PlanWriteOutcome::Conflict => self.state = FormState::Checking { tries },
            PlanWriteOutcome::NoAnswer => self.write_again(tries),
        }
    }
}
