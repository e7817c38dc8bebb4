//! Chooses a target for a request. Keeps suspected work apart and rejects quarantined work.

use std::sync::Arc;

use ids::{InstanceId, WorkDigest};
use rand::Rng;
use routing::{Route, TargetRequirements};

use crate::{NodeView, SlotGuard, WorkAdmission};

/// Requirements of a request on its target.
#[derive(Debug)]
pub struct WorkRequirements<'a> {
    /// Digest of the work.
    pub work: WorkDigest,
    /// Targets that were tried already.
    pub tried: &'a [InstanceId],
    /// Whether a tried target may be chosen if there is no other.
    pub allow_tried: bool,
    /// Whether no caller waits for this call.
    pub is_background: bool,
}

/// Result of [`choose_target`].
#[derive(Debug)]
pub enum TargetChoice {
    /// This target, with a slot acquired.
    Target(SlotGuard),
    /// No target is available now.
    None,
    /// The work is quarantined because it crashes targets.
    Quarantined,
}

/// Chooses a target of the route's service.
pub fn choose_target(
    view: &Arc<NodeView>,
    route: &Route,
    requirements: &WorkRequirements<'_>,
) -> TargetChoice {
    let mut rng = rand::rng();
    let Some(service) = route.service(rng.random()) else { return TargetChoice::None };
    let WorkAdmission::Open(excluded) =
        view.admit_work(requirements.work, service, requirements.is_background)
    else {
        return TargetChoice::Quarantined;
    };
    let anti_affinity = view.suspects().anti_affinity(requirements.work);
    let now = view.now();
    let mut targets = view.target_table();
    let mut choose = |avoid: &[InstanceId]| {
        let target_requirements = TargetRequirements { avoid, ..TargetRequirements::default() };
        targets.choose(now, service, &target_requirements, &mut rng)
    };
    // Prefers untried targets without other suspected work, then other untried ones, then tried
    // ones.
    let excluded_or_suspect = [&excluded, anti_affinity.targets.as_slice()].concat();
    let mut chosen = choose(&[requirements.tried, &excluded_or_suspect].concat());
    if !anti_affinity.required {
        chosen = chosen.or_else(|| choose(&[requirements.tried, &excluded].concat()));
    }
    if requirements.allow_tried {
        let avoid = if anti_affinity.required { &excluded_or_suspect } else { &excluded };
        chosen = chosen.or_else(|| choose(avoid));
    }
    drop(targets);
    chosen.map_or(TargetChoice::None, |target| {
        TargetChoice::Target(SlotGuard::new(view, requirements.work, target))
    })
}
