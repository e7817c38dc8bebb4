//! Reloads the settings of a running process.

use std::fmt::{self, Debug};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use ids::whole_millis;
use upstream::MemoryBudget;

use crate::logs::set_log_level;
use crate::settings_file::{FileStamp, file_stamp, read_settings_file};
use crate::{AdmissionMode, NodeSettings, SettingsError, StorageSettings};

/// Settings that change while the process runs, shared by all copies of its settings.
#[derive(Debug, Default)]
pub struct LiveSettings {
    /// The memory budget.
    pub memory: Arc<MemoryBudget>,
    /// The grace period in milliseconds, plus one; 0 if it has not changed.
    grace_ms: AtomicU64,
    /// The admission mode as a number, plus one; 0 if it has not changed.
    admission: AtomicU8,
}

impl LiveSettings {
    /// The grace period that applies now, if `initial` applied at the start.
    pub fn grace(&self, initial: Duration) -> Duration {
        let changed = self.grace_ms.load(Ordering::Relaxed).checked_sub(1);
        changed.map_or(initial, Duration::from_millis)
    }

    /// The admission mode that applies now, if `initial` applied at the start.
    pub fn admission(&self, initial: AdmissionMode) -> AdmissionMode {
        match self.admission.load(Ordering::Relaxed) {
            0 => initial,
            1 => AdmissionMode::Off,
            _ => AdmissionMode::Shared,
        }
    }

    fn apply(&self, settings: &NodeSettings) {
        set_log_level(settings.log);
        self.memory.set_limit(settings.memory_limit);
        self.grace_ms.store(whole_millis(settings.grace) + 1, Ordering::Relaxed);
        let is_shared = settings.admission == AdmissionMode::Shared;
        self.admission.store(1 + u8::from(is_shared), Ordering::Relaxed);
    }
}

/// A difference between two validated settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingChange {
    /// Flag of the setting, without dashes.
    pub flag: &'static str,
    /// The value before and after, without secrets.
    pub text: String,
    /// Whether the new value requires a restart.
    pub needs_restart: bool,
}

/// Collects the differences between two validated settings.
#[derive(Default)]
struct Comparison(Vec<SettingChange>);

impl Comparison {
    fn add<T: Debug>(&mut self, flag: &'static str, needs_restart: bool, old: &T, new: &T) {
        // Compared by their debug output, since not all of them have an equality.
        let (old, new) = (format!("{old:?}"), format!("{new:?}"));
        if old != new {
            let text = format!("{flag}: {old} to {new}");
            self.0.push(SettingChange { flag, text, needs_restart });
        }
    }

    fn add_fixed<T: Debug>(&mut self, flag: &'static str, old: &T, new: &T) {
        self.add(flag, true, old, new);
    }
}

/// Validated settings that can be compared with newer ones.
pub trait ReloadableSettings {
    /// The settings of both roles.
    fn node(&self) -> &NodeSettings;
    /// The settings of both roles.
    fn node_mut(&mut self) -> &mut NodeSettings;
    /// Returns what differs in `new`.
    fn changes(&self, new: &Self) -> Vec<SettingChange>;
}

impl ReloadableSettings for NodeSettings {
    fn node(&self) -> &NodeSettings {
        self
    }

    fn node_mut(&mut self) -> &mut NodeSettings {
        self
    }

    fn changes(&self, new: &Self) -> Vec<SettingChange> {
        let mut found = Comparison::default();
        found.add("log", false, &self.log, &new.log);
        found.add("memory-mb", false, &self.memory_limit, &new.memory_limit);
        found.add("grace-s", false, &self.grace, &new.grace);
        found.add("admission", false, &self.admission, &new.admission);
        found.add_fixed("box-id", &self.box_id, &new.box_id);
        found.add_fixed("domain", &self.domain, &new.domain);
        found.add_fixed("regions", &self.regions, &new.regions);
        found.add_fixed("ip", &self.ip, &new.ip);
        found.add_fixed("front", &self.front, &new.front);
        found.add_fixed("ready", &self.ready, &new.ready);
        found.add_fixed("peer-port", &self.peer, &new.peer);
        found.add_fixed("advertise", &self.advertised, &new.advertised);
        found.add_fixed("metrics-port", &self.metrics, &new.metrics);
        found.add_fixed("store", &self.store, &new.store);
        found.add_fixed("shards", &self.shards, &new.shards);
        found.add_fixed("max-fds", &self.max_fds, &new.max_fds);
        found.add_fixed("usage-window-s", &self.usage_window, &new.usage_window);
        found.add_fixed("config-ms", &self.propagation_bound, &new.propagation_bound);
        found.add_fixed("evacuate-ms", &self.evacuations, &new.evacuations);
        found.add_fixed("cold-excess", &self.cold_bound, &new.cold_bound);
        if self.key != new.key {
            let text = "key: changed".to_owned();
            found.0.push(SettingChange { flag: "key", text, needs_restart: true });
        }
        found.0
    }
}

