//! Copies of logs on this box's disk.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use ids::ShardIndex;
use joblog::{CopyError, CopyFolder, EpochId, LogCopyFile, ShardPlan};
use tokio::task;

/// A copy that accepts appends.
pub type OpenCopy = Arc<Mutex<LogCopyFile>>;

/// Runs a disk operation on the blocking thread pool; logs failures.
pub async fn on_disk<T: Send + 'static>(
    shard: ShardIndex,
    what: &'static str,
    work: impl FnOnce() -> Result<T, CopyError> + Send + 'static,
) -> Option<T> {
    match task::spawn_blocking(work).await {
        Ok(Ok(done)) => Some(done),
        Ok(Err(error)) => {
            log::error!(target: "shard", shard = shard.get(), what = what, error:% = error; "disk operation failed");
            None
        }
        Err(error) => {
            log::error!(target: "shard", shard = shard.get(), what = what, error:% = error; "disk operation failed");
            None
        }
    }
}

/// The copies of this box, and which of them accept appends.
#[derive(Debug, Clone)]
pub struct OpenCopies {
    folder: CopyFolder,
    open: Arc<Mutex<HashMap<(ShardIndex, EpochId), OpenCopy>>>,
    /// Copies still being received; they accept no appends yet.
    receiving: Arc<Mutex<HashMap<(ShardIndex, EpochId), OpenCopy>>>,
}

impl OpenCopies {
    /// Wraps `folder`; no copy accepts appends initially.
    pub fn new(folder: CopyFolder) -> Self {
        Self { folder, open: Arc::default(), receiving: Arc::default() }
    }

    /// Returns the folder.
    pub const fn folder(&self) -> &CopyFolder {
        &self.folder
    }

    /// Appends to an open copy and syncs it. `None` when the epoch is not open here.
    pub async fn append(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        offset: u64,
        records: Vec<u8>,
    ) -> Option<Result<u64, CopyError>> {
        let key = (shard, epoch.clone());
        let copy = self.open.lock().unwrap_or_else(PoisonError::into_inner).get(&key).cloned()?;
        let open = Arc::clone(&self.open);
        if records.is_empty() {
            let len = copy.lock().unwrap_or_else(PoisonError::into_inner).len();
            return Some(if len == offset {
                Ok(len)
            } else {
                Err(CopyError::Gap { held: len, offset })
            });
        }
        let appended = task::spawn_blocking(move || {
            let mut file = copy.lock().unwrap_or_else(PoisonError::into_inner);
            file.append(offset, &records)?;
            file.sync()?;
            Ok(file.len())
        });
        let result = appended
            .await
            .unwrap_or_else(|error| Err(CopyError::Io(std::io::Error::other(error.to_string()))));
        // If the copy was closed meanwhile, a takeover may have read it without this record.
        let still_open = open.lock().unwrap_or_else(PoisonError::into_inner).contains_key(&key);
        still_open.then_some(result)
    }

    /// Starts a copy with the first piece or continues it; opens it for appends after the last
    /// one. `None` when a later piece arrives for a copy that was not started.
    pub async fn receive(
        &self,
        shard: ShardIndex,
        epoch: EpochId,
        first: bool,
        last: bool,
        records: Vec<u8>,
    ) -> Option<Result<u64, CopyError>> {
        let key = (shard, epoch.clone());
        let (folder, receiving) = (self.folder.clone(), Arc::clone(&self.receiving));
        let open = Arc::clone(&self.open);
        let received = task::spawn_blocking(move || {
            let copy = if first {
                let file = folder.create(shard, &epoch)?;
                let copy: OpenCopy = Arc::new(Mutex::new(file));
                lock(&receiving).insert(key.clone(), Arc::clone(&copy));
                Some(copy)
            } else {
                lock(&receiving).get(&key).cloned()
            };
            let Some(copy) = copy else { return Ok(None) };
            let mut file = lock(&copy);
            let offset = file.len();
            file.append(offset, &records)?;
            let len = file.len();
            if last {
                file.sync()?;
                drop(file);
                lock(&receiving).remove(&key);
                lock(&open).insert(key, copy);
            }
            Ok(Some(len))
        });
        match received.await {
            Ok(Ok(Some(len))) => Some(Ok(len)),
            Ok(Ok(None)) => None,
            Ok(Err(error)) => Some(Err(error)),
            Err(error) => Some(Err(CopyError::Io(std::io::Error::other(error.to_string())))),
        }
    }

    /// Closes a copy: it accepts no more appends. Waits for an append in flight.
    pub async fn close(&self, shard: ShardIndex, epoch: &EpochId) {
        let copy = lock(&self.open).remove(&(shard, epoch.clone()));
        let Some(copy) = copy else { return };
        // An append in flight holds the file lock.
        let waited = task::spawn_blocking(move || drop(lock(&copy)));
        if let Err(error) = waited.await {
            log::warn!(target: "shard", error:% = error; "waiting for an append failed");
        }
    }

    /// Closes earlier epochs and deletes the copies that no plan can name any more. The store must
    /// have confirmed `plan`.
    pub async fn clean(&self, shard: ShardIndex, plan: ShardPlan) {
        let is_current = |(of, epoch): &(ShardIndex, EpochId)| {
            *of != shard || *epoch == plan.epoch || epoch.token > plan.epoch.token
        };
        lock(&self.open).retain(|key, _| is_current(key));
        lock(&self.receiving).retain(|key, _| is_current(key));
        let folder = self.folder.clone();
        let cleaned =
            on_disk(shard, "remove old copies", move || folder.remove_unused(shard, &plan));
        // Remaining copies are removed with the next plan.
        for epoch in cleaned.await.unwrap_or_default() {
            log::info!(target: "shard", shard = shard.get(), epoch:% = epoch; "copy removed");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
