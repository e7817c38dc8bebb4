//! The shared state of a box.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use ids::{CustomerName, ModelName, ModelVersion, Moment, ServiceName, ShardIndex};
use joblog::ShardLayout;
use platform::{Kind, ObjectStore, headers};
use routing::{ColdLimit, RegionMap, RegionScope, Route, RouteTable, TargetTable};
use suspects::SuspectTable;
use tokio::sync::{Notify, watch};
use upstream::{ConnectionLimit, MemoryBudget, TargetPool};

use crate::assignments::AssignmentTable;
use crate::clock::NodeClock;
use crate::feed::{FeedState, FeedTimes};
use crate::usage::UsageTracker;
use crate::{AdmissionClient, NodeMetrics, NodeSettings};

/// The state of one box, shared by all its tasks.
#[derive(Debug)]
pub struct NodeView {
    /// The box's settings.
    pub settings: NodeSettings,
    /// The platform's store.
    pub store: ObjectStore,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Budget for the bytes that the box buffers for callers and targets.
    pub memory: Arc<MemoryBudget>,
    /// Metrics of the box.
    pub metrics: NodeMetrics,
    /// Feed of store updates, sent and received.
    pub feed: FeedState,
    /// Usage counts per customer, and cluster time.
    pub usage: UsageTracker,
    /// Permits for services that are short of slots.
    pub admission: AdmissionClient,
    table: RwLock<Arc<RouteTable>>,
    suspects: Mutex<SuspectTable>,
    suspects_notify: Notify,
    target_table: Mutex<TargetTable>,
    assignments: Mutex<AssignmentTable>,
    named_versions: Mutex<HashMap<ModelName, ModelVersion>>,
    store_state: watch::Sender<StoreState>,
    isolated: AtomicBool,
    changed: watch::Sender<u64>,
    clock: NodeClock,
}

/// Whether the store responds, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreState {
    /// Whether the last call got a response.
    pub up: bool,
    /// Time of the last change of `up`.
    pub since: Moment,
}

/// Time after the store's recovery in which an expired entry may reappear: the platform's two
/// seconds plus the time for the update to arrive.
const ENTRY_RETURN_GRACE: Duration = Duration::from_millis(2_300);

impl NodeView {
    /// Creates an empty state.
    pub fn new(settings: NodeSettings, store: ObjectStore) -> Self {
        let target_table =
            TargetTable::new(settings.domain.clone()).with_regions(settings.regions.clone());
        let limit = ConnectionLimit::for_descriptors(settings.max_fds);
        let usage = UsageTracker::new(settings.box_id.clone(), settings.usage_window);
        let admission = AdmissionClient::new(settings.admission, Arc::clone(&settings.live));
        let clock = NodeClock::start(settings.clock.clone());
        let feed = FeedState::new(FeedTimes::for_bound(settings.propagation_bound));
        let memory = Arc::clone(&settings.live.memory);
        memory.set_limit(settings.memory_limit);
        Self {
            settings,
            store,
            pool: TargetPool::new(limit)
                .with_memory(Arc::clone(&memory))
                .with_id_header(headers::REQUEST_ID),
            memory,
            metrics: NodeMetrics::default(),
            feed,
            usage,
            admission,
            table: RwLock::default(),
            suspects: Mutex::default(),
            suspects_notify: Notify::new(),
            target_table: Mutex::new(target_table),
            assignments: Mutex::default(),
            named_versions: Mutex::default(),
            store_state: watch::Sender::new(StoreState { up: true, since: Moment::START }),
            isolated: AtomicBool::new(false),
            changed: watch::Sender::new(0),
            clock,
        }
    }

    /// Current time of the box's clock, including suspensions.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Regions of the failure domains.
    pub const fn regions(&self) -> &RegionMap {
        &self.settings.regions
    }

    /// Regions in which a request may be handled, by the configuration in force. If the route is
    /// removed while a request runs, the regions that it had when the request was admitted apply.
    pub fn region_scope(&self, route: &Route, customer: Option<&CustomerName>) -> RegionScope {
        let table = self.table();
        let scope = table.region_scope(&route.name, customer);
        if table.has_route(&route.name) { scope } else { scope.intersect(&route.regions) }
    }

    /// The configuration in force.
    pub fn table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The services whose targets this box sends to; `None` for all.
    pub fn wanted_services(&self) -> Option<BTreeSet<ServiceName>> {
        self.feed.is_receive_only().then(|| self.table().called_services())
    }

