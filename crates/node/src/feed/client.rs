//! Hears from another box what has changed in the store.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ids::{BoxId, Incarnation, ServiceName, whole_millis};
use joblog::StorageBox;
use links::LinkPool;
use platform::{Changed, Changes, Kind, Listing, Stored};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use usage::{TableVersion, UnixTime};
use wire::peer::{
    FeedCursor, FeedKind, FeedPage, FeedRead, ServiceSelection, shard_request, shard_response,
};

use super::{FEED_WAIT, FreshnessProof, kind_of, number_of};
use crate::NodeView;

/// Room for an answer beyond the wait that was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
/// A box that did not tell is left alone for this long. Short, since after an outage of the store
/// all boxes of the domain would ask it in place of the one that tells.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two words of counts to another domain: bytes between domains are dear, and reports wait for
/// seconds.
const ELSEWHERE_PAUSE: Duration = Duration::from_secs(1);
/// A box of another domain that did not answer is left alone for this long.
const ELSEWHERE_SILENT: Duration = Duration::from_secs(5);
/// Least time between two questions of which the first brought no news: hundreds of boxes ask one.
const LEAST_PAUSE: Duration = Duration::from_millis(200);
/// Pause while no box of the domain can tell.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// How long a box that starts looks for another one of its domain that could tell it. All boxes of a
/// deployment may start at once.
const NO_BOX_TIME: Duration = Duration::from_millis(500);

/// The services whose targets were told; `None` for all.
type ToldServices = Option<BTreeSet<ServiceName>>;

/// News of one kind, for the task that keeps it.
#[derive(Debug)]
pub(crate) enum FedNews {
    Listed(Listing),
    Changed(Changes),
}

/// One kind that is heard.
#[derive(Debug)]
pub struct FedKind {
    pub(crate) kind: Kind,
    /// Up to which revision the kind is known; zero for not at all.
    pub(crate) revision: watch::Receiver<u64>,
    pub(crate) news: mpsc::Sender<FedNews>,
}

/// Hears all `kinds` from boxes of this failure domain that keep data, one at a time, until `stop`.
/// While none tells, the kinds' own watches go on.
pub async fn follow_feed(
    view: Arc<NodeView>,
    links: LinkPool,
    kinds: Vec<FedKind>,
    stop: CancellationToken,
) {
    let mut listener = FeedListener {
        view: Arc::clone(&view),
        links,
        kinds,
        silent: HashMap::new(),
        counts_told_at: None,
    };
    tokio::select! {
        () = listener.run() => {}
        () = view.feed.freshness().expire(|proof| tell_lost(&view, proof)) => {}
        () = stop.cancelled() => {}
    }
}

fn tell_lost(view: &NodeView, proof: &FreshnessProof) {
    let age_ms = whole_millis(proof.proven_at.elapsed());
    log::warn!(
        target: "node", dependency = "feed", peer:% = proof.teller, age_ms = age_ms,
        config = view.table().version.get();
        "lost"
    );
}

struct FeedListener {
    view: Arc<NodeView>,
    links: LinkPool,
    kinds: Vec<FedKind>,
    /// When boxes last failed to tell.
    silent: HashMap<BoxId, Instant>,
    /// When counts were last told to a box of another domain.
    counts_told_at: Option<Instant>,
}

impl FeedListener {
    async fn run(&mut self) {
        let started = Instant::now();
        let mut changes = self.view.changes();
        loop {
            let Some(teller) = self.teller() else {
                if self.is_first() || started.elapsed() >= NO_BOX_TIME {
                    self.view.feed.freshness().tell_nobody();
                }
                self.tell_counts_elsewhere().await;
                // Changed or not, it is looked again.
                let _elapsed = time::timeout(LOOK_EVERY, changes.changed()).await;
                continue;
            };
            let asked_at = Instant::now();
            let wait = if self.view.feed.freshness().is_served_by_feed() {
                FEED_WAIT
            } else {
                Duration::ZERO
            };
            if let Some((page, services)) = self.ask(&teller, wait).await {
                self.view.feed.freshness().note_answer();
                let no_news = page.kinds.is_empty();
                let is_fresh = self.take(&teller, asked_at, page).await;
                if let Some(services) = services {
                    self.view.feed.know_services(services);
                }
                if is_fresh {
                    self.silent.remove(&teller.box_id);
                    if no_news {
                        // A box whose proof gets old answers without a wait.
                        time::sleep_until(asked_at + LEAST_PAUSE).await;
                    }
                    continue;
                }
                // Its news are old: another box may know better.
                self.view.metrics.count_outcome("feed", "old");
                self.silent.insert(teller.box_id, Instant::now());
            } else {
                self.view.metrics.count_outcome("feed", "not told");
                self.silent.insert(teller.box_id, Instant::now());
            }
        }
    }

