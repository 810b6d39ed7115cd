//! The stored form of a file: entities in content-addressed chunks, and a manifest of them.
//!
//! Every entity lands in the chunk that the hash of its key names, so a change of one entity
//! changes one chunk; see docs/DESIGN.md, "Intent in force", for the figures.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

use super::Fleet;
use crate::utils::secret::digest;

/// Mean number of entities a chunk is meant to hold.
const ENTITIES_PER_CHUNK: usize = 64;

/// Largest number of chunks, as a power of two.
const CHUNK_BITS_MAX: u32 = 16;

/// The first half of a SHA-256 digest: the name of a stored object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] [u8; DIGEST_BYTES]);

/// Bytes of a digest.
const DIGEST_BYTES: usize = 16;

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut half = [0; DIGEST_BYTES];
        half.copy_from_slice(&digest(bytes)[..DIGEST_BYTES]);
        Digest(half)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl std::str::FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Digest, hex::FromHexError> {
        let mut half = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut half)?;
        Ok(Digest(half))
    }
}

/// Names the chunks of one file, in order. Travels as the bare digests one after the other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "serde_bytes::ByteBuf", into = "serde_bytes::ByteBuf")]
pub struct Manifest {
    /// Digests of the chunks; their number is a power of two.
    pub chunks: Vec<Digest>,
}

impl From<serde_bytes::ByteBuf> for Manifest {
    fn from(bytes: serde_bytes::ByteBuf) -> Manifest {
        let (digests, _) = bytes.as_chunks::<DIGEST_BYTES>();
        Manifest { chunks: digests.iter().copied().map(Digest).collect() }
    }
}

impl From<Manifest> for serde_bytes::ByteBuf {
    fn from(manifest: Manifest) -> serde_bytes::ByteBuf {
        let bytes: Vec<u8> = manifest.chunks.iter().flat_map(|digest| digest.0).collect();
        serde_bytes::ByteBuf::from(bytes)
    }
}

/// One stored chunk: entity keys with their encoded entities, sorted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk(BTreeMap<String, serde_bytes::ByteBuf>);

/// A file in its stored form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredFleet {
    /// The encoded manifest.
    pub manifest: Vec<u8>,
    /// Encoded chunks by digest.
    pub chunks: BTreeMap<Digest, Vec<u8>>,
}

/// Why stored bytes are not a file.
#[derive(Debug, thiserror::Error)]
pub enum StoredError {
    /// An object's bytes do not have the digest they are stored under.
    #[error("object {0} is corrupt; it is fetched again from another source")]
    Corrupt(Digest),
    /// An object cannot be decoded.
    #[error("a stored object cannot be read ({0}); apply the file again with this version")]
    Decode(#[from] rmp_serde::decode::Error),
    /// An entity's key has an unknown kind.
    #[error(
        "a stored entity has the unknown kind {0:?}; every instance must run this version or a newer one"
    )]
    UnknownKind(String),
    /// A chunk is missing.
    #[error("chunk {0} is missing; it is fetched again")]
    Missing(Digest),
}

/// Encodes a value in the compact form used between instances and in the store.
///
/// # Panics
///
/// Never for the types of this crate: all of them can be encoded.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("the types of this crate can be encoded")
}

/// Decodes a value encoded by [`encode`].
///
/// # Errors
///
/// The bytes are not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Returns the entities of a file as sorted pairs of key and encoded entity.
pub fn entities(fleet: &Fleet) -> BTreeMap<String, Vec<u8>> {
    let mut all = BTreeMap::new();
    all.insert("salt".to_owned(), encode(&fleet.key_salt));
    all.extend(fleet.zones.values().map(|z| (format!("zone/{}", z.id), encode(z))));
    all.extend(fleet.teams.values().map(|t| (format!("team/{}", t.id), encode(t))));
    all.extend(fleet.services.values().map(|s| (format!("service/{}", s.id), encode(s))));
    all.extend(
        fleet.backend_servers.values().map(|b| (format!("backend_server/{}", b.id), encode(b))),
    );
    all.extend(fleet.shares.iter().map(|s| (format!("share/{}/{}", s.service, s.zone), encode(s))));
    all.extend(fleet.models.values().map(|m| (format!("model/{}", m.id), encode(m))));
    all
}

/// Returns the stored form of a file.
pub fn to_chunks(fleet: &Fleet) -> StoredFleet {
    let entities = entities(fleet);
    let bits =
        (entities.len() / ENTITIES_PER_CHUNK + 1).next_power_of_two().ilog2().min(CHUNK_BITS_MAX);
    let mut chunks = vec![Chunk::default(); 1 << bits];
    for (key, bytes) in entities {
        let at = xxh3_64(key.as_bytes()) as usize & ((1 << bits) - 1);
        chunks[at].0.insert(key, serde_bytes::ByteBuf::from(bytes));
    }
    let encoded: Vec<Vec<u8>> = chunks.iter().map(encode).collect();
    let manifest = Manifest { chunks: encoded.iter().map(|bytes| Digest::of(bytes)).collect() };
    let manifest_bytes = encode(&manifest);
    let chunks = manifest.chunks.into_iter().zip(encoded).collect();
    StoredFleet { manifest: manifest_bytes, chunks }
}

/// Puts a file together from its manifest and a closure that yields chunks.
///
/// # Errors
///
/// A chunk is missing, corrupt or unreadable; nothing of the file is used then.
pub fn from_chunks(
    manifest: &Manifest,
    chunk: impl Fn(&Digest) -> Option<Vec<u8>>,
) -> Result<Fleet, StoredError> {
    let mut entities = BTreeMap::new();
    for name in &manifest.chunks {
        let bytes = chunk(name).ok_or(StoredError::Missing(*name))?;
        if Digest::of(&bytes) != *name {
            return Err(StoredError::Corrupt(*name));
        }
        let Chunk(part) = decode(&bytes)?;
        entities.extend(part);
    }
    let mut fleet = Fleet::default();
    for (key, bytes) in &entities {
        add_entity(&mut fleet, key, bytes)?;
    }
    Ok(fleet)
}

fn add_entity(fleet: &mut Fleet, key: &str, bytes: &[u8]) -> Result<(), StoredError> {
    match key.split('/').next().unwrap_or_default() {
        "salt" => fleet.key_salt = decode(bytes)?,
        "zone" => {
            let zone: super::Zone = decode(bytes)?;
            fleet.zones.insert(zone.id.clone(), zone);
        }
        "team" => {
            let team: super::Team = decode(bytes)?;
            fleet.teams.insert(team.id.clone(), team);
        }
        "service" => {
            let service: super::Service = decode(bytes)?;
            fleet.services.insert(service.id.clone(), service);
        }
        "backend_server" => {
            let server: super::BackendServer = decode(bytes)?;
            fleet.backend_servers.insert(server.id.clone(), server);
        }
        "share" => fleet.shares.push(decode(bytes)?),
        "model" => {
            let model: super::Model = decode(bytes)?;
            fleet.models.insert(model.id.clone(), model);
        }
        kind => return Err(StoredError::UnknownKind(kind.to_owned())),
    }
    Ok(())
}
