//! Who serves a shard, decided from the plan and from who is heard.

use std::collections::HashSet;
use std::time::Duration;

use ids::{BoxId, DomainId, ShardIndex};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ShardPlan, StorageBox};

/// Silence after which the next copy's box takes the shard over. Beats come every 250 ms; two
/// of them may be lost or late.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(850);
/// Further patience when the server's box refuses connections: its process is started again
/// within about a second, and may go on without the wait that follows a change of holder.
pub const RESTART_PATIENCE: Duration = Duration::from_millis(700);

/// Patience of a box that has just given the shard up and would rather not serve it again.
pub const LEAVING_PATIENCE: Duration = Duration::from_secs(3);

/// The shard of a trainer's jobs. All jobs of one trainer share it, so that text which one of them has left
/// over is there for the next. Trainers may share a host, and then differ by the model that they train.
pub fn shard_of_job(host: &str, model: &str, shards: u32) -> ShardIndex {
    shard_of(&format!("{} {model}", host.to_ascii_lowercase()), shards)
}

/// The shard of a key, such as a service, whose engines its server orders.
pub fn shard_of(key: &str, shards: u32) -> ShardIndex {
    let hash = xxh3_64(key.as_bytes());
    ShardIndex::new(u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0))
}

/// Whether a box should rather serve a shard or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverPreference {
    /// Neither.
    Neutral,
    /// It is to be emptied or to stop.
    Avoid,
    /// The shard's server has asked it to go on in its place.
    Requested,
}

/// What a box knows when it decides.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverView<'a> {
    /// This box.
    pub me: &'a BoxId,
    /// The plan as last read; `None` when the store holds none.
    pub plan: Option<&'a ShardPlan>,
    /// Whether this box has the plan's copy on its disk.
    pub has_copy: bool,
    /// Copies before this box's in the plan whose boxes say that their disks have lost them: nobody needs
    /// to wait for these.
    pub lost_before: usize,
    /// How long the plan's server has not said that it serves the shard.
    pub server_unresponsive_for: Duration,
    /// Whether the server's box refuses connections since it was last heard.
    pub server_restarts: bool,
    /// Place of this box among those that could begin a shard without a plan.
    pub first_rank: usize,
    /// How long this box has known that there is no plan.
    pub no_plan_for: Duration,
    /// Whether it should rather serve or not, all else being equal.
    pub preference: TakeoverPreference,
}

/// What a box should do about a shard that it does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Begin to serve it: close the own copy, form a new epoch.
    TakeOver,
    /// Nothing now.
    Wait,
}

/// Decides whether to take a shard.
pub fn decide_takeover(view: &TakeoverView<'_>) -> TakeoverDecision {
    let take = match view.plan {
        None => {
            let patience = TAKEOVER_TIMEOUT * u32::try_from(view.first_rank).unwrap_or(u32::MAX);
            view.preference != TakeoverPreference::Avoid && view.no_plan_for >= patience
        }
        Some(plan) => match plan.rank(view.me) {
            Some(rank) if view.has_copy => {
                let leaves = view.preference == TakeoverPreference::Avoid;
                let extra = if leaves { LEAVING_PATIENCE } else { Duration::ZERO };
                let restart = if view.server_restarts { RESTART_PATIENCE } else { Duration::ZERO };
                let rank = rank.saturating_sub(view.lost_before);
                let extra = if rank > 0 { extra + restart } else { extra };
                let patience = TAKEOVER_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX) + extra;
                view.preference == TakeoverPreference::Requested
                    || view.server_unresponsive_for >= patience
            }
            _ => false,
        },
    };
    if take { TakeoverDecision::TakeOver } else { TakeoverDecision::Wait }
}