    /// Whether this box is the one that tells its domain.
    fn is_first(&self) -> bool {
        self.ranked().first().is_some_and(|first| first.box_id == self.view.settings.box_id)
    }

    /// The box to ask: the same for all boxes of the domain, as long as it tells.
    fn teller(&self) -> Option<StorageBox> {
        let me = &self.view.settings.box_id;
        // A box that keeps data is told by those before it only; the first one asks the store.
        let mut before = self.ranked().into_iter().take_while(|copy| copy.box_id != *me);
        before.find(|copy| {
            self.silent.get(&copy.box_id).is_none_or(|at| at.elapsed() >= SILENT_PAUSE)
        })
    }

    /// The boxes of this domain that keep data, in the order in which they are asked.
    fn ranked(&self) -> Vec<StorageBox> {
        let duties = self.view.assignments();
        let domain = &self.view.settings.domain;
        let here: Vec<&StorageBox> = duties.boxes().filter(|copy| copy.domain == *domain).collect();
        let ids = here.iter().map(|copy| &copy.box_id);
        let ranked = coord::rendezvous::ranked(domain.as_str(), ids, here.len()).into_iter();
        let found = ranked.filter_map(|box_id| here.iter().find(|copy| copy.box_id == *box_id));
        found.map(|copy| (*copy).clone()).collect()
    }

