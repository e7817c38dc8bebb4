//! The regions in which a job may be handled.

use std::collections::HashSet;

use ids::CustomerName;
use routing::{RegionScope, RouteTable};
use wire::peer::Job;

/// Returns the regions that the configuration in force allows for a job: those that are allowed for
/// all of its items and their reward calls, since the job's records contain all of them.
pub fn job_scope(table: &RouteTable, job: &Job) -> RegionScope {
    if !table.restricts_regions() {
        return RegionScope::Any;
    }
    let mut requests = HashSet::new();
    for item in &job.items {
        requests.insert((job.host.as_str(), item.path.as_str()));
        requests.extend(item.reward.iter().map(|call| (call.host.as_str(), call.path.as_str())));
    }
    let customer: Option<CustomerName> = job.customer.parse().ok();
    let routes = requests.into_iter().filter_map(|(host, path)| table.find(host, path));
    routes.fold(RegionScope::Any, |scope, route| {
        scope.intersect(&table.region_scope(&route.name, customer.as_ref()))
    })
}
