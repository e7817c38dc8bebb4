//! Reports of use: how many requests of each customer targets began in each window of true time.
//!
//! The box that sends a request to a target counts it, in a [`UsageTable`] under its own name and life. Counts
//! travel as absolute numbers, so that a repeat adds nothing, and the box that reports merges those of all others.
//! [`ClusterClock`] says in which window a request began, although the time of day of some boxes steps.
//! [`ReportPlan`] says what the reporting box does next. It fixes the counts of a window in the store before they
//! are sent: whoever sends that window again sends the very same.
//!
//! Nothing here does I/O or reads a clock.

mod clock;
mod plan;
mod table;
mod window;

pub use clock::{ClusterClock, UnixTime};
pub use plan::{ReportAction, ReportPlan, ReportTimes, SendOutcome, StoreOutcome, UsageReport};
pub use table::{CountSource, TableVersion, UsageCount, UsageTable};
pub use window::{UsageWindow, WindowLength};
