//! Connections of callers and the readiness endpoint.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::NodeView;
use platform::calls::{JobCall, JobSender};
use platform::{calls, headers};
use routing::{RouteKind, RouteTable};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use upstream::{ByteCount, MemoryUse};

use crate::admission::{admit, host_of, identify, path_of};
use crate::caller_stream::CallerStream;
use crate::callers::{Caller, CallerTable};
use crate::jobs_api::{self, ShardClient, UnknownJob};
use crate::plain::{BodyError, body_error_response, read_body, serve_plain};
use crate::response::{self, FrontBody, ServeResult};
use crate::stream::serve_stream;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum read buffer size that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;

/// The phases of a stop; each token is cancelled when its phase begins.
#[derive(Debug, Clone, Default)]
pub struct StopPhases {
    /// The box is asked to stop.
    pub requested: CancellationToken,
    /// The platform has had the time to redirect new callers.
    pub redirected: CancellationToken,
    /// The process ends soon: requests in flight get their last response.
    pub ending: CancellationToken,
}

/// State shared by all connections of an entry box.
#[derive(Debug, Clone)]
pub struct FrontState {
    /// The box's view of the deployment.
    pub view: Arc<NodeView>,
    /// Client for the job shards.
    pub shards: ShardClient,
    /// The phases of a stop.
    pub stop: StopPhases,
    /// The connected callers.
    pub callers: Arc<CallerTable>,
    counts: Arc<FrontCounts>,
}

#[derive(Debug, Default)]
struct FrontCounts {
    requests: AtomicUsize,
    ready: AtomicBool,
}

impl FrontState {
    /// Creates the state of a box without connections.
    pub fn new(view: Arc<NodeView>, shards: ShardClient) -> Self {
        let stop = StopPhases::default();
        Self { view, shards, stop, callers: Arc::default(), counts: Arc::default() }
    }

    /// Number of requests that have no response head yet.
    pub fn in_flight(&self) -> usize {
        self.counts.requests.load(Ordering::Relaxed)
    }

    fn is_ready(&self) -> bool {
        let is_operational = self.view.is_configured() && !self.view.is_isolated();
        let ready = is_operational && !self.stop.requested.is_cancelled();
        if self.counts.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!(
                target: "entry", ready = ready, config = self.view.table().version.get(),
                isolated = self.view.is_isolated(), stopping = self.stop.requested.is_cancelled();
                "readiness changed"
            );
        }
        ready
    }
}

/// Counts a request as in flight until it is dropped.
struct RequestGuard(FrontState);

impl RequestGuard {
    fn new(state: &FrontState) -> Self {
        state.counts.requests.fetch_add(1, Ordering::Relaxed);
        Self(state.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.counts.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts and serves callers until `shutdown` is cancelled.
pub async fn serve_front(
    state: FrontState,
    listener: TcpListener,
    shutdown: CancellationToken,
) -> io::Result<()> {
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(state.clone(), stream, peer));
            }
            Err(error) => {
                log::warn!(target: "entry", error:% = error; "accept failed, pausing");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(state: FrontState, stream: TcpStream, peer: SocketAddr) {
    // Best effort: without this option, small responses may be delayed.
    let _nodelay = stream.set_nodelay(true);
    let guard = state.callers.connect(peer);
    let caller = guard.caller();
    let limits = state.view.table().limits;
    let service = {
        let (state, caller) = (state.clone(), Arc::clone(caller));
        service_fn(move |request| serve(state.clone(), Arc::clone(&caller), request))
    };
    let stream = TokioIo::new(CallerStream::new(stream, Arc::clone(caller)));
    // The platform sends callers to a stopping box for a while. A graceful shutdown would close a
    // connection before its first request.
    let is_last_request = state.stop.requested.is_cancelled();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_last_request)
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER) * 2)
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let served = async {
        tokio::select! {
            // The caller may disconnect at any time, which cancels its request.
            _ended = connection.as_mut() => {}
            () = state.stop.requested.cancelled(), if !is_last_request => {
                // Responses now carry `Connection: close`.
                connection.as_mut().graceful_shutdown();
                let _ended = connection.as_mut().await;
            }
        }
    };
    tokio::select! {
        () = served => {}
        () = caller.disconnected.cancelled() => {}
    }
}

/// Serves a request until the process is about to end.
async fn serve(
    state: FrontState,
    connection: Arc<Caller>,
    request: Request<Incoming>,
) -> ServeResult {
    let _guard = RequestGuard::new(&state);
    connection.record_request();
    let id = headers::request_id(request.headers()).map(str::to_owned);
    tokio::select! {
        result = serve_request(&state, connection, request) => result,
        () = state.stop.ending.cancelled() => {
            log::info!(
                target: "entry", request = id.as_deref().unwrap_or(""), outcome = "box stops";
                "request ended"
            );
            let remedy = "it may have run: send it again only if it may be repeated";
            let status = StatusCode::BAD_GATEWAY;
            Ok(response::close_after(response::refuse(status, "box stops", remedy, id.as_deref())))
        }
    }
}

