//! The daemon of an entry box.
//!
//! Actors own the state machines of the decision crates and perform their I/O. Control state is
//! confined to one thread; traffic runs on others. See `docs/ARCHITECTURE.md` for the path of a
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
