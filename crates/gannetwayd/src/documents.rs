//! Tracks the configuration and the target list from the platform and from peers.
//!
//! In each failure domain, only a few boxes, the watchers, watch the platform. Other boxes learn of
//! generations from heartbeats and fetch newer documents from the peer that reported them. Every
//! box reads the platform once at start.

use std::sync::Arc;
use std::time::Duration;

use coord::follower::{ConfigFollower, OfferOutcome};
use coord::members::Liveness;
use ids::{BoxId, Generation};
use kameo::prelude::*;
use links::CallError;
use objects::{ListedObjects, ObjectKind, ObjectStore, StoreError};
use pools::{FleetConfig, TargetIndex, TargetList, TargetRecord};
use rand::Rng;
use tokio::sync::watch;
use tokio::time;
use wire::peer::{FetchDocuments, request, response_item};

use crate::context::{BoxContext, BoxLocation, Documents, new_request};

/// Name of the platform object that contains the configuration.
pub const CONFIG_NAME: &str = "fleet";
/// Number of boxes per failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Maximum time that one watch request waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which a box that is not a watcher checks whether it became one.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Range of the random delay after a failed read, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..800;
/// Timeout for fetching documents from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Owns the current configuration and target list.
#[derive(Debug, Actor)]
pub struct DocumentActor {
    ctx: BoxContext,
    config: ConfigFollower<Arc<FleetConfig>>,
    targets: ConfigFollower<Arc<TargetIndex>>,
    out: watch::Sender<Documents>,
    fetching: bool,
}

/// Offers a configuration, which is applied if it is newer.
#[derive(Debug)]
pub struct OfferConfig(pub FleetConfig);

/// Offers a target list, which is applied if it is newer.
#[derive(Debug)]
pub struct OfferTargets(pub TargetList);

/// The platform responded to a read of this kind.
#[derive(Debug)]
struct PlatformResponded(ObjectKind);

/// Generations reported by a peer.
#[derive(Debug)]
pub struct PeerGenerations {
    /// The peer.
    pub peer: BoxId,
    /// Its configuration generation.
    pub config: Generation,
    /// Its target list's revision.
    pub targets: Generation,
}

/// Result of a fetch from a peer.
#[derive(Debug)]
struct FetchEnded(Result<(Option<FleetConfig>, Option<TargetList>), CallError>);

impl DocumentActor {
    /// Spawns the actor and its watch tasks on the control thread.
    pub fn start(ctx: &BoxContext, out: watch::Sender<Documents>) -> ActorRef<Self> {
        let _on_control = ctx.control.enter();
        let actor = Self::spawn(Self {
            ctx: Arc::clone(ctx),
            config: ConfigFollower::default(),
            targets: ConfigFollower::default(),
            out,
            fetching: false,
        });
        for kind in [ObjectKind::Config, ObjectKind::Target] {
            tokio::spawn(follow_platform(Arc::clone(ctx), actor.clone(), kind));
        }
        actor
    }

    fn publish(&self) {
        let generation = self.config.generation().get();
        self.ctx.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        self.out.send_replace(Documents {
            config: self.config.document().cloned().unwrap_or_default(),
            targets: self.targets.document().cloned().unwrap_or_default(),
            ready: self.config.is_ready() && self.targets.is_ready(),
        });
    }

    fn offer_config(&mut self, config: FleetConfig) {
        let generation = config.generation;
        if self.config.offer(generation, Arc::new(config)) == OfferOutcome::Applied {
            log::info!(target: "config", generation:% = generation; "configuration applied");
        }
    }

    fn offer_targets(&mut self, targets: TargetList) {
        let revision = targets.revision;
        if self.targets.offer(revision, Arc::new(TargetIndex::new(targets)))
            == OfferOutcome::Applied
        {
            log::info!(target: "config", revision:% = revision; "target list applied");
        }
    }

    fn fetch_if_behind(&mut self, actor: &ActorRef<Self>) {
        let peer = self.config.fetch_from().or(self.targets.fetch_from());
        let Some(peer) = peer.filter(|_| !self.fetching).cloned() else { return };
        let address = {
            let now = self.ctx.clock.now();
            let members = self.ctx.members.borrow();
            let all = members.all(now);
            let entry = all.iter().find(|(record, _)| record.id == peer);
            entry
                .filter(|(_, live)| *live != Liveness::Dead)
                .map(|(record, _)| record.address.clone())
        };
        let Some(address) = address else { return };
        self.fetching = true;
        let request = FetchDocuments {
            config_generation: self.config.generation().get(),
            targets_revision: self.targets.generation().get(),
        };
        let (ctx, actor) = (Arc::clone(&self.ctx), actor.clone());
        self.ctx.control.spawn(async move {
            let fetched = fetch(&ctx, address, request).await;
            // Sending fails only when the box stops.
            let _stopped = actor.tell(FetchEnded(fetched)).await;
        });
    }
}

