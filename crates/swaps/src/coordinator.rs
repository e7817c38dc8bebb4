//! The rollout coordinator: the version last read from each replica, and the orders in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment, TargetId};
use pools::SwapPolicy;

/// Maximum time after sending in which an order may still take effect.
pub const ORDER_TTL: Duration = Duration::from_secs(10);
/// Time between reads of a replica that does not have the wanted version.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time between reads of a replica that has the wanted version.
const SETTLED_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before a refused order is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// An order to one replica to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapOrder {
    /// The replica.
    pub target: TargetId,
    /// The version to load.
    pub version: ModelVersion,
    /// The coordinator's fencing token.
    pub token: FencingToken,
    /// Time after sending in which the order may take effect.
    pub ttl: Duration,
}

/// An action to perform for the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send the order, then call [`RolloutCoordinator::order_completed`].
    Order(SwapOrder),
    /// Read the replica, then call [`RolloutCoordinator::read`] or
    /// [`RolloutCoordinator::read_failed`].
    Read(TargetId),
}

/// Progress of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapProgress {
    /// The wanted version.
    pub wanted: ModelVersion,
    /// Number of replicas of the pool in this domain.
    pub replicas: usize,
    /// Number of replicas that have the version according to their last read.
    pub done: usize,
    /// Number of replicas with an order in flight.
    pub in_flight: usize,
    /// Number of replicas whose version is unknown: not read since the start or their last order,
    /// or the last read gave no version.
    pub in_doubt: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplicaView {
    /// Not read since the coordinator started or an order completed, or the last read gave no
    /// version.
    Unknown,
    Loaded(Incarnation, ModelVersion),
    /// An order is in flight.
    Ordered,
}

#[derive(Debug, Clone)]
struct Replica {
    view: ReplicaView,
    /// The version that this coordinator ordered last. A late effect of that order changes nothing
    /// once the replica has the version.
    ordered: Option<ModelVersion>,
    /// No read or order before this time.
    wait_until: Moment,
    reading: bool,
    /// Reads sent earlier are ignored, because an order might still take effect after them.
    valid_from: Moment,
}

/// Rolls versions out over one domain's replicas of one pool.
#[derive(Debug, Clone)]
pub struct RolloutCoordinator {
    token: FencingToken,
    wanted: ModelVersion,
    policy: SwapPolicy,
    started_at: Moment,
    replicas: BTreeMap<TargetId, Replica>,
}

impl RolloutCoordinator {
    /// Creates a coordinator that starts at `now` under a new token.
    pub const fn new(now: Moment, token: FencingToken) -> Self {
        Self {
            token,
            wanted: ModelVersion::new(0),
            policy: SwapPolicy::AllAtOnce,
            started_at: now,
            replicas: BTreeMap::new(),
        }
    }

    /// Returns the coordinator's fencing token.
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Sets the wanted version, the policy, and the replicas with whether each checks fencing
    /// tokens. Replicas no longer in the pool are removed.
    pub fn want(
        &mut self,
        version: ModelVersion,
        policy: SwapPolicy,
        replicas: impl IntoIterator<Item = (TargetId, bool)>,
    ) {
        if version != self.wanted {
            // Settled replicas are now outdated: make their next read or order due immediately.
            for replica in self.replicas.values_mut() {
                if matches!(replica.view, ReplicaView::Loaded(..)) {
                    replica.wait_until = Moment::START;
                }
            }
        }
        self.wanted = version;
        self.policy = policy;
        let mut wanted_replicas = BTreeMap::new();
        for (id, checks_fencing) in replicas {
            let replica = self.replicas.remove(&id).unwrap_or_else(|| self.unread(checks_fencing));
            wanted_replicas.insert(id, replica);
        }
        self.replicas = wanted_replicas;
    }

