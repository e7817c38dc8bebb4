//! Takeover decisions and partner selection, based on the plan and on which boxes respond.

use std::collections::HashSet;
use std::time::Duration;

use ids::{BoxId, DomainId, ShardIndex};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ShardPlan, StorageBox};

/// Time without a heartbeat of the server after which the box with the next copy takes over.
/// Heartbeats are sent every 250 ms; two of them may be lost or late.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(850);
/// Additional timeout when the server's box refuses connections. Its process is restarted within
/// about a second, and can resume without the wait that follows a change of server.
pub const RESTART_GRACE: Duration = Duration::from_millis(700);

/// Additional timeout for a box that is leaving, such as one that has just handed the shard over.
pub const LEAVING_DELAY: Duration = Duration::from_secs(3);

/// Returns the shard of a trainer's jobs, identified by its host and the model that it trains.
///
/// All jobs of a trainer are in one shard, so that a job can use text left over by an earlier one.
pub fn shard_of_job(host: &str, model: &str, shards: u32) -> ShardIndex {
    shard_of(&format!("{} {model}", host.to_ascii_lowercase()), shards)
}

/// Returns the shard of a key, such as a service whose engines the shard's server orders.
pub fn shard_of(key: &str, shards: u32) -> ShardIndex {
    let hash = xxh3_64(key.as_bytes());
    ShardIndex::new(u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0))
}

/// Preference of a box for serving a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverPreference {
    /// No preference.
    Neutral,
    /// The box is being drained or stopped.
    Avoid,
    /// The shard's server has requested that this box take over.
    Requested,
}

/// Input of a takeover decision.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverView<'a> {
    /// This box.
    pub me: &'a BoxId,
    /// The plan as last read; `None` when the store holds none.
    pub plan: Option<&'a ShardPlan>,
    /// Whether this box has the plan's copy on its disk.
    pub has_copy: bool,
    /// Whether this box lacks sealed segments of the plan. It waits longer, because it has to fetch
    /// them before it can serve.
    pub lacks_segments: bool,
    /// Number of copies ahead of this box's in the plan that their boxes report as lost. The
    /// takeover does not wait for these.
    pub lost_before: usize,
    /// Time since the plan's server last reported that it serves the shard.
    pub server_unresponsive_for: Duration,
    /// Whether the server's box has refused connections since its last heartbeat.
    pub server_restarts: bool,
    /// Rank of this box among those that may start a shard without a plan.
    pub first_rank: usize,
    /// Time since this box learned that there is no plan.
    pub no_plan_for: Duration,
    /// This box's preference for serving the shard.
    pub preference: TakeoverPreference,
}

/// Decision of a box about a shard that it does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Take over: close the local copy and start a new epoch.
    TakeOver,
    /// Do nothing yet.
    Wait,
}

/// Decides whether a box takes over a shard.
pub fn decide_takeover(view: &TakeoverView<'_>) -> TakeoverDecision {
    let take_over = match view.plan {
        None => {
            let timeout = TAKEOVER_TIMEOUT * u32::try_from(view.first_rank).unwrap_or(u32::MAX);
            view.preference != TakeoverPreference::Avoid && view.no_plan_for >= timeout
        }
        Some(plan) => match plan.rank(view.me) {
            Some(rank) if view.has_copy => {
                let leaving = view.preference == TakeoverPreference::Avoid;
                let extra = if leaving { LEAVING_DELAY } else { Duration::ZERO };
                let restart = if view.server_restarts { RESTART_GRACE } else { Duration::ZERO };
                let rank = rank.saturating_sub(view.lost_before);
                let extra = if rank > 0 { extra + restart } else { extra };
                let fetch = if view.lacks_segments { TAKEOVER_TIMEOUT } else { Duration::ZERO };
                let extra = extra + fetch;
                let timeout = TAKEOVER_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX) + extra;
                view.preference == TakeoverPreference::Requested
                    || view.server_unresponsive_for >= timeout
            }
            _ => false,
        },
    };
    if take_over { TakeoverDecision::TakeOver } else { TakeoverDecision::Wait }
}

