//! The setting of the order in which items of jobs get engines.

use clap::Parser;
use node::{JobOrder, RawStorageSettings, SettingsError, StorageSettings};

#[derive(Debug, Parser)]
struct Cli {
    #[command(flatten)]
    storage: RawStorageSettings,
}

fn check(extra: &[&str]) -> Result<StorageSettings, SettingsError> {
    let required = [
        "gannetwayd",
        "--box-id",
        "keep-1",
        "--domain",
        "hall",
        "--ip",
        "127.0.0.1",
        "--peer-port",
        "7000",
        "--store",
        "127.0.0.1:8000",
        "--key",
        "a key for these tests",
        "--data-dir",
        "data",
    ];
    Cli::parse_from(required.iter().chain(extra)).storage.check()
}

#[test]
fn jobs_are_ordered_by_acceptance_unless_set_otherwise() {
    let order = |extra: &[&str]| check(extra).expect("valid settings").job_order;
    assert_eq!(order(&[]), JobOrder::Accepted);
    assert_eq!(order(&["--job-order", ""]), JobOrder::Accepted);
    assert_eq!(order(&["--job-order", "accepted"]), JobOrder::Accepted);
    assert_eq!(order(&["--job-order", "due"]), JobOrder::Due);
}

#[test]
fn an_unknown_job_order_is_refused() {
    let SettingsError(faults) = check(&["--job-order", "first"]).expect_err("an invalid order");
    assert_eq!(faults, ["--job-order is `first`: give accepted or due"]);
}
