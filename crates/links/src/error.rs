//! How a call to a peer failed.

use wire::peer::{Refused, RefusedKind};

/// Why a call got no whole answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No connection: nothing was sent.
    #[error("the box at {address} cannot be reached, nothing was sent: ask another box")]
    NotSent {
        /// The box's address.
        address: String,
    },
    /// The request was sent, and the answer broke off: it may have run.
    #[error("the answer broke off ({why}): the work may have run")]
    Broken {
        /// What happened.
        why: &'static str,
    },
    /// The connection under the call closed or fell silent: it may have run. The peer itself may be
    /// well, and a new connection may reach it.
    #[error("the connection was lost: the work may have run, ask again if it may be repeated")]
    LinkLost,
    /// The peer refused, and says whether the work ran.
    #[error("{}", .0.message)]
    Refused(Box<Refused>),
}

impl CallError {
    /// Whether the work surely did not run.
    pub fn definitely_not_run(&self) -> bool {
        match self {
            Self::NotSent { .. } => true,
            Self::Broken { .. } | Self::LinkLost => false,
            Self::Refused(refused) => refused.kind() != RefusedKind::Unknown,
        }
    }
}
