//! The store's table of roll-outs. The controller reads and writes it, or another instance does so on its behalf while
//! the store rejects the controller.

use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::{
    adapter::{
        orders,
        store::{Condition, Put, StoreError, StoreRow},
        tables::{ROLLOUT_TABLE, STATUS_TABLE},
    },
    configs::fleet::chunks::{decode, encode},
    names::{IdError, ServiceName},
    routing::RolloutRecord,
};

/// Path of the request to another instance.
pub const ROLLOUT_PATH: &str = "/rollouts";

/// A record with the version that its row has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordRow {
    /// The service.
    pub service: ServiceName,
    /// Version of the row.
    pub version: u64,
    /// The record.
    pub record: RolloutRecord,
}

/// Operation on the table.
#[derive(Debug, Serialize, Deserialize)]
pub enum RolloutTableRequest {
    /// Reads all records.
    Read,
    /// Writes a record, with the status that operators read, if its row still has the version at which it was read; 0
    /// if there was no row.
    Write(RecordRow),
}

/// Result of the operation.
#[derive(Debug, Serialize, Deserialize)]
pub enum RolloutTableReply {
    /// The records were read.
    Read {
        /// Records by service.
        rows: Vec<RecordRow>,
        /// The store's clock, in milliseconds.
        now_ms: u64,
    },
    /// The record was written, and its row has this version.
    Written(u64),
    /// Another instance has written the record in the meantime.
    Conflict,
    /// The store could not be reached, or its reply was lost.
    Failed(String),
}

/// Performs an operation, through another instance if the store rejects this one.
pub fn perform(gateway: &Gateway, request: &RolloutTableRequest) -> RolloutTableReply {
    match perform_here(gateway, request) {
        Err(fault @ StoreError::Unavailable(_)) => {
            gateway.store_failed("rollouts", &fault);
            let helped = gateway.peers.forward_rollout_request(gateway.clock.now(), request);
            helped.unwrap_or_else(|| RolloutTableReply::Failed(fault.to_string()))
        }
        Ok(reply) => reply,
        Err(fault) => RolloutTableReply::Failed(fault.to_string()),
    }
}

/// Performs an operation on behalf of another instance.
pub fn perform_for_another(gateway: &Gateway, request: &RolloutTableRequest) -> RolloutTableReply {
    let reply = perform_here(gateway, request);
    reply.unwrap_or_else(|fault| RolloutTableReply::Failed(fault.to_string()))
}

fn perform_here(
    gateway: &Gateway,
    request: &RolloutTableRequest,
) -> Result<RolloutTableReply, StoreError> {
    match request {
        RolloutTableRequest::Read => {
            let read = gateway.store.rows(ROLLOUT_TABLE)?;
            let rows = gateway.decode_rows(ROLLOUT_TABLE, &read.rows, decode_row);
            Ok(RolloutTableReply::Read { rows, now_ms: read.now_ms })
        }
        RolloutTableRequest::Write(row) => match write(gateway, row) {
            Ok(version) => Ok(RolloutTableReply::Written(version)),
            Err(StoreError::Conflict) => Ok(RolloutTableReply::Conflict),
            Err(fault) => Err(fault),
        },
    }
}

fn write(gateway: &Gateway, row: &RecordRow) -> Result<u64, StoreError> {
    let key = row.service.as_str();
    let condition = Condition { table: ROLLOUT_TABLE, key, version: row.version };
    let status_key = orders::status_key(&row.service);
    let puts = [
        Put { table: ROLLOUT_TABLE, key, value: &encode(&row.record) },
        Put { table: STATUS_TABLE, key: &status_key, value: &orders::status(&row.record) },
    ];
    gateway.store.put_if(&condition, &puts).map(|version| version.counter)
}

/// Why a row is not the record of a roll-out.
#[derive(Debug, thiserror::Error)]
enum RowError {
    #[error("invalid key: {0}; remove the row")]
    Key(#[from] IdError),
    #[error("invalid value: {0}; remove the row")]
    Value(#[from] rmp_serde::decode::Error),
}

fn decode_row(row: &StoreRow) -> Result<RecordRow, RowError> {
    let (service, record) = (row.key.parse()?, decode(&row.value)?);
    Ok(RecordRow { service, version: row.version, record })
}
