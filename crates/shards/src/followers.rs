//! Which engines of a service follow which model, kept between two looks.
//!
//! Orders are looked for many times a second, and engines come and go seldom. So the engines are ranked only when
//! some have come or gone, divided only when the numbers change, and a look touches those that follow a model alone.

use ids::{InstanceId, ModelName, ServiceName};
use routing::TargetTable;
use swaps::{EngineRanking, divide_engines, needed_engines};

/// Part that a model's need of engines loses at a look when its work has become less. Engines that are let go
/// and wanted again a step later would load twice.
const NEED_DECAY: f64 = 0.001;

/// The engines of a service, and the models that they follow.
#[derive(Debug, Default)]
pub(crate) struct EngineFollowers {
    generation: Option<u64>,
    models: Vec<ModelName>,
    engines: Vec<InstanceId>,
    slots: u32,
    ranking: EngineRanking,
    /// Work of each model by which its need is reckoned: its most of late.
    work: Vec<f64>,
    counts: Vec<usize>,
    followers: Vec<(InstanceId, usize)>,
}

impl EngineFollowers {
    /// Takes what is known now; `work` is that of each of `models`.
    pub fn look(
        &mut self,
        board: &TargetTable,
        service: &ServiceName,
        models: &[ModelName],
        work: &[f64],
    ) {
        let ranked = self.generation != Some(board.generation()) || self.models != models;
        if ranked {
            self.rank(board, service, models);
        }
        for (most, work) in self.work.iter_mut().zip(work) {
            *most = (*most * (1.0 - NEED_DECAY)).max(*work);
        }
        let counts = self.shares(work);
        if ranked || counts != self.counts {
            let followers = self.ranking.followers(&counts).into_iter();
            self.followers =
                followers.map(|(at, model)| (self.engines[at].clone(), model)).collect();
            self.counts = counts;
        }
    }

    fn rank(&mut self, board: &TargetTable, service: &ServiceName, models: &[ModelName]) {
        let evacuated = board.evacuated();
        // An engine of a domain that is to be emptied loads when it is in use again.
        let in_use = board
            .of_service(service)
            .filter(|record| !record.leaving && !evacuated.contains(&record.domain));
        let in_use: Vec<_> = in_use.collect();
        self.slots = in_use.iter().map(|record| record.slots).min().unwrap_or(1);
        self.engines = in_use.iter().map(|record| record.instance.clone()).collect();
        let engines: Vec<&str> = self.engines.iter().map(InstanceId::as_str).collect();
        let names: Vec<&str> = models.iter().map(ModelName::as_str).collect();
        self.ranking = EngineRanking::new(&engines, &names);
        self.generation = Some(board.generation());
        if self.models != models {
            self.models = models.to_vec();
            self.work = vec![0.0; models.len()];
        }
    }

    /// How many engines follow each model: its share of all, or as many as it needs where that is less.
    fn shares(&self, work: &[f64]) -> Vec<usize> {
        let shares = divide_engines(self.engines.len(), work);
        let needs = self.work.iter().map(|work| needed_engines(*work, self.slots));
        shares.into_iter().zip(needs).map(|(share, need)| share.min(need)).collect()
    }

    /// The engines that follow a model, each with the model's position.
    pub fn followers(&self) -> &[(InstanceId, usize)] {
        &self.followers
    }

    /// How many engines are in use.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }
}
