//! Work under which targets end: what this box believes of it, and what the boxes tell one another.
//!
//! What is known lies in the store beside the duties, an object for each piece of work: every box follows these
//! anyway, a box that starts lists them first, and nothing is asked of the store on top. A box tells of work once it
//! has seen two ends under it, or when it has given its caller up after one; so the crash of a target costs no call,
//! since what ran there is answered well elsewhere.

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
/// How often it is looked what is over or due, should nothing tell.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Pause after a call that the store did not take.
const CALL_PAUSE: Duration = Duration::from_millis(300);
/// Most writes between two looks; what is beyond waits for the next.
const MOST_WRITES: usize = 16;

/// Name of the object that tells of a piece of work.
pub fn suspect_object(work: WorkDigest) -> String {
    format!("{SUSPECT_PREFIX}{work}")
}

fn work_of(name: &str) -> Option<WorkDigest> {
    name.strip_prefix(SUSPECT_PREFIX)?.parse().ok()
}

/// Where a piece of work may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkAdmission {
    /// Anywhere but at these targets.
    Open(Vec<InstanceId>),
    /// Nowhere: it ends the targets of its service.
    Quarantined,
}

impl NodeView {
    /// Where work may run, by what is known of it now. Work that `is_background` is not let through while other boxes may
    /// tell what explains its ends better.
    pub fn admit_work(
        &self,
        work: WorkDigest,
        service: &ServiceName,
        is_background: bool,
    ) -> WorkAdmission {
        let condemned = if is_background {
            self.suspects().suspected_versions(work, service)
        } else {
            self.suspects().quarantined_versions(self.now(), work, service)
        };
        if condemned.is_empty() {
            return WorkAdmission::Open(Vec::new());
        }
        let board = self.target_table();
        let (barred, free): (Vec<_>, Vec<_>) =
            board.of_service(service).partition(|record| condemned.contains(&record.software));
        if free.is_empty() {
            drop(board);
            return self.trial(work);
        }
        WorkAdmission::Open(barred.into_iter().map(|record| record.instance.clone()).collect())
    }

    /// Whether condemned work may run once more.
    fn trial(&self, work: WorkDigest) -> WorkAdmission {
        let request_trial = self.suspects().request_trial(self.now(), work);
        self.suspects_changed();
        if request_trial { WorkAdmission::Open(Vec::new()) } else { WorkAdmission::Quarantined }
    }
}

/// Takes an object of the store; `false` when it tells of no work.
pub(crate) fn take_object(view: &NodeView, stored: &Stored) -> bool {
    if !stored.name.starts_with(SUSPECT_PREFIX) {
        return false;
    }
    match (work_of(&stored.name), stored.parse::<SuspectRecord>()) {
        (Some(work), Ok(record)) => {
            let (now, told, service) = (view.now(), record.ends.len(), record.service.clone());
            view.suspects().apply_record(now, work, stored.revision, record);
            let ends = view.suspects().crash_count(work);
            log::info!(
                target: "targets", work:% = work, service:% = service, told = told, ends = ends,
                revision = stored.revision;
                "work under suspicion"
            );
        }
        (None, _) => log::warn!(target: "targets", name = stored.name.as_str(); "suspect refused"),
        (Some(work), Err(error)) => {
            // Another writer's: nothing is believed under this name that stood there before.
            view.suspects().apply_removal(work);
            log::warn!(target: "targets", work:% = work, error:% = error; "suspect refused");
        }
    }
    true
}

/// Takes the word that an object is gone.
pub(crate) fn take_removal(view: &NodeView, name: &str) {
    if let Some(work) = work_of(name) {
        view.suspects().apply_removal(work);
        log::info!(target: "targets", work:% = work; "work free again");
    }
}

/// Takes a whole listing.
pub(crate) fn take_listing(view: &NodeView, listing: &Listing) {
    let named = listing.objects.iter().filter_map(|stored| work_of(&stored.name));
    let named: HashSet<WorkDigest> = named.collect();
    view.suspects().apply_listing(&named);
}

/// Tells the others of work under suspicion and forgets what is old, until `stop`. A box that keeps data also clears
/// away what boxes that are gone have told.
pub async fn sync_suspects(view: Arc<NodeView>, clears_others: bool, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = view.suspects_news() => {}
            () = time::sleep(LOOK_EVERY) => {}
            () = stop.cancelled() => return,
        }
        if view.suspects().is_idle() {
            continue;
        }
        settle_lapsed(&view);
        view.suspects().expire(view.now(), clears_others);
        let due = view.suspects().due_writes();
        for write in due.into_iter().take(MOST_WRITES) {
            if let Err(error) = carry_out(&view, write).await {
                log::debug!(target: "targets", error:% = error; "suspect not told");
                time::sleep(CALL_PAUSE).await;
            }
        }
    }
}

/// A life that refused connections and is listed long after that has not ended: the way to it was cut.
fn settle_lapsed(view: &NodeView) {
    let lapsed = view.suspects().drain_expired_refusals(view.now());
    for life in lapsed {
        let lives = {
            let board = view.target_table();
            board.stays(&life.instance)
                && board.record(&life.instance).is_some_and(|record| record.born == life.born)
        };
        if lives && view.store_state().up && view.entry_grace().is_zero() {
            log::info!(target: "targets", target:% = life; "target had not ended");
            view.suspects().clear_incarnation(&life);
            view.suspects_changed();
        }
    }
}

async fn carry_out(view: &NodeView, write: SuspectWrite) -> Result<(), StoreError> {
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
                Err(StoreError::NotApplied(why)) => Err(StoreError::NotApplied(why)),
                // Another box was first, or nobody knows: what stands there decides.
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
                Err(StoreError::NotApplied(why)) => Err(StoreError::NotApplied(why)),
                Err(_) => read_back(view, work).await,
            }
        }
    }
}

async fn read_back(view: &NodeView, work: WorkDigest) -> Result<(), StoreError> {
    view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    match view.store.get(Kind::ClusterState, &suspect_object(work)).await? {
        Some(stored) => {
            take_object(view, &stored);
        }
        None => view.suspects().apply_removal(work),
    }
    Ok(())
}
