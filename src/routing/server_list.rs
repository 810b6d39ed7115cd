//! Updates of the list of backend servers, as one instance sends them to another: mostly the changes only.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{BackendServer, Incarnation};
use crate::{
    configs::fleet::chunks::{decode, encode},
    units::SlotCount,
    utils::deflate,
};

/// Number of lists kept; an instance that is further behind receives the whole list. Lists change at most about once a
/// second, and instances ask several times as often.
const LISTS_MAX: usize = 16;

/// A list of backend servers.
pub type ServerList = Arc<Vec<BackendServer>>;

/// Identity of a list: a hash of its contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// What turns one list into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ServerListUpdate {
    /// Nothing has changed.
    Same,
    /// Some entries have changed.
    Changes {
        /// Entries that are new or changed.
        put: Vec<BackendServer>,
        /// Entries that are removed.
        removed: Vec<Incarnation>,
    },
    /// The whole list.
    Whole(Arc<PackedList>),
}

/// A whole list as it is sent, compressed once for all instances that request it. Uncompressed, as the store sends
/// them, 3,000 servers take 1.1 to 1.4 MB.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PackedList {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

/// Why an update cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum ServerListError {
    /// It cannot be decompressed.
    #[error("cannot decompress the server list: {0}; reading it from the store")]
    Packing(#[from] std::io::Error),
    /// It comes from an instance of a build with another encoding.
    #[error("cannot decode the server list: {0}; reading it from the store")]
    Encoding(#[from] rmp_serde::decode::Error),
}

/// The newest lists.
#[derive(Debug, Default)]
pub struct ListHistory {
    lists: VecDeque<(ListVersion, ServerList)>,
    /// The newest list, packed when it is first requested.
    packed: Option<Arc<PackedList>>,
}

impl PackedList {
    /// Encodes and compresses a list.
    pub fn pack(list: &[BackendServer]) -> PackedList {
        PackedList { bytes: deflate::compress(&encode(&list)) }
    }

    /// Decompresses and decodes the list.
    ///
    /// # Errors
    ///
    /// The bytes are no list, or one of a build with another encoding.
    pub fn unpack(&self) -> Result<Vec<BackendServer>, ServerListError> {
        Ok(decode(&deflate::decompress(&self.bytes)?)?)
    }
}

impl ListVersion {
    /// Returns the version of a list.
    pub fn of(list: &[BackendServer]) -> ListVersion {
        let entry = |s: &BackendServer| {
            let (id, slots) = (&s.id, s.slots.map_or(0, SlotCount::get));
            let version = s.version.as_ref().map_or("", |version| version.as_str());
            let cold = s.cold_for.as_millis();
            let text =
                format!("{id}|{}|{}|{}|{}|{slots}|{cold}", s.service, s.address, s.zone, s.leaving);
            xxh3_64(format!("{text}|{version}").as_bytes())
        };
        ListVersion(list.iter().map(entry).fold(list.len() as u64, |sum, hash| sum ^ hash))
    }
}

impl ListHistory {
    /// Adds the newest list, and returns its version.
    pub fn push(&mut self, list: Vec<BackendServer>) -> ListVersion {
        let version = ListVersion::of(&list);
        if self.lists.back().is_some_and(|(known, _)| *known == version) {
            return version;
        }
        self.packed = None;
        self.lists.push_back((version, Arc::new(list)));
        if self.lists.len() > LISTS_MAX {
            self.lists.pop_front();
        }
        version
    }

    /// Returns the newest list with its version.
    pub fn newest(&self) -> Option<&(ListVersion, ServerList)> {
        self.lists.back()
    }

    /// Returns what turns the list of `version` into the newest one.
    pub fn since(&mut self, version: Option<ListVersion>) -> ServerListUpdate {
        let Some((newest, list)) = self.lists.back() else { return ServerListUpdate::Same };
        if version == Some(*newest) {
            return ServerListUpdate::Same;
        }
        let known = self.lists.iter().find(|(known, _)| Some(*known) == version);
        let Some((_, old)) = known else {
            let pack = || Arc::new(PackedList::pack(list));
            return ServerListUpdate::Whole(Arc::clone(self.packed.get_or_insert_with(pack)));
        };
        let before: HashMap<&Incarnation, &BackendServer> =
            old.iter().map(|s| (&s.id, s)).collect();
        let after: HashSet<&Incarnation> = list.iter().map(|s| &s.id).collect();
        let changed = |s: &&BackendServer| before.get(&s.id) != Some(s);
        let put = list.iter().filter(changed).cloned().collect();
        let removed = old.iter().map(|s| &s.id).filter(|id| !after.contains(id)).cloned().collect();
        ServerListUpdate::Changes { put, removed }
    }
}

impl ServerListUpdate {
    /// Returns the list that results from applying the update to `old`.
    ///
    /// # Errors
    ///
    /// See [`ServerListError`].
    pub fn apply(self, old: &[BackendServer]) -> Result<Vec<BackendServer>, ServerListError> {
        Ok(match self {
            ServerListUpdate::Same => old.to_vec(),
            ServerListUpdate::Whole(list) => list.unpack()?,
            ServerListUpdate::Changes { put, removed } => {
                let is_kept = |s: &&BackendServer| {
                    !removed.contains(&s.id) && !put.iter().any(|changed| changed.id == s.id)
                };
                let mut list: Vec<BackendServer> = old.iter().filter(is_kept).cloned().collect();
                list.extend(put);
                list
            }
        })
    }
}
