//! Tells other boxes.

use std::time::Duration;

use platform::Kind;
use tokio::time::{self, Instant};
use wire::peer::{FeedKind, FeedPage, FeedRead};

use super::{FEED_WAIT, KindNews, ServiceFilter, binds_callers, kind_of};
use crate::NodeView;

/// Answers a question for changes as soon as there are some, or after the wait that was asked
/// for; at once when this box has no fresh word of the store itself. What it knows is told all the
/// same: news that is not the latest is still newer than none.
pub async fn serve_feed(view: &NodeView, read: &FeedRead) -> FeedPage {
    let asked_at = Instant::now();
    view.usage.merge(&read.usage);
    let wait = Duration::from_millis(u64::from(read.wait_ms)).min(FEED_WAIT);
    let until = asked_at + wait;
    let trust = view.feed.times().tell;
    let mut changes = view.feed.changed.subscribe();
    loop {
        let age = proof_age(view, read);
        let kinds = news(view, read, false);
        if !kinds.is_empty() || age >= trust || Instant::now() >= until {
            let agreed = view.usage.is_time_agreed();
            let true_ms = if agreed { view.usage.time_at(view.now()).millis() } else { 0 };
            let held_ms = millis(asked_at.elapsed());
            let life = view.usage.incarnation().get();
            let kinds = if kinds.is_empty() { news(view, read, true) } else { kinds };
            return FeedPage { kinds, age_ms: millis(age), held_ms, true_ms, incarnation: life };
        }
        let stale_at = Instant::now() + trust.saturating_sub(age);
        // Whichever comes first, all is looked at once more.
        let _elapsed = time::timeout_at(until.min(stale_at), changes.changed()).await;
    }
}

/// How long ago this box last knew all binding kinds to be current of those that are asked for. A box
/// that only hears of the store has no proof.
fn proof_age(view: &NodeView, read: &FeedRead) -> Duration {
    if view.feed.freshness().is_served_by_feed() {
        return Duration::MAX;
    }
    let asked = read.cursors.iter().filter_map(|cursor| kind_of(cursor.kind));
    let now = view.now();
    let ages = asked
        .filter(|kind| binds_callers(*kind))
        .map(|kind| view.feed.age(kind, now).unwrap_or(Duration::MAX));
    ages.max().unwrap_or(Duration::MAX)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// What has changed since the cursors. At the `end` of its wait a box that hears of some targets is told how far all of
/// them are known, too: it need not ask for the same revisions again.
fn news(view: &NodeView, read: &FeedRead, end: bool) -> Vec<FeedKind> {
    let caches = view.feed.caches();
    let services = read.services.as_ref();
    let filter = services.map_or(ServiceFilter::ALL, |some| ServiceFilter::of(&some.names));
    let kinds = read.cursors.iter().filter_map(|cursor| {
        let kind = kind_of(cursor.kind)?;
        let cache = caches.get(&kind)?;
        if let Some(news) = cache.since_of(cursor.revision, filter) {
            return Some(write_news(cursor.kind, news));
        }
        let is_part = services.is_some() && kind == Kind::Targets;
        let is_behind = (1..cache.revision()).contains(&cursor.revision);
        let reached =
            || FeedKind { kind: cursor.kind, revision: cache.revision(), ..FeedKind::default() };
        (end && is_part && is_behind).then(reached)
    });
    kinds.collect()
}

fn write_news(kind: u32, news: KindNews) -> FeedKind {
    FeedKind {
        kind,
        full: news.full,
        revision: news.revision,
        objects: news.objects,
        removed: news.removed,
    }
}
