//! Misbehaving targets: anything but the complete response to a request is rejected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::HeaderName;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{FullResponse, ReusePolicy, SendError, TargetPool};

const MAX_BODY: usize = 1 << 16;
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What a scripted target does with the connection after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    KeepsOpen,
    Closes,
    Resets,
}

/// Starts a target that sends `responses` in order, one per request, on any connection. Also
/// returns the number of accepted connections.
async fn target<T: Into<String>>(
    responses: Vec<(T, AfterResponse)>,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    let responses: Vec<_> =
        responses.into_iter().map(|(response, after)| (response.into(), after)).collect();
    let responses = Arc::new(std::sync::Mutex::new(responses.into_iter()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            let responses = Arc::clone(&responses);
            tokio::spawn(async move { serve(stream, &responses).await });
        }
    });
    (address, connections)
}

type ScriptedResponses = std::sync::Mutex<std::vec::IntoIter<(String, AfterResponse)>>;

async fn serve(mut stream: TcpStream, responses: &ScriptedResponses) {
    let mut buffer = vec![0; 4_096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let next = responses.lock().expect("no panic").next();
        let Some((response, after)) = next else { return };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        match after {
            AfterResponse::KeepsOpen => {}
            AfterResponse::Closes => return,
            AfterResponse::Resets => {
                // Closing with zero linger sends a reset to the peer.
                stream.set_zero_linger().expect("a socket");
                return;
            }
        }
    }
}

async fn send(pool: &TargetPool, address: SocketAddr) -> Result<FullResponse, SendError> {
    let request = Request::post("/x").header("host", "h").body(Full::new(Bytes::from_static(b"q")));
    pool.send(address, request.expect("a request")).await?.read_full(MAX_BODY).await
}

#[tokio::test]
async fn connection_is_reused_after_a_complete_response() {
    let (address, connections) = target(vec![
        (OK_RESPONSE, AfterResponse::KeepsOpen),
        (OK_RESPONSE, AfterResponse::KeepsOpen),
    ])
    .await;
    let pool = TargetPool::default();
    assert_eq!(send(&pool, address).await.expect("a complete response").body, "ok");
    tokio::task::yield_now().await;
    assert_eq!(send(&pool, address).await.expect("a complete response").body, "ok");
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn unrequested_second_response_is_discarded() {
    let two_responses = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let (address, _) = target(vec![
        (two_responses, AfterResponse::KeepsOpen),
        (OK_RESPONSE, AfterResponse::KeepsOpen),
    ])
    .await;
    let pool = TargetPool::default();
    assert_eq!(send(&pool, address).await.expect("a complete response").body, "ok");
    tokio::task::yield_now().await;
    assert_eq!(send(&pool, address).await.expect("a complete response").body, "ok");
}

#[tokio::test]
async fn response_without_length_is_complete_only_after_a_clean_close() {
    let without_length = "HTTP/1.1 200 OK\r\n\r\npart";
    let (address, _) = target(vec![
        (without_length, AfterResponse::Closes),
        (without_length, AfterResponse::Resets),
    ])
    .await;
    let pool = TargetPool::default();
    assert_eq!(send(&pool, address).await.expect("a complete response").body, "part");
    assert!(matches!(send(&pool, address).await, Err(SendError::Broken(_))));
}

#[tokio::test]
async fn truncated_response_is_an_error() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";
    let (address, _) = target(vec![(truncated, AfterResponse::Closes)]).await;
    let result = send(&TargetPool::default(), address).await;
    assert!(matches!(result, Err(SendError::Broken(_))), "{result:?}");
}

#[tokio::test]
async fn invalid_response_is_an_error() {
    let (address, _) = target(vec![("nothing like it\r\n\r\n", AfterResponse::KeepsOpen)]).await;
    let result = send(&TargetPool::default(), address).await;
    assert!(matches!(result, Err(SendError::Broken(_))), "{result:?}");
}

