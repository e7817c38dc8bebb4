//! Watchers that keep the box's cached state of one kind of object up to date with the store.
//!
//! A watcher lists its kind and then watches it from the listing's revision. If the connection
//! drops or the history was compacted, it starts again. Stale reads are never used, except for the
//! first listing of kinds for which an incomplete listing is harmless. During a store outage only
//! the configuration's watcher probes the store, at the intervals of [`ProbeBackoff`]; the others
//! wait until it succeeds, since calls are costly. A watcher that is served by the feed queries the
//! store only while the feed is not fresh.

use std::sync::Arc;
use std::time::Duration;

use ids::whole_millis;
use platform::{Changed, Kind, Listing, StoreError, WatchTime};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::feed::{FeedUpdate, KindSubscription, affects_callers};
use crate::probe::ProbeBackoff;
use crate::{NodeView, StoreCall};

/// Extra time for a watch's response: a slow store takes tens of times its usual response time.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Watch of the named versions. Responses may be lost without an error, so a watch must time out
/// before trainers wait for long.
const VERSION_WATCH: WatchTime = WatchTime { wait: Duration::from_secs(4), slack: WATCH_SLACK };
/// Watch of the failure domains to evacuate. A lost response, a second watch and the feed's delay
/// fit into the platform's evacuation bound.
const EVACUATION_WATCH: WatchTime = WatchTime { wait: Duration::from_secs(2), slack: WATCH_SLACK };
/// Watch of kinds that change rarely and do not affect callers.
const LONG_WATCH: WatchTime = WatchTime { wait: Duration::from_secs(8), slack: WATCH_SLACK };
/// Probe for the store's recovery. Short, because a watch that waits for changes would report it
/// seconds later.
const PROBE_WATCH: WatchTime = WatchTime { wait: Duration::from_millis(20), slack: WATCH_SLACK };
/// How long a watcher waits for the feed to serve it after the store's recovery or the first
/// update.
const FEED_RESUME_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a watcher with a feed waits for the first update before it queries the store. Saves
/// most of a starting box's store calls.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a watcher of a large kind waits for the feed when the store has compacted its history.
const FEED_LISTING_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between a stale first listing and the next poll. By then all boxes of a starting deployment
/// are listed.
const STALE_LIST_DELAY: Duration = Duration::from_millis(300);

/// How a watcher gets its first objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartMode {
    /// Lists the kind.
    List,
    /// Accepts a listing that may be some seconds old, then polls for changes since.
    ListStale,
    /// Waits for the feed.
    AwaitFeed,
}

/// Where an update came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateSource {
    Store,
    Feed,
}

impl UpdateSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Feed => "feed",
        }
    }
}

/// Receives the objects and changes of one kind.
pub trait KindSink: Send + 'static {
    /// Receives a complete listing. The default treats each object as a change, for kinds whose
    /// objects are never removed.
    fn listed(&mut self, listing: &Listing) {
        for stored in &listing.objects {
            self.changed(&Changed::Put(stored.clone()));
        }
    }

    /// Receives one change.
    fn changed(&mut self, change: &Changed);

    /// Receives a batch of changes, in order.
    fn changed_all(&mut self, changes: &[Changed]) {
        for change in changes {
            self.changed(change);
        }
    }

    /// Whether a listing takes so many calls that it is better to wait for the feed.
    fn is_large(&self) -> bool {
        false
    }

    /// Whether the next changes may be batched.
    fn allows_batching(&self) -> bool {
        true
    }
}

/// Keeps one kind up to date.
#[derive(Debug)]
pub struct KindWatcher<S> {
    view: Arc<NodeView>,
    kind: Kind,
    /// Delay between two watches, in which changes accumulate.
    batch_delay: Duration,
    sink: S,
    created_at: Instant,
    start_mode: StartMode,
    /// Whether this box may learn of the store's recovery from another box.
    defers_probe: bool,
    /// The current revision; zero before the first listing.
    revision: watch::Sender<u64>,
    /// Updates from the feed, if subscribed.
    updates: Option<mpsc::Receiver<FeedUpdate>>,
}

