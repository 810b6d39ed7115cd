//! Applies an operators' file: the file is checked as a whole, its objects are stored, and one conditional write
//! sets the head row together with its audit row.

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
        cluster_state::{
            audit_trail,
            config::{self, object_key},
        },
        shared::Shared,
    },
    platform::{Expect, Operation, PlatformError, Row, TransactReply, Write},
    units::Revision,
    utils::sync::lock,
};

/// Attempts to write the head if no base was stated, each after reading it anew.
const WRITE_ATTEMPTS: u32 = 5;

/// Attempts to read the head together with its file, repeated while newer revisions become active in between. The
/// operator is then told who applied the newest revision, not just that there is one.
const HEAD_READ_ATTEMPTS: u32 = 5;

/// Result of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Active revision.
    pub revision: Revision,
    /// What changed; empty if the same file was active already.
    pub changes: Vec<Change>,
}

/// Why a file was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyError {
    /// The file has errors.
    #[error("the file is refused as a whole; correct these and apply it again:\n{0}")]
    Faults(ConfigErrors),
    /// Another file was applied since the base.
    #[error(
        "revision {revision} by {by} is in force, not {base}; look at `cartvane diff`, then apply again with --base {revision}"
    )]
    Moved {
        /// Base that the operator stated.
        base: Revision,
        /// Active revision.
        revision: Revision,
        /// Who applied it.
        by: String,
        /// Differences between the active file and the rejected one.
        differs: Vec<Change>,
    },
    /// The store did not accept the file.
    #[error("the store did not take the file ({0}); nothing changed, apply it again")]
    Store(String),
    /// The store's reply was lost, and the result cannot be read back now.
    #[error(
        "the store's reply was lost ({0}); see `cartvane show` for what is in force before applying again"
    )]
    Unknown(String),
}

impl From<PlatformError> for ApplyError {
    fn from(error: PlatformError) -> ApplyError {
        ApplyError::Store(error.to_string())
    }
}

/// The active file according to the store.
struct Current {
    row: Option<Row>,
    head: Option<Head>,
    fleet: Fleet,
}

/// Checks `text` and applies it.
///
/// With `base`, only if that revision is active.
///
/// # Errors
///
/// See [`ApplyError`]; the rejection is in the audit trail unless the store fails to write it.
pub fn apply(
    shared: &Shared,
    text: &str,
    base: Option<Revision>,
    by: &str,
) -> Result<Applied, ApplyError> {
    let result = match Fleet::parse(text) {
        Ok(fleet) => apply_fleet(shared, text, &fleet, base, by),
        Err(faults) => Err(ApplyError::Faults(faults)),
    };
    if let Err(error) = &result {
        audit_refusal(shared, by, error);
    }
    result
}

fn apply_fleet(
    shared: &Shared,
    text: &str,
    fleet: &Fleet,
    base: Option<Revision>,
    by: &str,
) -> Result<Applied, ApplyError> {
    let stored = to_chunks(fleet);
    let manifest = Digest::of(&stored.manifest);
    let id = shared.next_request_id();
    put_objects(shared, &stored, manifest, text)?;
    let mut implied_base = None;
    for _ in 0..WRITE_ATTEMPTS {
        let current = current(shared)?;
        let revision = current.head.as_ref().map_or(Revision::default(), |h| h.revision);
        let changes = diff(&current.fleet, fleet);
        if let Some(base) = base.or(implied_base)
            && base != revision
        {
            return Err(moved_error(base, current, changes));
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
                activate(shared, head.clone());
                return Ok(Applied { revision: head.revision, changes });
            }
            // Another apply came first; what this operator saw is no longer active.
            false => implied_base = Some(revision),
        }
    }
    Err(ApplyError::Store("the row is changing; apply again".to_owned()))
}

fn moved_error(base: Revision, current: Current, differs: Vec<Change>) -> ApplyError {
    let head = current.head;
    ApplyError::Moved {
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
) -> Result<(), ApplyError> {
    let objects = &shared.platform.objects;
    for (name, bytes) in &stored.chunks {
        // An object in the cache has already been stored by the instance that applied it.
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

/// Reads the head from the store, and returns it with its file.
fn current(shared: &Shared) -> Result<Current, ApplyError> {
    for _ in 0..HEAD_READ_ATTEMPTS {
        let row = shared.platform.table.get(HEAD_KEY)?;
        // After a row that cannot be decoded, the file in force is what the new one follows: a revision below it would
        // be installed by no instance.
        let head = row.as_ref().and_then(|row| {
            let installed = || lock(&shared.active_revision).installed().cloned();
            decode(&row.value).ok().or_else(installed)
        });
        let Some(fleet) = fleet_at(shared, head.as_ref())? else { continue };
        return Ok(Current { row, head, fleet });
    }
    Err(ApplyError::Store("newer revisions keep coming in; apply again".to_owned()))
}

/// Returns the file of `head`, installed here if it is newer than the active one; `None` if an even newer revision
/// has become active since `head` was read.
fn fleet_at(shared: &Shared, head: Option<&Head>) -> Result<Option<Fleet>, ApplyError> {
    let Some(head) = head else { return Ok(Some(Fleet::default())) };
    if shared.revision() < head.revision {
        config::install(shared, head.clone()).map_err(|e| ApplyError::Store(e.to_string()))?;
    }
    let snapshot = shared.snapshot.load_full();
    let same = snapshot.filter(|snapshot| snapshot.revision() == head.revision);
    Ok(same.map(|snapshot| snapshot.fleet.clone()))
}

/// Writes the head with its audit row; returns false if another apply came first.
fn write_head(
    shared: &Shared,
    current: &Current,
    head: &Head,
    changes: &[Change],
    text: &str,
) -> Result<bool, ApplyError> {
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
        Operation::create(audit_key(head.at, &head.apply), audit_trail::encode_json(&audit)),
        Operation::create(revision_key(head.revision), audit_trail::encode_json(&revision)),
    ];
    match shared.platform.table.transact(operations) {
        Ok(TransactReply::Committed) => Ok(true),
        Ok(TransactReply::Conflict { .. }) => Ok(false),
        Err(error) if error.may_have_taken_effect() => read_back(shared, head, &error),
        Err(error) => Err(error.into()),
    }
}

/// Determines after a lost reply whether the write took effect. The audit row of this apply shows it, even if
/// another apply has followed.
fn read_back(shared: &Shared, head: &Head, error: &PlatformError) -> Result<bool, ApplyError> {
    let unknown = |e: PlatformError| ApplyError::Unknown(e.to_string());
    let audit = shared.platform.table.get(&audit_key(head.at, &head.apply)).map_err(unknown)?;
    if audit.is_some() {
        return Ok(true);
    }
    let row = shared.platform.table.get(HEAD_KEY).map_err(unknown)?;
    let stored: Option<Head> = row.and_then(|row| decode(&row.value).ok());
    if stored.is_some_and(|stored| stored.revision >= head.revision) {
        // Another apply has written this revision, so this write can no longer take effect.
        return Ok(false);
    }
    Err(ApplyError::Unknown(error.to_string()))
}

fn activate(shared: &Shared, head: Head) {
    let head_revision = head.revision;
    if let Err(error) = config::install(shared, head) {
        log::warn!(
            "revision {head_revision} is stored, but not yet active on this instance: {error}"
        );
        (shared.wake_config)();
    }
}

fn audit_refusal(shared: &Shared, by: &str, error: &ApplyError) {
    let at = shared.clock.wall_millis();
    let action = AuditAction::Refused { from: shared.revision(), reason: error.to_string() };
    audit_trail::append(shared, &AuditRow { at, by: by.to_owned(), action });
}
