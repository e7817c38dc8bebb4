//! Routes requests to the responsible box: the home of a target or the keeper of a step.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::lease::LeaseRecord;
use ids::{Moment, TargetId};
use links::{CallError, ResponseStream};
use objects::ObjectStore;
use placement::NotRun;
use pools::TargetRecord;
use rand::Rng;
use tokio::time;
use wire::peer::{
    Refused, RefusedKind, Request, SampleItem, StepRef, StepState, request, response_item,
};

use crate::context::{BoxContext, BoxLocation, wire_millis};
use crate::keeper::KeeperKey;
use crate::refuse::wire_not_run;

/// Retry delay reported to callers when a target's failure domain is unreachable.
const DOMAIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay between attempts to find a keeper.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a keeper address is not tried again after a failed call.
const FAILED_KEEPER_BACKOFF: Duration = Duration::from_secs(2);
/// Timeout for a box to acknowledge that it received a request. Detects frozen or partitioned
/// boxes, whose connections may stay open.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for one call to a keeper, in addition to the request's own wait.
const KEEPER_CALL_TIMEOUT: Duration = Duration::from_millis(750);
/// Slack added to a call's time left before its response stream counts as idle.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_millis(250);

fn refused(refused: Refused) -> CallError {
    CallError::Refused(Box::new(refused))
}

/// Sends a request for a target to the target's home.
pub async fn call_home(
    ctx: &BoxContext,
    target: &TargetId,
    request: Request,
) -> Result<ResponseStream, CallError> {
    let record = ctx.documents.borrow().target(target).cloned();
    let Some(record) = record else {
        return Err(refused(wire_not_run(NotRun::Unknown, DOMAIN_RETRY_DELAY)));
    };
    let Some(location) = home_location(ctx, &record) else {
        return Err(refused(wire_not_run(NotRun::Unreachable, DOMAIN_RETRY_DELAY)));
    };
    ctx.call(&location, request).await
}

/// Returns the home of the target if it is in this box's domain, otherwise a random live box of
/// the target's domain. Returns `None` when no box of that domain is live.
pub fn home_location(ctx: &BoxContext, record: &TargetRecord) -> Option<BoxLocation> {
    let now = ctx.clock.now();
    let members = ctx.members.borrow();
    if record.domain == ctx.me.domain {
        let owner = members.owner_in(now, &record.domain, record.id.as_str());
        // Without an owner, for example during a stop, this box serves the target itself.
        return Some(owner.map_or(BoxLocation::Here, |owner| ctx.location_of(owner)));
    }
    let contacts = members.live_in(now, &record.domain);
    if contacts.is_empty() {
        return None;
    }
    let pick = rand::rng().random_range(0..contacts.len());
    Some(ctx.location_of(contacts[pick]))
}

/// The response to a request about a step.
#[derive(Debug, Default)]
pub struct StepResponse {
    /// Samples returned by a pull.
    pub samples: Vec<SampleItem>,
    /// The step's state, if the response contains one.
    pub state: Option<StepState>,
}

/// Finds the keepers of steps and sends requests to them. Caches their addresses.
#[derive(Debug, Clone, Default)]
pub struct KeeperDirectory {
    cache: Arc<Mutex<KeeperCache>>,
}

#[derive(Debug, Default)]
struct KeeperCache {
    keepers: HashMap<KeeperKey, String>,
    failed: HashMap<String, Moment>,
}

/// A box to call, and whether it should claim the lease.
struct KeeperCandidate {
    location: BoxLocation,
    claim: bool,
}

impl KeeperDirectory {
    /// Sends a request about a step to its keeper, retrying until `deadline`. Each call may take
    /// the request's own `wait` plus `KEEPER_CALL_TIMEOUT`. All requests about steps are
    /// idempotent.
    pub async fn call(
        &self,
        ctx: &BoxContext,
        key: &KeeperKey,
        mut request: Request,
        wait: Duration,
        deadline: Moment,
    ) -> Result<StepResponse, CallError> {
        let mut last_error = CallError::NotSent { address: "the keeper".to_owned() };
        while ctx.clock.now() < deadline {
            let candidate = self.next_candidate(ctx, key).await;
            let left = deadline.since(ctx.clock.now()).min(wait + KEEPER_CALL_TIMEOUT);
            request.time_left_ms = wire_millis(left);
            set_claim(&mut request, candidate.claim);
            let idle_timeout = left + IDLE_TIMEOUT_SLACK;
            match self.call_candidate(ctx, &candidate.location, request.clone(), idle_timeout).await
            {
                Ok(response) => {
                    self.record_keeper(key, &candidate.location);
                    return Ok(response);
                }
                Err(CallError::Refused(refused)) if refused.kind() != RefusedKind::NotKept => {
                    return Err(CallError::Refused(refused));
                }
                Err(error) => {
                    log::debug!(target: "route", trainer:% = key, error:% = error; "keeper call failed");
                    self.record_failure(ctx, key, &candidate.location, &error);
                    last_error = error;
                }
            }
            time::sleep(LOOKUP_RETRY_DELAY).await;
        }
        Err(last_error)
    }

