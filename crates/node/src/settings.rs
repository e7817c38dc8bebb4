//! Settings of the roles on the platform: flags and environment variables, checked at start.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use ids::{BoxId, DomainId};
use routing::ColdBound;
use usage::WindowLength;
use wire::DeploymentKey;

use crate::ClockSource;

/// Settings of both roles, as given.
#[derive(Debug, Clone, Args)]
pub struct RawNodeSettings {
    /// This box's id, unique in the deployment.
    #[arg(long, env = "GANNETWAY_BOX_ID")]
    pub box_id: String,
    /// This box's failure domain.
    #[arg(long, env = "GANNETWAY_DOMAIN")]
    pub domain: String,
    /// Address of the box.
    #[arg(long, env = "GANNETWAY_IP")]
    pub ip: IpAddr,
    /// Where callers come in, as IP:PORT; for the entry role.
    #[arg(long, env = "GANNETWAY_FRONT")]
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the box wants connections; for the entry role.
    #[arg(long, env = "GANNETWAY_READY")]
    pub ready: Option<SocketAddr>,
    /// Port for other boxes.
    #[arg(long, env = "GANNETWAY_PEER_PORT")]
    pub peer_port: u16,
    /// Where other boxes reach this one, as IP:PORT, if it is not the box's address and peer port.
    #[arg(long, env = "GANNETWAY_ADVERTISE")]
    pub advertise: Option<SocketAddr>,
    /// Port that serves metrics; 0 serves none.
    #[arg(long, env = "GANNETWAY_METRICS_PORT", default_value_t = 0)]
    pub metrics_port: u16,
    /// The platform's store, as IP:PORT.
    #[arg(long, env = "GANNETWAY_STORE")]
    pub store: SocketAddr,
    /// The deployment's key, shared by all boxes.
    #[arg(long, env = "GANNETWAY_KEY", hide_env_values = true)]
    pub key: String,
    /// Shards into which jobs are divided, the same on all boxes; 0 lets the boxes agree on a number, once,
    /// by how many of them have disks.
    #[arg(long, env = "GANNETWAY_SHARDS", default_value_t = 0)]
    pub shards: u32,
    /// After a request to stop, how long the process may live, in seconds.
    #[arg(long, env = "GANNETWAY_GRACE_S", default_value_t = 8.0)]
    pub grace_s: f64,
    /// Descriptors that the process may open; connections to targets keep well below.
    #[arg(long, env = "GANNETWAY_MAX_FDS", default_value_t = 4_096)]
    pub max_fds: usize,
    /// Length of the windows in which customers' use is counted and reported, in seconds; empty or 0 where nobody
    /// wants reports.
    #[arg(long, env = "GANNETWAY_USAGE_WINDOW_S", default_value = "")]
    pub usage_window_s: String,
    /// Time in which a configuration must be in force after the store has taken it, in milliseconds.
    #[arg(long, env = "GANNETWAY_CONFIG_MS", default_value_t = 2_000)]
    pub config_ms: u64,
    /// Time in which nothing may go any more to a target that leaves, in milliseconds.
    #[arg(long, env = "GANNETWAY_DRAIN_MS", default_value_t = 2_000)]
    pub drain_ms: u64,
    /// Time in which nothing may go any more to a failure domain that is to be emptied, in milliseconds; empty where
    /// the platform empties none.
    #[arg(long, env = "GANNETWAY_EVACUATE_MS", default_value = "")]
    pub evacuate_ms: String,
    /// Factor by which requests to a cold target may exceed what its service says it bears; empty for 1.
    #[arg(long, env = "GANNETWAY_COLD_EXCESS", default_value = "")]
    pub cold_excess: String,
    /// Requests in a second that a cold target may get beyond that; empty for none.
    #[arg(long, env = "GANNETWAY_COLD_SLACK", default_value = "")]
    pub cold_slack: String,
    /// Log level: error, warn, info, debug or trace.
    #[arg(long, env = "GANNETWAY_LOG", default_value = "info")]
    pub log: log::LevelFilter,
}

