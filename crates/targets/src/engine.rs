//! What an engine takes and says.

use ids::{ContentDigest, FencingToken, Incarnation, ModelVersion, RequestId, TokenCount};
use serde::{Deserialize, Serialize};

/// Characters that one token takes in the stand-in's text; real engines vary.
pub const TOKEN_CHARS: usize = 4;

/// Asks for one sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the request, for cancelling.
    pub request_id: RequestId,
    /// The prompt.
    pub prompt: String,
    /// Longest answer, in tokens.
    pub max_tokens: TokenCount,
    /// Seeds the sampling.
    pub seed: u64,
}

/// One line of an engine's stream (NDJSON).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLine {
    /// Some tokens, stamped with the version that made them.
    Chunk {
        /// Position in the stream, from zero.
        index: u32,
        /// Tokens in the chunk.
        tokens: TokenCount,
        /// The stamp; engines have been seen to leave it out.
        #[serde(default)]
        version: Option<ModelVersion>,
        /// Which life of the engine made them.
        incarnation: Incarnation,
        /// The text.
        text: String,
    },
    /// The explicit end.
    End {
        /// Tokens in the whole answer.
        tokens: TokenCount,
        /// Digest of the whole text.
        digest: ContentDigest,
    },
}

/// An engine's load, as of some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a place in the batch.
    pub waiting: u32,
    /// Age of these figures, in milliseconds.
    pub age_ms: u64,
}

/// An engine's state, read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Which life of the engine answers.
    pub incarnation: Incarnation,
    /// The version it holds.
    pub version: Option<ModelVersion>,
    /// Whether it is loading another.
    pub loading: bool,
    /// Highest fencing token it has obeyed.
    pub token: FencingToken,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Its load, with a lag.
    pub load: LoadReport,
}

/// Orders an engine to load a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The version to load.
    pub version: ModelVersion,
    /// The sender's fencing token.
    pub token: FencingToken,
    /// How long the order may still take effect, in milliseconds.
    pub life_ms: u64,
}

/// An engine's definite answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// It holds the version now.
    Done,
    /// It refused; nothing changed.
    Refused {
        /// Why.
        reason: String,
    },
}
