//! Which work ends the targets that run it.
//!
//! A request may crash each target that begins to run it. A box that puts every break down to the target sends
//! it to the next one, its caller comes again at another box, and soon no target of the service is left. So
//! each box remembers, by a digest of what was asked for, under which work targets have ended ([`SuspectTable`]), tells
//! the others ([`SuspectRecord`]), and turns work away once it is condemned.
//!
//! Innocent work must not suffer for it. When a target ends, all that ran there breaks off, and most of it is
//! well; targets also end for reasons of their own. So
//! - only the end of a target counts, not a closed connection, and one life of a target counts once;
//! - work that is answered well anywhere is free at once;
//! - an end counts for the work that has the most of them, or enough without the others: what another piece of work
//!   explains as well condemns nobody ([`verdict`]);
//! - work under suspicion runs apart from other such work where it can, and only there before the end that would condemn
//!   it, so that each end tells them apart;
//! - a verdict is about a service and a version of its software, and is forgotten after a while.
//!
//! Nothing here does I/O or reads a clock.

mod book;
mod record;
mod verdict;

pub use book::{AntiAffinity, SuspectTable, SuspectWrite};
pub use record::{MAX_CRASHES, SuspectRecord, TargetCrash};
pub use verdict::{QUARANTINE_CRASHES, UNCONDITIONAL_QUARANTINE_CRASHES};
