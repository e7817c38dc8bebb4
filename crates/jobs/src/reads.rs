//! Read-only queries of a [`JobTable`].

use std::collections::HashMap;

use ids::{JobId, RecordLocation};
use wire::peer::JobPage;

use crate::item::ItemPhase;
use crate::{ItemRef, JobTable};

/// Size of a shard's job table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Number of jobs, ended ones included.
    pub jobs: usize,
    /// Number of items queued to start.
    pub waiting: usize,
    /// Size of jobs and results in memory, in bytes.
    pub bytes: usize,
}

/// The training step that a job belongs to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepInfo {
    /// Name of the trained model.
    pub model: String,
    /// Step number.
    pub number: u64,
    /// Oldest weight version allowed in a sample.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted_groups: u32,
}

/// One page of a job's results.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultsPage {
    /// The results; those in `on_disk` lack their text.
    pub page: JobPage,
    /// Results without text: index within the page and location of the record.
    pub on_disk: Vec<(usize, RecordLocation)>,
}

impl JobTable {
    /// Returns the step of a job, or the default if the job is unknown.
    pub fn step(&self, id: &JobId) -> StepInfo {
        let Some(state) = self.jobs.get(id) else { return StepInfo::default() };
        StepInfo {
            model: state.job.model.clone(),
            number: state.job.step,
            min_version: state.job.min_version,
            wanted_groups: state.job.wanted_groups,
        }
    }

    /// Whether the table contains a job.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether the job with this id belongs to another customer. A job without a customer belongs
    /// to all, and if `customer` is empty (none configured) no job belongs to another.
    pub fn belongs_to_other_customer(&self, id: &JobId, customer: &str) -> bool {
        let owner = self.jobs.get(id).map_or("", |state| state.job.customer.as_str());
        !owner.is_empty() && !customer.is_empty() && owner != customer
    }

    /// Whether the job exists and `customer` may access it.
    pub fn may_access(&self, id: &JobId, customer: &str) -> bool {
        self.contains(id) && !self.belongs_to_other_customer(id, customer)
    }

    /// Returns the size of jobs and results in memory, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a job has ended or is ending; `None` if it is unknown.
    pub fn is_ended(&self, id: &JobId) -> Option<bool> {
        self.jobs.get(id).map(|state| state.ended || state.ending)
    }

    /// Returns the size of the table.
    pub fn counts(&self) -> JobCounts {
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        JobCounts {
            jobs: self.jobs.len(),
            waiting: open.map(|state| state.waiting.len()).sum(),
            bytes: self.bytes,
        }
    }

    /// Counts the items of open jobs that are not listed yet, by model name.
    pub fn open_items(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for state in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let open = state.items.iter().filter(|item| item.phase != ItemPhase::Listed).count();
            *counts.entry(state.job.model.as_str()).or_default() += open;
        }
        counts
    }

    /// Returns results from position `from`: at most `max_bytes` of text, but at least one result
    /// if there is any. `None` if the job is unknown.
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
            on_disk.extend(listed.on_disk().map(|location| (results.len(), location)));
            results.push(listed.result.clone());
        }
        Some(ResultsPage { page: JobPage { total, results }, on_disk })
    }

    /// Returns the request body of an item, or `None` if the item is unknown or its job has ended.
    pub fn body(&self, id: &JobId, item: &str) -> Option<Vec<u8>> {
        let state = self.jobs.get(id).filter(|state| !state.ended)?;
        let request = state.job.items.iter().find(|other| other.id == item)?;
        Some(request.body.clone())
    }

    /// Whether an item's run should be cancelled: its job is ending or unknown.
    pub fn is_obsolete(&self, item: &ItemRef) -> bool {
        self.jobs.get(&item.job).is_none_or(|state| state.ending)
    }
}
