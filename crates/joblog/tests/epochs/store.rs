//! Model of the platform's store: conditional writes whose responses may be lost or whose effect
//! may be late.

use joblog::{PlanWriteOutcome, ShardPlan, VersionedPlan};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

#[derive(Default)]
pub struct Store {
    pub plan: Option<VersionedPlan>,
    revision: u64,
    /// Writes whose response was lost, applied later if their condition still holds.
    pub late: Vec<(Option<u64>, ShardPlan)>,
    /// Number of calls that still get no response: more than a takeover repeats its write.
    outage: u32,
}

/// Calls without a response in an outage.
const OUTAGE_CALLS: u32 = 12;

impl Store {
    pub fn revision(&self) -> Option<u64> {
        self.plan.as_ref().map(|read| read.revision)
    }

    fn apply(&mut self, base: Option<u64>, plan: &ShardPlan) -> PlanWriteOutcome {
        if self.revision() != base {
            return PlanWriteOutcome::Conflict;
        }
        self.revision += 1;
        self.plan = Some(VersionedPlan { revision: self.revision, plan: plan.clone() });
        PlanWriteOutcome::Done(self.revision)
    }

    pub const fn start_outage(&mut self) {
        self.outage = OUTAGE_CALLS;
    }

    /// Reads the plan, unless the response is lost.
    pub fn read(&mut self, rng: &mut ChaCha8Rng) -> Result<Option<VersionedPlan>, ()> {
        if self.is_out() || rng.random_ratio(1, 10) { Err(()) } else { Ok(self.plan.clone()) }
    }

    fn is_out(&mut self) -> bool {
        let is_out = self.outage > 0;
        self.outage = self.outage.saturating_sub(1);
        is_out
    }

    /// Writes the plan, unless the request or its response is lost or late.
    pub fn write(
        &mut self,
        rng: &mut ChaCha8Rng,
        base: Option<u64>,
        plan: &ShardPlan,
    ) -> PlanWriteOutcome {
        let fate = rng.random_range(0..if self.is_out() { 3 } else { 10 });
        match fate {
            0 => PlanWriteOutcome::NoAnswer,
            1 => {
                self.apply(base, plan);
                PlanWriteOutcome::NoAnswer
            }
            2 => {
                self.late.push((base, plan.clone()));
                PlanWriteOutcome::NoAnswer
            }
            _ => self.apply(base, plan),
        }
    }

    pub fn apply_late(&mut self) {
        if let Some((base, plan)) = self.late.pop() {
            self.apply(base, &plan);
        }
    }

    /// Plans that may come into force without a further step of a box.
    pub fn pending(&self) -> impl Iterator<Item = &ShardPlan> {
        let revision = self.revision();
        self.late.iter().filter(move |(base, _)| *base == revision).map(|(_, plan)| plan)
    }
}
