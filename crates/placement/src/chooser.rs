//! Picks a target for a sample.
//!
//! What a keeper knows of a target comes with the answers of the target's home: how many run,
//! how many wait, the limit, the version. The keeper corrects it by what it placed since. The
//! candidates are a few drawn from the pool, so the cost does not grow with the fleet.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ids::{ModelVersion, Moment, TargetId, VersionWindow};
use rand::Rng;

/// Candidates weighed for one sample.
pub const CANDIDATES: usize = 8;
/// How long a target is left alone after its first failure; doubles with each further one.
const FIRST_PENALTY: Duration = Duration::from_millis(200);
/// Longest time a failing target is left alone.
const MOST_PENALTY: Duration = Duration::from_secs(5);
/// Work a keeper places beyond a target's limit, as one part in this many, so that the next
/// sample is at the home when a place falls free.
const AHEAD_PARTS: u32 = 8;
/// How long a version told by a home is believed.
const VERSION_TRUST: Duration = Duration::from_millis(300);
/// The limit assumed of an engine before its home has told its own.
const FIRST_ENGINE_LIMIT: u32 = 4;

/// What a target's home says along with its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetHint {
    /// Asks running at the target.
    pub running: u32,
    /// Asks waiting at its home.
    pub waiting: u32,
    /// How many may run at once.
    pub limit: u32,
    /// The version it holds, if that is known.
    pub version: Option<ModelVersion>,
}

/// A way to choose targets, told what becomes of the work placed.
pub trait PlacementPolicy: fmt::Debug {
    /// Picks from `pool` for work that needs a version of `window`, if any; `None` when the
    /// work had better wait.
    fn choose<'a>(
        &mut self,
        now: Moment,
        pool: &'a [TargetId],
        window: Option<VersionWindow>,
        rng: &mut impl Rng,
    ) -> Option<&'a TargetId>;

    /// Sets the limit to assume of targets whose home has not told its own yet.
    fn assume_limit(&mut self, limit: u32);

    /// When a target that rests may be tried again.
    fn next_backoff_end(&self, now: Moment) -> Option<Moment>;

    /// Notes work placed at a target.
    fn placed(&mut self, id: &TargetId);

    /// Notes that placed work ended, well or not.
    fn ended(&mut self, id: &TargetId);

    /// Takes a hint from the target's home.
    fn hinted(&mut self, now: Moment, id: &TargetId, hint: &TargetHint);

    /// Notes good work.
    fn succeeded(&mut self, id: &TargetId);

    /// Notes a failure.
    fn failed(&mut self, now: Moment, id: &TargetId);

    /// Notes a refusal that asks to come back later.
    fn refused(&mut self, now: Moment, id: &TargetId, retry_after: Duration);
}

#[derive(Debug, Clone, Default)]
struct TargetView {
    /// Samples placed by this keeper and not ended.
    mine: u32,
    /// Asks of others, at the time of the last hint.
    others: u32,
    limit: Option<u32>,
    version: Option<(ModelVersion, Moment)>,
    failures: u32,
    rest_until: Moment,
}

/// A keeper's view of the targets of its pool.
#[derive(Debug, Clone)]
pub struct TargetChooser {
    views: BTreeMap<TargetId, TargetView>,
    first_limit: u32,
}

impl Default for TargetChooser {
    fn default() -> Self {
        Self::with_first_limit(FIRST_ENGINE_LIMIT)
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
        // A run from a random start: no shuffle, no allocation, and all of a small pool.
        (0..count)
            .map(|offset| (start + offset * stride(pool.len())) % pool.len())
            .map(|index| &pool[index])
            .filter(|id| self.is_usable(now, id, window))
            .min_by_key(|id| self.load(id))
    }

    fn assume_limit(&mut self, limit: u32) {
        self.first_limit = limit;
    }

    fn next_backoff_end(&self, now: Moment) -> Option<Moment> {
        self.views.values().map(|view| view.rest_until).filter(|until| *until > now).min()
    }

    fn placed(&mut self, id: &TargetId) {
        self.views.entry(id.clone()).or_default().mine += 1;
    }

    fn ended(&mut self, id: &TargetId) {
        if let Some(view) = self.views.get_mut(id) {
            view.mine = view.mine.saturating_sub(1);
        }
    }

    fn hinted(&mut self, now: Moment, id: &TargetId, hint: &TargetHint) {
        let view = self.views.entry(id.clone()).or_default();
        view.others = (hint.running + hint.waiting).saturating_sub(view.mine);
        view.limit = Some(hint.limit);
        view.version = hint.version.map(|version| (version, now)).or(view.version);
    }

    fn succeeded(&mut self, id: &TargetId) {
        let view = self.views.entry(id.clone()).or_default();
        view.failures = 0;
        view.rest_until = Moment::START;
    }

    fn failed(&mut self, now: Moment, id: &TargetId) {
        let view = self.views.entry(id.clone()).or_default();
        let rest =
            FIRST_PENALTY.saturating_mul(1_u32.checked_shl(view.failures).unwrap_or(u32::MAX));
        view.failures = (view.failures + 1).min(16);
        view.rest_until = now + rest.min(MOST_PENALTY);
    }

    fn refused(&mut self, now: Moment, id: &TargetId, retry_after: Duration) {
        let view = self.views.entry(id.clone()).or_default();
        view.rest_until = view.rest_until.max(now + retry_after);
    }
}

impl TargetChooser {
    /// A chooser that takes targets to allow `first_limit` requests until their homes say
    /// otherwise.
    pub const fn with_first_limit(first_limit: u32) -> Self {
        Self { views: BTreeMap::new(), first_limit }
    }

    /// Picks although every target rests: the one whose rest ends first. Resting must never
    /// leave a service without any target.
    pub fn choose_backed_off<'a>(&self, pool: &'a [TargetId]) -> Option<&'a TargetId> {
        let rest_end = |id: &TargetId| self.views.get(id).map(|view| view.rest_until);
        pool.iter().filter(|id| !self.is_full(id)).min_by_key(|id| rest_end(id))
    }

    fn is_usable(&self, now: Moment, id: &TargetId, window: Option<VersionWindow>) -> bool {
        let Some(view) = self.views.get(id) else {
            return true;
        };
        if now < view.rest_until {
            return false;
        }
        // A version seen a moment ago is believed; later the home is asked anew.
        let unfit = |(version, seen_at): (ModelVersion, Moment)| {
            now.since(seen_at) < VERSION_TRUST
                && window.is_some_and(|window| !window.contains(version))
        };
        if view.version.is_some_and(unfit) {
            return false;
        }
        !self.is_full(id)
    }

    fn is_full(&self, id: &TargetId) -> bool {
        let Some(view) = self.views.get(id) else { return false };
        let limit = view.limit.unwrap_or(self.first_limit);
        view.mine + view.others >= limit + limit.div_ceil(AHEAD_PARTS)
    }

    /// Load in thousandths of the limit, so that unequal targets compare.
    fn load(&self, id: &TargetId) -> u32 {
        let Some(view) = self.views.get(id) else {
            return 0;
        };
        let limit = view.limit.unwrap_or(self.first_limit).max(1);
        (view.mine + view.others).saturating_mul(1_000) / limit
    }
}

/// A step through the pool that visits distinct targets: one that shares no factor with `len`.
fn stride(len: usize) -> usize {
    /// Prime, and larger than any pool's common factors are likely to matter.
    const STRIDE: usize = 7_919;
    if len.is_multiple_of(STRIDE) { 1 } else { STRIDE }
}
