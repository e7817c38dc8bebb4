//! Which target gets a caller's request, with regard to what is known of its work.

use std::sync::Arc;

use ids::{InstanceId, WorkDigest};
use rand::Rng;
use routing::{Route, TargetRequirements};

use crate::{NodeView, SlotGuard, WorkAdmission};

/// What a request needs of the choice.
#[derive(Debug)]
pub struct WorkRequirements<'a> {
    /// Its work.
    pub work: WorkDigest,
    /// Targets that were tried.
    pub tried: &'a [InstanceId],
    /// Whether one of these is better than none.
    pub allow_tried: bool,
    /// Whether nobody waits for this one call.
    pub is_background: bool,
}

/// Where a request goes next.
#[derive(Debug)]
pub enum TargetChoice {
    /// To this target, where its place is taken.
    Target(SlotGuard),
    /// No target takes it now.
    None,
    /// Nowhere: it ends the targets that run it.
    Quarantined,
}

/// Chooses a target of the route's service.
pub fn choose_target(
    view: &Arc<NodeView>,
    route: &Route,
    need: &WorkRequirements<'_>,
) -> TargetChoice {
    let mut rng = rand::rng();
    let Some(service) = route.service(rng.random()) else { return TargetChoice::None };
    let WorkAdmission::Open(barred) = view.admit_work(need.work, service, need.is_background)
    else {
        return TargetChoice::Quarantined;
    };
    let anti_affinity = view.suspects().anti_affinity(need.work);
    let now = view.now();
    let mut board = view.target_table();
    let mut among = |avoid: &[InstanceId]| {
        let need = TargetRequirements { avoid, ..TargetRequirements::default() };
        board.choose(now, service, &need, &mut rng)
    };
    // Rather beside other work under suspicion than nowhere new, and rather the same target again than none.
    let apart = [&barred, anti_affinity.targets.as_slice()].concat();
    let mut slot = among(&[need.tried, &apart].concat());
    if !anti_affinity.required {
        slot = slot.or_else(|| among(&[need.tried, &barred].concat()));
    }
    if need.allow_tried {
        let last = if anti_affinity.required { &apart } else { &barred };
        slot = slot.or_else(|| among(last));
    }
    drop(board);
    slot.map_or(TargetChoice::None, |slot| {
        TargetChoice::Target(SlotGuard::new(view, need.work, slot))
    })
}
