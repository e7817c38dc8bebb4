//! Work suspected of crashing targets: admission, and the exchange of records between boxes.
//!
//! The records are stored with the cluster state, one object per piece of work. Every box watches
//! that kind and lists it first at its start, so this needs no further store calls. A box publishes
//! a record once it has seen two crashes, or one after which it could not respond to the caller. A
//! single crash of a target thus costs no call, since its work completes elsewhere.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ids::{InstanceId, ServiceName, WorkDigest};
use platform::{Kind, Listing, StoreError, Stored};
use suspects::{SuspectRecord, SuspectWrite};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{NodeView, StoreCall};

const SUSPECT_PREFIX: &str = "suspect-";
/// Maximum interval between checks for expired records and due writes.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of writes per check; the rest wait for the next.
const MAX_WRITES: usize = 16;

/// Name of the object that records a piece of work.
pub fn suspect_object(work: WorkDigest) -> String {
    format!("{SUSPECT_PREFIX}{work}")
}

fn work_of(name: &str) -> Option<WorkDigest> {
    name.strip_prefix(SUSPECT_PREFIX)?.parse().ok()
}

/// Targets at which a piece of work may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkAdmission {
    /// All targets except these.
    Open(Vec<InstanceId>),
    /// None before this time has passed: targets have just crashed under this owed work.
    Delayed(Duration),
    /// None: the work crashes the targets of its service.
    Quarantined,
}

impl NodeView {
    /// Decides when owed work may run. It is never quarantined.
    pub fn admit_owed(&self, work: WorkDigest, service: &ServiceName) -> WorkAdmission {
        let delay = self.suspects().space_owed(self.now(), work, service);
        if delay.is_zero() {
            WorkAdmission::Open(Vec::new())
        } else {
            WorkAdmission::Delayed(delay)
        }
    }

    /// Decides where work may run.
    pub fn admit_work(&self, work: WorkDigest, service: &ServiceName) -> WorkAdmission {
        let quarantined = self.suspects().quarantined_versions(self.now(), work, service);
        if quarantined.is_empty() {
            return WorkAdmission::Open(Vec::new());
        }
        let targets = self.target_table();
        let (excluded, allowed): (Vec<_>, Vec<_>) =
            targets.of_service(service).partition(|record| quarantined.contains(&record.software));
        if allowed.is_empty() {
            drop(targets);
            return self.request_trial(work);
        }
        WorkAdmission::Open(excluded.into_iter().map(|record| record.instance.clone()).collect())
    }

    /// Admits quarantined work once if this box was granted a trial.
    fn request_trial(&self, work: WorkDigest) -> WorkAdmission {
        let granted = self.suspects().request_trial(self.now(), work);
        self.suspects_changed();
        if granted { WorkAdmission::Open(Vec::new()) } else { WorkAdmission::Quarantined }
    }
}

/// Applies a stored object. Returns `false` if it is not a record of suspected work.
pub(crate) fn apply_object(view: &NodeView, stored: &Stored) -> bool {
    if !stored.name.starts_with(SUSPECT_PREFIX) {
        return false;
    }
    match (work_of(&stored.name), stored.parse::<SuspectRecord>()) {
        (Some(work), Ok(record)) => {
            let (now, recorded, service) = (view.now(), record.ends.len(), record.service.clone());
            view.suspects().apply_record(now, work, stored.revision, record);
            let crashes = view.suspects().crash_count(work);
            log::info!(
                target: "targets", work:% = work, service:% = service, told = recorded, ends = crashes,
                revision = stored.revision;
                "work under suspicion"
            );
        }
        (None, _) => {
            log::warn!(target: "targets", name = stored.name.as_str(); "suspect record refused");
        }
        (Some(work), Err(error)) => {
            // The unreadable record has replaced the previous one of this name.
            view.suspects().apply_removal(work);
            log::warn!(target: "targets", work:% = work, error:% = error; "suspect record refused");
        }
    }
    true
}

/// Applies the removal of an object.
pub(crate) fn apply_removal(view: &NodeView, name: &str) {
    if let Some(work) = work_of(name) {
        view.suspects().apply_removal(work);
        log::info!(target: "targets", work:% = work; "suspicion cleared");
    }
}

/// Applies a listing.
pub(crate) fn apply_listing(view: &NodeView, listing: &Listing) {
    let named = listing.objects.iter().filter_map(|stored| work_of(&stored.name));
    let named: HashSet<WorkDigest> = named.collect();
    view.suspects().apply_listing(&named);
}

/// Publishes records of suspected work and drops expired ones, until `stop`. A storage box also
/// removes records of boxes that are gone.
pub async fn sync_suspects(view: Arc<NodeView>, clears_others: bool, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = view.wait_suspects_changed() => {}
            () = time::sleep(SYNC_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        if view.suspects().is_idle() {
            continue;
        }
        clear_survivors(&view);
        view.suspects().expire(view.now(), clears_others);
        let due = view.suspects().due_writes();
        for write in due.into_iter().take(MAX_WRITES) {
            if let Err(error) = execute_write(&view, write).await {
                log::debug!(target: "targets", error:% = error; "suspect write failed");
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Clears targets that refused connections but are still listed long after: the network was
/// interrupted.
fn clear_survivors(view: &NodeView) {
    let expired = view.suspects().drain_expired_refusals(view.now());
    for incarnation in expired {
        let is_listed = {
            let targets = view.target_table();
            targets.stays(&incarnation.instance)
                && targets
                    .record(&incarnation.instance)
                    .is_some_and(|record| record.born == incarnation.born)
        };
        if is_listed && view.store_state().up && view.entry_grace().is_zero() {
            log::info!(target: "targets", target:% = incarnation; "target had not crashed");
            view.suspects().clear_incarnation(&incarnation);
            view.suspects_changed();
        }
    }
}

async fn execute_write(view: &NodeView, write: SuspectWrite) -> Result<(), StoreError> {
    view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
    match write {
        SuspectWrite::Publish { work, record, revision } => {
            let name = suspect_object(work);
            let written = match revision {
                Some(revision) => {
                    view.store.replace(Kind::ClusterState, &name, revision, &record).await
                }
                None => view.store.create(Kind::ClusterState, &name, &record).await,
            };
            log::info!(
                target: "targets", work:% = work, service:% = record.service, ends = record.ends.len(),
                outcome = if written.is_ok() { "told" } else { "not told" };
                "work under suspicion"
            );
            match written {
                Ok(revision) => {
                    view.suspects().write_confirmed(view.now(), work, revision, record);
                    Ok(())
                }
                Err(StoreError::NotApplied(reason)) => Err(StoreError::NotApplied(reason)),
                // Another box wrote first, or the outcome is unknown: the stored record decides.
                Err(_) => read_back(view, work).await,
            }
        }
        SuspectWrite::Clear { work, revision } => {
            let name = suspect_object(work);
            match view.store.remove(Kind::ClusterState, &name, revision).await {
                Ok(()) => {
                    view.suspects().apply_removal(work);
                    Ok(())
                }
                Err(StoreError::NotApplied(reason)) => Err(StoreError::NotApplied(reason)),
                Err(_) => read_back(view, work).await,
            }
        }
    }
}

async fn read_back(view: &NodeView, work: WorkDigest) -> Result<(), StoreError> {
    view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    match view.store.get(Kind::ClusterState, &suspect_object(work)).await? {
        Some(stored) => {
            apply_object(view, &stored);
        }
        None => view.suspects().apply_removal(work),
    }
    Ok(())
}
