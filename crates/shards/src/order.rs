//! One order to an engine: load a version.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use ids::{FencingToken, ModelName, ModelVersion};
use platform::headers;
use platform::orders::{self, EngineReport, LoadOrder, SwapMode};
use routing::TargetRecord;
use tokio::time::{self, Instant};
use upstream::SendError;

use crate::context::ShardContext;

/// Longest wait for an engine's report or for its word on an order.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// Reports and orders are short.
const MOST_ANSWER: usize = 1 << 20;
/// Time that a load and the lag of a report take at least; nothing is asked before.
const LEAST_LOAD: Duration = Duration::from_secs(1);
/// Time between two readings of an engine that loads.
const READ_EVERY: Duration = Duration::from_millis(80);
/// After this long a load is taken to have failed, and the engine is ordered anew.
const MOST_LOAD: Duration = Duration::from_secs(6);

/// What is ordered.
#[derive(Debug, Clone)]
pub struct OrderSpec {
    /// The engine.
    pub target: TargetRecord,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: ModelVersion,
    /// What becomes of runs.
    pub mode: SwapMode,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine holds the version.
    Holds,
    /// Something else is under way there.
    Busy,
    /// The lease was lost before the order was sent.
    NotSent,
    /// Nobody knows; the next order settles it.
    InDoubt,
    /// The engine is another life, or gone.
    Gone,
}

/// Reads an engine and, while `token` still gives one, orders it to load. The token is asked
/// for right before the order is sent, since this process may have been stopped in between.
pub async fn order_engine(
    ctx: &ShardContext,
    spec: &OrderSpec,
    token: impl Fn() -> Option<FencingToken>,
) -> OrderEnd {
    let end = order_once(ctx, spec, token).await;
    ctx.view.target_table().loading(&spec.target.instance, ctx.view.now());
    ctx.loads.ended(ctx.view.now(), &spec.target.instance, end == OrderEnd::Holds);
    if end == OrderEnd::Holds {
        ctx.view.target_table().record_version(&spec.target.instance, &spec.model, spec.version);
    }
    ctx.view.metrics.count_outcome("order", word(end));
    log::info!(
        target: "conductor", target:% = spec.target.instance, model:% = spec.model,
        weight_version = spec.version.get(), outcome = word(end);
        "order ended"
    );
    ctx.view.wake();
    end
}

const fn word(end: OrderEnd) -> &'static str {
    match end {
        OrderEnd::Holds => "holds",
        OrderEnd::Busy => "busy",
        OrderEnd::NotSent => "lease lost",
        OrderEnd::InDoubt => "in doubt",
        OrderEnd::Gone => "gone",
    }
}

async fn order_once(
    ctx: &ShardContext,
    spec: &OrderSpec,
    token: impl Fn() -> Option<FencingToken>,
) -> OrderEnd {
    let Some(report) = read_engine(ctx, spec).await else { return OrderEnd::InDoubt };
    if holds(&report, spec) {
        return OrderEnd::Holds;
    }
    if report.busy {
        return OrderEnd::Busy;
    }
    let Some(token) = token() else { return OrderEnd::NotSent };
    let order = LoadOrder {
        model: spec.model.clone(),
        version: spec.version,
        mode: spec.mode,
        holder: ctx.me.box_id.to_string(),
        token,
        orders_taken: report.orders_taken,
    };
    log::info!(
        target: "conductor", target:% = spec.target.instance, model:% = spec.model,
        weight_version = spec.version.get(), token = token.get(), orders_taken = order.orders_taken;
        "order sent"
    );
    let body = Bytes::from(orders::write_order(&order));
    ctx.view.target_table().loading(&spec.target.instance, ctx.view.now() + MOST_LOAD);
    ctx.loads.begun(&spec.target.instance, &spec.model, spec.version);
    match ask(ctx, spec, Method::POST, orders::ORDER_PATH, body).await {
        Ok((StatusCode::ACCEPTED, _)) => {}
        Ok((StatusCode::OK, _)) => return OrderEnd::Holds,
        Ok((StatusCode::CONFLICT, _)) => return OrderEnd::Busy,
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => return OrderEnd::Gone,
        Ok((status, _)) => {
            log::warn!(target: "conductor", target:% = spec.target.instance, status = status.as_u16(); "order refused");
            return OrderEnd::Busy;
        }
        Err(_unknown) => return OrderEnd::InDoubt,
    }
    await_load(ctx, spec).await
}

/// Reads the engine until it holds the version.
async fn await_load(ctx: &ShardContext, spec: &OrderSpec) -> OrderEnd {
    let until = Instant::now() + MOST_LOAD;
    time::sleep(LEAST_LOAD).await;
    while Instant::now() < until {
        // An answer to a sample may have told it already.
        let told = ctx.view.target_table().record(&spec.target.instance).is_none_or(|record| {
            record
                .models
                .iter()
                .any(|held| held.model == spec.model && held.version >= spec.version)
        });
        if told {
            return OrderEnd::Holds;
        }
        if let Some(report) = read_engine(ctx, spec).await
            && holds(&report, spec)
        {
            return OrderEnd::Holds;
        }
        time::sleep(READ_EVERY).await;
    }
    OrderEnd::InDoubt
}

fn holds(report: &EngineReport, spec: &OrderSpec) -> bool {
    report.models.iter().any(|held| held.model == spec.model && held.version >= spec.version)
}

async fn read_engine(ctx: &ShardContext, spec: &OrderSpec) -> Option<EngineReport> {
    let answer = ask(ctx, spec, Method::GET, orders::REPORT_PATH, Bytes::new()).await;
    let Ok((StatusCode::OK, body)) = answer else { return None };
    match orders::read_report(&body) {
        Ok(report) => Some(report),
        Err(error) => {
            log::warn!(target: "conductor", target:% = spec.target.instance, error:% = error; "report refused");
            None
        }
    }
}

async fn ask(
    ctx: &ShardContext,
    spec: &OrderSpec,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), SendError> {
    let mut sent = HeaderMap::new();
    let host = HeaderValue::from_str(&spec.target.address.to_string());
    sent.extend(host.map(|host| (http::header::HOST, host)));
    headers::set_instance(&mut sent, &spec.target.instance);
    if !body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        sent.insert(http::header::CONTENT_TYPE, json);
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_static(path);
    *request.headers_mut() = sent;
    let asked = async {
        // These answers name no request, so none may ride behind another's.
        let answer = ctx.view.pool.send_on_new_connection(spec.target.address, request).await?;
        answer.read_full(MOST_ANSWER).await
    };
    match time::timeout(ANSWER_TIME, asked).await {
        Ok(Ok(whole)) => Ok((whole.status, whole.body)),
        Ok(Err(error)) => Err(error),
        Err(_elapsed) => Err(SendError::Broken("silence".to_owned())),
    }
}
