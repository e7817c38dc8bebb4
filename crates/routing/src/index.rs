//! Selects the targets that are considered for a request.
//!
//! Comparing all targets of a service takes time proportional to their number, while the lock of
//! the target table is held. Targets are therefore indexed by model version. If more than
//! [`MAX_CANDIDATES`] of them qualify, a random sample is compared: its best target is nearly as
//! good as the best of all. Recently used targets are added to the sample because their connections
//! are still open.

use std::collections::{BTreeMap, HashMap};

use ids::{InstanceId, ModelName, ModelVersion, ServiceName};
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::index;

use crate::{HeldModel, TargetRequirements};

/// Maximum number of sampled targets per choice; recently used targets come on top.
pub const MAX_CANDIDATES: usize = 64;
/// Maximum number of recently used targets that are considered as well: as many as the server of a
/// shard keeps busy.
const MAX_RECENT: usize = 128;

#[derive(Debug, Default)]
struct ServiceIndex {
    all: IndexSet<InstanceId>,
    /// Targets whose requests succeeded most recently, the latest last.
    recent: IndexSet<InstanceId>,
    holders: HashMap<ModelName, BTreeMap<ModelVersion, IndexSet<InstanceId>>>,
}

/// Index of the targets by service and by the model versions that they hold.
#[derive(Debug, Default)]
pub(crate) struct TargetIndex(HashMap<ServiceName, ServiceIndex>);

impl TargetIndex {
    /// Adds a target with the models that it holds.
    pub fn insert(&mut self, service: &ServiceName, instance: &InstanceId, models: &[HeldModel]) {
        let index = self.0.entry(service.clone()).or_default();
        index.all.insert(instance.clone());
        for held in models {
            let versions = index.holders.entry(held.model.clone()).or_default();
            versions.entry(held.version).or_default().insert(instance.clone());
        }
    }

    /// Removes a target; `models` must be the models that it was inserted with.
    pub fn remove(&mut self, service: &ServiceName, instance: &InstanceId, models: &[HeldModel]) {
        let Some(index) = self.0.get_mut(service) else { return };
        index.all.swap_remove(instance);
        index.recent.shift_remove(instance);
        for held in models {
            let Some(versions) = index.holders.get_mut(&held.model) else { continue };
            let Some(holders) = versions.get_mut(&held.version) else { continue };
            holders.swap_remove(instance);
            if holders.is_empty() {
                versions.remove(&held.version);
            }
        }
    }

    /// Marks a target of a large service as recently used.
    pub fn record_success(&mut self, service: &ServiceName, instance: &InstanceId) {
        let Some(index) = self.0.get_mut(service) else { return };
        if index.all.len() <= MAX_CANDIDATES {
            return;
        }
        index.recent.shift_remove(instance);
        index.recent.insert(instance.clone());
        if index.recent.len() > MAX_RECENT {
            index.recent.shift_remove_index(0);
        }
    }

    /// Whether a service has more than [`MAX_CANDIDATES`] targets.
    pub fn is_large(&self, service: &ServiceName) -> bool {
        self.0.get(service).is_some_and(|index| index.all.len() > MAX_CANDIDATES)
    }

    /// All targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &InstanceId> {
        self.0.get(service).into_iter().flat_map(|index| &index.all)
    }

    /// Returns the targets to compare: all targets of a small service; for a large service at most
    /// [`MAX_CANDIDATES`] random targets with the required model version, and the recently used.
    pub fn candidates(
        &self,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&InstanceId> {
        let Some(index) = self.0.get(service) else { return Vec::new() };
        if index.all.len() <= MAX_CANDIDATES {
            return index.all.iter().collect();
        }
        let mut candidates = match requirements.model {
            None => sample(&[&index.all], rng),
            Some((model, floor)) => {
                let Some(versions) = index.holders.get(model) else { return Vec::new() };
                let matching: Vec<_> =
                    versions.range(floor..).map(|(_, holders)| holders).collect();
                sample(&matching, rng)
            }
        };
        // The caller filters out targets that do not qualify; duplicates are harmless.
        candidates.extend(&index.recent);
        candidates
    }
}

/// Returns all members of the sets, or a random sample if there are too many.
fn sample<'a>(sets: &[&'a IndexSet<InstanceId>], rng: &mut impl Rng) -> Vec<&'a InstanceId> {
    let total: usize = sets.iter().map(|set| set.len()).sum();
    if total <= MAX_CANDIDATES {
        return sets.iter().copied().flatten().collect();
    }
    let positions = index::sample(rng, total, MAX_CANDIDATES);
    positions.iter().filter_map(|position| member_at(sets, position)).collect()
}

/// Returns the member at `position` in the concatenation of the sets.
fn member_at<'a>(sets: &[&'a IndexSet<InstanceId>], mut position: usize) -> Option<&'a InstanceId> {
    for set in sets {
        if position < set.len() {
            return set.get_index(position);
        }
        position -= set.len();
    }
    None
}
