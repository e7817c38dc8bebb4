//! Protocols of the targets: model engines, plain services and scorers.
//!
//! The types are what goes over the wire; the clients speak it by HTTP. A client's error says
//! whether the work surely did not run, and a stream without its explicit end is an error.

mod engine;
mod engine_client;
mod error;
mod plain;

pub use engine::{
    EngineLine, EngineState, GenerateRequest, LoadReport, OrderRequest, OrderResponse, TOKEN_CHARS,
};
pub use engine_client::{EngineClient, EngineStream};
pub use error::TargetError;
pub use plain::{PlainClient, PlainRequest, PlainResponse, ScoreRequest, ScoreResponse};

/// Header that carries the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the trace context (W3C).
pub const TRACEPARENT_HEADER: &str = "traceparent";
/// Header of a plain answer that carries the digest of its body.
pub const DIGEST_HEADER: &str = "x-body-digest";
/// Header with which a target states that it refused before running.
pub const NOT_RUN_HEADER: &str = "x-work-not-run";
