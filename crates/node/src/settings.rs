//! Settings of the roles on the platform, from flags and environment variables, validated at
//! startup.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use ids::{BoxId, ByteRate, DomainId};
use routing::{ColdBound, EngineChoice, RegionMap};
use upstream::ByteCount;
use usage::WindowLength;
use wire::DeploymentKey;

use crate::setting_text::{read_megabits, read_megabytes, read_number, read_seconds};
use crate::{AdmissionMode, ClockSource, LiveSettings};

/// Unvalidated settings of both roles.
#[derive(Debug, Clone, Args)]
pub struct RawNodeSettings {
    /// This box's id, unique in the deployment.
    #[arg(long, env = "GANNETWAY_BOX_ID")]
    pub box_id: String,
    /// This box's failure domain.
    #[arg(long, env = "GANNETWAY_DOMAIN")]
    pub domain: String,
    /// Region of each failure domain, as a JSON object; empty if there are no regions.
    #[arg(long, env = "GANNETWAY_REGIONS", default_value = "")]
    pub regions: String,
    /// Address of the box.
    #[arg(long, env = "GANNETWAY_IP")]
    pub ip: IpAddr,
    /// Listen address for callers, as IP:PORT; for the entry role.
    #[arg(long, env = "GANNETWAY_FRONT")]
    pub front: Option<SocketAddr>,
    /// Listen address of the readiness check, as IP:PORT; for the entry role.
    #[arg(long, env = "GANNETWAY_READY")]
    pub ready: Option<SocketAddr>,
    /// Listen port for other boxes.
    #[arg(long, env = "GANNETWAY_PEER_PORT")]
    pub peer_port: u16,
    /// Address at which other boxes reach this one, as IP:PORT; defaults to the box's address and
    /// peer port.
    #[arg(long, env = "GANNETWAY_ADVERTISE")]
    pub advertise: Option<SocketAddr>,
    /// Port for metrics; 0 disables them.
    #[arg(long, env = "GANNETWAY_METRICS_PORT", default_value_t = 0)]
    pub metrics_port: u16,
    /// Address of the platform's store, as IP:PORT.
    #[arg(long, env = "GANNETWAY_STORE")]
    pub store: SocketAddr,
    /// Key shared by all boxes of the deployment.
    #[arg(long, env = "GANNETWAY_KEY", hide_env_values = true)]
    pub key: String,
    /// Number of job shards, the same on all boxes; 0 lets the boxes agree on a number once, based
    /// on how many have disks.
    #[arg(long, env = "GANNETWAY_SHARDS", default_value_t = 0)]
    pub shards: u32,
    /// Maximum time between a stop signal and exit, in seconds.
    #[arg(long, env = "GANNETWAY_GRACE_S", default_value_t = 8.0)]
    pub grace_s: f64,
    /// Maximum number of file descriptors; connections to targets stay well below it.
    #[arg(long, env = "GANNETWAY_MAX_FDS", default_value_t = 4_096)]
    pub max_fds: usize,
    /// Length of the windows for usage counts and reports, in seconds; empty or 0 disables reports.
    #[arg(long, env = "GANNETWAY_USAGE_WINDOW_S", default_value = "")]
    pub usage_window_s: String,
    /// Time in which a new configuration must take effect after the store has accepted it, in
    /// milliseconds.
    #[arg(long, env = "GANNETWAY_CONFIG_MS", default_value_t = 2_000)]
    pub config_ms: u64,
    /// Time after which a leaving target must receive no more requests, in milliseconds.
    #[arg(long, env = "GANNETWAY_DRAIN_MS", default_value_t = 2_000)]
    pub drain_ms: u64,
    /// Time after which a failure domain under evacuation must receive no more requests, in
    /// milliseconds; empty if the platform evacuates none.
    #[arg(long, env = "GANNETWAY_EVACUATE_MS", default_value = "")]
    pub evacuate_ms: String,
    /// Factor by which requests to a cold target may exceed its service's limit; empty for 1.
    #[arg(long, env = "GANNETWAY_COLD_EXCESS", default_value = "")]
    pub cold_excess: String,
    /// Requests per second that a cold target may get beyond that; empty for none.
    #[arg(long, env = "GANNETWAY_COLD_SLACK", default_value = "")]
    pub cold_slack: String,
    /// Whether boxes share one queue for each plain service that is short of slots: `off` or
    /// `shared`; empty for `off`.
    #[arg(long, env = "GANNETWAY_ADMISSION", default_value = "")]
    pub admission: String,
    /// Memory of the box, in MB. Buffered requests and responses may use a quarter of it, jobs a
    /// third. Empty or 0: no limit of buffered bytes, and jobs may use a third of 256 MB.
    #[arg(long, env = "GANNETWAY_MEMORY_MB", default_value = "")]
    pub memory_mb: String,
    /// File with lines `NAME=value`, whose values replace those of the environment. It is read
    /// again on SIGHUP and when it changes; empty for none.
    #[arg(long, env = "GANNETWAY_SETTINGS_FILE", default_value = "")]
    pub settings_file: String,
    /// Log level: error, warn, info, debug or trace.
    #[arg(long, env = "GANNETWAY_LOG", default_value = "info")]
    pub log: log::LevelFilter,
}

