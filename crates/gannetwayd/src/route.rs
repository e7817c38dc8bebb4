//! Finds the box that must handle a request: a target's home, or a step's keeper.

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

use crate::context::{BoxContext, Place, wire_millis};
use crate::keeper::KeeperKey;
use crate::refuse::wire_not_run;

/// What a caller is told to wait when nobody can reach a target's failure domain.
const DOMAIN_RETRY: Duration = Duration::from_secs(1);
/// Pause between looks for a keeper.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// How long an address that failed is not tried as a keeper again.
const AVOID_FOR: Duration = Duration::from_secs(2);
/// Time in which a box at work says that a request has reached it. A box that is frozen or cut
/// off is left after this, for its connection may stay open without a word.
const HEARD_TIME: Duration = Duration::from_millis(400);
/// Time for one try at a keeper beyond the request's own wait.
const TRY_TIME: Duration = Duration::from_millis(750);
/// Slack beyond a try's time before its box counts as silent.
const SILENCE_SLACK: Duration = Duration::from_millis(250);

fn refused(refused: Refused) -> CallError {
    CallError::Refused(Box::new(refused))
}

/// Sends work for a target to its home.
pub async fn call_home(
    ctx: &BoxContext,
    target: &TargetId,
    request: Request,
) -> Result<ResponseStream, CallError> {
    let record = ctx.documents.borrow().target(target).cloned();
    let Some(record) = record else {
        return Err(refused(wire_not_run(NotRun::Unknown, DOMAIN_RETRY)));
    };
    let Some(place) = home_place(ctx, &record) else {
        return Err(refused(wire_not_run(NotRun::Unreachable, DOMAIN_RETRY)));
    };
    ctx.call(&place, request).await
}

/// The home of a target of this domain, or a box of the target's domain that knows it.
pub fn home_place(ctx: &BoxContext, record: &TargetRecord) -> Option<Place> {
    let now = ctx.clock.now();
    let members = ctx.members.borrow();
    if record.domain == ctx.me.domain {
        let owner = members.owner_in(now, &record.domain, record.id.as_str());
        // A box that stops still serves what only it can.
        return Some(owner.map_or(Place::Here, |owner| ctx.place_of(owner)));
    }
    let contacts = members.live_in(now, &record.domain);
    if contacts.is_empty() {
        return None;
    }
    let pick = rand::rng().random_range(0..contacts.len());
    Some(ctx.place_of(contacts[pick]))
}

/// The answer to a request about a step.
#[derive(Debug, Default)]
pub struct StepAnswer {
    /// Samples handed out.
    pub samples: Vec<SampleItem>,
    /// The step's state, if the answer holds one.
    pub state: Option<StepState>,
}

/// Remembers who keeps which trainer's steps.
#[derive(Debug, Clone, Default)]
pub struct KeeperDirectory {
    known: Arc<Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    keepers: HashMap<KeeperKey, String>,
    failed: HashMap<String, Moment>,
}

/// One place to try, and whether its box should claim the lease.
struct Guess {
    place: Place,
    claim: bool,
}

impl KeeperDirectory {
    /// Sends a request about a step to its keeper, wherever that is, until `deadline`. A try
    /// may take the request's own `wait` and a little. All such requests may be repeated
    /// without harm.
    pub async fn call(
        &self,
        ctx: &BoxContext,
        key: &KeeperKey,
        mut request: Request,
        wait: Duration,
        deadline: Moment,
    ) -> Result<StepAnswer, CallError> {
        let mut last = CallError::NotSent { address: "the keeper".to_owned() };
        while ctx.clock.now() < deadline {
            let guess = self.guess(ctx, key).await;
            let left = deadline.since(ctx.clock.now()).min(wait + TRY_TIME);
            request.time_left_ms = wire_millis(left);
            set_claim(&mut request, guess.claim);
            let silence = left + SILENCE_SLACK;
            match self.try_one(ctx, &guess.place, request.clone(), silence).await {
                Ok(answer) => {
                    self.remember(key, &guess.place);
                    return Ok(answer);
                }
                Err(CallError::Refused(refused)) if refused.kind() != RefusedKind::NotKept => {
                    return Err(CallError::Refused(refused));
                }
                Err(error) => {
                    log::debug!(target: "route", trainer:% = key, error:% = error; "keeper not there");
                    self.learn_from(ctx, key, &guess.place, &error);
                    last = error;
                }
            }
            time::sleep(LOOK_PAUSE).await;
        }
        Err(last)
    }

