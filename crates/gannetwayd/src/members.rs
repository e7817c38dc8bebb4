//! Keeps the member table and sends heartbeats.

use std::sync::Arc;
use std::time::Duration;

use coord::members::{
    Heartbeat, Liveness, MemberRecord, MemberTable, OutgoingHeartbeat, RelayedRecord,
};
use ids::{BoxId, DomainId, Incarnation};
use kameo::prelude::*;
use objects::{ObjectKind, ObjectStore, StoredObject};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time;
use wire::heartbeat_to_wire;
use wire::peer::BoxHeartbeat;

use crate::context::BoxContext;

/// Time between looks at whether beats are due.
const TICK: Duration = Duration::from_millis(250);
/// Time between readings of the platform's list of boxes, once it has been read.
const LIST_EVERY: Duration = Duration::from_secs(30);
/// Time between tries while the list has not been read.
const LIST_RETRY: Duration = Duration::from_secs(1);

/// Owns the member table.
#[derive(Debug, Actor)]
pub struct MemberActor {
    ctx: BoxContext,
    table: MemberTable,
    out: watch::Sender<Arc<MemberTable>>,
}

/// A heartbeat came in.
#[derive(Debug)]
pub struct HeardBeat(pub Heartbeat);

/// The platform's list of boxes was read.
#[derive(Debug)]
pub struct ListedBoxes(pub Vec<MemberRecord>);

/// A planned stop begins: tell the peers.
#[derive(Debug)]
pub struct LeaveFleet;

/// Time passed.
#[derive(Debug)]
struct BeatTick;

/// A box as the platform lists it.
#[derive(Debug, Deserialize)]
struct ListedBox {
    id: BoxId,
    domain: DomainId,
    address: String,
    #[serde(default)]
    leaving: bool,
}

impl MemberActor {
    /// Starts the actor and the tasks that feed it, on the control thread.
    pub fn start(ctx: &BoxContext, out: watch::Sender<Arc<MemberTable>>) -> ActorRef<Self> {
        let _on_control = ctx.control.enter();
        let table = MemberTable::new(ctx.me.clone());
        let actor = Self::spawn(Self { ctx: Arc::clone(ctx), table, out });
        tokio::spawn(tick(Arc::clone(ctx), actor.clone()));
        tokio::spawn(read_list(Arc::clone(ctx), actor.clone()));
        actor
    }

    fn publish(&self) {
        let now = self.ctx.clock.now();
        let live = self.table.all(now).iter().filter(|(_, live)| *live == Liveness::Live).count();
        self.ctx.metrics.live_boxes.set(i64::try_from(live).unwrap_or(i64::MAX));
        self.out.send_replace(Arc::new(self.table.clone()));
    }

    fn send_beats(&mut self) {
        let now = self.ctx.clock.now();
        let (generation, revision) = {
            let documents = self.ctx.documents.borrow();
            (documents.config.generation, documents.targets.list().revision)
        };
        let due = now >= self.table.next_heartbeat_at();
        let mut beats = self.table.poll(now, generation);
        if due {
            beats.extend(self.greetings(&beats, generation));
        }
        for OutgoingHeartbeat { to, beat } in beats {
            let beat = heartbeat_to_wire(&beat, revision);
            self.send(to, beat);
        }
    }

    /// Beats to the peers named in the settings, while nobody else is known.
    fn greetings(
        &self,
        beats: &[OutgoingHeartbeat],
        generation: ids::Generation,
    ) -> Vec<OutgoingHeartbeat> {
        if !beats.is_empty() {
            return Vec::new();
        }
        let me = &self.ctx.me;
        let beat = Heartbeat {
            from: me.id.clone(),
            incarnation: me.incarnation,
            leaving: false,
            generation,
            record: Some(me.clone()),
            relayed: Vec::new(),
        };
        let peers = self.ctx.settings.peers.iter();
        peers.map(|peer| OutgoingHeartbeat { to: peer.to_string(), beat: beat.clone() }).collect()
    }

    fn send(&self, to: String, beat: BoxHeartbeat) {
        let bytes = prost::Message::encoded_len(&beat);
        self.ctx.metrics.beat_bytes.inc_by(bytes as u64);
        let ctx = Arc::clone(&self.ctx);
        self.ctx.traffic.spawn(async move {
            if let Err(error) = ctx.links.send_heartbeat(&to, beat).await {
                log::debug!(target: "members", to:% = to, error:% = error; "beat not sent");
            }
        });
    }
}

impl Message<HeardBeat> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, msg: HeardBeat, _: &mut Context<Self, ()>) {
        let from = msg.0.from.clone();
        let now = self.ctx.clock.now();
        let before = self.table.liveness(now, &from);
        self.table.receive_heartbeat(now, msg.0);
        let after = self.table.liveness(now, &from);
        if before != after {
            log::info!(target: "members", peer:% = from, liveness:? = after; "peer changed");
        }
        self.publish();
    }
}

impl Message<ListedBoxes> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, msg: ListedBoxes, _: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        for record in msg.0 {
            // The list only seeds: a box already known is judged by its own beats.
            if self.table.liveness(now, &record.id).is_none() {
                self.table.merge_relayed(now, RelayedRecord { record, age: Duration::ZERO });
            }
        }
        self.publish();
    }
}

impl Message<LeaveFleet> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, _: LeaveFleet, _: &mut Context<Self, ()>) {
        self.table.leave();
        self.send_beats();
        self.publish();
    }
}

impl Message<BeatTick> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, _: BeatTick, _: &mut Context<Self, ()>) {
        self.send_beats();
        self.publish();
    }
}

async fn tick(ctx: BoxContext, actor: ActorRef<MemberActor>) {
    let mut interval = time::interval(TICK);
    while ctx.stop.run_until_cancelled(interval.tick()).await.is_some() {
        if actor.tell(BeatTick).await.is_err() {
            return;
        }
    }
}

async fn read_list(ctx: BoxContext, actor: ActorRef<MemberActor>) {
    loop {
        let listed = ctx.store.list(ObjectKind::Box).await;
        ctx.note_platform(listed.is_ok());
        let pause = match listed {
            Ok(listed) => {
                let boxes = listed.objects.into_iter().filter_map(listed_box).collect();
                if actor.tell(ListedBoxes(boxes)).await.is_err() {
                    return;
                }
                LIST_EVERY
            }
            Err(error) => {
                log::debug!(target: "members", error:% = error; "list of boxes not read");
                LIST_RETRY
            }
        };
        if ctx.stop.run_until_cancelled(time::sleep(pause)).await.is_none() {
            return;
        }
    }
}

/// A listed box; its life is unknown, so any beat of its own counts for more.
fn listed_box(object: StoredObject) -> Option<MemberRecord> {
    let listed: ListedBox = serde_json::from_value(object.value)
        .map_err(|error| log::warn!(target: "members", name:% = object.name, error:% = error; "listed box skipped"))
        .ok()?;
    Some(MemberRecord {
        id: listed.id,
        domain: listed.domain,
        incarnation: Incarnation::default(),
        address: listed.address,
        leaving: listed.leaving,
    })
}
