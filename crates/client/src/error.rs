//! Errors of requests to the entry boxes.

use api::ErrorBody;

/// Why a request to the entry boxes failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No attempt could connect to its entry box, or no entry box is configured; nothing was sent.
    #[error("no entry box can be reached, nothing was sent: check the addresses and try again")]
    NoEntry,
    /// The response is incomplete, invalid or does not match its digest; the work may have run.
    #[error("no valid response ({0}): the work may have run")]
    Broken(String),
    /// A box refused the request; the refusal states whether the work ran.
    #[error(transparent)]
    Refused(#[from] ErrorBody),
}