/// Settings of the keeping role, as given.
#[derive(Debug, Clone, Args)]
pub struct RawStorageSettings {
    /// Settings of both roles.
    #[command(flatten)]
    pub node: RawNodeSettings,
    /// Folder for data that lasts.
    #[arg(long, env = "GANNETWAY_DATA_DIR")]
    pub data_dir: PathBuf,
    /// Disks that may be lost at once; each shard's log has one copy more.
    #[arg(long, env = "GANNETWAY_LOSSES", default_value_t = 1)]
    pub losses: usize,
    /// How long an ended job can be read, in seconds.
    #[arg(long, env = "GANNETWAY_RETENTION_S", default_value_t = 120.0)]
    pub retention_s: f64,
    /// Time after the last order of one holder before another may order, in milliseconds.
    #[arg(long, env = "GANNETWAY_ORDER_GAP_MS", default_value_t = 3_000)]
    pub order_gap_ms: u64,
    /// Memory of the box, in MB; jobs may take a third of it.
    #[arg(long, env = "GANNETWAY_MEMORY_MB", default_value_t = 256)]
    pub memory_mb: usize,
    /// One engine in this many may load weights at a time.
    #[arg(long, env = "GANNETWAY_LOAD_PARTS", default_value_t = 5)]
    pub load_parts: usize,
    /// Where the platform takes reports of use and orders of replicas, as IP:PORT; empty where it takes none.
    #[arg(long, env = "GANNETWAY_ACCOUNTS", default_value = "")]
    pub accounts: String,
    /// How long after its window's end a report of use is due, in seconds.
    #[arg(long, env = "GANNETWAY_USAGE_LATE_S", default_value = "")]
    pub usage_late_s: String,
}

/// Checked settings of both roles.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// This box.
    pub box_id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its address.
    pub ip: IpAddr,
    /// Where callers come in.
    pub front: Option<SocketAddr>,
    /// Where readiness is asked.
    pub ready: Option<SocketAddr>,
    /// Where other boxes come in.
    pub peer: SocketAddr,
    /// Where other boxes reach it: the same, unless something stands in between.
    pub advertised: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The deployment's key.
    pub key: DeploymentKey,
    /// Shards of jobs; 0 for as many as the boxes agree on.
    pub shards: u32,
    /// Descriptors that the process may open.
    pub max_fds: usize,
    /// The clock of what the box believes; the machine's but in tests.
    pub clock: ClockSource,
    /// Time to stop in.
    pub grace: Duration,
    /// Length of the windows of use; `None` where nobody wants reports.
    pub usage_window: Option<WindowLength>,
    /// How soon a change that binds callers must be heeded.
    pub propagation_bound: Duration,
    /// Whether the platform asks for failure domains to be emptied.
    pub evacuations: bool,
    /// How far requests to a cold target may go above what it bears.
    pub cold_bound: ColdBound,
    /// Log level.
    pub log: log::LevelFilter,
}

/// Checked settings of the keeping role.
#[derive(Debug, Clone)]
pub struct StorageSettings {
    /// Settings of both roles.
    pub node: NodeSettings,
    /// Folder for data.
    pub data_dir: PathBuf,
    /// Copies of each shard's log.
    pub copies: usize,
    /// How long an ended job is held.
    pub retention: Duration,
    /// Time between the orders of two holders.
    pub order_gap: Duration,
    /// Bytes that jobs may take.
    pub job_bytes: usize,
    /// One engine in this many may load at a time.
    pub load_parts: usize,
    /// Where the platform takes reports of use and orders of replicas.
    pub accounts: Option<SocketAddr>,
    /// How long after its window's end a report of use is due.
    pub usage_late: Duration,
}

/// All faults of the settings, each with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the settings cannot be used:\n  {}", .0.join("\n  "))]
pub struct SettingsError(pub Vec<String>);

/// How long after its window's end a report is due where the settings do not say.
const USUAL_LATE: Duration = Duration::from_secs(10);
/// Longest time to stop in, in seconds.
const MOST_GRACE_S: f64 = 600.0;
/// Most shares of jobs: each costs a plan in the store.
const MOST_SHARDS: u32 = 256;

