//! Admission of requests: route lookup and caller identification.

use std::sync::Arc;

use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use node::NodeView;
use platform::headers;
use routing::{CallerIdentity, Route, RouteTable};

use crate::response::{self, FrontBody};

/// A request that was admitted.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Identity of the caller.
    pub caller: CallerIdentity,
}

impl AdmittedRequest {
    /// Replaces the caller's customer headers by the identified customer. Leaves the headers
    /// unchanged if the configuration has no customers.
    pub fn name_customer(&self, sent: &mut HeaderMap) {
        if self.caller.is_checked() {
            headers::set_customer(sent, self.caller.customer());
        }
    }
}

/// Returns the `Host` header of a request, or an empty text.
pub fn host_of(head: &Parts) -> &str {
    head.headers.get("host").and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// Returns the path and query of a request.
pub fn path_of(head: &Parts) -> &str {
    head.uri.path_and_query().map_or("/", |path| path.as_str())
}

/// Admits a request under the active configuration, or returns the refusal to send.
pub fn admit(view: &NodeView, head: &Parts) -> Result<AdmittedRequest, Box<Response<FrontBody>>> {
    let table = view.table();
    let id = headers::request_id(&head.headers);
    let Some(route) = table.find(host_of(head), path_of(head)).cloned() else {
        log::info!(
            target: "entry", request = id.unwrap_or(""), host = host_of(head),
            config = table.version.get(), outcome = "no route";
            "request ended"
        );
        let remedy = "check the host and the path";
        let refusal = response::refuse(StatusCode::NOT_FOUND, "no route", remedy, id);
        return Err(Box::new(refusal));
    };
    let caller = identify(view, &table, head, route.public)?;
    Ok(AdmittedRequest { route, caller })
}

/// Identifies the caller of a request, or returns the refusal to send. A box whose configuration
/// may be outdated sends a refusal that allows retries, since callers don't retry after an unknown
/// key.
pub fn identify(
    view: &NodeView,
    table: &RouteTable,
    head: &Parts,
    public: bool,
) -> Result<CallerIdentity, Box<Response<FrontBody>>> {
    let key = headers::caller_key(&head.headers);
    let caller = table.identify(key, public);
    if caller != CallerIdentity::Refused {
        return Ok(caller);
    }
    let id = headers::request_id(&head.headers);
    let is_current = view.has_fresh_config();
    let outcome = if is_current { "key not known" } else { "key not known, settings may be old" };
    view.metrics.count_outcome("key", outcome);
    log::info!(
        target: "entry", request = id.unwrap_or(""), host = host_of(head), config = table.version.get(),
        key = key.map(|key| key.to_string()).as_deref().unwrap_or("none"), outcome = outcome;
        "request ended"
    );
    let refusal = if is_current {
        response::unknown_key(id)
    } else {
        response::not_run("settings may be old", id)
    };
    Err(Box::new(refusal))
}
