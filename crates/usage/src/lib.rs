//! Usage reports: the number of requests that started at targets, per customer and time window.
//!
//! The box that sends a request to a target counts it in a [`UsageTable`], under its own ID and
//! incarnation. Boxes exchange absolute counts, so duplicates are harmless, and the reporting box
//! merges them. [`ClusterClock`] determines the window of a request even if wall clocks step.
//! [`ReportPlan`] decides the next action of the reporting box. It commits the counts of a window
//! to the store before they are sent, so that a repeated report has the same counts.
//!
//! This crate does no I/O and reads no clock.

mod clock;
mod plan;
mod table;
mod window;

pub use clock::{ClusterClock, UnixTime};
pub use plan::{ReportAction, ReportPlan, ReportTimes, SendOutcome, StoreOutcome, UsageReport};
pub use table::{CountSource, TableVersion, UsageCount, UsageTable};
pub use window::{UsageWindow, WindowLength};
