//! Plain requests: sent to a target of a service, and retried at another one only if that is safe.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use api::{
    DEADLINE_HEADER, DIGEST_HEADER, ErrorBody, ErrorKind, REPEATABLE_HEADER, REQUEST_ID_HEADER,
};
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use coord::retry::{Backoff, RetryBudget};
use ids::{ContentDigest, Moment, RequestId, ServiceName, TargetId};
use links::CallError;
use placement::{NotRun, PlacementPolicy, TargetChooser};
use rand::Rng;
use tokio::time;
use wire::peer::{PlainCall, PlainPart, Request, request, response_item};

use crate::context::{BoxContext, new_request_id, wire_millis};
use crate::http::HttpState;
use crate::http::response::{ApiError, FullBody, http_span, read_value};
use crate::metrics::{CallLabel, CallLabels};
use crate::refuse::wire_not_run;
use crate::route::call_home;

/// Timeout of a request without a deadline header.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum timeout that a caller may set.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_mins(10);
/// Retry budget earned per first attempt, in thousandths of a retry.
const RETRY_THOUSANDTHS: u64 = 100;
/// Maximum, and initial, number of retries that the budget holds.
const MAX_SAVED_RETRIES: u64 = 10;
/// Backoff between retries.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(500));
/// Retry delay reported to callers when no target of a service is available.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of concurrent requests from this box to one target. The target's home enforces
/// the limit over all boxes.
const MAX_CALLS_PER_TARGET: u32 = 256;
/// Slack added to the request's time left before the home's response stream counts as idle.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_millis(250);

/// Chooses targets of plain services by the outcomes of earlier requests, and limits retries.
#[derive(Debug)]
pub struct PlainRouter {
    chooser: Mutex<TargetChooser>,
    budget: Mutex<RetryBudget>,
}

