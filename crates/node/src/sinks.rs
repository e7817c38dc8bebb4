//! What becomes of the objects that followers hear of: the box's belief.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{DomainId, InstanceId, Moment};
use platform::{Changed, FormatError, Listing, Stored};
use tokio::time;

use crate::NodeView;
use crate::follow::KindSink;

/// Objects that the store tells in one answer.
const LIST_PAGE: usize = 500;
/// Lines about the targets of one piece of news; where there are more of them, one line counts them. Each of hundreds
/// of boxes hears of thousands of targets that start or end together.
const MOST_LINES: usize = 16;
/// How often it is looked whether missing targets are gone.
const MISSING_LOOK: Duration = Duration::from_millis(100);

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
                let customers = table.customers().cloned().unwrap_or_default();
                if self.0.offer_table(table) {
                    for fault in customers.faults() {
                        log::warn!(target: "config", version = version.get(), error:% = fault; "customers are odd");
                    }
                    log::info!(target: "config", version = version.get(), revision = stored.revision, customers = customers.len(); "in force");
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

/// Keeps which failure domains are to be emptied.
#[derive(Debug)]
pub struct EvacuationSink(pub Arc<NodeView>);

impl EvacuationSink {
    fn set(&self, domain: &DomainId, evacuated: bool, revision: u64) {
        let now = self.0.now();
        if !self.0.target_table().evacuate(now, domain, evacuated) {
            return;
        }
        let outcome = if evacuated { "emptied" } else { "in use" };
        self.0.metrics.count_outcome("evacuation", outcome);
        log::info!(target: "targets", domain:% = domain, revision = revision, outcome = outcome; "domain");
        self.0.wake();
    }
}

impl KindSink for EvacuationSink {
    fn listed(&mut self, listing: &Listing) {
        let named = listing.objects.iter().filter_map(|stored| stored.name.parse().ok());
        let named: HashSet<DomainId> = named.collect();
        let known = self.0.target_table().evacuated().clone();
        for domain in known.difference(&named) {
            self.set(domain, false, listing.revision);
        }
        for domain in &named {
            self.set(domain, true, listing.revision);
        }
    }

    fn changed(&mut self, change: &Changed) {
        let (name, evacuated, revision) = match change {
            Changed::Put(stored) => (&stored.name, true, stored.revision),
            Changed::Removed(name) => (name, false, 0),
        };
        match name.parse() {
            Ok(domain) => self.set(&domain, evacuated, revision),
            Err(error) => {
                log::warn!(target: "targets", name = name.as_str(), error:% = error; "evacuation refused");
            }
        }
    }
}

/// Targets whose entry is missing shortly after the store's return, each with the moment until
/// which it may come back.
type MissingTargets = Arc<Mutex<HashMap<InstanceId, Moment>>>;

/// Keeps the targets.
#[derive(Debug)]
pub struct TargetSink {
    view: Arc<NodeView>,
    missing: MissingTargets,
    /// Entries that name no target to use, each with the revision that was refused.
    refused: Mutex<HashMap<String, u64>>,
}

impl TargetSink {
    /// A sink for the view's board.
    pub fn new(view: Arc<NodeView>) -> Self {
        Self { view, missing: Arc::default(), refused: Mutex::default() }
    }

    /// Takes a target; `told` when the line of a whole listing tells of it.
    fn put(&self, stored: &Stored, told: bool) {
        match platform::targets::read_target(stored) {
            Ok(record) => {
                let (known, born) = {
                    let board = self.view.target_table();
                    let known = board.record(&record.instance);
                    (known.map(|known| known.leaving), known.map(|known| known.born))
                };
                if born.is_some_and(|born| born != record.born) {
                    self.view.suspects().instance_gone(self.view.now(), &record.instance);
                }
                if known != Some(record.leaving) && !told {
                    log::info!(
                        target: "targets", target:% = record.instance, service:% = record.service,
                        leaving = record.leaving, revision = stored.revision;
                        "listed"
                    );
                }
                if record.leaving {
                    // The word may come after its end.
                    self.view.suspects().clear_incarnation(&record.incarnation());
                    self.view.suspects_changed();
                }
                lock(&self.missing).remove(&record.instance);
                self.accept(&stored.name);
                self.view.target_table().put(self.view.now(), record);
            }
            Err(error) => self.refuse(stored, &error),
        }
    }

    /// Takes an entry that names no target to use: whatever stood under its name is gone.
    fn refuse(&self, stored: &Stored, error: &FormatError) {
        let is_new = lock(&self.refused).insert(stored.name.clone(), stored.revision);
        self.count_refused();
        if is_new == Some(stored.revision) {
            return;
        }
        log::warn!(target: "targets", name = stored.name.as_str(), revision = stored.revision, error:% = error; "entry refused");
        let Ok(instance) = stored.name.parse::<InstanceId>() else { return };
        lock(&self.missing).remove(&instance);
        if self.view.target_table().record(&instance).is_some() {
            remove_targets(&self.view, &[instance]);
        }
    }

    fn accept(&self, name: &str) {
        if lock(&self.refused).remove(name).is_some() {
            self.count_refused();
        }
    }

    fn count_refused(&self) {
        self.view.metrics.entries_refused(lock(&self.refused).len());
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
        let until = self.view.now() + grace;
        let mut missing = lock(&self.missing);
        let watched = !missing.is_empty();
        for instance in instances {
            missing.entry(instance).or_insert(until);
        }
        if !watched {
            tokio::spawn(remove_missing(Arc::clone(&self.view), Arc::clone(&self.missing)));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes missing targets off as their time comes, until none is missing. While the store is away
/// nobody can say that an entry has not come back.
async fn remove_missing(view: Arc<NodeView>, missing: MissingTargets) {
    loop {
        time::sleep(MISSING_LOOK).await;
        let now = view.now();
        let mut left = lock(&missing);
        if !view.store_state().up {
            let later = now + view.entry_grace();
            left.values_mut().for_each(|until| *until = later);
            continue;
        }
        let gone: Vec<InstanceId> =
            left.extract_if(|_, until| now >= *until).map(|(instance, _)| instance).collect();
        let done = left.is_empty();
        drop(left);
        remove_targets(&view, &gone);
        view.wake();
        if done {
            return;
        }
    }
}

fn remove_targets(view: &NodeView, instances: &[InstanceId]) {
    let told = instances.len() > MOST_LINES;
    if told {
        log::info!(target: "targets", targets = instances.len(); "gone");
    }
    for instance in instances {
        if !told {
            log::info!(target: "targets", target:% = instance; "gone");
        }
        view.target_table().remove(instance);
        view.suspects().instance_gone(view.now(), instance);
    }
}

impl KindSink for TargetSink {
    fn listed(&mut self, listing: &Listing) {
        // The first listing is told in one line: each of hundreds of boxes lists hundreds of targets.
        let is_first = self.view.target_table().instances().next().is_none();
        if is_first {
            log::info!(
                target: "targets", targets = listing.objects.len(), revision = listing.revision;
                "listed"
            );
        }
        for stored in &listing.objects {
            self.put(stored, is_first);
        }
        let listed: HashSet<&str> =
            listing.objects.iter().map(|stored| stored.name.as_str()).collect();
        lock(&self.refused).retain(|name, _| listed.contains(name.as_str()));
        self.count_refused();
        let missing: Vec<InstanceId> = self
            .view
            .target_table()
            .instances()
            .filter(|instance| !listed.contains(instance.as_str()))
            .cloned()
            .collect();
        self.missing(missing);
        self.view.pool.sweep();
        self.view.wake();
    }

    fn changed(&mut self, change: &Changed) {
        self.changed_all(std::slice::from_ref(change));
    }

    fn changed_all(&mut self, changes: &[Changed]) {
        let told = changes.len() > MOST_LINES;
        // One answer may tell of the end of an entry and of its return.
        let mut gone: HashSet<&str> = HashSet::new();
        for change in changes {
            match change {
                Changed::Put(stored) => {
                    gone.remove(stored.name.as_str());
                    self.put(stored, told);
                }
                Changed::Removed(name) => {
                    self.accept(name);
                    gone.insert(name);
                }
            }
        }
        if told {
            log::info!(target: "targets", changes = changes.len(), gone = gone.len(); "listed");
        }
        self.missing(gone.into_iter().filter_map(|name| name.parse().ok()).collect());
        // Whatever rests at targets that are gone or idle goes as well.
        self.view.pool.sweep();
        self.view.wake();
    }

    fn is_large(&self) -> bool {
        self.view.target_table().instances().nth(LIST_PAGE).is_some()
    }

    /// Entries that come back are awaited.
    fn may_gather(&self) -> bool {
        lock(&self.missing).is_empty()
    }
}
