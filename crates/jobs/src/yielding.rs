//! Yields free slots to more urgent items of other shards.
//!
//! A free slot is yielded for a short time only. If it is not used in that time, the other shard
//! can't use it, for example because it can't reach the engine, and slots are not yielded for the
//! same model for a while.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use ids::Moment;

use crate::Urgency;

/// Items of another shard must have this much less slack. A smaller difference is within the error of the
/// predictions and the age of the reports.
const MARGIN_MS: i64 = 500;
/// Reports older than this don't count; the interval of reports is 250 ms.
const REPORT_TTL: Duration = Duration::from_millis(700);
/// How long a free slot is yielded. Together with the 100 ms until the next pass it stays below the
/// interval of reports.
const YIELD_TIME: Duration = Duration::from_millis(140);
/// How long no slot is yielded for a model after one was not used.
const YIELD_PAUSE: Duration = Duration::from_secs(1);
/// Slots are scarce for this time after a shard found none for an item.
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Adjusted slack of the most urgent waiting item of each model, as reported by the servers of
/// shards. `R` identifies the reporter.
#[derive(Debug)]
pub struct UrgencyReports<R>(HashMap<R, (Moment, HashMap<String, i64>)>);

impl<R> Default for UrgencyReports<R> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<R: Eq + Hash> UrgencyReports<R> {
    /// Records a report, which replaces the reporter's previous one.
    pub fn record(&mut self, now: Moment, reporter: R, slacks: HashMap<String, i64>) {
        self.0.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        self.0.insert(reporter, (now, slacks));
    }

    /// Returns the least slack that the other reporters report for a model.
    pub fn least_slack(&self, now: Moment, model: &str, own: &R) -> Option<i64> {
        let others = self.0.iter().filter(|(reporter, _)| *reporter != own);
        let recent = others.filter(|(_, (at, _))| now.since(*at) < REPORT_TTL);
        recent.filter_map(|(_, (_, slacks))| slacks.get(model).copied()).min()
    }
}

/// Decides for one shard whether a free slot is yielded.
#[derive(Debug, Default)]
pub struct SlotYield {
    /// When slots were first yielded, by model.
    since: HashMap<String, Moment>,
    /// When an item last found no free slot, by model.
    scarce_at: HashMap<String, Moment>,
}

impl SlotYield {
    /// Returns whether slots are scarce and an item is clearly less urgent than one of another
    /// shard, whose least slack for the model is `other`.
    pub fn is_outranked(&self, now: Moment, model: &str, own: Urgency, other: Option<i64>) -> bool {
        let is_scarce = |at: &Moment| now.since(*at) < SCARCE_TIME;
        let own = own.wanted_slack_ms().unwrap_or(i64::MAX);
        self.scarce_at.get(model).is_some_and(is_scarce)
            && other.is_some_and(|other| other.saturating_add(MARGIN_MS) < own)
    }

    /// Returns whether an item that is outranked must leave a free slot to the other shard.
    pub fn should_yield(
        &mut self,
        now: Moment,
        model: &str,
        own: Urgency,
        other: Option<i64>,
    ) -> bool {
        if !self.is_outranked(now, model, own, other) {
            return false;
        }
        let since = self.since.entry(model.to_owned()).or_insert(now);
        let yielded = now.since(*since);
        if yielded >= YIELD_TIME + YIELD_PAUSE {
            *since = now;
            return true;
        }
        yielded < YIELD_TIME
    }

    /// Records that an item found no free slot. If slots are being yielded, the other shard uses
    /// them; otherwise this shard has taken them itself.
    pub fn no_free_slot(&mut self, now: Moment, model: &str) {
        self.scarce_at.insert(model.to_owned(), now);
        if self.since.get(model).is_some_and(|since| now.since(*since) < YIELD_TIME) {
            self.since.remove(model);
        }
    }
}
