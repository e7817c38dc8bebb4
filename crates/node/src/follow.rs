//! Followers: each keeps one kind of the store's objects current in the box's belief.
//!
//! A follower lists its kind and then watches it from the listing's revision on. A watch that is
//! cut, or whose history is forgotten, begins again; nothing is ever taken from a read that may
//! be stale. While the store is away only the configuration's follower asks it; the others wait
//! for its word, since every call has its price.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ids::InstanceId;
use platform::{Changed, Kind, Listing, StoreError, Stored};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::NodeView;

/// Longest wait of one watch. An answer may be lost without a word, so a watch must end by
/// itself soon enough for the configuration to be in force in time.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// The same for kinds that change seldom and bind no caller.
const LONG_WAIT: Duration = Duration::from_secs(8);
/// Wait of the watch that finds out whether the store is back: a watch that waits for changes
/// would tell it only seconds later.
const PROBE_WAIT: Duration = Duration::from_millis(20);
/// First pause after a failed call; doubles up to [`MOST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: a configuration must be in force two seconds after the
/// store is back.
const MOST_PAUSE: Duration = Duration::from_millis(800);

/// Takes what a follower hears.
pub trait KindSink: Send + 'static {
    /// All objects of the kind, as they are now. Where no object goes away, each of them is a
    /// change like any other.
    fn listed(&mut self, listing: &Listing) {
        for stored in &listing.objects {
            self.changed(&Changed::Put(stored.clone()));
        }
    }

    /// One change.
    fn changed(&mut self, change: &Changed);
}

