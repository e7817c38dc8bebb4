//! An answer on its way: the sending and the receiving end.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::ResponseChecksum;
use wire::peer::frame::Body;
use wire::peer::{Cancel, End, Frame, Refused, ResponseItem};

use crate::CallError;
use crate::pool::OpenCalls;

/// What the end of an answer states beside its tally.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseEnd {
    /// Tokens the engine stated, for engine streams.
    pub tokens: u32,
    /// Digest of the text that the engine stated, for engine streams.
    pub text_digest: u64,
}

/// Sends one answer.
#[derive(Debug)]
pub struct ResponseSink {
    call: u64,
    frames: mpsc::Sender<Frame>,
    tally: ResponseChecksum,
}

impl ResponseSink {
    pub(crate) fn new(call: u64, frames: mpsc::Sender<Frame>) -> Self {
        Self { call, frames, tally: ResponseChecksum::default() }
    }

    /// Sends an item; `false` when the connection is gone.
    pub async fn item(&mut self, item: ResponseItem) -> bool {
        self.tally.count(&item);
        self.send(Body::Item(item)).await
    }

    /// Sends the explicit end.
    pub async fn end(self, end: ResponseEnd) {
        let tallied = self.tally.end();
        let end = End { tokens: end.tokens, text_digest: end.text_digest, ..tallied };
        self.send(Body::End(end)).await;
    }

    /// Sends a refusal in place of an end.
    pub async fn refuse(self, refused: Refused) {
        self.send(Body::Refused(refused)).await;
    }

    async fn send(&self, body: Body) -> bool {
        self.frames.send(Frame { call: self.call, body: Some(body) }).await.is_ok()
    }
}

/// Items of a local answer that wait for their reader.
const LOCAL_QUEUE: usize = 64;

/// Where the word goes that the caller went away.
#[derive(Debug)]
enum CancelPath {
    Link { call: u64, frames: mpsc::Sender<Frame>, calls: OpenCalls },
    Local(CancellationToken),
}

/// Receives one answer; dropping it before the end cancels the call.
#[derive(Debug)]
pub struct ResponseStream {
    bodies: mpsc::Receiver<Frame>,
    cancel: CancelPath,
    tally: ResponseChecksum,
    end: Option<ResponseEnd>,
    closed: bool,
}

impl ResponseStream {
    pub(crate) fn new(
        call: u64,
        bodies: mpsc::Receiver<Frame>,
        frames: mpsc::Sender<Frame>,
        calls: OpenCalls,
    ) -> Self {
        Self::with_cancel(bodies, CancelPath::Link { call, frames, calls })
    }

    /// Both ends of an answer within one box; the token ends when the stream is dropped.
    pub fn local() -> (ResponseSink, Self, CancellationToken) {
        let (frames, bodies) = mpsc::channel(LOCAL_QUEUE);
        let token = CancellationToken::new();
        let stream = Self::with_cancel(bodies, CancelPath::Local(token.clone()));
        (ResponseSink::new(0, frames), stream, token)
    }

    fn with_cancel(bodies: mpsc::Receiver<Frame>, cancel: CancelPath) -> Self {
        Self { bodies, cancel, tally: ResponseChecksum::default(), end: None, closed: false }
    }

    /// The next item, or `None` after the checked end; `silence` is the longest wait for it.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<ResponseItem>, CallError> {
        if self.closed {
            return Ok(None);
        }
        let body = match time::timeout(silence, self.bodies.recv()).await {
            Ok(Some(frame)) => frame.body,
            Ok(None) => {
                return Err(self.close(CallError::LinkLost));
            }
            Err(_elapsed) => return Err(CallError::Broken { why: "silence" }),
        };
        match body {
            Some(Body::Item(item)) => {
                self.tally.count(&item);
                Ok(Some(item))
            }
            Some(Body::End(end)) => {
                self.closed = true;
                if self.tally.check(&end).is_err() {
                    return Err(CallError::Broken { why: "the end does not match the items" });
                }
                self.end = Some(ResponseEnd { tokens: end.tokens, text_digest: end.text_digest });
                Ok(None)
            }
            Some(Body::Refused(refused)) => Err(self.close(CallError::Refused(Box::new(refused)))),
            _ => Err(self.close(CallError::Broken { why: "a frame that is no answer" })),
        }
    }

    /// What the checked end stated; `None` before it came.
    pub const fn end(&self) -> Option<ResponseEnd> {
        self.end
    }

    /// The only item of an answer that has exactly one.
    pub async fn single(mut self, silence: Duration) -> Result<ResponseItem, CallError> {
        let first = self.next(silence).await?;
        let Some(item) = first else {
            return Err(CallError::Broken { why: "an answer without items" });
        };
        match self.next(silence).await? {
            None => Ok(item),
            Some(_) => Err(CallError::Broken { why: "an answer with too many items" }),
        }
    }

    fn close(&mut self, error: CallError) -> CallError {
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
            CancelPath::Local(token) => token.cancel(),
            CancelPath::Link { call, frames, calls } => {
                calls.remove(*call);
                let why = "the caller went away".to_owned();
                let body = Some(Body::Cancel(Cancel { why }));
                // A full or closed connection needs no cancel: the peer notices by itself.
                let _unsent = frames.try_send(Frame { call: *call, body });
            }
        }
    }
}
