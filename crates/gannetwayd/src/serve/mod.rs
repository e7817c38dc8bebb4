//! What a box does with the requests of its peers: steps it keeps, targets it is the home of.

pub mod step;
pub mod target;