/// Follows a kind until `stop`; `gather` is how long changes may gather between two watches.
pub async fn follow_kind(
    view: Arc<NodeView>,
    kind: Kind,
    gather: Duration,
    mut sink: impl KindSink,
    stop: CancellationToken,
) {
    let followed = async {
        let mut revision = None;
        let mut pause = FIRST_PAUSE;
        let mut wait = usual_wait(kind);
        loop {
            match follow_once(&view, kind, revision, wait, &mut sink).await {
                Ok(next) => {
                    view.store_answered(true);
                    pause = FIRST_PAUSE;
                    wait = usual_wait(kind);
                    let news = revision.is_none_or(|last| last != next);
                    revision = Some(next);
                    if news && !gather.is_zero() {
                        time::sleep(gather).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(target: "node", kind:% = kind; "list again, history is gone");
                    revision = None;
                }
                Err(error) => {
                    view.store_answered(false);
                    wait = PROBE_WAIT;
                    log::debug!(target: "node", kind:% = kind, error:% = error; "store call failed");
                    time::sleep(pause).await;
                    pause = (pause * 2).min(MOST_PAUSE);
                    if kind != Kind::Configuration {
                        wait_until_up(&view).await;
                    }
                }
            }
        }
    };
    tokio::select! {
        () = followed => {}
        () = stop.cancelled() => {}
    }
}

async fn wait_until_up(view: &NodeView) {
    let mut states = view.store_states();
    // The sender lives in the view, so this ends only when the store is up.
    let _closed = states.wait_for(|state| state.up).await;
}

const fn usual_wait(kind: Kind) -> Duration {
    match kind {
        Kind::Configuration | Kind::Targets | Kind::ModelVersions => WATCH_WAIT,
        Kind::Duties | Kind::Retirements | Kind::Leases => LONG_WAIT,
    }
}

async fn follow_once(
    view: &NodeView,
    kind: Kind,
    revision: Option<u64>,
    wait: Duration,
    sink: &mut impl KindSink,
) -> Result<u64, StoreError> {
    view.metrics.store_call();
    let Some(revision) = revision else {
        let listing = view.store.list(kind).await?;
        sink.listed(&listing);
        return Ok(listing.revision);
    };
    let changes = view.store.watch(kind, revision, wait).await?;
    for change in &changes.changes {
        sink.changed(change);
    }
    Ok(changes.revision.max(revision))
}

/// Keeps the configuration.
#[derive(Debug)]
pub struct ConfigSink(pub Arc<NodeView>);

impl ConfigSink {
    fn offer(&self, stored: &Stored) {
        if stored.name != platform::config::CONFIG_NAME {
            return;
        }
        match platform::config::read_config(stored) {
            Ok(table) => {
                let version = table.version;
                if self.0.offer_table(table) {
                    log::info!(target: "config", version = version.get(), revision = stored.revision; "in force");
                }
            }
            Err(error) => {
                log::warn!(target: "config", revision = stored.revision, error:% = error; "refused");
            }
        }
    }
}

impl KindSink for ConfigSink {
    fn changed(&mut self, change: &Changed) {
        if let Changed::Put(stored) = change {
            self.offer(stored);
        }
    }
}

/// Keeps the named model versions.
#[derive(Debug)]
pub struct VersionSink(pub Arc<NodeView>);

impl VersionSink {
    fn offer(&self, stored: &Stored) {
        match platform::config::read_version(stored) {
            Ok((model, version)) => {
                log::info!(target: "config", model:% = model, weight_version = version.get(); "version named");
                self.0.name_version(model, version);
            }
            Err(error) => log::warn!(target: "config", error:% = error; "version refused"),
        }
    }
}

impl KindSink for VersionSink {
    fn changed(&mut self, change: &Changed) {
        if let Changed::Put(stored) = change {
            self.offer(stored);
        }
    }
}

/// Keeps the targets.
#[derive(Debug)]
pub struct TargetSink {
    view: Arc<NodeView>,
}

impl TargetSink {
    /// A sink for the view's board.
    pub const fn new(view: Arc<NodeView>) -> Self {
        Self { view }
    }

    fn put(&self, stored: &Stored) {
        match platform::targets::read_target(stored) {
            Ok(record) => {
                let known = self.view.board().record(&record.instance).map(|known| known.leaving);
                if known != Some(record.leaving) {
                    log::info!(
                        target: "targets", target:% = record.instance, service:% = record.service,
                        leaving = record.leaving, revision = stored.revision;
                        "listed"
                    );
                }
                self.view.board().put(record);
            }
            Err(error) => log::warn!(target: "targets", error:% = error; "entry refused"),
        }
    }

    /// Takes targets off, at once or, shortly after the store's return, once their entry has
    /// had time to come back.
    fn missing(&self, instances: Vec<InstanceId>) {
        if instances.is_empty() {
            return;
        }
        let grace = self.view.entry_grace();
        if grace.is_zero() {
            remove_targets(&self.view, &instances);
            return;
        }
        let view = Arc::clone(&self.view);
        tokio::spawn(async move {
            time::sleep(grace).await;
            let listing = list_surely(&view).await;
            let listed: HashSet<&str> =
                listing.objects.iter().map(|stored| stored.name.as_str()).collect();
            let gone: Vec<InstanceId> = instances
                .into_iter()
                .filter(|instance| !listed.contains(instance.as_str()))
                .collect();
            remove_targets(&view, &gone);
        });
    }
}

/// Lists the targets, however often the store has to be asked.
async fn list_surely(view: &NodeView) -> Listing {
    loop {
        view.metrics.store_call();
        match view.store.list(Kind::Targets).await {
            Ok(listing) => return listing,
            Err(error) => {
                log::debug!(target: "targets", error:% = error; "list failed");
                time::sleep(MOST_PAUSE).await;
            }
        }
    }
}

fn remove_targets(view: &NodeView, instances: &[InstanceId]) {
    for instance in instances {
        log::info!(target: "targets", target:% = instance; "gone");
        view.board().remove(instance);
    }
}

impl KindSink for TargetSink {
    fn listed(&mut self, listing: &Listing) {
        for stored in &listing.objects {
            self.put(stored);
        }
        let listed: HashSet<&str> =
            listing.objects.iter().map(|stored| stored.name.as_str()).collect();
        let missing: Vec<InstanceId> = self
            .view
            .board()
            .instances()
            .filter(|instance| !listed.contains(instance.as_str()))
            .cloned()
            .collect();
        self.missing(missing);
        self.view.pool.sweep();
        self.view.wake();
    }

    fn changed(&mut self, change: &Changed) {
        match change {
            Changed::Put(stored) => self.put(stored),
            Changed::Removed(name) => self.missing(name.parse().into_iter().collect()),
        }
        // Whatever rests at targets that are gone or idle goes as well.
        self.view.pool.sweep();
        self.view.wake();
    }
}
