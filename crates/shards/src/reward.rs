//! Reward calls: the request whose signature becomes a sample's score.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use coord::retry::RetryBudget;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, HeaderValue, Method, Uri};
use jobs::{RewardHedgePlan, RewardOutcome};
use node::{PlainCall, PlainOutcome, call_plain};
use platform::headers;
use routing::Route;
use tokio::time::{self, Instant};
use wire::peer::RewardCall;

use crate::context::ShardContext;

/// Calls that may be made elsewhere while they go on, in a thousand: ten times as many as take long
/// where nothing is wrong, and little work more where all targets are slow.
const SECOND_CALLS: u64 = 100;
/// Such calls that may be made at one moment: as many as a group of samples has items.
const SECOND_CALLS_AT_ONCE: u64 = 16;

/// How many reward calls may be made at a second target while the first goes on.
#[derive(Debug)]
pub struct SecondCalls(Mutex<RetryBudget>);

impl Default for SecondCalls {
    fn default() -> Self {
        Self(Mutex::new(RetryBudget::new(SECOND_CALLS, SECOND_CALLS_AT_ONCE)))
    }
}

impl SecondCalls {
    fn first(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).record_attempt();
    }

    fn may_make(&self) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).try_retry()
    }
}

/// Makes one reward call, at a second and a third target too if it takes long; the first good answer
/// counts.
pub async fn call_reward(ctx: &ShardContext, reward: &RewardCall) -> RewardOutcome {
    let table = ctx.view.table();
    let Some(route) = table.find(&reward.host, &reward.path) else {
        log::info!(target: "jobs", request = reward.id.as_str(), config = table.version.get(); "no route for a reward call");
        return RewardOutcome::Missed;
    };
    let plan = RewardHedgePlan::new(route.goal, route.timeout);
    let begun = Instant::now();
    let deadline = begun + plan.limit();
    let mut calls = FuturesUnordered::new();
    calls.push(call_once(ctx, reward, route, deadline));
    ctx.second_calls.first();
    let mut made = 1;
    let mut worst = RewardOutcome::Missed;
    loop {
        let next = plan.next_call(made);
        // Where there is no next call, the branch that waits for this moment is off.
        let next_at = begun + next.unwrap_or_default();
        tokio::select! {
            ended = calls.next() => match ended {
                Some(end @ RewardOutcome::Scored(_)) => return end,
                Some(RewardOutcome::Missed) => {}
                Some(failed) => worst = failed,
                None => return worst,
            },
            () = time::sleep_until(next_at), if next.is_some() => {
                made += 1;
                // Calls that all failed are made again by whoever asked.
                if !calls.is_empty() && ctx.second_calls.may_make() {
                    calls.push(call_once(ctx, reward, route, deadline));
                }
            }
        }
    }
}

/// One call at one target.
async fn call_once(
    ctx: &ShardContext,
    reward: &RewardCall,
    route: &Route,
    deadline: Instant,
) -> RewardOutcome {
    let attempts = route.attempts;
    // One run a call, so that failures are counted as the targets answered them.
    let route = Route { attempts: 1, ..route.clone() };
    let Ok(uri) = reward.path.parse::<Uri>() else { return RewardOutcome::Missed };
    let mut sent = HeaderMap::new();
    let (Ok(host), Ok(id)) =
        (HeaderValue::from_str(&reward.host), HeaderValue::from_str(&reward.id))
    else {
        return RewardOutcome::Missed;
    };
    sent.insert(http::header::HOST, host);
    sent.insert(headers::REQUEST_ID, id);
    let call = PlainCall {
        route: &route,
        request_id: &reward.id,
        method: Method::POST,
        uri,
        headers: sent,
        body: Bytes::from(reward.body.clone()),
        deadline,
        is_background: true,
        // It belongs to the system, which needs neither key nor customer for it.
        customer: None,
    };
    match call_plain(&ctx.view, call).await {
        PlainOutcome::Answered(answer) if answer.status.is_success() => {
            match headers::response_info(&answer.headers).signature {
                Some(signature) => RewardOutcome::Scored(signature),
                None => RewardOutcome::Missed,
            }
        }
        PlainOutcome::Answered(answer) if answer.status.as_u16() == 500 => {
            RewardOutcome::Failed { attempts }
        }
        PlainOutcome::Quarantined => RewardOutcome::Quarantined,
        PlainOutcome::Answered(_) | PlainOutcome::NotRun(_) | PlainOutcome::Unknown(_) => {
            RewardOutcome::Missed
        }
    }
}