/// Seconds that a template may leave empty: nothing is zero, `None` what is no time.
fn read_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    if text.is_empty() {
        return Some(Duration::ZERO);
    }
    let seconds: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// A number of 0 or more that a template may leave empty: then it is `usual`; `None` what is no such number.
fn read_number(text: &str, usual: f64) -> Option<f64> {
    let text = text.trim();
    if text.is_empty() {
        return Some(usual);
    }
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

impl RawNodeSettings {
    /// What the platform says of places, and the faults of it.
    fn check_places(&self, faults: &mut Vec<String>) -> (bool, ColdBound) {
        let evacuate = read_number(&self.evacuate_ms, 0.0);
        if evacuate.is_none() {
            faults.push(format!(
                "--evacuate-ms is `{}`: give milliseconds, or nothing where no domain is emptied",
                self.evacuate_ms
            ));
        }
        let usual = ColdBound::default();
        let excess = read_number(&self.cold_excess, usual.excess);
        if excess.is_none() {
            faults.push(format!("--cold-excess is `{}`: give a factor", self.cold_excess));
        }
        let slack = read_number(&self.cold_slack, usual.slack);
        if slack.is_none() {
            faults.push(format!("--cold-slack is `{}`: give a number", self.cold_slack));
        }
        let bound = ColdBound {
            excess: excess.unwrap_or(usual.excess),
            slack: slack.unwrap_or(usual.slack),
        };
        (evacuate.is_some_and(|time| time > 0.0), bound)
    }

    /// Checks every value; reports all faults together.
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
        let key = DeploymentKey::new(&self.key);
        if let Err(error) = &key {
            faults.push(format!("--key: {error}"));
        }
        if self.shards > MOST_SHARDS {
            faults.push(format!("--shards is {}: give 0 to {MOST_SHARDS}", self.shards));
        }
        if !(0.0..=MOST_GRACE_S).contains(&self.grace_s) {
            faults.push(format!("--grace-s is {}: give 0 to {MOST_GRACE_S}", self.grace_s));
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
                "--usage-window-s is `{}`: give seconds, or nothing where no reports are wanted",
                self.usage_window_s
            ));
        }
        let (evacuations, cold_bound) = self.check_places(&mut faults);
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
            clock: ClockSource::Machine,
            grace: Duration::from_secs_f64(self.grace_s),
            log: self.log,
        })
    }
}

/// Jobs may take one part in this many of the box's memory; the log's replay, texts on their way
/// and answers being written take the rest.
const JOB_MEMORY_PARTS: usize = 3;

impl RawStorageSettings {
    /// Checks every value; reports all faults together.
    pub fn check(&self) -> Result<StorageSettings, SettingsError> {
        let node = self.node.check()?;
        let mut faults = Vec::new();
        if self.data_dir.as_os_str().is_empty() {
            faults.push("--data-dir is empty: name a folder on the box's disk".to_owned());
        }
        if !(self.retention_s.is_finite() && self.retention_s > 0.0) {
            faults.push(format!("--retention-s is {}: give seconds over 0", self.retention_s));
        }
        if self.load_parts == 0 {
            faults.push("--load-parts is 0: give 1 or more".to_owned());
        }
        let accounts: Option<SocketAddr> = self.accounts.trim().parse().ok();
        if accounts.is_none() && !self.accounts.trim().is_empty() {
            faults.push(format!("--accounts is `{}`: give IP:PORT, or nothing", self.accounts));
        }
        let late = read_seconds(&self.usage_late_s);
        if late.is_none() {
            faults.push(format!(
                "--usage-late-s is `{}`: give seconds, or nothing",
                self.usage_late_s
            ));
        }
        if !faults.is_empty() {
            return Err(SettingsError(faults));
        }
        Ok(StorageSettings {
            node,
            data_dir: self.data_dir.clone(),
            copies: self.losses + 1,
            retention: Duration::from_secs_f64(self.retention_s),
            order_gap: Duration::from_millis(self.order_gap_ms),
            job_bytes: (self.memory_mb << 20) / JOB_MEMORY_PARTS,
            load_parts: self.load_parts,
            accounts,
            usage_late: late.filter(|late| !late.is_zero()).unwrap_or(USUAL_LATE),
        })
    }
}
