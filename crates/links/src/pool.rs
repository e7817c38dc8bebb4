//! Connections to peers, opened on demand and shared by all calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::BoxId;
use tokio::net::TcpStream;
use tokio::sync::{Mutex as AsyncMutex, mpsc};
use tokio::time;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use wire::peer::frame::Body;
use wire::peer::{Beat, Frame, Proof, Request};
use wire::{DeploymentKey, FrameCodec};

use crate::{AnswerStream, CallError};

/// Frames that wait for the connection's writer.
const WRITE_QUEUE: usize = 256;
/// Items of one call that wait for their reader.
const ANSWER_QUEUE: usize = 256;
/// Longest time to connect and show the key.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for a request to find room behind others to the same peer.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

/// Who this box is to its peers.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// This box.
    pub me: BoxId,
    /// The deployment's key.
    pub key: DeploymentKey,
}

type Framing = Framed<TcpStream, FrameCodec>;
type LinkSlot = Arc<AsyncMutex<Option<Link>>>;
type Calls = Arc<Mutex<HashMap<u64, mpsc::Sender<Frame>>>>;

#[derive(Debug, Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    calls: Calls,
    next_call: Arc<AtomicU64>,
    closed: CancellationToken,
}

/// The connections of one box to its peers.
#[derive(Debug, Clone)]
pub struct LinkPool {
    settings: Arc<LinkSettings>,
    links: Arc<Mutex<HashMap<String, LinkSlot>>>,
    stop: CancellationToken,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LinkPool {
    /// A pool without connections; they end when `stop` is cancelled.
    pub fn new(settings: LinkSettings, stop: CancellationToken) -> Self {
        Self { settings: Arc::new(settings), links: Arc::default(), stop }
    }

    /// Sends a request to the box at `address`.
    pub async fn call(&self, address: &str, request: Request) -> Result<AnswerStream, CallError> {
        let link = self.link(address).await?;
        let call = link.next_call.fetch_add(1, Ordering::Relaxed);
        let (bodies, receiver) = mpsc::channel(ANSWER_QUEUE);
        lock(&link.calls).insert(call, bodies);
        let frame = Frame { call, body: Some(Body::Request(request)) };
        // A frozen peer reads nothing, and its queue fills up; a frame not queued was not sent.
        let queued = time::timeout(QUEUE_TIMEOUT, link.frames.send(frame)).await;
        if !matches!(queued, Ok(Ok(()))) {
            lock(&link.calls).remove(&call);
            return Err(not_sent(address));
        }
        // The link may have closed between the insert and now, after it failed all calls.
        if link.closed.is_cancelled() {
            lock(&link.calls).remove(&call);
        }
        Ok(AnswerStream::new(call, receiver, link.frames))
    }

    /// Sends a heartbeat; a failure shows as the peer's own silence.
    pub async fn beat(&self, address: &str, beat: Beat) -> Result<(), CallError> {
        let link = self.link(address).await?;
        let frame = Frame { call: 0, body: Some(Body::Beat(beat)) };
        // A beat must not wait behind a stuck connection.
        link.frames.try_send(frame).map_err(|_full| not_sent(address))
    }

    async fn link(&self, address: &str) -> Result<Link, CallError> {
        let slot = Arc::clone(lock(&self.links).entry(address.to_owned()).or_default());
        // One connect at a time for each peer; others wait for its outcome.
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref()
            && !link.closed.is_cancelled()
        {
            return Ok(link.clone());
        }
        let connected = time::timeout(CONNECT_TIMEOUT, self.connect(address)).await;
        let Ok(Some(framing)) = connected else {
            *slot = None;
            return Err(not_sent(address));
        };
        let link = self.start(framing);
        *slot = Some(link.clone());
        Ok(link)
    }

    async fn connect(&self, address: &str) -> Option<Framing> {
        let stream = TcpStream::connect(address).await.ok()?;
        // Small frames such as beats and pulls must not wait for the previous one's ack.
        stream.set_nodelay(true).ok()?;
        let mut framing = Framed::new(stream, FrameCodec::default());
        let first = framing.next().await?.ok()?;
        let Some(Body::Challenge(challenge)) = first.body else {
            return None;
        };
        let me = &self.settings.me;
        let mac = self.settings.key.prove(&challenge.nonce, me);
        let proof = Proof { box_id: me.to_string(), mac };
        framing.send(Frame { call: 0, body: Some(Body::Proof(proof)) }).await.ok()?;
        Some(framing)
    }

    fn start(&self, framing: Framing) -> Link {
        let (frames, queue) = mpsc::channel(WRITE_QUEUE);
        let link = Link {
            frames,
            calls: Calls::default(),
            next_call: Arc::new(AtomicU64::new(1)),
            closed: self.stop.child_token(),
        };
        tokio::spawn(run_link(framing, queue, Arc::clone(&link.calls), link.closed.clone()));
        link
    }
}

fn not_sent(address: &str) -> CallError {
    CallError::NotSent { address: address.to_owned() }
}

async fn run_link(
    framing: Framing,
    queue: mpsc::Receiver<Frame>,
    calls: Calls,
    closed: CancellationToken,
) {
    let (sink, mut stream) = framing.split();
    tokio::spawn(write_frames(sink, queue, closed.clone()));
    loop {
        let next = tokio::select! {
            () = closed.cancelled() => break,
            next = stream.next() => next,
        };
        let Some(Ok(frame)) = next else { break };
        deliver(&calls, frame).await;
    }
    closed.cancel();
    // Dropping the senders tells every waiting call that its answer broke off.
    lock(&calls).clear();
}

async fn deliver(calls: &Calls, frame: Frame) {
    let call = frame.call;
    let last = matches!(frame.body, Some(Body::End(_) | Body::Refused(_)));
    let sender = if last { lock(calls).remove(&call) } else { lock(calls).get(&call).cloned() };
    let Some(sender) = sender else { return };
    if sender.send(frame).await.is_err() {
        lock(calls).remove(&call);
    }
}

pub(crate) async fn write_frames(
    mut sink: futures::stream::SplitSink<Framing, Frame>,
    mut queue: mpsc::Receiver<Frame>,
    closed: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            () = closed.cancelled() => break,
            frame = queue.recv() => frame,
        };
        let Some(frame) = frame else { break };
        if write_burst(&mut sink, frame, &mut queue).await.is_err() {
            break;
        }
    }
    closed.cancel();
}

/// Writes all frames at hand before flushing, so that a burst takes few packets.
async fn write_burst(
    sink: &mut futures::stream::SplitSink<Framing, Frame>,
    first: Frame,
    queue: &mut mpsc::Receiver<Frame>,
) -> Result<(), wire::CodecError> {
    sink.feed(first).await?;
    while let Ok(frame) = queue.try_recv() {
        sink.feed(frame).await?;
    }
    sink.flush().await
}
