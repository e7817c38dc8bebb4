//! Followers: each keeps one kind of the store's objects current in the box's belief.
//!
//! A follower lists its kind and then watches it from the listing's revision on. A watch that is
//! cut, or whose history is forgotten, begins again; nothing is ever taken from a read that may
//! be stale, but where a kind's first listing decides nothing by itself. While the store is away only
//! the configuration's follower asks it, as often as [`ProbePace`] says; the others wait for its word,
//! since every call has its price. A follower that another box feeds asks the store only while it is
//! not fed.

use std::sync::Arc;
use std::time::Duration;

use platform::{Changed, Kind, Listing, StoreError, WatchTime};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::feed::{FeedUpdate, KindSubscription, affects_callers};
use crate::probe::ProbePace;
use crate::{NodeView, StoreCall};

/// Room for a watch's answer: the store takes some tens of times as long as usual when it is slow.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Longest watch of the named versions. An answer may be lost without a word, so a watch must end by
/// itself before trainers have waited for long.
const WATCH_TIME: WatchTime = WatchTime { wait: Duration::from_secs(4), slack: WATCH_SLACK };
/// The same of domains that are to be emptied: an answer lost, a second watch and the way to the boxes that are told
/// fit into the time in which nothing may go there any more.
const EVACUATION_TIME: WatchTime = WatchTime { wait: Duration::from_secs(2), slack: WATCH_SLACK };
/// The same for kinds that change seldom and bind no caller.
const LONG_TIME: WatchTime = WatchTime { wait: Duration::from_secs(8), slack: WATCH_SLACK };
/// The watch that finds out whether the store is back: one that waits for changes would tell it
/// only seconds later.
const PROBE_TIME: WatchTime = WatchTime { wait: Duration::from_millis(20), slack: WATCH_SLACK };
/// After the store's return, or its first news, how long a follower waits to be fed.
const FEED_RETURN: Duration = Duration::from_millis(700);
/// How long a follower that may be fed waits for the first news before it asks the store itself. A box
/// that starts among hundreds makes one or two calls so, in place of six.
const FIRST_FEED: Duration = Duration::from_secs(1);
/// How long a follower whose history is gone waits for another box's word of a kind with many objects.
const TOLD_INSTEAD: Duration = Duration::from_secs(2);
/// How long changes gather after a first listing that may be old: all boxes of a deployment that starts
/// are there by then.
const FIRST_GATHER: Duration = Duration::from_millis(300);

/// How a follower begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstLook {
    /// It lists its kind.
    Lists,
    /// It lists its kind as it was some seconds ago, and asks what has changed since.
    ListsOld,
    /// It waits for another box to feed it.
    WaitsForFeed,
}

/// Takes what a follower hears.
pub trait KindSink: Send + 'static {
    /// All objects of the kind, as they are now. Where no object goes away, each of them is a
    /// change like any other.
    fn listed(&mut self, listing: &Listing) {
        for stored in &listing.objects {
            self.changed(&Changed::Put(stored.clone()));
        }
    }

    /// One change.
    fn changed(&mut self, change: &Changed);

    /// Changes that came together, in their order.
    fn changed_all(&mut self, changes: &[Changed]) {
        for change in changes {
            self.changed(change);
        }
    }

    /// Whether a listing takes so many calls that another box's word is worth a wait.
    fn is_large(&self) -> bool {
        false
    }

    /// Whether the next changes may gather for a while.
    fn may_gather(&self) -> bool {
        true
    }
}

/// Keeps one kind current.
#[derive(Debug)]
pub struct KindWatcher<S> {
    view: Arc<NodeView>,
    kind: Kind,
    /// How long changes may gather between two watches.
    gather: Duration,
    sink: S,
    first: FirstLook,
    /// Whether another box's word of the store's return is soon enough.
    may_hear_later: bool,
    /// Up to which revision the kind is known; zero for not at all.
    revision: watch::Sender<u64>,
    /// News from another box, if the kind is fed.
    news: Option<mpsc::Receiver<FeedUpdate>>,
}

impl<S: KindSink> KindWatcher<S> {
    /// A follower that knows nothing yet.
    pub fn new(view: &Arc<NodeView>, kind: Kind, gather: Duration, sink: S) -> Self {
        let view = Arc::clone(view);
        let first = FirstLook::Lists;
        let revision = watch::Sender::new(0);
        Self { view, kind, gather, sink, first, may_hear_later: false, revision, news: None }
    }

