//! How the tool ends.

use std::process::ExitCode;

use api::ErrorKind;
use client::ClientError;

/// Why the tool did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The input cannot be used; nothing was sent.
    #[error("{0}")]
    BadInput(String),
    /// The boxes did not do it.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Samples are missing or came twice.
    #[error("the step is not whole: {missing} missing, {doubled} doubled; pull it again")]
    NotWhole {
        /// Slots without a sample.
        missing: usize,
        /// Samples that came twice.
        doubled: usize,
    },
}

impl CliError {
    /// The exit code, as documented in `gannetctl --help`.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::BadInput(_) => 2,
            Self::NotWhole { .. } => 5,
            Self::Client(ClientError::NoEntry) => 4,
            Self::Client(ClientError::Broken(_)) => 1,
            Self::Client(ClientError::Refused(refusal)) => match refusal.kind {
                ErrorKind::BadRequest | ErrorKind::Forbidden => 2,
                ErrorKind::Conflict => 3,
                ErrorKind::NotRun | ErrorKind::NotOpen => 4,
                ErrorKind::Unknown => 1,
            },
        };
        ExitCode::from(code)
    }
}
