//! Accepts connections from peers and dispatches their requests.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::BoxId;
use rand::RngCore;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use wire::peer::frame::Body;
use wire::peer::{BoxHeartbeat, Challenge, Frame, Pong, Request};
use wire::{DeploymentKey, FrameCodec};

use crate::ResponseSink;
use crate::liveness::{CALLER_IDLE_TIMEOUT, CALLER_TIMEOUT};
use crate::pool::write_frames;
use crate::response::CancelReason;

/// Maximum number of queued outgoing frames of a connection.
const WRITE_QUEUE_LEN: usize = 256;
/// Maximum time for a peer to authenticate.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Length of a challenge nonce, in bytes.
const NONCE_LEN: usize = 16;

/// Handles the requests of peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Responds to a request through `sink`. `cancel` is cancelled when the caller drops the call
    /// or its connection closes.
    fn request(
        &self,
        request: Request,
        sink: ResponseSink,
        cancel: CancellationToken,
    ) -> impl Future<Output = ()> + Send;

    /// Processes a heartbeat.
    fn handle_heartbeat(&self, heartbeat: BoxHeartbeat) -> impl Future<Output = ()> + Send;
}

/// Accepts connections and serves their requests until `stop` is cancelled.
pub async fn serve_links(
    listener: TcpListener,
    key: DeploymentKey,
    handler: impl PeerHandler,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let served =
                    serve_connection(stream, key.clone(), handler.clone(), stop.child_token());
                tokio::spawn(served);
            }
            Err(error) => wait_after_accept_error(&error).await,
        }
    }
}

async fn wait_after_accept_error(error: &io::Error) {
    log::warn!(target: "links", error:% = error; "accept failed, pausing");
    time::sleep(ACCEPT_RETRY_DELAY).await;
}

async fn serve_connection(
    stream: TcpStream,
    key: DeploymentKey,
    handler: impl PeerHandler,
    closed: CancellationToken,
) {
    // An error is ignored: the connection works without it, but small frames are delayed.
    let _ignored = stream.set_nodelay(true);
    let mut transport = Framed::new(stream, FrameCodec::default());
    let authenticated = time::timeout(AUTH_TIMEOUT, authenticate_peer(&mut transport, &key)).await;
    let peer = match authenticated.unwrap_or(Err(AuthError::TimedOut)) {
        Ok(peer) => peer,
        Err(error) => {
            log::warn!(target: "links", error:% = error; "peer rejected");
            return;
        }
    };
    log::debug!(target: "links", peer:% = peer; "peer connected");
    let (sink, mut stream) = transport.split();
    let (frames, queue) = mpsc::channel(WRITE_QUEUE_LEN);
    tokio::spawn(write_frames(sink, queue, closed.clone()));
    let calls = CallTable::default();
    let mut last_received_at = Instant::now();
    loop {
        let idle_timeout = if calls.is_empty() { CALLER_IDLE_TIMEOUT } else { CALLER_TIMEOUT };
        let next = tokio::select! {
            () = closed.cancelled() => break,
            next = time::timeout(CALLER_TIMEOUT, stream.next()) => next,
        };
        let Ok(next) = next else {
            if last_received_at.elapsed() < idle_timeout {
                continue;
            }
            log::info!(target: "links", peer:% = peer, outcome = "silent"; "connection closed");
            break;
        };
        last_received_at = Instant::now();
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                log::warn!(target: "links", peer:% = peer, error:% = error; "connection closed");
                break;
            }
            None => break,
        };
        match frame.body {
            Some(Body::Request(request)) => {
                let reason = CancelReason::default();
                let sink = ResponseSink::new(frame.call, frames.clone(), reason.clone());
                calls.start(frame.call, request, (sink, reason), &handler, &closed);
            }
            Some(Body::Cancel(cancel)) => calls.cancel(frame.call, cancel.why),
            Some(Body::Ping(_)) => {
                // If the queue is full, the frames in it show the peer that the link is alive.
                let _unsent = frames.try_send(Frame { call: 0, body: Some(Body::Pong(Pong {})) });
            }
            Some(Body::Heartbeat(heartbeat)) => handler.handle_heartbeat(heartbeat).await,
            _ => log::warn!(target: "links", peer:% = peer; "unexpected frame skipped"),
        }
    }
    // Cancels the calls that are still in flight.
    closed.cancel();
}

/// Why a peer was not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum AuthError {
    /// The peer gave up, or the connection failed. Frequent if this box responds too slowly.
    #[error("the peer closed the connection before it was authenticated")]
    Closed,
    /// The peer did not respond to the challenge.
    #[error("the peer did not authenticate in time")]
    TimedOut,
    /// The response is not one to the challenge, or was signed with another key.
    #[error("authentication with the deployment key failed")]
    Invalid,
}

async fn authenticate_peer(
    transport: &mut Framed<TcpStream, FrameCodec>,
    key: &DeploymentKey,
) -> Result<BoxId, AuthError> {
    let mut nonce = vec![0; NONCE_LEN];
    rand::rng().fill_bytes(&mut nonce);
    let challenge = Body::Challenge(Challenge { nonce: nonce.clone() });
    let sent = transport.send(Frame { call: 0, body: Some(challenge) }).await;
    sent.map_err(|_closed| AuthError::Closed)?;
    let Some(Ok(reply)) = transport.next().await else { return Err(AuthError::Closed) };
    let Some(Body::ChallengeResponse(response)) = reply.body else {
        return Err(AuthError::Invalid);
    };
    let peer: BoxId = response.box_id.parse().map_err(|_invalid| AuthError::Invalid)?;
    if key.verify(&nonce, &peer, &response.mac) { Ok(peer) } else { Err(AuthError::Invalid) }
}

/// Calls of one connection that are in flight, by call number.
#[derive(Debug, Clone, Default)]
struct CallTable(Arc<Mutex<HashMap<u64, (CancellationToken, CancelReason)>>>);

impl CallTable {
    fn start(
        &self,
        call: u64,
        request: Request,
        (sink, reason): (ResponseSink, CancelReason),
        handler: &impl PeerHandler,
        closed: &CancellationToken,
    ) {
        let cancel = closed.child_token();
        self.lock().insert(call, (cancel.clone(), reason));
        let (handler, table) = (handler.clone(), self.clone());
        tokio::spawn(async move {
            handler.request(request, sink, cancel).await;
            table.lock().remove(&call);
        });
    }

    fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn cancel(&self, call: u64, why: String) {
        if let Some((cancel, reason)) = self.lock().remove(&call) {
            reason.set(why);
            cancel.cancel();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, (CancellationToken, CancelReason)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
