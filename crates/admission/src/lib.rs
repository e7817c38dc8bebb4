//! Admission of requests to the targets of one service while they compete for slots.
//!
//! [`AdmissionQueue`] orders the requests of all boxes and grants permits, each for one request at
//! one target. It refuses at once what can't be served in time, and [`ReturnSchedule`] tells refused
//! callers when to return. [`TargetLimit`] adapts the number of permits of a target to what the
//! target refuses and reports. [`CellLayout`] divides a large service into cells, and
//! [`ReportBuffer`] holds a report until the home of its target's cell is asked.
//! [`ShortageDetector`] tells a box when to ask for permits at all: without a shortage the queue
//! would only add a hop.
//!
//! Nothing here does I/O or reads a clock; random numbers are passed in.

mod cells;
mod limit;
mod queue;
mod rate;
mod refused_work;
mod reports;
mod request;
mod schedule;
mod shares;
mod shortage;
mod targets;

pub use cells::CellLayout;
pub use limit::TargetLimit;
pub use queue::AdmissionQueue;
pub use refused_work::RefusedWork;
pub use reports::ReportBuffer;
pub use request::{
    Admission, AdmissionRequest, Grant, PermitOutcome, QueueEvent, RejectReason, Rejection,
    ReportedLoad, TargetReport, TicketId,
};
pub use schedule::ReturnSchedule;
pub use shortage::ShortageDetector;
