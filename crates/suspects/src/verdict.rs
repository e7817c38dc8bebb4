//! Rules for putting work in quarantine.

use std::time::Duration;

use ids::SoftwareVersion;

use crate::TargetCrash;

/// Minimum number of target crashes that can quarantine work. Innocent work may meet two unrelated
/// crashes in a row.
pub const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes that quarantines work regardless of other explanations. Without this bound,
/// two poison requests that always run together would explain each other's crashes indefinitely.
pub const UNCONDITIONAL_QUARANTINE_CRASHES: usize = 6;
/// Minimum number of the crashes that no other work explains. A single one may be unrelated to the
/// work.
pub(crate) const UNEXPLAINED_CRASHES: usize = 2;
/// Delay between the crash that reaches the threshold and the quarantine, longer than other boxes
/// need to report work that explains the crashes better.
pub(crate) const SETTLE_WINDOW: Duration = Duration::from_millis(500);

/// Returns the software versions at whose targets the work must not run. `explains` returns whether
/// other work may have caused a crash.
pub(crate) fn versions_to_quarantine(
    crashes: &[TargetCrash],
    explains: impl Fn(&TargetCrash) -> bool,
) -> Vec<Option<SoftwareVersion>> {
    let mut counts: Vec<SoftwareCount> = Vec::new();
    for crash in crashes {
        let unexplained = usize::from(!explains(crash));
        match counts.iter_mut().find(|count| count.software == crash.software) {
            Some(count) => {
                count.crashes += 1;
                count.unexplained += unexplained;
            }
            None => counts.push(SoftwareCount {
                software: crash.software.clone(),
                crashes: 1,
                unexplained,
            }),
        }
    }
    if !counts.iter().any(SoftwareCount::is_quarantined) {
        return Vec::new();
    }
    // Excludes every version with a crash. Other versions may still handle the work.
    counts.into_iter().map(|count| count.software).collect()
}

/// Number of crashes of targets that ran one software version.
struct SoftwareCount {
    software: Option<SoftwareVersion>,
    crashes: usize,
    unexplained: usize,
}

impl SoftwareCount {
    const fn is_quarantined(&self) -> bool {
        self.crashes >= UNCONDITIONAL_QUARANTINE_CRASHES
            || (self.crashes >= QUARANTINE_CRASHES && self.unexplained >= UNEXPLAINED_CRASHES)
    }
}
