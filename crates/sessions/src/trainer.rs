//! A simulated trainer that pulls its step in the same way as the client library.

use ids::{ModelVersion, Moment};
use ledger::{Pull, ReceivedBatch, StepReceiver, StepSpec};

use crate::events::{BoxIndex, KeeperReply, KeeperRequest};

/// Maximum number of samples per pull.
const MAX_SAMPLES: usize = 16;

/// State of the trainer.
#[derive(Debug)]
pub struct SimTrainer {
    /// Receiver of the step, with the accepted samples.
    pub receiver: StepReceiver,
    /// The box that gets its requests.
    pub current_box: BoxIndex,
    request_number: u64,
    requested_at: Option<Moment>,
    opened: bool,
    /// Number of times it reopened the step.
    pub reopened: u32,
}

/// Result of handling a reply.
#[derive(Debug)]
pub enum ReplyOutcome {
    /// No batch: the reply was late, a refusal, under an old token or not a reply to a pull.
    Nothing,
    /// A batch of samples, as accepted by the receiver; may be empty.
    Samples(ReceivedBatch),
}

impl SimTrainer {
    /// Creates a trainer without samples.
    pub fn new(spec: StepSpec) -> Self {
        Self {
            receiver: StepReceiver::new(spec),
            current_box: 0,
            request_number: 0,
            requested_at: None,
            opened: false,
            reopened: 0,
        }
    }

    /// Returns when the pending request was sent.
    pub const fn requested_at(&self) -> Option<Moment> {
        self.requested_at
    }

    /// Returns the next request and its number; replaces the pending one.
    pub fn next_request(&mut self, now: Moment) -> (u64, KeeperRequest) {
        self.request_number += 1;
        self.requested_at = Some(now);
        let request = if self.opened {
            KeeperRequest::Pull(Pull {
                held: self.receiver.held().clone(),
                seen: self.receiver.seen(),
                max_samples: MAX_SAMPLES,
            })
        } else {
            KeeperRequest::Open
        };
        (self.request_number, request)
    }

    /// Sends further requests to another box; drops the pending one.
    pub const fn switch_to(&mut self, current_box: BoxIndex) {
        self.current_box = current_box;
        self.requested_at = None;
    }

    /// Restarts: drops the pending request, keeps the accepted samples (they are on disk).
    pub const fn restart(&mut self) {
        self.opened = false;
        self.requested_at = None;
        // Replies that are still in flight no longer match.
        self.request_number += 1_000;
    }

    /// Names a newer version; replaces the pending request.
    pub fn advance(&mut self, now: Moment, version: ModelVersion) -> (u64, KeeperRequest) {
        self.receiver.advance(version);
        self.request_number += 1;
        self.requested_at = Some(now);
        (self.request_number, KeeperRequest::Advance(version))
    }

    /// Handles a reply; drops replies to earlier requests.
    pub fn handle_reply(&mut self, request_number: u64, reply: KeeperReply) -> ReplyOutcome {
        if request_number != self.request_number {
            return ReplyOutcome::Nothing;
        }
        self.requested_at = None;
        match reply {
            KeeperReply::Opened(Ok(_)) => {
                self.opened = true;
                ReplyOutcome::Nothing
            }
            KeeperReply::Pulled(Ok((batch, state))) => {
                let samples = batch.samples.iter().map(|sample| (**sample).clone()).collect();
                match self.receiver.accept(state.token, state.rule, samples) {
                    Ok(accepted) => ReplyOutcome::Samples(accepted),
                    Err(_older_token) => ReplyOutcome::Nothing,
                }
            }
            KeeperReply::Opened(Err(refusal)) | KeeperReply::Pulled(Err(refusal)) => {
                if matches!(refusal, keeping::KeeperRefusal::NotOpen { .. }) {
                    self.opened = false;
                    self.reopened += 1;
                }
                ReplyOutcome::Nothing
            }
        }
    }
}
