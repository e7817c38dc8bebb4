//! Targets that misbehave: what is not the whole answer to the request is never taken for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{FullResponse, SendError, TargetPool};

const MOST: usize = 1 << 16;
const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// How a scripted target ends a connection after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    Stays,
    Closes,
    Resets,
}

/// A target that sends `answers` in turn, one a request, on any connection.
async fn target(answers: Vec<(&'static str, Then)>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    let answers = Arc::new(std::sync::Mutex::new(answers.into_iter()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            let answers = Arc::clone(&answers);
            tokio::spawn(async move { serve(stream, &answers).await });
        }
    });
    (address, connections)
}

type Answers = std::sync::Mutex<std::vec::IntoIter<(&'static str, Then)>>;

async fn serve(mut stream: TcpStream, answers: &Answers) {
    let mut buffer = vec![0; 4_096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let next = answers.lock().expect("no panic").next();
        let Some((answer, then)) = next else { return };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        match then {
            Then::Stays => {}
            Then::Closes => return,
            Then::Resets => {
                // Closed with nothing to say goodbye: the peer sees a reset.
                stream.set_zero_linger().expect("a socket");
                return;
            }
        }
    }
}

async fn ask(pool: &TargetPool, address: SocketAddr) -> Result<FullResponse, SendError> {
    let request = Request::post("/x").header("host", "h").body(Full::new(Bytes::from_static(b"q")));
    pool.send(address, request.expect("a request")).await?.read_full(MOST).await
}

#[tokio::test]
async fn a_good_connection_is_used_again() {
    let (address, connections) = target(vec![(GOOD, Then::Stays), (GOOD, Then::Stays)]).await;
    let pool = TargetPool::default();
    assert_eq!(ask(&pool, address).await.expect("whole").body, "ok");
    tokio::task::yield_now().await;
    assert_eq!(ask(&pool, address).await.expect("whole").body, "ok");
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_second_answer_belongs_to_nobody() {
    let doubled = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let (address, _) = target(vec![(doubled, Then::Stays), (GOOD, Then::Stays)]).await;
    let pool = TargetPool::default();
    assert_eq!(ask(&pool, address).await.expect("whole").body, "ok");
    tokio::task::yield_now().await;
    assert_eq!(ask(&pool, address).await.expect("whole").body, "ok");
}

#[tokio::test]
async fn an_answer_without_length_is_whole_only_when_it_ends_well() {
    let endless = "HTTP/1.1 200 OK\r\n\r\npart";
    let (address, _) = target(vec![(endless, Then::Closes), (endless, Then::Resets)]).await;
    let pool = TargetPool::default();
    assert_eq!(ask(&pool, address).await.expect("whole").body, "part");
    assert!(matches!(ask(&pool, address).await, Err(SendError::Broken(_))));
}

#[tokio::test]
async fn a_short_answer_is_broken() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";
    let (address, _) = target(vec![(short, Then::Closes)]).await;
    let broken = ask(&TargetPool::default(), address).await;
    assert!(matches!(broken, Err(SendError::Broken(_))), "{broken:?}");
}

#[tokio::test]
async fn bytes_that_are_no_answer_are_broken() {
    let (address, _) = target(vec![("nothing like it\r\n\r\n", Then::Stays)]).await;
    let broken = ask(&TargetPool::default(), address).await;
    assert!(matches!(broken, Err(SendError::Broken(_))), "{broken:?}");
}

#[tokio::test]
async fn a_connection_is_left_after_an_error_or_when_the_target_wants_it() {
    let error = "HTTP/1.1 500 Oops\r\ncontent-length: 2\r\n\r\nno";
    let closing = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let brief = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok";
    let answers = [error, closing, brief, GOOD].map(|answer| (answer, Then::Stays));
    let (address, connections) = target(answers.to_vec()).await;
    let pool = TargetPool::default();
    for expected in 1..=4 {
        ask(&pool, address).await.expect("an answer");
        tokio::task::yield_now().await;
        assert_eq!(connections.load(Ordering::Relaxed), expected);
    }
}

#[tokio::test]
async fn a_connection_that_has_rested_for_its_time_is_left() {
    let brief = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
    let (address, connections) = target(vec![(brief, Then::Stays), (GOOD, Then::Stays)]).await;
    let pool = TargetPool::default();
    ask(&pool, address).await.expect("an answer");
    // The target still keeps it, but not for as long as a request may be on its way.
    tokio::time::sleep(Duration::from_millis(750)).await;
    ask(&pool, address).await.expect("an answer");
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn an_answer_that_is_too_long_is_not_held() {
    let long = "HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n";
    let body: &'static str = Box::leak(format!("{long}{}", "a".repeat(70_000)).into_boxed_str());
    let (address, _) = target(vec![(body, Then::Stays)]).await;
    assert!(matches!(ask(&TargetPool::default(), address).await, Err(SendError::Broken(_))));
}

#[tokio::test]
async fn nobody_there_means_nothing_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    assert!(matches!(ask(&TargetPool::default(), address).await, Err(SendError::NotSent(_))));
}
