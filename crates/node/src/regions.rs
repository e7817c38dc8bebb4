//! The regions in which requests, jobs and the calls made on their behalf may be handled.

use std::collections::HashSet;

use ids::CustomerName;
use routing::{RegionScope, Route, RouteTable};
use wire::peer::Job;

use crate::NodeView;

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

/// The request on whose behalf an internal call is made. The call is restricted to the regions that
/// are allowed for both, since it may contain parts of the request or of its response.
#[derive(Debug, Clone, Copy)]
pub struct ParentRequest<'a> {
    /// Host of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// The customer, if the request has one.
    pub customer: Option<&'a CustomerName>,
}

/// Returns the regions that the configuration in force allows for a request on `route`, or for an
/// internal call on it.
pub(crate) fn request_scope(
    view: &NodeView,
    route: &Route,
    customer: Option<&CustomerName>,
    parent: Option<ParentRequest<'_>>,
) -> RegionScope {
    let Some(parent) = parent else { return view.region_scope(route, customer) };
    let scope = view.region_scope(route, customer.or(parent.customer));
    let table = view.table();
    let Some(parent_route) = table.find(parent.host, parent.path) else { return scope };
    scope.intersect(&table.region_scope(&parent_route.name, parent.customer))
}
