//! Property tests of quarantine: poison and innocent work share targets in random order.

use arbtest::{arbitrary, arbtest};
use ids::{Moment, ServiceName, StartTime, TargetIncarnation, WorkDigest};
use std::time::Duration;
use suspects::{SuspectTable, TargetCrash, UNCONDITIONAL_QUARANTINE_CRASHES};

const ROUND: Duration = Duration::from_secs(1);
const INNOCENT: u8 = 12;

fn work(poison: bool, number: u8) -> WorkDigest {
    WorkDigest::of(&[&[u8::from(poison), number]])
}

fn service() -> ServiceName {
    "desk".parse().expect("a valid ID")
}

/// Runs 40 rounds. In each, random work shares one target, which crashes if any of it is poison.
fn run_rounds(
    u: &mut arbitrary::Unstructured<'_>,
    poison: u8,
    mut check: impl FnMut(&SuspectTable, Moment),
) -> arbitrary::Result<()> {
    let mut table = SuspectTable::default();
    let mut now = Moment::START;
    for round in 0..40 {
        now = now + ROUND;
        let incarnation = TargetIncarnation {
            instance: format!("i-{round}").parse().expect("a valid ID"),
            born: StartTime::default(),
        };
        let mut running = Vec::new();
        for number in 0..poison {
            let quarantined =
                !table.quarantined_versions(now, work(true, number), &service()).is_empty();
            if !quarantined && u.ratio(1, 3)? {
                running.push(work(true, number));
            }
        }
        let crashes = !running.is_empty();
        for number in 0..INNOCENT {
            if u.ratio(1, 3)? {
                running.push(work(false, number));
            }
        }
        for work in &running {
            if crashes {
                table.record_disconnect(
                    now,
                    *work,
                    &service(),
                    TargetCrash { life: incarnation.clone(), software: None },
                );
            } else {
                table.succeeded(*work);
            }
        }
        if crashes {
            table.connection_refused(now, &incarnation);
        }
        check(&table, now + ROUND);
    }
    Ok(())
}

fn each_seed(mut test: impl FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in 0..300_u64 {
        arbtest(&mut test).seed(seed.wrapping_mul(0x9e37_79b9) << 32 | 16_384);
    }
}

#[test]
fn single_poison_work_quarantines_no_other() {
    each_seed(|u| {
        run_rounds(u, 1, |table, now| {
            for number in 0..INNOCENT {
                let innocent = work(false, number);
                let quarantined = table.quarantined_versions(now, innocent, &service());
                // The unconditional threshold applies even to innocent work.
                assert!(
                    quarantined.is_empty()
                        || table.crash_count(innocent) >= UNCONDITIONAL_QUARANTINE_CRASHES,
                    "{number}"
                );
            }
        })
    });
}

#[test]
fn poison_work_is_quarantined_after_unconditional_crashes() {
    each_seed(|u| {
        run_rounds(u, 4, |table, now| {
            for number in 0..4 {
                let crashes = table.crash_count(work(true, number));
                let quarantined =
                    !table.quarantined_versions(now, work(true, number), &service()).is_empty();
                assert!(
                    crashes < UNCONDITIONAL_QUARANTINE_CRASHES || quarantined,
                    "{crashes} crashes of {number}"
                );
            }
        })
    });
}
