//! Conversion between wire messages and the types of the decision code.

use std::str::FromStr;
use std::time::Duration;

use coord::members::{Heartbeat, MemberRecord, RelayedRecord};
use ids::{Generation, IdError, Incarnation};

use crate::peer::{BoxHeartbeat, Member};

/// Errors when converting a received message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConvertError {
    /// A field is not a valid ID.
    #[error(transparent)]
    Id(#[from] IdError),
}

/// Parses an ID from a field of a message.
pub fn parse_id<T: FromStr<Err = IdError>>(text: &str) -> Result<T, ConvertError> {
    Ok(text.parse()?)
}

/// Converts a heartbeat to its wire form, which also carries the revision of the target list.
pub fn heartbeat_to_wire(heartbeat: &Heartbeat, targets_revision: Generation) -> BoxHeartbeat {
    BoxHeartbeat {
        box_id: heartbeat.from.to_string(),
        incarnation: heartbeat.incarnation.get(),
        leaving: heartbeat.leaving,
        config_generation: heartbeat.generation.get(),
        targets_revision: targets_revision.get(),
        record: heartbeat.record.as_ref().map(|record| member_to_wire(record, Duration::ZERO)),
        relayed: heartbeat
            .relayed
            .iter()
            .map(|relayed| member_to_wire(&relayed.record, relayed.age))
            .collect(),
    }
}

/// Converts a received heartbeat.
pub fn heartbeat_from_wire(heartbeat: BoxHeartbeat) -> Result<Heartbeat, ConvertError> {
    let record = heartbeat.record.map(member_from_wire).transpose()?;
    let relayed: Result<Vec<RelayedRecord>, ConvertError> =
        heartbeat.relayed.into_iter().map(member_from_wire).collect();
    Ok(Heartbeat {
        from: parse_id(&heartbeat.box_id)?,
        incarnation: Incarnation::new(heartbeat.incarnation),
        leaving: heartbeat.leaving,
        generation: Generation::new(heartbeat.config_generation),
        record: record.map(|relayed| relayed.record),
        relayed: relayed?,
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
