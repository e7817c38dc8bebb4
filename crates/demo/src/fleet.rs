//! A deployment: the platform stand-in, engines, services and boxes of a few failure domains.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use client::{EntryClient, EntrySettings, TrainerClient};
use ids::{ModelVersion, PoolName, TargetId, TrainerId};
use pools::{PoolLimits, PoolObjective, PoolSpec, SwapPolicy};
use reqwest::{Client, Method};
use serde::Serialize;
use serde_json::{Value, json};
use standins::proxy::FaultProxy;
use tokio::time;

use crate::process::{ChildProcess, Signal};

/// Deployment key of the demo; at least 16 bytes.
const DEPLOYMENT_KEY: &str = "demo-deployment-key-0123456789";
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of checks before a wait fails.
const MAX_CHECKS: u32 = 1_500;

/// Size and settings of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Number of failure domains.
    pub domains: usize,
    /// Boxes per failure domain.
    pub boxes_per_domain: usize,
    /// Engines per failure domain.
    pub engines_per_domain: usize,
    /// Duration of a decode step of an engine with one stream.
    pub decode_step: Duration,
    /// Time that an engine takes to load a version.
    pub load_time: Duration,
    /// Lease term.
    pub lease_term: Duration,
    /// Whether to put a fault proxy in front of the peer address of each box.
    pub proxies: bool,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            domains: 3,
            boxes_per_domain: 2,
            engines_per_domain: 2,
            decode_step: Duration::from_millis(10),
            load_time: Duration::from_millis(300),
            lease_term: Duration::from_millis(1_500),
            proxies: false,
        }
    }
}

/// A running deployment. Its processes are killed on drop.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    dir: PathBuf,
    http: Client,
    /// The platform stand-in.
    pub platform: ChildProcess,
    /// Fault proxies by the id of the box behind each.
    pub proxies: BTreeMap<String, FaultProxy>,
    /// Boxes by id.
    pub boxes: BTreeMap<String, ChildProcess>,
    /// Engines by id.
    pub engines: BTreeMap<String, ChildProcess>,
    /// Plain services and scorers by id.
    pub services: BTreeMap<String, ChildProcess>,
}

fn owned_args(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}

fn domain_name(index: usize) -> String {
    format!("hall-{}", index + 1)
}

/// Index of the advertised peer address in [`ChildProcess::addresses`] of a box, which prints
/// `listening CALLERS peers PEERS bound BOUND`.
const PEERS_WORD: usize = 2;
/// Index of the address that the box listens on for peers.
const BOUND_WORD: usize = 4;

/// Returns the advertised peer address of a box.
fn peer_address(child: &ChildProcess) -> String {
    child.addresses.get(PEERS_WORD).cloned().unwrap_or_default()
}

