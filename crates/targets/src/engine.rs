//! Requests and responses of engines.

use ids::{ContentDigest, FencingToken, Incarnation, ModelVersion, RequestId, TokenCount};
use serde::{Deserialize, Serialize};

/// Characters per token in the text of the engine stand-in; real engines vary.
pub const TOKEN_CHARS: usize = 4;

/// Request for one sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the request, used to cancel it.
    pub request_id: RequestId,
    /// Text that the engine continues.
    pub prompt: String,
    /// Maximum length of the response in tokens.
    pub max_tokens: TokenCount,
    /// Seed of the random sampling.
    pub seed: u64,
}

/// One line of an engine's response stream (NDJSON).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLine {
    /// Generated tokens, with the weight version that generated them.
    Chunk {
        /// Position in the stream, starting at zero.
        index: u32,
        /// Number of tokens in the chunk.
        tokens: TokenCount,
        /// Weight version that generated the tokens; some engines omit it.
        #[serde(default)]
        version: Option<ModelVersion>,
        /// Incarnation of the engine that generated the tokens.
        incarnation: Incarnation,
        /// Text of the tokens.
        text: String,
    },
    /// The end of the stream; a stream without it is incomplete.
    End {
        /// Number of tokens in the complete response.
        tokens: TokenCount,
        /// Digest of the complete text.
        digest: ContentDigest,
    },
}

/// Load of an engine, with its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests queued for the batch.
    pub waiting: u32,
    /// Age of the numbers in milliseconds.
    pub age_ms: u64,
}

/// Current state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Incarnation of the responding engine.
    pub incarnation: Incarnation,
    /// Weight version that the engine holds, if any.
    pub version: Option<ModelVersion>,
    /// Whether it is loading another version.
    pub loading: bool,
    /// Highest fencing token that it has accepted.
    pub token: FencingToken,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its load, which may be outdated.
    pub load: LoadReport,
}

/// Order to an engine to load a weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Weight version to load.
    pub version: ModelVersion,
    /// Fencing token of the sender.
    pub token: FencingToken,
    /// Time in milliseconds within which the order may take effect.
    pub life_ms: u64,
}

/// Final response of an engine to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// The engine now holds the version.
    Done,
    /// The engine refused the order; nothing changed.
    Refused {
        /// Reason stated by the engine.
        reason: String,
    },
}
