//! The limit on open connections.
//!
//! Guards against a server that uses all its file descriptors for items. It needs some for files,
//! connections to other boxes, and the reward calls that complete items.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use upstream::{ConnectionLimit, SendError, TargetPool};

#[test]
fn descriptors_are_reserved_for_other_uses() {
    let limit = ConnectionLimit::for_descriptors(8_200);
    assert!(
        limit.max_open() >= 7_000 && limit.max_open() + 200 + 2 * 410 <= 8_200,
        "{}",
        limit.max_open()
    );
}

/// Boxes of small deployments may have few descriptors and must still be able to reach targets.
#[test]
fn half_of_few_descriptors_are_for_targets() {
    for descriptors in [64, 256, 1_024, 2_000] {
        assert_eq!(ConnectionLimit::for_descriptors(descriptors).max_open(), descriptors / 2);
    }
}

#[test]
fn items_stop_before_the_reserved_connections() {
    let limit = ConnectionLimit::for_descriptors(8_200);
    let mut items = Vec::new();
    while limit.has_capacity() {
        items.push(limit.try_acquire().expect("a free permit"));
    }
    let mut rewards = Vec::new();
    while let Some(permit) = limit.try_acquire() {
        rewards.push(permit);
    }
    assert!(rewards.len() >= 500, "{} connections for reward calls", rewards.len());
    assert_eq!(limit.open(), limit.max_open());
    drop(items);
    assert!(limit.has_capacity(), "completed items release their permits");
}

/// Guards against a small box whose items leave no connection for the reward calls that complete
/// them.
#[test]
fn few_connections_leave_one_in_reserve() {
    for descriptors in 4..=40 {
        let limit = ConnectionLimit::for_descriptors(descriptors);
        let mut items = Vec::new();
        while limit.has_capacity() {
            items.push(limit.try_acquire().expect("a free permit"));
        }
        assert!(!items.is_empty(), "{descriptors} descriptors: no item can start");
        assert!(limit.try_acquire().is_some(), "{descriptors} descriptors: none is reserved");
    }
    assert!(ConnectionLimit::for_descriptors(2).has_capacity(), "the only connection is for items");
}

/// Starts a target that responds to every request and keeps all connections open.
async fn keep_alive_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = vec![0; 4_096];
                while stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {
                    let ok_response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    if stream.write_all(ok_response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::new(Bytes::new())).expect("a request")
}

/// Guards against a deadlock: items wait for capacity that idle connections hold forever.
#[tokio::test]
async fn idle_connections_do_not_block_items() {
    let pool = TargetPool::new(ConnectionLimit::for_descriptors(20));
    let mut responses = Vec::new();
    for _ in 0..pool.limit().max_open() {
        let address = keep_alive_target().await;
        responses.push(pool.send(address, request()).await.expect("a response"));
    }
    assert!(!pool.has_capacity(), "all connections are in use");
    for response in responses {
        response.read_full(16).await.expect("a complete response");
    }
    assert_eq!(pool.limit().open(), pool.limit().max_open(), "all connections are idle");
    assert!(pool.has_capacity());
}

#[tokio::test]
async fn idle_connections_are_closed_before_the_limit_is_reported() {
    let address = keep_alive_target().await;
    let pool = TargetPool::new(ConnectionLimit::for_descriptors(128));
    let max_open = pool.limit().max_open();
    let response = pool.send(address, request()).await.expect("a response");
    response.read_full(16).await.expect("a complete response");
    assert_eq!(pool.limit().open(), 1, "the connection is idle");
    let mut in_flight = Vec::new();
    for _ in 0..max_open {
        in_flight.push(pool.send_on_new_connection(address, request()).await.expect("a response"));
    }
    let refused = pool.send_on_new_connection(address, request()).await;
    assert!(matches!(refused, Err(SendError::LimitReached)), "{refused:?}");
    in_flight.pop();
    pool.send_on_new_connection(address, request()).await.expect("a response");
}
