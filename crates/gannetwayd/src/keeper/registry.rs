//! Which trainers' steps this box keeps or claims.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ids::{PoolName, TrainerId};
use kameo::actor::ActorRef;
use objects::{ObjectKey, ObjectKind};
use tokio::sync::watch;

use crate::context::BoxContext;
use crate::keeper::KeeperActor;

/// One trainer of one pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeeperKey {
    /// The pool.
    pub pool: PoolName,
    /// The trainer.
    pub trainer: TrainerId,
}

impl KeeperKey {
    /// The lease that decides who keeps this trainer's steps. Ids hold no colon.
    pub fn lease(&self) -> ObjectKey {
        ObjectKey::new(ObjectKind::Lease, format!("keeper:{}:{}", self.pool, self.trainer))
    }
}

impl fmt::Display for KeeperKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.pool, self.trainer)
    }
}

/// A keeper and the news of its steps.
#[derive(Debug, Clone)]
pub struct KeeperHandle {
    /// The actor.
    pub actor: ActorRef<KeeperActor>,
    /// Grows whenever something changed that a waiting pull may want to see.
    pub changes: watch::Receiver<u64>,
}

/// The keepers on this box.
#[derive(Debug, Clone, Default)]
pub struct KeeperRegistry {
    keepers: Arc<Mutex<HashMap<KeeperKey, KeeperHandle>>>,
}

impl KeeperRegistry {
    /// The keeper of a trainer, if one runs here.
    pub fn get(&self, key: &KeeperKey) -> Option<KeeperHandle> {
        self.lock().get(key).filter(|handle| handle.actor.is_alive()).cloned()
    }

    /// The keeper of a trainer, started if need be; it claims the lease by itself.
    pub fn get_or_start(&self, ctx: &BoxContext, key: &KeeperKey) -> KeeperHandle {
        let mut keepers = self.lock();
        if let Some(handle) = keepers.get(key)
            && handle.actor.is_alive()
        {
            return handle.clone();
        }
        let handle = KeeperActor::start(ctx, key.clone());
        keepers.insert(key.clone(), handle.clone());
        handle
    }

    /// All keepers on this box.
    pub fn all(&self) -> Vec<(KeeperKey, KeeperHandle)> {
        self.lock().iter().map(|(key, handle)| (key.clone(), handle.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<KeeperKey, KeeperHandle>> {
        self.keepers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