/// How items of jobs that compete for engines are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobOrder {
    /// By acceptance of their job and predicted length, within one shard.
    #[default]
    Accepted,
    /// By the time left until their job is due, within and between shards.
    Due,
}

/// Parses a job order. Empty text, as left by templates, is the default. Returns `None` if invalid.
fn read_job_order(text: &str) -> Option<JobOrder> {
    match text.trim() {
        "" => Some(JobOrder::default()),
        "accepted" => Some(JobOrder::Accepted),
        "due" => Some(JobOrder::Due),
        _ => None,
    }
}

/// Parses a choice of engines. Empty text is the default. Returns `None` if invalid.
fn read_engine_choice(text: &str) -> Option<EngineChoice> {
    match text.trim() {
        "" => Some(EngineChoice::default()),
        "load" => Some(EngineChoice::Load),
        "expected-time" => Some(EngineChoice::ExpectedTime),
        _ => None,
    }
}

/// Unvalidated settings of the storage role.
#[derive(Debug, Clone, Args)]
pub struct RawStorageSettings {
    /// Settings of both roles.
    #[command(flatten)]
    pub node: RawNodeSettings,
    /// Directory for persistent data.
    #[arg(long, env = "GANNETWAY_DATA_DIR")]
    pub data_dir: PathBuf,
    /// Number of disks that may fail at once; each shard's log has one more copy.
    #[arg(long, env = "GANNETWAY_LOSSES", default_value_t = 1)]
    pub losses: usize,
    /// How long a completed job can be read, in seconds.
    #[arg(long, env = "GANNETWAY_RETENTION_S", default_value_t = 120.0)]
    pub retention_s: f64,
    /// How long a box counts as lost after its return, in seconds: it should hold its copies again
    /// within this time. Empty or 0: it pulls them at a low rate.
    #[arg(long, env = "GANNETWAY_CATCH_UP_S", default_value = "")]
    pub catch_up_s: String,
    /// Rate of the box's link, in megabits per second; empty or 0 if it is unknown.
    #[arg(long, env = "GANNETWAY_LINK_MBPS", default_value = "")]
    pub link_mbps: String,
    /// Delay after the last order of one lease holder before another may order, in milliseconds.
    #[arg(long, env = "GANNETWAY_ORDER_GAP_MS", default_value_t = 3_000)]
    pub order_gap_ms: u64,
    /// At most one in this many engines loads weights at a time.
    #[arg(long, env = "GANNETWAY_LOAD_PARTS", default_value_t = 5)]
    pub load_parts: usize,
    /// Order in which items of jobs get engines: accepted or due.
    #[arg(long, env = "GANNETWAY_JOB_ORDER", default_value = "accepted")]
    pub job_order: String,
    /// How engines that report their slowdown are chosen for texts: `load` or `expected-time`; empty
    /// for `load`.
    #[arg(long, env = "GANNETWAY_ENGINE_CHOICE", default_value = "")]
    pub engine_choice: String,
    /// Address of the platform's accounting service for usage reports and replica orders, as
    /// IP:PORT; empty if there is none.
    #[arg(long, env = "GANNETWAY_ACCOUNTS", default_value = "")]
    pub accounts: String,
    /// How long after the end of its window a usage report is due, in seconds.
    #[arg(long, env = "GANNETWAY_USAGE_LATE_S", default_value = "")]
    pub usage_late_s: String,
}