    /// Returns the actions due at `now`.
    pub fn poll(&mut self, now: Moment) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        let mut free = self.max_in_flight().saturating_sub(self.count(ReplicaView::Ordered));
        let (wanted, token) = (self.wanted, self.token);
        for (id, replica) in &mut self.replicas {
            if replica.reading || now < replica.wait_until {
                continue;
            }
            match replica.view {
                ReplicaView::Ordered => {}
                ReplicaView::Loaded(_, version) if version != wanted => {
                    if free == 0 {
                        continue;
                    }
                    free -= 1;
                    replica.view = ReplicaView::Ordered;
                    replica.ordered = Some(wanted);
                    replica.valid_from = now + ORDER_TTL;
                    actions.push(RolloutAction::Order(SwapOrder {
                        target: id.clone(),
                        version: wanted,
                        token,
                        ttl: ORDER_TTL,
                    }));
                }
                ReplicaView::Loaded(..) | ReplicaView::Unknown => {
                    replica.reading = true;
                    actions.push(RolloutAction::Read(id.clone()));
                }
            }
        }
        actions
    }

    /// Records the outcome of an order: `Some(true)` if the engine reports the version as loaded,
    /// `Some(false)` if it refused without any change, `None` if the outcome is unknown.
    pub fn order_completed(&mut self, now: Moment, target: &TargetId, outcome: Option<bool>) {
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        // A completed order is read back too, because attribution depends on reads only.
        replica.view = ReplicaView::Unknown;
        match outcome {
            Some(true) => {
                replica.valid_from = now;
                replica.wait_until = now;
            }
            Some(false) => {
                replica.valid_from = now;
                replica.wait_until = now + RETRY_DELAY;
            }
            None => replica.wait_until = now + READ_INTERVAL,
        }
    }

    /// Records the result of a read that was sent at `sent_at`. `version` is `None` while the engine
    /// is loading or has no version.
    pub fn read(
        &mut self,
        sent_at: Moment,
        now: Moment,
        target: &TargetId,
        incarnation: Incarnation,
        version: Option<ModelVersion>,
    ) {
        let wanted = self.wanted;
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        replica.reading = false;
        replica.wait_until = now + READ_INTERVAL;
        let Some(version) = version else {
            replica.view = ReplicaView::Unknown;
            return;
        };
        let restarted =
            matches!(replica.view, ReplicaView::Loaded(previous, _) if previous < incarnation);
        let settled = replica.ordered == Some(version);
        if sent_at < replica.valid_from && !restarted && !settled {
            return;
        }
        replica.view = ReplicaView::Loaded(incarnation, version);
        let delay = if version == wanted { SETTLED_READ_INTERVAL } else { Duration::ZERO };
        replica.wait_until = now + delay;
    }

    /// Records that a read got no response.
    pub fn read_failed(&mut self, now: Moment, target: &TargetId) {
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        replica.reading = false;
        replica.view = ReplicaView::Unknown;
        replica.wait_until = now + READ_INTERVAL;
    }

    /// Returns the progress of the rollout.
    pub fn progress(&self) -> SwapProgress {
        let wanted = self.wanted;
        let done = |replica: &&Replica| matches!(replica.view, ReplicaView::Loaded(_, version) if version == wanted);
        SwapProgress {
            wanted,
            replicas: self.replicas.len(),
            done: self.replicas.values().filter(done).count(),
            in_flight: self.count(ReplicaView::Ordered),
            in_doubt: self.count(ReplicaView::Unknown),
        }
    }

    fn unread(&self, checks_fencing: bool) -> Replica {
        // An engine that ignores tokens may still execute an order of the previous coordinator.
        let first = self.token.get() <= 1;
        let delay = if checks_fencing || first { Duration::ZERO } else { ORDER_TTL };
        Replica {
            view: ReplicaView::Unknown,
            ordered: None,
            wait_until: Moment::START,
            reading: false,
            valid_from: self.started_at + delay,
        }
    }

    fn max_in_flight(&self) -> usize {
        match self.policy {
            SwapPolicy::Rolling { at_once } => at_once as usize,
            SwapPolicy::AllAtOnce => usize::MAX,
        }
    }

    fn count(&self, view: ReplicaView) -> usize {
        self.replicas.values().filter(|replica| replica.view == view).count()
    }
}
