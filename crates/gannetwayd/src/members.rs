//! Maintains the member table and sends heartbeats.

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

/// Interval at which due heartbeats are checked.
const TICK: Duration = Duration::from_millis(250);
/// Interval between reads of the platform's list of boxes after a success.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Delay before a failed read of the list is retried.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Owns the member table.
#[derive(Debug, Actor)]
pub struct MemberActor {
    ctx: BoxContext,
    table: MemberTable,
    out: watch::Sender<Arc<MemberTable>>,
}

/// A heartbeat was received.
#[derive(Debug)]
pub struct ReceivedHeartbeat(pub Heartbeat);

/// The platform's list of boxes was read.
#[derive(Debug)]
pub struct ListedBoxes(pub Vec<MemberRecord>);

/// Announces a planned stop to the peers.
#[derive(Debug)]
pub struct LeaveFleet;

#[derive(Debug)]
struct HeartbeatTick;

/// A box in the platform's list.
#[derive(Debug, Deserialize)]
struct ListedBox {
    id: BoxId,
    domain: DomainId,
    address: String,
    #[serde(default)]
    leaving: bool,
}

impl MemberActor {
    /// Spawns the actor and its background tasks on the control thread.
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

    fn send_heartbeats(&mut self) {
        let now = self.ctx.clock.now();
        let (generation, revision) = {
            let documents = self.ctx.documents.borrow();
            (documents.config.generation, documents.targets.list().revision)
        };
        let due = now >= self.table.next_heartbeat_at();
        let mut heartbeats = self.table.poll(now, generation);
        if due {
            heartbeats.extend(self.bootstrap_heartbeats(&heartbeats, generation));
        }
        for OutgoingHeartbeat { to, heartbeat } in heartbeats {
            let heartbeat = heartbeat_to_wire(&heartbeat, revision);
            self.send(to, heartbeat);
        }
    }

    /// Creates heartbeats for the configured peers when the table yields none.
    fn bootstrap_heartbeats(
        &self,
        heartbeats: &[OutgoingHeartbeat],
        generation: ids::Generation,
    ) -> Vec<OutgoingHeartbeat> {
        if !heartbeats.is_empty() {
            return Vec::new();
        }
        let me = &self.ctx.me;
        let heartbeat = Heartbeat {
            from: me.id.clone(),
            incarnation: me.incarnation,
            leaving: false,
            generation,
            record: Some(me.clone()),
            relayed: Vec::new(),
        };
        let peers = self.ctx.settings.peers.iter();
        peers
            .map(|peer| OutgoingHeartbeat { to: peer.to_string(), heartbeat: heartbeat.clone() })
            .collect()
    }

    fn send(&self, to: String, heartbeat: BoxHeartbeat) {
        let bytes = prost::Message::encoded_len(&heartbeat);
        self.ctx.metrics.heartbeat_bytes.inc_by(bytes as u64);
        let ctx = Arc::clone(&self.ctx);
        self.ctx.traffic.spawn(async move {
            if let Err(error) = ctx.links.send_heartbeat(&to, heartbeat).await {
                log::debug!(target: "members", to:% = to, error:% = error; "heartbeat not sent");
            }
        });
    }
}

impl Message<ReceivedHeartbeat> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedHeartbeat, _: &mut Context<Self, ()>) {
        let from = msg.0.from.clone();
        let now = self.ctx.clock.now();
        let before = self.table.liveness(now, &from);
        self.table.receive_heartbeat(now, msg.0);
        let after = self.table.liveness(now, &from);
        if before != after {
            log::info!(target: "members", peer:% = from, liveness:? = after; "peer liveness changed");
        }
        self.publish();
    }
}

impl Message<ListedBoxes> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, msg: ListedBoxes, _: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        for record in msg.0 {
            // The list only adds unknown boxes; known boxes are tracked by their heartbeats.
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
        self.send_heartbeats();
        self.publish();
    }
}

impl Message<HeartbeatTick> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, _: HeartbeatTick, _: &mut Context<Self, ()>) {
        self.send_heartbeats();
        self.publish();
    }
}

async fn tick(ctx: BoxContext, actor: ActorRef<MemberActor>) {
    let mut interval = time::interval(TICK);
    while ctx.stop.run_until_cancelled(interval.tick()).await.is_some() {
        if actor.tell(HeartbeatTick).await.is_err() {
            return;
        }
    }
}

async fn read_list(ctx: BoxContext, actor: ActorRef<MemberActor>) {
    loop {
        let listed = ctx.store.list(ObjectKind::Box).await;
        ctx.record_platform_status(listed.is_ok());
        let delay = match listed {
            Ok(listed) => {
                let boxes = listed.objects.into_iter().filter_map(listed_box).collect();
                if actor.tell(ListedBoxes(boxes)).await.is_err() {
                    return;
                }
                LIST_INTERVAL
            }
            Err(error) => {
                log::debug!(target: "members", error:% = error; "reading the list of boxes failed");
                LIST_RETRY_DELAY
            }
        };
        if ctx.stop.run_until_cancelled(time::sleep(delay)).await.is_none() {
            return;
        }
    }
}

/// Parses a listed box. Its incarnation is unknown and set to the lowest value, so any of its
/// heartbeats supersedes the record.
fn listed_box(object: StoredObject) -> Option<MemberRecord> {
    let listed: ListedBox = serde_json::from_value(object.value)
        .map_err(|error| log::warn!(target: "members", name:% = object.name, error:% = error; "invalid entry in the list of boxes skipped"))
        .ok()?;
    Some(MemberRecord {
        id: listed.id,
        domain: listed.domain,
        incarnation: Incarnation::default(),
        address: listed.address,
        leaving: listed.leaving,
    })
}
