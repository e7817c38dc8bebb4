//! Validation of the settings that the platform may leave empty.

use std::time::Duration;

use clap::Parser;
use ids::ByteRate;
use node::feed::FeedTimes;
use node::{NodeSettings, RawNodeSettings, RawStorageSettings, SettingsError, StorageSettings};
use routing::ColdBound;
use upstream::ByteCount;

#[derive(Debug, Parser)]
struct Cli {
    #[command(flatten)]
    node: RawNodeSettings,
}

#[derive(Debug, Parser)]
struct StorageCli {
    #[command(flatten)]
    storage: RawStorageSettings,
}

const REQUIRED: [&str; 13] = [
    "gannetwayd",
    "--box-id",
    "entry-1",
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
];

fn check(extra: &[&str]) -> Result<NodeSettings, SettingsError> {
    Cli::parse_from(REQUIRED.iter().chain(extra)).node.check()
}

fn check_storage(extra: &[&str]) -> StorageSettings {
    let arguments = REQUIRED.iter().chain(&["--data-dir", "/data"]).chain(extra);
    StorageCli::parse_from(arguments).storage.check().expect("valid settings")
}

/// Guards against a box that takes an unreadable table for a deployment without regions: it would
/// refuse all restricted requests.
#[test]
fn regions_may_be_empty_but_not_invalid() {
    assert!(check(&[]).expect("valid settings").regions.is_empty());
    assert!(check(&["--regions", ""]).expect("valid settings").regions.is_empty());
    let settings = check(&["--regions", r#"{"hall":"kolkata"}"#]).expect("valid settings");
    let region = settings.regions.region_of(&settings.domain);
    assert_eq!(region.map(ToString::to_string).as_deref(), Some("kolkata"));
    let error = check(&["--regions", "kolkata"]).expect_err("not a table");
    assert!(error.to_string().contains("--regions"), "{error}");
}

#[test]
fn buffers_may_use_a_quarter_of_the_memory() {
    let limit = |text: &str| check(&["--memory-mb", text]).map(|settings| settings.memory_limit);
    assert_eq!(limit("160"), Ok(Some(ByteCount::new(40 << 20))));
    assert_eq!(limit("0"), Ok(None));
    assert_eq!(limit(""), Ok(None));
    assert_eq!(check(&[]).expect("valid settings").memory_limit, None);
    limit("much").expect_err("no number");
}

/// Guards against a change of the jobs' share by the limit of buffered bytes.
#[test]
fn jobs_may_use_a_third_of_the_memory() {
    assert_eq!(check_storage(&["--memory-mb", "300"]).job_bytes, 100 << 20);
    assert_eq!(check_storage(&[]).job_bytes, (256 << 20) / 3);
    assert_eq!(check_storage(&["--memory-mb", ""]).job_bytes, (256 << 20) / 3);
}

#[test]
fn time_and_link_for_pulls_are_optional() {
    let settings = check_storage(&["--catch-up-s", "4.6", "--link-mbps", "600.0"]);
    assert_eq!(settings.catch_up, Duration::from_millis(4_600));
    assert_eq!(settings.link_rate, Some(ByteRate::new(75_000_000)));
    let settings = check_storage(&["--catch-up-s", "", "--link-mbps", ""]);
    assert_eq!((settings.catch_up, settings.link_rate), (Duration::ZERO, None));
}

#[test]
fn empty_platform_settings_use_defaults() {
    let settings = check(&["--evacuate-ms", "", "--cold-excess", "", "--cold-slack", ""])
        .expect("valid settings");
    assert!(!settings.evacuations);
    assert_eq!(settings.cold_bound, ColdBound { excess: 1.0, slack: 0.0 });
    assert_eq!(settings.propagation_bound, Duration::from_secs(2));
}

#[test]
fn platform_settings_are_applied() {
    let given = [
        "--evacuate-ms",
        "5000",
        "--cold-excess",
        "1.5",
        "--cold-slack",
        "5",
        "--config-ms",
        "5000",
        "--drain-ms",
        "3000",
    ];
    let settings = check(&given).expect("valid settings");
    assert!(settings.evacuations);
    assert_eq!(settings.cold_bound, ColdBound { excess: 1.5, slack: 5.0 });
    assert_eq!(settings.propagation_bound, Duration::from_secs(3), "the smaller of the two");
}

#[test]
fn all_faults_are_reported_with_remedy() {
    let invalid = ["--evacuate-ms", "soon", "--cold-excess=-1", "--cold-slack", "inf"];
    let SettingsError(faults) = check(&invalid).expect_err("three faults");
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(faults.iter().all(|fault| fault.contains("give")));
}

/// Guards against changes that take effect too late because the last proof arrived late.
#[test]
fn freshness_expires_within_propagation_bound() {
    for bound in [2, 3, 5, 11].map(Duration::from_secs) {
        let times = FeedTimes::for_bound(bound);
        assert!(times.max_source_age < times.max_proof_age && times.max_proof_age < bound);
        assert!(
            times.proof.wait + times.proof.slack < times.max_source_age,
            "no time for a second try"
        );
    }
}
