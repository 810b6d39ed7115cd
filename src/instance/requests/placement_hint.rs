//! Placement hints for callers: opaque and authenticated, and never binding for the placement.

use crate::{
    names::Tag,
    utils::secret::{Secret, keyed_hash},
    zone::rendezvous::ChatKey,
};

/// Bytes of the message authentication code in a hint.
const MAC_BYTES: usize = 8;

/// Returns the hint that `chat` was last sent to `engine`.
pub fn encode(key: &Secret, chat: ChatKey, engine: Tag) -> String {
    let mut bytes = engine.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(&mac(key, chat, engine));
    hex::encode(bytes)
}

/// Returns the engine that a hint for `chat` names; `None` if the hint is forged or belongs to another chat.
pub fn decode(key: &Secret, chat: ChatKey, hint: &str) -> Option<Tag> {
    let bytes = hex::decode(hint).ok()?;
    let (tag, received_mac) = bytes.split_first_chunk::<4>()?;
    let engine = Tag(u32::from_le_bytes(*tag));
    let matches = subtle::ConstantTimeEq::ct_eq(received_mac, &mac(key, chat, engine)[..]);
    bool::from(matches).then_some(engine)
}

fn mac(key: &Secret, chat: ChatKey, engine: Tag) -> [u8; MAC_BYTES] {
    let message = [&chat.0.to_le_bytes()[..], &engine.0.to_le_bytes()].concat();
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&keyed_hash(key.expose().as_bytes(), &message)[..MAC_BYTES]);
    mac
}
