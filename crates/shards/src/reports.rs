//! Reports how much customers have used the service, once for each window, under the duty's lease.
//!
//! Entry boxes tell their counts to the box that tells them of the store, and that one passes them on with its beats to
//! the holder of the duty. What is reported is [`ReportPlan`]'s; this module carries it out: reads and writes the
//! object of the last report, sends, and hands the duty over when the platform's accounts are out of this box's reach.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ids::{BoxId, FencingToken, ObjectVersion};
use node::StoreCall;
use platform::accounts::{AccountClient, AccountError, DutyHand};
use platform::{Kind, StoreError, Stored};
use tokio::time;
use usage::{
    FixedReport, ReportAction, ReportPlan, ReportTimes, SendOutcome, StoreOutcome, TableVersion,
    UsageWindow,
};
use wire::peer::UsageCell;

use crate::claim::{DutyClaim, DutySubject, tend_claim};
use crate::context::ShardContext;
use crate::keepers::KeeperSet;

/// Name of the object that holds the last report, among the leases.
const REPORT_OBJECT: &str = "usage-report";
/// How often the duty is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause after a call that did not come to its end.
const AGAIN_PAUSE: Duration = Duration::from_millis(300);
/// Calls in a row without an answer after which another box may reach the accounts better: the store, which this box
/// reaches, and they are at different places.
const MOST_UNANSWERED: u32 = 3;

/// How far a receiver has been told, by its name and token: under another token it may have lost what it knew.
#[derive(Debug, Clone)]
pub struct ToldMark {
    receiver: BoxId,
    token: FencingToken,
    version: TableVersion,
}

/// What the box that reports use has been told by this one.
#[derive(Debug, Default)]
pub struct UsageTold(Mutex<Option<ToldMark>>);

impl UsageTold {
    /// What `receiver` is to be told, if it is the one that reports; and the mark to set once it has heard.
    pub fn untold(
        &self,
        ctx: &ShardContext,
        receiver: &BoxId,
    ) -> Option<(Vec<UsageCell>, ToldMark)> {
        ctx.view.usage.length()?;
        let holder = ctx.peers.lease_note(&DutySubject::Accounts.to_string())?;
        if holder.holder != *receiver {
            return None;
        }
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let known = known.filter(|mark| mark.receiver == *receiver && mark.token == holder.token);
        let version = known.map(|mark| mark.version).unwrap_or_default();
        let (cells, version) = ctx.view.usage.since(version);
        let mark = ToldMark { receiver: receiver.clone(), token: holder.token, version };
        Some((cells, mark))
    }

    /// Notes what a receiver has heard; an answer that was overtaken by another changes nothing.
    pub fn note(&self, mark: ToldMark) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_older = known.as_ref().is_some_and(|known| {
            known.receiver == mark.receiver
                && (known.token, known.version) >= (mark.token, mark.version)
        });
        if !is_older {
            *known = Some(mark);
        }
    }
}

/// Reports use for as long as the box runs, where the platform takes reports.
pub async fn report_usage(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let (Some(address), Some(length)) = (ctx.settings.accounts, ctx.view.usage.length()) else {
        return;
    };
    let accounts = match AccountClient::new(address) {
        Ok(accounts) => accounts,
        Err(error) => {
            log::error!(target: "usage", error:% = error; "no reports of use: the client cannot be made");
            return;
        }
    };
    let times = ReportTimes::new(length, ctx.settings.usage_late);
    // Nothing was served before the deployment began.
    let first = length.window_of(ctx.view.usage.time_at(ctx.view.now()));
    let mut reporter = UsageReporter {
        claim: Arc::new(DutyClaim::new(&ctx, DutySubject::Accounts)),
        plan: ReportPlan::new(times, first),
        ctx,
        accounts,
        token: None,
        unanswered: 0,
    };
    loop {
        time::sleep(LOOK_EVERY).await;
        // Without customers nobody uses anything; the lease would cost calls for nothing.
        if reporter.ctx.view.table().customers().is_none() {
            continue;
        }
        tend_claim(&reporter.ctx, &keepers, &reporter.claim);
        reporter.step().await;
    }
}

struct UsageReporter {
    ctx: Arc<ShardContext>,
    claim: Arc<DutyClaim>,
    plan: ReportPlan,
    accounts: AccountClient,
    /// The token under which this box acted last.
    token: Option<FencingToken>,
    /// Calls to the accounts in a row that got no answer.
    unanswered: u32,
}

impl UsageReporter {
    /// The token under which a call may be made now. Under a new one others may have reported before.
    fn hold(&mut self) -> Option<FencingToken> {
        let token = self.claim.token(self.ctx.view.now());
        if token.is_some() && token != self.token {
            self.plan.begin_anew();
            self.token = token;
        }
        token
    }

