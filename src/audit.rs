//! Rows of the audit trail: who did what, when, and with which result.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::{chunks::Digest, diff::Change},
    units::Revision,
};

/// Prefix of the keys of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// Prefix of the keys of the rows that point to the configuration file of each revision.
pub const REVISION_PREFIX: &str = "revision/";

/// Maximum number of changed entities listed in one row.
pub const CHANGES_MAX: usize = 200;

/// An audited action.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum AuditAction {
    /// A configuration file was activated.
    Applied {
        /// Revision that was active before.
        from: Revision,
        /// Revision that is active now.
        to: Revision,
        /// Changed entities, at most [`CHANGES_MAX`].
        changes: Vec<Change>,
        /// Number of all changed entities.
        count: usize,
    },
    /// A configuration file was rejected.
    Refused {
        /// Active revision.
        from: Revision,
        /// Why it was rejected.
        reason: String,
    },
    /// An operator requested that an instance drains.
    Drain {
        /// Id of the instance.
        instance: String,
    },
    /// An order was sent to an engine.
    Order {
        /// Id of the engine.
        backend_server: String,
        /// The order and its result.
        detail: String,
        /// Fencing number of the order.
        fencing: u64,
    },
}

/// One row of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// Time, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Who did it.
    pub by: String,
    /// What was done.
    #[serde(flatten)]
    pub action: AuditAction,
}

/// Points to the configuration file of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRow {
    /// Revision.
    pub revision: Revision,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Digest of the file's text, as an operator applied it.
    pub source: Digest,
}

/// Returns the key of an audit row; keys sort by time.
pub fn audit_key(at: u64, id: &str) -> String {
    format!("{AUDIT_PREFIX}{at:015}-{id}")
}

/// Returns the key of a revision's [`RevisionRow`].
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:012}", revision.0)
}

impl AuditRow {
    /// Returns whether the row is about an entity whose name contains `entity`, or a rejection whose reason does.
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