impl<S: KindSink> KindWatcher<S> {
    /// Creates a watcher without any objects.
    pub fn new(view: &Arc<NodeView>, kind: Kind, batch_delay: Duration, sink: S) -> Self {
        let view = Arc::clone(view);
        let start_mode = StartMode::List;
        let revision = watch::Sender::new(0);
        Self {
            view,
            kind,
            batch_delay,
            sink,
            created_at: Instant::now(),
            start_mode,
            defers_probe: false,
            revision,
            updates: None,
        }
    }

    /// Subscribes to the feed. The watcher's own watches pause while the feed serves it.
    pub fn feed(&mut self) -> KindSubscription {
        let (sender, updates) = mpsc::channel(1);
        self.updates = Some(updates);
        // The cluster state names the feed sources, so it must be listed first.
        if self.kind != Kind::ClusterState {
            self.start_mode = StartMode::AwaitFeed;
        }
        KindSubscription { kind: self.kind, revision: self.revision.subscribe(), updates: sender }
    }

    /// Allows a first listing that is some seconds old. Use only if a missing object is harmless.
    pub fn allow_stale_first_list(&mut self) {
        self.start_mode = StartMode::ListStale;
    }

    /// Defers probes during an outage while another box responds. For boxes whose work after the
    /// store's recovery is not urgent.
    pub const fn defer_recovery_probe(&mut self) {
        self.defers_probe = true;
    }

    /// Runs until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = self.follow() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn follow(&mut self) {
        let mut served = self.view.feed.freshness().served_states();
        let mut backoff = ProbeBackoff::default();
        let mut next_poll_at = Instant::now();
        let mut watch_time = self.default_watch_time();
        let mut revision = None;
        let mut updates = self.updates.take();
        let has_feed = updates.is_some();
        // The domain's feed source is served by no other box and must not wait for one.
        let mut was_served = false;
        let mut service_requests = self.view.feed.service_requests();
        let relists_targets = self.kind == Kind::Targets && self.view.feed.is_receive_only();
        match self.start_mode {
            StartMode::List => {}
            StartMode::ListStale => revision = self.list_stale().await,
            StartMode::AwaitFeed => revision = self.wait_first_update(&mut updates).await,
        }
        loop {
            let is_paused = has_feed && *served.borrow_and_update();
            was_served |= is_paused;
            if relists_targets && !is_paused && self.lacks_targets() {
                // Changes do not include targets that the feed has filtered out.
                revision = None;
            }
            let response = tokio::select! {
                biased;
                Some(update) = next_update(&mut updates) => {
                    revision = Some(self.apply(update, UpdateSource::Feed));
                    continue;
                }
                _ = served.changed(), if has_feed => {
                    // If the feed was lost, the store is probed without delay.
                    watch_time = PROBE_WATCH;
                    continue;
                }
                _ = service_requests.changed(), if relists_targets && !is_paused => continue,
                // The connection of a pending watch may be unresponsive too, which would go
                // unnoticed until its timeout.
                () = wait_for_loss(&self.view, self.kind), if !is_paused => {
                    self.wait_for_return(&mut served, was_served).await;
                    continue;
                }
                response = poll_at(next_poll_at, &self.view, self.kind, revision, watch_time), if !is_paused => response,
            };
            match response {
                Ok(update) => {
                    self.view.store_answered(self.kind, true);
                    self.view.feed.record_proof(self.kind, self.view.now());
                    backoff.record_response();
                    watch_time = self.default_watch_time();
                    let is_listing = matches!(update, FeedUpdate::Listed(_));
                    let next_revision = self.apply(update, UpdateSource::Store);
                    if is_listing && relists_targets {
                        self.view.feed.set_received_services(None);
                    }
                    let is_new = revision.is_none_or(|last| last != next_revision);
                    revision = Some(next_revision);
                    if is_new && self.sink.allows_batching() {
                        time::sleep(self.batch_delay).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    if was_served
                        && self.sink.is_large()
                        && let Some(update) = wait_for_feed_listing(&mut served, &mut updates).await
                    {
                        let feed_revision =
                            update.map(|update| self.apply(update, UpdateSource::Feed));
                        revision = feed_revision.or(revision);
                        continue;
                    }
                    log::info!(target: "node", kind:% = self.kind; "history compacted; listing again");
                    revision = None;
                }
                Err(error) => {
                    self.view.store_answered(self.kind, false);
                    watch_time = PROBE_WATCH;
                    log::debug!(target: "node", kind:% = self.kind, error:% = error; "store call failed");
                    if self.kind == Kind::Configuration {
                        let has_source =
                            self.defers_probe && self.view.feed.freshness().is_source_responding();
                        next_poll_at = Instant::now() + backoff.record_failure(has_source);
                    } else {
                        time::sleep(backoff.record_failure(false)).await;
                        self.wait_for_return(&mut served, was_served).await;
                    }
                }
            }
        }
    }

