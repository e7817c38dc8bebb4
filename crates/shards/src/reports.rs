//! Reports the usage of customers, once per window, under the accounting lease.
//!
//! Entry boxes report their counts to their feed source, which forwards them in its heartbeats to
//! the lease holder. [`ReportPlan`] decides what to report; this module reads and writes the
//! object of the last report and sends reports.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use ids::{BoxId, FencingToken, Moment, ObjectVersion};
use node::StoreCall;
use platform::accounting::AccountingError;
use platform::{Kind, StoreError, Stored};
use usage::{
    ReportAction, ReportPlan, ReportTimes, SendOutcome, StoreOutcome, TableVersion, UsageReport,
    UsageWindow,
};
use wire::peer::UsageCell;

use crate::accounting::AccountingWorker;
use crate::claim::LeaseSubject;
use crate::context::ShardContext;

/// Name of the object that holds the last report, stored among the leases.
const REPORT_OBJECT: &str = "usage-report";
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The table version that a receiver has acknowledged. It is valid for one token, since a new
/// holder may have lost its state.
#[derive(Debug, Clone)]
pub struct SyncMark {
    receiver: BoxId,
    token: FencingToken,
    version: TableVersion,
}

/// The usage state that the reporting box has acknowledged to this one.
#[derive(Debug, Default)]
pub struct UsageSync(Mutex<Option<SyncMark>>);

impl UsageSync {
    /// Returns the cells that `receiver` lacks if it holds the accounting lease, and the mark to
    /// record once it has acknowledged them.
    pub fn pending_cells(
        &self,
        ctx: &ShardContext,
        receiver: &BoxId,
    ) -> Option<(Vec<UsageCell>, SyncMark)> {
        ctx.view.usage.length()?;
        let holder = ctx.peers.lease_report(&LeaseSubject::Accounts.to_string())?;
        if holder.holder != *receiver {
            return None;
        }
        let acknowledged = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let acknowledged =
            acknowledged.filter(|mark| mark.receiver == *receiver && mark.token == holder.token);
        let version = acknowledged.map(|mark| mark.version).unwrap_or_default();
        let (cells, version) = ctx.view.usage.since(version);
        let mark = SyncMark { receiver: receiver.clone(), token: holder.token, version };
        Some((cells, mark))
    }

    /// Records what a receiver has acknowledged; ignores an older mark.
    pub fn record_ack(&self, mark: SyncMark) {
        let mut acknowledged = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_older = acknowledged.as_ref().is_some_and(|acknowledged| {
            acknowledged.receiver == mark.receiver
                && (acknowledged.token, acknowledged.version) >= (mark.token, mark.version)
        });
        if !is_older {
            *acknowledged = Some(mark);
        }
    }
}

/// Sends usage reports while this box holds the lease.
#[derive(Debug)]
pub(crate) struct UsageReporter {
    plan: ReportPlan,
    /// The token of the last step.
    token: Option<FencingToken>,
    /// Earliest time of the next action.
    pause_until: Moment,
}

impl UsageReporter {
    /// Creates a reporter that has not read the last report; `None` if reports are not configured.
    pub fn new(ctx: &ShardContext) -> Option<Self> {
        let usage = &ctx.view.usage;
        let length = usage.length()?;
        let times = ReportTimes::new(length, ctx.settings.usage_late);
        // No usage precedes the start of the deployment.
        let first = length.window_of(usage.time_at(ctx.view.now()));
        let plan = ReportPlan::new(times, first);
        Some(Self { plan, token: None, pause_until: Moment::START })
    }

    /// Runs the next action that is due.
    pub async fn step(&mut self, worker: &mut AccountingWorker) {
        let now = worker.ctx.view.now();
        let token = worker.token();
        let without_customers = worker.ctx.view.table().customers().is_none();
        if token.is_none() || now < self.pause_until || without_customers {
            return;
        }
        if token != self.token {
            // Another box may have reported meanwhile.
            self.plan.reset();
            self.token = token;
        }
        let all_reachable = all_peers_recent(&worker.ctx);
        let time = worker.ctx.view.usage.time_at(now);
        let succeeded = match self.plan.poll(time, all_reachable) {
            None => true,
            Some(ReportAction::Read) => self.read(&worker.ctx).await,
            Some(ReportAction::Commit { window, expect }) => {
                self.commit(&worker.ctx, window, expect, all_reachable).await
            }
            Some(ReportAction::Send(report)) => self.send(worker, report).await,
        };
        if !succeeded {
            self.pause_until = worker.ctx.view.now() + RETRY_DELAY;
        }
    }