/// Validated settings of both roles.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Id of this box.
    pub box_id: BoxId,
    /// Failure domain of this box.
    pub domain: DomainId,
    /// Regions of the failure domains.
    pub regions: RegionMap,
    /// Address of this box.
    pub ip: IpAddr,
    /// Listen address for callers.
    pub front: Option<SocketAddr>,
    /// Listen address of the readiness check.
    pub ready: Option<SocketAddr>,
    /// Listen address for other boxes.
    pub peer: SocketAddr,
    /// Address at which other boxes reach this one; differs from `peer` behind a proxy.
    pub advertised: SocketAddr,
    /// Listen address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// The deployment's key.
    pub key: DeploymentKey,
    /// Number of job shards; 0 if the boxes agree on it.
    pub shards: u32,
    /// Maximum number of file descriptors.
    pub max_fds: usize,
    /// Time source of the box's clock; the machine's except in tests.
    pub clock: ClockSource,
    /// Maximum time between a stop signal and exit.
    pub grace: Duration,
    /// Length of the usage windows; `None` if usage is not reported.
    pub usage_window: Option<WindowLength>,
    /// Time in which a change that affects callers must take effect.
    pub propagation_bound: Duration,
    /// Whether the platform evacuates failure domains.
    pub evacuations: bool,
    /// How far requests to a cold target may exceed its limit.
    pub cold_bound: ColdBound,
    /// Whether requests to services that are short of slots need permits.
    pub admission: AdmissionMode,
    /// Limit of the bytes buffered for callers and targets; `None` for no limit.
    pub memory_limit: Option<ByteCount>,
    /// Current values of the settings that change while the process runs.
    pub live: Arc<LiveSettings>,
    /// Log level.
    pub log: log::LevelFilter,
}

/// Validated settings of the storage role.
#[derive(Debug, Clone)]
pub struct StorageSettings {
    /// Settings of both roles.
    pub node: NodeSettings,
    /// Data directory.
    pub data_dir: PathBuf,
    /// Number of copies of each shard's log.
    pub copies: usize,
    /// How long a completed job is kept.
    pub retention: Duration,
    /// Time after the return of a box in which it should hold its copies again; zero if unknown.
    pub catch_up: Duration,
    /// Rate of the box's link, if known.
    pub link_rate: Option<ByteRate>,
    /// Minimum delay between orders of two lease holders.
    pub order_gap: Duration,
    /// Memory limit for jobs, in bytes.
    pub job_bytes: usize,
    /// At most one in this many engines loads weights at a time.
    pub load_parts: usize,
    /// Order in which items of jobs get engines.
    pub job_order: JobOrder,
    /// How engines that report their slowdown are chosen for texts.
    pub engine_choice: EngineChoice,
    /// Address of the platform's accounting service.
    pub accounts: Option<SocketAddr>,
    /// How long after the end of its window a usage report is due.
    pub usage_late: Duration,
}

/// All invalid settings, each with a remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the settings cannot be used:\n  {}", .0.join("\n  "))]
pub struct SettingsError(pub Vec<String>);

/// Default of [`StorageSettings::usage_late`].
const DEFAULT_USAGE_LATE: Duration = Duration::from_secs(10);
/// Maximum of `grace_s`, in seconds.
const MAX_GRACE_S: f64 = 600.0;
/// Maximum number of shards; each needs a plan in the store.
const MAX_SHARDS: u32 = 256;

