//! How long a connection may rest, by what its target tells.
//!
//! The pattern: a server sends some three items a second to each of a hundred engines, which close a
//! connection after 1.5 s of rest and can tell only whole seconds. Where that second is taken for none, each
//! item opens a connection: 15,000 a day of 62 s, each a millisecond of the engine's time and a round trip.

use std::time::Duration;

use upstream::keep_time;

#[test]
fn a_single_second_lets_a_connection_be_used_again() {
    // Three items a second: the next one comes after a third of a second in the mean.
    let rest = keep_time("timeout=1").expect("a time");
    assert!(rest >= Duration::from_millis(600), "{rest:?}");
}

#[test]
fn a_connection_is_left_before_its_target_closes_it() {
    // A box that has used up its share of a core stands still for a tenth of a second.
    for seconds in [1, 2, 5, 60] {
        let rest = keep_time(&format!("timeout={seconds}, max=100")).expect("a time");
        assert!(rest + Duration::from_millis(200) <= Duration::from_secs(seconds), "{rest:?}");
    }
}

#[test]
fn no_rest_at_all_is_no_rest() {
    assert_eq!(keep_time("timeout=0"), Some(Duration::ZERO));
}

#[test]
fn what_tells_no_time_is_left_to_the_pool() {
    assert_eq!(keep_time("max=100"), None);
    assert_eq!(keep_time("timeout=soon"), None);
}
