//! Leases under delays, lost responses, outages and pauses: never two holders at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use coord::lease::{
    LeaseAction, LeaseClaim, LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome,
};
use ids::{BoxId, FencingToken, Incarnation, Moment, ObjectVersion};

const TERM: Duration = Duration::from_secs(1);
const CLAIMS: usize = 3;

/// A store response in flight to a claim.
#[derive(Debug)]
enum StoreResponse {
    Read(ReadOutcome),
    Write(WriteOutcome),
}

#[derive(Debug, Default)]
struct Store {
    object: Option<VersionedLease>,
    versions: u64,
}

impl Store {
    fn write(&mut self, expect: ObjectVersion, record: LeaseRecord) -> WriteOutcome {
        let current = self.object.as_ref().map(|object| object.version).unwrap_or_default();
        if current != expect {
            return WriteOutcome::Conflict;
        }
        self.versions += 1;
        let version = ObjectVersion::new(self.versions);
        self.object = Some(VersionedLease { version, record });
        WriteOutcome::Applied(version)
    }
}

struct Claimant {
    claim: LeaseClaim,
    /// Until then the box is paused: it neither polls nor receives responses.
    paused_until: Moment,
    response: Option<(Moment, StoreResponse)>,
}

fn claimant(index: usize) -> Claimant {
    let me: BoxId = format!("box-{index}").parse().expect("valid id");
    let claim = LeaseClaim::new(me, Incarnation::new(1), String::new(), TERM);
    Claimant { claim, paused_until: Moment::START, response: None }
}

/// Performs one store call, which may fail or lose its response.
fn call(u: &mut Unstructured<'_>, store: &mut Store, action: LeaseAction) -> Drawn<StoreResponse> {
    // Exhausted input yields zeros, so zero must mean success.
    let draw = u.int_in_range(0..=19_u8)?;
    Ok(match action {
        LeaseAction::Read if draw >= 18 => StoreResponse::Read(ReadOutcome::NoAnswer),
        LeaseAction::Read => StoreResponse::Read(
            store.object.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found),
        ),
        LeaseAction::Write { .. } if draw == 19 => StoreResponse::Write(WriteOutcome::NotApplied),
        LeaseAction::Write { .. } if draw == 18 => StoreResponse::Write(WriteOutcome::Unknown),
        LeaseAction::Write { expect, record } => {
            let outcome = store.write(expect, record);
            // The write was applied, but its response is lost.
            StoreResponse::Write(if draw == 17 { WriteOutcome::Unknown } else { outcome })
        }
    })
}

fn run_scenario(u: &mut Unstructured<'_>) -> Drawn<u32> {
    let mut store = Store::default();
    let mut claims: Vec<Claimant> = (0..CLAIMS).map(claimant).collect();
    let mut tokens: BTreeMap<FencingToken, usize> = BTreeMap::new();
    let mut held_rounds = 0;
    for tick in 0..1_500_u64 {
        let now = Moment::START + Duration::from_millis(tick * 10);
        let index = usize::try_from(tick).unwrap_or(0) % CLAIMS;
        let claimant = &mut claims[index];
        if now >= claimant.paused_until {
            if !u.ratio(149, 150)? {
                claimant.paused_until = now + Duration::from_millis(u.int_in_range(50..=3_000)?);
            }
            if let Some((due, _)) = &claimant.response
                && *due <= now
                && let Some((_, response)) = claimant.response.take()
            {
                match response {
                    StoreResponse::Read(outcome) => claimant.claim.read_done(now, outcome),
                    StoreResponse::Write(outcome) => claimant.claim.write_done(now, outcome),
                }
            }
            if claimant.response.is_none()
                && let Some(action) = claimant.claim.poll(now)
            {
                let response = call(u, &mut store, action)?;
                let delay = Duration::from_millis(u.int_in_range(1..=120)?);
                claimant.response = Some((now + delay, response));
            }
        }
        let holders: Vec<(usize, FencingToken)> = claims
            .iter()
            .enumerate()
            .filter_map(|(index, claimant)| Some((index, claimant.claim.held(now)?)))
            .collect();
        assert!(holders.len() <= 1, "two holders at {now}: {holders:?}");
        for (index, token) in holders {
            held_rounds += 1;
            let owner = *tokens.entry(token).or_insert(index);
            assert_eq!(owner, index, "token {token} held by two claims at {now}");
            let newest = tokens.keys().next_back().copied();
            assert_eq!(newest, Some(token), "an older token held at {now}");
        }
    }
    Ok(held_rounds)
}

#[test]
fn never_two_holders_and_tokens_only_increase() {
    for seed in 0..150_u64 {
        arbtest(|u| {
            let held = run_scenario(u)?;
            assert!(held > 300, "the lease was held in only {held} of 1500 rounds");
            Ok(())
        })
        .seed(seed.wrapping_mul(0x9e37_79b9) << 32 | 65_536);
    }
}

fn claim_with(token: u64) -> (LeaseClaim, Store) {
    let mut store = Store::default();
    let mut claim = claimant(0).claim;
    claim.observe_token(Moment::START, FencingToken::new(token - 1));
    assert_eq!(claim.poll(Moment::START), Some(LeaseAction::Read));
    claim.read_done(Moment::START, ReadOutcome::Absent);
    let Some(LeaseAction::Write { expect, record }) = claim.poll(Moment::START) else {
        panic!("no write");
    };
    let outcome = store.write(expect, record);
    claim.write_done(Moment::START, outcome);
    (claim, store)
}

#[test]
fn a_holder_stops_acting_before_its_term_ends() {
    let (claim, _) = claim_with(1);
    assert!(claim.held(Moment::START + TERM * 3 / 4).is_some());
    assert!(claim.held(Moment::START + TERM * 4 / 5).is_none());
}

#[test]
fn an_observed_token_is_never_reused() {
    let (claim, store) = claim_with(7);
    assert_eq!(claim.held(Moment::START), Some(FencingToken::new(7)));
    assert_eq!(store.object.map(|object| object.record.token), Some(FencingToken::new(7)));
}

#[test]
fn a_lost_response_is_resolved_by_reading_back() {
    let mut store = Store::default();
    let mut claim = claimant(0).claim;
    claim.poll(Moment::START);
    claim.read_done(Moment::START, ReadOutcome::Absent);
    let Some(LeaseAction::Write { expect, record }) = claim.poll(Moment::START) else {
        panic!("no write");
    };
    store.write(expect, record);
    claim.write_done(Moment::START, WriteOutcome::Unknown);
    let later = Moment::START + TERM / 2;
    assert_eq!(claim.held(later), None);
    assert_eq!(claim.poll(later), Some(LeaseAction::Read));
    let found = store.object.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found);
    claim.read_done(later, found);
    // The term starts before the write was sent, not at the read.
    assert!(claim.held(later).is_some());
    assert!(claim.held(Moment::START + TERM * 4 / 5).is_none());
}

#[test]
fn a_released_lease_is_acquired_immediately() {
    let (mut holder, mut store) = claim_with(1);
    let now = Moment::START + Duration::from_millis(10);
    let Some(LeaseAction::Write { expect, record }) = holder.release(now) else {
        panic!("no release");
    };
    store.write(expect, record);
    let mut successor = claimant(1).claim;
    successor.poll(now);
    let found = store.object.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found);
    successor.read_done(now, found);
    let Some(LeaseAction::Write { record, .. }) = successor.poll(now) else { panic!("no write") };
    assert_eq!(record.token, FencingToken::new(2));
}
