//! Serves feed requests of other boxes.

use std::time::Duration;

use platform::Kind;
use tokio::time::{self, Instant};
use wire::peer::{FeedKind, FeedPage, FeedRead};

use super::{KindUpdate, MAX_POLL_WAIT, ServiceFilter, affects_callers, kind_of};
use crate::NodeView;

/// Responds to a feed request as soon as there are changes or when its wait is over. Responds at
/// once if this box has no recent confirmation of the store; its cached updates are sent all the
/// same, since they may be newer than what the follower has.
pub async fn serve_feed(view: &NodeView, read: &FeedRead) -> FeedPage {
    let received_at = Instant::now();
    view.usage.merge(&read.usage);
    let wait = Duration::from_millis(u64::from(read.wait_ms)).min(MAX_POLL_WAIT);
    let until = received_at + wait;
    let max_age = view.feed.times().max_source_age;
    let mut changes = view.feed.changed.subscribe();
    loop {
        let age = proof_age(view, read);
        let kinds = collect_updates(view, read, false);
        let starting = is_starting(view, read);
        let is_too_old = age >= max_age && !starting;
        if !kinds.is_empty() || is_too_old || Instant::now() >= until {
            let agreed = view.usage.is_time_agreed();
            let cluster_ms = if agreed { view.usage.time_at(view.now()).millis() } else { 0 };
            let held_ms = millis(received_at.elapsed());
            let incarnation = view.usage.incarnation().get();
            let kinds = if kinds.is_empty() { collect_updates(view, read, true) } else { kinds };
            let age_ms = millis(age);
            return FeedPage { kinds, age_ms, held_ms, cluster_ms, incarnation, starting };
        }
        let stale_at = Instant::now() + max_age.saturating_sub(age);
        let recheck_at = if starting { until } else { until.min(stale_at) };
        // Re-evaluates after a change or a timeout.
        let _elapsed = time::timeout_at(recheck_at, changes.changed()).await;
    }
}

/// Whether this box reaches the store, but has not listed all requested kinds yet.
fn is_starting(view: &NodeView, read: &FeedRead) -> bool {
    let caches = view.feed.caches();
    let mut requested = read.cursors.iter().filter_map(|cursor| kind_of(cursor.kind));
    let lacks_kind =
        requested.any(|kind| caches.get(&kind).is_none_or(|cache| cache.revision() == 0));
    lacks_kind && view.store_state().up
}

/// Returns the age of the oldest confirmation by the store among the requested kinds that affect
/// callers. A box that is served by the feed has no proof of its own.
fn proof_age(view: &NodeView, read: &FeedRead) -> Duration {
    if view.feed.freshness().is_served_by_feed() {
        return Duration::MAX;
    }
    let requested = read.cursors.iter().filter_map(|cursor| kind_of(cursor.kind));
    let now = view.now();
    let ages = requested
        .filter(|kind| affects_callers(*kind))
        .map(|kind| view.feed.age(kind, now).unwrap_or(Duration::MAX));
    ages.max().unwrap_or(Duration::MAX)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Collects the changes since the cursors. With `at_deadline`, a follower that receives only some
/// targets also gets the current revision of all targets, so that it need not repeat old cursors.
fn collect_updates(view: &NodeView, read: &FeedRead, at_deadline: bool) -> Vec<FeedKind> {
    let caches = view.feed.caches();
    let services = read.services.as_ref();
    let filter = services.map_or(ServiceFilter::ALL, |some| ServiceFilter::of(&some.names));
    let max_bytes = match usize::try_from(read.max_listing_bytes) {
        Ok(0) | Err(_) => usize::MAX,
        Ok(max_bytes) => max_bytes,
    };
    let kinds = read.cursors.iter().filter_map(|cursor| {
        let kind = kind_of(cursor.kind)?;
        let cache = caches.get(&kind)?;
        if let Some(position) = &cursor.listed_to {
            let rest = cache.list_after(Some(position), filter, max_bytes)?;
            return Some(update_to_wire(cursor.kind, rest));
        }
        if let Some(update) = cache.since_limited(cursor.revision, filter, max_bytes) {
            return Some(update_to_wire(cursor.kind, update));
        }
        let is_filtered = services.is_some() && kind == Kind::Targets;
        let is_behind = (1..cache.revision()).contains(&cursor.revision);
        let reached =
            || FeedKind { kind: cursor.kind, revision: cache.revision(), ..FeedKind::default() };
        (at_deadline && is_filtered && is_behind).then(reached)
    });
    kinds.collect()
}

fn update_to_wire(kind: u32, update: KindUpdate) -> FeedKind {
    FeedKind {
        kind,
        full: update.full,
        revision: update.revision,
        objects: update.objects,
        removed: update.removed,
        continues_after: update.continues_after,
    }
}