impl ReloadableSettings for StorageSettings {
    fn node(&self) -> &NodeSettings {
        &self.node
    }

    fn node_mut(&mut self) -> &mut NodeSettings {
        &mut self.node
    }

    fn changes(&self, new: &Self) -> Vec<SettingChange> {
        let mut found = Comparison(self.node.changes(&new.node));
        found.add_fixed("data-dir", &self.data_dir, &new.data_dir);
        found.add_fixed("losses", &self.copies, &new.copies);
        found.add_fixed("retention-s", &self.retention, &new.retention);
        found.add_fixed("catch-up-s", &self.catch_up, &new.catch_up);
        found.add_fixed("link-mbps", &self.link_rate, &new.link_rate);
        found.add_fixed("order-gap-ms", &self.order_gap, &new.order_gap);
        found.add_fixed("memory-mb for jobs", &self.job_bytes, &new.job_bytes);
        found.add_fixed("load-parts", &self.load_parts, &new.load_parts);
        found.add_fixed("job-order", &self.job_order, &new.job_order);
        found.add_fixed("engine-choice", &self.engine_choice, &new.engine_choice);
        found.add_fixed("accounts", &self.accounts, &new.accounts);
        found.add_fixed("usage-late-s", &self.usage_late, &new.usage_late);
        found.0
    }
}

/// Reloads the settings file of a process.
pub struct SettingsReloader<S, L> {
    file: Option<PathBuf>,
    stamp: FileStamp,
    /// The settings that apply.
    current: S,
    /// Validates the settings with the text of the file.
    load: L,
}

impl<S, L> Debug for SettingsReloader<S, L> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SettingsReloader").field("file", &self.file).finish_non_exhaustive()
    }
}

impl<S, L> SettingsReloader<S, L>
where
    S: ReloadableSettings,
    L: Fn(&str) -> Result<S, SettingsError>,
{
    /// Creates a reloader for the settings that apply; `stamp` is that of the file when it was read.
    pub const fn new(file: Option<PathBuf>, stamp: FileStamp, current: S, load: L) -> Self {
        Self { file, stamp, current, load }
    }

    /// Whether there is a settings file.
    pub const fn has_file(&self) -> bool {
        self.file.is_some()
    }

    /// Reloads the file if it has changed.
    pub fn reload_if_changed(&mut self) {
        let Some(file) = &self.file else { return };
        if file_stamp(file) != self.stamp {
            self.reload();
        }
    }

    /// Reloads the file. An invalid one changes nothing.
    pub fn reload(&mut self) {
        let Some(file) = &self.file else {
            log::info!(target: "node", outcome = "no settings file"; "reload");
            return;
        };
        self.stamp = file_stamp(file);
        match read_settings_file(file).and_then(|text| (self.load)(&text)) {
            Ok(new) => self.apply(&new),
            Err(error) => {
                log::warn!(target: "node", outcome = "invalid", error:% = error; "reload");
            }
        }
    }

    fn apply(&mut self, new: &S) {
        let changes = self.current.changes(new);
        let list = |needs_restart: bool| {
            let listed = changes.iter().filter(|change| change.needs_restart == needs_restart);
            listed.map(|change| change.text.as_str()).collect::<Vec<_>>().join(", ")
        };
        let (applied, pending) = (list(false), list(true));
        let outcome = if changes.is_empty() { "unchanged" } else { "changed" };
        // Logged at the more verbose of the two levels, so that the line shows either way.
        set_log_level(self.current.node().log.max(new.node().log));
        log::info!(target: "node", outcome = outcome, changed = applied.as_str(); "reload");
        if !pending.is_empty() {
            log::warn!(target: "node", changed = pending.as_str(); "settings require a restart");
        }
        let current = self.current.node_mut();
        current.live.apply(new.node());
        current.log = new.node().log;
        current.memory_limit = new.node().memory_limit;
        current.grace = new.node().grace;
        current.admission = new.node().admission;
    }
}
