//! The audit trail: who changed what, when, and what came of it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::{chunks::Digest, diff::Change},
    units::Revision,
};

/// Prefix of the keys of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// Prefix of the keys of the rows that name each revision's file.
pub const REVISION_PREFIX: &str = "revision/";

/// Most changed entities named in one row.
pub const CHANGES_MAX: usize = 200;

/// What was done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum AuditAction {
    /// A file was put in force.
    Applied {
        /// Revision before.
        from: Revision,
        /// Revision after.
        to: Revision,
        /// What differs, at most [`CHANGES_MAX`].
        changes: Vec<Change>,
        /// Number of differing entities.
        count: usize,
    },
    /// A file was refused.
    Refused {
        /// Revision in force.
        from: Revision,
        /// Why.
        reason: String,
    },
    /// An instance was told to drain.
    Drain {
        /// Which.
        instance: String,
    },
    /// An engine was given an order.
    Order {
        /// Which engine.
        backend_server: String,
        /// What was ordered and what came of it.
        detail: String,
        /// Fencing number.
        fencing: u64,
    },
}

/// One row of the trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// When, in milliseconds since 1970.
    pub at: u64,
    /// Who.
    pub by: String,
    /// What.
    #[serde(flatten)]
    pub action: AuditAction,
}

/// Names the file of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRow {
    /// Revision.
    pub revision: Revision,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Digest of the text as it was applied.
    pub source: Digest,
}

/// Returns the key of an audit row; keys sort by time.
pub fn audit_key(at: u64, id: &str) -> String {
    format!("{AUDIT_PREFIX}{at:015}-{id}")
}

/// Returns the key of the row that names a revision's file.
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:012}", revision.0)
}

impl AuditRow {
    /// Returns whether the row concerns `entity`.
    pub fn concerns(&self, entity: &str) -> bool {
        match &self.action {
            AuditAction::Applied { changes, .. } => {
                changes.iter().any(|c| c.entity.contains(entity))
            }
            AuditAction::Refused { reason, .. } => reason.contains(entity),
            AuditAction::Drain { instance } => instance.contains(entity),
            AuditAction::Order { backend_server, .. } => backend_server.contains(entity),
        }
    }
}

impl fmt::Display for AuditRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(self.at);
        write!(f, "{} {} ", humantime::format_rfc3339_millis(at), self.by)?;
        match &self.action {
            AuditAction::Applied { from, to, changes, count } => {
                write!(f, "applied {from} -> {to}, {count} changed")?;
                changes.iter().try_for_each(|change| write!(f, "\n  {change}"))
            }
            AuditAction::Refused { from, reason } => {
                write!(f, "refused at {from}: {}", reason.replace('\n', "\n  "))
            }
            AuditAction::Drain { instance } => write!(f, "drain {instance}"),
            AuditAction::Order { backend_server, detail, fencing } => {
                write!(f, "order {fencing} to {backend_server}: {detail}")
            }
        }
    }
}
