//! Lethal and innocent work at the same targets, in any order.

use arbtest::{arbitrary, arbtest};
use ids::{Moment, ServiceName, StartTime, TargetIncarnation, WorkDigest};
use std::time::Duration;
use suspects::{SuspectTable, TargetCrash, UNCONDITIONAL_QUARANTINE_CRASHES};

const ROUND: Duration = Duration::from_secs(1);
const INNOCENT: u8 = 12;

fn work(lethal: bool, number: u8) -> WorkDigest {
    WorkDigest::of(&[&[u8::from(lethal), number]])
}

fn service() -> ServiceName {
    "desk".parse().expect("an id")
}

/// Plays rounds: in each, some work runs together at one target, which ends if any of it is lethal.
fn play(
    u: &mut arbitrary::Unstructured<'_>,
    lethal: u8,
    mut check: impl FnMut(&SuspectTable, Moment),
) -> arbitrary::Result<()> {
    let mut book = SuspectTable::default();
    let mut now = Moment::START;
    for round in 0..40 {
        now = now + ROUND;
        let life = TargetIncarnation {
            instance: format!("i-{round}").parse().expect("an id"),
            born: StartTime::default(),
        };
        let mut beside = Vec::new();
        for number in 0..lethal {
            let known = !book.quarantined_versions(now, work(true, number), &service()).is_empty();
            if !known && u.ratio(1, 3)? {
                beside.push(work(true, number));
            }
        }
        let ends = !beside.is_empty();
        for number in 0..INNOCENT {
            if u.ratio(1, 3)? {
                beside.push(work(false, number));
            }
        }
        for work in &beside {
            if ends {
                book.record_break(
                    now,
                    *work,
                    &service(),
                    TargetCrash { life: life.clone(), software: None },
                );
            } else {
                book.succeeded(*work);
            }
        }
        if ends {
            book.connection_refused(now, &life);
        }
        check(&book, now + ROUND);
    }
    Ok(())
}

fn each_seed(mut session: impl FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in 0..300_u64 {
        arbtest(&mut session).seed(seed.wrapping_mul(0x9e37_79b9) << 32 | 16_384);
    }
}

#[test]
fn one_lethal_work_condemns_nobody_else() {
    each_seed(|u| {
        play(u, 1, |book, now| {
            for number in 0..INNOCENT {
                let innocent = work(false, number);
                let condemned = book.quarantined_versions(now, innocent, &service());
                // Without a bound two lethal ones could hide behind each other for ever.
                assert!(
                    condemned.is_empty()
                        || book.crash_count(innocent) >= UNCONDITIONAL_QUARANTINE_CRASHES,
                    "{number}"
                );
            }
        })
    });
}

#[test]
fn every_lethal_work_is_known_after_as_many_ends_as_are_sure() {
    each_seed(|u| {
        play(u, 4, |book, now| {
            for number in 0..4 {
                let ends = book.crash_count(work(true, number));
                let known =
                    !book.quarantined_versions(now, work(true, number), &service()).is_empty();
                assert!(
                    ends < UNCONDITIONAL_QUARANTINE_CRASHES || known,
                    "{ends} ends of {number}"
                );
            }
        })
    });
}
