//! Orders replicas so that each service keeps its baseline count, under the accounting lease.
//!
//! The baseline is written to the store once, from the target list as the first lease holder sees
//! it. [`ReplicaPlan`] decides what is ordered when.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ids::{DomainId, FencingToken, ServiceName};
use node::StoreCall;
use platform::Kind;
use platform::accounting::AccountingError;
use replicas::{BaselineReplicas, OrderOutcome, ReplicaLimits, ReplicaOrder, ReplicaPlan};

use crate::accounting::AccountingWorker;

/// Minimum time since start before the target list is taken as the baseline, so that all targets
/// of a new deployment are listed.
const MIN_BASELINE_DELAY: Duration = Duration::from_secs(5);

/// The replicas of all services with replica limits.
#[derive(Debug, Default)]
pub(crate) struct ReplicaManager {
    services: HashMap<ServiceName, ServiceReplicas>,
    /// The token of the last step.
    token: Option<FencingToken>,
}

#[derive(Debug, Default)]
struct ServiceReplicas {
    baseline: Option<BaselineReplicas>,
    plan: ReplicaPlan,
}

fn baseline_object(service: &ServiceName) -> String {
    format!("replicas-{service}")
}

impl ReplicaManager {
    /// Sends the orders that are due.
    pub async fn step(&mut self, worker: &mut AccountingWorker) {
        let token = worker.token();
        if token.is_none() {
            return;
        }
        if token != self.token {
            // Another box may have sent orders meanwhile.
            self.services.clear();
            self.token = token;
        }
        let services: Vec<(ServiceName, ReplicaLimits)> = {
            let table = worker.ctx.view.table();
            let services = table.services();
            services.filter_map(|spec| Some((spec.name.clone(), spec.replicas?))).collect()
        };
        for (service, limits) in services {
            self.services.entry(service.clone()).or_default().step(worker, &service, limits).await;
        }
    }
}

impl ServiceReplicas {
    async fn step(
        &mut self,
        worker: &mut AccountingWorker,
        service: &ServiceName,
        limits: ReplicaLimits,
    ) {
        let view = &worker.ctx.view;
        let is_current = view.store_state().up && view.entry_grace().is_zero();
        let listed = listed_replicas(worker, service);
        let Some(baseline) = &self.baseline else {
            if is_current {
                self.baseline = load_baseline(worker, service, &listed).await;
            }
            return;
        };
        for order in self.plan.due(view.now(), baseline, limits, &listed, is_current) {
            let Some(outcome) = send_order(worker, service, &order, &listed).await else { return };
            self.plan.order_done(worker.ctx.view.now(), &order, outcome);
        }
    }
}

/// Returns the number of serving replicas by domain.
fn listed_replicas(worker: &AccountingWorker, service: &ServiceName) -> BTreeMap<DomainId, u32> {
    let mut listed = BTreeMap::new();
    for record in
        worker.ctx.view.target_table().of_service(service).filter(|record| !record.leaving)
    {
        *listed.entry(record.domain.clone()).or_default() += 1;
    }
    listed
}

/// Returns the baseline of the service from the store; without one, stores the listed counts
/// first.
async fn load_baseline(
    worker: &AccountingWorker,
    service: &ServiceName,
    listed: &BTreeMap<DomainId, u32>,
) -> Option<BaselineReplicas> {
    let view = &worker.ctx.view;
    let name = baseline_object(service);
    view.metrics.store_call(Kind::Leases, StoreCall::Read);
    let read = view.store.get(Kind::Leases, &name).await;
    let baseline = match read {
        Ok(Some(stored)) => stored.parse::<BaselineReplicas>().map_err(|error| error.to_string()),
        Ok(None)
            if listed.is_empty() || view.now().since(ids::Moment::START) < MIN_BASELINE_DELAY =>
        {
            return None;
        }
        Ok(None) => {
            let baseline = BaselineReplicas { domains: listed.clone() };
            view.metrics.store_call(Kind::Leases, StoreCall::Write);
            let written = view.store.create(Kind::Leases, &name, &baseline).await;
            written.map(|_revision| baseline).map_err(|error| error.to_string())
        }
        Err(error) => Err(error.to_string()),
    };
    match baseline {
        Ok(baseline) => {
            log::info!(
                target: "accounts", service:% = service, domains = baseline.domains.len(),
                replicas = baseline.domains.values().sum::<u32>();
                "replica baseline loaded"
            );
            Some(baseline)
        }
        Err(error) => {
            log::debug!(target: "accounts", service:% = service, error = error.as_str(); "replica baseline not loaded");
            None
        }
    }
}

/// Sends one order; `None` when this box no longer holds the lease.
async fn send_order(
    worker: &mut AccountingWorker,
    service: &ServiceName,
    order: &ReplicaOrder,
    listed: &BTreeMap<DomainId, u32>,
) -> Option<OrderOutcome> {
    let holder = worker.lease_holder()?;
    let sent = worker.client.order_replicas(&holder, service, &order.domain, order.desired).await;
    worker.record_call(sent);
    let outcome = match sent {
        Ok(()) => OrderOutcome::Accepted,
        Err(AccountingError::NoCapacity | AccountingError::Refused(_)) => OrderOutcome::NoCapacity,
        Err(AccountingError::NoAnswer | AccountingError::Unavailable(_)) => OrderOutcome::Failed,
    };
    let label = match outcome {
        OrderOutcome::Accepted => "taken",
        OrderOutcome::NoCapacity => "none to be had",
        OrderOutcome::Failed => "failed",
    };
    worker.ctx.view.metrics.count_outcome("replica_order", label);
    log::info!(
        target: "accounts", service:% = service, domain:% = order.domain, desired = order.desired,
        listed = listed.get(&order.domain).copied().unwrap_or_default(), token = holder.token.get(),
        outcome = sent.err().map_or("taken".to_owned(), |error| error.to_string()).as_str();
        "replicas ordered"
    );
    Some(outcome)
}
