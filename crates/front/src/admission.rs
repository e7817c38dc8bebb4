//! Which requests may go on: by which route, and as whose.

use std::sync::Arc;

use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use node::NodeView;
use platform::headers;
use routing::{CallerIdentity, Route, RouteTable};

use crate::answer::{self, FrontBody};

/// A request that may go on.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// Who sends it.
    pub caller: CallerIdentity,
}

impl AdmittedRequest {
    /// Names the customer to the target, in place of what the caller says of itself. Without customers the caller's
    /// headers are its own matter.
    pub fn name_customer(&self, sent: &mut HeaderMap) {
        if self.caller.is_checked() {
            headers::set_customer(sent, self.caller.customer());
        }
    }
}

/// The host that a request names.
pub fn host_of(head: &Parts) -> &str {
    head.headers.get("host").and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// The path and query that a request names.
pub fn path_of(head: &Parts) -> &str {
    head.uri.path_and_query().map_or("/", |path| path.as_str())
}

/// Lets a request in by the configuration in force, or says why not.
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
        let refusal = answer::refuse(StatusCode::NOT_FOUND, "no route", remedy, id);
        return Err(Box::new(refusal));
    };
    let caller = identify(view, &table, head, route.public)?;
    Ok(AdmittedRequest { route, caller })
}

/// Who sends a request. Nobody is called unknown by a box whose settings may be old: callers come again after a
/// refusal that says so, and never after the other one.
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
    let sure = view.has_fresh_config();
    let outcome = if sure { "key not known" } else { "key not known, settings may be old" };
    view.metrics.count_outcome("key", outcome);
    log::info!(
        target: "entry", request = id.unwrap_or(""), host = host_of(head), config = table.version.get(),
        key = key.map(|key| key.to_string()).as_deref().unwrap_or("none"), outcome = outcome;
        "request ended"
    );
    let refusal =
        if sure { answer::key_not_known(id) } else { answer::not_run("settings may be old", id) };
    Err(Box::new(refusal))
}
