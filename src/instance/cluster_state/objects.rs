//! Cache of the objects of the active file, for other instances and for the next revision.

use std::{collections::HashMap, sync::Mutex};

use crate::{
    configs::fleet::chunks::{Digest, Manifest},
    utils::sync::lock,
};

/// Objects by digest. The objects of the previous file are dropped once a new one is active.
#[derive(Debug, Default)]
pub struct ObjectCache {
    objects: Mutex<HashMap<Digest, Vec<u8>>>,
}

impl ObjectCache {
    /// Returns a cached object.
    pub fn get(&self, name: &Digest) -> Option<Vec<u8>> {
        lock(&self.objects).get(name).cloned()
    }

    /// Stores an object if its digest is `name`; returns whether it is.
    pub fn put(&self, name: Digest, bytes: Vec<u8>) -> bool {
        let matches = Digest::of(&bytes) == name;
        if matches {
            lock(&self.objects).insert(name, bytes);
        }
        matches
    }

    /// Drops every object except the manifest and its chunks.
    pub fn keep_only(&self, manifest_name: &Digest, manifest: &Manifest) {
        let mut objects = lock(&self.objects);
        let mut kept = HashMap::with_capacity(manifest.chunks.len() + 1);
        for name in manifest.chunks.iter().chain([manifest_name]) {
            if let Some(bytes) = objects.remove(name) {
                kept.insert(*name, bytes);
            }
        }
        *objects = kept;
    }
}
