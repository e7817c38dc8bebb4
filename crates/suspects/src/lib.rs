//! Detects and quarantines poison work: requests that crash the targets that run them.
//!
//! A poison request crashes one target after another: each box retries it at the next target, and
//! its caller retries it at other boxes, until the service has no target left. Therefore each box
//! records by digest which work was running when a target crashed ([`SuspectTable`]), shares this
//! with the other boxes ([`SuspectRecord`]), and rejects work that is quarantined.
//!
//! A crash disconnects everything that ran at the target, and targets also crash for other reasons.
//! These rules protect work that did not cause the crash:
//! - Only a crash counts, not a closed connection, and each incarnation of a target counts once.
//! - Work that completes successfully is cleared at once.
//! - Crashes that other work explains as well do not quarantine it (module `verdict`).
//! - Suspects run at different targets where possible, so that the next crash tells them apart. One
//!   crash before quarantine this becomes mandatory.
//! - Quarantine is per service and software version, and expires.
//!
//! Owed work, items of jobs and their reward calls, is never quarantined: it only waits after a crash
//! (module `owed`).
//!
//! This crate does no I/O and reads no clock.

mod owed;
mod record;
mod suspect;
mod table;
mod verdict;

pub use record::{MAX_CRASHES, SuspectRecord, TargetCrash};
pub use table::{AntiAffinity, SuspectTable, SuspectWrite};
pub use verdict::{QUARANTINE_CRASHES, UNCONDITIONAL_QUARANTINE_CRASHES};
