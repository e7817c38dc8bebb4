//! Validation of the bounds that the platform may leave empty.

use std::time::Duration;

use clap::Parser;
use node::feed::FeedTimes;
use node::{NodeSettings, RawNodeSettings, SettingsError};
use routing::ColdBound;

#[derive(Debug, Parser)]
struct Cli {
    #[command(flatten)]
    node: RawNodeSettings,
}

fn check(extra: &[&str]) -> Result<NodeSettings, SettingsError> {
    let required = [
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
    Cli::parse_from(required.iter().chain(extra)).node.check()
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
