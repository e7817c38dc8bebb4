//! Text IDs: short names that are validated once, when parsed.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a text ID, in bytes; keeps heartbeats and platform keys small.
const MAX_ID_LEN: usize = 64;

/// A text is not a valid ID of its kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a {kind}: use 1 to 64 characters from a-z, A-Z, 0-9, `-`, `_` and `.`, \
     starting with a letter or digit"
)]
pub struct IdError {
    kind: &'static str,
    text: String,
}

fn validate(kind: &'static str, text: &str) -> Result<(), IdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if valid_start && text.len() <= MAX_ID_LEN && text.chars().all(allowed) {
        return Ok(());
    }
    // The invalid text may be very long, so the error contains only its start.
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
            /// Returns the ID as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate($kind, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
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
    /// ID of a box of the service.
    BoxId, "box id"
}
text_id! {
    /// ID of a failure domain.
    DomainId, "failure domain id"
}
text_id! {
    /// ID of a region, a group of failure domains.
    RegionId, "region id"
}
text_id! {
    /// ID of a target: a model engine, a plain service or a scorer.
    TargetId, "target id"
}
text_id! {
    /// Name of a plain service or scorer, shared by its interchangeable targets.
    ServiceName, "service name"
}
text_id! {
    /// Name of a rollout pool.
    PoolName, "pool name"
}
text_id! {
    /// ID of a trainer of a pool.
    TrainerId, "trainer id"
}
text_id! {
    /// ID of a request, the same on every hop.
    RequestId, "request id"
}

text_id! {
    /// ID of a job, which requests the samples of one step together.
    JobId, "job id"
}
text_id! {
    /// ID of an item of a job; stays the same when the item is requested again.
    ItemId, "item id"
}
text_id! {
    /// Name of a trained model.
    ModelName, "model name"
}
text_id! {
    /// ID of a target instance; see [`TargetIncarnation`](crate::TargetIncarnation).
    InstanceId, "instance id"
}
text_id! {
    /// Name of a route in the configuration.
    RouteName, "route name"
}
text_id! {
    /// Version of the software that a target runs.
    SoftwareVersion, "software version"
}
text_id! {
    /// Name of a customer, who holds keys to the service.
    CustomerName, "customer name"
}