impl Message<OfferConfig> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: OfferConfig, _: &mut Context<Self, ()>) {
        self.offer_config(msg.0);
        self.publish();
    }
}

impl Message<OfferTargets> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: OfferTargets, _: &mut Context<Self, ()>) {
        self.offer_targets(msg.0);
        self.publish();
    }
}

impl Message<PlatformResponded> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: PlatformResponded, _: &mut Context<Self, ()>) {
        match msg.0 {
            ObjectKind::Config => self.config.platform_responded(),
            _ => self.targets.platform_responded(),
        }
        self.publish();
    }
}

impl Message<PeerGenerations> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: PeerGenerations, ctx: &mut Context<Self, ()>) {
        self.config.observe_generation(msg.config, &msg.peer);
        self.targets.observe_generation(msg.targets, &msg.peer);
        self.fetch_if_behind(&ctx.actor_ref());
    }
}

impl Message<FetchEnded> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: FetchEnded, _: &mut Context<Self, ()>) {
        self.fetching = false;
        match msg.0 {
            Ok((config, targets)) => {
                if let Some(changes) = config {
                    let current = self.config.document().cloned().unwrap_or_default();
                    self.offer_config(current.with_changes(changes));
                }
                if let Some(targets) = targets {
                    self.offer_targets(targets);
                }
            }
            Err(error) => log::debug!(target: "config", error:% = error; "fetch from peer failed"),
        }
        // Peers that are still ahead report it again with their next heartbeat.
        self.config.fetch_failed();
        self.targets.fetch_failed();
        self.publish();
    }
}

async fn fetch(
    ctx: &BoxContext,
    address: String,
    body: FetchDocuments,
) -> Result<(Option<FleetConfig>, Option<TargetList>), CallError> {
    let body = request::Body::FetchDocuments(body);
    let request = new_request(body, "", FETCH_TIMEOUT);
    let stream = ctx.call(&BoxLocation::At(address), request).await?;
    let response = stream.single(FETCH_TIMEOUT).await?;
    let Some(response_item::Body::Documents(documents)) = response.body else {
        return Err(CallError::Broken { why: "response contains no documents" });
    };
    let config = serde_json::from_slice(&documents.config).ok();
    let targets = serde_json::from_slice(&documents.targets).ok();
    Ok((config, targets))
}

async fn follow_platform(ctx: BoxContext, actor: ActorRef<DocumentActor>, kind: ObjectKind) {
    let mut after = None;
    while !ctx.stop.is_cancelled() {
        if after.is_some() && !is_watcher(&ctx, kind) {
            time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let read = async {
            match after {
                None => ctx.store.list(kind).await,
                Some(after) => ctx.store.watch(kind, after, WATCH_TIMEOUT).await,
            }
        };
        let Some(listed) = ctx.stop.run_until_cancelled(read).await else { return };
        ctx.record_platform_status(listed.is_ok());
        match listed {
            Ok(listed) => {
                after = Some(listed.revision);
                if offer(&actor, kind, listed).await.is_none() {
                    return;
                }
            }
            Err(error) => pause_after_error(kind, &error).await,
        }
    }
}

async fn pause_after_error(kind: ObjectKind, error: &StoreError) {
    log::debug!(target: "config", kind:% = kind, error:% = error; "reading the platform failed");
    let delay = rand::rng().random_range(RETRY_DELAY_MS);
    time::sleep(Duration::from_millis(delay)).await;
}

/// Returns whether this box is one of its domain's watchers of `kind`.
fn is_watcher(ctx: &BoxContext, kind: ObjectKind) -> bool {
    let now = ctx.clock.now();
    let watch_key = format!("watch/{kind}");
    ctx.members
        .borrow()
        .ranked_in_own_domain(now, &watch_key, WATCHERS_PER_DOMAIN)
        .contains(&ctx.me.id)
}

/// Sends a listing to the actor; returns `None` when the actor has stopped.
async fn offer(
    actor: &ActorRef<DocumentActor>,
    kind: ObjectKind,
    listed: ListedObjects,
) -> Option<()> {
    if kind == ObjectKind::Config {
        for object in listed.objects.into_iter().filter(|object| object.name == CONFIG_NAME) {
            match serde_json::from_value(object.value) {
                Ok(config) => actor.tell(OfferConfig(config)).await.ok()?,
                Err(error) => {
                    log::error!(target: "config", error:% = error; "configuration cannot be parsed");
                }
            }
        }
    } else {
        actor.tell(OfferTargets(target_list(listed))).await.ok()?;
    }
    actor.tell(PlatformResponded(kind)).await.ok()
}

fn target_list(listed: ListedObjects) -> TargetList {
    let records = listed.objects.into_iter().filter_map(|object| {
        serde_json::from_value::<TargetRecord>(object.value)
            .map_err(|error| log::warn!(target: "config", name:% = object.name, error:% = error; "invalid entry in the list of targets skipped"))
            .ok()
    });
    TargetList { revision: Generation::new(listed.revision), targets: records.collect() }
}
