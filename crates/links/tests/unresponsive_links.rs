//! Connections that stop delivering data without a reset: the pool detects them in bounded time
//! and replaces them.

use std::net::SocketAddr;
use std::time::Duration;

use ids::BoxId;
use links::{
    CallError, LinkPool, LinkSettings, PeerHandler, ResponseEnd, ResponseSink, serve_links,
};
use standins::proxy::{FaultProxy, LinkFaults};
use tokio::net::TcpListener;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::DeploymentKey;
use wire::peer::{
    BoxHeartbeat, PlainPart, Request, ResponseItem, ServedQuery, ShardResponse, response_item,
    shard_request, shard_response,
};

/// Upper bound for any response; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "the-right-key-123";

fn pool() -> LinkPool {
    let me: BoxId = "box-1".parse().expect("valid ID");
    let key = DeploymentKey::new(KEY).expect("valid key");
    LinkPool::new(LinkSettings { me, key }, CancellationToken::new())
}

/// Never responds to the request `wait`, and responds to all others immediately.
#[derive(Debug, Clone)]
struct TestHandler;

impl PeerHandler for TestHandler {
    async fn request(&self, request: Request, mut sink: ResponseSink, cancel: CancellationToken) {
        if request.request_id == "wait" {
            cancel.cancelled().await;
            return;
        }
        let body = match request.body {
            Some(wire::peer::request::Body::Shard(_)) => {
                response_item::Body::Shard(ShardResponse {
                    body: Some(shard_response::Body::Heartbeat(Box::default())),
                })
            }
            _ => response_item::Body::PlainPart(PlainPart { status: 200, ..PlainPart::default() }),
        };
        sink.item(ResponseItem { body: Some(body) }).await;
        sink.end(ResponseEnd::default()).await;
    }

    async fn handle_heartbeat(&self, _: BoxHeartbeat) {}
}

/// Starts a server behind a fault-injecting proxy.
async fn proxied_server() -> FaultProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a free port");
    let target: SocketAddr = listener.local_addr().expect("listener is bound");
    let key = DeploymentKey::new(KEY).expect("valid key");
    tokio::spawn(serve_links(listener, key, TestHandler, CancellationToken::new()));
    let proxy = FaultProxy::start().await.expect("binds a free port");
    proxy.set_target(target);
    proxy
}

async fn call(pool: &LinkPool, proxy: &FaultProxy, id: &str) -> Result<ResponseItem, CallError> {
    let request = Request { request_id: id.to_owned(), ..Request::default() };
    pool.call(&proxy.address.to_string(), request).await?.single(TEST_TIMEOUT).await
}

async fn query_served(
    pool: &LinkPool,
    proxy: &FaultProxy,
) -> Result<shard_response::Body, CallError> {
    let body = shard_request::Body::Served(ServedQuery::default());
    pool.call_shard_unary(&proxy.address.to_string(), TEST_TIMEOUT, body).await
}

/// Faults that silence a connection towards the server, back from it, or in both directions.
fn silence_faults() -> [fn(&mut LinkFaults); 3] {
    [
        |faults| faults.silences_to_target += 1,
        |faults| faults.silences_from_target += 1,
        |faults| {
            faults.silences_to_target += 1;
            faults.silences_from_target += 1;
        },
    ]
}

#[tokio::test]
async fn call_on_unresponsive_link_fails_with_link_lost_and_the_next_one_works() {
    for add_fault in silence_faults() {
        let (pool, proxy) = (pool(), proxied_server().await);
        call(&pool, &proxy, "first").await.expect("responds");
        proxy.change(add_fault);
        let lost = time::timeout(TEST_TIMEOUT, call(&pool, &proxy, "second"))
            .await
            .expect("completes in time");
        assert_eq!(lost.expect_err("lost"), CallError::LinkLost);
        call(&pool, &proxy, "third").await.expect("responds on a new connection");
    }
}

#[tokio::test]
async fn waiting_call_fails_when_the_link_becomes_unresponsive() {
    let (pool, proxy) = (pool(), proxied_server().await);
    call(&pool, &proxy, "first").await.expect("responds");
    let waiting = {
        let (pool, proxy) = (pool.clone(), proxy.clone());
        tokio::spawn(async move { call(&pool, &proxy, "wait").await })
    };
    call(&pool, &proxy, "behind it").await.expect("responds");
    proxy.silence();
    let lost =
        time::timeout(TEST_TIMEOUT, waiting).await.expect("completes in time").expect("no panic");
    assert_eq!(lost.expect_err("lost"), CallError::LinkLost);
}

#[tokio::test]
async fn shard_request_is_retried_on_a_new_connection() {
    for add_fault in silence_faults() {
        let (pool, proxy) = (pool(), proxied_server().await);
        query_served(&pool, &proxy).await.expect("responds");
        proxy.change(add_fault);
        let response = time::timeout(TEST_TIMEOUT, query_served(&pool, &proxy))
            .await
            .expect("completes in time");
        assert!(matches!(response, Ok(shard_response::Body::Heartbeat(_))), "{response:?}");
    }
}

#[tokio::test]
async fn responsive_link_is_kept_while_a_call_waits() {
    let (pool, proxy) = (pool(), proxied_server().await);
    let outcome = time::timeout(Duration::from_secs(2), call(&pool, &proxy, "wait")).await;
    assert!(outcome.is_err(), "the call must still be waiting: {outcome:?}");
    // Refuses new connections, so the next call only succeeds on the open one.
    proxy.change(|faults| faults.refuse = true);
    call(&pool, &proxy, "after it").await.expect("responds on the same connection");
}
