//! Order of items by due time: the priorities of jobs, and the urgency of other shards' items.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use ids::{BoxId, CustomerName, Moment, Priority, ShardIndex};
use jobs::{JobTable, SlotYield, StartOrder, Urgency, UrgencyReports};
use node::JobOrder;
use routing::{DEFAULT_PRIORITY, RouteTable};
use wire::peer::{Job, ShardHeartbeat};

/// Who reported the urgency of waiting items.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reporter {
    /// Another box, for all shards that it serves.
    Box(BoxId),
    /// A shard served here.
    Shard(ShardIndex),
}

#[derive(Debug, Default)]
struct UrgencyState {
    reports: UrgencyReports<Reporter>,
    /// Slots yielded on behalf of each shard served here.
    yields: HashMap<ShardIndex, SlotYield>,
}

/// Urgency of the waiting items of all shards.
#[derive(Debug, Default)]
pub struct UrgencyTable(Mutex<UrgencyState>);

impl UrgencyTable {
    fn lock(&self) -> MutexGuard<'_, UrgencyState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the report of another box.
    pub fn record_report(&self, now: Moment, heartbeat: &ShardHeartbeat) {
        let Ok(box_id) = heartbeat.box_id.parse() else { return };
        let work = heartbeat.work.iter();
        let slacks = work.filter_map(|work| Some((work.model.clone(), work.slack_ms?)));
        self.lock().reports.record(now, Reporter::Box(box_id), slacks.collect());
    }

    /// Records the urgency of a shard served here, for the other ones.
    pub fn record_shard(&self, now: Moment, shard: ShardIndex, jobs: &JobTable) {
        let demand = jobs.demand().into_iter();
        let slacks =
            demand.filter_map(|(model, demand)| Some((model.to_owned(), demand.slack_ms?)));
        self.lock().reports.record(now, Reporter::Shard(shard), slacks.collect());
    }

    /// Returns whether slots are scarce for a shard and an item of it is clearly less urgent than one
    /// of another shard.
    pub fn is_outranked(
        &self,
        now: Moment,
        shard: ShardIndex,
        model: &str,
        urgency: Urgency,
    ) -> bool {
        let state = self.lock();
        let other = state.reports.least_slack(now, model, &Reporter::Shard(shard));
        let yields = state.yields.get(&shard);
        yields.is_some_and(|yields| yields.is_outranked(now, model, urgency, other))
    }

    /// Returns whether an item of a shard must leave a free slot to another shard.
    pub fn should_yield(
        &self,
        now: Moment,
        shard: ShardIndex,
        model: &str,
        urgency: Urgency,
    ) -> bool {
        let mut state = self.lock();
        let other = state.reports.least_slack(now, model, &Reporter::Shard(shard));
        state.yields.entry(shard).or_default().should_yield(now, model, urgency, other)
    }

    /// Records that a shard finds no free slot for a model.
    pub fn no_free_slot(&self, now: Moment, shard: ShardIndex, model: &str) {
        self.lock().yields.entry(shard).or_default().no_free_slot(now, model);
    }
}

/// Returns the start order of a setting.
pub const fn start_order(order: JobOrder) -> StartOrder {
    match order {
        JobOrder::Accepted => StartOrder::Accepted,
        JobOrder::Due => StartOrder::Due,
    }
}

/// Returns the priority of a job in the current configuration.
pub fn job_priority(table: &RouteTable, job: &Job) -> Priority {
    let customer: Option<CustomerName> = job.customer.parse().ok();
    let path = job.items.first().map_or("", |item| item.path.as_str());
    let route = table.find(&job.host, path);
    let priority = route.and_then(|route| table.priority(&route.name, customer.as_ref()));
    priority.unwrap_or(DEFAULT_PRIORITY)
}
