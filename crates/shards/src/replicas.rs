//! Keeps as many replicas of a service as the deployment was given, under the duty towards the platform's accounts.
//!
//! What was given is written to the store once, from the list of targets as it is when the first holder of the duty
//! looks; [`ReplicaPlan`] says what is ordered when.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ids::{DomainId, FencingToken, ServiceName};
use node::StoreCall;
use platform::Kind;
use platform::accounting::AccountingError;
use replicas::{BaselineReplicas, OrderOutcome, ReplicaLimits, ReplicaOrder, ReplicaPlan};

use crate::accounts::AccountDuty;

/// The list of targets must have been current for so long before it tells what was given: all targets of a deployment
/// that starts are there by then.
const FIRST_LOOK: Duration = Duration::from_secs(5);

/// The replicas of all services that may be ordered.
#[derive(Debug, Default)]
pub(crate) struct ReplicaKeeper {
    services: HashMap<ServiceName, ServiceReplicas>,
    /// The token under which this box acted last.
    token: Option<FencingToken>,
}

#[derive(Debug, Default)]
struct ServiceReplicas {
    given: Option<BaselineReplicas>,
    plan: ReplicaPlan,
}

fn given_object(service: &ServiceName) -> String {
    format!("replicas-{service}")
}

impl ReplicaKeeper {
    /// Orders what is due.
    pub async fn step(&mut self, duty: &mut AccountDuty) {
        let token = duty.token();
        if token.is_none() {
            return;
        }
        if token != self.token {
            // Another box may have ordered meanwhile.
            self.services.clear();
            self.token = token;
        }
        let services: Vec<(ServiceName, ReplicaLimits)> = {
            let table = duty.ctx.view.table();
            let services = table.services();
            services.filter_map(|spec| Some((spec.name.clone(), spec.replicas?))).collect()
        };
        for (service, limits) in services {
            self.services.entry(service.clone()).or_default().step(duty, &service, limits).await;
        }
    }
}

impl ServiceReplicas {
    async fn step(&mut self, duty: &mut AccountDuty, service: &ServiceName, limits: ReplicaLimits) {
        let view = &duty.ctx.view;
        let known = view.store_state().up && view.entry_grace().is_zero();
        let listed = listed_replicas(duty, service);
        let Some(given) = &self.given else {
            if known {
                self.given = learn_given(duty, service, &listed).await;
            }
            return;
        };
        for order in self.plan.due(view.now(), given, limits, &listed, known) {
            let Some(outcome) = send_order(duty, service, &order, &listed).await else { return };
            self.plan.order_done(duty.ctx.view.now(), &order, outcome);
        }
    }
}

/// The replicas that serve now, by domain.
fn listed_replicas(duty: &AccountDuty, service: &ServiceName) -> BTreeMap<DomainId, u32> {
    let mut listed = BTreeMap::new();
    for record in duty.ctx.view.target_table().of_service(service).filter(|record| !record.leaving)
    {
        *listed.entry(record.domain.clone()).or_default() += 1;
    }
    listed
}

/// What the service was given: as the store has it, or else what is listed, written there first.
async fn learn_given(
    duty: &AccountDuty,
    service: &ServiceName,
    listed: &BTreeMap<DomainId, u32>,
) -> Option<BaselineReplicas> {
    let view = &duty.ctx.view;
    let name = given_object(service);
    view.metrics.store_call(Kind::Leases, StoreCall::Read);
    let read = view.store.get(Kind::Leases, &name).await;
    let given = match read {
        Ok(Some(stored)) => stored.parse::<BaselineReplicas>().map_err(|error| error.to_string()),
        Ok(None) if listed.is_empty() || view.now().since(ids::Moment::START) < FIRST_LOOK => {
            return None;
        }
        Ok(None) => {
            let given = BaselineReplicas { domains: listed.clone() };
            view.metrics.store_call(Kind::Leases, StoreCall::Write);
            let written = view.store.create(Kind::Leases, &name, &given).await;
            written.map(|_revision| given).map_err(|error| error.to_string())
        }
        Err(error) => Err(error.to_string()),
    };
    match given {
        Ok(given) => {
            log::info!(
                target: "accounts", service:% = service, domains = given.domains.len(),
                replicas = given.domains.values().sum::<u32>();
                "replicas given"
            );
            Some(given)
        }
        Err(error) => {
            log::debug!(target: "accounts", service:% = service, error = error.as_str(); "replicas given not known");
            None
        }
    }
}

/// Sends one order; `None` when the duty is not this box's any more.
async fn send_order(
    duty: &mut AccountDuty,
    service: &ServiceName,
    order: &ReplicaOrder,
    listed: &BTreeMap<DomainId, u32>,
) -> Option<OrderOutcome> {
    let hand = duty.hand()?;
    let sent = duty.client.order_replicas(&hand, service, &order.domain, order.desired).await;
    duty.note_call(sent);
    let outcome = match sent {
        Ok(()) => OrderOutcome::Accepted,
        Err(AccountingError::NoCapacity | AccountingError::Refused(_)) => OrderOutcome::NoCapacity,
        Err(AccountingError::NoAnswer | AccountingError::Unavailable(_)) => OrderOutcome::Failed,
    };
    let word = match outcome {
        OrderOutcome::Accepted => "taken",
        OrderOutcome::NoCapacity => "none to be had",
        OrderOutcome::Failed => "failed",
    };
    duty.ctx.view.metrics.count_outcome("replica_order", word);
    log::info!(
        target: "accounts", service:% = service, domain:% = order.domain, desired = order.desired,
        listed = listed.get(&order.domain).copied().unwrap_or_default(), token = hand.token.get(),
        outcome = sent.err().map_or("taken".to_owned(), |error| error.to_string()).as_str();
        "replicas ordered"
    );
    Some(outcome)
}
