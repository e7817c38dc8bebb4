//! How a request to the entry boxes failed.

use api::ErrorBody;

/// Why a request got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No entry box could be reached: nothing was sent.
    #[error("no entry box can be reached, nothing was sent: check the addresses and try again")]
    NoEntry,
    /// The answer broke off or does not match its digest: the work may have run.
    #[error("the answer broke off ({0}): the work may have run")]
    Broken(String),
    /// A box refused, and says whether the work ran.
    #[error(transparent)]
    Refused(#[from] ErrorBody),
}
