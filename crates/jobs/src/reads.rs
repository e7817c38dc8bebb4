//! What a book tells, without changing.

use std::collections::HashMap;

use ids::{JobId, RecordLocation};
use wire::peer::JobPage;

use crate::item::ItemPhase;
use crate::{ItemRef, JobTable};

/// How much a shard holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Jobs held.
    pub jobs: usize,
    /// Items to be started.
    pub waiting: usize,
    /// Bytes of jobs and results.
    pub bytes: usize,
}

/// Which step a job is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepNames {
    /// The model that it trains.
    pub model: String,
    /// The step's number.
    pub number: u64,
    /// The oldest version of the weights that may make any part of a sample.
    pub min_version: u64,
    /// Whole groups that the trainer waits for.
    pub wanted_groups: u32,
}

/// Results of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultsPage {
    /// The page; some results lack their text.
    pub page: JobPage,
    /// Indices of these among the page's results, and where their records lie.
    pub on_disk: Vec<(usize, RecordLocation)>,
}

impl JobTable {
    /// Which step a job is; all empty when it is not held.
    pub fn step(&self, id: &JobId) -> StepNames {
        let Some(state) = self.jobs.get(id) else { return StepNames::default() };
        StepNames {
            model: state.job.model.clone(),
            number: state.job.step,
            min_version: state.job.min_version,
            wanted_groups: state.job.wanted_groups,
        }
    }

    /// Whether a job is held.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether a job is held under this id that is another customer's. A job of the time before there were
    /// customers is everybody's, and so are all of them while the configuration knows none: `customer` is empty
    /// then.
    pub fn belongs_to_other_customer(&self, id: &JobId, customer: &str) -> bool {
        let owner = self.jobs.get(id).map_or("", |state| state.job.customer.as_str());
        !owner.is_empty() && !customer.is_empty() && owner != customer
    }

    /// Whether a job is held of which `customer` may know.
    pub fn may_ask(&self, id: &JobId, customer: &str) -> bool {
        self.contains(id) && !self.belongs_to_other_customer(id, customer)
    }

    /// Bytes of jobs and results.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a job has ended, or its end is on the way; `None` when it is not held.
    pub fn is_ended(&self, id: &JobId) -> Option<bool> {
        self.jobs.get(id).map(|state| state.ended || state.ending)
    }

    /// How much is held.
    pub fn counts(&self) -> JobCounts {
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        JobCounts {
            jobs: self.jobs.len(),
            waiting: open.map(|state| state.waiting.len()).sum(),
            bytes: self.bytes,
        }
    }

    /// Items of jobs that run which are not listed yet, by the name of their model.
    pub fn open_items(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for state in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let open = state.items.iter().filter(|item| item.phase != ItemPhase::Listed).count();
            *counts.entry(state.job.model.as_str()).or_default() += open;
        }
        counts
    }

    /// Results from position `from`: at least one if there is one, `max_bytes` of text at most.
    /// `None` when the job is not held.
    pub fn page(&self, id: &JobId, from: u32, max_bytes: usize) -> Option<ResultsPage> {
        let state = self.jobs.get(id)?;
        let total = u32::try_from(state.job.items.len()).unwrap_or(u32::MAX);
        let mut results = Vec::new();
        let mut on_disk = Vec::new();
        let mut bytes = 0;
        for listed in state.listed.iter().skip(from as usize) {
            bytes += listed.result.text_bytes as usize;
            if !results.is_empty() && bytes > max_bytes {
                break;
            }
            on_disk.extend(listed.on_disk().map(|place| (results.len(), place)));
            results.push(listed.result.clone());
        }
        Some(ResultsPage { page: JobPage { total, results }, on_disk })
    }

    /// The body of an item, until its job has ended.
    pub fn body(&self, id: &JobId, item: &str) -> Option<Vec<u8>> {
        let state = self.jobs.get(id).filter(|state| !state.ended)?;
        let request = state.job.items.iter().find(|other| other.id == item)?;
        Some(request.body.clone())
    }

    /// Whether an item's run should be broken off: its job has ended or is not held any more.
    pub fn is_moot(&self, item: &ItemRef) -> bool {
        self.jobs.get(&item.job).is_none_or(|state| state.ending)
    }
}