async fn serve_request(
    state: &FrontState,
    connection: Arc<Caller>,
    request: Request<Incoming>,
) -> ServeResult {
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let id = headers::request_id(&head.headers).map(str::to_owned);
    let table = state.view.table();
    let memory = &state.view.memory;
    if table.version.get() == 0 {
        return Ok(response::not_run("no configuration yet", id.as_deref()));
    }
    if let Some(call) = calls::read_call(&head.method, path_of(&head))
        && let Some(response) = serve_job_call(state, &table, &head, call, id.as_deref()).await
    {
        return Ok(response);
    }
    if let Err(refusal) = admit(&state.view, &head) {
        return Ok(*refusal);
    }
    let has_body = !body.is_end_stream();
    let body = match read_body(body, table.limits.body_bytes, memory, &connection).await {
        Ok(body) => body,
        Err(error) => {
            let refusal = refuse_body(state, error, &head, id.as_deref());
            if !has_body {
                return Ok(refusal);
            }
            connection.discard_input();
            return Ok(response::close_after(refusal));
        }
    };
    // The key may have been revoked while a long body was read.
    let admitted = match admit(&state.view, &head) {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(*refusal),
    };
    Ok(match admitted.route.kind {
        RouteKind::Jobs if head.method == Method::POST => {
            let customer = admitted.caller.customer();
            let sender = JobSender { host: host_of(&head), route: &admitted.route, customer };
            jobs_api::submit(&state.shards, sender, &id.unwrap_or_default(), &body).await
        }
        // The box may end before the stream, and another one can serve it whole.
        RouteKind::Streaming if state.stop.redirected.is_cancelled() => {
            response::not_run("box stops", id.as_deref())
        }
        RouteKind::Streaming => {
            serve_stream(&state.view, &admitted, &connection, head, body, received).await
        }
        _ => serve_plain(&state.view, &admitted, head, body, received).await,
    })
}

/// Serves a call about a job. Returns `None` if it is a request to a route of another kind instead.
async fn serve_job_call(
    state: &FrontState,
    table: &RouteTable,
    head: &Parts,
    call: JobCall,
    id: Option<&str>,
) -> Option<Response<FrontBody>> {
    let memory = &state.view.memory;
    let is_reserved = table.reserves_job_call(host_of(head), path_of(head));
    // Jobs belong to customers, so the key is required even on public routes.
    let caller = match identify(&state.view, table, head, false) {
        Ok(caller) => caller,
        // Nobody without a valid key has a job. Any other refusal says nothing about the job.
        Err(refusal) if refusal.status() == StatusCode::UNAUTHORIZED && !is_reserved => {
            return None;
        }
        Err(refusal) => return Some(*refusal),
    };
    if let Err(error) = memory.check_room(MemoryUse::RequestBody, ByteCount::new(1)) {
        return Some(refuse_body(state, error.into(), head, id));
    }
    let wait = headers::read_wait(&head.headers);
    match jobs_api::serve_call(&state.shards, call, caller.customer(), wait).await {
        Ok(response) => Some(response::reserve_body(response, memory)),
        Err(UnknownJob) if is_reserved => Some(jobs_api::not_found()),
        Err(UnknownJob) => None,
    }
}

/// Refuses a request whose body was not read completely.
fn refuse_body(
    state: &FrontState,
    error: BodyError,
    head: &Parts,
    id: Option<&str>,
) -> Response<FrontBody> {
    if error == BodyError::NoMemory {
        let memory = &state.view.memory;
        state.view.metrics.count_outcome("memory", "refused");
        log::info!(
            target: "entry", request = id.unwrap_or(""), host = host_of(head),
            reserved = memory.reserved().get(), limit = memory.limit().get(), outcome = "no memory";
            "request ended"
        );
    }
    body_error_response(error, id)
}

/// Serves the readiness endpoint until `shutdown` is cancelled.
pub async fn serve_ready(
    state: FrontState,
    listener: TcpListener,
    shutdown: CancellationToken,
) -> io::Result<()> {
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _peer)) = accepted else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                std::future::ready(ServeResult::Ok(readiness_response(&state, &request)))
            });
            // The platform repeats a failed check.
            let _ended =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn readiness_response(state: &FrontState, request: &Request<Incoming>) -> Response<FrontBody> {
    if request.uri().path() != calls::READY_PATH {
        let remedy = "ask the readiness path";
        return response::refuse(StatusCode::NOT_FOUND, "no page", remedy, None);
    }
    let status = if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    response::full(status, "application/json", Bytes::from_static(b"{}"))
}