impl Fleet {
    /// Starts all processes and waits until every box is ready. Writes logs to `dir`, which is
    /// cleared first.
    pub async fn start(plan: FleetPlan, dir: PathBuf) -> io::Result<Self> {
        if dir.exists() {
            fs::remove_dir_all(&dir)?;
        }
        fs::create_dir_all(&dir)?;
        fs::write(dir.join("key"), DEPLOYMENT_KEY)?;
        let log = Stdio::from(File::create(dir.join("platform.log"))?);
        let platform = ChildProcess::start("standins", &owned_args(&["platform"]), log).await?;
        let mut fleet = Self {
            plan,
            dir,
            http: Client::new(),
            platform,
            proxies: BTreeMap::new(),
            boxes: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
        };
        fleet.start_targets().await?;
        for domain in 0..plan.domains {
            for index in 0..plan.boxes_per_domain {
                fleet.start_box(domain, index).await?;
            }
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn start_targets(&mut self) -> io::Result<()> {
        for domain in 0..self.plan.domains {
            for index in 0..self.plan.engines_per_domain {
                self.start_engine(domain, index, ModelVersion::new(1), 1).await?;
            }
        }
        // One scorer per domain, and the plain service in the first two domains.
        for domain in 0..self.plan.domains {
            self.start_service(&format!("scorer-{}", domain + 1), domain, "scorer", "scorer")
                .await?;
        }
        for domain in 0..self.plan.domains.min(2) {
            self.start_service(&format!("orders-{}", domain + 1), domain, "plain", "orders")
                .await?;
        }
        Ok(())
    }

    /// Starts an engine, registers it with the platform and returns its id. A restarted engine
    /// needs a larger `incarnation`.
    pub async fn start_engine(
        &mut self,
        domain: usize,
        index: usize,
        version: ModelVersion,
        incarnation: u64,
    ) -> io::Result<String> {
        let id = format!("engine-{}-{}", domain + 1, index + 1);
        let args = owned_args(&[
            "engine",
            "--version",
            &version.to_string(),
            "--incarnation",
            &incarnation.to_string(),
            "--step-us",
            &self.plan.decode_step.as_micros().to_string(),
            "--load-ms",
            &self.plan.load_time.as_millis().to_string(),
        ]);
        let child = ChildProcess::start("standins", &args, self.log(&id)?).await?;
        let record = json!({
            "id": id, "domain": domain_name(domain), "kind": "engine",
            "address": format!("http://{}", child.address()), "checks_fencing": true,
        });
        self.register("target", &id, record).await?;
        self.engines.insert(id.clone(), child);
        Ok(id)
    }

    async fn start_service(
        &mut self,
        id: &str,
        domain: usize,
        kind: &str,
        service: &str,
    ) -> io::Result<()> {
        let child = ChildProcess::start("standins", &owned_args(&["plain"]), self.log(id)?).await?;
        let record = json!({
            "id": id, "domain": domain_name(domain), "kind": kind, "service": service,
            "address": format!("http://{}", child.address()),
        });
        self.register("target", id, record).await?;
        self.services.insert(id.to_owned(), child);
        Ok(())
    }

    /// Starts a box, registers it with the platform and returns its id.
    pub async fn start_box(&mut self, domain: usize, index: usize) -> io::Result<String> {
        let id = format!("box-{}-{}", domain + 1, index + 1);
        let key_file = self.key_file().display().to_string();
        let platform = format!("http://{}", self.platform.address());
        let term = self.plan.lease_term.as_millis().to_string();
        let domain = domain_name(domain);
        let mut args = owned_args(&["--box-id", &id, "--domain", &domain]);
        args.extend(owned_args(&[
            "--caller-listen",
            "127.0.0.1:0",
            "--peer-listen",
            "127.0.0.1:0",
        ]));
        args.extend(owned_args(&["--platform", &platform, "--key-file", &key_file]));
        args.extend(owned_args(&["--lease-term-ms", &term, "--drain-notice-ms", "300"]));
        args.extend(owned_args(&["--peers", &self.peer_addresses().join(",")]));
        let proxy = if self.plan.proxies { Some(FaultProxy::start().await?) } else { None };
        if let Some(proxy) = &proxy {
            args.extend(owned_args(&["--peer-advertise", &proxy.address.to_string()]));
        }
        let child = ChildProcess::start("gannetwayd", &args, self.log(&id)?).await?;
        if let Some(proxy) = proxy {
            let bound = child.addresses.get(BOUND_WORD).and_then(|address| address.parse().ok());
            if let Some(address) = bound {
                proxy.set_target(address);
            }
            self.proxies.insert(id.clone(), proxy);
        }
        let record = json!({ "id": id, "domain": domain, "address": peer_address(&child) });
        // If the platform is unavailable, the other boxes learn of this one from its peers.
        if let Err(error) = self.register("box", &id, record).await {
            eprintln!("cannot register {id}: {error}");
        }
        self.boxes.insert(id.clone(), child);
        Ok(id)
    }

    fn peer_addresses(&self) -> Vec<String> {
        self.boxes.values().map(peer_address).collect()
    }

    fn log(&self, id: &str) -> io::Result<Stdio> {
        let path = self.dir.join(format!("{id}.log"));
        Ok(Stdio::from(File::options().create(true).append(true).open(path)?))
    }

    /// Writes an object of the platform's registry of boxes and targets.
    pub async fn register(&self, kind: &str, name: &str, value: Value) -> io::Result<()> {
        let url = format!("http://{}/v1/objects/{kind}/{name}", self.platform.address());
        let current = self.http.get(&url).send().await.map_err(io::Error::other)?;
        let version = match current.json::<Value>().await {
            Ok(object) => object["version"].as_u64().unwrap_or_default(),
            Err(_absent) => 0,
        };
        let put = self.http.put(&url).query(&[("if_version", version)]).json(&value);
        put.send().await.and_then(reqwest::Response::error_for_status).map_err(io::Error::other)?;
        Ok(())
    }

    /// Sets the fault switches of a stand-in.
    pub async fn set_faults(&self, address: &str, faults: &impl Serialize) -> io::Result<()> {
        let url = format!("http://{address}/faults");
        // A stand-in that crashes on request does not respond.
        let _crashed = self.http.post(url).json(faults).send().await;
        Ok(())
    }

    /// Reads JSON from a stand-in or a box, authenticated with the deployment key.
    pub async fn read(&self, address: &str, path: &str) -> io::Result<Value> {
        let request = self.http.get(format!("http://{address}{path}")).bearer_auth(DEPLOYMENT_KEY);
        let response = request.send().await.map_err(io::Error::other)?;
        response.json().await.map_err(io::Error::other)
    }

    /// Waits until every box is ready and reports all boxes as live peers.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let all = self.boxes.len();
        for (id, child) in &self.boxes {
            self.wait_until(&format!("{id} ready"), async || {
                let ready = self.read(child.address(), "/readyz").await;
                let status = self.read(child.address(), "/v1/status").await;
                let is_live = |peer: &&Value| peer["liveness"] == "live";
                let live_peers = status.map(|status| {
                    status["peers"]
                        .as_array()
                        .map_or(0, |peers| peers.iter().filter(is_live).count())
                });
                ready.is_ok_and(|ready| ready["ready"] == true)
                    && live_peers.is_ok_and(|peers| peers >= all)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until `condition` returns true; fails after about 30 s. `description` names the
    /// condition in the error.
    pub async fn wait_until(
        &self,
        description: &str,
        condition: impl AsyncFn() -> bool,
    ) -> io::Result<()> {
        for _ in 0..MAX_CHECKS {
            if condition().await {
                return Ok(());
            }
            time::sleep(CHECK_INTERVAL).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("timed out waiting for {description}")))
    }

    /// Returns the path of the file with the deployment key.
    pub fn key_file(&self) -> PathBuf {
        self.dir.join("key")
    }

    /// Returns the caller URLs of all boxes.
    pub fn entries(&self) -> Vec<String> {
        self.boxes.values().map(|child| format!("http://{}", child.address())).collect()
    }

    /// Returns a client for operators.
    pub fn operator(&self) -> EntryClient {
        self.client()
    }

    /// Returns a client for a trainer that can use all boxes.
    pub fn trainer(&self, pool: &PoolName, trainer: &TrainerId) -> TrainerClient {
        let entry = Arc::new(self.client());
        TrainerClient::new(entry, pool.clone(), trainer.clone())
    }

    fn client(&self) -> EntryClient {
        EntryClient::new(EntrySettings {
            entries: self.entries(),
            key: Some(DEPLOYMENT_KEY.to_owned()),
            retry_timeout: Duration::from_mins(1),
        })
    }

    /// Returns the specification of a pool with all engines and scorers.
    pub fn pool(&self, name: &PoolName, trainer: &TrainerId, version: ModelVersion) -> PoolSpec {
        let ids = |map: &BTreeMap<String, ChildProcess>, prefix: &str| -> Vec<TargetId> {
            let named = map.keys().filter(|id| id.starts_with(prefix));
            named.filter_map(|id| id.parse().ok()).collect()
        };
        PoolSpec {
            name: name.clone(),
            version,
            staleness_bound: 1,
            favours: PoolObjective::Staleness,
            trainers: vec![trainer.clone()],
            engines: ids(&self.engines, "engine"),
            scorers: ids(&self.services, "scorer"),
            limits: PoolLimits::default(),
            swap: SwapPolicy::Rolling { at_once: 1 },
        }
    }

    /// Applies a pool specification and returns the accepted generation.
    pub async fn apply(&self, spec: &PoolSpec) -> io::Result<u64> {
        let path = format!("/v1/pools/{}", spec.name);
        let applied: Value = self
            .operator()
            .send_with_retries(&Method::PUT, &path, Some(spec), Duration::ZERO)
            .await
            .map_err(io::Error::other)?;
        Ok(applied["generation"].as_u64().unwrap_or_default())
    }

    /// Returns the box that reports itself as the keeper of an open step of the trainer.
    pub async fn keeper(&self, trainer: &TrainerId) -> Option<String> {
        for (id, child) in &self.boxes {
            // A frozen box does not respond, so the timeout is short.
            let response =
                time::timeout(Duration::from_millis(300), self.read(child.address(), "/v1/status"));
            let Ok(Ok(status)) = response.await else { continue };
            let kept = status["kept"].as_array().cloned().unwrap_or_default();
            let keeps = |entry: &Value| {
                entry["trainer"] == trainer.as_str()
                    && entry["token"] != 0
                    && entry["steps"].as_array().is_some_and(|steps| !steps.is_empty())
            };
            if kept.iter().any(keeps) {
                return Some(id.clone());
            }
        }
        None
    }

    /// Stops every box gracefully and returns the exit codes.
    pub async fn stop_boxes(&mut self) -> io::Result<Vec<Option<i32>>> {
        for child in self.boxes.values() {
            child.signal(Signal::Terminate).await?;
        }
        let mut codes = Vec::new();
        for child in self.boxes.values_mut() {
            codes.push(child.wait().await?.code());
        }
        self.boxes.clear();
        Ok(codes)
    }
}
