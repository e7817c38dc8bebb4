//! Indexes the targets of each region in addition to those of all regions.
//!
//! The candidates of a restricted request are taken from its regions only. Filtering a sample of
//! all targets of a large service would often leave none of a small region.

use std::collections::HashMap;

use ids::{InstanceId, RegionId, ServiceName};
use rand::Rng;

use crate::index::TargetIndex;
use crate::{HeldModel, RegionScope, TargetRequirements};

/// Index of the targets by region. Targets without a known region are indexed only among all.
#[derive(Debug, Default)]
pub(crate) struct RegionalIndex {
    all: TargetIndex,
    by_region: HashMap<RegionId, TargetIndex>,
}

impl RegionalIndex {
    /// Adds a target with the models that it holds.
    pub fn insert(
        &mut self,
        region: Option<&RegionId>,
        service: &ServiceName,
        instance: &InstanceId,
        models: &[HeldModel],
    ) {
        self.all.insert(service, instance, models);
        if let Some(region) = region {
            self.by_region.entry(region.clone()).or_default().insert(service, instance, models);
        }
    }

    /// Removes a target; the arguments must be those that it was inserted with.
    pub fn remove(
        &mut self,
        region: Option<&RegionId>,
        service: &ServiceName,
        instance: &InstanceId,
        models: &[HeldModel],
    ) {
        self.all.remove(service, instance, models);
        if let Some(index) = region.and_then(|region| self.by_region.get_mut(region)) {
            index.remove(service, instance, models);
        }
    }

    /// Marks a target of a large service as recently used.
    pub fn record_success(
        &mut self,
        region: Option<&RegionId>,
        service: &ServiceName,
        instance: &InstanceId,
    ) {
        self.all.record_success(service, instance);
        if let Some(index) = region.and_then(|region| self.by_region.get_mut(region)) {
            index.record_success(service, instance);
        }
    }

    /// Whether a service is large; see [`TargetIndex::is_large`].
    pub fn is_large(&self, service: &ServiceName) -> bool {
        self.all.is_large(service)
    }

    /// All targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &InstanceId> {
        self.all.of_service(service)
    }

    /// Returns the targets to compare, those of the allowed regions only; see
    /// [`TargetIndex::candidates`].
    pub fn candidates(
        &self,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&InstanceId> {
        let Some(RegionScope::Only(regions)) = requirements.regions else {
            return self.all.candidates(service, requirements, rng);
        };
        let indexes = regions.iter().filter_map(|region| self.by_region.get(region));
        indexes.flat_map(|index| index.candidates(service, requirements, rng)).collect()
    }
}
