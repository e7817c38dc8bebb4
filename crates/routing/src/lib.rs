//! Routes of a configuration, and which target gets a request.
//!
//! [`RouteTable`] is one version of the operator's configuration; its [`CustomerTable`] tells whose keys
//! callers show. [`TargetTable`] is what this
//! box knows of the targets: what the platform lists, corrected by what this box has sent and by
//! the loads that answers tell. Nothing here does I/O; chance and time are passed in.

mod board;
mod cold;
mod customers;
mod index;
mod table;
mod target;
mod view;

pub use board::TargetTable;
pub use cold::{ColdBound, ColdLimit, ColdSender, ColdSpec};
pub use customers::{
    CallerIdentity, Customer, CustomerFault, CustomerSpec, CustomerTable, KeyDigest, KeyFault,
};
pub use index::MOST_LOOKED;
pub use table::{CallerLimits, Route, RouteKind, RouteTable, ServiceSpec, WeightedService};
pub use target::{
    ChosenTarget, HeldModel, NoTargetReason, TargetFailure, TargetLoad, TargetRecord,
    TargetRequirements,
};
