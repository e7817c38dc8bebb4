//! Calls to the platform's accounting service: usage reports and replica orders, by one box at a
//! time.
//!
//! Both use one lease. They go to the same address, so a box that can't send one can't send the
//! other, and a second lease would cost two more store calls per second. Engines have leases of
//! their own, since a box that can't reach the accounting service may still reach all engines.

use std::sync::Arc;
use std::time::Duration;

use ids::FencingToken;
use platform::accounting::{AccountingClient, AccountingError, LeaseHolder};
use tokio::time;

use crate::claim::{LeaseSubject, ManagedLease, maintain_lease};
use crate::context::ShardContext;
use crate::keepers::KeeperSet;
use crate::replicas::ReplicaManager;
use crate::reports::UsageReporter;

/// Interval at which the lease and pending calls are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive calls without a response after which the lease is left to other boxes. They may
/// reach the accounting service although this box, which reaches the store, can't.
const MAX_UNANSWERED: u32 = 3;

/// This box's side of the accounting work.
#[derive(Debug)]
pub(crate) struct AccountingWorker {
    pub ctx: Arc<ShardContext>,
    pub client: AccountingClient,
    lease: Arc<ManagedLease>,
    /// Consecutive calls without a response.
    unanswered: u32,
}

impl AccountingWorker {
    /// Returns the lease holder to name in a call. Request it right before each call, since the
    /// process may have been suspended meanwhile.
    pub fn lease_holder(&self) -> Option<LeaseHolder> {
        let token = self.token()?;
        Some(LeaseHolder { holder: self.ctx.me.box_id.clone(), token })
    }

    /// Returns the token of the lease while this box holds it.
    pub fn token(&self) -> Option<FencingToken> {
        self.lease.token(self.ctx.view.now())
    }

    /// Records the outcome of a call; leaves the lease to other boxes if the accounting service is
    /// unreachable.
    pub fn record_call(&mut self, result: Result<(), AccountingError>) {
        if result != Err(AccountingError::NoAnswer) {
            self.unanswered = 0;
            return;
        }
        self.unanswered += 1;
        if self.unanswered >= MAX_UNANSWERED {
            self.unanswered = 0;
            log::warn!(target: "accounts", dependency = "accounts", outcome = "duty left to others"; "lost");
            self.lease.back_off(self.ctx.view.now());
        }
    }
}

/// Sends usage reports and replica orders while this box holds the lease, if an accounting address
/// is configured.
pub(crate) async fn run_accounting(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let Some(address) = ctx.settings.accounts else { return };
    let client = match AccountingClient::new(address) {
        Ok(client) => client,
        Err(error) => {
            log::error!(target: "accounts", error:% = error; "cannot create the accounting client; no usage reports or replica orders");
            return;
        }
    };
    let lease = Arc::new(ManagedLease::new(&ctx, LeaseSubject::Accounts));
    let mut reporter = UsageReporter::new(&ctx);
    let mut replicas = ReplicaManager::default();
    let mut worker = AccountingWorker { ctx, client, lease, unanswered: 0 };
    loop {
        time::sleep(POLL_INTERVAL).await;
        // Without work the lease would only cost store calls.
        if !has_work(&worker.ctx) {
            continue;
        }
        maintain_lease(&worker.ctx, &keepers, &worker.lease);
        if let Some(reporter) = &mut reporter {
            reporter.step(&mut worker).await;
        }
        replicas.step(&mut worker).await;
    }
}

/// Returns whether the current configuration requires reports or replica orders.
fn has_work(ctx: &ShardContext) -> bool {
    let table = ctx.view.table();
    let reports = table.customers().is_some() && ctx.view.usage.length().is_some();
    reports || table.services().any(|service| service.replicas.is_some())
}
