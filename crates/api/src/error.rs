//! Refusals as callers see them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work ran, and what kind of trouble it met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is wrong; nothing ran.
    BadRequest,
    /// The key was not shown or is wrong; nothing ran.
    Forbidden,
    /// The request conflicts with what is there; nothing ran.
    Conflict,
    /// The step is not open at its keeper: open it again with the held slots; nothing ran.
    NotOpen,
    /// The work did not run; come back after the stated time.
    NotRun,
    /// The work may have run.
    Unknown,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "bad request",
            Self::Forbidden => "forbidden",
            Self::Conflict => "conflict",
            Self::NotOpen => "not open",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        })
    }
}

/// The body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct ErrorBody {
    /// Whether the work ran.
    pub kind: ErrorKind,
    /// What happened and what to do.
    pub message: String,
    /// When to come back, in milliseconds; zero means at once.
    pub retry_after_ms: u64,
}

impl ErrorBody {
    /// A refusal that needs no waiting.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after_ms: 0 }
    }
}