    async fn try_one(
        &self,
        ctx: &BoxContext,
        place: &Place,
        request: Request,
        silence: Duration,
    ) -> Result<StepAnswer, CallError> {
        let mut stream = ctx.call(place, request).await?;
        let mut answer = StepAnswer::default();
        let mut patience = HEARD_TIME;
        while let Some(item) = stream.next(patience).await? {
            patience = silence;
            match item.body {
                Some(response_item::Body::Ack(_)) => {}
                Some(response_item::Body::Sample(sample)) => answer.samples.push(sample),
                Some(response_item::Body::StepState(state)) => answer.state = Some(state),
                _ => return Err(CallError::Broken { why: "an answer that is about no step" }),
            }
        }
        Ok(answer)
    }

    async fn guess(&self, ctx: &BoxContext, key: &KeeperKey) -> Guess {
        if let Some(address) = self.known_keeper(ctx, key) {
            return Guess { place: address_place(ctx, address), claim: false };
        }
        if ctx.keepers.get(key).is_some() {
            return Guess { place: Place::Here, claim: true };
        }
        if let Some(address) = self.lease_holder(ctx, key).await {
            return Guess { place: address_place(ctx, address), claim: false };
        }
        let now = ctx.clock.now();
        let lease = key.lease().to_string();
        let members = ctx.members.borrow();
        let owner = members.owner_in(now, &ctx.me.domain, &lease);
        Guess { place: owner.map_or(Place::Here, |owner| ctx.place_of(owner)), claim: true }
    }

    fn known_keeper(&self, ctx: &BoxContext, key: &KeeperKey) -> Option<String> {
        let known = self.lock();
        let address = known.keepers.get(key)?;
        (!known.avoids(address, ctx.clock.now())).then(|| address.clone())
    }

    /// The holder named by the lease object, unless it failed a moment ago.
    async fn lease_holder(&self, ctx: &BoxContext, key: &KeeperKey) -> Option<String> {
        let object = ctx.store.read(&key.lease()).await.ok()??;
        let record: LeaseRecord = serde_json::from_value(object.value).ok()?;
        let usable = !record.released && !self.lock().avoids(&record.address, ctx.clock.now());
        usable.then_some(record.address)
    }

    fn remember(&self, key: &KeeperKey, place: &Place) {
        let mut known = self.lock();
        match place {
            Place::At(address) => {
                known.failed.remove(address);
                known.keepers.insert(key.clone(), address.clone());
            }
            Place::Here => {
                known.keepers.remove(key);
            }
        }
    }

    fn learn_from(&self, ctx: &BoxContext, key: &KeeperKey, place: &Place, error: &CallError) {
        let mut known = self.lock();
        known.keepers.remove(key);
        match error {
            CallError::Refused(refused) if !refused.keeper_address.is_empty() => {
                let hinted = refused.keeper_address.clone();
                if !known.avoids(&hinted, ctx.clock.now()) {
                    known.keepers.insert(key.clone(), hinted);
                }
            }
            _ => {
                if let Place::At(address) = place {
                    known.failed.insert(address.clone(), ctx.clock.now());
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn avoids(&self, address: &str, now: Moment) -> bool {
        self.failed.get(address).is_some_and(|at| now.since(*at) < AVOID_FOR)
    }
}

fn address_place(ctx: &BoxContext, address: String) -> Place {
    if address == ctx.me.address { Place::Here } else { Place::At(address) }
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
