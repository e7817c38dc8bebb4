//! Reads numeric settings that templates may leave empty.

use std::time::Duration;

use ids::ByteRate;

/// Bytes of a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Parses seconds. Empty text, as left by templates, is zero. Returns `None` if invalid.
pub fn read_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    if text.is_empty() {
        return Some(Duration::ZERO);
    }
    let seconds: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses a non-negative number. Empty text, as left by templates, is `default`. Returns `None` if
/// invalid.
pub fn read_number(text: &str, default: f64) -> Option<f64> {
    let text = text.trim();
    if text.is_empty() {
        return Some(default);
    }
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// Parses megabytes to bytes. Empty text, as left by templates, is zero. Returns `None` if invalid.
pub fn read_megabytes(text: &str) -> Option<usize> {
    let text = text.trim();
    if text.is_empty() {
        return Some(0);
    }
    text.parse::<usize>().ok()?.checked_mul(1 << 20)
}

/// Parses megabits per second. Empty text, as left by templates, is zero. Returns `None` if invalid.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
pub fn read_megabits(text: &str) -> Option<ByteRate> {
    let mbps = read_number(text, 0.0)?;
    Some(ByteRate::new((mbps * BYTES_PER_MEGABIT) as u64))
}
