//! Chooses a target for a sample or a plain request.
//!
//! Responses of a target's home carry its load, limit and weight version. The keeper adds the work
//! that it placed since then. Only a few candidates of the pool are compared, so the cost does not
//! depend on the size of the pool.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ids::{ModelVersion, Moment, TargetId, VersionWindow};
use rand::Rng;

/// Maximum number of candidates compared for one sample.
pub const CANDIDATES: usize = 8;
/// Backoff after the first failure; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A keeper exceeds a target's limit by this fraction (1/n), so that the next sample already waits
/// at the home when a slot becomes free.
const OVERCOMMIT_DIVISOR: u32 = 8;
/// How long a reported version is considered current.
const VERSION_TTL: Duration = Duration::from_millis(300);
/// Limit assumed for an engine until its home reports one.
const DEFAULT_ENGINE_LIMIT: u32 = 4;

/// Load information in responses of a target's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetHint {
    /// Requests running at the target.
    pub running: u32,
    /// Requests waiting at the home.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub limit: u32,
    /// Weight version of the target, if known.
    pub version: Option<ModelVersion>,
}

/// Strategy for choosing targets. Receives the outcome of all placed work.
pub trait PlacementPolicy: fmt::Debug {
    /// Chooses a target from `pool` for work that accepts versions of `window`. `None` if no target
    /// is usable now.
    fn choose<'a>(
        &mut self,
        now: Moment,
        pool: &'a [TargetId],
        window: Option<VersionWindow>,
        rng: &mut impl Rng,
    ) -> Option<&'a TargetId>;

    /// Sets the limit assumed for targets whose home has not reported one.
    fn assume_limit(&mut self, limit: u32);

    /// Returns the earliest end of a backoff after `now`.
    fn next_backoff_end(&self, now: Moment) -> Option<Moment>;

    /// Records work placed at a target.
    fn placed(&mut self, id: &TargetId);

    /// Records that placed work ended, whether it succeeded or not.
    fn ended(&mut self, id: &TargetId);

    /// Records a hint from the target's home.
    fn hinted(&mut self, now: Moment, id: &TargetId, hint: &TargetHint);

    /// Records a success, which ends the backoff.
    fn succeeded(&mut self, id: &TargetId);

    /// Records a failure, which starts or extends the backoff.
    fn failed(&mut self, now: Moment, id: &TargetId);

    /// Records a refusal that must not be retried before `retry_after`.
    fn refused(&mut self, now: Moment, id: &TargetId, retry_after: Duration);
}

#[derive(Debug, Clone, Default)]
struct TargetView {
    /// Requests placed by this keeper and still running or waiting.
    own_requests: u32,
    /// Requests of others at the time of the last hint.
    other_requests: u32,
    limit: Option<u32>,
    version: Option<(ModelVersion, Moment)>,
    failures: u32,
    backoff_until: Moment,
}

/// One keeper's view of the targets of its pool.
#[derive(Debug, Clone)]
pub struct TargetChooser {
    views: BTreeMap<TargetId, TargetView>,
    assumed_limit: u32,
}

impl Default for TargetChooser {
    fn default() -> Self {
        Self::with_assumed_limit(DEFAULT_ENGINE_LIMIT)
    }
}

