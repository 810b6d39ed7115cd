//! Rows that are added to the audit trail.

use serde::Serialize;

use crate::{
    audit::{AuditRow, audit_key},
    instance::shared::Shared,
    platform::Operation,
};

/// Adds a row to the audit trail; one that the store does not take is in the log only.
pub fn append(shared: &Shared, row: &AuditRow) {
    let key = audit_key(row.at, &shared.next_request_id());
    if let Err(fault) =
        shared.platform.table.transact(vec![Operation::create(key, encode_json(row))])
    {
        log::warn!("audit row not kept ({fault}): {row}");
    }
}

/// Encodes a row of the audit trail.
///
/// # Panics
///
/// Never for the types of the trail, which can all be encoded.
pub(super) fn encode_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the audit types can be encoded")
}