/// Share of the box's memory for buffered requests and responses, as a divisor.
const BUFFER_MEMORY_DIVISOR: usize = 4;

impl RawNodeSettings {
    /// Validates the bounds that the platform sets, and adds their faults to `faults`.
    fn check_platform_bounds(&self, faults: &mut Vec<String>) -> (bool, ColdBound) {
        let evacuate = read_number(&self.evacuate_ms, 0.0);
        if evacuate.is_none() {
            faults.push(format!(
                "--evacuate-ms is `{}`: give milliseconds, or leave it empty if no domain is evacuated",
                self.evacuate_ms
            ));
        }
        let default = ColdBound::default();
        let excess = read_number(&self.cold_excess, default.excess);
        if excess.is_none() {
            faults.push(format!("--cold-excess is `{}`: give a factor", self.cold_excess));
        }
        let slack = read_number(&self.cold_slack, default.slack);
        if slack.is_none() {
            faults.push(format!("--cold-slack is `{}`: give a number", self.cold_slack));
        }
        let bound = ColdBound {
            excess: excess.unwrap_or(default.excess),
            slack: slack.unwrap_or(default.slack),
        };
        (evacuate.is_some_and(|time| time > 0.0), bound)
    }

    /// Validates all values. An error lists every fault.
    pub fn check(&self) -> Result<NodeSettings, SettingsError> {
        let mut faults = Vec::new();
        let name = "use 1 to 64 characters from a-z, A-Z, 0-9, `-`, `_` and `.`";
        let box_id = self.box_id.parse();
        if box_id.is_err() {
            faults.push(format!("--box-id is `{}`: {name}", self.box_id));
        }
        let domain = self.domain.parse();
        if domain.is_err() {
            faults.push(format!("--domain is `{}`: {name}", self.domain));
        }
        let regions = self.regions.parse::<RegionMap>();
        if let Err(error) = &regions {
            faults.push(format!("--regions: {error}"));
        }
        let key = DeploymentKey::new(&self.key);
        if let Err(error) = &key {
            faults.push(format!("--key: {error}"));
        }
        if self.shards > MAX_SHARDS {
            faults.push(format!("--shards is {}: give 0 to {MAX_SHARDS}", self.shards));
        }
        if !(0.0..=MAX_GRACE_S).contains(&self.grace_s) {
            faults.push(format!("--grace-s is {}: give 0 to {MAX_GRACE_S}", self.grace_s));
        }
        if self.max_fds == 0 {
            faults
                .push("--max-fds is 0: give the descriptors that the process may open".to_owned());
        }
        if self.peer_port == 0 {
            faults.push("--peer-port is 0: give the port that other boxes use".to_owned());
        }
        let window = read_seconds(&self.usage_window_s);
        if window.is_none() {
            faults.push(format!(
                "--usage-window-s is `{}`: give seconds, or leave it empty to disable reports",
                self.usage_window_s
            ));
        }
        let memory = read_megabytes(&self.memory_mb);
        if memory.is_none() {
            faults.push(format!(
                "--memory-mb is `{}`: give whole megabytes, or leave it empty for no limit",
                self.memory_mb
            ));
        }
        let (evacuations, cold_bound) = self.check_platform_bounds(&mut faults);
        let admission = self.admission.trim().parse::<AdmissionMode>();
        if let Err(error) = &admission {
            faults.push(format!("--admission: {error}"));
        }
        let (Ok(box_id), Ok(domain), Ok(key)) = (box_id, domain, key) else {
            return Err(SettingsError(faults));
        };
        if !faults.is_empty() {
            return Err(SettingsError(faults));
        }
        let peer = SocketAddr::new(self.ip, self.peer_port);
        Ok(NodeSettings {
            box_id,
            domain,
            regions: regions.unwrap_or_default(),
            ip: self.ip,
            front: self.front,
            ready: self.ready,
            peer,
            advertised: self.advertise.unwrap_or(peer),
            metrics: (self.metrics_port > 0).then(|| SocketAddr::new(self.ip, self.metrics_port)),
            store: self.store,
            key,
            shards: self.shards,
            max_fds: self.max_fds,
            usage_window: window.and_then(WindowLength::new),
            propagation_bound: Duration::from_millis(self.config_ms.min(self.drain_ms)),
            evacuations,
            cold_bound,
            admission: admission.unwrap_or_default(),
            clock: ClockSource::Machine,
            grace: Duration::from_secs_f64(self.grace_s),
            memory_limit: memory
                .filter(|bytes| *bytes > 0)
                .map(|bytes| ByteCount::new(bytes / BUFFER_MEMORY_DIVISOR)),
            live: Arc::default(),
            log: self.log,
        })
    }
}

