//! Appends rows to the audit trail.

use serde::Serialize;

use crate::{
    audit::{AuditRow, audit_key},
    instance::shared::Shared,
    platform::Operation,
};

/// Appends a row to the audit trail; if the store does not accept it, it is only logged.
pub fn append(shared: &Shared, row: &AuditRow) {
    let key = audit_key(row.at, &shared.next_request_id());
    if let Err(error) =
        shared.platform.table.transact(vec![Operation::create(key, encode_json(row))])
    {
        log::warn!("the store did not accept an audit row ({error}): {row}");
    }
}

/// Encodes a row of the audit trail.
///
/// # Panics
///
/// Never for the types of the audit trail, which can all be encoded.
pub(super) fn encode_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the audit types can be encoded")
}
