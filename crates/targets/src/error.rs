//! Errors of calls to targets.

/// Why a call to a target failed, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// The target is unreachable; nothing was sent.
    #[error("the target cannot be reached, nothing was sent: use another target")]
    NotSent,
    /// The target refused the work before running it; contains its message.
    #[error("the target refused before running: {0}")]
    Refused(String),
    /// The request was sent but no complete response was received; the work may have run.
    #[error("the target's response broke off ({0}): the work may have run")]
    Broken(String),
}

impl TargetError {
    /// Whether the work is guaranteed not to have run.
    pub const fn definitely_not_run(&self) -> bool {
        matches!(self, Self::NotSent | Self::Refused(_))
    }
}

impl From<reqwest::Error> for TargetError {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() {
            return Self::NotSent;
        }
        Self::Broken(error.without_url().to_string())
    }
}