impl PlacementPolicy for TargetChooser {
    fn choose<'a>(
        &mut self,
        now: Moment,
        pool: &'a [TargetId],
        window: Option<VersionWindow>,
        rng: &mut impl Rng,
    ) -> Option<&'a TargetId> {
        let count = pool.len().min(CANDIDATES);
        let start = if pool.is_empty() { 0 } else { rng.random_range(0..pool.len()) };
        // Strides from a random start: visits distinct targets without a shuffle or an allocation.
        (0..count)
            .map(|offset| (start + offset * stride(pool.len())) % pool.len())
            .map(|index| &pool[index])
            .filter(|id| self.is_usable(now, id, window))
            .min_by_key(|id| self.load(id))
    }

    fn assume_limit(&mut self, limit: u32) {
        self.assumed_limit = limit;
    }

    fn next_backoff_end(&self, now: Moment) -> Option<Moment> {
        self.views.values().map(|view| view.backoff_until).filter(|until| *until > now).min()
    }

    fn placed(&mut self, id: &TargetId) {
        self.views.entry(id.clone()).or_default().own_requests += 1;
    }

    fn ended(&mut self, id: &TargetId) {
        if let Some(view) = self.views.get_mut(id) {
            view.own_requests = view.own_requests.saturating_sub(1);
        }
    }

    fn hinted(&mut self, now: Moment, id: &TargetId, hint: &TargetHint) {
        let view = self.views.entry(id.clone()).or_default();
        view.other_requests = (hint.running + hint.waiting).saturating_sub(view.own_requests);
        view.limit = Some(hint.limit);
        view.version = hint.version.map(|version| (version, now)).or(view.version);
    }

    fn succeeded(&mut self, id: &TargetId) {
        let view = self.views.entry(id.clone()).or_default();
        view.failures = 0;
        view.backoff_until = Moment::START;
    }

    fn failed(&mut self, now: Moment, id: &TargetId) {
        let view = self.views.entry(id.clone()).or_default();
        let backoff =
            FIRST_BACKOFF.saturating_mul(1_u32.checked_shl(view.failures).unwrap_or(u32::MAX));
        view.failures = (view.failures + 1).min(16);
        view.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    fn refused(&mut self, now: Moment, id: &TargetId, retry_after: Duration) {
        let view = self.views.entry(id.clone()).or_default();
        view.backoff_until = view.backoff_until.max(now + retry_after);
    }
}

impl TargetChooser {
    /// Creates a chooser that assumes `assumed_limit` for targets whose home has not reported a
    /// limit.
    pub const fn with_assumed_limit(assumed_limit: u32) -> Self {
        Self { views: BTreeMap::new(), assumed_limit }
    }

    /// Chooses the target whose backoff ends first among those that are not full. Fallback for when
    /// all targets are backed off.
    pub fn choose_backed_off<'a>(&self, pool: &'a [TargetId]) -> Option<&'a TargetId> {
        let backoff_end = |id: &TargetId| self.views.get(id).map(|view| view.backoff_until);
        pool.iter().filter(|id| !self.is_full(id)).min_by_key(|id| backoff_end(id))
    }

    fn is_usable(&self, now: Moment, id: &TargetId, window: Option<VersionWindow>) -> bool {
        let Some(view) = self.views.get(id) else {
            return true;
        };
        if now < view.backoff_until {
            return false;
        }
        // After `VERSION_TTL` the version may have changed, and the home decides.
        let is_outside_window = |(version, reported_at): (ModelVersion, Moment)| {
            now.since(reported_at) < VERSION_TTL
                && window.is_some_and(|window| !window.contains(version))
        };
        if view.version.is_some_and(is_outside_window) {
            return false;
        }
        !self.is_full(id)
    }

    fn is_full(&self, id: &TargetId) -> bool {
        let Some(view) = self.views.get(id) else { return false };
        let limit = view.limit.unwrap_or(self.assumed_limit);
        view.own_requests + view.other_requests >= limit + limit.div_ceil(OVERCOMMIT_DIVISOR)
    }

    /// Load in thousandths of the limit, to compare targets with different limits.
    fn load(&self, id: &TargetId) -> u32 {
        let Some(view) = self.views.get(id) else {
            return 0;
        };
        let limit = view.limit.unwrap_or(self.assumed_limit).max(1);
        (view.own_requests + view.other_requests).saturating_mul(1_000) / limit
    }
}

/// Returns a stride coprime to `len`, so that it visits distinct targets.
fn stride(len: usize) -> usize {
    /// A prime, so coprime to every `len` that is not a multiple of it.
    const STRIDE: usize = 7_919;
    if len.is_multiple_of(STRIDE) { 1 } else { STRIDE }
}