impl Default for PlainRouter {
    fn default() -> Self {
        Self {
            chooser: Mutex::new(TargetChooser::with_assumed_limit(MAX_CALLS_PER_TARGET)),
            budget: Mutex::new(RetryBudget::new(RETRY_THOUSANDTHS, MAX_SAVED_RETRIES)),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A plain request being served.
struct PlainRun<'a> {
    state: &'a HttpState,
    request_id: RequestId,
    traceparent: String,
    repeatable: bool,
    deadline: Moment,
    call: PlainCall,
}

/// Forwards a request to a service.
pub async fn call_service(
    State(state): State<HttpState>,
    Path((service, path)): Path<(String, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    FullBody(body): FullBody,
) -> Response {
    let started = state.ctx.clock.now();
    let result = serve_call(&state, &service, &path, &method, &uri, (&headers, body)).await;
    let label = match &result {
        Ok(_) => CallLabel::Answered,
        Err(ApiError(error)) => match error.kind {
            ErrorKind::Unknown => CallLabel::Unknown,
            ErrorKind::NotRun => CallLabel::NotRun,
            _ => CallLabel::BadRequest,
        },
    };
    let metrics = &state.ctx.metrics;
    metrics.calls.get_or_create(&CallLabels { end: label }).inc();
    metrics.call_seconds.observe(state.ctx.clock.now().since(started).as_secs_f64());
    result.into_response()
}

async fn serve_call(
    state: &HttpState,
    service: &str,
    path: &str,
    method: &Method,
    uri: &Uri,
    (headers, body): (&HeaderMap, Bytes),
) -> Result<Response, ApiError> {
    let service: ServiceName = read_value(service)?;
    let span = http_span(&state.ctx, "http.call", headers);
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let request_id = match text(REQUEST_ID_HEADER) {
        Some(id) => read_value(id)?,
        None => new_request_id(),
    };
    let repeatable = match text(REPEATABLE_HEADER) {
        Some(flag) => read_value(flag)?,
        // Safe HTTP methods change nothing and may be repeated.
        None => method.is_safe(),
    };
    let timeout = match text(DEADLINE_HEADER) {
        Some(ms) => Duration::from_millis(read_value(ms)?).min(MAX_REQUEST_TIMEOUT),
        None => DEFAULT_REQUEST_TIMEOUT,
    };
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let run = PlainRun {
        state,
        request_id: request_id.clone(),
        traceparent: span.traceparent().to_owned(),
        repeatable,
        deadline: state.ctx.clock.now() + timeout,
        call: PlainCall {
            target: String::new(),
            method: method.to_string(),
            path: format!("/{path}{query}"),
            body,
            repeatable,
            forwarded: false,
        },
    };
    let part = run.run_with_retries(&service).await?;
    build_response(&part, &request_id)
}

fn build_response(part: &PlainPart, request_id: &RequestId) -> Result<Response, ApiError> {
    let status = u16::try_from(part.status).ok().and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or_else(|| {
        ApiError(ErrorBody::new(ErrorKind::Unknown, "the service returned an invalid HTTP status"))
    })?;
    let headers = [
        ("content-type", part.content_type.clone()),
        (DIGEST_HEADER, ContentDigest::of(&part.body).to_string()),
        (REQUEST_ID_HEADER, request_id.to_string()),
    ];
    Ok((status, headers, part.body.clone()).into_response())
}

impl PlainRun<'_> {
    /// Tries targets until one responds, none can be chosen, a retry is unsafe, the retry budget is
    /// exhausted, or no time is left for a retry.
    async fn run_with_retries(&self, service: &ServiceName) -> Result<PlainPart, ApiError> {
        lock(&self.state.plain.budget).record_attempt();
        let mut retry = 0;
        loop {
            let target = self.choose(service)?;
            let result = self.call_target(&target).await;
            let error = match result {
                Ok(part) => return Ok(part),
                Err(error) => error,
            };
            let safe = self.repeatable || error.definitely_not_run();
            let delay = BACKOFF.delay(retry, rand::rng().random());
            let in_time = self.ctx().clock.now() + delay < self.deadline;
            if !safe || !in_time || !lock(&self.state.plain.budget).try_retry() {
                return Err(error.into());
            }
            self.ctx().metrics.retries.inc();
            retry += 1;
            time::sleep(delay).await;
        }
    }

    fn ctx(&self) -> &BoxContext {
        &self.state.ctx
    }

    fn choose(&self, service: &ServiceName) -> Result<TargetId, ApiError> {
        let documents = self.ctx().documents.borrow().clone();
        let targets = documents.targets.of_service(service);
        if targets.is_empty() {
            let error = wire_not_run(NotRun::Unknown, BUSY_RETRY_DELAY);
            return Err(CallError::Refused(Box::new(error)).into());
        }
        let now = self.ctx().clock.now();
        let mut chooser = lock(&self.state.plain.chooser);
        let chosen = chooser
            .choose(now, targets, None, &mut rand::rng())
            .or_else(|| chooser.choose_backed_off(targets))
            .cloned();
        let Some(id) = chosen else {
            let error = wire_not_run(NotRun::Overloaded, BUSY_RETRY_DELAY);
            return Err(CallError::Refused(Box::new(error)).into());
        };
        chooser.placed(&id);
        Ok(id)
    }

    async fn call_target(&self, target: &TargetId) -> Result<PlainPart, CallError> {
        let placed = PlacedCall { router: &self.state.plain, target };
        let left = self.deadline.since(self.ctx().clock.now());
        let request = Request {
            request_id: self.request_id.to_string(),
            traceparent: self.traceparent.clone(),
            time_left_ms: wire_millis(left),
            body: Some(request::Body::PlainCall(PlainCall {
                target: target.to_string(),
                ..self.call.clone()
            })),
        };
        let called = call_home(self.ctx(), target, request).await;
        let response = match called {
            Ok(stream) => stream.single(left + IDLE_TIMEOUT_SLACK).await,
            Err(error) => Err(error),
        };
        match response.map(|item| item.body) {
            Ok(Some(response_item::Body::PlainPart(part))) => {
                lock(&placed.router.chooser).succeeded(target);
                Ok(part)
            }
            Ok(_) => Err(CallError::Broken { why: "response is not a plain response" }),
            Err(error) => {
                lock(&placed.router.chooser).failed(self.ctx().clock.now(), target);
                Err(error)
            }
        }
    }
}

/// Removes a placed request from the chooser's count for the target when dropped.
struct PlacedCall<'a> {
    router: &'a PlainRouter,
    target: &'a TargetId,
}

impl Drop for PlacedCall<'_> {
    fn drop(&mut self) {
        lock(&self.router.chooser).ended(self.target);
    }
}
