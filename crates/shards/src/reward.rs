//! Reward calls: requests whose response signature becomes a sample's score.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use coord::retry::RetryBudget;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, HeaderValue, Method, Uri};
use jobs::{RewardHedgePlan, RewardOutcome};
use node::{ParentRequest, PlainCall, PlainOutcome, call_plain};
use platform::headers;
use routing::Route;
use tokio::time::{self, Instant};
use wire::peer::RewardCall;

use crate::context::ShardContext;

/// Hedged calls per thousand calls. Allows for several times the normal share of slow calls, but
/// adds little load if all targets are slow.
const HEDGES_PER_THOUSAND: u64 = 100;
/// Maximum burst of hedged calls: the number of items in a group of samples.
const MAX_HEDGE_BURST: u64 = 16;

/// Limits the rate of hedged reward calls.
#[derive(Debug)]
pub struct HedgeLimiter(Mutex<RetryBudget>);

impl Default for HedgeLimiter {
    fn default() -> Self {
        Self(Mutex::new(RetryBudget::new(HEDGES_PER_THOUSAND, MAX_HEDGE_BURST)))
    }
}

impl HedgeLimiter {
    fn record_call(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).record_attempt();
    }

    fn try_hedge(&self) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).try_retry()
    }
}

/// Makes one reward call, hedged at a second and a third target if it takes long. The first
/// successful response counts.
///
/// The restrictions of the sample's request, its `parent`, apply to every call.
pub async fn call_reward(
    ctx: &ShardContext,
    reward: &RewardCall,
    parent: ParentRequest<'_>,
) -> RewardOutcome {
    let table = ctx.view.table();
    let Some(route) = table.find(&reward.host, &reward.path) else {
        log::info!(target: "jobs", request = reward.id.as_str(), config = table.version.get(); "no route for a reward call");
        return RewardOutcome::Missed;
    };
    let plan = RewardHedgePlan::new(route.goal, route.timeout);
    let started = Instant::now();
    let deadline = started + plan.limit();
    let mut calls = FuturesUnordered::new();
    calls.push(call_once(ctx, reward, parent, route, deadline));
    ctx.hedge_limiter.record_call();
    let mut made = 1;
    let mut worst = RewardOutcome::Missed;
    loop {
        let next = plan.next_call(made);
        // Without a next call the branch that uses this time is disabled.
        let next_at = started + next.unwrap_or_default();
        tokio::select! {
            ended = calls.next() => match ended {
                Some(end @ RewardOutcome::Scored(_)) => return end,
                Some(RewardOutcome::Missed) => {}
                Some(failed) => worst = failed,
                None => return worst,
            },
            () = time::sleep_until(next_at), if next.is_some() => {
                made += 1;
                // If all calls have failed, the caller decides whether to retry.
                if !calls.is_empty() && ctx.hedge_limiter.try_hedge() {
                    calls.push(call_once(ctx, reward, parent, route, deadline));
                }
            }
        }
    }
}

/// Makes one call at one target.
async fn call_once(
    ctx: &ShardContext,
    reward: &RewardCall,
    parent: ParentRequest<'_>,
    route: &Route,
    deadline: Instant,
) -> RewardOutcome {
    let attempts = route.attempts;
    // Each call makes one attempt, so that every failure is counted.
    let route = Route { attempts: 1, ..route.clone() };
    let Ok(uri) = reward.path.parse::<Uri>() else { return RewardOutcome::Missed };
    let mut header_map = HeaderMap::new();
    let (Ok(host), Ok(id)) =
        (HeaderValue::from_str(&reward.host), HeaderValue::from_str(&reward.id))
    else {
        return RewardOutcome::Missed;
    };
    header_map.insert(http::header::HOST, host);
    header_map.insert(headers::REQUEST_ID, id);
    let call = PlainCall {
        route: &route,
        request_id: &reward.id,
        method: Method::POST,
        uri,
        headers: header_map,
        body: Bytes::from(reward.body.clone()),
        deadline,
        is_owed: true,
        // An internal call: it needs neither a key nor a customer.
        customer: None,
        parent: Some(parent),
    };
    match call_plain(&ctx.view, call).await {
        PlainOutcome::Answered(response) if response.status.is_success() => {
            match headers::response_info(&response.headers).signature {
                Some(signature) => RewardOutcome::Scored(signature),
                None => RewardOutcome::Missed,
            }
        }
        PlainOutcome::Answered(response) if response.status.as_u16() == 500 => {
            RewardOutcome::Failed { attempts }
        }
        PlainOutcome::Delayed(delay) => RewardOutcome::Delayed(delay),
        PlainOutcome::NotRun { retry_after: Some(delay), .. } => {
            // Without the delay, the item would ask for another permit right away.
            time::sleep_until(deadline.min(Instant::now() + delay)).await;
            RewardOutcome::Missed
        }
        PlainOutcome::Answered(_)
        | PlainOutcome::NotRun { .. }
        | PlainOutcome::Quarantined
        | PlainOutcome::Unknown(_) => RewardOutcome::Missed,
    }
}
