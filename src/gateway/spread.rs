//! Hands changes of the intent on, from the instance that read them in the store to all others.
//!
//! Each instance hands them to a few and says to whom else they go; one that does not answer is left out, and
//! the next of its part takes its place. Whoever is missed learns of it in the exchange, and asks.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Gateway, intent_reader};
use crate::{
    routing::{OrdersSnapshot, PackedChange, fanout},
    utils::sync::lock,
};

/// Path of an offer.
pub const OFFER_PATH: &str = "/intent";

/// Largest change that is sent with the first offer, in bytes: as much as fits into a packet or two, where
/// asking first would take longer. Nearly all changes are smaller.
const SENT_AT_ONCE: usize = 2 << 10;

/// Instances, the first in rank, that hand on what they read though nobody turns to them for news: if the one
/// that reads for all fails, the first to look for themselves are enough.
const DEPUTIES: usize = 4;

/// How long instances that do not answer are passed over in one part: ten of them, at 0.3 s each. Whoever is
/// left then asks by itself.
const PART_TIME: Duration = Duration::from_secs(3);

/// What an instance hands on.
#[derive(Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Version that the other is to have.
    pub version: u64,
    /// Operators' orders: they are few, and told beside every version.
    pub orders: OrdersSnapshot,
    /// Changes that lead to it, where they are small or asked for.
    pub changes: Vec<Arc<PackedChange>>,
    /// To whom else it is to be handed.
    pub pass_on: Vec<SocketAddr>,
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
    if number >= DEPUTIES && !gateway.peers.is_reader(now) {
        return;
    }
    let parts = fanout::split_by_zone(lock(&gateway.peers.candidates).responsive(now));
    hand_on(gateway, parts);
}

/// Takes an offer; passes it on as soon as its version is in force.
pub fn take_offer(gateway: &Arc<Gateway>, offer: Offer) -> OfferReply {
    gateway.take_orders(offer.orders, "peer");
    intent_reader::take_changes(gateway, &offer.changes);
    let version = gateway.knowledge.version();
    gateway.knowledge.told_of(gateway.clock.now(), offer.version);
    if version >= offer.version {
        hand_on(gateway, fanout::split_evenly(offer.pass_on));
    }
    OfferReply { version }
}

fn hand_on(gateway: &Arc<Gateway>, parts: Vec<Vec<SocketAddr>>) {
    for part in parts {
        let gateway = Arc::clone(gateway);
        let spawned = thread::Builder::new()
            .name("spread".to_owned())
            .spawn(move || hand_to_first(&gateway, &part));
        if let Err(fault) = spawned {
            // Those of the part learn of it in the exchange.
            log::warn!("event=not_handed_on reason={:?}", fault.to_string());
        }
    }
}

/// Hands the intent to the first of `part` that takes it; that one hands it to the rest.
fn hand_to_first(gateway: &Gateway, part: &[SocketAddr]) {
    let until = gateway.clock.now() + PART_TIME;
    let mut left = part;
    while let Some((&first, rest)) = left.split_first() {
        match hand_to(gateway, first, rest) {
            Ok(()) => return,
            Err(reason) => log::info!("event=peer_silent peer={first} reason={reason:?}"),
        }
        left = if gateway.clock.now() < until { rest } else { &[] };
    }
}

fn hand_to(gateway: &Gateway, to: SocketAddr, pass_on: &[SocketAddr]) -> Result<(), String> {
    let version = gateway.knowledge.version();
    let last = gateway.knowledge.last_change();
    let small = last.filter(|change| change.to == version && change.len() <= SENT_AT_ONCE);
    let told = offer(gateway, to, version, small.into_iter().collect(), pass_on)?;
    if told >= version {
        return Ok(());
    }
    let changes = gateway.knowledge.changes_since(told);
    let told = offer(gateway, to, version, changes, pass_on)?;
    if told >= version { Ok(()) } else { Err(format!("it has version {told} in force")) }
}

fn offer(
    gateway: &Gateway,
    to: SocketAddr,
    version: u64,
    changes: Vec<Arc<PackedChange>>,
    pass_on: &[SocketAddr],
) -> Result<u64, String> {
    let orders = gateway.knowledge.orders_told();
    let offer = Offer { version, orders, changes, pass_on: pass_on.to_vec() };
    let reply: OfferReply = gateway.peers.offer(to, &offer)?;
    Ok(reply.version)
}
