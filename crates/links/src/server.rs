//! Accepts peers and hands their requests to the box.

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
use crate::pool::write_frames;
use crate::pulse::{CALLER_REST, CALLER_SILENCE};

/// Frames that wait for the connection's writer.
const WRITE_QUEUE: usize = 256;
/// Longest time for a peer to show the key.
const PROOF_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a challenge.
const NONCE_LEN: usize = 16;

/// What a box does with its peers' requests.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Answers a request; `cancel` ends when the caller goes away.
    fn request(
        &self,
        request: Request,
        sink: ResponseSink,
        cancel: CancellationToken,
    ) -> impl Future<Output = ()> + Send;

    /// Takes a heartbeat.
    fn handle_heartbeat(&self, beat: BoxHeartbeat) -> impl Future<Output = ()> + Send;
}

/// Accepts connections until `stop` is cancelled.
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
                let served = serve_one(stream, key.clone(), handler.clone(), stop.child_token());
                tokio::spawn(served);
            }
            Err(error) => pause_after(&error).await,
        }
    }
}

async fn pause_after(error: &io::Error) {
    log::warn!(target: "links", error:% = error; "accept failed, pausing");
    time::sleep(ACCEPT_PAUSE).await;
}

async fn serve_one(
    stream: TcpStream,
    key: DeploymentKey,
    handler: impl PeerHandler,
    closed: CancellationToken,
) {
    // Without it only small frames come later; the connection still works.
    let _slower = stream.set_nodelay(true);
    let mut framing = Framed::new(stream, FrameCodec::default());
    let proven = time::timeout(PROOF_TIMEOUT, prove_peer(&mut framing, &key)).await;
    let Ok(Some(peer)) = proven else {
        log::warn!(target: "links", "peer refused: it did not show the deployment key");
        return;
    };
    log::debug!(target: "links", peer:% = peer; "peer connected");
    let (sink, mut stream) = framing.split();
    let (frames, queue) = mpsc::channel(WRITE_QUEUE);
    tokio::spawn(write_frames(sink, queue, closed.clone()));
    let calls = CallTable::default();
    let mut heard_at = Instant::now();
    loop {
        let allowed = if calls.is_empty() { CALLER_REST } else { CALLER_SILENCE };
        let next = tokio::select! {
            () = closed.cancelled() => break,
            next = time::timeout(CALLER_SILENCE, stream.next()) => next,
        };
        let Ok(next) = next else {
            if heard_at.elapsed() < allowed {
                continue;
            }
            log::info!(target: "links", peer:% = peer, outcome = "silent"; "connection closed");
            break;
        };
        heard_at = Instant::now();
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
                let sink = ResponseSink::new(frame.call, frames.clone());
                calls.start(frame.call, request, sink, &handler, &closed);
            }
            Some(Body::Cancel(_)) => calls.cancel(frame.call),
            Some(Body::Ping(_)) => {
                // A full queue holds frames that show the life of this link as well.
                let _unsent = frames.try_send(Frame { call: 0, body: Some(Body::Pong(Pong {})) });
            }
            Some(Body::Heartbeat(beat)) => handler.handle_heartbeat(beat).await,
            _ => log::warn!(target: "links", peer:% = peer; "frame out of place, skipped"),
        }
    }
    // The caller is gone, and so is every call's reason to go on.
    closed.cancel();
}

async fn prove_peer(
    framing: &mut Framed<TcpStream, FrameCodec>,
    key: &DeploymentKey,
) -> Option<BoxId> {
    let mut nonce = vec![0; NONCE_LEN];
    rand::rng().fill_bytes(&mut nonce);
    let challenge = Body::Challenge(Challenge { nonce: nonce.clone() });
    framing.send(Frame { call: 0, body: Some(challenge) }).await.ok()?;
    let answer = framing.next().await?.ok()?;
    let Some(Body::ChallengeResponse(proof)) = answer.body else {
        return None;
    };
    let peer: BoxId = proof.box_id.parse().ok()?;
    key.verify(&nonce, &peer, &proof.mac).then_some(peer)
}

/// The calls of one connection that are still being answered.
#[derive(Debug, Clone, Default)]
struct CallTable(Arc<Mutex<HashMap<u64, CancellationToken>>>);

impl CallTable {
    fn start(
        &self,
        call: u64,
        request: Request,
        sink: ResponseSink,
        handler: &impl PeerHandler,
        closed: &CancellationToken,
    ) {
        let cancel = closed.child_token();
        self.lock().insert(call, cancel.clone());
        let (handler, table) = (handler.clone(), self.clone());
        tokio::spawn(async move {
            handler.request(request, sink, cancel).await;
            table.lock().remove(&call);
        });
    }

    fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn cancel(&self, call: u64) {
        if let Some(cancel) = self.lock().remove(&call) {
            cancel.cancel();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, CancellationToken>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
