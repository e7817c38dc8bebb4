//! Calls over real connections: whole answers to their own requests, or typed errors.

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

/// Longer than any answer takes; a test that reaches it has failed.
const SILENCE: Duration = Duration::from_secs(20);

fn key(text: &str) -> DeploymentKey {
    DeploymentKey::new(text).expect("long enough")
}

fn pool(secret: &str) -> LinkPool {
    let me: BoxId = "box-1".parse().expect("an id");
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

/// Answers with the request's own id, in three pieces; `refuse` and `silent` are kept.
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
                    // Lets other calls' pieces come in between.
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
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let stop = CancellationToken::new();
    tokio::spawn(serve_links(listener, key("the-right-key-123"), EchoHandler, stop));
    address
}

#[tokio::test]
async fn many_calls_on_one_connection_get_their_own_answers() {
    let address = echo_server().await.to_string();
    let pool = pool("the-right-key-123");
    let calls = (0..100).map(|index| {
        let (pool, address) = (pool.clone(), address.clone());
        tokio::spawn(async move {
            let id = format!("r{index}");
            let mut stream = pool.call(&address, request(&id)).await.expect("sent");
            let mut came = Vec::new();
            while let Some(item) = stream.next(SILENCE).await.expect("whole") {
                came.push(text(&item));
            }
            assert_eq!(came, (0..3).map(|piece| format!("{id}.{piece}")).collect::<Vec<_>>());
            assert_eq!(stream.end(), Some(ResponseEnd { tokens: 3, text_digest: 7 }));
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("no panic");
    }
}

#[tokio::test]
async fn a_refusal_keeps_its_kind() {
    let address = echo_server().await.to_string();
    let mut stream =
        pool("the-right-key-123").call(&address, request("refuse")).await.expect("sent");
    let error = stream.next(SILENCE).await.expect_err("refused");
    assert!(matches!(&error, CallError::Refused(_)) && error.definitely_not_run());
}

#[tokio::test]
async fn a_peer_without_the_key_gets_no_answer() {
    let address = echo_server().await.to_string();
    let called = pool("the-wrong-key-123").call(&address, request("r")).await;
    let answer = match called {
        Ok(mut stream) => stream.next(SILENCE).await.map(|item| item.map(|item| text(&item))),
        Err(error) => Err(error),
    };
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn nobody_there_means_surely_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    drop(listener);
    let error = pool("the-right-key-123").call(&address, request("r")).await.expect_err("nobody");
    assert!(matches!(&error, CallError::NotSent { .. }) && error.definitely_not_run());
}

/// A peer that shows the protocol and then answers its first call with these frames.
async fn scripted_server(answer: impl Fn(u64) -> Vec<Frame> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a peer");
        let mut framing: Framed<TcpStream, FrameCodec> = Framed::new(stream, FrameCodec::default());
        let challenge = Body::Challenge(Challenge { nonce: vec![1; 16] });
        framing.send(Frame { call: 0, body: Some(challenge) }).await.expect("sent");
        framing.next().await.expect("a proof").expect("a frame");
        let call = framing.next().await.expect("a request").expect("a frame").call;
        for frame in answer(call) {
            framing.send(frame).await.expect("sent");
        }
        // The connection closes here.
    });
    address
}

/// Calls a scripted server; gives the texts that came and how the answer ended.
async fn check(
    answer: impl Fn(u64) -> Vec<Frame> + Send + 'static,
) -> Result<Vec<String>, CallError> {
    let address = scripted_server(answer).await.to_string();
    let mut stream = pool("the-right-key-123").call(&address, request("r")).await?;
    let mut came = Vec::new();
    while let Some(item) = stream.next(SILENCE).await? {
        came.push(text(&item));
    }
    Ok(came)
}

fn item_frame(call: u64, text: &str) -> Frame {
    Frame { call, body: Some(Body::Item(part(text))) }
}

fn end_frame(call: u64, texts: &[&str]) -> Frame {
    let mut tally = ResponseChecksum::default();
    for text in texts {
        tally.count(&part(text));
    }
    Frame { call, body: Some(Body::End(tally.end())) }
}

fn is_broken(answer: &Result<Vec<String>, CallError>) -> bool {
    matches!(answer, Err(error @ (CallError::Broken { .. } | CallError::LinkLost)) if !error.definitely_not_run())
}

#[tokio::test]
async fn a_truncated_answer_is_an_error() {
    let answer = check(|call| vec![item_frame(call, "a"), item_frame(call, "b")]).await;
    assert!(is_broken(&answer), "{answer:?}");
}

#[tokio::test]
async fn a_lost_a_doubled_or_a_swapped_item_is_an_error() {
    for came in [&["a"][..], &["a", "b", "b"], &["b", "a"]] {
        let answer = check(move |call| {
            let items = came.iter().map(|text| item_frame(call, text));
            items.chain([end_frame(call, &["a", "b"])]).collect()
        })
        .await;
        assert!(is_broken(&answer), "{came:?}: {answer:?}");
    }
}

#[tokio::test]
async fn answers_to_other_calls_are_not_taken() {
    let answer = check(|call| {
        vec![
            item_frame(call + 7, "foreign"),
            item_frame(call, "own"),
            end_frame(call + 7, &["foreign"]),
            end_frame(call, &["own"]),
        ]
    })
    .await;
    assert_eq!(answer, Ok(vec!["own".to_owned()]));
}

/// A peer that took the connection and reads nothing, as a frozen one does.
#[tokio::test]
async fn a_peer_that_reads_nothing_does_not_hold_its_callers_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    let frozen = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a peer");
        let mut framing: Framed<TcpStream, FrameCodec> = Framed::new(stream, FrameCodec::default());
        let challenge = Body::Challenge(Challenge { nonce: vec![1; 16] });
        framing.send(Frame { call: 0, body: Some(challenge) }).await.expect("sent");
        framing.next().await.expect("a proof").expect("a frame");
        std::future::pending::<()>().await;
    });
    let pool = pool("the-right-key-123");
    let large = "x".repeat(256 << 10);
    let mut streams = Vec::new();
    let refused = loop {
        match pool.call(&address, request(&large)).await {
            Ok(stream) => streams.push(stream),
            Err(error) => break error,
        }
        assert!(streams.len() < 2_000, "everything was queued");
    };
    assert!(refused.definitely_not_run(), "{refused}");
    frozen.abort();
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_left_after_the_silence_allowed() {
    // The paused clock jumps ahead whenever nothing else can happen.
    let (_sink, mut stream, _cancel) = links::ResponseStream::local();
    let error = stream.next(Duration::from_secs(3)).await.expect_err("silence");
    assert_eq!(error, CallError::Broken { why: "silence" });
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_call() {
    let (sink, stream, cancel) = links::ResponseStream::local();
    drop(stream);
    assert!(cancel.is_cancelled());
    drop(sink);
}
