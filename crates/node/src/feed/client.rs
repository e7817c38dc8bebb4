//! Polls another box of the domain for updates of the store.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ids::{BoxId, Incarnation, ServiceName, whole_millis};
use joblog::StorageBox;
use links::LinkPool;
use platform::{Changed, Changes, Kind, Listing, Stored, StoredValue};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use usage::{TableVersion, UnixTime};
use wire::peer::{
    FeedCursor, FeedKind, FeedPage, FeedRead, ServiceSelection, shard_request, shard_response,
};

use super::freshness::SourceSearch;
use super::listing::PartialListings;
use super::{FreshnessProof, MAX_POLL_WAIT, kind_of, number_of};
use crate::NodeView;

/// Extra time for a response beyond the requested wait.
const RESPONSE_SLACK: Duration = Duration::from_millis(300);
/// As [`RESPONSE_SLACK`], while this box has not received all listings. The source may be receiving
/// its own, and serves many other starting boxes.
const LISTING_RESPONSE_SLACK: Duration = Duration::from_secs(1);
/// Maximum size of one part of a listing. Small, so that each part arrives in time while hundreds of
/// boxes share the link of a source.
const MAX_LISTING_BYTES: u32 = 64 << 10;
/// How long after its own start this box waits for a source that is starting as well. Longer than a
/// source takes to list many pages of targets while the store is slow.
const SOURCE_START_TIMEOUT: Duration = Duration::from_secs(20);
/// Backoff for a source that did not respond. Short, so that after a store outage the boxes of the
/// domain do not all query the store instead of the source.
const SOURCE_BACKOFF: Duration = Duration::from_millis(500);
/// Interval of usage reports to another domain. Traffic between domains is costly, and usage
/// reports tolerate seconds of delay.
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Backoff for a box of another domain that did not respond.
const REMOTE_BACKOFF: Duration = Duration::from_secs(5);
/// Minimum interval between polls that return no updates, since hundreds of boxes poll one source.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of checks for a source while the domain has none.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// How long a starting box looks for a source before it reports that there is none. If all boxes of
/// a deployment start at once, the source is not listed yet.
const SOURCE_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The services whose targets were received; `None` for all.
type ReceivedServices = Option<BTreeSet<ServiceName>>;

/// An update of one kind, for the task that tracks it.
#[derive(Debug)]
pub(crate) enum FeedUpdate {
    Listed(Listing),
    Changed(Changes),
}

/// The feed's connection to the task that tracks one kind.
#[derive(Debug)]
pub struct KindSubscription {
    pub(crate) kind: Kind,
    /// The revision that the task has reached; zero before the first update.
    pub(crate) revision: watch::Receiver<u64>,
    pub(crate) updates: mpsc::Sender<FeedUpdate>,
}

/// Polls the feed sources of this failure domain for all `kinds`, one source at a time, until
/// `stop`. While no source responds, the kinds' own watches continue.
pub async fn follow_feed(
    view: Arc<NodeView>,
    links: LinkPool,
    kinds: Vec<KindSubscription>,
    stop: CancellationToken,
) {
    let mut client = FeedClient {
        view: Arc::clone(&view),
        links,
        kinds,
        listings: PartialListings::default(),
        listed_services: None,
        started_at: Instant::now(),
        has_received: false,
        failed_at: HashMap::new(),
        usage_reported_at: None,
    };
    tokio::select! {
        () = client.run() => {}
        () = view.feed.freshness().expire(|proof| log_feed_lost(&view, proof)) => {}
        () = stop.cancelled() => {}
    }
}

fn log_feed_lost(view: &NodeView, proof: &FreshnessProof) {
    let age_ms = whole_millis(proof.proven_at.elapsed());
    log::warn!(
        target: "node", dependency = "feed", peer:% = proof.source, age_ms = age_ms,
        config = view.table().version.get();
        "lost"
    );
}

/// How a page leaves this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageState {
    /// The box's state is fresh enough to do without the store.
    Fresh,
    /// The page brought updates, and more are needed: parts of a listing, or other kinds.
    Partial,
    /// The source will soon serve this box.
    Starting,
    /// Another box may have newer updates.
    Stale,
}

/// Result of applying a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PageOutcome {
    state: PageState,
    /// Whether the page contained updates that this box lacked.
    has_updates: bool,
}

