//! Objects of the file in force, kept for other instances and for the next change.

use std::{collections::HashMap, sync::Mutex};

use crate::{
    configs::fleet::chunks::{Digest, Manifest},
    utils::sync::lock,
};

/// Objects by digest. Only those of the last two files are kept.
#[derive(Debug, Default)]
pub struct ObjectCache {
    objects: Mutex<HashMap<Digest, Vec<u8>>>,
}

impl ObjectCache {
    /// Returns an object.
    pub fn get(&self, name: &Digest) -> Option<Vec<u8>> {
        lock(&self.objects).get(name).cloned()
    }

    /// Keeps an object; bytes that do not have the digest are refused.
    pub fn put(&self, name: Digest, bytes: Vec<u8>) -> bool {
        let sound = Digest::of(&bytes) == name;
        if sound {
            lock(&self.objects).insert(name, bytes);
        }
        sound
    }

    /// Drops every object but the manifest named and its chunks.
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
