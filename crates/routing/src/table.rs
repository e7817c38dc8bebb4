//! One version of the operator's configuration: hosts, paths, services, limits.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ids::{Generation, ModelName, RouteName, ServiceName};

use replicas::ReplicaLimits;

use crate::{CallerIdentity, ColdSpec, CustomerTable, KeyDigest};

/// What may be done with the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// The answer is a series of events; runs at most once.
    Streaming,
    /// Jobs of many items.
    Jobs,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The `Host` it is for, in lower case.
    pub host: String,
    /// Start of the paths it is for; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time a request may be held.
    pub timeout: Option<Duration>,
    /// Time within which an answer earns full credit.
    pub goal: Option<Duration>,
    /// Most targets that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Services that answer it, with their shares.
    pub backends: Vec<WeightedService>,
    /// After this long an item of a job may be given up.
    pub max_wait: Option<Duration>,
    /// Whether a sample must come from a single version.
    pub single_version: bool,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The service for one request; `random` is uniform over all of `u32`.
    pub fn service(&self, random: u32) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|backend| &backend.service);
        }
        let mut point = u64::from(random) * total / (u64::from(u32::MAX) + 1);
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if point < weight {
                return Some(&backend.service);
            }
            point -= weight;
        }
        None
    }
}

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Connections a target of it accepts from all boxes together.
    pub max_connections: Option<u32>,
    /// Models its targets hold; empty for a plain service.
    pub models: Vec<ModelName>,
    /// How many replicas may be ordered for each failure domain; `None` where none may.
    pub replicas: Option<ReplicaLimits>,
    /// What its targets bear while they are cold; `None` where they bear all that warm ones do.
    pub cold: Option<ColdSpec>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest rest of a connection between requests.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force only until the first configuration comes: small heads, bodies of a step.
        Self { header_bytes: 16 << 10, body_bytes: 32 << 20, idle: Duration::from_secs(15) }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Version of the configuration; zero before the first.
    pub version: Generation,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// None where the configuration knows no customers.
    customers: Option<CustomerTable>,
    services: HashMap<ServiceName, ServiceSpec>,
    /// Longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of these routes and services.
    pub fn new(
        version: Generation,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self { version, limits, customers: None, services, hosts }
    }

    /// Lets only these customers' callers in, but on public routes.
    #[must_use]
    pub fn with_customers(mut self, customers: CustomerTable) -> Self {
        self.customers = Some(customers);
        self
    }

    /// The customers; `None` where the configuration knows none.
    pub const fn customers(&self) -> Option<&CustomerTable> {
        self.customers.as_ref()
    }

    /// Who a caller is that shows `key`, on a public route or another.
    pub fn identify(&self, key: Option<KeyDigest>, public: bool) -> CallerIdentity {
        let Some(customers) = &self.customers else { return CallerIdentity::NoCustomers };
        match key.and_then(|key| customers.holder(key)) {
            Some(customer) => CallerIdentity::Known(Arc::clone(customer)),
            None if public => CallerIdentity::Anonymous,
            None => CallerIdentity::Refused,
        }
    }

    /// The route of a request: of the host's routes, the one with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            lower.as_str()
        } else {
            host
        };
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// The services that callers' own requests go to; those of jobs are called by the boxes that keep them.
    pub fn called_services(&self) -> BTreeSet<ServiceName> {
        let called = self.routes().filter(|route| route.kind != RouteKind::Jobs);
        called.flat_map(|route| &route.backends).map(|backend| backend.service.clone()).collect()
    }

    /// Whether `host` has any route that takes jobs.
    pub fn takes_jobs(&self, host: &str) -> bool {
        let routes = self.hosts.get(&host.to_ascii_lowercase());
        routes.is_some_and(|routes| routes.iter().any(|route| route.kind == RouteKind::Jobs))
    }

    /// A service of the configuration.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }
}