    /// Lets another box's news feed this follower; its own watches rest meanwhile.
    pub fn feed(&mut self) -> KindSubscription {
        let (sender, news) = mpsc::channel(1);
        self.news = Some(news);
        // The duties tell who feeds.
        if self.kind != Kind::ClusterState {
            self.first = FirstLook::WaitsForFeed;
        }
        KindSubscription { kind: self.kind, revision: self.revision.subscribe(), updates: sender }
    }

    /// Lets the first listing be some seconds old, where nothing is decided by what is not in it.
    pub fn allow_stale_first_list(&mut self) {
        self.first = FirstLook::ListsOld;
    }

    /// Lets the box hear of the store's return from another one: nobody waits for what it does then.
    pub const fn defer_recovery_probe(&mut self) {
        self.may_hear_later = true;
    }

    /// Follows the kind until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = self.follow() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn follow(&mut self) {
        let mut fed = self.view.feed.freshness().served_states();
        let mut pace = ProbePace::default();
        let mut ask_at = Instant::now();
        let mut wait = self.usual_time();
        let mut known = None;
        let mut news = self.news.take();
        let listens = news.is_some();
        // The first box of its domain is fed by nobody, and would wait in vain.
        let mut was_fed = false;
        let mut wants = self.view.feed.service_requests();
        let lists_anew = self.kind == Kind::Targets && self.view.feed.is_receive_only();
        match self.first {
            FirstLook::Lists => {}
            FirstLook::ListsOld => known = self.list_old().await,
            FirstLook::WaitsForFeed => known = self.first_news(&mut news).await,
        }
        loop {
            let resting = listens && *fed.borrow_and_update();
            was_fed |= resting;
            if lists_anew && !resting && self.lacks_targets() {
                // What was left out while another box told stands in no change.
                known = None;
            }
            let answered = tokio::select! {
                biased;
                Some(told) = next_news(&mut news) => {
                    known = Some(self.take(told));
                    continue;
                }
                _ = fed.changed(), if listens => {
                    // Not fed any more: whether the store answers must be known soon.
                    wait = PROBE_TIME;
                    continue;
                }
                _ = wants.changed(), if lists_anew && !resting => continue,
                // The connection of a watch that waits may have fallen silent as well, which would show only at its
                // end, up to nine seconds later.
                () = lost_by_others(&self.view, self.kind), if !resting => {
                    self.wait_for_return(&mut fed, was_fed).await;
                    continue;
                }
                answered = ask_from(ask_at, &self.view, self.kind, known, wait), if !resting => answered,
            };
            match answered {
                Ok(told) => {
                    self.view.store_answered(self.kind, true);
                    self.view.feed.record_proof(self.kind, self.view.now());
                    pace.answered();
                    wait = self.usual_time();
                    let lists = matches!(told, FeedUpdate::Listed(_));
                    let next = self.take(told);
                    if lists && lists_anew {
                        self.view.feed.set_received_services(None);
                    }
                    let is_new = known.is_none_or(|last| last != next);
                    known = Some(next);
                    if is_new && self.sink.may_gather() {
                        time::sleep(self.gather).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    if was_fed
                        && self.sink.is_large()
                        && let Some(told) = told_instead(&mut fed, &mut news).await
                    {
                        known = told.map(|told| self.take(told)).or(known);
                        continue;
                    }
                    log::info!(target: "node", kind:% = self.kind; "list again, history is gone");
                    known = None;
                }
                Err(error) => {
                    self.view.store_answered(self.kind, false);
                    wait = PROBE_TIME;
                    log::debug!(target: "node", kind:% = self.kind, error:% = error; "store call failed");
                    if self.kind == Kind::Configuration {
                        let told = self.may_hear_later
                            && self.view.feed.freshness().is_source_responding();
                        ask_at = Instant::now() + pace.failed(told);
                    } else {
                        time::sleep(pace.failed(false)).await;
                        self.wait_for_return(&mut fed, was_fed).await;
                    }
                }
            }
        }
    }

    /// Whether targets that this box sends to were left out of all that it was told.
    fn lacks_targets(&self) -> bool {
        self.view.feed.lacks_services(self.view.wanted_services().as_ref())
    }

    /// Returns once the store is back, and once another box tells of it where one did before.
    async fn wait_for_return(&self, fed: &mut watch::Receiver<bool>, was_fed: bool) {
        wait_until_up(&self.view).await;
        if was_fed {
            // Fed or not, it goes on from what is known.
            let _fed = time::timeout(FEED_RETURN, fed.wait_for(|fed| *fed)).await;
        }
    }

