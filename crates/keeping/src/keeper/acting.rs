//! When this box starts and stops acting as the keeper, with or without a valid lease.

use std::time::Duration;

use coord::lease::LeaseAction;
use ids::{FencingToken, Moment};
use ledger::{StepLedger, StepSnapshot};
use placement::PlacementPolicy;
use rand::Rng;

use super::{RefusedRequests, StepKeeper};

/// Terms without a response of the platform after which a keeper starts without a lease.
const UNAVAILABLE_TERMS: u32 = 2;
/// Terms of refused requests after which a keeper takes a lease that its holder still renews. The
/// holder is then assumed to be unreachable for the trainer.
const FORCE_TERMS: u32 = 3;
/// Terms of refused requests after which a keeper starts without a lease although the platform
/// responds. The platform is then too slow to hold a lease. Longer than [`FORCE_TERMS`], so that a
/// takeover is tried first.
const SLOW_TERMS: u32 = 6;
/// Terms without an open step after which a keeper releases its lease.
const EMPTY_TERMS: u32 = 20;
/// Fencing token of a keeper that starts without a lease when no token has been observed.
const FIRST_TOKEN: FencingToken = FencingToken::new(1);

impl<R: Rng, C: PlacementPolicy> StepKeeper<R, C> {
    /// Follows the state of the claim: acts under a new token, or stops if another box holds the
    /// lease.
    pub(super) fn follow_claim(&mut self, now: Moment) {
        if let Some(token) = self.claim.held(now) {
            self.refused = None;
            if self.acting != Some(token) && !self.handing_over {
                self.start_acting(token);
            }
            return;
        }
        // While the platform is unavailable, the last token remains valid until another box holds
        // the lease.
        let superseded = self
            .claim
            .other_holder()
            .is_some_and(|record| self.acting.is_some_and(|token| record.token >= token));
        if superseded {
            self.step_down();
        }
    }

    pub(super) fn start_acting(&mut self, token: FencingToken) {
        // Ledgers of an earlier token continue under the new one.
        let mut snapshots: Vec<StepSnapshot> =
            self.steps.values().map(StepLedger::snapshot).collect();
        snapshots.append(&mut self.adopted);
        self.steps.clear();
        self.acting = Some(token);
        let rule = self.rule();
        for snapshot in snapshots {
            let step = snapshot.spec.step;
            let resumed = rule.map(|rule| StepLedger::resume(snapshot.clone(), token, rule));
            match resumed {
                Some(Ok(ledger)) => {
                    self.steps.entry(step).or_insert(ledger);
                }
                // Resumed when the trainer opens the step again.
                _ => self.adopted.push(snapshot),
            }
        }
        self.starved_until = None;
    }

    pub(super) fn step_down(&mut self) {
        self.acting = None;
        self.steps.clear();
        self.adopted.clear();
    }

    /// Returns whether there is no reason to claim the lease: it was released in a planned stop, or
    /// this box does not act, has no adopted steps, has not just started and gets no requests.
    pub(super) fn is_claim_idle(&self, now: Moment) -> bool {
        let just_started = now.since(self.started_at) < self.settings.term;
        let wanted = self.acting.is_some() || !self.adopted.is_empty() || just_started;
        self.released || !(wanted || self.refused_for(now).is_some())
    }

    pub(super) fn poll_claim(&mut self, now: Moment) -> Option<LeaseAction> {
        if self.is_claim_idle(now) { None } else { self.claim.poll(now) }
    }

    /// Releases the lease if there has been no open step for a while. The next request makes a box
    /// claim it again.
    pub(super) fn release_if_empty(&mut self, now: Moment) -> Option<LeaseAction> {
        if self.acting.is_none() || !self.steps.is_empty() || !self.adopted.is_empty() {
            self.empty_since = None;
            return None;
        }
        let since = *self.empty_since.get_or_insert(now);
        if now.since(since) < self.settings.term * EMPTY_TERMS {
            return None;
        }
        self.empty_since = None;
        let action = self.claim.release(now)?;
        self.acting = None;
        Some(action)
    }

    pub(super) fn record_refused(&mut self, now: Moment) {
        let since = match self.refused {
            Some(refused) if now.since(refused.last) < self.settings.term => refused.since,
            _ => {
                // Only the first request expedites the read of an idle claim, so that further
                // requests do not increase the read rate.
                self.claim.expedite(now);
                if self.is_claim_idle(now) {
                    self.reading_since = now;
                }
                now
            }
        };
        self.refused = Some(RefusedRequests { since, last: now });
    }

    /// Returns for how long requests have been refused, or `None` if there are no recent ones.
    pub(super) fn refused_for(&self, now: Moment) -> Option<Duration> {
        let refused =
            self.refused.filter(|refused| now.since(refused.last) < self.settings.term)?;
        Some(now.since(refused.since))
    }

    /// Starts to act without a lease if the platform is unavailable or too slow.
    pub(super) fn act_without_lease(&mut self, now: Moment) {
        if self.acting.is_some() || self.handing_over {
            return;
        }
        let Some(refused_for) = self.refused_for(now) else { return };
        // An idle claim gets no responses, because it sends no reads.
        let unresponsive_since = self.platform_seen_at.unwrap_or(self.started_at);
        let unresponsive_since = unresponsive_since.max(self.reading_since);
        let unavailable = now.since(unresponsive_since) >= self.settings.term * UNAVAILABLE_TERMS;
        if unavailable || refused_for >= self.settings.term * SLOW_TERMS {
            let last_read =
                self.claim.other_holder().map(|record| record.token).unwrap_or_default();
            self.start_acting(self.highest_seen.max(last_read).next().max(FIRST_TOKEN));
        }
    }

    /// Takes the lease from a holder that renews it but does not serve the trainer.
    pub(super) fn force_lease(&mut self, now: Moment) {
        if self.acting.is_some() || self.handing_over {
            return;
        }
        let refused_for = self.refused_for(now).unwrap_or_default();
        if refused_for >= self.settings.term * FORCE_TERMS {
            self.claim.force_takeover(now);
        }
    }
}
