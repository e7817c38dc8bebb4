//! State shared by all parts of a box.

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
use crate::coordinator::RolloutTable;
use crate::home::HomeRegistry;
use crate::keeper::KeeperRegistry;
use crate::metrics::BoxMetrics;
use crate::settings::Settings;
use crate::trace::HopTracer;

/// The current configuration and target list.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// The targets.
    pub targets: Arc<TargetIndex>,
    /// Whether each document was loaded, or a read of the platform showed that there is none.
    pub ready: bool,
}

impl Documents {
    /// Returns the record of a target.
    pub fn target(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.targets.find(id)
    }
}

/// Destination of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BoxLocation {
    /// This box.
    Here,
    /// The box at this address.
    At(String),
}

/// A request that this box sends to itself.
#[derive(Debug)]
pub struct LocalRequest {
    /// The request.
    pub request: Request,
    /// Receives the response.
    pub sink: ResponseSink,
    /// Cancelled when the caller drops the response.
    pub cancel: CancellationToken,
}

/// State shared by all parts of one box.
#[derive(Debug)]
pub struct BoxParts {
    /// The settings.
    pub settings: Settings,
    /// The box's own record.
    pub me: MemberRecord,
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
    /// Connections to peers.
    pub links: LinkPool,
    /// Client of the platform's object store.
    pub store: HttpStore,
    /// HTTP client for control requests to engines, such as state polls and swap orders.
    pub control_http: reqwest::Client,
    /// HTTP client for traffic, such as streams, plain requests and scores.
    pub traffic_http: reqwest::Client,
    /// The current member table.
    pub members: watch::Receiver<Arc<MemberTable>>,
    /// The current documents.
    pub documents: watch::Receiver<Documents>,
    /// Target homes on this box.
    pub homes: HomeRegistry,
    /// Step keepers on this box.
    pub keepers: KeeperRegistry,
    /// Status of the rollouts coordinated by this box.
    pub rollouts: RolloutTable,
    /// Metrics of this box.
    pub metrics: BoxMetrics,
    /// Creates trace spans.
    pub tracer: HopTracer,
    /// Runtime of the control thread.
    pub control: Handle,
    /// Runtime for traffic.
    pub traffic: Handle,
    /// Whether the last list or watch request to the platform succeeded.
    pub platform_available: AtomicBool,
    /// Queue of requests that this box sends to itself.
    pub local: mpsc::UnboundedSender<LocalRequest>,
    /// Cancelled when a planned stop begins.
    pub leaving: CancellationToken,
    /// Cancelled when all tasks must stop.
    pub stop: CancellationToken,
}

/// Shared handle of [`BoxParts`].
pub type BoxContext = Arc<BoxParts>;

impl BoxParts {
    /// Sends a request to this box or to another one.
    pub async fn call(
        &self,
        location: &BoxLocation,
        request: Request,
    ) -> Result<ResponseStream, CallError> {
        match location {
            BoxLocation::At(address) => self.links.call(address, request).await,
            BoxLocation::Here => {
                let (sink, stream, cancel) = ResponseStream::local();
                let sent = self.local.send(LocalRequest { request, sink, cancel });
                sent.map_err(|_closed| CallError::NotSent { address: "this box".to_owned() })?;
                Ok(stream)
            }
        }
    }

    /// Returns the location of the box with this record.
    pub fn location_of(&self, record: &MemberRecord) -> BoxLocation {
        if record.id == self.me.id {
            BoxLocation::Here
        } else {
            BoxLocation::At(record.address.clone())
        }
    }

    /// Records whether the platform is available, and logs changes.
    pub fn record_platform_status(&self, available: bool) {
        if self.platform_available.swap(available, Ordering::Relaxed) == available {
            return;
        }
        if available {
            log::info!(target: "box", "platform available again");
        } else {
            log::warn!(target: "box", "platform not available");
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }
}

/// Creates a request with a new id. Peers refuse requests with no time left.
pub fn new_request(body: request::Body, traceparent: &str, time_left: Duration) -> Request {
    Request {
        request_id: new_request_id().to_string(),
        traceparent: traceparent.to_owned(),
        time_left_ms: wire_millis(time_left),
        body: Some(body),
    }
}

/// Converts a duration to whole milliseconds for the wire.
pub fn wire_millis(time: Duration) -> u64 {
    whole_millis(time)
}

/// Returns a new random request id.
///
/// # Panics
///
/// Never: a letter followed by hexadecimal digits is a valid id.
pub fn new_request_id() -> RequestId {
    let number: u128 = rand::rng().random();
    format!("r{number:032x}").parse().expect("a letter and hexadecimal digits form a valid id")
}
