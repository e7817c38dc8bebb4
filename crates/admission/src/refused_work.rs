//! Recognises callers that return after a refusal.
//!
//! The response time goal of a caller counts from its first try, but each try has another id and
//! may reach another box. The digest of the work stays the same.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ids::{Moment, WorkDigest};

/// How long refused work is remembered. Callers return within their deadline, usually one or two
/// seconds.
const MEMORY_TTL: Duration = Duration::from_secs(4);
/// Maximum number of remembered refusals.
const MAX_REMEMBERED: usize = 8_192;

/// First arrivals of recently refused work.
#[derive(Debug, Clone, Default)]
pub struct RefusedWork {
    first_arrivals: HashMap<WorkDigest, Moment>,
    /// Time of the first refusal of each remembered work, the oldest first.
    refusals: VecDeque<(Moment, WorkDigest)>,
}

impl RefusedWork {
    /// When the work arrived first, as far as this is remembered.
    pub fn first_arrival(&mut self, now: Moment, work: WorkDigest) -> Moment {
        self.forget_old(now);
        self.first_arrivals.get(&work).copied().unwrap_or(now)
    }

    /// Remembers the refusal of work that arrived first at `arrived_at`.
    pub fn record(&mut self, now: Moment, work: WorkDigest, arrived_at: Moment) {
        self.forget_old(now);
        if self.first_arrivals.len() < MAX_REMEMBERED
            && self.first_arrivals.insert(work, arrived_at).is_none()
        {
            self.refusals.push_back((now, work));
        }
    }

    fn forget_old(&mut self, now: Moment) {
        while let Some((at, work)) = self.refusals.front().copied()
            && now.since(at) >= MEMORY_TTL
        {
            self.refusals.pop_front();
            self.first_arrivals.remove(&work);
        }
    }
}
