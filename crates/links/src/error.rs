//! Errors of calls to peers.

use wire::peer::{Refused, RefusedKind};

/// Reason why a call got no complete response.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No connection could be used, and nothing was sent.
    #[error("{address} is unreachable and nothing was sent: try another box")]
    NotSent {
        /// Address of the box, or a description of it if the address is not known.
        address: String,
    },
    /// The request was sent, but its response is incomplete or invalid; it may have run.
    #[error("the response is incomplete ({why}): the work may have run")]
    Broken {
        /// What is wrong with the response.
        why: &'static str,
    },
    /// The connection closed or became unresponsive during the call; the request may have run. The
    /// peer may still be reachable over a new connection.
    #[error("the connection was lost: the work may have run; retry only if it may be repeated")]
    LinkLost,
    /// The peer refused the request and reports whether the work ran.
    #[error("{}", .0.message)]
    Refused(Box<Refused>),
}

impl CallError {
    /// Returns whether the work is guaranteed not to have run.
    pub fn definitely_not_run(&self) -> bool {
        match self {
            Self::NotSent { .. } => true,
            Self::Broken { .. } | Self::LinkLost => false,
            Self::Refused(refused) => refused.kind() != RefusedKind::Unknown,
        }
    }
}