/// The boxes that could begin a shard which has no plan yet, the best first, ranked alike on every box.
///
/// The first boxes of all shards are different ones, in different failure domains for as long as there are
/// any without: where chance alone ranked them, one box would begin several shards of a large deployment.
pub fn rank_initial_servers(shard: ShardIndex, boxes: &[StorageBox]) -> Vec<&StorageBox> {
    let mut firsts: Vec<&StorageBox> = Vec::new();
    let mut ranked = Vec::new();
    for number in 0..=shard.get() {
        ranked = ranked_boxes(&ShardIndex::new(number).to_string(), boxes);
        // All domains have had their turn alike when there is none with fewer firsts.
        let firsts_in =
            |copy: &StorageBox| firsts.iter().filter(|first| first.domain == copy.domain).count();
        let free = |copy: &&StorageBox| firsts.iter().all(|first| first.box_id != copy.box_id);
        let candidates = ranked.iter().enumerate().filter(|(_, copy)| free(copy));
        let Some((at, _)) = candidates.min_by_key(|(at, copy)| (firsts_in(copy), *at)) else {
            // More shards than boxes: chance alone.
            continue;
        };
        let first = ranked.remove(at);
        ranked.insert(0, first);
        firsts.push(first);
    }
    ranked
}

fn ranked_boxes<'a>(key: &str, boxes: &'a [StorageBox]) -> Vec<&'a StorageBox> {
    let ids = boxes.iter().map(|copy| &copy.box_id);
    let ranked = coord::rendezvous::ranked(key, ids, boxes.len()).into_iter();
    ranked.filter_map(|box_id| boxes.iter().find(|copy| copy.box_id == *box_id)).collect()
}

/// The boxes for the other copies of a shard, ranked alike on every box: the first in a failure domain other than
/// `domain`, further ones in `domain` itself where it has more boxes, else in domains of their own where there are
/// enough. `None` when there are too few.
///
/// So the copies survive the loss of any domain, and of as many disks as there are partners. A copy in a third domain
/// would survive no loss more that is to be borne, and each text would cross to it once more.
pub fn choose_partners(
    shard: ShardIndex,
    domain: &DomainId,
    alive: &[StorageBox],
    count: usize,
) -> Option<Vec<StorageBox>> {
    let mut left = ranked_boxes(&shard.to_string(), alive);
    let mut chosen: Vec<StorageBox> = Vec::new();
    while chosen.len() < count {
        let used = |copy: &StorageBox| {
            copy.domain == *domain || chosen.iter().any(|other| other.domain == copy.domain)
        };
        let here = left.iter().position(|copy| copy.domain == *domain);
        let here = here.filter(|_| !chosen.is_empty());
        let elsewhere = || left.iter().position(|copy| !used(copy));
        let at = here.or_else(elsewhere).or((!left.is_empty()).then_some(0))?;
        chosen.push(left.remove(at).clone());
    }
    Some(chosen)
}

/// As [`choose_partners`], without the boxes in `failing` and their failure domains, unless the
/// copies would lie in fewer domains: a cut takes all boxes of a domain, and those not heard to
/// fail yet are next.
pub fn choose_healthy_partners(
    shard: ShardIndex,
    domain: &DomainId,
    alive: &[StorageBox],
    failing: &[BoxId],
    count: usize,
) -> Option<Vec<StorageBox>> {
    let harmed: HashSet<&DomainId> = alive
        .iter()
        .filter(|copy| failing.contains(&copy.box_id))
        .map(|copy| &copy.domain)
        .collect();
    let sound = alive.iter().filter(|copy| !harmed.contains(&copy.domain));
    let sound: Vec<StorageBox> = sound.cloned().collect();
    let any = choose_partners(shard, domain, alive, count)?;
    let spread = |copies: &[StorageBox]| {
        let domains: HashSet<&DomainId> =
            copies.iter().map(|copy| &copy.domain).chain([domain]).collect();
        domains.len()
    };
    let sound = choose_partners(shard, domain, &sound, count);
    Some(sound.filter(|copies| spread(copies) >= spread(&any)).unwrap_or(any))
}
