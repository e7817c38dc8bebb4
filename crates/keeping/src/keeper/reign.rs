//! When this box acts as the keeper: under its lease, beyond it, without one, and when it
//! stops.

use std::time::Duration;

use coord::lease::LeaseAction;
use ids::{FencingToken, Moment};
use ledger::{StepLedger, StepSnapshot};
use placement::PlacementPolicy;
use rand::Rng;

use super::{StepKeeper, VainAsks};

/// Terms without any answer of the platform after which a keeper starts without a lease.
const DETACH_TERMS: u32 = 2;
/// Terms of vain asking after which a keeper takes a lease that its holder still renews, for
/// that holder is cut off from the trainer.
const FORCE_TERMS: u32 = 3;
/// Terms of vain asking after which a keeper starts without a lease although the platform
/// answers: it is then too slow for a lease to be held. Later than taking it by force.
const SLOW_TERMS: u32 = 6;
/// Terms without any step after which a keeper frees its lease: a minute at the usual term.
const EMPTY_TERMS: u32 = 20;
/// Fencing token under which a detached keeper starts when the trainer has seen none.
const FIRST_TOKEN: FencingToken = FencingToken::new(1);

impl<R: Rng, C: PlacementPolicy> StepKeeper<R, C> {
    /// Follows what the claim learnt: acts under a new token, or stops for another holder.
    pub(super) fn follow_claim(&mut self, now: Moment) {
        if let Some(token) = self.claim.held(now) {
            self.vain = None;
            if self.acting != Some(token) && !self.handing_over {
                self.start_acting(token);
            }
            return;
        }
        // Without the platform the last token stays good; another holder ends it.
        let superseded = self
            .claim
            .other_holder()
            .is_some_and(|record| self.acting.is_some_and(|mine| record.token >= mine));
        if superseded {
            self.step_down();
        }
    }

    pub(super) fn start_acting(&mut self, token: FencingToken) {
        // Ledgers kept under an earlier token go on under the new one.
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
                // Kept until the trainer opens the step again.
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

    /// Whether there is no reason to claim: freed in a planned stop, or asked by nobody.
    pub(super) fn rests(&self, now: Moment) -> bool {
        let young = now.since(self.started_at) < self.settings.term;
        let wanted = self.acting.is_some() || !self.adopted.is_empty() || young;
        self.released || !(wanted || self.vain_for(now).is_some())
    }

    pub(super) fn poll_claim(&mut self, now: Moment) -> Option<LeaseAction> {
        if self.rests(now) { None } else { self.claim.poll(now) }
    }

    /// Frees the lease of a keeper that has had no step for long; the next question claims it
    /// again, here or elsewhere.
    pub(super) fn free_empty(&mut self, now: Moment) -> Option<LeaseAction> {
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

    pub(super) fn note_vain(&mut self, now: Moment) {
        let since = match self.vain {
            Some(vain) if now.since(vain.last) < self.settings.term => vain.since,
            _ => {
                // The first question wakes a claim that rested; later ones must not make it
                // read more often than its term wants.
                self.claim.expedite(now);
                now
            }
        };
        self.vain = Some(VainAsks { since, last: now });
    }

    /// How long trainers have kept asking in vain; `None` when nobody does any more.
    pub(super) fn vain_for(&self, now: Moment) -> Option<Duration> {
        let vain = self.vain.filter(|vain| now.since(vain.last) < self.settings.term)?;
        Some(now.since(vain.since))
    }

    /// With the platform away, or too slow for any lease, keeping goes on without one.
    pub(super) fn maybe_detach(&mut self, now: Moment) {
        if self.acting.is_some() || self.handing_over {
            return;
        }
        let Some(vain_for) = self.vain_for(now) else { return };
        let silent_since = self.platform_heard.unwrap_or(self.started_at);
        let away = now.since(silent_since) >= self.settings.term * DETACH_TERMS;
        if away || vain_for >= self.settings.term * SLOW_TERMS {
            let known = self.claim.other_holder().map(|record| record.token).unwrap_or_default();
            self.start_acting(self.seen.max(known).next().max(FIRST_TOKEN));
        }
    }

    /// A holder that renews but cannot be reached from here gives way to the trainer's need.
    pub(super) fn maybe_force(&mut self, now: Moment) {
        if self.acting.is_some() || self.handing_over {
            return;
        }
        let vain_for = self.vain_for(now).unwrap_or_default();
        if vain_for >= self.settings.term * FORCE_TERMS {
            self.claim.force_takeover(now);
        }
    }
}
