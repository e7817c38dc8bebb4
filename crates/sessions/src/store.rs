//! A lease object with versions, outages and lost answers.

use coord::lease::{LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome};
use ids::ObjectVersion;

/// The one lease of a session.
#[derive(Debug, Default)]
pub struct LeaseStore {
    object: Option<VersionedLease>,
    versions: u64,
    /// Every call is refused.
    pub down: bool,
    /// This many writes take effect and lose their answer.
    pub lose_answers: u32,
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
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return WriteOutcome::Unknown;
        }
        WriteOutcome::Applied(version)
    }
}
