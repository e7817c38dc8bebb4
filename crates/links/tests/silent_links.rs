//! Links whose connection falls silent without a reset: noticed within a bound, and left for a new one.

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
    BoxHeartbeat, PlainPart, Request, ResponseItem, ServedQuery, ShardHeartbeat, ShardResponse,
    response_item, shard_request, shard_response,
};

/// Longer than any answer takes; a test that reaches it has failed.
const LONG: Duration = Duration::from_secs(20);
const KEY: &str = "the-right-key-123";

fn pool() -> LinkPool {
    let me: BoxId = "box-1".parse().expect("an id");
    let key = DeploymentKey::new(KEY).expect("long enough");
    LinkPool::new(LinkSettings { me, key }, CancellationToken::new())
}

/// Answers `wait` never, and everything else at once.
#[derive(Debug, Clone)]
struct QuickHandler;

impl PeerHandler for QuickHandler {
    async fn request(&self, request: Request, mut sink: ResponseSink, cancel: CancellationToken) {
        if request.request_id == "wait" {
            cancel.cancelled().await;
            return;
        }
        let body = match request.body {
            Some(wire::peer::request::Body::Shard(_)) => {
                response_item::Body::Shard(ShardResponse {
                    body: Some(shard_response::Body::Heartbeat(ShardHeartbeat::default())),
                })
            }
            _ => response_item::Body::PlainPart(PlainPart { status: 200, ..PlainPart::default() }),
        };
        sink.item(ResponseItem { body: Some(body) }).await;
        sink.end(ResponseEnd::default()).await;
    }

    async fn handle_heartbeat(&self, _: BoxHeartbeat) {}
}

/// A proxy before a box that answers.
async fn proxied_server() -> FaultProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target: SocketAddr = listener.local_addr().expect("it is bound");
    let key = DeploymentKey::new(KEY).expect("long enough");
    tokio::spawn(serve_links(listener, key, QuickHandler, CancellationToken::new()));
    let proxy = FaultProxy::start().await.expect("a free port");
    proxy.set_target(target);
    proxy
}

async fn call(pool: &LinkPool, proxy: &FaultProxy, id: &str) -> Result<ResponseItem, CallError> {
    let request = Request { request_id: id.to_owned(), ..Request::default() };
    pool.call(&proxy.address.to_string(), request).await?.single(LONG).await
}

async fn ask(pool: &LinkPool, proxy: &FaultProxy) -> Result<shard_response::Body, CallError> {
    let body = shard_request::Body::Served(ServedQuery::default());
    pool.call_shard_unary(&proxy.address.to_string(), LONG, body).await
}

/// Which way a connection falls silent.
fn ways() -> [fn(&mut LinkFaults); 3] {
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
async fn a_call_on_a_silent_link_fails_as_lost_and_the_next_one_works() {
    for silence in ways() {
        let (pool, proxy) = (pool(), proxied_server().await);
        call(&pool, &proxy, "first").await.expect("answered");
        proxy.change(silence);
        let lost = time::timeout(LONG, call(&pool, &proxy, "second")).await.expect("in time");
        assert_eq!(lost.expect_err("lost"), CallError::LinkLost);
        call(&pool, &proxy, "third").await.expect("answered on a new connection");
    }
}

#[tokio::test]
async fn a_call_that_waits_when_the_link_falls_silent_is_told() {
    let (pool, proxy) = (pool(), proxied_server().await);
    call(&pool, &proxy, "first").await.expect("answered");
    let waiting = {
        let (pool, proxy) = (pool.clone(), proxy.clone());
        tokio::spawn(async move { call(&pool, &proxy, "wait").await })
    };
    call(&pool, &proxy, "behind it").await.expect("answered");
    proxy.silence();
    let lost = time::timeout(LONG, waiting).await.expect("in time").expect("no panic");
    assert_eq!(lost.expect_err("lost"), CallError::LinkLost);
}

#[tokio::test]
async fn a_question_to_a_keeping_box_is_asked_again_on_a_new_connection() {
    for silence in ways() {
        let (pool, proxy) = (pool(), proxied_server().await);
        ask(&pool, &proxy).await.expect("answered");
        proxy.change(silence);
        let answer = time::timeout(LONG, ask(&pool, &proxy)).await.expect("in time");
        assert!(matches!(answer, Ok(shard_response::Body::Heartbeat(_))), "{answer:?}");
    }
}

#[tokio::test]
async fn a_link_that_lives_is_kept_however_long_a_call_waits() {
    let (pool, proxy) = (pool(), proxied_server().await);
    let waited = time::timeout(Duration::from_secs(2), call(&pool, &proxy, "wait")).await;
    assert!(waited.is_err(), "the call still waits: {waited:?}");
    // On another connection this would be refused.
    proxy.change(|faults| faults.refuse = true);
    call(&pool, &proxy, "after it").await.expect("answered on the same connection");
}
