//! One order to an engine to load a weight version.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use ids::{FencingToken, ModelName, ModelVersion};
use platform::headers;
use platform::orders::{self, EngineReport, LoadOrder, SwapMode};
use routing::{HeldModel, TargetRecord};
use tokio::time::{self, Instant};
use upstream::SendError;

use crate::context::ShardContext;

/// Timeout for an engine's report or its response to an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of an engine's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Minimum duration of a load including the delay of reports; the engine is not polled earlier.
const MIN_LOAD_DURATION: Duration = Duration::from_secs(1);
/// Interval between two polls of a loading engine.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Timeout of a load; the engine is then ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);

/// An order to an engine.
#[derive(Debug, Clone)]
pub struct OrderSpec {
    /// The engine.
    pub target: TargetRecord,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: ModelVersion,
    /// How the engine treats its running work.
    pub mode: SwapMode,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine has the version.
    Loaded,
    /// The engine is busy with another load, or refused the order.
    Busy,
    /// The lease was lost before the order was sent.
    LeaseLost,
    /// The outcome is unknown; the next order resolves it.
    Unknown,
    /// The address belongs to another instance or incarnation, or the engine is no longer listed.
    InstanceGone,
}

/// Reads the engine's report and orders a load if `token` still returns a token. The token is
/// requested right before sending, since the process may have been suspended meanwhile.
pub async fn order_engine(
    ctx: &ShardContext,
    spec: &OrderSpec,
    token: impl Fn() -> Option<FencingToken>,
) -> OrderResult {
    let result = order_once(ctx, spec, token).await;
    ctx.view.target_table().loading(&spec.target.instance, ctx.view.now());
    ctx.loads.load_ended(ctx.view.now(), &spec.target.instance, result == OrderResult::Loaded);
    if result == OrderResult::Loaded {
        ctx.view.target_table().record_version(&spec.target.instance, &spec.model, spec.version);
    }
    ctx.view.metrics.count_outcome("order", result_label(result));
    log::info!(
        target: "conductor", target:% = spec.target.instance, model:% = spec.model,
        weight_version = spec.version.get(), outcome = result_label(result);
        "order ended"
    );
    ctx.view.wake();
    result
}

const fn result_label(result: OrderResult) -> &'static str {
    match result {
        OrderResult::Loaded => "holds",
        OrderResult::Busy => "busy",
        OrderResult::LeaseLost => "lease lost",
        OrderResult::Unknown => "in doubt",
        OrderResult::InstanceGone => "gone",
    }
}

async fn order_once(
    ctx: &ShardContext,
    spec: &OrderSpec,
    token: impl Fn() -> Option<FencingToken>,
) -> OrderResult {
    let Some(report) = read_engine(ctx, spec).await else { return OrderResult::Unknown };
    if has_version(&report, spec) {
        return OrderResult::Loaded;
    }
    if report.busy {
        return OrderResult::Busy;
    }
    let Some(token) = token() else { return OrderResult::LeaseLost };
    let order = LoadOrder {
        model: spec.model.clone(),
        version: spec.version,
        mode: spec.mode,
        holder: ctx.me.box_id.to_string(),
        token,
        accepted_orders: report.accepted_orders,
    };
    log::info!(
        target: "conductor", target:% = spec.target.instance, model:% = spec.model,
        weight_version = spec.version.get(), token = token.get(), orders_taken = order.accepted_orders;
        "order sent"
    );
    let body = Bytes::from(orders::write_order(&order));
    ctx.view.target_table().loading(&spec.target.instance, ctx.view.now() + LOAD_TIMEOUT);
    ctx.loads.load_started(&spec.target.instance, &spec.model, spec.version);
    match send_request(ctx, spec, Method::POST, orders::ORDER_PATH, body).await {
        Ok((StatusCode::ACCEPTED, _)) => {}
        Ok((StatusCode::OK, _)) => return OrderResult::Loaded,
        Ok((StatusCode::CONFLICT, _)) => return OrderResult::Busy,
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => return OrderResult::InstanceGone,
        Ok((status, _)) => {
            log::warn!(target: "conductor", target:% = spec.target.instance, status = status.as_u16(); "order refused");
            return OrderResult::Busy;
        }
        Err(_unknown) => return OrderResult::Unknown,
    }
    await_load(ctx, spec).await
}

/// Polls the engine until it has the version.
async fn await_load(ctx: &ShardContext, spec: &OrderSpec) -> OrderResult {
    let until = Instant::now() + LOAD_TIMEOUT;
    time::sleep(MIN_LOAD_DURATION).await;
    while Instant::now() < until {
        match has_listed_version(ctx, spec) {
            None => return OrderResult::InstanceGone,
            Some(true) => return OrderResult::Loaded,
            Some(false) => {}
        }
        if let Some(report) = read_engine(ctx, spec).await
            && has_version(&report, spec)
        {
            return OrderResult::Loaded;
        }
        time::sleep(REPORT_POLL_INTERVAL).await;
    }
    OrderResult::Unknown
}

/// Whether the target table has the version, which the response to a sample may have reported;
/// `None` if the engine is no longer listed.
fn has_listed_version(ctx: &ShardContext, spec: &OrderSpec) -> Option<bool> {
    let targets = ctx.view.target_table();
    let record = targets.record(&spec.target.instance)?;
    let has = |held: &HeldModel| held.model == spec.model && held.version >= spec.version;
    Some(record.models.iter().any(has))
}

fn has_version(report: &EngineReport, spec: &OrderSpec) -> bool {
    report.models.iter().any(|held| held.model == spec.model && held.version >= spec.version)
}

async fn read_engine(ctx: &ShardContext, spec: &OrderSpec) -> Option<EngineReport> {
    let response = send_request(ctx, spec, Method::GET, orders::REPORT_PATH, Bytes::new()).await;
    let Ok((StatusCode::OK, body)) = response else { return None };
    match orders::read_report(&body) {
        Ok(report) => Some(report),
        Err(error) => {
            log::warn!(target: "conductor", target:% = spec.target.instance, error:% = error; "engine report is invalid");
            None
        }
    }
}

async fn send_request(
    ctx: &ShardContext,
    spec: &OrderSpec,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), SendError> {
    let mut header_map = HeaderMap::new();
    let host = HeaderValue::from_str(&spec.target.address.to_string());
    header_map.extend(host.map(|host| (http::header::HOST, host)));
    headers::set_instance(&mut header_map, &spec.target.instance);
    if !body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        header_map.insert(http::header::CONTENT_TYPE, json);
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_static(path);
    *request.headers_mut() = header_map;
    let call = async {
        // These responses carry no request id, so they must not share a pipelined connection.
        let response = ctx.view.pool.send_on_new_connection(spec.target.address, request).await?;
        response.read_full(MAX_RESPONSE_BYTES).await
    };
    match time::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(Ok(full)) => Ok((full.status, full.body)),
        Ok(Err(error)) => Err(error),
        Err(_elapsed) => Err(SendError::Broken("response timeout".to_owned())),
    }
}
