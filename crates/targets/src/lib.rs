//! HTTP protocols of the targets: model engines, plain services and scorers.
//!
//! Defines the message types and the clients. A client's error says whether the work definitely did
//! not run. A stream that stops without its end message is an error.

mod engine;
mod engine_client;
mod error;
mod final_status;
mod plain;

pub use engine::{
    EngineLine, EngineState, GenerateRequest, LoadReport, OrderRequest, OrderResponse, TOKEN_CHARS,
};
pub use engine_client::{EngineClient, EngineStream};
pub use error::TargetError;
pub use plain::{PlainClient, PlainRequest, PlainResponse, ScoreRequest, ScoreResponse};

/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";
/// Header of a plain response with the digest of its body.
pub const DIGEST_HEADER: &str = "x-body-digest";
/// Header by which a target states that it refused a request before running it.
pub const NOT_RUN_HEADER: &str = "x-work-not-run";