#[tokio::test]
async fn connection_is_not_reused_after_an_error_or_connection_close() {
    let error = "HTTP/1.1 500 Oops\r\ncontent-length: 2\r\n\r\nno";
    let closing = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let short_lived = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok";
    let responses = [error, closing, short_lived, OK_RESPONSE]
        .map(|response| (response, AfterResponse::KeepsOpen));
    let (address, connections) = target(responses.to_vec()).await;
    let pool = TargetPool::default();
    for expected in 1..=4 {
        send(&pool, address).await.expect("a response");
        tokio::task::yield_now().await;
        assert_eq!(connections.load(Ordering::Relaxed), expected);
    }
}

#[tokio::test]
async fn connection_is_not_reused_after_its_idle_time() {
    let short_lived = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
    let (address, connections) = target(vec![
        (short_lived, AfterResponse::KeepsOpen),
        (OK_RESPONSE, AfterResponse::KeepsOpen),
    ])
    .await;
    let pool = TargetPool::default();
    send(&pool, address).await.expect("a response");
    // The target still keeps the connection, but might close it before a request arrives.
    tokio::time::sleep(Duration::from_millis(750)).await;
    send(&pool, address).await.expect("a response");
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn oversized_response_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n";
    let oversized: &'static str =
        Box::leak(format!("{head}{}", "a".repeat(70_000)).into_boxed_str());
    let (address, _) = target(vec![(oversized, AfterResponse::KeepsOpen)]).await;
    assert!(matches!(send(&TargetPool::default(), address).await, Err(SendError::TooLong(_))));
}

#[tokio::test]
async fn refused_connection_means_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    assert!(matches!(send(&TargetPool::default(), address).await, Err(SendError::NotSent(_))));
}

const ID: HeaderName = HeaderName::from_static("id");
const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nid: q-1\r\nnot-run: full\r\ncontent-length: 2\r\n\r\nno";

async fn send_as(pool: &TargetPool, address: SocketAddr, id: &str) -> FullResponse {
    let request = Request::post("/x").header("host", "h").header(ID, id);
    let request = request.body(Full::new(Bytes::from_static(b"q"))).expect("a request");
    let response = pool.send(address, request).await.expect("a response");
    let policy = ReusePolicy::SuccessesAndRefusals("not-run");
    response.reusable_after(policy).read_full(MAX_BODY).await.expect("a complete response")
}

/// Guards against a refusal that counts for two sends: the target answers the first one twice, the
/// second time when the request is sent again, and runs it then.
#[tokio::test]
async fn refused_request_is_not_sent_again_on_its_connection() {
    let (address, connections) = target(vec![
        (REFUSAL, AfterResponse::KeepsOpen),
        // On the connection of the refusal, its second copy would arrive here.
        ("HTTP/1.1 200 OK\r\nid: q-1\r\ncontent-length: 2\r\n\r\nok", AfterResponse::KeepsOpen),
        ("HTTP/1.1 200 OK\r\nid: q-2\r\ncontent-length: 2\r\n\r\nok", AfterResponse::KeepsOpen),
        ("HTTP/1.1 200 OK\r\nid: q-3\r\ncontent-length: 2\r\n\r\nok", AfterResponse::KeepsOpen),
    ])
    .await;
    let pool = TargetPool::default().with_id_header(ID);
    assert_eq!(send_as(&pool, address, "q-1").await.status, 503);
    tokio::task::yield_now().await;
    assert_eq!(send_as(&pool, address, "q-1").await.status, 200);
    assert_eq!(connections.load(Ordering::Relaxed), 2, "the refused request uses another one");
    tokio::task::yield_now().await;
    // Other requests use both.
    for id in ["q-2", "q-3"] {
        assert_eq!(send_as(&pool, address, id).await.status, 200);
        tokio::task::yield_now().await;
    }
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}

