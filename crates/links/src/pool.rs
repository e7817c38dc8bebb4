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

use crate::liveness::{LinkAction, LinkLiveness};
use crate::{CallError, ResponseStream};

/// Maximum number of queued outgoing frames of a connection.
const WRITE_QUEUE_LEN: usize = 256;
/// Maximum number of unread frames of one call.
const RESPONSE_QUEUE_LEN: usize = 256;
/// Timeout for connecting and authenticating, which takes three round trips. Short, so that an
/// attempt which started during a network cut soon gives way to the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time that a request waits for room in the write queue of its connection.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

/// Identity of this box towards its peers.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// ID of this box.
    pub me: BoxId,
    /// Key shared by all boxes of the deployment.
    pub key: DeploymentKey,
}

type FramedStream = Framed<TcpStream, FrameCodec>;
type LinkSlot = Arc<AsyncMutex<Option<Link>>>;

/// Calls of one link that await responses, by call number.
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

    /// Drops all senders, so that every open call fails with [`CallError::LinkLost`].
    fn fail_all(&self) {
        lock(&self.0).clear();
    }
}

#[derive(Debug, Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    calls: OpenCalls,
    next_call: Arc<AtomicU64>,
    liveness: Arc<Mutex<LinkLiveness>>,
    /// Wakes the link's task when the next liveness action is due earlier.
    rescheduled: Arc<Notify>,
    closed: CancellationToken,
}

impl Link {
    fn record_request(&self) {
        if lock(&self.liveness).request_queued(Instant::now()) {
            self.rescheduled.notify_one();
        }
    }

    fn record_one_way(&self) {
        if lock(&self.liveness).one_way_queued(Instant::now()) {
            self.rescheduled.notify_one();
        }
    }
}

/// Pool of connections from this box to its peers.
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
    /// Creates an empty pool. Its connections close when `stop` is cancelled.
    pub fn new(settings: LinkSettings, stop: CancellationToken) -> Self {
        Self { settings: Arc::new(settings), links: Arc::default(), stop }
    }

    /// Sends a request to the box at `address` and returns the stream of its response.
    pub async fn call(&self, address: &str, request: Request) -> Result<ResponseStream, CallError> {
        let link = self.get_or_connect(address).await?;
        let call = link.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel(RESPONSE_QUEUE_LEN);
        link.calls.insert(call, sender);
        let frame = Frame { call, body: Some(Body::Request(request)) };
        // The queue fills up if the peer reads nothing. A frame that was not queued was not sent.
        let queued = time::timeout(QUEUE_TIMEOUT, link.frames.send(frame)).await;
        if !matches!(queued, Ok(Ok(()))) {
            link.calls.remove(call);
            return Err(not_sent(address));
        }
        link.record_request();
        // If the link closed and failed all calls before the insert, nothing else removes this one.
        if link.closed.is_cancelled() {
            link.calls.remove(call);
        }
        Ok(ResponseStream::new(call, receiver, link.frames, link.calls))
    }

    /// Queues a heartbeat for the box at `address`. Delivery is not confirmed.
    pub async fn send_heartbeat(
        &self,
        address: &str,
        heartbeat: BoxHeartbeat,
    ) -> Result<(), CallError> {
        let link = self.get_or_connect(address).await?;
        let frame = Frame { call: 0, body: Some(Body::Heartbeat(heartbeat)) };
        // Fails instead of waiting for a connection whose peer reads nothing.
        link.frames.try_send(frame).map_err(|_full| not_sent(address))?;
        link.record_one_way();
        Ok(())
    }

    async fn get_or_connect(&self, address: &str) -> Result<Link, CallError> {
        let slot = Arc::clone(lock(&self.links).entry(address.to_owned()).or_default());
        // The lock allows one connection attempt per peer; other callers wait for its outcome.
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref()
            && !link.closed.is_cancelled()
        {
            return Ok(link.clone());
        }
        let connected = time::timeout(CONNECT_TIMEOUT, self.connect(address)).await;
        let Ok(Some(transport)) = connected else {
            *slot = None;
            return Err(not_sent(address));
        };
        let link = self.spawn_link(transport, address);
        *slot = Some(link.clone());
        Ok(link)
    }

    async fn connect(&self, address: &str) -> Option<FramedStream> {
        let stream = TcpStream::connect(address).await.ok()?;
        // Nagle's algorithm would hold back small frames until earlier ones are acknowledged.
        stream.set_nodelay(true).ok()?;
        let mut transport = Framed::new(stream, FrameCodec::default());
        let first_frame = transport.next().await?.ok()?;
        let Some(Body::Challenge(challenge)) = first_frame.body else {
            return None;
        };
        let me = &self.settings.me;
        let mac = self.settings.key.sign_challenge(&challenge.nonce, me);
        let response = ChallengeResponse { box_id: me.to_string(), mac };
        transport
            .send(Frame { call: 0, body: Some(Body::ChallengeResponse(response)) })
            .await
            .ok()?;
        Some(transport)
    }

    fn spawn_link(&self, transport: FramedStream, address: &str) -> Link {
        let (frames, queue) = mpsc::channel(WRITE_QUEUE_LEN);
        let link = Link {
            frames,
            calls: OpenCalls::default(),
            next_call: Arc::new(AtomicU64::new(1)),
            liveness: Arc::new(Mutex::new(LinkLiveness::new(Instant::now()))),
            rescheduled: Arc::default(),
            closed: self.stop.child_token(),
        };
        tokio::spawn(run_link(transport, queue, link.clone(), address.to_owned()));
        link
    }
}

