//! Settings from flags and environment variables, validated together at start.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::Parser;
use ids::{BoxId, DomainId};
use wire::DeploymentKey;

/// The daemon of an entry box.
///
/// Every flag may also be given by the environment variable named beside it.
#[derive(Debug, Clone, Parser)]
#[command(name = "gannetwayd", version)]
pub struct RawSettings {
    /// This box's id, unique in the deployment.
    #[arg(long, env = "GANNETWAY_BOX_ID")]
    pub box_id: String,
    /// This box's failure domain.
    #[arg(long, env = "GANNETWAY_DOMAIN")]
    pub domain: String,
    /// Address for callers, trainers and operators, as IP:PORT; port 0 takes a free one.
    #[arg(long, env = "GANNETWAY_CALLER_LISTEN", default_value = "127.0.0.1:8080")]
    pub caller_listen: String,
    /// Address for other boxes, as IP:PORT; port 0 takes a free one.
    #[arg(long, env = "GANNETWAY_PEER_LISTEN", default_value = "127.0.0.1:8090")]
    pub peer_listen: String,
    /// Address that other boxes use to reach this one, if it differs from --peer-listen.
    #[arg(long, env = "GANNETWAY_PEER_ADVERTISE")]
    pub peer_advertise: Option<String>,
    /// The platform's object API, as http://IP:PORT.
    #[arg(long, env = "GANNETWAY_PLATFORM")]
    pub platform: String,
    /// Peer addresses to contact at start, as IP:PORT, separated by commas.
    #[arg(long, env = "GANNETWAY_PEERS", default_value = "")]
    pub peers: String,
    /// File that holds the deployment's key.
    #[arg(long, env = "GANNETWAY_KEY_FILE")]
    pub key_file: Option<PathBuf>,
    /// The deployment's key; prefer --key-file, which does not show in process lists.
    #[arg(long, env = "GANNETWAY_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Term of leases, in milliseconds.
    #[arg(long, env = "GANNETWAY_LEASE_TERM_MS", default_value = "3000")]
    pub lease_term_ms: String,
    /// After SIGTERM, how long the balancer needs to notice that readiness fails, in milliseconds.
    #[arg(long, env = "GANNETWAY_DRAIN_NOTICE_MS", default_value = "2000")]
    pub drain_notice_ms: String,
    /// After SIGTERM, how long requests in flight may take to finish, in milliseconds.
    #[arg(long, env = "GANNETWAY_DRAIN_LIMIT_MS", default_value = "30000")]
    pub drain_limit_ms: String,
    /// Threads for traffic; control state has one of its own.
    #[arg(long, env = "GANNETWAY_TRAFFIC_THREADS", default_value = "2")]
    pub traffic_threads: String,
    /// Log level: error, warn, info, debug or trace.
    #[arg(long, env = "GANNETWAY_LOG", default_value = "info")]
    pub log: String,
    /// Collector for traces (OTLP over HTTP), as http://IP:PORT/v1/traces; if unset, none are sent.
    #[arg(long, env = "GANNETWAY_OTLP")]
    pub otlp: Option<String>,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this box.
    pub box_id: BoxId,
    /// Failure domain of this box.
    pub domain: DomainId,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for peers.
    pub peer_listen: SocketAddr,
    /// Address advertised to peers, if it differs from the listen address.
    pub peer_advertise: Option<SocketAddr>,
    /// URL of the platform's object API.
    pub platform: String,
    /// Peers to contact at start.
    pub peers: Vec<SocketAddr>,
    /// The deployment's key.
    pub key: DeploymentKey,
    /// Term of leases.
    pub lease_term: Duration,
    /// Time for the load balancer to detect a planned stop.
    pub drain_notice: Duration,
    /// Time for requests in flight to finish.
    pub drain_limit: Duration,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Log level.
    pub log: log::LevelFilter,
    /// URL of the trace collector (OTLP over HTTP).
    pub otlp: Option<String>,
}

/// All invalid settings, each with its flag and remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the settings cannot be used:\n  {}", .faults.join("\n  "))]
pub struct SettingsError {
    /// One line per invalid setting.
    pub faults: Vec<String>,
}

/// Range of the lease term, in milliseconds. The minimum leaves time for renewals on a slow
/// platform.
const LEASE_TERM_MS: std::ops::RangeInclusive<u64> = 500..=60_000;
/// Range of the waits in a planned stop, in milliseconds.
const DRAIN_MS: std::ops::RangeInclusive<u64> = 0..=600_000;
/// Range of the number of traffic threads.
const THREADS: std::ops::RangeInclusive<u64> = 1..=256;

