//! When work is condemned.

use std::time::Duration;

use ids::SoftwareVersion;

use crate::TargetCrash;

/// Ends of targets under a piece of work from which on it may be condemned. Fewer happen by chance, to work that
/// meets two crashes of targets in a row.
pub const QUARANTINE_CRASHES: usize = 3;
/// Ends that condemn whatever else could explain them: without a bound, two pieces of work that always end
/// targets together would explain each other for ever.
pub const UNCONDITIONAL_QUARANTINE_CRASHES: usize = 6;
/// So many ends must have no other explanation. One may be the target's own crash, beside two under other work.
pub(crate) const OWN_ENDS: usize = 2;
/// A verdict waits for this long after the end that makes it possible, since other boxes may be about to tell of work that explains it
/// better. Their news take some 0.2 s.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The versions of the software whose targets the work must not reach. `explains` says whether other work that may have
/// ended a life ran there.
pub(crate) fn condemned(
    ends: &[TargetCrash],
    explains: impl Fn(&TargetCrash) -> bool,
) -> Vec<Option<SoftwareVersion>> {
    let mut counts: Vec<SoftwareCount> = Vec::new();
    for end in ends {
        let own = usize::from(!explains(end));
        match counts.iter_mut().find(|count| count.software == end.software) {
            Some(count) => {
                count.ends += 1;
                count.own += own;
            }
            None => counts.push(SoftwareCount { software: end.software.clone(), ends: 1, own }),
        }
    }
    if !counts.iter().any(SoftwareCount::condemns) {
        return Vec::new();
    }
    // Software whose targets it has not ended yet may be the one that bears it; once it ends one, no more is tried.
    counts.into_iter().map(|count| count.software).collect()
}

/// Ends of targets with the same software.
struct SoftwareCount {
    software: Option<SoftwareVersion>,
    ends: usize,
    own: usize,
}

impl SoftwareCount {
    const fn condemns(&self) -> bool {
        self.ends >= UNCONDITIONAL_QUARANTINE_CRASHES
            || (self.ends >= QUARANTINE_CRASHES && self.own >= OWN_ENDS)
    }
}
