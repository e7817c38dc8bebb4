//! The duty towards the platform's accounts: reports of use and orders of replicas, by one box at a time.
//!
//! Both go under one lease: they concern the same address, so a box that cannot reach it for the one cannot for the
//! other, and a second lease would cost two calls a second. The engines' lease is another one, since a box that cannot
//! reach the accounts may reach all engines.

use std::sync::Arc;
use std::time::Duration;

use ids::FencingToken;
use platform::accounting::{AccountingClient, AccountingError, LeaseHolder};
use tokio::time;

use crate::claim::{DutyClaim, DutySubject, tend_claim};
use crate::context::ShardContext;
use crate::keepers::KeeperSet;
use crate::replicas::ReplicaKeeper;
use crate::reports::UsageReporter;

/// How often the duty is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Calls in a row without an answer after which another box may reach the accounts better: the store, which this box
/// reaches, and they are at different places.
const MOST_UNANSWERED: u32 = 3;

/// The duty as one box has it.
#[derive(Debug)]
pub(crate) struct AccountDuty {
    pub ctx: Arc<ShardContext>,
    pub client: AccountingClient,
    claim: Arc<DutyClaim>,
    /// Calls in a row that got no answer.
    unanswered: u32,
}

impl AccountDuty {
    /// Under whose hand a call may be made now. Asked for right before each call, since the process may have been
    /// stopped since.
    pub fn hand(&self) -> Option<LeaseHolder> {
        let token = self.token()?;
        Some(LeaseHolder { holder: self.ctx.me.box_id.clone(), token })
    }

    /// The token of the duty, while it is this box's.
    pub fn token(&self) -> Option<FencingToken> {
        self.claim.token(self.ctx.view.now())
    }

    /// Notes how a call ended; leaves the duty to others where the accounts are out of reach.
    pub fn note_call(&mut self, ended: Result<(), AccountingError>) {
        if ended != Err(AccountingError::NoAnswer) {
            self.unanswered = 0;
            return;
        }
        self.unanswered += 1;
        if self.unanswered >= MOST_UNANSWERED {
            self.unanswered = 0;
            log::warn!(target: "accounts", dependency = "accounts", outcome = "duty left to others"; "lost");
            self.claim.leave(self.ctx.view.now());
        }
    }
}

/// Does the duty for as long as the box runs, where the platform has accounts.
pub(crate) async fn keep_accounts(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let Some(address) = ctx.settings.accounts else { return };
    let client = match AccountingClient::new(address) {
        Ok(client) => client,
        Err(error) => {
            log::error!(target: "accounts", error:% = error; "no reports and no orders: the client cannot be made");
            return;
        }
    };
    let claim = Arc::new(DutyClaim::new(&ctx, DutySubject::Accounts));
    let mut reporter = UsageReporter::new(&ctx);
    let mut replicas = ReplicaKeeper::default();
    let mut duty = AccountDuty { ctx, client, claim, unanswered: 0 };
    loop {
        time::sleep(LOOK_EVERY).await;
        // Where there is nothing to tell, the lease would cost calls for nothing.
        if !is_wanted(&duty.ctx) {
            continue;
        }
        tend_claim(&duty.ctx, &keepers, &duty.claim);
        if let Some(reporter) = &mut reporter {
            reporter.step(&mut duty).await;
        }
        replicas.step(&mut duty).await;
    }
}

/// Whether the configuration in force gives the duty anything to do.
fn is_wanted(ctx: &ShardContext) -> bool {
    let table = ctx.view.table();
    let reports = table.customers().is_some() && ctx.view.usage.length().is_some();
    reports || table.services().any(|service| service.replicas.is_some())
}
