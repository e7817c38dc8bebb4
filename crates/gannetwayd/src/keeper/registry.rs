//! Registry of the keepers that run on this box.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ids::{PoolName, TrainerId};
use kameo::actor::ActorRef;
use objects::{ObjectKey, ObjectKind};
use tokio::sync::watch;

use crate::context::BoxContext;
use crate::keeper::KeeperActor;

/// Identifies a trainer within a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeeperKey {
    /// The pool.
    pub pool: PoolName,
    /// The trainer.
    pub trainer: TrainerId,
}

impl KeeperKey {
    /// Key of the lease held by the keeper of this trainer's steps. Ids contain no colon.
    pub fn lease(&self) -> ObjectKey {
        ObjectKey::new(ObjectKind::Lease, format!("keeper:{}:{}", self.pool, self.trainer))
    }
}

impl fmt::Display for KeeperKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.pool, self.trainer)
    }
}

/// Handle of a keeper actor.
#[derive(Debug, Clone)]
pub struct KeeperHandle {
    /// The actor.
    pub actor: ActorRef<KeeperActor>,
    /// Change counter; increases when waiting pulls should check the keeper again.
    pub changes: watch::Receiver<u64>,
}

/// The keepers on this box.
#[derive(Debug, Clone, Default)]
pub struct KeeperRegistry {
    keepers: Arc<Mutex<HashMap<KeeperKey, KeeperHandle>>>,
}

impl KeeperRegistry {
    /// Returns the keeper of a trainer if it runs on this box.
    pub fn get(&self, key: &KeeperKey) -> Option<KeeperHandle> {
        self.lock().get(key).filter(|handle| handle.actor.is_alive()).cloned()
    }

    /// Returns the keeper of a trainer, starting it if needed. A new keeper claims its lease.
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

    /// Returns all keepers on this box.
    pub fn all(&self) -> Vec<(KeeperKey, KeeperHandle)> {
        self.lock().iter().map(|(key, handle)| (key.clone(), handle.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<KeeperKey, KeeperHandle>> {
        self.keepers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