/// Share of the box's memory for jobs, as a divisor. The rest is for log replay, request and
/// response bodies.
const JOB_MEMORY_DIVISOR: usize = 3;
/// Memory of a storage box whose settings state none, in bytes.
const DEFAULT_STORAGE_MEMORY: usize = 256 << 20;

impl RawStorageSettings {
    /// Validates all values. An error lists every fault.
    pub fn check(&self) -> Result<StorageSettings, SettingsError> {
        let node = self.node.check()?;
        let memory = read_megabytes(&self.node.memory_mb).filter(|bytes| *bytes > 0);
        let mut faults = Vec::new();
        if self.data_dir.as_os_str().is_empty() {
            faults.push("--data-dir is empty: name a directory on the box's disk".to_owned());
        }
        if !(self.retention_s.is_finite() && self.retention_s > 0.0) {
            faults.push(format!("--retention-s is {}: give seconds over 0", self.retention_s));
        }
        let catch_up = read_seconds(&self.catch_up_s);
        if catch_up.is_none() {
            faults.push(format!(
                "--catch-up-s is `{}`: give seconds, or leave it empty",
                self.catch_up_s
            ));
        }
        let link_rate = read_megabits(&self.link_mbps);
        if link_rate.is_none() {
            faults.push(format!(
                "--link-mbps is `{}`: give megabits per second, or leave it empty",
                self.link_mbps
            ));
        }
        if self.load_parts == 0 {
            faults.push("--load-parts is 0: give 1 or more".to_owned());
        }
        let accounts: Option<SocketAddr> = self.accounts.trim().parse().ok();
        if accounts.is_none() && !self.accounts.trim().is_empty() {
            faults.push(format!(
                "--accounts is `{}`: give IP:PORT, or leave it empty",
                self.accounts
            ));
        }
        let late = read_seconds(&self.usage_late_s);
        if late.is_none() {
            faults.push(format!(
                "--usage-late-s is `{}`: give seconds, or leave it empty",
                self.usage_late_s
            ));
        }
        let engine_choice = read_engine_choice(&self.engine_choice);
        if engine_choice.is_none() {
            faults.push(format!(
                "--engine-choice is `{}`: give load or expected-time",
                self.engine_choice
            ));
        }
        let job_order = read_job_order(&self.job_order);
        if job_order.is_none() {
            faults.push(format!("--job-order is `{}`: give accepted or due", self.job_order));
        }
        if !faults.is_empty() {
            return Err(SettingsError(faults));
        }
        Ok(StorageSettings {
            node,
            data_dir: self.data_dir.clone(),
            copies: self.losses + 1,
            retention: Duration::from_secs_f64(self.retention_s),
            catch_up: catch_up.unwrap_or_default(),
            link_rate: link_rate.filter(|rate| rate.get() > 0),
            order_gap: Duration::from_millis(self.order_gap_ms),
            job_bytes: memory.unwrap_or(DEFAULT_STORAGE_MEMORY) / JOB_MEMORY_DIVISOR,
            load_parts: self.load_parts,
            job_order: job_order.unwrap_or_default(),
            engine_choice: engine_choice.unwrap_or_default(),
            accounts,
            usage_late: late.filter(|late| !late.is_zero()).unwrap_or(DEFAULT_USAGE_LATE),
        })
    }
}
