//! Placement hints handed to callers: opaque, authenticated, only ever a hint.

use crate::{
    names::Tag,
    utils::secret::{Secret, keyed_hash},
    zone::rendezvous::ChatKey,
};

/// Bytes of the authentication code that a hint carries.
const CODE_BYTES: usize = 8;

/// Returns the hint that says that `chat` was on `engine`.
pub fn encode(key: &Secret, chat: ChatKey, engine: Tag) -> String {
    let mut bytes = engine.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(&code(key, chat, engine));
    hex::encode(bytes)
}

/// Returns the engine that a hint for `chat` names; a forged or foreign hint names none.
pub fn decode(key: &Secret, chat: ChatKey, hint: &str) -> Option<Tag> {
    let bytes = hex::decode(hint).ok()?;
    let (tag, given) = bytes.split_first_chunk::<4>()?;
    let engine = Tag(u32::from_le_bytes(*tag));
    let matches = subtle::ConstantTimeEq::ct_eq(given, &code(key, chat, engine)[..]);
    bool::from(matches).then_some(engine)
}

fn code(key: &Secret, chat: ChatKey, engine: Tag) -> [u8; CODE_BYTES] {
    let message = [&chat.0.to_le_bytes()[..], &engine.0.to_le_bytes()].concat();
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&keyed_hash(key.expose().as_bytes(), &message)[..CODE_BYTES]);
    code
}
