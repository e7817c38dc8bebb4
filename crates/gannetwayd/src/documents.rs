//! Follows the configuration and the target list, from the platform and from peers.
//!
//! Two boxes of a failure domain watch the platform; the others hear generations on heartbeats
//! and fetch from the peer that named a higher one. A fresh box reads the platform once.

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

use crate::context::{BoxContext, Documents, Place, new_request};

/// Name of the object that holds the configuration.
pub const CONFIG_NAME: &str = "fleet";
/// Boxes of a failure domain that watch the platform.
const WATCHERS: usize = 2;
/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Time between looks at whether this box should watch.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// Shortest and longest pause after a failed read, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 200..800;
/// Longest wait for a peer's documents.
const FETCH_SILENCE: Duration = Duration::from_secs(2);

/// Owns what is in force.
#[derive(Debug, Actor)]
pub struct DocumentActor {
    ctx: BoxContext,
    config: ConfigFollower<Arc<FleetConfig>>,
    targets: ConfigFollower<Arc<TargetIndex>>,
    out: watch::Sender<Documents>,
    fetching: bool,
}

/// A configuration was read.
#[derive(Debug)]
pub struct OfferConfig(pub FleetConfig);

/// A target list was read.
#[derive(Debug)]
pub struct OfferTargets(pub TargetList);

/// The platform answered for a kind.
#[derive(Debug)]
struct PlatformAnswered(ObjectKind);

/// A peer told its generations.
#[derive(Debug)]
pub struct HeardGenerations {
    /// The peer.
    pub peer: BoxId,
    /// Its configuration generation.
    pub config: Generation,
    /// Its target list's revision.
    pub targets: Generation,
}

/// A fetch from a peer ended.
#[derive(Debug)]
struct FetchEnded(Result<(Option<FleetConfig>, Option<TargetList>), CallError>);

impl DocumentActor {
    /// Starts the actor and its watches, on the control thread.
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
            log::info!(target: "config", generation:% = generation; "configuration in force");
        }
    }

    fn offer_targets(&mut self, targets: TargetList) {
        let revision = targets.revision;
        if self.targets.offer(revision, Arc::new(TargetIndex::new(targets)))
            == OfferOutcome::Applied
        {
            log::info!(target: "config", revision:% = revision; "target list in force");
        }
    }

    fn fetch_if_behind(&mut self, actor: &ActorRef<Self>) {
        let peer = self.config.fetch_from().or(self.targets.fetch_from());
        let Some(peer) = peer.filter(|_| !self.fetching).cloned() else { return };
        let address = {
            let now = self.ctx.clock.now();
            let members = self.ctx.members.borrow();
            let all = members.all(now);
            let known = all.iter().find(|(record, _)| record.id == peer);
            known
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
            // The actor is gone only when the box stops.
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

impl Message<PlatformAnswered> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: PlatformAnswered, _: &mut Context<Self, ()>) {
        match msg.0 {
            ObjectKind::Config => self.config.platform_responded(),
            _ => self.targets.platform_responded(),
        }
        self.publish();
    }
}

impl Message<HeardGenerations> for DocumentActor {
    type Reply = ();

    async fn handle(&mut self, msg: HeardGenerations, ctx: &mut Context<Self, ()>) {
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
        // Whoever is still ahead says so again on its next beat.
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
    let request = new_request(body, "", FETCH_SILENCE);
    let stream = ctx.call(&Place::At(address), request).await?;
    let answer = stream.single(FETCH_SILENCE).await?;
    let Some(response_item::Body::Documents(documents)) = answer.body else {
        return Err(CallError::Broken { why: "an answer that holds no documents" });
    };
    let config = serde_json::from_slice(&documents.config).ok();
    let targets = serde_json::from_slice(&documents.targets).ok();
    Ok((config, targets))
}

async fn follow_platform(ctx: BoxContext, actor: ActorRef<DocumentActor>, kind: ObjectKind) {
    let mut after = None;
    while !ctx.stop.is_cancelled() {
        if after.is_some() && !is_watcher(&ctx, kind) {
            time::sleep(IDLE_LOOK).await;
            continue;
        }
        let read = async {
            match after {
                None => ctx.store.list(kind).await,
                Some(after) => ctx.store.watch(kind, after, WATCH_WAIT).await,
            }
        };
        let Some(listed) = ctx.stop.run_until_cancelled(read).await else { return };
        ctx.note_platform(listed.is_ok());
        match listed {
            Ok(listed) => {
                after = Some(listed.revision);
                if offer(&actor, kind, listed).await.is_none() {
                    return;
                }
            }
            Err(error) => pause_after(kind, &error).await,
        }
    }
}

async fn pause_after(kind: ObjectKind, error: &StoreError) {
    log::debug!(target: "config", kind:% = kind, error:% = error; "platform not read");
    let pause = rand::rng().random_range(RETRY_MS);
    time::sleep(Duration::from_millis(pause)).await;
}

/// Whether this box is one of its domain's watchers of `kind`.
fn is_watcher(ctx: &BoxContext, kind: ObjectKind) -> bool {
    let now = ctx.clock.now();
    let duty = format!("watch/{kind}");
    ctx.members.borrow().ranked_in_own_domain(now, &duty, WATCHERS).contains(&ctx.me.id)
}

/// Hands a listing to the actor; `None` when the actor is gone.
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
                    log::error!(target: "config", error:% = error; "configuration cannot be read");
                }
            }
        }
    } else {
        actor.tell(OfferTargets(target_list(listed))).await.ok()?;
    }
    actor.tell(PlatformAnswered(kind)).await.ok()
}

fn target_list(listed: ListedObjects) -> TargetList {
    let records = listed.objects.into_iter().filter_map(|object| {
        serde_json::from_value::<TargetRecord>(object.value)
            .map_err(|error| log::warn!(target: "config", name:% = object.name, error:% = error; "listed target skipped"))
            .ok()
    });
    TargetList { revision: Generation::new(listed.revision), targets: records.collect() }
}
