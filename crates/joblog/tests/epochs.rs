//! Acknowledged records survive crashes, lost disks, incomplete writes, pauses and lost responses
//! in any order, with several boxes attempting a takeover at the same time.
//!
//! The boxes run the real [`EpochTakeover`], one step at a time in random order, so a box may pause
//! for a long time. The copies and the store are models that inject faults (`epochs/world.rs`).

#[path = "epochs/faults.rs"]
mod faults;
#[path = "epochs/files.rs"]
mod files;
#[path = "epochs/store.rs"]
mod store;
#[path = "epochs/world.rs"]
mod world;

use world::{Counts, World};

const ACTIONS: usize = 900;
const LONG_ACTIONS: usize = 6_000;
const SEEDS: u64 = 10_000;

/// In a few long scenarios no record is dropped, so that the number of segments reaches its bound.
const fn is_long(seed: u64) -> bool {
    seed.is_multiple_of(400)
}

#[test]
fn acknowledged_records_survive() {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..if is_long(seed) { LONG_ACTIONS } else { ACTIONS } {
            world.act();
        }
        total.add(&world.counts);
    }
    println!("{total:?}");
    // Ensures that the scenarios make progress and reach each case.
    assert!(total.acked > 50_000, "{total:?}");
    assert!(total.served > 20_000, "{total:?}");
    assert!(total.changed_while_served > 10_000, "{total:?}");
    assert!(total.continued > 1_000, "{total:?}");
    assert!(total.without_store > 1_000, "{total:?}");
    assert!(total.sealed > 10_000, "{total:?}");
    assert!(total.tails > 1_000, "{total:?}");
    assert!(total.snapshots > 40, "{total:?}");
    assert!(total.fetched > 100, "{total:?}");
    assert!(total.pulled > 1_000, "{total:?}");
    assert!(total.rewritten > 1_000, "{total:?}");
    assert!(total.wiped > 10_000, "{total:?}");
    assert!(total.wiped_while_changing > 1_000, "{total:?}");
    assert!(total.files_removed > 10_000, "{total:?}");
}