    /// Whether targets that this box sends to have been filtered out of all updates so far.
    fn lacks_targets(&self) -> bool {
        self.view.feed.lacks_services(self.view.wanted_services().as_ref())
    }

    /// Waits for the store's recovery, then for the feed if it served this watcher before.
    async fn wait_for_return(&self, served: &mut watch::Receiver<bool>, was_served: bool) {
        wait_until_up(&self.view).await;
        if was_served {
            // Continues from the current revision with or without the feed.
            let _result =
                time::timeout(FEED_RESUME_TIMEOUT, served.wait_for(|served| *served)).await;
        }
    }

    /// Waits for the first update of the feed. Returns `None` if there is none.
    async fn wait_first_update(
        &mut self,
        updates: &mut Option<mpsc::Receiver<FeedUpdate>>,
    ) -> Option<u64> {
        let update = tokio::select! {
            biased;
            update = next_update(updates) => update,
            () = self.wait_for_no_feed() => None,
        };
        let revision = self.apply(update?, UpdateSource::Feed);
        // The feed counts as fresh once the tasks of all kinds have applied their updates.
        let mut served = self.view.feed.freshness().served_states();
        let _result = time::timeout(FEED_RESUME_TIMEOUT, served.wait_for(|served| *served)).await;
        Some(revision)
    }

    /// Waits until a starting box has to query the store itself.
    async fn wait_for_no_feed(&self) {
        let freshness = self.view.feed.freshness();
        if self.kind == Kind::Targets {
            // Many pages for each box: if all boxes of a deployment start at once, this would also
            // delay the sources that list the targets for them. The cluster state names the sources;
            // while it can't be listed, nothing can.
            self.wait_for_cluster_state().await;
            freshness.wait_for_no_progress(FIRST_UPDATE_TIMEOUT).await;
        } else {
            freshness.wait_for_no_source(FIRST_UPDATE_TIMEOUT).await;
        }
    }

    async fn wait_for_cluster_state(&self) {
        let mut changes = self.view.changes();
        while !self.view.assignments().is_read() {
            // Cannot fail: the view owns the sender.
            let _changed = changes.changed().await;
        }
    }

    /// Reads a listing that may be stale. Returns `None` if the call fails.
    async fn list_stale(&mut self) -> Option<u64> {
        self.view.metrics.store_call(self.kind, StoreCall::ListOld);
        match self.view.store.list_old(self.kind).await {
            Ok(listing) => {
                let revision = self.apply(FeedUpdate::Listed(listing), UpdateSource::Store);
                time::sleep(STALE_LIST_DELAY).await;
                Some(revision)
            }
            Err(error) => {
                log::debug!(target: "node", kind:% = self.kind, error:% = error; "store call failed");
                None
            }
        }
    }

