//! Copies of other boxes' logs on this box's disk.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use ids::ShardIndex;
use joblog::{CopyError, CopyFolder, EpochId, LogCopyFile};
use tokio::task;

/// A copy that takes appends.
pub type OpenCopy = Arc<Mutex<LogCopyFile>>;

/// Does something with a copy where waiting for the disk is allowed; a failure is logged.
pub async fn on_disk<T: Send + 'static>(
    shard: ShardIndex,
    what: &'static str,
    work: impl FnOnce() -> Result<T, CopyError> + Send + 'static,
) -> Option<T> {
    match task::spawn_blocking(work).await {
        Ok(Ok(done)) => Some(done),
        Ok(Err(error)) => {
            log::error!(target: "shard", shard = shard.get(), what = what, error:% = error; "disk failed");
            None
        }
        Err(error) => {
            log::error!(target: "shard", shard = shard.get(), what = what, error:% = error; "disk failed");
            None
        }
    }
}

/// The copies of this box, and which of them take appends.
#[derive(Debug, Clone)]
pub struct OpenCopies {
    folder: CopyFolder,
    open: Arc<Mutex<HashMap<(ShardIndex, EpochId), OpenCopy>>>,
    /// Copies on their way here, which take no appends yet.
    coming: Arc<Mutex<HashMap<(ShardIndex, EpochId), OpenCopy>>>,
}

impl OpenCopies {
    /// The copies in `folder`; after a start none of them takes appends.
    pub fn new(folder: CopyFolder) -> Self {
        Self { folder, open: Arc::default(), coming: Arc::default() }
    }

    /// The folder.
    pub const fn folder(&self) -> &CopyFolder {
        &self.folder
    }

    /// Appends to an open copy and waits for the disk. `None` when the epoch is not open here.
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
        // Closed meanwhile: whoever closed it has read it without this record, perhaps.
        let still_open = open.lock().unwrap_or_else(PoisonError::into_inner).contains_key(&key);
        still_open.then_some(result)
    }

    /// Begins a copy, or goes on with it; opens it for appends after the last piece.
    pub async fn receive(
        &self,
        shard: ShardIndex,
        epoch: EpochId,
        first: bool,
        last: bool,
        records: Vec<u8>,
    ) -> Option<Result<u64, CopyError>> {
        let key = (shard, epoch.clone());
        let (folder, coming) = (self.folder.clone(), Arc::clone(&self.coming));
        let open = Arc::clone(&self.open);
        let received = task::spawn_blocking(move || {
            let copy = if first {
                let file = folder.create(shard, &epoch)?;
                let copy: OpenCopy = Arc::new(Mutex::new(file));
                lock(&coming).insert(key.clone(), Arc::clone(&copy));
                Some(copy)
            } else {
                lock(&coming).get(&key).cloned()
            };
            let Some(copy) = copy else { return Ok(None) };
            let mut file = lock(&copy);
            let offset = file.len();
            file.append(offset, &records)?;
            let len = file.len();
            if last {
                file.sync()?;
                drop(file);
                lock(&coming).remove(&key);
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

    /// Closes a copy: no append under its epoch is taken from here on. Waits for one under way.
    pub async fn close(&self, shard: ShardIndex, epoch: &EpochId) {
        let copy = lock(&self.open).remove(&(shard, epoch.clone()));
        let Some(copy) = copy else { return };
        // An append under way holds the file; after it the file is as it stays.
        let waited = task::spawn_blocking(move || drop(lock(&copy)));
        if let Err(error) = waited.await {
            log::warn!(target: "shard", error:% = error; "append ended badly");
        }
    }

    /// Removes copies of a shard with a token lower than `keep`'s, and others of its token.
    pub async fn clean(&self, shard: ShardIndex, keep: EpochId) {
        let (folder, open) = (self.folder.clone(), Arc::clone(&self.open));
        let cleaned = on_disk(shard, "remove old copies", move || {
            for epoch in folder.epochs(shard)? {
                if epoch != keep && epoch.token <= keep.token {
                    lock(&open).remove(&(shard, epoch.clone()));
                    folder.remove(shard, &epoch)?;
                }
            }
            Ok(())
        });
        // What stays is removed with the next epoch.
        let _logged = cleaned.await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
