//! Reports how much customers have used the service, once for each window, under the duty towards the accounts.
//!
//! Entry boxes tell their counts to the box that tells them of the store, and that one passes them on with its beats to
//! the holder of the duty. What is reported is [`ReportPlan`]'s; this module carries it out: reads and writes the
//! object of the last report, and sends.

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

use crate::accounts::AccountDuty;
use crate::claim::DutySubject;
use crate::context::ShardContext;

/// Name of the object that holds the last report, among the leases.
const REPORT_OBJECT: &str = "usage-report";
/// Pause after a call that did not come to its end.
const AGAIN_PAUSE: Duration = Duration::from_millis(300);

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

/// The reports of use, as one holder of the duty makes them.
#[derive(Debug)]
pub(crate) struct UsageReporter {
    plan: ReportPlan,
    /// The token under which this box acted last.
    token: Option<FencingToken>,
    /// Before this moment nothing is tried again.
    pause_until: Moment,
}

impl UsageReporter {
    /// A reporter that knows of no report; `None` where nobody wants reports.
    pub fn new(ctx: &ShardContext) -> Option<Self> {
        let usage = &ctx.view.usage;
        let length = usage.length()?;
        let times = ReportTimes::new(length, ctx.settings.usage_late);
        // Nothing was served before the deployment began.
        let first = length.window_of(usage.time_at(ctx.view.now()));
        let plan = ReportPlan::new(times, first);
        Some(Self { plan, token: None, pause_until: Moment::START })
    }

    /// Does what is due next.
    pub async fn step(&mut self, duty: &mut AccountDuty) {
        let now = duty.ctx.view.now();
        let token = duty.token();
        let without_customers = duty.ctx.view.table().customers().is_none();
        if token.is_none() || now < self.pause_until || without_customers {
            return;
        }
        if token != self.token {
            // Others may have reported meanwhile.
            self.plan.reset();
            self.token = token;
        }
        let all_heard = all_heard(&duty.ctx);
        let time = duty.ctx.view.usage.time_at(now);
        let went_on = match self.plan.poll(time, all_heard) {
            None => true,
            Some(ReportAction::Read) => self.read(&duty.ctx).await,
            Some(ReportAction::Commit { window, expect }) => {
                self.fix(&duty.ctx, window, expect, all_heard).await
            }
            Some(ReportAction::Send(report)) => self.send(duty, report).await,
        };
        if !went_on {
            self.pause_until = duty.ctx.view.now() + AGAIN_PAUSE;
        }
    }

    async fn read(&mut self, ctx: &ShardContext) -> bool {
        ctx.view.metrics.store_call(Kind::Leases, StoreCall::Read);
        let outcome = match ctx.view.store.get(Kind::Leases, REPORT_OBJECT).await {
            Ok(Some(stored)) => read_report(&stored),
            Ok(None) => StoreOutcome::Absent,
            Err(error) => {
                log::debug!(target: "usage", error:% = error; "last report not read");
                StoreOutcome::NotApplied
            }
        };
        let done = matches!(outcome, StoreOutcome::Holds(..) | StoreOutcome::Absent);
        self.plan.read_done(outcome);
        done
    }

    async fn fix(
        &mut self,
        ctx: &ShardContext,
        window: UsageWindow,
        expect: ObjectVersion,
        all_heard: bool,
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
            requests = report.counts.values().sum::<u64>(), all_heard = all_heard,
            outcome = written.as_ref().err().map_or("fixed".to_owned(), ToString::to_string).as_str();
            "report of use"
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

    async fn send(&mut self, duty: &mut AccountDuty, report: UsageReport) -> bool {
        let Some(hand) = duty.hand() else { return false };
        let sent = duty.client.report_usage(&hand, report.window.get(), &report.counts).await;
        duty.note_call(sent);
        let (outcome, word) = match sent {
            Ok(()) => (SendOutcome::Accepted, "taken"),
            Err(AccountingError::Refused(_) | AccountingError::NoCapacity) => {
                (SendOutcome::Refused, "refused")
            }
            Err(AccountingError::NoAnswer | AccountingError::Unavailable(_)) => {
                (SendOutcome::Failed, "failed")
            }
        };
        let metrics = &duty.ctx.view.metrics;
        metrics.count_outcome("usage_report", word);
        if outcome == SendOutcome::Accepted {
            metrics.window_reported(report.window.get());
        }
        log::info!(
            target: "usage", window = report.window.get(), token = hand.token.get(),
            outcome = sent.err().map_or("taken".to_owned(), |error| error.to_string()).as_str();
            "report of use sent"
        );
        self.plan.send_done(report.window, outcome);
        outcome != SendOutcome::Failed
    }
}

/// Whether all other boxes at work were heard just now, and so have told what they know of use.
fn all_heard(ctx: &ShardContext) -> bool {
    let boxes: Vec<BoxId> =
        ctx.view.assignments().active_boxes().iter().map(|copy| copy.box_id.clone()).collect();
    let others = boxes.iter().filter(|box_id| **box_id != ctx.me.box_id);
    ctx.peers.all_heard(ctx.view.now(), others)
}

fn read_report(stored: &Stored) -> StoreOutcome {
    match stored.parse::<UsageReport>() {
        Ok(report) => StoreOutcome::Holds(ObjectVersion::new(stored.revision), report),
        Err(error) => {
            log::warn!(target: "usage", error:% = error; "last report refused");
            StoreOutcome::NotApplied
        }
    }
}
