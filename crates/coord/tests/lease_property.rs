//! Leases under delays, lost answers, outages and pauses: never two holders at once.

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

/// An answer on its way to a claim.
#[derive(Debug)]
enum Answer {
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
    /// Frozen until then: it neither polls nor takes answers.
    frozen_until: Moment,
    answer: Option<(Moment, Answer)>,
}

fn claimant(index: usize) -> Claimant {
    let me: BoxId = format!("box-{index}").parse().expect("an id");
    let claim = LeaseClaim::new(me, Incarnation::new(1), String::new(), TERM);
    Claimant { claim, frozen_until: Moment::START, answer: None }
}

/// One store call, which may lose its answer or meet an outage.
fn call(u: &mut Unstructured<'_>, store: &mut Store, action: LeaseAction) -> Drawn<Answer> {
    // Chance that has run out draws zeros, so zero means that nothing goes wrong.
    let luck = u.int_in_range(0..=19_u8)?;
    Ok(match action {
        LeaseAction::Read if luck >= 18 => Answer::Read(ReadOutcome::NoAnswer),
        LeaseAction::Read => {
            Answer::Read(store.object.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found))
        }
        LeaseAction::Write { .. } if luck == 19 => Answer::Write(WriteOutcome::NotApplied),
        LeaseAction::Write { .. } if luck == 18 => Answer::Write(WriteOutcome::Unknown),
        LeaseAction::Write { expect, record } => {
            let outcome = store.write(expect, record);
            // The write took effect, and its answer is lost.
            Answer::Write(if luck == 17 { WriteOutcome::Unknown } else { outcome })
        }
    })
}

fn session(u: &mut Unstructured<'_>) -> Drawn<u32> {
    let mut store = Store::default();
    let mut claims: Vec<Claimant> = (0..CLAIMS).map(claimant).collect();
    let mut tokens: BTreeMap<FencingToken, usize> = BTreeMap::new();
    let mut held_rounds = 0;
    for tick in 0..1_500_u64 {
        let now = Moment::START + Duration::from_millis(tick * 10);
        let index = usize::try_from(tick).unwrap_or(0) % CLAIMS;
        let one = &mut claims[index];
        if now >= one.frozen_until {
            if !u.ratio(149, 150)? {
                one.frozen_until = now + Duration::from_millis(u.int_in_range(50..=3_000)?);
            }
            if let Some((due, _)) = &one.answer
                && *due <= now
                && let Some((_, answer)) = one.answer.take()
            {
                match answer {
                    Answer::Read(outcome) => one.claim.read_done(now, outcome),
                    Answer::Write(outcome) => one.claim.write_done(now, outcome),
                }
            }
            if one.answer.is_none()
                && let Some(action) = one.claim.poll(now)
            {
                let answer = call(u, &mut store, action)?;
                let delay = Duration::from_millis(u.int_in_range(1..=120)?);
                one.answer = Some((now + delay, answer));
            }
        }
        let holders: Vec<(usize, FencingToken)> = claims
            .iter()
            .enumerate()
            .filter_map(|(index, one)| Some((index, one.claim.held(now)?)))
            .collect();
        assert!(holders.len() <= 1, "two holders at {now}: {holders:?}");
        for (index, token) in holders {
            held_rounds += 1;
            let owner = *tokens.entry(token).or_insert(index);
            assert_eq!(owner, index, "token {token} held by two at {now}");
            let newest = tokens.keys().next_back().copied();
            assert_eq!(newest, Some(token), "an older token held at {now}");
        }
    }
    Ok(held_rounds)
}

#[test]
fn never_two_holders_and_tokens_only_grow() {
    for seed in 0..150_u64 {
        arbtest(|u| {
            let held = session(u)?;
            assert!(held > 300, "the lease was held in {held} of 1500 rounds only");
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
fn a_token_seen_in_use_is_never_taken_again() {
    let (claim, store) = claim_with(7);
    assert_eq!(claim.held(Moment::START), Some(FencingToken::new(7)));
    assert_eq!(store.object.map(|object| object.record.token), Some(FencingToken::new(7)));
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
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
    // Counted from before the write was sent, not from the reading.
    assert!(claim.held(later).is_some());
    assert!(claim.held(Moment::START + TERM * 4 / 5).is_none());
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let (mut holder, mut store) = claim_with(1);
    let now = Moment::START + Duration::from_millis(10);
    let Some(LeaseAction::Write { expect, record }) = holder.release(now) else {
        panic!("no release");
    };
    store.write(expect, record);
    let mut taker = claimant(1).claim;
    taker.poll(now);
    let found = store.object.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found);
    taker.read_done(now, found);
    let Some(LeaseAction::Write { record, .. }) = taker.poll(now) else { panic!("not taken") };
    assert_eq!(record.token, FencingToken::new(2));
}
