//! Connections to peers, opened on demand and shared by all calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::BoxId;
use tokio::net::TcpStream;
use tokio::sync::{Mutex as AsyncMutex, Notify, mpsc};
use tokio::time::{self, Instant};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use wire::peer::frame::Body;
use wire::peer::{BoxHeartbeat, ChallengeResponse, Frame, Ping, Request};
use wire::{DeploymentKey, FrameCodec};

use crate::pulse::{LinkPulse, PulseStep};
use crate::{CallError, ResponseStream};

/// Frames that wait for the connection's writer.
const WRITE_QUEUE: usize = 256;
/// Items of one call that wait for their reader.
const ANSWER_QUEUE: usize = 256;
/// Longest time to connect and show the key: three ways there and back between distant domains
/// take 120 ms. An attempt that began during a cut ends so soon after it, and the next one works.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

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

/// The calls of one link that wait for answers.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenCalls(Arc<Mutex<HashMap<u64, mpsc::Sender<Frame>>>>);

impl OpenCalls {
    fn insert(&self, call: u64, sender: mpsc::Sender<Frame>) {
        lock(&self.0).insert(call, sender);
    }

    pub(crate) fn remove(&self, call: u64) -> Option<mpsc::Sender<Frame>> {
        lock(&self.0).remove(&call)
    }

    fn get(&self, call: u64) -> Option<mpsc::Sender<Frame>> {
        lock(&self.0).get(&call).cloned()
    }

    fn is_empty(&self) -> bool {
        lock(&self.0).is_empty()
    }

    /// Dropping the senders tells every waiting call that its answer broke off.
    fn fail_all(&self) {
        lock(&self.0).clear();
    }
}

#[derive(Debug, Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    calls: OpenCalls,
    next_call: Arc<AtomicU64>,
    pulse: Arc<Mutex<LinkPulse>>,
    /// Told when the link begins to owe a sign of life.
    owes: Arc<Notify>,
    closed: CancellationToken,
}

impl Link {
    fn asked(&self) {
        if lock(&self.pulse).asked(Instant::now()) {
            self.owes.notify_one();
        }
    }

    fn told(&self) {
        if lock(&self.pulse).told(Instant::now()) {
            self.owes.notify_one();
        }
    }
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
    pub async fn call(&self, address: &str, request: Request) -> Result<ResponseStream, CallError> {
        let link = self.link(address).await?;
        let call = link.next_call.fetch_add(1, Ordering::Relaxed);
        let (bodies, receiver) = mpsc::channel(ANSWER_QUEUE);
        link.calls.insert(call, bodies);
        let frame = Frame { call, body: Some(Body::Request(request)) };
        // A frozen peer reads nothing, and its queue fills up; a frame not queued was not sent.
        let queued = time::timeout(QUEUE_TIMEOUT, link.frames.send(frame)).await;
        if !matches!(queued, Ok(Ok(()))) {
            link.calls.remove(call);
            return Err(not_sent(address));
        }
        link.asked();
        // The link may have closed between the insert and now, after it failed all calls.
        if link.closed.is_cancelled() {
            link.calls.remove(call);
        }
        Ok(ResponseStream::new(call, receiver, link.frames, link.calls))
    }

    /// Sends a heartbeat; a failure shows as the peer's own silence.
    pub async fn send_heartbeat(&self, address: &str, beat: BoxHeartbeat) -> Result<(), CallError> {
        let link = self.link(address).await?;
        let frame = Frame { call: 0, body: Some(Body::Heartbeat(beat)) };
        // A beat must not wait behind a stuck connection.
        link.frames.try_send(frame).map_err(|_full| not_sent(address))?;
        link.told();
        Ok(())
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
        let link = self.start(framing, address);
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
        let proof = ChallengeResponse { box_id: me.to_string(), mac };
        framing.send(Frame { call: 0, body: Some(Body::ChallengeResponse(proof)) }).await.ok()?;
        Some(framing)
    }

    fn start(&self, framing: Framing, address: &str) -> Link {
        let (frames, queue) = mpsc::channel(WRITE_QUEUE);
        let link = Link {
            frames,
            calls: OpenCalls::default(),
            next_call: Arc::new(AtomicU64::new(1)),
            pulse: Arc::new(Mutex::new(LinkPulse::new(Instant::now()))),
            owes: Arc::default(),
            closed: self.stop.child_token(),
        };
        tokio::spawn(run_link(framing, queue, link.clone(), address.to_owned()));
        link
    }
}

fn not_sent(address: &str) -> CallError {
    CallError::NotSent { address: address.to_owned() }
}

async fn run_link(framing: Framing, queue: mpsc::Receiver<Frame>, link: Link, address: String) {
    let (sink, mut stream) = framing.split();
    tokio::spawn(write_frames(sink, queue, link.closed.clone()));
    while !link.closed.is_cancelled() {
        let step = lock(&link.pulse).step(Instant::now());
        let due = match step {
            PulseStep::Wait(due) => due,
            PulseStep::Ping => {
                // A full queue is a link that takes nothing: it owes the sign of life all the same.
                let _unsent =
                    link.frames.try_send(Frame { call: 0, body: Some(Body::Ping(Ping {})) });
                continue;
            }
            PulseStep::Dead => {
                log::info!(target: "links", peer = address.as_str(), outcome = "silent"; "connection closed");
                break;
            }
            PulseStep::Rested => break,
        };
        let next = tokio::select! {
            () = link.closed.cancelled() => break,
            () = time::sleep_until(due) => continue,
            () = link.owes.notified() => continue,
            next = stream.next() => next,
        };
        let Some(Ok(frame)) = next else { break };
        deliver(&link.calls, frame).await;
        lock(&link.pulse).heard(Instant::now(), !link.calls.is_empty());
    }
    link.closed.cancel();
    link.calls.fail_all();
}

async fn deliver(calls: &OpenCalls, frame: Frame) {
    let call = frame.call;
    let last = matches!(frame.body, Some(Body::End(_) | Body::Refused(_)));
    let sender = if last { calls.remove(call) } else { calls.get(call) };
    let Some(sender) = sender else { return };
    if sender.send(frame).await.is_err() {
        calls.remove(call);
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
        // A peer that reads nothing holds the write up; the link may be given up meanwhile.
        let written = tokio::select! {
            () = closed.cancelled() => break,
            written = write_burst(&mut sink, frame, &mut queue) => written,
        };
        if written.is_err() {
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
