//! Error responses.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Kind of an error, which also says whether the work ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is invalid; nothing ran.
    BadRequest,
    /// The key is missing or wrong; nothing ran.
    Forbidden,
    /// The request conflicts with the current state; nothing ran.
    Conflict,
    /// The step is not open at its keeper and must be opened again with the held slots; nothing
    /// ran.
    NotOpen,
    /// The requested object does not exist; nothing ran.
    NotFound,
    /// The work did not run and can be retried after the stated time.
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
            Self::NotFound => "not found",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        })
    }
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct ErrorBody {
    /// Kind of the error, which says whether the work ran.
    pub kind: ErrorKind,
    /// What happened and what to do.
    pub message: String,
    /// Delay before a retry, in milliseconds; zero allows an immediate retry.
    pub retry_after_ms: u64,
}

impl ErrorBody {
    /// Creates an error without a retry delay.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after_ms: 0 }
    }
}
