//! Clients of engines and services against the stand-ins, with injected faults.

use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use ids::{FencingToken, Incarnation, ModelVersion, RequestId, TokenCount};
use standins::engine::{EngineFaults, EngineStandin, router as engine_router};
use standins::engine_model::EngineSettings;
use standins::plain::{PlainFaults, PlainState, router as plain_router};
use targets::{
    EngineClient, EngineLine, GenerateRequest, NOT_RUN_HEADER, OrderRequest, OrderResponse,
    PlainClient, PlainRequest, TargetError,
};
use tokio::net::TcpListener;

async fn serve(router: Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move { axum::serve(listener, router).await });
    format!("http://{address}")
}

async fn engine(settings: EngineSettings) -> (EngineStandin, EngineClient) {
    let standin = EngineStandin::start(settings, Incarnation::new(1), ModelVersion::new(1));
    let address = serve(engine_router(standin.clone())).await;
    (standin, EngineClient::new(&address, reqwest::Client::new()))
}

fn generate(id: &str) -> GenerateRequest {
    GenerateRequest {
        request_id: id.parse::<RequestId>().expect("valid id"),
        prompt: "p".to_owned(),
        max_tokens: TokenCount::new(64),
        seed: 7,
    }
}

/// Collects all lines of a response, or returns the error.
async fn lines(client: &EngineClient) -> Result<Vec<EngineLine>, TargetError> {
    let mut stream = client.generate(&generate("r1"), "").await?;
    let mut lines = Vec::new();
    loop {
        let line = stream.next().await?;
        let is_end = matches!(line, EngineLine::End { .. });
        lines.push(line);
        if is_end {
            return Ok(lines);
        }
    }
}

#[tokio::test]
async fn stream_ends_with_an_end_message() {
    let (_standin, client) = engine(EngineSettings::default()).await;
    let lines = lines(&client).await.expect("a complete stream");
    let tokens: u32 = lines
        .iter()
        .filter_map(|line| match line {
            EngineLine::Chunk { tokens, .. } => Some(tokens.get()),
            EngineLine::End { .. } => None,
        })
        .sum();
    assert!(
        matches!(lines.last(), Some(EngineLine::End { tokens: total, .. }) if total.get() == tokens)
    );
}

#[tokio::test]
async fn stream_cut_between_chunks_is_an_error() {
    let (standin, client) = engine(EngineSettings::default()).await;
    standin.set_faults(EngineFaults { cut_streams: 1, ..EngineFaults::default() });
    let error = lines(&client).await.expect_err("cut");
    assert!(!error.definitely_not_run(), "{error}");
}

#[tokio::test]
async fn leaving_engine_states_that_the_work_did_not_run() {
    let (standin, client) = engine(EngineSettings::default()).await;
    standin.set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    assert!(lines(&client).await.expect_err("refused").definitely_not_run());
}

#[tokio::test]
async fn outdated_token_is_refused_only_by_engines_with_fencing() {
    for (checks_fencing, is_refused) in [(true, true), (false, false)] {
        let load_time = Duration::ZERO;
        let settings = EngineSettings { checks_fencing, load_time, ..EngineSettings::default() };
        let (_standin, client) = engine(settings).await;
        let order = |version, token| OrderRequest {
            version: ModelVersion::new(version),
            token: FencingToken::new(token),
            life_ms: 5_000,
        };
        assert_eq!(client.order(&order(2, 5)).await, Ok(OrderResponse::Done));
        let response = client.order(&order(3, 4)).await.expect("a response");
        assert_eq!(matches!(response, OrderResponse::Refused { .. }), is_refused);
    }
}

#[tokio::test]
async fn order_with_a_lost_response_may_have_run() {
    let (standin, client) = engine(EngineSettings::default()).await;
    standin.set_faults(EngineFaults { lose_order_answers: 1, ..EngineFaults::default() });
    let order =
        OrderRequest { version: ModelVersion::new(2), token: FencingToken::new(1), life_ms: 5_000 };
    let error = client.order(&order).await.expect_err("lost");
    assert!(!error.definitely_not_run());
}

fn plain(id: &str) -> PlainRequest {
    PlainRequest {
        request_id: id.parse().expect("valid id"),
        method: "POST".to_owned(),
        path: "/order".to_owned(),
        body: "x".into(),
        timeout: Duration::from_secs(20),
    }
}

#[tokio::test]
async fn refusals_and_corrupt_responses_are_distinguished() {
    let state = PlainState::default();
    let address = serve(plain_router(state.clone())).await;
    let client = PlainClient::new(&address, reqwest::Client::new());
    assert_eq!(client.call(&plain("ok"), "").await.map(|response| response.status), Ok(200));
    state.set_faults(PlainFaults { refuse: 1, ..PlainFaults::default() });
    assert!(client.call(&plain("refused"), "").await.expect_err("refused").definitely_not_run());
    state.set_faults(PlainFaults { corrupt: 1, ..PlainFaults::default() });
    assert!(!client.call(&plain("damaged"), "").await.expect_err("damaged").definitely_not_run());
    let runs = state.counts().runs;
    assert_eq!(
        (runs.get("ok"), runs.get("refused"), runs.get("damaged")),
        (Some(&1), None, Some(&1))
    );
}

#[tokio::test]
async fn refused_connection_means_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = format!("http://{}", listener.local_addr().expect("bound"));
    drop(listener);
    let client = PlainClient::new(&address, reqwest::Client::new());
    assert_eq!(client.call(&plain("r"), "").await, Err(TargetError::NotSent));
}

/// Guards against a status above those of the protocol that counts as a response, or as a refusal.
#[tokio::test]
async fn invalid_final_status_says_nothing_about_the_work() {
    for status in [600, 700, 999] {
        let status = StatusCode::from_u16(status).expect("three digits");
        let respond = move || async move { (status, [(NOT_RUN_HEADER, "1")], "{}") };
        let address = serve(Router::new().fallback(respond)).await;
        let plain_client = PlainClient::new(&address, reqwest::Client::new());
        let engine_client = EngineClient::new(&address, reqwest::Client::new());
        let order = OrderRequest {
            version: ModelVersion::new(2),
            token: FencingToken::new(1),
            life_ms: 5_000,
        };
        let errors = [
            plain_client.call(&plain("odd"), "").await.expect_err("no response"),
            lines(&engine_client).await.expect_err("no response"),
            engine_client.state().await.expect_err("no response"),
            engine_client.order(&order).await.expect_err("no response"),
        ];
        for error in errors {
            assert!(matches!(error, TargetError::Broken(_)), "{status}: {error}");
        }
    }
}
