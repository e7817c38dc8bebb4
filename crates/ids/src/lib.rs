//! Newtypes shared by every crate: identities, counters, digests and points in time.
//!
//! Nothing here does I/O or reads a clock. Text ids are cheap to clone and are checked once,
//! when parsed; number ids are plain wrappers. All have `Display` and `FromStr`, so the same
//! spelling serves in settings, logs, paths and messages.

mod digest;
mod life;
mod moment;
mod number;
mod place;
mod text;
mod window;
mod work;

pub use digest::{ContentDigest, DigestWriter};
pub use life::TargetIncarnation;
pub use moment::{Moment, whole_millis};
pub use number::{
    FencingToken, Generation, Incarnation, ModelVersion, NumberError, ObjectVersion, ShardIndex,
    SlotIndex, StartTime, StepNumber, TokenCount,
};
pub use place::RecordLocation;
pub use text::{
    BoxId, CustomerName, DomainId, IdError, InstanceId, ItemId, JobId, ModelName, PoolName,
    RequestId, RouteName, ServiceName, SoftwareVersion, TargetId, TrainerId,
};
pub use window::VersionWindow;
pub use work::WorkDigest;
