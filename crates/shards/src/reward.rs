//! Reward calls: the request whose signature becomes a sample's score.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use jobs::RewardEnd;
use node::{PlainCall, PlainEnd, call_plain};
use platform::headers;
use routing::Route;
use tokio::time::Instant;
use wire::peer::RewardCall;

use crate::context::ShardContext;

/// Longest time for one reward call; it may be repeated, so a slow target is left early.
const REWARD_TIME: Duration = Duration::from_millis(900);

/// Makes one reward call, at one target.
pub async fn call_reward(ctx: &ShardContext, reward: &RewardCall) -> RewardEnd {
    let table = ctx.view.table();
    let Some(route) = table.find(&reward.host, &reward.path) else {
        log::info!(target: "jobs", request = reward.id.as_str(), config = table.version.get(); "no route for a reward call");
        return RewardEnd::Missed;
    };
    let attempts = route.attempts;
    // One run a call, so that failures are counted as the targets answered them.
    let route = Route { attempts: 1, ..route.as_ref().clone() };
    let Ok(uri) = reward.path.parse::<Uri>() else { return RewardEnd::Missed };
    let mut sent = HeaderMap::new();
    let (Ok(host), Ok(id)) =
        (HeaderValue::from_str(&reward.host), HeaderValue::from_str(&reward.id))
    else {
        return RewardEnd::Missed;
    };
    sent.insert(http::header::HOST, host);
    sent.insert(headers::REQUEST_ID, id);
    let time = route.timeout.map_or(REWARD_TIME, |timeout| timeout.min(REWARD_TIME));
    let call = PlainCall {
        route: &route,
        request_id: &reward.id,
        method: Method::POST,
        uri,
        headers: sent,
        body: Bytes::from(reward.body.clone()),
        deadline: Instant::now() + time,
    };
    match call_plain(&ctx.view, call).await {
        PlainEnd::Answered(answer) if answer.status.is_success() => {
            match headers::answer_facts(&answer.headers).signature {
                Some(signature) => RewardEnd::Scored(signature),
                None => RewardEnd::Missed,
            }
        }
        PlainEnd::Answered(answer) if answer.status.as_u16() == 500 => {
            RewardEnd::Failed { attempts }
        }
        PlainEnd::Answered(_) | PlainEnd::NotRun(_) | PlainEnd::Unknown(_) => RewardEnd::Missed,
    }
}