    /// The first news of another box; `None` when nobody tells this one.
    async fn first_news(&mut self, news: &mut Option<mpsc::Receiver<FeedUpdate>>) -> Option<u64> {
        let told = tokio::select! {
            biased;
            told = next_news(news) => told,
            _nobody = time::timeout(FIRST_FEED, self.view.feed.freshness().wait_for_no_source()) => None,
        };
        let known = self.take(told?);
        // The same answer told of other kinds, and counts as heard once their tasks have taken them.
        let mut fed = self.view.feed.freshness().served_states();
        let _fed = time::timeout(FEED_RETURN, fed.wait_for(|fed| *fed)).await;
        Some(known)
    }

    /// Lists the kind as it was a while ago; `None` when the store does not tell.
    async fn list_old(&mut self) -> Option<u64> {
        self.view.metrics.store_call(self.kind, StoreCall::ListOld);
        match self.view.store.list_old(self.kind).await {
            Ok(listing) => {
                let known = self.take(FeedUpdate::Listed(listing));
                time::sleep(FIRST_GATHER).await;
                Some(known)
            }
            Err(error) => {
                log::debug!(target: "node", kind:% = self.kind, error:% = error; "store call failed");
                None
            }
        }
    }

    /// Takes what was told; says up to which revision the kind is known now.
    fn take(&mut self, told: FeedUpdate) -> u64 {
        let revision = match told {
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
        // A listing after forgotten history may go back behind what a watch has told.
        self.revision.send_replace(revision);
        revision
    }

    fn usual_time(&self) -> WatchTime {
        match self.kind {
            kind if affects_callers(kind) => self.view.feed.times().proof,
            Kind::ModelVersions => WATCH_TIME,
            Kind::Evacuations => EVACUATION_TIME,
            _ => LONG_TIME,
        }
    }
}

/// Waits for another box's word in place of a long listing, which that box makes for all of its domain; `None` when
/// it does not come. News, or none where the box is told of all that there is.
async fn told_instead(
    fed: &mut watch::Receiver<bool>,
    news: &mut Option<mpsc::Receiver<FeedUpdate>>,
) -> Option<Option<FeedUpdate>> {
    tokio::select! {
        biased;
        told = next_news(news) => told.map(Some),
        told = time::timeout(TOLD_INSTEAD, fed.wait_for(|fed| *fed)) => {
            told.is_ok().then_some(None)
        }
    }
}

/// The next news of another box; never any where none is heard.
async fn next_news(news: &mut Option<mpsc::Receiver<FeedUpdate>>) -> Option<FeedUpdate> {
    match news {
        Some(news) => news.recv().await,
        None => std::future::pending().await,
    }
}

/// Returns when the store is lost by a call about another kind; never for the configuration, whose follower looks
/// whether it is back.
async fn lost_by_others(view: &NodeView, kind: Kind) {
    if kind == Kind::Configuration {
        return std::future::pending().await;
    }
    let mut states = view.store_states();
    // The sender lives in the view, so this ends only when the store is down.
    let _closed = states.wait_for(|state| !state.up).await;
}

async fn wait_until_up(view: &NodeView) {
    let mut states = view.store_states();
    // The sender lives in the view, so this ends only when the store is up.
    let _closed = states.wait_for(|state| state.up).await;
}

/// As [`follow_once`], not before `at`.
async fn ask_from(
    at: Instant,
    view: &NodeView,
    kind: Kind,
    known: Option<u64>,
    time: WatchTime,
) -> Result<FeedUpdate, StoreError> {
    time::sleep_until(at).await;
    follow_once(view, kind, known, time).await
}

/// Lists the kind, or waits for changes after `known`.
async fn follow_once(
    view: &NodeView,
    kind: Kind,
    known: Option<u64>,
    time: WatchTime,
) -> Result<FeedUpdate, StoreError> {
    let Some(known) = known else {
        view.metrics.store_call(kind, StoreCall::List);
        return Ok(FeedUpdate::Listed(view.store.list(kind).await?));
    };
    view.metrics.store_call(kind, StoreCall::Watch);
    let mut changes = view.store.watch(kind, known, time).await?;
    changes.revision = changes.revision.max(known);
    Ok(FeedUpdate::Changed(changes))
}
