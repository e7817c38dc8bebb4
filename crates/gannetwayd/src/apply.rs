//! Applies configuration changes. A change is accepted only when its write is confirmed.

use std::time::Duration;

use api::{ErrorBody, ErrorKind};
use ids::{Generation, ObjectVersion};
use objects::{ObjectKey, ObjectKind, ObjectStore, StoreError};
use pools::{FleetConfig, PoolSpec};
use rand::Rng;
use tokio::time;

use crate::documents::CONFIG_NAME;

/// Maximum number of attempts to write a change.
const MAX_WRITE_ATTEMPTS: u32 = 8;
/// Maximum delay between attempts, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 100;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedChange {
    /// The configuration that contains the change.
    pub config: FleetConfig,
}

enum AttemptResult {
    Accepted(FleetConfig),
    Retry(StoreError),
}

/// Adds or replaces a pool. With `if_generation`, a pool changed after that generation is a
/// conflict. `write_id` is the idempotency key of the change.
pub async fn apply_pool(
    store: &impl ObjectStore,
    spec: PoolSpec,
    if_generation: Option<Generation>,
    write_id: &str,
) -> Result<AppliedChange, ErrorBody> {
    let mut last_error = StoreError::Unavailable;
    let mut maybe_written = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match try_apply(store, &spec, if_generation, write_id).await? {
            AttemptResult::Accepted(config) => return Ok(AppliedChange { config }),
            AttemptResult::Retry(error) => {
                maybe_written |= error == StoreError::Unknown;
                last_error = error;
            }
        }
        let delay = rand::rng().random_range(0..=MAX_RETRY_DELAY_MS);
        time::sleep(Duration::from_millis(delay)).await;
    }
    let kind = if maybe_written { ErrorKind::Unknown } else { ErrorKind::NotRun };
    let message =
        format!("the change was not confirmed ({last_error}): apply it again, which is safe");
    Err(ErrorBody::new(kind, message))
}

async fn try_apply(
    store: &impl ObjectStore,
    spec: &PoolSpec,
    if_generation: Option<Generation>,
    write_id: &str,
) -> Result<AttemptResult, ErrorBody> {
    let key = ObjectKey::new(ObjectKind::Config, CONFIG_NAME);
    let (version, current) = match read_config(store, &key).await {
        Ok(read) => read,
        Err(error @ StoreError::BadValue { .. }) => {
            return Err(ErrorBody::new(ErrorKind::Conflict, error.to_string()));
        }
        Err(error) => return Ok(AttemptResult::Retry(error)),
    };
    if let Some(entry) = current.pools.get(&spec.name) {
        // An earlier attempt took effect, but its response was lost.
        if entry.write_id == write_id {
            return Ok(AttemptResult::Accepted(current));
        }
        if if_generation.is_some_and(|seen| entry.changed > seen) {
            let message = format!(
                "pool {} was changed in generation {} by another write ({}): review it, then \
                 apply the change again",
                spec.name, entry.changed, entry.write_id
            );
            return Err(ErrorBody::new(ErrorKind::Conflict, message));
        }
    }
    let next = current.with_pool(spec.clone(), write_id.to_owned());
    let value = serde_json::to_value(&next)
        .map_err(|error| ErrorBody::new(ErrorKind::BadRequest, error.to_string()))?;
    match store.write(&key, version, value).await {
        Ok(_) => Ok(AttemptResult::Accepted(next)),
        Err(error) => Ok(AttemptResult::Retry(error)),
    }
}

async fn read_config(
    store: &impl ObjectStore,
    key: &ObjectKey,
) -> Result<(ObjectVersion, FleetConfig), StoreError> {
    let Some(object) = store.read(key).await? else {
        return Ok((ObjectVersion::default(), FleetConfig::default()));
    };
    let config = serde_json::from_value(object.value)
        .map_err(|error| StoreError::BadValue { key: key.to_string(), fault: error.to_string() })?;
    Ok((object.version, config))
}
