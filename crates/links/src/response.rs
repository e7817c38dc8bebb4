//! Streamed responses: the sending and the receiving side.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::ResponseChecksum;
use wire::peer::frame::Body;
use wire::peer::{Cancel, End, Frame, Refused, ResponseItem};

use crate::CallError;
use crate::pool::OpenCalls;

/// Values stated by the end frame of a response besides its checksum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseEnd {
    /// Number of tokens stated by the engine; engine streams only.
    pub tokens: u32,
    /// Text digest stated by the engine; engine streams only.
    pub text_digest: u64,
}

/// Why the caller dropped a response before its end, if it said so.
#[derive(Debug, Clone, Default)]
pub(crate) struct CancelReason(Arc<OnceLock<String>>);

impl CancelReason {
    pub(crate) fn set(&self, reason: String) {
        // Only the first cancellation counts.
        let _already_set = self.0.set(reason);
    }
}

/// Sends the response of one call.
#[derive(Debug)]
pub struct ResponseSink {
    call: u64,
    frames: mpsc::Sender<Frame>,
    checksum: ResponseChecksum,
    cancel_reason: CancelReason,
}

impl ResponseSink {
    pub(crate) fn new(call: u64, frames: mpsc::Sender<Frame>, cancel_reason: CancelReason) -> Self {
        Self { call, frames, checksum: ResponseChecksum::default(), cancel_reason }
    }

    /// Why the caller dropped the response, if it has and said so.
    pub fn cancel_reason(&self) -> Option<&str> {
        self.cancel_reason.0.get().map(String::as_str)
    }

    /// Sends an item. Returns `false` if the connection is closed or, within one box, the caller has
    /// dropped the response.
    pub async fn item(&mut self, item: ResponseItem) -> bool {
        self.checksum.count(&item);
        self.send(Body::Item(item)).await
    }

    /// Sends the end frame, which completes the response.
    pub async fn end(self, end: ResponseEnd) {
        let totals = self.checksum.end();
        let end = End { tokens: end.tokens, text_digest: end.text_digest, ..totals };
        self.send(Body::End(end)).await;
    }

    /// Ends the response with a refusal instead of an end frame.
    pub async fn refuse(self, refused: Refused) {
        self.send(Body::Refused(refused)).await;
    }

    async fn send(&self, body: Body) -> bool {
        self.frames.send(Frame { call: self.call, body: Some(body) }).await.is_ok()
    }
}

/// Maximum number of unread items of a response within one box.
const LOCAL_QUEUE_LEN: usize = 64;

/// How the serving side learns that the caller dropped the response.
#[derive(Debug)]
enum CancelPath {
    Link { call: u64, frames: mpsc::Sender<Frame>, calls: OpenCalls },
    Local { token: CancellationToken, reason: CancelReason },
}

/// Receives the response of one call. Dropping it before the end cancels the call.
#[derive(Debug)]
pub struct ResponseStream {
    incoming: mpsc::Receiver<Frame>,
    cancel: CancelPath,
    checksum: ResponseChecksum,
    end: Option<ResponseEnd>,
    closed: bool,
    /// Told to the serving side if the response is dropped before its end.
    cancel_reason: &'static str,
}

impl ResponseStream {
    pub(crate) fn new(
        call: u64,
        incoming: mpsc::Receiver<Frame>,
        frames: mpsc::Sender<Frame>,
        calls: OpenCalls,
    ) -> Self {
        Self::with_cancel(incoming, CancelPath::Link { call, frames, calls })
    }

    /// Creates a connected sink and stream within one box. The token is cancelled when the stream
    /// is dropped before its end.
    pub fn local() -> (ResponseSink, Self, CancellationToken) {
        let (frames, incoming) = mpsc::channel(LOCAL_QUEUE_LEN);
        let token = CancellationToken::new();
        let reason = CancelReason::default();
        let cancel = CancelPath::Local { token: token.clone(), reason: reason.clone() };
        (ResponseSink::new(0, frames, reason), Self::with_cancel(incoming, cancel), token)
    }

    fn with_cancel(incoming: mpsc::Receiver<Frame>, cancel: CancelPath) -> Self {
        Self {
            incoming,
            cancel,
            checksum: ResponseChecksum::default(),
            end: None,
            closed: false,
            cancel_reason: "the caller went away",
        }
    }

    /// Sets what the serving side is told if the response is dropped before its end.
    pub const fn set_cancel_reason(&mut self, reason: &'static str) {
        self.cancel_reason = reason;
    }

    /// Returns the next item, or `None` after the verified end. `timeout` is the maximum wait for
    /// one frame.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<ResponseItem>, CallError> {
        if self.closed {
            return Ok(None);
        }
        let body = match time::timeout(timeout, self.incoming.recv()).await {
            Ok(Some(frame)) => frame.body,
            Ok(None) => {
                return Err(self.close_with(CallError::LinkLost));
            }
            Err(_elapsed) => return Err(CallError::Broken { why: "timeout" }),
        };
        match body {
            Some(Body::Item(item)) => {
                self.checksum.count(&item);
                Ok(Some(item))
            }
            Some(Body::End(end)) => {
                self.closed = true;
                if self.checksum.check(&end).is_err() {
                    return Err(CallError::Broken { why: "checksum mismatch" });
                }
                self.end = Some(ResponseEnd { tokens: end.tokens, text_digest: end.text_digest });
                Ok(None)
            }
            Some(Body::Refused(refused)) => {
                Err(self.close_with(CallError::Refused(Box::new(refused))))
            }
            _ => Err(self.close_with(CallError::Broken { why: "unexpected frame kind" })),
        }
    }

    /// Returns the values of the verified end frame, or `None` before it arrives.
    pub const fn end(&self) -> Option<ResponseEnd> {
        self.end
    }

    /// Returns the item of a response that must consist of exactly one.
    pub async fn single(mut self, timeout: Duration) -> Result<ResponseItem, CallError> {
        let first = self.next(timeout).await?;
        let Some(item) = first else {
            return Err(CallError::Broken { why: "response has no items" });
        };
        match self.next(timeout).await? {
            None => Ok(item),
            Some(_) => Err(CallError::Broken { why: "response has too many items" }),
        }
    }

    fn close_with(&mut self, error: CallError) -> CallError {
        self.closed = true;
        error
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if self.closed {
            return;
        }
        match &self.cancel {
            CancelPath::Local { token, reason } => {
                reason.set(self.cancel_reason.to_owned());
                token.cancel();
            }
            CancelPath::Link { call, frames, calls } => {
                calls.remove(*call);
                let why = self.cancel_reason.to_owned();
                let body = Some(Body::Cancel(Cancel { why }));
                // Best effort: a closed connection cancels the peer's calls anyway, and the items
                // of a call that could not be cancelled are discarded.
                let _unsent = frames.try_send(Frame { call: *call, body });
            }
        }
    }
}
