//! The platform's services in memory, for a single instance and for the platform's stand-in.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    sync::{Arc, Mutex},
};

use super::{
    Expect, Member, MemberChanges, Members, Objects, Operation, Platform, Row, Table,
    TransactReply, Transaction, Write,
};
use crate::utils::sync::lock;

/// Data of the platform's services, kept in memory.
#[derive(Debug, Default)]
pub struct EmbeddedPlatform {
    rows: Mutex<BTreeMap<String, Row>>,
    objects: Mutex<HashMap<String, Vec<u8>>>,
    members: Mutex<MemberLog>,
}

#[derive(Debug, Default)]
struct MemberLog {
    version: u64,
    members: BTreeMap<String, (u64, Member)>,
}

impl EmbeddedPlatform {
    /// Returns an empty platform.
    pub fn new() -> Arc<EmbeddedPlatform> {
        Arc::default()
    }

    /// Returns services that operate on this data.
    pub fn platform(self: &Arc<Self>) -> Platform {
        let [a, b, c, d, e, f] = std::array::from_fn(|_| Arc::clone(self));
        Platform {
            table: Table::new(
                move |transaction| Ok(a.transact(transaction)),
                move |key| Ok(b.get(key)),
                move |prefix, after, most| Ok(c.scan(prefix, after, most)),
            ),
            objects: Objects::new(
                move |key, bytes| {
                    d.put_object(key, bytes);
                    Ok(())
                },
                move |key| Ok(e.get_object(key)),
            ),
            members: Members::new(move |version| Ok(f.members_since(version))),
        }
    }

    /// Performs a transaction.
    pub fn transact(&self, transaction: &Transaction) -> TransactReply {
        let mut rows = lock(&self.rows);
        for Operation { key, expect, .. } in &transaction.operations {
            let row = rows.get(key);
            let is_met = match expect {
                Expect::Any => true,
                Expect::Absent => row.is_none(),
                Expect::Version(version) => row.is_some_and(|row| row.version == *version),
            };
            if !is_met {
                return TransactReply::Conflict { key: key.clone(), row: row.cloned() };
            }
        }
        for operation in &transaction.operations {
            apply(&mut rows, operation);
        }
        TransactReply::Committed
    }

    /// Reads a row.
    pub fn get(&self, key: &str) -> Option<Row> {
        lock(&self.rows).get(key).cloned()
    }

    /// Reads up to `most` rows whose keys start with `prefix` and follow `after`, ordered by key.
    pub fn scan(&self, prefix: &str, after: &str, most: usize) -> Vec<Row> {
        let rows = lock(&self.rows);
        let from = if after < prefix { Bound::Included(prefix) } else { Bound::Excluded(after) };
        let range = rows.range::<str, _>((from, Bound::Unbounded));
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(most)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Stores an object.
    pub fn put_object(&self, key: &str, bytes: &[u8]) {
        lock(&self.objects).insert(key.to_owned(), bytes.to_vec());
    }

    /// Reads an object.
    pub fn get_object(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.objects).get(key).cloned()
    }

    /// Adds a member to the list or replaces its entry.
    pub fn set_member(&self, member: Member) {
        let mut log = lock(&self.members);
        log.version += 1;
        let version = log.version;
        log.members.insert(member.id.clone(), (version, member));
    }

    /// Returns the members that changed after `version`.
    pub fn members_since(&self, version: u64) -> MemberChanges {
        let log = lock(&self.members);
        let changed = log.members.values().filter(|(changed_at, _)| *changed_at > version);
        MemberChanges {
            version: log.version,
            changed: changed.map(|(_, member)| member.clone()).collect(),
        }
    }
}

fn apply(rows: &mut BTreeMap<String, Row>, Operation { key, write, .. }: &Operation) {
    match write {
        Write::Keep => {}
        Write::Delete => {
            rows.remove(key);
        }
        Write::Put(value) => {
            let version = rows.get(key).map_or(1, |row| row.version + 1);
            rows.insert(key.clone(), Row { key: key.clone(), value: value.clone(), version });
        }
    }
}