    async fn call_candidate(
        &self,
        ctx: &BoxContext,
        location: &BoxLocation,
        request: Request,
        idle_timeout: Duration,
    ) -> Result<StepResponse, CallError> {
        let mut stream = ctx.call(location, request).await?;
        let mut response = StepResponse::default();
        let mut timeout = ACK_TIMEOUT;
        while let Some(item) = stream.next(timeout).await? {
            timeout = idle_timeout;
            match item.body {
                Some(response_item::Body::Ack(_)) => {}
                Some(response_item::Body::Sample(sample)) => response.samples.push(sample),
                Some(response_item::Body::StepState(state)) => response.state = Some(state),
                _ => return Err(CallError::Broken { why: "response is not about a step" }),
            }
        }
        Ok(response)
    }

    async fn next_candidate(&self, ctx: &BoxContext, key: &KeeperKey) -> KeeperCandidate {
        if let Some(address) = self.cached_keeper(ctx, key) {
            return KeeperCandidate { location: location_at(ctx, address), claim: false };
        }
        if ctx.keepers.get(key).is_some() {
            return KeeperCandidate { location: BoxLocation::Here, claim: true };
        }
        if let Some(address) = self.lease_holder(ctx, key).await {
            return KeeperCandidate { location: location_at(ctx, address), claim: false };
        }
        let now = ctx.clock.now();
        let lease = key.lease().to_string();
        let members = ctx.members.borrow();
        let owner = members.owner_in(now, &ctx.me.domain, &lease);
        KeeperCandidate {
            location: owner.map_or(BoxLocation::Here, |owner| ctx.location_of(owner)),
            claim: true,
        }
    }

    fn cached_keeper(&self, ctx: &BoxContext, key: &KeeperKey) -> Option<String> {
        let cache = self.lock();
        let address = cache.keepers.get(key)?;
        (!cache.is_backed_off(address, ctx.clock.now())).then(|| address.clone())
    }

    /// Returns the lease holder's address, unless the lease is released or the address is backed
    /// off.
    async fn lease_holder(&self, ctx: &BoxContext, key: &KeeperKey) -> Option<String> {
        let object = ctx.store.read(&key.lease()).await.ok()??;
        let record: LeaseRecord = serde_json::from_value(object.value).ok()?;
        let usable =
            !record.released && !self.lock().is_backed_off(&record.address, ctx.clock.now());
        usable.then_some(record.address)
    }

    fn record_keeper(&self, key: &KeeperKey, location: &BoxLocation) {
        let mut cache = self.lock();
        match location {
            BoxLocation::At(address) => {
                cache.failed.remove(address);
                cache.keepers.insert(key.clone(), address.clone());
            }
            BoxLocation::Here => {
                cache.keepers.remove(key);
            }
        }
    }

    fn record_failure(
        &self,
        ctx: &BoxContext,
        key: &KeeperKey,
        location: &BoxLocation,
        error: &CallError,
    ) {
        let mut cache = self.lock();
        cache.keepers.remove(key);
        match error {
            CallError::Refused(refused) if !refused.keeper_address.is_empty() => {
                let hinted = refused.keeper_address.clone();
                if !cache.is_backed_off(&hinted, ctx.clock.now()) {
                    cache.keepers.insert(key.clone(), hinted);
                }
            }
            _ => {
                if let BoxLocation::At(address) = location {
                    cache.failed.insert(address.clone(), ctx.clock.now());
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, KeeperCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeeperCache {
    fn is_backed_off(&self, address: &str, now: Moment) -> bool {
        self.failed.get(address).is_some_and(|at| now.since(*at) < FAILED_KEEPER_BACKOFF)
    }
}

fn location_at(ctx: &BoxContext, address: String) -> BoxLocation {
    if address == ctx.me.address { BoxLocation::Here } else { BoxLocation::At(address) }
}

fn set_claim(request: &mut Request, claim: bool) {
    if let Some(step) = step_ref_mut(request) {
        step.claim = claim;
    }
}

fn step_ref_mut(request: &mut Request) -> Option<&mut StepRef> {
    match request.body.as_mut()? {
        request::Body::OpenStep(open) => open.step.as_mut(),
        request::Body::PullStep(pull) => pull.step.as_mut(),
        request::Body::AdvanceStep(advance) => advance.step.as_mut(),
        request::Body::CloseStep(close) => close.step.as_mut(),
        request::Body::StepStatus(status) => status.step.as_mut(),
        _ => None,
    }
}
