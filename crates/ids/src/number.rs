//! Number ids and counters.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Why a number was refused.
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
            /// Wraps a bare number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The bare number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The number after this one; stays at the largest.
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
    /// A training step of one trainer.
    StepNumber(u64), "step number"
}
number_id! {
    /// A numbered place for one sample within a step.
    SlotIndex(u32), "slot index"
}
number_id! {
    /// A version of a pool's model weights; larger is newer, zero means none.
    ModelVersion(u64), "model version"
}
number_id! {
    /// A lease's fencing token; grows with every change of holder.
    FencingToken(u64), "fencing token"
}
number_id! {
    /// A configuration generation; only grows.
    Generation(u64), "configuration generation"
}
number_id! {
    /// One life of a process; a later life has a larger number.
    Incarnation(u64), "incarnation"
}
number_id! {
    /// The platform's version of one object; zero means absent.
    ObjectVersion(u64), "object version"
}
number_id! {
    /// A number of generated tokens.
    TokenCount(u32), "token count"
}

number_id! {
    /// A share of all jobs, kept by one box at a time.
    ShardIndex(u32), "shard index"
}

impl SlotIndex {
    /// The index for use with slices.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

impl ModelVersion {
    /// The oldest version still fresh when this one is named, `bound` versions back.
    #[must_use]
    pub const fn floor(self, bound: u32) -> Self {
        Self(self.0.saturating_sub(bound as u64))
    }
}
number_id! {
    /// When a life of a target began, in Unix milliseconds of its own clock; zero where it is not told.
    StartTime(u64), "time of birth"
}