    async fn ask(
        &self,
        teller: &StorageBox,
        wait: Duration,
    ) -> Option<(FeedPage, Option<ToldServices>)> {
        let wanted = self.view.wanted_services();
        let anew = self.view.feed.lacks_services(wanted.as_ref());
        let cursors = self.kinds.iter().filter_map(|fed| {
            // Targets that were left out so far stand in no news.
            let revision = *fed.revision.borrow();
            let revision = if anew && fed.kind == Kind::Targets { 0 } else { revision };
            Some(FeedCursor { kind: number_of(fed.kind)?, revision })
        });
        let services = wanted.as_ref().map(|wanted| ServiceSelection {
            names: wanted.iter().map(ToString::to_string).collect(),
        });
        let (usage, version) = self.view.usage.untold(&teller.box_id);
        let read = FeedRead {
            cursors: cursors.collect(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            usage,
            services,
        };
        let time = wait + ANSWER_SLACK;
        let body = shard_request::Body::Feed(read);
        match self.links.call_shard_unary(&teller.address, time, body).await {
            Ok(shard_response::Body::Feed(page)) => {
                self.heard_counts(teller, version, &page);
                let whole = |told: &FeedKind| told.full && self.takes_targets(told);
                let told = !anew || page.kinds.iter().any(whole);
                Some((page, told.then_some(wanted)))
            }
            Ok(_other) => None,
            Err(error) => {
                log::debug!(target: "node", peer:% = teller.box_id, error:% = error; "not told");
                None
            }
        }
    }

    /// Whether news are of the targets, and not older than what is known of them.
    fn takes_targets(&self, told: &FeedKind) -> bool {
        let mut fed = self.kinds.iter().filter(|fed| fed.kind == Kind::Targets);
        kind_of(told.kind) == Some(Kind::Targets)
            && fed.any(|fed| told.revision >= *fed.revision.borrow())
    }

    /// Notes that another box has heard this one's counts, and takes true time from it.
    fn heard_counts(&self, peer: &StorageBox, version: TableVersion, page: &FeedPage) {
        let usage = &self.view.usage;
        usage.note_told(&peer.box_id, Incarnation::new(page.incarnation), version);
        if page.true_ms > 0 {
            usage.follow_time(self.view.now(), UnixTime::new(page.true_ms));
        }
    }

    /// Tells what this box has counted to a box of another domain, while none of its own tells it of the store.
    async fn tell_counts_elsewhere(&mut self) {
        if self.counts_told_at.is_some_and(|at| at.elapsed() < ELSEWHERE_PAUSE) {
            return;
        }
        let Some(peer) = self.peer_elsewhere() else { return };
        let (usage, version) = self.view.usage.untold(&peer.box_id);
        if usage.is_empty() {
            return;
        }
        self.counts_told_at = Some(Instant::now());
        let read = FeedRead { usage, ..FeedRead::default() };
        let body = shard_request::Body::Feed(read);
        let told = self.links.call_shard_unary(&peer.address, ANSWER_SLACK, body).await;
        if let Ok(shard_response::Body::Feed(page)) = told {
            self.heard_counts(&peer, version, &page);
        } else {
            log::debug!(target: "usage", peer:% = peer.box_id; "counts not told");
            self.silent.insert(peer.box_id, Instant::now());
        }
    }

    /// A box that keeps data in another domain; none for a box that keeps data itself, which tells all others.
    fn peer_elsewhere(&self) -> Option<StorageBox> {
        let settings = &self.view.settings;
        let duties = self.view.assignments();
        if duties.boxes().any(|copy| copy.box_id == settings.box_id) {
            return None;
        }
        let others: Vec<&StorageBox> = duties
            .boxes()
            .filter(|copy| copy.domain != settings.domain)
            .filter(|copy| {
                self.silent.get(&copy.box_id).is_none_or(|at| at.elapsed() >= ELSEWHERE_SILENT)
            })
            .collect();
        let ids = others.iter().map(|copy| &copy.box_id);
        let first =
            coord::rendezvous::ranked(settings.box_id.as_str(), ids, 1).into_iter().next()?;
        others.iter().find(|copy| copy.box_id == *first).map(|copy| (*copy).clone())
    }

    /// Takes what was told. `true` when it is fresh enough to do without the store.
    async fn take(&mut self, teller: &StorageBox, asked_at: Instant, page: FeedPage) -> bool {
        let held = Duration::from_millis(u64::from(page.held_ms));
        let age = Duration::from_millis(u64::from(page.age_ms));
        // Whatever the answer took on its way counts as age.
        let proven_at = (asked_at + held).checked_sub(age);
        for kind in page.kinds {
            self.take_kind(kind).await;
        }
        let all_known = self.kinds.iter().all(|fed| *fed.revision.borrow() > 0);
        let proof =
            proven_at.map(|proven_at| FreshnessProof { teller: teller.box_id.clone(), proven_at });
        let trust = self.view.feed.freshness();
        let proof = proof.filter(|proof| all_known && trust.is_fresh(proof));
        let Some(proof) = proof else { return false };
        self.view.store_answered(Kind::Configuration, true);
        if self.view.feed.freshness().accept_proof(proof) {
            log::info!(
                target: "node", dependency = "feed", peer:% = teller.box_id, age_ms = page.age_ms;
                "regained"
            );
        }
        true
    }

    async fn take_kind(&self, told: FeedKind) {
        let fed =
            kind_of(told.kind).and_then(|kind| self.kinds.iter().find(|fed| fed.kind == kind));
        let Some(fed) = fed else { return };
        let known = *fed.revision.borrow();
        // All objects of the same revision are news where some were left out before.
        if told.revision < known || (told.revision == known && !told.full) {
            return;
        }
        let mut objects = Vec::with_capacity(told.objects.len());
        for object in told.objects {
            match serde_json::from_slice(&object.value) {
                Ok(value) => {
                    objects.push(Stored { name: object.name, revision: object.revision, value });
                }
                Err(error) => {
                    log::warn!(target: "node", kind:% = fed.kind, error:% = error; "news refused");
                    return;
                }
            }
        }
        let revision = told.revision;
        let news = if told.full {
            FedNews::Listed(Listing { objects, revision })
        } else {
            let removed = told.removed.into_iter().map(Changed::Removed);
            let changes = removed.chain(objects.into_iter().map(Changed::Put)).collect();
            FedNews::Changed(Changes { changes, revision })
        };
        let mut known = fed.revision.clone();
        // Asked again before the task has taken it, the same would be told twice. A task that takes
        // nothing for that long is told again; news of other kinds must not wait for it.
        let taken = async {
            // The task that keeps the kind ends with this box only.
            let _ended = fed.news.send(news).await;
            let _known = known.wait_for(|known| *known >= revision).await;
        };
        if time::timeout(FEED_WAIT, taken).await.is_err() {
            log::debug!(target: "node", kind:% = fed.kind; "news wait for their task");
        }
    }
}
