//! Tracing: the daemon exports its spans to the collector, within the caller's trace.

use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::routing::post;
use demo::process::{ChildProcess, Signal};
use tokio::net::TcpListener;

type Bodies = Arc<Mutex<Vec<Bytes>>>;

/// Trace id that the caller sends.
const TRACE_ID: [u8; 16] = [0xab; 16];

async fn store_body(State(bodies): State<Bodies>, body: Bytes) {
    bodies.lock().expect("no panic").push(body);
}

async fn collector() -> (SocketAddr, Bodies) {
    let bodies = Bodies::default();
    let router =
        Router::new().route("/v1/traces", post(store_body)).with_state(Arc::clone(&bodies));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("listener is bound");
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, bodies)
}

fn contains(body: &Bytes, part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_reach_the_collector_in_the_callers_trace() {
    let (collector, bodies) = collector().await;
    let owned_args = |args: &[&str]| args.iter().map(|arg| (*arg).to_owned()).collect::<Vec<_>>();
    let platform = ChildProcess::start("standins", &owned_args(&["platform"]), Stdio::null()).await;
    let platform = platform.expect("platform starts");
    let args = owned_args(&[
        "--box-id",
        "box-1",
        "--domain",
        "hall-1",
        "--caller-listen",
        "127.0.0.1:0",
        "--peer-listen",
        "127.0.0.1:0",
        "--platform",
        &format!("http://{}", platform.address()),
        "--key",
        "a-key-of-sixteen-bytes",
        "--drain-notice-ms",
        "0",
        "--otlp",
        &format!("http://{collector}/v1/traces"),
    ]);
    let mut daemon =
        ChildProcess::start("gannetwayd", &args, Stdio::null()).await.expect("daemon starts");
    let traceparent = format!("00-{}-00f067aa0ba902b7-01", "ab".repeat(16));
    let url = format!("http://{}/v1/call/no-such-service/x", daemon.address());
    let called = reqwest::Client::new().get(url).header("traceparent", traceparent).send().await;
    assert_eq!(called.expect("daemon responds").status().as_u16(), 503);
    daemon.signal(Signal::Terminate).await.expect("signal is sent");
    // The daemon exports the remaining spans before it exits.
    assert_eq!(daemon.wait().await.expect("daemon exits").code(), Some(0));
    let bodies = bodies.lock().expect("no panic");
    let exported =
        bodies.iter().any(|body| contains(body, &TRACE_ID) && contains(body, b"http.call"));
    assert!(exported, "none of {} exports contains the caller's trace", bodies.len());
}
