//! Calls over real connections return complete responses to their own requests, or typed errors.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::BoxId;
use links::{
    CallError, LinkPool, LinkSettings, PeerHandler, ResponseEnd, ResponseSink, serve_links,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use wire::peer::frame::Body;
use wire::peer::{
    BoxHeartbeat, Challenge, Frame, PlainPart, Refused, RefusedKind, Request, ResponseItem,
    response_item,
};
use wire::{DeploymentKey, FrameCodec, ResponseChecksum};

/// Upper bound for any response; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn key(text: &str) -> DeploymentKey {
    DeploymentKey::new(text).expect("valid key")
}

fn pool(secret: &str) -> LinkPool {
    let me: BoxId = "box-1".parse().expect("valid ID");
    LinkPool::new(LinkSettings { me, key: key(secret) }, CancellationToken::new())
}

fn request(id: &str) -> Request {
    Request { request_id: id.to_owned(), ..Request::default() }
}

fn part(text: &str) -> ResponseItem {
    let body = text.as_bytes().to_vec().into();
    let part = PlainPart { status: 200, content_type: String::new(), body };
    ResponseItem { body: Some(response_item::Body::PlainPart(part)) }
}

fn text(item: &ResponseItem) -> String {
    match &item.body {
        Some(response_item::Body::PlainPart(part)) => {
            String::from_utf8_lossy(&part.body).into_owned()
        }
        _ => String::new(),
    }
}

/// Responds with the request's ID in three items; refuses `refuse` and never responds to `silent`.
#[derive(Debug, Clone)]
struct EchoHandler;

impl PeerHandler for EchoHandler {
    async fn request(&self, request: Request, mut sink: ResponseSink, cancel: CancellationToken) {
        match request.request_id.as_str() {
            "refuse" => {
                let kind = RefusedKind::NotRun.into();
                sink.refuse(Refused { kind, ..Refused::default() }).await;
            }
            "silent" => cancel.cancelled().await,
            id => {
                for piece in 0..3 {
                    // Lets the items of other calls interleave.
                    tokio::task::yield_now().await;
                    sink.item(part(&format!("{id}.{piece}"))).await;
                }
                sink.end(ResponseEnd { tokens: 3, text_digest: 7 }).await;
            }
        }
    }

    async fn handle_heartbeat(&self, _: BoxHeartbeat) {}
}

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a free port");
    let address = listener.local_addr().expect("listener is bound");
    let stop = CancellationToken::new();
    tokio::spawn(serve_links(listener, key("the-right-key-123"), EchoHandler, stop));
    address
}

#[tokio::test]
async fn concurrent_calls_on_one_connection_get_their_own_responses() {
    let address = echo_server().await.to_string();
    let pool = pool("the-right-key-123");
    let calls = (0..100).map(|index| {
        let (pool, address) = (pool.clone(), address.clone());
        tokio::spawn(async move {
            let id = format!("r{index}");
            let mut stream = pool.call(&address, request(&id)).await.expect("sent");
            let mut received = Vec::new();
            while let Some(item) = stream.next(TEST_TIMEOUT).await.expect("complete") {
                received.push(text(&item));
            }
            assert_eq!(received, (0..3).map(|piece| format!("{id}.{piece}")).collect::<Vec<_>>());
            assert_eq!(stream.end(), Some(ResponseEnd { tokens: 3, text_digest: 7 }));
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("no panic");
    }
}

#[tokio::test]
async fn refusal_kind_reaches_the_caller() {
    let address = echo_server().await.to_string();
    let mut stream =
        pool("the-right-key-123").call(&address, request("refuse")).await.expect("sent");
    let error = stream.next(TEST_TIMEOUT).await.expect_err("refused");
    assert!(matches!(&error, CallError::Refused(_)) && error.definitely_not_run());
}

#[tokio::test]
async fn peer_with_wrong_key_gets_no_response() {
    let address = echo_server().await.to_string();
    let called = pool("the-wrong-key-123").call(&address, request("r")).await;
    let response = match called {
        Ok(mut stream) => stream.next(TEST_TIMEOUT).await.map(|item| item.map(|item| text(&item))),
        Err(error) => Err(error),
    };
    assert!(response.is_err(), "{response:?}");
}

#[tokio::test]
async fn connection_refused_means_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a free port");
    let address = listener.local_addr().expect("listener is bound").to_string();
    drop(listener);
    let error =
        pool("the-right-key-123").call(&address, request("r")).await.expect_err("no listener");
    assert!(matches!(&error, CallError::NotSent { .. }) && error.definitely_not_run());
}

/// Starts a server that responds to its first call with the frames returned by `script`, then
/// closes the connection.
async fn scripted_server(script: impl Fn(u64) -> Vec<Frame> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a free port");
    let address = listener.local_addr().expect("listener is bound");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepts a peer");
        let mut transport: Framed<TcpStream, FrameCodec> =
            Framed::new(stream, FrameCodec::default());
        let challenge = Body::Challenge(Challenge { nonce: vec![1; 16] });
        transport.send(Frame { call: 0, body: Some(challenge) }).await.expect("sent");
        transport.next().await.expect("receives a challenge response").expect("valid frame");
        let call = transport.next().await.expect("receives a request").expect("valid frame").call;
        for frame in script(call) {
            transport.send(frame).await.expect("sent");
        }
    });
    address
}

