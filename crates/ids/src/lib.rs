//! Newtypes shared by every crate: identities, counters, digests and points in time.
//!
//! Nothing here does I/O or reads a clock. Text IDs are inexpensive to clone and are validated
//! once, when parsed. Number IDs are plain wrappers. All IDs implement `Display` and `FromStr`, so
//! settings, logs, paths and messages use the same format.

mod byte_rate;
mod digest;
mod incarnation;
mod location;
mod moment;
mod number;
mod text;
mod window;
mod work;

pub use digest::{ContentDigest, DigestWriter};
pub use incarnation::TargetIncarnation;
pub use location::RecordLocation;
pub use moment::{Moment, whole_millis};
pub use number::{
    ByteRate, FencingToken, Generation, Incarnation, ModelVersion, NumberError, ObjectVersion,
    Priority, ShardIndex, SlotIndex, StartTime, StepNumber, TokenCount,
};
pub use text::{
    BoxId, CustomerName, DomainId, IdError, InstanceId, ItemId, JobId, ModelName, PoolName,
    RegionId, RequestId, RouteName, ServiceName, SoftwareVersion, TargetId, TrainerId,
};
pub use window::VersionWindow;
pub use work::WorkDigest;
