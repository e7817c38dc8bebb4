//! The conductor's state: what each replica was last read to hold, and what is under way.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment, TargetId};
use pools::SwapPolicy;

/// Longest time after sending in which an order may still take effect.
pub const ORDER_LIFE: Duration = Duration::from_secs(10);
/// Time between readings of a replica that is not where it should be.
const READ_EVERY: Duration = Duration::from_millis(500);
/// Time between readings of a replica that is where it should be.
const REST_READ_EVERY: Duration = Duration::from_secs(2);
/// Pause before a refused or failed order is tried again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An order to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapOrder {
    /// The replica.
    pub target: TargetId,
    /// The version to load.
    pub version: ModelVersion,
    /// The conductor's fencing token.
    pub token: FencingToken,
    /// How long the order may still take effect.
    pub life: Duration,
}

/// What the conductor wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send the order, then call [`RolloutCoordinator::order_completed`].
    Order(SwapOrder),
    /// Read the replica, then call [`RolloutCoordinator::read`] or [`RolloutCoordinator::read_failed`].
    Read(TargetId),
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapProgress {
    /// The version wanted.
    pub wanted: ModelVersion,
    /// Replicas of the pool in this domain.
    pub replicas: usize,
    /// Replicas read to hold the version.
    pub done: usize,
    /// Replicas with an order under way.
    pub in_flight: usize,
    /// Replicas whose last order ended without a definite answer, or that were never read.
    pub in_doubt: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplicaView {
    /// Not read since the conductor began or since an order ended indefinitely.
    Unknown,
    Holds(Incarnation, ModelVersion),
    /// An order is under way.
    Ordered,
}

#[derive(Debug, Clone)]
struct Replica {
    view: ReplicaView,
    /// The version this conductor ordered last; a late effect of that order changes nothing
    /// once the replica is read to hold it.
    ordered: Option<ModelVersion>,
    /// No reading or order before this moment.
    wait_until: Moment,
    reading: bool,
    /// A reading that began earlier proves nothing, for an order might still take effect.
    trust_from: Moment,
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
    /// A conductor that begins at `now` under a fresh token.
    pub const fn new(now: Moment, token: FencingToken) -> Self {
        Self {
            token,
            wanted: ModelVersion::new(0),
            policy: SwapPolicy::AllAtOnce,
            started_at: now,
            replicas: BTreeMap::new(),
        }
    }

    /// The conductor's fencing token.
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Sets what is wanted; replicas no longer in the pool are dropped.
    pub fn want(
        &mut self,
        version: ModelVersion,
        policy: SwapPolicy,
        replicas: impl IntoIterator<Item = (TargetId, bool)>,
    ) {
        if version != self.wanted {
            // What was where it should be no longer is: look at it now, not after its rest.
            for replica in self.replicas.values_mut() {
                if matches!(replica.view, ReplicaView::Holds(..)) {
                    replica.wait_until = Moment::START;
                }
            }
        }
        self.wanted = version;
        self.policy = policy;
        let mut kept = BTreeMap::new();
        for (id, checks_fencing) in replicas {
            let replica = self.replicas.remove(&id).unwrap_or_else(|| self.unread(checks_fencing));
            kept.insert(id, replica);
        }
        self.replicas = kept;
    }

    /// The actions due at `now`.
    pub fn poll(&mut self, now: Moment) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        let mut free = self.most_under_way().saturating_sub(self.count(ReplicaView::Ordered));
        let (wanted, token) = (self.wanted, self.token);
        for (id, replica) in &mut self.replicas {
            if replica.reading || now < replica.wait_until {
                continue;
            }
            match replica.view {
                ReplicaView::Ordered => {}
                ReplicaView::Holds(_, version) if version != wanted => {
                    if free == 0 {
                        continue;
                    }
                    free -= 1;
                    replica.view = ReplicaView::Ordered;
                    replica.ordered = Some(wanted);
                    replica.trust_from = now + ORDER_LIFE;
                    actions.push(RolloutAction::Order(SwapOrder {
                        target: id.clone(),
                        version: wanted,
                        token,
                        life: ORDER_LIFE,
                    }));
                }
                ReplicaView::Holds(..) | ReplicaView::Unknown => {
                    replica.reading = true;
                    actions.push(RolloutAction::Read(id.clone()));
                }
            }
        }
        actions
    }

    /// Takes the outcome of an order: `true` when the engine says it holds the version,
    /// `false` when it refused and nothing changed, `None` without a definite answer.
    pub fn order_completed(&mut self, now: Moment, target: &TargetId, outcome: Option<bool>) {
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        // Even a "done" is read back: attribution rests on readings, not on orders.
        replica.view = ReplicaView::Unknown;
        match outcome {
            Some(true) => {
                replica.trust_from = now;
                replica.wait_until = now;
            }
            Some(false) => {
                replica.trust_from = now;
                replica.wait_until = now + RETRY_AFTER;
            }
            None => replica.wait_until = now + READ_EVERY,
        }
    }

    /// Takes a reading whose request was sent at `asked_at`: the engine's life and version;
    /// the version is `None` while it loads or holds none.
    pub fn read(
        &mut self,
        asked_at: Moment,
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
        replica.wait_until = now + READ_EVERY;
        let Some(version) = version else {
            replica.view = ReplicaView::Unknown;
            return;
        };
        let new_life = matches!(replica.view, ReplicaView::Holds(life, _) if life < incarnation);
        let settled = replica.ordered == Some(version);
        if asked_at < replica.trust_from && !new_life && !settled {
            return;
        }
        replica.view = ReplicaView::Holds(incarnation, version);
        let rest = if version == wanted { REST_READ_EVERY } else { Duration::ZERO };
        replica.wait_until = now + rest;
    }

    /// Notes that a reading got no answer.
    pub fn read_failed(&mut self, now: Moment, target: &TargetId) {
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        replica.reading = false;
        replica.view = ReplicaView::Unknown;
        replica.wait_until = now + READ_EVERY;
    }

    /// How far the roll-out is.
    pub fn progress(&self) -> SwapProgress {
        let wanted = self.wanted;
        let done = |replica: &&Replica| matches!(replica.view, ReplicaView::Holds(_, version) if version == wanted);
        SwapProgress {
            wanted,
            replicas: self.replicas.len(),
            done: self.replicas.values().filter(done).count(),
            in_flight: self.count(ReplicaView::Ordered),
            in_doubt: self.count(ReplicaView::Unknown),
        }
    }

    fn unread(&self, checks_fencing: bool) -> Replica {
        // An engine that ignores tokens may still obey the last conductor's order.
        let first = self.token.get() <= 1;
        let quiet = if checks_fencing || first { Duration::ZERO } else { ORDER_LIFE };
        Replica {
            view: ReplicaView::Unknown,
            ordered: None,
            wait_until: Moment::START,
            reading: false,
            trust_from: self.started_at + quiet,
        }
    }

    fn most_under_way(&self) -> usize {
        match self.policy {
            SwapPolicy::Rolling { at_once } => at_once as usize,
            SwapPolicy::AllAtOnce => usize::MAX,
        }
    }

    fn count(&self, view: ReplicaView) -> usize {
        self.replicas.values().filter(|replica| replica.view == view).count()
    }
}
