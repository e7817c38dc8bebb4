//! Number IDs and counters.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A text is not a valid number of its kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a {kind}: write a whole number in range")]
pub struct NumberError {
    kind: &'static str,
    text: String,
}

impl NumberError {
    pub(crate) fn digest(text: &str) -> Self {
        Self { kind: "digest in hexadecimal", text: text.chars().take(32).collect() }
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next number; saturates at the maximum.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, NumberError> {
                text.parse().map(Self).map_err(|_parse| NumberError {
                    kind: $kind,
                    text: text.chars().take(32).collect(),
                })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_id! {
    /// Number of a training step of one trainer.
    StepNumber(u64), "step number"
}
number_id! {
    /// Index of a slot, which holds one sample of a step.
    SlotIndex(u32), "slot index"
}
number_id! {
    /// Version of the model weights of a pool. Newer versions are larger; zero means none.
    ModelVersion(u64), "model version"
}
number_id! {
    /// Fencing token of a lease; increases with every change of holder.
    FencingToken(u64), "fencing token"
}
number_id! {
    /// Generation of the configuration; never decreases.
    Generation(u64), "configuration generation"
}
number_id! {
    /// Incarnation of a process; increases with every restart.
    Incarnation(u64), "incarnation"
}
number_id! {
    /// Version that the platform assigns to an object; zero means absent.
    ObjectVersion(u64), "object version"
}
number_id! {
    /// Number of generated tokens.
    TokenCount(u32), "token count"
}

number_id! {
    /// Index of a shard: a part of all jobs, served by one box at a time.
    ShardIndex(u32), "shard index"
}

impl SlotIndex {
    /// Returns the index as `usize`.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

impl ModelVersion {
    /// Returns the oldest version within a staleness bound of `bound` versions when this version is
    /// named.
    #[must_use]
    pub const fn floor(self, bound: u32) -> Self {
        Self(self.0.saturating_sub(bound as u64))
    }
}
number_id! {
    /// Start time of an incarnation of a target, in Unix milliseconds of its own clock; zero if
    /// unknown.
    StartTime(u64), "start time"
}
number_id! {
    /// A transfer rate in bytes per second.
    ByteRate(u64), "rate in bytes per second"
}
number_id! {
    /// Priority of requests; zero is the highest.
    Priority(u8), "priority"
}