/// Guards against a connection that stays one response behind: the response to the request that got
/// a foreign one would be taken for that of the next.
#[tokio::test]
async fn connection_is_not_reused_after_a_response_to_another_request() {
    let foreign = "HTTP/1.1 200 OK\r\nid: q-0\r\ncontent-length: 2\r\n\r\nok";
    let own = "HTTP/1.1 200 OK\r\nid: q-2\r\ncontent-length: 2\r\n\r\nok";
    let (address, connections) =
        target(vec![(foreign, AfterResponse::KeepsOpen), (own, AfterResponse::KeepsOpen)]).await;
    let pool = TargetPool::default().with_id_header(ID);
    send_as(&pool, address, "q-1").await;
    tokio::task::yield_now().await;
    assert_eq!(send_as(&pool, address, "q-2").await.status, 200);
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}

/// Guards against a late second answer to a request that succeeded: callers may use an id again, and
/// the next request would get the response to the one before.
#[tokio::test]
async fn answered_request_is_not_sent_again_on_its_connection() {
    let own = "HTTP/1.1 200 OK\r\nid: q-1\r\ncontent-length: 2\r\n\r\nok";
    let next = "HTTP/1.1 200 OK\r\nid: q-2\r\ncontent-length: 2\r\n\r\nok";
    let (address, connections) = target(vec![
        (own, AfterResponse::KeepsOpen),
        (own, AfterResponse::KeepsOpen),
        (next, AfterResponse::KeepsOpen),
    ])
    .await;
    let pool = TargetPool::default().with_id_header(ID);
    for id in ["q-1", "q-1", "q-2"] {
        assert_eq!(send_as(&pool, address, id).await.status, 200);
        tokio::task::yield_now().await;
    }
    assert_eq!(connections.load(Ordering::Relaxed), 2, "the same id uses another one");
}

/// Guards against a connection that is remembered with more and more refusals.
#[tokio::test]
async fn connection_is_closed_after_many_refusals() {
    const MAX_REFUSALS: usize = 32;
    let refusal = |number| REFUSAL.replace("q-1", &format!("q-{number}"));
    let script = (0..=MAX_REFUSALS).map(|number| (refusal(number), AfterResponse::KeepsOpen));
    let (address, connections) = target(script.collect()).await;
    let pool = TargetPool::default().with_id_header(ID);
    for number in 0..=MAX_REFUSALS {
        assert_eq!(send_as(&pool, address, &format!("q-{number}")).await.status, 503);
        tokio::task::yield_now().await;
        let opened = if number < MAX_REFUSALS { 1 } else { 2 };
        assert_eq!(connections.load(Ordering::Relaxed), opened, "after {number} refusals");
    }
}

/// Guards against a response that no request may have: 101 changes the protocol, and above 599 the
/// protocol has none.
#[tokio::test]
async fn invalid_final_status_is_a_broken_response() {
    for status in ["101", "600", "700", "999"] {
        let invalid = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
        let script = vec![
            (invalid, AfterResponse::KeepsOpen),
            (OK_RESPONSE.to_owned(), AfterResponse::KeepsOpen),
        ];
        let (address, connections) = target(script).await;
        let pool = TargetPool::default();
        let failed = send(&pool, address).await;
        assert!(matches!(failed, Err(SendError::Broken(_))), "{status}: {failed:?}");
        assert_eq!(send(&pool, address).await.expect("a response").status, 200);
        assert_eq!(connections.load(Ordering::Relaxed), 2, "the connection is closed");
    }
}

/// Guards against a target that sends late answers again and again, each of which costs another
/// request its response.
#[tokio::test]
async fn target_that_answered_another_request_gets_a_connection_each() {
    let response = |id: &str| format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 2\r\n\r\nok");
    let ids = ["q-1", "q-2", "q-4", "q-5", "q-6"];
    let script =
        ["q-1", "q-0", "q-4", "q-5", "q-6"].map(|id| (response(id), AfterResponse::KeepsOpen));
    let (address, connections) = target(script.to_vec()).await;
    let pool = TargetPool::default().with_id_header(ID);
    for (id, opened) in ids.into_iter().zip([1, 1, 2, 3, 4]) {
        assert_eq!(send_as(&pool, address, id).await.status, 200);
        assert_eq!(connections.load(Ordering::Relaxed), opened, "{id}");
        tokio::task::yield_now().await;
        pool.sweep();
    }
}
