//! What every part of the box shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coord::members::{MemberRecord, MemberTable};
use ids::{RequestId, TargetId, whole_millis};
use links::{CallError, LinkPool, ResponseSink, ResponseStream};
use objects::HttpStore;
use pools::{FleetConfig, TargetIndex, TargetRecord};
use rand::Rng;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::peer::{Request, request};

use crate::clock::ProcessClock;
use crate::conductor::RolloutBoard;
use crate::home::HomeRegistry;
use crate::keeper::KeeperRegistry;
use crate::metrics::BoxMetrics;
use crate::settings::Settings;
use crate::trace::HopTracer;

/// The configuration and target list in force.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// The targets.
    pub targets: Arc<TargetIndex>,
    /// Whether the newest generation that could be asked for has been learnt.
    pub ready: bool,
}

impl Documents {
    /// The record of one target.
    pub fn target(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.targets.find(id)
    }
}

/// Where a call goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// This box.
    Here,
    /// The box at this address.
    At(String),
}

/// A request that this box makes to itself.
#[derive(Debug)]
pub struct LocalRequest {
    /// The request.
    pub request: Request,
    /// Where its answer goes.
    pub sink: ResponseSink,
    /// Ends when the caller goes away.
    pub cancel: CancellationToken,
}

/// Shared by all parts of one box.
#[derive(Debug)]
pub struct BoxParts {
    /// The settings.
    pub settings: Settings,
    /// The box's own record.
    pub me: MemberRecord,
    /// The clock.
    pub clock: ProcessClock,
    /// Connections to peers.
    pub links: LinkPool,
    /// The platform, for control.
    pub store: HttpStore,
    /// HTTP client for control: states, orders.
    pub control_http: reqwest::Client,
    /// HTTP client for traffic: streams, plain requests, scores.
    pub traffic_http: reqwest::Client,
    /// The members as last seen.
    pub members: watch::Receiver<Arc<MemberTable>>,
    /// The documents in force.
    pub documents: watch::Receiver<Documents>,
    /// Homes of targets.
    pub homes: HomeRegistry,
    /// Keepers of steps.
    pub keepers: KeeperRegistry,
    /// Roll-outs conducted here.
    pub rollouts: RolloutBoard,
    /// Metrics.
    pub metrics: BoxMetrics,
    /// Traces.
    pub tracer: HopTracer,
    /// The runtime of the control thread.
    pub control: Handle,
    /// The runtime for traffic.
    pub traffic: Handle,
    /// Whether the platform answered when it was last asked.
    pub platform_answers: AtomicBool,
    /// Requests to this box itself.
    pub local: mpsc::UnboundedSender<LocalRequest>,
    /// Ends when a planned stop begins.
    pub leaving: CancellationToken,
    /// Ends when everything stops.
    pub stop: CancellationToken,
}

/// A handle on the box's parts.
pub type BoxContext = Arc<BoxParts>;

impl BoxParts {
    /// Sends a request to a box, this one or another.
    pub async fn call(&self, place: &Place, request: Request) -> Result<ResponseStream, CallError> {
        match place {
            Place::At(address) => self.links.call(address, request).await,
            Place::Here => {
                let (sink, stream, cancel) = ResponseStream::local();
                let sent = self.local.send(LocalRequest { request, sink, cancel });
                sent.map_err(|_closed| CallError::NotSent { address: "this box".to_owned() })?;
                Ok(stream)
            }
        }
    }

    /// Where the box with this record is reached.
    pub fn place_of(&self, record: &MemberRecord) -> Place {
        if record.id == self.me.id { Place::Here } else { Place::At(record.address.clone()) }
    }

    /// Notes whether the platform answered; says so in the log when that changes.
    pub fn note_platform(&self, answers: bool) {
        if self.platform_answers.swap(answers, Ordering::Relaxed) == answers {
            return;
        }
        if answers {
            log::info!(target: "box", "platform answers again");
        } else {
            log::warn!(target: "box", "platform does not answer");
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }
}

/// A request to a box with a fresh id and this much time left; a peer refuses one without any.
pub fn new_request(body: request::Body, traceparent: &str, time_left: Duration) -> Request {
    Request {
        request_id: new_request_id().to_string(),
        traceparent: traceparent.to_owned(),
        time_left_ms: wire_millis(time_left),
        body: Some(body),
    }
}

/// A time in milliseconds, for the wire.
pub fn wire_millis(time: Duration) -> u64 {
    whole_millis(time)
}

/// A fresh request id.
///
/// # Panics
///
/// Never: hexadecimal digits behind a letter make an id.
pub fn new_request_id() -> RequestId {
    let number: u128 = rand::rng().random();
    format!("r{number:032x}").parse().expect("hexadecimal digits make an id")
}
