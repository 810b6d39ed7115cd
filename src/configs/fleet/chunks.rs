//! Stored form of an operators' file: its entities in content-addressed chunks, and a manifest that lists them.
//!
//! The hash of an entity's key selects its chunk, so a change of one entity changes one chunk; see docs/DESIGN.md,
//! "Intent in force", for the figures.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

use super::Fleet;
use crate::utils::secret::digest;

/// Mean number of entities per chunk at which the number of chunks doubles.
const ENTITIES_PER_CHUNK: usize = 64;

/// Binary logarithm of the maximum number of chunks.
const CHUNK_BITS_MAX: u32 = 16;

/// First half of a SHA-256 digest; the name of a stored object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] [u8; DIGEST_BYTES]);

/// Size of a digest in bytes.
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

/// List of the chunks of one file, in order. It is encoded as the concatenated digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "serde_bytes::ByteBuf", into = "serde_bytes::ByteBuf")]
pub struct Manifest {
    /// Digests of the chunks, whose number is a power of two.
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

/// One chunk: encoded entities, sorted by their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk(BTreeMap<String, serde_bytes::ByteBuf>);

/// An operators' file in its stored form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredFleet {
    /// Encoded manifest.
    pub manifest: Vec<u8>,
    /// Encoded chunks by digest.
    pub chunks: BTreeMap<Digest, Vec<u8>>,
}

/// Error for stored bytes that cannot be decoded to a file.
#[derive(Debug, thiserror::Error)]
pub enum StoredError {
    /// The digest of an object's bytes is not the one it is stored under.
    #[error("object {0} is corrupt; it is fetched again from another source")]
    Corrupt(Digest),
    /// An object cannot be decoded.
    #[error("a stored object cannot be read ({0}); apply the file again with this version")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The key of an entity has a kind that this version does not know.
    #[error(
        "a stored entity has the unknown kind {0:?}; every instance must run this version or a newer one"
    )]
    UnknownKind(String),
    /// A chunk is missing.
    #[error("chunk {0} is missing; it is fetched again")]
    Missing(Digest),
}

/// Encodes a value as MessagePack, the format of messages between instances and of rows in the store.
///
/// # Panics
///
/// Does not panic for the types of this crate, which can all be encoded.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("the types of this crate can be encoded")
}

/// Decodes a value encoded by [`encode`].
///
/// # Errors
///
/// Fails if the bytes are not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Returns the encoded entities of a file by their keys.
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

/// Encodes a file as chunks with a manifest.
pub fn to_chunks(fleet: &Fleet) -> StoredFleet {
    let entities = entities(fleet);
    let bits =
        (entities.len() / ENTITIES_PER_CHUNK + 1).next_power_of_two().ilog2().min(CHUNK_BITS_MAX);
    let mut chunks = vec![Chunk::default(); 1 << bits];
    for (key, bytes) in entities {
        let index = xxh3_64(key.as_bytes()) as usize & ((1 << bits) - 1);
        chunks[index].0.insert(key, serde_bytes::ByteBuf::from(bytes));
    }
    let encoded: Vec<Vec<u8>> = chunks.iter().map(encode).collect();
    let manifest = Manifest { chunks: encoded.iter().map(|bytes| Digest::of(bytes)).collect() };
    let manifest_bytes = encode(&manifest);
    let chunks = manifest.chunks.into_iter().zip(encoded).collect();
    StoredFleet { manifest: manifest_bytes, chunks }
}

/// Decodes a file from its manifest; `chunk` returns the bytes of a chunk.
///
/// # Errors
///
/// Fails if a chunk is missing, corrupt or cannot be decoded.
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
