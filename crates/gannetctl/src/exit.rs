//! Errors of the tool and their exit codes.

use std::process::ExitCode;

use api::ErrorKind;
use client::ClientError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The input is invalid; nothing was sent.
    #[error("{0}")]
    BadInput(String),
    /// The request to the entry boxes failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The step has missing or duplicate samples.
    #[error(
        "the step is incomplete: {missing} samples missing, {duplicates} duplicated; pull it again"
    )]
    Incomplete {
        /// Number of slots without a sample.
        missing: usize,
        /// Number of samples received more than once.
        duplicates: usize,
    },
}

impl CliError {
    /// Returns the exit code, as documented in `gannetctl --help`.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::BadInput(_) => 2,
            Self::Incomplete { .. } => 5,
            Self::Client(ClientError::NoEntry) => 4,
            Self::Client(ClientError::Broken(_)) => 1,
            Self::Client(ClientError::Refused(refusal)) => match refusal.kind {
                ErrorKind::BadRequest | ErrorKind::Forbidden => 2,
                ErrorKind::Conflict => 3,
                ErrorKind::NotRun | ErrorKind::NotOpen | ErrorKind::NotFound => 4,
                ErrorKind::Unknown => 1,
            },
        };
        ExitCode::from(code)
    }
}
