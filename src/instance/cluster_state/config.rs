//! Polls for new revisions, fetches them from peers or the store, and activates them.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

use crate::{
    configs::fleet::chunks::{Digest, Manifest, decode, from_chunks},
    contract::revision::{HEAD_KEY, Head},
    instance::{
        cluster_state::{gossip, snapshot::Snapshot},
        shared::Shared,
    },
    link::{
        traffic::Purpose,
        wire::{FETCH_PATH, FetchReply, FetchRequest},
    },
    platform::PlatformError,
    utils::sync::lock,
};

/// Peers that are asked for an object before the store.
const OBJECT_PEERS: usize = 2;

/// Peers that are asked for their head when the store does not reply.
const HEAD_PEERS: usize = 5;

/// Wakes the configuration thread before its next poll is due.
#[derive(Debug, Default)]
pub struct Waker {
    requested: Mutex<bool>,
    woken: Condvar,
}

impl Waker {
    /// Requests a poll now.
    pub fn wake(&self) {
        *lock(&self.requested) = true;
        self.woken.notify_all();
    }

    /// Waits for a request for at most `timeout`; returns whether there was one.
    pub fn wait(&self, timeout: Duration) -> bool {
        let mut requested = lock(&self.requested);
        if !*requested {
            requested = match self.woken.wait_timeout(requested, timeout) {
                Ok((requested, _)) => requested,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        std::mem::take(&mut *requested)
    }
}

/// Why a revision could not be activated now.
#[derive(Debug, thiserror::Error)]
pub enum SyncError {
    /// Neither the store nor a peer returned a head.
    #[error("no head was learned: {0}; the instance is ready once the store or a peer answers")]
    NoHead(PlatformError),
    /// An object is available neither at the peers asked nor in the store.
    #[error("object {0} is at no peer and not in the store; it is looked for again")]
    Missing(Digest),
    /// The stored objects cannot be decoded into a file.
    #[error(transparent)]
    Stored(#[from] crate::configs::fleet::chunks::StoredError),
    /// The manifest cannot be decoded.
    #[error("the manifest cannot be read ({0}); apply the file again with this version")]
    Manifest(#[from] rmp_serde::decode::Error),
}

/// Polls once for a newer revision, at the peers if the store fails, and activates it.
///
/// # Errors
///
/// See [`SyncError`]; the active revision stays.
pub fn sync(shared: &Shared) -> Result<(), SyncError> {
    let from_store = match shared.platform.table.get(HEAD_KEY) {
        Ok(row) => row.and_then(|row| decode::<Head>(&row.value).ok()).into_iter().collect(),
        Err(error) => {
            let heads = fetch_peer_heads(shared);
            if heads.is_empty() && shared.snapshot.load().is_none() {
                return Err(SyncError::NoHead(error));
            }
            heads
        }
    };
    install_newest(shared, from_store)
}

/// Polls peers, but not the store, for a newer revision, and activates it.
///
/// # Errors
///
/// See [`SyncError`]; the active revision stays.
pub fn sync_from_peers(shared: &Shared) -> Result<(), SyncError> {
    install_newest(shared, fetch_peer_heads(shared))
}

fn install_newest(shared: &Shared, heads: Vec<Head>) -> Result<(), SyncError> {
    let pending = {
        let mut active_revision = lock(&shared.active_revision);
        for head in heads {
            active_revision.note_head(head);
        }
        active_revision.pending().cloned()
    };
    match pending {
        Some(head) => install(shared, head.clone())
            .inspect_err(|_| lock(&shared.active_revision).note_not_installed(&head)),
        None => Ok(()),
    }
}

fn fetch_peer_heads(shared: &Shared) -> Vec<Head> {
    let fetch_head = |address| {
        let reply = shared.peers.call::<FetchReply>(
            Purpose::Config,
            address,
            FETCH_PATH,
            &FetchRequest::Head,
        );
        match reply {
            Ok(FetchReply::Head(head)) => head,
            _ => None,
        }
    };
    peer_addresses(shared, HEAD_PEERS).into_iter().filter_map(fetch_head).collect()
}

fn peer_addresses(shared: &Shared, count: usize) -> Vec<std::net::SocketAddr> {
    let now = shared.clock.now();
    let membership = lock(&shared.membership);
    let mut peers: Vec<_> =
        membership.peers().filter(|p| !p.is_suspect(now)).map(|p| p.address).collect();
    fastrand::shuffle(&mut peers);
    peers.truncate(count);
    peers
}

/// Fetches the missing objects of a revision and activates it.
///
/// # Errors
///
/// See [`SyncError`]; the active revision stays.
pub fn install(shared: &Shared, head: Head) -> Result<(), SyncError> {
    let manifest_bytes = fetch_object(shared, &head.manifest)?;
    let manifest: Manifest = decode(&manifest_bytes)?;
    for chunk in &manifest.chunks {
        fetch_object(shared, chunk)?;
    }
    let fleet = from_chunks(&manifest, |name| shared.objects.get(name))?;
    let snapshot = Arc::new(Snapshot::new(head.clone(), fleet));
    {
        // Locked while the snapshot is swapped, so that an older one never replaces a newer one.
        let mut active_revision = lock(&shared.active_revision);
        if !active_revision.install(head.clone()) {
            return Ok(());
        }
        shared.snapshot.store(Some(Arc::clone(&snapshot)));
        *lock(&shared.installed_at) = Some(shared.clock.now());
    }
    shared.objects.keep_only(&head.manifest, &manifest);
    shared.homes.apply_revision(&snapshot);
    shared.metrics.revision(head.revision.0);
    log::info!("revision {} is active, applied by {}", head.revision, head.by);
    gossip::announce_revision(shared);
    Ok(())
}

/// Returns an object from the cache, a peer or the store; its digest is checked wherever it came from.
fn fetch_object(shared: &Shared, name: &Digest) -> Result<Vec<u8>, SyncError> {
    if let Some(bytes) = shared.objects.get(name) {
        return Ok(bytes);
    }
    for address in peer_addresses(shared, OBJECT_PEERS) {
        let request = FetchRequest::Object(*name);
        let reply = shared.peers.call::<FetchReply>(Purpose::Config, address, FETCH_PATH, &request);
        if let Ok(FetchReply::Object(Some(bytes))) = reply
            && shared.objects.put(*name, bytes.to_vec())
        {
            return Ok(bytes.into_vec());
        }
    }
    let stored = shared.platform.objects.get(&object_key(name)).ok().flatten();
    match stored {
        Some(bytes) if shared.objects.put(*name, bytes.clone()) => Ok(bytes),
        _ => Err(SyncError::Missing(*name)),
    }
}

/// Returns the key of an object in the object store.
pub fn object_key(name: &Digest) -> String {
    format!("config/{name}")
}
