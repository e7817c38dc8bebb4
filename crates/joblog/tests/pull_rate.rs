//! Rates at which missing segments are pulled.
//!
//! They guard against a box that still lacks its copies when the next disk is lost: it counts as
//! present again after a fixed time, however large the log is.

use std::time::Duration;

use ids::ByteRate;
use joblog::PullLimits;

const MEGABYTE: u64 = 1_000_000;
/// Time after which a box that came back counts as present.
const CATCH_UP: Duration = Duration::from_millis(4_600);
/// Rate of a link of 600 Mbit/s.
const LINK: ByteRate = ByteRate::new(75 * MEGABYTE);

/// Returns how long the pulls of `segments` take if each has the rate that is chosen when it starts.
fn pull_time(limits: &PullLimits, segments: &[u64]) -> Duration {
    let mut elapsed = Duration::ZERO;
    for (index, bytes) in segments.iter().enumerate() {
        let missing = segments[index..].iter().sum();
        elapsed += limits.rate(missing, elapsed).time_of(*bytes);
    }
    elapsed
}

#[test]
fn missing_segments_are_pulled_before_the_box_counts_as_present() {
    let limits = PullLimits::new(CATCH_UP, Some(LINK));
    for megabytes in [10, 25, 60] {
        let segments = vec![5 * MEGABYTE; megabytes / 5];
        assert!(limits.is_sufficient(segments.iter().sum()), "{megabytes} MB");
        let time = pull_time(&limits, &segments);
        assert!(time <= CATCH_UP / 2, "{megabytes} MB take {time:?}");
    }
}

#[test]
fn rate_leaves_half_of_the_link_to_appends() {
    let limits = PullLimits::new(CATCH_UP, Some(LINK));
    let bytes = 1_000 * MEGABYTE;
    assert_eq!(limits.rate(bytes, Duration::ZERO), ByteRate::new(37_500_000));
    assert_eq!(limits.rate(bytes, CATCH_UP), ByteRate::new(37_500_000));
    assert!(!limits.is_sufficient(bytes));
}

#[test]
fn rate_without_a_known_time_or_link_is_low() {
    let low = ByteRate::new(4 * MEGABYTE);
    let bytes = 60 * MEGABYTE;
    assert_eq!(PullLimits::new(Duration::ZERO, Some(LINK)).rate(bytes, Duration::ZERO), low);
    assert_eq!(PullLimits::new(CATCH_UP, None).rate(bytes, Duration::ZERO), low);
    assert_eq!(PullLimits::new(CATCH_UP, Some(LINK)).rate(MEGABYTE, Duration::ZERO), low);
}
