//! What a box believes.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use ids::{ModelName, ModelVersion, Moment, ServiceName};
use platform::{Kind, ObjectStore};
use routing::{ColdLimit, RouteTable, TargetTable};
use suspects::SuspectTable;
use tokio::sync::{Notify, watch};
use upstream::{ConnectionLimit, TargetPool};

use crate::assignments::AssignmentTable;
use crate::clock::BeliefClock;
use crate::feed::{FeedState, FeedTimes};
use crate::usage::UsageTracker;
use crate::{NodeMetrics, NodeSettings};

/// The belief of one box, shared by all its tasks.
#[derive(Debug)]
pub struct NodeView {
    /// Its settings.
    pub settings: NodeSettings,
    /// The platform's store.
    pub store: ObjectStore,
    /// Connections to targets.
    pub pool: TargetPool,
    /// What is counted.
    pub metrics: NodeMetrics,
    /// What this box tells others of the store, or hears of it.
    pub feed: FeedState,
    /// Counts of customers' use, and true time.
    pub usage: UsageTracker,
    table: RwLock<Arc<RouteTable>>,
    suspects: Mutex<SuspectTable>,
    suspect_news: Notify,
    board: Mutex<TargetTable>,
    duties: Mutex<AssignmentTable>,
    named: Mutex<HashMap<ModelName, ModelVersion>>,
    store_up: watch::Sender<StoreState>,
    isolated: AtomicBool,
    changed: watch::Sender<u64>,
    clock: BeliefClock,
}

/// Whether the store answers, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreState {
    /// Whether its last call was answered.
    pub up: bool,
    /// When that changed.
    pub since: Moment,
}

/// How long after the store's return an entry that lapsed meanwhile may be on its way back: the
/// two seconds that the platform names, and the way of the news.
const ENTRY_RETURN: Duration = Duration::from_millis(2_300);

impl NodeView {
    /// A view that believes nothing yet.
    pub fn new(settings: NodeSettings, store: ObjectStore) -> Self {
        let board = TargetTable::new(settings.domain.clone());
        let limit = ConnectionLimit::for_descriptors(settings.max_fds);
        let usage = UsageTracker::new(settings.box_id.clone(), settings.usage_window);
        let clock = BeliefClock::start(settings.clock.clone());
        let feed = FeedState::new(FeedTimes::for_bound(settings.propagation_bound));
        Self {
            settings,
            store,
            pool: TargetPool::new(limit),
            metrics: NodeMetrics::default(),
            feed,
            usage,
            table: RwLock::default(),
            suspects: Mutex::default(),
            suspect_news: Notify::new(),
            board: Mutex::new(board),
            duties: Mutex::default(),
            named: Mutex::default(),
            store_up: watch::Sender::new(StoreState { up: true, since: Moment::START }),
            isolated: AtomicBool::new(false),
            changed: watch::Sender::new(0),
            clock,
        }
    }

    /// Now, by the clock of all that is believed.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The configuration in force.
    pub fn table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The services whose targets this box sends to; `None` for all.
    pub fn wanted_services(&self) -> Option<BTreeSet<ServiceName>> {
        self.feed.is_receive_only().then(|| self.table().called_services())
    }

    /// Whether the configuration in force is surely the newest, give or take the time in which changes are heard.
    pub fn has_fresh_config(&self) -> bool {
        self.feed.is_current(Kind::Configuration, self.now())
    }

    /// Whether any configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.table().version.get() > 0
    }

    /// Puts a configuration in force unless a newer one is. `true` when it is.
    pub fn offer_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version <= current.version {
            return false;
        }
        self.metrics.config_in_force(table.version);
        let cold = table.services().filter_map(|service| {
            let limit = ColdLimit::new(service.cold.as_ref()?, self.settings.cold_bound);
            Some((service.name.clone(), limit))
        });
        let cold = cold.collect();
        let wants_more = !table.called_services().is_subset(&current.called_services());
        *current = Arc::new(table);
        drop(current);
        self.target_table().limit_cold(cold);
        if wants_more {
            self.feed.request_services();
        }
        self.wake();
        true
    }

    /// The targets; held only for a moment.
    pub fn target_table(&self) -> MutexGuard<'_, TargetTable> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who has which duty; held only for a moment.
    pub fn assignments(&self) -> MutexGuard<'_, AssignmentTable> {
        self.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Work under which targets have ended; held only for a moment.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes whoever tells other boxes of such work.
    pub fn suspects_changed(&self) {
        self.suspect_news.notify_one();
    }

    /// Returns once there may be something to tell.
    pub async fn suspects_news(&self) {
        self.suspect_news.notified().await;
    }

    /// Into how many shards jobs are divided: by the settings, or as the boxes have agreed.
    pub fn shards(&self) -> Option<u32> {
        if self.settings.shards > 0 {
            return Some(self.settings.shards);
        }
        self.assignments().layout().map(|layout| layout.shards)
    }

    /// Takes the version that is named for a model; versions only rise.
    pub fn name_version(&self, model: ModelName, version: ModelVersion) {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model).or_insert(version);
        *known = (*known).max(version);
        drop(named);
        self.wake();
    }

    /// The version that is named for a model.
    pub fn named_version(&self, model: &ModelName) -> Option<ModelVersion> {
        self.named.lock().unwrap_or_else(PoisonError::into_inner).get(model).copied()
    }

    /// Services whose targets hold models, with these models.
    pub fn engine_services(&self) -> Vec<(ServiceName, Vec<ModelName>)> {
        let table = self.table();
        let engines = table.services().filter(|service| !service.models.is_empty());
        engines.map(|service| (service.name.clone(), service.models.clone())).collect()
    }

    /// Wakes whoever waits for a change of belief.
    pub fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Tells each change of belief.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notes whether a call about `kind` was answered by the store.
    pub fn store_answered(&self, kind: Kind, up: bool) {
        let now = self.now();
        self.store_up.send_if_modified(|state| {
            if state.up == up {
                return false;
            }
            *state = StoreState { up, since: now };
            if up {
                log::info!(target: "node", dependency = "store", kind:% = kind; "regained");
            } else {
                log::warn!(target: "node", dependency = "store", kind:% = kind; "lost");
            }
            true
        });
    }

    /// Whether this box is cut off from the rest of the deployment.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    /// Notes whether this box is cut off.
    pub fn set_isolated(&self, isolated: bool) {
        if self.isolated.swap(isolated, Ordering::Relaxed) == isolated {
            return;
        }
        if isolated {
            log::warn!(target: "node", dependency = "deployment"; "lost");
        } else {
            log::info!(target: "node", dependency = "deployment"; "regained");
        }
    }

    /// Whether the store answers.
    pub fn store_state(&self) -> StoreState {
        *self.store_up.borrow()
    }

    /// Tells when the store is lost or regained.
    pub fn store_states(&self) -> watch::Receiver<StoreState> {
        self.store_up.subscribe()
    }

    /// Until when an entry that is missing now may still come back.
    pub fn entry_grace(&self) -> Duration {
        let state = self.store_state();
        if !state.up {
            return ENTRY_RETURN;
        }
        if state.since == Moment::START {
            return Duration::ZERO;
        }
        ENTRY_RETURN.saturating_sub(self.now().since(state.since))
    }
}
