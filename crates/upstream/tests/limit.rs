//! A box that holds as many connections as it may.
//!
//! The pattern: a server of three trainers before 3,000 targets runs some 7,000 items at a time, each on a
//! connection of its own, and has 8,200 descriptors; of these it needs files, the connections of 300 boxes
//! and room for reward calls, which end items.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use upstream::{ConnectionLimit, SendError, TargetPool};

#[test]
fn descriptors_are_left_for_everything_else() {
    let limit = ConnectionLimit::for_descriptors(8_200);
    assert!(limit.most() >= 7_000 && limit.most() + 200 + 2 * 410 <= 8_200, "{}", limit.most());
}

/// A small deployment's boxes may have few descriptors; most of them are for targets all the same.
#[test]
fn a_box_with_few_descriptors_keeps_half_of_them_for_targets() {
    for descriptors in [64, 256, 1_024, 2_000] {
        assert_eq!(ConnectionLimit::for_descriptors(descriptors).most(), descriptors / 2);
    }
}

#[test]
fn items_stop_before_the_last_places_are_taken() {
    let limit = ConnectionLimit::for_descriptors(8_200);
    let mut items = Vec::new();
    while limit.has_capacity() {
        items.push(limit.take().expect("there is room"));
    }
    let mut rewards = Vec::new();
    while let Some(place) = limit.take() {
        rewards.push(place);
    }
    assert!(rewards.len() >= 500, "{} places for reward calls", rewards.len());
    assert_eq!(limit.open(), limit.most());
    drop(items);
    assert!(limit.has_capacity(), "ended items give their places back");
}

/// A target that answers each request on a connection of its own, and keeps all of them.
async fn patient_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = vec![0; 4_096];
                while stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {
                    let good = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    if stream.write_all(good).await.is_err() {
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

/// Items wait while there is no room; were resting connections to hold it, nothing would ever end them.
#[tokio::test]
async fn resting_connections_hold_up_no_item() {
    let pool = TargetPool::new(ConnectionLimit::for_descriptors(20));
    let mut answers = Vec::new();
    for _ in 0..pool.limit().most() {
        let address = patient_target().await;
        answers.push(pool.send(address, request()).await.expect("an answer"));
    }
    assert!(!pool.has_capacity(), "they run");
    for answer in answers {
        answer.read_full(16).await.expect("whole");
    }
    assert_eq!(pool.limit().open(), pool.limit().most(), "they rest");
    assert!(pool.has_capacity());
}

#[tokio::test]
async fn resting_connections_give_way_and_then_nothing_is_sent() {
    let address = patient_target().await;
    let pool = TargetPool::new(ConnectionLimit::for_descriptors(128));
    let most = pool.limit().most();
    let answer = pool.send(address, request()).await.expect("an answer");
    answer.read_full(16).await.expect("whole");
    assert_eq!(pool.limit().open(), 1, "it rests");
    let mut running = Vec::new();
    for _ in 0..most {
        running.push(pool.send_on_new_connection(address, request()).await.expect("an answer"));
    }
    let refused = pool.send_on_new_connection(address, request()).await;
    assert!(matches!(refused, Err(SendError::LimitReached)), "{refused:?}");
    running.pop();
    pool.send_on_new_connection(address, request()).await.expect("an answer");
}
