//! Relays changes of the intent from the instance that read them in the store to all others.
//!
//! The fan-out is a tree: each instance sends an offer to a few others, with the addresses that each of them relays it
//! to. If an instance does not respond, the next one of its part takes its place. An instance that receives no offer
//! learns of the newer version in the exchange, and requests the changes.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Gateway, intent_reader};
use crate::{
    routing::{OrdersSnapshot, PackedChange, fanout},
    utils::{supervisor, sync::lock},
};

/// Path of an offer.
pub const OFFER_PATH: &str = "/intent";

/// Size up to which a change is sent with the first offer: it fits into one or two packets, so that asking first would
/// take longer. Nearly all changes are smaller.
const INLINE_CHANGE_MAX_BYTES: usize = 2 << 10;

/// Number of instances, the first in rank, that relay what they read even if they are not the aggregator. If the
/// aggregator fails, the first of them to read the store relays the changes.
const BACKUP_PUBLISHERS: usize = 4;

/// Time after which a part is given up: ten instances that do not respond, at 0.3 s each. The others learn of the
/// change in the exchange.
const PART_TIMEOUT: Duration = Duration::from_secs(3);

/// An offer of the newest intent and orders to another instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Version that is to become active at the receiver.
    pub version: u64,
    /// Operators' orders, which are few and sent with every offer.
    pub orders: OrdersSnapshot,
    /// Changes that lead to the version, if they are small or the receiver lacks them.
    pub changes: Vec<Arc<PackedChange>>,
    /// Addresses to which the receiver relays the offer.
    pub relay_to: Vec<SocketAddr>,
}

/// The reply to an [`Offer`].
#[derive(Debug, Serialize, Deserialize)]
pub struct OfferReply {
    /// Version that is now active at the replying instance.
    pub version: u64,
}

/// Sends the active intent and operators' orders to all others, if this instance is the aggregator or one of its
/// backups.
pub fn publish(gateway: &Arc<Gateway>) {
    let now = gateway.clock.now();
    let number = gateway.peers.position().number;
    if number >= BACKUP_PUBLISHERS && !gateway.peers.is_reader(now) {
        return;
    }
    let parts = fanout::split_by_zone(lock(&gateway.peers.candidates).responsive(now));
    relay(gateway, parts);
}

/// Applies an offer, and relays it if its version is now active.
pub fn accept_offer(gateway: &Arc<Gateway>, offer: Offer) -> OfferReply {
    gateway.accept_orders(offer.orders, "peer");
    intent_reader::apply_changes(gateway, &offer.changes);
    let version = gateway.cluster_state.version();
    gateway.cluster_state.note_version(gateway.clock.now(), offer.version);
    if version >= offer.version {
        relay(gateway, fanout::split_evenly(offer.relay_to));
    }
    OfferReply { version }
}

fn relay(gateway: &Arc<Gateway>, parts: Vec<Vec<SocketAddr>>) {
    for part in parts {
        let gateway = Arc::clone(gateway);
        let spawned = thread::Builder::new()
            .name("spread".to_owned())
            .spawn(move || supervisor::catch("spread", || relay_to_part(&gateway, &part)));
        if let Err(fault) = spawned {
            // The instances of the part learn of the change in the exchange.
            log::warn!("event=not_handed_on reason={:?}", fault.to_string());
        }
    }
}

/// Sends the intent to the first instance of `part` that accepts it, which relays it to the rest.
fn relay_to_part(gateway: &Gateway, part: &[SocketAddr]) {
    let until = gateway.clock.now() + PART_TIMEOUT;
    let mut remaining = part;
    while let Some((&first, rest)) = remaining.split_first() {
        match send_intent(gateway, first, rest) {
            Ok(()) => return,
            Err(reason) => log::info!("event=peer_silent peer={first} reason={reason:?}"),
        }
        remaining = if gateway.clock.now() < until { rest } else { &[] };
    }
}

/// Sends the active intent to one instance: a small change at once, else the changes that it turns out to lack.
fn send_intent(gateway: &Gateway, to: SocketAddr, relay_to: &[SocketAddr]) -> Result<(), String> {
    let version = gateway.cluster_state.version();
    let last = gateway.cluster_state.last_change();
    let small =
        last.filter(|change| change.to == version && change.len() <= INLINE_CHANGE_MAX_BYTES);
    let active = offer(gateway, to, version, small.into_iter().collect(), relay_to)?;
    if active >= version {
        return Ok(());
    }
    let changes = gateway.cluster_state.changes_since(active);
    let active = offer(gateway, to, version, changes, relay_to)?;
    if active >= version { Ok(()) } else { Err(format!("version {active} is still active there")) }
}

fn offer(
    gateway: &Gateway,
    to: SocketAddr,
    version: u64,
    changes: Vec<Arc<PackedChange>>,
    relay_to: &[SocketAddr],
) -> Result<u64, String> {
    let orders = gateway.cluster_state.orders();
    let offer = Offer { version, orders, changes, relay_to: relay_to.to_vec() };
    let reply: OfferReply = gateway.peers.offer(to, &offer)?;
    Ok(reply.version)
}
