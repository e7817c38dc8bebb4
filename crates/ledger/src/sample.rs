//! A finished sample and the weight versions that made it.

use ids::{ModelVersion, SlotIndex, TargetId, TokenCount};
use serde::{Deserialize, Serialize};

/// A run of tokens made by one version, in order of generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// The version, as stamped by the engine.
    pub version: ModelVersion,
    /// Tokens made by it.
    pub tokens: TokenCount,
}

/// One finished sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The slot it fills.
    pub slot: SlotIndex,
    /// Versions that made it, oldest token first; never empty.
    pub spans: Vec<VersionSpan>,
    /// The generated text.
    pub text: String,
    /// The scorer's judgement; `None` when the pool names no scorer.
    pub score: Option<f64>,
    /// The engine that made it.
    pub engine: TargetId,
}

impl Sample {
    /// The oldest version in it; decides its staleness.
    pub fn oldest(&self) -> ModelVersion {
        self.spans.iter().map(|span| span.version).min().unwrap_or_default()
    }

    /// The newest version in it.
    pub fn newest(&self) -> ModelVersion {
        self.spans.iter().map(|span| span.version).max().unwrap_or_default()
    }

    /// Tokens in it.
    pub fn tokens(&self) -> TokenCount {
        TokenCount::new(self.spans.iter().map(|span| span.tokens.get()).sum())
    }
}