    /// Applies an update and returns the new revision.
    fn apply(&mut self, update: FeedUpdate, source: UpdateSource) -> u64 {
        self.log_first_listing(&update, source);
        let revision = match update {
            FeedUpdate::Listed(listing) => {
                self.sink.listed(&listing);
                self.view.feed.listed(self.kind, &listing);
                listing.revision
            }
            FeedUpdate::Changed(changes) => {
                self.sink.changed_all(&changes.changes);
                self.view.feed.changed(self.kind, &changes);
                changes.revision
            }
        };
        // A listing after compacted history may have a lower revision than a watch reported.
        self.revision.send_replace(revision);
        revision
    }

    /// Logs the first listing, which shows how a box got its state after a start.
    fn log_first_listing(&self, update: &FeedUpdate, source: UpdateSource) {
        let FeedUpdate::Listed(listing) = update else { return };
        if *self.revision.borrow() > 0 {
            return;
        }
        log::info!(
            target: "node", kind:% = self.kind, source = source.as_str(),
            objects = listing.objects.len(), revision = listing.revision,
            took_ms = whole_millis(self.created_at.elapsed());
            "first listing"
        );
    }

    fn default_watch_time(&self) -> WatchTime {
        match self.kind {
            kind if affects_callers(kind) => self.view.feed.times().proof,
            Kind::ModelVersions => VERSION_WATCH,
            Kind::Evacuations => EVACUATION_WATCH,
            _ => LONG_WATCH,
        }
    }
}

/// Waits for the feed instead of making a long listing. Returns `None` on a timeout, otherwise the
/// update, or `Some(None)` if the feed is fresh without one.
async fn wait_for_feed_listing(
    served: &mut watch::Receiver<bool>,
    updates: &mut Option<mpsc::Receiver<FeedUpdate>>,
) -> Option<Option<FeedUpdate>> {
    tokio::select! {
        biased;
        update = next_update(updates) => update.map(Some),
        served_in_time = time::timeout(FEED_LISTING_TIMEOUT, served.wait_for(|served| *served)) => {
            served_in_time.is_ok().then_some(None)
        }
    }
}

/// Returns the next update of the feed; never resolves without a subscription.
async fn next_update(updates: &mut Option<mpsc::Receiver<FeedUpdate>>) -> Option<FeedUpdate> {
    match updates {
        Some(updates) => updates.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits until a store call of any kind has failed. Never resolves for the configuration, whose
/// watcher probes for recovery.
async fn wait_for_loss(view: &NodeView, kind: Kind) {
    if kind == Kind::Configuration {
        return std::future::pending().await;
    }
    let mut states = view.store_states();
    // Cannot fail: the view owns the sender.
    let _closed = states.wait_for(|state| !state.up).await;
}

async fn wait_until_up(view: &NodeView) {
    let mut states = view.store_states();
    // Cannot fail: the view owns the sender.
    let _closed = states.wait_for(|state| state.up).await;
}

/// As [`poll_store`], not before `at`.
async fn poll_at(
    at: Instant,
    view: &NodeView,
    kind: Kind,
    revision: Option<u64>,
    time: WatchTime,
) -> Result<FeedUpdate, StoreError> {
    time::sleep_until(at).await;
    poll_store(view, kind, revision, time).await
}

/// Lists the kind, or waits for changes after `revision`.
async fn poll_store(
    view: &NodeView,
    kind: Kind,
    revision: Option<u64>,
    time: WatchTime,
) -> Result<FeedUpdate, StoreError> {
    let Some(revision) = revision else {
        view.metrics.store_call(kind, StoreCall::List);
        return Ok(FeedUpdate::Listed(view.store.list(kind).await?));
    };
    view.metrics.store_call(kind, StoreCall::Watch);
    let mut changes = view.store.watch(kind, revision, time).await?;
    changes.revision = changes.revision.max(revision);
    Ok(FeedUpdate::Changed(changes))
}
