//! Hands changes of the intent on, from the instance that read them in the store to all others.
//!
//! Each instance hands them to a few and says to whom else they go; one that does not answer is left out, and
//! the next of its part takes its place. Whoever is missed learns of it in the exchange, and asks.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Gateway, intent_reader};
use crate::{
    routing::{PackedChange, ToldOrders, spread},
    utils::sync::lock,
};

/// Path of an offer.
pub const OFFER_PATH: &str = "/intent";

/// Largest change that is sent with the first offer, in bytes: as much as fits into a packet or two, where
/// asking first would take longer. Nearly all changes are smaller.
const INLINE_CHANGE_MAX_BYTES: usize = 2 << 10;

/// Instances, the first in rank, that hand on what they read though nobody turns to them for news: if the one
/// that reads for all fails, the first to look for themselves are enough.
const BACKUP_PUBLISHERS: usize = 4;

/// How long instances that do not answer are passed over in one part: ten of them, at 0.3 s each. Whoever is
/// left then asks by itself.
const PART_TIMEOUT: Duration = Duration::from_secs(3);

/// What an instance hands on.
#[derive(Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Version that the other is to have.
    pub version: u64,
    /// Operators' orders: they are few, and told beside every version.
    pub orders: ToldOrders,
    /// Changes that lead to it, where they are small or asked for.
    pub changes: Vec<Arc<PackedChange>>,
    /// To whom else it is to be handed.
    pub relay_to: Vec<SocketAddr>,
}

/// What the other says.
#[derive(Debug, Serialize, Deserialize)]
pub struct OfferReply {
    /// Version that it has in force by now.
    pub version: u64,
}

/// Hands the intent in force and operators' orders to all others, if that is this instance's task.
pub fn publish(gateway: &Arc<Gateway>) {
    let now = gateway.clock.now();
    let number = gateway.peers.position().number;
    if number >= BACKUP_PUBLISHERS && !gateway.peers.is_reader(now) {
        return;
    }
    let parts = spread::first_parts(lock(&gateway.peers.candidates).heard(now));
    relay(gateway, parts);
}

/// Takes an offer; passes it on as soon as its version is in force.
pub fn accept_offer(gateway: &Arc<Gateway>, offer: Offer) -> OfferReply {
    gateway.accept_orders(offer.orders, "peer");
    intent_reader::apply_changes(gateway, &offer.changes);
    let version = gateway.cluster_state.version();
    gateway.cluster_state.note_version(gateway.clock.now(), offer.version);
    if version >= offer.version {
        relay(gateway, spread::parts(offer.relay_to));
    }
    OfferReply { version }
}

fn relay(gateway: &Arc<Gateway>, parts: Vec<Vec<SocketAddr>>) {
    for part in parts {
        let gateway = Arc::clone(gateway);
        let spawned = thread::Builder::new()
            .name("spread".to_owned())
            .spawn(move || relay_to_part(&gateway, &part));
        if let Err(fault) = spawned {
            // Those of the part learn of it in the exchange.
            log::warn!("event=not_handed_on reason={:?}", fault.to_string());
        }
    }
}

/// Hands the intent to the first of `part` that takes it; that one hands it to the rest.
fn relay_to_part(gateway: &Gateway, part: &[SocketAddr]) {
    let until = gateway.clock.now() + PART_TIMEOUT;
    let mut left = part;
    while let Some((&first, rest)) = left.split_first() {
        match send_intent(gateway, first, rest) {
            Ok(()) => return,
            Err(reason) => log::info!("event=peer_silent peer={first} reason={reason:?}"),
        }
        left = if gateway.clock.now() < until { rest } else { &[] };
    }
}

fn send_intent(gateway: &Gateway, to: SocketAddr, relay_to: &[SocketAddr]) -> Result<(), String> {
    let version = gateway.cluster_state.version();
    let last = gateway.cluster_state.last_change();
    let small =
        last.filter(|change| change.to == version && change.len() <= INLINE_CHANGE_MAX_BYTES);
    let told = offer(gateway, to, version, small.into_iter().collect(), relay_to)?;
    if told >= version {
        return Ok(());
    }
    let changes = gateway.cluster_state.changes_since(told);
    let told = offer(gateway, to, version, changes, relay_to)?;
    if told >= version { Ok(()) } else { Err(format!("it has version {told} in force")) }
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
