//! The daemon of an entry box.
//!
//! A thin shell: actors own the decision crates' state machines and do their I/O. Control
//! state lives on one thread; traffic has others. See `docs/ARCHITECTURE.md` for the way of a
//! request through these modules.

pub mod apply;
pub mod clock;
pub mod context;
pub mod coordinator;
pub mod daemon;
pub mod documents;
pub mod home;
pub mod http;
pub mod keeper;
pub mod lease;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod peer;
pub mod refuse;
pub mod route;
pub mod serve;
pub mod settings;
pub mod trace;
