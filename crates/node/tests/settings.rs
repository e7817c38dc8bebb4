//! Settings of what the platform bounds, empty where it does not.

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

fn check(more: &[&str]) -> Result<NodeSettings, SettingsError> {
    let usual = [
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
    Cli::parse_from(usual.iter().chain(more)).node.check()
}

#[test]
fn what_a_platform_leaves_empty_is_not_in_force() {
    let settings =
        check(&["--evacuate-ms", "", "--cold-excess", "", "--cold-slack", ""]).expect("sound");
    assert!(!settings.evacuations);
    assert_eq!(settings.cold_bound, ColdBound { excess: 1.0, slack: 0.0 });
    assert_eq!(settings.propagation_bound, Duration::from_secs(2));
}

#[test]
fn what_a_platform_tells_is_in_force() {
    let told = [
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
    let settings = check(&told).expect("sound");
    assert!(settings.evacuations);
    assert_eq!(settings.cold_bound, ColdBound { excess: 1.5, slack: 5.0 });
    assert_eq!(settings.propagation_bound, Duration::from_secs(3), "the shorter of both");
}

#[test]
fn all_faults_are_told_together_with_their_remedy() {
    let odd = ["--evacuate-ms", "soon", "--cold-excess=-1", "--cold-slack", "inf"];
    let SettingsError(faults) = check(&odd).expect_err("three faults");
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(faults.iter().all(|fault| fault.contains("give")));
}

/// A change must be heeded within the bound though the proof that it is measured by was heard of late.
#[test]
fn trust_in_news_ends_within_the_bound() {
    for bound in [2, 3, 5, 11].map(Duration::from_secs) {
        let times = FeedTimes::for_bound(bound);
        assert!(times.max_source_age < times.max_proof_age && times.max_proof_age < bound);
        assert!(
            times.proof.wait + times.proof.slack < times.max_source_age,
            "time for a second try"
        );
    }
}
