//! The records that wait to be appended, in rounds that fit into a frame.

use std::time::Duration;

use joblog::RECORD_HEAD_BYTES;
use prost::Message;
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use wire::MAX_FRAME;
use wire::peer::LogRecord;

/// Size in bytes from which a round accepts no further records.
const ROUND_BYTES: usize = 2 << 20;
/// Maximum size of a round in bytes: a longer one does not fit into a frame to the other copies.
const MAX_ROUND_BYTES: usize = MAX_FRAME - (64 << 10);

/// Records to append, and the task that waits for them.
#[derive(Debug)]
pub struct LogWork {
    /// In log order; an empty list only requests a confirmation.
    pub records: Vec<LogRecord>,
    /// Notified once all copies have the records.
    pub done: Option<oneshot::Sender<()>>,
}

impl LogWork {
    fn encoded_len(&self) -> usize {
        self.records.iter().map(|record| record.encoded_len() + RECORD_HEAD_BYTES).sum()
    }
}

/// No task can add to the log any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoSender;

/// The work of a log, in order.
#[derive(Debug)]
pub struct WorkQueue {
    receiver: mpsc::Receiver<LogWork>,
    /// The next work, if it did not fit into the last round.
    postponed: Option<LogWork>,
}

impl WorkQueue {
    /// Creates a queue of what `receiver` yields.
    pub const fn new(receiver: mpsc::Receiver<LogWork>) -> Self {
        Self { receiver, postponed: None }
    }

    /// Returns the work of the next round: none after `delay` without work.
    ///
    /// # Errors
    ///
    /// Fails if all senders were dropped and no work is left.
    pub async fn next_round(&mut self, delay: Duration) -> Result<Vec<LogWork>, NoSender> {
        let first = match self.postponed.take() {
            Some(postponed) => postponed,
            None => match time::timeout(delay, self.receiver.recv()).await {
                Ok(Some(first)) => first,
                Ok(None) => return Err(NoSender),
                Err(_elapsed) => return Ok(Vec::new()),
            },
        };
        let mut bytes = first.encoded_len();
        let mut round = vec![first];
        while bytes < ROUND_BYTES
            && let Ok(more) = self.receiver.try_recv()
        {
            bytes += more.encoded_len();
            if bytes > MAX_ROUND_BYTES {
                self.postponed = Some(more);
                break;
            }
            round.push(more);
        }
        Ok(round)
    }
}