fn not_sent(address: &str) -> CallError {
    CallError::NotSent { address: address.to_owned() }
}

async fn run_link(
    transport: FramedStream,
    queue: mpsc::Receiver<Frame>,
    link: Link,
    address: String,
) {
    let (sink, mut stream) = transport.split();
    tokio::spawn(write_frames(sink, queue, link.closed.clone()));
    while !link.closed.is_cancelled() {
        let action = lock(&link.liveness).next_action(Instant::now());
        let due = match action {
            LinkAction::Wait(due) => due,
            LinkAction::Ping => {
                // If the queue is full, the ping is dropped but a received frame is still expected.
                let _unsent =
                    link.frames.try_send(Frame { call: 0, body: Some(Body::Ping(Ping {})) });
                continue;
            }
            LinkAction::Dead => {
                log::info!(target: "links", peer = address.as_str(), outcome = "silent"; "connection closed");
                break;
            }
            LinkAction::Idle => break,
        };
        let next = tokio::select! {
            () = link.closed.cancelled() => break,
            () = time::sleep_until(due) => continue,
            () = link.rescheduled.notified() => continue,
            next = stream.next() => next,
        };
        let Some(Ok(frame)) = next else { break };
        deliver(&link.calls, frame).await;
        lock(&link.liveness).frame_received(Instant::now(), !link.calls.is_empty());
    }
    link.closed.cancel();
    link.calls.fail_all();
}

async fn deliver(calls: &OpenCalls, frame: Frame) {
    let call = frame.call;
    let is_final = matches!(frame.body, Some(Body::End(_) | Body::Refused(_)));
    let sender = if is_final { calls.remove(call) } else { calls.get(call) };
    let Some(sender) = sender else { return };
    if sender.send(frame).await.is_err() {
        calls.remove(call);
    }
}

pub(crate) async fn write_frames(
    mut sink: futures::stream::SplitSink<FramedStream, Frame>,
    mut queue: mpsc::Receiver<Frame>,
    closed: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            () = closed.cancelled() => break,
            frame = queue.recv() => frame,
        };
        let Some(frame) = frame else { break };
        // A peer that reads nothing blocks the write, so closing the link must interrupt it.
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

/// Writes all queued frames before flushing, so that a burst takes few packets.
async fn write_burst(
    sink: &mut futures::stream::SplitSink<FramedStream, Frame>,
    first: Frame,
    queue: &mut mpsc::Receiver<Frame>,
) -> Result<(), wire::CodecError> {
    sink.feed(first).await?;
    while let Ok(frame) = queue.try_recv() {
        sink.feed(frame).await?;
    }
    sink.flush().await
}
