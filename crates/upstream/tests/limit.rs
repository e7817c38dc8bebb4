//! A box that holds as many connections as it may.
//!
//! The pattern: a server of three trainers before 3,000 targets runs some 7,000 items at a time, each on a
//! connection of its own, and has 8,200 descriptors; of these it needs files, the connections of 300 boxes
//! and room for reward calls, which end items.

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
    assert!(ConnectionLimit::for_descriptors(256).most() > 0, "some work goes on with any number");
}

#[test]
fn items_stop_before_the_last_places_are_taken() {
    let limit = ConnectionLimit::for_descriptors(8_200);
    let mut items = Vec::new();
    while limit.has_room() {
        items.push(limit.take().expect("there is room"));
    }
    let mut rewards = Vec::new();
    while let Some(place) = limit.take() {
        rewards.push(place);
    }
    assert!(rewards.len() >= 500, "{} places for reward calls", rewards.len());
    assert_eq!(limit.open(), limit.most());
    drop(items);
    assert!(limit.has_room(), "ended items give their places back");
}

#[tokio::test]
async fn resting_connections_give_way_and_then_nothing_is_sent() {
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
    let pool = TargetPool::new(ConnectionLimit::for_descriptors(0));
    let most = pool.limit().most();
    let request = || Request::get("/").body(Full::new(Bytes::new())).expect("a request");
    let answer = pool.send(address, request()).await.expect("an answer");
    answer.whole(16).await.expect("whole");
    assert_eq!(pool.limit().open(), 1, "it rests");
    let mut running = Vec::new();
    for _ in 0..most {
        running.push(pool.send_fresh(address, request()).await.expect("an answer"));
    }
    let refused = pool.send_fresh(address, request()).await;
    assert!(matches!(refused, Err(SendError::NoRoom)), "{refused:?}");
    running.pop();
    pool.send_fresh(address, request()).await.expect("an answer");
}