    async fn read(&mut self, ctx: &ShardContext) -> bool {
        ctx.view.metrics.store_call(Kind::Leases, StoreCall::Read);
        let outcome = match ctx.view.store.get(Kind::Leases, REPORT_OBJECT).await {
            Ok(Some(stored)) => read_report(&stored),
            Ok(None) => StoreOutcome::Absent,
            Err(error) => {
                log::debug!(target: "usage", error:% = error; "last usage report not read");
                StoreOutcome::NotApplied
            }
        };
        let done = matches!(outcome, StoreOutcome::Holds(..) | StoreOutcome::Absent);
        self.plan.read_done(outcome);
        done
    }

    async fn commit(
        &mut self,
        ctx: &ShardContext,
        window: UsageWindow,
        expect: ObjectVersion,
        all_reachable: bool,
    ) -> bool {
        let counts = ctx.view.usage.totals(window);
        let report = UsageReport { window, counts };
        ctx.view.metrics.store_call(Kind::Leases, StoreCall::Write);
        let store = &ctx.view.store;
        let written = if expect == ObjectVersion::default() {
            store.create(Kind::Leases, REPORT_OBJECT, &report).await
        } else {
            store.replace(Kind::Leases, REPORT_OBJECT, expect.get(), &report).await
        };
        log::info!(
            target: "usage", window = window.get(), customers = report.counts.len(),
            requests = report.counts.values().sum::<u64>(), all_heard = all_reachable,
            outcome = written.as_ref().err().map_or("fixed".to_owned(), ToString::to_string).as_str();
            "usage report"
        );
        let outcome = match written {
            Ok(revision) => StoreOutcome::Holds(ObjectVersion::new(revision), report),
            Err(StoreError::NotApplied(_)) => StoreOutcome::NotApplied,
            Err(_) => StoreOutcome::Uncertain,
        };
        let done = matches!(outcome, StoreOutcome::Holds(..));
        self.plan.commit_done(outcome);
        done
    }

    async fn send(&mut self, worker: &mut AccountingWorker, report: UsageReport) -> bool {
        let Some(lease_holder) = worker.lease_holder() else { return false };
        let sent =
            worker.client.report_usage(&lease_holder, report.window.get(), &report.counts).await;
        worker.record_call(sent);
        let (outcome, label) = match sent {
            Ok(()) => (SendOutcome::Accepted, "taken"),
            Err(AccountingError::Refused(_) | AccountingError::NoCapacity) => {
                (SendOutcome::Refused, "refused")
            }
            Err(AccountingError::NoAnswer | AccountingError::Unavailable(_)) => {
                (SendOutcome::Failed, "failed")
            }
        };
        let metrics = &worker.ctx.view.metrics;
        metrics.count_outcome("usage_report", label);
        if outcome == SendOutcome::Accepted {
            metrics.window_reported(report.window.get());
        }
        log::info!(
            target: "usage", window = report.window.get(), token = lease_holder.token.get(),
            outcome = sent.err().map_or("taken".to_owned(), |error| error.to_string()).as_str();
            "usage report sent"
        );
        self.plan.send_done(report.window, outcome);
        outcome != SendOutcome::Failed
    }
}

/// Returns whether all other active boxes sent a heartbeat recently, and so have reported their
/// usage counts.
fn all_peers_recent(ctx: &ShardContext) -> bool {
    let boxes: Vec<BoxId> =
        ctx.view.assignments().active_boxes().iter().map(|copy| copy.box_id.clone()).collect();
    let others = boxes.iter().filter(|box_id| **box_id != ctx.me.box_id);
    ctx.peers.all_recent(ctx.view.now(), others)
}

fn read_report(stored: &Stored) -> StoreOutcome {
    match stored.parse::<UsageReport>() {
        Ok(report) => StoreOutcome::Holds(ObjectVersion::new(stored.revision), report),
        Err(error) => {
            log::warn!(target: "usage", error:% = error; "last usage report is invalid");
            StoreOutcome::NotApplied
        }
    }
}