struct FeedClient {
    view: Arc<NodeView>,
    links: LinkPool,
    kinds: Vec<KindSubscription>,
    listings: PartialListings,
    /// The services selected in the listing of targets in progress.
    listed_services: ReceivedServices,
    started_at: Instant,
    /// Whether a source has responded.
    has_received: bool,
    /// When each box last failed to respond with fresh data.
    failed_at: HashMap<BoxId, Instant>,
    /// When usage was last reported to another domain.
    usage_reported_at: Option<Instant>,
}

impl FeedClient {
    async fn run(&mut self) {
        let mut changes = self.view.changes();
        let mut state = PageState::Stale;
        loop {
            let Some(source) = self.select_source() else {
                if let Some(search) = self.search_result() {
                    self.view.feed.freshness().set_search(search);
                }
                self.report_usage_to_other_domain().await;
                // Checks again after a change or a timeout.
                let _timed_out = time::timeout(SOURCE_CHECK_INTERVAL, changes.changed()).await;
                continue;
            };
            let polled_at = Instant::now();
            let is_served = self.view.feed.freshness().is_served_by_feed();
            let wait = if is_served || state == PageState::Starting {
                MAX_POLL_WAIT
            } else {
                Duration::ZERO
            };
            let Some((page, services)) = self.poll_source(&source, wait).await else {
                self.view.metrics.count_outcome("feed", "not told");
                self.failed_at.insert(source.box_id, Instant::now());
                state = PageState::Stale;
                continue;
            };
            self.view.feed.freshness().record_response();
            self.has_received = true;
            let outcome = self.apply_page(&source, polled_at, page).await;
            state = outcome.state;
            if let Some(services) = services {
                self.view.feed.set_received_services(services);
            }
            if matches!(state, PageState::Partial | PageState::Starting) {
                self.view.feed.freshness().record_progress();
            }
            if state == PageState::Stale {
                self.view.metrics.count_outcome("feed", "old");
                self.failed_at.insert(source.box_id, Instant::now());
                continue;
            }
            self.failed_at.remove(&source.box_id);
            if !outcome.has_updates {
                // A source whose proof is aging responds without a wait, and one that is behind this
                // box repeats its listing.
                time::sleep_until(polled_at + MIN_POLL_INTERVAL).await;
            }
        }
    }

    /// Result of the search for a source, when none can be polled; `None` while it may go on.
    fn search_result(&self) -> Option<SourceSearch> {
        let is_over = self.started_at.elapsed() >= SOURCE_DISCOVERY_TIMEOUT;
        match self.ranked().first() {
            Some(first) if first.box_id == self.view.settings.box_id => {
                Some(SourceSearch::NoneExists)
            }
            Some(_) => is_over.then_some(SourceSearch::NoneResponds),
            None if !self.view.assignments().is_read() => {
                // Sources may be registered all the same.
                is_over.then_some(SourceSearch::NoneResponds)
            }
            None => is_over.then_some(SourceSearch::NoneExists),
        }
    }

    /// Selects the source: the same for all boxes of the domain while it responds.
    fn select_source(&self) -> Option<StorageBox> {
        let me = &self.view.settings.box_id;
        // A storage box uses only sources ranked before it; the first one queries the store.
        let mut ranked_before =
            self.ranked().into_iter().take_while(|candidate| candidate.box_id != *me);
        ranked_before.find(|candidate| {
            self.failed_at.get(&candidate.box_id).is_none_or(|at| at.elapsed() >= SOURCE_BACKOFF)
        })
    }

    /// Storage boxes of this domain, in order of preference.
    fn ranked(&self) -> Vec<StorageBox> {
        let assignments = self.view.assignments();
        let domain = &self.view.settings.domain;
        let local: Vec<&StorageBox> =
            assignments.boxes().filter(|candidate| candidate.domain == *domain).collect();
        let ids = local.iter().map(|candidate| &candidate.box_id);
        let ranked = coord::rendezvous::ranked(domain.as_str(), ids, local.len()).into_iter();
        let found =
            ranked.filter_map(|box_id| local.iter().find(|candidate| candidate.box_id == *box_id));
        found.map(|candidate| (*candidate).clone()).collect()
    }

