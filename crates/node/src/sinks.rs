//! Sinks that apply store objects to the box's state.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{DomainId, InstanceId, Moment};
use platform::{Changed, FormatError, Listing, Stored};
use tokio::time;

use crate::NodeView;
use crate::follow::KindSink;

/// Objects per page of a store listing.
const LIST_PAGE: usize = 500;
/// Maximum number of log lines about targets per update; larger updates are logged as one line.
/// Thousands of targets may change together, and every box logs them.
const MAX_LOG_LINES: usize = 16;
/// Interval of checks for missing targets whose grace period is over.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the configuration.
#[derive(Debug)]
pub struct ConfigSink(pub Arc<NodeView>);

impl ConfigSink {
    fn apply(&self, stored: &Stored) {
        if stored.name != platform::config::CONFIG_NAME {
            return;
        }
        match platform::config::read_config(stored) {
            Ok(table) => {
                let version = table.version;
                let customers = table.customers().cloned().unwrap_or_default();
                if self.0.offer_table(table) {
                    for fault in customers.faults() {
                        log::warn!(target: "config", version = version.get(), error:% = fault; "customer configuration has faults");
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
            self.apply(stored);
        }
    }
}

/// Applies the named model versions.
#[derive(Debug)]
pub struct VersionSink(pub Arc<NodeView>);

impl VersionSink {
    fn apply(&self, stored: &Stored) {
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
            self.apply(stored);
        }
    }
}

/// Applies the list of failure domains to evacuate.
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
        log::info!(target: "targets", domain:% = domain, revision = revision, outcome = outcome; "evacuation state changed");
        self.0.wake();
    }
}

impl KindSink for EvacuationSink {
    fn listed(&mut self, listing: &Listing) {
        let named = listing.objects.iter().filter_map(|stored| stored.name.parse().ok());
        let named: HashSet<DomainId> = named.collect();
        let evacuated = self.0.target_table().evacuated().clone();
        for domain in evacuated.difference(&named) {
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
                log::warn!(target: "targets", name = name.as_str(), error:% = error; "evacuation entry refused");
            }
        }
    }
}

/// Targets whose entry is missing shortly after the store's recovery, each with the time until
/// which it may reappear.
type MissingTargets = Arc<Mutex<HashMap<InstanceId, Moment>>>;

/// Applies the targets.
#[derive(Debug)]
pub struct TargetSink {
    view: Arc<NodeView>,
    missing: MissingTargets,
    /// Invalid entries, each with the refused revision.
    refused: Mutex<HashMap<String, u64>>,
}

impl TargetSink {
    /// Creates a sink for the view's target table.
    pub fn new(view: Arc<NodeView>) -> Self {
        Self { view, missing: Arc::default(), refused: Mutex::default() }
    }

    /// Adds or updates a target. `summarized` is set if one log line covers the whole update.
    fn put(&self, stored: &Stored, summarized: bool) {
        match platform::targets::read_target(stored) {
            Ok(record) => {
                let (was_leaving, previous_born) = {
                    let targets = self.view.target_table();
                    let previous = targets.record(&record.instance);
                    (
                        previous.map(|previous| previous.leaving),
                        previous.map(|previous| previous.born),
                    )
                };
                if previous_born.is_some_and(|born| born != record.born) {
                    self.view.suspects().instance_gone(self.view.now(), &record.instance);
                }
                if was_leaving != Some(record.leaving) && !summarized {
                    log::info!(
                        target: "targets", target:% = record.instance, service:% = record.service,
                        leaving = record.leaving, revision = stored.revision;
                        "listed"
                    );
                }
                if record.leaving {
                    // This update may arrive after the target has stopped, which was no crash.
                    self.view.suspects().clear_incarnation(&record.incarnation());
                    self.view.suspects_changed();
                }
                lock(&self.missing).remove(&record.instance);
                self.clear_refused(&stored.name);
                self.view.target_table().put(self.view.now(), record);
            }
            Err(error) => self.refuse(stored, &error),
        }
    }

    /// Refuses an invalid entry and removes any target of its name.
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

    fn clear_refused(&self, name: &str) {
        if lock(&self.refused).remove(name).is_some() {
            self.count_refused();
        }
    }

    fn count_refused(&self) {
        self.view.metrics.entries_refused(lock(&self.refused).len());
    }

    /// Removes targets, immediately or, shortly after the store's recovery, after a grace period in
    /// which their entry may reappear.
    fn remove_after_grace(&self, instances: Vec<InstanceId>) {
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
        let is_checking = !missing.is_empty();
        for instance in instances {
            missing.entry(instance).or_insert(until);
        }
        if !is_checking {
            tokio::spawn(remove_expired(Arc::clone(&self.view), Arc::clone(&self.missing)));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes missing targets when their grace period ends, until none is left. Extends the period
/// during a store outage, when entries can't reappear.
async fn remove_expired(view: Arc<NodeView>, missing: MissingTargets) {
    loop {
        time::sleep(MISSING_CHECK_INTERVAL).await;
        let now = view.now();
        let mut pending = lock(&missing);
        if !view.store_state().up {
            let deadline = now + view.entry_grace();
            pending.values_mut().for_each(|until| *until = deadline);
            continue;
        }
        let expired: Vec<InstanceId> =
            pending.extract_if(|_, until| now >= *until).map(|(instance, _)| instance).collect();
        let done = pending.is_empty();
        drop(pending);
        remove_targets(&view, &expired);
        view.wake();
        if done {
            return;
        }
    }
}

fn remove_targets(view: &NodeView, instances: &[InstanceId]) {
    let summarized = instances.len() > MAX_LOG_LINES;
    if summarized {
        log::info!(target: "targets", targets = instances.len(); "gone");
    }
    for instance in instances {
        if !summarized {
            log::info!(target: "targets", target:% = instance; "gone");
        }
        view.target_table().remove(instance);
        view.suspects().instance_gone(view.now(), instance);
    }
}

impl KindSink for TargetSink {
    fn listed(&mut self, listing: &Listing) {
        // Logs the first listing as one line, since each of hundreds of boxes lists hundreds of
        // targets.
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
        self.remove_after_grace(missing);
        self.view.pool.sweep();
        self.view.wake();
    }

    fn changed(&mut self, change: &Changed) {
        self.changed_all(std::slice::from_ref(change));
    }

    fn changed_all(&mut self, changes: &[Changed]) {
        let summarized = changes.len() > MAX_LOG_LINES;
        // A batch may contain both the removal of an entry and its return.
        let mut removed: HashSet<&str> = HashSet::new();
        for change in changes {
            match change {
                Changed::Put(stored) => {
                    removed.remove(stored.name.as_str());
                    self.put(stored, summarized);
                }
                Changed::Removed(name) => {
                    self.clear_refused(name);
                    removed.insert(name);
                }
            }
        }
        if summarized {
            log::info!(target: "targets", changes = changes.len(), gone = removed.len(); "listed");
        }
        self.remove_after_grace(removed.into_iter().filter_map(|name| name.parse().ok()).collect());
        // Drops connections that have been idle for too long, such as those to removed targets.
        self.view.pool.sweep();
        self.view.wake();
    }

    fn is_large(&self) -> bool {
        self.view.target_table().instances().nth(LIST_PAGE).is_some()
    }

    /// Batching would delay the return of missing entries.
    fn allows_batching(&self) -> bool {
        lock(&self.missing).is_empty()
    }
}