    /// Whether the configuration in force is guaranteed to be the newest, except for the
    /// propagation delay.
    pub fn has_fresh_config(&self) -> bool {
        self.feed.is_current(Kind::Configuration, self.now())
    }

    /// Whether any configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.table().version.get() > 0
    }

    /// Puts a configuration in force if it is newer. Returns whether it was.
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
        let needs_services = !table.called_services().is_subset(&current.called_services());
        *current = Arc::new(table);
        drop(current);
        self.target_table().limit_cold(cold);
        if needs_services {
            self.feed.request_services();
        }
        self.wake();
        true
    }

    /// Locks the target table. Hold the guard only briefly.
    pub fn target_table(&self) -> MutexGuard<'_, TargetTable> {
        self.target_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the assignment table. Hold the guard only briefly.
    pub fn assignments(&self) -> MutexGuard<'_, AssignmentTable> {
        self.assignments.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of suspected work. Hold the guard only briefly.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the task that publishes suspected work.
    pub fn suspects_changed(&self) {
        self.suspects_notify.notify_one();
    }

    /// Waits until suspected work may have changed.
    pub async fn wait_suspects_changed(&self) {
        self.suspects_notify.notified().await;
    }

    /// The shards of the deployment, from the settings or the layout that the boxes agreed on. The
    /// shards of the settings are all general.
    pub fn layout(&self) -> Option<ShardLayout> {
        if self.settings.shards > 0 {
            return Some(ShardLayout::general(self.settings.shards));
        }
        self.assignments().layout().cloned()
    }

    /// Number of general shards.
    pub fn shards(&self) -> Option<u32> {
        self.layout().map(|layout| layout.shards)
    }

    /// Shards that may hold jobs: the general ones, and the bound ones if the configuration
    /// restricts regions or they have a plan.
    pub fn job_shards(&self) -> Vec<ShardIndex> {
        let Some(layout) = self.layout() else { return Vec::new() };
        let restricts = self.table().restricts_regions();
        let assignments = self.assignments();
        let in_use = |shard: &ShardIndex| {
            layout.region_of(*shard).is_none() || restricts || assignments.plan(*shard).is_some()
        };
        layout.all().filter(in_use).collect()
    }

    /// Number of shards that share the rate of cold targets: all shards once a bound one has a plan.
    pub fn cold_senders(&self) -> u32 {
        let Some(layout) = self.layout() else { return 1 };
        let assignments = self.assignments();
        let has_bound = layout.bound().any(|shard| assignments.plan(shard).is_some());
        if has_bound { layout.total() } else { layout.shards }
    }

    /// Sets the named version of a model. Versions only increase.
    pub fn name_version(&self, model: ModelName, version: ModelVersion) {
        let mut versions = self.named_versions.lock().unwrap_or_else(PoisonError::into_inner);
        let current = versions.entry(model).or_insert(version);
        *current = (*current).max(version);
        drop(versions);
        self.wake();
    }

    /// The named version of a model.
    pub fn named_version(&self, model: &ModelName) -> Option<ModelVersion> {
        self.named_versions.lock().unwrap_or_else(PoisonError::into_inner).get(model).copied()
    }

    /// Services whose targets are engines, with their models.
    pub fn engine_services(&self) -> Vec<(ServiceName, Vec<ModelName>)> {
        let table = self.table();
        let engines = table.services().filter(|service| !service.models.is_empty());
        engines.map(|service| (service.name.clone(), service.models.clone())).collect()
    }

    /// Notifies subscribers of [`Self::changes`].
    pub fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the box's state.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Records whether the store responded to a call about `kind`.
    pub fn store_answered(&self, kind: Kind, up: bool) {
        let now = self.now();
        self.store_state.send_if_modified(|state| {
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

    /// Records whether this box is cut off from the deployment.
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

    /// Whether the store responds.
    pub fn store_state(&self) -> StoreState {
        *self.store_state.borrow()
    }

    /// Subscribes to losses and recoveries of the store.
    pub fn store_states(&self) -> watch::Receiver<StoreState> {
        self.store_state.subscribe()
    }

    /// How long a missing entry may still reappear; zero if it can't.
    pub fn entry_grace(&self) -> Duration {
        let state = self.store_state();
        if !state.up {
            return ENTRY_RETURN_GRACE;
        }
        if state.since == Moment::START {
            return Duration::ZERO;
        }
        ENTRY_RETURN_GRACE.saturating_sub(self.now().since(state.since))
    }
}