/// Calls a scripted server and returns the received texts, or the error that ended the response.
async fn check(
    script: impl Fn(u64) -> Vec<Frame> + Send + 'static,
) -> Result<Vec<String>, CallError> {
    let address = scripted_server(script).await.to_string();
    let mut stream = pool("the-right-key-123").call(&address, request("r")).await?;
    let mut received = Vec::new();
    while let Some(item) = stream.next(TEST_TIMEOUT).await? {
        received.push(text(&item));
    }
    Ok(received)
}

fn item_frame(call: u64, text: &str) -> Frame {
    Frame { call, body: Some(Body::Item(part(text))) }
}

fn end_frame(call: u64, texts: &[&str]) -> Frame {
    let mut checksum = ResponseChecksum::default();
    for text in texts {
        checksum.count(&part(text));
    }
    Frame { call, body: Some(Body::End(checksum.end())) }
}

fn is_incomplete(response: &Result<Vec<String>, CallError>) -> bool {
    matches!(response, Err(error @ (CallError::Broken { .. } | CallError::LinkLost)) if !error.definitely_not_run())
}

#[tokio::test]
async fn truncated_response_is_an_error() {
    let response = check(|call| vec![item_frame(call, "a"), item_frame(call, "b")]).await;
    assert!(is_incomplete(&response), "{response:?}");
}

#[tokio::test]
async fn lost_duplicated_or_reordered_item_is_an_error() {
    for received in [&["a"][..], &["a", "b", "b"], &["b", "a"]] {
        let response = check(move |call| {
            let items = received.iter().map(|text| item_frame(call, text));
            items.chain([end_frame(call, &["a", "b"])]).collect()
        })
        .await;
        assert!(is_incomplete(&response), "{received:?}: {response:?}");
    }
}

#[tokio::test]
async fn frames_of_other_calls_are_ignored() {
    let response = check(|call| {
        vec![
            item_frame(call + 7, "foreign"),
            item_frame(call, "own"),
            end_frame(call + 7, &["foreign"]),
            end_frame(call, &["own"]),
        ]
    })
    .await;
    assert_eq!(response, Ok(vec!["own".to_owned()]));
}

/// A frozen peer, which accepts the connection but reads nothing, must not block its callers.
#[tokio::test]
async fn peer_that_reads_nothing_does_not_block_its_callers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a free port");
    let address = listener.local_addr().expect("listener is bound").to_string();
    let frozen = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepts a peer");
        let mut transport: Framed<TcpStream, FrameCodec> =
            Framed::new(stream, FrameCodec::default());
        let challenge = Body::Challenge(Challenge { nonce: vec![1; 16] });
        transport.send(Frame { call: 0, body: Some(challenge) }).await.expect("sent");
        transport.next().await.expect("receives a challenge response").expect("valid frame");
        std::future::pending::<()>().await;
    });
    let pool = pool("the-right-key-123");
    let large = "x".repeat(256 << 10);
    let mut streams = Vec::new();
    let error = loop {
        match pool.call(&address, request(&large)).await {
            Ok(stream) => streams.push(stream),
            Err(error) => break error,
        }
        assert!(streams.len() < 2_000, "the queue accepted every request");
    };
    assert!(error.definitely_not_run(), "{error}");
    frozen.abort();
}

#[tokio::test(start_paused = true)]
async fn response_without_frames_times_out() {
    // The paused clock advances automatically when all tasks are idle.
    let (_sink, mut stream, _cancel) = links::ResponseStream::local();
    let error = stream.next(Duration::from_secs(3)).await.expect_err("timed out");
    assert_eq!(error, CallError::Broken { why: "timeout" });
}

#[tokio::test]
async fn dropping_the_stream_cancels_the_call() {
    let (sink, stream, cancel) = links::ResponseStream::local();
    drop(stream);
    assert!(cancel.is_cancelled());
    drop(sink);
}
