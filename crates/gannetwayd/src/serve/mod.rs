//! Request handlers for the steps kept by this box and the targets whose home it is.

pub mod step;
pub mod target;
