//! Copies the body of a target's response to the caller of a stream.
//!
//! Copying ends with the body, at the deadline or when the caller leaves, whichever is first. A
//! target may fall silent for good without closing its connection, and a caller may stop reading;
//! neither keeps the slot, the target's connection and the memory after the deadline. A body that
//! does not end in order ends the caller's connection, so that it never looks complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Sender;
use tokio::time::{self, Instant};
use upstream::{ByteCount, MemoryBudget, SendError, TargetResponse};

use crate::callers::Caller;
use crate::response::StreamBroken;

/// Maximum time for the next chunk of a stream, and for a caller to take one, if neither the caller
/// nor the route gives a timeout.
const MAX_STEP_TIME: Duration = Duration::from_secs(10);
/// Maximum wait for the memory of a chunk. Targets abort a response that is left unread for some
/// seconds.
const CHUNK_MEMORY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the caller of a stream that is out of time to take what was sent.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// How copying a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole body was copied.
    Complete,
    /// The caller's connection has ended.
    CallerDisconnected,
    /// The deadline has passed while the target sent nothing.
    TargetSilent {
        /// Time since the last chunk, or since the head.
        silent: Duration,
    },
    /// The deadline has passed while the caller took nothing.
    CallerSlow,
    /// A chunk did not fit into the memory budget.
    NoMemory,
    /// The target sent more bytes than a response may have.
    TooLong,
    /// The target broke off.
    Broken,
}

/// What ends a stream before its target does.
#[derive(Debug, Clone)]
pub struct StreamLimits {
    /// The shorter of the caller's timeout and the route's; `None` if neither is given.
    pub deadline: Option<Instant>,
    /// The connection of the caller.
    pub caller: Arc<Caller>,
}

impl StreamLimits {
    /// Until when the next step of the stream has to end.
    fn step_deadline(&self) -> Instant {
        self.deadline.unwrap_or_else(|| Instant::now() + MAX_STEP_TIME)
    }

    /// Runs a step. Fails with `late` at the deadline.
    async fn run_step<T>(
        &self,
        step: impl Future<Output = T>,
        late: impl FnOnce() -> StreamEnd,
    ) -> Result<T, StreamEnd> {
        tokio::select! {
            ended = time::timeout_at(self.step_deadline(), step) => ended.map_err(|_elapsed| late()),
            () = self.caller.ended.cancelled() => Err(StreamEnd::CallerDisconnected),
        }
    }

    /// Disconnects the caller unless it soon takes the rest of an aborted body, whose memory it
    /// holds until then.
    pub async fn disconnect_after_flush(&self) {
        if time::timeout(FLUSH_TIME, self.caller.ended.cancelled()).await.is_err() {
            self.caller.disconnected.cancel();
        }
    }
}

/// Sends chunks to the caller. Dropped before [`Self::finish`], it aborts the body.
pub struct ChunkSender(Option<Sender<Bytes, StreamBroken>>);

impl ChunkSender {
    /// Wraps the sender of a body.
    pub const fn new(sender: Sender<Bytes, StreamBroken>) -> Self {
        Self(Some(sender))
    }

    /// Waits until the chunk is accepted. Fails if the caller has disconnected.
    async fn send(&mut self, chunk: Bytes) -> Result<(), StreamEnd> {
        let Some(sender) = &mut self.0 else { return Err(StreamEnd::CallerDisconnected) };
        sender.send_data(chunk).await.map_err(|_closed| StreamEnd::CallerDisconnected)
    }

    /// Ends the body in order.
    fn finish(mut self) {
        drop(self.0.take());
    }
}

impl Drop for ChunkSender {
    fn drop(&mut self) {
        if let Some(sender) = self.0.take() {
            sender.abort(StreamBroken);
        }
    }
}

/// Copies a body until it ends or a limit is reached; dropping the response then closes the
/// target's connection.
pub async fn copy_stream(
    target_response: TargetResponse,
    chunks: ChunkSender,
    memory: &Arc<MemoryBudget>,
    limits: &StreamLimits,
) -> StreamEnd {
    match copy_chunks(target_response, chunks, memory, limits).await {
        Ok(()) => StreamEnd::Complete,
        Err(end) => end,
    }
}

async fn copy_chunks(
    mut target_response: TargetResponse,
    mut chunks: ChunkSender,
    memory: &Arc<MemoryBudget>,
    limits: &StreamLimits,
) -> Result<(), StreamEnd> {
    loop {
        let waiting_since = Instant::now();
        let silent = || StreamEnd::TargetSilent { silent: waiting_since.elapsed() };
        let received = limits.run_step(target_response.next(), silent).await?;
        let chunk = match received {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(SendError::TooLong(_)) => return Err(StreamEnd::TooLong),
            Err(_broken) => return Err(StreamEnd::Broken),
        };
        let held = memory.reserve_response(ByteCount::new(chunk.len()));
        let held = time::timeout(CHUNK_MEMORY_TIMEOUT, held);
        let held = limits.run_step(held, || StreamEnd::NoMemory).await?;
        let held = held.map_err(|_elapsed| StreamEnd::NoMemory)?;
        let sent = chunks.send(held.attach(chunk));
        limits.run_step(sent, || StreamEnd::CallerSlow).await??;
    }
    target_response.reuse();
    chunks.finish();
    Ok(())
}
