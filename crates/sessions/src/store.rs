//! A fake store with one lease object, outages and lost responses.

use coord::lease::{LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome};
use ids::ObjectVersion;

/// A store that contains the lease of the session.
#[derive(Debug, Default)]
pub struct LeaseStore {
    object: Option<VersionedLease>,
    versions: u64,
    /// Whether all calls fail.
    pub down: bool,
    /// Number of next writes that take effect but whose response is lost.
    pub responses_to_lose: u32,
}

impl LeaseStore {
    /// Reads the lease.
    pub fn read(&self) -> ReadOutcome {
        if self.down {
            return ReadOutcome::NoAnswer;
        }
        self.object.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found)
    }

    /// Writes the lease if its version is still `expect`.
    pub fn write(&mut self, expect: ObjectVersion, record: LeaseRecord) -> WriteOutcome {
        if self.down {
            return WriteOutcome::NotApplied;
        }
        let current = self.object.as_ref().map(|object| object.version).unwrap_or_default();
        if current != expect {
            return WriteOutcome::Conflict;
        }
        self.versions += 1;
        let version = ObjectVersion::new(self.versions);
        self.object = Some(VersionedLease { version, record });
        if self.responses_to_lose > 0 {
            self.responses_to_lose -= 1;
            return WriteOutcome::Unknown;
        }
        WriteOutcome::Applied(version)
    }
}
