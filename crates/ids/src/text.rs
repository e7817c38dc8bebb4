//! Text ids: short names checked once, when they are parsed.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest text id, in bytes; keeps heartbeats and keys in the platform small.
const MAX_ID_LEN: usize = 64;

/// Why a text id was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a {kind}: use 1 to 64 characters from a-z, A-Z, 0-9, `-`, `_` and `.`, \
     starting with a letter or digit"
)]
pub struct IdError {
    kind: &'static str,
    text: String,
}

fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts_well && text.len() <= MAX_ID_LEN && text.chars().all(allowed) {
        return Ok(());
    }
    // A refused text may be huge; quote only its start.
    let text = text.chars().take(MAX_ID_LEN).collect();
    Err(IdError { kind, text })
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check($kind, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// One entry box of the service.
    BoxId, "box id"
}
text_id! {
    /// One failure domain.
    DomainId, "failure domain id"
}
text_id! {
    /// One target: a model engine, a plain service or a scorer.
    TargetId, "target id"
}
text_id! {
    /// One plain service or scorer: a name for targets that answer alike.
    ServiceName, "service name"
}
text_id! {
    /// One rollout pool.
    PoolName, "pool name"
}
text_id! {
    /// One trainer of a pool.
    TrainerId, "trainer id"
}
text_id! {
    /// One request, the same on every hop.
    RequestId, "request id"
}

text_id! {
    /// One job: the samples of a step, asked for together.
    JobId, "job id"
}
text_id! {
    /// One item of a job, the same whenever it is asked for again.
    ItemId, "item id"
}
text_id! {
    /// One trained model.
    ModelName, "model name"
}
text_id! {
    /// One life of a target.
    InstanceId, "instance id"
}
text_id! {
    /// One route of the configuration.
    RouteName, "route name"
}
text_id! {
    /// A version of the software that a target runs.
    SoftwareVersion, "software version"
}
text_id! {
    /// One customer: whoever holds keys to the service.
    CustomerName, "customer name"
}
