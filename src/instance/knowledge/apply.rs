//! Puts an operators' file in force: checked whole, stored, and named by one conditional write
//! together with its audit row.

use serde::{Deserialize, Serialize};

use crate::{
    audit::{AuditAction, AuditRow, CHANGES_MAX, RevisionRow, audit_key, revision_key},
    configs::{
        fleet::{
            Fleet,
            chunks::{Digest, decode, encode, to_chunks},
            diff::{Change, diff},
        },
        reader::ConfigErrors,
    },
    contract::revision::{HEAD_KEY, Head},
    instance::{
        knowledge::{
            audit_trail,
            config::{self, object_key},
        },
        shared::Shared,
    },
    platform::{Expect, Operation, PlatformError, Row, TransactReply, Write},
    units::Revision,
};

/// Tries to write the head, each after reading it anew, when no base was stated.
const TRIES: u32 = 5;

/// Reads of the head in a row during which newer revisions may come into force: who applied the newest is told then, not that
/// there is one.
const HEAD_READS: u32 = 5;

/// What came of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Revision in force.
    pub revision: Revision,
    /// What changed; empty when the same file was in force already.
    pub changes: Vec<Change>,
}

/// Why a file was not put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyFault {
    /// The file has faults.
    #[error("the file is refused as a whole; correct these and apply it again:\n{0}")]
    Faults(ConfigErrors),
    /// Another file was put in force since the base.
    #[error(
        "revision {revision} by {by} is in force, not {base}; look at `cartvane diff`, then apply again with --base {revision}"
    )]
    Moved {
        /// Base that the operator stated.
        base: Revision,
        /// Revision in force.
        revision: Revision,
        /// Who applied it.
        by: String,
        /// What differs between the file in force and the one refused.
        differs: Vec<Change>,
    },
    /// The store did not take it.
    #[error("the store did not take the file ({0}); nothing changed, apply it again")]
    Store(String),
    /// The store's reply was lost and it cannot be read back now.
    #[error(
        "the store's reply was lost ({0}); see `cartvane show` for what is in force before applying again"
    )]
    Unknown(String),
}

impl From<PlatformError> for ApplyFault {
    fn from(fault: PlatformError) -> ApplyFault {
        ApplyFault::Store(fault.to_string())
    }
}

/// The file in force as the store has it.
struct Current {
    row: Option<Row>,
    head: Option<Head>,
    fleet: Fleet,
}

/// Checks `text` and puts it in force.
///
/// With `base`, only if that revision is in force.
///
/// # Errors
///
/// See [`ApplyFault`]; the refusal is in the audit trail when the store takes it.
pub fn apply(
    shared: &Shared,
    text: &str,
    base: Option<Revision>,
    by: &str,
) -> Result<Applied, ApplyFault> {
    let result = match Fleet::parse(text) {
        Ok(fleet) => apply_fleet(shared, text, &fleet, base, by),
        Err(faults) => Err(ApplyFault::Faults(faults)),
    };
    if let Err(fault) = &result {
        note_refusal(shared, by, fault);
    }
    result
}

fn apply_fleet(
    shared: &Shared,
    text: &str,
    fleet: &Fleet,
    base: Option<Revision>,
    by: &str,
) -> Result<Applied, ApplyFault> {
    let stored = to_chunks(fleet);
    let manifest = Digest::of(&stored.manifest);
    let id = shared.next_request_id();
    put_objects(shared, &stored, manifest, text)?;
    let mut moved = None;
    for _ in 0..TRIES {
        let current = current(shared)?;
        let revision = current.head.as_ref().map_or(Revision::default(), |h| h.revision);
        let changes = diff(&current.fleet, fleet);
        if let Some(base) = base.or(moved)
            && base != revision
        {
            return Err(moved_fault(base, current, changes));
        }
        if current.head.as_ref().is_some_and(|h| h.manifest == manifest) {
            return Ok(Applied { revision, changes: Vec::new() });
        }
        let head = Head {
            revision: revision.next(),
            manifest,
            apply: id.clone(),
            by: by.to_owned(),
            at: shared.clock.wall_millis(),
        };
        match write_head(shared, &current, &head, &changes, text)? {
            true => {
                put_in_force(shared, head.clone());
                return Ok(Applied { revision: head.revision, changes });
            }
            // Another apply came first. What this operator saw is no longer in force.
            false => moved = Some(revision),
        }
    }
    Err(ApplyFault::Store("the row is changing; apply again".to_owned()))
}

fn moved_fault(base: Revision, current: Current, differs: Vec<Change>) -> ApplyFault {
    let head = current.head;
    ApplyFault::Moved {
        base,
        revision: head.as_ref().map_or(Revision::default(), |h| h.revision),
        by: head.map_or_else(|| "nobody".to_owned(), |h| h.by),
        differs,
    }
}