/// Parses settings and collects their faults.
#[derive(Default)]
struct SettingsChecker {
    faults: Vec<String>,
}

impl SettingsChecker {
    fn parse<T: FromStr>(&mut self, flag: &str, text: &str, remedy: &str) -> Option<T> {
        let parsed = text.trim().parse().ok();
        if parsed.is_none() {
            self.faults.push(format!("--{flag} is `{text}`: {remedy}"));
        }
        parsed
    }

    fn number(
        &mut self,
        flag: &str,
        text: &str,
        range: &std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let remedy = format!("give a whole number from {} to {}", range.start(), range.end());
        let number: u64 = self.parse(flag, text, &remedy)?;
        if range.contains(&number) {
            return Some(number);
        }
        self.faults.push(format!("--{flag} is {number}: {remedy}"));
        None
    }

    fn address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        self.parse(flag, text, "give IP:PORT, such as 10.0.0.1:8080")
    }

    fn url(&mut self, flag: &str, text: &str) -> Option<String> {
        let valid = reqwest::Url::parse(text).is_ok_and(|url| url.scheme() == "http");
        if !valid {
            self.faults.push(format!("--{flag} is `{text}`: give http://IP:PORT"));
        }
        valid.then(|| text.to_owned())
    }

    fn key(&mut self, file: Option<&PathBuf>, text: Option<&str>) -> Option<DeploymentKey> {
        let read = match (file, text) {
            (Some(path), _) => fs::read_to_string(path).map_err(|error| {
                format!("--key-file {}: {error}; give a readable file", path.display())
            }),
            (None, Some(text)) => Ok(text.to_owned()),
            (None, None) => {
                Err("--key-file is missing: name the file with the deployment key".to_owned())
            }
        };
        let key = read.and_then(|text| {
            DeploymentKey::new(&text).map_err(|error| format!("--key-file: {error}"))
        });
        key.map_err(|fault| self.faults.push(fault)).ok()
    }
}

impl RawSettings {
    /// Validates all settings and reports all faults together.
    pub fn check(self) -> Result<Settings, SettingsError> {
        let mut checker = SettingsChecker::default();
        let settings = self.read(&mut checker);
        match settings {
            Some(settings) if checker.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { faults: checker.faults }),
        }
    }

    fn read(self, checker: &mut SettingsChecker) -> Option<Settings> {
        let id_remedy = "use 1 to 64 characters from a-z, A-Z, 0-9, `-`, `_` and `.`";
        let box_id = checker.parse("box-id", &self.box_id, id_remedy);
        let domain = checker.parse("domain", &self.domain, id_remedy);
        let caller_listen = checker.address("caller-listen", &self.caller_listen);
        let peer_listen = checker.address("peer-listen", &self.peer_listen);
        let peer_advertise =
            self.peer_advertise.as_deref().map(|text| checker.address("peer-advertise", text));
        let platform = checker.url("platform", &self.platform);
        let peers: Option<Vec<SocketAddr>> = self
            .peers
            .split(',')
            .filter(|text| !text.trim().is_empty())
            .map(|text| checker.address("peers", text))
            .collect();
        let key = checker.key(self.key_file.as_ref(), self.key.as_deref());
        let term = checker.number("lease-term-ms", &self.lease_term_ms, &LEASE_TERM_MS);
        let notice = checker.number("drain-notice-ms", &self.drain_notice_ms, &DRAIN_MS);
        let limit = checker.number("drain-limit-ms", &self.drain_limit_ms, &DRAIN_MS);
        let threads = checker.number("traffic-threads", &self.traffic_threads, &THREADS);
        let level = "use error, warn, info, debug or trace";
        let log = checker.parse("log", &self.log, level);
        let otlp = self.otlp.as_deref().map(|text| checker.url("otlp", text));
        Some(Settings {
            box_id: box_id?,
            domain: domain?,
            caller_listen: caller_listen?,
            peer_listen: peer_listen?,
            peer_advertise: peer_advertise.flatten(),
            platform: platform?,
            peers: peers?,
            key: key?,
            lease_term: Duration::from_millis(term?),
            drain_notice: Duration::from_millis(notice?),
            drain_limit: Duration::from_millis(limit?),
            traffic_threads: usize::try_from(threads?).ok()?,
            log: log?,
            otlp: otlp.flatten(),
        })
    }
}
