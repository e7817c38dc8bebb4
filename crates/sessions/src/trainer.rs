//! A trainer that pulls its step, as the client library does.

use ids::{ModelVersion, Moment};
use ledger::{Pull, ReceivedBatch, StepReceiver, StepSpec};

use crate::events::{BoxIndex, Question, Reply};

/// Most samples of one pull.
const MOST: usize = 16;

/// The trainer's side of a session.
#[derive(Debug)]
pub struct SimTrainer {
    /// What it holds.
    pub intake: StepReceiver,
    /// The box it asks now.
    pub asks: BoxIndex,
    question: u64,
    asked_at: Option<Moment>,
    opened: bool,
    /// Times it opened the step again.
    pub reopened: u32,
}

/// What a reply brought.
#[derive(Debug)]
pub enum Brought {
    /// Nothing; it was late, refused or empty.
    Nothing,
    /// Samples, judged by the intake.
    Samples(ReceivedBatch),
}

impl SimTrainer {
    /// A trainer that holds nothing.
    pub fn new(spec: StepSpec) -> Self {
        Self {
            intake: StepReceiver::new(spec),
            asks: 0,
            question: 0,
            asked_at: None,
            opened: false,
            reopened: 0,
        }
    }

    /// When the question under way was asked.
    pub const fn asked_at(&self) -> Option<Moment> {
        self.asked_at
    }

    /// Gives up the question under way, if any, and asks the next.
    pub fn ask(&mut self, now: Moment) -> (u64, Question) {
        self.question += 1;
        self.asked_at = Some(now);
        let question = if self.opened {
            Question::Pull(Pull {
                held: self.intake.held().clone(),
                seen: self.intake.seen(),
                max_samples: MOST,
            })
        } else {
            Question::Open
        };
        (self.question, question)
    }

    /// Turns to another box.
    pub const fn turn_to(&mut self, asks: BoxIndex) {
        self.asks = asks;
        self.asked_at = None;
    }

    /// Forgets what is under way, as a restart does; what it holds is on its own disk.
    pub const fn restart(&mut self) {
        self.opened = false;
        self.asked_at = None;
        self.question += 1_000;
    }

    /// Names a newer version, in place of the question under way.
    pub fn advance(&mut self, now: Moment, version: ModelVersion) -> (u64, Question) {
        self.intake.advance(version);
        self.question += 1;
        self.asked_at = Some(now);
        (self.question, Question::Advance(version))
    }

    /// Takes a reply; one to an earlier question is late and dropped.
    pub fn reply(&mut self, question: u64, reply: Reply) -> Brought {
        if question != self.question {
            return Brought::Nothing;
        }
        self.asked_at = None;
        match reply {
            Reply::Opened(Ok(_)) => {
                self.opened = true;
                Brought::Nothing
            }
            Reply::Pulled(Ok((out, state))) => {
                let samples = out.samples.iter().map(|sample| (**sample).clone()).collect();
                match self.intake.accept(state.token, state.rule, samples) {
                    Ok(intake) => Brought::Samples(intake),
                    Err(_older_token) => Brought::Nothing,
                }
            }
            Reply::Opened(Err(refusal)) | Reply::Pulled(Err(refusal)) => {
                if matches!(refusal, keeping::KeeperRefusal::NotOpen { .. }) {
                    self.opened = false;
                    self.reopened += 1;
                }
                Brought::Nothing
            }
        }
    }
}
