//! Learns of new revisions, fetches them from peers or the store, and puts them in force.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

use crate::{
    configs::fleet::chunks::{Digest, Manifest, decode, from_chunks},
    contract::revision::{HEAD_KEY, Head},
    instance::{
        knowledge::{gossip, snapshot::Snapshot},
        shared::Shared,
    },
    link::{
        traffic::Purpose,
        wire::{FETCH_PATH, FetchReply, FetchRequest},
    },
    platform::PlatformError,
    utils::sync::lock,
};

/// Peers asked for an object before the store is.
const PEERS_ASKED: usize = 2;

/// Peers asked for their head when the store does not answer.
const HEAD_PEERS: usize = 5;

/// Lets other threads ask the configuration thread to look now.
#[derive(Debug, Default)]
pub struct Waker {
    asked: Mutex<bool>,
    woken: Condvar,
}

impl Waker {
    /// Asks for a look now.
    pub fn wake(&self) {
        *lock(&self.asked) = true;
        self.woken.notify_all();
    }

    /// Waits until asked, at most `most`; returns whether it was asked.
    pub fn wait(&self, most: Duration) -> bool {
        let mut asked = lock(&self.asked);
        if !*asked {
            asked = match self.woken.wait_timeout(asked, most) {
                Ok((asked, _)) => asked,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        std::mem::take(&mut *asked)
    }
}

/// Why a revision could not be put in force now.
#[derive(Debug, thiserror::Error)]
pub enum SyncFault {
    /// Neither the store nor a peer has told a head.
    #[error("no head was learned: {0}; the instance is ready once the store or a peer answers")]
    NoHead(PlatformError),
    /// An object is nowhere to be had.
    #[error("object {0} is at no peer and not in the store; it is looked for again")]
    Missing(Digest),
    /// The stored form cannot be read.
    #[error(transparent)]
    Stored(#[from] crate::configs::fleet::chunks::StoredError),
    /// The manifest cannot be read.
    #[error("the manifest cannot be read ({0}); apply the file again with this version")]
    Manifest(#[from] rmp_serde::decode::Error),
}

/// Looks for a newer revision once, and puts it in force.
///
/// # Errors
///
/// See [`SyncFault`]; what is in force stays.
pub fn sync(shared: &Shared) -> Result<(), SyncFault> {
    let from_store = match shared.platform.table.get(HEAD_KEY) {
        Ok(row) => row.and_then(|row| decode::<Head>(&row.value).ok()).into_iter().collect(),
        Err(fault) => {
            let heads = heads_of_peers(shared);
            if heads.is_empty() && shared.snapshot.load().is_none() {
                return Err(SyncFault::NoHead(fault));
            }
            heads
        }
    };
    learn(shared, from_store)
}

/// Asks peers that told of a newer revision, without the store.
///
/// # Errors
///
/// See [`SyncFault`]; what is in force stays.
pub fn sync_from_peers(shared: &Shared) -> Result<(), SyncFault> {
    learn(shared, heads_of_peers(shared))
}

fn learn(shared: &Shared, heads: Vec<Head>) -> Result<(), SyncFault> {
    let wanted = {
        let mut in_force = lock(&shared.in_force);
        for head in heads {
            in_force.note_head(head);
        }
        in_force.pending().cloned()
    };
    match wanted {
        Some(head) => install(shared, head),
        None => Ok(()),
    }
}

fn heads_of_peers(shared: &Shared) -> Vec<Head> {
    let ask = |address| {
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
    peer_addresses(shared, HEAD_PEERS).into_iter().filter_map(ask).collect()
}

fn peer_addresses(shared: &Shared, most: usize) -> Vec<std::net::SocketAddr> {
    let now = shared.clock.now();
    let membership = lock(&shared.membership);
    let mut peers: Vec<_> =
        membership.peers().filter(|p| !p.is_suspect(now)).map(|p| p.address).collect();
    fastrand::shuffle(&mut peers);
    peers.truncate(most);
    peers
}

/// Fetches what is missing of a revision and puts it in force.
///
/// # Errors
///
/// See [`SyncFault`]; what is in force stays.
pub fn install(shared: &Shared, head: Head) -> Result<(), SyncFault> {
    let manifest_bytes = object(shared, &head.manifest)?;
    let manifest: Manifest = decode(&manifest_bytes)?;
    for chunk in &manifest.chunks {
        object(shared, chunk)?;
    }
    let fleet = from_chunks(&manifest, |name| shared.objects.get(name))?;
    let snapshot = Arc::new(Snapshot::new(head.clone(), fleet));
    {
        // Held while the snapshot is swapped, so that an older one never follows a newer one.
        let mut in_force = lock(&shared.in_force);
        if !in_force.install(head.clone()) {
            return Ok(());
        }
        shared.snapshot.store(Some(Arc::clone(&snapshot)));
        *lock(&shared.installed) = Some(shared.clock.now());
    }
    shared.objects.keep_only(&head.manifest, &manifest);
    shared.homes.install(&snapshot);
    shared.metrics.revision(head.revision.0);
    log::info!("revision {} in force, applied by {}", head.revision, head.by);
    gossip::spread_news(shared);
    Ok(())
}

/// Returns an object from memory, a peer or the store; its digest is checked wherever it came from.
fn object(shared: &Shared, name: &Digest) -> Result<Vec<u8>, SyncFault> {
    if let Some(bytes) = shared.objects.get(name) {
        return Ok(bytes);
    }
    for address in peer_addresses(shared, PEERS_ASKED) {
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
        _ => Err(SyncFault::Missing(*name)),
    }
}

/// Returns the key of an object in the object store.
pub fn object_key(name: &Digest) -> String {
    format!("config/{name}")
}
