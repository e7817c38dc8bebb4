//! Idle time of connections, from the `Keep-Alive` header of the target.
//!
//! Guards against a margin that turns a timeout of one second into none, so that every item opens a
//! new connection.

use std::time::Duration;

use upstream::keep_alive_time;

#[test]
fn timeout_of_one_second_allows_reuse() {
    // At three items per second, the next one arrives after 333 ms on average.
    let idle_time = keep_alive_time("timeout=1").expect("a timeout");
    assert!(idle_time >= Duration::from_millis(600), "{idle_time:?}");
}

#[test]
fn idle_time_ends_before_the_target_closes() {
    // A box that has used up its CPU quota pauses for up to 100 ms.
    for seconds in [1, 2, 5, 60] {
        let idle_time = keep_alive_time(&format!("timeout={seconds}, max=100")).expect("a timeout");
        assert!(
            idle_time + Duration::from_millis(200) <= Duration::from_secs(seconds),
            "{idle_time:?}"
        );
    }
}

#[test]
fn zero_timeout_allows_no_idle_time() {
    assert_eq!(keep_alive_time("timeout=0"), Some(Duration::ZERO));
}

#[test]
fn header_without_a_timeout_gives_no_idle_time() {
    assert_eq!(keep_alive_time("max=100"), None);
    assert_eq!(keep_alive_time("timeout=soon"), None);
}
