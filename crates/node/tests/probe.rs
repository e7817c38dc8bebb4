//! Probes of an unresponsive store, and how soon its recovery is detected.
//!
//! Scenario: 295 boxes with one feed source in each of six failure domains; the store is
//! unresponsive for seven seconds. Each call times out after 0.72 s. A box starts to probe once its
//! feed is stale, 1.7 s after the outage began.

use std::time::Duration;

use node::ProbeBackoff;

const OUTAGE: Duration = Duration::from_secs(7);
const STALE_DELAY: Duration = Duration::from_millis(1_700);
const CALL_TIMEOUT: Duration = Duration::from_millis(720);

/// Returns the number of probes during the outage and the time of the first one after it.
fn probe_during_outage(has_source: bool, started_at: Duration) -> (u32, Duration) {
    let mut backoff = ProbeBackoff::default();
    let (mut at, mut calls) = (started_at, 0);
    while at < OUTAGE {
        calls += 1;
        at += CALL_TIMEOUT + backoff.record_failure(has_source);
    }
    (calls, at)
}

#[test]
fn boxes_with_feed_source_probe_store_less() {
    let (with_source, alone) =
        (probe_during_outage(true, STALE_DELAY).0, probe_during_outage(false, STALE_DELAY).0);
    let (boxes, sources) = (295, 6);
    let (all_alone, with_sources) =
        (boxes * alone, (boxes - sources) * with_source + sources * alone);
    assert!(with_sources * 20 <= all_alone * 11, "{with_sources} calls instead of {all_alone}");
}

/// Guards against a feed source that detects the recovery too late for waiting trainers.
#[test]
fn feed_source_probes_about_once_per_second() {
    for started_at in (0..1_000).step_by(50).map(Duration::from_millis) {
        let (_, detected_at) = probe_during_outage(false, started_at);
        assert!(detected_at <= OUTAGE + Duration::from_millis(1_020), "{detected_at:?}");
    }
}

/// Guards against a box that relies on a stale feed source although the store serves it.
#[test]
fn box_with_feed_source_probes_in_time() {
    for started_at in (0..1_000).step_by(50).map(Duration::from_millis) {
        let (_, probed_at) = probe_during_outage(true, started_at);
        assert!(probed_at <= OUTAGE + Duration::from_millis(2_220), "{probed_at:?}");
    }
}

#[test]
fn response_resets_backoff() {
    let mut backoff = ProbeBackoff::default();
    assert_eq!(
        backoff.record_failure(false),
        Duration::ZERO,
        "a watch may be cut while the store is healthy"
    );
    assert!(backoff.record_failure(false) > Duration::ZERO);
    backoff.record_response();
    assert_eq!(backoff.record_failure(false), Duration::ZERO);
}