    /// Polls a source. Returns its page and, once the targets of all wanted services have been
    /// received, these services.
    async fn poll_source(
        &mut self,
        source: &StorageBox,
        wait: Duration,
    ) -> Option<(FeedPage, Option<ReceivedServices>)> {
        let wanted = self.view.wanted_services();
        let relist = self.view.feed.lacks_services(wanted.as_ref());
        if wanted != self.listed_services {
            // The parts received so far lack the targets of other services.
            self.listings.discard(Kind::Targets);
            self.listed_services.clone_from(&wanted);
        }
        let cursors =
            self.kinds.iter().filter_map(|subscription| self.cursor(subscription, relist));
        let services = wanted.as_ref().map(|wanted| ServiceSelection {
            names: wanted.iter().map(ToString::to_string).collect(),
        });
        let (usage, version) = self.view.usage.unreported(&source.box_id);
        let read = FeedRead {
            cursors: cursors.collect(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            usage,
            services,
            max_listing_bytes: MAX_LISTING_BYTES,
        };
        let time = wait + self.response_slack();
        let body = shard_request::Body::Feed(read);
        match self.links.call_shard_unary(&source.address, time, body).await {
            Ok(shard_response::Body::Feed(page)) => {
                self.record_usage_ack(source, version, &page);
                let is_full_targets = |update: &FeedKind| {
                    update.full
                        && update.continues_after.is_none()
                        && self.is_current_target_update(update)
                };
                let has_targets = !relist || page.kinds.iter().any(is_full_targets);
                Some((page, has_targets.then_some(wanted)))
            }
            Ok(_other) => None,
            Err(error) => {
                log::debug!(target: "node", peer:% = source.box_id, error:% = error; "feed poll failed");
                None
            }
        }
    }

    /// The position from which this box requests updates of a kind; `None` if it requests none.
    fn cursor(&self, subscription: &KindSubscription, relist: bool) -> Option<FeedCursor> {
        let kind = subscription.kind;
        let is_unconfigured = self.view.feed.is_receive_only() && !self.view.is_configured();
        if kind == Kind::Targets && is_unconfigured && !self.has_received {
            // The configuration selects the services whose targets are received. A source that has
            // none yet serves this box without targets.
            return None;
        }
        // Updates since a revision do not include targets that were filtered out before it.
        let relists_targets = relist && kind == Kind::Targets;
        let revision = if relists_targets { 0 } else { *subscription.revision.borrow() };
        let listed_to = self.listings.position(kind).cloned();
        Some(FeedCursor { kind: number_of(kind)?, revision, listed_to })
    }

    /// Extra time for the response to a poll.
    fn response_slack(&self) -> Duration {
        if self.listings.is_empty() && self.is_all_listed() {
            RESPONSE_SLACK
        } else {
            LISTING_RESPONSE_SLACK
        }
    }

    /// Whether this box has a complete listing of each kind.
    fn is_all_listed(&self) -> bool {
        self.kinds.iter().all(|subscription| *subscription.revision.borrow() > 0)
    }

    /// Whether an update contains targets and is not older than the known revision.
    fn is_current_target_update(&self, update: &FeedKind) -> bool {
        let mut target_subscriptions =
            self.kinds.iter().filter(|subscription| subscription.kind == Kind::Targets);
        kind_of(update.kind) == Some(Kind::Targets)
            && target_subscriptions
                .any(|subscription| update.revision >= *subscription.revision.borrow())
    }

    /// Records that a peer has received this box's usage counts, and adopts its cluster time.
    fn record_usage_ack(&self, peer: &StorageBox, version: TableVersion, page: &FeedPage) {
        let usage = &self.view.usage;
        usage.record_reported(&peer.box_id, Incarnation::new(page.incarnation), version);
        if page.cluster_ms > 0 {
            usage.follow_time(self.view.now(), UnixTime::new(page.cluster_ms));
        }
    }

    /// Reports usage counts to a box of another domain while this domain has no feed source.
    async fn report_usage_to_other_domain(&mut self) {
        if self.usage_reported_at.is_some_and(|at| at.elapsed() < REMOTE_REPORT_INTERVAL) {
            return;
        }
        let Some(peer) = self.select_remote_peer() else { return };
        let (usage, version) = self.view.usage.unreported(&peer.box_id);
        if usage.is_empty() {
            return;
        }
        self.usage_reported_at = Some(Instant::now());
        let read = FeedRead { usage, ..FeedRead::default() };
        let body = shard_request::Body::Feed(read);
        let response = self.links.call_shard_unary(&peer.address, RESPONSE_SLACK, body).await;
        if let Ok(shard_response::Body::Feed(page)) = response {
            self.record_usage_ack(&peer, version, &page);
        } else {
            log::debug!(target: "usage", peer:% = peer.box_id; "usage report failed");
            self.failed_at.insert(peer.box_id, Instant::now());
        }
    }

    /// Selects a storage box of another domain. Returns `None` for a storage box, which reports to
    /// all others.
    fn select_remote_peer(&self) -> Option<StorageBox> {
        let settings = &self.view.settings;
        let assignments = self.view.assignments();
        if assignments.boxes().any(|candidate| candidate.box_id == settings.box_id) {
            return None;
        }
        let others: Vec<&StorageBox> = assignments
            .boxes()
            .filter(|candidate| candidate.domain != settings.domain)
            .filter(|candidate| {
                self.failed_at
                    .get(&candidate.box_id)
                    .is_none_or(|at| at.elapsed() >= REMOTE_BACKOFF)
            })
            .collect();
        let ids = others.iter().map(|candidate| &candidate.box_id);
        let first =
            coord::rendezvous::ranked(settings.box_id.as_str(), ids, 1).into_iter().next()?;
        others
            .iter()
            .find(|candidate| candidate.box_id == *first)
            .map(|candidate| (*candidate).clone())
    }

    /// Applies a page.
    async fn apply_page(
        &mut self,
        source: &StorageBox,
        polled_at: Instant,
        page: FeedPage,
    ) -> PageOutcome {
        let held = Duration::from_millis(u64::from(page.held_ms));
        let age = Duration::from_millis(u64::from(page.age_ms));
        // The response's network time counts as age.
        let proven_at = (polled_at + held).checked_sub(age);
        let mut has_updates = false;
        for kind in page.kinds {
            has_updates |= self.apply_kind(kind).await;
        }
        let all_listed = self.is_all_listed();
        let proof =
            proven_at.map(|proven_at| FreshnessProof { source: source.box_id.clone(), proven_at });
        let freshness = self.view.feed.freshness();
        let proof = proof.filter(|proof| all_listed && freshness.is_fresh(proof));
        let Some(proof) = proof else {
            let is_incomplete = !all_listed || !self.listings.is_empty();
            let awaits_source = self.started_at.elapsed() < SOURCE_START_TIMEOUT;
            let state = if has_updates && is_incomplete {
                PageState::Partial
            } else if page.starting && awaits_source {
                PageState::Starting
            } else {
                PageState::Stale
            };
            return PageOutcome { state, has_updates };
        };
        self.view.store_answered(Kind::Configuration, true);
        if self.view.feed.freshness().accept_proof(proof) {
            log::info!(
                target: "node", dependency = "feed", peer:% = source.box_id, age_ms = page.age_ms;
                "regained"
            );
        }
        PageOutcome { state: PageState::Fresh, has_updates }
    }

    /// Applies an update of one kind. Returns whether this box lacked it.
    async fn apply_kind(&mut self, update: FeedKind) -> bool {
        let subscription = kind_of(update.kind)
            .and_then(|kind| self.kinds.iter().find(|subscription| subscription.kind == kind));
        let Some(subscription) = subscription else { return false };
        let current = *subscription.revision.borrow();
        // A full update at the same revision may contain objects that were filtered out before.
        if update.revision < current || (update.revision == current && !update.full) {
            return false;
        }
        let objects = update.objects.into_iter().map(|object| Stored {
            name: object.name,
            revision: object.revision,
            value: StoredValue::copy_json(&object.value),
        });
        let objects: Vec<Stored> = objects.collect();
        let (revision, kind) = (update.revision, subscription.kind);
        let feed_update = if update.full {
            let listing = self.listings.add(kind, objects, revision, update.continues_after);
            let Some(listing) = listing else { return true };
            FeedUpdate::Listed(listing)
        } else {
            let removed = update.removed.into_iter().map(Changed::Removed);
            let changes = removed.chain(objects.into_iter().map(Changed::Put)).collect();
            FeedUpdate::Changed(Changes { changes, revision })
        };
        let revision = match &feed_update {
            FeedUpdate::Listed(listing) => listing.revision,
            FeedUpdate::Changed(changes) => changes.revision,
        };
        let mut reached = subscription.revision.clone();
        // Waits until the task has applied the update, since polling earlier would return it again.
        // The wait is limited so that a stuck task does not delay other kinds; it receives the
        // update again.
        let applied = async {
            // The receiver is dropped only when the box stops.
            let _ended = subscription.updates.send(feed_update).await;
            let _result = reached.wait_for(|reached| *reached >= revision).await;
        };
        if time::timeout(MAX_POLL_WAIT, applied).await.is_err() {
            log::debug!(target: "node", kind:% = kind; "feed update not applied in time");
        }
        true
    }
}
