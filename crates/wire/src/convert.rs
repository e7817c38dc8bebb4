//! Between wire messages and the decision code's types.

use std::str::FromStr;
use std::time::Duration;

use coord::members::{Heartbeat, MemberRecord, RelayedRecord};
use ids::{Generation, IdError, Incarnation};

use crate::peer::{BoxHeartbeat, Member};

/// Why a message was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConvertError {
    /// A text that is no id.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A field that must be there is not.
    #[error("the message lacks `{0}`: check that both boxes run one release")]
    Missing(&'static str),
}

/// Reads an id from a message's field.
pub fn parse_id<T: FromStr<Err = IdError>>(text: &str) -> Result<T, ConvertError> {
    Ok(text.parse()?)
}

/// A beat for the wire; the target list's revision rides along.
pub fn heartbeat_to_wire(beat: &Heartbeat, targets_revision: Generation) -> BoxHeartbeat {
    BoxHeartbeat {
        box_id: beat.from.to_string(),
        incarnation: beat.incarnation.get(),
        leaving: beat.leaving,
        config_generation: beat.generation.get(),
        targets_revision: targets_revision.get(),
        record: beat.record.as_ref().map(|record| member_to_wire(record, Duration::ZERO)),
        told: beat.relayed.iter().map(|told| member_to_wire(&told.record, told.age)).collect(),
    }
}

/// A beat from the wire.
pub fn heartbeat_from_wire(beat: BoxHeartbeat) -> Result<Heartbeat, ConvertError> {
    let record = beat.record.map(member_from_wire).transpose()?;
    let told: Result<Vec<RelayedRecord>, ConvertError> =
        beat.told.into_iter().map(member_from_wire).collect();
    Ok(Heartbeat {
        from: parse_id(&beat.box_id)?,
        incarnation: Incarnation::new(beat.incarnation),
        leaving: beat.leaving,
        generation: Generation::new(beat.config_generation),
        record: record.map(|told| told.record),
        relayed: told?,
    })
}

fn member_to_wire(record: &MemberRecord, age: Duration) -> Member {
    Member {
        box_id: record.id.to_string(),
        domain: record.domain.to_string(),
        incarnation: record.incarnation.get(),
        address: record.address.clone(),
        leaving: record.leaving,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn member_from_wire(member: Member) -> Result<RelayedRecord, ConvertError> {
    let record = MemberRecord {
        id: parse_id(&member.box_id)?,
        domain: parse_id(&member.domain)?,
        incarnation: Incarnation::new(member.incarnation),
        address: member.address,
        leaving: member.leaving,
    };
    Ok(RelayedRecord { record, age: Duration::from_millis(u64::from(member.age_ms)) })
}
