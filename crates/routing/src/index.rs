//! Which targets a choice looks at.
//!
//! A choice that looks at every target of a service costs more with each target that is added, and holds the
//! box's lock for as long. So targets are indexed by what work asks for, the version of a model, and where more of
//! them fit than a look takes, it takes some by chance: the best of many is hardly better than the best of those.
//! Beside them it looks at those that did work last, since connections to them are open.

use std::collections::{BTreeMap, HashMap};

use ids::{InstanceId, ModelName, ModelVersion, ServiceName};
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::index;

use crate::{HeldModel, TargetRequirements};

/// Targets that one choice looks at, beside those that did work last.
pub const MOST_LOOKED: usize = 64;
/// Targets that did work last and are looked at, too: as many as a server of a shard keeps at work.
const MOST_RECENT: usize = 128;

#[derive(Debug, Default)]
struct ServiceIndex {
    all: IndexSet<InstanceId>,
    /// Those that did work last, the latest at the end.
    recent: IndexSet<InstanceId>,
    holders: HashMap<ModelName, BTreeMap<ModelVersion, IndexSet<InstanceId>>>,
}

/// The targets by service, and by the versions that they hold.
#[derive(Debug, Default)]
pub(crate) struct TargetIndex(HashMap<ServiceName, ServiceIndex>);

impl TargetIndex {
    /// Adds a target with the models that it holds.
    pub fn insert(&mut self, service: &ServiceName, instance: &InstanceId, models: &[HeldModel]) {
        let of_service = self.0.entry(service.clone()).or_default();
        of_service.all.insert(instance.clone());
        for held in models {
            let versions = of_service.holders.entry(held.model.clone()).or_default();
            versions.entry(held.version).or_default().insert(instance.clone());
        }
    }

    /// Takes a target off, with the models that it was said to hold.
    pub fn remove(&mut self, service: &ServiceName, instance: &InstanceId, models: &[HeldModel]) {
        let Some(of_service) = self.0.get_mut(service) else { return };
        of_service.all.swap_remove(instance);
        of_service.recent.shift_remove(instance);
        for held in models {
            let Some(versions) = of_service.holders.get_mut(&held.model) else { continue };
            let Some(holders) = versions.get_mut(&held.version) else { continue };
            holders.swap_remove(instance);
            if holders.is_empty() {
                versions.remove(&held.version);
            }
        }
    }

    /// Notes that a target has done work.
    pub fn worked(&mut self, service: &ServiceName, instance: &InstanceId) {
        let Some(of_service) = self.0.get_mut(service) else { return };
        if of_service.all.len() <= MOST_LOOKED {
            return;
        }
        of_service.recent.shift_remove(instance);
        of_service.recent.insert(instance.clone());
        if of_service.recent.len() > MOST_RECENT {
            of_service.recent.shift_remove_index(0);
        }
    }

    /// Whether a service has more targets than a choice looks at.
    pub fn is_large(&self, service: &ServiceName) -> bool {
        self.0.get(service).is_some_and(|of_service| of_service.all.len() > MOST_LOOKED)
    }

    /// All targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &InstanceId> {
        self.0.get(service).into_iter().flat_map(|of_service| &of_service.all)
    }

    /// The targets that a choice looks at: all of a small service; of a larger one those that hold what is
    /// needed, and of these no more than [`MOST_LOOKED`], and those that did work last.
    pub fn looked(
        &self,
        service: &ServiceName,
        need: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&InstanceId> {
        let Some(of_service) = self.0.get(service) else { return Vec::new() };
        if of_service.all.len() <= MOST_LOOKED {
            return of_service.all.iter().collect();
        }
        let mut looked = match need.model {
            None => sample(&[&of_service.all], rng),
            Some((model, floor)) => {
                let Some(versions) = of_service.holders.get(model) else { return Vec::new() };
                let fitting: Vec<_> = versions.range(floor..).map(|(_, holders)| holders).collect();
                sample(&fitting, rng)
            }
        };
        // Those that do not fit are left out by the choice; one that stands twice does no harm.
        looked.extend(&of_service.recent);
        looked
    }
}

/// All members of the sets, or some by chance where there are many.
fn sample<'a>(sets: &[&'a IndexSet<InstanceId>], rng: &mut impl Rng) -> Vec<&'a InstanceId> {
    let total: usize = sets.iter().map(|set| set.len()).sum();
    if total <= MOST_LOOKED {
        return sets.iter().copied().flatten().collect();
    }
    let picked = index::sample(rng, total, MOST_LOOKED);
    picked.iter().filter_map(|at| member(sets, at)).collect()
}

/// The member at a position of all sets, one after the other.
fn member<'a>(sets: &[&'a IndexSet<InstanceId>], mut at: usize) -> Option<&'a InstanceId> {
    for set in sets {
        if at < set.len() {
            return set.get_index(at);
        }
        at -= set.len();
    }
    None
}