fn put_objects(
    shared: &Shared,
    stored: &crate::configs::fleet::chunks::StoredFleet,
    manifest: Digest,
    text: &str,
) -> Result<(), ApplyFault> {
    let objects = &shared.platform.objects;
    for (name, bytes) in &stored.chunks {
        // What is in force here has been stored by whoever applied it.
        if shared.objects.get(name).is_none() {
            objects.put(&object_key(name), bytes)?;
        }
    }
    objects.put(&object_key(&manifest), &stored.manifest)?;
    objects.put(&object_key(&Digest::of(text.as_bytes())), text.as_bytes())?;
    for (name, bytes) in &stored.chunks {
        shared.objects.put(*name, bytes.clone());
    }
    shared.objects.put(manifest, stored.manifest.clone());
    Ok(())
}

/// Reads the head and its file from the store, or from memory where that is the same.
fn current(shared: &Shared) -> Result<Current, ApplyFault> {
    for _ in 0..HEAD_READS {
        let row = shared.platform.table.get(HEAD_KEY)?;
        let head: Option<Head> = row.as_ref().and_then(|row| decode(&row.value).ok());
        let Some(fleet) = fleet_of(shared, head.as_ref())? else { continue };
        return Ok(Current { row, head, fleet });
    }
    Err(ApplyFault::Store("newer revisions keep coming in; apply again".to_owned()))
}

/// Returns the file of a head; `None` where a newer one has come into force since the head was read.
fn fleet_of(shared: &Shared, head: Option<&Head>) -> Result<Option<Fleet>, ApplyFault> {
    let Some(head) = head else { return Ok(Some(Fleet::default())) };
    if shared.revision() < head.revision {
        config::install(shared, head.clone()).map_err(|e| ApplyFault::Store(e.to_string()))?;
    }
    let snapshot = shared.snapshot.load_full();
    let same = snapshot.filter(|snapshot| snapshot.revision() == head.revision);
    Ok(same.map(|snapshot| snapshot.fleet.clone()))
}

/// Writes the head with its audit row; false when another apply came first.
fn write_head(
    shared: &Shared,
    current: &Current,
    head: &Head,
    changes: &[Change],
    text: &str,
) -> Result<bool, ApplyFault> {
    let audit = AuditRow {
        at: head.at,
        by: head.by.clone(),
        action: AuditAction::Applied {
            from: Revision(head.revision.0 - 1),
            to: head.revision,
            changes: changes.iter().take(CHANGES_MAX).cloned().collect(),
            count: changes.len(),
        },
    };
    let source = Digest::of(text.as_bytes());
    let revision = RevisionRow { revision: head.revision, manifest: head.manifest, source };
    let expect = current.row.as_ref().map_or(Expect::Absent, |row| Expect::Version(row.version));
    let operations = vec![
        Operation { key: HEAD_KEY.to_owned(), expect, write: Write::Put(encode(head)) },
        Operation::create(audit_key(head.at, &head.apply), audit_trail::json(&audit)),
        Operation::create(revision_key(head.revision), audit_trail::json(&revision)),
    ];
    match shared.platform.table.transact(operations) {
        Ok(TransactReply::Committed) => Ok(true),
        Ok(TransactReply::Conflict { .. }) => Ok(false),
        Err(fault) if fault.may_have_taken_effect() => read_back(shared, head, &fault),
        Err(fault) => Err(fault.into()),
    }
}

/// The reply was lost: the row for the revision tells whether this apply wrote it, also when yet
/// another one has followed.
fn read_back(shared: &Shared, head: &Head, fault: &PlatformError) -> Result<bool, ApplyFault> {
    let unknown = |e: PlatformError| ApplyFault::Unknown(e.to_string());
    let audit = shared.platform.table.get(&audit_key(head.at, &head.apply)).map_err(unknown)?;
    if audit.is_some() {
        return Ok(true);
    }
    let row = shared.platform.table.get(HEAD_KEY).map_err(unknown)?;
    let seen: Option<Head> = row.and_then(|row| decode(&row.value).ok());
    if seen.is_some_and(|seen| seen.revision >= head.revision) {
        // The revision is taken by another apply, so this one can no longer take effect.
        return Ok(false);
    }
    Err(ApplyFault::Unknown(fault.to_string()))
}

fn put_in_force(shared: &Shared, head: Head) {
    let head_revision = head.revision;
    if let Err(fault) = config::install(shared, head) {
        log::warn!("revision {head_revision} is accepted and not yet in force here: {fault}");
        (shared.wake_sync)();
    }
}

fn note_refusal(shared: &Shared, by: &str, fault: &ApplyFault) {
    let at = shared.clock.wall_millis();
    let action = AuditAction::Refused { from: shared.revision(), reason: fault.to_string() };
    audit_trail::append(shared, &AuditRow { at, by: by.to_owned(), action });
}
