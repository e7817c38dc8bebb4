//! Configured routes and the choice of a target for each request.
//!
//! [`RouteTable`] is one version of the operator's configuration; its [`CustomerTable`] maps API
//! keys to customers. [`TargetTable`] tracks the targets: the platform's listing, corrected by the
//! requests that this box has in flight and by the loads that targets report in responses. This
//! crate does no I/O; random numbers and the current time are passed in.

mod cold;
mod customers;
mod index;
mod regional_index;
mod regions;
mod speed;
mod table;
mod target;
mod target_state;
mod target_table;
mod uneven;

pub use cold::{ColdBound, ColdLimit, ColdSender, ColdSpec};
pub use customers::{
    CallerIdentity, Customer, CustomerFault, CustomerSpec, CustomerTable, KeyDigest, KeyFault,
};
pub use index::MAX_CANDIDATES;
pub use regions::{RegionMap, RegionMapError, RegionScope};
pub use speed::Slowdown;
pub use table::{
    CallerLimits, DEFAULT_PRIORITY, Route, RouteKind, RouteTable, ServiceSpec, WeightedService,
};
pub use target::{
    ChosenTarget, EngineChoice, HeldModel, MoveEstimate, NoTargetReason, PredictedWork,
    RunProgress, TargetFailure, TargetLoad, TargetRecord, TargetRequirements, TargetSpeed,
    WorkUnits,
};
pub use target_table::TargetTable;