    async fn step(&mut self) {
        if self.hold().is_none() {
            return;
        }
        let now = self.ctx.view.now();
        let boxes: Vec<BoxId> = {
            let duties = self.ctx.view.duties();
            duties.boxes().map(|copy| copy.box_id.clone()).collect()
        };
        let others = boxes.iter().filter(|box_id| **box_id != self.ctx.me.box_id);
        let all_heard = self.ctx.peers.all_heard(now, others);
        let time = self.ctx.view.usage.time_at(now);
        let went_on = match self.plan.poll(time, all_heard) {
            None => true,
            Some(ReportAction::Read) => self.read().await,
            Some(ReportAction::Fix { window, expect }) => self.fix(window, expect, all_heard).await,
            Some(ReportAction::Send(report)) => self.send(report).await,
        };
        if !went_on {
            time::sleep(AGAIN_PAUSE).await;
        }
    }

    async fn read(&mut self) -> bool {
        self.ctx.view.metrics.store_call(Kind::Leases, StoreCall::Read);
        let outcome = match self.ctx.view.store.get(Kind::Leases, REPORT_OBJECT).await {
            Ok(Some(stored)) => read_report(&stored),
            Ok(None) => StoreOutcome::Absent,
            Err(error) => {
                log::debug!(target: "usage", error:% = error; "last report not read");
                StoreOutcome::NotDone
            }
        };
        let done = matches!(outcome, StoreOutcome::Holds(..) | StoreOutcome::Absent);
        self.plan.read_done(outcome);
        done
    }

    async fn fix(&mut self, window: UsageWindow, expect: ObjectVersion, all_heard: bool) -> bool {
        let counts = self.ctx.view.usage.totals(window);
        let report = FixedReport { window, counts };
        self.ctx.view.metrics.store_call(Kind::Leases, StoreCall::Write);
        let store = &self.ctx.view.store;
        let written = if expect == ObjectVersion::default() {
            store.create(Kind::Leases, REPORT_OBJECT, &report).await
        } else {
            store.replace(Kind::Leases, REPORT_OBJECT, expect.get(), &report).await
        };
        log::info!(
            target: "usage", window = window.get(), customers = report.counts.len(),
            requests = report.counts.values().sum::<u64>(), all_heard = all_heard,
            outcome = written.as_ref().err().map_or("fixed".to_owned(), ToString::to_string).as_str();
            "report of use"
        );
        let outcome = match written {
            Ok(revision) => StoreOutcome::Holds(ObjectVersion::new(revision), report),
            Err(StoreError::NotDone(_)) => StoreOutcome::NotDone,
            Err(_) => StoreOutcome::Unsure,
        };
        let done = matches!(outcome, StoreOutcome::Holds(..));
        self.plan.fix_done(outcome);
        done
    }

    async fn send(&mut self, report: FixedReport) -> bool {
        // Looked at right before the call: the process may have been stopped since.
        let Some(token) = self.claim.token(self.ctx.view.now()) else { return false };
        let hand = DutyHand { holder: self.ctx.me.box_id.clone(), token };
        let sent = self.accounts.report_usage(&hand, report.window.get(), &report.counts).await;
        let outcome = match &sent {
            Ok(()) => SendOutcome::Taken,
            Err(AccountError::Refused(_)) => SendOutcome::Refused,
            Err(AccountError::NoAnswer | AccountError::NotNow(_)) => SendOutcome::Failed,
        };
        self.unanswered = if sent == Err(AccountError::NoAnswer) { self.unanswered + 1 } else { 0 };
        let word = match outcome {
            SendOutcome::Taken => "taken",
            SendOutcome::Refused => "refused",
            SendOutcome::Failed => "failed",
        };
        self.ctx.view.metrics.ended("usage_report", word);
        log::info!(
            target: "usage", window = report.window.get(), token = token.get(),
            unanswered = self.unanswered,
            outcome = sent.err().map_or("taken".to_owned(), |error| error.to_string()).as_str();
            "report of use sent"
        );
        self.plan.send_done(report.window, outcome);
        if outcome == SendOutcome::Taken {
            self.ctx.view.metrics.window_reported(report.window.get());
        }
        if self.unanswered >= MOST_UNANSWERED {
            self.unanswered = 0;
            log::warn!(target: "usage", dependency = "accounts", outcome = "duty left to others"; "lost");
            self.claim.leave(self.ctx.view.now());
        }
        outcome != SendOutcome::Failed
    }
}

fn read_report(stored: &Stored) -> StoreOutcome {
    match stored.parse::<FixedReport>() {
        Ok(report) => StoreOutcome::Holds(ObjectVersion::new(stored.revision), report),
        Err(error) => {
            log::warn!(target: "usage", error:% = error; "last report refused");
            StoreOutcome::NotDone
        }
    }
}