/// Ranks the boxes that may start a shard without a plan, best first, the same on every box.
///
/// Each shard has a different first box, spread evenly over the failure domains. Ranking by hash
/// alone would let one box start several shards.
pub fn rank_initial_servers(shard: ShardIndex, boxes: &[StorageBox]) -> Vec<&StorageBox> {
    let mut initial_servers: Vec<&StorageBox> = Vec::new();
    let mut ranked = Vec::new();
    for number in 0..=shard.get() {
        ranked = ranked_boxes(&ShardIndex::new(number).to_string(), boxes);
        // Prefers the domain with the fewest first boxes so far.
        let servers_in_domain = |copy: &StorageBox| {
            initial_servers.iter().filter(|first| first.domain == copy.domain).count()
        };
        let free =
            |copy: &&StorageBox| initial_servers.iter().all(|first| first.box_id != copy.box_id);
        let candidates = ranked.iter().enumerate().filter(|(_, copy)| free(copy));
        let Some((index, _)) =
            candidates.min_by_key(|(index, copy)| (servers_in_domain(copy), *index))
        else {
            // More shards than boxes: rank by hash alone.
            continue;
        };
        let first = ranked.remove(index);
        ranked.insert(0, first);
        initial_servers.push(first);
    }
    ranked
}

fn ranked_boxes<'a>(key: &str, boxes: &'a [StorageBox]) -> Vec<&'a StorageBox> {
    let ids = boxes.iter().map(|copy| &copy.box_id);
    let ranked = coord::rendezvous::ranked(key, ids, boxes.len()).into_iter();
    ranked.filter_map(|box_id| boxes.iter().find(|copy| copy.box_id == *box_id)).collect()
}

/// Chooses the boxes for the other copies of a shard, the same on every box. Returns `None` if
/// there are too few boxes.
///
/// The first partner is in a failure domain other than `domain`. Further partners are in `domain`
/// itself if it has more boxes, otherwise in separate domains if there are enough. The copies
/// survive the loss of any one domain, and of as many disks as there are partners. A copy in a
/// third domain is avoided because it adds traffic between domains.
pub fn choose_partners(
    shard: ShardIndex,
    domain: &DomainId,
    alive: &[StorageBox],
    count: usize,
) -> Option<Vec<StorageBox>> {
    let mut remaining = ranked_boxes(&shard.to_string(), alive);
    let mut chosen: Vec<StorageBox> = Vec::new();
    while chosen.len() < count {
        let domain_used = |copy: &StorageBox| {
            copy.domain == *domain || chosen.iter().any(|other| other.domain == copy.domain)
        };
        let local = remaining.iter().position(|copy| copy.domain == *domain);
        let local = local.filter(|_| !chosen.is_empty());
        let remote = || remaining.iter().position(|copy| !domain_used(copy));
        let index = local.or_else(remote).or((!remaining.is_empty()).then_some(0))?;
        chosen.push(remaining.remove(index).clone());
    }
    Some(chosen)
}

/// Like [`choose_partners`], but avoids the failure domains of the boxes in `failing`, unless the
/// copies would then be in fewer domains.
///
/// A network partition affects all boxes of a domain, so boxes of that domain which still respond
/// are expected to fail too.
pub fn choose_healthy_partners(
    shard: ShardIndex,
    domain: &DomainId,
    alive: &[StorageBox],
    failing: &[BoxId],
    count: usize,
) -> Option<Vec<StorageBox>> {
    let failing_domains: HashSet<&DomainId> = alive
        .iter()
        .filter(|copy| failing.contains(&copy.box_id))
        .map(|copy| &copy.domain)
        .collect();
    let healthy = alive.iter().filter(|copy| !failing_domains.contains(&copy.domain));
    let healthy: Vec<StorageBox> = healthy.cloned().collect();
    let any = choose_partners(shard, domain, alive, count)?;
    let domain_count = |copies: &[StorageBox]| {
        let domains: HashSet<&DomainId> =
            copies.iter().map(|copy| &copy.domain).chain([domain]).collect();
        domains.len()
    };
    let healthy = choose_partners(shard, domain, &healthy, count);
    Some(healthy.filter(|copies| domain_count(copies) >= domain_count(&any)).unwrap_or(any))
}
