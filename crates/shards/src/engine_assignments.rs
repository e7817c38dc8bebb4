//! Assignment of a service's engines to models, cached between checks.
//!
//! The assignment is checked many times per second, but engines join and leave seldom. So engines
//! are ranked only when the set changes, and assigned only when the counts per model change.

use ids::{InstanceId, ModelName, ServiceName};
use routing::TargetTable;
use swaps::{EngineRanking, divide_engines, needed_engines};

/// Fraction by which a model's peak number of items decays per update. A slow decay avoids
/// reassigning engines between the steps of a job, which would load weights twice.
const PEAK_DECAY: f64 = 0.001;

/// Demand of each model for engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineDemand<'a> {
    /// Work by which the engines are divided, in any unit.
    pub work: &'a [f64],
    /// Number of open items, which limits the engines that a model needs.
    pub items: &'a [f64],
}

/// The engines of a service, and the models that they are assigned to.
#[derive(Debug, Default)]
pub(crate) struct EngineAssignments {
    generation: Option<u64>,
    models: Vec<ModelName>,
    engines: Vec<InstanceId>,
    slots: u32,
    ranking: EngineRanking,
    /// Peak number of open items of each model, with decay.
    peak_items: Vec<f64>,
    counts: Vec<usize>,
    assigned: Vec<(InstanceId, usize)>,
}

impl EngineAssignments {
    /// Updates the assignment; `demand` has one entry per model in `models`.
    pub fn update(
        &mut self,
        targets: &TargetTable,
        service: &ServiceName,
        models: &[ModelName],
        demand: EngineDemand<'_>,
    ) {
        let ranked = self.generation != Some(targets.generation()) || self.models != models;
        if ranked {
            self.rank(targets, service, models);
        }
        for (peak, items) in self.peak_items.iter_mut().zip(demand.items) {
            *peak = (*peak * (1.0 - PEAK_DECAY)).max(*items);
        }
        let counts = self.shares(demand.work);
        if ranked || counts != self.counts {
            let assigned = self.ranking.followers(&counts).into_iter();
            self.assigned = assigned.map(|(at, model)| (self.engines[at].clone(), model)).collect();
            self.counts = counts;
        }
    }

    fn rank(&mut self, targets: &TargetTable, service: &ServiceName, models: &[ModelName]) {
        let evacuated = targets.evacuated();
        // Engines of an evacuated domain load weights when the domain is in use again.
        let in_use = targets
            .of_service(service)
            .filter(|record| !record.leaving && !evacuated.contains(&record.domain));
        let in_use: Vec<_> = in_use.collect();
        self.slots = in_use.iter().map(|record| record.slots).min().unwrap_or(1);
        self.engines = in_use.iter().map(|record| record.instance.clone()).collect();
        let engines: Vec<&str> = self.engines.iter().map(InstanceId::as_str).collect();
        let names: Vec<&str> = models.iter().map(ModelName::as_str).collect();
        self.ranking = EngineRanking::new(&engines, &names);
        self.generation = Some(targets.generation());
        if self.models != models {
            self.models = models.to_vec();
            self.peak_items = vec![0.0; models.len()];
        }
    }

    /// Returns the number of engines per model: its share, capped by its need.
    fn shares(&self, work: &[f64]) -> Vec<usize> {
        let shares = divide_engines(self.engines.len(), work);
        let needs = self.peak_items.iter().map(|items| needed_engines(*items, self.slots));
        shares.into_iter().zip(needs).map(|(share, need)| share.min(need)).collect()
    }

    /// Returns the assigned engines, each with its model's position.
    pub fn assigned(&self) -> &[(InstanceId, usize)] {
        &self.assigned
    }

    /// Returns the number of engines in use.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }
}
